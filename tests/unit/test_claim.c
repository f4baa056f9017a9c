/*
 * Golden sessions of the claim module, and random simulations of partition and
 * claim together: several processes, a simulated network and a store in memory,
 * with one or two random faults at a time. SEED=n replays a seed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "claim/claim.h"
#include "claim/partition.h"
#include "lib/golden.h"
#include "lib/seeds.h"

#define MAX_NODES 9
#define N_KEYS 40
#define MAX_ATTEMPTS 4096
#define STEP_MS 10
#define FAULTS_MS 12000
#define RUN_MS 19000
/*
 * Covers the last fault, its end, its detection, PARTITION_LOST_WAIT_MS and a
 * new lease.
 */
#define HEAL_LIMIT_MS 33000
/*
 * Must exceed the time for which a partition has no lease while its owner
 * changes.
 */
#define RECENT_MS 3000
#define RETENTION_MS 15000
#define VALIDITY_MS 1000
#define MAX_CALL_MS 1000
#define DEFAULT_SEEDS 300

enum kind {
	K_PARTITION_MSG,
	K_CLAIM_MSG,
	K_READ,
	K_WRITE,
	K_READ_DONE,
	K_WRITE_DONE
};

struct event {
	int64_t at;
	enum kind kind;
	struct vm_id from, to;
	void *msg;
	uint64_t version;
	enum partition_result r;
	json_t *value;
	struct event *next;
};

struct node {
	bool dead;
	bool leaving;
	int64_t frozen_until;
	int64_t restart_at;
	int64_t offset, rate; /* local clock: start in ms, drift in permille */
	int64_t next_members;
	int64_t contact[MAX_NODES]; /* last time the node was reachable */
	unsigned start, zone;
	struct vm_id id;
	struct partitions partitions;
	struct claims claims;
	struct partition_out partition_out;
	struct claim_out claim_out;
};

struct attempt {
	unsigned key;
	uint64_t fingerprint;
	struct vm_id node;
	bool granted, not_run, done;
	int64_t granted_at, report_at;
	int outcome; /* outcome to report (enum claim_outcome), 0 for none */
};

static struct sim {
	struct random rng;
	int64_t now;
	unsigned n;
	struct node node[MAX_NODES];
	int64_t cut[MAX_NODES][MAX_NODES]; /* end of the network partition */
	int64_t chaos_until; /* messages are delayed and duplicated */
	int64_t down_until;  /* the store fails all requests */
	int64_t lost_until;  /* answers to writes are lost */
	struct event *events;
	json_t *object;
	uint64_t version;
	struct attempt attempts[MAX_ATTEMPTS];
	unsigned n_attempts, n_grants, n_done;
	struct partition_table table; /* parsed from the object */
	/* last time that a lease was held, or that all processes were lost */
	int64_t held_at[PARTITION_COUNT], lost_at[PARTITION_COUNT];
	bool fake_acks, failed;
	uint64_t seed;
} sim;

static int64_t
local(const struct node *n)
{
	return (n->offset + sim.now + sim.now * n->rate / 1000);
}

static void
fail_run(const char *what, unsigned key)
{
	if (!sim.failed)
		printf("seed %llu at %lld ms: %s (%u); replay: SEED=%llu "
		       "build/release/unit/test_claim\n",
		    (unsigned long long)sim.seed, (long long)sim.now, what, key,
		    (unsigned long long)sim.seed);
	sim.failed = true;
}

static void
push_event(struct event e, int64_t delay)
{
	struct event *n = malloc(sizeof(*n));

	e.at = sim.now + delay;
	*n = e;
	n->next = sim.events;
	sim.events = n;
}

static struct node *
node_of(const struct vm_id *id)
{
	for (unsigned i = 0; i < sim.n; i++) {
		if (vmid_eq(&sim.node[i].id, id) && !sim.node[i].dead)
			return (&sim.node[i]);
	}
	return (NULL);
}

static bool
is_cut(const struct node *a, const struct node *b)
{
	return (sim.cut[a - sim.node][b - sim.node] > sim.now);
}

static int64_t
delay(void)
{
	if (sim.now < sim.chaos_until && rng_below(&sim.rng, 5) == 0)
		return (rng_below(&sim.rng, 3000));
	return (1 + rng_below(&sim.rng, 15));
}

static void on_verdict(struct node *n, const struct claim_effect *e);
static void carry_out(struct node *n);

static struct claim_msg *
copy_claim_msg(const struct claim_msg *m)
{
	struct claim_msg *d = malloc(sizeof(*d));
	struct bstr *part[] = {
	    &d->service, &d->key, &d->result.content_type, &d->result.body};
	char *at;

	*d = *m;
	at = d->mem = malloc(m->service.n + m->key.n +
	    m->result.content_type.n + m->result.body.n + 1);
	for (int i = 0; i < 4; i++) {
		if (part[i]->n != 0)
			memcpy(at, part[i]->p, part[i]->n);
		part[i]->p = at;
		at += part[i]->n;
	}
	return (d);
}

static struct partition_msg *
copy_partition_msg(const struct partition_msg *m)
{
	struct partition_msg *d = malloc(sizeof(*d));

	*d = *m;
	if (m->table != NULL) {
		struct partition_table *t = malloc(sizeof(*t));

		*t = *m->table;
		d->table = t;
	}
	return (d);
}

static void
send_msg(
    struct node *n, const struct vm_id *to, enum kind kind, const void *msg)
{
	struct node *peer = node_of(to);
	int copies =
	    1 + (sim.now < sim.chaos_until && rng_below(&sim.rng, 5) == 0);

	if (peer == NULL || is_cut(n, peer))
		return;
	while (copies-- > 0) {
		push_event((struct event){.kind = kind,
			       .from = n->id,
			       .to = *to,
			       .msg = kind == K_PARTITION_MSG
				   ? (void *)copy_partition_msg(msg)
				   : (void *)copy_claim_msg(msg)},
		    delay());
	}
}

static void
store_effect(struct node *n, const struct partition_effect *e)
{
	struct event ev = {.from = n->id, .to = n->id};

	ev.kind = e->type == PARTITION_READ ? K_READ : K_WRITE;
	ev.version = e->if_version;
	ev.value = json_incref(e->value);
	push_event(ev, 1 + rng_below(&sim.rng, 5));
}

static void
carry_out_partition(struct node *n)
{
	struct partition_out out = n->partition_out;

	n->partition_out = (struct partition_out){0};
	for (uint32_t i = 0; i < out.n; i++) {
		const struct partition_effect *e = &out.v[i];

		if (e->type == PARTITION_SEND)
			send_msg(n, &e->to, K_PARTITION_MSG, e->msg);
		else if (e->type == PARTITION_VIEW)
			claim_on_view(
			    &n->claims, &e->view, local(n), &n->claim_out);
		else
			store_effect(n, e);
	}
	partition_out_finish(&out);
}

static void
carry_out_claim(struct node *n)
{
	struct claim_out out = n->claim_out;

	n->claim_out = (struct claim_out){0};
	for (uint32_t i = 0; i < out.n; i++) {
		const struct claim_effect *e = &out.v[i];

		if (e->type == CLAIM_SEND)
			send_msg(n, &e->to, K_CLAIM_MSG, e->msg);
		else if (e->type == CLAIM_COPIED)
			partition_on_copied(&n->partitions, e->partition,
			    &e->to, local(n), &n->partition_out);
		else if (e->type == CLAIM_VERDICT)
			on_verdict(n, e);
	}
	claim_out_finish(&out);
}

static void
carry_out(struct node *n)
{
	while (n->partition_out.n != 0 || n->claim_out.n != 0) {
		carry_out_partition(n);
		carry_out_claim(n);
	}
}

/* Fails if another attempt of the key may have run. */
static void
check_granted(const struct attempt *a)
{
	for (unsigned i = 0; i < sim.n_attempts; i++) {
		const struct attempt *b = &sim.attempts[i];

		if (b != a && b->key == a->key && b->granted && !b->not_run &&
		    sim.now - b->granted_at < RETENTION_MS * 9 / 10)
			fail_run("key granted twice", a->key);
	}
}

/* Fails unless the attempt that the body names has reported success. */
static void
check_done(const struct attempt *a, struct bstr body)
{
	uint64_t id;

	if (!bstr_to_u64(body, &id) || id >= sim.n_attempts ||
	    sim.attempts[id].key != a->key || !sim.attempts[id].done)
		fail_run("done verdict without a done attempt", a->key);
	sim.n_done++;
}

static void
on_verdict(struct node *n, const struct claim_effect *e)
{
	struct attempt *a = &sim.attempts[e->request_id];
	static const int outcomes[] = {CLAIM_O_DONE, CLAIM_O_DONE,
	    CLAIM_O_NOT_RUN, CLAIM_O_NOT_RUN, CLAIM_O_UNKNOWN, 0};

	(void)n;
	if (e->verdict == CLAIM_V_DONE)
		check_done(a, e->msg->result.body);
	if (e->verdict != CLAIM_V_GRANTED)
		return;
	check_granted(a);
	a->granted = true;
	a->granted_at = sim.now;
	a->outcome = outcomes[rng_below(&sim.rng, 6)];
	a->report_at = sim.now + rng_below(&sim.rng, 800);
	sim.n_grants++;
}

static void
claim(struct node *n)
{
	struct attempt *a = &sim.attempts[sim.n_attempts];
	char key[16];

	if (sim.n_attempts == MAX_ATTEMPTS)
		return;
	a->key = rng_below(&sim.rng, N_KEYS);
	a->fingerprint = rng_below(&sim.rng, 50) == 0 ? 2 : 1;
	a->node = n->id;
	snprintf(key, sizeof(key), "key%u", a->key);
	claim_claim(&n->claims,
	    &(struct claim_request){.id = sim.n_attempts++,
		.service = BSTR("pay"),
		.key = bstr_from(key),
		.fingerprint = a->fingerprint,
		.deadline_ms = local(n) + 100 + rng_below(&sim.rng, 1500)},
	    local(n), &n->claim_out);
	carry_out(n);
}

static void
report(unsigned id)
{
	struct attempt *a = &sim.attempts[id];
	struct claim_result res = {.status = 200};
	struct node *n;
	char body[16];

	if (a->outcome == 0 || sim.now < a->report_at)
		return;
	n = node_of(&a->node);
	if (n == NULL || n->frozen_until > sim.now)
		return;
	snprintf(body, sizeof(body), "%u", id);
	res.body = bstr_from(body);
	a->not_run = a->outcome == CLAIM_O_NOT_RUN;
	a->done = a->outcome == CLAIM_O_DONE;
	claim_finish_request(&n->claims, id, (enum claim_outcome)a->outcome,
	    &res, local(n), &n->claim_out);
	a->outcome = 0;
	carry_out(n);
}

/* Runs a read or write of the simulated store. */
static void
store_op(struct event *e)
{
	struct event answer = {.from = e->from, .to = e->to};

	answer.kind = e->kind == K_READ ? K_READ_DONE : K_WRITE_DONE;
	answer.r = PARTITION_OK;
	if (sim.now < sim.down_until) {
		answer.r = PARTITION_FAILED;
	} else if (e->kind == K_READ) {
		answer.version = sim.version;
		answer.value = json_incref(sim.object);
		answer.r =
		    sim.object == NULL ? PARTITION_NOT_FOUND : PARTITION_OK;
	} else if (e->version == sim.version) {
		json_decref(sim.object);
		sim.object = json_incref(e->value);
		partition_table_parse(&sim.table, sim.object);
		answer.version = ++sim.version;
	} else {
		answer.r = PARTITION_CONFLICT;
	}
	if (e->kind == K_WRITE && sim.now < sim.lost_until)
		answer.r = PARTITION_UNKNOWN;
	push_event(answer, 1 + rng_below(&sim.rng, 5));
}

/*
 * While answers to writes are lost, reports half of the writes as unknown at
 * once and lets them reach the store later.
 */
static bool
postpone(struct event *e)
{
	if (e->kind != K_WRITE || sim.now >= sim.lost_until ||
	    rng_below(&sim.rng, 2) == 0)
		return (false);
	push_event((struct event){.kind = K_WRITE_DONE,
		       .from = e->from,
		       .to = e->to,
		       .r = PARTITION_UNKNOWN},
	    1);
	e->from = e->to = (struct vm_id){0};
	e->at = sim.now + rng_below(&sim.rng, 1000);
	return (true);
}

static void
deliver(struct node *n, struct event *e)
{
	if (e->kind == K_PARTITION_MSG)
		partition_on_msg(&n->partitions, &e->from, e->msg, local(n),
		    &n->partition_out);
	else if (e->kind == K_CLAIM_MSG)
		claim_on_msg(
		    &n->claims, &e->from, e->msg, local(n), &n->claim_out);
	else if (e->kind == K_READ_DONE)
		partition_on_read(&n->partitions, e->r, true, e->version,
		    e->value, local(n), &n->partition_out);
	else
		partition_on_write(&n->partitions, e->r, e->version, local(n),
		    &n->partition_out);
	carry_out(n);
}

/*
 * With IGNORE_ACKS in the environment, records are acknowledged without being
 * stored. The checks must notice this injected fault.
 */
static bool
must_fake_ack(const struct event *e)
{
	return (sim.fake_acks && e->kind == K_CLAIM_MSG &&
	    ((struct claim_msg *)e->msg)->type == CLAIM_MSG_RECORD);
}

static void
fake_ack(struct event *e)
{
	struct claim_msg *m = e->msg;
	struct vm_id from = e->from;

	m->type = CLAIM_MSG_RECORD_ACK;
	m->accepted = true;
	m->state = 0;
	e->from = e->to;
	e->to = from;
}

static void
free_event(struct event *e)
{
	if (e->kind == K_PARTITION_MSG)
		partition_msg_finish(e->msg);
	if (e->kind == K_CLAIM_MSG)
		free(((struct claim_msg *)e->msg)->mem);
	free(e->msg);
	json_decref(e->value);
	free(e);
}

static void
run_event(struct event *e)
{
	struct node *n;

	if (must_fake_ack(e))
		fake_ack(e);
	if (e->kind == K_READ || e->kind == K_WRITE) {
		store_op(e);
		return;
	}
	n = node_of(&e->to);
	if (n != NULL)
		deliver(n, e);
}

static void
run_events(void)
{
	struct event **at = &sim.events;

	while (*at != NULL) {
		struct event *e = *at;
		struct node *n = node_of(&e->to);
		bool store = e->kind == K_READ || e->kind == K_WRITE;

		if (e->at > sim.now ||
		    (!store && n != NULL && n->frozen_until > sim.now)) {
			at = &e->next;
			continue;
		}
		if (!vmid_is_none(&e->from) && postpone(e))
			continue;
		*at = e->next;
		run_event(e);
		free_event(e);
		/* run_event() may have added events at the head. */
		at = &sim.events;
	}
}

static void
start_node(unsigned i)
{
	struct node *n = &sim.node[i];
	char text[32];
	unsigned start = n->start + 1;

	memset(n, 0, sizeof(*n));
	n->start = start;
	n->zone = i % 3;
	n->offset = 1 + rng_below(&sim.rng, 1000000);
	n->rate = (int64_t)rng_below(&sim.rng, 21) - 10;
	snprintf(text, sizeof(text), "vm%u@%u", i, start);
	n->id = vmid_from(bstr_from(text));
	partition_init(&n->partitions,
	    &(struct partition_desc){.self = n->id,
		.seed = rng_next(&sim.rng),
		.retention_ms = RETENTION_MS});
	claim_init(&n->claims,
	    &(struct claim_desc){.self = n->id,
		.max_records = 256,
		.max_requests = 1024,
		.retention_ms = RETENTION_MS,
		.validity_ms = VALIDITY_MS,
		.max_call_ms = MAX_CALL_MS});
}

static void
stop_node(struct node *n)
{
	partition_finish(&n->partitions);
	claim_finish(&n->claims);
	partition_out_finish(&n->partition_out);
	claim_out_finish(&n->claim_out);
	n->dead = true;
}

static void
update_members(struct node *n)
{
	struct partition_member m[MAX_NODES] = {0};

	for (unsigned j = 0; j < sim.n; j++) {
		struct node *o = &sim.node[j];

		if (!o->dead && o->frozen_until <= sim.now && !is_cut(n, o))
			n->contact[j] = sim.now;
		m[j].id = o->id;
		snprintf(m[j].zone, sizeof(m[j].zone), "z%u", o->zone);
		m[j].alive = o == n || sim.now - n->contact[j] < 1500;
		m[j].leaving = o->leaving;
	}
	partition_on_members(
	    &n->partitions, m, sim.n, local(n), &n->partition_out);
	n->next_members = sim.now + 200;
	carry_out(n);
}

static void
fault(void)
{
	unsigned i = rng_below(&sim.rng, sim.n), z = rng_below(&sim.rng, 3);
	struct node *n = &sim.node[i];
	int64_t until = sim.now + 200 + rng_below(&sim.rng, 4000);

	switch (rng_below(&sim.rng, 8)) {
	case 0:
		if (!n->dead) {
			stop_node(n);
			n->restart_at = until + 500;
		}
		break;
	case 1:
		n->frozen_until = until;
		break;
	case 2:
		sim.cut[i][z] = sim.cut[z][i] = until;
		break;
	case 3:
		for (unsigned a = 0; a < sim.n; a++) {
			for (unsigned b = 0; b < sim.n; b++) {
				if ((a % 3 == z) != (b % 3 == z))
					sim.cut[a][b] = until;
			}
		}
		break;
	case 4:
		sim.chaos_until = until;
		break;
	case 5:
		sim.down_until = until;
		break;
	case 6:
		sim.lost_until = until;
		break;
	default:
		if (!n->dead)
			n->leaving = true;
	}
}

/* Whether all processes in the table of the store have stopped. */
static bool
is_lost(const struct partition_entry *row)
{
	return (node_of(&row->owner) == NULL &&
	    node_of(&row->replica[0]) == NULL &&
	    node_of(&row->replica[1]) == NULL);
}

static void
check_leases(void)
{
	static unsigned first;

	/* Checks a quarter of the partitions in each step. */
	first = (first + 1) % 4;
	for (uint32_t p = first; p < PARTITION_COUNT; p += 4) {
		unsigned holders = 0;

		for (unsigned i = 0; i < sim.n; i++) {
			const struct node *n = &sim.node[i];

			holders += !n->dead &&
			    partition_may_act(&n->partitions, p, local(n));
		}
		if (holders > 1)
			fail_run("two lease holders", p);
		if (holders == 1)
			sim.held_at[p] = sim.now;
		else if (is_lost(&sim.table.part[p]))
			sim.lost_at[p] = sim.now;
	}
}

static void
step_node(struct node *n)
{
	if (n->dead) {
		if (sim.now >= n->restart_at)
			start_node((unsigned)(n - sim.node));
		return;
	}
	if (n->frozen_until > sim.now)
		return;
	if (sim.now >= n->next_members)
		update_members(n);
	if (sim.now % 50 == 0) {
		partition_tick(
		    &n->partitions, local(n), sim.now, &n->partition_out);
		carry_out(n);
		claim_tick(&n->claims, local(n), sim.now, &n->claim_out);
		carry_out(n);
	}
	if (n->leaving && partition_none_assigned(&n->partitions)) {
		stop_node(n);
		n->restart_at = sim.now + 1000;
		return;
	}
	if (rng_below(&sim.rng, 40) == 0)
		claim(n);
}

static bool
recently(int64_t at)
{
	return (sim.now - at <= RECENT_MS);
}

/*
 * Number of partitions that no process held recently. Partitions whose
 * processes were all lost recently count only with with_lost.
 */
static unsigned
count_not_held(bool with_lost)
{
	unsigned n = 0;

	for (uint32_t p = 0; p < PARTITION_COUNT; p++)
		n += !recently(sim.held_at[p]) &&
		    (with_lost || !recently(sim.lost_at[p]));
	return (n);
}

static unsigned
count_held(void)
{
	unsigned held = 0;

	for (uint32_t p = 0; p < PARTITION_COUNT; p++) {
		held += recently(sim.lost_at[p]);
		for (unsigned i = 0; i < sim.n; i++)
			held += !sim.node[i].dead &&
			    partition_may_act(&sim.node[i].partitions, p,
				local(&sim.node[i]));
	}
	return (held);
}

/*
 * Partitions that lost all processes wait for PARTITION_LOST_WAIT_MS; all
 * others must have a lease again.
 */
static void
check_healed(void)
{
	unsigned n = count_not_held(false);

	if (n != 0)
		fail_run("partitions without lease after healing", n);
	else if (count_held() < PARTITION_COUNT / 2)
		fail_run("few leases after healing", count_held());
}

static void
step(void)
{
	run_events();
	for (unsigned i = 0; i < sim.n; i++)
		step_node(&sim.node[i]);
	for (unsigned i = 0; i < sim.n_attempts; i++)
		report(i);
}

/* Continues the run until lost partitions have a lease again. */
static void
wait_for_lost(void)
{
	for (; sim.now < HEAL_LIMIT_MS && !sim.failed &&
	     count_not_held(true) != 0;
	     sim.now += STEP_MS) {
		step();
		check_leases();
	}
	if (!sim.failed && count_not_held(true) != 0)
		fail_run("lost partitions without lease", count_not_held(true));
}

static bool
run_seed(uint64_t seed, bool fake_acks)
{
	int64_t next_fault = 1500;

	memset(&sim, 0, sizeof(sim));
	sim.seed = seed;
	sim.fake_acks = fake_acks;
	rng_init(&sim.rng, seed);
	sim.n = 5 + rng_below(&sim.rng, 5);
	for (unsigned i = 0; i < sim.n; i++)
		start_node(i);
	for (sim.now = 0; sim.now < RUN_MS && !sim.failed; sim.now += STEP_MS) {
		step();
		if (sim.now >= next_fault && sim.now < FAULTS_MS) {
			fault();
			if (rng_below(&sim.rng, 2) == 0)
				fault();
			next_fault = sim.now + 300 + rng_below(&sim.rng, 2500);
		}
		check_leases();
	}
	if (!sim.failed)
		check_healed();
	if (!sim.failed)
		wait_for_lost();
	for (unsigned i = 0; i < sim.n; i++) {
		if (!sim.node[i].dead)
			stop_node(&sim.node[i]);
	}
	while (sim.events != NULL) {
		struct event *e = sim.events;

		sim.events = e->next;
		free_event(e);
	}
	json_decref(sim.object);
	return (!sim.failed);
}

/*
 * Guards against double grants, done verdicts for keys that are not done, and
 * two lease holders of a partition. Faults: killed and frozen processes,
 * network partitions, delayed and duplicated messages, store failures.
 */
static void
test_random(void **state)
{
	static const uint64_t regressions[] = {
	    /*
	     * After a pending handover had ended, the copy to the joiner still
	     * counted as complete although the owner no longer required the
	     * joiner's acknowledgement.
	     */
	    3823,
	    /*
	     * A record that was confirmed with an old version was replaced by
	     * an unconfirmed record of a later owner: the key was granted
	     * twice.
	     */
	    1203,
	    /*
	     * An owner without a replica did not read the store for up to one
	     * minute and therefore held no lease.
	     */
	    185,
	    /* Owner and replicas failed within PARTITION_LOST_WAIT_MS. */
	    1696,
	    /*
	     * A new owner noticed its ownership only seconds later, because the
	     * answer to the write was lost.
	     */
	    7191,
	};
	struct seeds seeds = seeds_of(DEFAULT_SEEDS);
	uint64_t n = seeds.end - seeds.first;
	bool replay = getenv("SEED") != NULL;
	uint64_t bad = 0, grants = 0, done = 0;

	(void)state;
	for (uint64_t s = seeds.first; s < seeds.end; s++) {
		bad += !run_seed(s, getenv("IGNORE_ACKS") != NULL);
		grants += sim.n_grants;
		done += sim.n_done;
	}
	for (size_t i = 0;
	     !replay && i < sizeof(regressions) / sizeof(regressions[0]); i++)
		bad += !run_seed(regressions[i], false);
	printf("%llu seeds, %llu bad, %llu grants, %llu done verdicts\n",
	    (unsigned long long)n, (unsigned long long)bad,
	    (unsigned long long)grants, (unsigned long long)done);
	assert_int_equal(bad, 0);
	assert_true(grants >= 5 * n);
}

/*
 * A session drives process "a". Its commands:
 *
 *	view EPOCH OWNER REQUIRED JOINER
 *	    Sets the view of all partitions. "-" stands for none; REQUIRED may
 *	    be "sole:MS", a lease by the store that ends at MS.
 *	claim ID KEY FINGERPRINT DEADLINE
 *	finish ID done|not_run|unknown [BODY]
 *	from PROCESS claim ID KEY FINGERPRINT
 *	from PROCESS finish ID KEY OUTCOME_NUMBER
 *	from PROCESS verdict ID VERDICT_NUMBER
 *	from PROCESS finack ID
 *	from PROCESS ack
 *	    Acknowledges the last record that was sent.
 *	from PROCESS record ID KEY EPOCH VERSION_EPOCH STATE_NUMBER
 *	quarantine MS
 *	    Sets the end of the quarantine for the next views.
 *	at MS
 *	    Ticks every 50 ms until MS.
 */
struct session {
	struct claims c;
	struct claim_out out;
	struct claim_msg last;
	char key[16];
	int64_t now, quarantine;
	bool copied;
	FILE *f;
};

static void
print_msg(struct session *s, const struct claim_effect *e)
{
	static const char *names[] = {
	    "", "claim", "verdict", "finish", "finack", "record", "ack"};
	static const char *states[] = {
	    "none", "granted", "done", "unknown", "free"};
	const struct claim_msg *m = e->msg;

	fprintf(s->f, "%lld %s to %c id %llu", (long long)s->now,
	    names[m->type], e->to.s[0], (unsigned long long)m->request_id);
	if (m->type == CLAIM_MSG_VERDICT)
		fprintf(s->f, " verdict %d", m->verdict);
	if (m->type == CLAIM_MSG_FINISH)
		fprintf(s->f, " outcome %d", m->outcome);
	if (m->type == CLAIM_MSG_RECORD || m->type == CLAIM_MSG_RECORD_ACK)
		fprintf(s->f, " %s version %llu.%llu", states[m->state],
		    (unsigned long long)m->ver.epoch,
		    (unsigned long long)m->ver.seq);
	fprintf(s->f, "\n");
	if (m->type != CLAIM_MSG_RECORD)
		return;
	s->last = *m;
	s->last.mem = NULL;
	snprintf(s->key, sizeof(s->key), "%.*s", BSTR_ARG(m->key));
}

static void
print_effects(struct session *s)
{
	static const char *verdicts[] = {"", "granted", "in_progress", "done",
	    "unknown", "mismatch", "unavailable"};

	for (uint32_t i = 0; i < s->out.n; i++) {
		const struct claim_effect *e = &s->out.v[i];

		if (e->type == CLAIM_SEND)
			print_msg(s, e);
		if (e->type == CLAIM_VERDICT)
			fprintf(s->f, "%lld %llu is %s, valid %lld, \"%.*s\"\n",
			    (long long)s->now,
			    (unsigned long long)e->request_id,
			    verdicts[e->verdict], (long long)e->valid_for_ms,
			    e->msg == NULL ? 0 : (int)e->msg->result.body.n,
			    e->msg == NULL ? "" : e->msg->result.body.p);
		if (e->type == CLAIM_FINISHED)
			fprintf(s->f, "%lld %llu finished\n", (long long)s->now,
			    (unsigned long long)e->request_id);
		if (e->type == CLAIM_COPIED && !s->copied &&
		    e->partition == claim_partition(BSTR("pay"), BSTR("k1"))) {
			s->copied = true;
			fprintf(s->f, "%lld k1 copied to %c\n",
			    (long long)s->now, e->to.s[0]);
		}
	}
	claim_out_clear(&s->out);
}

static void
update_views(struct session *s, unsigned epoch, const char *owner,
    const char *required, const char *joiner)
{
	struct partition_view v = {.epoch = epoch,
	    .owner = vmid_from(bstr_from(owner)),
	    .acting = strcmp(owner, "a") == 0,
	    .quarantined_until = s->quarantine};

	v.unreplicated = strncmp(required, "sole:", 5) == 0;
	if (v.unreplicated)
		v.store_lease_end = atoll(required + 5);
	for (const char *p = required; !v.unreplicated && *p != 0 && *p != '-';
	     p++)
		v.required[v.n_required++] = vmid_from((struct bstr){p, 1});
	if (*joiner != '-')
		v.joiner = vmid_from(bstr_from(joiner));
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		v.partition = i;
		claim_on_view(&s->c, &v, s->now, &s->out);
	}
}

static void
from_peer(struct session *s, const char *line)
{
	char peer[8] = "", what[16] = "", key[16] = "";
	unsigned id = 0, a = 0, b = 0, state = 0;
	struct claim_msg m = {.service = BSTR("pay")};
	struct vm_id from;

	if (sscanf(line, "from %7s %15s", peer, what) != 2)
		return;
	from = vmid_from(bstr_from(peer));
	if (strcmp(what, "ack") == 0) {
		m = s->last;
		m.key = bstr_from(s->key);
		m.service = BSTR("pay");
		m.result = (struct claim_result){0};
		m.type = CLAIM_MSG_RECORD_ACK;
		m.state = (enum claim_state)0;
		m.accepted = true;
	} else if (sscanf(line, "from %*s claim %u %15s %u", &id, key, &a) ==
	    3) {
		m.type = CLAIM_MSG_CLAIM;
		m.fingerprint = a;
	} else if (sscanf(line, "from %*s finish %u %15s %u", &id, key, &a) ==
	    3) {
		m.type = CLAIM_MSG_FINISH;
		m.outcome = (enum claim_outcome)a;
	} else if (sscanf(line, "from %*s verdict %u %u", &id, &a) == 2) {
		m.type = CLAIM_MSG_VERDICT;
		m.verdict = (enum claim_verdict)a;
	} else if (sscanf(line, "from %*s record %u %15s %u %u %u", &id, key,
		       &a, &b, &state) == 5) {
		m.type = CLAIM_MSG_RECORD;
		m.epoch = a;
		m.ver = (struct claim_ver){b, 1};
		m.state = (enum claim_state)state;
		m.fingerprint = 1;
		m.ingress = vmid_from(BSTR("d"));
	} else if (sscanf(line, "from %*s finack %u", &id) == 1) {
		m.type = CLAIM_MSG_FINISH_ACK;
	}
	if (m.type != CLAIM_MSG_RECORD_ACK) {
		m.request_id = id;
		m.key = bstr_from(key);
	}
	claim_on_msg(&s->c, &from, &m, s->now, &s->out);
}

static void
run_line(struct session *s, const char *line)
{
	char w1[16] = "", w2[16] = "", w3[16] = "";
	unsigned a = 0, b = 0, c = 0;

	fprintf(s->f, "> %s", line);
	if (sscanf(line, "view %u %15s %15s %15s", &a, w1, w2, w3) == 4)
		update_views(s, a, w1, w2, w3);
	else if (sscanf(line, "claim %u %15s %u %u", &a, w1, &b, &c) == 4)
		claim_claim(&s->c,
		    &(struct claim_request){
			a, BSTR("pay"), bstr_from(w1), b, c},
		    s->now, &s->out);
	else if (sscanf(line, "finish %u %15s %15s", &a, w1, w2) >= 2)
		claim_finish_request(&s->c, a,
		    *w1 == 'd'       ? CLAIM_O_DONE
			: *w1 == 'n' ? CLAIM_O_NOT_RUN
				     : CLAIM_O_UNKNOWN,
		    &(struct claim_result){.body = bstr_from(w2)}, s->now,
		    &s->out);
	else if (sscanf(line, "quarantine %u", &a) == 1)
		s->quarantine = a;
	else if (strncmp(line, "from", 4) == 0)
		from_peer(s, line);
	else if (sscanf(line, "at %u", &a) == 1)
		for (; s->now < (int64_t)a; print_effects(s)) {
			s->now += 50;
			claim_tick(&s->c, s->now, s->now, &s->out);
		}
	print_effects(s);
}

static void
run(FILE *script, FILE *out)
{
	struct session s = {.f = out};
	char line[256];

	claim_init(&s.c,
	    &(struct claim_desc){.self = vmid_from(BSTR("a")),
		.max_records = 4,
		.max_requests = 64,
		.resend_ms = 1000});
	while (fgets(line, sizeof(line), script) != NULL) {
		if (line[0] != '#')
			run_line(&s, line);
	}
	claim_out_finish(&s.out);
	claim_finish(&s.c);
}

/* Compares the messages and verdicts of each session with the golden file. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("claim", run), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_random),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
