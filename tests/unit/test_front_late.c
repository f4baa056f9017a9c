/*
 * Late attempts that go on beside a second attempt at another upstream: which
 * of the two answers the caller gets, and what becomes of the other attempt.
 */
#include "lib/rig.h"

#include "platform/field_names.h"

#define MAX_UPSTREAMS 3
/* Above the goal, below the delay of rawup's "slower". */
#define IN_BETWEEN_US 60000

static struct rt_stat *stats[2 * MAX_UPSTREAMS];

/*
 * Hosts "pair" and "trio" with two and three upstreams, all of them the
 * stand-in. Routes: /l is idempotent and has a goal; /s has a short timeout in
 * addition, and /w a goal that is not exceeded. / has a goal and is not
 * idempotent.
 */
static struct rt_table *
late_table(void)
{
	char addr[32];
	struct rt_route routes[] = {
	    {.prefix = BSTR("/"),
		.timeout_ms = LONG_TIMEOUT_MS,
		.goal_ms = LATENCY_GOAL_MS},
	    {.prefix = BSTR("/l"),
		.idempotent = true,
		.timeout_ms = LONG_TIMEOUT_MS,
		.goal_ms = LATENCY_GOAL_MS},
	    {.prefix = BSTR("/s"),
		.idempotent = true,
		.timeout_ms = SHORT_TIMEOUT_MS,
		.goal_ms = LATENCY_GOAL_MS},
	    {.prefix = BSTR("/w"),
		.idempotent = true,
		.timeout_ms = LONG_TIMEOUT_MS,
		.goal_ms = LONG_TIMEOUT_MS},
	};
	struct bstr hosts[] = {BSTR("pair"), BSTR("trio")};
	struct rt_version version = {.name = BSTR("v1"), .share = 1000};
	struct rt_upstream ups[2][MAX_UPSTREAMS] = {0};
	struct rt_service s[2] = {0};

	snprintf(addr, sizeof(addr), "127.0.0.1:%u", rig.upstream_port);
	for (uint32_t i = 0; i < 2; i++) {
		s[i] = (struct rt_service){.name = hosts[i],
		    .hosts = &hosts[i],
		    .n_hosts = 1,
		    .routes = routes,
		    .n_routes = 4,
		    .versions = &version,
		    .n_versions = 1,
		    .upstreams = ups[i],
		    .n_upstreams = 2 + i,
		    .slots = 6};
		for (uint32_t k = 0; k < s[i].n_upstreams; k++) {
			struct rt_upstream *u = &ups[i][k];

			u->id = u->addr = bstr_from(addr);
			u->stat = rt_stat_new();
			stats[i * MAX_UPSTREAMS + k] = u->stat;
		}
	}
	return (
	    rt_table_new(&(struct rt_desc){.services = s, .n_services = 2}));
}

/* Waits until no upstream counts an attempt any more. */
static void
wait_idle(void)
{
	int32_t n = 1;

	for (int i = 0; i < 1000 && n != 0; i++) {
		n = 0;
		for (size_t k = 0; k < 2 * MAX_UPSTREAMS; k++)
			n += stats[k] == NULL
			    ? 0
			    : atomic_load(&stats[k]->in_flight);
		if (n != 0)
			usleep(10000);
	}
	assert_int_equal(n, 0);
}

static void
wait_counter(const char *counter, const char *path, int n)
{
	for (int i = 0; i < 1000 && rig_read_counter(counter, path) < n; i++)
		usleep(10000);
	assert_int_equal(rig_read_counter(counter, path), n);
}

static struct rt_table *rig_table;

/* Each call has its own table, as failures exclude upstreams for a time. */
static int
set_table(void **state)
{
	(void)state;
	rig_table = rig.shared.table;
	rcu_xchg_pointer(&rig.shared.table, late_table());
	rig_fill_retry_budget("pair");
	rig_fill_retry_budget("trio");
	return (0);
}

static int
restore_table(void **state)
{
	struct rt_table *table = rig.shared.table;

	(void)state;
	rcu_xchg_pointer(&rig.shared.table, rig_table);
	synchronize_rcu();
	rt_table_free(table);
	for (size_t i = 0; i < 2 * MAX_UPSTREAMS; i++) {
		if (stats[i] != NULL)
			rt_stat_unref(stats[i]);
		stats[i] = NULL;
	}
	return (0);
}

/**
 * struct late_case - a call whose attempts behave as its path says
 * @body: body of the answer that the caller gets
 * @requests: requests that reach upstreams, 0 when it depends on whether a
 *	connection was reused
 * @closed: connections of attempts that were cancelled, or that broke off
 * @retries: attempts after the first, if @requests is set
 * @failed: attempts that count as failures of their upstreams, if @requests is
 *	set
 */
struct late_case {
	const char *method, *host, *path, *body;
	int requests;
	int closed;
	uint64_t retries;
	uint64_t failed;
};

static uint64_t
count_failed(void)
{
	uint64_t n = 0;

	for (size_t k = 0; k < 2 * MAX_UPSTREAMS; k++)
		n += stats[k] == NULL ? 0 : atomic_load(&stats[k]->failed);
	return (n);
}

static void
play_case(const struct late_case *c)
{
	uint64_t before = metrics_get(&rig.metrics, METRICS_RETRIES);

	print_message("%s\n", c->path);
	rig_expect_body(
	    rig_call(c->method, c->host, c->path, "", "body"), c->body);
	wait_counter("gone", c->path, c->closed);
	wait_idle();
	if (c->requests == 0)
		return;
	assert_int_equal(rig_request_count(c->path), c->requests);
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_RETRIES), before + c->retries);
	assert_int_equal(count_failed(), c->failed);
}

/*
 * Guards against a late attempt that is broken off for one that is refused or
 * fails: the call got an error while its first upstream was at work. Also
 * guards against bytes of two attempts in one answer, and against attempts that
 * go on after the answer.
 */
static void
test_answers(void **state)
{
	static const struct late_case cases[] = {
	    /* The second attempt fails, the first answers. */
	    {"GET", "pair", "/l/seq-slower-shed/1", "ok", 2, 0, 1, 1},
	    {"GET", "pair", "/l/seq-slower-close/1", "ok", 0, 0, 0, 0},
	    {"GET", "pair", "/l/seq-slower-s500/1", "ok", 2, 0, 1, 1},
	    {"GET", "pair", "/l/seq-slower-garbage/1", "ok", 2, 0, 1, 1},
	    {"GET", "pair", "/l/seq-slower-cutlen/1", "ok", 2, 0, 1, 1},
	    {"GET", "trio", "/l/seq-slower-shed-shed/1", "ok", 3, 0, 2, 2},
	    /* The first attempt fails, the second answers. */
	    {"GET", "pair", "/l/seq-slowclose-slower/1", "ok", 0, 0, 0, 0},
	    /* One of them does not answer and is cancelled. */
	    {"GET", "pair", "/l/seq-hang-ok/1", "ok", 2, 1, 1, 1},
	    {"GET", "pair", "/l/seq-slower-hang/1", "ok", 2, 1, 1, 0},
	    {"GET", "pair", "/l/seq-hangbody-ok/1", "ok", 2, 1, 1, 1},
	    {"GET", "pair", "/l/seq-hangbody-chunked/1", "abcd", 2, 1, 1, 1},
	    {"GET", "pair", "/l/seq-slower-hangbody/1", "ok", 2, 1, 1, 0},
	    {"GET", "trio", "/l/seq-hang-hang-ok/1", "ok", 3, 2, 2, 2},
	    /* Each attempt gets the body. */
	    {"POST", "pair", "/l/seq-hang-echo/1", "body", 2, 1, 1, 1},
	    /* A request that is not idempotent has one attempt. */
	    {"POST", "pair", "/p/seq-slower-ok/1", "ok", 1, 0, 0, 0},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		set_table(state);
		play_case(&cases[i]);
		restore_table(state);
	}
}

/* Guards against "not run" for a call of which one attempt may have run. */
static void
test_all_fail(void **state)
{
	const char *path = "/l/seq-slowclose-shed/1";
	struct reply r;

	(void)state;
	r = rig_call("GET", "pair", path, "", NULL);
	assert_int_not_equal(r.status, 503);
	assert_true(r.status >= 500);
	assert_string_equal(rig_field(&r, "X-Outcome"), "unknown");
	rig_reply_free(&r);
	assert_in_range(rig_request_count(path), 2, 3);
	wait_idle();
}

/* Guards against a large answer that is mixed with that of a late attempt. */
static void
test_large_answer(void **state)
{
	const char *path = "/l/seq-hangbody-bigchunk/1";
	struct reply r;

	(void)state;
	r = rig_call("GET", "pair", path, "", NULL);
	assert_int_equal(r.status, 200);
	assert_true(r.complete);
	for (size_t i = 0; i < r.body_n; i++) {
		if (r.body[i] != (char)('a' + i % 23))
			fail_msg("wrong byte at %zu", i);
	}
	assert_int_equal(r.body_n, 8 * 1024 * 1024);
	rig_reply_free(&r);
	wait_counter("gone", path, 1);
	wait_idle();
}

#define PART_BYTES 30000
#define PART_HEAD "7530\r\n" /* PART_BYTES in hexadecimal */
#define N_PARTS 8

static void
send_part(int fd, char fill)
{
	char part[PART_BYTES];

	memset(part, fill, sizeof(part));
	send(fd, PART_HEAD, strlen(PART_HEAD), MSG_NOSIGNAL);
	send(fd, part, sizeof(part), MSG_NOSIGNAL);
	send(fd, "\r\n", 2, MSG_NOSIGNAL);
}

/*
 * Guards against a second attempt that starts in the middle of an upload and
 * gets only a part of the body.
 */
static void
test_upload(void **state)
{
	const char *path = "/l/seq-hang-echo/upload";
	struct reply r;
	int fd;

	(void)state;
	fd = rig_request(
	    "POST", "pair", path, "Transfer-Encoding: chunked\r\n", NULL);
	for (int i = 0; i < N_PARTS; i++) {
		send_part(fd, (char)('a' + i));
		/* The second attempt starts after the first part. */
		if (i == 0)
			usleep(IN_BETWEEN_US);
	}
	send(fd, "0\r\n\r\n", 5, MSG_NOSIGNAL);
	r = rig_read(fd, false);
	assert_int_equal(r.status, 200);
	assert_int_equal(r.body_n, N_PARTS * PART_BYTES);
	for (size_t i = 0; i < r.body_n; i++)
		assert_int_equal(r.body[i], 'a' + (int)(i / PART_BYTES));
	rig_reply_free(&r);
	assert_int_equal(rig_request_count(path), 2);
	wait_counter("gone", path, 1);
	wait_idle();
}

/* Guards against attempts that go on when their caller has left. */
static void
test_caller_leaves(void **state)
{
	const char *path = "/l/seq-hang-hang/left";
	int fd;

	(void)state;
	fd = rig_request("GET", "pair", path, "", NULL);
	wait_counter("count", path, 2);
	close(fd);
	wait_counter("gone", path, 2);
	wait_idle();
}

/* Guards against attempts that go on after the deadline. */
static void
test_deadline(void **state)
{
	const char *path = "/s/seq-hang-hang/1";

	(void)state;
	rig_expect_error(rig_call("GET", "pair", path, "", NULL), 504,
	    "upstream-timeout", "unknown");
	assert_int_equal(rig_request_count(path), 2);
	wait_counter("gone", path, 2);
	wait_idle();
}

/** struct second_worker - worker beside that of the rig, on rig.port */
struct second_worker {
	struct worker *w;
	pthread_t thread;
	uint16_t rig_port;
};

static void
start_second_worker(struct second_worker *s, worker_pick_fn pick)
{
	struct worker_desc d = {.shared = &rig.shared,
	    .addr = "127.0.0.1",
	    .seed = 1,
	    .pick = pick};

	s->rig_port = rig.port;
	rig_bind(-1, &rig.port, SO_REUSEPORT);
	d.port = rig.port;
	s->w = worker_new(&d, NULL);
	assert_non_null(s->w);
	pthread_create(&s->thread, NULL, rig_run_worker, s->w);
}

/* Waits for the end of a worker that was stopped. */
static void
finish_second_worker(struct second_worker *s)
{
	pthread_join(s->thread, NULL);
	worker_free(s->w);
	rig.port = s->rig_port;
}

/* Guards against a planned stop that leaves one of two attempts running. */
static void
test_stop(void **state)
{
	const char *path = "/l/seq-hang-hang/stop";
	struct second_worker s;
	int fd;

	(void)state;
	start_second_worker(&s, rig_pick);
	fd = rig_request("GET", "pair", path, "", NULL);
	wait_counter("count", path, 2);
	worker_give_up_at(s.w, clk_mono_us());
	worker_stop(s.w);
	rig_expect_error(
	    rig_read(fd, false), 504, "upstream-timeout", "unknown");
	wait_counter("gone", path, 2);
	finish_second_worker(&s);
	wait_idle();
}

static _Atomic bool hold_retry;
static _Atomic bool retry_waits;

/* Lets a call wait before its second attempt. */
static int
pick_held(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng)
{
	if (req->n_excluded != 0 && atomic_load(&hold_retry)) {
		atomic_store(&retry_waits, true);
		return (RT_FULL);
	}
	return (rt_pick(s, req, now_us, rng));
}

/*
 * Guards against an upload whose first attempt broke off and which loses what
 * that attempt had sent, when more of it arrives before the next attempt: the
 * chunked body was complete for the next upstream and began in its middle.
 */
static void
test_retry_waits(void **state)
{
	const char *path = "/w/cutonce/1";
	struct second_worker s;
	struct reply r;
	int fd;

	(void)state;
	atomic_store(&hold_retry, true);
	start_second_worker(&s, pick_held);
	fd = rig_request(
	    "POST", "pair", path, "Transfer-Encoding: chunked\r\n", NULL);
	/* Two parts are below the size up to which a body can be sent again. */
	send_part(fd, 'a');
	wait_counter("begun", path, 1);
	/* libcurl may notice the end of the connection when it sends more. */
	send_part(fd, 'b');
	for (int i = 0; i < 1000 && !atomic_load(&retry_waits); i++)
		usleep(10000);
	assert_true(atomic_load(&retry_waits));
	send_part(fd, 'c');
	/* The worker reads this part before the retry starts. */
	usleep(IN_BETWEEN_US);
	atomic_store(&hold_retry, false);
	send(fd, "0\r\n\r\n", 5, MSG_NOSIGNAL);
	r = rig_read(fd, false);
	assert_int_equal(r.status, 200);
	assert_int_equal(r.body_n, 3 * PART_BYTES);
	for (size_t i = 0; i < r.body_n; i++)
		assert_int_equal(r.body[i], 'a' + (int)(i / PART_BYTES));
	rig_reply_free(&r);
	worker_stop(s.w);
	finish_second_worker(&s);
	wait_idle();
}

static int
setup(void **state)
{
	rig_setup(state);
	rig.shared.protocol = field_names_protocol();
	return (0);
}

#define LATE_TEST(f)                                                           \
	cmocka_unit_test_setup_teardown(f, set_table, restore_table)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_answers),
	    LATE_TEST(test_all_fail),
	    LATE_TEST(test_large_answer),
	    LATE_TEST(test_upload),
	    LATE_TEST(test_caller_leaves),
	    LATE_TEST(test_deadline),
	    LATE_TEST(test_stop),
	    LATE_TEST(test_retry_waits),
	};

	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
