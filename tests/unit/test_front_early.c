/*
 * Upstreams that answer before they have read the request body. The caller
 * sends the complete body before it reads, as most HTTP clients do, and must
 * receive the complete answer.
 */
#include "lib/rig.h"

#include <poll.h>

#include "platform/field_names.h"

#define BODY_SIZE (32 * 1024 * 1024)
#define ERROR_BODY_SIZE 1000000
/* A body, and how much of it the upstream "cutonce" reads. */
#define CUT_BODY 50000
#define CUT_AFTER 20000
#define MAX_GROWTH_BYTES (12 * 1024 * 1024)

static long
resident_bytes(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	long pages = 0;

	assert_non_null(f);
	assert_int_equal(fscanf(f, "%*d %ld", &pages), 1);
	fclose(f);
	return (pages * sysconf(_SC_PAGESIZE));
}

/* Sends the head and the complete body, then reads the answer. */
static struct reply
upload(const char *path)
{
	static const char block[64 * 1024];
	long before = resident_bytes();
	long growth;
	char fields[64];
	size_t sent = 0;
	int fd;

	snprintf(fields, sizeof(fields),
	    "X-Timeout-Ms: 5000\r\nContent-Length: %d\r\n", BODY_SIZE);
	fd = rig_request("POST", "a", path, fields, NULL);
	while (sent < BODY_SIZE) {
		ssize_t k = send(fd, block, sizeof(block), MSG_NOSIGNAL);

		if (k <= 0)
			break;
		sent += (size_t)k;
	}
	growth = resident_bytes() - before;
	print_message("%s: sent %zu, grew %ld\n", path, sent, growth);
	assert_true(growth < MAX_GROWTH_BYTES);
	return (rig_read(fd, false));
}

/* Guards against losing a 200 answer or holding it until the deadline. */
static void
test_success(void **state)
{
	(void)state;
	rig_expect_body(upload("/p/early/1"), "ok");
}

/* As above, with an upstream that never reads the body. */
static void
test_success_body_unread(void **state)
{
	(void)state;
	rig_expect_body(upload("/p/earlydeaf/1"), "ok");
}

static void
expect_error(const char *path)
{
	struct reply r = upload(path);

	if (r.status != 413 || !r.complete || r.body_n != ERROR_BODY_SIZE)
		fail_msg("%s: status %u, %zu bytes, %.300s", path, r.status,
		    r.body_n, r.p);
	for (size_t i = 0; i < r.body_n; i++)
		assert_int_equal(r.body[i], 'e');
	rig_reply_free(&r);
}

/* Guards against losing an error answer larger than the answer buffer. */
static void
test_error(void **state)
{
	(void)state;
	expect_error("/p/earlybad/1");
}

/* As above, with an upstream that never reads the body. */
static void
test_error_body_unread(void **state)
{
	(void)state;
	expect_error("/p/earlybaddeaf/1");
}

/* As above, with an answer after which the connection ends. */
static void
test_error_and_close(void **state)
{
	(void)state;
	expect_error("/p/earlybadclose/1");
	expect_error("/p/earlybadclosedeaf/1");
}

/* The last bytes of each body, as rawup expects. */
static const struct bstr body_end = {"end", 3};

/* A body has two parts. */
#define PART_BYTES 20000
#define PART_HEAD "4e20\r\n" /* PART_BYTES in hexadecimal */

/**
 * struct early_case - an early answer to a request with a body
 * @status: status of the answer
 * @framing: framing of the answer, as in rawup's readon
 * @answered: the caller must receive the answer; without it, libcurl has
 *	stopped sending and the stand-in waits for the rest of the body before
 *	it ends the answer
 */
struct early_case {
	unsigned status;
	const char *framing;
	bool answered;
};

static const struct early_case early_cases[] = {
    {200, "whole", true},
    {200, "whole-close", true},
    {200, "length", true},
    {200, "length-close", true},
    {200, "chunked", true},
    {200, "chunked-close", true},
    {200, "none", true},
    {200, "none-close", true},
    {413, "whole", true},
    {413, "whole-close", true},
    {413, "length", false},
    {413, "length-close", true},
    {413, "chunked", false},
    {413, "chunked-close", true},
    {413, "none", true},
    {413, "none-close", true},
    {500, "whole", true},
    {500, "whole-close", true},
    {500, "length", false},
    {500, "length-close", true},
    {500, "chunked", false},
    {500, "chunked-close", true},
    {500, "none", true},
    {500, "none-close", true},
};

static void
send_part(int fd, bool chunked, const char *part)
{
	if (chunked)
		send(fd, PART_HEAD, strlen(PART_HEAD), MSG_NOSIGNAL);
	send(fd, part, PART_BYTES, MSG_NOSIGNAL);
	if (chunked)
		send(fd, "\r\n", 2, MSG_NOSIGNAL);
}

/* Sends a request whose answer begins in the middle of its body. */
static void
play_early(const struct early_case *e, bool chunked, bool leaves)
{
	char part[PART_BYTES], path[96], fields[96];
	int fd;

	memset(part, 'b', sizeof(part));
	snprintf(path, sizeof(path), "/p/readon-%u-%s/%s%s", e->status,
	    e->framing, chunked ? "chunked" : "length", leaves ? "-left" : "");
	snprintf(fields, sizeof(fields), "X-Deadline-Ms: %d\r\n%s\r\n",
	    e->answered ? 8000 : 500,
	    chunked ? "Transfer-Encoding: chunked" : "Content-Length: 40000");
	fd = rig_request("POST", "a", path, fields, NULL);
	send_part(fd, chunked, part);
	rig_wait_counter("begun", path);
	if (leaves) {
		close(fd);
	} else {
		struct reply r;

		/* The head of the answer arrives before the rest is sent. */
		usleep(5000);
		memcpy(part + PART_BYTES - body_end.n, body_end.p, body_end.n);
		send_part(fd, chunked, part);
		if (chunked)
			send(fd, "0\r\n\r\n", 5, MSG_NOSIGNAL);
		r = rig_read(fd, false);
		if (e->answered && (r.status != e->status || !r.complete))
			fail_msg("%s: %.300s", path, r.p);
		rig_reply_free(&r);
	}
	rig_wait_counter("read", path);
	if (leaves && rig_request_count(path) != 0)
		fail_msg("%s: complete for the upstream", path);
	if (rig_read_counter("cut", path) != 0)
		fail_msg("%s: complete for the upstream and cut", path);
}

/*
 * Guards against an incomplete request body that looks complete to the
 * upstream, when it answers in the middle of the body or the caller leaves
 * there.
 */
static void
test_incomplete_body(void **state)
{
	const struct upstream_protocol *before = rig.shared.protocol;

	(void)state;
	rig.shared.protocol = field_names_protocol();
	for (size_t i = 0; i < sizeof(early_cases) / sizeof(*early_cases);
	     i++) {
		for (int k = 0; k < 4; k++)
			play_early(&early_cases[i], (k & 1) != 0, (k & 2) != 0);
	}
	rig.shared.protocol = before;
}

/*
 * Guards against an attempt that waits for its timeout, because its upstream
 * closed the connection while the caller had not sent the rest of the body.
 * Nothing of the body is left unread, so that the connection is not reset.
 */
static void
test_closed_during_upload(void **state)
{
	static char body[CUT_BODY];
	const char *head = "PUT /i/cutonce/clean HTTP/1.1\r\nHost: a\r\n"
			   "Connection: close\r\nContent-Length: 50000\r\n\r\n";
	int64_t end_ms = clk_mono_ms() + LONG_TIMEOUT_MS / 2;
	uint64_t retries;
	struct reply r;
	int fd;

	(void)state;
	rig_fill_retry_budget("a");
	retries = metrics_get(&rig.metrics, METRICS_RETRIES);
	memset(body, 'b', sizeof(body));
	fd = rig_open(head, strlen(head));
	send(fd, body, CUT_AFTER, MSG_NOSIGNAL);
	while (metrics_get(&rig.metrics, METRICS_RETRIES) == retries) {
		assert_true(clk_mono_ms() < end_ms);
		usleep(1000);
	}
	send(fd, body, CUT_BODY - CUT_AFTER, MSG_NOSIGNAL);
	r = rig_read(fd, false);
	assert_int_equal(r.status, 200);
	assert_int_equal(r.body_n, CUT_BODY);
	rig_reply_free(&r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_success),
	    cmocka_unit_test(test_success_body_unread),
	    cmocka_unit_test(test_error),
	    cmocka_unit_test(test_error_body_unread),
	    cmocka_unit_test(test_error_and_close),
	    cmocka_unit_test(test_incomplete_body),
	    cmocka_unit_test(test_closed_during_upload),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
