/*
 * A worker that stops must not reset callers. Guards against connections that
 * the kernel accepted into the listen queue and that were reset when the
 * listening socket was closed, with one and with two listeners on a port.
 */
#include "lib/rig.h"

#include <errno.h>
#include <fcntl.h>

#define DEFAULT_RUNS 6 /* STOP_RUNS in the environment sets another */
#define N_TALKERS 6
#define N_CALLERS (N_TALKERS + 2) /* the others connect and send nothing */
#define WARM_CALLS 40
#define MAX_CALLS 20000

/** struct counts - what the callers of all runs saw */
struct counts {
	_Atomic long ok;
	_Atomic long reset;  /* connected and sent, but got no whole answer */
	_Atomic long closed; /* sent nothing, got a clean close */
	_Atomic long silent_reset;
	_Atomic long refused_early; /* while another worker was listening */
};

static struct counts counts;
static uint16_t stop_port;
static _Atomic bool last_stopping;
static _Atomic bool callers_stop;

/* -1 when the connection is refused. */
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
talk(int fd)
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
keep_silent(int fd)
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
			keep_silent(fd);
		else
			talk(fd);
		close(fd);
	}
	return (NULL);
}

/* A worker on its own thread, on the shared port. */
struct member {
	struct worker *w;
	pthread_t thread;
};

static void
start_worker(struct member *m)
{
	struct worker_desc d = {.shared = &rig.shared,
	    .addr = "127.0.0.1",
	    .port = stop_port,
	    .seed = 1,
	    .pick = rig_pick};

	m->w = worker_new(&d, NULL);
	assert_non_null(m->w);
	pthread_create(&m->thread, NULL, rig_run_worker, m->w);
}

static void
stop_worker(struct member *m)
{
	worker_stop(m->w);
	pthread_join(m->thread, NULL);
	worker_free(m->w);
}

/* Until WARM_CALLS more calls have been answered, or refused or reset. */
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
run_stops(int n_workers)
{
	struct member members[2];
	pthread_t callers[N_CALLERS];

	atomic_store(&last_stopping, false);
	atomic_store(&callers_stop, false);
	for (int i = 0; i < n_workers; i++)
		start_worker(&members[i]);
	for (int i = 0; i < N_CALLERS; i++)
		pthread_create(&callers[i], NULL, run_caller,
		    i < N_TALKERS ? NULL : &counts);
	for (int i = 0; i < n_workers; i++) {
		wait_calls();
		if (i == n_workers - 1)
			atomic_store(&last_stopping, true);
		stop_worker(&members[i]);
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
		run_stops(n_workers);
	print_message("%d workers, %d runs: %ld answered, %ld reset, "
		      "%ld closed, %ld silent reset, %ld refused early\n",
	    n_workers, n_runs, counts.ok, counts.reset, counts.closed,
	    counts.silent_reset, counts.refused_early);
	assert_int_equal(counts.reset, 0);
	assert_int_equal(counts.silent_reset, 0);
	assert_int_equal(counts.refused_early, 0);
	assert_true(counts.ok >= (long)n_runs * WARM_CALLS);
}

/* The only listener closes: its queue must be served first. */
static void
test_one_listener(void **state)
{
	(void)state;
	expect_no_reset(1);
}

/* A listener closes while another one on the port goes on. */
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
 * A call that its upstream does not answer is told so before the process ends,
 * not closed without an answer (LOST, hunt-b74e-3). By itself it would end
 * after LONG_MS.
 */
static void
test_gives_up(void **state)
{
	int64_t begin_us = clk_mono_us();
	uint16_t port = rig.port;
	struct reply reply;
	pthread_t caller;
	struct member m;

	(void)state;
	start_worker(&m);
	rig.port = stop_port;
	pthread_create(&caller, NULL, call_hang, &reply);
	rig_wait_count("/i/hang/stop");
	worker_give_up_at(m.w, clk_mono_us() + 100000);
	stop_worker(&m);
	pthread_join(caller, NULL);
	rig.port = port;
	assert_true(clk_mono_us() - begin_us < LONG_MS * 1000 / 2);
	rig_expect_error(reply, 504, "upstream-timeout", "unknown");
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
	};

	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
