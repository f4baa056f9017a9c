/*
 * An upstream that answers before it has read the request body. The caller
 * sends the whole body before it reads, as most HTTP clients do, and must get
 * the whole answer.
 */
#include "lib/rig.h"

#include <poll.h>

#define BODY_SIZE (32 * 1024 * 1024)
#define BAD_SIZE 1000000
#define MAX_GROWTH (12 * 1024 * 1024)

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

/* Sends the head and all of the body, then reads. */
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
	assert_true(growth < MAX_GROWTH);
	return (rig_read(fd, false));
}

/* Guards against a good answer that is lost, or held until the deadline. */
static void
test_good(void **state)
{
	(void)state;
	rig_expect_body(upload("/p/early/1"), "ok");
}

static void
test_good_deaf(void **state)
{
	(void)state;
	rig_expect_body(upload("/p/earlydeaf/1"), "ok");
}

static void
expect_bad(const char *path)
{
	struct reply r = upload(path);

	if (r.status != 413 || !r.complete || r.body_n != BAD_SIZE)
		fail_msg("%s: status %u, %zu bytes, %.300s", path, r.status,
		    r.body_n, r.p);
	for (size_t i = 0; i < r.body_n; i++)
		assert_int_equal(r.body[i], 'e');
	rig_done(&r);
}

/* Guards against a refusal that is too large for the answer buffer. */
static void
test_bad(void **state)
{
	(void)state;
	expect_bad("/p/earlybad/1");
}

static void
test_bad_deaf(void **state)
{
	(void)state;
	expect_bad("/p/earlybaddeaf/1");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_good),
	    cmocka_unit_test(test_good_deaf),
	    cmocka_unit_test(test_bad),
	    cmocka_unit_test(test_bad_deaf),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
