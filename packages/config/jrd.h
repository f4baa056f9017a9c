/*
 * jrd - checked reading of JSON members.
 *
 * Each function reads one member of an object. A problem is appended to the
 * buffer as one line "path: value: what is permitted", and a default is
 * returned, so that one pass reports every problem of an object.
 *
 *	s->name = jrd_string(o, "name", "", problems);
 *	s->slots = jrd_u32(o, "slots", 1, 100, 6, "", problems);
 */
#ifndef CONFIG_JRD_H
#define CONFIG_JRD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/* Longest string in an object, in bytes. */
#define JRD_STRING_MAX 255

/** jrd_report() - append one problem; a NULL value is printed as "missing" */
void jrd_report(struct bbuf *problems, const char *path, const json_t *v,
    const char *permitted);

/** jrd_string() - copy of a string of 1 to JRD_STRING_MAX bytes; NULL
 *     with a problem */
char *jrd_string(
    const json_t *o, const char *key, const char *path, struct bbuf *problems);

/** jrd_optional() - copy of a string, NULL when absent or null */
char *jrd_optional(
    const json_t *o, const char *key, const char *path, struct bbuf *problems);

/** jrd_i64() - integer in [min, max], @def when absent */
int64_t jrd_i64(const json_t *o, const char *key, int64_t min, int64_t max,
    int64_t def, const char *path, struct bbuf *problems);

/** jrd_u32() - integer in [min, max], @def when absent */
uint32_t jrd_u32(const json_t *o, const char *key, uint32_t min, uint32_t max,
    uint32_t def, const char *path, struct bbuf *problems);

/**
 * jrd_enum() - index of a string in @names
 * @names: NULL-terminated list of the permitted values
 * @def: index returned when absent; negative makes the member required
 */
int jrd_enum(const json_t *o, const char *key, const char *const *names,
    int def, const char *path, struct bbuf *problems);

/** jrd_array() - array of min to max elements; NULL with a problem */
const json_t *jrd_array(const json_t *o, const char *key, size_t min,
    size_t max, struct bbuf *problems);

/** jrd_known() - report members that are not in the NULL-terminated @names */
void jrd_known(const json_t *o, const char *const *names, const char *path,
    struct bbuf *problems);

#endif
