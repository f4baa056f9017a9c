/*
 * json_reader - reading of JSON object members with validation (prefix jread_).
 *
 * Most functions read member @key of object @o. A problem is appended to
 * @problems as one line "path: value: what is permitted", and a default is
 * returned, so that one pass reports all problems of an object. @path is the
 * prefix of the key in that line: empty, or a path that ends in ".".
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

#define JREAD_STRING_MAX_BYTES 255

/**
 * jread_report() - append one problem
 * @path: full path of the member
 * @v: value, NULL when the member is missing
 * @permitted: what is permitted, such as "must be an object"
 */
void jread_report(struct bbuf *problems, const char *path, const json_t *v,
    const char *permitted);

/**
 * jread_string() - read a string of 1 to JREAD_STRING_MAX_BYTES bytes
 *
 * Return: copy that the caller owns, or NULL after a problem.
 */
char *jread_string(
    const json_t *o, const char *key, const char *path, struct bbuf *problems);

/**
 * jread_optional_string() - read a string that may be absent or null
 *
 * Return: copy that the caller owns; NULL when absent, null or after a problem.
 */
char *jread_optional_string(
    const json_t *o, const char *key, const char *path, struct bbuf *problems);

/**
 * jread_i64() - read an integer in [@min, @max]
 *
 * Return: the integer, or @def when absent or after a problem.
 */
int64_t jread_i64(const json_t *o, const char *key, int64_t min, int64_t max,
    int64_t def, const char *path, struct bbuf *problems);

/** jread_u32() - like jread_i64() for uint32_t */
uint32_t jread_u32(const json_t *o, const char *key, uint32_t min, uint32_t max,
    uint32_t def, const char *path, struct bbuf *problems);

/**
 * jread_enum() - read a string that is one of @names
 * @names: NULL-terminated list of the permitted values
 * @def: index when the member is absent; negative makes the member required
 *
 * Return: index in @names; after a problem @def, or 0 if @def is negative.
 */
int jread_enum(const json_t *o, const char *key, const char *const *names,
    int def, const char *path, struct bbuf *problems);

/**
 * jread_array() - read an array of @min to @max elements
 *
 * Return: borrowed array, or NULL after a problem.
 */
const json_t *jread_array(const json_t *o, const char *key, size_t min,
    size_t max, struct bbuf *problems);

/**
 * jread_check_members() - report all members that are not in @names
 * @o: value; a value that is not an object is a problem as well
 * @names: NULL-terminated list of the permitted members
 */
void jread_check_members(const json_t *o, const char *const *names,
    const char *path, struct bbuf *problems);

#endif
