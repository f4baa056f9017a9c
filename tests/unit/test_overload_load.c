/*
 * Tests loads from half of the capacity to twice the capacity in virtual time,
 * like the other load patterns in test_overload.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/overload_check.h"

static void
test_load_0_5(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){.load = {0.1, 0.4}, .retries = 1}, "load 0.5");
}

static void
test_load_1(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){.load = {0.2, 0.8}, .retries = 1}, "load 1");
}

static void
test_load_2(void **state)
{
	(void)state;
	overload_check_pattern(
	    &(struct osim_desc){.load = {0.4, 1.6}, .retries = 1}, "load 2");
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_load_0_5),
	    cmocka_unit_test(test_load_1),
	    cmocka_unit_test(test_load_2),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
