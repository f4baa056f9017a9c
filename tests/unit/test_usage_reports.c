/*
 * Runs fleets of 3, 134 and 500 VMs in virtual time through the failures of the
 * reports that docs/workspaces-and-overload.md section 1.2 names. See
 * test_usage_fleet.c.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "lib/usage_fleet.h"

static void
lost_report_answers(struct ufleet *f)
{
	f->report.lost = 0.3;
	ufleet_run(f, 30000);
}

static void
test_lost_report_answers(void **state)
{
	(void)state;
	ufleet_run_all(lost_report_answers);
}

/* Reports are executed when a newer holder may have reported. */
static void
late_reports(struct ufleet *f)
{
	f->report.late = 0.4;
	ufleet_late(f, 40000);
	for (int i = 0; i < 3; i++) {
		ufleet_run_to_work(f);
		ufleet_pause(ufleet_holder(f), 5000);
	}
	ufleet_run(f, 10000);
	f->report.late = 0;
	ufleet_run(f, 20000);
}

static void
test_late_reports(void **state)
{
	(void)state;
	ufleet_run_all(late_reports);
}

/* A higher token was seen at the address of the reports. */
static void
refused_token(struct ufleet *f)
{
	ufleet_run_to_work(f);
	f->highest++;
	ufleet_run(f, 25000);
}

static void
test_refused_token(void **state)
{
	(void)state;
	ufleet_run_all(refused_token);
}

static void
too_many_calls(struct ufleet *f)
{
	uint32_t n;

	ufleet_run_to_work(f);
	n = f->n_reports;
	f->report.busy = true;
	ufleet_late(f, 20000);
	ufleet_run(f, 20000);
	/* 429 must not lead to more calls: one each 2 s and for each holder. */
	assert_true(f->n_reports - n <= 20);
	f->report.busy = false;
	ufleet_run(f, 20000);
}

static void
test_too_many_calls(void **state)
{
	(void)state;
	ufleet_run_all(too_many_calls);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_lost_report_answers),
	    cmocka_unit_test(test_late_reports),
	    cmocka_unit_test(test_refused_token),
	    cmocka_unit_test(test_too_many_calls),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
