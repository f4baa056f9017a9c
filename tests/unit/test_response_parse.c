/*
 * Tests that one entry of the store that cannot be parsed does not hide the
 * others. VMs that read such a list never became ready, or followed no change
 * any more.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>
#include <string.h>

#include "base/random.h"
#include "platform/object_decode.h"
#include "platform/response_parse.h"

#define DEEP 5000
#define N_MUTATIONS 20000
#define SPEC(field)                                                            \
	"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"a\","       \
	"\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","                  \
	"\"warmupLeft\":\"0ms\"" field "}"

static const char good[] =
    "{\"metadata\":{\"name\":\"good\",\"revision\":4},\"spec\":" SPEC("") "}";

/** struct bad_spec - contents that a parser or the decoder rejects */
struct bad_spec {
	const char *what;
	const char *text;
};

static const struct bad_spec bad_specs[] = {
    {"zero byte in a string", SPEC(",\"x\":\"a\\u0000b\"")},
    {"lone surrogate", SPEC(",\"x\":\"\\ud800\"")},
    {"not UTF-8", SPEC(",\"x\":\"\xff\xfe\"")},
    {"integer too large", SPEC(",\"x\":123456789012345678901234567890")},
    {"real too large", SPEC(",\"x\":1e999999")},
    {"brackets in a string", SPEC(",\"x\":\"]}\\\"]\",\"y\":1e999")},
    {"port out of range",
	"{\"service\":\"s\",\"address\":\"10.0.0.1:99999\","
	"\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,"
	"\"state\":\"ready\",\"warmupLeft\":\"0ms\"}"},
    {"wrong types", "[1,2,{}]"},
    {"null", "null"},
};

/*
 * Parses a response; returns the readable entries as the member "entries" of
 * its other fields, NULL if it is rejected.
 */
static json_t *
parse(struct bstr bytes)
{
	json_t *entries, *fields;
	struct respparse r;

	if (!respparse_init(&r, bytes))
		return (NULL);
	entries = json_array();
	for (uint32_t i = 0; i < respparse_n(&r); i++) {
		json_t *entry = respparse_entry(&r, i);

		if (entry != NULL)
			json_array_append_new(entries, entry);
	}
	fields = json_incref(r.fields);
	json_object_set_new(fields, "entries", entries);
	respparse_finish(&r);
	return (fields);
}

static json_t *
parse_list(const char *format, const char *spec)
{
	char *text = g_strdup_printf(format, good, spec, good);
	json_t *response = parse(bstr_from(text));

	g_free(text);
	return (response);
}

static void
check_object(json_t *o, const char *name, bool valid)
{
	struct obj_upstream u;
	const char *why;

	assert_string_equal(decode_name(o), name);
	assert_int_equal(decode_upstream(o, &u, &why), valid);
	if (valid)
		obj_upstream_finish(&u);
	else
		assert_non_null(why);
}

static void
check_list(const char *spec)
{
	json_t *r =
	    parse_list("{\"items\":[%s,{\"metadata\":{\"name\":\"bad\"},"
		       "\"spec\":%s},%s],\"hasMore\":false,"
		       "\"storeRevision\":9}",
		spec);
	json_t *items = json_object_get(r, "entries");

	assert_non_null(r);
	assert_int_equal(
	    json_integer_value(json_object_get(r, "storeRevision")), 9);
	assert_int_equal(json_array_size(items), 3);
	check_object(json_array_get(items, 0), "good", true);
	check_object(json_array_get(items, 1), "bad", false);
	check_object(json_array_get(items, 2), "good", true);
	json_decref(r);
}

static void
check_events(const char *spec)
{
	json_t *r = parse_list(
	    "{\"events\":[{\"object\":%s,\"removed\":true},{\"object\":"
	    "{\"spec\":%s,\"metadata\":{\"name\":\"bad\"}},\"removed\":false},"
	    "{\"object\":%s,\"removed\":false}],\"storeRevision\":9}",
	    spec);
	json_t *events = json_object_get(r, "entries");

	assert_non_null(r);
	assert_int_equal(json_array_size(events), 3);
	assert_true(json_is_true(
	    json_object_get(json_array_get(events, 0), "removed")));
	check_object(
	    json_object_get(json_array_get(events, 1), "object"), "bad", false);
	check_object(
	    json_object_get(json_array_get(events, 2), "object"), "good", true);
	json_decref(r);
}

static void
test_one_bad_entry(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(bad_specs) / sizeof(*bad_specs); i++) {
		print_message("%s\n", bad_specs[i].what);
		check_list(bad_specs[i].text);
		check_events(bad_specs[i].text);
	}
}

static void
test_deep_entry(void **state)
{
	char *deep = g_malloc(2 * DEEP + 1);

	(void)state;
	memset(deep, '[', DEEP);
	memset(deep + DEEP, ']', DEEP);
	deep[2 * DEEP] = '\0';
	check_list(deep);
	check_events(deep);
	g_free(deep);
}

/* An entry whose name cannot be read names nothing. */
static void
test_no_name(void **state)
{
	json_t *r = parse_list("{\"items\":[%s,{\"metadata\":{\"name\":"
			       "\"\\u0000\"},\"spec\":%s},%s]}",
	    "1e999");

	(void)state;
	assert_non_null(r);
	assert_int_equal(json_array_size(json_object_get(r, "entries")), 2);
	json_decref(r);
}

/** struct last_name - items of a page and the name of the last one */
struct last_name {
	const char *items;
	struct bstr name;
};

/*
 * Guards against a list that ends early because the last entry of a page cannot
 * be read: the entries of all further pages were missing.
 */
static void
test_last_name(void **state)
{
	static const struct last_name cases[] = {
	    {"", BSTR("good")},
	    {",{\"metadata\":{\"name\":\"z y\"},\"spec\":1e999}", BSTR("z y")},
	    {",{\"spec\":[1e999],\"metadata\":{\"name\":\"z\\u0000\"}}",
		BSTR("z\0")},
	    {",{\"metadata\":{\"name\":\"z\\\"\\u00e4\"},\"spec\":{}}",
		BSTR("z\"\xc3\xa4")},
	    {",{\"metadata\":{\"name\":\"z\xff\"},\"spec\":{}}", BSTR("z\xff")},
	    {",{\"metadata\":{\"name\":\"\\ud800\"},\"spec\":{}}",
		BSTR("good")},
	    {",{\"metadata\":{\"name\":7},\"spec\":{}}", BSTR("good")},
	    {",{\"metadata\":{\"name\":\"\"}}", BSTR("good")},
	    {",7", BSTR("good")},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		char *text =
		    g_strdup_printf("{\"hasMore\":true, \"items\" : [%s%s ] }",
			good, cases[i].items);
		struct bbuf name;

		bbuf_init(&name);
		assert_true(respparse_last_name(bstr_from(text), &name));
		assert_true(
		    bstr_eq((struct bstr){name.p, name.n}, cases[i].name));
		bbuf_finish(&name);
		g_free(text);
	}
}

/* A page without any readable name has no last name. */
static void
test_no_last_name(void **state)
{
	static const char *const texts[] = {"", "{}", "{\"items\":7}",
	    "{\"items\":[]}", "{\"items\":[{\"metadata\":{}},7]}",
	    "{\"items\":[{\"metadata\":{\"name\":\"\\ud800\"}}]}",
	    "{\"items\":[{\"metadata\":{\"name\":\"x"};
	struct bbuf name;

	(void)state;
	bbuf_init(&name);
	for (size_t i = 0; i < sizeof(texts) / sizeof(*texts); i++)
		assert_false(respparse_last_name(bstr_from(texts[i]), &name));
	bbuf_finish(&name);
}

static void
test_not_a_response(void **state)
{
	static const char *const texts[] = {"", "x", "{", "{\"items\":[",
	    "{\"items\":[{}", "{\"items\":[1e999]", "[1]",
	    "{\"storeRevision\":1e999,\"items\":[]}"};

	(void)state;
	for (size_t i = 0; i < sizeof(texts) / sizeof(*texts); i++)
		assert_null(parse(bstr_from(texts[i])));
}

/* Random changes of a response neither crash nor read out of bounds. */
static void
test_random_bytes(void **state)
{
	struct random rng;

	(void)state;
	rng_init(&rng, 7);
	for (int i = 0; i < N_MUTATIONS; i++) {
		char *text = g_strdup_printf(
		    "{\"events\":[{\"object\":%s,\"removed\":true}],"
		    "\"storeRevision\":1e999}",
		    good);
		size_t n = strlen(text);

		for (int k = 0; k < 3; k++)
			text[rng_below(&rng, (uint32_t)n)] =
			    "{}[]\",:\\x\xff"[rng_below(&rng, 10)];
		json_decref(parse(
		    (struct bstr){text, rng_below(&rng, (uint32_t)n + 1)}));
		g_free(text);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_one_bad_entry),
	    cmocka_unit_test(test_deep_entry),
	    cmocka_unit_test(test_no_name),
	    cmocka_unit_test(test_last_name),
	    cmocka_unit_test(test_no_last_name),
	    cmocka_unit_test(test_not_a_response),
	    cmocka_unit_test(test_random_bytes),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
