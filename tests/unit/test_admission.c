/*
 * Tests admission in virtual time with the real modules: fairness between
 * workspaces, what happens when a part fails, and the bounds of a queue. The
 * load patterns are in test_overload.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>

#include "admission/admission.h"
#include "lib/overload_check.h"

#define N_VMS 121

/* A large workspace must not take the room of small ones. */
static void
test_fair_between_workspaces(void **state)
{
	const struct osim_desc d = {
	    .load = {0.3, 1.7}, .retries = 1, .workspaces = true};
	double share[OSIM_WORKSPACES], mean = 0, worst = 0;
	struct osim_result r;

	(void)state;
	overload_sum(d, OSIM_ADMISSION, N_VMS, &r);
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
		worst += share[i] * 10 / OSIM_WORKSPACES;
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
	double good;

	overload_sum(d, OSIM_ADMISSION, N_VMS, &r);
	good = r.class[0].good / r.class[0].calls;
	printf("failure %d: urgent %.3f\n", fault, good);
	assert_int_equal(r.wrong, 0);
	assert_true(good >= least_good);
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
	adm_on_slot_freed(&a);
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
