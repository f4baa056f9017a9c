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
 * Ten times as much may take this many times the bytes, as arrays and hash
 * tables grow in steps. Pairs would take a hundred times the bytes.
 */
#define MAX_BYTES_RATIO 16.0
/*
 * The time to build may grow by this factor more than the time to make the
 * configuration and the lists, which is in proportion to them and meets the
 * limits of the processor's caches, too. Pairs would grow ten times more.
 */
#define MAX_TIME_FACTOR 6.0
#define ROUNDS 5
/* Most bytes that a build may take above the table that it replaces. */
#define MAX_BUILD_BYTES (10u << 20)
#define CHANGES 60

/**
 * struct cost - cost of one build
 * @make_us: processor time to make the configuration and the lists
 */
struct cost {
	size_t peak_bytes;
	size_t table_bytes;
	double cpu_us;
	double make_us;
};

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

/* Makes a fleet, and a configuration that the first table did not use. */
static double
make_fleet(struct fleet_view *f, const struct table_fleet_size *size)
{
	double start = cpu_us(), us;

	table_fleet_init(f, size);
	us = cpu_us() - start;
	rt_table_free(view_table(f, 0));
	/* Neither the keys nor the ranks of the VMs are reused. */
	view_set_config(f, table_fleet_config(size, 2));
	f->members_changed = true;
	return (us);
}

/* The least of several rounds is least affected by other processes. */
static struct cost
measure(const struct table_fleet_size *size)
{
	struct cost least = {SIZE_MAX, SIZE_MAX, 1e12, 1e12};

	for (int i = 0; i < ROUNDS; i++) {
		struct fleet_view f;
		double make_us = make_fleet(&f, size);
		struct cost c;

		rt_table_free(build(&f, &c));
		view_finish(&f);
		least.peak_bytes = MIN(least.peak_bytes, c.peak_bytes);
		least.table_bytes = MIN(least.table_bytes, c.table_bytes);
		least.cpu_us = MIN(least.cpu_us, c.cpu_us);
		least.make_us = MIN(least.make_us, make_us);
	}
	return (least);
}

static void
test_growth(void **state)
{
	unsigned broken = 0;

	(void)state;
	for (size_t i = 0; i < table_fleet_n_growths; i++) {
		struct table_fleet_size small = table_fleet_base,
					large = table_fleet_base;
		struct cost a, b;

		table_fleet_growths[i].set(&small, SMALL);
		table_fleet_growths[i].set(&large, LARGE);
		a = measure(&small);
		b = measure(&large);
		print_message("%-32s %9zu -> %10zu bytes, %7.0f -> %8.0f us, "
			      "lists %7.0f -> %8.0f us\n",
		    table_fleet_growths[i].what, a.peak_bytes, b.peak_bytes,
		    a.cpu_us, b.cpu_us, a.make_us, b.make_us);
		broken += (double)b.peak_bytes >
		    MAX_BYTES_RATIO * (double)a.peak_bytes;
		broken += b.cpu_us / a.cpu_us >
		    MAX_TIME_FACTOR * b.make_us / a.make_us;
	}
	assert_int_equal(broken, 0);
}

static void
test_design_size(void **state)
{
	struct cost c;

	(void)state;
	c = measure(&table_fleet_design);
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
	table_fleet_init(&f, &table_fleet_design);
	t = build(&f, &c);
	for (int i = 0; i < CHANGES; i++) {
		struct rt_table *next;

		view_set_config(
		    &f, table_fleet_config(&table_fleet_design, i + 2));
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
