#include "move/intent_plan.h"

#include <stdarg.h>
#include <stdio.h>

#define PERMILLE 1000
#define MS_PER_S 1000
/* Utilisation in permille above which a plan shows a risk. */
#define HIGH_UTILISATION 800
/* A version with fewer usable upstreams is shown as a risk. */
#define FEW_UPSTREAMS 2
/* A plan shows a risk when the slack is below a fifth of the needed time. */
#define SLACK_DIVISOR 5
/* Expected time until an accepted change is in effect on all VMs. */
#define PROPAGATION_MS 3000

/* Zones and service as they are after an intent. */
struct planned_state {
	const struct cfg_zones *zones;
	const struct cfg_service *service;
};

static const char *const risk_texts[] = {"one zone left",
    "utilisation above 80% afterwards", "the version has too few upstreams",
    "little time until the due time", "the store does not respond",
    "load unknown"};

const char *
plan_risk_text(enum plan_risk risk)
{
	for (size_t i = 0; i < G_N_ELEMENTS(risk_texts); i++) {
		if (risk == 1u << i)
			return (risk_texts[i]);
	}
	return ("");
}

static bool is_zone_intent(const struct intent_object *i);

/*
 * All zone intents lock the same subject: two plans that each drain one of the
 * last two zones are possible alone, but not together.
 */
char *
plan_subject(const struct intent_object *i)
{
	if (is_zone_intent(i))
		return (g_strdup("zones"));
	return (g_strdup_printf("service/%s", i->service));
}

char *
plan_key(const struct intent_object *i)
{
	if (is_zone_intent(i))
		return (g_strdup("config/zones"));
	return (g_strdup_printf("config/service/%s", i->service));
}

static bool
is_zone_intent(const struct intent_object *i)
{
	return (i->kind == INTENT_DRAIN_ZONE || i->kind == INTENT_RETURN_ZONE);
}

static bool refuse(struct intent_plan *p, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Sets the refusal of a plan; always returns false. */
static bool
refuse(struct intent_plan *p, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(p->refusal, sizeof(p->refusal), fmt, ap);
	va_end(ap);
	return (false);
}

static bool
zone_is_out(const struct cfg_zones *zones, const char *name)
{
	const struct cfg_zone *z = cfg_zone_find(zones, name);

	return (z != NULL && z->out);
}

static bool
is_usable(const struct cfg_upstream *u, const struct cfg_zones *zones,
    const struct plan_view *view)
{
	return (!u->out && !zone_is_out(zones, u->zone) &&
	    (view->is_ready == NULL || view->is_ready(view->arg, u->id)));
}

/* Number of slots of the usable upstreams of a version. */
static int64_t
capacity(const struct cfg_service *s, const char *version,
    const struct cfg_zones *zones, const struct plan_view *view)
{
	int64_t n = 0;

	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		const struct cfg_upstream *u = &s->upstreams[i];

		if (strcmp(u->version, version) == 0 &&
		    is_usable(u, zones, view))
			n += s->slots;
	}
	return (n);
}

/*
 * Share in permille that a version must be able to serve. While a move runs,
 * each of its two versions may end up with all the traffic.
 */
static uint32_t
needed_share(const struct cfg_service *s, const struct cfg_version *v)
{
	if (s->has_move && s->move.state == CFG_MOVE_RUNNING &&
	    (strcmp(v->name, s->move.to) == 0 ||
		strcmp(v->name, s->move.from) == 0))
		return (PERMILLE);
	return (v->share);
}

/* Number of usable slots of all versions that have a share. */
static int64_t
total_capacity(const struct cfg_service *s, const struct cfg_zones *zones,
    const struct plan_view *view)
{
	int64_t n = 0;

	for (uint32_t i = 0; i < s->n_versions; i++) {
		if (s->versions[i].share > 0)
			n += capacity(s, s->versions[i].name, zones, view);
	}
	return (n);
}

/* Number of zones in which the service has a usable upstream. */
static uint32_t
zones_left(const struct cfg_service *s, const struct cfg_zones *zones,
    const struct plan_view *view)
{
	uint32_t n = 0;

	for (uint32_t z = 0; zones != NULL && z < zones->n_zones; z++) {
		for (uint32_t i = 0; i < s->n_upstreams; i++) {
			if (is_usable(&s->upstreams[i], zones, view) &&
			    strcmp(s->upstreams[i].zone,
				zones->zones[z].name) == 0) {
				n++;
				break;
			}
		}
	}
	return (n);
}

/*
 * Adds the effect on a service; returns false when the remaining capacity is
 * too low.
 */
static bool
add_effect(struct intent_plan *p, const struct intent_object *i,
    const struct cfg_service_entry *e, const struct planned_state *after,
    const struct plan_view *view)
{
	struct plan_service *s = &p->services[p->n_services++];
	bool enough = true;
	int64_t load;

	s->name = e->service->name;
	s->load = view->load == NULL ? -1 : view->load(view->arg, s->name);
	s->before = total_capacity(e->service, view->set->zones, view);
	s->after = i->kind == INTENT_MOVE_VERSION
	    ? capacity(after->service, i->version, after->zones, view)
	    : total_capacity(after->service, after->zones, view);
	load = s->load < 0 ? 0 : s->load;
	for (uint32_t k = 0; k < after->service->n_versions; k++) {
		const struct cfg_version *v = &after->service->versions[k];
		uint32_t share = needed_share(after->service, v);
		int64_t cap =
		    capacity(after->service, v->name, after->zones, view);

		if (share == 0)
			continue;
		enough = enough && cap > 0 && load * share <= cap * PERMILLE;
		if (cap > 0)
			s->utilisation =
			    MAX(s->utilisation, load * share / cap);
	}
	if (s->load < 0)
		p->risks |= PLAN_LOAD_UNKNOWN;
	if (s->utilisation > HIGH_UTILISATION)
		p->risks |= PLAN_HIGH_UTILISATION;
	if (zones_left(after->service, after->zones, view) <= 1)
		p->risks |= PLAN_ONE_ZONE_LEFT;
	/*
	 * An intent that adds capacity is not refused, even when the capacity
	 * is still too low afterwards.
	 */
	if (enough || (s->after >= s->before && i->kind != INTENT_MOVE_VERSION))
		return (true);
	return (refuse(p,
	    "service %.60s: %lld calls in flight, %lld slots afterwards",
	    s->name, (long long)s->load, (long long)s->after));
}

static struct cfg_upstream *
find_upstream(struct cfg_service *s, const char *id)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		if (strcmp(s->upstreams[i].id, id) == 0)
			return (&s->upstreams[i]);
	}
	return (NULL);
}

static void
add_upstream(struct cfg_service *s, const struct cfg_upstream *u)
{
	s->upstreams =
	    g_renew(struct cfg_upstream, s->upstreams, s->n_upstreams + 1);
	s->upstreams[s->n_upstreams++] = cfg_upstream_copy(u);
}

/* Adds a move object; "from" is the other version with the largest share. */
static void
start_move(struct cfg_service *s, const struct intent_object *i)
{
	const char *from = NULL;
	uint32_t most = 0;

	for (uint32_t k = 0; k < s->n_versions; k++) {
		if (strcmp(s->versions[k].name, i->version) != 0 &&
		    s->versions[k].share >= most) {
			most = s->versions[k].share;
			from = s->versions[k].name;
		}
	}
	g_free(s->move.intent);
	g_free(s->move.to);
	g_free(s->move.from);
	g_free(s->move.reason);
	s->has_move = true;
	s->move = (struct cfg_move){.intent = g_strdup(i->id),
	    .to = g_strdup(i->version),
	    .from = g_strdup(from == NULL ? i->version : from),
	    .due_ms = i->due_ms};
	if (cfg_find_version(s, i->version) >= 0)
		return;
	s->versions =
	    g_renew(struct cfg_version, s->versions, s->n_versions + 1);
	s->versions[s->n_versions++] =
	    (struct cfg_version){g_strdup(i->version), 0};
}

/* Applies the intent to a copy of the service. */
static void
apply_to_service(struct cfg_service *s, const struct intent_object *i)
{
	struct cfg_upstream *u;

	for (uint32_t k = 0; k < i->n_upstreams; k++) {
		u = find_upstream(s, i->upstreams[k].id);
		if (u == NULL) {
			add_upstream(s, &i->upstreams[k]);
		} else {
			cfg_upstream_finish(u);
			*u = cfg_upstream_copy(&i->upstreams[k]);
		}
	}
	if (i->kind == INTENT_SET_CAPACITY && i->slots > 0)
		s->slots = i->slots;
	if (i->kind == INTENT_MOVE_VERSION)
		start_move(s, i);
	u = i->upstream == NULL ? NULL : find_upstream(s, i->upstream);
	if (u != NULL)
		u->out = i->kind == INTENT_DRAIN_UPSTREAM;
}

static struct cfg_zones
zones_after(const struct cfg_zones *zones, const struct intent_object *i)
{
	json_t *value = cfg_print_zones(zones);
	struct cfg_zones copy;
	struct bbuf ignored;

	bbuf_init(&ignored);
	cfg_parse_zones(&copy, value, &ignored);
	for (uint32_t k = 0; k < copy.n_zones; k++) {
		if (strcmp(copy.zones[k].name, i->zone) == 0)
			copy.zones[k].out = i->kind == INTENT_DRAIN_ZONE;
	}
	bbuf_finish(&ignored);
	json_decref(value);
	return (copy);
}

json_t *
plan_target(const struct intent_object *i, const struct cfg_set *set)
{
	const struct cfg_service_entry *e;
	struct cfg_service copy;
	struct cfg_zones zones;
	json_t *value;

	if (is_zone_intent(i)) {
		if (set->zones == NULL)
			return (NULL);
		zones = zones_after(set->zones, i);
		value = cfg_print_zones(&zones);
		cfg_zones_finish(&zones);
		return (value);
	}
	e = cfg_set_find(set, i->service);
	if (e == NULL)
		return (NULL);
	cfg_service_copy(&copy, e->service);
	apply_to_service(&copy, i);
	value = cfg_print_service(&copy);
	cfg_service_finish(&copy);
	return (value);
}

/* Adds the version of an object that the plan depends on to the hash. */
static void
add_basis(struct intent_plan *p, uint64_t version)
{
	char text[24];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)version);
	/* Drops one bit, so that the hash fits into a JSON integer. */
	p->basis = bstr_hash(bstr_from(text), p->basis) >> 1;
}

static bool
uses_zone(const struct cfg_service *s, const char *zone)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		if (strcmp(s->upstreams[i].zone, zone) == 0)
			return (true);
	}
	return (false);
}

static bool
plan_zone(struct intent_plan *p, const struct intent_object *i,
    const struct plan_view *view)
{
	const struct cfg_set *set = view->set;
	const struct cfg_zone *z = cfg_zone_find(set->zones, i->zone);
	struct cfg_zones zones;
	bool ok = true;

	if (z == NULL)
		return (refuse(p, "zone %.60s is not known", i->zone));
	if (z->out == (i->kind == INTENT_DRAIN_ZONE))
		return (refuse(p, "zone %.60s is already %s", i->zone,
		    z->out ? "out" : "in"));
	zones = zones_after(set->zones, i);
	for (uint32_t k = 0; ok && k < set->n_services; k++) {
		const struct cfg_service_entry *e = &set->services[k];
		struct planned_state after = {&zones, e->service};

		if (!uses_zone(e->service, i->zone))
			continue;
		add_basis(p, e->version);
		ok = add_effect(p, i, e, &after, view);
	}
	cfg_zones_finish(&zones);
	return (ok);
}

/* Checks a move and fills in its steps, risks and expected end. */
static bool
check_move(struct intent_plan *p, const struct intent_object *i,
    const struct cfg_service *s, const struct cfg_service *after,
    const struct plan_view *view)
{
	const struct cfg_limits *l = &view->set->limits;
	int64_t need_ms = move_min_duration_ms(l);
	int64_t left_ms = i->due_ms - view->wall_ms;
	uint32_t shares[MOVE_MAX_STEPS], upstreams = 0;
	int to = cfg_find_version(s, i->version);

	if (to < 0 && i->n_upstreams == 0)
		return (refuse(p, "version %.60s is not known", i->version));
	if (to >= 0 && s->versions[to].share == PERMILLE)
		return (
		    refuse(p, "version %.60s has all the traffic", i->version));
	for (uint32_t k = 0; k < s->n_versions; k++) {
		if (s->versions[k].share > 0 && (int)k != to &&
		    strcmp(s->versions[k].name, after->move.from) != 0)
			return (
			    refuse(p, "more than two versions have shares"));
	}
	if (left_ms < need_ms)
		return (refuse(p, "due in %lld s, needs at least %lld s",
		    (long long)(left_ms / MS_PER_S),
		    (long long)(need_ms / MS_PER_S)));
	if (left_ms < need_ms + need_ms / SLACK_DIVISOR)
		p->risks |= PLAN_DUE_TIGHT;
	for (uint32_t k = 0; k < after->n_upstreams; k++)
		upstreams +=
		    strcmp(after->upstreams[k].version, i->version) == 0 &&
		    is_usable(&after->upstreams[k], view->set->zones, view);
	if (upstreams < FEW_UPSTREAMS)
		p->risks |= PLAN_FEW_UPSTREAMS;
	p->n_steps = move_steps(l, shares);
	for (uint32_t k = 0; k < p->n_steps; k++)
		p->steps[k] =
		    (struct plan_step){shares[k], (int64_t)k * l->step_min_s};
	p->finish_ms = view->wall_ms + need_ms;
	return (true);
}

static bool
check_upstreams(struct intent_plan *p, const struct intent_object *i,
    struct cfg_service *s, const struct cfg_set *set)
{
	for (uint32_t k = 0; k < i->n_upstreams; k++) {
		const struct cfg_upstream *u = &i->upstreams[k];

		if (i->kind == INTENT_SET_CAPACITY &&
		    find_upstream(s, u->id) == NULL)
			return (
			    refuse(p, "upstream %.60s is not known", u->id));
		if (i->kind == INTENT_MOVE_VERSION &&
		    strcmp(u->version, i->version) != 0)
			return (refuse(p, "upstream %.60s is of version %.60s",
			    u->id, u->version));
		if (cfg_zone_find(set->zones, u->zone) == NULL)
			return (refuse(p, "zone %.60s is not known", u->zone));
	}
	if (i->upstream != NULL && find_upstream(s, i->upstream) == NULL)
		return (refuse(p, "upstream %.60s is not known", i->upstream));
	return (true);
}

static bool
plan_for_service(struct intent_plan *p, const struct intent_object *i,
    const struct plan_view *view)
{
	const struct cfg_service_entry *e = cfg_set_find(view->set, i->service);
	struct cfg_service copy;
	struct planned_state after;
	bool ok;

	if (e == NULL)
		return (refuse(p, "service %.60s is not known", i->service));
	if (e->service->has_move &&
	    e->service->move.state == CFG_MOVE_RUNNING &&
	    strcmp(e->service->move.intent, i->id) != 0)
		return (
		    refuse(p, "service %.60s is in the move of intent %.60s",
			i->service, e->service->move.intent));
	add_basis(p, e->version);
	cfg_service_copy(&copy, e->service);
	ok = check_upstreams(p, i, &copy, view->set);
	if (ok) {
		apply_to_service(&copy, i);
		after = (struct planned_state){view->set->zones, &copy};
		ok = i->kind != INTENT_MOVE_VERSION ||
		    check_move(p, i, e->service, &copy, view);
		ok = ok && add_effect(p, i, e, &after, view);
	}
	cfg_service_finish(&copy);
	return (ok);
}

bool
plan_compute(struct intent_plan *p, const struct intent_object *i,
    const struct plan_view *view)
{
	*p = (struct intent_plan){0};
	p->services = g_new0(struct plan_service, view->set->n_services + 1);
	p->finish_ms = view->wall_ms + PROPAGATION_MS;
	if (!view->store_ok)
		p->risks |= PLAN_STORE_DOWN;
	add_basis(p, view->set->zones_version);
	if (i->due_ms != 0 && i->due_ms <= view->wall_ms)
		return (refuse(p, "the due time has passed"));
	return (is_zone_intent(i) ? plan_zone(p, i, view)
				  : plan_for_service(p, i, view));
}

void
plan_finish(struct intent_plan *p)
{
	g_free(p->services);
	*p = (struct intent_plan){0};
}

json_t *
plan_print(const struct intent_plan *p)
{
	json_t *services = json_array(), *steps = json_array();
	json_t *risks = json_array();

	for (uint32_t i = 0; i < p->n_services; i++) {
		const struct plan_service *s = &p->services[i];
		json_t *o =
		    json_pack("{s:s,s:I,s:I,s:I}", "name", s->name, "before",
			(json_int_t)s->before, "after", (json_int_t)s->after,
			"utilisation_permille", (json_int_t)s->utilisation);

		json_object_set_new(o, "load",
		    s->load < 0 ? json_null() : json_integer(s->load));
		json_array_append_new(services, o);
	}
	for (uint32_t i = 0; i < p->n_steps; i++)
		json_array_append_new(steps,
		    json_pack("{s:i,s:I}", "share", (int)p->steps[i].share,
			"after_s", (json_int_t)p->steps[i].after_s));
	for (size_t i = 0; i < G_N_ELEMENTS(risk_texts); i++) {
		if ((p->risks & 1u << i) != 0)
			json_array_append_new(
			    risks, json_string(risk_texts[i]));
	}
	return (json_pack("{s:o,s:o,s:I,s:o}", "services", services, "steps",
	    steps, "finish_ms", (json_int_t)p->finish_ms, "risks", risks));
}
