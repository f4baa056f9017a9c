#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>
#include <pthread.h>

#include "base/hash_index.h"
#include "route/routing.h"

#define N_UP 4
#define SLOTS 6
#define SECOND_US 1000000
#define MAX_EJECT_US 30000000
#define N_KEYS 3000

static struct rt_stat *stats[N_UP];
static struct rt_upstream upstreams[N_UP];
static struct rt_table *table;
static struct random rng;

static struct bstr hosts[] = {{"one.example", 11}, {"Alias.Example", 13}};
static struct bstr other_hosts[] = {{"two.example", 11}, {"one.example", 11}};

static struct rt_route routes[] = {
    {.prefix = {"/a/", 3}},
    {.prefix = {"/a/b/", 5}},
    {.prefix = {"/", 1}},
};

static struct rt_version versions[] = {
    {.name = {"v1", 2}, .share = 900},
    {.name = {"v2", 2}, .share = 100},
};

/*
 * Creates a service with the upstreams 0 and 1 of version v1 and 2 and 3 of v2,
 * and another service without upstreams.
 */
static int
setup(void **state)
{
	struct rt_service services[] = {
	    {.name = BSTR("one"),
		.hosts = hosts,
		.n_hosts = 2,
		.routes = routes,
		.n_routes = 3,
		.versions = versions,
		.n_versions = 2,
		.upstreams = upstreams,
		.n_upstreams = N_UP,
		.slots = SLOTS},
	    {.name = BSTR("two"),
		.hosts = other_hosts,
		.n_hosts = 2,
		.versions = versions,
		.n_versions = 2},
	};

	(void)state;
	rng_init(&rng, 7);
	for (uint32_t i = 0; i < N_UP; i++) {
		stats[i] = rt_stat_new();
		upstreams[i] = (struct rt_upstream){.id = BSTR("u"),
		    .addr = BSTR("127.0.0.1:1"),
		    .zone = BSTR("a"),
		    .version = i / 2,
		    .slots = SLOTS,
		    .state = RT_READY,
		    .stat = stats[i]};
	}
	table = rt_table_new(
	    &(struct rt_desc){.services = services, .n_services = 2});
	return (0);
}

static int
teardown(void **state)
{
	(void)state;
	rt_table_free(table);
	for (uint32_t i = 0; i < N_UP; i++)
		rt_stat_unref(stats[i]);
	return (0);
}

/* Returns the service with upstreams, writable for the test. */
static struct rt_service *
service(void)
{
	return ((struct rt_service *)(uintptr_t)rt_find_service(
	    table, BSTR("one")));
}

static int
pick(int64_t now_us)
{
	return (rt_pick(service(), &(struct rt_request){0}, now_us, &rng));
}

static void
finish(int i, bool failed, int64_t now_us)
{
	struct rt_result r = {
	    .latency_us = SECOND_US / 1000, .failed = failed, .reported = -1};

	rt_on_finish(stats[i], SLOTS, &r, now_us);
}

static void
fail_often(int i, int64_t now_us)
{
	for (int k = 0; k < 100; k++) {
		assert_true(rt_try_start(stats[i], false, now_us));
		finish(i, true, now_us);
	}
}

/*
 * Guards against a host that is mapped to the service of another host, and
 * against a host lookup that is case-sensitive.
 */
static void
test_lookup(void **state)
{
	const struct rt_service *s = service();
	uint32_t n;

	(void)state;
	assert_ptr_equal(s, rt_services(table, &n));
	assert_int_equal(n, 2);
	assert_ptr_equal(rt_find_host(table, BSTR("one.example")), s);
	assert_ptr_equal(rt_find_host(table, BSTR("ONE.eXample")), s);
	assert_ptr_equal(rt_find_host(table, BSTR("alias.example")), s);
	assert_ptr_equal(rt_find_host(table, BSTR("two.example")), s + 1);
	assert_ptr_equal(rt_find_service(table, BSTR("two")), s + 1);
	assert_null(rt_find_service(table, BSTR("ONE")));
	assert_null(rt_find_service(table, BSTR("")));
	assert_null(rt_find_host(table, BSTR("three.example")));
	assert_null(rt_find_host(table, BSTR("one.example.")));
	assert_null(rt_find_host(table, BSTR("one.exampl")));
	assert_null(rt_find_host(table, BSTR("")));
	assert_null(rt_find_host(table, (struct bstr){0}));
}

/* Guards against not choosing the route with the longest prefix. */
static void
test_route(void **state)
{
	const struct rt_service *s = service();

	(void)state;
	assert_ptr_equal(rt_find_route(s, BSTR("/a/b/c")), &s->routes[1]);
	assert_ptr_equal(rt_find_route(s, BSTR("/a/b")), &s->routes[0]);
	assert_ptr_equal(rt_find_route(s, BSTR("/a")), &s->routes[2]);
	assert_null(rt_find_route(s, BSTR("x")));
	assert_null(rt_find_route(s + 1, BSTR("/")));
}

/*
 * Guards against an index that loses keys, confuses keys (also those that
 * differ only after the hashed part), or replaces the value of a key.
 */
static void
test_hash_index(void **state)
{
	static char keys[N_KEYS][24];
	static char longer[2][400];
	struct bstr a = {longer[0], 400}, b = {longer[1], 400};
	struct hash_index h;

	(void)state;
	hash_index_init(&h, N_KEYS, true);
	assert_null(hash_index_find(&h, BSTR("Key 0")));
	for (int i = 0; i < N_KEYS - 2; i++) {
		snprintf(keys[i], sizeof(keys[i]), "kEy %d", i);
		assert_true(hash_index_add(&h, bstr_from(keys[i]), keys[i]));
		assert_false(hash_index_add(&h, bstr_from(keys[i]), &h));
	}
	longer[1][399] = 1;
	assert_true(hash_index_add(&h, a, &a));
	assert_true(hash_index_add(&h, b, &b));
	assert_false(hash_index_add(&h, BSTR("one too many"), &h));
	assert_ptr_equal(hash_index_find(&h, a), &a);
	assert_ptr_equal(hash_index_find(&h, b), &b);
	for (int i = 0; i < N_KEYS; i++) {
		char key[24];

		snprintf(key, sizeof(key), "Key %d", i);
		assert_ptr_equal(hash_index_find(&h, bstr_from(key)),
		    i < N_KEYS - 2 ? keys[i] : NULL);
	}
	hash_index_finish(&h);
	hash_index_init(&h, 0, false);
	assert_null(hash_index_find(&h, BSTR("a")));
	assert_false(hash_index_add(&h, BSTR("a"), &h));
	hash_index_finish(&h);
}

/* Guards against a version that gets more requests than its share. */
static void
test_version_shares(void **state)
{
	unsigned calls[2] = {0};

	(void)state;
	for (int k = 0; k < 20000; k++)
		calls[upstreams[pick(SECOND_US)].version]++;
	assert_in_range(calls[1], 1800, 2200);
	versions[0].share = 1000;
	versions[1].share = 0;
	for (uint32_t v = 0; v < 2; v++)
		service()->versions[v].share = versions[v].share;
	for (int k = 0; k < 2000; k++)
		assert_int_equal(upstreams[pick(SECOND_US)].version, 0);
	versions[0].share = 900;
	versions[1].share = 100;
}

/* Guards against calls to upstreams that are draining, down or excluded. */
static void
test_states(void **state)
{
	struct rt_request req = {
	    .excluded = {stats[0], stats[2]}, .n_excluded = 2};
	struct rt_service *s = service();

	(void)state;
	for (int k = 0; k < 200; k++)
		assert_int_equal(rt_pick(s, &req, SECOND_US, &rng) % 2, 1);
	s->upstreams[0].state = RT_DRAINING;
	s->upstreams[2].state = RT_DOWN;
	for (int k = 0; k < 200; k++)
		assert_int_equal(pick(SECOND_US) % 2, 1);
	/* A version without a usable upstream gives its share to the other. */
	s->upstreams[1].state = RT_DOWN;
	for (int k = 0; k < 200; k++)
		assert_int_equal(pick(SECOND_US), 3);
	s->upstreams[3].state = RT_DRAINING;
	assert_int_equal(pick(SECOND_US), RT_NONE);
	assert_int_equal(
	    rt_pick(s + 1, &(struct rt_request){0}, 0, &rng), RT_NONE);
}

/*
 * Guards against a second cold start that is not reported to the control thread
 * because the table still has the state RT_COLD from the first one.
 */
static void
test_state_needs_report(void **state)
{
	struct rt_stat *s = rt_stat_new();

	(void)state;
	assert_false(rt_state_needs_report(s, RT_READY, RT_READY));
	assert_true(rt_state_needs_report(s, RT_READY, RT_COLD));
	atomic_store(&s->state_reported, RT_COLD);
	assert_false(rt_state_needs_report(s, RT_COLD, RT_COLD));
	assert_true(rt_state_needs_report(s, RT_COLD, RT_READY));
	atomic_store(&s->state_reported, RT_READY);
	assert_true(rt_state_needs_report(s, RT_COLD, RT_COLD));
	rt_stat_unref(s);
}

/*
 * Guards against calls that are still sent to a failing upstream, and against
 * an upstream that stays ejected after it has recovered.
 */
static void
test_ejection(void **state)
{
	int64_t now = SECOND_US;
	int good = 0;

	(void)state;
	fail_often(0, now);
	for (int k = 0; k < 500; k++)
		assert_int_not_equal(pick(now), 0);
	for (; good < 100 && now < MAX_EJECT_US; now += SECOND_US / 100) {
		int i = pick(now);

		assert_true(i >= 0);
		assert_true(rt_try_start(stats[i], false, now));
		finish(i, false, now);
		good += i == 0;
	}
	assert_int_equal(good, 100);
	assert_true(atomic_load(&stats[0]->fail_permille) < 50);
	print_message(
	    "the recovered upstream had 100 successful calls at time %lld ms\n",
	    (long long)now / 1000);
}

/* Guards against rejecting all calls when all upstreams are ejected. */
static void
test_all_ejected(void **state)
{
	unsigned used = 0;

	(void)state;
	for (int i = 0; i < N_UP; i++)
		fail_often(i, SECOND_US);
	for (int k = 0; k < 500; k++) {
		int i = pick(SECOND_US);

		assert_in_range(i, 0, N_UP - 1);
		used |= 1u << i;
	}
	assert_int_equal(used, (1u << N_UP) - 1);
}

/*
 * Guards against calls to a cold upstream without permits or with expired ones,
 * and against demand for a cold upstream that the statistics do not show.
 */
static void
test_cold(void **state)
{
	struct rt_service *s = service();

	(void)state;
	for (int i = 0; i < N_UP; i++)
		s->upstreams[i].state = RT_COLD;
	assert_int_equal(pick(SECOND_US), RT_FULL);
	assert_true(atomic_load(&stats[0]->cold_demand_us) == SECOND_US ||
	    atomic_load(&stats[2]->cold_demand_us) == SECOND_US);
	assert_false(rt_try_start(stats[0], true, SECOND_US));
	for (int i = 0; i < N_UP; i++) {
		atomic_store(&stats[i]->permits_until_us, 2 * SECOND_US);
		atomic_store(&stats[i]->permits, 1);
	}
	for (int k = 0; k < N_UP; k++) {
		int i = pick(SECOND_US);

		if (i < 0)
			break;
		assert_true(rt_try_start(stats[i], true, SECOND_US));
		assert_false(rt_try_start(stats[i], true, SECOND_US));
	}
	finish(0, false, SECOND_US);
	assert_false(rt_try_start(stats[0], true, 2 * SECOND_US));
	assert_true(rt_try_start(stats[0], false, 2 * SECOND_US));
}

#define PERMITS 3
#define STARTS 200000

/**
 * struct race - two threads that start and finish calls to one upstream
 * @s: statistics of the upstream
 * @running: calls in flight
 * @max_running: highest value of @running
 * @started: calls started
 */
struct race {
	struct rt_stat *s;
	_Atomic int32_t running;
	_Atomic int32_t max_running;
	_Atomic uint32_t started;
};

static bool
start_call(struct race *r)
{
	int32_t n, max_running;

	if (!rt_try_start(r->s, true, 0))
		return (false);
	n = atomic_fetch_add(&r->running, 1) + 1;
	max_running = atomic_load(&r->max_running);
	while (n > max_running &&
	    !atomic_compare_exchange_weak(&r->max_running, &max_running, n))
		;
	atomic_fetch_add(&r->started, 1);
	return (true);
}

static void
end_call(struct race *r)
{
	struct rt_result done = {.latency_us = 10, .reported = -1};

	atomic_fetch_sub(&r->running, 1);
	rt_on_finish(r->s, SLOTS, &done, 0);
}

/* Keeps up to two calls in flight, so that two threads exceed the permits. */
static void *
run_calls(void *arg)
{
	struct race *r = arg;

	for (int k = 0; k < STARTS; k++) {
		bool first = start_call(r);
		bool second = start_call(r);

		if (first)
			end_call(r);
		if (second)
			end_call(r);
	}
	return (NULL);
}

/* Guards against two workers that take the same permit. */
static void
test_permit_race(void **state)
{
	struct race r = {.s = stats[0]};
	pthread_t threads[2];

	(void)state;
	atomic_store(&r.s->permits_until_us, SECOND_US);
	atomic_store(&r.s->permits, PERMITS);
	for (int i = 0; i < 2; i++)
		assert_int_equal(
		    pthread_create(&threads[i], NULL, run_calls, &r), 0);
	for (int i = 0; i < 2; i++)
		pthread_join(threads[i], NULL);
	assert_true(atomic_load(&r.started) > 0);
	assert_in_range(atomic_load(&r.max_running), 1, PERMITS);
	assert_int_equal(atomic_load(&r.s->in_flight), 0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(test_lookup, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_route, setup, teardown),
	    cmocka_unit_test(test_hash_index),
	    cmocka_unit_test_setup_teardown(
		test_version_shares, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_states, setup, teardown),
	    cmocka_unit_test(test_state_needs_report),
	    cmocka_unit_test_setup_teardown(test_ejection, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_all_ejected, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_cold, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_permit_race, setup, teardown),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
