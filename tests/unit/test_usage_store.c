/*
 * Runs fleets of 3, 134 and 500 VMs in virtual time through the failures of the
 * store that docs/workspaces-and-overload.md section 1.2 names. See
 * test_usage_fleet.c.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/usage_fleet.h"

static void
lost_store_answers(struct ufleet *f)
{
	f->store.lost = 0.1;
	ufleet_run(f, 30000);
	f->store.lost = 0.4;
	ufleet_late(f, 30000);
	ufleet_run(f, 30000);
	f->store.lost = 0;
	ufleet_run(f, 20000);
}

static void
test_lost_store_answers(void **state)
{
	(void)state;
	ufleet_run_all(lost_store_answers);
}

static void
late_store_writes(struct ufleet *f)
{
	f->store.late = 0.25;
	ufleet_late(f, 30000);
	ufleet_run(f, 30000);
	f->store.late = 0;
	ufleet_run(f, 20000);
}

static void
test_late_store_writes(void **state)
{
	(void)state;
	ufleet_run_all(late_store_writes);
}

static void
slow_store(struct ufleet *f)
{
	f->store.slow_ms = 2500;
	ufleet_run(f, 40000);
}

static void
test_slow_store(void **state)
{
	(void)state;
	ufleet_run_all(slow_store);
}

static void
store_down(struct ufleet *f)
{
	uint32_t n;

	ufleet_run_to_work(f);
	n = f->n_reads + f->n_writes;
	f->store.down = true;
	ufleet_late(f, 50000);
	ufleet_run(f, 50000);
	/* The platform allows 50 calls a second for all VMs together. */
	assert_true(f->n_reads + f->n_writes - n <= 50 * 15);
	f->store.down = false;
	ufleet_run(f, 20000);
}

static void
test_store_down(void **state)
{
	(void)state;
	ufleet_run_all(store_down);
}

static void
store_refuses_vms(struct ufleet *f)
{
	ufleet_run_to_work(f);
	for (uint32_t i = 0; i + 1 < f->n_vms; i++)
		f->vms[i].refused = i < 3 || rng_below(&f->rng, 2) == 0;
	ufleet_run(f, 30000);
}

static void
test_store_refuses_vms(void **state)
{
	(void)state;
	ufleet_run_all(store_refuses_vms);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_lost_store_answers),
	    cmocka_unit_test(test_late_store_writes),
	    cmocka_unit_test(test_slow_store),
	    cmocka_unit_test(test_store_down),
	    cmocka_unit_test(test_store_refuses_vms),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
