#include "load/load_plan.h"

#include <jansson.h>
#include <stdlib.h>

static const char *const kind_names[LOAD_PLAN_KINDS] = {
    "lookup", "refresh", "pay", "download", "upload"};

/* The values are weight, bytes, body, chunk, pace_us and timeout_ms. */
static const struct load_plan_kind default_kinds[LOAD_PLAN_KINDS] = {
    [LOAD_PLAN_LOOKUP] = {60, 512, 0, 0, 0, 3000},
    [LOAD_PLAN_REFRESH] = {24, 256, 0, 0, 0, 3000},
    [LOAD_PLAN_PAY] = {14, 200, 128, 0, 0, 3000},
    [LOAD_PLAN_DOWNLOAD] = {1, 1048576, 0, 16384, 1000, 30000},
    [LOAD_PLAN_UPLOAD] = {1, 64, 262144, 0, 0, 10000},
};

const char *
load_plan_kind_name(enum load_plan_kind_id kind)
{
	return (kind_names[kind]);
}

static char *
dup_text(const json_t *v)
{
	const char *s = json_string_value(v);

	return (s == NULL ? NULL : bstr_dup(bstr_from(s)));
}

static uint64_t
uint_or_default(const json_t *v, const char *key, uint64_t def)
{
	const json_t *e = json_object_get(v, key);

	return (json_is_integer(e) ? (uint64_t)json_integer_value(e) : def);
}

static void
read_services(struct load_plan *p, const json_t *list)
{
	size_t i;
	json_t *e;

	p->services = calloc(json_array_size(list) + 1, sizeof(*p->services));
	json_array_foreach(list, i, e)
	{
		struct load_plan_service *s = &p->services[p->n_services++];
		const json_t *direct = json_object_get(e, "direct");

		s->host = dup_text(json_object_get(e, "host"));
		s->weight = (uint32_t)uint_or_default(e, "weight", 1);
		s->direct = calloc(json_array_size(direct) + 1, sizeof(char *));
		for (size_t k = 0; k < json_array_size(direct); k++)
			s->direct[s->n_direct++] =
			    dup_text(json_array_get(direct, k));
	}
}

static void
read_entries(struct load_plan *p, const json_t *list)
{
	size_t i;
	json_t *e;

	p->entries = calloc(json_array_size(list) + 1, sizeof(*p->entries));
	json_array_foreach(list, i, e)
	{
		struct load_plan_entry *n = &p->entries[p->n_entries++];

		n->addr = dup_text(json_object_get(e, "addr"));
		n->ops = dup_text(json_object_get(e, "ops"));
	}
}

static void
read_kinds(struct load_plan *p, const json_t *kinds)
{
	for (int k = 0; k < LOAD_PLAN_KINDS; k++) {
		const json_t *e = json_object_get(kinds, kind_names[k]);
		struct load_plan_kind *out = &p->kinds[k];

		*out = default_kinds[k];
		if (kinds == NULL)
			continue;
		out->weight =
		    e == NULL ? 0 : (uint32_t)uint_or_default(e, "weight", 1);
		out->bytes = uint_or_default(e, "bytes", out->bytes);
		out->body = uint_or_default(e, "body", out->body);
		out->chunk = uint_or_default(e, "chunk", out->chunk);
		out->pace_us = uint_or_default(e, "pace_us", out->pace_us);
		out->timeout_ms = (int64_t)uint_or_default(
		    e, "timeout_ms", (uint64_t)out->timeout_ms);
	}
}

static bool
validate(const struct load_plan *p, struct bbuf *problem)
{
	uint32_t weight = 0;

	for (uint32_t i = 0; i < p->n_services; i++) {
		if (p->services[i].host == NULL)
			bbuf_addf(problem, "services[%u].host: missing\n", i);
	}
	for (uint32_t i = 0; i < p->n_entries; i++) {
		if (p->entries[i].addr == NULL)
			bbuf_addf(problem, "entries[%u].addr: missing\n", i);
	}
	for (int k = 0; k < LOAD_PLAN_KINDS; k++) {
		weight += p->kinds[k].weight;
		if (p->kinds[k].bytes == 0)
			bbuf_addf(problem, "kinds.%s.bytes: must be above 0\n",
			    kind_names[k]);
	}
	if (p->n_services == 0)
		bbuf_addf(problem, "services: must not be empty\n");
	if (weight == 0)
		bbuf_addf(
		    problem, "kinds: at least one weight must be above 0\n");
	return (problem->n == 0);
}

bool
load_plan_load(struct load_plan *p, const char *path, struct bbuf *problem)
{
	json_error_t e;
	json_t *v = json_load_file(path, JSON_REJECT_DUPLICATES, &e);

	*p = (struct load_plan){0};
	if (v == NULL) {
		bbuf_addf(problem, "%s: line %d: %s\n", path, e.line, e.text);
		return (false);
	}
	read_services(p, json_object_get(v, "services"));
	read_entries(p, json_object_get(v, "entries"));
	read_kinds(p, json_object_get(v, "kinds"));
	json_decref(v);
	return (validate(p, problem));
}

void
load_plan_finish(struct load_plan *p)
{
	for (uint32_t i = 0; i < p->n_services; i++) {
		for (uint32_t k = 0; k < p->services[i].n_direct; k++)
			free(p->services[i].direct[k]);
		free(p->services[i].direct);
		free(p->services[i].host);
	}
	for (uint32_t i = 0; i < p->n_entries; i++) {
		free(p->entries[i].addr);
		free(p->entries[i].ops);
	}
	free(p->services);
	free(p->entries);
	*p = (struct load_plan){0};
}
