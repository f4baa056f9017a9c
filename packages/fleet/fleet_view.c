#include "fleet/fleet_view_internal.h"

#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"

static void
set_version(struct view_upstream *u, struct view_version *v)
{
	if (u->version != NULL)
		u->version->n_upstreams--;
	u->version = v;
	if (v != NULL)
		v->n_upstreams++;
}

static void
free_upstream(void *arg)
{
	struct view_upstream *u = arg;

	set_version(u, NULL);
	obj_upstream_finish(&u->entry);
	rt_stat_unref(u->stat);
	free(u);
}

static void
free_move(void *arg)
{
	struct view_move *m = arg;

	obj_move_finish(&m->order);
	free(m);
}

static void
free_member(void *arg)
{
	struct view_member *m = arg;

	obj_member_finish(&m->member);
	free(m);
}

static void
free_version(void *arg)
{
	struct view_version *v = arg;

	rt_tally_unref(v->tally);
	g_free(v->service);
	g_free(v->name);
	g_free(v);
}

static void
free_usage(void *arg)
{
	usage_counter_unref(arg);
}

static GHashTable *
table_new(GDestroyNotify free_value)
{
	return (
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value));
}

void
view_init(struct fleet_view *f, const struct view_desc *desc)
{
	*f = (struct fleet_view){.self = g_strdup(desc->self),
	    .zone = g_strdup(desc->zone == NULL ? "" : desc->zone),
	    .due_us = INT64_MAX};
	f->upstreams = table_new(free_upstream);
	f->moves = table_new(free_move);
	f->members = table_new(free_member);
	cold_owners_init(&f->cold_owners, desc->self);
	f->usage = table_new(free_usage);
	f->versions = table_new(free_version);
	f->zones_out = table_new(NULL);
	f->zones_listed = table_new(NULL);
	f->changed = table_new(NULL);
}

/* The routing tables in use hold references of their own. */
static void
drop_workspaces(struct fleet_view *f)
{
	if (f->workspaces != NULL)
		wstab_unref(f->workspaces);
	f->workspaces = NULL;
}

void
view_finish(struct fleet_view *f)
{
	g_hash_table_unref(f->upstreams);
	g_hash_table_unref(f->moves);
	g_hash_table_unref(f->members);
	cold_owners_finish(&f->cold_owners);
	drop_workspaces(f);
	g_hash_table_unref(f->usage);
	g_hash_table_unref(f->versions);
	g_hash_table_unref(f->zones_out);
	g_hash_table_unref(f->zones_listed);
	g_hash_table_unref(f->changed);
	obj_config_free(f->config);
	g_free(f->self);
	g_free(f->zone);
}

void
view_begin(struct fleet_view *f, enum store_kind kind)
{
	GHashTableIter it;
	void *v;

	g_hash_table_remove_all(f->zones_listed);
	g_hash_table_iter_init(&it, f->upstreams);
	while (kind == STORE_UPSTREAMS && g_hash_table_iter_next(&it, NULL, &v))
		((struct view_upstream *)v)->listed = false;
	g_hash_table_iter_init(&it, f->moves);
	while (kind == STORE_MOVES && g_hash_table_iter_next(&it, NULL, &v))
		((struct view_move *)v)->listed = false;
	g_hash_table_iter_init(&it, f->members);
	while (kind == STORE_MEMBERS && g_hash_table_iter_next(&it, NULL, &v))
		((struct view_member *)v)->listed = false;
}

/*
 * Marks the routing table as out of date and, except in the first list, records
 * that the entry of an upstream was changed or removed.
 */
static void
record_change(struct fleet_view *f, const char *id)
{
	f->dirty = true;
	if (f->known[STORE_UPSTREAMS])
		g_hash_table_add(f->changed, g_strdup(id));
}

GPtrArray *
view_take_changed(struct fleet_view *f)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	void *id;

	g_hash_table_iter_init(&it, f->changed);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		g_hash_table_iter_steal(&it);
		g_ptr_array_add(out, id);
	}
	return (out);
}

void
view_clear_changed(struct fleet_view *f)
{
	g_hash_table_remove_all(f->changed);
}

/*
 * Whether the store does not answer, or has answered again for less than
 * VIEW_MISSING_GRACE_US.
 */
static bool
in_grace_period(const struct fleet_view *f, int64_t now_us)
{
	return (f->outage ||
	    (f->outage_end_us != 0 &&
		now_us - f->outage_end_us < VIEW_MISSING_GRACE_US));
}

/*
 * Returns true when an upstream whose entry is missing can be removed now.
 * Otherwise marks it as missing, and drop_missing() removes it after the grace
 * period.
 */
static bool
try_drop_upstream(struct fleet_view *f, struct view_upstream *u, int64_t now_us)
{
	int64_t until_us;

	if (!in_grace_period(f, now_us))
		return (true);
	if (u->missing_since_us == 0)
		u->missing_since_us = now_us;
	until_us = now_us + VIEW_MISSING_GRACE_US;
	if (until_us < f->due_us)
		f->due_us = until_us;
	return (false);
}

static void
end_upstreams(struct fleet_view *f, int64_t now_us)
{
	GHashTableIter it;
	void *id, *v;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		struct view_upstream *u = v;

		if (u->listed || !try_drop_upstream(f, u, now_us))
			continue;
		record_change(f, id);
		g_hash_table_iter_remove(&it);
	}
}

static void
end_moves(struct fleet_view *f)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, f->moves);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (((struct view_move *)v)->listed)
			continue;
		g_hash_table_iter_remove(&it);
		f->dirty = true;
	}
}

static void
record_member_change(struct fleet_view *f)
{
	f->dirty = true;
	f->members_changed = true;
}

static void
end_members(struct fleet_view *f)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (((struct view_member *)v)->listed)
			continue;
		g_hash_table_iter_remove(&it);
		record_member_change(f);
	}
}

static void
end_zones(struct fleet_view *f)
{
	GHashTableIter it;
	void *name;

	g_hash_table_iter_init(&it, f->zones_out);
	while (g_hash_table_iter_next(&it, &name, NULL)) {
		if (g_hash_table_contains(f->zones_listed, name))
			continue;
		g_hash_table_iter_remove(&it);
		f->dirty = true;
	}
}

void
view_end(struct fleet_view *f, enum store_kind kind, int64_t now_us)
{
	switch (kind) {
	case STORE_UPSTREAMS:
		end_upstreams(f, now_us);
		break;
	case STORE_MOVES:
		end_moves(f);
		break;
	case STORE_ZONES_OUT:
		end_zones(f);
		break;
	case STORE_MEMBERS:
		end_members(f);
		break;
	case STORE_CONFIG:
	case STORE_KINDS:
		break;
	}
	if (!f->known[kind])
		f->dirty = true;
	f->known[kind] = true;
}

bool
view_set_config(struct fleet_view *f, struct obj_config *c)
{
	if (f->config != NULL && c->version <= f->config->version) {
		obj_config_free(c);
		return (false);
	}
	obj_config_free(f->config);
	f->config = c;
	drop_workspaces(f);
	f->dirty = true;
	return (true);
}

static bool
same_entry(const struct obj_upstream *a, const struct obj_upstream *b)
{
	return (strcmp(a->service, b->service) == 0 &&
	    strcmp(a->address, b->address) == 0 &&
	    strcmp(a->zone, b->zone) == 0 &&
	    strcmp(a->version, b->version) == 0 && a->slots == b->slots &&
	    a->draining == b->draining && a->start_time_ms == b->start_time_ms);
}

static uint64_t
hash_entry(const struct obj_upstream *e)
{
	const char *const texts[] = {
	    e->id, e->service, e->address, e->zone, e->version};
	uint64_t h = (uint64_t)e->start_time_ms;

	for (size_t i = 0; i < sizeof(texts) / sizeof(*texts); i++)
		h = bstr_hash(bstr_from(texts[i]), h);
	h = h * 31 + e->slots;
	return (h * 31 + e->draining);
}

static uint64_t
hash_move(const struct obj_move *m)
{
	uint64_t h = bstr_hash(bstr_from(m->name), (uint64_t)m->state);

	h = bstr_hash(bstr_from(m->to_version), h);
	return (bstr_hash(bstr_from(m->executor), h));
}

static uint64_t
digest_upstreams(const struct fleet_view *f)
{
	uint64_t sum = 0;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &v))
		sum += ((struct view_upstream *)v)->hash;
	return (sum);
}

static uint64_t
digest_moves(const struct fleet_view *f)
{
	uint64_t sum = 0;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, f->moves);
	while (g_hash_table_iter_next(&it, NULL, &v))
		sum += hash_move(&((struct view_move *)v)->order);
	return (sum);
}

static uint64_t
digest_zones(const struct fleet_view *f)
{
	uint64_t sum = 0;
	GHashTableIter it;
	void *name;

	g_hash_table_iter_init(&it, f->zones_out);
	while (g_hash_table_iter_next(&it, &name, NULL))
		sum += bstr_hash(bstr_from(name), 1);
	return (sum);
}

uint64_t
view_digest(const struct fleet_view *f, enum store_kind kind)
{
	switch (kind) {
	case STORE_CONFIG:
		return (f->config == NULL ? 0 : (uint64_t)f->config->version);
	case STORE_MOVES:
		return (digest_moves(f));
	case STORE_ZONES_OUT:
		return (digest_zones(f));
	case STORE_UPSTREAMS:
		return (digest_upstreams(f));
	case STORE_MEMBERS:
	case STORE_KINDS:
		break;
	}
	return (0);
}

static struct view_upstream *
add_upstream(struct fleet_view *f, const char *id)
{
	struct view_upstream *u = alloc_zeroed(1, sizeof(*u));

	u->stat = rt_stat_new();
	g_hash_table_insert(f->upstreams, g_strdup(id), u);
	return (u);
}

/* Resets the load statistics of an upstream that restarted under its id. */
static void
reset_stat(struct view_upstream *u)
{
	rt_stat_unref(u->stat);
	u->stat = rt_stat_new();
}

void
view_set_upstream(struct fleet_view *f, const char *id, struct obj_upstream *u,
    int64_t now_us)
{
	struct view_upstream *o = g_hash_table_lookup(f->upstreams, id);

	if (u == NULL) {
		if (o != NULL && try_drop_upstream(f, o, now_us)) {
			record_change(f, id);
			g_hash_table_remove(f->upstreams, id);
		}
		return;
	}
	if (o == NULL)
		o = add_upstream(f, id);
	else if (o->entry.start_time_ms != u->start_time_ms)
		reset_stat(o);
	if (o->entry.id == NULL || !same_entry(&o->entry, u)) {
		record_change(f, id);
		set_version(o, view_version_get(f, u->service, u->version));
	}
	if (u->cold_ms > 0)
		atomic_store(
		    &o->stat->cold_until_us, now_us + u->cold_ms * 1000);
	obj_upstream_finish(&o->entry);
	o->entry = *u;
	*u = (struct obj_upstream){0};
	o->hash = hash_entry(&o->entry);
	o->listed = true;
	o->missing_since_us = 0;
}

static struct view_move *
find_move(struct fleet_view *f, const char *name)
{
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, f->moves);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		if (strcmp(((struct view_move *)v)->order.name, name) == 0)
			return (v);
	}
	return (NULL);
}

void
view_set_move(struct fleet_view *f, const char *name, struct obj_move *m)
{
	struct view_move *o;

	f->dirty = true;
	if (m == NULL) {
		o = find_move(f, name);
		if (o != NULL)
			g_hash_table_remove(f->moves, o->order.service);
		return;
	}
	o = g_hash_table_lookup(f->moves, m->service);
	if (o == NULL) {
		o = alloc_zeroed(1, sizeof(*o));
		o->outcome = OBJ_MOVE_RUNNING;
		g_hash_table_insert(f->moves, g_strdup(m->service), o);
	} else if (strcmp(o->order.to_version, m->to_version) != 0) {
		o->outcome = OBJ_MOVE_RUNNING;
		o->share = 0;
	}
	obj_move_finish(&o->order);
	o->order = *m;
	*m = (struct obj_move){0};
	o->listed = true;
}

void
view_set_zone_out(struct fleet_view *f, const char *zone, bool out)
{
	if (out)
		g_hash_table_add(f->zones_listed, g_strdup(zone));
	if (out == (bool)g_hash_table_contains(f->zones_out, zone))
		return;
	if (out)
		g_hash_table_add(f->zones_out, g_strdup(zone));
	else
		g_hash_table_remove(f->zones_out, zone);
	f->dirty = true;
}

void
view_set_member(struct fleet_view *f, const char *id, struct obj_member *m)
{
	struct view_member *o = g_hash_table_lookup(f->members, id);

	if (m == NULL) {
		if (g_hash_table_remove(f->members, id))
			record_member_change(f);
		return;
	}
	if (o == NULL) {
		o = alloc_zeroed(1, sizeof(*o));
		g_hash_table_insert(f->members, g_strdup(id), o);
		record_member_change(f);
	}
	obj_member_finish(&o->member);
	o->member = *m;
	*m = (struct obj_member){0};
	o->listed = true;
}

void
view_on_reachable(struct fleet_view *f, bool yes, int64_t now_us)
{
	if (!yes) {
		f->outage = true;
		return;
	}
	if (f->outage)
		f->outage_end_us = now_us;
	f->outage = false;
}

/* Whether the lists are known that decide where a request may go. */
static bool
rules_known(const struct fleet_view *f)
{
	return (f->known[STORE_CONFIG] && f->known[STORE_MOVES] &&
	    f->known[STORE_ZONES_OUT]);
}

bool
view_is_synced(const struct fleet_view *f)
{
	return (rules_known(f) && f->known[STORE_UPSTREAMS]);
}

bool
view_is_ready(const struct fleet_view *f)
{
	return (f->config != NULL && rules_known(f) &&
	    (f->known[STORE_UPSTREAMS] ||
		g_hash_table_size(f->upstreams) >= VIEW_ENOUGH_UPSTREAMS));
}

uint32_t
view_n_members(const struct fleet_view *f)
{
	uint32_t n = g_hash_table_size(f->members);

	return (n == 0 ? 1 : n);
}

/* Removes the entries that are still missing after the grace period. */
static void
drop_missing(struct fleet_view *f, int64_t now_us)
{
	GHashTableIter it;
	void *id, *v;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		const struct view_upstream *u = v;

		if (u->missing_since_us == 0)
			continue;
		if (in_grace_period(f, now_us)) {
			f->due_us = now_us + VIEW_MISSING_GRACE_US / 8;
			continue;
		}
		record_change(f, id);
		g_hash_table_iter_remove(&it);
	}
}

bool
view_take_dirty(struct fleet_view *f, int64_t now_us)
{
	bool dirty;

	if (now_us >= f->due_us) {
		f->due_us = INT64_MAX;
		f->dirty = true;
		drop_missing(f, now_us);
	}
	dirty = f->dirty;
	f->dirty = false;
	return (dirty && view_is_ready(f));
}

static char *
pair_key(const char *service, const char *version)
{
	return (g_strconcat(service, "\n", version, NULL));
}

struct view_version *
view_version_get(struct fleet_view *f, const char *service, const char *version)
{
	char *key = pair_key(service, version);
	struct view_version *v = g_hash_table_lookup(f->versions, key);

	if (v != NULL) {
		g_free(key);
		return (v);
	}
	v = g_new0(struct view_version, 1);
	v->service = g_strdup(service);
	v->name = g_strdup(version);
	v->tally = rt_tally_new();
	v->unused_since_us = INT64_MAX;
	g_hash_table_insert(f->versions, key, v);
	return (v);
}

void
view_drop_unused_versions(struct fleet_view *f, int64_t now_us)
{
	GHashTableIter it;
	void *arg;

	g_hash_table_iter_init(&it, f->versions);
	while (g_hash_table_iter_next(&it, NULL, &arg)) {
		struct view_version *v = arg;

		if (v->n_upstreams != 0)
			v->unused_since_us = INT64_MAX;
		else
			v->unused_since_us = MIN(v->unused_since_us, now_us);
		if (v->n_upstreams == 0 &&
		    now_us - v->unused_since_us >= VIEW_UNUSED_VERSION_US &&
		    !g_hash_table_contains(f->moves, v->service))
			g_hash_table_iter_remove(&it);
	}
}

struct rt_tally *
view_tally(struct fleet_view *f, const char *service, const char *version)
{
	return (view_version_get(f, service, version)->tally);
}

struct usage_counter *
view_usage(struct fleet_view *f, const char *workspace)
{
	struct usage_counter *c = g_hash_table_lookup(f->usage, workspace);

	if (c == NULL) {
		c = usage_counter_new();
		g_hash_table_insert(f->usage, g_strdup(workspace), c);
	}
	return (c);
}

void
view_set_share(struct fleet_view *f, const char *service, uint32_t share,
    int64_t until_us, enum obj_move_state outcome)
{
	struct view_move *m = g_hash_table_lookup(f->moves, service);

	if (m == NULL)
		return;
	if (m->applied_share != share || m->outcome != outcome)
		f->dirty = true;
	m->share = share;
	m->share_until_us = until_us;
	/* A rollback is final; "done" lapses when a new executor decides. */
	if (m->outcome != OBJ_MOVE_ROLLED_BACK)
		m->outcome = outcome;
	if (until_us < f->due_us)
		f->due_us = until_us;
}
