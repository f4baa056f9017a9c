#include "route/load_choice.h"

#include <math.h>

#define USUAL_PACE 100.0
/* Share of the slots above which upstreams get slower, and by how much. */
#define KNEE_SHARE 0.8
#define KNEE_FACTOR 1.7
/* With fewer slots the share above is too coarse, and all slots are used. */
#define KNEE_MIN_SLOTS 5
/*
 * A request that starts at this pace keeps its slot several times as long,
 * while the pace itself lasts for about 150 ms: it had better wait.
 */
#define SLOWED_PACE 250
/* An upstream that reports it this often for this long is slow for good. */
#define SLOW_REPORTS 4
#define SLOW_US 600000
/* It is asked again after this, or when there is no other. */
#define SLOW_KNOWN_US 1000000
/* Cost of leaving the availability zone, as a share of a usual request. */
#define OTHER_ZONE_COST 0.05
/* A cold upstream works slowly; it is chosen after all others of its load. */
#define COLD_COST 4.0
/* An upstream whose calls all fail costs this many times more. */
#define FAIL_WEIGHT 12.0

/* Counts the reports of a slow pace in a row. */
static void
learn_pace(struct rt_stat *s, int32_t pace, int64_t now_us)
{
	if (pace < SLOWED_PACE) {
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
	atomic_store(&s->silent_until_us, 0);
	if (r->refusing) {
		atomic_store(
		    &s->refusing_until_us, now_us + LOAD_CHOICE_REFUSAL_US);
		return;
	}
	atomic_store(&s->refusing_until_us, 0);
	atomic_store(
	    &s->cold_until_us, r->cold_us > 0 ? now_us + r->cold_us : 0);
	if (r->none) {
		atomic_store(&s->no_report, true);
		return;
	}
	atomic_store(&s->no_report, false);
	atomic_store(&s->reported, r->running);
	atomic_store(&s->waiting, r->waiting);
	atomic_store(&s->pace, r->pace);
	learn_pace(s, r->pace, now_us);
	atomic_store(&s->started_since, 0);
	atomic_store(&s->reported_us, now_us);
	atomic_store(&s->asked_us, now_us);
}

void
load_choice_on_silence(struct rt_stat *s, int64_t now_us)
{
	atomic_store(&s->silent_until_us, now_us + LOAD_CHOICE_SILENCE_US);
}

bool
load_choice_is_fresh(const struct rt_stat *s, int64_t now_us)
{
	int64_t at = atomic_load(&s->asked_us);

	return (at != 0 && now_us - at <= LOAD_CHOICE_FRESH_US);
}

static bool
is_cold(const struct rt_upstream *u, int64_t now_us)
{
	return (u->state == RT_COLD ||
	    now_us < atomic_load(&u->stat->cold_until_us));
}

/* Whether this process may send a request to an upstream if it is cold. */
static bool
cold_allows(const struct rt_upstream *u, int64_t now_us)
{
	if (!is_cold(u, now_us))
		return (true);
	return (u->cold_share &&
	    now_us - atomic_load(&u->stat->cold_sent_us) >=
		LOAD_CHOICE_COLD_SPACING_US);
}

static bool
usable(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us)
{
	return (rt_is_eligible(u, req) &&
	    now_us >= atomic_load(&u->stat->refusing_until_us) &&
	    cold_allows(u, now_us));
}

static bool
must_ask(const struct rt_upstream *u, int64_t now_us)
{
	return (!atomic_load(&u->stat->no_report) &&
	    now_us >= atomic_load(&u->stat->silent_until_us));
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
 * The version that was drawn. One that has no usable upstream gives its
 * requests to the version with the largest share, never to a smaller one: the
 * share of a new version is a limit.
 */
static uint32_t
version_for(
    const struct rt_service *s, const struct rt_request *req, int64_t now_us)
{
	uint32_t drawn = rt_version_at(s, req->draw);
	uint32_t largest = drawn;

	if (version_usable(s, req, drawn, now_us))
		return (drawn);
	for (uint32_t v = 0; v < s->n_versions; v++) {
		if (s->versions[v].share > s->versions[largest].share)
			largest = v;
	}
	return (largest);
}

/* Whether an upstream has been slow for so long that it is likely to stay so.
 */
static bool
is_slow_for_good(const struct rt_stat *s, int64_t now_us)
{
	return (atomic_load(&s->slow_reports) >= SLOW_REPORTS &&
	    now_us - atomic_load(&s->slow_since_us) >= SLOW_US);
}

/* Whether another candidate is more likely to be fast. */
static bool
was_slow(const struct rt_stat *s, int64_t now_us)
{
	return (is_slow_for_good(s, now_us) &&
	    now_us - atomic_load(&s->asked_us) < SLOW_KNOWN_US);
}

/** struct search - which upstreams add_candidates() takes */
struct search {
	const struct rt_service *s;
	const struct rt_request *req;
	int64_t now_us;
	uint32_t version;
	bool own_zone;
	bool any; /* also the ejected ones */
	bool far; /* also the far ones */
};

static bool
fits(const struct search *q, const struct rt_upstream *u)
{
	if (u->version != q->version || !usable(u, q->req, q->now_us) ||
	    !must_ask(u, q->now_us))
		return (false);
	if (q->own_zone && !bstr_eq(u->zone, q->req->zone))
		return (false);
	if (u->far && !q->far)
		return (false);
	return (q->any ||
	    (!rt_is_ejected(u->stat, q->now_us) &&
		!was_slow(u->stat, q->now_us)));
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

/* Draws upstreams that fit until @out has @want of them. */
static uint32_t
add_candidates(const struct search *q, struct random *rng, uint32_t want,
    uint32_t n, uint32_t *out)
{
	while (n < want) {
		uint32_t start = rng_below(rng, q->s->n_upstreams);
		uint32_t before = n;

		for (uint32_t k = 0; k < q->s->n_upstreams; k++) {
			uint32_t i = (start + k) % q->s->n_upstreams;

			if (!fits(q, &q->s->upstreams[i]) ||
			    contains(out, n, i))
				continue;
			out[n++] = i;
			break;
		}
		if (n == before)
			break;
	}
	return (n);
}

uint32_t
load_choice_candidates(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng, uint32_t *out, uint32_t max)
{
	struct search q = {.s = s, .req = req, .now_us = now_us};
	uint32_t n = 0;

	if (s->n_upstreams == 0 || s->n_versions == 0)
		return (0);
	q.version = version_for(s, req, now_us);
	q.far = req->wide;
	q.own_zone = true;
	n = add_candidates(&q, rng, max / 2, n, out);
	q.own_zone = false;
	n = add_candidates(&q, rng, max, n, out);
	q.far = true;
	n = add_candidates(&q, rng, max, n, out);
	q.any = n == 0;
	return (n != 0 ? n : add_candidates(&q, rng, max, n, out));
}

static int32_t
load_of(const struct rt_stat *s)
{
	return (atomic_load(&s->reported) + atomic_load(&s->waiting) +
	    atomic_load(&s->started_since));
}

/*
 * An upstream takes requests up to the share of its slots above which it gets
 * slower: beyond it, more requests at a time are fewer requests a second.
 */
static bool
is_full(const struct rt_upstream *u)
{
	double limit = u->slots;

	if (u->slots >= KNEE_MIN_SLOTS)
		limit *= KNEE_SHARE;
	return (u->slots != 0 && load_of(u->stat) + 1 > limit);
}

/*
 * Whether the request should wait rather than go there, see SLOWED_PACE. Where
 * it could not end in its time it must not start at all.
 */
static bool
is_slowed(const struct rt_stat *s, const struct rt_request *req, int64_t now_us)
{
	int64_t pace = atomic_load(&s->pace);

	if (atomic_load(&s->no_report) || atomic_load(&s->slow_reports) == 0)
		return (false);
	if (req->work_us != 0 &&
	    req->work_us * pace / (int64_t)USUAL_PACE > req->left_us)
		return (true);
	return (!req->hurried || !is_slow_for_good(s, now_us));
}

/* Time until one more request ends, in usual service times. */
static double
cost(const struct rt_upstream *u, const struct rt_request *req, int64_t now_us)
{
	double slots = u->slots == 0 ? 1 : u->slots;
	double load = load_of(u->stat) + 1;
	double pace = atomic_load(&u->stat->pace) / USUAL_PACE;
	double fail = atomic_load(&u->stat->fail_permille) / 1000.0;
	double x = pace;

	if (load > slots * KNEE_SHARE)
		x *= KNEE_FACTOR;
	else
		x *= 1 + 0.1 * load / slots;
	if (load > slots)
		x += x * (load - slots) / slots;
	if (is_cold(u, now_us))
		x += COLD_COST;
	if (req->zone.n != 0 && !bstr_eq(u->zone, req->zone))
		x += OTHER_ZONE_COST;
	return (x * (1 + FAIL_WEIGHT * fail));
}

/* Best upstream of a version; @any includes the ejected ones. */
static int
pick_version(const struct rt_service *s, const struct rt_request *req,
    uint32_t version, bool any, int64_t now_us, struct random *rng)
{
	uint32_t start = rng_below(rng, s->n_upstreams);
	double best_cost = 0;
	int best = RT_NONE;

	for (uint32_t k = 0; k < s->n_upstreams; k++) {
		uint32_t i = (start + k) % s->n_upstreams;
		const struct rt_upstream *u = &s->upstreams[i];
		double x;

		if (u->version != version || !usable(u, req, now_us))
			continue;
		if (!any && rt_is_ejected(u->stat, now_us))
			continue;
		if (!atomic_load(&u->stat->no_report) &&
		    !load_choice_is_fresh(u->stat, now_us))
			continue;
		if (is_full(u) || is_slowed(u->stat, req, now_us)) {
			if (best == RT_NONE)
				best = RT_FULL;
			continue;
		}
		x = cost(u, req, now_us);
		if (best < 0 || x < best_cost) {
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
	version = version_for(s, req, now_us);
	i = pick_version(s, req, version, false, now_us, rng);
	/* When all are ejected the fault is likely elsewhere: use them all. */
	if (i == RT_NONE)
		i = pick_version(s, req, version, true, now_us, rng);
	return (i);
}

bool
load_choice_may_take(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us)
{
	const struct rt_stat *s = u->stat;

	return (usable(u, req, now_us) && !is_cold(u, now_us) &&
	    now_us >= atomic_load(&s->silent_until_us) &&
	    !rt_is_ejected(s, now_us) &&
	    (u->slots == 0 || atomic_load(&s->in_flight) < (int32_t)u->slots));
}

void
load_choice_on_start(const struct rt_upstream *u, int64_t now_us)
{
	if (is_cold(u, now_us))
		atomic_store(&u->stat->cold_sent_us, now_us);
}
