#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>

#include "lib/config_sim.h"
#include "lib/golden.h"
#include "move/canary_test.h"

/* Simulated comparisons for each pair of ratios. */
#define RUNS 400

static void
run_script(FILE *script, FILE *out)
{
	struct config_sim s;

	config_sim_init(&s, 1, out);
	config_sim_script(&s, script);
	if (s.errors != 0)
		fprintf(out, "%d errors\n", s.errors);
	config_sim_finish(&s);
}

/* Guards against unintended changes in the course of a move. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("version_move", run_script), 0);
}

static uint32_t
draw(struct random *r, uint32_t calls, double p)
{
	uint32_t hits = 0;

	for (uint32_t i = 0; i < calls; i++)
		hits += rng_unit(r) < p;
	return (hits);
}

/*
 * Compares two versions in rounds of @old_calls and @new_calls. Returns the
 * number of calls of the new version until it is found bad, or 0 if it never
 * is.
 */
static uint32_t
calls_to_detect(struct random *r, double old_p, double new_p,
    uint32_t old_calls, uint32_t new_calls, uint32_t max_calls)
{
	struct canary_route t = {0};
	uint32_t n = 0;

	for (int round = 1; n < max_calls; round++) {
		canary_add_old(&t, old_calls, draw(r, old_calls, old_p), 0);
		canary_add_new(&t, new_calls, draw(r, new_calls, new_p), 0);
		n += new_calls;
		if (canary_evaluate(&t) != CANARY_GOOD)
			return (n);
		if (round % 5 == 0)
			canary_rotate(&t);
	}
	return (0);
}

static int
by_value(const void *a, const void *b)
{
	const uint32_t *x = a, *y = b;

	return ((*x > *y) - (*x < *y));
}

/* Guards against false alarms, which would roll back good versions. */
static void
test_false_alarms(void **state)
{
	static const double ratios[] = {0, 0.001, 0.01, 0.05, 0.3};
	struct random r;

	(void)state;
	rng_init(&r, 1);
	for (size_t i = 0; i < G_N_ELEMENTS(ratios); i++) {
		int alarms = 0;

		for (int k = 0; k < RUNS; k++)
			alarms += calls_to_detect(&r, ratios[i], ratios[i], 100,
				      10, 10000) != 0;
		print_message("equal at %.3f: %d false alarms in %d runs of "
			      "10000 calls\n",
		    ratios[i], alarms, RUNS);
		assert_true(alarms <= RUNS / 100);
	}
}

/* Guards against slow detection, also when the old version has few calls. */
static void
test_detection(void **state)
{
	static const struct {
		double old_p, new_p;
		uint32_t old_calls, limit;
	} cases[] = {{0.001, 1, 100, 20}, {0.001, 0.5, 100, 40},
	    {0.001, 0.1, 100, 250}, {0.001, 0.05, 100, 700},
	    {0.01, 0.1, 100, 400}, {0.001, 0.5, 1, 200}, {0, 1, 0, 40}};
	uint32_t calls[RUNS];
	struct random r;

	(void)state;
	rng_init(&r, 2);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		for (int k = 0; k < RUNS; k++) {
			calls[k] = calls_to_detect(&r, cases[i].old_p,
			    cases[i].new_p, cases[i].old_calls, 1, 5000);
			assert_int_not_equal(calls[k], 0);
		}
		qsort(calls, RUNS, sizeof(calls[0]), by_value);
		print_message("%.3f against %.3f, %u old calls for each: "
			      "median %u, p95 %u calls\n",
		    cases[i].new_p, cases[i].old_p, cases[i].old_calls,
		    calls[RUNS / 2], calls[RUNS * 95 / 100]);
		assert_true(calls[RUNS * 95 / 100] <= cases[i].limit);
	}
}

/* Guards against attributing a fault of both versions to the new one. */
static void
test_common_fault(void **state)
{
	struct canary_route t = {0};
	struct random r;

	(void)state;
	rng_init(&r, 3);
	canary_add_old(&t, 100000, 100, 0);
	for (int i = 0; i < 100; i++) {
		canary_add_old(&t, 500, draw(&r, 500, 0.2), 0);
		canary_add_new(&t, 50, draw(&r, 50, 0.2), 0);
		if (i % 5 == 0)
			canary_rotate(&t);
	}
	assert_int_equal(canary_evaluate(&t), CANARY_GOOD);
}

static bool
is_always_executor(void *arg, const char *intent)
{
	(void)arg;
	(void)intent;
	return (true);
}

/* A service with a running move at 10 permille, and default limits. */
struct fixture {
	struct cfg_service service;
	struct cfg_service_entry entry;
	struct cfg_set set;
	struct move_view view;
};

static void
fixture_init(struct fixture *f)
{
	json_t *v = json_loads(
	    "{\"name\":\"s\",\"hosts\":[\"s\"],\"routes\":"
	    "[{\"prefix\":\"/\",\"idempotent\":true}],\"versions\":[{\"name\":"
	    "\"v1\",\"share\":990},{\"name\":\"v2\",\"share\":10}],"
	    "\"upstreams\":[{\"id\":\"u\",\"addr\":\"127.0.0.1:1\",\"zone\":"
	    "\"a\",\"version\":\"v1\"}],\"move\":{\"intent\":\"i\",\"to\":"
	    "\"v2\",\"from\":\"v1\",\"due_ms\":1000000,\"step\":1}}",
	    0, NULL);
	struct bbuf problems;

	bbuf_init(&problems);
	*f = (struct fixture){0};
	assert_true(cfg_parse_service(&f->service, v, &problems));
	f->entry = (struct cfg_service_entry){&f->service, 1};
	f->set = (struct cfg_set){.services = &f->entry,
	    .n_services = 1,
	    .limits = cfg_limits_default()};
	f->view = (struct move_view){&f->set, 1000, is_always_executor, NULL};
	bbuf_finish(&problems);
	json_decref(v);
}

/*
 * Guards against counting calls twice when a sender repeats a report, sends one
 * late or restarts. The extra calls would suffice to find the version bad.
 */
static void
test_metrics(void **state)
{
	char v2[] = "v2", s[] = "s", root[] = "/";
	struct move_row row = {s, v2, root, 1, 1, 0};
	struct move_msg msg = {.rows = &row, .n_rows = 1};
	struct move_out out = {0};
	struct fixture f;
	struct version_move m;
	uint32_t shares[2];

	(void)state;
	fixture_init(&f);
	move_init(&m, &(struct move_desc){.self = vmid_from(BSTR("a@1"))});
	msg.sender = vmid_from(BSTR("b@1"));
	for (int i = 0; i < 1000; i++) {
		row.calls = row.failed = 1 + (uint64_t)(i % 3);
		move_on_msg(&m, &msg, &f.view, i, &out);
	}
	for (int i = 0; i < 100; i++) {
		char name[16];

		snprintf(name, sizeof(name), "c@%d", i);
		msg.sender = vmid_from(bstr_from(name));
		row.calls = row.failed = 1000;
		move_on_msg(&m, &msg, &f.view, i, &out);
	}
	move_shares(&m, &f.service, 1000, shares);
	assert_int_equal(shares[1], 10);
	row.calls = row.failed = 1100;
	move_on_msg(&m, &msg, &f.view, 1, &out);
	move_shares(&m, &f.service, 1000, shares);
	assert_int_equal(shares[1], 0);
	assert_int_equal(shares[0], 1000);
	move_out_finish(&out);
	move_finish(&m);
	cfg_service_finish(&f.service);
}

/* Guards against a share of the new version after the due time. */
static void
test_due(void **state)
{
	GPtrArray *bad = g_ptr_array_new();
	struct fixture f;
	uint32_t shares[2];

	(void)state;
	fixture_init(&f);
	move_effective_shares(&f.service, bad, 999999, shares);
	assert_int_equal(shares[1], 10);
	move_effective_shares(&f.service, bad, 1000000, shares);
	assert_int_equal(shares[1], 0);
	f.service.move.state = CFG_MOVE_DONE;
	move_effective_shares(&f.service, bad, 1000000, shares);
	assert_int_equal(shares[1], 10);
	cfg_service_finish(&f.service);
	g_ptr_array_free(bad, TRUE);
}

/* Guards against steps above the largest permitted change. */
static void
test_steps(void **state)
{
	struct cfg_limits l = cfg_limits_default();
	uint32_t steps[MOVE_MAX_STEPS], n;

	(void)state;
	assert_int_equal(move_steps(&l, steps), 5);
	l.max_step_permille = 100;
	n = move_steps(&l, steps);
	assert_int_equal(steps[n - 1], 1000);
	for (uint32_t i = 1; i < n; i++)
		assert_in_range(steps[i] - steps[i - 1], 1, 100);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_false_alarms),
	    cmocka_unit_test(test_detection),
	    cmocka_unit_test(test_common_fault),
	    cmocka_unit_test(test_metrics),
	    cmocka_unit_test(test_due),
	    cmocka_unit_test(test_steps),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
