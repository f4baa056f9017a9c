#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "lib/golden.h"
#include "slo/burn_report.h"

#define VMS 3
/* 2023-11-14 22:20 UTC */
#define START_MS INT64_C(1700000400000)
/* More than the three days that the counters cover. */
#define SIZE_TEST_MINUTES 4400

/* VMs and the objects that each of them wrote last. */
struct slo_sim {
	struct slo_counters vms[VMS];
	bool alive[VMS];
	json_t *objects[VMS];
	int64_t wall_ms;
	struct cfg_set set;
	FILE *out;
};

static void
tick_minute(struct slo_sim *s)
{
	s->wall_ms += SLO_FINE_MS;
	for (int i = 0; i < VMS; i++) {
		struct slo_out out = {0};

		if (!s->alive[i])
			continue;
		slo_tick(&s->vms[i], s->wall_ms, s->wall_ms, &out);
		if (out.has_write) {
			json_decref(s->objects[i]);
			s->objects[i] = json_incref(out.write.value);
		}
		slo_out_clear(&out);
	}
}

static json_t *
merge(const struct slo_sim *s)
{
	struct burn_report r;
	json_t *report;

	burn_report_init(&r);
	for (int i = 0; i < VMS; i++) {
		if (s->objects[i] != NULL)
			assert_true(burn_report_add(&r, s->objects[i]));
	}
	report = burn_report_build(&r, s->wall_ms);
	burn_report_finish(&r);
	return (report);
}

static void
print(const struct slo_sim *s, const char *format)
{
	json_t *report = merge(s);
	struct bbuf b;
	char *text;

	bbuf_init(&b);
	if (strcmp(format, "text") == 0)
		burn_report_text(report, &b);
	else if (strcmp(format, "html") == 0)
		burn_report_html(report, &b);
	if (b.n != 0) {
		fwrite(b.p, 1, b.n, s->out);
	} else {
		text = json_dumps(report, JSON_INDENT(1) | JSON_SORT_KEYS);
		fprintf(s->out, "%s\n", text);
		free(text);
	}
	bbuf_finish(&b);
	json_decref(report);
}

static void
run_line(struct slo_sim *s, const char *line)
{
	char w[6][64] = {"", "", "", "", "", ""};
	unsigned long long good = 0, failed = 0, slow = 0;
	int vm = 0, minutes = 0;

	if (sscanf(line, "calls %d %63s %63s %63s %63s %63s %llu %llu %llu",
		&vm, w[0], w[1], w[2], w[3], w[4], &good, &failed,
		&slow) == 9) {
		struct slo_calls c = {w[0], w[1], w[2], w[3],
		    w[4][0] == '-' ? NULL : w[4], good, failed, slow};

		slo_on_calls(&s->vms[vm], &c, s->wall_ms);
	} else if (sscanf(line, "move %d %63s %63s %63s %63s %d", &vm, w[0],
		       w[1], w[2], w[3], &minutes) == 6) {
		struct slo_move m = {.intent = w[0],
		    .service = w[1],
		    .version = w[2],
		    .state = w[3],
		    .at_ms = minutes == 0
			? 0
			: START_MS + (int64_t)minutes * SLO_FINE_MS};

		slo_on_move(&s->vms[vm], &m);
	} else if (sscanf(line, "tick %d", &minutes) == 1) {
		for (int i = 0; i < minutes; i++)
			tick_minute(s);
	} else if (sscanf(line, "stop %d", &vm) == 1) {
		s->alive[vm] = false;
	} else if (sscanf(line, "print %63s", w[0]) == 1) {
		print(s, w[0]);
	} else {
		fprintf(s->out, "unknown command\n");
	}
}

static void
run_script(FILE *script, FILE *out)
{
	char a_name[] = "menu", b_name[] = "<quiet>";
	struct cfg_service a = {.name = a_name, .slo_target = 0.99};
	struct cfg_service b = {.name = b_name, .slo_target = 0.999};
	struct cfg_service_entry entries[] = {{&b, 1}, {&a, 1}};
	struct slo_sim s = {.wall_ms = START_MS,
	    .set = {.services = entries, .n_services = 2},
	    .out = out};
	char line[256], name[16];

	for (int i = 0; i < VMS; i++) {
		snprintf(name, sizeof(name), "vm%d@1", i);
		slo_init(&s.vms[i],
		    &(struct slo_desc){.self = vmid_from(bstr_from(name))});
		slo_on_config(&s.vms[i], &s.set);
		s.alive[i] = true;
	}
	while (fgets(line, sizeof(line), script) != NULL) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		run_line(&s, line);
	}
	for (int i = 0; i < VMS; i++) {
		slo_finish(&s.vms[i]);
		json_decref(s.objects[i]);
	}
}

/* Guards against unintended changes of the report and its renderings. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("slo_counters", run_script), 0);
}

/*
 * Guards against an object above the size limit, and against services that are
 * left out without being counted in "omitted".
 */
static void
test_size_limit(void **state)
{
	struct cfg_service *services =
	    g_new0(struct cfg_service, SLO_MAX_SERVICES);
	struct cfg_service_entry *entries =
	    g_new0(struct cfg_service_entry, SLO_MAX_SERVICES);
	struct cfg_set set = {entries, SLO_MAX_SERVICES, NULL, 0, {0}, 0};
	struct slo_out out = {0};
	struct slo_counters s;
	char text[64];

	(void)state;
	slo_init(&s, &(struct slo_desc){.self = vmid_from(BSTR("a@1"))});
	for (int i = 0; i < SLO_MAX_SERVICES; i++) {
		services[i].name = g_strdup_printf("service-%d", i);
		services[i].slo_target = 0.999;
		entries[i].service = &services[i];
	}
	slo_on_config(&s, &set);
	for (int64_t m = 1; m <= SIZE_TEST_MINUTES; m++) {
		slo_tick(&s, 0, START_MS + m * SLO_FINE_MS, &out);
		slo_out_clear(&out);
	}
	for (int i = 0; i < SLO_MAX_SERVICES * SLO_MAX_CAUSES; i++) {
		struct slo_calls c = {services[i % SLO_MAX_SERVICES].name, text,
		    "v", "z", NULL, 100000, 100000, 100000};

		snprintf(text, sizeof(text), "upstream-%d", i);
		slo_on_calls(&s, &c,
		    START_MS + SIZE_TEST_MINUTES * (int64_t)SLO_FINE_MS);
	}
	json_t *o =
	    slo_print(&s, START_MS + SIZE_TEST_MINUTES * (int64_t)SLO_FINE_MS);
	size_t written = json_array_size(json_object_get(o, "services"));
	size_t bytes = json_dumpb(o, NULL, 0, JSON_COMPACT);

	print_message("%zu services in %zu bytes\n", written, bytes);
	assert_true(bytes <= SLO_MAX_OBJECT_BYTES);
	assert_int_equal(json_integer_value(json_object_get(o, "omitted")),
	    SLO_MAX_SERVICES - written);
	json_decref(o);
	for (int i = 0; i < SLO_MAX_SERVICES; i++)
		g_free(services[i].name);
	g_free(services);
	g_free(entries);
	slo_finish(&s);
}

/* Guards against a crash on objects with missing or mistyped fields. */
static void
test_malformed_objects(void **state)
{
	static const char *const objects[] = {"{}", "{\"vm\":1}",
	    "{\"vm\":\"a\",\"services\":5,\"moves\":[1,{}]}",
	    "{\"vm\":\"a\",\"services\":[{\"fine\":[[-1,2],[3],\"x\"],"
	    "\"coarse\":{},\"causes\":[[null,1]],\"target\":\"x\"},null]}"};
	struct burn_report r;
	struct bbuf b;
	json_t *report;

	(void)state;
	burn_report_init(&r);
	bbuf_init(&b);
	for (size_t i = 0; i < G_N_ELEMENTS(objects); i++) {
		json_t *o = json_loads(objects[i], 0, NULL);

		burn_report_add(&r, o);
		json_decref(o);
	}
	report = burn_report_build(&r, START_MS);
	assert_non_null(report);
	burn_report_text(report, &b);
	burn_report_html(report, &b);
	json_decref(report);
	bbuf_finish(&b);
	burn_report_finish(&r);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_size_limit),
	    cmocka_unit_test(test_malformed_objects),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
