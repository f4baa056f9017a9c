/*
 * histogram - log-linear histogram of latencies in microseconds (prefix hist_).
 *
 * Values below 16 have a bucket each. Above that, the width of a bucket is at
 * most 1/16 of its values. Recording is one atomic addition, so several threads
 * may record into the same histogram.
 *
 *	static struct histogram h;
 *	hist_add(&h, 1500);
 *	p99 = hist_quantile(&h, 0.99);
 */
#ifndef BASE_HISTOGRAM_H
#define BASE_HISTOGRAM_H

#include <stdatomic.h>
#include <stdint.h>

/* Each power of two is divided into 2^HIST_SUB_BITS buckets. */
#define HIST_SUB_BITS 4
/* Values have at most 40 bits, which is about 12.7 days. */
#define HIST_BUCKETS ((40 - HIST_SUB_BITS + 1) << HIST_SUB_BITS)

/** struct histogram - bucket counts; a zeroed struct is an empty histogram */
struct histogram {
	_Atomic uint64_t count[HIST_BUCKETS];
};

/** hist_add() - record @us microseconds; above 2^40 - 1, record 2^40 - 1 */
void hist_add(struct histogram *h, uint64_t us);

/** hist_count() - number of recorded values */
uint64_t hist_count(const struct histogram *h);

/**
 * hist_quantile() - upper bound of the bucket that contains a quantile
 * @q: quantile, 0 to 1
 *
 * Return: bound in microseconds, 0 when the histogram is empty.
 */
uint64_t hist_quantile(const struct histogram *h, double q);

/** hist_above() - number of values in the buckets above the bucket of @us */
uint64_t hist_above(const struct histogram *h, uint64_t us);

/** hist_merge() - add the counts of @from to @to */
void hist_merge(struct histogram *to, const struct histogram *from);

#endif
