#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "front/hop_headers.h"
#include "front/request_head.h"
#include "front/response_head.h"

/* Parses a head line by line; returns the verdict of the last line read. */
static enum response_head_verdict
parse_lines(struct response_head *h, const char *text)
{
	enum response_head_verdict v = RESPONSE_HEAD_MORE;

	while (*text != '\0' && v != RESPONSE_HEAD_BAD) {
		const char *end = strchr(text, '\n');
		size_t n =
		    end == NULL ? strlen(text) : (size_t)(end - text) + 1;

		v = response_head_line(h, (struct bstr){text, n});
		text += n;
	}
	return (v);
}

static enum response_head_verdict
verdict(const char *text, bool head_request)
{
	struct response_head h;
	enum response_head_verdict v;

	response_head_init(&h, head_request);
	v = parse_lines(&h, text);
	response_head_finish(&h);
	return (v);
}

#define STATUS_OK "HTTP/1.1 200 OK\r\n"

/* Guards against accepting a response whose length is ambiguous. */
static void
test_framing(void **state)
{
	(void)state;
	assert_int_equal(verdict(STATUS_OK "Content-Length: 3\r\n\r\n", false),
	    RESPONSE_HEAD_FINAL);
	assert_int_equal(
	    verdict(STATUS_OK "transfer-encoding: Chunked\r\n\r\n", false),
	    RESPONSE_HEAD_FINAL);
	assert_int_equal(verdict(STATUS_OK "\r\n", false), RESPONSE_HEAD_BAD);
	assert_int_equal(verdict(STATUS_OK "\r\n", true), RESPONSE_HEAD_FINAL);
	assert_int_equal(
	    verdict("HTTP/1.1 304 X\r\n\r\n", false), RESPONSE_HEAD_FINAL);
	assert_int_equal(
	    verdict("HTTP/1.1 101 X\r\n\r\n", false), RESPONSE_HEAD_BAD);
	assert_int_equal(
	    verdict("HTTP/1.1 103 X\r\n\r\n", false), RESPONSE_HEAD_INTERIM);
	assert_int_equal(verdict("HTTP/2 200 X\r\n", false), RESPONSE_HEAD_BAD);
	assert_int_equal(
	    verdict("HTTP/1.1 20 X\r\n", false), RESPONSE_HEAD_BAD);
	assert_int_equal(
	    verdict("HTTP/1.1 2000\r\n", false), RESPONSE_HEAD_BAD);
	assert_int_equal(
	    verdict(STATUS_OK STATUS_OK, false), RESPONSE_HEAD_BAD);
	assert_int_equal(
	    verdict(STATUS_OK "Content-Length: 9223372036854775808\r\n", false),
	    RESPONSE_HEAD_BAD);
}

/* Guards against fields of a 1xx head that end up in the final head. */
static void
test_interim(void **state)
{
	struct response_head h;

	(void)state;
	response_head_init(&h, false);
	assert_int_equal(
	    parse_lines(&h,
		"HTTP/1.1 103 E\r\nContent-Length: 9\r\nX-A: "
		"1\r\n\r\n" STATUS_OK "Content-Length: 2\r\nX-B: 2\r\n\r\n"),
	    RESPONSE_HEAD_FINAL);
	assert_int_equal(h.len, 2);
	assert_int_equal(response_head_find(&h, BSTR("x-a")).n, 0);
	assert_true(bstr_eq(response_head_find(&h, BSTR("x-b")), BSTR("2")));
	/* Trailers are not added to the fields of the head. */
	assert_int_equal(parse_lines(&h, "X-C: 3\r\n"), RESPONSE_HEAD_MORE);
	assert_int_equal(h.n, 1);
	response_head_finish(&h);
}

/* Guards against removing Host because a caller lists it in Connection. */
static void
test_connection_lists(void **state)
{
	struct bstr v = BSTR("close ,\tX-A,, x-b");

	(void)state;
	assert_true(hop_connection_lists(v, BSTR("x-a")));
	assert_true(hop_connection_lists(v, BSTR("X-B")));
	assert_false(hop_connection_lists(v, BSTR("X-C")));
	assert_false(hop_connection_lists(BSTR("Host"), BSTR("host")));
	assert_false(hop_connection_lists(
	    BSTR("idempotency-key"), BSTR("Idempotency-Key")));
}

static void
check_path(const char *in, const char *want)
{
	struct bbuf b;
	bool ok;

	bbuf_init(&b);
	ok = request_head_normalize_path(bstr_from(in), &b);
	assert_int_equal(ok, want != NULL);
	if (ok)
		assert_string_equal(b.p, want);
	bbuf_finish(&b);
}

/* Guards against a path that the upstream resolves to another route. */
static void
test_normalize_path(void **state)
{
	(void)state;
	check_path("/", "/");
	check_path("/a/b/", "/a/b/");
	check_path("//a///b", "/a/b");
	check_path("/a/./b/../c", "/a/c");
	check_path("/%70ay", "/pay");
	check_path("/a/%2e%2e/pay", "/pay");
	check_path("/a%2fb", "/a/b");
	check_path("/..", NULL);
	check_path("/%", NULL);
	check_path("/%4", NULL);
	check_path("/%zz", NULL);
	check_path("/%00", NULL);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_framing),
	    cmocka_unit_test(test_interim),
	    cmocka_unit_test(test_connection_lists),
	    cmocka_unit_test(test_normalize_path),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
