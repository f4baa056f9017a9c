/* Memory budget: who is refused first, and what is counted. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <pthread.h>

#include "front/byte_budget.h"

#define LIMIT 16000

/* Guards against urgent calls that are refused before less urgent ones. */
static void
test_priorities(void **state)
{
	struct byte_budget b;
	size_t filler = 0, share = 0;

	(void)state;
	budget_init(&b, LIMIT);
	assert_true(budget_take(&b, &filler, 1, 0, true));
	for (uint32_t priority = 0; priority < 12; priority++) {
		uint32_t parts = 16 - (priority < 8 ? priority : 8);

		budget_set(&b, &filler, parts * 1000 - 100);
		assert_true(budget_take(&b, &share, 100, priority, true));
		budget_set(&b, &share, 0);
		assert_false(budget_take(&b, &share, 101, priority, true));
		assert_false(budget_take(&b, &share, 100, priority, false));
		budget_set(&b, &filler, (parts - 4) * 1000 - 100);
		assert_true(budget_take(&b, &share, 100, priority, false));
		budget_set(&b, &share, 0);
	}
	budget_set(&b, &filler, LIMIT / 2);
	assert_false(budget_is_tight(&b));
	budget_set(&b, &filler, LIMIT / 2 + 1);
	assert_true(budget_is_tight(&b));
	budget_set(&b, &filler, 0);
	assert_int_equal(budget_held(&b), 0);
}

/* Guards against counting in a process without a limit. */
static void
test_unlimited(void **state)
{
	struct byte_budget b = {0};
	size_t share = 0;

	(void)state;
	assert_true(budget_take(&b, &share, SIZE_MAX, 100, false));
	budget_set(&b, &share, 5);
	assert_int_equal(share, 0);
	assert_int_equal(budget_held(&b), 0);
	assert_false(budget_is_tight(&b));
}

#define N_THREADS 4
#define N_ROUNDS 100000

static void *
run_shares(void *arg)
{
	struct byte_budget *b = arg;
	size_t share = 0;

	for (size_t i = 0; i < N_ROUNDS; i++) {
		if (budget_take(b, &share, 3000 + i % 3000, 0, true))
			budget_set(b, &share, i % 5000);
		budget_set(b, &share, 0);
	}
	return (NULL);
}

/* Guards against bytes that are lost between threads. */
static void
test_threads(void **state)
{
	struct byte_budget b;
	pthread_t t[N_THREADS];

	(void)state;
	budget_init(&b, LIMIT);
	for (int i = 0; i < N_THREADS; i++)
		pthread_create(&t[i], NULL, run_shares, &b);
	for (int i = 0; i < N_THREADS; i++)
		pthread_join(t[i], NULL);
	assert_int_equal(budget_held(&b), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_priorities),
	    cmocka_unit_test(test_unlimited),
	    cmocka_unit_test(test_threads),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
