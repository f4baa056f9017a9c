/*
 * Tests the limits of waiting calls, counters that outlive their routing table,
 * and a grant that expires while its call is being started.
 */
#include "lib/rig.h"

#include "front/worker_service.h"

#define START_US 1000000
#define GRANT_MS 2000

static _Atomic int late_picks;

/* Picks an upstream only after the grant of GRANT_MS has expired. */
static int
pick_late(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng)
{
	atomic_fetch_add(&late_picks, 1);
	while (clk_mono_us() < now_us + GRANT_MS * 1000)
		usleep(1000);
	return (rt_pick(s, req, now_us, rng));
}

/* Worker that does not run, so that the test controls the time. */
static struct worker *
idle_worker(void)
{
	struct worker_desc d = {
	    .shared = &rig.shared, .addr = "127.0.0.1", .seed = 1};
	struct worker *w = worker_new(&d, NULL);

	assert_non_null(w);
	return (w);
}

static void
init_call(struct call *c, struct worker *w, struct worker_service *s)
{
	*c =
	    (struct call){.w = w, .service_state = s, .deadline_us = INT64_MAX};
}

/* Guards against an unbounded queue of waiting calls. */
static void
test_queue_limit(void **state)
{
	static struct call calls[WORKER_SERVICE_MAX_WAITING + 1];
	struct call *last = &calls[WORKER_SERVICE_MAX_WAITING];
	GHashTable *table = worker_service_table_new();
	struct worker *w = idle_worker();
	struct worker_service *s =
	    worker_service_get(table, BSTR("s"), START_US);

	(void)state;
	for (int i = 0; i < WORKER_SERVICE_MAX_WAITING; i++) {
		init_call(&calls[i], w, s);
		assert_int_equal(
		    worker_service_wait(&calls[i], START_US), ERR_NONE);
	}
	init_call(last, w, s);
	assert_int_equal(worker_service_wait(last, START_US), ERR_OVERLOADED);
	assert_int_equal(s->n_waiting, WORKER_SERVICE_MAX_WAITING);
	worker_service_leave(last);
	assert_int_equal(s->n_waiting, WORKER_SERVICE_MAX_WAITING);
	worker_service_leave(&calls[5]);
	assert_int_equal(worker_service_wait(last, START_US), ERR_NONE);
	for (int i = 0; i <= WORKER_SERVICE_MAX_WAITING; i++)
		worker_service_leave(&calls[i]);
	assert_int_equal(s->n_waiting, 0);
	worker_free(w);
	g_hash_table_unref(table);
}

/* Guards against a wait limit that restarts with each attempt. */
static void
test_wait_limit(void **state)
{
	const int64_t end_us = START_US + WORKER_SERVICE_WAIT_MS * 1000;
	GHashTable *table = worker_service_table_new();
	struct worker *w = idle_worker();
	struct worker_service *s =
	    worker_service_get(table, BSTR("s"), START_US);
	struct call c;

	(void)state;
	init_call(&c, w, s);
	assert_int_equal(worker_service_wait(&c, START_US), ERR_NONE);
	worker_service_leave(&c);
	assert_int_equal(worker_service_wait(&c, end_us - 1), ERR_NONE);
	worker_service_leave(&c);
	assert_int_equal(worker_service_wait(&c, end_us), ERR_OVERLOADED);
	init_call(&c, w, s);
	assert_int_equal(worker_service_wait(&c, START_US), ERR_NONE);
	worker_service_on_timer(&c, end_us);
	assert_int_equal(c.err, ERR_OVERLOADED);
	assert_true(c.answer_done);
	init_call(&c, w, s);
	c.deadline_us = START_US + 1;
	assert_int_equal(worker_service_wait(&c, START_US), ERR_NONE);
	assert_int_equal(c.timer_us, START_US + 1);
	worker_service_on_timer(&c, START_US + 1);
	assert_int_equal(c.err, ERR_DEADLINE);
	assert_int_equal(s->n_waiting, 0);
	worker_free(w);
	g_hash_table_unref(table);
}

/* Table with only the service "a", whose calls are counted in rig.tally. */
static struct rt_table *
second_table(void)
{
	char addr[32];
	struct bstr host = BSTR("a");
	struct rt_route route = {.prefix = BSTR("/"),
	    .idempotent = true,
	    .timeout_ms = LONG_TIMEOUT_MS};
	struct rt_version version = {.name = BSTR("v1"), .share = 1000};
	struct rt_upstream up = {.stat = rt_stat_new()};
	struct rt_service s = {.name = host,
	    .hosts = &host,
	    .n_hosts = 1,
	    .routes = &route,
	    .n_routes = 1,
	    .versions = &version,
	    .n_versions = 1,
	    .upstreams = &up,
	    .n_upstreams = 1,
	    .slots = 6,
	    .tallies = &rig.tally};
	struct rt_table *t;

	snprintf(addr, sizeof(addr), "127.0.0.1:%u", rig.upstream_port);
	up.id = up.addr = bstr_from(addr);
	t = rt_table_new(&(struct rt_desc){.services = &s, .n_services = 1});
	rt_stat_unref(up.stat);
	return (t);
}

static uint64_t
wait_tally(uint64_t calls)
{
	for (int i = 0; i < 5000 && atomic_load(&rig.tally->calls) < calls; i++)
		usleep(1000);
	return (atomic_load(&rig.tally->calls));
}

/* Guards against counters that are lost or freed with the replaced table. */
static void
test_shared_tally(void **state)
{
	uint64_t calls = atomic_load(&rig.tally->calls);
	struct rt_table *first = rig.shared.table;
	struct rt_table *second = second_table();
	int fd;

	(void)state;
	rcu_xchg_pointer(&rig.shared.table, second);
	fd = rig_request("GET", "a", "/x/slow/tally", "", NULL);
	rig_wait_received("/x/slow/tally");
	rcu_xchg_pointer(&rig.shared.table, first);
	synchronize_rcu();
	rt_table_free(second);
	rig_expect_body(rig_read(fd, false), "ok");
	assert_int_equal(wait_tally(calls + 1), calls + 1);
	rig_expect_body(rig_call("GET", "a", "/i/ok/tally", "", NULL), "ok");
	assert_int_equal(wait_tally(calls + 2), calls + 2);
}

/* Guards against a request that is written after its grant has expired. */
static void
test_grant_expires(void **state)
{
	struct worker_desc d = {.shared = &rig.shared,
	    .addr = "127.0.0.1",
	    .seed = 1,
	    .pick = pick_late};
	uint16_t rig_port = rig.port;
	pthread_t thread;
	struct worker *w;

	(void)state;
	rig_bind(-1, &rig.port, SO_REUSEPORT);
	d.port = rig.port;
	w = worker_new(&d, NULL);
	assert_non_null(w);
	pthread_create(&thread, NULL, rig_run_worker, w);
	atomic_store(&rig.grant_us, GRANT_MS * 1000);
	rig_expect_error(rig_call("POST", "a", "/p/ok/late",
			     "Idempotency-Key: grant-late\r\n", "b"),
	    504, "deadline", "not-run");
	atomic_store(&rig.grant_us, 0);
	assert_int_equal(
	    rig_wait_finish("grant-late").outcome, WORKER_MSG_RUN_NOT_RUN);
	assert_int_equal(atomic_load(&late_picks), 1);
	assert_int_equal(rig_request_count("/p/ok/late"), 0);
	worker_stop(w);
	pthread_join(thread, NULL);
	worker_free(w);
	rig.port = rig_port;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_queue_limit),
	    cmocka_unit_test(test_wait_limit),
	    cmocka_unit_test(test_shared_tally),
	    cmocka_unit_test(test_grant_expires),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
