/*
 * Tests which VMs take over a move when its executor is silent, in virtual
 * time. No datagram and no new status arrives, which is the worst case for the
 * number of writes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>

#include "control/move_runner.h"

#define N_VMS 472
#define STEP_MS 50
/* VMs with more bandwidth than the others. */
#define N_FAST 15
#define FAST_MBPS 200
#define SLOW_MBPS 20

/**
 * struct vm - a VM with a fake store that counts writes
 * @store: has to be the first member
 */
struct vm {
	struct fleet_store store;
	struct fleet_view view;
	struct move_runner runner;
	char name[16];
	unsigned writes;
};

static struct vm vms[N_VMS];

static void
write_move(struct fleet_store *s, const struct obj_move *m,
    enum obj_move_state state, int64_t started_ms, const char *executor)
{
	(void)m;
	(void)started_ms;
	(void)executor;
	assert_int_equal(state, OBJ_MOVE_RUNNING);
	((struct vm *)s)->writes++;
}

static const struct store_ops ops = {.write_move = write_move};

static void
send_one(void *arg, const char *address, struct bstr bytes)
{
	(void)arg;
	(void)address;
	(void)bytes;
}

static void
send_all(void *arg, struct bstr bytes)
{
	(void)arg;
	(void)bytes;
}

static int64_t
wall_ms(void *arg)
{
	(void)arg;
	return (1000);
}

static void
add_members(struct fleet_view *view)
{
	for (unsigned i = 0; i < N_VMS; i++) {
		struct obj_member m = {.id = g_strdup(vms[i].name),
		    .zone = g_strdup("a"),
		    .address = g_strdup("127.0.0.1:7"),
		    .link_mbps = i < N_FAST ? FAST_MBPS : SLOW_MBPS};

		view_set_member(view, vms[i].name, &m);
	}
}

static void
start_fleet(void)
{
	for (unsigned i = 0; i < N_VMS; i++) {
		struct vm *v = &vms[i];

		*v = (struct vm){.store = {&ops}};
		snprintf(v->name, sizeof(v->name), "vm%u", i);
	}
	for (unsigned i = 0; i < N_VMS; i++) {
		struct vm *v = &vms[i];
		struct obj_move m = {.name = g_strdup("s"),
		    .service = g_strdup("s"),
		    .to_version = g_strdup("v2"),
		    .executor = g_strdup("lost"),
		    .state = OBJ_MOVE_RUNNING,
		    .duration_ms = 20000};

		view_init(&v->view, &(struct view_desc){.self = v->name});
		add_members(&v->view);
		view_set_move(&v->view, "s", &m);
		move_runner_init(&v->runner,
		    &(struct move_runner_desc){.self = v->name,
			.view = &v->view,
			.store = &v->store,
			.send = send_one,
			.send_all = send_all,
			.wall_ms = wall_ms,
			.arg = v});
	}
}

static void
stop_fleet(void)
{
	for (unsigned i = 0; i < N_VMS; i++) {
		move_runner_finish(&vms[i].runner);
		view_finish(&vms[i].view);
	}
}

static unsigned
count_writers(void)
{
	unsigned n = 0;

	for (unsigned i = 0; i < N_VMS; i++)
		n += vms[i].writes != 0;
	return (n);
}

/*
 * The VMs of an incident had the same wait after the first ten, so that all of
 * them wrote at once.
 */
static void
test_takeover_in_turn(void **state)
{
	unsigned before = 0, first_slow = 0;

	(void)state;
	start_fleet();
	for (int64_t now_ms = 0; now_ms <= 20000; now_ms += STEP_MS) {
		unsigned writers;

		for (unsigned i = 0; i < N_VMS; i++)
			move_runner_tick(&vms[i].runner, now_ms);
		writers = count_writers();
		/* A status reaches the others within a few hundred ms. */
		assert_in_range(writers, before, before + 20);
		before = writers;
		for (unsigned i = N_FAST; i < N_VMS && first_slow == 0; i++)
			first_slow = vms[i].writes != 0 ? writers : 0;
	}
	/* VMs with more bandwidth come first; in the end each had its turn. */
	assert_true(first_slow > N_FAST);
	assert_int_equal(before, N_VMS);
	stop_fleet();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_takeover_in_turn),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
