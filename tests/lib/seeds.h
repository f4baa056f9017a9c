/*
 * seeds - seeds that a randomized test runs.
 *
 * In the environment, SEED=n runs only seed n, to reproduce a failure, and
 * SEEDS=n runs seeds 1 to n. SEED takes precedence.
 *
 *	struct seeds s = seeds_of(300);
 *	for (uint64_t seed = s.first; seed < s.end; seed++)
 *		...
 */
#ifndef TESTS_SEEDS_H
#define TESTS_SEEDS_H

#include <stdint.h>

/**
 * struct seeds - half-open range of seeds
 * @first: first seed
 * @end: one past the last seed
 */
struct seeds {
	uint64_t first;
	uint64_t end;
};

/** seeds_of() - seeds 1 to @n, unless SEED or SEEDS is set */
struct seeds seeds_of(uint64_t n);

#endif
