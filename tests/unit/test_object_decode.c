/* Decoding of the platform's store objects and of its header fields. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <stdlib.h>

#include "platform/field_names.h"
#include "platform/object_decode.h"

#define UPSTREAM_JSON(extra)                                                   \
	"{\"metadata\":{\"name\":\"u1\",\"revision\":7},\"spec\":{"            \
	"\"service\":\"s\",\"address\":\"10.1.2.3:8080\",\"zone\":\"a\","      \
	"\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","                  \
	"\"warmupLeft\":\"1.5s\",\"sequence\":4" extra "}}"

static bool
parse_upstream(const char *text, struct obj_upstream *u)
{
	json_t *o = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	const char *why;
	bool ok;

	assert_non_null(o);
	ok = decode_upstream(o, u, &why);
	assert_true(ok == (why == NULL));
	json_decref(o);
	return (ok);
}

static void
test_upstream(void **state)
{
	struct obj_upstream u;

	(void)state;
	assert_true(
	    parse_upstream(UPSTREAM_JSON(",\"born\":1776412633735"), &u));
	assert_string_equal(u.id, "u1");
	assert_string_equal(u.address, "10.1.2.3:8080");
	assert_int_equal(u.slots, 6);
	assert_int_equal(u.cold_ms, 1500);
	assert_false(u.draining);
	assert_int_equal(u.start_time_ms, 1776412633735);
	obj_upstream_finish(&u);
}

/* Incomplete entries, and entries with a field of the wrong type. */
static void
test_bad_upstreams(void **state)
{
	static const char *const bad[] = {
	    "{}",
	    "{\"metadata\":{\"name\":\"u1\"},\"spec\":null}",
	    "{\"metadata\":{\"name\":\"u1\"},\"spec\":{\"service\":\"s\"}}",
	    UPSTREAM_JSON(",\"born\":\"yesterday\""),
	    UPSTREAM_JSON(",\"born\":1.5"),
	};
	struct obj_upstream u;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_false(parse_upstream(bad[i], &u));
}

/* An entry with any one field replaced by an invalid value is rejected. */
static void
test_bad_fields(void **state)
{
	static const struct {
		const char *key;
		const char *value;
	} bad[] = {
	    {"address", "\"10.1.2.3\""},
	    {"address", "\"host:80\""},
	    {"address", "\"10.1.2.3:99999\""},
	    {"address", "7"},
	    {"slots", "0"},
	    {"slots", "\"6\""},
	    {"state", "\"sleeping\""},
	    {"state", "true"},
	    {"warmupLeft", "\"1.5\""},
	    {"warmupLeft", "1500"},
	    {"warmupLeft", "\"-1s\""},
	    {"sequence", "\"4\""},
	    {"version", "1"},
	    {"zone", "null"},
	};
	const char *why;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		json_t *o = json_loads(UPSTREAM_JSON(""), 0, NULL);
		struct obj_upstream u;

		json_object_set_new(json_object_get(o, "spec"), bad[i].key,
		    json_loads(bad[i].value, JSON_DECODE_ANY, NULL));
		assert_false(decode_upstream(o, &u, &why));
		json_decref(o);
	}
}

static void
test_config(void **state)
{
	static const char text[] =
	    "{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":7,"
	    "\"routes\":{\"r1\":{\"host\":\"h.example\",\"pathPrefix\":\"/a/\","
	    "\"kind\":\"safe\",\"timeout\":\"2s\",\"latencyGoal\":\"600ms\","
	    "\"priority\":2,\"weightedServices\":[{\"service\":\"s\","
	    "\"weight\":90},{\"service\":\"t\",\"weight\":10}],\"attempts\":2},"
	    "\"r2\":{\"host\":\"h.example\",\"pathPrefix\":\"/b/\","
	    "\"kind\":\"unsafe\",\"service\":\"t\"},"
	    "\"r3\":{\"host\":\"h.example\",\"pathPrefix\":\"/c/\","
	    "\"kind\":\"download\",\"service\":\"t\"},"
	    "\"r4\":{\"host\":\"h.example\",\"pathPrefix\":\"/d/\","
	    "\"kind\":\"something new\",\"service\":\"t\"}},"
	    "\"services\":{\"s\":{\"healthPath\":\"/health\","
	    "\"maxConnections\":260,\"warmup\":\"3s\",\"warmupPerS\":7.8},"
	    "\"t\":{\"healthPath\":\"/health\"}},"
	    "\"limits\":{\"maxHeaderBytes\":16384,\"idleTimeout\":\"15s\"}}}";
	json_t *o = json_loads(text, 0, NULL);
	const char *why;
	struct obj_config *c = decode_config(o, &why);

	(void)state;
	assert_non_null(c);
	assert_int_equal(c->version, 7);
	assert_int_equal(c->n_routes, 4);
	assert_true(c->routes[0].idempotent);
	assert_int_equal(c->routes[0].timeout_ms, 2000);
	assert_int_equal(c->routes[0].goal_ms, 600);
	assert_int_equal(c->routes[0].attempts, 2);
	assert_int_equal(c->routes[0].n_splits, 2);
	assert_int_equal(c->routes[0].splits[1].weight, 10);
	/* "unsafe" routes and unknown kinds are not idempotent. */
	assert_false(c->routes[1].idempotent);
	assert_int_equal(c->routes[1].attempts, 1);
	assert_true(c->routes[2].idempotent);
	assert_false(c->routes[3].idempotent);
	assert_int_equal(c->services[0].max_connections, 260);
	assert_true(c->services[0].cold_per_s > 7.7);
	assert_int_equal(c->limits.idle_timeout_ms, 15000);
	obj_config_free(c);
	json_decref(o);
}

/* Decodes a configuration whose spec has the member "tenants", or not. */
static struct obj_config *
parse_tenants(const char *tenants)
{
	char *text = g_strdup_printf(
	    "{\"metadata\":{\"name\":\"main\"},\"spec\":{\"version\":7,"
	    "\"routes\":{},\"services\":{},\"limits\":{}%s%s}}",
	    tenants == NULL ? "" : ",\"tenants\":",
	    tenants == NULL ? "" : tenants);
	json_t *o = json_loads(text, 0, NULL);
	const char *why;
	struct obj_config *c = decode_config(o, &why);

	assert_non_null(o);
	assert_true((c == NULL) == (why != NULL));
	json_decref(o);
	g_free(text);
	return (c);
}

/* Guards against keys that are not required, or are required by mistake. */
static void
test_tenants(void **state)
{
	struct obj_config *c = parse_tenants(
	    "{\"sese880\":{\"apiKeys\":[\"k1\",\"\",\"k 3\"],"
	    "\"priority\":2},\"locu91\":{\"apiKeys\":[],\"priority\":null},"
	    "\"none\":{}}");

	(void)state;
	assert_non_null(c);
	assert_true(c->has_workspaces);
	assert_int_equal(c->n_workspaces, 3);
	assert_string_equal(c->workspaces[0].name, "sese880");
	assert_int_equal(c->workspaces[0].priority, 2);
	assert_int_equal(c->workspaces[0].n_keys, 3);
	assert_string_equal(c->workspaces[0].keys[0], "k1");
	assert_string_equal(c->workspaces[0].keys[1], "");
	assert_int_equal(c->workspaces[1].priority, OBJ_NO_PRIORITY);
	assert_int_equal(c->workspaces[1].n_keys, 0);
	assert_int_equal(c->workspaces[2].n_keys, 0);
	obj_config_free(c);
	c = parse_tenants("{}");
	assert_true(c->has_workspaces);
	assert_int_equal(c->n_workspaces, 0);
	obj_config_free(c);
	c = parse_tenants("null");
	assert_false(c->has_workspaces);
	obj_config_free(c);
	c = parse_tenants(NULL);
	assert_false(c->has_workspaces);
	obj_config_free(c);
}

/*
 * Guards against a configuration that is used in part, and against a name that
 * would add a field to the requests to upstreams.
 */
static void
test_bad_tenants(void **state)
{
	static const char *const bad[] = {
	    "[]",
	    "\"a\"",
	    "false",
	    "{\"a\":null}",
	    "{\"a\":[\"k\"]}",
	    "{\"a\":{\"apiKeys\":\"k\"}}",
	    "{\"a\":{\"apiKeys\":{\"k\":1}}}",
	    "{\"a\":{\"apiKeys\":[\"k\",1]}}",
	    "{\"a\":{\"apiKeys\":[null]}}",
	    "{\"a\":{\"apiKeys\":[\"k\"],\"priority\":-1}}",
	    "{\"a\":{\"apiKeys\":[\"k\"],\"priority\":1001}}",
	    "{\"a\":{\"apiKeys\":[\"k\"],\"priority\":\"1\"}}",
	    "{\"a\":{\"apiKeys\":[\"k\"],\"priority\":1.5}}",
	    "{\"\":{\"apiKeys\":[\"k\"]}}",
	    "{\" a\":{\"apiKeys\":[\"k\"]}}",
	    "{\"a \":{\"apiKeys\":[\"k\"]}}",
	    "{\"a\\r\\nX-B: c\":{\"apiKeys\":[\"k\"]}}",
	    "{\"a\\tb\":{\"apiKeys\":[\"k\"]}}",
	    "{\"good\":{\"apiKeys\":[\"k\"]},\"bad\":7}",
	};
	char name[257];
	char *text;

	(void)state;
	for (size_t i = 0; i < sizeof(bad) / sizeof(*bad); i++)
		assert_null(parse_tenants(bad[i]));
	memset(name, 'n', sizeof(name));
	name[256] = '\0'; /* one byte longer than the longest name */
	text = g_strdup_printf("{\"%s\":{}}", name);
	assert_null(parse_tenants(text));
	g_free(text);
	text = g_strdup_printf("{\"%s\":{}}", name + 1);
	obj_config_free(parse_tenants(text));
	g_free(text);
}

static enum obj_move_state
parse_move_state(const char *status)
{
	char *text = g_strdup_printf(
	    "{\"metadata\":{\"name\":\"s\",\"revision\":9},\"spec\":"
	    "{\"service\":\"s\",\"toVersion\":\"v2\",\"duration\":\"12s\"},"
	    "\"status\":%s}",
	    status);
	json_t *o = json_loads(text, 0, NULL);
	enum obj_move_state state;
	struct obj_move m;
	const char *why;

	assert_true(decode_move(o, &m, &why));
	assert_int_equal(m.duration_ms, 12000);
	assert_int_equal(m.revision, 9);
	state = m.state;
	obj_move_finish(&m);
	json_decref(o);
	g_free(text);
	return (state);
}

static void
test_move(void **state)
{
	(void)state;
	assert_int_equal(parse_move_state("null"), OBJ_MOVE_NEW);
	assert_int_equal(
	    parse_move_state("{\"state\":\"running\",\"toVersion\":\"v2\"}"),
	    OBJ_MOVE_RUNNING);
	assert_int_equal(
	    parse_move_state("{\"state\":\"completed\",\"toVersion\":\"v2\"}"),
	    OBJ_MOVE_DONE);
	assert_int_equal(
	    parse_move_state(
		"{\"state\":\"rolled_back\",\"toVersion\":\"v2\"}"),
	    OBJ_MOVE_ROLLED_BACK);
	/* The status of an earlier move is ignored. */
	assert_int_equal(
	    parse_move_state(
		"{\"state\":\"rolled_back\",\"toVersion\":\"v1\"}"),
	    OBJ_MOVE_NEW);
	assert_int_equal(parse_move_state("{\"state\":5}"), OBJ_MOVE_NEW);
}

/* An encoded status can be decoded again. */
static void
test_encoded_status(void **state)
{
	struct obj_move m = {.name = "s", .to_version = "v2", .revision = 12};
	json_t *o = encode_move_status(&m, OBJ_MOVE_RUNNING, 1234, "vm1");
	struct obj_move decoded;
	const char *why;

	(void)state;
	json_object_set_new(o, "spec",
	    json_pack("{s:s,s:s,s:s}", "service", "s", "toVersion", "v2",
		"duration", "12s"));
	assert_true(decode_move(o, &decoded, &why));
	assert_int_equal(decoded.revision, 12);
	assert_int_equal(decoded.state, OBJ_MOVE_RUNNING);
	assert_int_equal(decoded.started_ms, 1234);
	assert_string_equal(decoded.executor, "vm1");
	obj_move_finish(&decoded);
	json_decref(o);
}

static void
test_durations(void **state)
{
	static const struct {
		const char *text;
		int64_t ms;
	} cases[] = {{"1500ms", 1500}, {"2.5s", 2500}, {"0ms", 0}, {"1s", 1000},
	    {"", -1}, {"5", -1}, {"5m", -1}, {"s", -1}, {"-5ms", -1},
	    {" 5ms", -1}, {"5 ms", -1}, {"infs", -1}, {"1e300s", -1}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		json_t *v = json_string(cases[i].text);
		int64_t ms = -1;

		assert_true(decode_time_ms(v, &ms) == (cases[i].ms >= 0));
		assert_int_equal(ms, cases[i].ms);
		json_decref(v);
	}
}

static struct proto_report
read_head(const char *const *lines, bool probe)
{
	struct proto_expect e = {
	    .request_id = BSTR("r1"), .instance = BSTR("u1"), .probe = probe};
	struct proto_report r;
	struct response_head h;

	response_head_init(&h, false);
	for (; *lines != NULL; lines++)
		response_head_line(&h, bstr_from(*lines));
	response_head_line(&h, BSTR("\r\n"));
	field_names_protocol()->ops->read(&h, &e, &r);
	response_head_finish(&h);
	return (r);
}

#define LINES(...) ((const char *const[]){__VA_ARGS__, NULL})

/* A response without the request's id, or with another id, is not accepted. */
static void
test_response_matching(void **state)
{
	(void)state;
	assert_int_equal(
	    read_head(LINES("HTTP/1.1 200 OK\r\n", "X-Request-Id: r1\r\n",
			  "Content-Length: 0\r\n"),
		false)
		.verdict,
	    PROTO_MATCH);
	assert_int_equal(
	    read_head(LINES("HTTP/1.1 200 OK\r\n", "X-Request-Id: r2\r\n",
			  "Content-Length: 0\r\n"),
		false)
		.verdict,
	    PROTO_MISMATCH);
	assert_int_equal(
	    read_head(
		LINES("HTTP/1.1 200 OK\r\n", "Content-Length: 0\r\n"), false)
		.verdict,
	    PROTO_MISMATCH);
}

/*
 * A request counts as not run only if the response says so: by X-Not-Executed,
 * or by status 421. A 503 alone does not.
 */
static void
test_not_run(void **state)
{
	struct proto_report r;

	(void)state;
	r = read_head(LINES("HTTP/1.1 503 Full\r\n", "X-Not-Executed: 1\r\n",
			  "Content-Length: 0\r\n"),
	    false);
	assert_true(r.not_run);
	assert_int_equal(r.verdict, PROTO_MATCH);
	r = read_head(LINES("HTTP/1.1 503 Broken\r\n", "X-Request-Id: r1\r\n",
			  "Content-Length: 0\r\n"),
	    false);
	assert_false(r.not_run);
	r = read_head(LINES("HTTP/1.1 421 Other\r\n", "X-Instance-Id: u9\r\n",
			  "Content-Length: 0\r\n"),
	    false);
	assert_true(r.not_run);
	assert_int_equal(r.verdict, PROTO_MOVED);
}

/*
 * Guards against an earlier refusal that is received once more: the request
 * that waits for its answer may run.
 */
static void
test_refusal_of_another_request(void **state)
{
	static const char *const heads[] = {"HTTP/1.1 503 Full\r\n",
	    "HTTP/1.1 429 Full\r\n", "HTTP/1.1 421 Other\r\n"};

	(void)state;
	for (size_t i = 0; i < sizeof(heads) / sizeof(*heads); i++) {
		struct proto_report r = read_head(
		    LINES(heads[i], "X-Request-Id: r2\r\n",
			"X-Not-Executed: 1\r\n", "Content-Length: 0\r\n"),
		    false);

		assert_int_equal(r.verdict, PROTO_MISMATCH);
		assert_false(r.not_run);
	}
}

/* Guards against a limit of malformed values, and one that is not read. */
static void
test_limit(void **state)
{
	static const struct {
		const char *line;
		int64_t milli_per_s;
	} cases[] = {
	    {"Server-Limit: 1.5\r\n", 1500},
	    {"Server-Limit: 0\r\n", 0},
	    {"Server-Limit: 120\r\n", 120000},
	    {"Server-Limit: -3\r\n", TERMS_NO_LIMIT},
	    {"Server-Limit: nan\r\n", TERMS_NO_LIMIT},
	    {"Server-Limit: 1e9\r\n", TERMS_NO_LIMIT},
	    {"Server-Limit: 1.2.3\r\n", TERMS_NO_LIMIT},
	    {"Server-Limit: \r\n", TERMS_NO_LIMIT},
	    {"Server-Limit: 99999999999999999999999\r\n", 1000000000},
	    {"X-Other: 1\r\n", TERMS_NO_LIMIT},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct proto_report r = read_head(
		    LINES("HTTP/1.1 200 OK\r\n", "X-Request-Id: r1\r\n",
			cases[i].line, "Content-Length: 0\r\n"),
		    false);

		assert_int_equal(
		    r.terms.limit_milli_per_s, cases[i].milli_per_s);
	}
}

static struct terms_answer
read_pause(const char *status, const char *line)
{
	return (read_head(LINES(status, "X-Request-Id: r1\r\n", line,
			      "X-Not-Executed: 1\r\n", "Content-Length: 0\r\n"),
	    false)
		    .terms);
}

/* Guards against a pause or a leave that is not read, or read from noise. */
static void
test_pause_and_leaving(void **state)
{
	static const char full[] = "HTTP/1.1 503 Full\r\n";

	(void)state;
	assert_int_equal(read_pause(full, "Retry-After: 2\r\n").pause_ms, 2000);
	assert_int_equal(
	    read_pause(full, "Retry-After: 0.25\r\n").pause_ms, 250);
	assert_int_equal(read_pause(full, "Retry-After: -1\r\n").pause_ms, 0);
	assert_int_equal(read_pause(full, "Retry-After: x\r\n").pause_ms, 0);
	assert_int_equal(
	    read_pause(full, "Retry-After: Fri, 04 Dec 2026 10:00:00 GMT\r\n")
		.pause_ms,
	    0);
	assert_int_equal(
	    read_pause(full, "Retry-After: 99999999999999999999\r\n").pause_ms,
	    1000000000);
	/* Only a 503 asks for a pause. */
	assert_int_equal(
	    read_pause("HTTP/1.1 429 Full\r\n", "Retry-After: 2\r\n").pause_ms,
	    0);
	assert_true(read_pause(full, "Server-Leaving: 1\r\n").leaving);
	assert_true(
	    read_pause("HTTP/1.1 200 OK\r\n", "Server-Leaving: 1\r\n").leaving);
	assert_false(read_pause(full, "Server-Leaving: 0\r\n").leaving);
	assert_false(read_pause(full, "Server-Leaving: 1, 1\r\n").leaving);
	assert_false(read_pause(full, "X-Other: 1\r\n").leaving);
	/* A field that occurs twice asks nothing. */
	assert_int_equal(
	    read_head(LINES(full, "X-Request-Id: r1\r\n", "Retry-After: 1\r\n",
			  "Retry-After: 2\r\n", "X-Not-Executed: 1\r\n",
			  "Content-Length: 0\r\n"),
		false)
		.terms.pause_ms,
	    0);
}

static void
test_probe_responses(void **state)
{
	struct proto_report r;

	(void)state;
	r = read_head(
	    LINES("HTTP/1.1 200 OK\r\n", "X-Instance-Id: u1\r\n",
		"X-Server-Load: 3,1,6,250\r\n", "X-Warmup-Ms: 900\r\n",
		"Keep-Alive: timeout=10, max=5\r\n", "Content-Length: 0\r\n"),
	    true);
	assert_int_equal(r.verdict, PROTO_MATCH);
	assert_int_equal(r.running, 3);
	assert_int_equal(r.waiting, 1);
	assert_int_equal(r.pace, 250);
	assert_int_equal(r.cold_ms, 900);
	assert_int_equal(r.idle_limit_ms, 10000);
	assert_false(r.leaving);
	r = read_head(LINES("HTTP/1.1 503 Leaving\r\n", "X-Instance-Id: u1\r\n",
			  "Content-Length: 0\r\n"),
	    true);
	assert_true(r.leaving);
	/* A load field of three values does not contain the pace. */
	r = read_head(LINES("HTTP/1.1 200 OK\r\n", "X-Instance-Id: u1\r\n",
			  "X-Server-Load: 3,1,6\r\n", "Content-Length: 0\r\n"),
	    true);
	assert_int_equal(r.pace, 100);
	r = read_head(LINES("HTTP/1.1 200 OK\r\n", "X-Instance-Id: u2\r\n",
			  "Content-Length: 0\r\n"),
	    true);
	assert_int_equal(r.verdict, PROTO_MOVED);
	/* A late response to an earlier request does not match a probe. */
	r = read_head(LINES("HTTP/1.1 200 OK\r\n", "X-Request-Id: r1\r\n",
			  "Content-Length: 0\r\n"),
	    true);
	assert_int_equal(r.verdict, PROTO_MISMATCH);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_upstream),
	    cmocka_unit_test(test_bad_upstreams),
	    cmocka_unit_test(test_bad_fields),
	    cmocka_unit_test(test_config),
	    cmocka_unit_test(test_tenants),
	    cmocka_unit_test(test_bad_tenants),
	    cmocka_unit_test(test_move),
	    cmocka_unit_test(test_encoded_status),
	    cmocka_unit_test(test_durations),
	    cmocka_unit_test(test_response_matching),
	    cmocka_unit_test(test_not_run),
	    cmocka_unit_test(test_refusal_of_another_request),
	    cmocka_unit_test(test_limit),
	    cmocka_unit_test(test_pause_and_leaving),
	    cmocka_unit_test(test_probe_responses),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
