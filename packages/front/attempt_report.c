#include "front/attempt_report.h"

#include <stdlib.h>
#include <urcu.h>

#include "front/worker.h"
#include "front/worker_msg.h"
#include "front/worker_service.h"

/* The table is cleared at this size, to drop entries of removed upstreams. */
#define MAX_REPORT_TIMES 16384

static bool
parse_state(struct bstr s, enum rt_state *out)
{
	if (bstr_caseeq(s, BSTR("ready")))
		*out = RT_READY;
	else if (bstr_caseeq(s, BSTR("cold")))
		*out = RT_COLD;
	else if (bstr_caseeq(s, BSTR("draining")))
		*out = RT_DRAINING;
	else
		return (false);
	return (true);
}

/* Whether the rate limit allows a report now; records its time if so. */
static bool
may_report(struct worker *w, struct bstr id, int64_t now_us)
{
	GHashTable *times = worker_reported_states(w);
	int64_t *at = g_hash_table_lookup(times, id.p);

	if (at != NULL && now_us - *at < ATTEMPT_REPORT_STATE_PERIOD_MS * 1000)
		return (false);
	if (at == NULL) {
		if (g_hash_table_size(times) >= MAX_REPORT_TIMES)
			g_hash_table_remove_all(times);
		at = g_new(int64_t, 1);
		g_hash_table_insert(times, g_strndup(id.p, id.n), at);
	}
	*at = now_us;
	return (true);
}

static void
push_state(struct worker *w, struct bstr id, enum rt_state state)
{
	struct worker_msg_upstream_state *m = calloc(1, sizeof(*m));

	if (m == NULL)
		abort();
	m->m.type = WORKER_MSG_UPSTREAM_STATE;
	memcpy(m->id, id.p, id.n);
	m->state = state;
	msgq_push(worker_shared_state(w)->control, &m->m);
}

void
attempt_report_state(struct call_attempt *a, int64_t now_us)
{
	struct bstr value = response_head_find(&a->head, BSTR("X-State"));
	struct call *c = a->call;
	const struct rt_service *s;
	enum rt_state state;

	if (!parse_state(value, &state) ||
	    worker_shared_state(c->w)->control == NULL)
		return;
	if (!rt_state_needs_report(a->upstream, a->upstream_state, state))
		return;
	rcu_read_lock();
	s = rt_find_service(
	    shared_table(worker_shared_state(c->w)), c->service_state->name);
	for (uint32_t i = 0; s != NULL && i < s->n_upstreams; i++) {
		const struct rt_upstream *u = &s->upstreams[i];

		if (u->stat != a->upstream || u->id.n > WORKER_MSG_ID_MAX ||
		    !rt_state_needs_report(u->stat, u->state, state) ||
		    !may_report(c->w, u->id, now_us))
			continue;
		atomic_store(&u->stat->state_reported, state);
		push_state(c->w, u->id, state);
	}
	rcu_read_unlock();
}

static void
log_limit(struct bstr id, int64_t milli_per_s)
{
	if (milli_per_s == TERMS_NO_LIMIT)
		g_message("call: upstream %.*s names no limit any more",
		    BSTR_ARG(id));
	else
		g_message("call: upstream %.*s takes %.3f requests a second of "
			  "all VMs together",
		    BSTR_ARG(id), (double)milli_per_s / 1000);
}

void
attempt_report_terms(struct rt_stat *upstream, struct bstr id,
    const struct terms_answer *a, int64_t now_us)
{
	unsigned changed = terms_on_answer(&upstream->terms, a, now_us);

	if (changed & TERMS_LEAVING_CHANGED)
		g_message(
		    "call: upstream %.*s says that it leaves", BSTR_ARG(id));
	if (changed & TERMS_PAUSE_CHANGED)
		g_message("call: upstream %.*s wants nothing for %lld ms",
		    BSTR_ARG(id), (long long)a->pause_ms);
	if (changed & TERMS_LIMIT_CHANGED)
		log_limit(id, a->limit_milli_per_s);
}

void
attempt_report_count(struct call_attempt *a, bool failed, int64_t now_us)
{
	int64_t end_us = a->head_us != 0 ? a->head_us : now_us;

	if (a->tally == NULL)
		return;
	atomic_fetch_add(&a->tally->calls, 1);
	if (failed)
		atomic_fetch_add(&a->tally->failures, 1);
	if (a->slow_us != 0 && end_us - a->start_us > a->slow_us)
		atomic_fetch_add(&a->tally->slow, 1);
}
