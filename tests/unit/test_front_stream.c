#include "lib/rig.h"

#define BIG_BODY (8 * 1024 * 1024)

/* Guards against responses that are changed, truncated or mixed up. */
static void
test_plain(void **state)
{
	struct reply r;

	(void)state;
	rig_expect_body(rig_call("GET", "a", "/i/ok/1", "", NULL), "ok");
	rig_expect_body(rig_call("GET", "a", "/i/chunked/1", "", NULL), "abcd");
	rig_expect_body(rig_call("GET", "a", "/i/trailer/1", "", NULL), "ok");
	rig_expect_body(rig_call("GET", "a", "/i/interim/1", "", NULL), "ok");
	rig_expect_body(
	    rig_call("POST", "a", "/p/echo/1", "", "12345"), "12345");
	rig_expect_body(
	    rig_call("GET", "a", "/i/echo/1", "", "get body"), "get body");
	rig_expect_body(rig_call("PUT", "a", "/p/echo/2", "", NULL), "");
	r = rig_call("HEAD", "a", "/i/headlen/1", "", NULL);
	assert_int_equal(r.status, 200);
	assert_string_equal(rig_field(&r, "Content-Length"), "5");
	assert_int_equal(r.rest, 0);
	rig_reply_free(&r);
	r = rig_call("GET", "a", "/i/s204/1", "", NULL);
	assert_int_equal(r.status, 204);
	assert_int_equal(r.rest, 0);
	rig_reply_free(&r);
	r = rig_call("GET", "a", "/i/s304/1", "", NULL);
	assert_int_equal(r.status, 304);
	assert_string_equal(rig_field(&r, "ETag"), "x");
	assert_int_equal(r.rest, 0);
	rig_reply_free(&r);
}

/* Guards against surplus bytes of a response that reach the next call. */
static void
test_surplus(void **state)
{
	static const char *const paths[] = {
	    "/i/extra/1", "/i/lateextra/1", "/i/s204body/1", "/i/s304/2"};
	struct reply r;

	(void)state;
	for (int round = 0; round < 5; round++) {
		for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
			r = rig_call("GET", "a", paths[i], "", NULL);
			assert_true(r.complete);
			assert_int_equal(r.rest, 0);
			rig_reply_free(&r);
			if (i == 1)
				usleep(50000);
			rig_expect_body(
			    rig_call("GET", "a", "/i/ok/2", "", NULL), "ok");
		}
		r = rig_call("HEAD", "a", "/i/headbody/1", "", NULL);
		assert_int_equal(r.status, 200);
		assert_int_equal(r.rest, 0);
		rig_reply_free(&r);
		rig_expect_body(
		    rig_call("GET", "a", "/i/ok/3", "", NULL), "ok");
	}
}

/* Guards against a truncated response that looks complete to the caller. */
static void
test_cut_after_head(void **state)
{
	static const char *const paths[] = {"/p/cutlen/1", "/p/cutchunk/1",
	    "/p/resetbody/1", "/u/hangbody/1", "/p/badchunk/1"};

	(void)state;
	for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		struct reply r = rig_call("POST", "a", paths[i], "", "x");

		/* The caller gets either the head or a proper error. */
		if (r.status == 200 && r.complete)
			fail_msg("%s looks complete: %.300s", paths[i], r.p);
		if (r.status != 200)
			assert_in_range(r.status, 502, 504);
		assert_int_equal(rig_request_count(paths[i]), 1);
		rig_reply_free(&r);
	}
}

/* Guards against truncated responses that look complete to HTTP/1.0. */
static void
test_http10(void **state)
{
	struct reply r;

	(void)state;
	rig_expect_body(
	    rig_send_raw("GET /i/chunked/2 HTTP/1.0\r\nHost: a\r\n\r\n"),
	    "abcd");
	rig_expect_error(
	    rig_send_raw("GET /p/cutchunk/2 HTTP/1.0\r\nHost: a\r\n\r\n"), 502,
	    "upstream-answer", "unknown");
	rig_expect_error(
	    rig_send_raw("GET /p/bigchunk/2 HTTP/1.0\r\nHost: a\r\n\r\n"), 502,
	    "upstream-answer", "unknown");
	r = rig_send_raw("GET /i/cutlen/2 HTTP/1.0\r\nHost: a\r\n\r\n");
	assert_true(r.status != 200 || !r.complete);
	rig_reply_free(&r);
}

static void
check_big(struct reply *r)
{
	assert_true(r->complete);
	assert_int_equal(r->body_n, 8 * 1024 * 1024);
	for (size_t i = 0; i < r->body_n; i++) {
		if (r->body[i] != (char)('a' + i % 23))
			fail_msg("wrong byte at %zu", i);
	}
	rig_reply_free(r);
}

/*
 * Guards against an answer of unknown length that is held back as a short one
 * until its transfer is paused: its caller got an error at the end of its time.
 */
static void
test_large_without_length(void **state)
{
	static const char *const paths[] = {
	    "/i/bigchunk/held", "/p/bigchunk/held"};
	struct upstream_protocol buffering = *rig.shared.protocol;
	const struct upstream_protocol *before = rig.shared.protocol;

	(void)state;
	buffering.status_means_not_run = true;
	rig.shared.protocol = &buffering;
	for (size_t i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		struct reply r = rig_call("GET", "a", paths[i], "", NULL);

		assert_int_equal(r.status, 200);
		assert_true(r.complete);
		assert_int_equal(r.body_n, BIG_BODY);
		assert_int_equal(rig_request_count(paths[i]), 1);
		rig_reply_free(&r);
	}
	rig.shared.protocol = before;
}

/* Guards against lost bytes and lost wake-ups when one side is slow. */
static void
test_slow_sides(void **state)
{
	const size_t n = 3 * 1024 * 1024;
	char *text = malloc(n + 256);
	struct reply r;
	int fd, k;

	(void)state;
	r = rig_call("GET", "a", "/i/big/1", "", NULL);
	check_big(&r);
	fd = rig_request("GET", "a", "/i/bigchunk/1", "", NULL);
	usleep(300000);
	r = rig_read(fd, false);
	check_big(&r);
	k = sprintf(text,
	    "POST /p/echo/big HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    n);
	for (size_t i = 0; i < n; i++)
		text[(size_t)k + i] = (char)('a' + i % 25);
	fd = rig_open(text, 100000);
	usleep(100000);
	for (size_t at = 100000; at < n + (size_t)k;) {
		ssize_t s =
		    send(fd, text + at, n + (size_t)k - at, MSG_NOSIGNAL);

		assert_true(s > 0);
		at += (size_t)s;
	}
	r = rig_read(fd, false);
	assert_true(r.complete);
	assert_int_equal(r.body_n, n);
	assert_memory_equal(r.body, text + k, n);
	rig_reply_free(&r);
	free(text);
}

/* Guards against a transfer that continues after its caller disconnected. */
static void
test_caller_gone(void **state)
{
	int fd;

	(void)state;
	fd = rig_request("GET", "a", "/i/hang/gone1", "", NULL);
	rig_wait_received("/i/hang/gone1");
	close(fd);
	rig_wait_closed("/i/hang/gone1");
	fd = rig_request("GET", "a", "/i/hangbody/gone2", "", NULL);
	rig_wait_received("/i/hangbody/gone2");
	close(fd);
	rig_wait_closed("/i/hangbody/gone2");
}

/* Guards against a transfer that outlives its deadline. */
static void
test_deadline(void **state)
{
	struct reply r;

	(void)state;
	rig_expect_error(rig_call("POST", "a", "/u/hang/d1", "", "x"), 504,
	    "upstream-timeout", "unknown");
	rig_wait_closed("/u/hang/d1");
	rig_expect_error(
	    rig_call("POST", "a", "/p/hang/d2", "X-Timeout-Ms: 100\r\n", "x"),
	    504, "upstream-timeout", "unknown");
	rig_wait_closed("/p/hang/d2");
	rig_expect_error(
	    rig_call("GET", "a", "/i/ok/d", "X-Timeout-Ms: 0\r\n", NULL), 400,
	    "bad-request", "not-run");
	r = rig_call("GET", "a", "/i/echohead/d", "X-Deadline-Ms: 1\r\n", NULL);
	assert_true(r.complete);
	assert_false(rig_body_contains(&r, "X-Deadline-Ms: 1\r\n"));
	assert_true(rig_body_contains(&r, "X-Deadline-Ms: 1"));
	rig_reply_free(&r);
}

/* Guards against forwarding hop-by-hop fields and an upstream's X-Outcome. */
static void
test_fields(void **state)
{
	struct reply r;

	(void)state;
	r = rig_call("GET", "a", "/i/own/1", "", NULL);
	assert_int_equal(r.status, 200);
	assert_string_equal(rig_field(&r, "X-Error-Kind"), "");
	assert_string_equal(rig_field(&r, "X-Outcome"), "");
	assert_string_equal(rig_field(&r, "X-Replayed"), "");
	assert_string_equal(rig_field(&r, "X-Body-Omitted"), "");
	assert_string_equal(rig_field(&r, "X-Hop"), "");
	assert_string_equal(rig_field(&r, "X-End"), "1");
	assert_string_equal(
	    rig_field(&r, "Date"), "Thu, 01 Jan 1970 00:00:00 GMT");
	assert_non_null(strstr(r.p, "Set-Cookie: a=1"));
	assert_non_null(strstr(r.p, "Set-Cookie: b=2"));
	rig_reply_free(&r);
	/* 99 fields of 150 bytes are just below the limits. */
	rig_expect_body(rig_call("GET", "a", "/i/midhead/1", "", NULL), "ok");
	r = rig_call("POST", "a", "/i/echohead/2",
	    "Connection: X-Mine, Host\r\nX-Mine: 1\r\nTE: trailers\r\n"
	    "X-Empty:\r\nX-Kept: 2\r\n",
	    "b");
	assert_true(r.complete);
	assert_false(rig_body_contains(&r, "X-Mine"));
	assert_false(rig_body_contains(&r, "\r\nTE"));
	assert_false(rig_body_contains(&r, "\r\nContent-Type"));
	assert_true(rig_body_contains(&r, "\r\nHost: a\r\n"));
	assert_true(rig_body_contains(&r, "\r\nX-Empty:"));
	assert_true(rig_body_contains(&r, "\r\nX-Kept: 2\r\n"));
	rig_reply_free(&r);
}

#define HUGE_BODY (64 * 1024 * 1024)
#define MAX_GROWTH (24L * 1024 * 1024)
#define STALLED_MS 300

static long
resident_bytes(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	long pages = 0;

	assert_int_equal(fscanf(f, "%*s %ld", &pages), 1);
	fclose(f);
	return (pages * sysconf(_SC_PAGESIZE));
}

/* Guards against unbounded buffering of a body while one side is stalled. */
static void
test_bounded_memory(void **state)
{
	static char block[64 * 1024];
	struct pollfd p = {.events = POLLOUT};
	long before = resident_bytes();
	char fields[64];
	size_t sent = 0;
	int fd;

	(void)state;
	/*
	 * The worker does not notice the close while its receive window is
	 * full, so the deadline ends the call.
	 */
	snprintf(fields, sizeof(fields),
	    "X-Timeout-Ms: 3000\r\nContent-Length: %d\r\n", HUGE_BODY);
	p.fd = rig_request("POST", "a", "/p/stall/m", fields, NULL);
	while (sent < HUGE_BODY && poll(&p, 1, STALLED_MS) == 1) {
		ssize_t k = send(
		    p.fd, block, sizeof(block), MSG_NOSIGNAL | MSG_DONTWAIT);

		assert_true(k > 0);
		sent += (size_t)k;
	}
	assert_true(sent < HUGE_BODY);
	assert_true(resident_bytes() - before < MAX_GROWTH);
	close(p.fd);
	fd = rig_request("GET", "a", "/i/huge/m", "", NULL);
	usleep(STALLED_MS * 1000);
	assert_true(resident_bytes() - before < MAX_GROWTH);
	close(fd);
}

/*
 * Guards against an upstream that sends bytes without end, in a head or a body:
 * the call has to end with an error or a body that is not complete, the
 * connection has to be closed, and memory stays bounded.
 */
static void
test_endless_answer(void **state)
{
	static const char *const names[] = {"endlessnoise", "endlesshead",
	    "endlessline", "endlessinterim", "endlesssize", "endlessextension",
	    "endlesstrailer", "endlessbody"};
	static const char *const paces[] = {"", "slow"};
	long before = resident_bytes();

	(void)state;
	for (size_t i = 0; i < 2 * sizeof(names) / sizeof(*names); i++) {
		char path[128];
		struct reply r;

		snprintf(path, sizeof(path), "/u/%s%s/%zu", names[i / 2],
		    paces[i % 2], i);
		r = rig_call("POST", "a", path, "", "body");
		assert_true(r.status == 502 || r.status == 504 ||
		    (r.status == 200 && !r.complete));
		rig_reply_free(&r);
		assert_true(resident_bytes() - before < MAX_GROWTH);
		assert_int_equal(rig_request_count(path), 1);
		rig_wait_closed(path);
		rig_expect_body(
		    rig_call("GET", "a", "/i/ok/after", "", NULL), "ok");
	}
}

/* Guards against state of a request that leaks into the next on keep-alive. */
static void
test_keep_alive(void **state)
{
	static const char text[] = "GET /i/ok/ka HTTP/1.1\r\nHost: a\r\n\r\n";
	char buf[512];
	int fd = rig_connect_to(rig.port, 0);

	(void)state;
	for (int i = 0; i < 100; i++) {
		size_t n = 0;

		send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
		do {
			ssize_t k = recv(fd, buf + n, sizeof(buf) - 1 - n, 0);

			assert_true(k > 0);
			n += (size_t)k;
			buf[n] = '\0';
		} while (strstr(buf, "\r\n\r\nok") == NULL);
		assert_int_equal(strncmp(buf, "HTTP/1.1 200", 12), 0);
	}
	close(fd);
}

#define CROSS_THREADS 8
#define CROSS_CALLS 150

static void *
run_cross(void *arg)
{
	int id = (int)(intptr_t)arg;

	for (int i = 0; i < CROSS_CALLS; i++) {
		char path[64], body[64];
		struct reply r;

		snprintf(body, sizeof(body), "body-%d-%d", id, i);
		if (i % 10 == 3) {
			/* The response to a disconnected caller is dropped. */
			snprintf(path, sizeof(path), "/i/slow/c%d", id);
			close(rig_request("GET", "a", path, "", NULL));
			continue;
		}
		snprintf(path, sizeof(path), "/i/echo/c%d", id);
		r = rig_call("POST", "a", path, "", body);
		if (r.status == 200 &&
		    (!r.complete || r.body_n != strlen(body) ||
			memcmp(r.body, body, r.body_n) != 0))
			return ((void *)1);
		if (r.status != 200 && r.status != 503)
			return ((void *)2);
		rig_reply_free(&r);
	}
	return (NULL);
}

/* Guards against responses that reach another caller under concurrency. */
static void
test_crossed(void **state)
{
	pthread_t t[CROSS_THREADS];

	(void)state;
	for (intptr_t i = 0; i < CROSS_THREADS; i++)
		pthread_create(&t[i], NULL, run_cross, (void *)i);
	for (int i = 0; i < CROSS_THREADS; i++) {
		void *result;

		pthread_join(t[i], &result);
		assert_null(result);
	}
}

/*
 * Guards against reporting an upstream error when no connection is free: the
 * call is rejected as overloaded.
 */
static void
test_connection_limit(void **state)
{
	int fds[6];
	char path[64];

	(void)state;
	for (int i = 0; i < 6; i++) {
		snprintf(path, sizeof(path), "/i/hang/limit%d", i);
		fds[i] = rig_request("GET", "a", path, "", NULL);
		rig_wait_received(path);
	}
	rig_expect_error(rig_call("POST", "a", "/p/ok/limit", "", "b"), 503,
	    "overloaded", "not-run");
	for (int i = 0; i < 6; i++)
		close(fds[i]);
	rig_expect_body(rig_call("POST", "a", "/p/ok/limit", "", "b"), "ok");
}

/* Guards against a stop that interrupts a call or waits for idle callers. */
static void
test_stop(void **state)
{
	struct worker_desc d = {
	    .shared = &rig.shared, .addr = "127.0.0.1", .seed = 2};
	uint16_t first = rig.port;
	pthread_t thread;
	struct worker *w;
	int idle, busy;
	char ch;

	(void)state;
	rig_bind(-1, &rig.port, SO_REUSEPORT);
	d.port = rig.port;
	w = worker_new(&d, NULL);
	assert_non_null(w);
	pthread_create(&thread, NULL, rig_run_worker, w);
	idle = rig_connect_to(rig.port, 0);
	busy = rig_request("GET", "a", "/i/slow/stop", "", NULL);
	rig_wait_received("/i/slow/stop");
	worker_stop(w);
	rig_expect_body(rig_read(busy, false), "ok");
	assert_int_equal(recv(idle, &ch, 1, 0), 0);
	close(idle);
	pthread_join(thread, NULL);
	worker_free(w);
	rig.port = first;
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_plain),
	    cmocka_unit_test(test_surplus),
	    cmocka_unit_test(test_cut_after_head),
	    cmocka_unit_test(test_http10),
	    cmocka_unit_test(test_large_without_length),
	    cmocka_unit_test(test_slow_sides),
	    cmocka_unit_test(test_caller_gone),
	    cmocka_unit_test(test_deadline),
	    cmocka_unit_test(test_fields),
	    cmocka_unit_test(test_keep_alive),
	    cmocka_unit_test(test_crossed),
	    cmocka_unit_test(test_connection_limit),
	    cmocka_unit_test(test_stop),
	    /* Runs last, because its stalled call holds a connection. */
	    cmocka_unit_test(test_bounded_memory),
	    cmocka_unit_test(test_endless_answer),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
