/*
 * Tests requests with large heads on kept connections. The memory of a caller's
 * connection holds the request's head and the answer's. When the answer's head
 * did not fit, the request had run and its connection was closed without an
 * answer.
 */
#include "lib/rig.h"

#define HEAD_MAX (16 * 1024)
#define HEAD_MIN 1000
#define HEAD_STEP 1000
#define PIPELINED_BYTES 40000
/* Room for the largest head, a body and the requests behind it. */
#define TEXT_MAX (128 * 1024)
/* Fields of an answer's head: none, about 2 KB, about 15 KB. */
static const int answer_fields[] = {0, 13, 99};

/** enum part - what a request head is filled with */
enum part {
	PART_COOKIE,
	PART_FIELD,
	PART_ARGUMENT,
};

/**
 * struct shape - heads that are filled with parts of one size
 * @name: appears in the request path
 * @part: kind of the parts
 * @part_bytes: size of a part
 * @served_to: heads of up to this size have to be served
 */
struct shape {
	const char *name;
	enum part part;
	int part_bytes;
	int served_to;
};

static const struct shape shapes[] = {
    {"cookies-100", PART_COOKIE, 100, HEAD_MAX},
    {"cookies-50", PART_COOKIE, 50, HEAD_MAX},
    {"cookies-20", PART_COOKIE, 20, 9000},
    {"cookies-8", PART_COOKIE, 8, 4000},
    {"fields-60", PART_FIELD, 60, HEAD_MAX},
    {"fields-12", PART_FIELD, 12, 7000},
    {"arguments-50", PART_ARGUMENT, 50, HEAD_MAX},
    {"arguments-20", PART_ARGUMENT, 20, 11000},
    {"arguments-4", PART_ARGUMENT, 4, 2000},
};
#define N_SHAPES (sizeof(shapes) / sizeof(*shapes))

/* Appends parts up to @end bytes of @out in all; returns the new length. */
static int
fill(char *out, int n, const struct shape *s, int end)
{
	const char *format = s->part == PART_COOKIE ? "c=%0*d; "
	    : s->part == PART_FIELD                 ? "x:%0*d\r\n"
						    : "a=%0*d&";
	int framing = s->part == PART_ARGUMENT ? 3 : 4;

	while (n + s->part_bytes <= end)
		n += sprintf(out + n, format, s->part_bytes - framing, 1);
	return (n);
}

/* A request whose head has @head_bytes or slightly less. */
static char *
request_text(const struct shape *s, const char *path, int head_bytes,
    const char *fields, const char *body)
{
	char *text = calloc(1, TEXT_MAX);
	char rest[256];
	int n, end;

	snprintf(rest, sizeof(rest),
	    " HTTP/1.1\r\nHost: a\r\n%sContent-Length: %zu\r\n", fields,
	    strlen(body));
	end = head_bytes - (int)strlen(rest) - 2;
	n = sprintf(text, "POST %s", path);
	if (s->part == PART_ARGUMENT) {
		n += sprintf(text + n, "?");
		n = fill(text, n, s, end);
	}
	n += sprintf(text + n, "%s", rest);
	end = head_bytes - 2;
	if (s->part == PART_COOKIE) {
		n += sprintf(text + n, "Cookie: ");
		n = fill(text, n, s, end - 4);
		n += sprintf(text + n, "e=1\r\n");
	} else if (s->part == PART_FIELD) {
		n = fill(text, n, s, end);
	}
	sprintf(text + n, "\r\n%s", body);
	return (text);
}

static void
check_reply(const struct shape *s, const char *path, const struct reply *r,
    int head_bytes, int fields)
{
	int runs = rig_request_count(path);
	bool served = r->status == 200 && r->complete;

	if (runs > 1 || (runs == 1 && r->status == 0))
		fail_msg("%s, %d bytes: run %d times, status %u", path,
		    head_bytes, runs, r->status);
	if (runs == 0 && r->status != 0 && r->status != 431)
		fail_msg("%s, %d bytes: not run, status %u", path, head_bytes,
		    r->status);
	if (head_bytes <= s->served_to && fields < 99 && !served)
		fail_msg("%s, %d bytes: not served, status %u", path,
		    head_bytes, r->status);
	if (r->status == 200)
		assert_int_equal(r->body_n, 2);
}

/* The request is the second one of its connection. */
static void
send_second(const struct shape *s, int head_bytes, int fields)
{
	char path[128];
	char *text;
	int fd = rig_connect_to(rig.port, 0);
	struct reply r = rig_exchange(fd,
	    "POST /p/ok/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");

	assert_int_equal(r.status, 200);
	rig_reply_free(&r);
	snprintf(path, sizeof(path), "/p/fields%d/%s-%d", fields, s->name,
	    head_bytes);
	text = request_text(s, path, head_bytes, "", "amount=2");
	r = rig_exchange(fd, text);
	check_reply(s, path, &r, head_bytes, fields);
	rig_reply_free(&r);
	close(fd);
	free(text);
}

/* Whatever the head holds, a request that was run is answered. */
static void
test_every_size(void **state)
{
	(void)state;
	for (size_t i = 0; i < N_SHAPES; i++) {
		for (int n = HEAD_MIN; n <= HEAD_MAX; n += HEAD_STEP) {
			for (int k = 0; k < 3; k++)
				send_second(&shapes[i], n, answer_fields[k]);
		}
	}
}

/* The largest heads, with a large answer head: the answer arrives whole. */
static void
test_both_large(void **state)
{
	static const size_t indices[] = {0, 4, 6};

	(void)state;
	for (size_t i = 0; i < 3; i++) {
		const struct shape *s = &shapes[indices[i]];
		char path[128];
		char *text;

		snprintf(path, sizeof(path), "/p/fields99/both-%s", s->name);
		text = request_text(
		    s, path, HEAD_MAX, "Connection: close\r\n", "x");
		rig_expect_body(rig_send_raw(text), "ok");
		free(text);
	}
}

/*
 * Guards against an answer that is lost because of requests that were received
 * behind the head: they occupy the same memory.
 */
static void
test_pipelined_behind(void **state)
{
	static const char next[] =
	    "GET /i/ok/behind HTTP/1.1\r\nHost: a\r\n\r\n";

	(void)state;
	for (size_t i = 0; i < N_SHAPES; i++) {
		const struct shape *s = &shapes[i];
		char path[128];
		int fd = rig_connect_to(rig.port, 0);
		struct reply r;
		char *text;
		size_t n;

		snprintf(path, sizeof(path), "/p/fields13/behind-%s", s->name);
		text = request_text(s, path, s->served_to * 3 / 4, "", "x");
		n = strlen(text);
		while (n + sizeof(next) < PIPELINED_BYTES)
			n += (size_t)sprintf(text + n, "%s", next);
		r = rig_exchange(fd, text);
		assert_int_equal(r.status, 200);
		rig_reply_free(&r);
		close(fd);
		free(text);
	}
}

/*
 * The largest heads of both sides and pipelined requests do not fit together:
 * the caller gets an error, as the request has run.
 */
static void
test_no_room(void **state)
{
	static const char *const bodies[] = {"", "x"};

	(void)state;
	for (int i = 0; i < 2; i++) {
		int fd = rig_connect_to(rig.port, 0);
		char path[64];
		struct reply r;
		char *text;
		size_t n;

		snprintf(path, sizeof(path), "/p/fields99/no-room-%d", i);
		text = request_text(&shapes[0], path, HEAD_MAX, "", bodies[i]);
		n = strlen(text);
		while (n < PIPELINED_BYTES)
			n += (size_t)sprintf(text + n,
			    "GET /i/ok/behind HTTP/1.1\r\nHost: a\r\n\r\n");
		r = rig_exchange(fd, text);
		assert_int_equal(rig_request_count(path), 1);
		assert_int_equal(r.status, 502);
		assert_string_equal(
		    rig_field(&r, "X-Error-Kind"), "upstream-answer");
		assert_string_equal(rig_field(&r, "X-Outcome"), "unknown");
		rig_reply_free(&r);
		close(fd);
		free(text);
	}
}

/* A body of 30 KB that arrives together with the head needs no room later. */
static void
test_body_behind(void **state)
{
	char body[30001];

	(void)state;
	memset(body, 'b', sizeof(body) - 1);
	body[sizeof(body) - 1] = '\0';
	for (size_t i = 0; i < N_SHAPES; i++) {
		char path[128];
		char *text;

		snprintf(
		    path, sizeof(path), "/p/fields13/body-%s", shapes[i].name);
		text = request_text(&shapes[i], path,
		    shapes[i].served_to * 3 / 4, "Connection: close\r\n", body);
		rig_expect_body(rig_send_raw(text), "ok");
		free(text);
	}
}

/* Guards against heads that are closed on without an answer or a count. */
static void
test_too_large(void **state)
{
	char *text = request_text(
	    &shapes[3], "/p/ok/too-large", 11500, "Connection: close\r\n", "x");
	struct reply r = rig_send_raw(text);

	(void)state;
	if (r.status != 0)
		assert_int_equal(r.status, 431);
	assert_int_equal(rig_request_count("/p/ok/too-large"), 0);
	rig_reply_free(&r);
	free(text);
}

/*
 * Guards against a process that exceeds its memory, as each connection that is
 * kept after a request occupies all of its memory: with many connections, each
 * one is closed after its answer.
 */
static void
test_crowded(void **state)
{
	static const char text[] =
	    "GET /i/ok/crowded HTTP/1.1\r\nHost: a\r\n\r\n";
	int fds[3];

	(void)state;
	rig.shared.max_kept_callers = 2;
	for (int i = 0; i < 3; i++) {
		struct reply r;

		fds[i] = rig_connect_to(rig.port, 0);
		r = rig_exchange(fds[i], text);
		assert_int_equal(r.status, 200);
		assert_string_equal(
		    rig_field(&r, "Connection"), i < 2 ? "" : "close");
		rig_reply_free(&r);
	}
	rig.shared.max_kept_callers = 0;
	for (int i = 0; i < 3; i++)
		close(fds[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_every_size),
	    cmocka_unit_test(test_both_large),
	    cmocka_unit_test(test_pipelined_behind),
	    cmocka_unit_test(test_no_room),
	    cmocka_unit_test(test_body_behind),
	    cmocka_unit_test(test_too_large),
	    cmocka_unit_test(test_crowded),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
