/* Client of the platform's store, against a fake store on loopback. */
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

#define RUN_TIMEOUT_MS 20
/* Far above what any test needs, so that a slow machine causes no failure. */
#define WAIT_LIMIT_MS 20000
/* Above the minimum interval between two requested lists. */
#define RELIST_INTERVAL_MS 1000
/* Configurations whose sum is more than the client takes in one answer. */
#define LARGE_CONFIG_BYTES 1000000
#define N_LARGE_CONFIGS 70
/* Changes that the store loses when it comes back from an older copy. */
#define N_LATER_CHANGES 20

/**
 * struct fixture - client, fake store, and what the client reported
 * @last_write: result of the last write of a move's status, -1 for none
 * @move_name: move whose status is written
 * @changes: last changes that were reported for other VMs
 * @changes_base: revision before @changes
 */
struct fixture {
	struct store_sink sink;
	struct object_store *store;
	struct fleet_store *client;
	struct fleet_view view;
	struct metrics metrics;
	bool reachable;
	unsigned outages;
	int last_write;
	const char *move_name;
	GBytes *changes;
	int64_t changes_base;
};

static struct fixture *
fixture_of(struct store_sink *s)
{
	return ((struct fixture *)s);
}

static void
on_begin(struct store_sink *s, enum store_kind kind)
{
	view_begin(&fixture_of(s)->view, kind);
}

static void
on_end(struct store_sink *s, enum store_kind kind)
{
	view_end(&fixture_of(s)->view, kind, clk_mono_us());
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
	view_set_config(&fixture_of(s)->view, c);
}

static void
on_upstream(struct store_sink *s, const char *id, struct obj_upstream *u)
{
	view_set_upstream(&fixture_of(s)->view, id, u, clk_mono_us());
}

static void
on_move(struct store_sink *s, const char *name, struct obj_move *m)
{
	view_set_move(&fixture_of(s)->view, name, m);
}

static void
on_zone_out(struct store_sink *s, const char *zone, bool out)
{
	view_set_zone_out(&fixture_of(s)->view, zone, out);
}

static void
on_member(struct store_sink *s, const char *id, struct obj_member *m)
{
	view_set_member(&fixture_of(s)->view, id, m);
}

static void
on_changes(
    struct store_sink *s, enum store_kind kind, int64_t base, struct bstr bytes)
{
	struct fixture *f = fixture_of(s);

	assert_int_not_equal(kind, STORE_UPSTREAMS);
	g_bytes_unref(f->changes);
	f->changes = g_bytes_new(bytes.p, bytes.n);
	f->changes_base = base;
}

static void
on_reachable(struct store_sink *s, bool reachable)
{
	struct fixture *f = fixture_of(s);

	f->reachable = reachable;
	f->outages += !reachable;
	view_on_reachable(&f->view, reachable, clk_mono_us());
}

static void
on_move_written(
    struct store_sink *s, const char *name, enum store_result result)
{
	assert_string_equal(name, fixture_of(s)->move_name);
	fixture_of(s)->last_write = (int)result;
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
	struct fixture *f = g_new0(struct fixture, 1);
	struct platform_store_desc desc = {.metrics = &f->metrics, .seed = 3};
	char address[32];

	f->sink.ops = &sink_ops;
	f->reachable = true;
	f->last_write = -1;
	f->move_name = "s";
	f->store = object_store_new(&(struct object_store_desc){.page = 2});
	assert_non_null(f->store);
	put_config(f->store, 3);
	view_init(&f->view, &(struct view_desc){.self = "vm1"});
	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    object_store_port(f->store));
	desc.address = address;
	f->client = platform_store_new(&desc);
	f->client->ops->start(f->client, &f->sink);
	*state = f;
	return (0);
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	f->client->ops->free(f->client);
	g_bytes_unref(f->changes);
	view_finish(&f->view);
	object_store_free(f->store);
	g_free(f);
	return (0);
}

/* Runs the client until a condition is true; fails after WAIT_LIMIT_MS. */
#define RUN_UNTIL(f, condition)                                                \
	do {                                                                   \
		int64_t end_ms_ = clk_mono_ms() + WAIT_LIMIT_MS;               \
		while (!(condition)) {                                         \
			assert_true(clk_mono_ms() < end_ms_);                  \
			(f)->client->ops->run(                                 \
			    (f)->client, NULL, 0, RUN_TIMEOUT_MS);             \
		}                                                              \
	} while (0)

static unsigned
n_upstreams(const struct fixture *f)
{
	return (g_hash_table_size(f->view.upstreams));
}

static int64_t
config_version(const struct fixture *f)
{
	return (f->view.config == NULL ? 0 : f->view.config->version);
}

/* A list has several pages; an invalid entry does not affect the others. */
static void
test_list(void **state)
{
	struct fixture *f = *state;

	for (int i = 0; i < 5; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u%d", i);
		put_upstream(f->store, id, "ready");
	}
	object_store_put(f->store, "servers", "bad", "{\"service\":7}");
	RUN_UNTIL(f, view_is_ready(&f->view));
	assert_int_equal(n_upstreams(f), 5);
	assert_int_equal(config_version(f), 3);
}

/* Names that other writers chose; half of them end a page of two. */
static const char *const odd_names[] = {"a b", "a%41", "b&after=z", "c#d",
    "e+f", "g?h", "i/j", "k\xc3\xa4", "l%", "m=\"n\""};

static void
put_odd_entries(struct object_store *o, const char *kind)
{
	for (size_t i = 0; i < sizeof(odd_names) / sizeof(*odd_names); i++)
		object_store_put(o, kind, odd_names[i], "{\"log\":\"x\"}");
}

/*
 * Guards against VMs that never become ready: an entry of another writer whose
 * name cannot stand in a query as it is ends a page, and the next page was
 * never read. No entry may be lost and the store must not count as unreachable.
 */
static void
test_odd_names(void **state)
{
	struct fixture *f = *state;

	put_odd_entries(f->store, "servers");
	put_odd_entries(f->store, "rollouts");
	put_odd_entries(f->store, "lbmembers");
	put_upstream(f->store, "a0", "ready");
	put_upstream(f->store, "h", "ready");
	put_upstream(f->store, "z", "ready");
	RUN_UNTIL(f, view_is_ready(&f->view));
	assert_int_equal(n_upstreams(f), 3);
	assert_int_equal(f->outages, 0);
}

/*
 * The same for a VM that runs: after the store has dropped its history, the
 * list is read again and changes are followed.
 */
static void
test_odd_names_listed_again(void **state)
{
	struct fixture *f = *state;

	put_upstream(f->store, "a0", "ready");
	RUN_UNTIL(f, view_is_ready(&f->view));
	put_odd_entries(f->store, "servers");
	/* The first page of two ends at "a b". */
	put_upstream(f->store, "A", "ready");
	RUN_UNTIL(f, n_upstreams(f) == 2);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.stall_watches = true});
	put_upstream(f->store, "z1", "ready");
	object_store_remove(f->store, "servers", "a0");
	object_store_drop_history(f->store);
	RUN_UNTIL(f, g_hash_table_contains(f->view.upstreams, "z1"));
	RUN_UNTIL(f, !g_hash_table_contains(f->view.upstreams, "a0"));
	RUN_UNTIL(f, n_upstreams(f) == 2);
	assert_int_equal(f->outages, 0);
}

static void
test_watch(void **state)
{
	struct fixture *f = *state;
	const struct view_upstream *u;

	RUN_UNTIL(f, view_is_ready(&f->view));
	put_upstream(f->store, "u1", "ready");
	RUN_UNTIL(f, n_upstreams(f) == 1);
	put_upstream(f->store, "u1", "draining");
	u = g_hash_table_lookup(f->view.upstreams, "u1");
	RUN_UNTIL(f, u->entry.draining);
	object_store_remove(f->store, "servers", "u1");
	RUN_UNTIL(f, n_upstreams(f) == 0);
	object_store_put(f->store, "evacuations", "a", "{}");
	RUN_UNTIL(f, g_hash_table_contains(f->view.zones_out, "a"));
	object_store_remove(f->store, "evacuations", "a");
	RUN_UNTIL(f, !g_hash_table_contains(f->view.zones_out, "a"));
}

/*
 * Guards against missed changes after the store drops its history. The watches
 * in flight report nothing; the first 410 response has to make all kinds list
 * again, long before their own watches time out.
 */
static void
test_dropped_history(void **state)
{
	struct fixture *f = *state;
	int64_t begin_ms;

	RUN_UNTIL(f, view_is_ready(&f->view));
	RUN_UNTIL(f, object_store_calls(f->store, "config") >= 2);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.stall_watches = true});
	put_config(f->store, 4);
	put_upstream(f->store, "u1", "ready");
	object_store_drop_history(f->store);
	begin_ms = clk_mono_ms();
	RUN_UNTIL(f, config_version(f) == 4);
	assert_true(clk_mono_ms() - begin_ms < 6000);
}

/* Writes a configuration of about a megabyte. */
static void
put_large_config(struct object_store *o, int version)
{
	char *note = g_strnfill(LARGE_CONFIG_BYTES, 'x');
	char *text = g_strdup_printf("{\"version\":%d,\"routes\":{},"
				     "\"services\":{},\"limits\":{},"
				     "\"note\":\"%s\"}",
	    version, note);

	object_store_put(o, "config", "main", text);
	g_free(text);
	g_free(note);
}

/*
 * Guards against an outage, or more memory than a VM has, when a watch reports
 * more than a VM takes in one answer: the kind is listed instead.
 */
static void
test_large_answer(void **state)
{
	struct fixture *f = *state;

	RUN_UNTIL(f, view_is_ready(&f->view));
	RUN_UNTIL(f, object_store_calls(f->store, "config") >= 2);
	for (int v = 4; v < 4 + N_LARGE_CONFIGS; v++)
		put_large_config(f->store, v);
	RUN_UNTIL(f, config_version(f) == 4 + N_LARGE_CONFIGS - 1);
	assert_int_equal(f->outages, 0);
}

/*
 * Guards against a stale configuration: the store does not report a change on
 * the watch in flight, while another VM already has the newer configuration. An
 * immediate list has to fetch it before the watch times out. First seen with
 * random seed 888621161120.
 */
static void
test_list_now(void **state)
{
	struct fixture *f = *state;
	int64_t begin_ms;

	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.stall_watches = true});
	RUN_UNTIL(f, object_store_calls(f->store, "config") >= 2);
	put_config(f->store, 4);
	begin_ms = clk_mono_ms();
	f->client->ops->request_list(f->client, STORE_CONFIG, 0);
	RUN_UNTIL(f, config_version(f) == 4);
	assert_true(clk_mono_ms() - begin_ms < 2000);
}

/*
 * Guards against a VM that starts with an older configuration than it had
 * before its restart, in which withdrawn keys are valid: another VM, which lags
 * behind, reports an older revision before the first list was sent.
 */
static void
test_stale_first_config(void **state)
{
	struct fixture *f = *state;

	object_store_set_faults(
	    f->store, &(struct object_store_faults){.stale_lists = true});
	put_config(f->store, 4);
	f->client->ops->request_list(f->client, STORE_CONFIG, 1);
	RUN_UNTIL(f, f->view.known[STORE_CONFIG]);
	assert_int_equal(config_version(f), 4);
}

/*
 * Many VMs list at the same time when an update was lost, so these lists may be
 * stale. An answer that is older than the revision that another VM reported, or
 * than what this VM knows, must not be used: an upstream that left would be
 * back.
 */
static void
test_stale_list(void **state)
{
	struct fixture *f = *state;
	const int64_t until_ms = clk_mono_ms() + WAIT_LIMIT_MS;
	int64_t revision;
	unsigned exact;

	put_upstream(f->store, "u1", "ready");
	put_upstream(f->store, "u2", "ready");
	put_upstream(f->store, "u3", "ready");
	RUN_UNTIL(f, view_is_ready(&f->view));
	exact = object_store_exact_lists(f->store, "servers");
	put_upstream(f->store, "u4", "ready");
	revision = f->client->ops->revision(f->client, STORE_UPSTREAMS);
	f->client->ops->request_list(f->client, STORE_UPSTREAMS, revision + 1);
	RUN_UNTIL(f, n_upstreams(f) == 4);
	assert_int_equal(object_store_exact_lists(f->store, "servers"), exact);
	revision = f->client->ops->revision(f->client, STORE_UPSTREAMS);
	f->client->ops->postpone_read(
	    f->client, STORE_UPSTREAMS, revision, until_ms);

	object_store_set_faults(
	    f->store, &(struct object_store_faults){.stale_lists = true});
	object_store_remove(f->store, "servers", "u4");
	RUN_UNTIL(
	    f, clk_mono_ms() > until_ms - WAIT_LIMIT_MS + RELIST_INTERVAL_MS);
	f->client->ops->request_list(f->client, STORE_UPSTREAMS, revision + 1);
	RUN_UNTIL(f, n_upstreams(f) == 3);
	assert_true(object_store_exact_lists(f->store, "servers") > exact);
	assert_true(
	    f->client->ops->revision(f->client, STORE_UPSTREAMS) > revision);
}

/* Raises the revision of the store, and that of the client's watches. */
static void
raise_revisions(struct fixture *f)
{
	for (int i = 0; i < N_LATER_CHANGES; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u%d", i);
		put_upstream(f->store, id, "ready");
	}
	put_config(f->store, 4);
	object_store_put(f->store, "evacuations", "b", "{}");
	RUN_UNTIL(f,
	    n_upstreams(f) == N_LATER_CHANGES && config_version(f) == 4 &&
		g_hash_table_contains(f->view.zones_out, "b"));
}

/*
 * Guards against changes that are never seen after the store came back from an
 * older copy. A watch went on from a revision that was given out again in the
 * meantime, and missed what was written below it: an availability zone that had
 * been taken out of service still got requests.
 */
static void
test_older_copy(void **state)
{
	struct fixture *f = *state;

	object_store_set_epoch(f->store, 1);
	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_copy(f->store);
	raise_revisions(f);
	object_store_restore(f->store);
	object_store_put(f->store, "evacuations", "a", "{}");
	for (int i = 0; i < 2 * N_LATER_CHANGES; i++) {
		char id[16];

		snprintf(id, sizeof(id), "v%d", i);
		object_store_put(f->store, "others", id, "{}");
	}
	RUN_UNTIL(f, g_hash_table_contains(f->view.zones_out, "a"));
	/* The copy lacks these upstreams; their entries will be back. */
	assert_int_equal(n_upstreams(f), N_LATER_CHANGES);
	/* The copy has an older configuration, which is not used. */
	assert_int_equal(config_version(f), 4);
	for (int i = 0; i < N_LATER_CHANGES; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u%d", i);
		put_upstream(f->store, id, "ready");
	}
	put_config(f->store, 5);
	RUN_UNTIL(f, config_version(f) == 5);
	assert_int_equal(n_upstreams(f), N_LATER_CHANGES);
	assert_int_equal(metrics_gauge(&f->metrics, METRICS_STORE_EPOCH), 2);
}

/* Two drills one after the other; the second before the first was seen. */
static void
test_two_older_copies(void **state)
{
	struct fixture *f = *state;

	object_store_set_epoch(f->store, 1);
	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_copy(f->store);
	raise_revisions(f);
	object_store_restore(f->store);
	object_store_restore(f->store);
	object_store_put(f->store, "evacuations", "a", "{}");
	RUN_UNTIL(f, g_hash_table_contains(f->view.zones_out, "a"));
	assert_int_equal(metrics_gauge(&f->metrics, METRICS_STORE_EPOCH), 3);
}

/* Guards against a late answer of an earlier epoch that is taken for the state.
 */
static void
test_answer_of_old_epoch(void **state)
{
	struct fixture *f = *state;
	int64_t end_ms;

	object_store_set_epoch(f->store, 2);
	put_upstream(f->store, "u1", "ready");
	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_set_epoch(f->store, 1);
	object_store_remove(f->store, "servers", "u1");
	put_config(f->store, 4);
	end_ms = clk_mono_ms() + 2000;
	RUN_UNTIL(f, clk_mono_ms() > end_ms);
	assert_int_equal(n_upstreams(f), 1);
	assert_int_equal(config_version(f), 3);
	object_store_set_epoch(f->store, 2);
	RUN_UNTIL(f, n_upstreams(f) == 0 && config_version(f) == 4);
}

/* An entry of this VM that the copy lacks is written again. */
static void
test_member_after_older_copy(void **state)
{
	struct fixture *f = *state;
	const struct obj_member self = {
	    .id = "vm1", .zone = "a", .address = "127.0.0.1:7"};
	json_t *status;

	object_store_set_epoch(f->store, 1);
	object_store_copy(f->store);
	f->client->ops->write_member(f->client, &self);
	RUN_UNTIL(f,
	    (status = object_store_status(f->store, "lbmembers", "vm1")) !=
		NULL);
	json_decref(status);
	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_restore(f->store);
	RUN_UNTIL(f,
	    (status = object_store_status(f->store, "lbmembers", "vm1")) !=
		NULL);
	json_decref(status);
}

/* An update from another VM postpones the next read of that kind. */
static void
test_postponed_read(void **state)
{
	struct fixture *f = *state;
	int64_t until_ms = clk_mono_ms() + 3000;
	unsigned calls;

	RUN_UNTIL(f, view_is_ready(&f->view));
	f->client->ops->postpone_read(f->client, STORE_UPSTREAMS,
	    f->client->ops->revision(f->client, STORE_UPSTREAMS), until_ms);
	calls = object_store_calls(f->store, "servers");
	RUN_UNTIL(f, clk_mono_ms() > until_ms - 500);
	assert_int_equal(object_store_calls(f->store, "servers"), calls);
	put_upstream(f->store, "u1", "ready");
	RUN_UNTIL(f, n_upstreams(f) == 1);
}

/*
 * Changes that one VM read are applied by another without a call to the store.
 * They are ignored if the VM's revision is older than their base, or not older
 * than the changes. The same client acts as both VMs.
 */
static void
test_relayed_changes(void **state)
{
	static const struct bstr zone_out =
	    BSTR("{\"storeRevision\":900,\"events\":[{\"object\":"
		 "{\"metadata\":{\"name\":\"a\",\"revision\":900},"
		 "\"spec\":{}},\"removed\":false}]}");
	struct fixture *f = *state;
	const struct store_ops *ops = f->client->ops;
	unsigned calls;

	RUN_UNTIL(f, view_is_ready(&f->view));
	assert_null(f->changes);
	put_config(f->store, 4);
	RUN_UNTIL(f, config_version(f) == 4);
	assert_non_null(f->changes);
	assert_true(f->changes_base < ops->revision(f->client, STORE_CONFIG));
	/* The list and the watch; the stand-in counts on its own thread. */
	RUN_UNTIL(f, object_store_calls(f->store, "evacuations") == 2);
	ops->postpone_read(f->client, STORE_ZONES_OUT, 0, INT64_MAX - 1);
	calls = object_store_calls(f->store, "evacuations");
	ops->apply_changes(f->client, STORE_ZONES_OUT, 500, zone_out);
	assert_false(g_hash_table_contains(f->view.zones_out, "a"));
	ops->apply_changes(f->client, STORE_ZONES_OUT, 1, BSTR("{\"storeRev"));
	ops->apply_changes(f->client, STORE_ZONES_OUT, 1, zone_out);
	assert_true(g_hash_table_contains(f->view.zones_out, "a"));
	assert_int_equal(ops->revision(f->client, STORE_ZONES_OUT), 900);
	view_set_zone_out(&f->view, "a", false);
	ops->apply_changes(f->client, STORE_ZONES_OUT, 1, zone_out);
	assert_false(g_hash_table_contains(f->view.zones_out, "a"));
	assert_int_equal(object_store_calls(f->store, "evacuations"), calls);
}

/* A VM that becomes an elected reader starts postponed watches immediately. */
static void
test_elected_reader(void **state)
{
	struct fixture *f = *state;
	const struct store_ops *ops = f->client->ops;
	int64_t until_ms = clk_mono_ms() + 100 * WAIT_LIMIT_MS;
	unsigned calls;

	RUN_UNTIL(f, view_is_ready(&f->view));
	ops->postpone_read(f->client, STORE_CONFIG,
	    ops->revision(f->client, STORE_CONFIG), until_ms);
	calls = object_store_calls(f->store, "config");
	ops->set_reader(f->client, true);
	RUN_UNTIL(f, object_store_calls(f->store, "config") > calls);
}

/*
 * Guards against a new reader that leaves the others waiting: one short watch
 * shows that the contents of all watched kinds are current.
 */
static void
test_reader_confirms(void **state)
{
	struct fixture *f = *state;
	const struct store_ops *ops = f->client->ops;
	int64_t begin_ms;

	RUN_UNTIL(f, view_is_ready(&f->view));
	begin_ms = clk_mono_ms();
	assert_true(ops->confirmed_ms(f->client, STORE_ZONES_OUT) <= begin_ms);
	ops->set_reader(f->client, true);
	for (int k = 0; k < STORE_KINDS; k++) {
		if (k != STORE_MEMBERS)
			RUN_UNTIL(f,
			    ops->confirmed_ms(f->client, (enum store_kind)k) >
				begin_ms);
	}
	assert_true(ops->confirmed_ms(f->client, STORE_MEMBERS) < begin_ms);
}

/*
 * Guards against an outage that costs four calls of each VM: when updates of
 * other VMs end, a single read shows that the store does not answer. It ends
 * for this VM without a call as soon as others show that all kinds are current.
 */
static void
test_path_check(void **state)
{
	struct fixture *f = *state;
	const int64_t until_ms = clk_mono_ms() + 3000;
	unsigned calls;

	RUN_UNTIL(f, view_is_ready(&f->view));
	for (int k = 0; k < STORE_MEMBERS; k++)
		f->client->ops->postpone_read(
		    f->client, (enum store_kind)k, 0, until_ms);
	RUN_UNTIL(f, clk_mono_ms() > until_ms - 200);
	calls = metrics_get(&f->metrics, METRICS_STORE_READS);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(f, !f->reachable);
	assert_int_equal(
	    metrics_get(&f->metrics, METRICS_STORE_READS), calls + 1);
	for (int k = 0; k < STORE_MEMBERS; k++)
		f->client->ops->postpone_read(f->client, (enum store_kind)k, 0,
		    clk_mono_ms() + WAIT_LIMIT_MS);
	assert_true(f->reachable);
}

/*
 * Guards against lists of each VM when the store drops its history: a list that
 * is due but was not sent yet is dropped if others show that what the VM knows
 * is current.
 */
static void
test_dropped_history_followed(void **state)
{
	struct fixture *f = *state;
	const struct store_ops *ops = f->client->ops;
	unsigned exact;

	RUN_UNTIL(f, view_is_ready(&f->view));
	RUN_UNTIL(f, object_store_calls(f->store, "evacuations") == 2);
	exact = object_store_exact_lists(f->store, "evacuations");
	put_config(f->store, 4);
	object_store_drop_history(f->store);
	RUN_UNTIL(f, ops->is_listing(f->client, STORE_ZONES_OUT));
	ops->postpone_read(f->client, STORE_ZONES_OUT, 0, INT64_MAX - 1);
	assert_false(ops->is_listing(f->client, STORE_ZONES_OUT));
	RUN_UNTIL(f, config_version(f) == 4);
	assert_int_equal(
	    object_store_exact_lists(f->store, "evacuations"), exact);
}

/* During an outage only one kind is read; all are read again after it. */
static void
test_outage(void **state)
{
	struct fixture *f = *state;
	unsigned before, calls;
	int64_t end_ms;

	put_upstream(f->store, "u1", "ready");
	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(f, !f->reachable);
	/* Wait for the watches in flight and the first, shorter delays. */
	end_ms = clk_mono_ms() + 2000;
	RUN_UNTIL(f, clk_mono_ms() > end_ms);
	before = object_store_calls(f->store, "config") +
	    object_store_calls(f->store, "servers") +
	    object_store_calls(f->store, "rollouts") +
	    object_store_calls(f->store, "evacuations");
	end_ms = clk_mono_ms() + 3000;
	RUN_UNTIL(f, clk_mono_ms() > end_ms);
	calls = object_store_calls(f->store, "config") +
	    object_store_calls(f->store, "servers") +
	    object_store_calls(f->store, "rollouts") +
	    object_store_calls(f->store, "evacuations") - before;
	/* One kind, with retry delays of at least half a second. */
	assert_true(calls >= 1 && calls <= 7);
	assert_int_equal(n_upstreams(f), 1);
	object_store_set_faults(f->store, &(struct object_store_faults){0});
	put_config(f->store, 9);
	RUN_UNTIL(f, f->reachable && config_version(f) == 9);
}

/* Postpones the reads of all kinds except one; STORE_KINDS excludes none. */
static void
postpone_all_but(struct fixture *f, enum store_kind excluded)
{
	for (int k = 0; k < STORE_KINDS; k++) {
		if (k != (int)excluded)
			f->client->ops->postpone_read(f->client,
			    (enum store_kind)k, 0,
			    clk_mono_ms() + WAIT_LIMIT_MS);
	}
}

/*
 * A VM that alone cannot reach the store probes it rarely while other VMs relay
 * the store's contents.
 */
static void
test_postponed_probe(void **state)
{
	struct fixture *f = *state;
	int64_t begin_ms;
	unsigned calls;

	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(f, !f->reachable);
	begin_ms = clk_mono_ms();
	calls = metrics_get(&f->metrics, METRICS_STORE_READS);
	while (clk_mono_ms() - begin_ms < 2500) {
		postpone_all_but(f, STORE_KINDS);
		f->client->ops->run(f->client, NULL, 0, RUN_TIMEOUT_MS);
	}
	assert_int_equal(metrics_get(&f->metrics, METRICS_STORE_READS), calls);
	/* It probes soon after it learns that one kind is out of date. */
	while (metrics_get(&f->metrics, METRICS_STORE_READS) == calls) {
		f->client->ops->request_list(f->client, STORE_CONFIG, 0);
		postpone_all_but(f, STORE_CONFIG);
		f->client->ops->run(f->client, NULL, 0, RUN_TIMEOUT_MS);
		assert_true(clk_mono_ms() - begin_ms < 3500);
	}
}

/*
 * Guards against a stale configuration after an outage: a call that was sent
 * during the outage never gets a response, and while the client waits for it,
 * it starts no other read. Another VM has newer contents, which shows that the
 * store responds, so the call is abandoned.
 */
static void
test_hanging_call(void **state)
{
	struct fixture *f = *state;
	int64_t begin_ms;
	unsigned calls;

	RUN_UNTIL(f, view_is_ready(&f->view));
	RUN_UNTIL(f, object_store_calls(f->store, "config") >= 2);
	object_store_set_faults(f->store,
	    &(struct object_store_faults){
		.no_response = true, .stall_watches = true});
	RUN_UNTIL(f, !f->reachable);
	calls = object_store_calls(f->store, "servers");
	RUN_UNTIL(f, object_store_calls(f->store, "servers") > calls);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.stall_watches = true});
	put_config(f->store, 4);
	begin_ms = clk_mono_ms();
	while (config_version(f) != 4) {
		f->client->ops->request_list(f->client, STORE_CONFIG, 0);
		f->client->ops->run(f->client, NULL, 0, RUN_TIMEOUT_MS);
		assert_true(clk_mono_ms() - begin_ms < 2000);
	}
}

/* The end of an outage is detected quickly, even if no object changes. */
static void
test_recovery(void **state)
{
	struct fixture *f = *state;
	int64_t begin_ms;

	RUN_UNTIL(f, view_is_ready(&f->view));
	RUN_UNTIL(f, object_store_calls(f->store, "servers") >= 3);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.status = 503});
	/* The watch in flight gets a response; the next call gets a 503. */
	put_config(f->store, 4);
	RUN_UNTIL(f, config_version(f) == 4 && !f->reachable);
	begin_ms = clk_mono_ms();
	RUN_UNTIL(f, clk_mono_ms() - begin_ms > 2000 && !f->reachable);
	object_store_set_faults(f->store, &(struct object_store_faults){0});
	begin_ms = clk_mono_ms();
	RUN_UNTIL(f, f->reachable);
	assert_true(clk_mono_ms() - begin_ms < 5000);
}

/*
 * An entry that expired during an outage is kept for VIEW_MISSING_GRACE_US
 * after it, so that its upstream can register again.
 */
static void
test_expired(void **state)
{
	struct fixture *f = *state;
	int64_t back_us;

	put_upstream(f->store, "u1", "ready");
	put_upstream(f->store, "u2", "ready");
	RUN_UNTIL(f, view_is_ready(&f->view) && n_upstreams(f) == 2);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(f, !f->reachable);
	object_store_remove(f->store, "servers", "u1");
	object_store_remove(f->store, "servers", "u2");
	object_store_set_faults(f->store, &(struct object_store_faults){0});
	RUN_UNTIL(f, f->reachable);
	back_us = clk_mono_us();
	put_upstream(f->store, "u1", "ready");
	RUN_UNTIL(f, clk_mono_us() - back_us > VIEW_MISSING_GRACE_US / 2);
	view_take_dirty(&f->view, clk_mono_us());
	assert_int_equal(n_upstreams(f), 2);
	RUN_UNTIL(f, clk_mono_us() - back_us > 2 * VIEW_MISSING_GRACE_US);
	view_take_dirty(&f->view, clk_mono_us());
	assert_int_equal(n_upstreams(f), 1);
	assert_non_null(g_hash_table_lookup(f->view.upstreams, "u1"));
}

static struct view_move *
create_move(struct fixture *f)
{
	object_store_put(f->store, "rollouts", "s",
	    "{\"service\":\"s\",\"toVersion\":\"v2\",\"duration\":\"12s\"}");
	RUN_UNTIL(f, g_hash_table_lookup(f->view.moves, "s") != NULL);
	return (g_hash_table_lookup(f->view.moves, "s"));
}

/* When two writes are based on the same revision, the second is rejected. */
static void
test_conditional_write(void **state)
{
	struct fixture *f = *state;
	struct view_move *m = create_move(f);
	struct obj_move order = m->order;
	json_t *status;

	f->client->ops->write_move(
	    f->client, &order, OBJ_MOVE_RUNNING, 5, "vm1");
	RUN_UNTIL(f, f->last_write == STORE_WRITTEN);
	f->client->ops->write_move(
	    f->client, &order, OBJ_MOVE_ROLLED_BACK, 5, "vm2");
	RUN_UNTIL(f, f->last_write == STORE_CONFLICT);
	status = object_store_status(f->store, "rollouts", "s");
	assert_string_equal(
	    json_string_value(json_object_get(status, "state")), "running");
	json_decref(status);
	RUN_UNTIL(f, m->order.state == OBJ_MOVE_RUNNING);
	assert_string_equal(m->order.executor, "vm1");
}

/* The status of a move is written to its object, whatever its name. */
static void
test_move_with_odd_name(void **state)
{
	struct fixture *f = *state;
	const struct view_move *m;

	f->move_name = "s %41#";
	object_store_put(f->store, "rollouts", f->move_name,
	    "{\"service\":\"s\",\"toVersion\":\"v3\",\"duration\":\"12s\"}");
	RUN_UNTIL(f, (m = g_hash_table_lookup(f->view.moves, "s")) != NULL);
	f->client->ops->write_move(
	    f->client, &m->order, OBJ_MOVE_RUNNING, 5, "vm1");
	RUN_UNTIL(f, f->last_write >= 0);
	assert_int_equal(f->last_write, STORE_WRITTEN);
}

/* A write without a response has an unknown result; it may have succeeded. */
static void
test_lost_response(void **state)
{
	struct fixture *f = *state;
	struct view_move *m = create_move(f);

	object_store_set_faults(f->store,
	    &(struct object_store_faults){.drop_write_responses = true});
	f->client->ops->write_move(
	    f->client, &m->order, OBJ_MOVE_RUNNING, 5, "vm1");
	RUN_UNTIL(f, f->last_write >= 0);
	assert_int_equal(f->last_write, STORE_UNKNOWN);
	RUN_UNTIL(f, m->order.state == OBJ_MOVE_RUNNING);
}

/* Starts the client again, as after a restart of the process. */
static void
restart_client(struct fixture *f, const struct obj_member *self)
{
	struct platform_store_desc desc = {.metrics = &f->metrics, .seed = 4};
	char address[32];

	f->client->ops->free(f->client);
	snprintf(address, sizeof(address), "127.0.0.1:%u",
	    object_store_port(f->store));
	desc.address = address;
	f->client = platform_store_new(&desc);
	f->client->ops->start(f->client, &f->sink);
	f->client->ops->write_member(f->client, self);
}

static void
test_member(void **state)
{
	struct fixture *f = *state;
	struct obj_member self = {.id = "vm1",
	    .zone = "a",
	    .address = "127.0.0.1:7",
	    .link_mbps = 40};
	const struct view_member *m;
	unsigned calls;

	f->client->ops->write_member(f->client, &self);
	RUN_UNTIL(f, object_store_calls(f->store, "lbmembers") >= 2);
	RUN_UNTIL(f, view_is_ready(&f->view));
	f->client->ops->request_list(f->client, STORE_MEMBERS, 0);
	RUN_UNTIL(f, g_hash_table_contains(f->view.members, "vm1"));
	m = g_hash_table_lookup(f->view.members, "vm1");
	assert_string_equal(m->member.address, "127.0.0.1:7");
	assert_int_equal(m->member.link_mbps, 40);
	/* After a restart the entry already exists and is not written. */
	calls = object_store_calls(f->store, "lbmembers");
	restart_client(f, &self);
	RUN_UNTIL(f, object_store_calls(f->store, "config") >= 3);
	assert_int_equal(object_store_calls(f->store, "lbmembers"), calls + 1);
	/* With another address it is replaced, in a single call. */
	self.address = "127.0.0.1:8";
	restart_client(f, &self);
	RUN_UNTIL(f, object_store_calls(f->store, "lbmembers") >= calls + 3);
	f->client->ops->request_list(f->client, STORE_MEMBERS, 0);
	RUN_UNTIL(f,
	    (m = g_hash_table_lookup(f->view.members, "vm1")) != NULL &&
		strcmp(m->member.address, "127.0.0.1:8") == 0);
	assert_int_equal(object_store_calls(f->store, "lbmembers"), calls + 4);
}

/*
 * A VM that restarts begins with a list of upstreams that may be stale; the
 * configuration never is, so a withdrawn route is not used again. The list is
 * up to date soon, also without updates of other VMs.
 */
static void
test_stale_start(void **state)
{
	struct fixture *f = *state;
	const struct obj_member self = {
	    .id = "vm1", .zone = "a", .address = "127.0.0.1:7"};
	unsigned exact;

	put_upstream(f->store, "u1", "ready");
	RUN_UNTIL(f, view_is_ready(&f->view));
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.stale_lists = true});
	put_config(f->store, 4);
	object_store_remove(f->store, "servers", "u1");
	exact = object_store_exact_lists(f->store, "servers");
	view_finish(&f->view);
	view_init(&f->view, &(struct view_desc){.self = "vm1"});
	restart_client(f, &self);
	RUN_UNTIL(f, view_is_ready(&f->view));
	assert_int_equal(config_version(f), 4);
	RUN_UNTIL(f, n_upstreams(f) == 0);
	assert_int_equal(object_store_exact_lists(f->store, "servers"), exact);
}

/*
 * In a large fleet, a VM that is not a reader hardly probes during an outage,
 * and soon after it becomes one. A VM that cannot route yet probes as often as
 * a reader.
 */
static void
test_outage_large_fleet(void **state)
{
	struct fixture *f = *state;
	int64_t end_ms;
	unsigned calls;

	for (int i = 0; i < 500; i++) {
		char name[16];

		snprintf(name, sizeof(name), "vm%d", i);
		object_store_put(f->store, "lbmembers", name,
		    "{\"zone\":\"a\",\"address\":\"127.0.0.1:9\"}");
	}
	f->client->ops->request_list(f->client, STORE_MEMBERS, 0);
	RUN_UNTIL(f, view_is_ready(&f->view));
	RUN_UNTIL(f, g_hash_table_size(f->view.members) == 500);
	object_store_set_faults(
	    f->store, &(struct object_store_faults){.status = 503});
	RUN_UNTIL(f, !f->reachable);
	/* Watches that were in flight fail, too. */
	end_ms = clk_mono_ms() + 1000;
	RUN_UNTIL(f, clk_mono_ms() > end_ms);
	calls = metrics_get(&f->metrics, METRICS_STORE_READS);
	end_ms = clk_mono_ms() + 3000;
	RUN_UNTIL(f, clk_mono_ms() > end_ms);
	assert_int_equal(metrics_get(&f->metrics, METRICS_STORE_READS), calls);
	f->client->ops->set_reader(f->client, true);
	RUN_UNTIL(f, metrics_get(&f->metrics, METRICS_STORE_READS) > calls + 2);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_list),
	    TEST(test_odd_names),
	    TEST(test_odd_names_listed_again),
	    TEST(test_watch),
	    TEST(test_dropped_history),
	    TEST(test_large_answer),
	    TEST(test_list_now),
	    TEST(test_stale_first_config),
	    TEST(test_stale_list),
	    TEST(test_older_copy),
	    TEST(test_two_older_copies),
	    TEST(test_answer_of_old_epoch),
	    TEST(test_member_after_older_copy),
	    TEST(test_postponed_read),
	    TEST(test_relayed_changes),
	    TEST(test_elected_reader),
	    TEST(test_reader_confirms),
	    TEST(test_path_check),
	    TEST(test_dropped_history_followed),
	    TEST(test_outage),
	    TEST(test_postponed_probe),
	    TEST(test_hanging_call),
	    TEST(test_recovery),
	    TEST(test_expired),
	    TEST(test_conditional_write),
	    TEST(test_move_with_odd_name),
	    TEST(test_lost_response),
	    TEST(test_member),
	    TEST(test_stale_start),
	    TEST(test_outage_large_fleet),
	};

	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
