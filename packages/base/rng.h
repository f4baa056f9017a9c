/*
 * rng - small seeded pseudo-random generator (xorshift64*).
 *
 * Decisions take a struct rng so that a run replays from its seed.
 *
 *	struct rng r;
 *	rng_init(&r, seed);
 *	i = rng_below(&r, n);
 */
#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

/** struct rng - generator state, never 0 after rng_init() */
struct rng {
	uint64_t s;
};

/** rng_init() - start the sequence of @seed; any value is allowed */
void rng_init(struct rng *r, uint64_t seed);

/** rng_next() - next 64 random bits */
uint64_t rng_next(struct rng *r);

/** rng_below() - uniform number in [0, n); 0 when @n is 0 */
uint32_t rng_below(struct rng *r, uint32_t n);

/** rng_unit() - uniform number in [0, 1) */
double rng_unit(struct rng *r);

#endif
