#include "base/histogram.h"

#define HIST_SUB (1u << HIST_SUB_BITS)
#define HIST_MAX ((1ULL << 40) - 1) /* microseconds */

static unsigned
bucket_of(uint64_t v)
{
	unsigned shift;

	if (v < HIST_SUB)
		return ((unsigned)v);
	if (v > HIST_MAX)
		v = HIST_MAX;
	shift = 63 - (unsigned)__builtin_clzll(v) - HIST_SUB_BITS;
	return (((shift + 1) << HIST_SUB_BITS) +
	    (unsigned)((v >> shift) - HIST_SUB));
}

static uint64_t
bucket_low(unsigned b)
{
	unsigned shift;

	if (b < HIST_SUB)
		return (b);
	shift = (b >> HIST_SUB_BITS) - 1;
	return ((uint64_t)(HIST_SUB + (b & (HIST_SUB - 1))) << shift);
}

void
hist_add(struct histogram *h, uint64_t us)
{
	atomic_fetch_add_explicit(
	    &h->count[bucket_of(us)], 1, memory_order_relaxed);
}

uint64_t
hist_count(const struct histogram *h)
{
	uint64_t n = 0;

	for (unsigned b = 0; b < HIST_BUCKETS; b++)
		n += atomic_load_explicit(&h->count[b], memory_order_relaxed);
	return (n);
}

uint64_t
hist_quantile(const struct histogram *h, double q)
{
	uint64_t total = hist_count(h);
	uint64_t rank = (uint64_t)(q * (double)total);
	uint64_t seen = 0;

	if (total == 0)
		return (0);
	if (rank >= total)
		rank = total - 1;
	for (unsigned b = 0; b < HIST_BUCKETS; b++) {
		seen +=
		    atomic_load_explicit(&h->count[b], memory_order_relaxed);
		if (seen > rank)
			return (bucket_low(b + 1) - 1);
	}
	return (HIST_MAX);
}

uint64_t
hist_above(const struct histogram *h, uint64_t us)
{
	uint64_t n = 0;

	for (unsigned b = bucket_of(us) + 1; b < HIST_BUCKETS; b++)
		n += atomic_load_explicit(&h->count[b], memory_order_relaxed);
	return (n);
}

void
hist_merge(struct histogram *to, const struct histogram *from)
{
	for (unsigned b = 0; b < HIST_BUCKETS; b++) {
		uint64_t n =
		    atomic_load_explicit(&from->count[b], memory_order_relaxed);

		if (n != 0)
			atomic_fetch_add_explicit(
			    &to->count[b], n, memory_order_relaxed);
	}
}
