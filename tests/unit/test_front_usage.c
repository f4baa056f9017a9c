/* Which attempts of calls count as usage of a workspace, and in which window.
 */
#include "lib/rig.h"

#define KEY "Authorization: Bearer key-a\r\n"
/* The present window has this number while set_window() is in effect. */
#define WINDOW 500

static struct usage_counter *counter;

/* Makes the present window WINDOW for longer than a test takes. */
static void
set_window(void)
{
	atomic_store(&rig.shared.usage_offset_ms,
	    INT64_C(1000000) * WINDOW - clk_mono_ms());
	atomic_store(&rig.shared.usage_window_ms, INT64_C(1000000));
}

static void
use_workspace(void)
{
	char *const keys[] = {"key-a"};
	struct wstab_entry e = {{BSTR("wa"), WSTAB_NO_PRIORITY, NULL}, keys, 1};

	if (counter != NULL)
		usage_counter_unref(counter);
	counter = usage_counter_new();
	e.workspace.usage = counter;
	rig_set_workspaces(&e, 1);
}

/* Sends one request with a key and returns what it added to the counter. */
static uint32_t
usage_of(const char *method, const char *host, const char *path)
{
	uint32_t before = usage_counter_get(counter, WINDOW);
	struct reply r = rig_call(
	    method, host, path, KEY, strcmp(method, "GET") == 0 ? NULL : "b");

	rig_reply_free(&r);
	return (usage_counter_get(counter, WINDOW) - before);
}

/*
 * Guards against counts of requests that no upstream ran, and missing counts of
 * those that one may have run, whatever became of the answer.
 */
static void
test_one_attempt(void **state)
{
	static const struct {
		const char *host;
		const char *path;
		uint32_t usage;
	} cases[] = {
	    {"a", "/p/ok/u", 1},
	    {"a", "/p/refuse/u", 0},
	    {"a", "/p/refusecut/u", 0},
	    {"a", "/p/close/u", 1},
	    {"a", "/p/s500/u", 1},
	    {"dead", "/p/ok/u", 0},
	    {"none", "/p/ok/u", 0},
	    {"full", "/p/ok/u", 0},
	};

	(void)state;
	set_window();
	use_workspace();
	atomic_store(&rig.full, true);
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		uint32_t n = usage_of("POST", cases[i].host, cases[i].path);

		if (n != cases[i].usage)
			fail_msg("%s %s: %u, expected %u", cases[i].host,
			    cases[i].path, n, cases[i].usage);
	}
	atomic_store(&rig.full, false);
}

/* Of two attempts, each counts that an upstream may have run. */
static void
test_two_attempts(void **state)
{
	(void)state;
	set_window();
	rig_clear_workspaces();
	rig_fill_retry_budget("both");
	rig_fill_retry_budget("two");
	use_workspace();
	assert_int_equal(usage_of("GET", "both", "/l/slow/u2"), 2);
	assert_int_equal(rig_request_count("/l/slow/u2"), 2);
	atomic_store(&rig.dead_first, true);
	assert_int_equal(usage_of("GET", "two", "/i/ok/u3"), 1);
	atomic_store(&rig.dead_first, false);
}

/* Guards against work for deployments without usage reports or workspaces. */
static void
test_off(void **state)
{
	struct reply r;

	(void)state;
	set_window();
	use_workspace();
	atomic_store(&rig.shared.usage_window_ms, 0);
	assert_int_equal(usage_of("GET", "a", "/i/ok/off"), 0);
	set_window();
	r = rig_call("GET", "a", "/open/ok/off", "", NULL);
	assert_int_equal(r.status, 200);
	rig_reply_free(&r);
	assert_int_equal(usage_counter_get(counter, WINDOW), 0);
}

static void
wait_for_usage(int64_t window, uint32_t n)
{
	for (int i = 0; i < 2000 && usage_counter_get(counter, window) != n;
	     i++)
		usleep(5000);
	assert_int_equal(usage_counter_get(counter, window), n);
}

/*
 * Guards against a refusal that is taken back from the window in which its
 * answer arrived: the earlier window would be reported too high.
 */
static void
test_refused_in_next_window(void **state)
{
	static const char head[] =
	    "POST /p/refuse/w HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" KEY
	    "Content-Length: 1\r\n\r\n";
	struct reply r;
	int fd;

	(void)state;
	set_window();
	use_workspace();
	assert_int_equal(usage_of("POST", "a", "/p/ok/w1"), 1);
	/* The upstream refuses it when its body is complete. */
	fd = rig_open(head, sizeof(head) - 1);
	wait_for_usage(WINDOW, 2);
	atomic_fetch_add(&rig.shared.usage_offset_ms, 1000000);
	assert_int_equal(usage_of("POST", "a", "/p/ok/w2"), 0);
	assert_int_equal(send(fd, "b", 1, MSG_NOSIGNAL), 1);
	r = rig_read(fd, false);
	assert_int_equal(r.status, 503);
	rig_reply_free(&r);
	assert_int_equal(usage_counter_get(counter, WINDOW), 1);
	assert_int_equal(usage_counter_get(counter, WINDOW + 1), 1);
}

static int
teardown(void **state)
{
	int rc = rig_teardown(state);

	usage_counter_unref(counter);
	return (rc);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_one_attempt),
	    cmocka_unit_test(test_two_attempts),
	    cmocka_unit_test(test_off),
	    cmocka_unit_test(test_refused_in_next_window),
	};

	return (cmocka_run_group_tests(tests, rig_setup, teardown));
}
