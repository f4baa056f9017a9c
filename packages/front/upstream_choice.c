#include "front/upstream_choice.h"

#include <string.h>
#include <urcu.h>

#include "front/load_query.h"
#include "front/worker.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

/* Copies what the call needs of the routing table. */
static void
fill_pick(struct upstream_pick *out, const struct call *c,
    const struct rt_service *s, const struct rt_upstream *u)
{
	const struct rt_route *r = rt_find_route(s, c->path);
	struct rt_tally *t = r == NULL ? NULL : rt_tally_at(s, r, u->version);

	load_choice_on_start(u, clk_mono_us());
	*out = (struct upstream_pick){.upstream = rt_stat_ref(u->stat),
	    .tally = t == NULL ? NULL : rt_tally_ref(t),
	    .upstream_state = u->state,
	    .slots = u->slots,
	    .slow_us = s->slow_us,
	    .chosen = {.running = atomic_load(&u->stat->reported),
		.waiting = atomic_load(&u->stat->waiting),
		.pace = atomic_load(&u->stat->pace),
		.age_us = clk_mono_us() - atomic_load(&u->stat->reported_us),
		.table_version = shared_version(worker_shared_state(c->w))}};
	memcpy(out->instance, u->id.p, u->id.n);
	memcpy(out->addr, u->addr.p, u->addr.n);
}

void
upstream_choice_apply(struct call_attempt *a, const struct upstream_pick *p)
{
	a->upstream = p->upstream;
	a->tally = p->tally;
	a->upstream_state = p->upstream_state;
	a->slots = p->slots;
	a->slow_us = p->slow_us;
	a->chosen = p->chosen;
	memcpy(a->instance, p->instance, sizeof(a->instance));
	memcpy(a->addr, p->addr, sizeof(a->addr));
}

static struct rt_request
make_request(struct call *c, const struct rt_service *s)
{
	struct rt_request req = {.n_excluded = c->n_excluded,
	    .zone = bstr_from(worker_shared_state(c->w)->zone),
	    .draw = c->draw,
	    .accept_slow = c->accept_slow,
	    .include_secondary = c->wait_until_us != 0 || c->other_zones,
	    .work_us = c->service_state->work_us,
	    .remaining_us = c->deadline_us - clk_mono_us()};

	if (c->ranked)
		worker_service_set_terms(
		    c, s->n_upstreams == 0 ? 0 : s->upstreams[0].slots, &req);
	for (uint32_t k = 0; k < c->n_excluded; k++)
		req.excluded[k] = c->excluded[k];
	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		struct rt_stat *held = c->held[i].upstream;

		if (held != NULL && req.n_excluded < RT_MAX_EXCLUDED)
			req.excluded[req.n_excluded++] = held;
	}
	return (req);
}

/* Services with a probe path are balanced by the reported load. */
static worker_pick_fn
pick_fn(const struct worker *w, const struct rt_service *s)
{
	return (s->probe_path.n != 0 ? load_choice_pick : worker_pick(w));
}

/*
 * Picks an upstream for which this worker has a connection available and
 * reserves a slot there. Without the check for a connection, libcurl would
 * queue the transfer until the deadline of the call.
 */
static int
pick_free(struct call *c, const struct rt_service *s, int64_t now_us)
{
	struct rt_request req = make_request(c, s);
	bool full = false;
	int i;

	if (c->ranked)
		worker_service_on_load(c, s, &req, now_us);
	for (;;) {
		i = pick_fn(c->w, s)(s, &req, now_us, worker_rng(c->w));
		if (i < 0)
			return (full ? RT_FULL : i);
		if (s->upstreams[i].addr.n > CALL_ADDR_MAX ||
		    s->upstreams[i].id.n > CALL_ID_MAX)
			return (RT_NONE);
		if (worker_has_connection(c->w, s->upstreams[i].stat) &&
		    rt_try_start(s->upstreams[i].stat,
			s->upstreams[i].state == RT_COLD &&
			    s->probe_path.n == 0,
			now_us))
			return (i);
		if (req.n_excluded == RT_MAX_EXCLUDED)
			return (RT_FULL);
		req.excluded[req.n_excluded++] = s->upstreams[i].stat;
		full = true;
	}
}

static bool
query_load(struct call *c, const struct rt_service *s, int64_t now_us)
{
	struct rt_request req = make_request(c, s);

	return (load_query_start(c, s, &req, now_us));
}

/* Queries candidates for their load, once before each choice. */
static bool
query_before_choice(struct call *c, const struct rt_service *s, int64_t now_us)
{
	if (!c->may_probe)
		return (false);
	c->may_probe = false;
	return (query_load(c, s, now_us));
}

/* Queries the remaining upstreams, as none of those queried can be used. */
static bool
query_remaining(struct call *c, const struct rt_service *s, int64_t now_us)
{
	return (query_load(c, s, now_us));
}

/*
 * The upstreams queried first are in this VM's own zone. When they have no
 * room, those of other zones are queried at once; waiting costs the call more
 * than the way to another zone.
 */
static int
pick_other_zones(struct call *c, const struct rt_service *s, int64_t now_us)
{
	c->other_zones = true;
	if (query_load(c, s, now_us))
		return (UPSTREAM_CHOICE_WAIT);
	return (pick_free(c, s, now_us));
}

bool
upstream_choice_has_other(struct call *c, int64_t now_us)
{
	struct rt_request req = {0};
	const struct rt_service *s;
	bool found = false;

	rcu_read_lock();
	s = rt_find_service(
	    shared_table(worker_shared_state(c->w)), c->service_state->name);
	if (s != NULL)
		req = make_request(c, s);
	for (uint32_t i = 0; s != NULL && i < s->n_upstreams && !found; i++) {
		const struct rt_upstream *u = &s->upstreams[i];

		found = load_choice_may_take(s, u, &req, now_us) &&
		    worker_has_connection(c->w, u->stat);
	}
	rcu_read_unlock();
	return (found);
}

int
upstream_choice_pick(struct call *c, int64_t now_us, struct upstream_pick *out)
{
	const struct rt_service *s;
	int i = RT_NONE;

	rcu_read_lock();
	s = rt_find_service(
	    shared_table(worker_shared_state(c->w)), c->service_state->name);
	if (s != NULL && query_before_choice(c, s, now_us))
		i = UPSTREAM_CHOICE_WAIT;
	else if (s != NULL && s->n_upstreams != 0)
		i = pick_free(c, s, now_us);
	if (i == RT_FULL && !c->other_zones)
		i = pick_other_zones(c, s, now_us);
	if (i == RT_NONE && s != NULL && query_remaining(c, s, now_us))
		i = UPSTREAM_CHOICE_WAIT;
	/*
	 * Without load reports it is unknown whether a slot is free. A ranked
	 * call waits for reports.
	 */
	if (i == RT_NONE && c->ranked && s != NULL &&
	    s->n_upstreams > c->n_excluded)
		i = RT_FULL;
	c->pause_left_us = i == RT_NONE && s != NULL
	    ? load_choice_first_return_us(s, now_us)
	    : 0;
	if (i >= 0) {
		fill_pick(out, c, s, &s->upstreams[i]);
		i = 0;
	}
	rcu_read_unlock();
	return (i);
}
