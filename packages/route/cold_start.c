#include "route/cold_start.h"
#include "route/cold_start_internal.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_RAMP_MS 10000
#define DEFAULT_MAX_CALL_MS 30000
#define DEFAULT_RENEW_MS 400

struct cold_effect *
cold_emit(struct cold_out *out, enum cold_effect_type type)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 16 : out->cap * 2;
		out->v = realloc(out->v, out->cap * sizeof(*out->v));
		if (out->v == NULL)
			abort();
	}
	memset(&out->v[out->n], 0, sizeof(*out->v));
	out->v[out->n].type = type;
	return (&out->v[out->n++]);
}

void
cold_out_clear(struct cold_out *out)
{
	out->n = 0;
}

void
cold_out_finish(struct cold_out *out)
{
	free(out->v);
	*out = (struct cold_out){0};
}

/* Returns the index of the id in the sorted array, or where to insert it. */
static uint32_t
position(const struct cold_start *c, struct bstr id)
{
	uint32_t lo = 0, hi = c->n_upstreams;

	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;

		if (bstr_cmp(c->up[mid]->id, id) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return (lo);
}

static struct cold_upstream *
find(const struct cold_start *c, struct bstr id)
{
	uint32_t i = position(c, id);

	return (
	    i < c->n_upstreams && bstr_eq(c->up[i]->id, id) ? c->up[i] : NULL);
}

void
cold_post(struct cold_start *c, const struct vm_id *to,
    const struct cold_msg *m, int64_t now, struct cold_out *out)
{
	struct cold_effect *e;

	if (vmid_eq(to, &c->desc.self)) {
		cold_on_msg(c, to, m, now, out);
		return;
	}
	e = cold_emit(out, COLD_SEND);
	e->to = *to;
	e->msg = *m;
}

const struct cold_lease *
cold_lease_of(const struct cold_start *c, const struct cold_upstream *u)
{
	return (&c->lease[u->partition]);
}

bool
cold_has_lease(
    const struct cold_start *c, const struct cold_upstream *u, int64_t now)
{
	const struct cold_lease *l = cold_lease_of(c, u);

	return (u->is_owner && vmid_eq(&l->owner, &c->desc.self) &&
	    now >= l->act_from_ms && now < l->act_until_ms);
}

void
cold_set_state(struct cold_upstream *u, bool cold, struct cold_out *out)
{
	struct cold_effect *e;

	u->suspect = false;
	u->ready_seen = false;
	if (u->cold == cold)
		return;
	u->cold = cold;
	u->count = 0;
	u->until_ms = 0;
	u->next_request_ms = 0;
	u->use.successes = 0;
	e = cold_emit(out, COLD_STATE);
	e->upstream = u->id;
	e->cold = cold;
}

uint32_t
cold_held(const struct cold_upstream *u, int64_t now)
{
	return (now < u->until_ms ? u->count : 0);
}

void
cold_send_request(struct cold_start *c, struct cold_upstream *u, int64_t now,
    struct cold_out *out)
{
	const struct vm_id *owner = &cold_lease_of(c, u)->owner;
	struct cold_msg m = {.type = COLD_MSG_REQUEST,
	    .upstream = u->id,
	    .use = u->use,
	    .hold = u->max_held,
	    .saw_cold = u->suspect,
	    .cold = u->cold,
	    .epoch = u->epoch,
	    .gen = u->gen,
	    .nonce = u->last_query_nonce};

	u->next_request_ms = now + c->desc.renew_ms;
	if (vmid_is_none(owner))
		return;
	m.seq = ++c->seq;
	u->seq = m.seq;
	u->sent_ms = now;
	u->counted_by_owner =
	    u->counted_by_owner || m.use.demand != 0 || m.use.in_flight != 0;
	u->use.successes = 0;
	cold_post(c, owner, &m, now, out);
}

static void
on_grant(struct cold_upstream *u, const struct cold_msg *m, int64_t now,
    struct cold_out *out)
{
	struct cold_effect *e;

	if (u->seq == 0 || m->seq != u->seq || !u->cold)
		return;
	u->seq = 0;
	u->count = m->count;
	u->until_ms = u->sent_ms + COLD_PERMIT_MS;
	if (m->count > u->max_held)
		u->max_held = m->count;
	if (m->count == 0 && u->use.in_flight == 0 && u->use.demand == 0)
		u->counted_by_owner = false;
	e = cold_emit(out, COLD_PERMITS);
	e->upstream = u->id;
	e->count = cold_held(u, now);
	e->until_ms = u->until_ms;
}

bool
cold_is_newer(const struct cold_msg *m, const struct cold_upstream *u)
{
	return (
	    m->epoch > u->epoch || (m->epoch == u->epoch && m->gen > u->gen));
}

static void
on_state(
    struct cold_upstream *u, const struct cold_msg *m, struct cold_out *out)
{
	if (!cold_is_newer(m, u))
		return;
	u->epoch = m->epoch;
	u->gen = m->gen;
	cold_set_state(u, m->cold, out);
}

void
cold_init(struct cold_start *c, const struct cold_desc *desc)
{
	memset(c, 0, sizeof(*c));
	c->desc = *desc;
	rng_init(&c->rng, desc->seed);
	if (c->desc.ramp_ms == 0)
		c->desc.ramp_ms = DEFAULT_RAMP_MS;
	if (c->desc.max_call_ms == 0)
		c->desc.max_call_ms = DEFAULT_MAX_CALL_MS;
	if (c->desc.renew_ms == 0)
		c->desc.renew_ms = DEFAULT_RENEW_MS;
}

static void
free_upstream(struct cold_upstream *u)
{
	free(u->holders);
	free(u);
}

void
cold_finish(struct cold_start *c)
{
	for (uint32_t i = 0; i < c->n_upstreams; i++)
		free_upstream(c->up[i]);
	free(c->up);
	free(c->members);
	c->up = NULL;
	c->members = NULL;
	c->n_upstreams = 0;
}

static void
begin_ownership(struct cold_start *c, struct cold_upstream *u)
{
	int64_t from = cold_lease_of(c, u)->act_from_ms;

	u->is_owner = true;
	u->owned_from_ms = from;
	cold_restart_ramp(
	    c, u, from + COLD_PERMIT_MS + COLD_DRIFT_MARGIN_MS, true);
}

static void
apply_lease(struct cold_start *c, struct cold_upstream *u)
{
	const struct cold_lease *l = cold_lease_of(c, u);

	if (!vmid_eq(&l->owner, &c->desc.self))
		u->is_owner = false;
	else if (!u->is_owner || u->owned_from_ms != l->act_from_ms)
		begin_ownership(c, u);
}

bool
cold_add(
    struct cold_start *c, struct bstr id, uint32_t slots, uint32_t partition)
{
	struct cold_upstream *u = find(c, id);
	uint32_t at;

	if (id.n == 0 || id.n > COLD_ID_MAX || slots == 0 ||
	    slots > COLD_MAX_SLOTS || partition >= COLD_PARTITIONS)
		return (false);
	if (u != NULL) {
		u->slots = slots;
		return (true);
	}
	if (c->n_upstreams == COLD_MAX_UPSTREAMS)
		return (false);
	at = position(c, id);
	u = calloc(1, sizeof(*u));
	c->up = realloc(
	    c->up, (c->n_upstreams + 1) * sizeof(struct cold_upstream *));
	if (u == NULL || c->up == NULL)
		abort();
	memmove(&c->up[at + 1], &c->up[at],
	    (c->n_upstreams - at) * sizeof(struct cold_upstream *));
	c->up[at] = u;
	c->n_upstreams++;
	memcpy(u->id_text, id.p, id.n);
	u->id = (struct bstr){u->id_text, id.n};
	u->slots = slots;
	u->partition = partition;
	apply_lease(c, u);
	return (true);
}

void
cold_remove(struct cold_start *c, struct bstr id)
{
	uint32_t at = position(c, id);

	if (find(c, id) == NULL)
		return;
	free_upstream(c->up[at]);
	c->n_upstreams--;
	memmove(&c->up[at], &c->up[at + 1],
	    (c->n_upstreams - at) * sizeof(struct cold_upstream *));
}

void
cold_on_members(struct cold_start *c, const struct cold_member *m, uint32_t n)
{
	n = n > COLD_MAX_MEMBERS ? COLD_MAX_MEMBERS : n;
	free(c->members);
	c->members = calloc(n + 1, sizeof(*m));
	if (c->members == NULL)
		abort();
	if (n != 0)
		memcpy(c->members, m, n * sizeof(*m));
	c->n_members = n;
}

void
cold_on_lease(struct cold_start *c, const struct cold_lease *lease,
    int64_t now_ms, struct cold_out *out)
{
	struct cold_lease *l = &c->lease[lease->partition % COLD_PARTITIONS];
	bool moved = !vmid_eq(&l->owner, &lease->owner);
	bool changed = moved || l->act_from_ms != lease->act_from_ms;

	(void)now_ms;
	(void)out;
	*l = *lease;
	for (uint32_t i = 0; changed && i < c->n_upstreams; i++) {
		struct cold_upstream *u = c->up[i];

		if (u->partition != lease->partition)
			continue;
		apply_lease(c, u);
		if (moved)
			u->next_request_ms = 0;
	}
}

/* Drops the permits and the outstanding request of the old ramp. */
static void
drop_permits(struct cold_upstream *u, struct cold_out *out)
{
	struct cold_effect *e = cold_emit(out, COLD_PERMITS);

	u->seq = 0;
	u->count = 0;
	u->until_ms = 0;
	e->upstream = u->id;
}

void
cold_on_state(struct cold_start *c, struct bstr id, bool cold, int64_t now_ms,
    struct cold_out *out)
{
	struct cold_upstream *u = find(c, id);

	if (u == NULL)
		return;
	if (!cold) {
		u->ready_seen = u->cold && !u->suspect;
		return;
	}
	if (u->cold && !u->ready_seen)
		return;
	if (u->cold)
		drop_permits(u, out);
	cold_set_state(u, true, out);
	u->suspect = true;
	cold_send_request(c, u, now_ms, out);
}

void
cold_on_use(struct cold_start *c, struct bstr id, const struct cold_use *use,
    int64_t now_ms)
{
	struct cold_upstream *u = find(c, id);
	uint32_t before;

	if (u == NULL)
		return;
	before = u->use.successes;
	u->use = *use;
	u->use.successes += before;
	u->max_held = cold_held(u, now_ms);
}

void
cold_tick(struct cold_start *c, int64_t now_ms, struct cold_out *out)
{
	for (uint32_t i = 0; i < c->n_upstreams; i++) {
		struct cold_upstream *u = c->up[i];

		if (!u->cold)
			continue;
		if (u->is_owner)
			cold_tick_owner(c, u, now_ms, out);
		if (now_ms >= u->next_request_ms &&
		    (u->use.demand != 0 || u->use.in_flight != 0 ||
			u->counted_by_owner || u->suspect))
			cold_send_request(c, u, now_ms, out);
	}
}

void
cold_on_msg(struct cold_start *c, const struct vm_id *from,
    const struct cold_msg *m, int64_t now_ms, struct cold_out *out)
{
	struct cold_upstream *u = find(c, m->upstream);

	if (u == NULL)
		return;
	switch (m->type) {
	case COLD_MSG_REQUEST:
		cold_on_request(c, u, from, m, now_ms, out);
		break;
	case COLD_MSG_GRANT:
		if (vmid_eq(from, &cold_lease_of(c, u)->owner))
			on_grant(u, m, now_ms, out);
		break;
	case COLD_MSG_STATE:
		on_state(u, m, out);
		break;
	case COLD_MSG_QUERY:
		on_state(u, m, out);
		u->last_query_nonce = m->nonce;
		cold_send_request(c, u, now_ms, out);
		break;
	}
}

uint32_t
cold_permits(const struct cold_start *c, struct bstr id, int64_t now_ms)
{
	const struct cold_upstream *u = find(c, id);

	if (u == NULL)
		return (0);
	return (u->cold ? cold_held(u, now_ms) : COLD_UNLIMITED);
}

uint32_t
cold_limit(const struct cold_start *c, struct bstr id, int64_t now_ms)
{
	const struct cold_upstream *u = find(c, id);

	if (u == NULL || !u->cold || !cold_has_lease(c, u, now_ms))
		return (0);
	return (cold_limit_of(c, u, now_ms));
}
