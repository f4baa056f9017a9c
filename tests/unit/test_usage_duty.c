/*
 * Tests that one VM gives up the duty of reporting usage, and asks the store
 * again, in the moments in which another VM may have taken over. Fleets are
 * tested in test_usage_fleet.c, test_usage_store.c and test_usage_reports.c.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <string.h>

#include "usage/usage_duty.h"

#define WINDOW_MS 5000
#define LEASE_MS 3000
#define FIRST_WINDOW INT64_C(353445120)
#define BOOT 77

/**
 * struct rig - one VM, which has requests in each window
 * @n: number of effects of each type since the last clear()
 * @last: last effect of each type; pointers are not valid any more
 * @record: the record as the store has it
 * @written: last record that the VM wrote
 */
struct rig {
	struct usage_source source;
	struct usage_duty *d;
	struct usage_now now;
	uint32_t n[USAGE_REPORT + 1];
	struct usage_effect last[USAGE_REPORT + 1];
	struct usage_record record;
	struct usage_record written;
	int64_t reported;
};

static void
each_count(struct usage_source *s, int64_t window,
    void (*fn)(void *arg, const char *workspace, uint32_t count), void *arg)
{
	const struct rig *r = (const struct rig *)s;

	if (window >= FIRST_WINDOW && window <= r->now.wall_ms / WINDOW_MS)
		fn(arg, "blue", 7);
}

static const struct usage_source_ops source_ops = {each_count};

static void
note_effects(struct rig *r, struct usage_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const struct usage_effect *e = &out->effects[i];

		r->n[e->type]++;
		r->last[e->type] = *e;
		if (e->type == USAGE_WRITE_RECORD)
			usage_record_copy(&r->written, e->record);
		if (e->type == USAGE_REPORT)
			r->reported = e->window->window;
	}
	usage_out_finish(out);
}

static void
pass(struct rig *r, int64_t ms)
{
	r->now.mono_ms += ms;
	r->now.wall_ms += ms;
}

static void
run(struct rig *r, int64_t ms)
{
	for (int64_t i = 0; i < ms; i += 100) {
		struct usage_out out = {0};

		pass(r, 100);
		usage_duty_tick(r->d, &r->now, &out);
		note_effects(r, &out);
	}
}

/* Runs until an effect; fails after a minute. */
static void
run_until(struct rig *r, enum usage_effect_type type)
{
	memset(r->n, 0, sizeof(r->n));
	for (int i = 0; i < 600 && r->n[type] == 0; i++)
		run(r, 100);
	assert_true(r->n[type] != 0);
}

static void
answer(struct rig *r, enum usage_record_event event)
{
	struct usage_out out = {0};

	if (event == USAGE_RECORD_WRITTEN) {
		usage_record_copy(&r->record, &r->written);
		r->record.revision++;
	}
	memset(r->n, 0, sizeof(r->n));
	usage_duty_on_record(r->d, event, &r->record, &r->now, &out);
	note_effects(r, &out);
}

static void
reported(struct rig *r, enum usage_report_result result)
{
	struct usage_out out = {0};

	memset(r->n, 0, sizeof(r->n));
	usage_duty_on_reported(r->d, r->reported, result, &r->now, &out);
	note_effects(r, &out);
}

static void
hear(struct rig *r, int64_t token)
{
	struct usage_status_msg m = {.vm = "vm1", .token = token};
	struct usage_out out = {0};

	memset(r->n, 0, sizeof(r->n));
	usage_duty_on_status(r->d, &m, &r->now, &out);
	note_effects(r, &out);
}

/* Another VM writes the record. */
static void
replace(struct rig *r, const char *holder, uint64_t boot)
{
	free(r->record.holder);
	r->record.holder = strdup(holder);
	r->record.boot = boot;
	r->record.token++;
	r->record.revision++;
}

/* Lets the VM take the duty over, up to its first report. */
static void
init(struct rig *r)
{
	static const char *const ids[] = {"vm0"};
	const struct usage_duty_desc desc = {
	    .self = "vm0", .boot = BOOT, .source = &r->source, .seed = 1};

	*r = (struct rig){
	    .source = {&source_ops}, .now = {1000, FIRST_WINDOW * WINDOW_MS}};
	usage_record_init(&r->record);
	usage_record_init(&r->written);
	r->d = usage_duty_new(&desc);
	usage_duty_set_vms(r->d, ids, 1);
}

static void
init_holder(struct rig *r)
{
	init(r);
	run_until(r, USAGE_READ_RECORD);
	answer(r, USAGE_RECORD_READ);
	run_until(r, USAGE_READ_RECORD);
	answer(r, USAGE_RECORD_READ);
	run_until(r, USAGE_WRITE_RECORD);
	assert_int_equal(r->written.token, 1);
	assert_int_equal(r->written.boot, BOOT);
	assert_int_equal(r->written.windows[0].window, FIRST_WINDOW);
	answer(r, USAGE_RECORD_WRITTEN);
	run_until(r, USAGE_REPORT);
	assert_int_equal(r->reported, FIRST_WINDOW);
}

static void
finish(struct rig *r)
{
	usage_duty_free(r->d);
	usage_record_finish(&r->record);
	usage_record_finish(&r->written);
}

/* A VM went on with a token that was refused, or took the duty back at once. */
static void
test_refused_token(void **state)
{
	struct rig r;

	(void)state;
	init_holder(&r);
	reported(&r, USAGE_REPORT_FENCED);
	run(&r, 2 * LEASE_MS - 200);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	assert_int_equal(r.n[USAGE_WRITE_RECORD], 0);
	/* The token that it takes then is above any that it heard of. */
	hear(&r, 9);
	run_until(&r, USAGE_READ_RECORD);
	answer(&r, USAGE_RECORD_READ);
	run_until(&r, USAGE_WRITE_RECORD);
	assert_int_equal(r.written.token, 10);
	finish(&r);
}

static void
test_status_with_higher_token(void **state)
{
	struct rig r;

	(void)state;
	init_holder(&r);
	reported(&r, USAGE_REPORT_FAILED);
	hear(&r, 2);
	run(&r, 2 * LEASE_MS - 200);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	assert_int_equal(r.n[USAGE_WRITE_RECORD], 0);
	finish(&r);
}

/* The answer to a write came in a pause, after which another VM had acted. */
static void
test_pause_before_answer(void **state)
{
	struct rig r;

	(void)state;
	init_holder(&r);
	reported(&r, USAGE_REPORT_ACCEPTED);
	run_until(&r, USAGE_WRITE_RECORD);
	pass(&r, 6000);
	answer(&r, USAGE_RECORD_WRITTEN);
	assert_int_equal(r.n[USAGE_READ_RECORD], 1);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	replace(&r, "vm1", 5);
	answer(&r, USAGE_RECORD_READ);
	run(&r, 2 * LEASE_MS - 200);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	assert_int_equal(r.n[USAGE_WRITE_RECORD], 0);
	finish(&r);
}

static void
test_pause_before_repeat(void **state)
{
	struct rig r;

	(void)state;
	init_holder(&r);
	reported(&r, USAGE_REPORT_FAILED);
	pass(&r, 6000);
	run(&r, 100);
	assert_int_equal(r.n[USAGE_READ_RECORD], 1);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	/* Nobody took over. */
	answer(&r, USAGE_RECORD_READ);
	assert_int_equal(r.n[USAGE_REPORT], 1);
	assert_int_equal(r.reported, FIRST_WINDOW);
	finish(&r);
}

/* The status of the new holder was lost, only its announcement arrived. */
static void
test_announcement(void **state)
{
	struct rig r;

	(void)state;
	init_holder(&r);
	reported(&r, USAGE_REPORT_FAILED);
	hear(&r, 0);
	assert_int_equal(r.n[USAGE_SEND_STATUS], 1);
	assert_int_equal(r.last[USAGE_SEND_STATUS].status.token, 1);
	run_until(&r, USAGE_READ_RECORD);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	replace(&r, "vm1", 5);
	answer(&r, USAGE_RECORD_READ);
	run(&r, 2 * LEASE_MS - 200);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	finish(&r);
}

/* After 429, calls must not become more. Lost answers may have been 409. */
static void
test_repeats(void **state)
{
	struct rig r;

	(void)state;
	init_holder(&r);
	reported(&r, USAGE_REPORT_FAILED);
	run(&r, 400);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	run(&r, 100);
	assert_int_equal(r.n[USAGE_REPORT], 1);
	assert_int_equal(r.reported, FIRST_WINDOW);
	reported(&r, USAGE_REPORT_FAILED);
	assert_int_equal(r.n[USAGE_READ_RECORD], 1);
	answer(&r, USAGE_RECORD_READ);
	run(&r, 1900);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	run(&r, 100);
	assert_int_equal(r.n[USAGE_REPORT], 1);
	assert_int_equal(r.last[USAGE_REPORT].token, 1);
	finish(&r);
}

/* A restarted process used the token of the one before. */
static void
test_restarted_holder(void **state)
{
	struct rig r;

	(void)state;
	init(&r);
	replace(&r, "vm0", BOOT - 1);
	usage_record_add(&r.record, FIRST_WINDOW - 1, "blue", 3);
	run_until(&r, USAGE_READ_RECORD);
	answer(&r, USAGE_RECORD_READ);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	run_until(&r, USAGE_READ_RECORD);
	answer(&r, USAGE_RECORD_READ);
	run_until(&r, USAGE_WRITE_RECORD);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	assert_int_equal(r.written.token, 2);
	assert_int_equal(r.written.boot, BOOT);
	/* The figures of the record are kept and reported first. */
	assert_int_equal(r.written.windows[0].counts[0].count, 3);
	answer(&r, USAGE_RECORD_WRITTEN);
	run_until(&r, USAGE_REPORT);
	assert_int_equal(r.reported, FIRST_WINDOW - 1);
	finish(&r);
}

/* A write without an answer may take effect later. */
static void
test_unknown_write(void **state)
{
	struct usage_out out = {0};
	struct rig r;

	(void)state;
	init_holder(&r);
	reported(&r, USAGE_REPORT_ACCEPTED);
	run_until(&r, USAGE_WRITE_RECORD);
	usage_duty_on_record(r.d, USAGE_RECORD_UNKNOWN, NULL, &r.now, &out);
	note_effects(&r, &out);
	run_until(&r, USAGE_READ_RECORD);
	assert_int_equal(r.n[USAGE_REPORT], 0);
	/* It took effect: the figures are reported without another write. */
	answer(&r, USAGE_RECORD_WRITTEN);
	assert_int_equal(r.n[USAGE_REPORT], 1);
	assert_int_equal(r.reported, FIRST_WINDOW + 1);
	finish(&r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_refused_token),
	    cmocka_unit_test(test_status_with_higher_token),
	    cmocka_unit_test(test_pause_before_answer),
	    cmocka_unit_test(test_pause_before_repeat),
	    cmocka_unit_test(test_announcement),
	    cmocka_unit_test(test_repeats),
	    cmocka_unit_test(test_restarted_holder),
	    cmocka_unit_test(test_unknown_write),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
