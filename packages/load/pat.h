/*
 * pat - body bytes that are a function of a request id and the position.
 *
 * The upstream stand-in writes them and the load tool checks every byte, so a
 * byte that belongs to another request or position is found.
 *
 *	pat_fill(pat_seed(id), pos, buf, n);
 *	ok = pat_check(pat_seed(id), pos, buf, n);
 */
#ifndef LOAD_PAT_H
#define LOAD_PAT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** pat_seed() - seed of a request id */
uint64_t pat_seed(struct bstr id);

/** pat_fill() - write the @n bytes from position @pos */
void pat_fill(uint64_t seed, uint64_t pos, char *buf, size_t n);

/** pat_check() - whether the @n bytes from position @pos are right */
bool pat_check(uint64_t seed, uint64_t pos, const char *buf, size_t n);

#endif
