#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <cmocka.h>

#include "control/controller.h"
#include "front/worker_msg.h"
#include "ops/metrics.h"
#include "peer/cold_codec.h"
#include "sys/clocks.h"

#define FLEET_UPSTREAMS 7300
#define TICK_MS 50
#define SLOTS 6

/* The controller under test, the ownership it sees and the calls it made. */
struct rig {
	struct control c;
	struct metrics metrics;
	struct ctl_upstream *upstreams;
	uint32_t n;
	struct vm_id owner;
	int64_t act_until;
	bool fresh;
	unsigned probes;
	unsigned probed[FLEET_UPSTREAMS];
	unsigned sent;
	unsigned broadcast;
	struct cold_msg last;
	char last_id[COLD_ID_MAX];
};

static struct rig *rig;

/* Stubs of the functions that the controller calls. */

void
ctl_send(struct control *c, const struct vm_id *to, enum peer_msg_type type,
    struct bstr body)
{
	(void)c;
	assert_false(vmid_eq(to, &rig->c.self));
	assert_int_equal(type, PEER_MSG_PERMIT);
	assert_true(cold_codec_get_cold(&rig->last, rig->last_id, body));
	rig->sent++;
}

void
ctl_broadcast(struct control *c, enum peer_msg_type type, struct bstr body)
{
	(void)c;
	(void)type;
	assert_true(body.n > 0);
	rig->broadcast++;
}

bool
ctl_is_fresh(const struct control *c)
{
	(void)c;
	return (rig->fresh);
}

uint32_t
partition_of(struct bstr key)
{
	return ((uint32_t)(bstr_hash(key, 0) % PARTITION_COUNT));
}

int64_t
partition_act_until(const struct partitions *p, uint32_t partition)
{
	(void)p;
	(void)partition;
	return (rig->act_until);
}

int64_t
partition_act_from(const struct partitions *p, uint32_t partition)
{
	(void)p;
	(void)partition;
	return (1);
}

uint64_t
partition_epoch(const struct partitions *p, uint32_t partition)
{
	(void)p;
	(void)partition;
	return (1);
}

struct vm_id
partition_owner(const struct partitions *p, uint32_t partition)
{
	(void)p;
	(void)partition;
	return (rig->owner);
}

void
prober_probe(struct prober *p, struct bstr upstream, struct bstr addr)
{
	(void)p;
	(void)addr;
	rig->probes++;
	rig->probed[atoi(upstream.p + 1)]++;
}

struct prober_result *
prober_result_of(struct msgq_msg *m)
{
	return (caa_container_of(m, struct prober_result, m));
}

void
prober_result_free(struct prober_result *r)
{
	free(r);
}

static void
setup(uint32_t n, bool own)
{
	rig = calloc(1, sizeof(*rig));
	rig->upstreams = calloc(n, sizeof(*rig->upstreams));
	rig->n = n;
	rig->fresh = true;
	rig->act_until = INT64_MAX;
	rig->c.self = vmid_from(BSTR("a@1"));
	rig->owner = own ? rig->c.self : vmid_from(BSTR("b@1"));
	rig->c.desc.metrics = &rig->metrics;
	rig->c.now_ms = 1000;
	rng_init(&rig->c.rng, 1);
	rig->c.upstreams = g_hash_table_new(g_str_hash, g_str_equal);
	member_init(
	    &rig->c.membership, &(struct member_desc){.self = rig->c.self});
	controller_upstream.ops->setup(&rig->c);
	for (uint32_t i = 0; i < n; i++) {
		struct ctl_upstream *u = &rig->upstreams[i];

		u->id = g_strdup_printf("u%u", i);
		u->addr = g_strdup("127.0.0.1:1");
		u->slots = SLOTS;
		u->stat = rt_stat_new();
		g_hash_table_insert(rig->c.upstreams, u->id, u);
		ctl_upstream_added(&rig->c, u);
	}
}

static void
teardown(void)
{
	for (uint32_t i = 0; i < rig->n; i++) {
		ctl_upstream_removed(&rig->c, &rig->upstreams[i]);
		rt_stat_unref(rig->upstreams[i].stat);
		g_free(rig->upstreams[i].id);
		g_free(rig->upstreams[i].addr);
	}
	assert_int_equal(rig->c.upstream_list->len, 0);
	assert_int_equal(rig->c.cold_list->len, 0);
	controller_upstream.ops->finish(&rig->c);
	member_finish(&rig->c.membership);
	g_hash_table_destroy(rig->c.upstreams);
	free(rig->upstreams);
	free(rig);
}

static void
run_ticks(unsigned n)
{
	for (unsigned i = 0; i < n; i++) {
		rig->c.now_ms += TICK_MS;
		controller_upstream.ops->tick(&rig->c);
	}
}

static void
report_state(const char *id, enum rt_state state)
{
	struct worker_msg_upstream_state *m = calloc(1, sizeof(*m));

	strcpy(m->id, id);
	m->state = state;
	ctl_on_upstream_state(&rig->c, &m->m);
}

static void
deliver_probe_result(const char *id, bool ok, enum rt_state state, int32_t load)
{
	struct prober_result *r = calloc(1, sizeof(*r));

	r->upstream = bstr_from(id);
	r->ok = ok;
	r->state = state;
	r->load = load;
	ctl_on_probe(&rig->c, &r->m);
}

/* Tries a call on the first upstream. Return: whether it was started. */
static bool
try_call(void)
{
	struct rt_stat *s = rig->upstreams[0].stat;
	struct rt_result r = {.latency_us = 1000, .reported = -1};
	int64_t now_us = rig->c.now_ms * 1000;

	atomic_store(&s->cold_demand_us, now_us);
	if (!rt_try_start(s, true, now_us))
		return (false);
	rt_on_finish(s, SLOTS, &r, now_us);
	return (true);
}

/* Tries a call after each of @n ticks. Return: whether the last was started. */
static bool
call_each_tick(unsigned n)
{
	bool started = false;

	for (unsigned i = 0; i < n; i++) {
		run_ticks(1);
		started = try_call();
	}
	return (started);
}

/*
 * Guards against permits that are never granted or that outlive the lease, and
 * against a ramp that never ends. This VM is the owner and the only member.
 */
static void
test_ramp(void **state)
{
	struct ctl_upstream *u;
	unsigned started = 0;

	(void)state;
	setup(3, true);
	u = &rig->upstreams[0];
	run_ticks(20);
	report_state("u0", RT_COLD);
	assert_true(u->cold);
	assert_true(rig->c.table_dirty);
	assert_int_equal(ctl_upstream_state(u), RT_COLD);
	assert_int_equal(rig->c.cold_list->len, 1);
	assert_false(try_call());
	for (int i = 0; i < 400 && u->cold; i++) {
		run_ticks(1);
		deliver_probe_result("u0", true, RT_READY, -1);
		assert_true(atomic_load(&u->stat->permits) <= SLOTS);
		started += try_call();
	}
	assert_false(u->cold);
	assert_true(started > SLOTS);
	assert_true(metrics_get(&rig->metrics, METRICS_PERMITS) > 0);
	assert_int_equal(ctl_upstream_state(u), RT_READY);
	assert_int_equal(rig->c.cold_list->len, 0);
	assert_int_equal(atomic_load(&u->stat->permits), 0);
	report_state("u0", RT_COLD);
	assert_true(u->cold);
	assert_true(call_each_tick(40));
	/* Permits expire once this VM is no longer fresh. */
	rig->fresh = false;
	assert_false(call_each_tick(40));
	teardown();
}

/*
 * Guards against ignoring permits granted by another owner, and against
 * requesting permits for an upstream without demand.
 */
static void
test_remote_owner(void **state)
{
	struct cold_msg grant = {
	    .type = COLD_MSG_GRANT, .upstream = BSTR("u0"), .count = 2};
	struct bbuf b;

	(void)state;
	setup(2, false);
	run_ticks(20);
	report_state("u0", RT_COLD);
	run_ticks(1);
	assert_int_equal(rig->last.type, COLD_MSG_REQUEST);
	assert_true(rig->last.saw_cold);
	try_call();
	run_ticks(20);
	assert_int_equal(rig->last.use.demand, 2);
	grant.seq = rig->last.seq;
	bbuf_init(&b);
	cold_codec_put_cold(&b, &grant);
	assert_true(controller_upstream.ops->on_peer(
	    &rig->c, PEER_MSG_PERMIT, &rig->owner, bbuf_str(&b)));
	assert_int_equal(atomic_load(&rig->upstreams[0].stat->permits), 2);
	assert_true(try_call());
	assert_true(controller_upstream.ops->on_peer(
	    &rig->c, PEER_MSG_PERMIT, &rig->owner, BSTR("x")));
	assert_false(controller_upstream.ops->on_peer(
	    &rig->c, PEER_MSG_GOSSIP, &rig->owner, bbuf_str(&b)));
	bbuf_finish(&b);
	run_ticks(60);
	assert_int_equal(rig->last.use.demand, 0);
	assert_int_equal(rig->probes, 0);
	teardown();
}

/*
 * Guards against probed states that do not reach the routing table, against a
 * cold upstream that takes new work while it drains, and against a probe that
 * overwrites a more recent load report of a response.
 */
static void
test_probes(void **state)
{
	struct ctl_upstream *u;

	(void)state;
	setup(2, true);
	u = &rig->upstreams[0];
	run_ticks(20);
	assert_true(rig->probes > 0);
	assert_int_equal(
	    metrics_get(&rig->metrics, METRICS_PROBES), rig->probes);
	deliver_probe_result("u0", true, RT_READY, 4);
	assert_int_equal(atomic_load(&u->stat->reported), 4);
	atomic_store(&u->stat->reported, 9);
	atomic_store(&u->stat->reported_us, rig->c.now_ms * 1000);
	run_ticks(12);
	deliver_probe_result("u0", true, RT_DRAINING, 5);
	assert_int_equal(atomic_load(&u->stat->reported), 9);
	assert_int_equal(ctl_upstream_state(u), RT_DRAINING);
	report_state("u0", RT_COLD);
	assert_true(u->cold);
	report_state("u0", RT_DRAINING);
	assert_int_equal(ctl_upstream_state(u), RT_DRAINING);
	deliver_probe_result("gone", true, RT_READY, 0);
	for (int i = 0; i < 10; i++) {
		run_ticks(12);
		deliver_probe_result("u1", false, RT_DOWN, -1);
	}
	assert_int_equal(ctl_upstream_state(&rig->upstreams[1]), RT_DOWN);
	run_ticks(12);
	deliver_probe_result("u1", true, RT_READY, -1);
	assert_int_equal(ctl_upstream_state(&rig->upstreams[1]), RT_READY);
	teardown();
}

/* Return: mean duration of @n ticks in microseconds. */
static double
tick_cost(unsigned n)
{
	int64_t start = clk_mono_us();

	run_ticks(n);
	return ((double)(clk_mono_us() - start) / n);
}

/*
 * Guards against upstreams that are never visited, as each tick visits only a
 * part of them. Prints the duration of a tick, which is not asserted.
 */
static void
test_fleet(void **state)
{
	unsigned seen = 0;
	double idle, busy = 0, cold;

	(void)state;
	setup(FLEET_UPSTREAMS, false);
	run_ticks(20);
	idle = tick_cost(100);
	for (unsigned i = 0; i < 200; i++) {
		int64_t now_us = rig->c.now_ms * 1000;

		for (uint32_t k = 0; i % 10 == 0 && k < FLEET_UPSTREAMS; k++) {
			atomic_store(&rig->upstreams[k].stat->reported, 3);
			atomic_store(
			    &rig->upstreams[k].stat->reported_us, now_us);
		}
		busy += tick_cost(1);
	}
	run_ticks(10);
	for (uint32_t k = 0; k < FLEET_UPSTREAMS; k++)
		seen += rig->upstreams[k].last_reported_us ==
		    atomic_load(&rig->upstreams[k].stat->reported_us);
	assert_int_equal(seen, FLEET_UPSTREAMS);
	for (uint32_t k = 0; k < FLEET_UPSTREAMS; k++)
		report_state(rig->upstreams[k].id, RT_COLD);
	assert_int_equal(rig->c.cold_list->len, FLEET_UPSTREAMS);
	cold = tick_cost(100);
	print_message("tick with %d upstreams: idle %.0f us, one response "
		      "from each in 500 ms %.0f us, all cold %.0f us\n",
	    FLEET_UPSTREAMS, idle, busy / 200, cold);
	teardown();
}

/* Guards against a probe rate per upstream that depends on the fleet size. */
static void
test_fleet_probes(void **state)
{
	double own;

	(void)state;
	setup(FLEET_UPSTREAMS, true);
	run_ticks(20);
	own = tick_cost(20);
	print_message("tick that owns and probes %d upstreams: %.0f us\n",
	    FLEET_UPSTREAMS, own);
	for (uint32_t k = 0; k < FLEET_UPSTREAMS; k++)
		assert_true(rig->probed[k] >= 1 && rig->probed[k] <= 3);
	teardown();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_ramp),
	    cmocka_unit_test(test_remote_owner),
	    cmocka_unit_test(test_probes),
	    cmocka_unit_test(test_fleet),
	    cmocka_unit_test(test_fleet_probes),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
