/*
 * fleet_view_table - builds the routing table from the fleet view.
 *
 * Routes are grouped by host: each host becomes a service without upstreams,
 * whose routes are split over the services that have upstreams. Memory and time
 * grow with the sum of what the configuration and the lists name: each array is
 * shared by all hosts or services, each of which has a slice of it, and names
 * are found through hash tables.
 */
#include <stdlib.h>
#include <string.h>

#include "base/alloc.h"
#include "base/hash_index.h"
#include "fleet/fleet_view_internal.h"
#include "fleet/preferred_upstreams.h"
#include "fleet/route_demand.h"

/* A request counts as slow above this multiple of its latency goal. */
#define SLOW_GOAL_FACTOR 1.5
/* Latency goal of a service when no route to it sets one. */
#define DEFAULT_GOAL_MS 1000

/**
 * struct host_group - the routes of one host
 * @host: its name in the first of them
 * @n: number of routes
 * @routes: slice of table_builder.routes
 */
struct host_group {
	const char *host;
	uint32_t n;
	struct rt_route *routes;
};

/**
 * struct service_draft - a service of the configuration
 * @settings: its entry there
 * @demand: what the routes demand of it
 * @n_upstreams: number of its upstreams
 * @out: the service in the table
 */
struct service_draft {
	const struct obj_service *settings;
	struct service_demand demand;
	uint32_t n_upstreams;
	struct rt_service *out;
};

/**
 * struct placed_upstream - an upstream and the service that it belongs to
 */
struct placed_upstream {
	struct view_upstream *upstream;
	struct service_draft *draft;
};

/**
 * struct table_builder - state while a table is built; strings are borrowed
 * @groups: routes by host, @n_groups of them
 * @group_of: group of each route
 * @drafts: services, in the order of the configuration
 * @by_name: index from the name of a service to its draft
 * @placed: upstreams whose service is configured, @n_placed of them
 * @services: the hosts, then the services of @drafts
 * @allocations: arrays that the services refer to, freed at the end
 */
struct table_builder {
	struct fleet_view *f;
	int64_t now_us;
	struct host_group *groups;
	uint32_t n_groups;
	struct host_group **group_of;
	struct service_draft *drafts;
	struct hash_index by_name;
	struct placed_upstream *placed;
	uint32_t n_placed;
	struct rt_service *services;
	GPtrArray *allocations;
};

static void *
alloc_array(struct table_builder *b, size_t n, size_t size)
{
	void *p = alloc_zeroed(n, size);

	g_ptr_array_add(b->allocations, p);
	return (p);
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

static void
group_routes(struct table_builder *b)
{
	const struct obj_config *c = b->f->config;
	struct hash_index hosts;

	b->groups = alloc_array(b, c->n_routes, sizeof(*b->groups));
	b->group_of = alloc_array(b, c->n_routes, sizeof(struct host_group *));
	hash_index_init(&hosts, c->n_routes, true);
	for (uint32_t i = 0; i < c->n_routes; i++) {
		struct bstr host = bstr_from(c->routes[i].host);
		struct host_group *g =
		    (struct host_group *)hash_index_find(&hosts, host);

		if (g == NULL) {
			g = &b->groups[b->n_groups++];
			g->host = c->routes[i].host;
			hash_index_add(&hosts, host, g);
		}
		g->n++;
		b->group_of[i] = g;
	}
	hash_index_finish(&hosts);
}

/* Sets a route; returns the number of elements of @splits that it takes. */
static uint32_t
fill_route(
    const struct obj_route *from, struct rt_route *to, struct rt_split *splits)
{
	*to = (struct rt_route){.prefix = bstr_from(from->prefix),
	    .idempotent = from->idempotent,
	    .timeout_ms = from->timeout_ms,
	    .goal_ms = from->goal_ms,
	    .attempts = from->attempts,
	    .splits = splits,
	    .n_splits = from->n_splits,
	    .priority = from->priority,
	    .is_public = from->is_public};
	for (uint32_t i = 0; i < from->n_splits; i++) {
		splits[i].service = bstr_from(from->splits[i].service);
		splits[i].weight = from->splits[i].weight;
	}
	return (from->n_splits);
}

/* Gives each host its slice of @routes, and fills them. */
static void
fill_routes(
    struct table_builder *b, struct rt_route *routes, struct rt_split *splits)
{
	const struct obj_config *c = b->f->config;

	for (uint32_t i = 0; i < b->n_groups; i++) {
		b->groups[i].routes = routes;
		routes += b->groups[i].n;
		b->groups[i].n = 0;
	}
	for (uint32_t i = 0; i < c->n_routes; i++) {
		struct host_group *g = b->group_of[i];

		splits += fill_route(&c->routes[i], &g->routes[g->n++], splits);
	}
}

static void
fill_hosts(struct table_builder *b)
{
	const struct obj_config *c = b->f->config;
	struct bstr *hosts = alloc_array(b, b->n_groups, sizeof(*hosts));
	uint32_t n_splits = 0;

	for (uint32_t i = 0; i < c->n_routes; i++)
		n_splits += c->routes[i].n_splits;
	fill_routes(b, alloc_array(b, c->n_routes, sizeof(struct rt_route)),
	    alloc_array(b, n_splits, sizeof(struct rt_split)));
	for (uint32_t i = 0; i < b->n_groups; i++) {
		const struct host_group *g = &b->groups[i];

		hosts[i] = bstr_from(g->host);
		b->services[i] = (struct rt_service){.name = hosts[i],
		    .hosts = &hosts[i],
		    .n_hosts = 1,
		    .routes = g->routes,
		    .n_routes = g->n};
	}
}

static struct service_draft *
find_draft(const struct table_builder *b, const char *service)
{
	return ((struct service_draft *)hash_index_find(
	    &b->by_name, bstr_from(service)));
}

static void
draft_services(struct table_builder *b)
{
	const struct obj_config *c = b->f->config;

	b->drafts = alloc_array(b, c->n_services, sizeof(*b->drafts));
	hash_index_init(&b->by_name, c->n_services, false);
	for (uint32_t i = 0; i < c->n_services; i++) {
		struct service_draft *d = &b->drafts[i];

		*d = (struct service_draft){.settings = &c->services[i],
		    .demand = SERVICE_DEMAND_NONE,
		    .out = &b->services[b->n_groups + i]};
		hash_index_add(&b->by_name, bstr_from(c->services[i].name), d);
	}
}

/* As rt_draw_split() chooses: the first split if no split has a weight. */
static void
add_demand_of_route(const struct table_builder *b,
    const struct route_demand *demand, const struct obj_route *r)
{
	uint64_t total = 0;

	for (uint32_t k = 0; k < r->n_splits; k++)
		total += r->splits[k].weight;
	for (uint32_t k = 0; k < r->n_splits; k++) {
		struct service_draft *d = find_draft(b, r->splits[k].service);
		bool gets_requests =
		    total == 0 ? k == 0 : r->splits[k].weight != 0;

		if (d != NULL)
			demand_add(demand, &d->demand, r, gets_requests);
	}
}

static void
sum_up_demand(struct table_builder *b)
{
	const struct obj_config *c = b->f->config;
	struct route_demand demand;

	demand_init(&demand, c);
	for (uint32_t i = 0; i < c->n_routes; i++)
		add_demand_of_route(b, &demand, &c->routes[i]);
}

/* Finds the service of each upstream. */
static void
place_upstreams(struct table_builder *b)
{
	GHashTableIter it;
	void *v;

	b->placed = alloc_array(
	    b, g_hash_table_size(b->f->upstreams), sizeof(*b->placed));
	g_hash_table_iter_init(&it, b->f->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		struct view_upstream *u = v;
		struct service_draft *d = find_draft(b, u->entry.service);

		if (d == NULL)
			continue;
		b->placed[b->n_placed++] = (struct placed_upstream){u, d};
		d->n_upstreams++;
	}
}

/*
 * Index of a version in its service, which gets it if it is the first upstream
 * of the version.
 */
static uint32_t
version_index(
    struct table_builder *b, struct rt_service *s, struct view_version *v)
{
	if (v->build != b->f->n_builds) {
		v->build = b->f->n_builds;
		v->index = s->n_versions;
		s->versions[s->n_versions].name = bstr_from(v->name);
		s->tallies[s->n_versions] = v->tally;
		s->n_versions++;
	}
	return (v->index);
}

static void
add_upstream(struct table_builder *b, const struct placed_upstream *p)
{
	struct view_upstream *u = p->upstream;
	const struct obj_upstream *e = &u->entry;
	struct rt_service *s = p->draft->out;
	uint32_t rank = rank_of(b->f, u);

	s->upstreams[s->n_upstreams++] =
	    (struct rt_upstream){.id = bstr_from(e->id),
		.addr = bstr_from(e->address),
		.zone = bstr_from(e->zone),
		.version = version_index(b, s, u->version),
		.slots = e->slots,
		.state = state_of(b->f, e),
		.rank = rank,
		.n_vms = view_n_members(b->f),
		/* One VM for each request a second that it can get. */
		.cold_allowed = rank < (uint32_t)p->draft->settings->cold_per_s,
		.stat = u->stat};
}

/* Gives each service its slices of the arrays, and adds its upstreams. */
static void
fill_upstreams(struct table_builder *b)
{
	struct rt_upstream *upstreams =
	    alloc_array(b, b->n_placed, sizeof(*upstreams));
	struct rt_version *versions =
	    alloc_array(b, b->n_placed, sizeof(*versions));
	struct rt_tally **tallies =
	    alloc_array(b, b->n_placed, sizeof(struct rt_tally *));

	for (uint32_t i = 0; i < b->f->config->n_services; i++) {
		struct service_draft *d = &b->drafts[i];

		d->out->upstreams = upstreams;
		d->out->versions = versions;
		d->out->tallies = tallies;
		upstreams += d->n_upstreams;
		versions += d->n_upstreams;
		tallies += d->n_upstreams;
	}
	for (uint32_t i = 0; i < b->n_placed; i++)
		add_upstream(b, &b->placed[i]);
}

/* Number of VMs of this VM's zone, and of those that precede it. */
static void
rank_in_zone(const struct fleet_view *f, struct preferred_desc *out)
{
	uint64_t self = bstr_hash(bstr_from(f->self), 0);
	GHashTableIter it;
	void *id, *v;

	out->zone_vms = 1;
	g_hash_table_iter_init(&it, f->members);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		const struct view_member *m = v;

		if (strcmp(id, f->self) == 0 ||
		    strcmp(m->member.zone, f->zone) != 0)
			continue;
		out->zone_vms++;
		out->zone_rank += bstr_hash(bstr_from(id), 0) < self;
	}
}

static void
fill_service(struct table_builder *b, struct service_draft *d,
    struct preferred *preferred, struct rt_route *route)
{
	struct rt_service *s = d->out;
	uint32_t goal_ms =
	    d->demand.goal_ms != 0 ? d->demand.goal_ms : DEFAULT_GOAL_MS;

	s->name = bstr_from(d->settings->name);
	s->probe_path = bstr_from(d->settings->probe_path);
	s->routes = route;
	s->n_routes = 1;
	s->ranked = demand_is_ranked(&d->demand);
	s->slow_us = (int64_t)(SLOW_GOAL_FACTOR * goal_ms) * 1000;
	preferred_mark(preferred, s);
	view_fill_shares(b->f, s, d->settings->name, b->now_us);
}

static void
fill_services(struct table_builder *b)
{
	const struct fleet_view *f = b->f;
	struct rt_route *all_paths = alloc_array(b, 1, sizeof(*all_paths));
	struct preferred_desc desc = {.self = bstr_from(f->self),
	    .zone = bstr_from(f->zone),
	    .max_upstreams = b->n_placed};
	struct preferred preferred;

	all_paths->prefix = BSTR("/");
	rank_in_zone(f, &desc);
	preferred_init(&preferred, &desc);
	for (uint32_t i = 0; i < f->config->n_services; i++)
		fill_service(b, &b->drafts[i], &preferred, all_paths);
	preferred_finish(&preferred);
}

struct rt_table *
view_table(struct fleet_view *f, int64_t now_us)
{
	struct table_builder b = {.f = f, .now_us = now_us};
	uint32_t n_services = f->config->n_services;
	struct rt_table *t;

	f->n_builds++;
	update_cold_owners(f);
	update_workspaces(f);
	b.allocations = g_ptr_array_new_with_free_func(free);
	group_routes(&b);
	b.services = alloc_array(
	    &b, (size_t)b.n_groups + n_services, sizeof(*b.services));
	fill_hosts(&b);
	draft_services(&b);
	sum_up_demand(&b);
	place_upstreams(&b);
	fill_upstreams(&b);
	fill_services(&b);
	t = rt_table_new(&(struct rt_desc){.services = b.services,
	    .n_services = b.n_groups + n_services,
	    .workspaces = f->workspaces});
	f->table_built = true;
	hash_index_finish(&b.by_name);
	g_ptr_array_unref(b.allocations);
	view_drop_unused_versions(f, now_us);
	return (t);
}
