/*
 * Simulates moves in virtual time with new versions that are good, fail at
 * once, fail late, fail under load, or are slow. The counters of many VMs
 * arrive late, because datagrams are lost.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>

#include "base/random.h"
#include "fleet/move_executor.h"

#define N_VMS 19
#define STEP_MS 10
#define ROUND_MS 200
#define DURATION_MS 16000
#define CALLS_PER_S 90
/*
 * Most requests that a bad version may get: a share of all requests plus a
 * fixed number.
 */
#define EXPOSURE_SHARE 0.1
#define EXPOSURE_SLACK 50

/* As many upstreams of the new version as of the old one. */
static const struct move_exec_upstreams equal = {100, 100};

/**
 * struct behaviour - behaviour of the new version
 * @fail: ratio of failed requests while it is bad
 * @slow: ratio of slow requests while it is bad
 * @late_ms: time after the start of the move before which it is good
 * @load_permille: share of the requests below which it is good
 * @upstream_load: load of an upstream below which it is good, relative to that
 *	after the move
 */
struct behaviour {
	double fail;
	double slow;
	int64_t late_ms;
	uint32_t load_permille;
	double upstream_load;
};

/**
 * struct result - result of a simulated move
 * @all: number of requests
 * @exposed: number of requests sent to the new version
 */
struct result {
	enum obj_move_state state;
	int64_t end_ms;
	uint64_t all;
	uint64_t exposed;
	uint64_t bad_after;
};

/*
 * Load of the upstreams that the new version uses at a share, as fleet_view
 * chooses their number, relative to that after the move.
 */
static double
upstream_load(uint32_t share, uint32_t n_new)
{
	uint32_t n_used = MAX((share * n_new + 500) / 1000, 1);

	return ((double)share * n_new / (1000.0 * n_used));
}

static void
one_call(struct move_exec_counts *c, const struct behaviour *p, uint32_t share,
    double load, int64_t now_ms, struct random *rng, struct result *out)
{
	bool is_new = rng_below(rng, 1000) < share;
	struct canary_count *n = is_new ? &c->new_version : &c->old_version;
	bool bad = is_new && now_ms >= p->late_ms &&
	    share >= p->load_permille && load >= p->upstream_load;

	out->all++;
	out->exposed += is_new;
	n->calls++;
	n->failed += rng_unit(rng) < (bad ? p->fail : 0.002);
	n->slow += rng_unit(rng) < (bad ? p->slow : 0.01);
	if (n->failed + n->slow > n->calls)
		n->slow = n->calls - n->failed;
}

static struct result
simulate_move(const struct behaviour *p,
    const struct move_exec_upstreams *upstreams, uint64_t seed)
{
	struct move_exec_counts counts[N_VMS] = {0};
	struct move_exec_desc d = {.duration_ms = DURATION_MS};
	struct result r = {0};
	struct random rng;
	struct move_executor m;
	double due = 0;

	rng_init(&rng, seed);
	move_exec_init(&m, &d, 0);
	for (int64_t now = 0; now < DURATION_MS; now += STEP_MS) {
		for (due += CALLS_PER_S * STEP_MS / 1000.0; due >= 1; due--)
			one_call(&counts[rng_below(&rng, N_VMS)], p, m.share,
			    upstream_load(m.share, upstreams->n_new), now, &rng,
			    &r);
		if (now % ROUND_MS != 0)
			continue;
		for (int i = 0; i < N_VMS; i++) {
			char name[16];

			snprintf(name, sizeof(name), "vm%d", i);
			/* One datagram in ten is lost. */
			if (rng_below(&rng, 10) != 0)
				move_exec_add(&m, name, 1, &counts[i]);
		}
		move_exec_tick(&m, now, upstreams);
		if (m.state != OBJ_MOVE_RUNNING && r.end_ms == 0)
			r.end_ms = now;
	}
	r.state = m.state;
	move_exec_finish(&m);
	return (r);
}

/* A good version completes early enough to store the outcome in time. */
static void
test_good(void **state)
{
	const struct behaviour good = {.late_ms = INT64_MAX};

	(void)state;
	for (uint64_t seed = 1; seed <= 200; seed++) {
		struct result r = simulate_move(&good, &equal, seed);

		assert_int_equal(r.state, OBJ_MOVE_DONE);
		assert_true(r.end_ms <= DURATION_MS - 1000);
	}
}

static void
expect_rolled_back(const struct behaviour *p)
{
	for (uint64_t seed = 1; seed <= 200; seed++) {
		struct result r = simulate_move(p, &equal, seed);

		assert_int_equal(r.state, OBJ_MOVE_ROLLED_BACK);
		assert_true((double)r.exposed <=
		    EXPOSURE_SHARE * (double)r.all + EXPOSURE_SLACK);
	}
}

static void
test_failing(void **state)
{
	(void)state;
	expect_rolled_back(&(struct behaviour){.fail = 0.5});
	expect_rolled_back(&(struct behaviour){.fail = 0.3});
}

static void
test_slow(void **state)
{
	(void)state;
	expect_rolled_back(&(struct behaviour){.slow = 0.5});
}

/* The new version fails only after some seconds. */
static void
test_late(void **state)
{
	(void)state;
	for (int64_t ms = 1000; ms <= 6000; ms += 1000)
		expect_rolled_back(
		    &(struct behaviour){.fail = 0.4, .late_ms = ms});
}

/* The new version fails only from a certain share of the requests on. */
static void
test_under_load(void **state)
{
	(void)state;
	expect_rolled_back(
	    &(struct behaviour){.fail = 0.4, .load_permille = 300});
	expect_rolled_back(
	    &(struct behaviour){.fail = 0.4, .load_permille = 1000});
}

/*
 * The new version fails some requests at an upstream that carries the load
 * which it will have after the move. Guards against a version that is completed
 * as it was judged at a lower load or only at its last stage, when its requests
 * are more than a bad version may get.
 */
static void
test_loaded_upstreams(void **state)
{
	static const uint32_t counts[] = {12, 13, 20, 50, 100, 200};
	const struct behaviour p = {.fail = 0.25, .upstream_load = 0.9};
	unsigned completed = 0, exposed = 0, moves = 0;

	(void)state;
	for (size_t i = 0; i < sizeof(counts) / sizeof(*counts); i++) {
		struct move_exec_upstreams n = {counts[i], counts[i]};

		for (uint64_t seed = 1; seed <= 200; seed++) {
			struct result r = simulate_move(&p, &n, seed);

			moves++;
			completed += r.state != OBJ_MOVE_ROLLED_BACK;
			exposed += (double)r.exposed >
			    EXPOSURE_SHARE * (double)r.all + EXPOSURE_SLACK;
		}
	}
	print_message("of %u moves %u completed, %u over the exposure\n", moves,
	    completed, exposed);
	assert_int_equal(completed, 0);
	assert_int_equal(exposed, 0);
}

/*
 * A move with too few upstreams of the new version is rolled back within its
 * duration.
 */
static void
test_no_capacity(void **state)
{
	const struct behaviour good = {.late_ms = INT64_MAX};
	struct result r =
	    simulate_move(&good, &(struct move_exec_upstreams){30, 100}, 5);

	(void)state;
	assert_int_equal(r.state, OBJ_MOVE_ROLLED_BACK);
	assert_true(r.end_ms < DURATION_MS);
}

/* An executor that takes over accounts for the time that has elapsed. */
static void
test_takeover(void **state)
{
	struct move_exec_desc d = {
	    .duration_ms = DURATION_MS, .elapsed_ms = 5000};
	struct move_exec_counts c = {
	    .old_version = {.calls = 1000}, .new_version = {.calls = 50}};
	struct move_executor m;

	(void)state;
	move_exec_init(&m, &d, 100000);
	move_exec_add(&m, "vm1", 1, &c);
	move_exec_tick(&m, 100000 + DURATION_MS - 5000 - 100, &equal);
	assert_int_equal(m.state, OBJ_MOVE_ROLLED_BACK);
	move_exec_finish(&m);
}

/*
 * The counters of a restarted process start at zero; the counts from before the
 * restart stay in the sums.
 */
static void
test_restart(void **state)
{
	struct move_exec_desc d = {.duration_ms = DURATION_MS};
	struct move_exec_counts c = {.new_version = {.calls = 10, .failed = 4}};
	struct move_executor m;

	(void)state;
	move_exec_init(&m, &d, 0);
	move_exec_add(&m, "vm1", 1, &c);
	move_exec_add(&m, "vm1", 2, &c);
	move_exec_add(&m, "vm1", 2, &(struct move_exec_counts){0});
	move_exec_tick(&m, 100, &equal);
	assert_int_equal(m.total.new_version.calls, 20);
	assert_int_equal(m.state, OBJ_MOVE_ROLLED_BACK);
	move_exec_finish(&m);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_good),
	    cmocka_unit_test(test_failing),
	    cmocka_unit_test(test_slow),
	    cmocka_unit_test(test_late),
	    cmocka_unit_test(test_under_load),
	    cmocka_unit_test(test_loaded_upstreams),
	    cmocka_unit_test(test_no_capacity),
	    cmocka_unit_test(test_takeover),
	    cmocka_unit_test(test_restart),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
