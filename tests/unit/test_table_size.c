/*
 * Tests what it costs to build a routing table. Guards against a table that
 * takes memory or processor time for each pair of things that the configuration
 * and the lists name, such as each route for each host: with 2,800 hosts a VM
 * exceeded its memory and was killed, with the requests of its callers.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <time.h>

#include "bench/heap_meter.h"
#include "bench/table_fleet.h"

#define SMALL 1000
#define LARGE 10000
/*
 * Ten times as much may cost this many times more: arrays and hash tables grow
 * in steps, and a larger table no longer fits into the processor's caches.
 * Pairs would cost a hundred times more.
 */
#define MAX_BYTES_RATIO 16.0
#define MAX_TIME_RATIO 40.0
#define ROUNDS 5
/* Most bytes that a build may take above the table that it replaces. */
#define MAX_BUILD_BYTES (10u << 20)
#define CHANGES 60

/** struct cost - cost of one build */
struct cost {
	size_t peak_bytes;
	size_t table_bytes;
	double cpu_us;
};

static const struct table_fleet_size base = {.routes = 10,
    .hosts = 10,
    .services = 10,
    .upstreams = 40,
    .versions = 1,
    .vms = 13};

/* The design size of docs/CAPACITY.md, and 4,500 hosts in one configuration. */
static const struct table_fleet_size design = {.routes = 5000,
    .hosts = 4500,
    .services = 540,
    .upstreams = 7300,
    .versions = 2,
    .vms = 174,
    .workspaces = 1000};

static double
cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return ((double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3);
}

static struct rt_table *
build(struct fleet_view *f, struct cost *cost)
{
	size_t before = heap_meter_now();
	double start = cpu_us();
	struct rt_table *t;

	heap_meter_reset_peak();
	t = view_table(f, 0);
	cost->cpu_us = cpu_us() - start;
	cost->peak_bytes = heap_meter_peak() - before;
	cost->table_bytes = heap_meter_now() - before;
	return (t);
}

/* The least of several builds is least affected by other processes. */
static struct cost
measure(const struct table_fleet_size *size)
{
	struct cost least = {SIZE_MAX, SIZE_MAX, 1e12};
	struct fleet_view f;

	table_fleet_init(&f, size);
	for (int i = 0; i < ROUNDS; i++) {
		struct cost c;

		/* Neither the keys nor the ranks of the VMs are reused. */
		view_set_config(&f, table_fleet_config(size, i + 2));
		f.members_changed = true;
		rt_table_free(build(&f, &c));
		least.peak_bytes = MIN(least.peak_bytes, c.peak_bytes);
		least.table_bytes = MIN(least.table_bytes, c.table_bytes);
		least.cpu_us = MIN(least.cpu_us, c.cpu_us);
	}
	view_finish(&f);
	return (least);
}

/** struct growth_case - what grows, all else as in @base */
struct growth_case {
	const char *what;
	void (*set)(struct table_fleet_size *size, uint32_t n);
};

static void
set_routes(struct table_fleet_size *size, uint32_t n)
{
	size->routes = n;
}

static void
set_hosts(struct table_fleet_size *size, uint32_t n)
{
	size->routes = size->hosts = n;
}

static void
set_services(struct table_fleet_size *size, uint32_t n)
{
	size->services = n;
}

static void
set_upstreams(struct table_fleet_size *size, uint32_t n)
{
	size->upstreams = n;
}

static void
set_services_with_upstreams(struct table_fleet_size *size, uint32_t n)
{
	size->services = size->upstreams = n;
}

static void
set_services_with_routes(struct table_fleet_size *size, uint32_t n)
{
	size->services = size->routes = n;
}

static void
set_versions(struct table_fleet_size *size, uint32_t n)
{
	size->services = 1;
	size->versions = size->upstreams = n;
}

static void
set_vms(struct table_fleet_size *size, uint32_t n)
{
	size->vms = n;
}

static void
set_workspaces(struct table_fleet_size *size, uint32_t n)
{
	size->workspaces = n;
}

static const struct growth_case cases[] = {
    {"routes", set_routes},
    {"hosts", set_hosts},
    {"services", set_services},
    {"upstreams", set_upstreams},
    {"services with an upstream each", set_services_with_upstreams},
    {"services with a route each", set_services_with_routes},
    {"versions with an upstream each", set_versions},
    {"VMs", set_vms},
    {"workspaces", set_workspaces},
};

static void
test_growth(void **state)
{
	unsigned broken = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct table_fleet_size small = base, large = base;
		struct cost a, b;

		cases[i].set(&small, SMALL);
		cases[i].set(&large, LARGE);
		a = measure(&small);
		b = measure(&large);
		print_message("%-32s %9zu -> %10zu bytes, %8.0f -> %9.0f us\n",
		    cases[i].what, a.peak_bytes, b.peak_bytes, a.cpu_us,
		    b.cpu_us);
		broken += (double)b.peak_bytes >
		    MAX_BYTES_RATIO * (double)a.peak_bytes;
		broken += b.cpu_us > MAX_TIME_RATIO * a.cpu_us;
	}
	assert_int_equal(broken, 0);
}

static void
test_design_size(void **state)
{
	struct cost c;

	(void)state;
	c = measure(&design);
	print_message("design size: %zu bytes while it is built, then %zu, "
		      "%.0f us\n",
	    c.peak_bytes, c.table_bytes, c.cpu_us);
	assert_true(c.peak_bytes <= MAX_BUILD_BYTES);
}

/* Nothing of a table and its configuration is left when they are replaced. */
static void
test_changes(void **state)
{
	struct fleet_view f;
	struct rt_table *t;
	struct cost c;
	size_t after_first = 0;

	(void)state;
	table_fleet_init(&f, &design);
	t = build(&f, &c);
	for (int i = 0; i < CHANGES; i++) {
		struct rt_table *next;

		view_set_config(&f, table_fleet_config(&design, i + 2));
		next = build(&f, &c);
		assert_true(c.peak_bytes <= MAX_BUILD_BYTES);
		rt_table_free(t);
		t = next;
		if (i == 0)
			after_first = heap_meter_now();
	}
	print_message("%d changes: %zu bytes after the first, %zu at the end\n",
	    CHANGES, after_first, heap_meter_now());
	assert_true(heap_meter_now() <= after_first + after_first / 100);
	rt_table_free(t);
	view_finish(&f);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_growth),
	    cmocka_unit_test(test_design_size),
	    cmocka_unit_test(test_changes),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
