/*
 * camphorhollowd - load balancer daemon, one process on each entry VM.
 */
#include <getopt.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

#include "config/cfg.h"
#include "front/env.h"
#include "front/wrk.h"
#include "ops/set.h"
#include "platform/sto.h"
#include "sys/clk.h"

#define EXIT_USAGE 2
#define EXIT_SETTINGS 3
#define MAX_WORKERS 64

struct daemon {
	struct set set;
	struct env env;
	struct met met;
	struct wrk *workers[MAX_WORKERS];
	pthread_t threads[MAX_WORKERS];
};

static void *
run_worker(void *arg)
{
	wrk_run(arg);
	return (NULL);
}

static void
add_service(struct rt_service *out, const struct cfg_service *c)
{
	out->name = bstr_from(c->name);
	out->slots = c->slots;
	out->n_hosts = c->n_hosts;
	out->hosts = calloc(c->n_hosts, sizeof(*out->hosts));
	for (uint32_t i = 0; i < c->n_hosts; i++)
		out->hosts[i] = bstr_from(c->hosts[i]);
	out->n_routes = c->n_routes;
	out->routes = calloc(c->n_routes, sizeof(*out->routes));
	for (uint32_t i = 0; i < c->n_routes; i++)
		out->routes[i] =
		    (struct rt_route){bstr_from(c->routes[i].prefix),
			c->routes[i].idempotent, c->routes[i].timeout_ms};
	out->n_versions = c->n_versions;
	out->versions = calloc(c->n_versions, sizeof(*out->versions));
	for (uint32_t i = 0; i < c->n_versions; i++)
		out->versions[i] = (struct rt_version){
		    bstr_from(c->versions[i].name), c->versions[i].share};
	out->n_upstreams = c->n_upstreams;
	out->upstreams = calloc(c->n_upstreams, sizeof(*out->upstreams));
	for (uint32_t i = 0; i < c->n_upstreams; i++) {
		const struct cfg_upstream *u = &c->upstreams[i];
		struct rt_upstream *o = &out->upstreams[i];

		o->id = bstr_from(u->id);
		o->addr = bstr_from(u->addr);
		o->zone = bstr_from(u->zone);
		o->slots = c->slots;
		o->state = u->out ? RT_DRAINING : RT_READY;
		o->stat = rt_stat_new();
		for (uint32_t v = 0; v < c->n_versions; v++) {
			if (strcmp(c->versions[v].name, u->version) == 0)
				o->version = v;
		}
	}
}

static void
free_service(struct rt_service *s)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		rt_stat_unref(s->upstreams[i].stat);
	free(s->hosts);
	free(s->routes);
	free(s->versions);
	free(s->upstreams);
}

/* Reads all service objects from the store and publishes the routing table. */
static bool
load_config(struct daemon *d)
{
	struct sto_desc desc = {.addr = d->set.platform.addr,
	    .port = (uint16_t)d->set.platform.port};
	struct rt_service *services;
	struct cfg_service *parsed;
	struct rt_desc rd = {0};
	struct bbuf problems;
	GError *error = NULL;
	struct sto s;
	json_t *list, *objects, *o;
	size_t i;

	sto_init(&s, &desc);
	list = sto_list(&s, "config/service/", &error);
	sto_finish(&s);
	if (list == NULL) {
		g_message("config: %s", error->message);
		g_clear_error(&error);
		return (false);
	}
	bbuf_init(&problems);
	objects = json_object_get(list, "objects");
	services = calloc(json_array_size(objects) + 1, sizeof(*services));
	parsed = calloc(json_array_size(objects) + 1, sizeof(*parsed));
	json_array_foreach(objects, i, o)
	{
		struct cfg_service *c = &parsed[rd.n_services];

		if (cfg_parse_service(
			c, json_object_get(o, "value"), &problems))
			add_service(&services[rd.n_services++], c);
		else
			cfg_service_finish(c);
	}
	if (problems.n != 0)
		g_warning("config: %s", problems.p);
	rd.services = services;
	env_publish(&d->env, rt_table_new(&rd));
	for (uint32_t k = 0; k < rd.n_services; k++) {
		free_service(&services[k]);
		cfg_service_finish(&parsed[k]);
	}
	free(services);
	free(parsed);
	bbuf_finish(&problems);
	json_decref(list);
	return (true);
}

static bool
start_workers(struct daemon *d)
{
	GError *error = NULL;

	for (int64_t i = 0; i < d->set.workers; i++) {
		struct wrk_desc desc = {
		    .env = &d->env,
		    .addr = d->set.listen.addr,
		    .port = (uint16_t)d->set.listen.port,
		    .seed = (uint64_t)d->set.seed + (uint64_t)i,
		};

		d->workers[i] = wrk_new(&desc, &error);
		if (d->workers[i] == NULL) {
			g_warning("front: %s", error->message);
			return (false);
		}
		pthread_create(&d->threads[i], NULL, run_worker, d->workers[i]);
	}
	return (true);
}

static int
run(struct daemon *d)
{
	static struct rt_desc empty;
	sigset_t set;
	int sig;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rcu_register_thread();
	d->env.met = &d->met;
	d->env.max_keyed_body = (size_t)d->set.max_keyed_body;
	d->env.table = rt_table_new(&empty);
	if (load_config(d))
		atomic_store(&d->env.fresh_until_us, INT64_MAX);
	if (!start_workers(d))
		return (EXIT_FAILURE);
	g_message("main: ready");
	sigwait(&set, &sig);
	g_message("main: shutting down");
	atomic_store(&d->env.leaving, true);
	for (int64_t i = 0; i < d->set.workers; i++)
		wrk_stop(d->workers[i]);
	for (int64_t i = 0; i < d->set.workers; i++) {
		pthread_join(d->threads[i], NULL);
		wrk_free(d->workers[i]);
	}
	rt_table_free(d->env.table);
	rcu_unregister_thread();
	return (EXIT_SUCCESS);
}

static void
usage(FILE *out)
{
	fputs("usage: camphorhollowd --settings FILE\n"
	      "       camphorhollowd --check-settings FILE\n",
	    out);
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"settings", required_argument, NULL, 's'},
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
	ok = set_load(&d.set, path, &problems);
	if (!ok)
		fputs(problems.p, stderr);
	bbuf_finish(&problems);
	rc = ok ? EXIT_SUCCESS : EXIT_SETTINGS;
	if (ok && !check)
		rc = run(&d);
	set_finish(&d.set);
	return (rc);
}
