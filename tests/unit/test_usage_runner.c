/*
 * Tests that a VM's part in the usage reports is connected to the counters, the
 * other VMs and the store as usage/usage_duty.h expects, in virtual time.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>

#include "control/usage_runner.h"
#include "fleet/vm_rank.h"
#include "lib/usage_reports.h"
#include "peer/move_datagram.h"
#include "peer/update_datagram.h"
#include "peer/usage_datagram.h"
#include "platform/usage_object.h"

#define N_VMS 3
#define STEP_MS 50
#define WINDOW_MS 1000
/* Unix time less the monotonic time of the test. */
#define WALL_OFFSET_MS INT64_C(1767225600000)
/* The test ends far earlier; more than the counters keep would be lost. */
#define LIMIT_MS 12000

/**
 * struct vm - a VM with a fake store, whose answers arrive at the next step
 * @store: has to be the first member
 * @alive: the VM runs
 * @has_answer: an answer about the record is due
 * @event: that answer
 * @answer: record of that answer
 * @reported: window of the report whose answer is due, -1 for none
 * @result: that answer
 */
struct vm {
	struct fleet_store store;
	struct fleet_view view;
	struct shared_state shared;
	struct metrics metrics;
	struct usage_runner runner;
	char name[8];
	bool alive;
	bool has_answer;
	enum usage_record_event event;
	struct usage_record answer;
	int64_t reported;
	enum usage_report_result result;
};

/**
 * struct datagram - datagram in flight
 * @to: address of the receiver
 */
struct datagram {
	char *to;
	GBytes *bytes;
};

static struct vm vms[N_VMS];
static struct usage_record stored;
static struct usage_reports *reports;
static GPtrArray *in_flight;
/* Window -> counts that the VMs took. */
static json_t *expected;
static int64_t now_ms;

static void
free_datagram(void *arg)
{
	struct datagram *d = arg;

	g_free(d->to);
	g_bytes_unref(d->bytes);
	g_free(d);
}

static void
answer_record(struct vm *v, enum usage_record_event event)
{
	v->has_answer = true;
	v->event = event;
	usage_record_copy(&v->answer, &stored);
}

static void
read_usage(struct fleet_store *s)
{
	answer_record((struct vm *)s, USAGE_RECORD_READ);
}

static void
write_usage(struct fleet_store *s, const struct usage_record *r)
{
	int64_t revision = stored.revision;

	if (r->revision != revision) {
		answer_record((struct vm *)s, USAGE_RECORD_CONFLICT);
		return;
	}
	usage_record_copy(&stored, r);
	stored.revision = revision + 1;
	answer_record((struct vm *)s, USAGE_RECORD_WRITTEN);
}

static void
report_usage(struct fleet_store *s, const char *holder, int64_t token,
    const struct usage_window *w)
{
	struct vm *v = (struct vm *)s;
	json_t *body = usage_object_encode_report(w);

	v->reported = w->window;
	v->result = usage_reports_receive(reports, holder, token, body) == 200
	    ? USAGE_REPORT_ACCEPTED
	    : USAGE_REPORT_FENCED;
	json_decref(body);
}

static const struct store_ops ops = {.read_usage = read_usage,
    .write_usage = write_usage,
    .report_usage = report_usage};

static void
send_one(void *arg, const char *address, struct bstr bytes)
{
	struct datagram *d = g_new0(struct datagram, 1);

	(void)arg;
	d->to = g_strdup(address);
	d->bytes = g_bytes_new(bytes.p, bytes.n);
	g_ptr_array_add(in_flight, d);
}

static void
send_all(void *arg, struct bstr bytes)
{
	for (unsigned i = 0; i < N_VMS; i++) {
		if (&vms[i] != arg)
			send_one(arg, vms[i].name, bytes);
	}
}

static int64_t
wall_ms(void *arg)
{
	(void)arg;
	return (now_ms + WALL_OFFSET_MS);
}

static void
start_vm(struct vm *v)
{
	v->store.ops = &ops;
	v->shared.metrics = &v->metrics;
	v->reported = -1;
	v->alive = true;
	usage_record_init(&v->answer);
	view_init(&v->view, &(struct view_desc){.self = v->name});
	for (unsigned i = 0; i < N_VMS; i++) {
		struct obj_member m = {.id = g_strdup(vms[i].name),
		    .zone = g_strdup("a"),
		    .address = g_strdup(vms[i].name),
		    .link_mbps = 100};

		view_set_member(&v->view, vms[i].name, &m);
	}
	usage_runner_init(&v->runner,
	    &(struct usage_runner_desc){.self = v->name,
		.boot = (uint64_t)now_ms,
		.window_ms = WINDOW_MS,
		.due_ms = 10 * WINDOW_MS,
		.lease_ms = 3000,
		.seed = 5,
		.view = &v->view,
		.store = &v->store,
		.shared = &v->shared,
		.send = send_one,
		.send_all = send_all,
		.wall_ms = wall_ms,
		.arg = v});
}

static int
setup(void **state)
{
	(void)state;
	now_ms = 1000000;
	in_flight = g_ptr_array_new_with_free_func(free_datagram);
	reports = usage_reports_new();
	expected = json_object();
	usage_record_init(&stored);
	for (unsigned i = 0; i < N_VMS; i++) {
		vms[i] = (struct vm){0};
		snprintf(vms[i].name, sizeof(vms[i].name), "vm%u", i);
	}
	for (unsigned i = 0; i < N_VMS; i++)
		start_vm(&vms[i]);
	return (0);
}

static int
teardown(void **state)
{
	(void)state;
	for (unsigned i = 0; i < N_VMS; i++) {
		usage_runner_finish(&vms[i].runner);
		view_finish(&vms[i].view);
		usage_record_finish(&vms[i].answer);
	}
	g_ptr_array_unref(in_flight);
	usage_reports_free(reports);
	json_decref(expected);
	usage_record_finish(&stored);
	return (0);
}

static void
deliver(void)
{
	GPtrArray *sent = in_flight;

	in_flight = g_ptr_array_new_with_free_func(free_datagram);
	for (guint i = 0; i < sent->len; i++) {
		const struct datagram *d = g_ptr_array_index(sent, i);
		struct bstr bytes;

		bytes.p = g_bytes_get_data(d->bytes, &bytes.n);
		for (unsigned k = 0; k < N_VMS; k++) {
			if (vms[k].alive && strcmp(vms[k].name, d->to) == 0)
				assert_true(usage_runner_on_datagram(
				    &vms[k].runner, bytes, now_ms));
		}
	}
	g_ptr_array_unref(sent);
}

static void
deliver_answers(struct vm *v)
{
	int64_t window = v->reported;

	if (v->has_answer) {
		struct usage_record r;

		usage_record_init(&r);
		usage_record_copy(&r, &v->answer);
		v->has_answer = false;
		usage_runner_on_record(&v->runner, v->event, &r, now_ms);
		usage_record_finish(&r);
	}
	if (window >= 0) {
		v->reported = -1;
		usage_runner_on_reported(&v->runner, window, v->result, now_ms);
	}
}

static void
step(void)
{
	now_ms += STEP_MS;
	deliver();
	for (unsigned i = 0; i < N_VMS; i++) {
		if (!vms[i].alive)
			continue;
		deliver_answers(&vms[i]);
		usage_runner_tick(&vms[i].runner, now_ms);
	}
}

/* Counts as a worker does. */
static void
count(struct vm *v, const char *workspace)
{
	int64_t window = (now_ms + atomic_load(&v->shared.usage_offset_ms)) /
	    atomic_load(&v->shared.usage_window_ms);
	char key[32];
	json_t *counts;

	usage_counter_add(view_usage(&v->view, workspace), window, 1);
	snprintf(key, sizeof(key), "%lld", (long long)window);
	counts = json_object_get(expected, key);
	if (counts == NULL) {
		counts = json_object();
		json_object_set_new(expected, key, counts);
	}
	json_object_set_new(counts, workspace,
	    json_integer(
		json_integer_value(json_object_get(counts, workspace)) + 1));
}

/* Runs for a time in which VMs that are alive take requests at each step. */
static void
run_requests(int64_t ms, const struct vm *idle)
{
	for (int64_t end_ms = now_ms + ms; now_ms < end_ms;) {
		step();
		for (unsigned i = 0; i < N_VMS; i++) {
			if (!vms[i].alive || &vms[i] == idle)
				continue;
			count(&vms[i], "red");
			if (i != 0)
				count(&vms[i], "blue");
		}
	}
}

static bool
all_reported(void)
{
	json_t *accepted = usage_reports_accepted(reports);
	bool same = json_equal(accepted, expected);

	json_decref(accepted);
	return (same);
}

/* Runs without requests until all counts are reported. */
static void
expect_all_reported(void)
{
	int64_t end_ms = now_ms + LIMIT_MS;

	while (!all_reported() && now_ms < end_ms)
		step();
	assert_true(all_reported());
	step(); /* the answer to the last report arrives */
	assert_int_equal(usage_reports_violations(reports), 0);
}

/* The VM whose metrics say that it is the holder; there has to be one. */
static struct vm *
holder(void)
{
	struct vm *found = NULL;

	for (unsigned i = 0; i < N_VMS; i++) {
		if (!vms[i].alive ||
		    atomic_load(&vms[i].metrics.gauges[METRICS_USAGE_HOLDER]) ==
			0)
			continue;
		assert_null(found);
		found = &vms[i];
	}
	assert_non_null(found);
	return (found);
}

/* The counts of all VMs reach the holder, which reports their sums. */
static void
test_reports(void **state)
{
	const struct vm *v;

	(void)state;
	step();
	assert_true(
	    atomic_load(&vms[0].shared.usage_offset_ms) == WALL_OFFSET_MS);
	assert_int_equal(
	    atomic_load(&vms[0].shared.usage_window_ms), WINDOW_MS);
	run_requests(8 * WINDOW_MS, NULL);
	expect_all_reported();
	v = holder();
	assert_string_equal(v->name, stored.holder);
	assert_int_equal(
	    atomic_load(&v->metrics.gauges[METRICS_USAGE_TOKEN]), stored.token);
	assert_int_equal(atomic_load(&v->metrics.gauges[METRICS_USAGE_WINDOW]),
	    stored.fixed_through);
}

/*
 * The holder is killed. Its counts that it had sent must not be lost, and no
 * window may be reported with other figures.
 */
static void
test_holder_killed(void **state)
{
	struct vm *v;

	(void)state;
	step();
	run_requests(8 * WINDOW_MS, NULL);
	v = holder();
	run_requests(1500, v);
	v->alive = false;
	run_requests(7 * WINDOW_MS, NULL);
	expect_all_reported();
	assert_ptr_not_equal(holder(), v);
	assert_true(usage_reports_token(reports) >= 2);
}

/*
 * Guards against a record that no VM can decode because of one long name, which
 * would end the reports of all workspaces.
 */
static void
test_long_name(void **state)
{
	char name[USAGE_NAME_MAX + 2] = {0};

	(void)state;
	memset(name, 'x', USAGE_NAME_MAX + 1);
	step();
	usage_counter_add(view_usage(&vms[0].view, name),
	    (now_ms + WALL_OFFSET_MS) / WINDOW_MS, 1);
	run_requests(2 * WINDOW_MS, NULL);
	expect_all_reported();
}

/*
 * Guards against datagrams of one module that another one takes for its own,
 * as the datagrams have no common header.
 */
static void
test_datagram_types(void **state)
{
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	struct usage_counts_msg counts = {.vm = "vm1", .n = 1};
	struct usage_status_msg status = {.vm = "vm1", .token = 3};
	struct update_datagram_head head = {.vm = "vm1"};
	struct update_datagram_raw raw = {.vm = "vm1"};
	struct move_datagram_msg move = {.type = MOVE_DATAGRAM_COUNTS,
	    .vm = "vm1",
	    .service = "s",
	    .to_version = "v2"};
	struct bbuf b[5];
	uint32_t n;

	(void)state;
	for (size_t i = 0; i < 5; i++)
		bbuf_init(&b[i]);
	counts.counts[0] = (struct usage_msg_count){1, "blue", 2};
	raw.bytes = g_bytes_new("{}", 2);
	usage_datagram_encode_counts(&b[0], &counts);
	usage_datagram_encode_status(&b[1], &status);
	update_datagram_encode(&b[2], &head, NULL, 0);
	update_datagram_encode_raw(&b[3], &raw);
	move_datagram_encode(&b[4], &move);
	g_bytes_unref(raw.bytes);
	for (size_t i = 0; i < 5; i++) {
		bool is_usage = i < 2;

		assert_true(usage_runner_on_datagram(&vms[0].runner,
				bbuf_str(&b[i]), now_ms) == is_usage);
		if (!is_usage)
			continue;
		assert_false(update_datagram_decode(
		    bbuf_str(&b[i]), &head, changes, &n));
		assert_false(update_datagram_decode_raw(bbuf_str(&b[i]), &raw));
		assert_false(move_datagram_decode(bbuf_str(&b[i]), &move));
	}
	for (size_t i = 0; i < 5; i++)
		bbuf_finish(&b[i]);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(test_reports, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_holder_killed, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_long_name, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_datagram_types, setup, teardown),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
