/*
 * Runs fleets of 3, 134 and 500 VMs in virtual time through the failures of
 * VMs, links and clocks that docs/workspaces-and-overload.md section 1.2 names.
 * Each test is named after its failure; all check the same rules, see
 * lib/usage_fleet.h. test_usage_store.c and test_usage_reports.c have the
 * failures of the store and of the reports.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/usage_fleet.h"

static void
no_failure(struct ufleet *f)
{
	uint32_t n_reports, n_writes, n_reads;

	ufleet_run_to(f, 4000);
	n_reports = f->n_reports;
	n_writes = f->n_writes;
	n_reads = f->n_reads;
	f->n_datagrams = 0;
	f->measure = true;
	ufleet_run(f, 4 * UFLEET_WINDOW_MS);
	/* One write and one report for each window, whatever the size. */
	assert_int_equal(f->n_reports - n_reports, 4);
	assert_int_equal(f->n_writes - n_writes, 4);
	assert_int_equal(f->n_reads - n_reads, 0);
	print_message("%.0f datagrams and %.0f bytes a second\n",
	    (double)f->n_datagrams * 1000 / (4 * UFLEET_WINDOW_MS),
	    (double)f->n_bytes * 1000 / (4 * UFLEET_WINDOW_MS));
}

static void
test_no_failure(void **state)
{
	(void)state;
	ufleet_run_all(no_failure);
}

/* The holder loses its links but not the store; the others take over. */
static void
two_holders(struct ufleet *f)
{
	struct ufleet_vm *vm;

	ufleet_run_to_work(f);
	vm = ufleet_holder(f);
	vm->cut = true;
	ufleet_unsure(vm, 40000);
	ufleet_run(f, 15000);
	vm->cut = false;
	ufleet_run(f, 20000);
}

static void
test_two_holders(void **state)
{
	(void)state;
	ufleet_run_all(two_holders);
}

static void
paused_holder(struct ufleet *f)
{
	f->full_queues = rng_below(&f->rng, 2) == 0;
	ufleet_run_to_work(f);
	ufleet_pause(ufleet_holder(f), 1500 + rng_below(&f->rng, 9000));
	ufleet_run(f, 25000);
}

static void
test_paused_holder(void **state)
{
	(void)state;
	ufleet_run_all(paused_holder);
}

static void
killed_holder(struct ufleet *f)
{
	struct ufleet_vm *vm;

	ufleet_run_to_work(f);
	vm = ufleet_holder(f);
	ufleet_kill(vm);
	ufleet_run(f, rng_below(&f->rng, 10000));
	ufleet_start(vm);
	ufleet_run(f, 20000);
}

static void
test_killed_holder(void **state)
{
	(void)state;
	ufleet_run_all(killed_holder);
}

/* A VM that starts with a wrong clock is corrected by the others. */
static void
clock_steps(struct ufleet *f)
{
	struct ufleet_vm *vm = &f->vms[f->n_vms - 1];

	for (int i = 0; i < 4; i++) {
		for (uint32_t k = 0; k < f->n_vms; k++) {
			if (rng_below(&f->rng, 2) == 0)
				f->vms[k].clock_ms +=
				    (int64_t)rng_below(&f->rng, 4801) - 2400;
		}
		ufleet_run(f, 4000);
	}
	ufleet_kill(vm);
	vm->clock_ms = 2400;
	ufleet_start(vm);
	ufleet_run(f, 20000);
}

static void
test_clock_steps(void **state)
{
	(void)state;
	ufleet_run_all(clock_steps);
}

static void
power_loss(struct ufleet *f)
{
	ufleet_run_to_work(f);
	/* Also between the write and the report. */
	ufleet_run(f, rng_below(&f->rng, 200));
	ufleet_late(f, 0);
	for (uint32_t i = 0; i < f->n_vms; i++)
		ufleet_kill(&f->vms[i]);
	ufleet_run(f, rng_below(&f->rng, 8000));
	for (uint32_t i = 0; i < f->n_vms; i++)
		ufleet_start(&f->vms[i]);
	ufleet_run(f, 30000);
}

static void
test_power_loss(void **state)
{
	(void)state;
	ufleet_run_all(power_loss);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_no_failure),
	    cmocka_unit_test(test_two_holders),
	    cmocka_unit_test(test_paused_holder),
	    cmocka_unit_test(test_killed_holder),
	    cmocka_unit_test(test_clock_steps),
	    cmocka_unit_test(test_power_loss),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
