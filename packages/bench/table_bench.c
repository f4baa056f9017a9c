#include "bench/table_bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/heap_meter.h"
#include "bench/table_fleet.h"

#define ROUNDS 5
#define LOOKUPS 200000
#define NAME_MAX_LEN 64
#define NS_PER_S 1e9

/** struct build_cost - cost of one build, the least of several */
struct build_cost {
	size_t peak_bytes;
	size_t table_bytes;
	double us;
};

static const uint32_t counts[] = {100, 1000, 10000};

static double
now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return ((double)t.tv_sec * NS_PER_S + (double)t.tv_nsec);
}

/* Builds the table of a configuration and lists that have just changed. */
static struct build_cost
build_once(struct fleet_view *f)
{
	size_t before = heap_meter_now();
	struct build_cost c;
	struct rt_table *t;
	double start;

	f->members_changed = true;
	heap_meter_reset_peak();
	start = now_ns();
	t = view_table(f, 0);
	c = (struct build_cost){.us = (now_ns() - start) / 1000,
	    .peak_bytes = heap_meter_peak() - before,
	    .table_bytes = heap_meter_now() - before};
	rt_table_free(t);
	return (c);
}

static struct build_cost
measure_build(const struct table_fleet_size *size)
{
	struct build_cost least = {0};
	struct fleet_view f;

	table_fleet_init(&f, size);
	for (int i = 0; i < ROUNDS; i++) {
		struct build_cost c;

		view_set_config(&f, table_fleet_config(size, i + 2));
		c = build_once(&f);
		if (i == 0 || c.us < least.us)
			least = c;
	}
	view_finish(&f);
	return (least);
}

static void
print_build(const char *what, uint32_t n, const struct build_cost *c, bool json)
{
	printf(json ? "{\"what\":\"%s\",\"n\":%u,\"peak_bytes\":%zu,"
		      "\"table_bytes\":%zu,\"build_us\":%.0f}\n"
		    : "%-31s %6u %12zu %12zu %10.0f\n",
	    what, n, c->peak_bytes, c->table_bytes, c->us);
}

/** struct lookup - a request that the table routes */
struct lookup {
	char host[NAME_MAX_LEN];
	char path[NAME_MAX_LEN];
};

static struct lookup *
make_lookups(const struct table_fleet_size *size)
{
	struct lookup *l = calloc(LOOKUPS, sizeof(*l));
	struct random rng;

	if (l == NULL)
		abort();
	rng_init(&rng, 1);
	for (uint32_t i = 0; i < LOOKUPS; i++) {
		uint32_t route = rng_below(&rng, size->routes);
		size_t n;

		table_fleet_host(
		    l[i].host, sizeof(l[i].host), route % size->hosts);
		table_fleet_prefix(l[i].path, sizeof(l[i].path), route);
		n = strlen(l[i].path);
		snprintf(l[i].path + n, sizeof(l[i].path) - n, "items/7");
	}
	return (l);
}

/* Nanoseconds of finding the host and the route of a request. */
static double
measure_lookup(const struct table_fleet_size *size)
{
	struct lookup *l = make_lookups(size);
	struct fleet_view f;
	struct rt_table *t;
	volatile uintptr_t sink = 0;
	double least = 0;

	table_fleet_init(&f, size);
	t = view_table(&f, 0);
	for (int r = 0; r < ROUNDS; r++) {
		double start = now_ns(), ns;

		for (uint32_t i = 0; i < LOOKUPS; i++) {
			const struct rt_service *s =
			    rt_find_host(t, bstr_from(l[i].host));

			sink +=
			    (uintptr_t)rt_find_route(s, bstr_from(l[i].path));
		}
		ns = (now_ns() - start) / LOOKUPS;
		if (r == 0 || ns < least)
			least = ns;
	}
	rt_table_free(t);
	view_finish(&f);
	free(l);
	return (least);
}

static void
print_lookup(uint32_t hosts, uint32_t routes, bool json)
{
	struct table_fleet_size size = table_fleet_base;

	size.hosts = hosts;
	size.routes = routes;
	printf(json ? "{\"hosts\":%u,\"routes\":%u,\"lookup_ns\":%.1f}\n"
		    : "%7u %7u %10.1f\n",
	    hosts, routes, measure_lookup(&size));
}

void
table_bench_run(bool json)
{
	struct build_cost c;

	if (!json)
		printf("grows                                n   peak_bytes  "
		       "table_bytes   "
		       "build_us\n");
	for (size_t g = 0; g < table_fleet_n_growths; g++) {
		for (size_t i = 0; i < sizeof(counts) / sizeof(*counts); i++) {
			struct table_fleet_size size = table_fleet_base;

			table_fleet_growths[g].set(&size, counts[i]);
			c = measure_build(&size);
			print_build(
			    table_fleet_growths[g].what, counts[i], &c, json);
		}
	}
	c = measure_build(&table_fleet_design);
	print_build("design", 1, &c, json);
	if (!json)
		printf("  hosts  routes  lookup_ns\n");
	print_lookup(10, 10, json);
	print_lookup(4500, 5000, json);
	print_lookup(1, 10, json);
	print_lookup(1, 5000, json);
}
