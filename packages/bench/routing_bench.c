#include "bench/routing_bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "base/alloc.h"
#include "route/routing.h"

#define DEFAULT_CALLS 100000
/* The fastest of several rounds is least affected by other processes. */
#define ROUNDS 5
#define SLOTS 6
#define NAME_MAX_LEN 48
#define NS_PER_S 1000000000LL
#define NOW_US 1000000 /* clock value of all routing decisions */

static const uint32_t upstream_counts[] = {38, 500, 2000, 7300};
static const uint32_t service_counts[] = {3, 50, 200, 540};

/* Storage of the names and arrays of one service. */
struct service {
	char name[NAME_MAX_LEN];
	char host[2][NAME_MAX_LEN];
	struct bstr hosts[2];
	struct rt_upstream *upstreams;
};

/* A routing table and the services it is built from. */
struct fleet {
	struct service *services;
	struct rt_service *desc;
	uint32_t n;
	struct rt_table *table;
};

/* Nanoseconds per call of each routing step and of all steps together. */
struct cost {
	double host;
	double service;
	double route;
	double pick;
	double all;
};

static struct rt_route routes[] = {
    {.prefix = {"/", 1}, .idempotent = true, .timeout_ms = 1000},
    {.prefix = {"/api/refunds/", 13}, .timeout_ms = 1000},
    {.prefix = {"/api/", 5}, .timeout_ms = 1000},
};

static struct rt_version versions[] = {
    {.name = {"v1", 2}, .share = 900},
    {.name = {"v2", 2}, .share = 100},
};

static const struct bstr paths[] = {
    {"/static/page", 12},
    {"/api/refunds/17", 15},
    {"/api/payments/4", 15},
    {"/", 1},
};

#define N_PATHS (sizeof(paths) / sizeof(*paths))

static int64_t
now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec * NS_PER_S + t.tv_nsec);
}

static void
make_service(struct fleet *f, uint32_t i, uint32_t n_upstreams)
{
	struct service *s = &f->services[i];

	snprintf(s->name, sizeof(s->name), "service-%u", i);
	s->upstreams = alloc_zeroed(n_upstreams, sizeof(*s->upstreams));
	for (int h = 0; h < 2; h++) {
		snprintf(s->host[h], sizeof(s->host[h]), "%s-%u.example.com",
		    h == 0 ? "service" : "alias", i);
		s->hosts[h] = bstr_from(s->host[h]);
	}
	for (uint32_t k = 0; k < n_upstreams; k++)
		s->upstreams[k] = (struct rt_upstream){.id = BSTR("upstream"),
		    .addr = BSTR("127.0.0.1:1"),
		    .zone = BSTR("a"),
		    .version = k % 4 == 0,
		    .slots = SLOTS,
		    .stat = rt_stat_new()};
	f->desc[i] = (struct rt_service){.name = bstr_from(s->name),
	    .hosts = s->hosts,
	    .n_hosts = 2,
	    .routes = routes,
	    .n_routes = sizeof(routes) / sizeof(*routes),
	    .versions = versions,
	    .n_versions = sizeof(versions) / sizeof(*versions),
	    .upstreams = s->upstreams,
	    .n_upstreams = n_upstreams,
	    .slots = SLOTS};
}

static void
fleet_init(struct fleet *f, uint32_t n_upstreams, uint32_t n_services)
{
	f->n = n_services;
	f->services = alloc_zeroed(n_services, sizeof(*f->services));
	f->desc = alloc_zeroed(n_services, sizeof(*f->desc));
	for (uint32_t i = 0; i < n_services; i++)
		make_service(f, i,
		    n_upstreams * (i + 1) / n_services -
			n_upstreams * i / n_services);
	f->table = rt_table_new(
	    &(struct rt_desc){.services = f->desc, .n_services = n_services});
}

static void
fleet_finish(struct fleet *f)
{
	rt_table_free(f->table);
	for (uint32_t i = 0; i < f->n; i++) {
		for (uint32_t k = 0; k < f->desc[i].n_upstreams; k++)
			rt_stat_unref(f->services[i].upstreams[k].stat);
		free(f->services[i].upstreams);
	}
	free(f->services);
	free(f->desc);
}

/*
 * Makes the routing decision of one call. Returns a value that depends on all
 * steps, so that the compiler cannot remove any of them.
 */
static uintptr_t
route_call(const struct fleet *f, struct bstr host, struct bstr path,
    struct random *rng)
{
	const struct rt_request req = {0};
	const struct rt_service *s = rt_find_host(f->table, host);
	const struct rt_route *r = rt_find_route(s, path);

	return ((uintptr_t)r + (uintptr_t)rt_pick(s, &req, NOW_US, rng));
}

/* Records the time per call since @start in @lowest if it is the lowest. */
static void
update_lowest(double *lowest, int64_t start, uint32_t calls)
{
	double ns = (double)(now_ns() - start) / calls;

	if (*lowest == 0 || ns < *lowest)
		*lowest = ns;
}

/*
 * Measures each step over all calls and updates @cost with the lower times.
 * Returns a value that depends on all steps, so that the compiler cannot remove
 * any of them.
 */
static uintptr_t
measure_round(const struct fleet *f, const uint32_t *order, uint32_t calls,
    struct random *rng, struct cost *cost)
{
	const struct rt_request req = {0};
	uintptr_t checksum = 0;
	int64_t start = now_ns();

	for (uint32_t i = 0; i < calls; i++)
		checksum += (uintptr_t)rt_find_host(
		    f->table, f->services[order[i]].hosts[i % 2]);
	update_lowest(&cost->host, start, calls);
	start = now_ns();
	for (uint32_t i = 0; i < calls; i++)
		checksum += (uintptr_t)rt_find_service(
		    f->table, f->desc[order[i]].name);
	update_lowest(&cost->service, start, calls);
	start = now_ns();
	for (uint32_t i = 0; i < calls; i++)
		checksum += (uintptr_t)rt_find_route(
		    &f->desc[order[i]], paths[i % N_PATHS]);
	update_lowest(&cost->route, start, calls);
	start = now_ns();
	for (uint32_t i = 0; i < calls; i++)
		checksum +=
		    (uintptr_t)rt_pick(&f->desc[order[i]], &req, NOW_US, rng);
	update_lowest(&cost->pick, start, calls);
	start = now_ns();
	for (uint32_t i = 0; i < calls; i++)
		checksum += route_call(f, f->services[order[i]].hosts[i % 2],
		    paths[i % N_PATHS], rng);
	update_lowest(&cost->all, start, calls);
	return (checksum);
}

static uintptr_t
measure(uint32_t upstreams, uint32_t services,
    const struct routing_bench_desc *desc, struct cost *cost)
{
	uint32_t calls = desc->calls == 0 ? DEFAULT_CALLS : desc->calls;
	uint32_t *order = alloc_zeroed(calls, sizeof(*order));
	struct fleet f;
	struct random rng;
	uintptr_t checksum = 0;

	rng_init(&rng, desc->seed);
	fleet_init(&f, upstreams, services);
	for (uint32_t i = 0; i < calls; i++)
		order[i] = rng_below(&rng, services);
	for (int r = 0; r < ROUNDS; r++)
		checksum += measure_round(&f, order, calls, &rng, cost);
	fleet_finish(&f);
	free(order);
	return (checksum);
}

void
routing_bench_run(const struct routing_bench_desc *desc)
{
	const char *fmt = desc->json
	    ? "{\"upstreams\":%u,\"services\":%u,\"find_host_ns\":%.1f,"
	      "\"find_service_ns\":%.1f,\"find_route_ns\":%.1f,"
	      "\"pick_ns\":%.1f,\"host_route_pick_ns\":%.1f}\n"
	    : "%9u %8u %8.0f %8.0f %8.0f %8.0f %8.0f\n";
	volatile uintptr_t sink = 0;

	if (!desc->json)
		printf("upstreams services  host_ns  name_ns route_ns  pick_ns "
		       "  all_ns\n");
	for (size_t u = 0; u < sizeof(upstream_counts) / sizeof(uint32_t);
	     u++) {
		for (size_t s = 0;
		     s < sizeof(service_counts) / sizeof(uint32_t); s++) {
			struct cost c = {0};

			if (upstream_counts[u] < service_counts[s])
				continue;
			sink += measure(
			    upstream_counts[u], service_counts[s], desc, &c);
			printf(fmt, upstream_counts[u], service_counts[s],
			    c.host, c.service, c.route, c.pick, c.all);
		}
	}
	(void)sink;
}
