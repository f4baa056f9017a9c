/* Controller of probes, upstream states and cold-start permits. */
#include "control/controller.h"

#include <stdlib.h>

#include "front/worker_msg.h"
#include "ops/metrics.h"
#include "peer/cold_codec.h"

/* Ticks in which the load reports of all upstreams are checked once. */
#define CHECK_ROUND_TICKS 10
/* A tick checks at least this many upstreams, or all if there are fewer. */
#define MIN_CHECKS_PER_TICK 64
/* Cold upstreams whose use is updated in one tick; bounds its duration. */
#define MAX_COLD_PER_TICK 256
#define MEMBERS_INTERVAL_MS 250
/* Permits requested for calls that may start before the next request. */
#define DEMAND_AHEAD 2
/*
 * A cold upstream without calls in flight has demand for this time after
 * rt_pick() last considered it.
 */
#define DEMAND_VALID_US 1000000
/* For this time, a load from a response takes precedence over a probe. */
#define RESPONSE_LOAD_US 1000000
#define US_PER_MS 1000

static const char *const STATE_NAMES[] = {
    [PROBE_UNKNOWN] = "unknown",
    [PROBE_READY] = "ready",
    [PROBE_COLD] = "cold",
    [PROBE_DRAINING] = "draining",
    [PROBE_DOWN] = "down",
};

static struct ctl_upstream *
find_upstream(const struct control *c, struct bstr id)
{
	char key[COLD_ID_MAX + 1] = {0};

	if (id.n > COLD_ID_MAX)
		return (NULL);
	memcpy(key, id.p, id.n);
	return (g_hash_table_lookup(c->upstreams, key));
}

static enum probe_state
probe_state_of(enum rt_state state)
{
	switch (state) {
	case RT_READY:
		return (PROBE_READY);
	case RT_COLD:
		return (PROBE_COLD);
	case RT_DRAINING:
		return (PROBE_DRAINING);
	case RT_DOWN:
		break;
	}
	return (PROBE_DOWN);
}

static void
send_cold_msg(struct control *c, const struct cold_effect *e)
{
	struct bbuf b;

	bbuf_init(&b);
	cold_codec_put_cold(&b, &e->msg);
	if (e->type == COLD_SEND)
		ctl_send(c, &e->to, PEER_MSG_PERMIT, bbuf_str(&b));
	else
		ctl_broadcast(c, PEER_MSG_PERMIT, bbuf_str(&b));
	bbuf_finish(&b);
}

/*
 * A worker may read between the two writes. It must never combine a larger
 * count with the expiry of a smaller one, so an increase writes the expiry
 * first, and any other change writes the count first.
 */
static void
set_permits(struct rt_stat *s, uint32_t count, int64_t until_us)
{
	int32_t n = count > COLD_MAX_SLOTS ? COLD_MAX_SLOTS : (int32_t)count;

	if (n > atomic_load(&s->permits)) {
		atomic_store(&s->permits_until_us, until_us);
		atomic_store(&s->permits, n);
		return;
	}
	atomic_store(&s->permits, n);
	atomic_store(&s->permits_until_us, until_us);
}

static void
set_cold(struct control *c, struct ctl_upstream *u, bool cold)
{
	if (u->cold == cold)
		return;
	u->cold = cold;
	u->last_cold_good = atomic_load(&u->stat->good);
	set_permits(u->stat, 0, 0);
	if (cold)
		g_ptr_array_add(c->cold_list, u);
	else
		g_ptr_array_remove_fast(c->cold_list, u);
	c->table_dirty = true;
	g_message("upstream: %s %s", u->id,
	    cold ? "begins its cold start" : "has finished its cold start");
}

/* Carries out and frees the effects of cold_start. */
static void
apply_cold(struct control *c, struct cold_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const struct cold_effect *e = &out->v[i];
		struct ctl_upstream *u;

		if (e->type == COLD_SEND || e->type == COLD_BROADCAST) {
			send_cold_msg(c, e);
			continue;
		}
		u = find_upstream(c, e->upstream);
		if (u == NULL)
			continue;
		if (e->type == COLD_STATE) {
			set_cold(c, u, e->cold);
			continue;
		}
		set_permits(u->stat, e->count, e->until_ms * US_PER_MS);
		metrics_add(c->desc.metrics, METRICS_PERMITS, e->count);
	}
	cold_out_finish(out);
}

static void
send_probe_msg(struct control *c, const struct probe_msg *m)
{
	struct bbuf b;

	bbuf_init(&b);
	cold_codec_put_probe(&b, m);
	ctl_broadcast(c, PEER_MSG_UPSTREAM_STATE, bbuf_str(&b));
	bbuf_finish(&b);
}

static void
start_probe(struct control *c, struct ctl_upstream *u)
{
	u->own_at_probe_start = atomic_load(&u->stat->in_flight);
	metrics_add(c->desc.metrics, METRICS_PROBES, 1);
	prober_probe(c->prober, bstr_from(u->id), bstr_from(u->addr));
}

static void
change_state(struct control *c, struct ctl_upstream *u, enum probe_state state)
{
	struct cold_out out = {0};

	u->state = state;
	c->table_dirty = true;
	g_message("upstream: %s is %s", u->id, STATE_NAMES[state]);
	cold_on_state(
	    &c->cold, bstr_from(u->id), state == PROBE_COLD, c->now_ms, &out);
	apply_cold(c, &out);
}

/* Stores a load from a probe, unless a response reported one more recently. */
static void
store_probed_load(struct control *c, struct ctl_upstream *u, int32_t load)
{
	int64_t now_us = c->now_ms * US_PER_MS;
	int64_t seen_us = atomic_load(&u->stat->reported_us);

	if (seen_us != 0 && seen_us != u->last_reported_us)
		return;
	if (seen_us != 0 && now_us - seen_us < RESPONSE_LOAD_US)
		return;
	atomic_store(&u->stat->reported, load);
	atomic_store(&u->stat->started_since_report, 0);
	atomic_store(&u->stat->reported_us, now_us);
	u->last_reported_us = now_us;
}

/* Carries out and frees the effects of probe_schedule. */
static void
apply_probes(struct control *c, struct probe_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const struct probe_effect *e = &out->v[i];
		struct ctl_upstream *u = find_upstream(c, e->upstream);

		if (u == NULL)
			continue;
		switch (e->type) {
		case PROBE_SEND:
			start_probe(c, u);
			break;
		case PROBE_BROADCAST:
			send_probe_msg(c, &e->msg);
			break;
		case PROBE_STATE:
			change_state(c, u, e->state);
			break;
		case PROBE_LOAD:
			store_probed_load(c, u, e->load);
			break;
		}
	}
	probe_out_finish(out);
}

static void
update_leases(struct control *c, struct cold_out *out)
{
	bool fresh = ctl_is_fresh(c);

	for (uint32_t p = 0; p < PARTITION_COUNT; p++) {
		struct cold_lease l = {.partition = p,
		    .owner = partition_owner(&c->partitions, p),
		    .epoch = partition_epoch(&c->partitions, p),
		    .act_from_ms = partition_act_from(&c->partitions, p)};

		if (fresh)
			l.act_until_ms = partition_act_until(&c->partitions, p);
		cold_on_lease(&c->cold, &l, c->now_ms, out);
		probe_on_lease(&c->probes, &l, c->now_ms);
	}
}

static void
update_members(struct control *c)
{
	struct member_info *all;
	struct cold_member *m;
	uint32_t n;

	if (c->now_ms < c->next_cold_members_ms)
		return;
	c->next_cold_members_ms = c->now_ms + MEMBERS_INTERVAL_MS;
	all = g_new0(struct member_info, MEMBER_MAX_MEMBERS);
	n = member_all(&c->membership, all, MEMBER_MAX_MEMBERS);
	m = g_new0(struct cold_member, n + 1);
	for (uint32_t i = 0; i < n; i++) {
		m[i].id = all[i].id;
		m[i].alive = all[i].state != MEMBER_DEAD;
	}
	cold_on_members(&c->cold, m, n);
	g_free(m);
	g_free(all);
}

static uint32_t
demand_of(const struct ctl_upstream *u, uint32_t own, int64_t now_us)
{
	int64_t demand_us = atomic_load(&u->stat->cold_demand_us);
	uint32_t n = own + DEMAND_AHEAD;

	if (own == 0 &&
	    (demand_us == 0 || now_us - demand_us > DEMAND_VALID_US))
		return (0);
	if (n > u->slots)
		n = u->slots;
	return (n > own ? n : own);
}

static void
update_use(struct control *c, struct ctl_upstream *u)
{
	int32_t own = atomic_load(&u->stat->in_flight);
	uint64_t good = atomic_load(&u->stat->good);
	struct cold_use use = {.in_flight = own > 0 ? (uint32_t)own : 0,
	    .successes = (uint32_t)(good - u->last_cold_good)};

	use.demand = demand_of(u, use.in_flight, c->now_ms * US_PER_MS);
	u->last_cold_good = good;
	cold_on_use(&c->cold, bstr_from(u->id), &use, c->now_ms);
}

/*
 * The use of an upstream may be some ticks old when a permit request carries
 * it. Calls started since then are covered, because the request also carries
 * the largest number of permits held since the use was read.
 */
static void
update_uses(struct control *c)
{
	uint32_t n = c->cold_list->len;
	uint32_t todo = n < MAX_COLD_PER_TICK ? n : MAX_COLD_PER_TICK;

	for (; todo > 0; todo--) {
		c->last_cold = c->last_cold + 1 < n ? c->last_cold + 1 : 0;
		update_use(c, g_ptr_array_index(c->cold_list, c->last_cold));
	}
}

static void
check_response(struct control *c, struct ctl_upstream *u, struct probe_out *out)
{
	int64_t seen_us = atomic_load(&u->stat->reported_us);
	struct probe_seen seen = {.state = PROBE_UNKNOWN};

	if (seen_us == u->last_reported_us)
		return;
	u->last_reported_us = seen_us;
	seen.load = atomic_load(&u->stat->reported);
	probe_on_response(
	    &c->probes, bstr_from(u->id), &seen, seen_us / US_PER_MS, out);
}

static void
check_responses(struct control *c, struct probe_out *out)
{
	uint32_t n = c->upstream_list->len;
	uint32_t todo = (n + CHECK_ROUND_TICKS - 1) / CHECK_ROUND_TICKS;

	if (todo < MIN_CHECKS_PER_TICK)
		todo = n < MIN_CHECKS_PER_TICK ? n : MIN_CHECKS_PER_TICK;
	for (; todo > 0; todo--) {
		c->last_checked =
		    c->last_checked + 1 < n ? c->last_checked + 1 : 0;
		check_response(c,
		    g_ptr_array_index(c->upstream_list, c->last_checked), out);
	}
}

static void
tick(struct control *c)
{
	struct cold_out cold = {0};
	struct probe_out probes = {0};

	update_leases(c, &cold);
	update_members(c);
	update_uses(c);
	cold_tick(&c->cold, c->now_ms, &cold);
	apply_cold(c, &cold);
	check_responses(c, &probes);
	probe_tick(&c->probes, c->now_ms, &probes);
	apply_probes(c, &probes);
}

static void
setup(struct control *c)
{
	struct cold_desc cold = {.self = c->self, .seed = rng_next(&c->rng)};
	struct probe_desc probes = {.self = c->self, .seed = rng_next(&c->rng)};

	cold_init(&c->cold, &cold);
	probe_init(&c->probes, &probes);
	c->upstream_list = g_ptr_array_new();
	c->cold_list = g_ptr_array_new();
}

static void
finish(struct control *c)
{
	cold_finish(&c->cold);
	probe_finish(&c->probes);
	g_ptr_array_free(c->upstream_list, TRUE);
	g_ptr_array_free(c->cold_list, TRUE);
}

static void
on_permit(struct control *c, const struct vm_id *from, struct bstr body)
{
	struct cold_out out = {0};
	struct cold_msg m;
	char id[COLD_ID_MAX];

	if (!cold_codec_get_cold(&m, id, body))
		return;
	cold_on_msg(&c->cold, from, &m, c->now_ms, &out);
	apply_cold(c, &out);
}

static void
on_probe_msg(struct control *c, const struct vm_id *from, struct bstr body)
{
	struct probe_out out = {0};
	struct probe_msg m;
	char id[COLD_ID_MAX];

	if (!cold_codec_get_probe(&m, id, body))
		return;
	probe_on_msg(&c->probes, from, &m, c->now_ms, &out);
	apply_probes(c, &out);
}

static bool
on_peer(struct control *c, enum peer_msg_type type, const struct vm_id *from,
    struct bstr body)
{
	if (type == PEER_MSG_PERMIT)
		on_permit(c, from, body);
	else if (type == PEER_MSG_UPSTREAM_STATE)
		on_probe_msg(c, from, body);
	else
		return (false);
	return (true);
}

void
ctl_on_upstream_state(struct control *c, struct msgq_msg *m)
{
	struct worker_msg_upstream_state *s =
	    caa_container_of(m, struct worker_msg_upstream_state, m);
	struct bstr id = {s->id, strnlen(s->id, WORKER_MSG_ID_MAX)};
	struct probe_seen seen = {
	    .load = PROBE_NO_LOAD, .state = probe_state_of(s->state)};
	struct cold_out cold = {0};
	struct probe_out probes = {0};

	probe_on_response(&c->probes, id, &seen, c->now_ms, &probes);
	apply_probes(c, &probes);
	/*
	 * cold_start is notified directly as well: an upstream can become cold
	 * again while probe_schedule still has it as cold and reports no
	 * change.
	 */
	cold_on_state(&c->cold, id, s->state == RT_COLD, c->now_ms, &cold);
	apply_cold(c, &cold);
	free(s);
}

void
ctl_on_probe(struct control *c, struct msgq_msg *m)
{
	struct prober_result *r = prober_result_of(m);
	struct ctl_upstream *u = find_upstream(c, r->upstream);
	struct probe_out out = {0};

	if (u != NULL) {
		struct probe_result result = {.ok = r->ok,
		    .state = probe_state_of(r->state),
		    .load = r->load,
		    .own_at_start = u->own_at_probe_start,
		    .own_at_end = atomic_load(&u->stat->in_flight)};

		probe_on_result(
		    &c->probes, r->upstream, &result, c->now_ms, &out);
		apply_probes(c, &out);
	}
	prober_result_free(r);
}

void
ctl_upstream_added(struct control *c, struct ctl_upstream *u)
{
	struct bstr id = bstr_from(u->id);
	uint32_t partition = partition_of(id);
	uint32_t first_preferred_index = c->cold.n_upstreams;

	if (!cold_add(&c->cold, id, u->slots, partition) ||
	    !probe_add(&c->probes, id, partition)) {
		g_warning("upstream: %s is not monitored: invalid id or slots, "
			  "or too many upstreams",
		    u->id);
		return;
	}
	/* cold_add() only updates an upstream that it already has. */
	if (c->cold.n_upstreams != first_preferred_index)
		g_ptr_array_add(c->upstream_list, u);
}

void
ctl_upstream_removed(struct control *c, struct ctl_upstream *u)
{
	struct bstr id = bstr_from(u->id);

	cold_remove(&c->cold, id);
	probe_remove(&c->probes, id);
	g_ptr_array_remove_fast(c->upstream_list, u);
	g_ptr_array_remove_fast(c->cold_list, u);
}

enum rt_state
ctl_upstream_state(const struct ctl_upstream *u)
{
	/* A draining upstream takes no new work, even if it is cold. */
	if (u->state == PROBE_DRAINING)
		return (RT_DRAINING);
	if (u->state == PROBE_DOWN)
		return (RT_DOWN);
	return (u->cold ? RT_COLD : RT_READY);
}

static const struct controller_ops ops = {
    .name = "upstream",
    .setup = setup,
    .finish = finish,
    .tick = tick,
    .on_peer = on_peer,
};

const struct controller controller_upstream = {&ops};
