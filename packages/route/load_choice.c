#include "route/load_choice.h"

#include <math.h>

#define NORMAL_PACE_PCT 100.0
/* Above this share of busy slots, upstreams get slower by the factor below. */
#define SATURATION_SHARE 0.8
#define SATURATION_FACTOR 1.7
/*
 * With fewer slots, all are used: one slot of two left free would cost more
 * throughput than the slower pace does.
 */
#define SATURATION_MIN_SLOTS 3
/*
 * From this pace on, an upstream counts as slow. A request that starts there
 * occupies its slot several times as long as normal, while the slow phase lasts
 * only about 150 ms, so waiting is better.
 */
#define SLOW_PACE_PCT 250
/*
 * An upstream is persistently slow after this many slow reports in a row, when
 * the first of them is at least this old.
 */
#define PERSISTENT_SLOW_REPORTS 4
#define PERSISTENT_SLOW_US 600000
/*
 * A persistently slow upstream is probed again after this time, or when there
 * is no other upstream.
 */
#define SLOW_RECHECK_US 1000000
/* Cost of leaving the availability zone, in normal service times. */
#define OTHER_ZONE_COST 0.05
/*
 * Cost of a cold upstream, in normal service times. It is slow, so it is chosen
 * after all others of the same load.
 */
#define COLD_COST 4.0
/* When all calls to an upstream fail, this multiple of its cost is added. */
#define FAILURE_WEIGHT 12.0

/* Counts consecutive reports of a slow pace. */
static void
count_slow_reports(struct rt_stat *s, int32_t pace, int64_t now_us)
{
	if (pace < SLOW_PACE_PCT) {
		atomic_store(&s->slow_reports, 0);
		return;
	}
	if (atomic_fetch_add(&s->slow_reports, 1) == 0)
		atomic_store(&s->slow_since_us, now_us);
}

void
load_choice_on_report(
    struct rt_stat *s, const struct load_choice_report *r, int64_t now_us)
{
	atomic_store(&s->no_probe_until_us, 0);
	if (r->refusing) {
		atomic_store(&s->refusing_until_us,
		    now_us + LOAD_CHOICE_REFUSAL_BACKOFF_US);
		return;
	}
	atomic_store(&s->refusing_until_us, 0);
	atomic_store(
	    &s->cold_until_us, r->cold_us > 0 ? now_us + r->cold_us : 0);
	if (r->none) {
		atomic_store(&s->no_report, true);
		atomic_store(&s->reported_us, 0);
		return;
	}
	atomic_store(&s->no_report, false);
	atomic_store(&s->reported, r->running);
	atomic_store(&s->waiting, r->waiting);
	atomic_store(&s->pace, r->pace);
	count_slow_reports(s, r->pace, now_us);
	atomic_store(&s->started_since_report, 0);
	atomic_store(&s->reported_us, now_us);
	atomic_store(&s->full_report_us, now_us);
}

void
load_choice_on_probe_failure(struct rt_stat *s, int64_t now_us)
{
	atomic_store(
	    &s->no_probe_until_us, now_us + LOAD_CHOICE_PROBE_BACKOFF_US);
}

bool
load_choice_is_fresh(const struct rt_stat *s, int64_t now_us)
{
	int64_t at = atomic_load(&s->full_report_us);

	return (at != 0 && now_us - at <= LOAD_CHOICE_FRESH_US);
}

static bool
is_cold(const struct rt_upstream *u, int64_t now_us)
{
	return (u->state == RT_COLD ||
	    now_us < atomic_load(&u->stat->cold_until_us));
}

/* Whether the upstream is warm, or cold but due for a request. */
static bool
is_warm_or_due(const struct rt_upstream *u, int64_t now_us)
{
	if (!is_cold(u, now_us))
		return (true);
	return (u->cold_allowed &&
	    now_us - atomic_load(&u->stat->cold_sent_us) >=
		LOAD_CHOICE_COLD_SPACING_US);
}

static bool
usable(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us)
{
	return (rt_is_eligible(u, req, now_us) &&
	    now_us >= atomic_load(&u->stat->refusing_until_us) &&
	    is_warm_or_due(u, now_us));
}

static bool
needs_probe(const struct rt_upstream *u, int64_t now_us)
{
	return (!atomic_load(&u->stat->no_report) &&
	    now_us >= atomic_load(&u->stat->no_probe_until_us));
}

static bool
version_usable(const struct rt_service *s, const struct rt_request *req,
    uint32_t version, int64_t now_us)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		if (s->upstreams[i].version == version &&
		    usable(&s->upstreams[i], req, now_us))
			return (true);
	}
	return (false);
}

/*
 * Returns the version that was drawn. If it has no usable upstream, or is on
 * trial and had no room for the request, its requests go to the version with
 * the largest share and never to a smaller one, since the share of a new
 * version is an upper limit.
 */
static uint32_t
choose_version(
    const struct rt_service *s, const struct rt_request *req, int64_t now_us)
{
	uint32_t drawn = rt_version_at(s, req->draw);
	uint32_t largest = drawn;

	bool had_no_room =
	    s->versions[drawn].on_trial && req->include_secondary;

	if (!had_no_room && version_usable(s, req, drawn, now_us))
		return (drawn);
	for (uint32_t v = 0; v < s->n_versions; v++) {
		if (s->versions[v].share > s->versions[largest].share)
			largest = v;
	}
	return (largest);
}

/* Whether an upstream has been slow for so long that it will likely stay so. */
static bool
is_persistently_slow(const struct rt_stat *s, int64_t now_us)
{
	return (atomic_load(&s->slow_reports) >= PERSISTENT_SLOW_REPORTS &&
	    now_us - atomic_load(&s->slow_since_us) >= PERSISTENT_SLOW_US);
}

/* Whether to prefer others, as a recent report showed persistent slowness. */
static bool
is_known_slow(const struct rt_stat *s, int64_t now_us)
{
	return (is_persistently_slow(s, now_us) &&
	    now_us - atomic_load(&s->full_report_us) < SLOW_RECHECK_US);
}

/** struct search - criteria for the upstreams that add_candidates() draws */
struct search {
	const struct rt_service *s;
	const struct rt_request *req;
	int64_t now_us;
	uint32_t version;
	bool own_zone_only;
	bool include_ejected; /* also upstreams that are known to be slow */
	bool include_secondary;
};

static bool
matches(const struct search *q, const struct rt_upstream *u)
{
	if (u->version != q->version || !usable(u, q->req, q->now_us) ||
	    !needs_probe(u, q->now_us))
		return (false);
	if (q->own_zone_only && !bstr_eq(u->zone, q->req->zone))
		return (false);
	if (u->secondary && !q->include_secondary)
		return (false);
	return (q->include_ejected ||
	    (!rt_is_ejected(u->stat, q->now_us) &&
		!is_known_slow(u->stat, q->now_us)));
}

static bool
contains(const uint32_t *list, uint32_t n, uint32_t i)
{
	for (uint32_t k = 0; k < n; k++) {
		if (list[k] == i)
			return (true);
	}
	return (false);
}

/*
 * Adds matching upstreams until @out has @want of them, each with the same
 * probability (reservoir sampling).
 */
static uint32_t
add_candidates(const struct search *q, struct random *rng, uint32_t want,
    uint32_t n, uint32_t *out)
{
	uint32_t first = n, found = 0;

	for (uint32_t i = 0; i < q->s->n_upstreams && first < want; i++) {
		uint32_t at;

		if (!matches(q, &q->s->upstreams[i]) || contains(out, first, i))
			continue;
		at = first + (n < want ? found : rng_below(rng, found + 1));
		found++;
		if (at >= want)
			continue;
		out[at] = i;
		n += n < want;
	}
	return (n);
}

/*
 * Number of candidates in this VM's zone. Load reports are a large part of the
 * bytes between zones, so other zones are asked only when a request has found
 * no room in its own.
 */
static uint32_t
own_zone_candidates(const struct rt_request *req, uint32_t max)
{
	return (req->include_secondary ? max / 2 : max);
}

/* Finds the upstream that was freed, if it can be used. */
static uint32_t
freed_candidate(const struct search *q, uint32_t *out)
{
	for (uint32_t i = 0; i < q->s->n_upstreams; i++) {
		const struct rt_upstream *u = &q->s->upstreams[i];

		if (u->stat != q->req->freed)
			continue;
		out[0] = i;
		return (matches(q, u));
	}
	return (0);
}

uint32_t
load_choice_candidates(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng, uint32_t *out, uint32_t max)
{
	struct search q = {.s = s, .req = req, .now_us = now_us};
	uint32_t n = 0;

	if (s->n_upstreams == 0 || s->n_versions == 0)
		return (0);
	q.version = choose_version(s, req, now_us);
	q.include_secondary = true;
	if (req->freed != NULL && max != 0 && freed_candidate(&q, out) != 0)
		return (1);
	q.include_secondary = req->include_secondary;
	q.own_zone_only = true;
	n = add_candidates(&q, rng, own_zone_candidates(req, max), n, out);
	q.own_zone_only = false;
	n = add_candidates(&q, rng, max, n, out);
	q.include_secondary = true;
	n = add_candidates(&q, rng, max, n, out);
	q.include_ejected = n == 0;
	return (n != 0 ? n : add_candidates(&q, rng, max, n, out));
}

/*
 * The load is the last report plus the own calls started since, until the next
 * report resets that count. An upstream without reports would never reset it,
 * so its load is the own calls in flight, or that of a recent response.
 */
static int32_t
load_of(const struct rt_stat *s, int64_t now_us)
{
	int32_t started = atomic_load(&s->started_since_report);
	int32_t own = atomic_load(&s->in_flight);
	int32_t load;

	if (!atomic_load(&s->no_report))
		return (atomic_load(&s->reported) + atomic_load(&s->waiting) +
		    started);
	if (now_us - atomic_load(&s->reported_us) > LOAD_CHOICE_FRESH_US)
		return (own);
	load = atomic_load(&s->reported) + started;
	return (load > own ? load : own);
}

/* An upstream without reports counts as running at its normal pace. */
static double
pace_of(const struct rt_stat *s)
{
	if (atomic_load(&s->no_report))
		return (1);
	return (atomic_load(&s->pace) / NORMAL_PACE_PCT);
}

/*
 * An upstream is full at the share of its slots above which it gets slower:
 * beyond it, more concurrent requests lower the throughput. Requests for which
 * admission keeps the remaining slots may use them.
 */
static bool
is_full(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us)
{
	double limit = u->slots;

	if (u->slots >= SATURATION_MIN_SLOTS && !req->use_all_slots)
		limit *= SATURATION_SHARE;
	limit -= req->keep_slots;
	return (u->slots != 0 && load_of(u->stat, now_us) + 1 > limit);
}

/*
 * Whether the request should wait instead of starting at this upstream, see
 * SLOW_PACE_PCT. A request must not start where it cannot finish before its
 * deadline.
 */
static bool
should_wait(
    const struct rt_stat *s, const struct rt_request *req, int64_t now_us)
{
	int64_t pace = atomic_load(&s->pace);

	if (atomic_load(&s->no_report) || atomic_load(&s->slow_reports) == 0)
		return (false);
	if (req->work_us != 0 &&
	    req->work_us * pace / (int64_t)NORMAL_PACE_PCT > req->remaining_us)
		return (true);
	return (!req->accept_slow || !is_persistently_slow(s, now_us));
}

/* Estimates the time to finish one more request, in normal service times. */
static double
estimate_cost(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us)
{
	double slots = u->slots == 0 ? 1 : u->slots;
	double load = load_of(u->stat, now_us) + 1;
	double fail = atomic_load(&u->stat->fail_permille) / 1000.0;
	double x = pace_of(u->stat);

	if (load > slots * SATURATION_SHARE)
		x *= SATURATION_FACTOR;
	else
		x *= 1 + 0.1 * load / slots;
	if (load > slots)
		x += x * (load - slots) / slots;
	if (is_cold(u, now_us))
		x += COLD_COST;
	if (req->zone.n != 0 && !bstr_eq(u->zone, req->zone))
		x += OTHER_ZONE_COST;
	return (x * (1 + FAILURE_WEIGHT * fail));
}

/* Picks the best upstream of a version, one at random if several are equal. */
static int
pick_version(const struct rt_service *s, const struct rt_request *req,
    uint32_t version, bool include_ejected, int64_t now_us, struct random *rng)
{
	double best_cost = 0;
	uint32_t n_equal = 0;
	int best = RT_NONE;

	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		const struct rt_upstream *u = &s->upstreams[i];
		double x;

		if (u->version != version || !usable(u, req, now_us))
			continue;
		if (!include_ejected && rt_is_ejected(u->stat, now_us))
			continue;
		if (!atomic_load(&u->stat->no_report) &&
		    !load_choice_is_fresh(u->stat, now_us))
			continue;
		if (is_full(u, req, now_us) ||
		    should_wait(u->stat, req, now_us)) {
			if (best == RT_NONE)
				best = RT_FULL;
			continue;
		}
		x = estimate_cost(u, req, now_us);
		n_equal = best >= 0 && x == best_cost ? n_equal + 1 : 1;
		if (best < 0 || x < best_cost ||
		    (x == best_cost && rng_below(rng, n_equal) == 0)) {
			best = (int)i;
			best_cost = x;
		}
	}
	return (best);
}

int
load_choice_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng)
{
	uint32_t version;
	int i;

	if (s->n_upstreams == 0 || s->n_versions == 0)
		return (RT_NONE);
	version = choose_version(s, req, now_us);
	i = pick_version(s, req, version, false, now_us, rng);
	/* If all are ejected, the fault is likely elsewhere: use them all. */
	if (i == RT_NONE)
		i = pick_version(s, req, version, true, now_us, rng);
	return (i);
}

void
load_choice_room(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct load_choice_room *out)
{
	const struct rt_request plain = {0};

	*out = (struct load_choice_room){0};
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		const struct rt_upstream *u = &s->upstreams[i];
		int64_t at = atomic_load(&u->stat->full_report_us);

		if (u->slots == 0 || atomic_load(&u->stat->no_report) ||
		    !load_choice_is_fresh(u->stat, now_us))
			continue;
		out->asked++;
		out->room += !is_full(u, &plain, now_us) &&
		    usable(u, req, now_us) &&
		    !should_wait(u->stat, req, now_us);
		out->above_share +=
		    load_of(u->stat, now_us) > u->slots * SATURATION_SHARE;
		if (now_us - at > out->age_us)
			out->age_us = now_us - at;
	}
}

bool
load_choice_may_take(const struct rt_service *s, const struct rt_upstream *u,
    const struct rt_request *req, int64_t now_us)
{
	const struct rt_stat *stat = u->stat;

	return (usable(u, req, now_us) && !is_cold(u, now_us) &&
	    now_us >= atomic_load(&stat->no_probe_until_us) &&
	    !rt_is_ejected(stat, now_us) &&
	    (u->slots == 0 ||
		atomic_load(&stat->in_flight) < (int32_t)u->slots) &&
	    u->version == choose_version(s, req, now_us));
}

int64_t
load_choice_first_return_us(const struct rt_service *s, int64_t now_us)
{
	int64_t first_us = 0;

	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		int64_t left_us =
		    terms_pause_left_us(&s->upstreams[i].stat->terms, now_us);

		if (left_us != 0 && (first_us == 0 || left_us < first_us))
			first_us = left_us;
	}
	return (first_us);
}

void
load_choice_on_start(const struct rt_upstream *u, int64_t now_us)
{
	if (is_cold(u, now_us))
		atomic_store(&u->stat->cold_sent_us, now_us);
}
