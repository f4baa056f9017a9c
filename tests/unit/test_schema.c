#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "config/intent_schema.h"
#include "config/object_table.h"
#include "lib/golden.h"

/* Parses an object and prints its problems, or the object as JSON. */
static void
check_line(const char *key, const char *json, FILE *out)
{
	json_t *value = json_loads(json, 0, NULL), *printed = NULL;
	struct bbuf problems;
	struct cfg_service s;
	struct cfg_zones z;
	struct cfg_limits l;
	struct intent_object intent;
	char *text;

	bbuf_init(&problems);
	if (strcmp(key, "service") == 0) {
		if (cfg_parse_service(&s, value, &problems))
			printed = cfg_print_service(&s);
		cfg_service_finish(&s);
	} else if (strcmp(key, "zones") == 0) {
		if (cfg_parse_zones(&z, value, &problems))
			printed = cfg_print_zones(&z);
		cfg_zones_finish(&z);
	} else if (strcmp(key, "limits") == 0) {
		if (cfg_parse_limits(&l, value, &problems))
			printed = cfg_print_limits(&l);
	} else {
		if (intent_parse(&intent, value, &problems))
			printed = intent_print(&intent);
		intent_finish(&intent);
	}
	text = json_dumps(printed, JSON_COMPACT | JSON_SORT_KEYS);
	fprintf(out, "%s%s", problems.n == 0 ? "" : problems.p,
	    text == NULL ? "" : text);
	fputs(text == NULL ? "" : "\n", out);
	free(text);
	json_decref(printed);
	json_decref(value);
	bbuf_finish(&problems);
}

static void
run_script(FILE *script, FILE *out)
{
	char line[4096], key[32];
	int used;

	while (fgets(line, sizeof(line), script) != NULL) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		used = 0;
		if (sscanf(line, "%31s %n", key, &used) == 1)
			check_line(key, line + used, out);
	}
}

/* Guards against accepting an invalid object and against unclear reports. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("schema", run_script), 0);
}

/*
 * Guards against a version in the table that decreases when versions arrive out
 * of order or a newer version is invalid.
 */
static void
test_versions_never_decrease(void **state)
{
	json_t *valid = json_loads(
	    "{\"zones\":[{\"name\":\"a\",\"state\":\"in\"}]}", 0, NULL);
	json_t *invalid = json_loads("{\"zones\":1}", 0, NULL);
	struct object_table t;

	(void)state;
	objtab_init(&t);
	assert_int_equal(objtab_apply(&t, "config/zones", 5, valid),
	    OBJTAB_NEWER | OBJTAB_IN_EFFECT);
	assert_int_equal(
	    objtab_apply(&t, "config/zones", 5, invalid), OBJTAB_NOTHING);
	assert_int_equal(
	    objtab_apply(&t, "config/zones", 4, NULL), OBJTAB_NOTHING);
	assert_int_equal(objtab_apply(&t, "config/zones", 9, invalid),
	    OBJTAB_NEWER | OBJTAB_INVALID);
	assert_int_equal(
	    objtab_apply(&t, "config/zones", 7, valid), OBJTAB_IN_EFFECT);
	assert_int_equal(objtab_effective_set(&t)->zones_version, 7);
	assert_int_equal(objtab_find(&t, "config/zones")->version, 9);
	assert_int_equal(objtab_apply(&t, "config/zones", 10, NULL),
	    OBJTAB_NEWER | OBJTAB_IN_EFFECT);
	assert_null(objtab_effective_set(&t)->zones);
	assert_int_equal(t.digest.hash, 0);
	objtab_finish(&t);
	json_decref(valid);
	json_decref(invalid);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_versions_never_decrease),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
