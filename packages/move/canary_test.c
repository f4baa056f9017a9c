#include "move/canary_test.h"

#include <math.h>

/*
 * Decision threshold of the CUSUM. When the baseline ratio is exact, the mean
 * number of calls before a false alarm is at least e^CUSUM_THRESHOLD, which is
 * about 5e8.
 */
#define CUSUM_THRESHOLD 20.0
/* Normal quantile of the one-sided 99% confidence bounds. */
#define CONFIDENCE_Z 2.33
/*
 * With fewer calls of the old version, the baseline is the lower confidence
 * bound of its ratio, but at least DEFAULT_BASELINE_RATIO.
 */
#define MIN_BASELINE_CALLS 50
/* Assumed baseline while the old version has too few calls. */
#define DEFAULT_BASELINE_RATIO 0.05
#define MIN_BASELINE_RATIO 0.001
/* The versions are not compared when the baseline exceeds this ratio. */
#define MAX_BASELINE_RATIO 0.9
/*
 * The alternative hypothesis is twice the baseline, but at least the baseline
 * plus this increase.
 */
#define MIN_FAILED_INCREASE 0.02
#define MIN_SLOW_INCREASE 0.05

/* Upper bound of the Wilson score interval. */
static double
wilson_upper(uint64_t hits, uint64_t calls, double z)
{
	double n = (double)calls, p = (double)hits / n;
	double half = z * sqrt(p * (1 - p) / n + z * z / (4 * n * n));

	return ((p + z * z / (2 * n) + half) / (1 + z * z / n));
}

static double
wilson_lower(uint64_t hits, uint64_t calls)
{
	return (1 - wilson_upper(calls - hits, calls, CONFIDENCE_Z));
}

/* Ratio up to which the new version counts as no worse than the old one. */
static double
baseline_ratio(
    uint64_t hits, uint64_t calls, uint64_t recent_hits, uint64_t recent_calls)
{
	double p;

	if (calls < MIN_BASELINE_CALLS) {
		p = calls == 0 ? 0 : wilson_lower(hits, calls);
		return (
		    p > DEFAULT_BASELINE_RATIO ? p : DEFAULT_BASELINE_RATIO);
	}
	p = wilson_upper(hits, calls, CONFIDENCE_Z);
	if (recent_calls >= MIN_BASELINE_CALLS) {
		double q =
		    wilson_upper(recent_hits, recent_calls, CONFIDENCE_Z);

		/*
		 * Recent calls raise the baseline only when their ratio is
		 * significantly higher. Few recent calls have a wide interval,
		 * which alone is no sign of a higher ratio.
		 */
		if (wilson_lower(recent_hits, recent_calls) > p)
			p = q;
	}
	return (p > MIN_BASELINE_RATIO ? p : MIN_BASELINE_RATIO);
}

/*
 * Adds calls to a CUSUM. The alternative ratio is at most halfway between the
 * baseline @p0 and 1.
 */
static void
update_cusum(double *score, uint64_t hits, uint64_t calls, double p0,
    double min_increase)
{
	double p1 = p0 + (p0 > min_increase ? p0 : min_increase);

	if (p0 > MAX_BASELINE_RATIO)
		return;
	if (p1 > (1 + p0) / 2)
		p1 = (1 + p0) / 2;
	*score += (double)hits * log(p1 / p0) +
	    (double)(calls - hits) * log((1 - p1) / (1 - p0));
	if (*score < 0)
		*score = 0;
}

static void
add_count(
    struct canary_count *c, uint64_t calls, uint64_t failed, uint64_t slow)
{
	c->calls += calls;
	c->failed += failed;
	c->slow += slow;
}

void
canary_add_old(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow)
{
	add_count(&r->old_total, calls, failed, slow);
	add_count(&r->old_recent[0], calls, failed, slow);
}

void
canary_add_new(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow)
{
	uint64_t recent = r->old_recent[0].calls + r->old_recent[1].calls;
	const struct canary_count *t = &r->old_total;

	add_count(&r->new_total, calls, failed, slow);
	update_cusum(&r->fail_score, failed, calls,
	    baseline_ratio(t->failed, t->calls,
		r->old_recent[0].failed + r->old_recent[1].failed, recent),
	    MIN_FAILED_INCREASE);
	update_cusum(&r->slow_score, slow, calls,
	    baseline_ratio(t->slow, t->calls,
		r->old_recent[0].slow + r->old_recent[1].slow, recent),
	    MIN_SLOW_INCREASE);
}

void
canary_rotate(struct canary_route *r)
{
	r->old_recent[1] = r->old_recent[0];
	r->old_recent[0] = (struct canary_count){0};
}

enum canary_verdict
canary_evaluate(const struct canary_route *r)
{
	if (r->fail_score >= CUSUM_THRESHOLD)
		return (CANARY_FAILING);
	return (r->slow_score >= CUSUM_THRESHOLD ? CANARY_SLOW : CANARY_GOOD);
}

/* Chernoff bound of the binomial distribution. */
double
canary_evidence(
    uint64_t bad, uint64_t calls, uint64_t old_bad, uint64_t old_calls)
{
	double n = (double)calls, p, p0;

	if (bad == 0)
		return (0);
	p0 = baseline_ratio(old_bad, old_calls, 0, 0);
	p = (double)bad / n;
	if (p <= p0)
		return (0);
	if (bad == calls)
		return (-n * log(p0));
	return (n * (p * log(p / p0) + (1 - p) * log((1 - p) / (1 - p0))));
}

bool
canary_is_suspect(const struct canary_route *r)
{
	return (r->fail_score >= CUSUM_THRESHOLD / 2 ||
	    r->slow_score >= CUSUM_THRESHOLD / 2);
}
