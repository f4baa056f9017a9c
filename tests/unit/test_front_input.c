#include "lib/rig.h"

#define HEAD(path) "POST " path " HTTP/1.1\r\nHost: a\r\n"

/**
 * struct bad_request - input that must be refused; no upstream may receive it
 * @what: description for failure messages
 * @text: bytes to send
 * @status: expected status, 0 for any but 200
 * @kind: expected X-Error-Kind, "" when libmicrohttpd itself refuses
 */
struct bad_request {
	const char *what;
	const char *text;
	unsigned status;
	const char *kind;
};

static const struct bad_request bad_requests[] = {
    {"two equal lengths",
	HEAD("/p/ok/bad") "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
	400, "bad-request"},
    {"two lengths",
	HEAD("/p/ok/bad") "Content-Length: 2\r\nContent-Length: 9\r\n\r\nab",
	400, "bad-request"},
    {"length list", HEAD("/p/ok/bad") "Content-Length: 2, 2\r\n\r\nab", 400,
	""},
    {"signed length", HEAD("/p/ok/bad") "Content-Length: +2\r\n\r\nab", 400,
	""},
    {"length and chunked",
	HEAD("/p/ok/bad") "Content-Length: 5\r\nTransfer-Encoding: "
			  "chunked\r\n\r\n0\r\n\r\n",
	400, "bad-request"},
    {"chunked twice",
	HEAD("/p/ok/bad") "Transfer-Encoding: chunked\r\nTransfer-Encoding: "
			  "chunked\r\n\r\n0\r\n\r\n",
	400, "bad-request"},
    {"unknown coding",
	HEAD("/p/ok/bad") "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400,
	"bad-request"},
    {"coding list",
	HEAD("/p/ok/bad") "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
	400, "bad-request"},
    {"chunked HTTP/1.0",
	"POST /p/ok/bad HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: "
	"chunked\r\n\r\n0\r\n\r\n",
	400, "bad-request"},
    {"space before colon", HEAD("/p/ok/bad") "Content-Length : 2\r\n\r\nab",
	400, "bad-request"},
    {"bare CR", HEAD("/p/ok/bad") "X-A: 1\rX-B: 2\r\n\r\n", 400, ""},
    {"control character", HEAD("/p/ok/bad") "X-A: \001\r\n\r\n", 400,
	"bad-request"},
    {"absolute form", "GET http://a/i/ok/bad HTTP/1.1\r\nHost: a\r\n\r\n", 400,
	"bad-request"},
    {"asterisk", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", 400, "bad-request"},
    {"CONNECT", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400, "bad-request"},
    {"TRACE", "TRACE /i/ok/bad HTTP/1.1\r\nHost: a\r\n\r\n", 400,
	"bad-request"},
    {"no host", "GET /i/ok/bad HTTP/1.1\r\n\r\n", 400, ""},
    {"two hosts", "GET /i/ok/bad HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400,
	"bad-request"},
    {"HEAD with body",
	"HEAD /i/ok/bad HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab",
	400, "bad-request"},
    {"hidden route",
	"GET /i/..%2fp/ok/bad HTTP/1.1\r\nHost: a\r\nConnection: "
	"close\r\n\r\n",
	404, "unknown-route"},
    {"unknown host",
	"GET /i/ok/bad HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 404,
	"unknown-host"},
    {"no HTTP", "hello\r\n\r\n", 0, ""},
};

/* Guards against requests that two HTTP servers interpret differently. */
static void
test_refused(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(bad_requests) / sizeof(*bad_requests);
	     i++) {
		const struct bad_request *b = &bad_requests[i];
		struct reply r = rig_send_raw(b->text);
		const char *kind = rig_field(&r, "X-Error-Kind");

		if ((b->status != 0 && r.status != b->status) ||
		    (b->status == 0 && r.status == 200) ||
		    (*b->kind != '\0' && strcmp(kind, b->kind) != 0) ||
		    /* libmicrohttpd sends some of its own errors twice. */
		    (*b->kind != '\0' && r.rest != 0))
			fail_msg("%s: got %.300s", b->what, r.p);
		rig_reply_free(&r);
	}
	assert_int_equal(rig_request_count("/p/ok/bad"), 0);
	assert_int_equal(rig_request_count("/i/ok/bad"), 0);
}

/* Guards against a NUL byte that ends a field early for only one parser. */
static void
test_nul(void **state)
{
	static const char text[] =
	    "GET /i/echohead/nul HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	    "X-A: 1\0002\r\n\r\n";
	struct reply r;

	(void)state;
	/* libmicrohttpd cuts the value at the NUL; the rest must be gone. */
	r = rig_read(rig_open(text, sizeof(text) - 1), false);
	if (r.status == 200) {
		assert_true(rig_body_contains(&r, "\r\nX-A: 1\r\n"));
		assert_int_equal(strlen(r.body), r.body_n);
	}
	rig_reply_free(&r);
}

/* Guards against passing on a malformed chunked body as complete. */
static void
test_bad_chunks(void **state)
{
	static const char *const bodies[] = {"zz\r\nab\r\n0\r\n\r\n",
	    "-1\r\nab\r\n", "fffffffffffffffff\r\nab\r\n", "2\r\nabX\r\n0\r\n"};
	char text[256];

	(void)state;
	for (size_t i = 0; i < sizeof(bodies) / sizeof(*bodies); i++) {
		struct reply r;

		snprintf(text, sizeof(text),
		    HEAD("/p/ok/chunk") "Transfer-Encoding: chunked\r\n\r\n%s",
		    bodies[i]);
		r = rig_send_raw(text);
		if (r.status == 200)
			fail_msg("accepted: %s", bodies[i]);
		rig_reply_free(&r);
	}
	assert_int_equal(rig_request_count("/p/ok/chunk"), 0);
}

/* Guards against a head that uses up the memory of the process. */
static void
test_large_head(void **state)
{
	char *text = malloc(200000);
	struct reply r;
	int n = sprintf(text, "GET /i/ok/large HTTP/1.1\r\nHost: a\r\n");

	(void)state;
	while (n < 150000)
		n += sprintf(text + n, "X-%d: %0100d\r\n", n, n);
	sprintf(text + n, "\r\n");
	r = rig_send_raw(text);
	assert_true(r.status == 0 || r.status >= 400);
	assert_int_equal(rig_request_count("/i/ok/large"), 0);
	rig_reply_free(&r);
	free(text);
}

/* Guards against callers that occupy a connection by sending very slowly. */
static void
test_slow_head(void **state)
{
	static const char text[] = "GET /i/ok/slow HTTP/1.1\r\nHost: a\r\nX: ";
	int fd = rig_open(text, sizeof(text) - 1);
	int sent = 0;

	(void)state;
	/* Without the timeout, the loop sends 2,000 bytes, one every 10 ms. */
	while (sent < 2000 && send(fd, "x", 1, MSG_NOSIGNAL) == 1) {
		usleep(10000);
		sent++;
	}
	close(fd);
	assert_true(sent < 2000);
	assert_int_equal(rig_request_count("/i/ok/slow"), 0);
}

/* Guards against a slow body that is still read after the deadline. */
static void
test_slow_body(void **state)
{
	static const char text[] =
	    HEAD("/u/echo/slow") "Content-Length: 3000\r\n\r\n";
	int fd = rig_open(text, sizeof(text) - 1);
	int sent = 0;

	(void)state;
	while (sent < 2999 && send(fd, "x", 1, MSG_NOSIGNAL) == 1) {
		usleep(10000);
		sent++;
	}
	close(fd);
	assert_true(sent < 2999);
	assert_int_equal(rig_request_count("/u/echo/slow"), 0);
}

/* Position after the first @what in @p. */
static const char *
after(const char *p, const char *what)
{
	const char *found = strstr(p, what);

	if (found != NULL)
		return (found + strlen(what));
	fail_msg("no %s in %s", what, p);
	return ("");
}

/* Guards against answers out of order and lost pipelined requests. */
static void
test_pipelined(void **state)
{
	static const char text[] =
	    "GET /i/slow/p1 HTTP/1.1\r\nHost: a\r\n\r\n"
	    "POST /p/echo/p2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
	    "two"
	    "GET /i/none/p3 HTTP/1.1\r\nHost: x\r\n\r\n"
	    "GET /i/chunked/p4 HTTP/1.1\r\nHost: a\r\n"
	    "Connection: close\r\n\r\n";
	struct reply r = rig_send_raw(text);
	const char *p = r.p;

	(void)state;
	p = after(p, "\r\n\r\nok");
	p = after(p, "\r\n\r\ntwo");
	p = after(p, "unknown-host");
	p = after(p, "HTTP/1.1 200");
	after(p, "ab");
	rig_reply_free(&r);
}

/* Guards against running a second request smuggled behind a refused one. */
static void
test_no_request_after_refusal(void **state)
{
	static const char text[] =
	    HEAD("/p/ok/first") "Content-Length: 5\r\nTransfer-Encoding: "
				"chunked\r\n\r\n0\r\n\r\n" HEAD(
				    "/p/ok/hidden") "Content-Length: 0\r\n\r\n";
	struct reply r = rig_send_raw(text);

	(void)state;
	assert_int_equal(r.status, 400);
	assert_null(strstr(r.p + 1, "HTTP/1.1 "));
	assert_int_equal(rig_request_count("/p/ok/hidden"), 0);
	rig_reply_free(&r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_refused),
	    cmocka_unit_test(test_nul),
	    cmocka_unit_test(test_bad_chunks),
	    cmocka_unit_test(test_large_head),
	    cmocka_unit_test(test_slow_head),
	    cmocka_unit_test(test_slow_body),
	    cmocka_unit_test(test_pipelined),
	    cmocka_unit_test(test_no_request_after_refusal),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
