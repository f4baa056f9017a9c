#include "route/probe_schedule.h"

#include <stdlib.h>
#include <string.h>

#define INTERVAL_MS 500
#define KNOWN_MS 5000
#define SILENT_MS 2000
#define DISTRUST_MS 30000
/* A probe without a result after this time counts as failed. */
#define PROBE_TIMEOUT_MS 2000
#define FAILS_FOR_DOWN 3
#define LIES_FOR_DISTRUST 2
/* Equal reports in a row and spread of the seen load that show a frozen value.
 */
#define FROZEN_REPORTS 6
#define FROZEN_SPREAD 3

/**
 * struct probe_up - one upstream
 * @state: last state announced here
 * @epoch: of the newest result
 * @seq: of the newest result
 * @heard_ms: last response, INT64_MIN before the first
 * @said: state in the last response that carried one
 * @said_ms: when it came
 * @owning: this process owns the partition
 * @owned_from_ms: act_from_ms of the ownership
 * @next_ms: earliest next probe
 * @due_ms: next probe by the schedule
 * @probing_ms: when the running probe was sent, 0 without
 * @fails: failed probes in a row
 * @lies: contradicted reports in a row
 * @distrust_until: end of the distrust
 * @same: reports equal to the one before although the load moved
 * @last_load: their value
 * @seen_min: lowest load seen in responses since the last report
 * @seen_max: highest
 */
struct probe_up {
	char id_text[COLD_ID_MAX + 1];
	struct bstr id;
	uint32_t partition;
	enum probe_state state;
	uint64_t epoch;
	uint64_t seq;
	int64_t heard_ms;
	enum probe_state said;
	int64_t said_ms;

	bool owning;
	int64_t owned_from_ms;
	int64_t next_ms;
	int64_t due_ms;
	int64_t probing_ms;
	uint32_t fails;

	uint32_t lies;
	int64_t distrust_until;
	uint32_t same;
	int32_t last_load;
	int32_t seen_min;
	int32_t seen_max;
};

static struct probe_effect *
emit(struct probe_out *out, enum probe_effect_type type,
    const struct probe_up *u)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 16 : out->cap * 2;
		out->v = realloc(out->v, out->cap * sizeof(*out->v));
		if (out->v == NULL)
			abort();
	}
	memset(&out->v[out->n], 0, sizeof(*out->v));
	out->v[out->n].type = type;
	out->v[out->n].upstream = u->id;
	out->v[out->n].load = PROBE_NO_LOAD;
	return (&out->v[out->n++]);
}

void
probe_out_clear(struct probe_out *out)
{
	out->n = 0;
}

void
probe_out_finish(struct probe_out *out)
{
	free(out->v);
	*out = (struct probe_out){0};
}

/* Position of the id in the sorted table, or where it belongs. */
static uint32_t
position(const struct probe_schedule *p, struct bstr id)
{
	uint32_t lo = 0, hi = p->n_up;

	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;

		if (bstr_cmp(p->up[mid]->id, id) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return (lo);
}

static struct probe_up *
find(const struct probe_schedule *p, struct bstr id)
{
	uint32_t i = position(p, id);

	return (i < p->n_up && bstr_eq(p->up[i]->id, id) ? p->up[i] : NULL);
}

static void
set_state(struct probe_up *u, enum probe_state state, struct probe_out *out)
{
	if (state == PROBE_UNKNOWN || state == u->state)
		return;
	u->state = state;
	emit(out, PROBE_STATE, u)->state = state;
}

void
probe_init(struct probe_schedule *p, const struct probe_desc *desc)
{
	memset(p, 0, sizeof(*p));
	p->desc = *desc;
	rng_init(&p->rng, desc->seed);
	if (p->desc.interval_ms == 0)
		p->desc.interval_ms = INTERVAL_MS;
	if (p->desc.known_ms == 0)
		p->desc.known_ms = KNOWN_MS;
	if (p->desc.silent_ms == 0)
		p->desc.silent_ms = SILENT_MS;
	if (p->desc.distrust_ms == 0)
		p->desc.distrust_ms = DISTRUST_MS;
}

void
probe_finish(struct probe_schedule *p)
{
	for (uint32_t i = 0; i < p->n_up; i++)
		free(p->up[i]);
	free(p->up);
	p->up = NULL;
	p->n_up = 0;
}

static void
apply_lease(struct probe_schedule *p, struct probe_up *u)
{
	const struct cold_lease *l = &p->lease[u->partition];

	if (!vmid_eq(&l->owner, &p->desc.self)) {
		u->owning = false;
		return;
	}
	if (u->owning && u->owned_from_ms == l->act_from_ms)
		return;
	u->owning = true;
	u->owned_from_ms = l->act_from_ms;
	u->next_ms = l->act_from_ms + p->desc.interval_ms;
	u->due_ms = u->next_ms + rng_below(&p->rng, (uint32_t)p->desc.known_ms);
	u->probing_ms = 0;
	u->fails = 0;
}

bool
probe_add(struct probe_schedule *p, struct bstr id, uint32_t partition)
{
	uint32_t at = position(p, id);
	struct probe_up *u;

	if (id.n == 0 || id.n > COLD_ID_MAX || partition >= COLD_PARTITIONS)
		return (false);
	if (find(p, id) != NULL)
		return (true);
	if (p->n_up == PROBE_MAX_UPSTREAMS)
		return (false);
	u = calloc(1, sizeof(*u));
	p->up = realloc(p->up, (p->n_up + 1) * sizeof(struct probe_up *));
	if (u == NULL || p->up == NULL)
		abort();
	memmove(&p->up[at + 1], &p->up[at],
	    (p->n_up - at) * sizeof(struct probe_up *));
	p->up[at] = u;
	p->n_up++;
	memcpy(u->id_text, id.p, id.n);
	u->id = (struct bstr){u->id_text, id.n};
	u->partition = partition;
	u->heard_ms = INT64_MIN;
	u->last_load = PROBE_NO_LOAD;
	u->seen_min = INT32_MAX;
	u->seen_max = INT32_MIN;
	apply_lease(p, u);
	return (true);
}

void
probe_remove(struct probe_schedule *p, struct bstr id)
{
	uint32_t at = position(p, id);

	if (find(p, id) == NULL)
		return;
	free(p->up[at]);
	p->n_up--;
	memmove(&p->up[at], &p->up[at + 1],
	    (p->n_up - at) * sizeof(struct probe_up *));
}

void
probe_on_lease(
    struct probe_schedule *p, const struct cold_lease *lease, int64_t now_ms)
{
	struct cold_lease *l = &p->lease[lease->partition % COLD_PARTITIONS];
	bool changed = !vmid_eq(&l->owner, &lease->owner) ||
	    l->act_from_ms != lease->act_from_ms;

	(void)now_ms;
	*l = *lease;
	for (uint32_t i = 0; changed && i < p->n_up; i++) {
		if (p->up[i]->partition == lease->partition)
			apply_lease(p, p->up[i]);
	}
}

/* Schedule. */

static bool
is_silent(const struct probe_schedule *p, const struct probe_up *u, int64_t now)
{
	return (
	    u->heard_ms == INT64_MIN || now - u->heard_ms > p->desc.silent_ms);
}

static bool
is_suspicious(const struct probe_up *u)
{
	return (u->lies != 0 || u->fails != 0 || u->state == PROBE_COLD ||
	    u->state == PROBE_DRAINING || u->state == PROBE_DOWN);
}

static bool
is_due(const struct probe_schedule *p, const struct probe_up *u, int64_t now)
{
	if (now < u->next_ms || u->probing_ms != 0)
		return (false);
	return (now >= u->due_ms || is_silent(p, u, now) || is_suspicious(u));
}

static bool
has_lease(const struct probe_schedule *p, const struct probe_up *u, int64_t now)
{
	const struct cold_lease *l = &p->lease[u->partition];

	return (u->owning && now >= l->act_from_ms && now < l->act_until_ms);
}

void
probe_tick(struct probe_schedule *p, int64_t now_ms, struct probe_out *out)
{
	for (uint32_t i = 0; i < p->n_up; i++) {
		struct probe_up *u = p->up[i];

		if (!u->owning)
			continue;
		if (u->probing_ms != 0 &&
		    now_ms - u->probing_ms > PROBE_TIMEOUT_MS)
			probe_on_result(
			    p, u->id, &(struct probe_result){0}, now_ms, out);
		if (!has_lease(p, u, now_ms) || !is_due(p, u, now_ms))
			continue;
		u->probing_ms = now_ms;
		u->next_ms = now_ms + p->desc.interval_ms;
		u->due_ms = now_ms + p->desc.known_ms;
		emit(out, PROBE_PROBE, u);
	}
}

/* Judgement of reports. */

static void
see_load(struct probe_up *u, int32_t load)
{
	if (load < u->seen_min)
		u->seen_min = load;
	if (load > u->seen_max)
		u->seen_max = load;
}

/* Whether the value stands still while the load in responses moves. */
static bool
is_frozen(struct probe_up *u, int32_t load)
{
	bool moved = u->seen_max >= u->seen_min &&
	    (int64_t)u->seen_max - u->seen_min >= FROZEN_SPREAD;

	u->seen_min = INT32_MAX;
	u->seen_max = INT32_MIN;
	if (load != u->last_load)
		u->same = 0;
	else if (moved)
		u->same++;
	u->last_load = load;
	return (u->same >= FROZEN_REPORTS);
}

static bool
is_contradicted(const struct probe_schedule *p, const struct probe_up *u,
    const struct probe_result *r, int64_t now)
{
	int32_t own =
	    r->own_at_start < r->own_at_end ? r->own_at_start : r->own_at_end;

	if (r->load != PROBE_NO_LOAD && r->load < own)
		return (true);
	return (r->state == PROBE_READY && u->said != PROBE_UNKNOWN &&
	    u->said != PROBE_READY && now - u->said_ms <= p->desc.silent_ms);
}

/* Return: whether the report may be used. */
static bool
judge(struct probe_schedule *p, struct probe_up *u,
    const struct probe_result *r, int64_t now)
{
	bool frozen = r->load != PROBE_NO_LOAD && is_frozen(u, r->load);
	bool lie = is_contradicted(p, u, r, now);

	u->lies = lie ? u->lies + 1 : 0;
	if (frozen || u->lies >= LIES_FOR_DISTRUST) {
		u->distrust_until = now + p->desc.distrust_ms;
		u->lies = 0;
	}
	return (!lie && now >= u->distrust_until);
}

static void
broadcast_result(struct probe_schedule *p, struct probe_up *u,
    enum probe_state state, int32_t load, struct probe_out *out)
{
	struct probe_effect *e = emit(out, PROBE_BROADCAST, u);
	uint64_t epoch = p->lease[u->partition].epoch;

	u->seq = epoch > u->epoch ? 1 : u->seq + 1;
	u->epoch = epoch > u->epoch ? epoch : u->epoch;
	e->msg = (struct probe_msg){.type = PROBE_MSG_RESULT,
	    .upstream = u->id,
	    .epoch = u->epoch,
	    .seq = u->seq,
	    .state = state,
	    .load = load};
	set_state(u, state, out);
	if (load != PROBE_NO_LOAD)
		emit(out, PROBE_LOAD, u)->load = load;
}

static void
on_failed(struct probe_schedule *p, struct probe_up *u, int64_t now,
    struct probe_out *out)
{
	u->fails++;
	if (u->fails >= FAILS_FOR_DOWN && is_silent(p, u, now))
		broadcast_result(p, u, PROBE_DOWN, PROBE_NO_LOAD, out);
}

void
probe_on_result(struct probe_schedule *p, struct bstr id,
    const struct probe_result *r, int64_t now_ms, struct probe_out *out)
{
	struct probe_up *u = find(p, id);

	if (u == NULL || u->probing_ms == 0)
		return;
	u->probing_ms = 0;
	if (!r->ok || r->load < PROBE_NO_LOAD || r->load > PROBE_MAX_LOAD) {
		on_failed(p, u, now_ms, out);
		return;
	}
	u->fails = 0;
	if (judge(p, u, r, now_ms))
		broadcast_result(p, u, r->state, r->load, out);
}

void
probe_on_response(struct probe_schedule *p, struct bstr id,
    const struct probe_seen *seen, int64_t now_ms, struct probe_out *out)
{
	struct probe_up *u = find(p, id);

	if (u == NULL)
		return;
	u->heard_ms = now_ms;
	if (seen->load >= 0)
		see_load(u, seen->load);
	if (seen->state == PROBE_UNKNOWN)
		return;
	u->said = seen->state;
	u->said_ms = now_ms;
	if (seen->state != u->state && seen->state != PROBE_READY)
		emit(out, PROBE_BROADCAST, u)->msg =
		    (struct probe_msg){.type = PROBE_MSG_SEEN,
			.upstream = u->id,
			.state = seen->state,
			.load = PROBE_NO_LOAD};
	set_state(u, seen->state, out);
}

void
probe_on_msg(struct probe_schedule *p, const struct vm_id *from,
    const struct probe_msg *m, int64_t now_ms, struct probe_out *out)
{
	struct probe_up *u = find(p, m->upstream);

	(void)from;
	(void)now_ms;
	if (u == NULL)
		return;
	if (m->type == PROBE_MSG_SEEN) {
		set_state(u, m->state, out);
		return;
	}
	if (m->epoch < u->epoch || (m->epoch == u->epoch && m->seq <= u->seq))
		return;
	u->epoch = m->epoch;
	u->seq = m->seq;
	set_state(u, m->state, out);
	if (m->load != PROBE_NO_LOAD)
		emit(out, PROBE_LOAD, u)->load = m->load;
}

bool
probe_distrusted(const struct probe_schedule *p, struct bstr id, int64_t now_ms)
{
	const struct probe_up *u = find(p, id);

	return (u != NULL && now_ms < u->distrust_until);
}
