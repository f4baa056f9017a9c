/* Tests when a VM that starts knows enough of the fleet to route. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>

#include "fleet/fleet_view.h"

#define N_UPSTREAMS 809

static int
setup(void **state)
{
	struct fleet_view *f = g_new0(struct fleet_view, 1);

	view_init(f, &(struct view_desc){.self = "vm1"});
	*state = f;
	return (0);
}

static int
teardown(void **state)
{
	view_finish(*state);
	g_free(*state);
	return (0);
}

static void
add_version(struct fleet_view *f, const char *version, const char *zone,
    unsigned from, unsigned to)
{
	for (unsigned i = from; i < to; i++) {
		char id[16];
		struct obj_upstream u = {.service = g_strdup("s"),
		    .address = g_strdup("10.0.0.1:80"),
		    .zone = g_strdup(zone),
		    .version = g_strdup(version),
		    .slots = 6};

		snprintf(id, sizeof(id), "u%u", i);
		u.id = g_strdup(id);
		view_set_upstream(f, id, &u, 0);
	}
}

static void
add_upstreams(struct fleet_view *f, unsigned from, unsigned to)
{
	add_version(f, "v1", "a", from, to);
}

static void
add_config(struct fleet_view *f)
{
	struct obj_config *c = calloc(1, sizeof(*c));

	c->version = 1;
	c->n_services = 1;
	c->services = calloc(1, sizeof(*c->services));
	c->services[0].name = g_strdup("s");
	c->services[0].probe_path = g_strdup("/health");
	view_set_config(f, c);
	view_end(f, STORE_CONFIG, 0);
}

static unsigned
n_routed(struct fleet_view *f)
{
	struct rt_table *t = view_table(f, 0);
	unsigned n = rt_find_service(t, BSTR("s"))->n_upstreams;

	rt_table_free(t);
	return (n);
}

/*
 * When power returns to hundreds of VMs, the store's link needs seconds for all
 * lists of upstreams. A VM routes with a part of its list, but not before it
 * knows the configuration, the moves and the zones out of service.
 */
static void
test_partial_list(void **state)
{
	struct fleet_view *f = *state;

	view_begin(f, STORE_UPSTREAMS);
	add_upstreams(f, 0, VIEW_ENOUGH_UPSTREAMS);
	add_config(f);
	view_end(f, STORE_MOVES, 0);
	assert_false(view_take_dirty(f, 0));
	view_end(f, STORE_ZONES_OUT, 0);
	assert_true(view_take_dirty(f, 0));
	assert_int_equal(n_routed(f), VIEW_ENOUGH_UPSTREAMS);
	/* Updates of other VMs are compared only with a complete list. */
	assert_false(view_is_synced(f));
	add_upstreams(f, VIEW_ENOUGH_UPSTREAMS, N_UPSTREAMS);
	view_end(f, STORE_UPSTREAMS, 0);
	assert_true(view_is_synced(f));
	assert_true(view_take_dirty(f, 0));
	assert_int_equal(n_routed(f), N_UPSTREAMS);
}

static unsigned
n_usable(struct fleet_view *f)
{
	struct rt_table *t = view_table(f, 0);
	const struct rt_service *s = rt_find_service(t, BSTR("s"));
	unsigned n = 0;

	for (uint32_t i = 0; i < s->n_upstreams; i++)
		n += s->upstreams[i].state == RT_READY;
	rt_table_free(t);
	return (n);
}

/*
 * In a partial list, the old version of a service that is being moved may be
 * missing. The new version does not get all requests because of that.
 */
static void
test_partial_list_during_move(void **state)
{
	struct fleet_view *f = *state;
	struct obj_move m = {.name = g_strdup("s"),
	    .service = g_strdup("s"),
	    .to_version = g_strdup("v1"),
	    .state = OBJ_MOVE_ROLLED_BACK};

	add_config(f);
	view_set_move(f, "s", &m);
	view_end(f, STORE_MOVES, 0);
	view_end(f, STORE_ZONES_OUT, 0);
	view_begin(f, STORE_UPSTREAMS);
	add_upstreams(f, 0, VIEW_ENOUGH_UPSTREAMS);
	assert_true(view_take_dirty(f, 0));
	assert_int_equal(n_usable(f), 0);
	view_end(f, STORE_UPSTREAMS, 0);
	assert_int_equal(n_usable(f), VIEW_ENOUGH_UPSTREAMS);
}

/* A short list is used only once it is complete. */
static void
test_short_list(void **state)
{
	struct fleet_view *f = *state;

	add_config(f);
	view_end(f, STORE_MOVES, 0);
	view_end(f, STORE_ZONES_OUT, 0);
	view_begin(f, STORE_UPSTREAMS);
	add_upstreams(f, 0, VIEW_ENOUGH_UPSTREAMS - 1);
	assert_false(view_take_dirty(f, 0));
	view_end(f, STORE_UPSTREAMS, 0);
	assert_true(view_take_dirty(f, 0));
}

/**
 * struct priority_case - configuration and whether its service is ranked
 * @first: priority of the first route
 * @second: priority of the second route, which leads to another service too
 * @workspaces: priorities of the workspaces
 * @n_workspaces: number of workspaces, -1 when requests need no keys
 * @is_public: the first route is public
 * @ranked: the service of both routes is ranked
 */
struct priority_case {
	uint32_t first, second;
	uint32_t workspaces[2];
	int n_workspaces;
	bool is_public;
	bool ranked;
};

static void
set_route(struct obj_route *r, const char *prefix, uint32_t priority)
{
	*r = (struct obj_route){.host = g_strdup("h"),
	    .prefix = g_strdup(prefix),
	    .splits = calloc(2, sizeof(*r->splits)),
	    .n_splits = 1,
	    .priority = priority};
	r->splits[0] = (struct obj_split){g_strdup("s"), 1};
}

/* Each workspace has the key "key-" and its index, and the key "both". */
static void
set_workspaces(struct obj_config *c, const struct priority_case *p)
{
	static const char *const names[] = {"w1", "w0"};

	c->has_workspaces = p->n_workspaces >= 0;
	c->workspaces = calloc(2, sizeof(*c->workspaces));
	for (int i = 0; i < p->n_workspaces; i++) {
		struct obj_workspace *w = &c->workspaces[c->n_workspaces++];

		*w = (struct obj_workspace){.name = g_strdup(names[i]),
		    .priority = p->workspaces[i],
		    .keys = calloc(2, sizeof(*w->keys)),
		    .n_keys = 2};
		w->keys[0] = g_strdup_printf("key-%d", i);
		w->keys[1] = g_strdup("both");
	}
}

static void
add_ranked_config(
    struct fleet_view *f, const struct priority_case *p, int64_t version)
{
	struct obj_config *c = obj_config_new();

	c->version = version;
	c->n_services = 2;
	c->services = calloc(2, sizeof(*c->services));
	for (int i = 0; i < 2; i++) {
		c->services[i].name = g_strdup(i == 0 ? "s" : "other");
		c->services[i].probe_path = g_strdup("/health");
	}
	c->n_routes = 2;
	c->routes = calloc(2, sizeof(*c->routes));
	set_route(&c->routes[0], "/a/", p->first);
	c->routes[0].is_public = p->is_public;
	set_route(&c->routes[1], "/b/", p->second);
	c->routes[1].splits[c->routes[1].n_splits++] =
	    (struct obj_split){g_strdup("other"), 1};
	set_workspaces(c, p);
	assert_true(view_set_config(f, c));
}

/*
 * Guards against requests of different priorities that wait in order of
 * arrival, and against ranking where all are equal.
 */
static void
test_ranked(void **state)
{
	static const struct priority_case cases[] = {
	    {1, 1, {0}, -1, false, false},
	    {0, 1, {0}, -1, false, true},
	    /* Without a valid key, no request reaches a private route. */
	    {0, 1, {0}, 0, false, false},
	    {0, 1, {0}, 0, true, false},
	    {0, 1, {OBJ_NO_PRIORITY}, 1, false, true},
	    {1, 1, {OBJ_NO_PRIORITY, OBJ_NO_PRIORITY}, 2, false, false},
	    /* The priority of the workspace goes before that of the route. */
	    {0, 1, {2}, 1, false, false},
	    {1, 1, {OBJ_NO_PRIORITY, 2}, 2, false, true},
	    {1, 1, {3, 2}, 2, false, true},
	    /* A public route is open to requests without a workspace. */
	    {1, 1, {2}, 1, true, true},
	    {2, 1, {2}, 1, true, false},
	};
	struct fleet_view *f = *state;
	struct rt_table *t;

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		add_ranked_config(f, &cases[i], (int64_t)i + 1);
		t = view_table(f, 0);
		assert_int_equal(
		    rt_find_service(t, BSTR("s"))->ranked, cases[i].ranked);
		rt_table_free(t);
	}
	/* Only the second route leads to the other service. */
	add_ranked_config(f, &cases[1], 100);
	t = view_table(f, 0);
	assert_true(rt_find_service(t, BSTR("s"))->ranked);
	assert_false(rt_find_service(t, BSTR("other"))->ranked);
	rt_table_free(t);
	/* No request takes a split without weight. */
	add_ranked_config(f, &cases[1], 101);
	f->config->routes[1].splits[0].weight = 0;
	t = view_table(f, 0);
	assert_false(rt_find_service(t, BSTR("s"))->ranked);
	rt_table_free(t);
}

static const struct workspace *
find_key(const struct rt_table *t, const char *key)
{
	return (wstab_find(rt_workspaces(t), bstr_from(key)));
}

/*
 * Guards against a key that stays valid in a newer table, becomes valid again
 * by an older configuration, or counts for another workspace than before.
 */
static void
test_keys(void **state)
{
	static const struct priority_case two = {.n_workspaces = 2};
	static const struct priority_case one = {.n_workspaces = 1};
	static const struct priority_case none = {.n_workspaces = -1};
	struct fleet_view *f = *state;
	struct rt_table *t, *old;
	struct obj_config *stale = obj_config_new();
	uint64_t digest;

	add_ranked_config(f, &two, 5);
	digest = view_digest(f, STORE_CONFIG);
	old = view_table(f, 0);
	assert_true(bstr_eq(find_key(old, "key-0")->name, BSTR("w1")));
	assert_true(bstr_eq(find_key(old, "key-1")->name, BSTR("w0")));
	assert_true(bstr_eq(find_key(old, "both")->name, BSTR("w0")));
	assert_ptr_equal(find_key(old, "both")->usage, view_usage(f, "w0"));
	/* A table for other reasons shares the keys. */
	t = view_table(f, 0);
	assert_ptr_equal(rt_workspaces(t), rt_workspaces(old));
	rt_table_free(t);
	add_ranked_config(f, &one, 6);
	assert_int_not_equal(view_digest(f, STORE_CONFIG), digest);
	t = view_table(f, 0);
	assert_null(find_key(t, "key-1"));
	assert_true(bstr_eq(find_key(t, "both")->name, BSTR("w1")));
	assert_non_null(find_key(old, "key-1"));
	rt_table_free(old);
	rt_table_free(t);
	/* A stale list or another VM may still bring the older version. */
	stale->version = 5;
	assert_false(view_set_config(f, stale));
	t = view_table(f, 0);
	assert_null(find_key(t, "key-1"));
	rt_table_free(t);
	usage_counter_add(view_usage(f, "w0"), 1, 1);
	add_ranked_config(f, &none, 7);
	t = view_table(f, 0);
	assert_null(rt_workspaces(t));
	rt_table_free(t);
	/* Requests of a removed workspace are still to be reported. */
	assert_int_equal(usage_counter_get(view_usage(f, "w0"), 1), 1);
}

#define TRIAL_UPSTREAMS 13

/* Bits of the upstreams of version v2 that get requests. */
static unsigned
on_trial(const char *vm, uint32_t share, enum obj_move_state outcome,
    bool old_in_service)
{
	struct obj_move m = {.name = g_strdup("s"),
	    .service = g_strdup("s"),
	    .to_version = g_strdup("v2"),
	    .state = OBJ_MOVE_RUNNING};
	struct fleet_view f;
	struct rt_table *t;
	const struct rt_service *s;
	unsigned bits = 0;

	view_init(&f, &(struct view_desc){.self = vm});
	add_config(&f);
	add_upstreams(&f, 0, TRIAL_UPSTREAMS);
	add_version(&f, "v2", "b", TRIAL_UPSTREAMS, 2 * TRIAL_UPSTREAMS);
	view_set_move(&f, "s", &m);
	view_end(&f, STORE_UPSTREAMS, 0);
	view_set_share(&f, "s", share, INT64_MAX, outcome);
	if (!old_in_service)
		view_set_zone_out(&f, "a", true);
	t = view_table(&f, 0);
	s = rt_find_service(t, BSTR("s"));
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		const struct rt_upstream *u = &s->upstreams[i];
		const char *number = u->id.p + 1; /* behind the "u" */

		if (!bstr_eq(s->versions[u->version].name, BSTR("v2")))
			assert_int_equal(
			    u->state, old_in_service ? RT_READY : RT_DOWN);
		else if (u->state == RT_READY)
			bits |= 1u << (atoi(number) - TRIAL_UPSTREAMS);
	}
	rt_table_free(t);
	view_finish(&f);
	return (bits);
}

/*
 * Guards against a version that fails under load and is judged idle: its few
 * requests go to as many of its upstreams as will have this load later, the
 * same ones on all VMs.
 */
static void
test_trial(void **state)
{
	const unsigned all = (1u << TRIAL_UPSTREAMS) - 1;
	unsigned one = on_trial("vm1", 76, OBJ_MOVE_RUNNING, true);
	unsigned three = on_trial("vm1", 230, OBJ_MOVE_RUNNING, true);

	(void)state;
	assert_int_equal(__builtin_popcount(one), 1);
	assert_int_equal(on_trial("vm2", 76, OBJ_MOVE_RUNNING, true), one);
	assert_int_equal(on_trial("vm2", 50, OBJ_MOVE_RUNNING, true), one);
	assert_int_equal(__builtin_popcount(three), 3);
	assert_int_equal(three & one, one);
	assert_int_equal(on_trial("vm2", 230, OBJ_MOVE_RUNNING, true), three);
	assert_int_equal(on_trial("vm1", 1000, OBJ_MOVE_RUNNING, true), all);
	assert_int_equal(on_trial("vm1", 1000, OBJ_MOVE_DONE, true), all);
	/* Without the old version, one upstream must not get everything. */
	assert_int_equal(on_trial("vm1", 76, OBJ_MOVE_RUNNING, false), all);
}

static void
set_version(struct fleet_view *f, unsigned version, int64_t now_us)
{
	struct obj_upstream u = {.id = g_strdup("u0"),
	    .service = g_strdup("s"),
	    .address = g_strdup("10.0.0.1:80"),
	    .zone = g_strdup("a"),
	    .version = g_strdup_printf("v%u", version),
	    .slots = 6};

	view_set_upstream(f, "u0", &u, now_us);
	rt_table_free(view_table(f, now_us));
}

static bool
knows_version(const struct fleet_view *f, const char *key)
{
	return (g_hash_table_contains(f->versions, key));
}

/*
 * Guards against memory that grows with all versions that were ever in use, and
 * against counters of a move that are lost while it runs.
 */
static void
test_unused_versions(void **state)
{
	const int64_t step_us = VIEW_UNUSED_VERSION_US / 10;
	struct fleet_view *f = *state;
	struct obj_move m = {.name = g_strdup("s"),
	    .service = g_strdup("s"),
	    .to_version = g_strdup("v2")};
	int64_t now_us = 0;

	add_config(f);
	for (unsigned v = 0; v < 1000; v++, now_us += step_us)
		set_version(f, v, now_us);
	assert_true(g_hash_table_size(f->versions) <= 12);
	assert_true(knows_version(f, "s\nv999"));
	assert_true(knows_version(f, "s\nv991"));
	assert_false(knows_version(f, "s\nv0"));
	view_set_move(f, "s", &m);
	set_version(f, 1000, now_us + 2 * VIEW_UNUSED_VERSION_US);
	assert_true(knows_version(f, "s\nv999"));
	view_set_move(f, "s", NULL);
	set_version(f, 1000, now_us + 3 * VIEW_UNUSED_VERSION_US);
	assert_int_equal(g_hash_table_size(f->versions), 1);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_partial_list),
	    TEST(test_partial_list_during_move),
	    TEST(test_short_list),
	    TEST(test_ranked),
	    TEST(test_keys),
	    TEST(test_unused_versions),
	    TEST(test_trial),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
