#include "config/schema.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

#include "config/json_reader.h"

#define MAX_ARRAY_ITEMS 8192
#define MAX_ZONES 64
#define MAX_MOVE_STEPS 16
#define MAX_TIMEOUT_MS 600000
#define MAX_SLOTS 10000
#define MAX_PORT 65535
#define PERMILLE 1000
#define DEFAULT_ROUTE_TIMEOUT_MS 10000
#define DEFAULT_SLOTS 6
#define DEFAULT_SLO_LATENCY_MS 100
#define PATH_BYTES 64

static const char *const admin_states[] = {"in", "out", NULL};
static const char *const move_states[] = {
    "running", "done", "rolled_back", NULL};

/* Whether two strings are equal; NULL is not equal to anything. */
static bool
str_eq(const char *a, const char *b)
{
	return (a != NULL && b != NULL && strcmp(a, b) == 0);
}

/* Adds @key to @seen and reports a problem if it is already there. */
static void
check_unique(GHashTable *seen, const char *key, const char *path,
    const char *name, struct bbuf *problems)
{
	if (key == NULL || g_hash_table_add(seen, (gpointer)key))
		return;
	bbuf_addf(
	    problems, "%s%s: \"%.60s\": must be unique\n", path, name, key);
}

/* Reports a problem of member @key of the object at @path. */
static void
report_member(const json_t *o, const char *path, const char *key,
    const char *permitted, struct bbuf *problems)
{
	char full[PATH_BYTES + 16];

	snprintf(full, sizeof(full), "%s%s", path, key);
	jread_report(problems, full, json_object_get(o, key), permitted);
}

static void
check_addr(const char *addr, const char *path, struct bbuf *problems)
{
	unsigned part[4], port;
	int used = 0;
	bool ok;

	if (addr == NULL)
		return;
	ok = sscanf(addr, "%3u.%3u.%3u.%3u:%5u%n", &part[0], &part[1], &part[2],
		 &part[3], &port, &used) == 5 &&
	    addr[used] == '\0' && port >= 1 && port <= MAX_PORT &&
	    strspn(addr, "0123456789.:") == strlen(addr);
	for (int i = 0; ok && i < 4; i++)
		ok = part[i] <= 255;
	if (!ok)
		bbuf_addf(problems,
		    "%saddr: \"%.60s\": must be IPv4 address:port, port 1 to "
		    "65535\n",
		    path, addr);
}

static void
parse_hosts(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	const json_t *a = jread_array(o, "hosts", 1, MAX_ARRAY_ITEMS, problems);
	GHashTable *seen;
	char path[PATH_BYTES];
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	s->hosts = g_new0(char *, json_array_size(a));
	json_array_foreach(a, i, e)
	{
		snprintf(path, sizeof(path), "hosts[%zu]", i);
		if (!json_is_string(e) || json_string_length(e) == 0 ||
		    json_string_length(e) > JREAD_STRING_MAX_BYTES) {
			jread_report(problems, path, e,
			    "must be a string of 1 to 255 bytes");
			continue;
		}
		s->hosts[s->n_hosts] = g_strdup(json_string_value(e));
		check_unique(seen, s->hosts[s->n_hosts++], path, "", problems);
	}
	g_hash_table_destroy(seen);
}

static void
parse_routes(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	static const char *const known[] = {
	    "prefix", "idempotent", "timeout_ms", NULL};
	const json_t *a =
	    jread_array(o, "routes", 1, MAX_ARRAY_ITEMS, problems);
	GHashTable *seen;
	char path[PATH_BYTES];
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	s->routes = g_new0(struct cfg_route, json_array_size(a));
	json_array_foreach(a, i, e)
	{
		struct cfg_route *r = &s->routes[s->n_routes++];
		const json_t *idem = json_object_get(e, "idempotent");

		snprintf(path, sizeof(path), "routes[%zu].", i);
		jread_check_members(e, known, path, problems);
		r->prefix = jread_string(e, "prefix", path, problems);
		if (r->prefix != NULL && r->prefix[0] != '/')
			report_member(
			    e, path, "prefix", "must start with /", problems);
		check_unique(seen, r->prefix, path, "prefix", problems);
		r->idempotent = json_is_true(idem);
		if (!json_is_boolean(idem))
			report_member(e, path, "idempotent",
			    "must be true or false", problems);
		r->timeout_ms = jread_u32(e, "timeout_ms", 1, MAX_TIMEOUT_MS,
		    DEFAULT_ROUTE_TIMEOUT_MS, path, problems);
	}
	g_hash_table_destroy(seen);
}

static void
parse_versions(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	static const char *const known[] = {"name", "share", NULL};
	const json_t *a =
	    jread_array(o, "versions", 1, MAX_ARRAY_ITEMS, problems);
	GHashTable *seen;
	uint32_t sum = 0;
	char path[PATH_BYTES];
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	seen = g_hash_table_new(g_str_hash, g_str_equal);
	s->versions = g_new0(struct cfg_version, json_array_size(a));
	json_array_foreach(a, i, e)
	{
		struct cfg_version *v = &s->versions[s->n_versions++];

		snprintf(path, sizeof(path), "versions[%zu].", i);
		jread_check_members(e, known, path, problems);
		v->name = jread_string(e, "name", path, problems);
		check_unique(seen, v->name, path, "name", problems);
		v->share =
		    jread_u32(e, "share", 0, PERMILLE, 0, path, problems);
		sum += v->share;
	}
	if (sum != PERMILLE)
		jread_report(
		    problems, "versions", a, "shares must add up to 1000");
	g_hash_table_destroy(seen);
}

int
cfg_find_version(const struct cfg_service *s, const char *name)
{
	for (uint32_t i = 0; i < s->n_versions; i++) {
		if (str_eq(s->versions[i].name, name))
			return ((int)i);
	}
	return (-1);
}

void
cfg_parse_upstream(struct cfg_upstream *u, const json_t *value,
    const char *path, struct bbuf *problems)
{
	static const char *const known[] = {
	    "id", "addr", "zone", "version", "state", NULL};

	jread_check_members(value, known, path, problems);
	u->id = jread_string(value, "id", path, problems);
	u->addr = jread_string(value, "addr", path, problems);
	check_addr(u->addr, path, problems);
	u->zone = jread_string(value, "zone", path, problems);
	u->version = jread_string(value, "version", path, problems);
	u->out =
	    jread_enum(value, "state", admin_states, 0, path, problems) == 1;
}

static void
parse_upstreams(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	const json_t *a =
	    jread_array(o, "upstreams", 1, MAX_ARRAY_ITEMS, problems);
	GHashTable *ids, *addrs;
	char path[PATH_BYTES];
	size_t i;
	json_t *e;

	if (a == NULL)
		return;
	ids = g_hash_table_new(g_str_hash, g_str_equal);
	addrs = g_hash_table_new(g_str_hash, g_str_equal);
	s->upstreams = g_new0(struct cfg_upstream, json_array_size(a));
	json_array_foreach(a, i, e)
	{
		struct cfg_upstream *u = &s->upstreams[s->n_upstreams++];

		snprintf(path, sizeof(path), "upstreams[%zu].", i);
		cfg_parse_upstream(u, e, path, problems);
		check_unique(ids, u->id, path, "id", problems);
		check_unique(addrs, u->addr, path, "addr", problems);
		if (u->version != NULL && cfg_find_version(s, u->version) < 0)
			report_member(e, path, "version",
			    "must name a version of the service", problems);
	}
	g_hash_table_destroy(ids);
	g_hash_table_destroy(addrs);
}

static void
parse_move(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	static const char *const known[] = {
	    "intent", "to", "from", "due_ms", "step", "state", "reason", NULL};
	const json_t *m = json_object_get(o, "move");
	struct cfg_move *v = &s->move;

	if (m == NULL || json_is_null(m))
		return;
	s->has_move = true;
	jread_check_members(m, known, "move.", problems);
	v->intent = jread_string(m, "intent", "move.", problems);
	v->to = jread_string(m, "to", "move.", problems);
	v->from = jread_string(m, "from", "move.", problems);
	v->due_ms = jread_i64(m, "due_ms", 1, INT64_MAX, 0, "move.", problems);
	if (v->due_ms == 0)
		jread_report(problems, "move.due_ms",
		    json_object_get(m, "due_ms"), "must be Unix milliseconds");
	v->step = jread_u32(m, "step", 0, MAX_MOVE_STEPS, 0, "move.", problems);
	v->state = (enum cfg_move_state)jread_enum(
	    m, "state", move_states, 0, "move.", problems);
	v->reason = jread_optional_string(m, "reason", "move.", problems);
	if (v->to != NULL && cfg_find_version(s, v->to) < 0)
		jread_report(problems, "move.to", json_object_get(m, "to"),
		    "must name a version of the service");
	if (v->from != NULL && cfg_find_version(s, v->from) < 0)
		jread_report(problems, "move.from", json_object_get(m, "from"),
		    "must name a version of the service");
	if (str_eq(v->to, v->from))
		jread_report(problems, "move.to", json_object_get(m, "to"),
		    "must differ from move.from");
}

static void
parse_slo(struct cfg_service *s, const json_t *o, struct bbuf *problems)
{
	static const char *const known[] = {"target", "latency_ms", NULL};
	const json_t *slo = json_object_get(o, "slo");
	const json_t *target = json_object_get(slo, "target");

	s->slo_target = 0.999;
	s->slo_latency_ms = DEFAULT_SLO_LATENCY_MS;
	if (slo == NULL)
		return;
	jread_check_members(slo, known, "slo.", problems);
	if (json_number_value(target) > 0 && json_number_value(target) < 1)
		s->slo_target = json_number_value(target);
	else
		jread_report(problems, "slo.target", target,
		    "must be a number above 0 and below 1");
	s->slo_latency_ms = jread_u32(slo, "latency_ms", 1, MAX_TIMEOUT_MS,
	    DEFAULT_SLO_LATENCY_MS, "slo.", problems);
}

bool
cfg_parse_service(
    struct cfg_service *s, const json_t *value, struct bbuf *problems)
{
	static const char *const known[] = {"name", "hosts", "routes", "slots",
	    "slo", "versions", "upstreams", "move", "change", NULL};
	size_t before = problems->n;

	*s = (struct cfg_service){0};
	if (!json_is_object(value)) {
		jread_report(problems, "service", value, "must be an object");
		return (false);
	}
	jread_check_members(value, known, "", problems);
	s->name = jread_string(value, "name", "", problems);
	s->change = jread_optional_string(value, "change", "", problems);
	parse_hosts(s, value, problems);
	parse_routes(s, value, problems);
	s->slots = jread_u32(
	    value, "slots", 1, MAX_SLOTS, DEFAULT_SLOTS, "", problems);
	parse_slo(s, value, problems);
	parse_versions(s, value, problems);
	parse_upstreams(s, value, problems);
	parse_move(s, value, problems);
	return (problems->n == before);
}

void
cfg_upstream_finish(struct cfg_upstream *u)
{
	g_free(u->id);
	g_free(u->addr);
	g_free(u->zone);
	g_free(u->version);
}

void
cfg_service_finish(struct cfg_service *s)
{
	g_free(s->name);
	g_free(s->change);
	for (uint32_t i = 0; i < s->n_hosts; i++)
		g_free(s->hosts[i]);
	for (uint32_t i = 0; i < s->n_routes; i++)
		g_free(s->routes[i].prefix);
	for (uint32_t i = 0; i < s->n_versions; i++)
		g_free(s->versions[i].name);
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		cfg_upstream_finish(&s->upstreams[i]);
	g_free(s->hosts);
	g_free(s->routes);
	g_free(s->versions);
	g_free(s->upstreams);
	g_free(s->move.intent);
	g_free(s->move.to);
	g_free(s->move.from);
	g_free(s->move.reason);
	*s = (struct cfg_service){0};
}

bool
cfg_parse_zones(struct cfg_zones *z, const json_t *value, struct bbuf *problems)
{
	static const char *const known[] = {"zones", "change", NULL};
	static const char *const known_zone[] = {"name", "state", NULL};
	size_t before = problems->n, i;
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	const json_t *a;
	char path[PATH_BYTES];
	json_t *e;

	*z = (struct cfg_zones){0};
	jread_check_members(value, known, "", problems);
	z->change = jread_optional_string(value, "change", "", problems);
	a = jread_array(value, "zones", 1, MAX_ZONES, problems);
	z->zones = g_new0(struct cfg_zone, json_array_size(a) + 1);
	json_array_foreach(a, i, e)
	{
		struct cfg_zone *o = &z->zones[z->n_zones++];

		snprintf(path, sizeof(path), "zones[%zu].", i);
		jread_check_members(e, known_zone, path, problems);
		o->name = jread_string(e, "name", path, problems);
		check_unique(seen, o->name, path, "name", problems);
		o->out = jread_enum(
			     e, "state", admin_states, -1, path, problems) == 1;
	}
	g_hash_table_destroy(seen);
	return (problems->n == before);
}

void
cfg_zones_finish(struct cfg_zones *z)
{
	for (uint32_t i = 0; i < z->n_zones; i++)
		g_free(z->zones[i].name);
	g_free(z->zones);
	g_free(z->change);
	*z = (struct cfg_zones){0};
}

const struct cfg_zone *
cfg_zone_find(const struct cfg_zones *z, const char *name)
{
	for (uint32_t i = 0; z != NULL && i < z->n_zones; i++) {
		if (str_eq(z->zones[i].name, name))
			return (&z->zones[i]);
	}
	return (NULL);
}

/* Schema of one member of the limits object. */
struct limit {
	const char *name;
	size_t offset;
	uint32_t min, max, def;
};

static const struct limit limits[] = {
    {"probe_per_s", offsetof(struct cfg_limits, probe_per_s), 1, 100, 2},
    {"retry_permille", offsetof(struct cfg_limits, retry_permille), 0, 1000,
	100},
    {"cold_ramp_s", offsetof(struct cfg_limits, cold_ramp_s), 1, 3600, 30},
    {"max_step_permille", offsetof(struct cfg_limits, max_step_permille), 100,
	1000, 500},
    {"step_min_s", offsetof(struct cfg_limits, step_min_s), 1, 86400, 30},
    {"step_min_calls", offsetof(struct cfg_limits, step_min_calls), 1, 1000000,
	200},
    {"route_min_calls", offsetof(struct cfg_limits, route_min_calls), 1,
	1000000, 30},
    {"observe_s", offsetof(struct cfg_limits, observe_s), 1, 86400, 120},
    {"margin_s", offsetof(struct cfg_limits, margin_s), 4, 3600, 10},
    {"intent_expiry_s", offsetof(struct cfg_limits, intent_expiry_s), 10, 86400,
	900},
};

static uint32_t *
limit_field(const struct cfg_limits *l, const struct limit *limit)
{
	return ((uint32_t *)(void *)((char *)l + limit->offset));
}

struct cfg_limits
cfg_limits_default(void)
{
	struct cfg_limits l = {0};

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++)
		*limit_field(&l, &limits[i]) = limits[i].def;
	return (l);
}

bool
cfg_parse_limits(
    struct cfg_limits *l, const json_t *value, struct bbuf *problems)
{
	const char *known[G_N_ELEMENTS(limits) + 2] = {"change"};
	size_t before = problems->n;

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++) {
		const struct limit *limit = &limits[i];

		known[i + 1] = limit->name;
		*limit_field(l, limit) = jread_u32(value, limit->name,
		    limit->min, limit->max, limit->def, "", problems);
	}
	jread_check_members(value, known, "", problems);
	return (problems->n == before);
}

const struct cfg_service_entry *
cfg_set_find(const struct cfg_set *set, const char *name)
{
	for (uint32_t i = 0; i < set->n_services; i++) {
		if (str_eq(set->services[i].service->name, name))
			return (&set->services[i]);
	}
	return (NULL);
}

bool
cfg_zone_is_out(const struct cfg_set *set, const char *zone)
{
	const struct cfg_zone *z = cfg_zone_find(set->zones, zone);

	return (z != NULL && z->out);
}

/* Reports hosts and upstream ids of @s that @other uses as well. */
static void
check_conflicts(const struct cfg_service *s, const struct cfg_service *other,
    struct bbuf *problems)
{
	for (uint32_t i = 0; i < s->n_hosts; i++) {
		for (uint32_t k = 0; k < other->n_hosts; k++) {
			if (str_eq(s->hosts[i], other->hosts[k]))
				bbuf_addf(problems,
				    "hosts[%u]: \"%.60s\": is a host of "
				    "service %.60s\n",
				    i, s->hosts[i], other->name);
		}
	}
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		for (uint32_t k = 0; k < other->n_upstreams; k++) {
			if (str_eq(s->upstreams[i].id, other->upstreams[k].id))
				bbuf_addf(problems,
				    "upstreams[%u].id: \"%.60s\": is an "
				    "upstream of service %.60s\n",
				    i, s->upstreams[i].id, other->name);
		}
	}
}

bool
cfg_check_refs(const struct cfg_service *s, const struct cfg_set *set,
    struct bbuf *problems)
{
	size_t before = problems->n;

	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		const struct cfg_upstream *u = &s->upstreams[i];

		if (set->zones != NULL &&
		    cfg_zone_find(set->zones, u->zone) == NULL)
			bbuf_addf(problems,
			    "upstreams[%u].zone: \"%.60s\": must name a zone "
			    "of config/zones\n",
			    i, u->zone);
	}
	for (uint32_t i = 0; i < set->n_services; i++) {
		if (!str_eq(set->services[i].service->name, s->name))
			check_conflicts(s, set->services[i].service, problems);
	}
	return (problems->n == before);
}

json_t *
cfg_print_limits(const struct cfg_limits *l)
{
	json_t *o = json_object();

	for (size_t i = 0; i < G_N_ELEMENTS(limits); i++)
		json_object_set_new(o, limits[i].name,
		    json_integer(*limit_field(l, &limits[i])));
	return (o);
}

json_t *
cfg_print_zones(const struct cfg_zones *z)
{
	json_t *o = json_object(), *a = json_array();

	for (uint32_t i = 0; i < z->n_zones; i++)
		json_array_append_new(a,
		    json_pack("{s:s,s:s}", "name", z->zones[i].name, "state",
			admin_states[z->zones[i].out ? 1 : 0]));
	json_object_set_new(o, "zones", a);
	if (z->change != NULL)
		json_object_set_new(o, "change", json_string(z->change));
	return (o);
}

json_t *
cfg_print_upstream(const struct cfg_upstream *u)
{
	return (json_pack("{s:s,s:s,s:s,s:s,s:s}", "id", u->id, "addr", u->addr,
	    "zone", u->zone, "version", u->version, "state",
	    admin_states[u->out ? 1 : 0]));
}

static json_t *
print_move(const struct cfg_move *m)
{
	json_t *o = json_pack("{s:s,s:s,s:s,s:I,s:i,s:s}", "intent", m->intent,
	    "to", m->to, "from", m->from, "due_ms", (json_int_t)m->due_ms,
	    "step", (int)m->step, "state", move_states[m->state]);

	if (m->reason != NULL)
		json_object_set_new(o, "reason", json_string(m->reason));
	return (o);
}

json_t *
cfg_print_service(const struct cfg_service *s)
{
	json_t *hosts = json_array(), *routes = json_array();
	json_t *versions = json_array(), *upstreams = json_array(), *o;

	for (uint32_t i = 0; i < s->n_hosts; i++)
		json_array_append_new(hosts, json_string(s->hosts[i]));
	for (uint32_t i = 0; i < s->n_routes; i++)
		json_array_append_new(routes,
		    json_pack("{s:s,s:b,s:i}", "prefix", s->routes[i].prefix,
			"idempotent", (int)s->routes[i].idempotent,
			"timeout_ms", (int)s->routes[i].timeout_ms));
	for (uint32_t i = 0; i < s->n_versions; i++)
		json_array_append_new(versions,
		    json_pack("{s:s,s:i}", "name", s->versions[i].name, "share",
			(int)s->versions[i].share));
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		json_array_append_new(
		    upstreams, cfg_print_upstream(&s->upstreams[i]));
	o = json_pack("{s:s,s:o,s:o,s:i,s:{s:f,s:i},s:o,s:o}", "name", s->name,
	    "hosts", hosts, "routes", routes, "slots", (int)s->slots, "slo",
	    "target", s->slo_target, "latency_ms", (int)s->slo_latency_ms,
	    "versions", versions, "upstreams", upstreams);
	if (s->has_move)
		json_object_set_new(o, "move", print_move(&s->move));
	if (s->change != NULL)
		json_object_set_new(o, "change", json_string(s->change));
	return (o);
}

struct cfg_upstream
cfg_upstream_copy(const struct cfg_upstream *u)
{
	return ((struct cfg_upstream){.id = g_strdup(u->id),
	    .addr = g_strdup(u->addr),
	    .zone = g_strdup(u->zone),
	    .version = g_strdup(u->version),
	    .out = u->out});
}

void
cfg_service_copy(struct cfg_service *to, const struct cfg_service *from)
{
	json_t *value = cfg_print_service(from);
	struct bbuf problems;

	bbuf_init(&problems);
	cfg_parse_service(to, value, &problems);
	bbuf_finish(&problems);
	json_decref(value);
}
