#include "control/move_runner.h"

#include <stdlib.h>
#include <string.h>

#include "fleet/vm_rank.h"

/* Interval between two rounds of counters and decisions. */
#define ROUND_INTERVAL_MS 200
/* How long a decision of the executor is valid. */
#define DECISION_VALID_MS 1500
/*
 * A VM takes over when it has received no decision for this long, plus a step
 * for each VM that ranks before it. The steps of the later VMs are shorter, as
 * many of the first have to be lost before their turn.
 */
#define EXECUTOR_TIMEOUT_MS 1800
#define TAKEOVER_STEP_MS 150
#define TAKEOVER_FIRST_VMS 10
#define TAKEOVER_LATE_STEP_MS 20
/* Interval between two writes of a status. */
#define STATUS_WRITE_INTERVAL_MS 400
/* Reason of an executor that takes over a move which was rolled back. */
#define REASON_EARLIER_ROLLBACK "a former executor rolled the move back"

/**
 * struct local_move - state of one move on this VM
 * @to_version: version that gets the traffic
 * @seen_ms: when this VM first saw the move
 * @executor_seen_ms: when the executor last sent a decision or changed, or this
 *	VM last wrote the status
 * @executor: executor at the last tick, owned
 * @is_executor: this VM is the executor
 * @exec: state of the executor, valid while @is_executor
 * @next_write_ms: when the status may be written again, INT64_MAX during a
 *	write
 */
struct local_move {
	char *to_version;
	int64_t seen_ms;
	int64_t executor_seen_ms;
	char *executor;
	bool is_executor;
	struct move_executor exec;
	int64_t next_write_ms;
};

static void
free_local_move(void *arg)
{
	struct local_move *p = arg;

	if (p->is_executor)
		move_exec_finish(&p->exec);
	g_free(p->to_version);
	g_free(p->executor);
	g_free(p);
}

void
move_runner_init(struct move_runner *r, const struct move_runner_desc *desc)
{
	*r = (struct move_runner){.desc = *desc};
	r->local_moves = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, free_local_move);
}

void
move_runner_finish(struct move_runner *r)
{
	g_hash_table_unref(r->local_moves);
}

static bool
is_final(enum obj_move_state s)
{
	return (s == OBJ_MOVE_DONE || s == OBJ_MOVE_ROLLED_BACK);
}

/*
 * Number of VMs that take over a move of this service before this VM. The order
 * differs for each service.
 */
static uint32_t
takeover_rank(const struct move_runner *r, const char *service)
{
	uint64_t seed = bstr_hash(bstr_from(service), 0);
	const struct view_member *self =
	    g_hash_table_lookup(r->desc.view->members, r->desc.self);
	uint64_t own = vm_rank(
	    r->desc.self, self == NULL ? 0 : self->member.link_mbps, seed);
	uint32_t before = 0;
	GHashTableIter it;
	void *id, *v;

	g_hash_table_iter_init(&it, r->desc.view->members);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		const struct view_member *m = v;

		before += vm_rank(id, m->member.link_mbps, seed) < own;
	}
	return (before);
}

/* Time without an executor after which this VM takes over. */
static int64_t
takeover_wait_ms(const struct move_runner *r, const struct view_move *m)
{
	int64_t wait_ms = m->order.executor == NULL ? 0 : EXECUTOR_TIMEOUT_MS;
	uint32_t rank = takeover_rank(r, m->order.service);

	if (rank <= TAKEOVER_FIRST_VMS)
		return (wait_ms + (int64_t)rank * TAKEOVER_STEP_MS);
	return (wait_ms + TAKEOVER_FIRST_VMS * TAKEOVER_STEP_MS +
	    (int64_t)(rank - TAKEOVER_FIRST_VMS) * TAKEOVER_LATE_STEP_MS);
}

static struct local_move *
get_local_move(struct move_runner *r, const struct view_move *m, int64_t now_ms)
{
	const char *service = m->order.service;
	struct local_move *p = g_hash_table_lookup(r->local_moves, service);

	if (p != NULL && strcmp(p->to_version, m->order.to_version) == 0)
		return (p);
	p = g_new0(struct local_move, 1);
	p->to_version = g_strdup(m->order.to_version);
	p->seen_ms = now_ms;
	p->executor_seen_ms = now_ms;
	g_hash_table_insert(r->local_moves, g_strdup(service), p);
	g_message("move: %s to %s, duration %lld ms, revision %lld", service,
	    p->to_version, (long long)m->order.duration_ms,
	    (long long)m->order.revision);
	return (p);
}

static void
add_tally(struct canary_count *to, const struct rt_tally *t)
{
	to->calls += atomic_load(&t->calls);
	to->failed += atomic_load(&t->failures);
	to->slow += atomic_load(&t->slow);
}

/* This VM's own counters of a service for the new and all other versions. */
static struct move_exec_counts
own_counts(const struct move_runner *r, const char *service, const char *to)
{
	struct move_exec_counts c = {0};
	GHashTableIter it;
	void *arg;

	g_hash_table_iter_init(&it, r->desc.view->versions);
	while (g_hash_table_iter_next(&it, NULL, &arg)) {
		const struct view_version *v = arg;

		if (strcmp(v->service, service) != 0)
			continue;
		add_tally(
		    strcmp(v->name, to) == 0 ? &c.new_version : &c.old_version,
		    v->tally);
	}
	return (c);
}

static struct move_datagram_msg
new_message(const struct move_runner *r, enum move_datagram_type type,
    const struct view_move *m)
{
	struct move_datagram_msg msg = {.type = type, .boot = r->desc.boot};

	g_strlcpy(msg.vm, r->desc.self, sizeof(msg.vm));
	g_strlcpy(msg.service, m->order.service, sizeof(msg.service));
	g_strlcpy(msg.to_version, m->order.to_version, sizeof(msg.to_version));
	return (msg);
}

static void
send_counts(struct move_runner *r, const struct view_move *m)
{
	const struct view_member *e =
	    g_hash_table_lookup(r->desc.view->members, m->order.executor);
	struct move_datagram_msg msg = new_message(r, MOVE_DATAGRAM_COUNTS, m);
	struct bbuf b;

	if (e == NULL)
		return;
	msg.counts = own_counts(r, m->order.service, m->order.to_version);
	msg.state = m->outcome;
	bbuf_init(&b);
	move_datagram_encode(&b, &msg);
	r->desc.send(r->desc.arg, e->member.address, bbuf_str(&b));
	bbuf_finish(&b);
}

static void
send_decision(struct move_runner *r, const struct view_move *m,
    const struct local_move *p)
{
	struct move_datagram_msg msg =
	    new_message(r, MOVE_DATAGRAM_DECISION, m);
	struct bbuf b;

	msg.share = p->exec.share;
	msg.state = p->exec.state;
	bbuf_init(&b);
	move_datagram_encode(&b, &msg);
	r->desc.send_all(r->desc.arg, bbuf_str(&b));
	bbuf_finish(&b);
}

static struct move_exec_upstreams
count_upstreams(const struct move_runner *r, const struct view_move *m)
{
	struct move_exec_upstreams n = {0};
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, r->desc.view->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct obj_upstream *e =
		    &((struct view_upstream *)v)->entry;

		if (strcmp(e->service, m->order.service) != 0 || e->draining ||
		    g_hash_table_contains(r->desc.view->zones_out, e->zone))
			continue;
		if (strcmp(e->version, m->order.to_version) == 0)
			n.n_new++;
		else
			n.n_others++;
	}
	return (n);
}

static void
write_status(struct move_runner *r, const struct view_move *m,
    struct local_move *p, enum obj_move_state state, int64_t now_ms)
{
	int64_t started_ms = m->order.started_ms;

	if (now_ms < p->next_write_ms)
		return;
	if (started_ms == 0)
		started_ms = r->desc.wall_ms(r->desc.arg);
	p->next_write_ms = INT64_MAX;
	r->desc.store->ops->write_move(
	    r->desc.store, &m->order, state, started_ms, r->desc.self);
}

/*
 * The VMs that received the rollback of a former executor send no requests to
 * the new version any more, so the counters cannot show the fault again.
 */
static void
adopt_rollback(struct local_move *p, const char *service)
{
	if (p->exec.state != OBJ_MOVE_RUNNING)
		return;
	move_exec_roll_back(&p->exec, REASON_EARLIER_ROLLBACK);
	g_message("move: %s: %s", service, p->exec.reason);
}

static void
become_executor(struct move_runner *r, const struct view_move *m,
    struct local_move *p, int64_t now_ms)
{
	struct move_exec_desc d = {.duration_ms = m->order.duration_ms};

	d.elapsed_ms = r->desc.wall_ms(r->desc.arg) - m->order.started_ms;
	if (d.elapsed_ms < now_ms - p->seen_ms)
		d.elapsed_ms = now_ms - p->seen_ms;
	if (d.elapsed_ms > d.duration_ms)
		d.elapsed_ms = d.duration_ms;
	move_exec_init(&p->exec, &d, now_ms);
	p->is_executor = true;
	p->next_write_ms = 0;
	g_message("move: %s: this VM is the executor, %lld ms elapsed",
	    m->order.service, (long long)d.elapsed_ms);
	if (m->outcome == OBJ_MOVE_ROLLED_BACK)
		adopt_rollback(p, m->order.service);
}

static void
execute_move(struct move_runner *r, struct view_move *m, struct local_move *p,
    int64_t now_ms)
{
	struct move_exec_upstreams upstreams = count_upstreams(r, m);
	struct move_exec_counts own =
	    own_counts(r, m->order.service, m->order.to_version);
	uint32_t before = p->exec.share;
	enum obj_move_state state = p->exec.state;

	move_exec_add(&p->exec, r->desc.self, r->desc.boot, &own);
	move_exec_tick(&p->exec, now_ms, &upstreams);
	if (p->exec.share != before || p->exec.state != state)
		g_message("move: %s: share %u -> %u permille, new version "
			  "%llu calls %llu failed %llu slow, others %llu "
			  "calls %llu failed %llu slow%s%s",
		    m->order.service, before, p->exec.share,
		    (unsigned long long)p->exec.total.new_version.calls,
		    (unsigned long long)p->exec.total.new_version.failed,
		    (unsigned long long)p->exec.total.new_version.slow,
		    (unsigned long long)p->exec.total.old_version.calls,
		    (unsigned long long)p->exec.total.old_version.failed,
		    (unsigned long long)p->exec.total.old_version.slow,
		    p->exec.reason == NULL ? "" : ": ",
		    p->exec.reason == NULL ? "" : p->exec.reason);
	view_set_share(r->desc.view, m->order.service, p->exec.share,
	    (now_ms + DECISION_VALID_MS) * 1000, p->exec.state);
	send_decision(r, m, p);
	if (is_final(p->exec.state))
		write_status(r, m, p, p->exec.state, now_ms);
}

/*
 * Sends counters to the executor, and takes over when there is none or it sends
 * no decisions.
 */
static void
follow_executor(struct move_runner *r, const struct view_move *m,
    struct local_move *p, int64_t now_ms)
{
	if (m->order.executor != NULL)
		send_counts(r, m);
	if (now_ms - p->executor_seen_ms >= takeover_wait_ms(r, m))
		write_status(r, m, p, OBJ_MOVE_RUNNING, now_ms);
}

static void
tick_move(struct move_runner *r, struct view_move *m, int64_t now_ms)
{
	struct local_move *p = get_local_move(r, m, now_ms);
	bool assigned = g_strcmp0(m->order.executor, r->desc.self) == 0 &&
	    m->order.state == OBJ_MOVE_RUNNING;

	if (g_strcmp0(p->executor, m->order.executor) != 0) {
		g_free(p->executor);
		p->executor = g_strdup(m->order.executor);
		p->executor_seen_ms = now_ms;
	}
	if (p->is_executor && (!assigned || is_final(m->order.state))) {
		move_exec_finish(&p->exec);
		p->is_executor = false;
		p->next_write_ms = now_ms;
	}
	if (is_final(m->order.state))
		return;
	if (assigned && !p->is_executor)
		become_executor(r, m, p, now_ms);
	if (p->is_executor)
		execute_move(r, m, p, now_ms);
	else
		follow_executor(r, m, p, now_ms);
}

void
move_runner_tick(struct move_runner *r, int64_t now_ms)
{
	GHashTableIter it;
	void *v;

	if (now_ms < r->next_ms)
		return;
	r->next_ms = now_ms + ROUND_INTERVAL_MS;
	g_hash_table_iter_init(&it, r->desc.view->moves);
	while (g_hash_table_iter_next(&it, NULL, &v))
		tick_move(r, v, now_ms);
}

bool
move_runner_is_active(const struct move_runner *r)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, r->desc.view->moves);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (!is_final(((struct view_move *)v)->order.state))
			return (true);
	}
	return (false);
}

void
move_runner_on_datagram(
    struct move_runner *r, struct bstr bytes, int64_t now_ms)
{
	struct move_datagram_msg msg;
	struct view_move *m;
	struct local_move *p;

	if (!move_datagram_decode(bytes, &msg)) {
		g_debug(
		    "move: ignored a malformed datagram of %zu bytes", bytes.n);
		return;
	}
	m = g_hash_table_lookup(r->desc.view->moves, msg.service);
	p = g_hash_table_lookup(r->local_moves, msg.service);
	if (m == NULL || p == NULL ||
	    strcmp(p->to_version, msg.to_version) != 0)
		return;
	if (msg.type == MOVE_DATAGRAM_COUNTS && p->is_executor) {
		move_exec_add(&p->exec, msg.vm, msg.boot, &msg.counts);
		if (msg.state == OBJ_MOVE_ROLLED_BACK)
			adopt_rollback(p, msg.service);
		return;
	}
	if (msg.type != MOVE_DATAGRAM_DECISION ||
	    g_strcmp0(m->order.executor, msg.vm) != 0 || p->is_executor)
		return;
	p->executor_seen_ms = now_ms;
	view_set_share(r->desc.view, msg.service, msg.share,
	    (now_ms + DECISION_VALID_MS) * 1000, msg.state);
}

void
move_runner_on_written(struct move_runner *r, const char *name,
    enum store_result result, int64_t now_ms)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, r->desc.view->moves);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct view_move *m = v;
		struct local_move *p =
		    g_hash_table_lookup(r->local_moves, m->order.service);

		if (p == NULL || strcmp(m->order.name, name) != 0)
			continue;
		/* Leaves time for the watch to report the new revision. */
		p->next_write_ms = now_ms + STATUS_WRITE_INTERVAL_MS;
		if (result == STORE_WRITTEN)
			p->executor_seen_ms = now_ms;
	}
}
