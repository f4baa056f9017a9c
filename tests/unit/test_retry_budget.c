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

/*
 * Guards against a fleet-wide budget that runs dry when upstreams refuse most
 * attempts: the share is one of the requests, whatever becomes of them.
 */
static void
test_limited(void **state)
{
	struct retry_budget b;

	(void)state;
	retry_budget_init(&b, &(struct retry_budget_desc){0}, 0);
	retry_budget_on_request(&b);
	assert_int_equal(take_all(&b, 0), 1);
	retry_budget_limit(&b, 140, 20);
	assert_int_equal(take_all(&b, 0), 20);
	for (int i = 0; i < 100; i++) {
		retry_budget_on_request(&b);
		retry_budget_on_success(&b);
	}
	assert_int_equal(take_all(&b, INT64_MAX / 2), 14);
}

/*
 * Guards against less urgent calls that use the retries kept for the most
 * urgent, and against a small share of a large fleet that they can never use.
 */
static void
test_spare(void **state)
{
	struct retry_budget b;

	(void)state;
	retry_budget_init(&b, &(struct retry_budget_desc){0}, 0);
	retry_budget_limit(&b, 140, 5);
	for (int i = 0; i < 3; i++) {
		assert_true(retry_budget_has_spare(&b, 0));
		assert_true(retry_budget_take(&b, 0));
	}
	assert_false(retry_budget_has_spare(&b, 0));
	assert_true(retry_budget_has(&b, 0));
	retry_budget_init(&b, &(struct retry_budget_desc){0}, 0);
	assert_int_equal(take_all(&b, 0), 1);
	retry_budget_limit(&b, 140, 1);
	assert_true(retry_budget_has_spare(&b, 0));
	assert_int_equal(take_all(&b, 0), 1);
	assert_false(retry_budget_has_spare(&b, 0));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_share),
	    cmocka_unit_test(test_limits),
	    cmocka_unit_test(test_limited),
	    cmocka_unit_test(test_spare),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
