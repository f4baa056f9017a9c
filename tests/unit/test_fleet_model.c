/*
 * Performance targets of the upstream selection in the virtual-time model. The
 * result of each run depends only on its settings and seed.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "model/fleet_model.h"

#define CALLS 60000
#define SEEDS 3

static struct model_result results[MODEL_POLICY_COUNT];

static void
run_all(enum model_fault fault, double load, uint64_t seed)
{
	for (int p = 0; p < MODEL_POLICY_COUNT; p++) {
		struct model_desc d = {.policy = (enum model_policy)p,
		    .fault = fault,
		    .load = load,
		    .calls = CALLS,
		    .seed = seed};

		model_run(&d, &results[p]);
	}
	printf("seed %llu fault %s load %.2f\n", (unsigned long long)seed,
	    model_fault_name(fault), load);
}

static uint64_t
p99(enum model_policy p)
{
	return (hist_quantile(&results[p].latency, 0.99));
}

static uint64_t
best_baseline_p99(void)
{
	uint64_t best = p99(MODEL_RANDOM);

	if (p99(MODEL_ROUND_ROBIN) < best)
		best = p99(MODEL_ROUND_ROBIN);
	if (p99(MODEL_TWO_CHOICES) < best)
		best = p99(MODEL_TWO_CHOICES);
	return (best);
}

/* Guards against a slow upstream dominating tail latency at 85% load. */
static void
test_slow_upstream(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		run_all(MODEL_SLOW, 0.85, seed);
		assert_true(p99(MODEL_PRODUCT) * 2 <= best_baseline_p99());
		assert_true(results[MODEL_PRODUCT].goodput >= 0.84);
	}
}

/* Guards against congestion collapse at 150% offered load. */
static void
test_overload_goodput(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		run_all(MODEL_NO_FAULT, 1.5, seed);
		assert_true(results[MODEL_PRODUCT].goodput >= 0.95);
	}
}

/* Guards against an upstream attracting calls because it fails them fast. */
static void
test_fail_fast_not_preferred(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		run_all(MODEL_FAIL_FAST, 0.85, seed);
		assert_true(results[MODEL_PRODUCT].faulty_share < 0.01);
		run_all(MODEL_FAIL_FAST, 1.5, seed);
		assert_true(results[MODEL_PRODUCT].faulty_share < 0.02);
	}
}

/*
 * Guards against herding: VMs that all send their calls to the same upstream,
 * because they receive the same load reports.
 */
static void
test_no_herding(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		run_all(MODEL_NO_FAULT, 0.85, seed);
		assert_true(p99(MODEL_PRODUCT) <= best_baseline_p99());
		run_all(MODEL_SHIFT, 0.85, seed);
		assert_true(p99(MODEL_PRODUCT) <= best_baseline_p99());
	}
}

/* Guards against results that differ between runs with the same seed. */
static void
test_same_seed_same_result(void **state)
{
	struct model_desc d = {.fault = MODEL_SHIFT, .calls = 5000, .seed = 7};
	static struct model_result a, b;

	(void)state;
	model_run(&d, &a);
	model_run(&d, &b);
	assert_memory_equal(&a, &b, sizeof(a));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_slow_upstream),
	    cmocka_unit_test(test_overload_goodput),
	    cmocka_unit_test(test_fail_fast_not_preferred),
	    cmocka_unit_test(test_no_herding),
	    cmocka_unit_test(test_same_seed_same_result),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
