#include "load/load_report.h"

#include <jansson.h>
#include <stdlib.h>

static const char *const result_names[LOAD_REPORT_RESULT_COUNT] = {"ok",
    "wrong", "partial", "closed", "timeout", "refused", "status", "no_entry",
    "unknown"};

void
load_report_record(struct load_report *r, enum load_plan_kind_id kind,
    enum load_report_result result, int64_t latency_us)
{
	struct load_report_kind *k = &r->kinds[kind];

	k->results[result]++;
	if (result != LOAD_REPORT_OK)
		return;
	k->sum_us += (uint64_t)latency_us;
	if (latency_us < LOAD_REPORT_FINE_US)
		k->fine[latency_us]++;
	else
		hist_add(&k->latency, (uint64_t)latency_us);
}

uint64_t
load_report_quantile(const struct load_report_kind *k, double q)
{
	uint64_t n = k->results[LOAD_REPORT_OK], seen = 0;
	uint64_t rank = (uint64_t)(q * (double)n);
	uint64_t coarse = hist_count(&k->latency);

	if (n == 0)
		return (0);
	for (uint64_t us = 0; us < LOAD_REPORT_FINE_US; us++) {
		seen += k->fine[us];
		if (seen > rank)
			return (us);
	}
	return (
	    hist_quantile(&k->latency, (double)(rank - seen) / (double)coarse));
}

static uint64_t
mean_us(const struct load_report_kind *k)
{
	return (k->results[LOAD_REPORT_OK] == 0
		? 0
		: k->sum_us / k->results[LOAD_REPORT_OK]);
}

uint64_t
load_report_count(const struct load_report_kind *k)
{
	uint64_t n = 0;

	for (int i = 0; i < LOAD_REPORT_RESULT_COUNT; i++)
		n += k->results[i];
	return (n);
}

static void
sum_kinds(const struct load_report *r, struct load_report_kind *all)
{
	memset(all, 0, sizeof(*all));
	for (int k = 0; k < LOAD_PLAN_KINDS; k++) {
		hist_merge(&all->latency, &r->kinds[k].latency);
		all->sum_us += r->kinds[k].sum_us;
		for (int us = 0; us < LOAD_REPORT_FINE_US; us++)
			all->fine[us] += r->kinds[k].fine[us];
		for (int i = 0; i < LOAD_REPORT_RESULT_COUNT; i++)
			all->results[i] += r->kinds[k].results[i];
	}
}

static double
per_second(const struct load_report *r, uint64_t n)
{
	return (
	    r->elapsed_us <= 0 ? 0 : (double)n * 1e6 / (double)r->elapsed_us);
}

static void
print_row(const struct load_report *r, const char *name,
    const struct load_report_kind *k, FILE *out)
{
	fprintf(out, "%-9s %8llu %9.1f %8llu %8llu %8llu", name,
	    (unsigned long long)load_report_count(k),
	    per_second(r, k->results[LOAD_REPORT_OK]),
	    (unsigned long long)load_report_quantile(k, 0.5),
	    (unsigned long long)load_report_quantile(k, 0.99),
	    (unsigned long long)load_report_quantile(k, 0.999));
	for (int i = LOAD_REPORT_WRONG; i < LOAD_REPORT_RESULT_COUNT; i++)
		fprintf(out, " %8llu", (unsigned long long)k->results[i]);
	fputc('\n', out);
}

void
load_report_table(const struct load_report *r, FILE *out)
{
	static struct load_report_kind all;

	sum_kinds(r, &all);
	fprintf(out, "%s (%s)\n", r->label, r->mode);
	fprintf(out, "%-9s %8s %9s %8s %8s %8s", "kind", "calls", "ok/s",
	    "p50_us", "p99_us", "p99.9_us");
	for (int i = LOAD_REPORT_WRONG; i < LOAD_REPORT_RESULT_COUNT; i++)
		fprintf(out, " %8s", result_names[i]);
	fputc('\n', out);
	for (int k = 0; k < LOAD_PLAN_KINDS; k++) {
		if (load_report_count(&r->kinds[k]) != 0)
			print_row(r,
			    load_plan_kind_name((enum load_plan_kind_id)k),
			    &r->kinds[k], out);
	}
	print_row(r, "all", &all, out);
	fprintf(out,
	    "attempts answered not-run %llu, keys never run %llu, "
	    "retries %llu, outcome queries %llu, resent %llu\n",
	    (unsigned long long)r->told_not_run,
	    (unsigned long long)r->keys_not_run, (unsigned long long)r->retries,
	    (unsigned long long)r->asks, (unsigned long long)r->resent);
	for (int i = 0; i < ERR_KIND_COUNT; i++) {
		if (r->refusals[i] != 0)
			fprintf(out, "refused %s: %llu\n",
			    err_answer((enum err_kind)i)->name,
			    (unsigned long long)r->refusals[i]);
	}
}

static json_t *
kind_json(const struct load_report *r, const char *name,
    const struct load_report_kind *k)
{
	json_t *v = json_pack("{s:s,s:s,s:s,s:I,s:f,s:I,s:I,s:I,s:I}", "label",
	    r->label, "mode", r->mode, "kind", name, "count",
	    (json_int_t)load_report_count(k), "ok_per_s",
	    per_second(r, k->results[LOAD_REPORT_OK]), "mean_us",
	    (json_int_t)mean_us(k), "p50_us",
	    (json_int_t)load_report_quantile(k, 0.5), "p99_us",
	    (json_int_t)load_report_quantile(k, 0.99), "p999_us",
	    (json_int_t)load_report_quantile(k, 0.999));

	for (int i = 0; i < LOAD_REPORT_RESULT_COUNT; i++)
		json_object_set_new(v, result_names[i],
		    json_integer((json_int_t)k->results[i]));
	return (v);
}

static void
print_json_line(json_t *v, FILE *out)
{
	char *text = json_dumps(v, JSON_COMPACT | JSON_REAL_PRECISION(6));

	fprintf(out, "%s\n", text);
	free(text);
	json_decref(v);
}

void
load_report_lines(const struct load_report *r, FILE *out)
{
	static struct load_report_kind all;
	json_t *v, *refusals = json_object();

	for (int k = 0; k < LOAD_PLAN_KINDS; k++) {
		if (load_report_count(&r->kinds[k]) != 0)
			print_json_line(
			    kind_json(r,
				load_plan_kind_name((enum load_plan_kind_id)k),
				&r->kinds[k]),
			    out);
	}
	for (int i = 0; i < ERR_KIND_COUNT; i++) {
		if (r->refusals[i] != 0)
			json_object_set_new(refusals,
			    err_answer((enum err_kind)i)->name,
			    json_integer((json_int_t)r->refusals[i]));
	}
	sum_kinds(r, &all);
	v = kind_json(r, "all", &all);
	json_object_set_new(v, "refusals", refusals);
#define PUT(name)                                                              \
	json_object_set_new(v, #name, json_integer((json_int_t)r->name))
	PUT(told_not_run);
	PUT(keys_not_run);
	PUT(retries);
	PUT(asks);
	PUT(resent);
	PUT(elapsed_us);
#undef PUT
	print_json_line(v, out);
}
