/*
 * Tests the memory that answers of the store take. Guards against a VM that
 * exceeds its memory when a watch reports many versions of a large
 * configuration at once, such as after the process was paused: all of them were
 * parsed together, each into about ten times its text.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <string.h>

#include "bench/heap_meter.h"
#include "fleet/fleet_view.h"
#include "platform/platform_store.h"
#include "virtual/virtual_calls.h"

#define HOSTS 2800
#define VERSIONS 30
/* For one version: its JSON, its decoded form and the one that it replaces. */
#define MAX_ENTRY_BYTES (16u << 20)
#define STEP_MS 10
#define LIMIT_MS 5000

/**
 * struct fixture - client of a store that has many versions of a configuration
 * @routes: JSON of the routes, the same in all versions
 * @answer: answer to the first watch of the configuration
 * @invalid_last: the last version in it cannot be decoded
 * @n_configs: configurations that the client reported
 */
struct fixture {
	struct store_sink sink;
	struct fleet_store *client;
	struct fleet_view view;
	struct metrics metrics;
	GString *routes;
	GString *answer;
	bool invalid_last;
	unsigned n_configs;
};

static struct fixture *
fixture_of(struct store_sink *s)
{
	return ((struct fixture *)s);
}

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
	fixture_of(s)->n_configs++;
	view_set_config(&fixture_of(s)->view, c);
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
on_reachable(struct store_sink *s, bool reachable)
{
	(void)s;
	(void)reachable;
}

static const struct store_sink_ops sink_ops = {
    .begin = on_list,
    .end = on_list,
    .updated = on_updated,
    .config = on_config,
    .changes = on_changes,
    .reachable = on_reachable,
};

static void
add_routes(GString *out)
{
	for (int i = 0; i < HOSTS; i++)
		g_string_append_printf(out,
		    "%s\"shop-%d\":{\"host\":\"shop-%04d.example\","
		    "\"pathPrefix\":\"/shop-%d/\",\"kind\":\"safe\","
		    "\"timeout\":\"2000ms\",\"latencyGoal\":\"600ms\","
		    "\"priority\":1,\"service\":\"s\",\"attempts\":2}",
		    i == 0 ? "" : ",", i, i, i);
}

static void
add_config(GString *out, const char *routes, int version, bool valid)
{
	g_string_append_printf(out,
	    "{\"metadata\":{\"name\":\"main\",\"revision\":%d},\"spec\":{"
	    "\"version\":%d,\"routes\":%s%s%s,\"services\":{\"s\":{"
	    "\"healthPath\":\"/health\"}},\"limits\":{}}}",
	    version, version, valid ? "{" : "[", valid ? routes : "",
	    valid ? "}" : "]");
}

static GString *
make_events(const struct fixture *f)
{
	GString *out = g_string_new("{\"events\":[");

	for (int v = 2; v <= VERSIONS; v++) {
		bool valid = !f->invalid_last || v < VERSIONS;

		g_string_append(out, v == 2 ? "{\"object\":" : ",{\"object\":");
		add_config(out, f->routes->str, v, valid);
		g_string_append(out, ",\"removed\":false}");
	}
	g_string_append_printf(out, "],\"storeRevision\":%d}", VERSIONS);
	return (out);
}

static void
answer(struct vcall *c, const char *text)
{
	bbuf_add(&c->call.response, bstr_from(text));
	vcalls_end(c, CURLE_OK, 200);
}

/* Lists have the first version and nothing else, the first watch all others. */
static void
serve(void *arg, struct vcall *c)
{
	struct fixture *f = arg;
	GString *first;

	if (strstr(c->path, "watch=") != NULL) {
		if (g_str_has_prefix(c->path, "config?watch=1&"))
			answer(c, f->answer->str);
		else
			c->lost = true;
		return;
	}
	first = g_string_new("{\"items\":[");
	if (g_str_has_prefix(c->path, "config"))
		add_config(first, "", 1, true);
	g_string_append(first, "],\"hasMore\":false,\"storeRevision\":1}");
	answer(c, first->str);
	g_string_free(first, TRUE);
}

static int
setup(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->sink.ops = &sink_ops;
	f->routes = g_string_new(NULL);
	add_routes(f->routes);
	view_init(&f->view, &(struct view_desc){.self = "vm1"});
	vcalls_set_time(1);
	vcalls_set_server(serve, f);
	f->client = platform_store_new(&(struct platform_store_desc){
	    .address = "store", .metrics = &f->metrics, .seed = 3});
	f->client->ops->start(f->client, &f->sink);
	*state = f;
	return (0);
}

static int
teardown(void **state)
{
	struct fixture *f = *state;

	f->client->ops->free(f->client);
	view_finish(&f->view);
	g_string_free(f->answer, TRUE);
	g_string_free(f->routes, TRUE);
	g_free(f);
	return (0);
}

static int64_t
config_version(const struct fixture *f)
{
	return (f->view.config == NULL ? 0 : f->view.config->version);
}

static void
run_until_version(struct fixture *f, int64_t version)
{
	while (config_version(f) < version) {
		assert_true(vcalls_now_ms() < LIMIT_MS);
		vcalls_set_time(vcalls_now_ms() + STEP_MS);
		f->client->ops->run(f->client, NULL, 0, 0);
	}
}

/* Bytes above the text of the answer until @version is in effect. */
static size_t
measure(struct fixture *f, int64_t version)
{
	size_t before = heap_meter_now(), grown;

	heap_meter_reset_peak();
	run_until_version(f, version);
	grown = heap_meter_peak() - before;
	print_message("%d versions in %zu bytes: %zu bytes more, %u decoded\n",
	    VERSIONS - 1, f->answer->len, grown - f->answer->len,
	    f->n_configs - 1);
	return (grown - f->answer->len);
}

static void
test_many_versions(void **state)
{
	struct fixture *f = *state;

	f->answer = make_events(f);
	assert_true(measure(f, VERSIONS) <= MAX_ENTRY_BYTES);
	/* Only the newest version matters. */
	assert_int_equal(f->n_configs, 2);
}

/* One that cannot be decoded does not hide the one before it. */
static void
test_invalid_newest(void **state)
{
	struct fixture *f = *state;

	f->invalid_last = true;
	f->answer = make_events(f);
	assert_true(measure(f, VERSIONS - 1) <= MAX_ENTRY_BYTES);
	assert_int_equal(f->n_configs, 2);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_many_versions),
	    TEST(test_invalid_newest),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
