#include "config/object_table.h"

#include "config/intent_schema.h"

#define SERVICE_PREFIX "config/service/"
#define INTENT_PREFIX "intent/"

static void
object_free(gpointer p)
{
	struct objtab_object *o = p;

	g_free(o->key);
	json_decref(o->newest_value);
	json_decref(o->value);
	if (o->service != NULL)
		cfg_service_finish(o->service);
	g_free(o->service);
	g_free(o->problem);
	g_free(o);
}

void
objtab_init(struct object_table *t)
{
	*t = (struct object_table){0};
	t->objects =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, object_free);
	t->order = g_ptr_array_new();
	t->set.limits = cfg_limits_default();
}

void
objtab_finish(struct object_table *t)
{
	g_hash_table_destroy(t->objects);
	g_ptr_array_free(t->order, TRUE);
	g_free(t->set.services);
	cfg_zones_finish(&t->zones);
	*t = (struct object_table){0};
}

bool
objtab_is_replicated(const char *key)
{
	return (strlen(key) <= OBJTAB_KEY_MAX_BYTES &&
	    (g_str_has_prefix(key, "config/") ||
		g_str_has_prefix(key, INTENT_PREFIX)));
}

const char *
objtab_change_id(const json_t *value)
{
	return (json_string_value(json_object_get(value, "change")));
}

/* Checks that the name or id in a value matches the last part of its key. */
static bool
check_key_name(const char *key, const char *prefix, const char *name,
    struct bbuf *problems)
{
	if (name != NULL && strcmp(key + strlen(prefix), name) == 0)
		return (true);
	bbuf_addf(problems, "%s: \"%.60s\": must be the last part of the key\n",
	    prefix[0] == 'c' ? "name" : "id", name == NULL ? "" : name);
	return (false);
}

static bool
check_service(const char *key, const json_t *value, struct bbuf *problems)
{
	struct cfg_service s;
	bool ok = cfg_parse_service(&s, value, problems);

	ok = ok && check_key_name(key, SERVICE_PREFIX, s.name, problems);
	cfg_service_finish(&s);
	return (ok);
}

static bool
check_intent(const char *key, const json_t *value, struct bbuf *problems)
{
	struct intent_object i;
	bool ok = intent_parse(&i, value, problems);

	ok = ok && check_key_name(key, INTENT_PREFIX, i.id, problems);
	intent_finish(&i);
	return (ok);
}

bool
objtab_check(const char *key, const json_t *value, struct bbuf *problems)
{
	struct intent_locks locks;
	struct cfg_zones zones;
	struct cfg_limits limits;
	bool ok;

	if (value == NULL)
		return (true);
	if (json_dumpb(value, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY) >
	    OBJTAB_VALUE_MAX_BYTES) {
		bbuf_addf(problems, "%.80s: must have at most %d bytes\n", key,
		    OBJTAB_VALUE_MAX_BYTES);
		return (false);
	}
	if (g_str_has_prefix(key, SERVICE_PREFIX))
		return (check_service(key, value, problems));
	if (strcmp(key, "config/zones") == 0) {
		ok = cfg_parse_zones(&zones, value, problems);
		cfg_zones_finish(&zones);
		return (ok);
	}
	if (strcmp(key, "config/limits") == 0)
		return (cfg_parse_limits(&limits, value, problems));
	if (strcmp(key, INTENT_LOCKS_KEY) == 0) {
		ok = intent_parse_locks(&locks, value, problems);
		intent_locks_finish(&locks);
		return (ok);
	}
	if (g_str_has_prefix(key, INTENT_PREFIX))
		return (check_intent(key, value, problems));
	bbuf_addf(problems, "%.80s: is not a known key\n", key);
	return (false);
}

/* The contribution of an object to the digest; 0 for a deleted one. */
static uint64_t
object_hash(const struct objtab_object *o)
{
	uint64_t h;

	if (o->version == 0 ||
	    (o->newest_value == NULL && o->effective_version == o->version))
		return (0);
	h = bstr_hash(bstr_from(o->key), o->version);
	return (h ^ (o->effective_version * UINT64_C(0x9e3779b97f4a7c15)));
}

static gint
by_key(gconstpointer a, gconstpointer b)
{
	const struct objtab_object *const *x = a, *const *y = b;

	return (strcmp((*x)->key, (*y)->key));
}

static struct objtab_object *
object_get_or_add(struct object_table *t, const char *key)
{
	struct objtab_object *o = g_hash_table_lookup(t->objects, key);

	if (o != NULL || g_hash_table_size(t->objects) >= OBJTAB_MAX_OBJECTS)
		return (o);
	o = g_new0(struct objtab_object, 1);
	o->key = g_strdup(key);
	g_hash_table_insert(t->objects, o->key, o);
	g_ptr_array_add(t->order, o);
	g_ptr_array_sort(t->order, by_key);
	return (o);
}

/* Rebuilds the array of services in effect. */
static void
rebuild_services(struct object_table *t)
{
	g_free(t->set.services);
	t->set.services = g_new0(struct cfg_service_entry, t->order->len + 1);
	t->set.n_services = 0;
	for (guint i = 0; i < t->order->len; i++) {
		struct objtab_object *o = t->order->pdata[i];

		if (o->service != NULL)
			t->set.services[t->set.n_services++] =
			    (struct cfg_service_entry){
				o->service, o->effective_version};
	}
}

/* Parses the value in effect, which has passed objtab_check(). */
static void
reparse_effective(struct object_table *t, struct objtab_object *o)
{
	struct bbuf ignored;

	bbuf_init(&ignored);
	if (g_str_has_prefix(o->key, SERVICE_PREFIX)) {
		if (o->service != NULL)
			cfg_service_finish(o->service);
		g_free(o->service);
		o->service = NULL;
		if (o->value != NULL) {
			o->service = g_new0(struct cfg_service, 1);
			cfg_parse_service(o->service, o->value, &ignored);
		}
		rebuild_services(t);
	} else if (strcmp(o->key, "config/zones") == 0) {
		cfg_zones_finish(&t->zones);
		if (o->value != NULL)
			cfg_parse_zones(&t->zones, o->value, &ignored);
		t->set.zones = o->value == NULL ? NULL : &t->zones;
		t->set.zones_version = o->effective_version;
	} else if (strcmp(o->key, "config/limits") == 0) {
		t->set.limits = cfg_limits_default();
		if (o->value != NULL)
			cfg_parse_limits(&t->set.limits, o->value, &ignored);
		t->set.limits_version = o->effective_version;
	}
	bbuf_finish(&ignored);
}

/* Removes the oldest deletion if there are more than OBJTAB_MAX_DELETED. */
static void
evict_oldest_deletion(struct object_table *t)
{
	struct objtab_object *oldest = NULL;

	if (t->n_deleted <= OBJTAB_MAX_DELETED)
		return;
	for (guint i = 0; i < t->order->len; i++) {
		struct objtab_object *o = t->order->pdata[i];

		if (o->newest_value == NULL &&
		    o->effective_version == o->version &&
		    (oldest == NULL || o->version < oldest->version))
			oldest = o;
	}
	if (oldest == NULL)
		return;
	g_ptr_array_remove(t->order, oldest);
	g_hash_table_remove(t->objects, oldest->key);
	t->n_deleted--;
}

static void
replace_json(json_t **dest, json_t *value)
{
	json_incref(value);
	json_decref(*dest);
	*dest = value;
}

unsigned
objtab_apply(
    struct object_table *t, const char *key, uint64_t version, json_t *value)
{
	struct objtab_object *o;
	unsigned changed = 0;
	struct bbuf problems;
	bool was_deleted, valid;

	if (!objtab_is_replicated(key) || version == 0)
		return (OBJTAB_NOTHING);
	o = object_get_or_add(t, key);
	if (o == NULL || version <= o->effective_version ||
	    version == o->version)
		return (OBJTAB_NOTHING);
	bbuf_init(&problems);
	valid = objtab_check(key, value, &problems);
	was_deleted = o->version != 0 && o->newest_value == NULL;
	t->digest.hash ^= object_hash(o);
	if (version > o->version) {
		o->version = version;
		replace_json(&o->newest_value, value);
		changed |= OBJTAB_NEWER;
		t->n_deleted += (value == NULL) - was_deleted;
	}
	if (valid && version > o->effective_version) {
		o->effective_version = version;
		replace_json(&o->value, value);
		reparse_effective(t, o);
		changed |= OBJTAB_IN_EFFECT;
	}
	if (o->effective_version == o->version) {
		g_free(o->problem);
		o->problem = NULL;
	} else if (!valid && version == o->version) {
		g_free(o->problem);
		o->problem = g_strchomp(g_strndup(problems.p, problems.n));
		changed |= OBJTAB_INVALID;
	}
	t->digest.hash ^= object_hash(o);
	t->digest.highest = MAX(t->digest.highest, version);
	bbuf_finish(&problems);
	evict_oldest_deletion(t);
	return (changed);
}

const struct objtab_object *
objtab_find(const struct object_table *t, const char *key)
{
	return (g_hash_table_lookup(t->objects, key));
}

const struct cfg_set *
objtab_effective_set(const struct object_table *t)
{
	return (&t->set);
}
