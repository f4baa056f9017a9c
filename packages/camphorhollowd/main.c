/*
 * camphorhollowd - load balancer daemon, one process on each of its VMs.
 */
#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

#include "control/control_thread.h"
#include "control/fleet_control.h"
#include "front/shared_state.h"
#include "front/worker.h"
#include "ops/log_writer.h"
#include "ops/ops_server.h"
#include "ops/settings.h"
#include "platform/field_names.h"
#include "platform/platform_store.h"
#include "sys/clocks.h"

#define EXIT_USAGE 2
#define EXIT_SETTINGS 3
#define MAX_WORKERS 64
/*
 * Each kept connection of a caller occupies HEADMEM_CONNECTION_BYTES; together
 * they stay below half of the memory of a VM with 256 MiB.
 */
#define MAX_KEPT_CALLERS 2000
/* Part of the memory that buffers for callers and upstreams may use. */
#define BUDGET_DIVISOR 4
#define HANDOVER_TIMEOUT_MS 5000
/* Unfinished calls end with an error this long before the drain timeout. */
#define GIVE_UP_MARGIN_MS 300
/* The settings file is polled because it may change without a SIGHUP. */
#define SETTINGS_CHECK_INTERVAL_S 5

/*
 * @path is the settings file. The control thread belongs to @fleet if the store
 * serves the objects API, otherwise to @ctl; the other is NULL.
 */
struct daemon {
	const char *path;
	struct log_writer_desc log;
	struct settings set;
	struct shared_state shared;
	struct metrics metrics;
	struct control *ctl;
	struct fleet_control *fleet;
	struct ops_server *ops;
	struct worker *workers[MAX_WORKERS];
	pthread_t threads[MAX_WORKERS];
};

static void *
run_worker(void *arg)
{
	worker_run(arg);
	return (NULL);
}

static bool
start_workers(struct daemon *d)
{
	GError *error = NULL;

	for (int64_t i = 0; i < d->set.workers; i++) {
		struct worker_desc desc = {
		    .shared = &d->shared,
		    .addr = d->set.listen.addr,
		    .port = (uint16_t)d->set.listen.port,
		    .seed = (uint64_t)d->set.seed + (uint64_t)i,
		    .max_host_connections = (long)d->set.max_connections,
		};

		d->workers[i] = worker_new(&desc, &error);
		if (d->workers[i] == NULL) {
			g_warning("front: %s", error->message);
			return (false);
		}
		pthread_create(&d->threads[i], NULL, run_worker, d->workers[i]);
	}
	return (true);
}

static bool
is_routable(void *arg)
{
	const struct shared_state *shared = arg;

	return (!atomic_load(&shared->leaving) &&
	    !atomic_load(&shared->unhealthy) &&
	    clk_mono_us() <= atomic_load(&shared->fresh_until_us));
}

/* Differs for each start, also when the settings fix the seed. */
static uint64_t
process_number(void)
{
	return ((uint64_t)(clk_wall_ms() ^ (int64_t)getpid() << 32));
}

static bool
has_object_store(const struct daemon *d)
{
	return (strcmp(d->set.store_api, "objects") == 0);
}

/* Creates the control thread for a store that serves the objects API. */
static bool
start_fleet_control(struct daemon *d)
{
	char *address = g_strdup_printf(
	    "%s:%lld", d->set.platform.addr, (long long)d->set.platform.port);
	char *usage_address = d->set.usage.addr == NULL
	    ? NULL
	    : g_strdup_printf(
		  "%s:%lld", d->set.usage.addr, (long long)d->set.usage.port);
	struct platform_store_desc store = {.address = address,
	    .usage_address = usage_address,
	    .metrics = &d->metrics,
	    .seed = (uint64_t)d->set.seed};
	struct fleet_control_desc desc = {.set = &d->set,
	    .shared = &d->shared,
	    .store = platform_store_new(&store),
	    .boot = process_number()};
	GError *error = NULL;

	g_free(address);
	g_free(usage_address);
	d->shared.protocol = field_names_protocol();
	d->shared.zone = d->set.zone;
	d->fleet = fleet_control_new(&desc, &error);
	if (d->fleet == NULL) {
		g_warning("control: %s", error->message);
		g_error_free(error);
		return (false);
	}
	d->shared.control = fleet_control_queue(d->fleet);
	return (true);
}

static bool
start_control(struct daemon *d)
{
	struct ctl_desc desc = {.set = &d->set,
	    .shared = &d->shared,
	    .metrics = &d->metrics,
	    .seed = (uint64_t)d->set.seed};
	GError *error = NULL;

	if (has_object_store(d))
		return (start_fleet_control(d));
	d->ctl = ctl_new(&desc, &error);
	if (d->ctl == NULL) {
		g_warning("control: %s", error->message);
		g_error_free(error);
		return (false);
	}
	d->shared.control = ctl_queue(d->ctl);
	d->shared.has_claims = true;
	return (true);
}

static bool
start_ops(struct daemon *d)
{
	struct ops_desc desc = {.addr = d->set.ops.addr,
	    .port = (uint16_t)d->set.ops.port,
	    .token = d->set.token,
	    .allow = d->set.ops_allow,
	    .health_path = d->set.health_path,
	    .metrics = &d->metrics,
	    .routable = is_routable,
	    .routable_arg = &d->shared,
	    .control = d->shared.control,
	    .msg_type =
		d->fleet != NULL ? fleet_control_ops_type() : ctl_ops_type()};
	GError *error = NULL;

	d->ops = ops_start(&desc, &error);
	if (d->ops != NULL)
		return (true);
	g_warning("ops: %s", error->message);
	g_error_free(error);
	return (false);
}

static void
sleep_ms(long ms)
{
	const struct timespec ts = {ms / 1000, (ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

/*
 * Ends the control thread and the operator server. @ctl first gets time to hand
 * its partitions over.
 */
static void
stop_control(struct daemon *d)
{
	if (d->fleet != NULL) {
		fleet_control_stop(d->fleet);
		ops_stop(d->ops);
		fleet_control_free(d->fleet);
		return;
	}
	if (!ctl_wait_idle(d->ctl, HANDOVER_TIMEOUT_MS))
		g_warning("main: partitions were not all handed over");
	ctl_stop(d->ctl);
	ops_stop(d->ops);
	ctl_free(d->ctl);
}

/*
 * The health endpoint fails first, so that the platform's load balancer sends
 * new requests to other VMs while this VM still serves those that arrive.
 */
static void
shut_down(struct daemon *d)
{
	int64_t start_us = clk_mono_us();
	int64_t refuse_us = start_us + d->set.drain_timeout_ms * 1000 / 2;
	int64_t give_up_us =
	    start_us + (d->set.drain_timeout_ms - GIVE_UP_MARGIN_MS) * 1000;

	g_message("main: shutting down");
	atomic_store(&d->shared.unhealthy, true);
	if (d->ctl != NULL)
		ctl_leave(d->ctl);
	sleep_ms((long)d->set.leave_notice_ms);
	for (int64_t i = 0; i < d->set.workers; i++) {
		worker_refuse_from(d->workers[i], refuse_us);
		worker_give_up_at(d->workers[i], give_up_us);
		worker_stop(d->workers[i]);
	}
	for (int64_t i = 0; i < d->set.workers; i++)
		pthread_join(d->threads[i], NULL);
	atomic_store(&d->shared.leaving, true);
	stop_control(d);
	for (int64_t i = 0; i < d->set.workers; i++)
		worker_free(d->workers[i]);
	g_message("main: stopped");
}

/* Ends the process at the drain timeout, even if a caller blocks shutdown. */
static void *
limit_shutdown(void *arg)
{
	const struct daemon *d = arg;

	sleep_ms((long)d->set.drain_timeout_ms);
	g_warning("main: shutdown took longer than %lld ms, ending now",
	    (long long)d->set.drain_timeout_ms);
	_exit(EXIT_FAILURE);
}

/*
 * The usual limit of 1,024 descriptors is too low for the connections to
 * callers, upstreams and peers.
 */
static void
raise_descriptor_limit(void)
{
	struct rlimit lim;

	if (getrlimit(RLIMIT_NOFILE, &lim) != 0)
		return;
	lim.rlim_cur = lim.rlim_max;
	if (setrlimit(RLIMIT_NOFILE, &lim) != 0)
		g_warning("main: cannot raise the file descriptor limit");
}

/* Modification time of the settings file, zero when it cannot be read. */
static struct timespec
settings_mtime(const struct daemon *d)
{
	struct stat st;

	if (stat(d->path, &st) != 0)
		return ((struct timespec){0});
	return (st.st_mtim);
}

/*
 * Reads the settings file again and applies the settings that can change while
 * the process runs. All others, such as addresses, the identity and the store,
 * need a restart.
 */
static void
reload_settings(struct daemon *d)
{
	struct bbuf problems;
	struct settings reloaded;

	bbuf_init(&problems);
	if (!settings_load(&reloaded, d->path, &problems)) {
		g_warning("main: settings not reloaded: %s", problems.p);
	} else {
		d->set.leave_notice_ms = reloaded.leave_notice_ms;
		d->set.drain_timeout_ms = reloaded.drain_timeout_ms;
		d->set.log_debug = reloaded.log_debug;
		d->log.debug = reloaded.log_debug;
		g_message("main: settings reloaded");
	}
	bbuf_finish(&problems);
	settings_finish(&reloaded);
}

/*
 * Waits for SIGTERM or SIGINT. Reloads the settings on SIGHUP and when the file
 * has changed.
 */
static void
wait_for_stop(struct daemon *d, const sigset_t *set)
{
	const struct timespec interval = {SETTINGS_CHECK_INTERVAL_S, 0};
	struct timespec last = settings_mtime(d);

	for (;;) {
		int sig = sigtimedwait(set, NULL, &interval);
		struct timespec now = settings_mtime(d);

		if (sig == SIGTERM || sig == SIGINT)
			return;
		if (sig != SIGHUP && now.tv_sec == last.tv_sec &&
		    now.tv_nsec == last.tv_nsec)
			continue;
		last = now;
		reload_settings(d);
	}
}

static int
run(struct daemon *d)
{
	static struct rt_desc empty;
	pthread_t limiter;
	sigset_t set;

	d->log = (struct log_writer_desc){
	    d->set.log_json, d->set.log_debug, d->set.id};
	log_writer_setup(&d->log);
	raise_descriptor_limit();
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rcu_register_thread();
	if (d->set.seed == 0)
		d->set.seed = (int64_t)process_number();
	d->shared.metrics = &d->metrics;
	d->shared.protocol = proto_own();
	d->shared.max_keyed_body = (size_t)d->set.max_keyed_body;
	d->shared.max_kept_callers = MAX_KEPT_CALLERS;
	budget_init(&d->shared.budget,
	    ((uint64_t)d->set.memory_mb << 20) / BUDGET_DIVISOR);
	d->shared.table = rt_table_new(&empty);
	if (!start_control(d) || !start_workers(d) || !start_ops(d))
		return (EXIT_FAILURE);
	if (d->fleet != NULL)
		fleet_control_start(d->fleet);
	else
		ctl_start(d->ctl);
	g_message("main: ready");
	wait_for_stop(d, &set);
	pthread_create(&limiter, NULL, limit_shutdown, d);
	shut_down(d);
	rt_table_free(d->shared.table);
	rcu_unregister_thread();
	return (EXIT_SUCCESS);
}

static void
usage(FILE *out)
{
	fputs("usage: camphorhollowd --settings FILE\n"
	      "       camphorhollowd --settings-env NAME\n"
	      "       camphorhollowd --check-settings FILE\n",
	    out);
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"settings", required_argument, NULL, 's'},
	    {"settings-env", required_argument, NULL, 'e'},
	    {"check-settings", required_argument, NULL, 'c'},
	    {"help", no_argument, NULL, 'h'},
	    {0},
	};
	static struct daemon d;
	const char *path = NULL;
	bool check = false;
	struct bbuf problems;
	bool ok;
	int opt, rc;

	while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (opt) {
		case 'c':
			check = true;
			path = optarg;
			break;
		case 's':
			path = optarg;
			break;
		case 'e':
			path = getenv(optarg);
			break;
		case 'h':
			usage(stdout);
			return (EXIT_SUCCESS);
		default:
			usage(stderr);
			return (EXIT_USAGE);
		}
	}
	if (path == NULL) {
		usage(stderr);
		return (EXIT_USAGE);
	}
	bbuf_init(&problems);
	ok = settings_load(&d.set, path, &problems);
	if (!ok)
		fputs(problems.p, stderr);
	bbuf_finish(&problems);
	rc = ok ? EXIT_SUCCESS : EXIT_SETTINGS;
	d.path = path;
	if (ok && !check)
		rc = run(&d);
	admission_metrics_finish(&d.metrics.admission);
	settings_finish(&d.set);
	return (rc);
}
