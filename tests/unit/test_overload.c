/*
 * Tests the load patterns of docs/workspaces-and-overload.md in virtual time,
 * with the real modules, three sizes of the fleet, ten seeds and the baselines
 * in the same run. The bounds that are not met yet are in test_overload_goals.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/overload_check.h"

/* The most urgent calls were served worst: 79% against 93% within the goal. */
static void
test_burst_of_least_urgent(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){.load = {0.3, 1.2}, .retries = 2},
	    "burst of the least urgent");
}

static void
test_burst_of_urgent(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){.load = {0.6, 0.3}, .retries = 2},
	    "burst of the urgent");
}

static void
test_immediate_retries(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){
		.load = {0.3, 1.2}, .retries = 3, .impatient = true},
	    "three immediate retries");
}

static void
test_quarter_slow(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){
		.fault = OSIM_QUARTER_SLOW, .load = {0.2, 0.9}, .retries = 2},
	    "a quarter of the upstreams slow");
}

static void
test_zone_emptied(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){
		.fault = OSIM_ZONE_EMPTY, .load = {0.2, 0.8}, .retries = 2},
	    "a zone emptied");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_burst_of_least_urgent),
	    cmocka_unit_test(test_burst_of_urgent),
	    cmocka_unit_test(test_immediate_retries),
	    cmocka_unit_test(test_quarter_slow),
	    cmocka_unit_test(test_zone_emptied),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
