#include "front/upstream_choice.h"

#include <string.h>
#include <urcu.h>

#include "front/load_query.h"
#include "front/worker_service.h"
#include "front/worker.h"
#include "sys/clocks.h"

static void
choose(struct call *c, const struct rt_service *s, const struct rt_upstream *u)
{
	const struct rt_route *r = rt_find_route(s, c->path);
	struct rt_tally *t = r == NULL ? NULL : rt_tally_at(s, r, u->version);

	c->upstream = rt_stat_ref(u->stat);
	load_choice_on_start(u, clk_mono_us());
	memcpy(c->instance, u->id.p, u->id.n);
	c->instance[u->id.n] = '\0';
	c->tally = t == NULL ? NULL : rt_tally_ref(t);
	c->up_state = u->state;
	c->chosen =
	    (struct call_choice){.running = atomic_load(&u->stat->reported),
		.waiting = atomic_load(&u->stat->waiting),
		.pace = atomic_load(&u->stat->pace),
		.age_us = clk_mono_us() - atomic_load(&u->stat->reported_us),
		.table_version = shared_version(worker_env(c->w))};
	c->slots = u->slots;
	c->slow_us = s->slow_us;
	memcpy(c->addr, u->addr.p, u->addr.n);
	c->addr[u->addr.n] = '\0';
}

static struct rt_request
request_of(const struct call *c)
{
	struct rt_request req = {.n_excluded = c->n_excluded,
	    .zone = bstr_from(worker_env(c->w)->zone),
	    .draw = c->draw,
	    .hurried = c->hurried,
	    .wide = c->park_until_us != 0,
	    .work_us = c->svc->work_us,
	    .left_us = c->deadline_us - clk_mono_us()};

	for (uint32_t k = 0; k < c->n_excluded; k++)
		req.excluded[k] = c->excluded[k];
	return (req);
}

/* Services that can be asked for their load are chosen by it. */
static worker_pick_fn
choose_fn(const struct worker *w, const struct rt_service *s)
{
	return (s->probe_path.n != 0 ? load_choice_pick : worker_pick(w));
}

/*
 * Picks an upstream to which this worker has a free connection and starts the
 * call there. Without this,
 * libcurl would let the transfer wait for one until its deadline.
 */
static int
pick_free(struct call *c, const struct rt_service *s, int64_t now_us)
{
	struct rt_request req = request_of(c);
	bool full = false;
	int i;

	for (;;) {
		i = choose_fn(c->w, s)(s, &req, now_us, worker_rng(c->w));
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
ask(struct call *c, const struct rt_service *s, int64_t now_us)
{
	struct rt_request req = request_of(c);

	return (load_query_start(c, s, &req, now_us));
}

/* Asks upstreams for their load once before a choice. */
static bool
load_query_first(struct call *c, const struct rt_service *s, int64_t now_us)
{
	if (!c->may_ask)
		return (false);
	c->may_ask = false;
	return (ask(c, s, now_us));
}

/* None of those that were asked can be used: asks the others. */
static bool
load_query_again(struct call *c, const struct rt_service *s, int64_t now_us)
{
	return (ask(c, s, now_us));
}

bool
upstream_choice_has_other(const struct call *c, int64_t now_us)
{
	const struct rt_request req = request_of(c);
	const struct rt_service *s;
	bool found = false;

	rcu_read_lock();
	s = rt_find_service(shared_table(worker_env(c->w)), c->svc->name);
	for (uint32_t i = 0; s != NULL && i < s->n_upstreams && !found; i++) {
		const struct rt_upstream *u = &s->upstreams[i];

		found = u->stat != c->upstream &&
		    load_choice_may_take(u, &req, now_us) &&
		    worker_has_connection(c->w, u->stat);
	}
	rcu_read_unlock();
	return (found);
}

int
upstream_choice_upstream(struct call *c, int64_t now_us)
{
	const struct rt_service *s;
	int i = RT_NONE;

	rcu_read_lock();
	s = rt_find_service(shared_table(worker_env(c->w)), c->svc->name);
	if (s != NULL && load_query_first(c, s, now_us))
		i = UPSTREAM_CHOICE_WAIT;
	else if (s != NULL && s->n_upstreams != 0)
		i = pick_free(c, s, now_us);
	if (i == RT_NONE && s != NULL && load_query_again(c, s, now_us))
		i = UPSTREAM_CHOICE_WAIT;
	if (i >= 0) {
		choose(c, s, &s->upstreams[i]);
		i = 0;
	}
	rcu_read_unlock();
	return (i);
}
