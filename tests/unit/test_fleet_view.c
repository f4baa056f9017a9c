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
add_upstreams(struct fleet_view *f, unsigned from, unsigned to)
{
	for (unsigned i = from; i < to; i++) {
		char id[16];
		struct obj_upstream u = {.service = g_strdup("s"),
		    .address = g_strdup("10.0.0.1:80"),
		    .zone = g_strdup("a"),
		    .version = g_strdup("v1"),
		    .slots = 6};

		snprintf(id, sizeof(id), "u%u", i);
		u.id = g_strdup(id);
		view_set_upstream(f, id, &u, 0);
	}
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

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_partial_list),
	    TEST(test_partial_list_during_move),
	    TEST(test_short_list),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
