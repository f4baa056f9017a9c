#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "base/random.h"
#include "load/event_loop.h"
#include "lib/upstream_behaviour.h"

#define N_TIMERS 1000

static struct event_loop loop;
static struct evloop_timer timers[N_TIMERS];
static int64_t last_us;
static int fired, expected;

static void
apply(struct upstream_behaviour *b, const char *text, int64_t now_us)
{
	json_t *v = json_loads(text, 0, NULL);

	assert_non_null(v);
	behaviour_apply(b, v, now_us);
	json_decref(v);
}

/* Guards against a cold start that has no limit or does not end. */
static void
test_cold_ramp(void **state)
{
	struct upstream_behaviour b;

	(void)state;
	behaviour_init(&b);
	assert_int_equal(behaviour_cold_limit(&b, 0), 6);
	apply(&b, "{\"cold\":{\"ramp_ms\":1000}}", 5000000);
	assert_string_equal(behaviour_state(&b, 5000000), "cold");
	assert_int_equal(behaviour_cold_limit(&b, 5000000), 1);
	assert_int_equal(behaviour_cold_limit(&b, 5500000), 3);
	assert_int_equal(behaviour_cold_limit(&b, 5999999), 5);
	assert_int_equal(behaviour_cold_limit(&b, 6000000), 6);
	assert_string_equal(behaviour_state(&b, 6000000), "ready");
}

/* Guards against a change that resets settings that it does not name. */
static void
test_apply(void **state)
{
	struct upstream_behaviour b;

	(void)state;
	behaviour_init(&b);
	apply(&b, "{\"slots\":2,\"bad\":{\"mode\":\"slow\",\"after\":3}}", 1);
	apply(&b, "{\"drain\":{\"grace_ms\":2}}", 1000);
	assert_int_equal(b.slots, 2);
	assert_int_equal(b.fault, BEHAVIOUR_FAULT_SLOW);
	assert_int_equal(b.fault_after, 3);
	assert_int_equal(b.late_after_us, 3000);
	assert_string_equal(behaviour_state(&b, 1), "draining");
	apply(&b, "{\"slots\":null,\"bad\":null,\"drain\":null}", 2000);
	assert_int_equal(b.slots, 6);
	assert_int_equal(b.fault, BEHAVIOUR_NO_FAULT);
	assert_int_equal(b.late_after_us, 0);
	assert_string_equal(behaviour_state(&b, 1), "ready");
}

static void
on_timer(struct evloop_timer *t)
{
	assert_true(t->at_us >= last_us);
	last_us = t->at_us;
	if (++fired == expected)
		evloop_stop(&loop);
}

/* Guards against timers that fire out of order, twice or after removal. */
static void
test_timers(void **state)
{
	struct random r;

	(void)state;
	rng_init(&r, 3);
	assert_true(evloop_init(&loop));
	expected = N_TIMERS;
	for (int i = 0; i < N_TIMERS; i++) {
		timers[i].fn = on_timer;
		evloop_timer_set(&loop, &timers[i], 1 + rng_below(&r, 5000));
	}
	for (int i = 0; i < N_TIMERS; i += 3) {
		evloop_timer_clear(&loop, &timers[i]);
		evloop_timer_clear(&loop, &timers[i]);
		expected--;
	}
	for (int i = 1; i < N_TIMERS; i += 3)
		evloop_timer_set(&loop, &timers[i], 1 + rng_below(&r, 5000));
	evloop_run(&loop);
	assert_int_equal(fired, expected);
	assert_int_equal(loop.n_heap, 0);
	evloop_finish(&loop);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_cold_ramp),
	    cmocka_unit_test(test_apply),
	    cmocka_unit_test(test_timers),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
