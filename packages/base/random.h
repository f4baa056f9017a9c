/*
 * random - seeded pseudo-random generator, xorshift64* (prefix rng_).
 *
 * Functions that make random decisions take a struct random, so that a run can
 * be repeated from its seed. Not suitable for cryptography.
 *
 *	struct random r;
 *	rng_init(&r, seed);
 *	i = rng_below(&r, n);
 */
#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>

/** struct random - generator state, nonzero after rng_init() */
struct random {
	uint64_t s;
};

/** rng_init() - seed the generator; any @seed is allowed, also 0 */
void rng_init(struct random *r, uint64_t seed);

/** rng_next() - next 64 random bits */
uint64_t rng_next(struct random *r);

/** rng_below() - uniform number in [0, @n); 0 when @n is 0 */
uint32_t rng_below(struct random *r, uint32_t n);

/** rng_unit() - uniform number in [0, 1) */
double rng_unit(struct random *r);

#endif
