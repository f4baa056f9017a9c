/* Settings file of the daemon: formats of addresses and durations, and null. */
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
	    "\"retry\":{\"ratio\":0.2,\"burst\":null}}",
	    &problems));
	assert_int_equal(s.retry_burst, 0);
	assert_true(s.retry_ratio > 0.19 && s.retry_ratio < 0.21);
	settings_finish(&s);
	bbuf_finish(&problems);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_addresses),
	    cmocka_unit_test(test_durations),
	    cmocka_unit_test(test_null_value),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
