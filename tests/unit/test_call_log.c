/* Tests the log lines about calls, found by the caller's request id. */
#include "lib/rig.h"

#include <jansson.h>
#include <string.h>

#include "front/call_log.h"
#include "lib/capture.h"

#define MANY_CALLS 400
#define SECOND_US 1000000

/* The project's own protocol, extended by a request id field. */
static struct upstream_protocol protocol;

/**
 * struct lines - parsed log
 * @all: array of all lines
 * @left_out: number of dropped lines that they report
 */
struct lines {
	json_t *all;
	int64_t left_out;
};

static struct lines
parse(char *text)
{
	struct lines l = {.all = json_array()};
	char *save = NULL;

	for (char *t = strtok_r(text, "\n", &save); t != NULL;
	     t = strtok_r(NULL, "\n", &save)) {
		json_t *line = json_loads(t, 0, NULL);

		assert_non_null(line);
		l.left_out +=
		    json_integer_value(json_object_get(line, "left_out"));
		json_array_append_new(l.all, line);
	}
	free(text);
	return (l);
}

static const char *
text_of(const json_t *line, const char *key)
{
	const char *s = json_string_value(json_object_get(line, key));

	return (s == NULL ? "" : s);
}

/* Finds the line of an event about a request. */
static const json_t *
find(const struct lines *l, const char *event, const char *id)
{
	size_t i;
	json_t *line;

	json_array_foreach(l->all, i, line)
	{
		if (strcmp(text_of(line, "event"), event) == 0 &&
		    strcmp(text_of(line, "id"), id) == 0)
			return (line);
	}
	fail_msg("no %s line of %s", event, id);
	return (NULL);
}

static void
call(const char *host, const char *path, const char *id)
{
	char fields[96];
	struct reply r;

	snprintf(fields, sizeof(fields), "X-Request-Id: %s\r\n", id);
	r = rig_call("GET", host, path, fields, NULL);
	assert_true(r.status >= 400);
	rig_reply_free(&r);
}

/* Guards against failures that are not logged, or logged without a cause. */
static void
test_failures(void **state)
{
	struct capture c;
	struct lines l;
	const json_t *line;

	(void)state;
	capture_begin(&c);
	call("dead", "/p/ok/x", "id-dead");
	call("nobody", "/p/ok/x", "id-nobody");
	l = parse(capture_end(&c));
	line = find(&l, "attempt-failed", "id-dead");
	assert_string_equal(text_of(line, "kind"), "connect");
	assert_string_equal(text_of(line, "sent"), "not-sent");
	assert_string_equal(text_of(line, "service"), "dead");
	assert_true(strlen(text_of(line, "upstream")) != 0);
	line = find(&l, "end", "id-dead");
	assert_string_equal(text_of(line, "kind"), "connect");
	assert_true(json_integer_value(json_object_get(line, "left_ms")) > 0);
	line = find(&l, "end", "id-nobody");
	assert_string_equal(text_of(line, "kind"), "unknown-host");
	/* The call was refused before its deadline was set. */
	assert_null(json_object_get(line, "left_ms"));
	json_decref(l.all);
}

/* Guards against too many lines per second and dropped lines not counted. */
static void
test_bounded(void **state)
{
	int64_t first = clk_mono_us() / SECOND_US;
	int64_t seconds;
	struct capture c;
	struct lines l;

	(void)state;
	capture_begin(&c);
	for (int i = 0; i < MANY_CALLS; i++)
		call("nobody", "/p/ok/x", "many");
	seconds = clk_mono_us() / SECOND_US - first + 1;
	usleep(SECOND_US);
	call("nobody", "/p/ok/x", "last");
	l = parse(capture_end(&c));
	find(&l, "end", "last");
	assert_in_range(json_array_size(l.all), 1,
	    (size_t)seconds * CALL_LOG_MAX_PER_S + 1);
	assert_int_equal(
	    (int64_t)json_array_size(l.all) + l.left_out, MANY_CALLS + 1);
	json_decref(l.all);
}

static int
setup(void **state)
{
	rig_setup(state);
	protocol = *proto_own();
	protocol.request_id_field = "X-Request-Id";
	rig.shared.protocol = &protocol;
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_failures),
	    cmocka_unit_test(test_bounded),
	};

	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
