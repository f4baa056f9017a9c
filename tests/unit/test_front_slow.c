/*
 * Upstreams that read slowly, and calls while memory is short, with a limit on
 * the memory that the worker holds.
 */
#include "lib/rig.h"

#define BUDGET (16 * 1024 * 1024)

static struct upstream_protocol buffering;

static void
wait_empty(void)
{
	for (int i = 0; i < 1000 && budget_held(&rig.shared.budget) != 0; i++)
		usleep(10000);
	assert_int_equal(budget_held(&rig.shared.budget), 0);
}

#define N_UPLOADS 6
#define UPLOAD_LIMIT (256 * 1024)
#define UPLOAD_BODY (64 * 1024 * 1024)
#define STALLED_MS 300

/* Guards against a body that is held because its upstream does not read. */
static void
test_uploads(void **state)
{
	static char block[64 * 1024];
	struct pollfd p[N_UPLOADS];
	char fields[96], path[32];
	uint64_t max = 0;

	(void)state;
	wait_empty();
	snprintf(fields, sizeof(fields),
	    "X-Timeout-Ms: 3000\r\nContent-Length: %d\r\n", UPLOAD_BODY);
	for (int i = 0; i < N_UPLOADS; i++) {
		snprintf(path, sizeof(path), "/p/stall/upload%d", i);
		p[i].fd = rig_request("POST", "a", path, fields, NULL);
		p[i].events = POLLOUT;
	}
	while (poll(p, N_UPLOADS, STALLED_MS) > 0) {
		for (int i = 0; i < N_UPLOADS; i++) {
			if (p[i].revents != 0 &&
			    send(p[i].fd, block, sizeof(block),
				MSG_NOSIGNAL | MSG_DONTWAIT) <= 0)
				p[i].fd = -1 - p[i].fd;
		}
		if (budget_held(&rig.shared.budget) > max)
			max = budget_held(&rig.shared.budget);
	}
	print_message("uploads: %llu KiB held for each\n",
	    (unsigned long long)max / N_UPLOADS / 1024);
	assert_true(max > 0);
	assert_true(max <= (uint64_t)N_UPLOADS * UPLOAD_LIMIT);
	for (int i = 0; i < N_UPLOADS; i++)
		close(p[i].fd < 0 ? -1 - p[i].fd : p[i].fd);
	wait_empty();
}

/* Guards against a request that is run although it does not fit. */
static void
test_refusal(void **state)
{
	size_t filler = 0;

	(void)state;
	wait_empty();
	/* The route / has RIG_PRIORITY, the route /i has 0. */
	assert_true(budget_take(
	    &rig.shared.budget, &filler, BUDGET / 16 * 11, 0, true));
	rig_expect_error(rig_call("POST", "a", "/p/ok/refused", "", "x"), 503,
	    "overloaded", "not-run");
	assert_int_equal(rig_request_count("/p/ok/refused"), 0);
	rig_expect_body(rig_call("GET", "a", "/i/ok/fits", "", NULL), "ok");
	budget_set(&rig.shared.budget, &filler, 0);
	rig_expect_body(rig_call("POST", "a", "/p/ok/fits", "", "x"), "ok");
	wait_empty();
}

/* Guards against a transfer that stops for ever while memory is short. */
static void
test_short_memory(void **state)
{
	static const char *const paths[] = {
	    "/i/medium/short", "/i/big/short", "/i/bigchunk/short"};
	size_t filler = 0;

	(void)state;
	wait_empty();
	assert_true(
	    budget_take(&rig.shared.budget, &filler, BUDGET / 16 * 9, 0, true));
	for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		int fd = rig_request("GET", "a", paths[i], "", NULL);
		struct reply r;

		usleep(200000);
		r = rig_read(fd, false);
		assert_int_equal(r.status, 200);
		assert_true(r.complete);
		for (size_t k = 0; k < r.body_n; k++) {
			if (r.body[k] != (char)('a' + k % 23))
				fail_msg("wrong byte at %zu", k);
		}
		rig_reply_free(&r);
	}
	budget_set(&rig.shared.budget, &filler, 0);
	wait_empty();
}

#define STEADY_US 50000
#define STEADY_BYTES 65536
#define STALL_LIMIT_MS 20000

/*
 * Guards against a caller that holds memory and an upstream without reading,
 * and against one that reads slowly and is disconnected.
 */
static void
test_stalled_caller(void **state)
{
	static char block[STEADY_BYTES];
	int stalled, steady;

	(void)state;
	wait_empty();
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_CALLERS_NOT_READING), 0);
	stalled = rig_request("GET", "a", "/i/huge/stalled", "", NULL);
	steady = rig_request("GET", "a", "/i/huge/steady", "", NULL);
	for (int ms = 0; ms < STALL_LIMIT_MS &&
	     metrics_get(&rig.metrics, METRICS_CALLERS_NOT_READING) == 0;
	     ms += STEADY_US / 1000) {
		assert_true(recv(steady, block, sizeof(block), 0) > 0);
		usleep(STEADY_US);
	}
	/* A check of the other connection is not later than this. */
	usleep(10 * STEADY_US);
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_CALLERS_NOT_READING), 1);
	for (int i = 0; i < 100; i++)
		assert_true(recv(steady, block, sizeof(block), 0) > 0);
	close(steady);
	wait_empty();
	close(stalled);
}

static int
setup(void **state)
{
	rig_setup(state);
	buffering = *rig.shared.protocol;
	buffering.status_means_not_run = true;
	rig.shared.protocol = &buffering;
	budget_init(&rig.shared.budget, BUDGET);
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_uploads),
	    cmocka_unit_test(test_refusal),
	    cmocka_unit_test(test_short_memory),
	    cmocka_unit_test(test_stalled_caller),
	};

	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
