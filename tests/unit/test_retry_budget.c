#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "route/retry_budget.h"

static int
take_all(struct retry_budget *b, int64_t now_us)
{
	int n = 0;

	while (retry_budget_take(b, now_us))
		n++;
	return (n);
}

/* Guards against retries above 10% of the successful calls. */
static void
test_share(void **state)
{
	struct retry_budget b;

	(void)state;
	retry_budget_init(&b, &(struct retry_budget_desc){0}, 0);
	assert_int_equal(take_all(&b, 0), 1);
	for (int i = 0; i < 100; i++)
		retry_budget_on_success(&b);
	assert_int_equal(take_all(&b, 0), 10);
}

/*
 * Guards against a budget that accumulates more than the burst while no retry
 * is sent, and against one that is never refilled at the minimum rate.
 */
static void
test_limits(void **state)
{
	struct retry_budget b;

	(void)state;
	retry_budget_init(
	    &b, &(struct retry_budget_desc){.burst = 5, .min_per_s = 2}, 1000);
	for (int i = 0; i < 1000; i++)
		retry_budget_on_success(&b);
	assert_int_equal(take_all(&b, 1000), 5);
	assert_int_equal(take_all(&b, 1000 + 499999), 0);
	assert_int_equal(take_all(&b, 1000 + 500000), 1);
	assert_int_equal(take_all(&b, INT64_MAX / 2), 5);
	/* A clock that steps backwards must not add retries. */
	assert_int_equal(take_all(&b, 0), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_share),
	    cmocka_unit_test(test_limits),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
