/*
 * Tests which VMs take over a move when its executor is silent, and what the
 * new executor does with the move, in virtual time.
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
 * @last_written: state of the last write
 * @completed: OBJ_MOVE_DONE was written
 * @may_end_move: writes of a final state are allowed
 */
struct vm {
	struct fleet_store store;
	struct fleet_view view;
	struct move_runner runner;
	char name[16];
	unsigned writes;
	enum obj_move_state last_written;
	bool completed;
	bool may_end_move;
};

static struct vm vms[N_VMS];
/* Deliver datagrams between these first VMs. */
static unsigned n_connected;
static int64_t now_ms;

static void
write_move(struct fleet_store *s, const struct obj_move *m,
    enum obj_move_state state, int64_t started_ms, const char *executor)
{
	(void)m;
	(void)started_ms;
	(void)executor;
	if (!((struct vm *)s)->may_end_move)
		assert_int_equal(state, OBJ_MOVE_RUNNING);
	((struct vm *)s)->writes++;
	((struct vm *)s)->last_written = state;
	((struct vm *)s)->completed |= state == OBJ_MOVE_DONE;
}

static const struct store_ops ops = {.write_move = write_move};

static void
send_one(void *arg, const char *address, struct bstr bytes)
{
	(void)arg;
	for (unsigned i = 0; i < n_connected; i++) {
		if (strcmp(address, vms[i].name) == 0)
			move_runner_on_datagram(&vms[i].runner, bytes, now_ms);
	}
}

static void
send_all(void *arg, struct bstr bytes)
{
	for (unsigned i = 0; i < n_connected; i++) {
		if (&vms[i] != arg)
			move_runner_on_datagram(&vms[i].runner, bytes, now_ms);
	}
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
		    .address = g_strdup(vms[i].name),
		    .link_mbps = i < N_FAST ? FAST_MBPS : SLOW_MBPS};

		view_set_member(view, vms[i].name, &m);
	}
}

static void
start_fleet(void)
{
	n_connected = 0;
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
 * them wrote at once. No datagram and no new status arrives, which is the worst
 * case for the number of writes.
 */
static void
test_takeover_in_turn(void **state)
{
	unsigned before = 0, first_slow = 0;

	(void)state;
	start_fleet();
	for (now_ms = 0; now_ms <= 20000; now_ms += STEP_MS) {
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

#define CONNECTED 3
#define NEW_EXECUTOR 1
#define SHARE_PERMILLE 100

static void
run_until(int64_t end_ms)
{
	for (; now_ms <= end_ms; now_ms += STEP_MS) {
		for (unsigned i = 0; i < n_connected; i++)
			move_runner_tick(&vms[i].runner, now_ms);
	}
}

/* The lost executor announces its decision to one VM only. */
static void
announce_decision(unsigned vm, uint32_t share, enum obj_move_state outcome)
{
	struct move_datagram_msg msg = {.type = MOVE_DATAGRAM_DECISION,
	    .vm = "lost",
	    .service = "s",
	    .to_version = "v2",
	    .share = share,
	    .state = outcome};
	struct bbuf b;

	bbuf_init(&b);
	move_datagram_encode(&b, &msg);
	move_runner_on_datagram(&vms[vm].runner, bbuf_str(&b), now_ms);
	bbuf_finish(&b);
}

/* As if the store had accepted the running status of the new executor. */
static void
replace_executor(void)
{
	vms[NEW_EXECUTOR].may_end_move = true;
	for (unsigned i = 0; i < n_connected; i++) {
		struct obj_move m = {.name = g_strdup("s"),
		    .service = g_strdup("s"),
		    .to_version = g_strdup("v2"),
		    .executor = g_strdup(vms[NEW_EXECUTOR].name),
		    .state = OBJ_MOVE_RUNNING,
		    .started_ms = 1,
		    .duration_ms = 20000};

		view_set_move(&vms[i].view, "s", &m);
	}
}

/* All VMs count requests of both versions without an error. */
static void
count_good_calls(void)
{
	for (unsigned i = 0; i < n_connected; i++) {
		atomic_fetch_add(
		    &view_tally(&vms[i].view, "s", "v1")->calls, 1000);
		atomic_fetch_add(
		    &view_tally(&vms[i].view, "s", "v2")->calls, 100);
	}
}

static void
assert_rolled_back(void)
{
	assert_int_equal(vms[NEW_EXECUTOR].last_written, OBJ_MOVE_ROLLED_BACK);
	for (unsigned i = 0; i < n_connected; i++) {
		const struct view_move *m =
		    g_hash_table_lookup(vms[i].view.moves, "s");

		assert_false(vms[i].completed);
		assert_int_equal(m->share, 0);
		assert_int_equal(m->outcome, OBJ_MOVE_ROLLED_BACK);
	}
}

/*
 * An executor decided to roll back, could not store it and was lost; the next
 * executor completed the bad version.
 */
static void
take_over_after_rollback(unsigned informed_vm)
{
	start_fleet();
	n_connected = CONNECTED;
	now_ms = 0;
	run_until(1000);
	count_good_calls();
	announce_decision(informed_vm, 0, OBJ_MOVE_ROLLED_BACK);
	replace_executor();
	run_until(25000);
	assert_rolled_back();
	stop_fleet();
}

/* The new executor itself received the decision. */
static void
test_rollback_known_at_takeover(void **state)
{
	(void)state;
	take_over_after_rollback(NEW_EXECUTOR);
}

/* Only another VM received the decision. */
static void
test_rollback_known_to_another_vm(void **state)
{
	(void)state;
	take_over_after_rollback(0);
}

/*
 * A VM that received "done" from a lost executor kept sending all requests to
 * the new version, although the next executor rolled the move back.
 */
static void
test_rollback_after_lost_done(void **state)
{
	(void)state;
	start_fleet();
	n_connected = CONNECTED;
	now_ms = 0;
	run_until(1000);
	announce_decision(0, 1000, OBJ_MOVE_DONE);
	replace_executor();
	run_until(1500);
	for (unsigned i = 0; i < n_connected; i++)
		atomic_fetch_add(
		    &view_tally(&vms[i].view, "s", "v2")->failures, 90);
	count_good_calls();
	run_until(4000);
	assert_rolled_back();
	stop_fleet();
}

/* Without such a decision, the new executor completes the move. */
static void
test_completed_after_takeover(void **state)
{
	(void)state;
	start_fleet();
	n_connected = CONNECTED;
	now_ms = 0;
	run_until(1000);
	count_good_calls();
	announce_decision(0, SHARE_PERMILLE, OBJ_MOVE_RUNNING);
	replace_executor();
	run_until(25000);
	assert_int_equal(vms[NEW_EXECUTOR].last_written, OBJ_MOVE_DONE);
	stop_fleet();
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_takeover_in_turn),
	    cmocka_unit_test(test_rollback_known_at_takeover),
	    cmocka_unit_test(test_rollback_known_to_another_vm),
	    cmocka_unit_test(test_rollback_after_lost_done),
	    cmocka_unit_test(test_completed_after_takeover),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
