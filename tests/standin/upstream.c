/*
 * upstream - stand-in for any number of upstreams in one process.
 *
 * Each upstream has its own port, a number of slots and a FIFO queue. A request
 * occupies its slot from the start of service until its answer is written. The
 * behaviour is set with the JSON keys of lib/upstream_behaviour.h: at start for
 * all upstreams with --set JSON, later with POST /admin {"upstream": i | [..] |
 * "all", ...} on the admin port. GET /stats returns the counters of all
 * upstreams. POST /ran takes idempotency keys, one per line, and returns those
 * that have run.
 *
 * An answer echoes X-Request-Id. With the query parameter bytes=n its body is
 * the pattern of load/body_pattern.h for that id; chunk=n and pace_us=t send it
 * in parts with pauses. Without bytes=n the body is a JSON object. X-Body-Bytes
 * and X-Body-Hash (xxHash64) describe the request body.
 *
 * Usage: upstream [--count N] [--port P] [--threads T] [--service-us U]
 *            [--seed S] [--set JSON] [--admin-port P]
 *        upstream PORT SERVICE_US
 *
 * The first form prints "admin PORT" and one line "port INDEX PORT" for each
 * upstream. The second form has one upstream with constant service time and no
 * admin port, and prints "port PORT".
 */
#include <getopt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/byte_string.h"
#include "lib/admin_port.h"
#include "lib/upstream_sim.h"

#define MAX_THREADS 16

static struct upstream_sim *upstreams;
static int n_upstreams = 1;
static struct event_loop loops[MAX_THREADS];
static int n_loops = 2;
static struct upstream_sim_keys keys;

static unsigned
apply_admin(const json_t *v)
{
	const json_t *which = json_object_get(v, "upstream"), *e;
	size_t i;

	if (json_is_integer(which)) {
		i = (size_t)json_integer_value(which);
		if (i >= (size_t)n_upstreams)
			return (400);
		upstream_sim_apply(&upstreams[i], v);
	} else if (json_is_array(which)) {
		json_array_foreach(which, i, e)
		{
			if (json_integer_value(e) < n_upstreams)
				upstream_sim_apply(
				    &upstreams[json_integer_value(e)], v);
		}
	} else {
		for (int k = 0; k < n_upstreams; k++)
			upstream_sim_apply(&upstreams[k], v);
	}
	return (200);
}

static json_t *
all_stats(void)
{
	json_t *list = json_array();

	for (int i = 0; i < n_upstreams; i++) {
		evloop_lock(upstreams[i].loop);
		json_array_append_new(list, upstream_sim_stats(&upstreams[i]));
		evloop_unlock(upstreams[i].loop);
	}
	return (json_pack("{s:o}", "upstreams", list));
}

static json_t *
keys_that_ran(struct bstr body)
{
	json_t *list = json_array();
	json_int_t checked = 0;
	char *text = bstr_dup(body), *save = NULL;

	pthread_mutex_lock(&keys.lock);
	for (char *key = strtok_r(text, "\n", &save); key != NULL;
	     key = strtok_r(NULL, "\n", &save)) {
		checked++;
		if (g_hash_table_lookup(keys.runs, key) != NULL)
			json_array_append_new(list, json_string(key));
	}
	pthread_mutex_unlock(&keys.lock);
	free(text);
	return (json_pack("{s:I,s:o}", "checked", checked, "ran", list));
}

static unsigned
on_admin(void *arg, const char *method, const char *url, struct bstr body,
    json_t **out)
{
	unsigned status = 404;
	json_t *v;

	(void)arg;
	(void)method;
	if (strcmp(url, "/stats") == 0) {
		*out = all_stats();
		status = 200;
	} else if (strcmp(url, "/ran") == 0) {
		*out = keys_that_ran(body);
		status = 200;
	} else if (strcmp(url, "/admin") == 0) {
		v = json_loadb(body.p, body.n, 0, NULL);
		status = v == NULL ? 400 : apply_admin(v);
		json_decref(v);
	}
	return (status);
}

static void *
run_loop(void *arg)
{
	evloop_run(arg);
	return (NULL);
}

/**
 * struct opts - command line options
 * @behaviour: initial behaviour of all upstreams
 * @single: second form of the command line
 */
struct opts {
	uint16_t port;
	uint16_t admin_port;
	uint64_t seed;
	struct upstream_behaviour behaviour;
	bool single;
};

static bool
parse_set(struct opts *o, const char *text)
{
	json_t *v = json_loads(text, 0, NULL);

	if (v == NULL)
		return (false);
	behaviour_apply(&o->behaviour, v, evloop_now_us());
	json_decref(v);
	return (true);
}

static bool
parse_args(struct opts *o, int argc, char **argv)
{
	static const struct option options[] = {
	    {"count", required_argument, NULL, 'n'},
	    {"port", required_argument, NULL, 'p'},
	    {"threads", required_argument, NULL, 't'},
	    {"service-us", required_argument, NULL, 'u'},
	    {"seed", required_argument, NULL, 's'},
	    {"set", required_argument, NULL, 'j'},
	    {"admin-port", required_argument, NULL, 'a'},
	    {0},
	};
	int opt;

	while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (opt == 'n')
			n_upstreams = (int)strtol(optarg, NULL, 10);
		else if (opt == 'p')
			o->port = (uint16_t)strtoul(optarg, NULL, 10);
		else if (opt == 't')
			n_loops = (int)strtol(optarg, NULL, 10);
		else if (opt == 'u')
			o->behaviour.service_us = strtol(optarg, NULL, 10);
		else if (opt == 's')
			o->seed = strtoull(optarg, NULL, 10);
		else if (opt == 'a')
			o->admin_port = (uint16_t)strtoul(optarg, NULL, 10);
		else if (opt != 'j' || !parse_set(o, optarg))
			return (false);
	}
	if (optind < argc) {
		o->single = true;
		o->behaviour.dist = BEHAVIOUR_CONST;
		o->port = (uint16_t)strtoul(argv[optind], NULL, 10);
		if (optind + 1 < argc)
			o->behaviour.service_us =
			    strtol(argv[optind + 1], NULL, 10);
	}
	return (n_upstreams > 0 && n_loops > 0 && n_loops <= MAX_THREADS);
}

int
main(int argc, char **argv)
{
	struct opts o = {.seed = 1};
	struct rlimit limit;
	pthread_t thread;
	sigset_t set;
	int sig;

	behaviour_init(&o.behaviour);
	if (!parse_args(&o, argc, argv)) {
		fputs("upstream: invalid arguments\n", stderr);
		return (2);
	}
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	upstream_sim_keys_init(&keys);
	upstreams = calloc((size_t)n_upstreams, sizeof(*upstreams));
	for (int i = 0; i < n_loops; i++) {
		if (!evloop_init(&loops[i]))
			return (1);
	}
	for (int i = 0; i < n_upstreams; i++) {
		uint16_t port =
		    o.port == 0 ? 0 : (uint16_t)(o.port + (uint16_t)i);

		upstreams[i].index = i;
		upstreams[i].loop = &loops[i % n_loops];
		upstreams[i].keys = &keys;
		if (!upstream_sim_start(
			&upstreams[i], port, o.seed, &o.behaviour)) {
			perror("listen");
			return (1);
		}
	}
	if (!o.single && admin_start(&o.admin_port, on_admin, NULL) != 0)
		return (1);
	for (int i = 0; i < n_loops; i++)
		pthread_create(&thread, NULL, run_loop, &loops[i]);
	if (!o.single)
		printf("admin %u\n", o.admin_port);
	for (int i = 0; i < n_upstreams && !o.single; i++)
		printf("port %d %u\n", i, upstreams[i].port);
	if (o.single)
		printf("port %u\n", upstreams[0].port);
	fflush(stdout);
	sigwait(&set, &sig);
	_exit(0);
}
