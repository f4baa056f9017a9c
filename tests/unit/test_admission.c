/*
 * Tests admission in virtual time with the real modules: the load patterns and
 * bounds of docs/workspaces-and-overload.md at three sizes of the fleet, and
 * what happens when a part fails.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <stdio.h>

#include "admission/admission.h"
#include "lib/overload_sim.h"

#define N_SEEDS 10
#define N_SIZES 3
#define URGENT_GOOD 0.97
#define EARLY 0.99
#define SIZES_DIFFER 0.03
#define LEAST_SHARE 0.25

static const uint32_t sizes[N_SIZES] = {19, 121, 500};

/** struct bound - what a load pattern has to keep */
struct bound {
	const char *name;
	double urgent_good;
	double goodput;
};

static double
ratio(double a, double b)
{
	return (b == 0 ? 1 : a / b);
}

static double
good(const struct osim_result *r, int c)
{
	return (ratio(r->class[c].good, r->class[c].calls));
}

static double
served(const struct osim_result *r)
{
	return (ratio(r->class[0].served + r->class[1].served,
	    r->class[0].calls + r->class[1].calls));
}

static void
run(struct osim_desc d, enum osim_policy policy, uint32_t n_vms, int n_seeds,
    struct osim_result *r)
{
	*r = (struct osim_result){0};
	d.policy = policy;
	d.n_vms = n_vms;
	for (int i = 1; i <= n_seeds; i++) {
		d.seed = (uint64_t)i;
		osim_run(&d, r);
	}
}

/* Prints a bound that is not kept; returns 1 then. */
static int
check(
    const struct bound *b, uint32_t n, const char *what, double x, double least)
{
	if (x >= least)
		return (0);
	printf("%s, %u VMs: %s %.3f, bound %.3f\n", b->name, n, what, x, least);
	return (1);
}

/*
 * One load pattern: the bounds at each size with all seeds, and the baselines
 * in the same run. A central queue that sees everything gives the capacity.
 */
static int
check_pattern(const struct osim_desc *d, const struct bound *b)
{
	static const char *const names[OSIM_POLICIES] = {
	    "admission", "wait a third", "first come", "no queue", "central"};
	struct osim_result r[N_SIZES], base[OSIM_POLICIES], *x;
	int bad = 0;

	for (int p = 1; p < OSIM_POLICIES; p++) {
		run(*d, (enum osim_policy)p, sizes[0], N_SEEDS, &base[p]);
		printf("%s, %u VMs, %s: urgent %.3f, least %.3f\n", b->name,
		    sizes[0], names[p], good(&base[p], 0), good(&base[p], 1));
	}
	for (int i = 0; i < N_SIZES; i++) {
		x = &r[i];
		run(*d, OSIM_ADMISSION, sizes[i], N_SEEDS, x);
		printf("%s, %u VMs: urgent %.3f, least %.3f, goodput %.3f, "
		       "early %.3f\n",
		    b->name, sizes[i], good(x, 0), good(x, 1),
		    x->work / base[OSIM_CENTRAL].work * sizes[0] / sizes[i],
		    ratio(x->early_rejections, x->rejections));
		bad += check(b, sizes[i], "urgent", good(x, 0), b->urgent_good);
		bad += check(b, sizes[i], "goodput",
		    x->work / base[OSIM_CENTRAL].work * sizes[0] / sizes[i],
		    b->goodput);
		bad += check(b, sizes[i], "early rejections",
		    ratio(x->early_rejections, x->rejections), EARLY);
		bad += check(b, sizes[i], "least urgent",
		    ratio(x->class[1].served, x->class[1].calls),
		    LEAST_SHARE * served(x));
		assert_int_equal(x->wrong, 0);
	}
	bad += check(b, sizes[2], "as with 19 VMs",
	    -fabs(good(&r[2], 0) - good(&r[0], 0)), -SIZES_DIFFER);
	bad += check(b, sizes[0], "above the present wait",
	    good(&r[0], 0) - good(&base[OSIM_WAIT_THIRD], 0), 0);
	return (bad);
}

/* The most urgent calls were served worst: 79% against 93% within the goal. */
static void
test_burst_of_least_urgent(void **state)
{
	const struct osim_desc d = {.load = {0.3, 1.2}, .retries = 2};

	(void)state;
	assert_int_equal(check_pattern(&d,
			     &(struct bound){"burst of the least urgent",
				 URGENT_GOOD, 0.95}),
	    0);
}

static void
test_burst_of_urgent(void **state)
{
	const struct osim_desc d = {.load = {0.8, 0.3}, .retries = 2};

	(void)state;
	assert_int_equal(
	    check_pattern(
		&d, &(struct bound){"burst of the urgent", URGENT_GOOD, 0.95}),
	    0);
}

static void
test_half_refused(void **state)
{
	const struct osim_desc d = {
	    .fault = OSIM_REFUSE_HALF, .load = {0.2, 0.6}, .retries = 2};

	(void)state;
	assert_int_equal(check_pattern(&d,
			     &(struct bound){"half of the requests refused",
				 URGENT_GOOD, 0}),
	    0);
}

static void
test_immediate_retries(void **state)
{
	const struct osim_desc d = {
	    .load = {0.3, 1.2}, .retries = 3, .impatient = true};

	(void)state;
	assert_int_equal(
	    check_pattern(&d,
		&(struct bound){"three immediate retries", URGENT_GOOD, 0.95}),
	    0);
}

static void
test_quarter_slow(void **state)
{
	const struct osim_desc d = {
	    .fault = OSIM_QUARTER_SLOW, .load = {0.2, 0.9}, .retries = 2};

	(void)state;
	assert_int_equal(check_pattern(&d,
			     &(struct bound){"a quarter of the upstreams slow",
				 URGENT_GOOD, 0.95}),
	    0);
}

static void
test_zone_emptied(void **state)
{
	const struct osim_desc d = {
	    .fault = OSIM_ZONE_EMPTY, .load = {0.2, 0.8}, .retries = 2};

	(void)state;
	assert_int_equal(
	    check_pattern(
		&d, &(struct bound){"a zone emptied", URGENT_GOOD, 0.95}),
	    0);
}

static void
test_half_to_three_times_the_capacity(void **state)
{
	static const double loads[] = {0.5, 1, 1.5, 2, 3};
	char name[32];
	int bad = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(loads) / sizeof(*loads); i++) {
		struct osim_desc d = {
		    .load = {0.2 * loads[i], 0.8 * loads[i]}, .retries = 1};
		struct bound b = {name, URGENT_GOOD, 0.95};

		snprintf(name, sizeof(name), "load %.1f", loads[i]);
		b.goodput = loads[i] > 1.5 ? 0.90 : 0.95;
		bad += check_pattern(&d, &b);
	}
	assert_int_equal(bad, 0);
}

/* A large workspace must not take the room of small ones. */
static void
test_fair_between_workspaces(void **state)
{
	const struct osim_desc d = {
	    .load = {0.3, 1.7}, .retries = 1, .workspaces = true};
	double share[OSIM_WORKSPACES], mean = 0, worst = 0;
	struct osim_result r;

	(void)state;
	run(d, OSIM_ADMISSION, 121, N_SEEDS, &r);
	for (int i = 0; i < OSIM_WORKSPACES; i++) {
		share[i] = r.workspace_served[i] / r.workspace_calls[i];
		mean += share[i] / OSIM_WORKSPACES;
		for (int k = i; k > 0 && share[k] < share[k - 1]; k--) {
			double t = share[k];

			share[k] = share[k - 1];
			share[k - 1] = t;
		}
	}
	for (int i = 0; i < OSIM_WORKSPACES / 10; i++)
		worst += share[i] / (OSIM_WORKSPACES / 10);
	printf("workspaces: mean %.3f, worst tenth %.3f\n", mean, worst);
	assert_true(worst >= 0.9 * mean);
}

/*
 * A part fails during a burst: each call still gets one answer, and the urgent
 * calls of the rest of the fleet are served as without the failure.
 */
static void
check_failure(enum osim_fault fault, double least_good)
{
	const struct osim_desc d = {
	    .fault = fault, .load = {0.3, 1.2}, .retries = 2};
	struct osim_result r;

	for (int i = 0; i < N_SIZES; i++) {
		run(d, OSIM_ADMISSION, sizes[i], N_SEEDS, &r);
		printf("failure %d, %u VMs: urgent %.3f, served %.3f\n", fault,
		    sizes[i], good(&r, 0), served(&r));
		assert_int_equal(r.wrong, 0);
		assert_true(good(&r, 0) >= least_good);
	}
}

static void
test_vm_killed(void **state)
{
	(void)state;
	check_failure(OSIM_VM_KILLED, 0.90);
}

static void
test_vm_paused(void **state)
{
	(void)state;
	check_failure(OSIM_VM_PAUSED, 0.90);
}

static void
test_vm_cut_off(void **state)
{
	(void)state;
	check_failure(OSIM_VM_CUT_OFF, 0.90);
}

static void
test_reports_missing(void **state)
{
	(void)state;
	check_failure(OSIM_REPORTS_MISSING, 0.85);
}

static void
test_reports_late(void **state)
{
	(void)state;
	check_failure(OSIM_REPORTS_LATE, 0.5);
}

static void
test_reports_false(void **state)
{
	(void)state;
	check_failure(OSIM_REPORTS_FALSE, 0.5);
}

/* Bounds of a queue: its length, its order, and a place for urgent calls. */
static void
test_full_queue(void **state)
{
	static struct adm_call calls[20];
	struct admission a;
	struct adm_decision d;

	(void)state;
	adm_init(&a, &(struct adm_desc){.seed = 1, .max_waiting = 4});
	for (uint32_t i = 0; i < 6; i++) {
		calls[i] = (struct adm_call){.priority = i == 5 ? 0 : 1,
		    .arrived_us = 1000,
		    .deadline_us = 9000000};
		d = adm_on_arrival(&a, &calls[i], 1000);
		if (d.verdict == ADM_START)
			d = adm_on_full(&a, &calls[i], 1000);
		assert_int_equal(d.verdict, i == 4 ? ADM_REJECT : ADM_WAIT);
	}
	assert_int_equal(adm_take_expired(&a, 1000, &d)->priority, 1);
	assert_int_equal(d.reason, ADM_DISPLACED);
	assert_null(adm_take_expired(&a, 1000, &d));
	assert_int_equal(adm_waiting(&a), 4);
	adm_on_room(&a);
	assert_ptr_equal(adm_take_next(&a, 1000), &calls[5]);
	/* One attempt at a time. */
	assert_null(adm_take_next(&a, 1000));
	adm_leave(&a, &calls[5], 1000);
	assert_non_null(adm_take_next(&a, 1000));
	for (uint32_t i = 0; i < 6; i++)
		adm_leave(&a, &calls[i], 1000);
	assert_int_equal(adm_waiting(&a), 0);
	adm_finish(&a);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_full_queue),
	    cmocka_unit_test(test_burst_of_least_urgent),
	    cmocka_unit_test(test_burst_of_urgent),
	    cmocka_unit_test(test_half_refused),
	    cmocka_unit_test(test_immediate_retries),
	    cmocka_unit_test(test_quarter_slow),
	    cmocka_unit_test(test_zone_emptied),
	    cmocka_unit_test(test_half_to_three_times_the_capacity),
	    cmocka_unit_test(test_fair_between_workspaces),
	    cmocka_unit_test(test_vm_killed),
	    cmocka_unit_test(test_vm_paused),
	    cmocka_unit_test(test_vm_cut_off),
	    cmocka_unit_test(test_reports_missing),
	    cmocka_unit_test(test_reports_late),
	    cmocka_unit_test(test_reports_false),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
