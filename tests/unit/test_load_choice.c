/* Tests of load_choice: choice of an upstream by its freshly probed load. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "route/load_choice.h"

#define N_UP 8
#define SLOTS 6
#define NOW_US 10000000

static struct rt_stat *stats[N_UP];
static struct rt_upstream upstreams[N_UP];
static struct rt_version versions[] = {
    {.name = {"v1", 2}, .share = 1000},
    {.name = {"v2", 2}, .share = 0},
};
static struct rt_service service = {.name = {"s", 1},
    .versions = versions,
    .n_versions = 2,
    .upstreams = upstreams,
    .n_upstreams = N_UP};
static struct random rng;

/* Upstreams 0 to 3 are in zone "a", the others in "b"; all are idle. */
static int
setup(void **state)
{
	(void)state;
	rng_init(&rng, 11);
	versions[0].share = 1000;
	versions[1].share = 0;
	versions[1].on_trial = false;
	for (uint32_t i = 0; i < N_UP; i++) {
		struct load_choice_report r = {.pace = 100};

		stats[i] = rt_stat_new();
		load_choice_on_report(stats[i], &r, NOW_US);
		upstreams[i] = (struct rt_upstream){.id = BSTR("u"),
		    .zone = i < N_UP / 2 ? BSTR("a") : BSTR("b"),
		    .slots = SLOTS,
		    .stat = stats[i]};
	}
	return (0);
}

static int
teardown(void **state)
{
	(void)state;
	for (uint32_t i = 0; i < N_UP; i++)
		rt_stat_unref(stats[i]);
	return (0);
}

static void
report(int i, int32_t running, int32_t waiting, int32_t pace)
{
	struct load_choice_report r = {
	    .running = running, .waiting = waiting, .pace = pace};

	load_choice_on_report(stats[i], &r, NOW_US);
}

static int
pick(const struct rt_request *req, int64_t now_us)
{
	return (load_choice_pick(&service, req, now_us, &rng));
}

/* Guards against requests to an upstream that has just become slow. */
static void
test_slow(void **state)
{
	struct rt_request req = {0};

	(void)state;
	for (int i = 0; i < N_UP; i++)
		report(i, 0, 0, i == 5 ? 100 : 500);
	assert_int_equal(pick(&req, NOW_US), 5);
	/* Half full at the normal pace is better than idle and slow. */
	report(5, SLOTS / 2, 0, 100);
	assert_int_equal(pick(&req, NOW_US), 5);
}

/*
 * Guards against overload in a burst: upstreams count as full at the share of
 * their slots above which more concurrent requests lower the throughput, and
 * the pick returns RT_FULL.
 */
static void
test_full(void **state)
{
	struct rt_request req = {0};

	(void)state;
	for (int i = 0; i < N_UP; i++)
		report(i, SLOTS, SLOTS, 100);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
	for (int i = 0; i < N_UP; i++)
		report(i, SLOTS - 2, 0, 100);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
	report(2, SLOTS - 3, 0, 100);
	assert_int_equal(pick(&req, NOW_US), 2);
}

/*
 * Guards against lost throughput at upstreams with few slots, where one free
 * slot is a large share, and against urgent requests that find no room although
 * the last slots are kept for them.
 */
static void
test_reserved_slots(void **state)
{
	static const uint32_t slots[] = {1, 2, 3, 4, 6};
	static const int32_t usual[] = {1, 2, 2, 3, 4};
	struct rt_request req = {0};

	(void)state;
	for (int i = 0; i < 5; i++) {
		for (int k = 0; k < N_UP; k++) {
			upstreams[k].slots = slots[i];
			report(k, usual[i] - 1, 0, 100);
		}
		req.use_all_slots = false;
		assert_true(pick(&req, NOW_US) >= 0);
		for (int k = 0; k < N_UP; k++)
			report(k, usual[i], 0, 100);
		assert_int_equal(pick(&req, NOW_US), RT_FULL);
		req.use_all_slots = true;
		assert_int_equal(
		    pick(&req, NOW_US) >= 0, usual[i] < (int32_t)slots[i]);
		for (int k = 0; k < N_UP; k++)
			report(k, (int32_t)slots[i], 0, 100);
		assert_int_equal(pick(&req, NOW_US), RT_FULL);
	}
}

/*
 * Guards against requests that start during a short slow phase and then occupy
 * a slot several times as long as normal. They wait even when all upstreams are
 * slow; only a persistently slow upstream is used.
 */
static void
test_all_slow(void **state)
{
	struct load_choice_report slow = {.pace = 500};
	struct rt_request req = {0};
	int64_t now_us = NOW_US;

	(void)state;
	for (int i = 0; i < N_UP; i++)
		report(i, 0, 0, 500);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
	for (int k = 0; k < 4; k++) {
		now_us += 200000;
		load_choice_on_report(stats[3], &slow, now_us);
	}
	/* A persistently slow upstream is used only with accept_slow. */
	assert_int_equal(pick(&req, now_us), RT_FULL);
	req.accept_slow = true;
	assert_int_equal(pick(&req, now_us), 3);
	/* It would not finish before its deadline. */
	req.work_us = 200000;
	req.remaining_us = 900000;
	assert_int_equal(pick(&req, now_us), RT_FULL);
	req.remaining_us = 1100000;
	assert_int_equal(pick(&req, now_us), 3);
	report(3, 0, 0, 100);
	report(3, 0, 0, 500);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
}

/* Persistently slow upstreams are probed only when there is no other. */
static void
test_slow_not_probed(void **state)
{
	struct load_choice_report slow = {.pace = 500};
	struct rt_request req = {0};
	int64_t now_us = NOW_US;
	uint32_t out[N_UP];
	uint32_t n;

	(void)state;
	for (int k = 0; k < 4; k++) {
		now_us += 200000;
		for (int i = 0; i < 3; i++)
			load_choice_on_report(stats[i], &slow, now_us);
	}
	n = load_choice_candidates(&service, &req, now_us, &rng, out, N_UP);
	assert_int_equal(n, N_UP - 3);
	for (uint32_t i = 0; i < n; i++)
		assert_true(out[i] > 2);
	for (int i = 3; i < N_UP; i++)
		upstreams[i].state = RT_DOWN;
	n = load_choice_candidates(&service, &req, now_us, &rng, out, N_UP);
	assert_int_equal(n, 3);
}

/* Guards against a choice by an expired report. */
static void
test_old_report(void **state)
{
	struct rt_request req = {0};

	(void)state;
	assert_true(pick(&req, NOW_US + LOAD_CHOICE_FRESH_US) >= 0);
	assert_int_equal(
	    pick(&req, NOW_US + LOAD_CHOICE_FRESH_US + 1), RT_NONE);
}

/* Guards against overload of a zone that has returned cold and can serve only a
 * few requests of the whole fleet. */
static void
test_cold(void **state)
{
	struct rt_request req = {0};
	int64_t now_us = NOW_US;
	int sent = 0;

	(void)state;
	for (int i = 0; i < N_UP; i++) {
		struct load_choice_report r = {.pace = 100, .cold_us = 3000000};

		load_choice_on_report(stats[i], &r, NOW_US);
	}
	assert_int_equal(pick(&req, NOW_US), RT_NONE);
	upstreams[3].cold_allowed = true;
	for (int ms = 0; ms < 1000; ms++, now_us += 1000) {
		int i;

		atomic_store(&stats[3]->full_report_us, now_us);
		i = pick(&req, now_us);
		if (i < 0)
			continue;
		assert_int_equal(i, 3);
		load_choice_on_start(&upstreams[i], now_us);
		sent++;
	}
	assert_int_equal(sent, 1);
}

/* Guards against probes of cold upstreams to which no request may be sent. */
static void
test_cold_not_probed(void **state)
{
	struct rt_request req = {0};
	uint32_t out[LOAD_CHOICE_FANOUT];

	(void)state;
	for (int i = 0; i < N_UP; i++)
		upstreams[i].state = RT_COLD;
	assert_int_equal(load_choice_candidates(&service, &req, NOW_US, &rng,
			     out, LOAD_CHOICE_FANOUT),
	    0);
}

/*
 * Guards against some upstreams that get more requests than others because of
 * their place in the table: candidates are spread evenly, also when most of the
 * upstreams between them cannot be used.
 */
static void
test_even_candidates(void **state)
{
	enum { ROUNDS = 21000, USED = 3, EACH = ROUNDS / USED };
	struct rt_request req = {0};
	uint32_t drawn[N_UP] = {0};
	uint32_t out[1];

	(void)state;
	for (int i = 0; i < N_UP; i++)
		upstreams[i].state =
		    i == 0 || i == 1 || i == N_UP - 1 ? RT_READY : RT_DOWN;
	for (int round = 0; round < ROUNDS; round++) {
		assert_int_equal(load_choice_candidates(
				     &service, &req, NOW_US, &rng, out, 1),
		    1);
		drawn[out[0]]++;
	}
	for (int i = 0; i < N_UP; i++)
		assert_in_range(drawn[i],
		    upstreams[i].state == RT_READY ? EACH - EACH / 20 : 0,
		    upstreams[i].state == RT_READY ? EACH + EACH / 20 : 0);
}

/* Guards against load reports from other zones that nobody needs. */
static void
test_own_zone_first(void **state)
{
	struct rt_request req = {.zone = BSTR("a")};
	uint32_t out[LOAD_CHOICE_FANOUT];
	uint32_t n;
	bool other = false;

	(void)state;
	for (int round = 0; round < 50; round++) {
		n = load_choice_candidates(
		    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
		for (uint32_t i = 0; i < n; i++)
			assert_true(out[i] < N_UP / 2);
	}
	req.include_secondary = true;
	n = load_choice_candidates(
	    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
	for (uint32_t i = 0; i < n; i++)
		other = other || out[i] >= N_UP / 2;
	assert_true(other);
}

/* Guards against duplicate candidates and too few from this VM's zone. */
static void
test_candidates(void **state)
{
	struct rt_request req = {.zone = BSTR("a")};
	uint32_t out[LOAD_CHOICE_FANOUT];

	(void)state;
	for (int round = 0; round < 100; round++) {
		int own = 0;

		assert_int_equal(load_choice_candidates(&service, &req, NOW_US,
				     &rng, out, LOAD_CHOICE_FANOUT),
		    LOAD_CHOICE_FANOUT);
		for (int i = 0; i < LOAD_CHOICE_FANOUT; i++) {
			own += out[i] < N_UP / 2;
			for (int k = 0; k < i; k++)
				assert_int_not_equal(out[i], out[k]);
		}
		assert_true(own >= LOAD_CHOICE_FANOUT / 2);
	}
}

/* Secondary upstreams are probed when the others are too few or full. */
static void
test_secondary(void **state)
{
	struct rt_request req = {0};
	uint32_t out[LOAD_CHOICE_FANOUT];
	uint32_t n;
	bool secondary = false;

	(void)state;
	for (int i = LOAD_CHOICE_FANOUT; i < N_UP; i++)
		upstreams[i].secondary = true;
	for (int round = 0; round < 50; round++) {
		n = load_choice_candidates(
		    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
		assert_int_equal(n, LOAD_CHOICE_FANOUT);
		for (uint32_t i = 0; i < n; i++)
			assert_true(out[i] < LOAD_CHOICE_FANOUT);
	}
	req.include_secondary = true;
	for (int round = 0; round < 50; round++) {
		n = load_choice_candidates(
		    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
		for (uint32_t i = 0; i < n; i++)
			secondary = secondary || out[i] >= LOAD_CHOICE_FANOUT;
	}
	assert_true(secondary);
	req.include_secondary = false;
	for (int i = 1; i < LOAD_CHOICE_FANOUT; i++)
		upstreams[i].state = RT_DOWN;
	n = load_choice_candidates(
	    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
	assert_int_equal(n, LOAD_CHOICE_FANOUT);
}

/* Upstreams that did not answer a probe, accept no requests or were tried
 * already are not probed for a while. */
static void
test_probe_backoff(void **state)
{
	struct load_choice_report refusal = {.refusing = true};
	struct rt_request req = {.n_excluded = 1};
	uint32_t out[N_UP];
	uint32_t n;

	(void)state;
	load_choice_on_probe_failure(stats[0], NOW_US);
	load_choice_on_report(stats[1], &refusal, NOW_US);
	req.excluded[0] = stats[2];
	n = load_choice_candidates(&service, &req, NOW_US, &rng, out, N_UP);
	assert_int_equal(n, N_UP - 3);
	for (uint32_t i = 0; i < n; i++)
		assert_true(out[i] > 2);
	n = load_choice_candidates(&service, &(struct rt_request){0},
	    NOW_US + LOAD_CHOICE_REFUSAL_BACKOFF_US, &rng, out, N_UP);
	assert_int_equal(n, N_UP);
}

/*
 * Guards against requests of the old version that run at the new one when the
 * old version is full or down. The share of a new version is an upper limit.
 */
static void
test_versions(void **state)
{
	struct rt_request req = {.draw = 999};

	(void)state;
	for (uint32_t i = 0; i < N_UP; i++)
		upstreams[i].version = i / 4;
	versions[0].share = 950;
	versions[1].share = 50;
	assert_true(pick(&req, NOW_US) >= 4);
	req.draw = 949;
	assert_true(pick(&req, NOW_US) < 4);
	for (int i = 0; i < 4; i++)
		report(i, SLOTS, SLOTS, 100);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
	for (int i = 0; i < 4; i++)
		upstreams[i].state = RT_DOWN;
	assert_int_equal(pick(&req, NOW_US), RT_NONE);
	/* The old version does take over the requests of the new one. */
	for (int i = 0; i < 4; i++) {
		upstreams[i].state = RT_READY;
		upstreams[4 + i].state = RT_DOWN;
		report(i, 0, 0, 100);
	}
	req.draw = 999;
	assert_true(pick(&req, NOW_US) < 4);
}

/* Upstreams that answer probes without their load are used without probes. */
/*
 * Guards against callers who wait for the few upstreams of a version on trial,
 * or are sent to it more than its share allows.
 */
static void
test_version_on_trial(void **state)
{
	struct rt_request req = {.draw = 990};

	(void)state;
	versions[0].share = 950;
	versions[1].share = 50;
	for (int i = 4; i < N_UP; i++) {
		upstreams[i].version = 1;
		upstreams[i].state = i == 4 ? RT_READY : RT_DOWN;
	}
	versions[1].on_trial = true;
	assert_int_equal(pick(&req, NOW_US), 4);
	report(4, SLOTS, SLOTS, 100);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
	req.include_secondary = true;
	assert_true(pick(&req, NOW_US) < 4);
	/* Without a trial the request waits for its version. */
	versions[1].on_trial = false;
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
}

static void
test_no_report(void **state)
{
	struct load_choice_report none = {.none = true};
	struct rt_request req = {0};
	uint32_t out[LOAD_CHOICE_FANOUT];

	(void)state;
	for (int i = 0; i < N_UP; i++)
		load_choice_on_report(stats[i], &none, NOW_US);
	assert_int_equal(load_choice_candidates(&service, &req, NOW_US, &rng,
			     out, LOAD_CHOICE_FANOUT),
	    0);
	assert_true(pick(&req, NOW_US * 2) >= 0);
}

/* Guards against aborting a late request when the other upstream cannot accept
 * it. */
static void
test_may_take(void **state)
{
	struct rt_request req = {0};
	struct rt_upstream *u = &upstreams[0];
	struct rt_stat *s = stats[0];

	(void)state;
	assert_true(load_choice_may_take(&service, u, &req, NOW_US));
	/* The report may be old, since the upstream is probed again. */
	assert_true(load_choice_may_take(
	    &service, u, &req, NOW_US + 10 * LOAD_CHOICE_FRESH_US));
	load_choice_on_probe_failure(s, NOW_US);
	assert_false(load_choice_may_take(&service, u, &req, NOW_US));
	report(0, 0, 0, 100);
	load_choice_on_report(
	    s, &(struct load_choice_report){.refusing = true}, NOW_US);
	assert_false(load_choice_may_take(&service, u, &req, NOW_US));
	load_choice_on_report(
	    s, &(struct load_choice_report){.cold_us = 1000}, NOW_US);
	u->cold_allowed = true;
	assert_false(load_choice_may_take(&service, u, &req, NOW_US));
	report(0, 0, 0, 100);
	atomic_store(&s->in_flight, SLOTS);
	assert_false(load_choice_may_take(&service, u, &req, NOW_US));
	atomic_store(&s->in_flight, SLOTS - 1);
	assert_true(load_choice_may_take(&service, u, &req, NOW_US));
	u->state = RT_DRAINING;
	assert_false(load_choice_may_take(&service, u, &req, NOW_US));
	u->state = RT_READY;
	req.excluded[req.n_excluded++] = s;
	assert_false(load_choice_may_take(&service, u, &req, NOW_US));
}

/* Starts and ends @n calls at each upstream; responses tell @reported. */
static void
run_calls(unsigned n, int32_t reported, int64_t now_us)
{
	struct rt_result ok = {.latency_us = 1000, .reported = reported};

	for (uint32_t i = 0; i < N_UP; i++) {
		for (unsigned k = 0; k < n; k++) {
			assert_true(rt_try_start(stats[i], false, now_us));
			rt_on_finish(stats[i], SLOTS, &ok, now_us);
		}
	}
}

static void
set_no_report(void)
{
	struct load_choice_report none = {.none = true};

	for (uint32_t i = 0; i < N_UP; i++)
		load_choice_on_report(stats[i], &none, NOW_US);
}

/*
 * Upstreams that never tell their load counted as full for good after as many
 * requests as they have slots, although all of them had ended.
 */
static void
test_no_report_ended_calls(void **state)
{
	struct rt_request req = {0};
	bool used[N_UP] = {false};

	(void)state;
	set_no_report();
	run_calls(10 * SLOTS, -1, NOW_US);
	assert_true(pick(&req, NOW_US) >= 0);
	/* Calls in flight count, and the upstream with the fewest is used. */
	for (uint32_t i = 0; i < N_UP; i++)
		atomic_store(&stats[i]->in_flight, i == 6 ? 1 : 2);
	for (int k = 0; k < 20; k++)
		used[pick(&req, NOW_US)] = true;
	for (uint32_t i = 0; i < N_UP; i++)
		assert_int_equal(used[i], i == 6);
	for (uint32_t i = 0; i < N_UP; i++)
		atomic_store(&stats[i]->in_flight, SLOTS - 2);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
}

/*
 * An upstream that tells its load in responses but not to probes must not stay
 * full because its last response was sent while it was.
 */
static void
test_no_report_old_response(void **state)
{
	struct rt_request req = {0};
	int64_t now_us = NOW_US + LOAD_CHOICE_FRESH_US;

	(void)state;
	set_no_report();
	run_calls(1, SLOTS, NOW_US);
	assert_int_equal(pick(&req, now_us), RT_FULL);
	assert_true(pick(&req, now_us + 1) >= 0);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_slow),
	    TEST(test_full),
	    TEST(test_all_slow),
	    TEST(test_slow_not_probed),
	    TEST(test_old_report),
	    TEST(test_cold),
	    TEST(test_cold_not_probed),
	    TEST(test_candidates),
	    TEST(test_reserved_slots),
	    TEST(test_even_candidates),
	    TEST(test_own_zone_first),
	    TEST(test_secondary),
	    TEST(test_probe_backoff),
	    TEST(test_versions),
	    TEST(test_version_on_trial),
	    TEST(test_no_report),
	    TEST(test_no_report_ended_calls),
	    TEST(test_no_report_old_response),
	    TEST(test_may_take),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
