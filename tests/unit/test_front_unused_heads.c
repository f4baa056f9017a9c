/*
 * Guards against memory that is never freed: a call is allocated when the
 * request line has been read, and it was lost if the head had so many arguments
 * or cookies that the HTTP library closed the connection without an answer. A
 * process that met 13,000 such requests exceeded its memory.
 */
#include "lib/rig.h"

#define N_REQUESTS 40
#define TEXT_MAX (64 * 1024)
#define WAIT_MS 10000
#define POLL_US 5000

/**
 * struct unused_head - head that is not passed on
 * @what: description for messages
 * @start: first bytes
 * @unit: repeated after them
 * @n_units: how often
 * @end: last bytes
 * @ends: the caller waits for an answer
 * @reset: the caller resets the connection instead of closing it
 */
struct unused_head {
	const char *what, *start, *unit;
	int n_units;
	const char *end;
	bool ends;
	bool reset;
};

#define FIRST "GET /i/ok/unused HTTP/1.1\r\nHost: a\r\n"

static const struct unused_head heads[] = {
    {"caller leaves after the request line", FIRST, "", 0, "", false, false},
    {"caller leaves in a field", FIRST, "", 0, "X-A: 1", false, false},
    {"caller resets the connection", FIRST, "", 0, "X-A: 1", false, true},
    {"too many arguments", "GET /i/ok/unused?", "a=1&", 3900,
	" HTTP/1.1\r\nHost: a\r\n\r\n", true, false},
    {"too long a target", "GET /i/ok/unused?", "a=1&", 16000,
	" HTTP/1.1\r\nHost: a\r\n\r\n", true, false},
    {"too many cookies", FIRST "Cookie: ", "a=1; ", 3000, "\r\n\r\n", true,
	false},
    {"too many fields", FIRST, "a:1\r\n", 10000, "\r\n", true, false},
    {"too large", FIRST, "X-A: 0123456789012345678901234567890123456789\r\n",
	1200, "\r\n", true, false},
    {"no Host field", "GET /i/ok/unused HTTP/1.1\r\n", "", 0, "\r\n", true,
	false},
    {"no colon", FIRST, "", 0, "malformed\r\n\r\n", true, false},
};

static char *
text_of(const struct unused_head *h)
{
	char *text = calloc(1, TEXT_MAX);
	int n = sprintf(text, "%s", h->start);

	for (int i = 0; i < h->n_units && n < TEXT_MAX - 200; i++)
		n += sprintf(text + n, "%s", h->unit);
	sprintf(text + n, "%s", h->end);
	return (text);
}

static void
send_and_leave(const struct unused_head *h, const char *text)
{
	const struct linger reset = {.l_onoff = 1};
	int fd = rig_open(text, strlen(text));
	char ch;

	if (h->reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	/* A head that has an end gets an answer, or the connection is closed.
	 */
	if (strlen(h->end) > 2 || h->n_units > 0)
		recv(fd, &ch, 1, h->reset ? MSG_DONTWAIT : 0);
	close(fd);
}

static void
wait_in_progress(const char *what, int64_t wanted)
{
	int64_t end_ms = clk_mono_ms() + WAIT_MS;
	int64_t n;

	while ((n = metrics_gauge(&rig.metrics, METRICS_CALLS_IN_PROGRESS)) !=
	    wanted) {
		if (clk_mono_ms() > end_ms)
			fail_msg("%s: %lld calls are left, expected %lld", what,
			    (long long)n, (long long)wanted);
		usleep(POLL_US);
	}
}

static void
test_freed(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(heads) / sizeof(*heads); i++) {
		char *text = text_of(&heads[i]);
		uint64_t unused =
		    metrics_get(&rig.metrics, METRICS_HEADS_UNUSED);

		for (int k = 0; k < N_REQUESTS; k++)
			send_and_leave(&heads[i], text);
		wait_in_progress(heads[i].what, 0);
		unused =
		    metrics_get(&rig.metrics, METRICS_HEADS_UNUSED) - unused;
		print_message("%s: %d of %d heads unused\n", heads[i].what,
		    (int)unused, N_REQUESTS);
		free(text);
	}
	assert_int_equal(rig_request_count("/i/ok/unused"), 0);
	assert_true(metrics_get(&rig.metrics, METRICS_HEADS_UNUSED) > 0);
}

/* The gauge counts calls that run. */
static void
test_in_progress(void **state)
{
	int fd = rig_request("GET", "a", "/i/slower/1", "", NULL);

	(void)state;
	wait_in_progress("slow upstream", 1);
	rig_expect_body(rig_read(fd, false), "ok");
	wait_in_progress("after the answer", 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_freed),
	    cmocka_unit_test(test_in_progress),
	};

	return (cmocka_run_group_tests(tests, rig_setup, rig_teardown));
}
