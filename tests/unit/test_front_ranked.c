/*
 * Tests the queue of a worker for a service whose requests have different
 * priorities: its one timer, its answers in a planned stop, and a call that
 * finds room after it has waited.
 */
#include "lib/rig.h"

#include "front/call.h"
#include "front/upstream_side.h"
#include "front/worker_service.h"

#define N_CALLS 100
#define GOAL_US 1000000
#define DEADLINE_US 2000000
#define WAIT_MS 10000

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
init_call(struct call *c, struct worker *w, struct worker_service *s,
    uint32_t priority, int64_t now_us)
{
	*c = (struct call){.w = w,
	    .service_state = s,
	    .ranked = true,
	    .priority = priority,
	    .start_us = now_us,
	    .goal_us = GOAL_US,
	    .deadline_us = now_us + DEADLINE_US};
}

/* Makes a call wait, as when no upstream has room. */
static void
make_wait(struct call *c, int64_t now_us)
{
	enum err_kind kind = ERR_NONE;

	if (worker_service_may_start(c, now_us, &kind))
		kind = worker_service_wait(c, now_us);
	assert_int_equal(kind, ERR_NONE);
	assert_int_equal(c->wait, CALL_WAIT_SLOT);
}

static int
count_timers(const struct call *calls, int n)
{
	int on = 0;

	for (int i = 0; i < n; i++)
		on += calls[i].timer_on;
	return (on);
}

/*
 * Guards against a timer for each call, whose scans grow with the square of the
 * queue, and against calls without an answer in a planned stop.
 */
static void
test_stop_with_queue(void **state)
{
	static struct call calls[N_CALLS];
	GHashTable *table = worker_service_table_new();
	struct worker *w = idle_worker();
	int64_t now_us = clk_mono_us();
	struct worker_service *s = worker_service_get(table, BSTR("s"), now_us);
	int waiting = 0;

	(void)state;
	for (int i = 0; i < N_CALLS; i++) {
		init_call(&calls[i], w, s, i % 2 == 0, now_us);
		if (i < 2) {
			make_wait(&calls[i], now_us);
			continue;
		}
		calls[i].err = ERR_NONE;
		if (!worker_service_may_start(&calls[i], now_us, &calls[i].err))
			assert_true(calls[i].err == ERR_NONE ||
			    calls[i].retry_after_us > 0);
	}
	assert_int_equal(count_timers(calls, N_CALLS), 1);
	for (int i = 0; i < N_CALLS; i++) {
		if (calls[i].wait != CALL_WAIT_SLOT)
			continue;
		waiting++;
		upstream_side_give_up(&calls[i]);
		assert_int_equal(calls[i].err, ERR_LEAVING);
		assert_true(calls[i].answer_done);
	}
	assert_true(waiting >= 2);
	assert_int_equal(count_timers(calls, N_CALLS), 0);
	assert_false(worker_service_has_waiting(s));
	worker_free(w);
	g_hash_table_unref(table);
}

/* Guards against calls that are started only to exceed their deadline. */
static void
test_too_late(void **state)
{
	GHashTable *table = worker_service_table_new();
	struct worker *w = idle_worker();
	int64_t now_us = clk_mono_us();
	struct worker_service *s = worker_service_get(table, BSTR("s"), now_us);
	enum err_kind kind = ERR_NONE;
	struct bbuf text;
	struct call c;

	(void)state;
	init_call(&c, w, s, 0, now_us);
	assert_true(worker_service_may_start(&c, now_us, &kind));
	worker_service_on_start(&c, now_us);
	worker_service_record_time(&c, 500000, 100);
	init_call(&c, w, s, 0, now_us);
	c.deadline_us = now_us + 400000;
	assert_false(worker_service_may_start(&c, now_us, &kind));
	assert_int_equal(kind, ERR_OVERLOADED);
	assert_int_equal(c.rejected, ADM_TOO_LATE);
	bbuf_init(&text);
	metrics_write(&rig.metrics, &text);
	assert_non_null(strstr(text.p,
	    "admission_rejected_total{service=\"s\","
	    "priority=\"0\",reason=\"too-late\"} 1"));
	bbuf_finish(&text);
	worker_free(w);
	g_hash_table_unref(table);
}

/* Guards against an urgent call behind a less urgent one of its service. */
static void
test_urgent_first(void **state)
{
	GHashTable *table = worker_service_table_new();
	struct worker *w = idle_worker();
	int64_t now_us = clk_mono_us();
	struct worker_service *s = worker_service_get(table, BSTR("s"), now_us);
	struct call least, urgent;

	(void)state;
	init_call(&least, w, s, 3, now_us);
	init_call(&urgent, w, s, 0, now_us);
	make_wait(&least, now_us);
	make_wait(&urgent, now_us);
	/*
	 * There was no room for the least urgent call a moment ago, but the
	 * last slots are still to be tried; there is no such service.
	 */
	worker_service_on_timer(&least, now_us);
	assert_int_equal(urgent.err, ERR_NO_UPSTREAM);
	assert_true(urgent.answer_done);
	assert_int_equal(least.wait, CALL_WAIT_SLOT);
	worker_service_leave(&least);
	worker_free(w);
	g_hash_table_unref(table);
}

/* Table with only the service "a", whose requests are ranked. */
static struct rt_table *
ranked_table(uint32_t slots)
{
	char addr[32];
	struct bstr host = BSTR("a");
	struct rt_route route = {.prefix = BSTR("/"),
	    .idempotent = true,
	    .goal_ms = 2000,
	    .timeout_ms = LONG_TIMEOUT_MS};
	struct rt_version version = {.name = BSTR("v1"), .share = 1000};
	struct rt_upstream up = {.stat = rt_stat_new(), .slots = slots};
	struct rt_service s = {.name = host,
	    .hosts = &host,
	    .n_hosts = 1,
	    .routes = &route,
	    .n_routes = 1,
	    .versions = &version,
	    .n_versions = 1,
	    .upstreams = &up,
	    .n_upstreams = 1,
	    .slots = slots,
	    .ranked = true};
	struct rt_table *t;

	snprintf(addr, sizeof(addr), "127.0.0.1:%u", rig.upstream_port);
	up.id = up.addr = bstr_from(addr);
	t = rt_table_new(&(struct rt_desc){.services = &s, .n_services = 1});
	rt_stat_unref(up.stat);
	return (t);
}

/* Guards against a waiting call that is not started when room is free. */
static void
test_wait_for_room(void **state)
{
	struct rt_table *first = rig.shared.table;
	struct rt_table *ranked = ranked_table(1);
	char path[32];
	int fds[8];

	(void)state;
	rcu_xchg_pointer(&rig.shared.table, ranked);
	for (int i = 0; i < 8; i++) {
		snprintf(path, sizeof(path), "/x/slow/ranked%d", i);
		fds[i] = rig_request("GET", "a", path, "", NULL);
	}
	for (int i = 0; i < 8; i++)
		rig_expect_body(rig_read(fds[i], false), "ok");
	rcu_xchg_pointer(&rig.shared.table, first);
	synchronize_rcu();
	rt_table_free(ranked);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_stop_with_queue),
	    cmocka_unit_test(test_too_late),
	    cmocka_unit_test(test_urgent_first),
	    cmocka_unit_test(test_wait_for_room),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
