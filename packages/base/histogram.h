/*
 * hist - histogram with log-linear buckets for latencies in microseconds.
 *
 * Buckets are at most 1/16 wide of their value. Recording is one atomic
 * addition, so that several threads may record into one histogram.
 *
 *	static struct histogram h;
 *	hist_add(&h, 1500);
 *	p99 = hist_quantile(&h, 0.99);
 */
#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

#define HIST_SUB_BITS 4
#define HIST_BUCKETS ((40 - HIST_SUB_BITS + 1) << HIST_SUB_BITS)

/** struct histogram - all zero is an empty histogram */
struct histogram {
	_Atomic uint64_t count[HIST_BUCKETS];
};

/** hist_add() - record one value; values above 2^40 us count as 2^40 us */
void hist_add(struct histogram *h, uint64_t us);

/** hist_count() - number of recorded values */
uint64_t hist_count(const struct histogram *h);

/** hist_quantile() - upper edge of the bucket of quantile @q, 0 when empty */
uint64_t hist_quantile(const struct histogram *h, double q);

/** hist_above() - number of values in buckets that lie wholly above @us */
uint64_t hist_above(const struct histogram *h, uint64_t us);

/** hist_merge() - add the counts of @from to @to */
void hist_merge(struct histogram *to, const struct histogram *from);

#endif
