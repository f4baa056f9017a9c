/*
 * body_pattern - body bytes computed from the request id and the position
 * (prefix pattern_).
 *
 * The simulated upstream writes the pattern and the load tool checks every
 * byte. This detects bytes that belong to another request or another position.
 *
 *	pattern_fill(pattern_seed(id), pos, buf, n);
 *	ok = pattern_check(pattern_seed(id), pos, buf, n);
 */
#ifndef LOAD_BODY_PATTERN_H
#define LOAD_BODY_PATTERN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** pattern_seed() - pattern seed of a request id */
uint64_t pattern_seed(struct bstr id);

/** pattern_fill() - write @n pattern bytes from position @pos to @buf */
void pattern_fill(uint64_t seed, uint64_t pos, char *buf, size_t n);

/**
 * pattern_check() - compare @n received bytes with the pattern from @pos on
 *
 * Return: true when all bytes match.
 */
bool pattern_check(uint64_t seed, uint64_t pos, const char *buf, size_t n);

#endif
