#include "config/intent_schema.h"

#include <glib.h>
#include <stdio.h>

#include "config/json_reader.h"

#define MAX_SLOTS 10000
#define PATH_BYTES 64

static const char *const kind_names[] = {"drain-zone", "return-zone",
    "move-version", "set-capacity", "drain-upstream", "return-upstream", NULL};
static const char *const state_names[] = {"proposed", "confirmed", "running",
    "done", "rolled_back", "refused", "dropped", NULL};

const char *
intent_kind_name(enum intent_kind kind)
{
	return (kind_names[kind]);
}

const char *
intent_state_name(enum intent_state state)
{
	return (state_names[state]);
}

bool
intent_is_final(enum intent_state state)
{
	return (state >= INTENT_DONE);
}

static void
parse_upstreams(
    struct intent_object *intent, const json_t *o, struct bbuf *problems)
{
	const json_t *a;
	char path[PATH_BYTES];
	size_t k;
	json_t *e;

	if (json_object_get(o, "upstreams") == NULL)
		return;
	a = jread_array(o, "upstreams", 0, INTENT_MAX_UPSTREAMS, problems);
	intent->upstreams = g_new0(struct cfg_upstream, json_array_size(a) + 1);
	json_array_foreach(a, k, e)
	{
		snprintf(path, sizeof(path), "upstreams[%zu].", k);
		cfg_parse_upstream(&intent->upstreams[intent->n_upstreams++], e,
		    path, problems);
	}
}

/*
 * Reports a member that the kind requires and the object lacks; if several are
 * missing, only the last one checked. INTENT_SET_CAPACITY also requires slots
 * or upstreams, which is reported separately.
 */
static void
check_required_members(
    struct intent_object *intent, const json_t *o, struct bbuf *problems)
{
	bool is_zone_kind = intent->kind <= INTENT_RETURN_ZONE;
	const char *missing = NULL;

	if (is_zone_kind && intent->zone == NULL)
		missing = "zone";
	if (!is_zone_kind && intent->service == NULL)
		missing = "service";
	if (intent->kind == INTENT_MOVE_VERSION && intent->version == NULL)
		missing = "version";
	if (intent->kind == INTENT_MOVE_VERSION && intent->due_ms == 0)
		missing = "due_ms";
	if (intent->kind >= INTENT_DRAIN_UPSTREAM && intent->upstream == NULL)
		missing = "upstream";
	if (missing != NULL)
		jread_report(problems, missing, json_object_get(o, missing),
		    "is needed for this kind");
	if (intent->kind == INTENT_SET_CAPACITY && intent->slots == 0 &&
	    intent->n_upstreams == 0)
		jread_report(problems, "slots", json_object_get(o, "slots"),
		    "slots or upstreams are needed for this kind");
}

bool
intent_parse(
    struct intent_object *intent, const json_t *value, struct bbuf *problems)
{
	static const char *const known[] = {"id", "kind", "state", "zone",
	    "service", "version", "upstream", "slots", "upstreams", "due_ms",
	    "created_ms", "basis", "plan", "change", "finished_ms", "reason",
	    NULL};
	size_t before = problems->n;

	*intent = (struct intent_object){0};
	jread_check_members(value, known, "", problems);
	intent->id = jread_string(value, "id", "", problems);
	if (intent->id != NULL &&
	    (strchr(intent->id, '/') || strcmp(intent->id, "locks") == 0))
		jread_report(problems, "id", json_object_get(value, "id"),
		    "must not be \"locks\" or contain /");
	intent->kind = (enum intent_kind)jread_enum(
	    value, "kind", kind_names, -1, "", problems);
	intent->state = (enum intent_state)jread_enum(
	    value, "state", state_names, 0, "", problems);
	intent->zone = jread_optional_string(value, "zone", "", problems);
	intent->service = jread_optional_string(value, "service", "", problems);
	intent->version = jread_optional_string(value, "version", "", problems);
	intent->upstream =
	    jread_optional_string(value, "upstream", "", problems);
	intent->slots =
	    jread_u32(value, "slots", 0, MAX_SLOTS, 0, "", problems);
	parse_upstreams(intent, value, problems);
	intent->due_ms =
	    jread_i64(value, "due_ms", 0, INT64_MAX, 0, "", problems);
	intent->created_ms =
	    jread_i64(value, "created_ms", 0, INT64_MAX, 0, "", problems);
	intent->basis =
	    (uint64_t)jread_i64(value, "basis", 0, INT64_MAX, 0, "", problems);
	intent->plan = json_incref(json_object_get(value, "plan"));
	intent->change = jread_optional_string(value, "change", "", problems);
	intent->finished_ms =
	    jread_i64(value, "finished_ms", 0, INT64_MAX, 0, "", problems);
	intent->reason = jread_optional_string(value, "reason", "", problems);
	check_required_members(intent, value, problems);
	return (problems->n == before);
}

static void
set_optional_string(json_t *o, const char *key, const char *text)
{
	if (text != NULL)
		json_object_set_new(o, key, json_string(text));
}

static void
set_nonzero_int(json_t *o, const char *key, int64_t v)
{
	if (v != 0)
		json_object_set_new(o, key, json_integer(v));
}

json_t *
intent_print(const struct intent_object *intent)
{
	json_t *o = json_pack("{s:s,s:s,s:s}", "id", intent->id, "kind",
	    kind_names[intent->kind], "state", state_names[intent->state]);
	json_t *a;

	set_optional_string(o, "zone", intent->zone);
	set_optional_string(o, "service", intent->service);
	set_optional_string(o, "version", intent->version);
	set_optional_string(o, "upstream", intent->upstream);
	set_nonzero_int(o, "slots", intent->slots);
	if (intent->n_upstreams > 0) {
		a = json_array();
		for (uint32_t k = 0; k < intent->n_upstreams; k++)
			json_array_append_new(
			    a, cfg_print_upstream(&intent->upstreams[k]));
		json_object_set_new(o, "upstreams", a);
	}
	set_nonzero_int(o, "due_ms", intent->due_ms);
	set_nonzero_int(o, "created_ms", intent->created_ms);
	set_nonzero_int(o, "basis", (int64_t)intent->basis);
	if (intent->plan != NULL)
		json_object_set(o, "plan", intent->plan);
	set_optional_string(o, "change", intent->change);
	set_nonzero_int(o, "finished_ms", intent->finished_ms);
	set_optional_string(o, "reason", intent->reason);
	return (o);
}

void
intent_copy(struct intent_object *to, const struct intent_object *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->zone = g_strdup(from->zone);
	to->service = g_strdup(from->service);
	to->version = g_strdup(from->version);
	to->upstream = g_strdup(from->upstream);
	to->upstreams = g_new0(struct cfg_upstream, from->n_upstreams + 1);
	for (uint32_t k = 0; k < from->n_upstreams; k++)
		to->upstreams[k] = cfg_upstream_copy(&from->upstreams[k]);
	to->plan = json_incref(from->plan);
	to->change = g_strdup(from->change);
	to->reason = g_strdup(from->reason);
}

void
intent_finish(struct intent_object *intent)
{
	for (uint32_t k = 0; k < intent->n_upstreams; k++)
		cfg_upstream_finish(&intent->upstreams[k]);
	g_free(intent->upstreams);
	g_free(intent->id);
	g_free(intent->zone);
	g_free(intent->service);
	g_free(intent->version);
	g_free(intent->upstream);
	json_decref(intent->plan);
	g_free(intent->change);
	g_free(intent->reason);
	*intent = (struct intent_object){0};
}

bool
intent_parse_locks(
    struct intent_locks *l, const json_t *value, struct bbuf *problems)
{
	static const char *const known[] = {"locks", "change", NULL};
	static const char *const known_lock[] = {
	    "subject", "intent", "version", NULL};
	size_t before = problems->n, k;
	const json_t *a;
	char path[PATH_BYTES];
	json_t *e;

	*l = (struct intent_locks){0};
	jread_check_members(value, known, "", problems);
	a = jread_array(value, "locks", 0, INTENT_MAX_LOCKS, problems);
	l->locks = g_new0(struct intent_lock, json_array_size(a) + 1);
	json_array_foreach(a, k, e)
	{
		struct intent_lock *o = &l->locks[l->n_locks++];

		snprintf(path, sizeof(path), "locks[%zu].", k);
		jread_check_members(e, known_lock, path, problems);
		o->subject = jread_string(e, "subject", path, problems);
		o->intent = jread_string(e, "intent", path, problems);
		o->version = (uint64_t)jread_i64(
		    e, "version", 1, INT64_MAX, 0, path, problems);
	}
	return (problems->n == before);
}

json_t *
intent_print_locks(const struct intent_locks *l)
{
	json_t *a = json_array();

	for (uint32_t k = 0; k < l->n_locks; k++)
		json_array_append_new(a,
		    json_pack("{s:s,s:s,s:I}", "subject", l->locks[k].subject,
			"intent", l->locks[k].intent, "version",
			(json_int_t)l->locks[k].version));
	return (json_pack("{s:o}", "locks", a));
}

void
intent_locks_finish(struct intent_locks *l)
{
	for (uint32_t k = 0; k < l->n_locks; k++) {
		g_free(l->locks[k].subject);
		g_free(l->locks[k].intent);
	}
	g_free(l->locks);
	*l = (struct intent_locks){0};
}
