/*
 * seeds - which seeds a random test runs.
 *
 * SEED=n in the environment replays one, SEEDS=n runs the first n.
 *
 *	struct seeds s = seeds_of(300);
 *	for (uint64_t seed = s.first; seed < s.end; seed++)
 *		...
 */
#ifndef TESTS_SEEDS_H
#define TESTS_SEEDS_H

#include <stdint.h>

/** struct seeds - from @first up to but not including @end */
struct seeds {
	uint64_t first;
	uint64_t end;
};

/** seeds_of() - @n from 1, unless the environment says otherwise */
struct seeds seeds_of(uint64_t n);

#endif
