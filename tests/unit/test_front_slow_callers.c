/*
 * Callers that read slowly beside others that do not, with a limit on the
 * memory that the workers hold for them.
 */
#include "lib/rig.h"

#include <sys/resource.h>

#define BUDGET (16 * 1024 * 1024)
#define MAX_RESIDENT (64L * 1024 * 1024)
#define N_SLOW 4000
#define N_QUICK 200
#define N_THREADS 4
#define SLOW_BUFFER 4096
#define PHASE_MS 1200
#define MIN_RATIO 0.95
#define N_ROUNDS 3
#define SETTLE_US 500000
#define SPARE_FDS 200

static struct worker *second;
static pthread_t second_thread;
static struct upstream_protocol buffering;
static int slow_fds[N_SLOW];
static int quick_fds[N_QUICK];
static _Atomic bool quick_stop;
static _Atomic long quick_calls;
static _Atomic long quick_errors;

static long
resident_bytes(void)
{
	FILE *f = fopen("/proc/self/statm", "r");
	long pages = 0;

	assert_int_equal(fscanf(f, "%*s %ld", &pages), 1);
	fclose(f);
	return (pages * sysconf(_SC_PAGESIZE));
}

/* Makes calls on its part of the connections, one after the other. */
static void *
run_quick(void *arg)
{
	static const char text[] =
	    "GET /i/ok/quick HTTP/1.1\r\nHost: a\r\n\r\n";
	int from = (int)(intptr_t)arg * (N_QUICK / N_THREADS);

	for (int i = 0; !atomic_load(&quick_stop); i++) {
		int fd = quick_fds[from + i % (N_QUICK / N_THREADS)];
		char buf[1024];
		size_t n = 0;
		ssize_t k = 1;

		send(fd, text, sizeof(text) - 1, MSG_NOSIGNAL);
		buf[0] = '\0';
		while (strstr(buf, "\r\n\r\nok") == NULL &&
		    n < sizeof(buf) - 1 &&
		    (k = recv(fd, buf + n, sizeof(buf) - 1 - n, 0)) > 0) {
			n += (size_t)k;
			buf[n] = '\0';
		}
		if (strncmp(buf, "HTTP/1.1 200", 12) != 0 || k <= 0) {
			atomic_fetch_add(&quick_errors, 1);
			break;
		}
		atomic_fetch_add(&quick_calls, 1);
	}
	return (NULL);
}

/* One byte from each slow caller. */
static void
read_slowly(void)
{
	char ch;

	for (int i = 0; i < N_SLOW; i++) {
		if (recv(slow_fds[i], &ch, 1, MSG_DONTWAIT) < 0)
			continue;
	}
}

/* Runs the quick callers for a phase; returns the number of their calls. */
static long
run_phase(bool slow, long *max_resident)
{
	pthread_t t[N_THREADS];
	long before = atomic_load(&quick_calls);

	atomic_store(&quick_stop, false);
	for (intptr_t i = 0; i < N_THREADS; i++)
		pthread_create(&t[i], NULL, run_quick, (void *)i);
	for (int ms = 0; ms < PHASE_MS; ms += 100) {
		long now = resident_bytes();

		usleep(100000);
		if (slow && ms % 1000 == 0)
			read_slowly();
		if (now > *max_resident)
			*max_resident = now;
	}
	atomic_store(&quick_stop, true);
	for (int i = 0; i < N_THREADS; i++)
		pthread_join(t[i], NULL);
	return (atomic_load(&quick_calls) - before);
}

static void
open_slow(void)
{
	static const char text[] =
	    "GET /i/medium/slow HTTP/1.1\r\nHost: both\r\n\r\n";
	const int size = SLOW_BUFFER;

	for (int i = 0; i < N_SLOW; i++) {
		slow_fds[i] = rig_connect_to(rig.port, 0);
		setsockopt(
		    slow_fds[i], SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
		send(slow_fds[i], text, sizeof(text) - 1, MSG_NOSIGNAL);
	}
}

static int
compare_ratios(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return (x < y ? -1 : x > y);
}

/* Calls beside the slow callers, by the mean of the phases around. */
static double
run_round(long *max)
{
	long calls[3];

	calls[0] = run_phase(false, max);
	open_slow();
	calls[1] = run_phase(true, max);
	for (int i = 0; i < N_SLOW; i++)
		close(slow_fds[i]);
	usleep(SETTLE_US);
	calls[2] = run_phase(false, max);
	print_message("quick calls: %ld, %ld beside %d slow callers, %ld; "
		      "%ld KiB resident\n",
	    calls[0], calls[1], N_SLOW, calls[2], *max / 1024);
	return (2.0 * (double)calls[1] / (double)(calls[0] + calls[2]));
}

/*
 * Guards against callers that read slowly and take the memory of the VM, or
 * the place of callers that read. The median of the rounds is judged, as other
 * work on the machine disturbs single ones.
 */
static void
test_slow_callers(void **state)
{
	double ratios[N_ROUNDS];
	long max = 0;

	(void)state;
	for (int i = 0; i < N_QUICK; i++)
		quick_fds[i] = rig_connect_to(rig.port, 0);
	for (int i = 0; i < N_ROUNDS; i++)
		ratios[i] = run_round(&max);
	for (int i = 0; i < N_QUICK; i++)
		close(quick_fds[i]);
	qsort(ratios, N_ROUNDS, sizeof(*ratios), compare_ratios);
	assert_int_equal(quick_errors, 0);
	assert_true(max < MAX_RESIDENT);
	assert_true(ratios[N_ROUNDS / 2] >= MIN_RATIO);
}

/* Enough descriptors for both ends of all connections. */
static void
raise_limit(void)
{
	struct rlimit lim;

	assert_int_equal(getrlimit(RLIMIT_NOFILE, &lim), 0);
	lim.rlim_cur = lim.rlim_max;
	setrlimit(RLIMIT_NOFILE, &lim);
	assert_true(lim.rlim_cur >= 2 * (N_SLOW + N_QUICK) + SPARE_FDS);
}

/* One worker accepts at most 4,096 connections. */
static int
setup(void **state)
{
	struct worker_desc d = {
	    .shared = &rig.shared, .addr = "127.0.0.1", .seed = 2};

	raise_limit();
	rig_setup(state);
	buffering = *rig.shared.protocol;
	buffering.status_means_not_run = true;
	rig.shared.protocol = &buffering;
	budget_init(&rig.shared.budget, BUDGET);
	d.port = rig.port;
	second = worker_new(&d, NULL);
	assert_non_null(second);
	pthread_create(&second_thread, NULL, rig_run_worker, second);
	return (0);
}

static int
teardown(void **state)
{
	worker_stop(second);
	pthread_join(second_thread, NULL);
	worker_free(second);
	return (rig_teardown(state));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_slow_callers),
	};

	return (cmocka_run_group_tests(tests, setup, teardown));
}
