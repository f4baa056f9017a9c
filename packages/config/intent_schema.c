#include "config/intent_schema.h"

#include <glib.h>
#include <stdio.h>

#include "config/json_reader.h"

#define MAX_SLOTS 10000
#define PATH_BYTES 64

static const char *const kinds[] = {"drain-zone", "return-zone", "move-version",
    "set-capacity", "drain-upstream", "return-upstream", NULL};
static const char *const states[] = {"proposed", "confirmed", "running", "done",
    "rolled_back", "refused", "dropped", NULL};

const char *
intent_kind_name(enum intent_kind kind)
{
	return (kinds[kind]);
}

const char *
intent_state_name(enum intent_state state)
{
	return (states[state]);
}

bool
intent_is_final(enum intent_state state)
{
	return (state >= INTENT_DONE);
}

static void
parse_upstreams(struct intent_object *i, const json_t *o, struct bbuf *problems)
{
	const json_t *a;
	char path[PATH_BYTES];
	size_t k;
	json_t *e;

	if (json_object_get(o, "upstreams") == NULL)
		return;
	a = jread_array(o, "upstreams", 0, INTENT_MAX_UPSTREAMS, problems);
	i->upstreams = g_new0(struct cfg_upstream, json_array_size(a) + 1);
	json_array_foreach(a, k, e)
	{
		snprintf(path, sizeof(path), "upstreams[%zu].", k);
		cfg_parse_upstream(
		    &i->upstreams[i->n_upstreams++], e, path, problems);
	}
}

/* Members that each kind needs. */
static void
check_kind(struct intent_object *i, const json_t *o, struct bbuf *problems)
{
	bool on_zone = i->kind <= INTENT_RETURN_ZONE;
	const char *need = NULL;

	if (on_zone && i->zone == NULL)
		need = "zone";
	if (!on_zone && i->service == NULL)
		need = "service";
	if (i->kind == INTENT_MOVE_VERSION && i->version == NULL)
		need = "version";
	if (i->kind == INTENT_MOVE_VERSION && i->due_ms == 0)
		need = "due_ms";
	if (i->kind >= INTENT_DRAIN_UPSTREAM && i->upstream == NULL)
		need = "upstream";
	if (need != NULL)
		jread_report(problems, need, json_object_get(o, need),
		    "is needed for this kind");
	if (i->kind == INTENT_SET_CAPACITY && i->slots == 0 &&
	    i->n_upstreams == 0)
		jread_report(problems, "slots", json_object_get(o, "slots"),
		    "slots or upstreams are needed for this kind");
}

bool
intent_parse(
    struct intent_object *i, const json_t *value, struct bbuf *problems)
{
	static const char *const known[] = {"id", "kind", "state", "zone",
	    "service", "version", "upstream", "slots", "upstreams", "due_ms",
	    "created_ms", "basis", "plan", "change", "finished_ms", "reason",
	    NULL};
	size_t before = problems->n;

	*i = (struct intent_object){0};
	jread_known(value, known, "", problems);
	i->id = jread_string(value, "id", "", problems);
	if (i->id != NULL &&
	    (strchr(i->id, '/') || strcmp(i->id, "locks") == 0))
		jread_report(problems, "id", json_object_get(value, "id"),
		    "must not be \"locks\" or contain /");
	i->kind = (enum intent_kind)jread_enum(
	    value, "kind", kinds, -1, "", problems);
	i->state = (enum intent_state)jread_enum(
	    value, "state", states, 0, "", problems);
	i->zone = jread_optional(value, "zone", "", problems);
	i->service = jread_optional(value, "service", "", problems);
	i->version = jread_optional(value, "version", "", problems);
	i->upstream = jread_optional(value, "upstream", "", problems);
	i->slots = jread_u32(value, "slots", 0, MAX_SLOTS, 0, "", problems);
	parse_upstreams(i, value, problems);
	i->due_ms = jread_i64(value, "due_ms", 0, INT64_MAX, 0, "", problems);
	i->created_ms =
	    jread_i64(value, "created_ms", 0, INT64_MAX, 0, "", problems);
	i->basis =
	    (uint64_t)jread_i64(value, "basis", 0, INT64_MAX, 0, "", problems);
	i->plan = json_incref(json_object_get(value, "plan"));
	i->change = jread_optional(value, "change", "", problems);
	i->finished_ms =
	    jread_i64(value, "finished_ms", 0, INT64_MAX, 0, "", problems);
	i->reason = jread_optional(value, "reason", "", problems);
	check_kind(i, value, problems);
	return (problems->n == before);
}

static void
set_text(json_t *o, const char *key, const char *text)
{
	if (text != NULL)
		json_object_set_new(o, key, json_string(text));
}

static void
set_int(json_t *o, const char *key, int64_t v)
{
	if (v != 0)
		json_object_set_new(o, key, json_integer(v));
}

json_t *
intent_print(const struct intent_object *i)
{
	json_t *o = json_pack("{s:s,s:s,s:s}", "id", i->id, "kind",
	    kinds[i->kind], "state", states[i->state]);
	json_t *a;

	set_text(o, "zone", i->zone);
	set_text(o, "service", i->service);
	set_text(o, "version", i->version);
	set_text(o, "upstream", i->upstream);
	set_int(o, "slots", i->slots);
	if (i->n_upstreams > 0) {
		a = json_array();
		for (uint32_t k = 0; k < i->n_upstreams; k++)
			json_array_append_new(
			    a, cfg_print_upstream(&i->upstreams[k]));
		json_object_set_new(o, "upstreams", a);
	}
	set_int(o, "due_ms", i->due_ms);
	set_int(o, "created_ms", i->created_ms);
	set_int(o, "basis", (int64_t)i->basis);
	if (i->plan != NULL)
		json_object_set(o, "plan", i->plan);
	set_text(o, "change", i->change);
	set_int(o, "finished_ms", i->finished_ms);
	set_text(o, "reason", i->reason);
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
intent_finish(struct intent_object *i)
{
	for (uint32_t k = 0; k < i->n_upstreams; k++)
		cfg_upstream_finish(&i->upstreams[k]);
	g_free(i->upstreams);
	g_free(i->id);
	g_free(i->zone);
	g_free(i->service);
	g_free(i->version);
	g_free(i->upstream);
	json_decref(i->plan);
	g_free(i->change);
	g_free(i->reason);
	*i = (struct intent_object){0};
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
	jread_known(value, known, "", problems);
	a = jread_array(value, "locks", 0, INTENT_MAX_LOCKS, problems);
	l->locks = g_new0(struct intent_lock, json_array_size(a) + 1);
	json_array_foreach(a, k, e)
	{
		struct intent_lock *o = &l->locks[l->n_locks++];

		snprintf(path, sizeof(path), "locks[%zu].", k);
		jread_known(e, known_lock, path, problems);
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
