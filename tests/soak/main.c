/*
 * soak - runs real VMs between callers and upstreams, disturbs them at random
 * times and checks what callers and upstreams see.
 *
 * Usage: soak [--seed N] [--seconds N] [--vms N] [--targets N] [--callers N]
 *            [--only KIND] [--limit PER_S] [--binary PATH] [--keep FOLDER]
 *
 * One seed gives one schedule of disturbances and one series of requests for
 * each caller; what they meet depends on the machine. KIND limits the
 * disturbances: stop, freeze, kill, reload, fault, leave, config. With PER_S,
 * the first upstream names a limit from LIMIT_AT_US on. The exit status is 0
 * when no rule was broken.
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib/object_store.h"
#include "soak/caller.h"
#include "soak/record.h"
#include "soak/target.h"
#include "sys/clocks.h"

#define MAX_VMS 200
#define MAX_TARGETS 64
#define MAX_CALLERS 256
#define TICK_US 10000
#define READY_CHECK_US 1000000
#define START_LIMIT_US 30000000
/* Mean time between two disturbances. */
#define EVENT_US 600000
#define FAULT_US 1500000
#define FREEZE_MIN_US 300000
#define FREEZE_US 3000000
/* Time that the last stops and requests take. */
#define SETTLE_US 8000000
#define DRAIN_US 2500000
#define N_ZONES 3
#define LIMIT_AT_US 2000000

/** struct soak_options - command line */
struct soak_options {
	uint64_t seed;
	unsigned seconds, vms, targets, callers;
	double limit;
	const char *only, *binary, *folder;
};

/** struct soak - state of one run */
struct soak {
	struct soak_options opt;
	struct random rng;
	struct object_store *store;
	struct vm_process vms[MAX_VMS];
	struct soak_target targets[MAX_TARGETS];
	int64_t fault_until_us[MAX_TARGETS];
	int64_t gone_at_us[MAX_TARGETS];
	struct soak_caller callers[MAX_CALLERS];
	_Atomic bool stop_callers;
	_Atomic bool stop_checks;
	unsigned config_version;
};

static void
put_config(struct soak *k)
{
	static const char route[] =
	    "\"r%u\":{\"host\":\"a.example\",\"pathPrefix\":\"/%s/\","
	    "\"kind\":\"%s\",\"timeout\":\"3000ms\",\"latencyGoal\":\"%dms\","
	    "\"priority\":1,\"service\":\"" TARGET_SERVICE
	    "\",\"attempts\":3}%s";
	static const char *const routes[][2] = {
	    {"safe", "safe"}, {"dl", "download"}, {"un", "unsafe"}};
	char text[4096];
	size_t n;

	n = (size_t)snprintf(text, sizeof(text), "{\"version\":%u,\"routes\":{",
	    ++k->config_version);
	for (unsigned i = 0; i < 3; i++)
		n += (size_t)snprintf(text + n, sizeof(text) - n, route, i,
		    routes[i][0], routes[i][1],
		    500 + 10 * (int)(k->config_version % 10),
		    i == 2 ? "" : ",");
	snprintf(text + n, sizeof(text) - n,
	    "},\"services\":{\"" TARGET_SERVICE
	    "\":{\"healthPath\":\"/health\",\"maxConnections\":250,"
	    "\"protocol\":\"h1\",\"tls\":false,\"warmup\":\"1s\","
	    "\"warmupPerS\":8}},\"limits\":{\"maxHeaderBytes\":16384,"
	    "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
	    "\"idleTimeout\":\"15000ms\"}}");
	object_store_put(k->store, "config", "main", text);
}

static void *
check_readiness(void *arg)
{
	struct soak *k = arg;

	while (!atomic_load(&k->stop_checks)) {
		for (unsigned i = 0; i < k->opt.vms; i++)
			vmproc_check_ready(&k->vms[i]);
		usleep(READY_CHECK_US);
	}
	return (NULL);
}

static bool
is_allowed(const struct soak *k, const char *kind)
{
	return (k->opt.only == NULL || strstr(k->opt.only, kind) != NULL);
}

static unsigned
count_ending(const struct soak *k)
{
	unsigned n = 0;

	for (unsigned i = 0; i < k->opt.vms; i++)
		n += k->vms[i].pid == 0 || k->vms[i].ending ||
		    k->vms[i].thaw_us != 0;
	return (n);
}

/* Starts an upstream to leave; it serves for a while and is then replaced. */
static void
leave(struct soak *k, unsigned i, int64_t now_us)
{
	if (k->gone_at_us[i] != 0)
		return;
	target_register(&k->targets[i], k->store, "draining");
	k->gone_at_us[i] = now_us + DRAIN_US;
}

static void
disturb(struct soak *k, int64_t now_us)
{
	struct vm_process *vm = &k->vms[rng_below(&k->rng, k->opt.vms)];
	unsigned target = rng_below(&k->rng, k->opt.targets);
	bool free_vm = count_ending(k) * 2 < k->opt.vms;
	uint32_t draw = rng_below(&k->rng, 100);
	uint32_t amount = rng_below(&k->rng, 1000);

	if (draw < 35 && is_allowed(k, "stop") && (free_vm || vm->ending)) {
		vmproc_stop(vm, now_us);
	} else if (draw < 42 && is_allowed(k, "freeze") && free_vm) {
		vmproc_freeze(vm,
		    FREEZE_MIN_US + (int64_t)amount * FREEZE_US / 1000, now_us);
	} else if (draw < 47 && is_allowed(k, "kill") && free_vm) {
		vmproc_kill(vm, now_us);
	} else if (draw < 55 && is_allowed(k, "reload")) {
		vmproc_reload(vm);
	} else if (draw < 85 && is_allowed(k, "fault")) {
		target_set_fault(&k->targets[target],
		    (enum target_fault)(1 + amount % (TARGET_FAULTS - 1)));
		k->fault_until_us[target] = now_us + FAULT_US;
	} else if (draw < 92 && is_allowed(k, "leave")) {
		leave(k, target, now_us);
	} else if (draw >= 92 && is_allowed(k, "config")) {
		put_config(k);
	}
}

static void
tick(struct soak *k, int64_t now_us)
{
	for (unsigned i = 0; i < k->opt.vms; i++)
		vmproc_tick(&k->vms[i], now_us);
	for (unsigned i = 0; i < k->opt.targets; i++) {
		if (k->fault_until_us[i] != 0 &&
		    now_us >= k->fault_until_us[i]) {
			target_set_fault(&k->targets[i], TARGET_SOUND);
			k->fault_until_us[i] = 0;
		}
		if (k->gone_at_us[i] != 0 && now_us >= k->gone_at_us[i]) {
			target_register(&k->targets[i], k->store, "ready");
			k->gone_at_us[i] = 0;
		}
	}
}

static void
run_until(struct soak *k, int64_t end_us, bool disturbing)
{
	int64_t now_us = clk_mono_us();
	int64_t next_us = now_us + rng_below(&k->rng, 2 * EVENT_US);

	while (now_us < end_us) {
		tick(k, now_us);
		if (disturbing && now_us >= next_us) {
			disturb(k, now_us);
			next_us += rng_below(&k->rng, 2 * EVENT_US);
		}
		usleep(TICK_US);
		now_us = clk_mono_us();
	}
}

static bool
all_ready(const struct soak *k)
{
	for (unsigned i = 0; i < k->opt.vms; i++) {
		if (!atomic_load(&k->vms[i].in_rotation))
			return (false);
	}
	return (true);
}

static void
start(struct soak *k)
{
	static const char *const zones[N_ZONES] = {"a", "b", "c"};

	k->store = object_store_new(&(struct object_store_desc){0});
	put_config(k);
	for (unsigned i = 0; i < k->opt.targets; i++) {
		struct soak_target *t = &k->targets[i];

		snprintf(t->id, sizeof(t->id), "i-%u", i);
		t->zone = zones[i % N_ZONES];
		t->slots = 6;
		target_start(t, k->store);
	}
	for (unsigned i = 0; i < k->opt.vms; i++) {
		vmproc_init(&k->vms[i], i, k->opt.binary, k->opt.folder,
		    object_store_port(k->store));
		vmproc_start(&k->vms[i]);
	}
}

static void
start_callers(struct soak *k)
{
	for (unsigned i = 0; i < k->opt.callers; i++) {
		struct soak_caller *c = &k->callers[i];

		*c = (struct soak_caller){.vms = k->vms,
		    .n_vms = k->opt.vms,
		    .stop = &k->stop_callers};
		rng_init(&c->rng, k->opt.seed * MAX_CALLERS + i);
		caller_start(c);
	}
}

static unsigned
run(struct soak *k)
{
	int64_t limit_us = clk_mono_us() + START_LIMIT_US;
	pthread_t checks;
	unsigned broken = 0;

	start(k);
	pthread_create(&checks, NULL, check_readiness, k);
	while (!all_ready(k) && clk_mono_us() < limit_us)
		usleep(TICK_US);
	if (!all_ready(k)) {
		printf("START: not all VMs became ready\n");
		broken++;
	}
	start_callers(k);
	if (k->opt.limit > 0) {
		run_until(k, clk_mono_us() + LIMIT_AT_US, true);
		target_set_limit(&k->targets[0], k->opt.limit);
	}
	run_until(k, clk_mono_us() + k->opt.seconds * 1000000LL, true);
	run_until(k, clk_mono_us() + SETTLE_US, false);
	atomic_store(&k->stop_callers, true);
	for (unsigned i = 0; i < k->opt.callers; i++)
		caller_finish(&k->callers[i]);
	atomic_store(&k->stop_checks, true);
	pthread_join(checks, NULL);
	for (unsigned i = 0; i < k->opt.vms; i++) {
		broken += k->vms[i].ends;
		vmproc_finish(&k->vms[i]);
	}
	return (broken + rec_check(stdout));
}

static bool
parse_options(int argc, char **argv, struct soak_options *o)
{
	static const struct option options[] = {
	    {"seed", required_argument, NULL, 's'},
	    {"seconds", required_argument, NULL, 'd'},
	    {"vms", required_argument, NULL, 'v'},
	    {"targets", required_argument, NULL, 't'},
	    {"callers", required_argument, NULL, 'c'},
	    {"only", required_argument, NULL, 'o'},
	    {"limit", required_argument, NULL, 'l'},
	    {"binary", required_argument, NULL, 'b'},
	    {"keep", required_argument, NULL, 'k'},
	    {0},
	};
	int opt;

	while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
		switch (opt) {
		case 's':
			o->seed = strtoull(optarg, NULL, 10);
			break;
		case 'd':
			o->seconds = (unsigned)strtoul(optarg, NULL, 10);
			break;
		case 'v':
			o->vms = (unsigned)strtoul(optarg, NULL, 10);
			break;
		case 't':
			o->targets = (unsigned)strtoul(optarg, NULL, 10);
			break;
		case 'c':
			o->callers = (unsigned)strtoul(optarg, NULL, 10);
			break;
		case 'o':
			o->only = optarg;
			break;
		case 'l':
			o->limit = strtod(optarg, NULL);
			break;
		case 'b':
			o->binary = optarg;
			break;
		case 'k':
			o->folder = optarg;
			break;
		default:
			return (false);
		}
	}
	return (o->vms != 0 && o->vms <= MAX_VMS && o->targets != 0 &&
	    o->targets <= MAX_TARGETS && o->callers <= MAX_CALLERS);
}

int
main(int argc, char **argv)
{
	static struct soak k;
	char folder[] = "/tmp/soak-XXXXXX";
	unsigned broken;

	k.opt = (struct soak_options){.seed = 1,
	    .seconds = 20,
	    .vms = 4,
	    .targets = 9,
	    .callers = 32,
	    .binary = "build/release/camphorhollowd"};
	if (!parse_options(argc, argv, &k.opt)) {
		fprintf(stderr, "soak: bad options, see the head of main.c\n");
		return (2);
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (k.opt.folder == NULL && (k.opt.folder = mkdtemp(folder)) == NULL)
		return (2);
	rng_init(&k.rng, k.opt.seed);
	broken = run(&k);
	rec_summary(stdout);
	printf("seed %llu: %u broken, logs in %s\n",
	    (unsigned long long)k.opt.seed, broken, k.opt.folder);
	return (broken == 0 ? 0 : 1);
}
