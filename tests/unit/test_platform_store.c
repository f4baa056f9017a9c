/* The client of the platform's store, against a stand-in over loopback. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <curl/curl.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>

#include "fleet/fleet_view.h"
#include "lib/object_store.h"
#include "platform/platform_store.h"
#include "sys/clocks.h"

#define ROUND_MS 20
/* Far above what any case needs; a wait on a condition ends long before. */
#define LIMIT_MS 20000

/** struct rig - a client with what it reported */
struct rig {
	struct store_sink sink;
	struct object_store *store;
	struct fleet_store *client;
	struct fleet_view view;
	struct metrics metrics;
	bool reachable;
	unsigned outages;
	int written;     /* last result, -1 for none */
	GBytes *changes; /* the last that may be passed on */
	int64_t base;
};

static struct rig *
rig_of(struct store_sink *s)
{
	return ((struct rig *)s);
}

static void
on_begin(struct store_sink *s, enum store_kind kind)
{
	view_begin(&rig_of(s)->view, kind);
}

static void
on_end(struct store_sink *s, enum store_kind kind)
{
	view_end(&rig_of(s)->view, kind, clk_mono_us());
}

static void
on_updated(struct store_sink *s, enum store_kind kind, int64_t revision)
{
	(void)s;
	(void)kind;
	assert_true(revision > 0);
}

static void
on_config(struct store_sink *s, struct obj_config *c)
{
	view_set_config(&rig_of(s)->view, c);
}

static void
on_upstream(struct store_sink *s, const char *id, struct obj_upstream *u)
{
	view_set_upstream(&rig_of(s)->view, id, u, clk_mono_us());
}

static void
on_move(struct store_sink *s, const char *name, struct obj_move *m)
{
	view_set_move(&rig_of(s)->view, name, m);
}

static void
on_zone_out(struct store_sink *s, const char *zone, bool out)
{
	view_set_zone_out(&rig_of(s)->view, zone, out);
}

static void
on_member(struct store_sink *s, const char *id, struct obj_member *m)
{
	view_set_member(&rig_of(s)->view, id, m);
}

static void
on_changes(
    struct store_sink *s, enum store_kind kind, int64_t base, struct bstr bytes)
{
	struct rig *r = rig_of(s);

	assert_int_not_equal(kind, STORE_UPSTREAMS);
	g_bytes_unref(r->changes);
	r->changes = g_bytes_new(bytes.p, bytes.n);
	r->base = base;
}

static void
on_reachable(struct store_sink *s, bool yes)
{
	struct rig *r = rig_of(s);

	r->reachable = yes;
	r->outages += !yes;
	view_on_reachable(&r->view, yes, clk_mono_us());
}

static void
on_move_written(
    struct store_sink *s, const char *name, enum store_result result)
{
	assert_string_equal(name, "s");
	rig_of(s)->written = (int)result;
}

static const struct store_sink_ops sink_ops = {
    .begin = on_begin,
    .end = on_end,
    .updated = on_updated,
    .config = on_config,
    .upstream = on_upstream,
    .move = on_move,
    .zone_out = on_zone_out,
    .member = on_member,
    .changes = on_changes,
    .reachable = on_reachable,
    .move_written = on_move_written,
};

static void
put_config(struct object_store *o, int version)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"version\":%d,\"routes\":{\"r\":{\"host\":\"h\","
	    "\"pathPrefix\":\"/a/\",\"kind\":\"safe\",\"service\":\"s\"}},"
	    "\"services\":{\"s\":{\"healthPath\":\"/health\"}},\"limits\":{}}",
	    version);
	object_store_put(o, "config", "main", text);
}

static void
put_upstream(struct object_store *o, const char *id, const char *state)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:9\",\"zone\":\"a\","
	    "\"version\":\"v1\",\"slots\":6,\"state\":\"%s\","
	    "\"warmupLeft\":\"0ms\",\"sequence\":1,\"born\":1}",
	    state);
	object_store_put(o, "servers", id, text);
}

static int
setup(void **state)
{
	struct rig *r = g_new0(struct rig, 1);
	struct platform_store_desc desc = {.metrics = &r->metrics, .seed = 3};
	char address[32];

	r->sink.ops = &sink_ops;
	r->reachable = true;
	r->written = -1;
	r->store = object_store_new(&(struct object_store_desc){.page = 2});
	assert_non_null(r->store);
	put_config(r->store, 3);
	view_init(&r->view, &(struct view_desc){.self = "vm1"});
	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    object_store_port(r->store));
	desc.address = address;
	r->client = platform_store_new(&desc);
	r->client->ops->start(r->client, &r->sink);
	*state = r;
	return (0);
}

static int
teardown(void **state)
{
	struct rig *r = *state;

	r->client->ops->free(r->client);
	g_bytes_unref(r->changes);
	view_finish(&r->view);
	object_store_free(r->store);
	g_free(r);
	return (0);
}

/* Runs the client until a condition holds. */
#define RUN_UNTIL(r, condition)                                                \
	do {                                                                   \
		int64_t end_ms_ = clk_mono_ms() + LIMIT_MS;                    \
		while (!(condition)) {                                         \
			assert_true(clk_mono_ms() < end_ms_);                  \
			(r)->client->ops->run((r)->client, NULL, 0, ROUND_MS); \
		}                                                              \
	} while (0)

static unsigned
n_upstreams(const struct rig *r)
{
	return (g_hash_table_size(r->view.upstreams));
}

static int64_t
version(const struct rig *r)
{
	return (r->view.config == NULL ? 0 : r->view.config->version);
}

/* Lists come in pages; an entry that cannot be read harms no other. */
static void
test_list(void **state)
{
	struct rig *r = *state;

	for (int i = 0; i < 5; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u%d", i);
		put_upstream(r->store, id, "ready");
	}
	object_store_put(r->store, "servers", "bad", "{\"service\":7}");
	RUN_UNTIL(r, view_is_ready(&r->view));
	assert_int_equal(n_upstreams(r), 5);
	assert_int_equal(version(r), 3);
}

static void
test_watch(void **state)
{
	struct rig *r = *state;
	const struct view_upstream *u;

	RUN_UNTIL(r, view_is_ready(&r->view));
	put_upstream(r->store, "u1", "ready");
	RUN_UNTIL(r, n_upstreams(r) == 1);
	put_upstream(r->store, "u1", "draining");
	u = g_hash_table_lookup(r->view.upstreams, "u1");
	RUN_UNTIL(r, u->entry.draining);
	object_store_remove(r->store, "servers", "u1");
	RUN_UNTIL(r, n_upstreams(r) == 0);
	object_store_put(r->store, "evacuations", "a", "{}");
	RUN_UNTIL(r, g_hash_table_contains(r->view.zones_out, "a"));
	object_store_remove(r->store, "evacuations", "a");
	RUN_UNTIL(r, !g_hash_table_contains(r->view.zones_out, "a"));
}

/*
 * The history is dropped while watches hear nothing: the kind that is told so
 * makes all kinds list again, long before their own watches end.
 */
static void
test_dropped_history(void **state)
{
	struct rig *r = *state;
	int64_t begin_ms;

	RUN_UNTIL(r, view_is_ready(&r->view));
	RUN_UNTIL(r, object_store_calls(r->store, "config") >= 2);
	object_store_fail(
	    r->store, &(struct object_store_faults){.deaf_watches = true});
	put_config(r->store, 4);
	put_upstream(r->store, "u1", "ready");
	object_store_drop_history(r->store);
	begin_ms = clk_mono_ms();
	RUN_UNTIL(r, version(r) == 4);
	assert_true(clk_mono_ms() - begin_ms < 6000);
}

/*
 * Another VM knows a newer configuration while the own watch waits in vain: the
 * list that it hurries brings it at once (CONFIG, mix 888621161120).
 */
static void
test_hurry(void **state)
{
	struct rig *r = *state;
	int64_t begin_ms;

	RUN_UNTIL(r, view_is_ready(&r->view));
	object_store_fail(
	    r->store, &(struct object_store_faults){.deaf_watches = true});
	RUN_UNTIL(r, object_store_calls(r->store, "config") >= 2);
	put_config(r->store, 4);
	begin_ms = clk_mono_ms();
	r->client->ops->hurry(r->client, STORE_CONFIG);
	RUN_UNTIL(r, version(r) == 4);
	assert_true(clk_mono_ms() - begin_ms < 2000);
}

/* What another VM told is not read again before its time. */
static void
test_told(void **state)
{
	struct rig *r = *state;
	int64_t until_ms = clk_mono_ms() + 3000;
	unsigned calls;

	RUN_UNTIL(r, view_is_ready(&r->view));
	r->client->ops->told(r->client, STORE_UPSTREAMS,
	    r->client->ops->revision(r->client, STORE_UPSTREAMS), until_ms);
	calls = object_store_calls(r->store, "servers");
	RUN_UNTIL(r, clk_mono_ms() > until_ms - 500);
	assert_int_equal(object_store_calls(r->store, "servers"), calls);
	put_upstream(r->store, "u1", "ready");
	RUN_UNTIL(r, n_upstreams(r) == 1);
}

/*
 * What the store tells one VM serves another, if that knows all that was before
 * and no more; no call is made. The second VM's part is played by the same one.
 */
static void
test_passed_on(void **state)
{
	static const struct bstr zone_out =
	    BSTR("{\"storeRevision\":900,\"events\":[{\"object\":"
		 "{\"metadata\":{\"name\":\"a\",\"revision\":900},"
		 "\"spec\":{}},\"removed\":false}]}");
	struct rig *r = *state;
	const struct store_ops *ops = r->client->ops;
	unsigned calls;

	RUN_UNTIL(r, view_is_ready(&r->view));
	assert_null(r->changes);
	put_config(r->store, 4);
	RUN_UNTIL(r, version(r) == 4);
	assert_non_null(r->changes);
	assert_true(r->base < ops->revision(r->client, STORE_CONFIG));
	ops->told(r->client, STORE_ZONES_OUT, 0, INT64_MAX - 1);
	calls = object_store_calls(r->store, "evacuations");
	ops->take_changes(r->client, STORE_ZONES_OUT, 500, zone_out);
	assert_false(g_hash_table_contains(r->view.zones_out, "a"));
	ops->take_changes(r->client, STORE_ZONES_OUT, 1, BSTR("{\"storeRev"));
	ops->take_changes(r->client, STORE_ZONES_OUT, 1, zone_out);
	assert_true(g_hash_table_contains(r->view.zones_out, "a"));
	assert_int_equal(ops->revision(r->client, STORE_ZONES_OUT), 900);
	view_set_zone_out(&r->view, "a", false);
	ops->take_changes(r->client, STORE_ZONES_OUT, 1, zone_out);
	assert_false(g_hash_table_contains(r->view.zones_out, "a"));
	assert_int_equal(object_store_calls(r->store, "evacuations"), calls);
}

/* A VM on which others rely does not wait, whatever it was told. */
static void
test_lead(void **state)
{
	struct rig *r = *state;
	const struct store_ops *ops = r->client->ops;
	int64_t until_ms = clk_mono_ms() + 100 * LIMIT_MS;
	unsigned calls;

	RUN_UNTIL(r, view_is_ready(&r->view));
	ops->told(r->client, STORE_CONFIG,
	    ops->revision(r->client, STORE_CONFIG), until_ms);
	calls = object_store_calls(r->store, "config");
	ops->lead(r->client, true);
	RUN_UNTIL(r, object_store_calls(r->store, "config") > calls);
}

/* While the store refuses, one kind asks; all go on when it is back. */
static void
test_outage(void **state)
{
	struct rig *r = *state;
	unsigned before, calls;
	int64_t end_ms;

	put_upstream(r->store, "u1", "ready");
	RUN_UNTIL(r, view_is_ready(&r->view));
	object_store_fail(
	    r->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(r, !r->reachable);
	/* Watches that were waiting end first, as do the shorter pauses. */
	end_ms = clk_mono_ms() + 2000;
	RUN_UNTIL(r, clk_mono_ms() > end_ms);
	before = object_store_calls(r->store, "config") +
	    object_store_calls(r->store, "servers") +
	    object_store_calls(r->store, "rollouts") +
	    object_store_calls(r->store, "evacuations");
	end_ms = clk_mono_ms() + 3000;
	RUN_UNTIL(r, clk_mono_ms() > end_ms);
	calls = object_store_calls(r->store, "config") +
	    object_store_calls(r->store, "servers") +
	    object_store_calls(r->store, "rollouts") +
	    object_store_calls(r->store, "evacuations") - before;
	/* One kind, with pauses of at least half a second. */
	assert_true(calls >= 1 && calls <= 7);
	assert_int_equal(n_upstreams(r), 1);
	object_store_fail(r->store, &(struct object_store_faults){0});
	put_config(r->store, 9);
	RUN_UNTIL(r, r->reachable && version(r) == 9);
}

/* All kinds but one; STORE_KINDS for all. */
static void
tell_all_but(struct rig *r, enum store_kind but)
{
	for (int k = 0; k < STORE_KINDS; k++) {
		if (k != (int)but)
			r->client->ops->told(r->client, (enum store_kind)k, 0,
			    clk_mono_ms() + LIMIT_MS);
	}
}

/* A VM that alone is refused asks seldom while others tell it all it needs. */
static void
test_told_away(void **state)
{
	struct rig *r = *state;
	int64_t begin_ms;
	unsigned calls;

	RUN_UNTIL(r, view_is_ready(&r->view));
	object_store_fail(
	    r->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(r, !r->reachable);
	begin_ms = clk_mono_ms();
	calls = metrics_get(&r->metrics, METRICS_STORE_READS);
	while (clk_mono_ms() - begin_ms < 2500) {
		tell_all_but(r, STORE_KINDS);
		r->client->ops->run(r->client, NULL, 0, ROUND_MS);
	}
	assert_int_equal(metrics_get(&r->metrics, METRICS_STORE_READS), calls);
	/* It asks again as soon as it learns that it knows less of one kind. */
	while (metrics_get(&r->metrics, METRICS_STORE_READS) == calls) {
		r->client->ops->hurry(r->client, STORE_CONFIG);
		tell_all_but(r, STORE_CONFIG);
		r->client->ops->run(r->client, NULL, 0, ROUND_MS);
		assert_true(clk_mono_ms() - begin_ms < 3500);
	}
}

/*
 * A call that got no answer while the store was away hangs on after its return.
 * Another VM that knows more shows that it is back (CONFIG, trouble-3).
 */
static void
test_hanging_call(void **state)
{
	struct rig *r = *state;
	int64_t begin_ms;
	unsigned calls;

	RUN_UNTIL(r, view_is_ready(&r->view));
	RUN_UNTIL(r, object_store_calls(r->store, "config") >= 2);
	object_store_fail(r->store,
	    &(struct object_store_faults){
		.silent = true, .deaf_watches = true});
	RUN_UNTIL(r, !r->reachable);
	calls = object_store_calls(r->store, "servers");
	RUN_UNTIL(r, object_store_calls(r->store, "servers") > calls);
	object_store_fail(
	    r->store, &(struct object_store_faults){.deaf_watches = true});
	put_config(r->store, 4);
	begin_ms = clk_mono_ms();
	while (version(r) != 4) {
		r->client->ops->hurry(r->client, STORE_CONFIG);
		r->client->ops->run(r->client, NULL, 0, ROUND_MS);
		assert_true(clk_mono_ms() - begin_ms < 2000);
	}
}

/* The store's return is noticed at once, also when nothing changes. */
static void
test_return(void **state)
{
	struct rig *r = *state;
	int64_t begin_ms;

	RUN_UNTIL(r, view_is_ready(&r->view));
	RUN_UNTIL(r, object_store_calls(r->store, "servers") >= 3);
	object_store_fail(
	    r->store, &(struct object_store_faults){.status = 503});
	/* The watch that waits is answered; the next one is refused. */
	put_config(r->store, 4);
	RUN_UNTIL(r, version(r) == 4 && !r->reachable);
	begin_ms = clk_mono_ms();
	RUN_UNTIL(r, clk_mono_ms() - begin_ms > 2000 && !r->reachable);
	object_store_fail(r->store, &(struct object_store_faults){0});
	begin_ms = clk_mono_ms();
	RUN_UNTIL(r, r->reachable);
	assert_true(clk_mono_ms() - begin_ms < 5000);
}

/* An entry that expired during an outage is kept until it had time to return.
 */
static void
test_expired(void **state)
{
	struct rig *r = *state;
	int64_t back_us;

	put_upstream(r->store, "u1", "ready");
	put_upstream(r->store, "u2", "ready");
	RUN_UNTIL(r, view_is_ready(&r->view) && n_upstreams(r) == 2);
	object_store_fail(
	    r->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(r, !r->reachable);
	object_store_remove(r->store, "servers", "u1");
	object_store_remove(r->store, "servers", "u2");
	object_store_fail(r->store, &(struct object_store_faults){0});
	RUN_UNTIL(r, r->reachable);
	back_us = clk_mono_us();
	put_upstream(r->store, "u1", "ready");
	RUN_UNTIL(r, clk_mono_us() - back_us > VIEW_RETURN_US / 2);
	view_take_dirty(&r->view, clk_mono_us());
	assert_int_equal(n_upstreams(r), 2);
	RUN_UNTIL(r, clk_mono_us() - back_us > 2 * VIEW_RETURN_US);
	view_take_dirty(&r->view, clk_mono_us());
	assert_int_equal(n_upstreams(r), 1);
	assert_non_null(g_hash_table_lookup(r->view.upstreams, "u1"));
}

static struct view_move *
wait_move(struct rig *r)
{
	object_store_put(r->store, "rollouts", "s",
	    "{\"service\":\"s\",\"toVersion\":\"v2\",\"duration\":\"12s\"}");
	RUN_UNTIL(r, g_hash_table_lookup(r->view.moves, "s") != NULL);
	return (g_hash_table_lookup(r->view.moves, "s"));
}

/* Of two writes from the same revision the second changes nothing. */
static void
test_conditional_write(void **state)
{
	struct rig *r = *state;
	struct view_move *m = wait_move(r);
	struct obj_move old = m->order;
	json_t *status;

	r->client->ops->write_move(r->client, &old, OBJ_MOVE_RUNNING, 5, "vm1");
	RUN_UNTIL(r, r->written == STORE_WRITTEN);
	r->client->ops->write_move(
	    r->client, &old, OBJ_MOVE_ROLLED_BACK, 5, "vm2");
	RUN_UNTIL(r, r->written == STORE_CONFLICT);
	status = object_store_status(r->store, "rollouts", "s");
	assert_string_equal(
	    json_string_value(json_object_get(status, "state")), "running");
	json_decref(status);
	RUN_UNTIL(r, m->order.state == OBJ_MOVE_RUNNING);
	assert_string_equal(m->order.executor, "vm1");
}

/* A write whose answer is lost is not known to have failed. */
static void
test_lost_answer(void **state)
{
	struct rig *r = *state;
	struct view_move *m = wait_move(r);

	object_store_fail(
	    r->store, &(struct object_store_faults){.lose_writes = true});
	r->client->ops->write_move(
	    r->client, &m->order, OBJ_MOVE_RUNNING, 5, "vm1");
	RUN_UNTIL(r, r->written >= 0);
	assert_int_equal(r->written, STORE_UNKNOWN);
	RUN_UNTIL(r, m->order.state == OBJ_MOVE_RUNNING);
}

static void
test_member(void **state)
{
	struct rig *r = *state;
	const struct obj_member self = {.id = "vm1",
	    .zone = "a",
	    .address = "127.0.0.1:7",
	    .link_mbps = 40};
	const struct view_member *m;

	r->client->ops->write_member(r->client, &self);
	RUN_UNTIL(r, object_store_calls(r->store, "lbmembers") >= 2);
	RUN_UNTIL(r, view_is_ready(&r->view));
	/* After a restart the object is there already. */
	r->client->ops->write_member(r->client, &self);
	RUN_UNTIL(r, object_store_calls(r->store, "lbmembers") >= 4);
	r->client->ops->hurry(r->client, STORE_MEMBERS);
	RUN_UNTIL(r, g_hash_table_contains(r->view.members, "vm1"));
	m = g_hash_table_lookup(r->view.members, "vm1");
	assert_string_equal(m->member.address, "127.0.0.1:7");
	assert_int_equal(m->member.link_mbps, 40);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_list),
	    TEST(test_watch),
	    TEST(test_dropped_history),
	    TEST(test_hurry),
	    TEST(test_told),
	    TEST(test_passed_on),
	    TEST(test_lead),
	    TEST(test_outage),
	    TEST(test_told_away),
	    TEST(test_hanging_call),
	    TEST(test_return),
	    TEST(test_expired),
	    TEST(test_conditional_write),
	    TEST(test_lost_answer),
	    TEST(test_member),
	};

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
