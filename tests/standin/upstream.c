/*
 * upstream - stand-in for many upstreams in one process.
 *
 * Each upstream has its own port, a number of slots and a FIFO queue behind
 * them. A request holds its slot from the start of service until its answer is
 * written. What an upstream does is set by the keys of
 * lib/upstream_behaviour.h: at start with --set JSON for all, later with POST
 * /admin {"upstream": i | [..] | "all", ...} on the admin port. GET /stats
 * shows the counters of all upstreams, POST /ran takes idempotency keys, one a
 * line, and tells which of them have run.
 *
 * An answer echoes X-Request-Id. With the query parameter bytes=n the body is
 * the pattern of lib/body_pattern.h for that id; chunk=n and pace_us=t write it
 * in parts with pauses. X-Body-Bytes and X-Body-Hash (xxHash64) describe the
 * request body. Without bytes=n the body is a JSON object.
 *
 * Usage: upstream [--count N] [--port P] [--threads T] [--service-us U]
 *            [--seed S] [--set JSON] [--admin-port P]
 *        upstream PORT SERVICE_US
 *
 * Prints "admin PORT" and one line "port INDEX PORT" for each upstream; the
 * second form prints "port PORT" and serves at constant service time.
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

static struct upstream_sim *ups;
static int n_ups = 1;
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
		if (i >= (size_t)n_ups)
			return (400);
		upstream_sim_apply(&ups[i], v);
	} else if (json_is_array(which)) {
		json_array_foreach(which, i, e)
		{
			if (json_integer_value(e) < n_ups)
				upstream_sim_apply(
				    &ups[json_integer_value(e)], v);
		}
	} else {
		for (int k = 0; k < n_ups; k++)
			upstream_sim_apply(&ups[k], v);
	}
	return (200);
}

static json_t *
all_stats(void)
{
	json_t *list = json_array();

	for (int i = 0; i < n_ups; i++) {
		evloop_lock(ups[i].loop);
		json_array_append_new(list, upstream_sim_stats(&ups[i]));
		evloop_unlock(ups[i].loop);
	}
	return (json_pack("{s:o}", "upstreams", list));
}

static json_t *
ran(struct bstr body)
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
		*out = ran(body);
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

/** struct opts - command line */
struct opts {
	uint16_t port;
	uint16_t admin_port;
	uint64_t seed;
	struct upstream_behaviour k;
	bool one;
};

static bool
parse_set(struct opts *o, const char *text)
{
	json_t *v = json_loads(text, 0, NULL);

	if (v == NULL)
		return (false);
	behaviour_apply(&o->k, v, evloop_now_us());
	json_decref(v);
	return (true);
}

static bool
parse(struct opts *o, int argc, char **argv)
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
			n_ups = (int)strtol(optarg, NULL, 10);
		else if (opt == 'p')
			o->port = (uint16_t)strtoul(optarg, NULL, 10);
		else if (opt == 't')
			n_loops = (int)strtol(optarg, NULL, 10);
		else if (opt == 'u')
			o->k.service_us = strtol(optarg, NULL, 10);
		else if (opt == 's')
			o->seed = strtoull(optarg, NULL, 10);
		else if (opt == 'a')
			o->admin_port = (uint16_t)strtoul(optarg, NULL, 10);
		else if (opt != 'j' || !parse_set(o, optarg))
			return (false);
	}
	if (optind < argc) {
		o->one = true;
		o->k.dist = BEHAVIOUR_CONST;
		o->port = (uint16_t)strtoul(argv[optind], NULL, 10);
		if (optind + 1 < argc)
			o->k.service_us = strtol(argv[optind + 1], NULL, 10);
	}
	return (n_ups > 0 && n_loops > 0 && n_loops <= MAX_THREADS);
}

int
main(int argc, char **argv)
{
	struct opts o = {.seed = 1};
	struct rlimit lim;
	pthread_t thread;
	sigset_t set;
	int sig;

	behaviour_init(&o.k);
	if (!parse(&o, argc, argv)) {
		fputs("upstream: bad arguments\n", stderr);
		return (2);
	}
	if (getrlimit(RLIMIT_NOFILE, &lim) == 0) {
		lim.rlim_cur = lim.rlim_max;
		setrlimit(RLIMIT_NOFILE, &lim);
	}
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	upstream_sim_keys_init(&keys);
	ups = calloc((size_t)n_ups, sizeof(*ups));
	for (int i = 0; i < n_loops; i++) {
		if (!evloop_init(&loops[i]))
			return (1);
	}
	for (int i = 0; i < n_ups; i++) {
		uint16_t port =
		    o.port == 0 ? 0 : (uint16_t)(o.port + (uint16_t)i);

		ups[i].index = i;
		ups[i].loop = &loops[i % n_loops];
		ups[i].keys = &keys;
		if (!upstream_sim_start(&ups[i], port, o.seed, &o.k)) {
			perror("listen");
			return (1);
		}
	}
	if (!o.one && admin_start(&o.admin_port, on_admin, NULL) != 0)
		return (1);
	for (int i = 0; i < n_loops; i++)
		pthread_create(&thread, NULL, run_loop, &loops[i]);
	if (!o.one)
		printf("admin %u\n", o.admin_port);
	for (int i = 0; i < n_ups && !o.one; i++)
		printf("port %d %u\n", i, ups[i].port);
	if (o.one)
		printf("port %u\n", ups[0].port);
	fflush(stdout);
	sigwait(&set, &sig);
	_exit(0);
}
