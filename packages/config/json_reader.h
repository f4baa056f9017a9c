/*
 * json_reader - checked reading of JSON members.
 *
 * Each function reads one member of an object. A problem is appended to the
 * buffer as one line "path: value: what is permitted", and a default is
 * returned, so that one pass reports every problem of an object.
 *
 *	s->name = jread_string(o, "name", "", problems);
 *	s->slots = jread_u32(o, "slots", 1, 100, 6, "", problems);
 */
#ifndef CONFIG_JSON_READER_H
#define CONFIG_JSON_READER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/* Longest string in an object, in bytes. */
#define JREAD_STRING_MAX 255

/** jread_report() - append one problem; a NULL value is printed as "missing" */
void jread_report(struct bbuf *problems, const char *path, const json_t *v,
    const char *permitted);

/** jread_string() - copy of a string of 1 to JREAD_STRING_MAX bytes; NULL
 *     with a problem */
char *jread_string(
    const json_t *o, const char *key, const char *path, struct bbuf *problems);

/** jread_optional() - copy of a string, NULL when absent or null */
char *jread_optional(
    const json_t *o, const char *key, const char *path, struct bbuf *problems);

/** jread_i64() - integer in [min, max], @def when absent */
int64_t jread_i64(const json_t *o, const char *key, int64_t min, int64_t max,
    int64_t def, const char *path, struct bbuf *problems);

/** jread_u32() - integer in [min, max], @def when absent */
uint32_t jread_u32(const json_t *o, const char *key, uint32_t min, uint32_t max,
    uint32_t def, const char *path, struct bbuf *problems);

/**
 * jread_enum() - index of a string in @names
 * @names: NULL-terminated list of the permitted values
 * @def: index returned when absent; negative makes the member required
 */
int jread_enum(const json_t *o, const char *key, const char *const *names,
    int def, const char *path, struct bbuf *problems);

/** jread_array() - array of min to max elements; NULL with a problem */
const json_t *jread_array(const json_t *o, const char *key, size_t min,
    size_t max, struct bbuf *problems);

/** jread_known() - report members that are not in the NULL-terminated @names */
void jread_known(const json_t *o, const char *const *names, const char *path,
    struct bbuf *problems);

#endif
