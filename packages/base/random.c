#include "base/random.h"

void
rng_init(struct random *r, uint64_t seed)
{
	/* One splitmix64 step spreads small seeds over all bits. */
	uint64_t z = seed + 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	z ^= z >> 31;
	r->s = z == 0 ? 1 : z;
}

uint64_t
rng_next(struct random *r)
{
	uint64_t x = r->s;

	x ^= x >> 12;
	x ^= x << 25;
	x ^= x >> 27;
	r->s = x;
	return (x * 0x2545f4914f6cdd1dULL);
}

uint32_t
rng_below(struct random *r, uint32_t n)
{
	return ((uint32_t)(((rng_next(r) >> 32) * (uint64_t)n) >> 32));
}

double
rng_unit(struct random *r)
{
	/* The upper 53 bits, divided by 2^53, as a double holds 53 bits. */
	return ((double)(rng_next(r) >> 11) / 9007199254740992.0);
}
