#include "route/routing.h"

#include <math.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "route/concurrency_limit.h"

/* A sample has the weight 1 / 2^SHIFT in its moving average. */
#define SERVICE_SHIFT 4
#define FAIL_SHIFT 4
#define PERMILLE 1000
#define MIN_SERVICE_US 100.0

/* Above this number of upstreams, a pick considers a sample of them. */
#define FULL_SCAN_MAX 32
#define SAMPLE_SIZE 16

/* The weight of a reported load falls to 1/e in this many service times. */
#define REPORT_DECAY_SERVICES 4.0
/* A failure rate of 100% raises the score by this many times its value. */
#define FAIL_WEIGHT 20.0
/*
 * Without calls, the history of a slow or failing upstream loses half its
 * weight in this time, so that a recovered upstream is tried again.
 */
#define HISTORY_HALF_LIFE_US 1000000.0
/*
 * An upstream with at least this failure rate gets one call at a time, and the
 * next call only after the pause.
 */
#define EJECT_PERMILLE 500
#define EJECT_PAUSE_US 200000

struct rt_stat *
rt_stat_new(void)
{
	struct rt_stat *s = alloc_zeroed(1, sizeof(*s));

	atomic_init(&s->refs, 1);
	atomic_init(&s->reported, -1);
	terms_init(&s->terms);
	return (s);
}

struct rt_stat *
rt_stat_ref(struct rt_stat *s)
{
	atomic_fetch_add(&s->refs, 1);
	return (s);
}

void
rt_stat_unref(struct rt_stat *s)
{
	if (atomic_fetch_sub(&s->refs, 1) == 1)
		free(s);
}

bool
rt_state_needs_report(
    const struct rt_stat *s, enum rt_state in_table, enum rt_state seen)
{
	return (seen != in_table ||
	    (int32_t)seen != atomic_load(&s->state_reported));
}

struct rt_tally *
rt_tally_new(void)
{
	struct rt_tally *t = alloc_zeroed(1, sizeof(*t));

	atomic_init(&t->refs, 1);
	return (t);
}

struct rt_tally *
rt_tally_ref(struct rt_tally *t)
{
	atomic_fetch_add(&t->refs, 1);
	return (t);
}

void
rt_tally_unref(struct rt_tally *t)
{
	if (atomic_fetch_sub(&t->refs, 1) == 1)
		free(t);
}

struct rt_tally *
rt_tally_at(
    const struct rt_service *s, const struct rt_route *route, uint32_t version)
{
	uint32_t r = (uint32_t)(route - s->routes);

	if (s->tallies == NULL || version >= s->n_versions)
		return (NULL);
	return (s->tallies[r * s->n_versions + version]);
}

struct bstr
rt_draw_split(
    const struct rt_service *s, const struct rt_route *r, struct random *rng)
{
	uint32_t total = 0, x;

	for (uint32_t i = 0; i < r->n_splits; i++)
		total += r->splits[i].weight;
	if (total == 0)
		return (r->n_splits == 0 ? s->name : r->splits[0].service);
	x = rng_below(rng, total);
	for (uint32_t i = 0; i < r->n_splits; i++) {
		if (x < r->splits[i].weight)
			return (r->splits[i].service);
		x -= r->splits[i].weight;
	}
	return (r->splits[0].service);
}

uint32_t
rt_version_at(const struct rt_service *s, uint32_t draw)
{
	for (uint32_t v = 0; v < s->n_versions; v++) {
		if (draw < s->versions[v].share)
			return (v);
		draw -= s->versions[v].share;
	}
	return (0);
}

bool
rt_is_ejected(const struct rt_stat *s, int64_t now_us)
{
	if (atomic_load(&s->fail_permille) < EJECT_PERMILLE)
		return (false);
	return (atomic_load(&s->in_flight) > 0 ||
	    now_us - atomic_load(&s->updated_us) < EJECT_PAUSE_US);
}

bool
rt_is_eligible(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us)
{
	const struct rt_stat *s = u->stat;

	if (u->state != RT_READY && u->state != RT_COLD)
		return (false);
	if (!terms_allow(&s->terms, u->rank, u->n_vms, now_us))
		return (false);
	for (uint32_t i = 0; i < req->n_excluded; i++) {
		if (req->excluded[i] == s)
			return (false);
	}
	return (true);
}

/* Returns the weight, 0 to 1, of averages last updated by a finished call. */
static double
history_weight(const struct rt_stat *s, int64_t now_us)
{
	int64_t idle = now_us - atomic_load(&s->updated_us);

	return (idle <= 0 ? 1 : exp2(-(double)idle / HISTORY_HALF_LIFE_US));
}

/*
 * Estimates the cost of one more call. The score is based on the calls of this
 * process in flight, whose number is exact. A load report is outdated on
 * arrival, and all VMs receive much the same one, so it only scales the score.
 * Taking the square root of the service time prevents small differences between
 * equal upstreams from attracting all calls.
 */
static double
score(const struct rt_upstream *u, int64_t now_us)
{
	struct rt_stat *s = u->stat;
	int32_t reported = atomic_load(&s->reported);
	double age = (double)(now_us - atomic_load(&s->reported_us));
	double weight = history_weight(s, now_us);
	double service = (double)atomic_load(&s->service_us);
	double fail = atomic_load(&s->fail_permille) * weight / PERMILLE;
	double x = atomic_load(&s->in_flight) + 1;

	if (service < MIN_SERVICE_US)
		service = MIN_SERVICE_US;
	if (reported > 0 && u->slots > 0)
		x *= 1 +
		    exp(-age / (REPORT_DECAY_SERVICES * service)) * reported /
			u->slots;
	x *= sqrt(fmax(service * weight, MIN_SERVICE_US));
	return (x * (1 + FAIL_WEIGHT * fail));
}

static bool
has_permit(const struct rt_stat *s, int64_t now_us)
{
	return (now_us < atomic_load(&s->permits_until_us) &&
	    atomic_load(&s->in_flight) < atomic_load(&s->permits));
}

/* Index of the best candidate so far, RT_NONE or RT_FULL, and its score. */
struct choice {
	int best;
	double score;
};

static void
consider(
    struct choice *c, const struct rt_service *s, uint32_t i, int64_t now_us)
{
	const struct rt_upstream *u = &s->upstreams[i];
	double x;

	if (u->state == RT_COLD)
		atomic_store_explicit(
		    &u->stat->cold_demand_us, now_us, memory_order_relaxed);
	if ((u->state == RT_COLD && !has_permit(u->stat, now_us)) ||
	    lim_is_full(u->stat, u->slots, now_us)) {
		if (c->best == RT_NONE)
			c->best = RT_FULL;
		return;
	}
	x = score(u, now_us);
	if (c->best < 0 || x < c->score) {
		c->best = (int)i;
		c->score = x;
	}
}

static int
pick_version(const struct rt_service *s, uint32_t version,
    const struct rt_request *req, bool include_ejected, int64_t now_us,
    struct random *rng)
{
	struct choice c = {.best = RT_NONE};
	uint32_t n = s->n_upstreams;
	uint32_t start = rng_below(rng, n);
	uint32_t samples_left = n > FULL_SCAN_MAX ? SAMPLE_SIZE : n;
	/* A step coprime to n visits each index exactly once. */
	uint32_t step = 1 + rng_below(rng, n == 0 ? 1 : n);
	uint32_t a = n, b = step;

	while (b != 0) {
		uint32_t r = a % b;

		a = b;
		b = r;
	}
	if (a != 1)
		step = 1;
	for (uint32_t k = 0, i = start; k < n && samples_left > 0; k++) {
		const struct rt_upstream *u = &s->upstreams[i];

		i = (i + step) % n;
		if (u->version != version || !rt_is_eligible(u, req, now_us))
			continue;
		if (!include_ejected && rt_is_ejected(u->stat, now_us))
			continue;
		consider(&c, s, (uint32_t)(u - s->upstreams), now_us);
		/* Full upstreams do not count until a usable one is found. */
		samples_left -= c.best != RT_FULL;
	}
	return (c.best);
}

int
rt_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng)
{
	uint32_t version = rt_version_at(s, rng_below(rng, PERMILLE));
	int i = pick_version(s, version, req, false, now_us, rng);

	/*
	 * Calls to a version without a usable upstream go to another version
	 * rather than fail.
	 */
	for (uint32_t v = 0; i == RT_NONE && v < s->n_versions; v++) {
		if (v != version && s->versions[v].share > 0)
			i = pick_version(s, v, req, false, now_us, rng);
	}
	/* If all upstreams are ejected, the fault is likely elsewhere. */
	if (i == RT_NONE)
		i = pick_version(s, version, req, true, now_us, rng);
	return (i);
}

bool
rt_try_start(struct rt_stat *s, bool cold, int64_t now_us)
{
	int32_t own = atomic_load(&s->in_flight);

	/*
	 * Workers may pick concurrently, so a compare-and-swap takes the
	 * permit. The expiry is read before the permits, because the control
	 * thread stores a smaller number of permits before a later expiry.
	 */
	do {
		if (cold &&
		    (now_us >= atomic_load(&s->permits_until_us) ||
			own >= atomic_load(&s->permits)))
			return (false);
	} while (!atomic_compare_exchange_weak(&s->in_flight, &own, own + 1));
	atomic_fetch_add(&s->started_since_report, 1);
	terms_on_send(&s->terms, now_us);
	return (true);
}

/*
 * Estimates the service time without queueing. If the load exceeds the slots,
 * the latency is assumed to have grown by the factor load / slots.
 */
static int64_t
service_time(const struct rt_result *r, uint32_t slots)
{
	int64_t load = (int64_t)r->reported + 1;

	if (slots == 0 || load <= (int64_t)slots)
		return (r->latency_us);
	return (r->latency_us * (int64_t)slots / load);
}

/*
 * The average decays by the idle time before a smaller sample is added, so that
 * a recovered upstream is used again after a single call.
 */
static void
update_service_time(struct rt_stat *s, int64_t sample, double weight)
{
	int64_t service = atomic_load(&s->service_us);

	if (sample < service) {
		int64_t decayed = (int64_t)((double)service * weight);

		service = decayed > sample ? decayed : sample;
	}
	service += (sample - service) >> SERVICE_SHIFT;
	atomic_store(&s->service_us, service);
}

/*
 * The rate decays by the idle time before a success is added, so that a
 * recovered upstream is used again. A failure is added without decay.
 */
static void
update_fail_rate(struct rt_stat *s, bool failed, double weight)
{
	int32_t fail = atomic_load(&s->fail_permille);

	if (failed)
		fail += (PERMILLE - fail) / (1 << FAIL_SHIFT);
	else
		fail = (int32_t)(fail * weight) * ((1 << FAIL_SHIFT) - 1) /
		    (1 << FAIL_SHIFT);
	atomic_store(&s->fail_permille, fail);
}

void
rt_on_finish(struct rt_stat *s, uint32_t slots, const struct rt_result *result,
    int64_t now_us)
{
	double weight = history_weight(s, now_us);

	atomic_fetch_sub(&s->in_flight, 1);
	if (result->failed)
		atomic_fetch_add(&s->failed, 1);
	else if (result->slow)
		atomic_fetch_add(&s->slow, 1);
	else if (result->latency_us != RT_NO_SAMPLE)
		atomic_fetch_add(&s->good, 1);
	if (result->reported >= 0) {
		atomic_store(&s->reported, result->reported);
		atomic_store(&s->reported_us, now_us);
		atomic_store(&s->started_since_report, 0);
	}
	if (result->latency_us != RT_NO_SAMPLE)
		update_service_time(s, service_time(result, slots), weight);
	update_fail_rate(s, result->failed, weight);
	atomic_store(&s->updated_us, now_us);
}
