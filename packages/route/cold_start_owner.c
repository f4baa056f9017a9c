#include "route/cold_start.h"
#include "route/cold_start_internal.h"

#include <stdlib.h>
#include <string.h>

#define QUERY_INTERVAL_MS 500
/* A process that has had permits for this long gets none while others wait. */
#define MAX_TURN_MS 2000
/* The margin is one tenth, because clock rates may differ by 10%. */
#define DRIFT_DIVISOR 10

uint32_t
cold_limit_of(
    const struct cold_start *c, const struct cold_upstream *u, int64_t now)
{
	int64_t passed = u->ramp_start_ms == 0 ? 0 : now - u->ramp_start_ms;
	uint64_t by_time, limit;

	if (passed > c->desc.ramp_ms)
		passed = c->desc.ramp_ms;
	by_time = 1 +
	    (uint64_t)(u->slots - 1) * (uint64_t)passed /
		(uint64_t)c->desc.ramp_ms;
	limit = by_time < 1 + u->successes ? by_time : 1 + u->successes;
	return ((uint32_t)limit);
}

static struct cold_holder *
holder_of(struct cold_upstream *u, const struct vm_id *id)
{
	struct cold_holder *h;

	for (uint32_t i = 0; i < u->n_holders; i++) {
		if (vmid_eq(&u->holders[i].id, id))
			return (&u->holders[i]);
	}
	if (u->n_holders == 2 * COLD_MAX_MEMBERS)
		return (NULL);
	u->holders =
	    realloc(u->holders, (u->n_holders + 1) * sizeof(*u->holders));
	if (u->holders == NULL)
		abort();
	h = &u->holders[u->n_holders++];
	memset(h, 0, sizeof(*h));
	h->id = *id;
	return (h);
}

static bool
has_reported(const struct cold_upstream *u, const struct vm_id *id)
{
	for (uint32_t i = 0; i < u->n_holders; i++) {
		if (vmid_eq(&u->holders[i].id, id))
			return (true);
	}
	return (false);
}

static bool
all_reported(const struct cold_start *c, const struct cold_upstream *u)
{
	for (uint32_t i = 0; i < c->n_members; i++) {
		const struct cold_member *m = &c->members[i];

		if ((m->alive || u->need_dead_reports) &&
		    !has_reported(u, &m->id))
			return (false);
	}
	return (c->n_members != 0);
}

static bool
may_grant(struct cold_start *c, struct cold_upstream *u, int64_t now)
{
	if (!cold_has_lease(c, u, now) || now < u->earliest_grant_ms)
		return (false);
	if (now < u->report_deadline_ms && !all_reported(c, u))
		return (false);
	if (u->ramp_start_ms == 0)
		u->ramp_start_ms = now;
	return (true);
}

/* Duration of the longest call, with a margin for different clock rates. */
static int64_t
max_call_with_drift_ms(const struct cold_start *c)
{
	return (c->desc.max_call_ms + c->desc.max_call_ms / DRIFT_DIVISOR);
}

void
cold_restart_ramp(struct cold_start *c, struct cold_upstream *u, int64_t from,
    bool need_dead_reports)
{
	u->n_holders = 0;
	u->ramp_start_ms = 0;
	u->successes = 0;
	u->nonce = rng_next(&c->rng) | 1;
	u->earliest_grant_ms = from;
	u->report_deadline_ms = from + max_call_with_drift_ms(c);
	u->need_dead_reports = need_dead_reports;
	u->next_query_ms = 0;
}

static void
send_state(struct cold_start *c, struct cold_upstream *u,
    enum cold_msg_type type, const struct vm_id *to, int64_t now,
    struct cold_out *out)
{
	struct cold_msg m = {.type = type,
	    .upstream = u->id,
	    .cold = u->cold,
	    .epoch = u->epoch,
	    .gen = u->gen,
	    .nonce = type == COLD_MSG_QUERY ? u->nonce : 0};

	if (to != NULL) {
		cold_post(c, to, &m, now, out);
		return;
	}
	cold_emit(out, COLD_BROADCAST)->msg = m;
}

static void
publish_state(struct cold_start *c, struct cold_upstream *u, bool cold,
    struct cold_out *out)
{
	uint64_t epoch = cold_lease_of(c, u)->epoch;

	u->gen = epoch > u->epoch ? 1 : u->gen + 1;
	u->epoch = epoch > u->epoch ? epoch : u->epoch;
	cold_set_state(u, cold, out);
	send_state(c, u, COLD_MSG_STATE, NULL, 0, out);
}

static uint32_t
used_by_others(
    const struct cold_upstream *u, const struct cold_holder *h, int64_t now)
{
	uint64_t n = 0;

	for (uint32_t i = 0; i < u->n_holders; i++) {
		const struct cold_holder *o = &u->holders[i];

		if (o != h && now < o->end_ms)
			n += o->used;
	}
	return (n > UINT32_MAX ? UINT32_MAX : (uint32_t)n);
}

static void
start_ramp(struct cold_start *c, struct cold_upstream *u, int64_t now,
    struct cold_out *out)
{
	int64_t from = u->earliest_grant_ms > now ? u->earliest_grant_ms : now;

	/* Members that are not alive may still use earlier permits. */
	cold_restart_ramp(c, u, from,
	    (u->need_dead_reports && now < u->report_deadline_ms) ||
		used_by_others(u, NULL, now) != 0);
	u->suspect = false;
	publish_state(c, u, true, out);
}

/* Returns the largest grant that leaves an equal share for other requesters. */
static uint32_t
fair_share(const struct cold_upstream *u, const struct cold_holder *h,
    uint32_t limit, int64_t now)
{
	uint32_t requesters = 0, waiting = 0;

	for (uint32_t i = 0; i < u->n_holders; i++) {
		const struct cold_holder *o = &u->holders[i];

		if (o->demand == 0 || now - o->last_request_ms > COLD_PERMIT_MS)
			continue;
		requesters++;
		waiting += o != h && o->used == 0;
	}
	if (waiting != 0 && h->held_since_ms != 0 &&
	    now - h->held_since_ms > MAX_TURN_MS)
		return (0);
	return (requesters > 1 && limit / requesters >= 1 ? limit / requesters
		: requesters > 1                          ? 1
							  : limit);
}

static uint32_t
grant_size(struct cold_start *c, struct cold_upstream *u, struct cold_holder *h,
    int64_t now)
{
	uint32_t limit = cold_limit_of(c, u, now);
	uint32_t others = used_by_others(u, h, now);
	uint32_t room = others < limit ? limit - others : 0;
	uint32_t share = fair_share(u, h, limit, now);
	uint32_t n = h->demand < room ? h->demand : room;

	return (n < share ? n : share);
}

/* Whether the sender saw a cold start that does not belong to this ramp. */
static bool
saw_new_cold_start(const struct cold_upstream *u, const struct cold_msg *m)
{
	if (!m->saw_cold)
		return (false);
	if (!u->cold || u->suspect)
		return (true);
	return (m->epoch == u->epoch && m->gen == u->gen);
}

/*
 * Adopts a newer state from a request and restarts the ramp if necessary.
 * Returns false when the request cannot be granted, because the upstream is
 * ready or the request does not echo the current nonce.
 */
static bool
check_request(struct cold_start *c, struct cold_upstream *u,
    const struct vm_id *from, const struct cold_msg *m, int64_t now,
    struct cold_out *out)
{
	if (cold_is_newer(m, u)) {
		u->epoch = m->epoch;
		u->gen = m->gen;
		if (m->cold)
			start_ramp(c, u, now, out);
		else
			cold_set_state(u, false, out);
	}
	if (saw_new_cold_start(u, m))
		start_ramp(c, u, now, out);
	if (!u->cold) {
		send_state(c, u, COLD_MSG_STATE, from, now, out);
		return (false);
	}
	if (m->nonce != u->nonce) {
		if (!vmid_eq(from, &c->desc.self))
			send_state(c, u, COLD_MSG_QUERY, from, now, out);
		return (false);
	}
	return (true);
}

void
cold_on_request(struct cold_start *c, struct cold_upstream *u,
    const struct vm_id *from, const struct cold_msg *m, int64_t now,
    struct cold_out *out)
{
	struct cold_msg g = {
	    .type = COLD_MSG_GRANT, .upstream = u->id, .seq = m->seq};
	struct cold_holder *h;

	if (!u->is_owner || !check_request(c, u, from, m, now, out))
		return;
	h = holder_of(u, from);
	if (h == NULL || m->seq <= h->seq)
		return;
	h->seq = m->seq;
	h->last_request_ms = now;
	h->demand = m->use.demand;
	h->used = m->use.in_flight > m->hold ? m->use.in_flight : m->hold;
	h->end_ms = now + COLD_PERMIT_MS + COLD_DRIFT_MARGIN_MS +
	    max_call_with_drift_ms(c);
	u->successes += m->use.successes;
	if (!may_grant(c, u, now))
		return;
	g.count = grant_size(c, u, h, now);
	g.limit = cold_limit_of(c, u, now);
	if (g.count > h->used)
		h->used = g.count;
	if (g.count == 0)
		h->held_since_ms = 0;
	else if (h->held_since_ms == 0)
		h->held_since_ms = now;
	cold_post(c, from, &g, now, out);
}

void
cold_tick_owner(struct cold_start *c, struct cold_upstream *u, int64_t now,
    struct cold_out *out)
{
	bool reported = all_reported(c, u);

	if (u->ramp_start_ms != 0 && cold_has_lease(c, u, now) &&
	    cold_limit_of(c, u, now) == u->slots &&
	    now - u->ramp_start_ms >= c->desc.ramp_ms) {
		publish_state(c, u, false, out);
		return;
	}
	if (now < u->next_query_ms)
		return;
	u->next_query_ms = now + QUERY_INTERVAL_MS;
	send_state(
	    c, u, reported ? COLD_MSG_STATE : COLD_MSG_QUERY, NULL, now, out);
	if (!reported) {
		u->last_query_nonce = u->nonce;
		cold_send_request(c, u, now, out);
	}
}
