/*
 * Settings file of the daemon: formats of addresses and durations, null, and
 * the template of the platform.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "ops/settings.h"

#define BASE                                                                   \
	"\"id\":\"vm1\",\"zone\":\"a\",\"peer\":{\"addr\":\"10.0.0.1\","       \
	"\"port\":7200},\"ops\":{\"address\":\"10.0.0.1:7300\"},"              \
	"\"platform\":{\"address\":\"10.0.0.9:80\",\"api\":\"objects\"}"

static bool
parse(struct settings *s, const char *text, struct bbuf *problems)
{
	bbuf_init(problems);
	return (settings_parse(s, bstr_from(text), problems));
}

static void
test_addresses(void **state)
{
	struct bbuf problems;
	struct settings s;

	(void)state;
	assert_true(
	    parse(&s, "{" BASE ",\"listen\":{\"address\":\"10.0.0.1:8080\"}}",
		&problems));
	assert_string_equal(s.listen.addr, "10.0.0.1");
	assert_int_equal(s.listen.port, 8080);
	assert_int_equal(s.ops.port, 7300);
	assert_string_equal(s.store_api, "objects");
	assert_string_equal(s.health_path, "/health");
	assert_int_equal(s.memory_mb, 0);
	settings_finish(&s);
	bbuf_finish(&problems);
	assert_false(parse(
	    &s, "{" BASE ",\"listen\":{\"address\":\"10.0.0.1\"}}", &problems));
	assert_non_null(strstr(problems.p, "listen"));
	settings_finish(&s);
	bbuf_finish(&problems);
}

/*
 * Guards against a graceful shutdown that lasts until the platform kills the
 * process, and against wrongly parsed durations.
 */
static void
test_durations(void **state)
{
	static const struct {
		const char *value;
		int64_t ms; /* -1: rejected */
	} cases[] = {{"\"6s\"", 6000}, {"\"1500ms\"", 1500}, {"2500", 2500},
	    {"\"6\"", -1}, {"\"\"", -1}, {"\"-1s\"", -1}, {"true", -1},
	    {"1.5", -1}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		char *text = g_strdup_printf(
		    "{" BASE ",\"listen\":{\"address\":\"10.0.0.1:80\"},"
		    "\"stop_within\":%s}",
		    cases[i].value);
		struct bbuf problems;
		struct settings s;

		assert_true(parse(&s, text, &problems) == (cases[i].ms >= 0));
		if (cases[i].ms >= 0) {
			assert_int_equal(s.stop_within_ms, cases[i].ms);
			assert_true(s.drain_timeout_ms < cases[i].ms);
		}
		settings_finish(&s);
		bbuf_finish(&problems);
		g_free(text);
	}
}

/* A platform gives null for a value that it does not know. */
static void
test_null_value(void **state)
{
	struct bbuf problems;
	struct settings s;

	(void)state;
	assert_true(parse(&s,
	    "{" BASE ",\"listen\":{\"address\":\"10.0.0.1:80\"},"
	    "\"retry\":{\"ratio\":0.2,\"burst\":null},\"memory_mb\":160}",
	    &problems));
	assert_int_equal(s.retry_burst, 0);
	assert_int_equal(s.memory_mb, 160);
	assert_true(s.retry_ratio > 0.19 && s.retry_ratio < 0.21);
	settings_finish(&s);
	bbuf_finish(&problems);
}

/* Fills the fields of the template as the platform does. */
static char *
render_template(bool with_usage)
{
	static const char *const fields[][2] = {{"{{node|json}}", "\"vm1\""},
	    {"{{zone|json}}", "\"a\""}, {"{{ip|json}}", "\"127.0.0.1\""},
	    {"{{listen.front}}", "127.0.0.1:8080"},
	    {"{{listen.ready}}", "127.0.0.1:8081"},
	    {"{{internalPorts.0}}", "7200"}, {"{{limits.linkMbps}}", "100"},
	    {"{{platform.address}}", "127.0.0.1:7000"},
	    {"{{bounds.grace}}", "6s"}, {"{{bounds.retryBudgetRatio}}", "0.2"},
	    {"{{bounds.retryBudgetSlack}}", "100"},
	    {"{{cloud.address}}", "127.0.0.1:9000"},
	    {"{{bounds.usageWindow}}", "5s"}, {"{{bounds.usageLate}}", "10s"},
	    {"{{bounds.lease_time}}", "3000ms"}};
	GRegex *section = g_regex_new(
	    "\\{\\{#cloud\\.address\\}\\}(.*)\\{\\{/cloud\\.address\\}\\}",
	    G_REGEX_DOTALL, 0, NULL);
	GString *out;
	char *text, *chosen;

	assert_true(
	    g_file_get_contents("deploy/settings.json.in", &text, NULL, NULL));
	assert_true(g_regex_match(section, text, 0, NULL));
	chosen = g_regex_replace(
	    section, text, -1, 0, with_usage ? "\\1" : "", 0, NULL);
	out = g_string_new(chosen);
	for (size_t i = 0; i < sizeof(fields) / sizeof(*fields); i++)
		g_string_replace(out, fields[i][0], fields[i][1], 0);
	g_regex_unref(section);
	g_free(text);
	g_free(chosen);
	return (g_string_free(out, FALSE));
}

/*
 * Guards against a file that is not valid JSON, and against usage reports to no
 * address, on a platform that gives no address for them.
 */
static void
test_template(void **state)
{
	(void)state;
	for (int with_usage = 0; with_usage <= 1; with_usage++) {
		char *text = render_template(with_usage);
		struct bbuf problems;
		struct settings s;

		assert_null(strstr(text, "{{"));
		assert_true(parse(&s, text, &problems));
		assert_int_equal(s.usage.addr != NULL, with_usage);
		assert_int_equal(s.usage.port, with_usage ? 9000 : 0);
		assert_int_equal(s.usage_window_ms, 5000);
		assert_int_equal(s.usage_due_ms, 10000);
		assert_int_equal(s.usage_lease_ms, 3000);
		settings_finish(&s);
		bbuf_finish(&problems);
		g_free(text);
	}
}

/*
 * Guards against reporting that is silently off because of a mistake in the
 * group, and against wrongly parsed durations.
 */
static void
test_usage(void **state)
{
	static const struct {
		const char *group;
		const char *problem; /* NULL: accepted */
	} cases[] = {
	    {"{\"address\":\"10.0.0.1:80\",\"window\":\"2500ms\"}", NULL},
	    {"{\"address\":\"10.0.0.1:80\",\"window\":\"2.5s\",\"due\":"
	     "\"10s\",\"lease\":3000}",
		NULL},
	    {"{\"window\":\"5s\"}", "usage.address"},
	    {"{\"address\":\"10.0.0.1\"}", "usage.address"},
	    {"{\"address\":\"10.0.0.1:80\",\"window\":\"0s\"}", "usage.window"},
	    {"{\"address\":\"10.0.0.1:80\",\"due\":\"\"}", "usage.due"},
	    {"{\"address\":\"10.0.0.1:80\",\"lease\":true}", "usage.lease"},
	    {"{\"address\":\"10.0.0.1:80\",\"period\":5}", "usage.period"}};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		char *text = g_strdup_printf(
		    "{" BASE ",\"listen\":{\"address\":\"10.0.0.1:80\"},"
		    "\"usage\":%s}",
		    cases[i].group);
		struct bbuf problems;
		struct settings s;
		bool ok = parse(&s, text, &problems);

		assert_true(ok == (cases[i].problem == NULL));
		if (cases[i].problem == NULL) {
			assert_string_equal(s.usage.addr, "10.0.0.1");
			assert_int_equal(s.usage_window_ms, 2500);
			assert_int_equal(s.usage_due_ms, 10000);
			assert_int_equal(s.usage_lease_ms, 3000);
		} else {
			assert_non_null(strstr(problems.p, cases[i].problem));
		}
		settings_finish(&s);
		bbuf_finish(&problems);
		g_free(text);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_addresses),
	    cmocka_unit_test(test_durations),
	    cmocka_unit_test(test_null_value),
	    cmocka_unit_test(test_template),
	    cmocka_unit_test(test_usage),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
