#include "lib/rig.h"

#include "platform/field_names.h"

#include "front/attempt_report.h"

/**
 * struct failure_case - failure of an attempt and the expected error response
 * @host: service
 * @behaviour: behaviour of the stand-in
 * @status: HTTP status
 * @kind: X-Error-Kind
 * @outcome: X-Outcome, without a key or with a granted key
 * @finish: outcome reported for the claim
 * @sent: the stand-in receives the request
 */
struct failure_case {
	const char *host;
	const char *behaviour;
	unsigned status;
	const char *kind;
	const char *outcome;
	enum worker_msg_outcome finish;
	bool sent;
};

#define BAD_ANSWER(behaviour)                                                  \
	{                                                                      \
		"a", behaviour, 502, "upstream-answer", "unknown",             \
		    WORKER_MSG_RUN_UNKNOWN, true                               \
	}

static const struct failure_case cases[] = {
    {"none", "ok", 503, "no-upstream", "not-run", WORKER_MSG_RUN_NOT_RUN,
	false},
    {"full", "ok", 503, "overloaded", "not-run", WORKER_MSG_RUN_NOT_RUN, false},
    {"dead", "ok", 502, "connect", "not-run", WORKER_MSG_RUN_NOT_RUN, false},
    {"hole", "ok", 502, "connect", "not-run", WORKER_MSG_RUN_NOT_RUN, false},
    {"a", "close", 502, "upstream-closed", "unknown", WORKER_MSG_RUN_UNKNOWN,
	true},
    {"a", "hang", 504, "upstream-timeout", "unknown", WORKER_MSG_RUN_UNKNOWN,
	true},
    {"a", "refuse", 503, "refused", "not-run", WORKER_MSG_RUN_NOT_RUN, true},
    {"a", "refusecut", 503, "refused", "not-run", WORKER_MSG_RUN_NOT_RUN, true},
    BAD_ANSWER("cuthead"),
    BAD_ANSWER("cutfields"),
    BAD_ANSWER("garbage"),
    BAD_ANSWER("largehead"),
    BAD_ANSWER("duplen"),
    BAD_ANSWER("duplen2"),
    BAD_ANSWER("lenlist"),
    BAD_ANSWER("neglen"),
    BAD_ANSWER("lente"),
    BAD_ANSWER("telen"),
    BAD_ANSWER("tegzip"),
    BAD_ANSWER("eofbody"),
    BAD_ANSWER("http10"),
    BAD_ANSWER("fold"),
    BAD_ANSWER("barecr"),
    BAD_ANSWER("spacename"),
    BAD_ANSWER("switch"),
    /* An upstream in trouble sent these, and they were passed on as answers. */
    BAD_ANSWER("s000"),
    BAD_ANSWER("s000bare"),
    BAD_ANSWER("s099"),
    BAD_ANSWER("s600"),
    BAD_ANSWER("s999"),
    BAD_ANSWER("s00"),
    BAD_ANSWER("interim000"),
};

static struct reply
call(const struct failure_case *p, const char *route, const char *fields,
    char path[128])
{
	static int id;

	snprintf(path, 128, "/%s/%s/%d", route, p->behaviour, id++);
	return (rig_call("POST", p->host, path, fields, "body"));
}

/* Guards against a wrong X-Outcome, and against running a request twice. */
static void
test_unkeyed(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const struct failure_case *p = &cases[i];
		char path[128];
		struct reply r = call(p, "u", "", path);

		rig_expect_error(r, p->status, p->kind, p->outcome);
		assert_int_equal(rig_request_count(path), p->sent);
	}
}

/* Guards against "not-run" for a key that stays claimed, and the reverse. */
static void
test_keyed(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const struct failure_case *p = &cases[i];
		char path[128], key[64], fields[128];
		struct reply r;

		snprintf(key, sizeof(key), "grant-e-%zu", i);
		snprintf(
		    fields, sizeof(fields), "Idempotency-Key: %s\r\n", key);
		r = call(p, "u", fields, path);
		rig_expect_error(r, p->status, p->kind, p->outcome);
		assert_int_equal(rig_wait_finish(key).outcome, p->finish);
		assert_int_equal(rig_request_count(path), p->sent);
	}
}

/* Guards against unlimited retries, and "not-run" after a possible run. */
static void
test_idempotent(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const struct failure_case *p = &cases[i];
		char path[128];
		struct reply r = call(p, "t", "", path);

		rig_expect_error(r, p->status, p->kind, p->outcome);
		assert_in_range(rig_request_count(path), p->sent, p->sent * 3);
	}
}

/* Guards against "not-run" for a key without a decision of its owner. */
static void
test_before_claim(void **state)
{
	static const char key[] = "Idempotency-Key: grant-b\r\n";
	struct worker_msg_finish f;

	(void)state;
	rig_expect_error(rig_call("POST", "x", "/p/ok/b", key, "b"), 404,
	    "unknown-host", "unknown");
	atomic_store(&rig.shared.fresh_until_us, 0);
	rig_expect_error(rig_call("POST", "a", "/p/ok/b", key, "b"), 503,
	    "not-fresh", "unknown");
	rig_expect_error(rig_call("POST", "a", "/p/ok/b", "", "b"), 503,
	    "not-fresh", "not-run");
	atomic_store(&rig.shared.fresh_until_us, INT64_MAX);
	atomic_store(&rig.shared.leaving, true);
	rig_expect_error(rig_call("POST", "a", "/p/ok/b", "", "b"), 503,
	    "leaving", "not-run");
	atomic_store(&rig.shared.leaving, false);
	assert_int_equal(rig_finishes("grant-b", &f), 0);
	assert_int_equal(rig_request_count("/p/ok/b"), 0);
}

/* Guards against missing retries, and retries beyond the retry budget. */
static void
test_retry(void **state)
{
	uint64_t before;

	(void)state;
	rig_fill_retry_budget("two");
	atomic_store(&rig.dead_first, true);
	before = metrics_get(&rig.metrics, METRICS_RETRIES);
	rig_expect_body(
	    rig_call("POST", "two", "/p/echo/r1", "", "abc"), "abc");
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_RETRIES), before + 1);
	assert_int_equal(rig_request_count("/p/echo/r1"), 1);
	atomic_store(&rig.dead_first, false);
	rig_fill_retry_budget("two");
	atomic_store(&rig.dead_first, true);
	rig_expect_body(rig_call("POST", "two", "/p/echo/r2",
			    "Idempotency-Key: grant-r2\r\n", "abc"),
	    "abc");
	assert_int_equal(
	    rig_wait_finish("grant-r2").outcome, WORKER_MSG_RUN_DONE);
	assert_int_equal(rig_request_count("/p/echo/r2"), 1);
	/* 30 failed calls in a row exceed the retry budget by far. */
	before = metrics_get(&rig.metrics, METRICS_RETRIES);
	for (int i = 0; i < 30; i++) {
		struct reply r = rig_call("GET", "two", "/i/s500/r", "", NULL);

		assert_true(r.status == 500 || r.status == 502);
		rig_reply_free(&r);
	}
	assert_in_range(
	    metrics_get(&rig.metrics, METRICS_RETRIES), before, before + 20);
	atomic_store(&rig.dead_first, false);
}

/*
 * Guards against cancelling a late request while no other upstream can take it:
 * the response that was still to come would be lost.
 */
static void
test_late_alone(void **state)
{
	uint64_t before;

	(void)state;
	rig_fill_retry_budget("a");
	before = metrics_get(&rig.metrics, METRICS_RETRIES);
	rig_expect_body(rig_call("GET", "a", "/l/slow/alone", "", NULL), "ok");
	assert_int_equal(metrics_get(&rig.metrics, METRICS_RETRIES), before);
	assert_int_equal(rig_request_count("/l/slow/alone"), 1);
}

/* Guards against a late request that waits while another upstream is free. */
static void
test_late_elsewhere(void **state)
{
	uint64_t before;

	(void)state;
	rig_fill_retry_budget("both");
	before = metrics_get(&rig.metrics, METRICS_RETRIES);
	rig_expect_body(
	    rig_call("GET", "both", "/l/slow/both", "", NULL), "ok");
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_RETRIES), before + 1);
	assert_int_equal(rig_request_count("/l/slow/both"), 2);
}

/*
 * Guards against a late request whose attempt is broken off for one at another
 * upstream that then has no free slot: the caller got an error in place of the
 * answer that its upstream was working on.
 */
static void
test_late_no_slot(void **state)
{
	uint64_t before;

	(void)state;
	rig_fill_retry_budget("both");
	before = metrics_get(&rig.metrics, METRICS_RETRIES);
	atomic_store(&rig.second_full, true);
	rig_expect_body(
	    rig_call("GET", "both", "/l/slow/no-slot", "", NULL), "ok");
	atomic_store(&rig.second_full, false);
	assert_int_equal(metrics_get(&rig.metrics, METRICS_RETRIES), before);
	assert_int_equal(rig_request_count("/l/slow/no-slot"), 1);
}

/*
 * As above, while the VM reports itself unhealthy before it stops; a late
 * response may be lost then, too.
 */
static void
test_late_leaving(void **state)
{
	uint64_t before;

	(void)state;
	rig_fill_retry_budget("both");
	before = metrics_get(&rig.metrics, METRICS_RETRIES);
	atomic_store(&rig.shared.unhealthy, true);
	rig_expect_body(
	    rig_call("GET", "both", "/l/slow/leaving", "", NULL), "ok");
	atomic_store(&rig.shared.unhealthy, false);
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_RETRIES), before + 1);
}

/* Guards against sending a request twice when a reused connection closes. */
static void
test_reused_closes(void **state)
{
	static const char *const methods[] = {"POST", "DELETE", "GET"};
	char path[64];

	(void)state;
	for (int i = 0; i < 3; i++) {
		struct reply r;

		/* The second request on a connection is read, then closed. */
		r = rig_call("GET", "a", "/i/closereused/warm", "", NULL);
		rig_reply_free(&r);
		for (int k = 0; k < 3; k++) {
			snprintf(
			    path, sizeof(path), "/p/closereused/%d-%d", i, k);
			r = rig_call(methods[i], "a", path, "", NULL);
			assert_true(r.status == 200 || r.status == 502);
			rig_reply_free(&r);
			assert_int_equal(rig_request_count(path), 1);
		}
	}
	rig_fill_retry_budget("a");
	rig_expect_body(
	    rig_call("POST", "a", "/i/closereused/x", "", "b"), "ok");
	assert_in_range(rig_request_count("/i/closereused/x"), 1, 2);
}

static void *
free_slots(void *arg)
{
	usleep(20000);
	atomic_store(&rig.full, false);
	return (arg);
}

/* Guards against rejecting a call although a slot becomes free in time. */
static void
test_waiting(void **state)
{
	pthread_t t;
	int fds[20];

	(void)state;
	atomic_store(&rig.full, true);
	for (int i = 0; i < 20; i++)
		fds[i] = rig_request("GET", "full", "/i/ok/w", "", NULL);
	pthread_create(&t, NULL, free_slots, NULL);
	for (int i = 0; i < 20; i++) {
		struct reply r = rig_read(fds[i], false);

		/* A busy machine may take longer than the wait. */
		if (r.status != 200)
			assert_string_equal(
			    rig_field(&r, "X-Error-Kind"), "overloaded");
		rig_reply_free(&r);
	}
	pthread_join(t, NULL);
	rig_expect_body(rig_call("GET", "full", "/i/ok/w2", "", NULL), "ok");
	atomic_store(&rig.full, true);
}

/* Guards against sending a waiting call after the routing data became stale. */
static void
test_stale_while_waiting(void **state)
{
	struct reply r;
	int fd;

	(void)state;
	atomic_store(&rig.full, true);
	atomic_store(&rig.fingerprint, 0);
	fd = rig_request("POST", "full", "/p/ok/stale",
	    "Idempotency-Key: grant-stale\r\n", "b");
	for (int i = 0; i < 1000 && atomic_load(&rig.fingerprint) == 0; i++)
		usleep(1000);
	atomic_store(&rig.shared.fresh_until_us, 0);
	atomic_store(&rig.full, false);
	r = rig_read(fd, false);
	assert_int_equal(r.status, 503);
	rig_reply_free(&r);
	atomic_store(&rig.shared.fresh_until_us, INT64_MAX);
	atomic_store(&rig.full, true);
	assert_int_equal(rig_request_count("/p/ok/stale"), 0);
}

/* Guards against attempts not counted, and a state report per response. */
static void
test_observations(void **state)
{
	uint64_t calls = atomic_load(&rig.tally->calls);
	uint64_t failures = atomic_load(&rig.tally->failures);
	uint64_t slow = atomic_load(&rig.tally->slow);
	struct reply r;
	int n_state_messages;

	(void)state;
	rig_expect_body(rig_call("GET", "a", "/i/ok/o1", "", NULL), "ok");
	rig_expect_body(rig_call("GET", "a", "/i/slow/o1", "", NULL), "ok");
	r = rig_call("GET", "a", "/i/s500/o1", "", NULL);
	assert_int_equal(r.status, 500);
	assert_int_equal(r.body_n, 4);
	rig_reply_free(&r);
	assert_int_equal(atomic_load(&rig.tally->calls), calls + 3);
	assert_int_equal(atomic_load(&rig.tally->failures), failures + 1);
	assert_true(atomic_load(&rig.tally->slow) > slow);
	for (int i = 0; i < 10; i++)
		rig_expect_body(
		    rig_call("GET", "a", "/i/draining/o1", "", NULL), "ok");
	for (int i = 0; i < 1000 && atomic_load(&rig.n_state_messages) == 0;
	     i++)
		usleep(1000);
	assert_in_range(atomic_load(&rig.n_state_messages), 1, 9);
	/* The change back to ready, as in the table, is also reported once. */
	usleep(2 * ATTEMPT_REPORT_STATE_PERIOD_MS * 1000);
	n_state_messages = atomic_load(&rig.n_state_messages);
	for (int i = 0; i < 10; i++)
		rig_expect_body(
		    rig_call("GET", "a", "/i/ready/o1", "", NULL), "ok");
	for (int i = 0;
	     i < 1000 && atomic_load(&rig.n_state_messages) == n_state_messages;
	     i++)
		usleep(1000);
	assert_int_equal(
	    atomic_load(&rig.n_state_messages), n_state_messages + 1);
	rig_expect_body(rig_call("GET", "a", "/i/notrun200/o", "", NULL), "ok");
}

static int
setup(void **state)
{
	atomic_store(&rig.full, true);
	return (rig_setup(state));
}

#define REPEATED_ROUNDS 10

/* The protocol of the users' platform, in which a refusal means "not run". */
static const struct upstream_protocol *
use_platform_protocol(void)
{
	const struct upstream_protocol *before = rig.shared.protocol;

	rig.shared.protocol = field_names_protocol();
	return (before);
}

/*
 * Guards against a refusal that an upstream writes once more on a kept
 * connection: the caller of the next request was told "not run" while the
 * request ran, or the request ran at a second upstream.
 */
static void
test_repeated_refusal(void **state)
{
	static const char *const refusals[] = {"refusetwice", "refuselate"};
	const struct upstream_protocol *before = use_platform_protocol();

	(void)state;
	for (int i = 0; i < 2 * REPEATED_ROUNDS; i++) {
		char refused[64], run[64];
		struct reply r;

		snprintf(
		    refused, sizeof(refused), "/p/%s/%d", refusals[i % 2], i);
		snprintf(run, sizeof(run), "/p/slow/after-refusal-%d", i);
		r = rig_call("POST", "a", refused, "", "b");
		assert_int_equal(r.status, 503);
		rig_reply_free(&r);
		rig_expect_body(rig_call("POST", "a", run, "", "b"), "ok");
		assert_int_equal(rig_request_count(run), 1);
	}
	rig.shared.protocol = before;
}

/*
 * Guards against an answer that ends in its head and reaches the caller as a
 * complete one with an empty body.
 */
static void
test_cut_head(void **state)
{
	static const char *const paths[] = {"/i/cuthead/platform",
	    "/i/cutfields/platform", "/p/cuthead/platform",
	    "/p/cutfields/platform"};
	const struct upstream_protocol *before = use_platform_protocol();

	(void)state;
	for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++)
		rig_expect_error(rig_call("POST", "a", paths[i], "", "b"), 502,
		    "upstream-answer", "unknown");
	rig.shared.protocol = before;
}

#define PAUSE_MS 600 /* of the stand-in's behaviour "pause" */

/*
 * Guards against requests to an upstream during the pause that it asked for,
 * and callers that are told to return before its end.
 */
static void
test_pause(void **state)
{
	const struct upstream_protocol *before = use_platform_protocol();
	struct reply r;

	(void)state;
	atomic_store(&rig.full, false);
	r = rig_call("GET", "full", "/i/pause/1", "", NULL);
	assert_int_equal(r.status, 503);
	assert_true(atof(rig_field(&r, "Retry-After")) > PAUSE_MS / 2000.0);
	rig_reply_free(&r);
	for (int i = 0; i < 5; i++)
		rig_expect_error(
		    rig_call("POST", "full", "/p/ok/in-pause", "", "b"), 503,
		    "no-upstream", "not-run");
	assert_int_equal(rig_request_count("/i/pause/1"), 1);
	assert_int_equal(rig_request_count("/p/ok/in-pause"), 0);
	usleep(PAUSE_MS * 1000);
	rig_expect_body(rig_call("POST", "full", "/p/ok/after", "", "b"), "ok");
	rig.shared.protocol = before;
}

/*
 * Guards against requests to an upstream that said that it leaves, in the
 * answer to another request. It comes last, as the upstream does not return.
 */
static void
test_leaving(void **state)
{
	const struct upstream_protocol *before = use_platform_protocol();

	(void)state;
	atomic_store(&rig.full, false);
	rig_expect_body(
	    rig_call("GET", "full", "/i/leaving/1", "", NULL), "ok");
	rig_expect_error(rig_call("GET", "full", "/i/ok/left", "", NULL), 503,
	    "no-upstream", "not-run");
	rig_expect_error(rig_call("POST", "full", "/p/ok/left", "", "b"), 503,
	    "no-upstream", "not-run");
	assert_int_equal(rig_request_count("/i/ok/left"), 0);
	assert_int_equal(rig_request_count("/p/ok/left"), 0);
	rig.shared.protocol = before;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_unkeyed),
	    cmocka_unit_test(test_keyed),
	    cmocka_unit_test(test_idempotent),
	    cmocka_unit_test(test_before_claim),
	    cmocka_unit_test(test_retry),
	    cmocka_unit_test(test_late_alone),
	    cmocka_unit_test(test_late_elsewhere),
	    cmocka_unit_test(test_late_no_slot),
	    cmocka_unit_test(test_late_leaving),
	    cmocka_unit_test(test_repeated_refusal),
	    cmocka_unit_test(test_cut_head),
	    cmocka_unit_test(test_reused_closes),
	    cmocka_unit_test(test_waiting),
	    cmocka_unit_test(test_stale_while_waiting),
	    cmocka_unit_test(test_observations),
	    cmocka_unit_test(test_pause),
	    cmocka_unit_test(test_leaving),
	};

	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
