/*
 * The usage record and usage reports of the store's client, against a fake
 * store on loopback.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <stdio.h>

#include "lib/object_store.h"
#include "lib/usage_reports.h"
#include "platform/platform_store.h"
#include "platform/usage_object.h"
#include "sys/clocks.h"

#define RUN_TIMEOUT_MS 20
/* Far above what any test needs, so that a slow machine causes no failure. */
#define WAIT_LIMIT_MS 20000

/**
 * struct fixture - client, fake store, and what the client reported last
 * @event: last event about the record, -1 for none
 * @record: record of that event, empty without one
 * @result: result of the last report, -1 for none
 * @window: its window
 */
struct fixture {
	struct store_sink sink;
	struct object_store *store;
	struct fleet_store *client;
	struct metrics metrics;
	int event;
	struct usage_record record;
	int result;
	int64_t window;
};

static void
on_list(struct store_sink *s, enum store_kind kind)
{
	(void)s;
	(void)kind;
}

static void
on_updated(struct store_sink *s, enum store_kind kind, int64_t revision)
{
	(void)s;
	(void)kind;
	(void)revision;
}

static void
on_config(struct store_sink *s, struct obj_config *c)
{
	(void)s;
	obj_config_free(c);
}

static void
on_changes(
    struct store_sink *s, enum store_kind kind, int64_t base, struct bstr bytes)
{
	(void)s;
	(void)kind;
	(void)base;
	(void)bytes;
}

static void
on_reachable(struct store_sink *s, bool yes)
{
	(void)s;
	(void)yes;
}

static void
on_record(struct store_sink *s, enum usage_record_event event,
    const struct usage_record *r)
{
	struct fixture *f = (struct fixture *)s;

	assert_true((r == NULL) ==
	    (event == USAGE_RECORD_UNKNOWN || event == USAGE_RECORD_FAILED));
	f->event = (int)event;
	usage_record_finish(&f->record);
	usage_record_init(&f->record);
	if (r != NULL)
		usage_record_copy(&f->record, r);
}

static void
on_reported(
    struct store_sink *s, int64_t window, enum usage_report_result result)
{
	struct fixture *f = (struct fixture *)s;

	f->result = (int)result;
	f->window = window;
}

static const struct store_sink_ops sink_ops = {
    .begin = on_list,
    .end = on_list,
    .updated = on_updated,
    .config = on_config,
    .changes = on_changes,
    .reachable = on_reachable,
    .usage_record = on_record,
    .usage_reported = on_reported,
};

static int
setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);
	char address[32];

	f->sink.ops = &sink_ops;
	usage_record_init(&f->record);
	f->store = object_store_new(&(struct object_store_desc){0});
	assert_non_null(f->store);
	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    object_store_port(f->store));
	f->client =
	    platform_store_new(&(struct platform_store_desc){.address = address,
		.usage_address = address,
		.metrics = &f->metrics,
		.seed = 3});
	f->client->ops->start(f->client, &f->sink);
	*state = f;
	return (0);
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	f->client->ops->free(f->client);
	object_store_free(f->store);
	usage_record_finish(&f->record);
	g_free(f);
	return (0);
}

static void
run_until_set(struct fixture *f, const int *value)
{
	int64_t end_ms = clk_mono_ms() + WAIT_LIMIT_MS;

	while (*value == -1) {
		assert_true(clk_mono_ms() < end_ms);
		f->client->ops->run(f->client, NULL, 0, RUN_TIMEOUT_MS);
	}
}

static void
expect_read(struct fixture *f)
{
	f->event = -1;
	f->client->ops->read_usage(f->client);
	run_until_set(f, &f->event);
	assert_int_equal(f->event, USAGE_RECORD_READ);
}

static void
expect_write(struct fixture *f, const struct usage_record *r,
    enum usage_record_event event)
{
	f->event = -1;
	f->client->ops->write_usage(f->client, r);
	run_until_set(f, &f->event);
	assert_int_equal(f->event, event);
}

static void
expect_report(struct fixture *f, int64_t token, const struct usage_window *w,
    enum usage_report_result result)
{
	f->result = -1;
	f->client->ops->report_usage(f->client, "vm1", token, w);
	run_until_set(f, &f->result);
	assert_int_equal(f->result, result);
	assert_int_equal(f->window, w->window);
}

/* A record with two windows; names in the order of strcmp(). */
static void
fill_record(struct usage_record *r, int64_t token)
{
	usage_record_init(r);
	g_free(r->holder);
	r->holder = g_strdup("vm1");
	r->boot = UINT64_MAX - 3;
	r->token = token;
	usage_record_add(r, 70, "Zoe", 4);
	usage_record_add(r, 70, "\xc3\xa9t\xc3\xa9", UINT32_MAX);
	usage_record_add(r, 72, "blue", 1);
	r->fixed_through = 75;
}

/* The record that the client reports has to be the one that it wrote. */
static void
test_record(void **state)
{
	struct fixture *f = *state;
	struct usage_record r;

	expect_read(f);
	assert_int_equal(f->record.revision, 0);
	assert_int_equal(f->record.n_windows, 0);
	fill_record(&r, 5);
	expect_write(f, &r, USAGE_RECORD_WRITTEN);
	assert_true(f->record.revision > 0);
	assert_true(usage_record_is_same(&r, &f->record));
	expect_read(f);
	assert_true(usage_record_is_same(&r, &f->record));
	usage_record_copy(&r, &f->record);
	usage_record_drop(&r, 70);
	r.token = 6;
	expect_write(f, &r, USAGE_RECORD_WRITTEN);
	assert_true(usage_record_is_same(&r, &f->record));
	usage_record_finish(&r);
}

/*
 * Guards against two holders: of two VMs that create or replace the record from
 * the same state, the second must get the record of the first.
 */
static void
test_conflict(void **state)
{
	struct fixture *f = *state;
	struct usage_record first, second;
	int64_t revision;

	fill_record(&first, 5);
	fill_record(&second, 6);
	expect_write(f, &first, USAGE_RECORD_WRITTEN);
	revision = f->record.revision;
	expect_write(f, &second, USAGE_RECORD_CONFLICT);
	assert_true(usage_record_is_same(&first, &f->record));
	assert_int_equal(f->record.revision, revision);
	first.revision = revision;
	first.token = 7;
	expect_write(f, &first, USAGE_RECORD_WRITTEN);
	second.revision = revision;
	expect_write(f, &second, USAGE_RECORD_CONFLICT);
	assert_int_equal(f->record.token, 7);
	object_store_remove(f->store, "usage", "main");
	expect_write(f, &second, USAGE_RECORD_CONFLICT);
	assert_int_equal(f->record.revision, 0);
	usage_record_finish(&first);
	usage_record_finish(&second);
}

/* A write without an answer may have taken effect, and did here. */
static void
test_lost_answer(void **state)
{
	struct fixture *f = *state;
	struct usage_record r;

	fill_record(&r, 5);
	object_store_set_faults(f->store,
	    &(struct object_store_faults){.drop_write_responses = true});
	expect_write(f, &r, USAGE_RECORD_UNKNOWN);
	object_store_set_faults(f->store, &(struct object_store_faults){0});
	expect_read(f);
	assert_true(usage_record_is_same(&r, &f->record));
	usage_record_finish(&r);
}

/*
 * Only an answer that says that nothing was done makes a write a failed one.
 * After a conflict without the present record, a holder that only repeats its
 * write would never learn that it was replaced.
 */
static void
test_refused(void **state)
{
	static const struct {
		unsigned status;
		enum usage_record_event event;
	} cases[] = {{503, USAGE_RECORD_FAILED}, {429, USAGE_RECORD_FAILED},
	    {400, USAGE_RECORD_FAILED}, {404, USAGE_RECORD_FAILED},
	    {409, USAGE_RECORD_UNKNOWN}, {500, USAGE_RECORD_UNKNOWN},
	    {504, USAGE_RECORD_UNKNOWN}};
	struct fixture *f = *state;
	struct usage_record r;

	fill_record(&r, 5);
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		object_store_set_faults(f->store,
		    &(struct object_store_faults){.status = cases[i].status});
		expect_write(f, &r, cases[i].event);
		f->event = -1;
		f->client->ops->read_usage(f->client);
		run_until_set(f, &f->event);
		/* No record is not an error. */
		assert_int_equal(f->event,
		    cases[i].status == 404 ? USAGE_RECORD_READ
					   : USAGE_RECORD_FAILED);
	}
	usage_record_finish(&r);
}

#define VALID_HEAD "\"holder\":\"vm1\",\"boot\":\"3\""

/*
 * Guards against a record of another version or a damaged one that ends all
 * reports: it counts as one without holder and windows, and can be replaced.
 * The token must not fall below the one in it.
 */
static void
test_invalid_record(void **state)
{
	static const struct {
		const char *spec;
		int64_t token;
	} cases[] = {
	    {"null", 0},
	    {"[]", 0},
	    {"{}", 0},
	    {"{" VALID_HEAD ",\"token\":-1,\"fixedThrough\":4,\"windows\":[]}",
		0},
	    {"{" VALID_HEAD ",\"token\":9,\"fixedThrough\":4}", 9},
	    {"{" VALID_HEAD ",\"token\":9,\"fixedThrough\":\"4\","
	     "\"windows\":[]}",
		9},
	    {"{\"holder\":\"vm1\",\"boot\":-7,\"token\":9,\"fixedThrough\":4,"
	     "\"windows\":[]}",
		9},
	    {"{" VALID_HEAD ",\"token\":9,\"fixedThrough\":4,\"windows\":["
	     "{\"window\":3,\"counts\":{\"a\":1}},"
	     "{\"window\":3,\"counts\":{\"a\":2}}]}",
		9},
	    {"{" VALID_HEAD ",\"token\":9,\"fixedThrough\":4,\"windows\":["
	     "{\"window\":3,\"counts\":{\"a\":1,\"b\":-2}}]}",
		9},
	    {"{" VALID_HEAD ",\"token\":9,\"fixedThrough\":4,\"windows\":["
	     "{\"window\":3,\"counts\":{\"\":1}}]}",
		9},
	    {"{" VALID_HEAD ",\"token\":9,\"fixedThrough\":4,\"windows\":["
	     "{\"window\":3,\"counts\":{\"a\":4294967296}}]}",
		9},
	};
	struct fixture *f = *state;
	struct usage_record r;

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		object_store_put(f->store, "usage", "main", cases[i].spec);
		expect_read(f);
		assert_true(f->record.revision > 0);
		assert_string_equal(f->record.holder, "");
		assert_int_equal(f->record.n_windows, 0);
		assert_int_equal(f->record.token, cases[i].token);
	}
	fill_record(&r, 10);
	r.revision = f->record.revision;
	expect_write(f, &r, USAGE_RECORD_WRITTEN);
	assert_true(usage_record_is_same(&r, &f->record));
	usage_record_finish(&r);
}

/* A record that the parser rejects still has its revision. */
static void
test_rejected_json(void **state)
{
	const struct bstr bytes =
	    BSTR("{\"metadata\":{\"name\":\"main\",\"revision\":12},"
		 "\"spec\":{\"token\":123456789012345678901234567890}}");
	struct usage_record r;
	const char *why;

	(void)state;
	usage_record_init(&r);
	assert_true(usage_object_decode(bytes, &r, &why));
	assert_non_null(why);
	assert_int_equal(r.revision, 12);
	assert_false(usage_object_decode(BSTR("{\"spec\":"), &r, &why));
	assert_false(usage_object_decode(BSTR("[]"), &r, &why));
	assert_false(usage_object_decode((struct bstr){0}, &r, &why));
	assert_int_equal(r.revision, 0);
	usage_record_finish(&r);
}

static uint64_t
metric(const struct fixture *f, enum metrics_id id)
{
	return (metrics_get(&f->metrics, id));
}

static void
test_report(void **state)
{
	struct fixture *f = *state;
	struct usage_reports *reports = object_store_reports(f->store);
	struct usage_record r;
	json_t *accepted, *expected;

	fill_record(&r, 5);
	expect_report(f, 5, &r.windows[0], USAGE_REPORT_ACCEPTED);
	object_store_set_faults(f->store,
	    &(struct object_store_faults){.drop_report_responses = true});
	expect_report(f, 5, &r.windows[1], USAGE_REPORT_FAILED);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.report_status = 429});
	expect_report(f, 5, &r.windows[1], USAGE_REPORT_FAILED);
	object_store_set_faults(f->store, &(struct object_store_faults){0});
	expect_report(f, 5, &r.windows[1], USAGE_REPORT_ACCEPTED);
	assert_int_equal(usage_reports_receive(reports, "vm2", 6, NULL), 400);
	accepted = usage_reports_accepted(reports);
	expected = json_pack("{s:{s:i,s:I},s:{s:i}}", "70", "Zoe", 4,
	    "\xc3\xa9t\xc3\xa9", (json_int_t)UINT32_MAX, "72", "blue", 1);
	assert_true(json_equal(accepted, expected));
	assert_int_equal(usage_reports_violations(reports), 0);
	assert_int_equal(usage_reports_token(reports), 5);
	assert_int_equal(metric(f, METRICS_USAGE_ACCEPTED), 2);
	assert_int_equal(metric(f, METRICS_USAGE_REFUSED), 0);
	assert_int_equal(metric(f, METRICS_USAGE_FAILED), 2);
	json_decref(accepted);
	json_decref(expected);
	usage_record_finish(&r);
}

/* After a report of a later holder, the earlier one must see that it lost. */
static void
test_fenced_report(void **state)
{
	struct fixture *f = *state;
	struct usage_record r;
	json_t *body =
	    json_pack("{s:i,s:{s:i}}", "window", 60, "counts", "a", 1);

	fill_record(&r, 5);
	assert_int_equal(usage_reports_receive(
			     object_store_reports(f->store), "vm2", 6, body),
	    200);
	expect_report(f, 5, &r.windows[0], USAGE_REPORT_FENCED);
	assert_int_equal(metric(f, METRICS_USAGE_REFUSED), 1);
	expect_report(f, 7, &r.windows[0], USAGE_REPORT_ACCEPTED);
	json_decref(body);
	usage_record_finish(&r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(test_record, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_conflict, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_lost_answer, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_refused, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_invalid_record, setup, teardown),
	    cmocka_unit_test(test_rejected_json),
	    cmocka_unit_test_setup_teardown(test_report, setup, teardown),
	    cmocka_unit_test_setup_teardown(
		test_fenced_report, setup, teardown),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
