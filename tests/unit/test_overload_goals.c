/*
 * Bounds of docs/workspaces-and-overload.md that are not met yet: goodput near
 * that of one central queue, rejections within an eighth of the goal, and the
 * urgent calls where they alone nearly fill the upstreams.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/overload_check.h"

#define URGENT_GOOD 0.97
#define GOODPUT 0.95
#define GOODPUT_AT_3 0.90
#define EARLY 0.99

static void
check(const struct osim_desc *d, const char *name, double goodput)
{
	static struct overload_result r;
	int bad;

	overload_run(d, name, &r);
	bad = overload_check(&r, OVERLOAD_URGENT, URGENT_GOOD);
	bad += overload_check(&r, OVERLOAD_GOODPUT, goodput);
	bad += overload_check(&r, OVERLOAD_EARLY, EARLY);
	assert_int_equal(bad, 0);
}

static void
test_burst_of_urgent_near_capacity(void **state)
{
	(void)state;
	check(&(struct osim_desc){.load = {0.8, 0.3}, .retries = 2},
	    "burst of the urgent near the capacity", GOODPUT);
}

static void
test_half_refused(void **state)
{
	(void)state;
	check(
	    &(struct osim_desc){
		.fault = OSIM_REFUSE_HALF, .load = {0.2, 0.6}, .retries = 2},
	    "half of the requests refused", 0);
}

static void
test_load_1_5(void **state)
{
	(void)state;
	check(&(struct osim_desc){.load = {0.3, 1.2}, .retries = 1}, "load 1.5",
	    GOODPUT);
}

static void
test_load_3(void **state)
{
	(void)state;
	check(&(struct osim_desc){.load = {0.6, 2.4}, .retries = 1}, "load 3",
	    GOODPUT_AT_3);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_burst_of_urgent_near_capacity),
	    cmocka_unit_test(test_half_refused),
	    cmocka_unit_test(test_load_1_5),
	    cmocka_unit_test(test_load_3),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
