/* Choice of an upstream by load that was asked for just before. */
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

/* Load that shifts in milliseconds: a slowed upstream is avoided at once. */
static void
test_slowed(void **state)
{
	struct rt_request req = {0};

	(void)state;
	for (int i = 0; i < N_UP; i++)
		report(i, 0, 0, i == 5 ? 100 : 500);
	assert_int_equal(pick(&req, NOW_US), 5);
	/* Half full at the usual pace is better than idle and slowed. */
	report(5, SLOTS / 2, 0, 100);
	assert_int_equal(pick(&req, NOW_US), 5);
}

/*
 * A burst: upstreams are full from the share of their slots above which more
 * requests at a time are fewer a second, and that is said.
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
 * Load that shifts in milliseconds: a request that starts while its upstream is
 * slowed keeps the slot several times as long, so it waits even when all are;
 * one that is slow for good is used.
 */
static void
test_all_slowed(void **state)
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
	/* Slow for good: used once the request has waited for another. */
	assert_int_equal(pick(&req, now_us), RT_FULL);
	req.hurried = true;
	assert_int_equal(pick(&req, now_us), 3);
	/* It would not end in its time. */
	req.work_us = 200000;
	req.left_us = 900000;
	assert_int_equal(pick(&req, now_us), RT_FULL);
	req.left_us = 1100000;
	assert_int_equal(pick(&req, now_us), 3);
	report(3, 0, 0, 100);
	report(3, 0, 0, 500);
	assert_int_equal(pick(&req, NOW_US), RT_FULL);
}

/* Upstreams that are known to be slow are asked only when others are few. */
static void
test_slow_not_asked(void **state)
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

/* What was reported a while ago is no base for a choice. */
static void
test_old_report(void **state)
{
	struct rt_request req = {0};

	(void)state;
	assert_true(pick(&req, NOW_US + LOAD_CHOICE_FRESH_US) >= 0);
	assert_int_equal(
	    pick(&req, NOW_US + LOAD_CHOICE_FRESH_US + 1), RT_NONE);
}

/* A zone that comes back cold bears few requests of the whole fleet. */
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
	upstreams[3].cold_share = true;
	for (int ms = 0; ms < 1000; ms++, now_us += 1000) {
		int i;

		atomic_store(&stats[3]->asked_us, now_us);
		i = pick(&req, now_us);
		if (i < 0)
			continue;
		assert_int_equal(i, 3);
		load_choice_on_start(&upstreams[i], now_us);
		sent++;
	}
	assert_int_equal(sent, 1);
}

/* A cold upstream is no candidate either, so that it is not asked in vain. */
static void
test_cold_not_asked(void **state)
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

/* Far upstreams are asked when the near ones are too few or have no room. */
static void
test_far(void **state)
{
	struct rt_request req = {0};
	uint32_t out[LOAD_CHOICE_FANOUT];
	uint32_t n;
	bool far = false;

	(void)state;
	for (int i = LOAD_CHOICE_FANOUT; i < N_UP; i++)
		upstreams[i].far = true;
	for (int round = 0; round < 50; round++) {
		n = load_choice_candidates(
		    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
		assert_int_equal(n, LOAD_CHOICE_FANOUT);
		for (uint32_t i = 0; i < n; i++)
			assert_true(out[i] < LOAD_CHOICE_FANOUT);
	}
	req.wide = true;
	for (int round = 0; round < 50; round++) {
		n = load_choice_candidates(
		    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
		for (uint32_t i = 0; i < n; i++)
			far = far || out[i] >= LOAD_CHOICE_FANOUT;
	}
	assert_true(far);
	req.wide = false;
	for (int i = 1; i < LOAD_CHOICE_FANOUT; i++)
		upstreams[i].state = RT_DOWN;
	n = load_choice_candidates(
	    &service, &req, NOW_US, &rng, out, LOAD_CHOICE_FANOUT);
	assert_int_equal(n, LOAD_CHOICE_FANOUT);
}

/* Who was silent, refuses or failed before is left alone for a while. */
static void
test_left_alone(void **state)
{
	struct load_choice_report refusal = {.refusing = true};
	struct rt_request req = {.n_excluded = 1};
	uint32_t out[N_UP];
	uint32_t n;

	(void)state;
	load_choice_on_silence(stats[0], NOW_US);
	load_choice_on_report(stats[1], &refusal, NOW_US);
	req.excluded[0] = stats[2];
	n = load_choice_candidates(&service, &req, NOW_US, &rng, out, N_UP);
	assert_int_equal(n, N_UP - 3);
	for (uint32_t i = 0; i < n; i++)
		assert_true(out[i] > 2);
	n = load_choice_candidates(&service, &(struct rt_request){0},
	    NOW_US + LOAD_CHOICE_REFUSAL_US, &rng, out, N_UP);
	assert_int_equal(n, N_UP);
}

/*
 * The share of a new version is a limit: when the old version is full or gone,
 * its requests must not run at the new one.
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
	/* The other way round the old version takes over. */
	for (int i = 0; i < 4; i++) {
		upstreams[i].state = RT_READY;
		upstreams[4 + i].state = RT_DOWN;
		report(i, 0, 0, 100);
	}
	req.draw = 999;
	assert_true(pick(&req, NOW_US) < 4);
}

/* Upstreams that answer without a load are used, by what else is known. */
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

/* A late request is broken off only for an upstream that can take it. */
static void
test_may_take(void **state)
{
	struct rt_request req = {0};
	struct rt_upstream *u = &upstreams[0];
	struct rt_stat *s = stats[0];

	(void)state;
	assert_true(load_choice_may_take(u, &req, NOW_US));
	/* Its report may be old: it is asked again. */
	assert_true(
	    load_choice_may_take(u, &req, NOW_US + 10 * LOAD_CHOICE_FRESH_US));
	load_choice_on_silence(s, NOW_US);
	assert_false(load_choice_may_take(u, &req, NOW_US));
	report(0, 0, 0, 100);
	load_choice_on_report(
	    s, &(struct load_choice_report){.refusing = true}, NOW_US);
	assert_false(load_choice_may_take(u, &req, NOW_US));
	load_choice_on_report(
	    s, &(struct load_choice_report){.cold_us = 1000}, NOW_US);
	u->cold_share = true;
	assert_false(load_choice_may_take(u, &req, NOW_US));
	report(0, 0, 0, 100);
	atomic_store(&s->in_flight, SLOTS);
	assert_false(load_choice_may_take(u, &req, NOW_US));
	atomic_store(&s->in_flight, SLOTS - 1);
	assert_true(load_choice_may_take(u, &req, NOW_US));
	u->state = RT_DRAINING;
	assert_false(load_choice_may_take(u, &req, NOW_US));
	u->state = RT_READY;
	req.excluded[req.n_excluded++] = s;
	assert_false(load_choice_may_take(u, &req, NOW_US));
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_slowed),
	    TEST(test_full),
	    TEST(test_all_slowed),
	    TEST(test_slow_not_asked),
	    TEST(test_old_report),
	    TEST(test_cold),
	    TEST(test_cold_not_asked),
	    TEST(test_candidates),
	    TEST(test_far),
	    TEST(test_left_alone),
	    TEST(test_versions),
	    TEST(test_no_report),
	    TEST(test_may_take),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
