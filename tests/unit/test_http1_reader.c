#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "load/body_pattern.h"
#include "load/http1_reader.h"

/*
 * Reads @text in parts of @step bytes and returns the last event other than
 * HTTP1_MORE.
 */
static enum http1_event
read_all(
    struct http1_reader *h, const char *text, size_t step, struct bbuf *body)
{
	size_t n = strlen(text);
	enum http1_event e = HTTP1_MORE, last = HTTP1_MORE;

	for (size_t i = 0; i < n; i += step) {
		struct bstr in = {text + i, n - i < step ? n - i : step};

		while ((e = http1_read(h, &in)) != HTTP1_MORE) {
			last = e;
			if (e == HTTP1_BODY)
				bbuf_add(body, h->data);
			if (e == HTTP1_END || e == HTTP1_ERROR)
				return (e);
		}
	}
	return (last);
}

/* Guards against a response being parsed differently when it is split. */
static void
test_split_input(void **state)
{
	const char *const texts[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 11\r\nX-Load: 3\r\n\r\n"
	    "hello world",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Load: 3\r\n\r\n"
	    "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nA: b\r\n\r\n",
	};

	(void)state;
	for (size_t t = 0; t < 2; t++) {
		for (size_t step = 1; step <= strlen(texts[t]); step++) {
			struct bbuf body;
			struct http1_reader h;

			bbuf_init(&body);
			http1_init(&h, true);
			assert_int_equal(
			    read_all(&h, texts[t], step, &body), HTTP1_END);
			assert_true(
			    bstr_eq(bbuf_str(&body), BSTR("hello world")));
			assert_int_equal(h.status, 200);
			assert_true(
			    bstr_eq(http1_header(&h, "x-load"), BSTR("3")));
			http1_finish(&h);
			bbuf_finish(&body);
		}
	}
}

/* Guards against accepting a truncated response as complete. */
static void
test_truncated(void **state)
{
	const char *const texts[] = {
	    "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\nhello",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
	    "chunked\r\n\r\n5\r\nhello\r\n",
	    "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
	    "chunked\r\n\r\n5\r\nhello\r\n"
	    "0\r\n",
	    "HTTP/1.1 200 OK\r\n",
	};

	(void)state;
	for (size_t t = 0; t < 4; t++) {
		struct bbuf body;
		struct http1_reader h;

		bbuf_init(&body);
		http1_init(&h, true);
		assert_int_not_equal(
		    read_all(&h, texts[t], 1000, &body), HTTP1_END);
		assert_false(http1_complete_at_close(&h));
		http1_finish(&h);
		bbuf_finish(&body);
	}
}

/* Guards against matching only the end of a query parameter's name. */
static void
test_query(void **state)
{
	struct bstr t = BSTR("/a?xbytes=1&bytes=20&pace_us=x");

	(void)state;
	assert_int_equal(http1_query(t, "bytes", 7), 20);
	assert_int_equal(http1_query(t, "pace_us", 7), 7);
	assert_int_equal(http1_query(BSTR("/bytes=3"), "bytes", 7), 7);
}

/* Guards against accepting a byte of another request or position. */
static void
test_body_pattern(void **state)
{
	uint64_t a = pattern_seed(BSTR("r1")), b = pattern_seed(BSTR("r2"));
	char buf[3000];

	(void)state;
	pattern_fill(a, 0, buf, sizeof(buf));
	for (size_t i = 0; i < 40; i++)
		assert_true(pattern_check(a, i, buf + i, sizeof(buf) - i));
	assert_false(pattern_check(b, 0, buf, sizeof(buf)));
	assert_false(pattern_check(a, 1, buf, sizeof(buf)));
	buf[2999] ^= 1;
	assert_false(pattern_check(a, 0, buf, sizeof(buf)));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_split_input),
	    cmocka_unit_test(test_truncated),
	    cmocka_unit_test(test_query),
	    cmocka_unit_test(test_body_pattern),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
