#include "lib/stored_objects.h"

#include <string.h>

/** struct object - stored object */
struct object {
	char *kind;
	char *name;
	json_t *spec;
	json_t *status;
	json_int_t revision;
};

/**
 * struct event - change that a watch returns
 * @value: JSON of the event: {"object": ..., "removed": ...}
 */
struct event {
	char *kind;
	json_t *value;
	json_int_t revision;
};

static void
free_object(void *arg)
{
	struct object *obj = arg;

	g_free(obj->kind);
	g_free(obj->name);
	json_decref(obj->spec);
	json_decref(obj->status);
	g_free(obj);
}

static void
free_event(void *arg)
{
	struct event *e = arg;

	g_free(e->kind);
	json_decref(e->value);
	g_free(e);
}

static GPtrArray *
copy_objects(const GPtrArray *objects)
{
	GPtrArray *copy = g_ptr_array_new_with_free_func(free_object);

	for (guint i = 0; i < objects->len; i++) {
		const struct object *obj = g_ptr_array_index(objects, i);
		struct object *o = g_memdup2(obj, sizeof(*obj));

		o->kind = g_strdup(obj->kind);
		o->name = g_strdup(obj->name);
		json_incref(o->spec);
		json_incref(o->status);
		g_ptr_array_add(copy, o);
	}
	return (copy);
}

static void
drop_objects(GPtrArray **objects)
{
	if (*objects != NULL)
		g_ptr_array_unref(*objects);
	*objects = NULL;
}

void
stored_init(struct stored_objects *t, unsigned page)
{
	*t = (struct stored_objects){.page = page, .revision = 1};
	t->objects = g_ptr_array_new_with_free_func(free_object);
	t->events = g_ptr_array_new_with_free_func(free_event);
}

void
stored_finish(struct stored_objects *t)
{
	g_ptr_array_unref(t->objects);
	g_ptr_array_unref(t->events);
	drop_objects(&t->stale);
	drop_objects(&t->copy);
}

static json_t *
object_json(const struct object *obj)
{
	return (json_pack("{s:{s:s,s:I,s:i,s:[],s:b},s:O,s:O}", "metadata",
	    "name", obj->name, "revision", obj->revision, "createdAt", 1,
	    "finalizers", "deleting", 0, "spec", obj->spec, "status",
	    obj->status));
}

static struct object *
find(const struct stored_objects *t, const char *kind, const char *name)
{
	for (guint i = 0; i < t->objects->len; i++) {
		struct object *obj = g_ptr_array_index(t->objects, i);

		if (strcmp(obj->kind, kind) == 0 &&
		    strcmp(obj->name, name) == 0)
			return (obj);
	}
	return (NULL);
}

static void
add_event(struct stored_objects *t, const struct object *obj, bool removed)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = g_strdup(obj->kind);
	e->revision = t->revision;
	e->value = json_pack(
	    "{s:o,s:b}", "object", object_json(obj), "removed", removed);
	g_ptr_array_add(t->events, e);
}

static struct object *
create(struct stored_objects *t, const char *kind, const char *name)
{
	struct object *obj = g_new0(struct object, 1);

	obj->kind = g_strdup(kind);
	obj->name = g_strdup(name);
	obj->spec = json_null();
	obj->status = json_null();
	g_ptr_array_add(t->objects, obj);
	return (obj);
}

/*
 * Replaces the spec or status of an object. A write of an equal value creates
 * neither a revision nor an event. Takes over the reference to @value; NULL
 * stands for JSON null.
 */
static void
replace(
    struct stored_objects *t, struct object *obj, json_t **part, json_t *value)
{
	if (value == NULL)
		value = json_null();
	if (obj->revision != 0 && json_equal(*part, value)) {
		json_decref(value);
		return;
	}
	json_decref(*part);
	*part = value;
	obj->revision = ++t->revision;
	add_event(t, obj, false);
}

void
stored_put(struct stored_objects *t, const char *kind, const char *name,
    const char *spec)
{
	struct object *obj = find(t, kind, name);

	if (obj == NULL)
		obj = create(t, kind, name);
	replace(t, obj, &obj->spec, json_loads(spec, JSON_DECODE_ANY, NULL));
}

void
stored_remove(struct stored_objects *t, const char *kind, const char *name)
{
	struct object *obj = find(t, kind, name);

	if (obj == NULL)
		return;
	t->revision++;
	add_event(t, obj, true);
	g_ptr_array_remove_fast(t->objects, obj);
}

json_t *
stored_get(const struct stored_objects *t, const char *kind, const char *name)
{
	const struct object *obj = find(t, kind, name);

	return (obj == NULL ? NULL : object_json(obj));
}

static int
compare_names(const void *x, const void *y)
{
	const struct object *left = *(struct object *const *)x;
	const struct object *right = *(struct object *const *)y;

	return (strcmp(left->name, right->name));
}

json_t *
stored_list(struct stored_objects *t, const char *kind, const char *after,
    bool may_be_stale)
{
	bool stale = may_be_stale && t->stale != NULL;
	GPtrArray *objects = stale ? t->stale : t->objects;
	json_t *items = json_array();
	bool has_more = false;

	g_ptr_array_sort(objects, compare_names);
	for (guint i = 0; i < objects->len; i++) {
		const struct object *obj = g_ptr_array_index(objects, i);

		if (strcmp(obj->kind, kind) != 0 ||
		    (after != NULL && strcmp(obj->name, after) <= 0))
			continue;
		has_more = json_array_size(items) == t->page;
		if (has_more)
			break;
		json_array_append_new(items, object_json(obj));
	}
	return (json_pack("{s:o,s:b,s:I}", "items", items, "hasMore", has_more,
	    "storeRevision", stale ? t->stale_revision : t->revision));
}

json_t *
stored_watch(const struct stored_objects *t, const char *kind, json_int_t since)
{
	json_t *events;

	if (since < t->history_from || since > t->revision)
		return (NULL);
	events = json_array();
	for (guint i = 0; i < t->events->len; i++) {
		const struct event *e = g_ptr_array_index(t->events, i);

		if (e->revision > since && strcmp(e->kind, kind) == 0)
			json_array_append(events, e->value);
	}
	return (json_pack(
	    "{s:o,s:I}", "events", events, "storeRevision", t->revision));
}

/* Whether the object has the revision that the write requires, if any. */
static bool
condition_holds(const struct object *obj, const json_t *body)
{
	const json_t *r =
	    json_object_get(json_object_get(body, "metadata"), "revision");

	return (r == NULL || json_integer_value(r) == obj->revision);
}

static unsigned
create_from(struct stored_objects *t, const char *kind, const json_t *body,
    json_t **answer)
{
	const char *name = json_string_value(
	    json_object_get(json_object_get(body, "metadata"), "name"));
	struct object *obj = name == NULL ? NULL : find(t, kind, name);

	if (name == NULL)
		return (400);
	if (obj != NULL) {
		*answer = object_json(obj);
		return (409);
	}
	obj = create(t, kind, name);
	replace(t, obj, &obj->spec, json_incref(json_object_get(body, "spec")));
	*answer = object_json(obj);
	return (200);
}

unsigned
stored_write(struct stored_objects *t, const char *method, const char *kind,
    const char *path, const json_t *body, json_t **answer)
{
	const char *slash = strchr(path, '/');
	char *name = slash == NULL ? g_strdup(path)
				   : g_strndup(path, (size_t)(slash - path));
	struct object *obj = find(t, kind, name);
	json_t **part;

	g_free(name);
	*answer = NULL;
	if (strcmp(method, "POST") == 0)
		return (create_from(t, kind, body, answer));
	if (obj == NULL)
		return (404);
	part = slash == NULL ? &obj->spec : &obj->status;
	if (!condition_holds(obj, body)) {
		*answer = object_json(obj);
		return (409);
	}
	replace(t, obj, part,
	    json_incref(
		json_object_get(body, slash == NULL ? "spec" : "status")));
	*answer = object_json(obj);
	return (200);
}

void
stored_keep_stale(struct stored_objects *t, bool keep)
{
	drop_objects(&t->stale);
	if (keep)
		t->stale = copy_objects(t->objects);
	t->stale_revision = t->revision;
}

void
stored_drop_history(struct stored_objects *t)
{
	g_ptr_array_set_size(t->events, 0);
	t->history_from = t->revision;
}

void
stored_copy(struct stored_objects *t)
{
	drop_objects(&t->copy);
	t->copy = copy_objects(t->objects);
	t->copy_revision = t->revision;
}

void
stored_restore(struct stored_objects *t)
{
	drop_objects(&t->objects);
	t->objects = copy_objects(t->copy);
	t->revision = t->copy_revision;
	stored_drop_history(t);
	t->epoch++;
	t->n_restores++;
}
