/* Log writer on a full pipe, escaping and JSON messages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/capture.h"
#include "ops/log_writer.h"

/* Far more than fits into the buffer of a pipe. */
#define MANY_LINES 20000

static const struct log_writer_desc desc = {.json = true, .vm = "vm1"};

/*
 * Guards against a log writer that blocks when nobody reads the pipe, and
 * against lines that are lost silently: a full pipe drops lines, and the next
 * line that fits is preceded by the number of dropped lines.
 */
static void
test_full_pipe(void **state)
{
	uint64_t dropped;
	struct capture c;
	char expected[64];
	char *text;

	(void)state;
	capture_begin(&c);
	log_writer_setup(&desc);
	for (int i = 0; i < MANY_LINES; i++)
		log_writer_line(BSTR("log line without content\n"));
	dropped = log_writer_dropped();
	free(capture_take(&c));
	log_writer_line(BSTR("after\n"));
	log_writer_line(BSTR("again\n"));
	text = capture_end(&c);
	snprintf(expected, sizeof(expected),
	    "{\"part\":\"log\",\"msg\":\"lines dropped\",\"count\":%llu}\n",
	    (unsigned long long)dropped);
	assert_true(dropped > 0 && dropped < MANY_LINES);
	assert_true(g_str_has_prefix(text, expected));
	assert_string_equal(text + strlen(expected), "after\nagain\n");
	free(text);
}

/*
 * Guards against log injection: bytes that a caller sent must neither end the
 * line nor add a field to it.
 */
static void
test_quote(void **state)
{
	static const char bytes[] = "a\"b\\c\nd\x01\xff";
	struct bbuf b;
	json_t *v;

	(void)state;
	bbuf_init(&b);
	log_writer_quote(&b, (struct bstr){bytes, sizeof(bytes) - 1});
	assert_null(memchr(b.p, '\n', b.n));
	v = json_loadb(b.p, b.n, JSON_DECODE_ANY, NULL);
	assert_non_null(v);
	assert_memory_equal(json_string_value(v), "a\"b\\c\nd\x01", 8);
	json_decref(v);
	bbuf_finish(&b);
}

/*
 * A message logged through GLib becomes one JSON object with its part in a
 * separate field. GLib accepts a log writer only once per process; the one that
 * test_full_pipe() installed is still in use.
 */
static void
test_message(void **state)
{
	struct capture c;
	json_t *line;
	char *text;

	(void)state;
	capture_begin(&c);
	g_message("store: answers again");
	text = capture_end(&c);
	line = json_loads(text, 0, NULL);
	assert_non_null(line);
	assert_string_equal(
	    json_string_value(json_object_get(line, "part")), "store");
	assert_string_equal(
	    json_string_value(json_object_get(line, "msg")), "answers again");
	assert_string_equal(
	    json_string_value(json_object_get(line, "vm")), "vm1");
	json_decref(line);
	free(text);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_full_pipe),
	    cmocka_unit_test(test_quote),
	    cmocka_unit_test(test_message),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
