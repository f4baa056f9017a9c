/*
 * pat - body bytes that are a function of a request id and the position.
 *
 * The upstream stand-in writes them and the load tool checks every byte, so a
 * byte that belongs to another request or position is found.
 *
 *	pattern_fill(pattern_seed(id), pos, buf, n);
 *	ok = pattern_check(pattern_seed(id), pos, buf, n);
 */
#ifndef LOAD_BODY_PATTERN_H
#define LOAD_BODY_PATTERN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** pattern_seed() - seed of a request id */
uint64_t pattern_seed(struct bstr id);

/** pattern_fill() - write the @n bytes from position @pos */
void pattern_fill(uint64_t seed, uint64_t pos, char *buf, size_t n);

/** pattern_check() - whether the @n bytes from position @pos are right */
bool pattern_check(uint64_t seed, uint64_t pos, const char *buf, size_t n);

#endif
