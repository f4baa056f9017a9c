#include "move/canary_test.h"

#include <math.h>

/*
 * With an exact ratio, the mean number of calls to a false alarm of a CUSUM is
 * at least e^THRESHOLD, about 5e8.
 */
#define THRESHOLD 20.0
/* Quantile of the upper confidence bound: 99 of 100. */
#define BOUND_Z 2.33
/* Below this number of calls the old version's ratio is not used. */
#define MIN_OLD_CALLS 50
/* Ratio that is assumed without enough calls of the old version. */
#define UNKNOWN_RATIO 0.05
#define MIN_RATIO 0.001
/* Above this ratio the old version is no base of comparison. */
#define MAX_RATIO 0.9
/* A new version counts as bad from twice the ratio, and at least this more. */
#define FAIL_MORE 0.02
#define SLOW_MORE 0.05

static double
wilson(uint64_t hits, uint64_t calls, double z)
{
	double n = (double)calls, p = (double)hits / n;
	double half = z * sqrt(p * (1 - p) / n + z * z / (4 * n * n));

	return ((p + z * z / (2 * n) + half) / (1 + z * z / n));
}

static double
wilson_lower(uint64_t hits, uint64_t calls)
{
	return (1 - wilson(calls - hits, calls, BOUND_Z));
}

/* Ratio up to which the new version counts as equal. */
static double
equal_ratio(
    uint64_t hits, uint64_t calls, uint64_t recent_hits, uint64_t recent_calls)
{
	double p;

	if (calls < MIN_OLD_CALLS) {
		p = calls == 0 ? 0 : wilson_lower(hits, calls);
		return (p > UNKNOWN_RATIO ? p : UNKNOWN_RATIO);
	}
	p = wilson(hits, calls, BOUND_Z);
	if (recent_calls >= MIN_OLD_CALLS) {
		double q = wilson(recent_hits, recent_calls, BOUND_Z);

		/* Few recent calls widen the bound, not the estimate. */
		if (wilson_lower(recent_hits, recent_calls) > p)
			p = q;
	}
	return (p > MIN_RATIO ? p : MIN_RATIO);
}

static void
advance(double *score, uint64_t hits, uint64_t calls, double p0, double more)
{
	double p1 = p0 + (p0 > more ? p0 : more);

	if (p0 > MAX_RATIO)
		return;
	if (p1 > (1 + p0) / 2)
		p1 = (1 + p0) / 2;
	*score += (double)hits * log(p1 / p0) +
	    (double)(calls - hits) * log((1 - p1) / (1 - p0));
	if (*score < 0)
		*score = 0;
}

static void
add(struct canary_count *c, uint64_t calls, uint64_t failed, uint64_t slow)
{
	c->calls += calls;
	c->failed += failed;
	c->slow += slow;
}

void
canary_add_old(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow)
{
	add(&r->old_total, calls, failed, slow);
	add(&r->old_recent[0], calls, failed, slow);
}

void
canary_add_new(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow)
{
	uint64_t recent = r->old_recent[0].calls + r->old_recent[1].calls;
	const struct canary_count *t = &r->old_total;

	add(&r->new_total, calls, failed, slow);
	advance(&r->fail_score, failed, calls,
	    equal_ratio(t->failed, t->calls,
		r->old_recent[0].failed + r->old_recent[1].failed, recent),
	    FAIL_MORE);
	advance(&r->slow_score, slow, calls,
	    equal_ratio(t->slow, t->calls,
		r->old_recent[0].slow + r->old_recent[1].slow, recent),
	    SLOW_MORE);
}

void
canary_rotate(struct canary_route *r)
{
	r->old_recent[1] = r->old_recent[0];
	r->old_recent[0] = (struct canary_count){0};
}

enum canary_verdict
canary_is_bad(const struct canary_route *r)
{
	if (r->fail_score >= THRESHOLD)
		return (CANARY_FAILING);
	return (r->slow_score >= THRESHOLD ? CANARY_SLOW : CANARY_GOOD);
}

bool
canary_is_suspect(const struct canary_route *r)
{
	return (
	    r->fail_score >= THRESHOLD / 2 || r->slow_score >= THRESHOLD / 2);
}
