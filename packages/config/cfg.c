#include "config/cfg.h"

#include <stdio.h>
#include <stdlib.h>

#define MAX_LIST 8192
#define MAX_TIMEOUT_MS 600000
#define MAX_SLOTS 10000
#define PERMILLE 1000
#define DEFAULT_TIMEOUT_MS 10000

static void
report(struct bbuf *problems, const char *path, const json_t *v,
    const char *permitted)
{
	char *text = v == NULL ? NULL : json_dumps(v, JSON_ENCODE_ANY);

	bbuf_addf(problems, "%s: %.60s: %s\n", path,
	    text == NULL ? "missing" : text, permitted);
	free(text);
}

static char *
take_string(
    const json_t *o, const char *key, const char *path, struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);
	char full[160];

	if (json_is_string(v) && json_string_length(v) > 0)
		return (bstr_dup((struct bstr){
		    json_string_value(v), json_string_length(v)}));
	snprintf(full, sizeof(full), "%s%s", path, key);
	report(problems, full, v, "must be a non-empty string");
	return (NULL);
}

static uint32_t
take_u32(const json_t *o, const char *key, uint32_t min, uint32_t max,
    uint32_t def, const char *path, struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);
	char full[160], permitted[80];

	if (v == NULL)
		return (def);
	if (json_is_integer(v) && json_integer_value(v) >= min &&
	    json_integer_value(v) <= max)
		return ((uint32_t)json_integer_value(v));
	snprintf(full, sizeof(full), "%s%s", path, key);
	snprintf(permitted, sizeof(permitted),
	    "must be an integer from %u to %u", min, max);
	report(problems, full, v, permitted);
	return (def);
}

static const json_t *
take_array(const json_t *o, const char *key, struct bbuf *problems)
{
	const json_t *v = json_object_get(o, key);

	if (json_is_array(v) && json_array_size(v) > 0 &&
	    json_array_size(v) <= MAX_LIST)
		return (v);
	report(problems, key, v, "must be an array of 1 to 8192 elements");
	return (NULL);
}

static void *
xcalloc(size_t n, size_t size)
{
	void *p = calloc(n, size);

	if (p == NULL)
		abort();
	return (p);
}

static void
parse_hosts(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	const json_t *a = take_array(o, "hosts", problems);
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	s->hosts = xcalloc(json_array_size(a), sizeof(*s->hosts));
	json_array_foreach(a, i, e)
	{
		if (json_is_string(e))
			s->hosts[s->n_hosts++] =
			    bstr_dup(bstr_from(json_string_value(e)));
		else
			report(problems, "hosts", e, "must be a string");
	}
}

static void
parse_routes(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	const json_t *a = take_array(o, "routes", problems);
	char path[64];
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	s->routes = xcalloc(json_array_size(a), sizeof(*s->routes));
	json_array_foreach(a, i, e)
	{
		struct cfg_route *r = &s->routes[s->n_routes++];
		const json_t *idem = json_object_get(e, "idempotent");

		snprintf(path, sizeof(path), "routes[%zu].", i);
		r->prefix = take_string(e, "prefix", path, problems);
		r->idempotent = json_is_true(idem);
		if (!json_is_boolean(idem)) {
			snprintf(
			    path, sizeof(path), "routes[%zu].idempotent", i);
			report(problems, path, idem, "must be true or false");
		}
		snprintf(path, sizeof(path), "routes[%zu].", i);
		r->timeout_ms = take_u32(e, "timeout_ms", 1, MAX_TIMEOUT_MS,
		    DEFAULT_TIMEOUT_MS, path, problems);
	}
}

static void
parse_versions(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	const json_t *a = take_array(o, "versions", problems);
	uint32_t sum = 0;
	char path[64];
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	s->versions = xcalloc(json_array_size(a), sizeof(*s->versions));
	json_array_foreach(a, i, e)
	{
		struct cfg_version *v = &s->versions[s->n_versions++];

		snprintf(path, sizeof(path), "versions[%zu].", i);
		v->name = take_string(e, "name", path, problems);
		v->share = take_u32(e, "share", 0, PERMILLE, 0, path, problems);
		sum += v->share;
	}
	if (sum != PERMILLE)
		report(problems, "versions", a, "shares must add up to 1000");
}

static bool
has_version(const struct cfg_service *s, const char *name)
{
	for (uint32_t i = 0; i < s->n_versions; i++) {
		if (name != NULL && s->versions[i].name != NULL &&
		    strcmp(s->versions[i].name, name) == 0)
			return (true);
	}
	return (false);
}

static void
parse_upstreams(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	const json_t *a = take_array(o, "upstreams", problems);
	char path[64];
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	s->upstreams = xcalloc(json_array_size(a), sizeof(*s->upstreams));
	json_array_foreach(a, i, e)
	{
		struct cfg_upstream *u = &s->upstreams[s->n_upstreams++];
		const char *state =
		    json_string_value(json_object_get(e, "state"));

		snprintf(path, sizeof(path), "upstreams[%zu].", i);
		u->id = take_string(e, "id", path, problems);
		u->addr = take_string(e, "addr", path, problems);
		u->zone = take_string(e, "zone", path, problems);
		u->version = take_string(e, "version", path, problems);
		u->out = state != NULL && strcmp(state, "out") == 0;
		if (u->version != NULL && !has_version(s, u->version))
			report(problems, path, json_object_get(e, "version"),
			    "must name a version of the service");
	}
}

static void
parse_move(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	const json_t *m = json_object_get(o, "move");

	if (m == NULL || json_is_null(m))
		return;
	s->has_move = true;
	s->move.intent = take_string(m, "intent", "move.", problems);
	s->move.to = take_string(m, "to", "move.", problems);
	s->move.from = take_string(m, "from", "move.", problems);
	s->move.due_ms = json_integer_value(json_object_get(m, "due_ms"));
}

bool
cfg_parse_service(
    struct cfg_service *s, const json_t *value, struct bbuf *problems)
{
	size_t before = problems->n;
	const json_t *slo = json_object_get(value, "slo");

	*s = (struct cfg_service){0};
	if (!json_is_object(value)) {
		report(problems, "service", value, "must be an object");
		return (false);
	}
	s->name = take_string(value, "name", "", problems);
	parse_hosts(s, value, problems);
	parse_routes(s, value, problems);
	s->slots = take_u32(value, "slots", 1, MAX_SLOTS, 6, "", problems);
	s->slo_target = json_number_value(json_object_get(slo, "target"));
	s->slo_latency_ms = take_u32(
	    slo, "latency_ms", 1, MAX_TIMEOUT_MS, 100, "slo.", problems);
	parse_versions(s, value, problems);
	parse_upstreams(s, value, problems);
	parse_move(s, value, problems);
	return (problems->n == before);
}

void
cfg_service_finish(struct cfg_service *s)
{
	free(s->name);
	for (uint32_t i = 0; i < s->n_hosts; i++)
		free(s->hosts[i]);
	for (uint32_t i = 0; i < s->n_routes; i++)
		free(s->routes[i].prefix);
	for (uint32_t i = 0; i < s->n_versions; i++)
		free(s->versions[i].name);
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		free(s->upstreams[i].id);
		free(s->upstreams[i].addr);
		free(s->upstreams[i].zone);
		free(s->upstreams[i].version);
	}
	free(s->hosts);
	free(s->routes);
	free(s->versions);
	free(s->upstreams);
	free(s->move.intent);
	free(s->move.to);
	free(s->move.from);
	*s = (struct cfg_service){0};
}
