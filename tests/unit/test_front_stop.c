/*
 * A worker that stops must not reset connections of callers. Closing a
 * listening socket resets the connections in its accept queue; the tests guard
 * against that with one and with two listeners on a port.
 */
#include "lib/rig.h"

#include <errno.h>
#include <fcntl.h>

#define DEFAULT_RUNS 6 /* the environment variable STOP_RUNS overrides it */
#define N_ACTIVE_CALLERS 6
/* The last two callers connect but send nothing. */
#define N_CALLERS (N_ACTIVE_CALLERS + 2)
#define WARM_CALLS 40
#define MAX_CALLS 20000

/**
 * struct counts - connections of the callers in all runs, by their result
 * @ok: a complete answer was received
 * @reset: a request was sent, but no complete answer was received
 * @closed: nothing was sent, and the connection was closed cleanly
 * @silent_reset: nothing was sent, and the connection was reset
 * @refused_early: refused while a worker was still listening
 */
struct counts {
	_Atomic long ok;
	_Atomic long reset;
	_Atomic long closed;
	_Atomic long silent_reset;
	_Atomic long refused_early;
};

static struct counts counts;
static uint16_t stop_port;
static _Atomic bool last_stopping;
static _Atomic bool callers_stop;

/* Connects to the workers; returns -1 when the connection is refused. */
static int
connect_caller(void)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons(stop_port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
	const struct timeval limit = {.tv_sec = CLIENT_TIMEOUT_S};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return (fd);
	close(fd);
	if (!atomic_load(&last_stopping))
		atomic_fetch_add(&counts.refused_early, 1);
	return (-1);
}

static void
make_request(int fd)
{
	static const char text[] = "GET /i/ok/stop HTTP/1.1\r\nHost: a\r\n"
				   "Connection: close\r\n\r\n";
	char buf[4096];
	size_t n = 0;
	ssize_t k;

	send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
	while ((k = recv(fd, buf + n, sizeof(buf) - 1 - n, 0)) > 0)
		n += (size_t)k;
	buf[n] = '\0';
	if (k == 0 && strncmp(buf, "HTTP/1.1 200", 12) == 0)
		atomic_fetch_add(&counts.ok, 1);
	else
		atomic_fetch_add(&counts.reset, 1);
}

static void
wait_for_close(int fd)
{
	char ch;
	ssize_t k;

	while ((k = recv(fd, &ch, 1, 0)) < 0 && errno == EINTR)
		continue;
	if (k == 0)
		atomic_fetch_add(&counts.closed, 1);
	else
		atomic_fetch_add(&counts.silent_reset, 1);
}

static void *
run_caller(void *silent)
{
	for (int i = 0; i < MAX_CALLS && !atomic_load(&callers_stop); i++) {
		int fd = connect_caller();

		if (fd < 0)
			break;
		if (silent != NULL)
			wait_for_close(fd);
		else
			make_request(fd);
		close(fd);
	}
	return (NULL);
}

/** struct running_worker - worker on its own thread, on the shared port */
struct running_worker {
	struct worker *w;
	pthread_t thread;
};

static void
start_worker(struct running_worker *worker)
{
	struct worker_desc d = {.shared = &rig.shared,
	    .addr = "127.0.0.1",
	    .port = stop_port,
	    .seed = 1,
	    .pick = rig_pick};

	worker->w = worker_new(&d, NULL);
	assert_non_null(worker->w);
	pthread_create(&worker->thread, NULL, rig_run_worker, worker->w);
}

static void
stop_worker(struct running_worker *worker)
{
	worker_stop(worker->w);
	pthread_join(worker->thread, NULL);
	worker_free(worker->w);
}

/*
 * Waits until WARM_CALLS more calls were answered or reset, or until one was
 * refused.
 */
static void
wait_calls(void)
{
	long from = counts.ok + counts.reset;

	for (int i = 0;
	     i < 5000 && counts.ok + counts.reset < from + WARM_CALLS &&
	     counts.refused_early == 0;
	     i++)
		usleep(1000);
}

static void
run_and_stop(int n_workers)
{
	struct running_worker workers[2];
	pthread_t callers[N_CALLERS];

	atomic_store(&last_stopping, false);
	atomic_store(&callers_stop, false);
	for (int i = 0; i < n_workers; i++)
		start_worker(&workers[i]);
	for (int i = 0; i < N_CALLERS; i++)
		pthread_create(&callers[i], NULL, run_caller,
		    i < N_ACTIVE_CALLERS ? NULL : &counts);
	for (int i = 0; i < n_workers; i++) {
		wait_calls();
		if (i == n_workers - 1)
			atomic_store(&last_stopping, true);
		stop_worker(&workers[i]);
	}
	atomic_store(&callers_stop, true);
	for (int i = 0; i < N_CALLERS; i++)
		pthread_join(callers[i], NULL);
}

static void
expect_no_reset(int n_workers)
{
	const char *text = getenv("STOP_RUNS");
	int n_runs = text == NULL ? DEFAULT_RUNS : atoi(text);

	atomic_store(&counts.ok, 0);
	atomic_store(&counts.reset, 0);
	atomic_store(&counts.closed, 0);
	atomic_store(&counts.silent_reset, 0);
	atomic_store(&counts.refused_early, 0);
	for (int i = 0; i < n_runs; i++)
		run_and_stop(n_workers);
	print_message("%d workers, %d runs: %ld answered, %ld reset, "
		      "%ld closed, %ld silent reset, %ld refused early\n",
	    n_workers, n_runs, counts.ok, counts.reset, counts.closed,
	    counts.silent_reset, counts.refused_early);
	assert_int_equal(counts.reset, 0);
	assert_int_equal(counts.silent_reset, 0);
	assert_int_equal(counts.refused_early, 0);
	assert_true(counts.ok >= (long)n_runs * WARM_CALLS);
}

/* The only listener closes; connections in its queue must be served first. */
static void
test_one_listener(void **state)
{
	(void)state;
	expect_no_reset(1);
}

/* A listener closes while another one on the port keeps accepting. */
static void
test_two_listeners(void **state)
{
	(void)state;
	expect_no_reset(2);
}

static void *
call_hang(void *arg)
{
	struct reply *r = arg;

	*r = rig_call("GET", "a", "/i/hang/stop", "", NULL);
	return (NULL);
}

/*
 * Guards against lost calls: when the process ended, connections of calls whose
 * upstream had not answered were closed without an answer. Such a call must get
 * an error before that. On its own, the call would end after LONG_TIMEOUT_MS.
 */
static void
test_gives_up(void **state)
{
	int64_t begin_us = clk_mono_us();
	uint16_t port = rig.port;
	struct reply reply;
	pthread_t caller;
	struct running_worker worker;

	(void)state;
	start_worker(&worker);
	rig.port = stop_port;
	pthread_create(&caller, NULL, call_hang, &reply);
	rig_wait_received("/i/hang/stop");
	worker_give_up_at(worker.w, clk_mono_us() + 100000);
	stop_worker(&worker);
	pthread_join(caller, NULL);
	rig.port = port;
	assert_true(clk_mono_us() - begin_us < LONG_TIMEOUT_MS * 1000 / 2);
	rig_expect_error(reply, 504, "upstream-timeout", "unknown");
}

#define N_LEFT 20
/* Above the stages of a stop, below the time limit for a head. */
#define STOP_LIMIT_MS 4000

/*
 * Guards against connections whose callers left in the middle of a head: each
 * held a stop until the time limit for the head, and the process then ended
 * with requests in progress.
 */
static void
test_left_heads(void **state)
{
	struct running_worker worker;
	int64_t begin_us;

	(void)state;
	start_worker(&worker);
	for (int i = 0; i < N_LEFT; i++) {
		static const char text[] = "GET /i/ok/left HTTP/1.1\r\nHos";
		int fd = connect_caller();

		assert_true(fd >= 0);
		send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
		close(fd);
	}
	usleep(100000);
	begin_us = clk_mono_us();
	stop_worker(&worker);
	assert_true(clk_mono_us() - begin_us < STOP_LIMIT_MS * 1000);
}

#define REFUSE_AFTER_US 300000
#define GIVE_UP_AFTER_US 800000

/*
 * Guards against a request that begins late in a stop, when its head is
 * completed: its upstream was at work when the stop's time was over, and its
 * caller got an error. Heads that are never completed do not hold the stop.
 */
static void
test_late_head(void **state)
{
	static const char first[] = "GET /i/hang/late-head HTTP/1.1\r\n";
	static const char rest[] = "Host: a\r\nConnection: close\r\n\r\n";
	struct running_worker worker;
	int64_t now_us;
	char buf[1024];
	ssize_t n;
	int fd, held_fd;

	(void)state;
	start_worker(&worker);
	fd = connect_caller();
	held_fd = connect_caller();
	assert_true(fd >= 0 && held_fd >= 0);
	send(fd, first, sizeof(first) - 1, MSG_NOSIGNAL);
	send(held_fd, first, sizeof(first) - 1, MSG_NOSIGNAL);
	usleep(50000);
	now_us = clk_mono_us();
	worker_refuse_from(worker.w, now_us + REFUSE_AFTER_US);
	worker_give_up_at(worker.w, now_us + GIVE_UP_AFTER_US);
	worker_stop(worker.w);
	usleep(REFUSE_AFTER_US + 1000);
	send(fd, rest, sizeof(rest) - 1, MSG_NOSIGNAL);
	n = recv(fd, buf, sizeof(buf) - 1, 0);
	/* Refused as not run, or closed before the head was read. */
	if (n > 0) {
		buf[n] = '\0';
		assert_non_null(strstr(buf, "HTTP/1.1 503"));
		assert_non_null(strstr(buf, "X-Outcome: not-run"));
	}
	assert_int_equal(rig_request_count("/i/hang/late-head"), 0);
	pthread_join(worker.thread, NULL);
	assert_true(clk_mono_us() - now_us < STOP_LIMIT_MS * 1000);
	worker_free(worker.w);
	close(fd);
	close(held_fd);
}

static int
setup(void **state)
{
	rig_setup(state);
	rig_bind(-1, &stop_port, SO_REUSEPORT);
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_one_listener),
	    cmocka_unit_test(test_two_listeners),
	    cmocka_unit_test(test_gives_up),
	    cmocka_unit_test(test_left_heads),
	    cmocka_unit_test(test_late_head),
	};

	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
