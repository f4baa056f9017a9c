/*
 * Tests of the counts of one process, of the record, and of the parts of
 * usage_duty that have no part in the fleet: ledger, pushes and clock.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "usage/usage_clock.h"
#include "usage/usage_counter.h"
#include "usage/usage_ledger.h"
#include "usage/usage_push.h"
#include "usage/usage_record.h"

#define WINDOW 353445120
#define ADDS 100000

/* A request that an upstream refused is not counted. */
static void
test_counter_adds_and_subtracts(void **state)
{
	struct usage_counter *c = usage_counter_new();

	(void)state;
	usage_counter_add(c, WINDOW, 1);
	usage_counter_add(c, WINDOW, 1);
	usage_counter_add(c, WINDOW + 1, 1);
	usage_counter_add(c, WINDOW, -1);
	assert_int_equal(usage_counter_get(c, WINDOW), 1);
	assert_int_equal(usage_counter_get(c, WINDOW + 1), 1);
	assert_int_equal(usage_counter_get(c, WINDOW + 2), 0);
	usage_counter_add(c, -1, 1);
	assert_int_equal(usage_counter_get(c, -1), 0);
	usage_counter_unref(usage_counter_ref(c));
	usage_counter_unref(c);
}

/* A late refusal gave a count of -1, or one to the window in its slot. */
static void
test_counter_late_refusal(void **state)
{
	int64_t next = WINDOW + USAGE_COUNTER_WINDOWS;
	struct usage_counter *c = usage_counter_new();

	(void)state;
	usage_counter_add(c, WINDOW, -1);
	assert_int_equal(usage_counter_get(c, WINDOW), 0);
	usage_counter_add(c, WINDOW, 1);
	/* The slot holds an older window: nothing is created. */
	usage_counter_add(c, next, -1);
	assert_int_equal(usage_counter_get(c, next), 0);
	assert_int_equal(usage_counter_get(c, WINDOW), 1);
	/* The slot holds a later window: that one is not changed. */
	usage_counter_add(c, next, 1);
	usage_counter_add(c, WINDOW, -1);
	usage_counter_add(c, WINDOW, 1);
	assert_int_equal(usage_counter_get(c, next), 1);
	assert_int_equal(usage_counter_get(c, WINDOW), 0);
	usage_counter_unref(c);
}

static void *
add_many(void *arg)
{
	for (int i = 0; i < ADDS; i++) {
		usage_counter_add(arg, WINDOW + i % 2, 1);
		if (i % 4 == 0)
			usage_counter_add(arg, WINDOW, -1);
	}
	return (NULL);
}

/* Two workers lost each other's additions. */
static void
test_counter_threads(void **state)
{
	struct usage_counter *c = usage_counter_new();
	pthread_t threads[2];

	(void)state;
	for (int i = 0; i < 2; i++)
		pthread_create(&threads[i], NULL, add_many, c);
	for (int i = 0; i < 2; i++)
		pthread_join(threads[i], NULL);
	assert_int_equal(usage_counter_get(c, WINDOW), 2 * ADDS / 4);
	assert_int_equal(usage_counter_get(c, WINDOW + 1), 2 * ADDS / 2);
	usage_counter_unref(c);
}

static void
fill_record(struct usage_record *r)
{
	usage_record_init(r);
	r->token = 7;
	r->boot = UINT64_MAX;
	usage_record_add(r, 5, "blue", 1);
	usage_record_add(r, 5, "red", 2);
	usage_record_add(r, 7, "blue", 3);
}

static void
test_record_windows(void **state)
{
	struct usage_record r;

	(void)state;
	fill_record(&r);
	assert_int_equal(r.n_windows, 2);
	assert_int_equal(r.windows[0].n_counts, 2);
	assert_string_equal(r.windows[0].counts[1].workspace, "red");
	assert_int_equal(r.fixed_through, 7);
	/* What was fixed stays fixed when its window is reported. */
	usage_record_drop(&r, 5);
	assert_int_equal(r.n_windows, 1);
	assert_int_equal(r.windows[0].window, 7);
	usage_record_drop(&r, 100);
	assert_int_equal(r.n_windows, 0);
	assert_int_equal(r.fixed_through, 7);
	usage_record_finish(&r);
}

/* A copy that shares memory, or has other figures, breaks the repeats. */
static void
test_record_copy_and_compare(void **state)
{
	struct usage_record a, b;

	(void)state;
	fill_record(&a);
	a.revision = 3;
	fill_record(&b);
	usage_record_copy(&b, &a);
	assert_int_equal(b.revision, 3);
	b.revision = 4;
	assert_true(usage_record_is_same(&a, &b));
	b.windows[0].counts[1].count++;
	assert_false(usage_record_is_same(&a, &b));
	usage_record_copy(&b, &a);
	b.windows[1].counts[0].workspace[0] = 'x';
	assert_false(usage_record_is_same(&a, &b));
	usage_record_copy(&b, &a);
	b.token++;
	assert_false(usage_record_is_same(&a, &b));
	usage_record_copy(&b, &a);
	b.fixed_through++;
	assert_false(usage_record_is_same(&a, &b));
	usage_record_copy(&b, &a);
	usage_record_drop(&b, 5);
	assert_false(usage_record_is_same(&a, &b));
	usage_record_finish(&a);
	usage_record_finish(&b);
}

static void
add_text(void *arg, const char *workspace, uint32_t count)
{
	snprintf((char *)arg + strlen(arg), 100, "%s=%u ", workspace, count);
}

static void
put(struct usage_ledger *l, const char *vm, uint64_t boot,
    const char *workspace, uint32_t count, int64_t time_ms)
{
	usage_ledger_put(l, &(struct usage_ledger_key){vm, boot, workspace, 9},
	    count, time_ms);
}

/* Totals were added twice, or an older datagram replaced a later one. */
static void
test_ledger_sums_latest(void **state)
{
	char text[200] = "";
	struct usage_ledger l;

	(void)state;
	usage_ledger_init(&l);
	put(&l, "vm1", 1, "red", 1, 1);
	assert_int_equal(usage_ledger_first(&l, -1), -1);
	usage_ledger_set_range(&l, 8, 20);
	put(&l, "vm1", 1, "red", 3, 10);
	put(&l, "vm1", 1, "red", 5, 20);
	put(&l, "vm1", 1, "red", 4, 15);
	put(&l, "vm1", 2, "red", 2, 5);
	put(&l, "vm2", 1, "blue", 7, 5);
	put(&l, "vm2", 1, "green", 7, 5);
	put(&l, "vm2", 1, "green", 0, 6);
	usage_ledger_sum(&l, 9, add_text, text);
	assert_string_equal(text, "blue=7 red=7 ");
	assert_int_equal(usage_ledger_first(&l, 8), 9);
	assert_int_equal(usage_ledger_first(&l, 9), -1);
	/* A fixed window is forgotten, and counts for it are late. */
	usage_ledger_set_range(&l, 10, 20);
	put(&l, "vm1", 1, "red", 9, 30);
	assert_int_equal(usage_ledger_first(&l, -1), -1);
	usage_ledger_finish(&l);
}

/** struct fake_source - a source with one workspace in each window */
struct fake_source {
	struct usage_source base;
	uint32_t counts[20];
};

static void
fake_each(struct usage_source *s, int64_t window,
    void (*fn)(void *arg, const char *workspace, uint32_t count), void *arg)
{
	uint32_t count = ((struct fake_source *)s)->counts[window];

	if (count != 0)
		fn(arg, "blue", count);
}

static const struct usage_source_ops fake_ops = {fake_each};

static void
add_message(void *arg, const char *vm, struct usage_counts_msg *m)
{
	for (uint32_t i = 0; i < m->n; i++) {
		char part[100];

		snprintf(part, sizeof(part), "%s:%d=%u ", vm,
		    (int)m->counts[i].window, m->counts[i].count);
		strcat(arg, part);
	}
}

static void
expect_round(struct usage_push *p, struct fake_source *s, enum usage_push_to to,
    const char *expected)
{
	char text[2000] = "";

	usage_push_refresh(p, &s->base, 1, 5);
	usage_push_send(p, to, false, add_message, text);
	assert_string_equal(text, expected);
}

/* One lost datagram lost the last counts of a window. */
static void
test_push_repeats_changes(void **state)
{
	const char *const vms[] = {"vm1", "vm2"};
	struct fake_source s = {.base = {&fake_ops}, .counts = {[1] = 4}};
	struct usage_push p;

	(void)state;
	usage_push_init(&p);
	assert_true(usage_push_set_collectors(&p, vms, 1));
	for (int i = 0; i < USAGE_PUSH_TIMES; i++)
		expect_round(&p, &s, USAGE_PUSH_ALL, "vm1:1=4 ");
	expect_round(&p, &s, USAGE_PUSH_ALL, "");
	/* A new collector gets all counts at once, the others do not. */
	assert_true(usage_push_set_collectors(&p, vms, 2));
	for (int i = 1; i < USAGE_PUSH_TIMES; i++) {
		assert_true(usage_push_set_collectors(&p, vms, 2));
		expect_round(&p, &s, USAGE_PUSH_NEW, "vm2:1=4 ");
	}
	assert_false(usage_push_set_collectors(&p, vms, 2));
	expect_round(&p, &s, USAGE_PUSH_ALL, "vm2:1=4 ");
	expect_round(&p, &s, USAGE_PUSH_ALL, "");
	/* One that may have lost them is treated like a new one. */
	usage_push_repeat(&p, "vm1");
	assert_true(usage_push_set_collectors(&p, vms, 2));
	for (int i = 0; i < USAGE_PUSH_TIMES; i++)
		expect_round(&p, &s, USAGE_PUSH_ALL, "vm1:1=4 ");
	/* All requests of the workspace were refused. */
	s.counts[1] = 0;
	for (int i = 0; i < USAGE_PUSH_TIMES; i++)
		expect_round(&p, &s, USAGE_PUSH_ALL, "vm1:1=0 vm2:1=0 ");
	expect_round(&p, &s, USAGE_PUSH_ALL, "");
	usage_push_finish(&p);
}

/* A clock step moved requests into other windows. */
static void
test_clock_jump_and_correction(void **state)
{
	struct usage_clock c;
	uint32_t n;

	(void)state;
	usage_clock_init(&c);
	usage_clock_update(&c, 1000, 501000);
	usage_clock_update(&c, 1200, 501300);
	assert_int_equal(usage_clock_offset(&c), 500100);
	usage_clock_update(&c, 1400, 503900);
	usage_clock_update(&c, 1600, 501700);
	assert_int_equal(usage_clock_offset(&c), 500100);
	/* Two other clocks against the own one; delayed samples do not count.
	 */
	usage_clock_sample(&c, "vm1", 498000, 1600);
	usage_clock_sample(&c, "vm1", 497000, 4000);
	usage_clock_median(&c, 4000, &n);
	assert_int_equal(n, 2);
	usage_clock_sample(&c, "vm2", 498010, 9000);
	assert_int_equal(usage_clock_median(&c, 9000, &n), 498010);
	assert_int_equal(n, 3);
	usage_clock_adopt(&c, 500350);
	assert_int_equal(usage_clock_offset(&c), 500100);
	usage_clock_adopt(&c, 498010);
	assert_int_equal(usage_clock_offset(&c), 498010);
	/* Old samples are forgotten; the own one is as before. */
	usage_clock_median(&c, 11601, &n);
	assert_int_equal(n, 2);
	assert_int_equal(usage_clock_median(&c, 19001, &n), 500100);
	assert_int_equal(n, 1);
	usage_clock_finish(&c);
}

/*
 * Datagrams that had waited in the socket of a paused VM set its time back by
 * the length of the pause.
 */
static void
test_clock_delayed_messages(void **state)
{
	struct usage_clock c;
	uint32_t n;

	(void)state;
	usage_clock_init(&c);
	usage_clock_update(&c, 1000, 501000);
	usage_clock_update(&c, 9000, 509000);
	usage_clock_sample(&c, "vm1", 493000, 9000);
	usage_clock_hear(&c, 493000, 9000);
	usage_clock_hear(&c, 493000, 9000);
	usage_clock_median(&c, 9000, &n);
	assert_int_equal(n, 1);
	assert_int_equal(usage_clock_offset(&c), 500000);
	/* One earlier time may be a delay, two are the truth. */
	usage_clock_hear(&c, 499000, 11000);
	usage_clock_hear(&c, 500100, 12000);
	usage_clock_hear(&c, 499000, 13000);
	assert_int_equal(usage_clock_offset(&c), 500000);
	usage_clock_hear(&c, 498900, 14000);
	assert_int_equal(usage_clock_offset(&c), 499000);
	usage_clock_hear(&c, 500000, 15000);
	assert_int_equal(usage_clock_offset(&c), 500000);
	usage_clock_finish(&c);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_counter_adds_and_subtracts),
	    cmocka_unit_test(test_counter_late_refusal),
	    cmocka_unit_test(test_counter_threads),
	    cmocka_unit_test(test_record_windows),
	    cmocka_unit_test(test_record_copy_and_compare),
	    cmocka_unit_test(test_ledger_sums_latest),
	    cmocka_unit_test(test_push_repeats_changes),
	    cmocka_unit_test(test_clock_jump_and_correction),
	    cmocka_unit_test(test_clock_delayed_messages),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
