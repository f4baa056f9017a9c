#include "lib/seeds.h"

#include <stdlib.h>

struct seeds
seeds_of(uint64_t n)
{
	const char *one = getenv("SEED");
	const char *many = getenv("SEEDS");
	uint64_t first = one == NULL ? 1 : strtoull(one, NULL, 10);

	if (many != NULL)
		n = strtoull(many, NULL, 10);
	if (one != NULL)
		n = 1;
	return ((struct seeds){first, first + n});
}
