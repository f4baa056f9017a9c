/*
 * Upstreams that answer before they have read the request body. The caller
 * sends the complete body before it reads, as most HTTP clients do, and must
 * receive the complete answer.
 */
#include "lib/rig.h"

#include <poll.h>

#define BODY_SIZE (32 * 1024 * 1024)
#define ERROR_BODY_SIZE 1000000
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

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_success),
	    cmocka_unit_test(test_success_body_unread),
	    cmocka_unit_test(test_error),
	    cmocka_unit_test(test_error_body_unread),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
