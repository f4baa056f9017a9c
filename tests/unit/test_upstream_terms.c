/*
 * Tests in virtual time that a fleet keeps the rate limit of an upstream, that
 * the upstream still gets what it allows, and that a leave and a pause hold.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>

#include "base/random.h"
#include "fleet/cold_owners.h"
#include "route/upstream_terms.h"

#define MAX_VMS 500
#define STEP_US 2000
#define RUN_US 60000000
#define WINDOW_US 4000000
#define WINDOW_S 4
#define MAX_SENDS 65536
/* The published bound: one and a half times the limit and a slack. */
#define FACTOR 1.5
#define SLACK 5
#define SHARE_USED 0.9
#define N_SEEDS 10

static struct upstream_terms terms[MAX_VMS];
static uint32_t ranks[MAX_VMS];
static int64_t sends[MAX_SENDS];
static uint32_t n_sends;

/* Ranks of all VMs for one upstream, as each computes it from its own list. */
static void
rank_fleet(uint32_t n_vms, uint64_t seed, uint32_t missing)
{
	char upstream[32];

	snprintf(upstream, sizeof(upstream), "u%llu", (unsigned long long)seed);
	for (uint32_t i = 0; i < n_vms; i++) {
		struct cold_owners o;
		char name[16];

		snprintf(name, sizeof(name), "vm%u", i);
		cold_owners_init(&o, name);
		for (uint32_t k = 0; k < n_vms; k++) {
			snprintf(name, sizeof(name), "vm%u", k);
			/* Each second VM does not know the last ones yet. */
			if (i % 2 == 0 || k + missing < n_vms)
				cold_owners_add(&o, name);
		}
		ranks[i] = cold_owners_rank(&o, bstr_from(upstream));
		cold_owners_finish(&o);
	}
}

static unsigned
name_limit(struct upstream_terms *t, int64_t milli, bool probe, int64_t now_us)
{
	struct terms_answer a = {.limit_milli_per_s = milli, .probe = probe};

	return (terms_on_answer(t, &a, now_us));
}

static void
send_one(uint32_t vm, double per_s, int64_t now_us)
{
	assert_true(n_sends < MAX_SENDS);
	sends[n_sends++] = now_us;
	terms_on_send(&terms[vm], now_us);
	name_limit(&terms[vm], (int64_t)(per_s * 1000), false, now_us);
}

/* All VMs have been told, and each always has a request to send. */
static void
run_fleet(uint32_t n_vms, double per_s)
{
	int64_t now_us = 1000000;

	n_sends = 0;
	for (uint32_t i = 0; i < n_vms; i++) {
		terms_init(&terms[i]);
		name_limit(&terms[i], (int64_t)(per_s * 1000), false, now_us);
	}
	for (; now_us < RUN_US; now_us += STEP_US) {
		for (uint32_t i = 0; i < n_vms; i++) {
			/* The others hear of it by their probes. */
			if (now_us % 1000000 == 0)
				name_limit(&terms[i], (int64_t)(per_s * 1000),
				    true, now_us);
			if (terms_allow(&terms[i], ranks[i], n_vms, now_us))
				send_one(i, per_s, now_us);
		}
	}
}

static uint32_t
most_in_window(void)
{
	uint32_t most = 0, first = 0;

	for (uint32_t i = 0; i < n_sends; i++) {
		while (sends[i] - sends[first] >= WINDOW_US)
			first++;
		if (i - first + 1 > most)
			most = i - first + 1;
	}
	return (most);
}

static void
check_fleet(uint32_t n_vms, double per_s, uint64_t seed, uint32_t missing)
{
	rank_fleet(n_vms, seed, missing);
	run_fleet(n_vms, per_s);
	assert_true(most_in_window() <= FACTOR * WINDOW_S * per_s + SLACK);
	if (missing == 0)
		assert_true(
		    n_sends >= SHARE_USED * per_s * (RUN_US - 1000000) / 1e6);
}

static const double rates[] = {0.3, 1.1, 1.5, 1.9, 7, 40};

/* Each VM sent as it liked, 24 in 4 s where 14 were allowed. */
static void
test_fleet_keeps_limit(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= N_SEEDS; seed++) {
		for (size_t i = 0; i < sizeof(rates) / sizeof(*rates); i++) {
			check_fleet(3, rates[i], seed, 0);
			check_fleet(19, rates[i], seed, 0);
		}
	}
	check_fleet(MAX_VMS, 1.5, 1, 0);
	check_fleet(MAX_VMS, 40, 2, 0);
}

/* VMs that have just come are not in each list of members yet. */
static void
test_different_lists(void **state)
{
	(void)state;
	for (uint64_t seed = 1; seed <= N_SEEDS; seed++) {
		for (size_t i = 0; i < sizeof(rates) / sizeof(*rates); i++)
			check_fleet(19, rates[i], seed, 2);
	}
}

static void
test_begin_and_end(void **state)
{
	struct upstream_terms l;

	(void)state;
	terms_init(&l);
	assert_true(terms_allow(&l, 9, 10, 0));
	assert_true(name_limit(&l, 2000, false, 0));
	assert_false(name_limit(&l, 2000, false, 0));
	assert_false(terms_allow(&l, 9, 10, 0));
	/* Probes that never named it do not end it, an answer does. */
	assert_false(name_limit(&l, TERMS_NO_LIMIT, true, 0));
	assert_false(terms_allow(&l, 9, 10, 0));
	assert_true(name_limit(&l, TERMS_NO_LIMIT, false, 0));
	assert_true(terms_allow(&l, 9, 10, 0));
	/* Probes that named it end it. */
	name_limit(&l, 2000, true, 0);
	assert_false(terms_allow(&l, 9, 10, 0));
	name_limit(&l, TERMS_NO_LIMIT, true, 0);
	assert_true(terms_allow(&l, 9, 10, 0));
	/* A limit of 0 allows nothing; one that is not confirmed ends. */
	name_limit(&l, 0, false, 0);
	assert_false(terms_allow(&l, 0, 1, TERMS_MEMORY_US));
	assert_true(terms_allow(&l, 0, 1, TERMS_MEMORY_US + 1));
}

/* A leaving upstream got requests from its own answer on. */
static void
test_leaving(void **state)
{
	struct terms_answer a = {
	    .leaving = true, .limit_milli_per_s = TERMS_NO_LIMIT};
	struct upstream_terms t;

	(void)state;
	terms_init(&t);
	assert_true(terms_allow(&t, 0, 1, 0));
	assert_int_equal(terms_on_answer(&t, &a, 0), TERMS_LEAVING_CHANGED);
	assert_false(terms_allow(&t, 0, 1, 0));
	/* A late answer without the field does not bring it back. */
	a.leaving = false;
	assert_int_equal(terms_on_answer(&t, &a, 1), 0);
	assert_false(terms_allow(&t, 0, 1, INT64_MAX / 2));
}

/* An upstream that asked for a pause got requests before its end. */
static void
test_pause(void **state)
{
	struct terms_answer a = {
	    .pause_ms = 2000, .limit_milli_per_s = TERMS_NO_LIMIT};
	struct upstream_terms t;

	(void)state;
	terms_init(&t);
	assert_int_equal(terms_on_answer(&t, &a, 1000), TERMS_PAUSE_CHANGED);
	assert_false(terms_allow(&t, 0, 1, 2000999));
	assert_int_equal(terms_pause_left_us(&t, 2000999), 1);
	assert_true(terms_allow(&t, 0, 1, 2001000));
	assert_int_equal(terms_pause_left_us(&t, 2001000), 0);
	/* Answers to requests that were sent before do not end it. */
	terms_on_answer(&t, &a, 1000);
	a.pause_ms = 100;
	assert_int_equal(terms_on_answer(&t, &a, 1000), 0);
	a.pause_ms = 0;
	terms_on_answer(&t, &a, 1000);
	assert_false(terms_allow(&t, 0, 1, 2000999));
	/* An absurd time is bounded. */
	a.pause_ms = INT64_MAX;
	terms_on_answer(&t, &a, 0);
	assert_true(terms_allow(&t, 0, 1, TERMS_MAX_PAUSE_MS * 1000LL));
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_fleet_keeps_limit),
	    cmocka_unit_test(test_different_lists),
	    cmocka_unit_test(test_begin_and_end),
	    cmocka_unit_test(test_leaving),
	    cmocka_unit_test(test_pause),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
