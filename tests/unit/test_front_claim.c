#include "lib/rig.h"

static struct reply
keyed(const char *path, const char *key, const char *body)
{
	char fields[400];

	snprintf(fields, sizeof(fields), "Idempotency-Key: %s\r\n", key);
	return (rig_call("POST", "a", path, fields, body));
}

/* Guards against a granted request that runs twice or is not reported. */
static void
test_granted(void **state)
{
	struct worker_msg_finish f;

	(void)state;
	rig_expect_body(keyed("/p/ok/g1", "grant-1", "body"), "ok");
	f = rig_wait_finish("grant-1");
	assert_int_equal(f.outcome, WORKER_MSG_RUN_DONE);
	assert_int_equal(f.attempt, 7);
	assert_int_equal(f.response.status, 200);
	assert_false(f.response.body_omitted);
	assert_int_equal(f.response.body_len, 2);
	assert_memory_equal(f.response.body, "ok", 2);
	assert_int_equal(rig_request_count("/p/ok/g1"), 1);
	rig_expect_body(keyed("/p/echo/g2", "grant-2", NULL), "");
	assert_int_equal(
	    rig_wait_finish("grant-2").outcome, WORKER_MSG_RUN_DONE);
}

/* Guards against a stored response that is truncated without a mark. */
static void
test_large_response(void **state)
{
	struct reply r = keyed("/p/over4k/l1", "grant-large", "b");
	struct worker_msg_finish f = rig_wait_finish("grant-large");

	(void)state;
	assert_int_equal(r.body_n, 5000);
	assert_true(f.response.body_omitted);
	assert_int_equal(f.response.body_len, 0);
	assert_string_equal(f.response.content_type, "text/x");
	rig_reply_free(&r);
}

/* Guards against equal fingerprints of different requests. */
static void
test_fingerprint(void **state)
{
	static const char *const calls[][2] = {{"/p/ok/f", "body"},
	    {"/p/ok/f", "bodY"}, {"/p/ok/f?q", "body"}, {"/p/ok/fb", "ody"}};
	uint64_t seen[4], again;
	struct reply r;
	char key[32];

	(void)state;
	for (int i = 0; i < 4; i++) {
		snprintf(key, sizeof(key), "grant-fp-%d", i);
		r = keyed(calls[i][0], key, calls[i][1]);
		rig_reply_free(&r);
		seen[i] = atomic_load(&rig.fingerprint);
		for (int k = 0; k < i; k++)
			assert_true(seen[k] != seen[i]);
	}
	r = keyed(calls[0][0], "grant-fp-9", calls[0][1]);
	rig_reply_free(&r);
	again = atomic_load(&rig.fingerprint);
	assert_true(again == seen[0]);
}

/* Guards against sending without a grant, and a wrong error to the caller. */
static void
test_verdicts(void **state)
{
	struct reply r;

	(void)state;
	rig_expect_error(keyed("/p/ok/v", "progress-1", "b"), 409,
	    "claim-in-progress", "unknown");
	rig_expect_error(keyed("/p/ok/v", "unknown-1", "b"), 409,
	    "claim-unknown", "unknown");
	rig_expect_error(keyed("/p/ok/v", "mismatch-1", "b"), 422,
	    "claim-mismatch", "not-run");
	rig_expect_error(keyed("/p/ok/v", "unavailable-1", "b"), 503,
	    "claim-unavailable", "unknown");
	r = keyed("/p/ok/v", "done-1", "b");
	assert_int_equal(r.status, 201);
	assert_string_equal(rig_field(&r, "X-Replayed"), "1");
	assert_string_equal(rig_field(&r, "Content-Type"), "text/y");
	assert_string_equal(rig_field(&r, "X-Body-Omitted"), "");
	assert_int_equal(r.body_n, 6);
	assert_memory_equal(r.body, "stored", 6);
	rig_reply_free(&r);
	r = keyed("/p/ok/v", "doneomit-1", "b");
	assert_int_equal(r.status, 201);
	assert_string_equal(rig_field(&r, "X-Replayed"), "1");
	assert_string_equal(rig_field(&r, "X-Body-Omitted"), "1");
	assert_int_equal(r.body_n, 0);
	rig_reply_free(&r);
	rig_expect_error(
	    keyed("/p/ok/v", "expired-1", "b"), 504, "deadline", "not-run");
	assert_int_equal(
	    rig_wait_finish("expired-1").outcome, WORKER_MSG_RUN_NOT_RUN);
	assert_int_equal(rig_request_count("/p/ok/v"), 0);
}

/* Guards against a grant after the end of its call that is never finished. */
static void
test_late_grant(void **state)
{
	struct worker_msg_finish f;
	int fd;

	(void)state;
	atomic_store(&rig.hold, true);
	rig_expect_error(keyed("/u/ok/h1", "hold-1", "b"), 503,
	    "claim-unavailable", "unknown");
	assert_int_equal(rig_finishes("hold-1", &f), 0);
	atomic_store(&rig.hold, false);
	assert_int_equal(
	    rig_wait_finish("hold-1").outcome, WORKER_MSG_RUN_NOT_RUN);
	atomic_store(&rig.hold, true);
	fd = rig_request(
	    "POST", "a", "/p/ok/h2", "Idempotency-Key: hold-2\r\n", "b");
	usleep(50000);
	close(fd);
	usleep(50000);
	atomic_store(&rig.hold, false);
	assert_int_equal(
	    rig_wait_finish("hold-2").outcome, WORKER_MSG_RUN_NOT_RUN);
	assert_int_equal(rig_request_count("/u/ok/h1"), 0);
	assert_int_equal(rig_request_count("/p/ok/h2"), 0);
}

/* Guards against releasing the key of a request that may have run. */
static void
test_caller_gone(void **state)
{
	int fd = rig_request(
	    "POST", "a", "/p/hang/cg", "Idempotency-Key: grant-cg\r\n", "b");

	(void)state;
	rig_wait_received("/p/hang/cg");
	close(fd);
	assert_int_equal(
	    rig_wait_finish("grant-cg").outcome, WORKER_MSG_RUN_UNKNOWN);
	rig_wait_closed("/p/hang/cg");
}

/* Guards against accepting keys and bodies above their limits. */
static void
test_limits(void **state)
{
	char key[300];
	char *text = malloc(200000);
	int n;

	(void)state;
	memset(key, 'k', sizeof(key));
	memcpy(key, "grant", 5);
	key[255] = '\0';
	rig_expect_body(keyed("/p/ok/k255", key, "b"), "ok");
	assert_int_equal(rig_wait_finish(key).outcome, WORKER_MSG_RUN_DONE);
	key[255] = 'k';
	key[256] = '\0';
	rig_expect_error(
	    keyed("/p/ok/k256", key, "b"), 400, "bad-request", "unknown");
	rig_expect_error(
	    keyed("/p/ok/k0", "", "b"), 400, "bad-request", "unknown");
	rig_expect_error(
	    rig_call("POST", "a", "/p/ok/k2",
		"Idempotency-Key: a\r\nIdempotency-Key: b\r\n", "b"),
	    400, "bad-request", "unknown");
	n = sprintf(text,
	    "POST /p/ok/large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	    "Idempotency-Key: grant-large2\r\nContent-Length: 100001\r\n\r\n");
	memset(text + n, 'x', 100001);
	text[n + 100001] = '\0';
	rig_expect_error(rig_send_raw(text), 413, "body-too-large", "unknown");
	n = sprintf(text,
	    "POST /p/ok/large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	    "Idempotency-Key: grant-large3\r\nTransfer-Encoding: chunked\r\n"
	    "\r\n186a1\r\n");
	memset(text + n, 'x', 100001);
	strcpy(text + n + 100001, "\r\n0\r\n\r\n");
	rig_expect_error(rig_send_raw(text), 413, "body-too-large", "unknown");
	assert_int_equal(rig_request_count("/p/ok/large"), 0);
	free(text);
}

/*
 * Guards against requests that wait for a claim which nothing grants: on the
 * platform each request with a key on a non-idempotent route ended at its
 * deadline and never reached an upstream. Without claims the key is passed on,
 * whatever its length, also with a body that is larger than a keyed one may be.
 */
static void
test_without_claims(void **state)
{
	static const char *const keys[] = {"unavailable-2", "progress-2", ""};
	const size_t max_keyed_body = rig.shared.max_keyed_body;
	struct reply r;

	(void)state;
	rig.shared.has_claims = false;
	rig.shared.max_keyed_body = 3;
	for (size_t i = 0; i < sizeof(keys) / sizeof(*keys); i++)
		rig_expect_body(keyed("/p/ok/n1", keys[i], "body"), "ok");
	assert_int_equal(rig_request_count("/p/ok/n1"), 3);
	r = keyed("/p/echohead/n2", "grant-n2", NULL);
	assert_int_equal(r.status, 200);
	assert_non_null(strstr(r.p, "Idempotency-Key: grant-n2"));
	rig_reply_free(&r);
	rig.shared.has_claims = true;
	rig.shared.max_keyed_body = max_keyed_body;
}

/* Guards against a claim that is freed without an answer. */
static void
test_refused_claim(void **state)
{
	struct worker_msg_claim *claim = calloc(1, sizeof(*claim));
	struct worker_msg_finish *finish = calloc(1, sizeof(*finish));
	struct worker_msg_claim_reply *r;
	struct message_queue q;

	(void)state;
	msgq_init(&q);
	claim->m.type = WORKER_MSG_CLAIM;
	claim->reply_to = &q;
	claim->ref = 42;
	worker_msg_refuse(&claim->m);
	r = (struct worker_msg_claim_reply *)msgq_pop(&q);
	assert_non_null(r);
	assert_int_equal(r->m.type, WORKER_MSG_CLAIM_REPLY);
	assert_int_equal(r->ref, 42);
	assert_int_equal(r->verdict, WORKER_MSG_UNAVAILABLE);
	free(r);
	finish->m.type = WORKER_MSG_FINISH;
	worker_msg_refuse(&finish->m);
	assert_null(msgq_pop(&q));
	msgq_finish(&q);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_granted),
	    cmocka_unit_test(test_large_response),
	    cmocka_unit_test(test_fingerprint),
	    cmocka_unit_test(test_verdicts),
	    cmocka_unit_test(test_late_grant),
	    cmocka_unit_test(test_caller_gone),
	    cmocka_unit_test(test_limits),
	    cmocka_unit_test(test_without_claims),
	    cmocka_unit_test(test_refused_claim),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
