#include "route/probe_schedule.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_MIN_INTERVAL_MS 500
#define DEFAULT_MAX_INTERVAL_MS 5000
#define DEFAULT_STALE_MS 2000
#define DEFAULT_IGNORE_MS 30000
/* A probe without a result after this time counts as failed. */
#define PROBE_TIMEOUT_MS 2000
/* Failed probes in a row after which an upstream without responses is down. */
#define FAILS_FOR_DOWN 3
/* Consecutive inaccurate reports after which all reports are ignored. */
#define INACCURATE_FOR_IGNORE 2
/*
 * A reported load is frozen when it stays the same in this many reports while
 * the load in the responses between them varies by at least this much.
 */
#define FROZEN_REPORTS 6
#define FROZEN_MIN_SPREAD 3

/**
 * struct probe_upstream - one upstream
 * @id_text: bytes of @id
 * @id: id
 * @partition: partition whose owner probes the upstream
 * @state: current state, as last emitted
 * @epoch: epoch of the newest result
 * @seq: number of the newest result within @epoch
 * @response_ms: time of the last response, INT64_MIN before the first
 * @response_state: last state that a response carried
 * @response_state_ms: time of that response
 * @owned: this process owns the partition
 * @owned_from_ms: cold_lease.act_from_ms of the ownership
 * @next_ms: earliest time of the next probe
 * @due_ms: time of the next probe when nothing requires an earlier one
 * @sent_ms: when the outstanding probe was sent, 0 when there is none
 * @fails: consecutive failed probes
 * @inaccurate_reports: consecutive inaccurate reports
 * @ignore_until_ms: all reports are ignored before this time
 * @frozen_reports: reports of @last_load while the load in responses changed
 * @last_load: load in the last report
 * @seen_min: lowest load in responses since the last report
 * @seen_max: highest load in responses since the last report
 */
struct probe_upstream {
	char id_text[COLD_ID_MAX + 1];
	struct bstr id;
	uint32_t partition;
	enum probe_state state;
	uint64_t epoch;
	uint64_t seq;
	int64_t response_ms;
	enum probe_state response_state;
	int64_t response_state_ms;

	bool owned;
	int64_t owned_from_ms;
	int64_t next_ms;
	int64_t due_ms;
	int64_t sent_ms;
	uint32_t fails;

	uint32_t inaccurate_reports;
	int64_t ignore_until_ms;
	uint32_t frozen_reports;
	int32_t last_load;
	int32_t seen_min;
	int32_t seen_max;
};

static struct probe_effect *
emit(struct probe_out *out, enum probe_effect_type type,
    const struct probe_upstream *u)
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

/* Returns the index of the id in the sorted array, or where to insert it. */
static uint32_t
position(const struct probe_schedule *p, struct bstr id)
{
	uint32_t lo = 0, hi = p->n_upstreams;

	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;

		if (bstr_cmp(p->upstreams[mid]->id, id) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return (lo);
}

static struct probe_upstream *
find(const struct probe_schedule *p, struct bstr id)
{
	uint32_t i = position(p, id);

	return (i < p->n_upstreams && bstr_eq(p->upstreams[i]->id, id)
		? p->upstreams[i]
		: NULL);
}

static void
set_state(
    struct probe_upstream *u, enum probe_state state, struct probe_out *out)
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
	if (p->desc.min_interval_ms == 0)
		p->desc.min_interval_ms = DEFAULT_MIN_INTERVAL_MS;
	if (p->desc.max_interval_ms == 0)
		p->desc.max_interval_ms = DEFAULT_MAX_INTERVAL_MS;
	if (p->desc.stale_ms == 0)
		p->desc.stale_ms = DEFAULT_STALE_MS;
	if (p->desc.ignore_ms == 0)
		p->desc.ignore_ms = DEFAULT_IGNORE_MS;
}

void
probe_finish(struct probe_schedule *p)
{
	for (uint32_t i = 0; i < p->n_upstreams; i++)
		free(p->upstreams[i]);
	free(p->upstreams);
	p->upstreams = NULL;
	p->n_upstreams = 0;
}

static void
apply_lease(struct probe_schedule *p, struct probe_upstream *u)
{
	const struct cold_lease *l = &p->lease[u->partition];

	if (!vmid_eq(&l->owner, &p->desc.self)) {
		u->owned = false;
		return;
	}
	if (u->owned && u->owned_from_ms == l->act_from_ms)
		return;
	u->owned = true;
	u->owned_from_ms = l->act_from_ms;
	u->next_ms = l->act_from_ms + p->desc.min_interval_ms;
	u->due_ms =
	    u->next_ms + rng_below(&p->rng, (uint32_t)p->desc.max_interval_ms);
	u->sent_ms = 0;
	u->fails = 0;
}

bool
probe_add(struct probe_schedule *p, struct bstr id, uint32_t partition)
{
	uint32_t at = position(p, id);
	struct probe_upstream *u;

	if (id.n == 0 || id.n > COLD_ID_MAX || partition >= COLD_PARTITIONS)
		return (false);
	if (find(p, id) != NULL)
		return (true);
	if (p->n_upstreams == PROBE_MAX_UPSTREAMS)
		return (false);
	u = calloc(1, sizeof(*u));
	p->upstreams = realloc(p->upstreams,
	    (p->n_upstreams + 1) * sizeof(struct probe_upstream *));
	if (u == NULL || p->upstreams == NULL)
		abort();
	memmove(&p->upstreams[at + 1], &p->upstreams[at],
	    (p->n_upstreams - at) * sizeof(struct probe_upstream *));
	p->upstreams[at] = u;
	p->n_upstreams++;
	memcpy(u->id_text, id.p, id.n);
	u->id = (struct bstr){u->id_text, id.n};
	u->partition = partition;
	u->response_ms = INT64_MIN;
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
	free(p->upstreams[at]);
	p->n_upstreams--;
	memmove(&p->upstreams[at], &p->upstreams[at + 1],
	    (p->n_upstreams - at) * sizeof(struct probe_upstream *));
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
	for (uint32_t i = 0; changed && i < p->n_upstreams; i++) {
		if (p->upstreams[i]->partition == lease->partition)
			apply_lease(p, p->upstreams[i]);
	}
}

static bool
is_load_stale(
    const struct probe_schedule *p, const struct probe_upstream *u, int64_t now)
{
	return (u->response_ms == INT64_MIN ||
	    now - u->response_ms > p->desc.stale_ms);
}

static bool
needs_frequent_probes(const struct probe_upstream *u)
{
	return (u->inaccurate_reports != 0 || u->fails != 0 ||
	    u->state == PROBE_COLD || u->state == PROBE_DRAINING ||
	    u->state == PROBE_DOWN);
}

static bool
is_due(
    const struct probe_schedule *p, const struct probe_upstream *u, int64_t now)
{
	if (now < u->next_ms || u->sent_ms != 0)
		return (false);
	return (now >= u->due_ms || is_load_stale(p, u, now) ||
	    needs_frequent_probes(u));
}

static bool
has_lease(
    const struct probe_schedule *p, const struct probe_upstream *u, int64_t now)
{
	const struct cold_lease *l = &p->lease[u->partition];

	return (u->owned && now >= l->act_from_ms && now < l->act_until_ms);
}

void
probe_tick(struct probe_schedule *p, int64_t now_ms, struct probe_out *out)
{
	for (uint32_t i = 0; i < p->n_upstreams; i++) {
		struct probe_upstream *u = p->upstreams[i];

		if (!u->owned)
			continue;
		if (u->sent_ms != 0 && now_ms - u->sent_ms > PROBE_TIMEOUT_MS)
			probe_on_result(
			    p, u->id, &(struct probe_result){0}, now_ms, out);
		if (!has_lease(p, u, now_ms) || !is_due(p, u, now_ms))
			continue;
		u->sent_ms = now_ms;
		u->next_ms = now_ms + p->desc.min_interval_ms;
		u->due_ms = now_ms + p->desc.max_interval_ms;
		emit(out, PROBE_SEND, u);
	}
}

static void
record_response_load(struct probe_upstream *u, int32_t load)
{
	if (load < u->seen_min)
		u->seen_min = load;
	if (load > u->seen_max)
		u->seen_max = load;
}

/*
 * Whether the reported load stays the same while the load in responses changes.
 * Starts the next measurement of the load in responses.
 */
static bool
is_frozen(struct probe_upstream *u, int32_t load)
{
	bool changed = u->seen_max >= u->seen_min &&
	    (int64_t)u->seen_max - u->seen_min >= FROZEN_MIN_SPREAD;

	u->seen_min = INT32_MAX;
	u->seen_max = INT32_MIN;
	if (load != u->last_load)
		u->frozen_reports = 0;
	else if (changed)
		u->frozen_reports++;
	u->last_load = load;
	return (u->frozen_reports >= FROZEN_REPORTS);
}

static bool
is_inaccurate(const struct probe_schedule *p, const struct probe_upstream *u,
    const struct probe_result *r, int64_t now)
{
	int32_t own =
	    r->own_at_start < r->own_at_end ? r->own_at_start : r->own_at_end;

	if (r->load != PROBE_NO_LOAD && r->load < own)
		return (true);
	return (r->state == PROBE_READY && u->response_state != PROBE_UNKNOWN &&
	    u->response_state != PROBE_READY &&
	    now - u->response_state_ms <= p->desc.stale_ms);
}

/* Checks the report of a probe. Returns whether to use it. */
static bool
check_report(struct probe_schedule *p, struct probe_upstream *u,
    const struct probe_result *r, int64_t now)
{
	bool frozen = r->load != PROBE_NO_LOAD && is_frozen(u, r->load);
	bool inaccurate = is_inaccurate(p, u, r, now);

	u->inaccurate_reports = inaccurate ? u->inaccurate_reports + 1 : 0;
	if (frozen || u->inaccurate_reports >= INACCURATE_FOR_IGNORE) {
		u->ignore_until_ms = now + p->desc.ignore_ms;
		u->inaccurate_reports = 0;
	}
	return (!inaccurate && now >= u->ignore_until_ms);
}

static void
broadcast_result(struct probe_schedule *p, struct probe_upstream *u,
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
on_probe_failed(struct probe_schedule *p, struct probe_upstream *u, int64_t now,
    struct probe_out *out)
{
	u->fails++;
	if (u->fails >= FAILS_FOR_DOWN && is_load_stale(p, u, now))
		broadcast_result(p, u, PROBE_DOWN, PROBE_NO_LOAD, out);
}

void
probe_on_result(struct probe_schedule *p, struct bstr id,
    const struct probe_result *r, int64_t now_ms, struct probe_out *out)
{
	struct probe_upstream *u = find(p, id);

	if (u == NULL || u->sent_ms == 0)
		return;
	u->sent_ms = 0;
	if (!r->ok || r->load < PROBE_NO_LOAD || r->load > PROBE_MAX_LOAD) {
		on_probe_failed(p, u, now_ms, out);
		return;
	}
	u->fails = 0;
	if (check_report(p, u, r, now_ms))
		broadcast_result(p, u, r->state, r->load, out);
}

void
probe_on_response(struct probe_schedule *p, struct bstr id,
    const struct probe_seen *seen, int64_t now_ms, struct probe_out *out)
{
	struct probe_upstream *u = find(p, id);

	if (u == NULL)
		return;
	u->response_ms = now_ms;
	if (seen->load >= 0)
		record_response_load(u, seen->load);
	if (seen->state == PROBE_UNKNOWN)
		return;
	u->response_state = seen->state;
	u->response_state_ms = now_ms;
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
	struct probe_upstream *u = find(p, m->upstream);

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
probe_reports_ignored(
    const struct probe_schedule *p, struct bstr id, int64_t now_ms)
{
	const struct probe_upstream *u = find(p, id);

	return (u != NULL && now_ms < u->ignore_until_ms);
}
