/* Keys of workspaces: who is served, and which fields reach upstreams. */
#include "lib/rig.h"

#include "lib/capture.h"
#include "platform/field_names.h"

#define KEY_MAX 1024
/* Differs from the priority of all routes. */
#define PRIORITY_B 5
#define LARGE_BODY 3000000

static char long_key[KEY_MAX + 1];

/**
 * struct key_case - fields of a request and the expected answer
 * @fields: Authorization fields with CRLF
 * @workspace: X-Tenant that the upstream gets, NULL for 401
 */
struct key_case {
	const char *fields;
	const char *workspace;
};

#define BEARER(key) "Authorization: Bearer " key "\r\n"

static const struct key_case key_cases[] = {
    {BEARER("key-a"), "wa"},
    {BEARER("key-b"), "wb"},
    /* A key in two workspaces belongs to the name that sorts first. */
    {BEARER("key-ab"), "wa"},
    {"authorization: bearer key-a\r\n", "wa"},
    {"AUTHORIZATION: BEARER key-a\r\n", "wa"},
    {"Authorization:Bearer key-a\r\n", "wa"},
    {"Authorization:   Bearer    key-a   \r\n", "wa"},
    {"Authorization: Bearer\tkey-a\r\n", "wa"},
    {"", NULL},
    {BEARER("other"), NULL},
    {BEARER("KEY-A"), NULL},
    {BEARER("key-"), NULL},
    {BEARER("key-aa"), NULL},
    {BEARER("key-a") BEARER("key-a"), NULL},
    {BEARER("key-a") BEARER("other"), NULL},
    {BEARER("other") BEARER("key-a"), NULL},
    {BEARER("key-a, Bearer key-a"), NULL},
    {BEARER("key-a") "Authorization: Basic a2V5\r\n", NULL},
    {"Authorization: Basic key-a\r\n", NULL},
    {"Authorization: key-a\r\n", NULL},
    {"Authorization: Bearerkey-a\r\n", NULL},
    {"Authorization: Bearer\r\n", NULL},
    {"Authorization: Bearer \r\n", NULL},
    {"Authorization:\r\n", NULL},
    {"Authorization: Bearer key a\r\n", NULL},
    {"Proxy-Authorization: Bearer key-a\r\n", NULL},
};

static void
use_keys(char *const *a, uint32_t n_a, char *const *b, uint32_t n_b)
{
	struct wstab_entry e[] = {
	    {{BSTR("wb"), PRIORITY_B, usage_counter_new()}, b, n_b},
	    {{BSTR("wa"), WSTAB_NO_PRIORITY, usage_counter_new()}, a, n_a},
	};

	rig_set_workspaces(e, 2);
	for (int i = 0; i < 2; i++)
		usage_counter_unref(e[i].workspace.usage);
}

/* Workspace wa has key-a, wb has key-b and both have key-ab. */
static void
use_all_keys(void)
{
	char *const a[] = {"key-a", "key-ab", long_key};
	char *const b[] = {"key-b", "key-ab"};

	use_keys(a, 3, b, 2);
}

/* Number of times that @text occurs, ignoring ASCII case. */
static int
count_text(const char *in, const char *text)
{
	int n = 0;

	for (; (in = strcasestr(in, text)) != NULL; in++)
		n++;
	return (n);
}

/*
 * Checks a reply that holds the head which the upstream received: it names the
 * workspace, or none if @workspace is NULL, and has no credential.
 */
static void
expect_head(struct reply r, const char *workspace)
{
	char line[128];

	if (r.status != 200 || !r.complete)
		fail_msg("expected 200, got: %.400s", r.p);
	snprintf(line, sizeof(line), "\r\nX-Tenant: %s\r\n",
	    workspace == NULL ? "" : workspace);
	if (count_text(r.body, "Tenant:") != (workspace != NULL) ||
	    (workspace != NULL && strstr(r.body, line) == NULL) ||
	    count_text(r.body, "Authorization") != 0 ||
	    count_text(r.body, "key-") != 0)
		fail_msg("wrong head for %s: %s",
		    workspace == NULL ? "no workspace" : workspace, r.body);
	rig_reply_free(&r);
}

static void
expect_refusal(struct reply r)
{
	if (strcmp(rig_field(&r, "WWW-Authenticate"), "Bearer") != 0)
		fail_msg("expected 401, got: %.400s", r.p);
	rig_expect_error(r, 401, "unauthorized", "not-run");
}

/*
 * Guards against a request that runs without a valid key, or is refused with
 * one, for every form of the field; idempotent or not.
 */
static void
test_keys(void **state)
{
	static const char *const routes[] = {"i", "p"};
	static const char *const methods[] = {"GET", "POST"};

	(void)state;
	use_all_keys();
	for (int i = 0; i < 2 * (int)(sizeof(key_cases) / sizeof(*key_cases));
	     i++) {
		const struct key_case *p = &key_cases[i / 2];
		const char *body = i % 2 == 0 ? NULL : "body";
		char path[64];
		struct reply r;

		snprintf(path, sizeof(path), "/%s/echohead/case-%d",
		    routes[i % 2], i);
		r = rig_call(methods[i % 2], "a", path, p->fields, body);
		if (p->workspace == NULL)
			expect_refusal(r);
		else
			expect_head(r, p->workspace);
		assert_int_equal(rig_request_count(path), p->workspace != NULL);
	}
}

/* Guards against unbounded work, and a limit that is not the documented one. */
static void
test_long_field(void **state)
{
	char fields[4 * KEY_MAX];

	(void)state;
	use_all_keys();
	snprintf(fields, sizeof(fields), BEARER("%s"), long_key);
	expect_head(
	    rig_call("GET", "a", "/i/echohead/long", fields, NULL), "wa");
	snprintf(fields, sizeof(fields), BEARER("%sk"), long_key);
	expect_refusal(rig_call("GET", "a", "/i/ok/longer", fields, NULL));
	snprintf(fields, sizeof(fields), BEARER("%s%s%s"), long_key, long_key,
	    long_key);
	expect_refusal(rig_call("GET", "a", "/i/ok/longer", fields, NULL));
	assert_int_equal(rig_request_count("/i/ok/longer"), 0);
}

/*
 * Guards against a caller that names a workspace itself, in any spelling that
 * an upstream may take for the field.
 */
static void
test_forged_field(void **state)
{
	static const char *const forged[] = {
	    "X-Tenant: wb\r\n",
	    "x-tenant: wb\r\n",
	    "X-TENANT: wb\r\n",
	    "X_Tenant: wb\r\n",
	    "x_tenant: wb\r\n",
	    "X_TENANT:wb\r\n",
	    "X-Tenant:\r\n",
	    "X-Tenant: wb\r\nx_tenant: wb\r\nX-Tenant: wb\r\n",
	    "X-Tenant: wb\r\nTE: X-Tenant\r\nTrailer: X-Tenant\r\n",
	};

	(void)state;
	use_all_keys();
	for (size_t i = 0; i < sizeof(forged) / sizeof(*forged); i++) {
		char fields[256];

		snprintf(
		    fields, sizeof(fields), BEARER("key-a") "%s", forged[i]);
		expect_head(
		    rig_call("GET", "a", "/i/echohead/f", fields, NULL), "wa");
		expect_head(
		    rig_call("POST", "a", "/p/echohead/f", fields, "b"), "wa");
		/* On a public route nothing replaces the caller's field. */
		expect_head(
		    rig_call("GET", "a", "/open/echohead/f", forged[i], NULL),
		    NULL);
	}
}

/* Guards against fields that Connection or a trailer removes or adds. */
static void
test_hop_by_hop(void **state)
{
	(void)state;
	use_all_keys();
	expect_head(
	    rig_send_raw("GET /i/echohead/c HTTP/1.1\r\nHost: a\r\n"
			 "Connection: close, X-Tenant, Authorization\r\n"
			 "X-Tenant: wb\r\n" BEARER("key-a") "\r\n"),
	    "wa");
	expect_head(
	    rig_send_raw(
		"POST /p/echohead/t HTTP/1.1\r\nHost: a\r\n"
		"Connection: close\r\n" BEARER(
		    "key-a") "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n"
			     "X-Tenant: wb\r\n" BEARER("key-b") "\r\n"),
	    "wa");
	/* A key in a trailer is no key. */
	expect_refusal(rig_send_raw(
	    "POST /p/echohead/t2 HTTP/1.1\r\nHost: a\r\n"
	    "Connection: close\r\n"
	    "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n" BEARER(
		"key-b") "\r\n"));
	assert_int_equal(rig_request_count("/p/echohead/t2"), 0);
}

/* Guards against a public route that needs a key or forwards one. */
static void
test_public(void **state)
{
	(void)state;
	use_all_keys();
	for (size_t i = 0; i < sizeof(key_cases) / sizeof(*key_cases); i++)
		expect_head(rig_call("GET", "a", "/open/echohead/1",
				key_cases[i].fields, NULL),
		    key_cases[i].workspace);
	/* An empty set of workspaces lets only public routes through. */
	rig_set_workspaces(NULL, 0);
	expect_head(
	    rig_call("GET", "a", "/open/echohead/2", BEARER("key-a"), NULL),
	    NULL);
	expect_refusal(
	    rig_call("GET", "a", "/i/ok/empty", BEARER("key-a"), NULL));
}

/* Guards against a change for deployments without workspaces. */
static void
test_no_workspaces(void **state)
{
	struct reply r;

	(void)state;
	rig_clear_workspaces();
	r = rig_call("GET", "a", "/i/echohead/n",
	    "Authorization: Basic abc\r\nX-Tenant: mine\r\nx_tenant: too\r\n",
	    NULL);
	assert_int_equal(r.status, 200);
	assert_true(rig_body_contains(&r, "Authorization: Basic abc\r\n"));
	assert_true(rig_body_contains(&r, "X-Tenant: mine\r\n"));
	assert_true(rig_body_contains(&r, "x_tenant: too\r\n"));
	rig_reply_free(&r);
}

/* Guards against a second attempt with other fields than the first. */
static void
test_retry(void **state)
{
	static const char fields[] =
	    BEARER("key-b") "X-Tenant: wa\r\nx_tenant: wa\r\n";
	uint64_t before;

	(void)state;
	rig_clear_workspaces();
	rig_fill_retry_budget("two");
	use_all_keys();
	before = metrics_get(&rig.metrics, METRICS_RETRIES);
	atomic_store(&rig.dead_first, true);
	expect_head(
	    rig_call("GET", "two", "/i/echohead/r", fields, NULL), "wb");
	expect_head(
	    rig_call("POST", "two", "/p/echohead/r", fields, "b"), "wb");
	atomic_store(&rig.dead_first, false);
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_RETRIES), before + 2);
}

/* As above, for the second attempt of a late call. */
static void
test_late(void **state)
{
	(void)state;
	rig_clear_workspaces();
	rig_fill_retry_budget("both");
	use_all_keys();
	expect_head(rig_call("GET", "both", "/l/slowhead/late",
			BEARER("key-a") "X-Tenant: wb\r\n", NULL),
	    "wa");
	assert_int_equal(rig_request_count("/l/slowhead/late"), 2);
}

#define PIPELINED(method, path, fields)                                        \
	method " " path " HTTP/1.1\r\nHost: a\r\n" fields "\r\n"

/* Body of a refused request that is a valid request by itself. */
#define BODY PIPELINED("GET", "/i/ok/body", BEARER("key-a"))

/*
 * Guards against a request that is served with the key of an earlier one on its
 * connection, and a refused body that is read as the next request.
 */
static void
test_pipelined(void **state)
{
	const char *second, *third, *fourth;
	char text[1024];
	struct reply r;

	(void)state;
	use_all_keys();
	snprintf(text, sizeof(text),
	    "%sPOST /p/ok/p2 HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n"
	    "\r\n%s%s%s",
	    PIPELINED("GET", "/i/echohead/p1", BEARER("key-a")), strlen(BODY),
	    BODY, PIPELINED("GET", "/i/echohead/p3", BEARER("key-b")),
	    PIPELINED(
		"GET", "/i/ok/p4", BEARER("other") "Connection: close\r\n"));
	r = rig_send_raw(text);
	assert_int_equal(r.status, 200);
	second = strstr(r.p, "HTTP/1.1 401");
	assert_non_null(second);
	third = strstr(second, "HTTP/1.1 200");
	assert_non_null(third);
	fourth = strstr(third, "HTTP/1.1 401");
	assert_non_null(fourth);
	assert_int_equal(count_text(r.p, "X-Tenant: "), 2);
	assert_int_equal(count_text(third, "X-Tenant: "), 1);
	assert_int_equal(count_text(r.p, "X-Tenant: wa\r\n"), 1);
	assert_int_equal(count_text(third, "X-Tenant: wb\r\n"), 1);
	assert_int_equal(rig_request_count("/p/ok/p2"), 0);
	assert_int_equal(rig_request_count("/i/ok/body"), 0);
	assert_int_equal(rig_request_count("/i/ok/p4"), 0);
	rig_reply_free(&r);
}

/* Guards against a refused upload that is read to its end. */
static void
test_large_body(void **state)
{
	char head[256];

	(void)state;
	use_all_keys();
	snprintf(head, sizeof(head),
	    "POST /p/ok/large HTTP/1.1\r\nHost: a\r\n"
	    "Content-Length: %d\r\n\r\n",
	    LARGE_BODY);
	expect_refusal(rig_send_raw(head));
	assert_int_equal(rig_request_count("/p/ok/large"), 0);
}

/* Guards against a claim for the idempotency key of a refused request. */
static void
test_no_claim(void **state)
{
	struct worker_msg_finish f;

	(void)state;
	use_all_keys();
	atomic_store(&rig.fingerprint, 0);
	rig_expect_error(rig_call("POST", "a", "/p/ok/claim",
			     "Idempotency-Key: grant-w\r\n", "b"),
	    401, "unauthorized", "unknown");
	assert_int_equal(atomic_load(&rig.fingerprint), 0);
	assert_int_equal(rig_finishes("grant-w", &f), 0);
	assert_int_equal(rig_request_count("/p/ok/claim"), 0);
}

#define KEPT(path, key)                                                        \
	"GET " path " HTTP/1.1\r\nHost: a\r\n" BEARER(key) "\r\n"

/* Guards against a key that stays valid on connections that are open. */
static void
test_withdrawn(void **state)
{
	char *const old_keys[] = {"key-old"};
	char *const new_keys[] = {"key-new"};
	int fd = rig_connect_to(rig.port, 0);

	(void)state;
	use_keys(old_keys, 1, NULL, 0);
	expect_head(rig_exchange(fd, KEPT("/i/echohead/k1", "key-old")), "wa");
	expect_refusal(rig_exchange(fd, KEPT("/i/ok/k2", "key-new")));
	use_keys(new_keys, 1, old_keys, 0);
	expect_refusal(rig_exchange(fd, KEPT("/i/ok/k2", "key-old")));
	expect_head(rig_exchange(fd, KEPT("/i/echohead/k3", "key-new")), "wa");
	use_keys(NULL, 0, new_keys, 1);
	expect_head(rig_exchange(fd, KEPT("/i/echohead/k4", "key-new")), "wb");
	assert_int_equal(rig_request_count("/i/ok/k2"), 0);
	close(fd);
}

/* Guards against 401 from a VM that does not know the keys yet. */
static void
test_no_configuration(void **state)
{
	static const char *const fields[] = {
	    "", BEARER("key-a"), BEARER("other")};

	(void)state;
	use_all_keys();
	atomic_store(&rig.shared.fresh_until_us, 0);
	for (int i = 0; i < 3; i++)
		rig_expect_error(
		    rig_call("GET", "a", "/i/ok/c", fields[i], NULL), 503,
		    "not-fresh", "not-run");
	atomic_store(&rig.shared.fresh_until_us, INT64_MAX);
}

/* Log lines of the calls that test_log() makes. */
static char *
log_of_calls(void)
{
	static const char *const keys[] = {
	    BEARER("key-b"), BEARER("key-a"), BEARER("key-unknown")};
	struct capture c;

	capture_begin(&c);
	for (int i = 0; i < 3; i++) {
		char fields[128];
		struct reply r;

		snprintf(fields, sizeof(fields), "X-Request-Id: log-%d\r\n%s",
		    i, keys[i]);
		r = rig_call("GET", "dead", "/p/ok/log", fields, NULL);
		assert_true(r.status >= 400);
		rig_reply_free(&r);
	}
	return (capture_end(&c));
}

/*
 * Guards against a key in a log line or a metric, and against lines that do not
 * tell the workspace and the priority of a call.
 */
static void
test_log(void **state)
{
	struct bbuf text;
	char *log;

	(void)state;
	use_all_keys();
	log = log_of_calls();
	assert_int_equal(count_text(log, "key-"), 0);
	assert_int_equal(count_text(log, "Bearer"), 0);
	/* The priority of the workspace goes before that of the route. */
	assert_int_equal(
	    count_text(log, "\"workspace\":\"wb\",\"priority\":5"), 1);
	assert_int_equal(
	    count_text(log, "\"workspace\":\"wa\",\"priority\":2"), 1);
	assert_int_equal(count_text(log, "\"kind\":\"unauthorized\""), 1);
	free(log);
	bbuf_init(&text);
	metrics_write(&rig.metrics, &text);
	assert_int_equal(count_text(text.p, "key-"), 0);
	assert_int_equal(count_text(text.p, "\"wa\""), 0);
	bbuf_finish(&text);
}

/* Guards against refusals that no counter shows. */
static void
test_metrics(void **state)
{
	uint64_t without = metrics_get(&rig.metrics, METRICS_CALLS_WITHOUT_KEY);
	uint64_t unknown = metrics_get(&rig.metrics, METRICS_CALLS_UNKNOWN_KEY);
	uint64_t refused = atomic_load(&rig.metrics.errors[ERR_UNAUTHORIZED]);

	(void)state;
	use_all_keys();
	expect_refusal(rig_call("GET", "a", "/i/ok/m", "", NULL));
	expect_refusal(rig_call("GET", "a", "/i/ok/m", BEARER("other"), NULL));
	expect_head(rig_call("GET", "a", "/open/echohead/m", "", NULL), NULL);
	rig_expect_body(
	    rig_call("GET", "a", "/i/ok/m", BEARER("key-a"), NULL), "ok");
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_CALLS_WITHOUT_KEY), without + 2);
	assert_int_equal(
	    metrics_get(&rig.metrics, METRICS_CALLS_UNKNOWN_KEY), unknown + 1);
	/* The end of a call is counted after its answer. */
	for (int i = 0; i < 1000 &&
	     atomic_load(&rig.metrics.errors[ERR_UNAUTHORIZED]) < refused + 2;
	     i++)
		usleep(10000);
	assert_int_equal(
	    atomic_load(&rig.metrics.errors[ERR_UNAUTHORIZED]), refused + 2);
}

static int
setup(void **state)
{
	memset(long_key, 'k', KEY_MAX);
	rig_setup(state);
	rig.shared.protocol = field_names_protocol();
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_keys),
	    cmocka_unit_test(test_long_field),
	    cmocka_unit_test(test_forged_field),
	    cmocka_unit_test(test_hop_by_hop),
	    cmocka_unit_test(test_public),
	    cmocka_unit_test(test_no_workspaces),
	    cmocka_unit_test(test_retry),
	    cmocka_unit_test(test_late),
	    cmocka_unit_test(test_pipelined),
	    cmocka_unit_test(test_large_body),
	    cmocka_unit_test(test_no_claim),
	    cmocka_unit_test(test_withdrawn),
	    cmocka_unit_test(test_no_configuration),
	    cmocka_unit_test(test_log),
	    cmocka_unit_test(test_metrics),
	};

	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
