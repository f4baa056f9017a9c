/*
 * fleet_view_table - builds the routing table from the fleet view.
 *
 * Routes are grouped by host: each host becomes a service without upstreams,
 * whose routes are split over the services that have upstreams.
 */
#include <stdlib.h>
#include <string.h>

#include "fleet/fleet_view.h"

#define PERMILLE 1000u
/* A request counts as slow above this multiple of its latency goal. */
#define SLOW_GOAL_FACTOR 1.5
/* Latency goal of a service when no route to it sets one. */
#define DEFAULT_GOAL_MS 1000
/*
 * Number of upstreams per version that a VM prefers; enough to find one with a
 * free slot. They are in its own zone, if that has as many.
 */
#define PREFERRED_UPSTREAMS 16

/**
 * struct table_builder - state while a table is built; strings are borrowed
 * @services: struct rt_service, in the order of the configuration
 * @allocations: arrays that the services refer to, freed at the end
 */
struct table_builder {
	struct fleet_view *f;
	int64_t now_us;
	GArray *services;
	GPtrArray *allocations;
};

static void *
alloc_array(struct table_builder *b, size_t n, size_t size)
{
	void *p = calloc(n == 0 ? 1 : n, size);

	if (p == NULL)
		abort();
	g_ptr_array_add(b->allocations, p);
	return (p);
}

static void
fill_route(
    struct table_builder *b, const struct obj_route *from, struct rt_route *to)
{
	*to = (struct rt_route){.prefix = bstr_from(from->prefix),
	    .idempotent = from->idempotent,
	    .timeout_ms = from->timeout_ms,
	    .goal_ms = from->goal_ms,
	    .attempts = from->attempts,
	    .n_splits = from->n_splits,
	    .priority = from->priority,
	    .is_public = from->is_public};
	to->splits = alloc_array(b, from->n_splits, sizeof(*to->splits));
	for (uint32_t i = 0; i < from->n_splits; i++) {
		to->splits[i].service = bstr_from(from->splits[i].service);
		to->splits[i].weight = from->splits[i].weight;
	}
}

_Static_assert(WSTAB_NO_PRIORITY == OBJ_NO_PRIORITY,
    "a workspace without a priority is marked alike in both types");

/* Builds the table of the workspaces that all routing tables of @f share. */
static void
update_workspaces(struct fleet_view *f)
{
	const struct obj_config *c = f->config;
	struct wstab_entry *list;

	if (!c->has_workspaces || f->workspaces != NULL)
		return;
	list = g_new0(struct wstab_entry, c->n_workspaces);
	for (uint32_t i = 0; i < c->n_workspaces; i++) {
		const struct obj_workspace *w = &c->workspaces[i];

		list[i] = (struct wstab_entry){
		    .workspace = {.name = bstr_from(w->name),
			.priority = w->priority,
			.usage = view_usage(f, w->name)},
		    .keys = w->keys,
		    .n_keys = w->n_keys};
	}
	f->workspaces = wstab_new(list, c->n_workspaces);
	g_free(list);
}

/** struct priority_range - least and greatest priority of some requests */
struct priority_range {
	uint32_t min;
	uint32_t max;
};

static const struct priority_range empty_range = {.min = UINT32_MAX};

static void
add_priority(struct priority_range *r, uint32_t priority)
{
	r->min = MIN(r->min, priority);
	r->max = MAX(r->max, priority);
}

/* As rt_draw_split() chooses: the first split if no split has a weight. */
static bool
is_routed_to(const struct obj_route *r, const char *service)
{
	uint32_t total = 0;

	for (uint32_t k = 0; k < r->n_splits; k++) {
		total += r->splits[k].weight;
		if (r->splits[k].weight != 0 &&
		    strcmp(r->splits[k].service, service) == 0)
			return (true);
	}
	return (total == 0 && r->n_splits != 0 &&
	    strcmp(r->splits[0].service, service) == 0);
}

/* Adds the priorities of the requests that a route lets through. */
static void
add_route_priorities(struct priority_range *out, const struct obj_config *c,
    const struct obj_route *r)
{
	if (!c->has_workspaces || r->is_public)
		add_priority(out, r->priority);
	for (uint32_t i = 0; i < c->n_workspaces; i++) {
		const struct obj_workspace *w = &c->workspaces[i];

		if (w->n_keys != 0)
			add_priority(out,
			    w->priority == OBJ_NO_PRIORITY ? r->priority
							   : w->priority);
	}
}

/* Whether requests of different priorities reach a service. */
static bool
is_ranked(const struct obj_config *c, const char *service)
{
	struct priority_range range = empty_range;

	for (uint32_t i = 0; i < c->n_routes; i++) {
		if (is_routed_to(&c->routes[i], service))
			add_route_priorities(&range, c, &c->routes[i]);
	}
	return (range.min < range.max);
}

static bool
is_host_added(const struct obj_config *c, uint32_t at)
{
	for (uint32_t i = 0; i < at; i++) {
		if (g_ascii_strcasecmp(c->routes[i].host, c->routes[at].host) ==
		    0)
			return (true);
	}
	return (false);
}

static void
add_host(struct table_builder *b, uint32_t first)
{
	const struct obj_config *c = b->f->config;
	const char *host = c->routes[first].host;
	struct rt_service s = {.name = bstr_from(host), .n_hosts = 1};

	s.hosts = alloc_array(b, 1, sizeof(*s.hosts));
	s.hosts[0] = bstr_from(host);
	s.routes = alloc_array(b, c->n_routes, sizeof(*s.routes));
	for (uint32_t i = first; i < c->n_routes; i++) {
		if (g_ascii_strcasecmp(c->routes[i].host, host) == 0)
			fill_route(b, &c->routes[i], &s.routes[s.n_routes++]);
	}
	g_array_append_val(b->services, s);
}

/* Applies changes of the list of VMs to the division of cold upstreams. */
static void
update_cold_owners(struct fleet_view *f)
{
	GHashTableIter it;
	void *id, *v;

	if (!f->members_changed)
		return;
	f->members_changed = false;
	cold_owners_clear(&f->cold_owners);
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, &id, NULL))
		cold_owners_add(&f->cold_owners, id);
	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &v))
		((struct view_upstream *)v)->cold_rank_valid = false;
}

/* Rank of this VM for an upstream, the last one before VMs are known. */
static uint32_t
rank_of(struct fleet_view *f, struct view_upstream *u)
{
	if (!f->known[STORE_MEMBERS])
		return (UINT32_MAX);
	if (!u->cold_rank_valid) {
		u->cold_rank =
		    cold_owners_rank(&f->cold_owners, bstr_from(u->entry.id));
		u->cold_rank_valid = true;
	}
	return (u->cold_rank);
}

static enum rt_state
state_of(const struct fleet_view *f, const struct obj_upstream *e)
{
	if (e->draining)
		return (RT_DRAINING);
	if (g_hash_table_contains(f->zones_out, e->zone))
		return (RT_DOWN);
	return (RT_READY);
}

static uint32_t
version_index(struct rt_service *s, const char *version)
{
	struct bstr name = bstr_from(version);

	for (uint32_t v = 0; v < s->n_versions; v++) {
		if (bstr_eq(s->versions[v].name, name))
			return (v);
	}
	s->versions[s->n_versions].name = name;
	return (s->n_versions++);
}

static void
fill_upstreams(
    struct table_builder *b, const struct obj_service *d, struct rt_service *s)
{
	uint32_t max = g_hash_table_size(b->f->upstreams);
	uint32_t n_vms = view_n_members(b->f);
	GHashTableIter it;
	void *v;

	s->upstreams = alloc_array(b, max, sizeof(*s->upstreams));
	s->versions = alloc_array(b, max, sizeof(*s->versions));
	g_hash_table_iter_init(&it, b->f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct view_upstream *u = v;
		const struct obj_upstream *e = &u->entry;

		if (strcmp(e->service, d->name) != 0)
			continue;
		s->upstreams[s->n_upstreams++] = (struct rt_upstream){
		    .id = bstr_from(e->id),
		    .addr = bstr_from(e->address),
		    .zone = bstr_from(e->zone),
		    .version = version_index(s, e->version),
		    .slots = e->slots,
		    .state = state_of(b->f, e),
		    .rank = rank_of(b->f, u),
		    .n_vms = n_vms,
		    /* One VM for each request a second that it can get. */
		    .cold_allowed = rank_of(b->f, u) < (uint32_t)d->cold_per_s,
		    .stat = u->stat};
	}
}

/** struct ranked - an upstream and its place in the order of a service */
struct ranked {
	uint32_t i;
	uint64_t rank;
};

static int
by_rank(const void *a, const void *b)
{
	const struct ranked *x = a, *y = b;

	return ((x->rank > y->rank) - (x->rank < y->rank));
}

/**
 * struct preferred_choice - choice of the preferred upstreams of a service
 * @s: service
 * @order: its upstreams, ordered by a hash
 * @n: number of preferred upstreams of each version so far
 */
struct preferred_choice {
	struct rt_service *s;
	struct ranked *order;
	uint32_t *n;
};

static bool
is_in_zone(const struct rt_upstream *u, struct bstr zone)
{
	return (zone.n == 0 || bstr_eq(u->zone, zone));
}

/* Orders the upstreams by a hash that begins with @seed. */
static void
order_upstreams(struct preferred_choice *p, uint64_t seed)
{
	for (uint32_t i = 0; i < p->s->n_upstreams; i++)
		p->order[i] =
		    (struct ranked){i, bstr_hash(p->s->upstreams[i].id, seed)};
	qsort(p->order, p->s->n_upstreams, sizeof(*p->order), by_rank);
}

/*
 * Makes ready upstreams preferred in their order, first those after the first
 * @skip, until each version has @max of them; only those in @zone, unless that
 * is empty.
 */
static void
add_preferred(
    struct preferred_choice *p, struct bstr zone, uint32_t skip, uint32_t max)
{
	uint32_t n = p->s->n_upstreams;

	for (uint32_t k = 0, seen = 0; k < 2 * n; k++) {
		struct rt_upstream *u = &p->s->upstreams[p->order[k % n].i];

		if (u->state != RT_READY || !is_in_zone(u, zone))
			continue;
		if (seen++ < skip || !u->secondary || p->n[u->version] >= max)
			continue;
		u->secondary = false;
		p->n[u->version]++;
	}
}

/*
 * Number of upstreams of this VM's zone that come before the preferred ones.
 * The VMs of a zone begin at equal distances, so that each upstream of the zone
 * is primary for about the same number of VMs.
 */
static uint32_t
first_preferred_index(const struct fleet_view *f, const struct rt_service *s)
{
	uint64_t self = bstr_hash(bstr_from(f->self), 0);
	uint64_t n_vms = 1, rank = 0, n_upstreams = 0;
	GHashTableIter it;
	void *id, *v;

	for (uint32_t i = 0; i < s->n_upstreams; i++)
		n_upstreams += s->upstreams[i].state == RT_READY &&
		    is_in_zone(&s->upstreams[i], bstr_from(f->zone));
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		const struct view_member *m = v;

		if (strcmp(id, f->self) == 0 ||
		    strcmp(m->member.zone, f->zone) != 0)
			continue;
		n_vms++;
		rank += bstr_hash(bstr_from(id), 0) < self;
	}
	return ((uint32_t)(rank * n_upstreams / n_vms));
}

/*
 * Marks all but PREFERRED_UPSTREAMS ready upstreams of each version as
 * secondary. Those of this VM's zone come first; the rest is filled from all,
 * in an order that depends on this VM's id, so that the connections spread.
 */
static void
mark_secondary(struct table_builder *b, struct rt_service *s)
{
	struct preferred_choice p = {.s = s,
	    .order = alloc_array(b, s->n_upstreams, sizeof(*p.order)),
	    .n = alloc_array(b, s->n_versions, sizeof(*p.n))};

	for (uint32_t i = 0; i < s->n_upstreams; i++)
		s->upstreams[i].secondary = s->upstreams[i].state == RT_READY;
	if (b->f->zone[0] != '\0') {
		order_upstreams(&p, 0);
		add_preferred(&p, bstr_from(b->f->zone),
		    first_preferred_index(b->f, s), PREFERRED_UPSTREAMS);
	}
	order_upstreams(&p, bstr_hash(bstr_from(b->f->self), 0));
	add_preferred(&p, (struct bstr){0}, 0, PREFERRED_UPSTREAMS);
}

static uint32_t
count_usable(const struct rt_service *s, uint32_t version)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < s->n_upstreams; i++)
		n += s->upstreams[i].version == version &&
		    s->upstreams[i].state == RT_READY;
	return (n);
}

/*
 * Whether a version appeared so recently that its move order may not have been
 * read yet.
 */
static bool
is_new_version(
    struct table_builder *b, const char *service, struct bstr version)
{
	char *key =
	    g_strdup_printf("%s\n%.*s", service, (int)version.n, version.p);
	int64_t *at = g_hash_table_lookup(b->f->versions, key);
	int64_t end_us;

	if (at != NULL) {
		g_free(key);
	} else {
		at = g_new(int64_t, 1);
		*at = b->f->table_built ? b->now_us
					: b->now_us - VIEW_NEW_VERSION_US;
		g_hash_table_insert(b->f->versions, key, at);
	}
	end_us = *at + VIEW_NEW_VERSION_US;
	if (b->now_us >= end_us)
		return (false);
	if (end_us < b->f->due_us)
		b->f->due_us = end_us;
	return (true);
}

/*
 * Distributes @total permille over all versions except @excluded in proportion
 * to their usable upstreams.
 */
static void
distribute(struct rt_service *s, uint32_t total, uint32_t excluded)
{
	uint32_t sum = 0, assigned = 0, last = UINT32_MAX;

	for (uint32_t v = 0; v < s->n_versions; v++)
		sum += v == excluded ? 0 : count_usable(s, v);
	for (uint32_t v = 0; v < s->n_versions && sum != 0; v++) {
		if (v == excluded)
			continue;
		s->versions[v].share = total * count_usable(s, v) / sum;
		assigned += s->versions[v].share;
		if (s->versions[v].share != 0)
			last = v;
	}
	if (last != UINT32_MAX)
		s->versions[last].share += total - assigned;
}

static enum obj_move_state
move_state(const struct view_move *m)
{
	if (m->order.state == OBJ_MOVE_DONE ||
	    m->order.state == OBJ_MOVE_ROLLED_BACK)
		return (m->order.state);
	return (m->outcome);
}

static uint32_t
running_share(struct table_builder *b, struct view_move *m)
{
	m->applied_share = b->now_us < m->share_until_us ? m->share : 0;
	return (m->applied_share);
}

/*
 * Sends no requests to a service: while the list of upstreams is incomplete,
 * its other versions may be missing.
 */
static void
hold_upstreams(struct rt_service *s)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		s->upstreams[i].state = RT_DOWN;
}

/* Sets the shares of a service that is being moved to version @to. */
static void
set_move_shares(struct table_builder *b, struct rt_service *s,
    struct view_move *m, uint32_t to)
{
	uint32_t share = 0;

	switch (move_state(m)) {
	case OBJ_MOVE_DONE:
		share = PERMILLE;
		break;
	case OBJ_MOVE_ROLLED_BACK:
		break;
	case OBJ_MOVE_NEW:
	case OBJ_MOVE_RUNNING:
		share = running_share(b, m);
		break;
	}
	/* All remaining upstreams run the new version. */
	if (s->n_versions == 1 && b->f->known[STORE_UPSTREAMS])
		share = PERMILLE;
	else if (s->n_versions == 1 && share != PERMILLE)
		hold_upstreams(s);
	s->versions[to].share = share;
	distribute(s, PERMILLE - share, to);
}

/*
 * Without a move order, requests are distributed in proportion to the usable
 * upstreams of each version. A new version gets none until VIEW_NEW_VERSION_US
 * have passed, because a move order for it may follow.
 */
static void
set_default_shares(
    struct table_builder *b, struct rt_service *s, const char *service)
{
	uint32_t new_version = UINT32_MAX;
	bool any_old = false;

	for (uint32_t v = 0; v < s->n_versions; v++) {
		if (is_new_version(b, service, s->versions[v].name))
			new_version = v;
		else
			any_old = any_old || count_usable(s, v) != 0;
	}
	distribute(s, PERMILLE, any_old ? new_version : UINT32_MAX);
}

static void
fill_shares(struct table_builder *b, struct rt_service *s, const char *service)
{
	struct view_move *m = g_hash_table_lookup(b->f->moves, service);

	if (m != NULL) {
		for (uint32_t v = 0; v < s->n_versions; v++) {
			/*
			 * Records when the version was first seen. Its age
			 * does not matter while there is a move order.
			 */
			is_new_version(b, service, s->versions[v].name);
			if (bstr_eq(s->versions[v].name,
				bstr_from(m->order.to_version))) {
				set_move_shares(b, s, m, v);
				return;
			}
		}
	}
	set_default_shares(b, s, service);
}

static void
fill_tallies(struct table_builder *b, struct rt_service *s, const char *service)
{
	s->routes = alloc_array(b, 1, sizeof(*s->routes));
	s->routes[0].prefix = BSTR("/");
	s->n_routes = 1;
	s->tallies = alloc_array(b, s->n_versions, sizeof(struct rt_tally *));
	for (uint32_t v = 0; v < s->n_versions; v++)
		s->tallies[v] =
		    view_tally(b->f, service, s->versions[v].name.p);
}

/* Longest latency goal of the routes that lead to a service. */
static uint32_t
goal_ms(const struct obj_config *c, const char *service)
{
	uint32_t goal = 0;

	for (uint32_t i = 0; i < c->n_routes; i++) {
		const struct obj_route *r = &c->routes[i];

		for (uint32_t k = 0; k < r->n_splits; k++) {
			if (strcmp(r->splits[k].service, service) == 0 &&
			    r->goal_ms > goal)
				goal = r->goal_ms;
		}
	}
	return (goal != 0 ? goal : DEFAULT_GOAL_MS);
}

static void
add_service(struct table_builder *b, const struct obj_service *d)
{
	struct rt_service s = {
	    .name = bstr_from(d->name), .probe_path = bstr_from(d->probe_path)};

	fill_upstreams(b, d, &s);
	mark_secondary(b, &s);
	fill_shares(b, &s, d->name);
	fill_tallies(b, &s, d->name);
	s.ranked = is_ranked(b->f->config, d->name);
	s.slow_us =
	    (int64_t)(SLOW_GOAL_FACTOR * goal_ms(b->f->config, d->name)) * 1000;
	g_array_append_val(b->services, s);
}

struct rt_table *
view_table(struct fleet_view *f, int64_t now_us)
{
	const struct obj_config *c = f->config;
	struct table_builder b = {.f = f, .now_us = now_us};
	struct rt_table *t;

	update_cold_owners(f);
	update_workspaces(f);
	b.services = g_array_new(FALSE, TRUE, sizeof(struct rt_service));
	b.allocations = g_ptr_array_new_with_free_func(free);
	for (uint32_t i = 0; i < c->n_routes; i++) {
		if (!is_host_added(c, i))
			add_host(&b, i);
	}
	for (uint32_t i = 0; i < c->n_services; i++)
		add_service(&b, &c->services[i]);
	t = rt_table_new(&(struct rt_desc){
	    .services = (struct rt_service *)(void *)b.services->data,
	    .n_services = b.services->len,
	    .workspaces = f->workspaces});
	f->table_built = true;
	g_array_unref(b.services);
	g_ptr_array_unref(b.allocations);
	return (t);
}
