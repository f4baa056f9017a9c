#include "bench/table_fleet.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/alloc.h"

#define NAME_MAX_LEN 64
#define SLOTS 6

const struct table_fleet_size table_fleet_base = {.routes = 10,
    .hosts = 10,
    .services = 10,
    .upstreams = 40,
    .versions = 1,
    .vms = 13};

const struct table_fleet_size table_fleet_design = {.routes = 5000,
    .hosts = 4500,
    .services = 540,
    .upstreams = 7300,
    .versions = 2,
    .vms = 174,
    .workspaces = 1000};

static void
set_routes(struct table_fleet_size *size, uint32_t n)
{
	size->routes = n;
}

static void
set_hosts(struct table_fleet_size *size, uint32_t n)
{
	size->routes = size->hosts = n;
}

static void
set_services(struct table_fleet_size *size, uint32_t n)
{
	size->services = n;
}

static void
set_upstreams(struct table_fleet_size *size, uint32_t n)
{
	size->upstreams = n;
}

static void
set_services_with_upstreams(struct table_fleet_size *size, uint32_t n)
{
	size->services = size->upstreams = n;
}

static void
set_services_with_routes(struct table_fleet_size *size, uint32_t n)
{
	size->services = size->routes = n;
}

static void
set_versions(struct table_fleet_size *size, uint32_t n)
{
	size->services = 1;
	size->versions = size->upstreams = n;
}

static void
set_vms(struct table_fleet_size *size, uint32_t n)
{
	size->vms = n;
}

static void
set_workspaces(struct table_fleet_size *size, uint32_t n)
{
	size->workspaces = n;
}

const struct table_fleet_growth table_fleet_growths[] = {
    {"routes", set_routes},
    {"hosts", set_hosts},
    {"services", set_services},
    {"upstreams", set_upstreams},
    {"services with an upstream each", set_services_with_upstreams},
    {"services with a route each", set_services_with_routes},
    {"versions with an upstream each", set_versions},
    {"VMs", set_vms},
    {"workspaces", set_workspaces},
};

const size_t table_fleet_n_growths =
    sizeof(table_fleet_growths) / sizeof(*table_fleet_growths);

static char *
name_of(const char *format, uint32_t i)
{
	char name[NAME_MAX_LEN];

	snprintf(name, sizeof(name), format, i);
	return (bstr_dup(bstr_from(name)));
}

void
table_fleet_host(char *out, size_t n, uint32_t i)
{
	snprintf(out, n, "shop-%04u.example", i);
}

void
table_fleet_prefix(char *out, size_t n, uint32_t i)
{
	snprintf(out, n, "/shop-%u/", i);
}

static void
fill_route(struct obj_route *r, const struct table_fleet_size *size, uint32_t i)
{
	char host[NAME_MAX_LEN], prefix[NAME_MAX_LEN];

	table_fleet_host(host, sizeof(host), i % size->hosts);
	table_fleet_prefix(prefix, sizeof(prefix), i);
	*r = (struct obj_route){.host = bstr_dup(bstr_from(host)),
	    .prefix = bstr_dup(bstr_from(prefix)),
	    .idempotent = true,
	    .timeout_ms = 2000,
	    .goal_ms = 600,
	    .attempts = 2,
	    .splits = alloc_zeroed(1, sizeof(*r->splits)),
	    .n_splits = 1,
	    .priority = i % 2};
	r->splits[0] =
	    (struct obj_split){name_of("service-%u", i % size->services), 1};
}

static void
fill_workspace(struct obj_workspace *w, uint32_t i)
{
	*w = (struct obj_workspace){.name = name_of("workspace-%u", i),
	    .priority = OBJ_NO_PRIORITY,
	    .keys = alloc_zeroed(1, sizeof(*w->keys)),
	    .n_keys = 1};
	w->keys[0] = name_of("key-of-workspace-%u", i);
}

struct obj_config *
table_fleet_config(const struct table_fleet_size *size, int64_t version)
{
	struct obj_config *c = obj_config_new();

	c->version = version;
	c->n_routes = size->routes;
	c->routes = alloc_zeroed(size->routes, sizeof(*c->routes));
	for (uint32_t i = 0; i < size->routes; i++)
		fill_route(&c->routes[i], size, i);
	c->n_services = size->services;
	c->services = alloc_zeroed(size->services, sizeof(*c->services));
	for (uint32_t i = 0; i < size->services; i++)
		c->services[i] =
		    (struct obj_service){.name = name_of("service-%u", i),
			.probe_path = bstr_dup(BSTR("/health")),
			.max_connections = 220,
			.cold_per_s = 7.8};
	c->has_workspaces = size->workspaces != 0;
	c->n_workspaces = size->workspaces;
	c->workspaces = alloc_zeroed(size->workspaces, sizeof(*c->workspaces));
	for (uint32_t i = 0; i < size->workspaces; i++)
		fill_workspace(&c->workspaces[i], i);
	return (c);
}

static void
add_upstream(
    struct fleet_view *f, const struct table_fleet_size *size, uint32_t i)
{
	uint32_t service = i % size->services;
	uint32_t at = i / size->services; /* among those of its service */
	struct obj_upstream u = {.id = name_of("i-upstream-%u", i),
	    .service = name_of("service-%u", service),
	    .address = name_of("10.0.0.1:%u", 1024 + i % 60000),
	    .zone = name_of("zone-%u", i % TABLE_FLEET_ZONES),
	    .version = name_of("v%u", at % size->versions),
	    .slots = SLOTS};

	view_set_upstream(f, u.id, &u, 0);
}

static void
add_member(struct fleet_view *f, uint32_t i)
{
	struct obj_member m = {.id = name_of("edge-%u", i),
	    .zone = name_of("zone-%u", i % TABLE_FLEET_ZONES),
	    .address = name_of("10.1.0.1:%u", 1024 + i % 60000)};

	view_set_member(f, m.id, &m);
}

void
table_fleet_init(struct fleet_view *f, const struct table_fleet_size *size)
{
	view_init(f, &(struct view_desc){.self = "edge-0", .zone = "zone-0"});
	view_set_config(f, table_fleet_config(size, 1));
	view_end(f, STORE_CONFIG, 0);
	for (uint32_t i = 0; i < size->upstreams; i++)
		add_upstream(f, size, i);
	for (uint32_t i = 0; i < size->vms; i++)
		add_member(f, i);
	for (int k = 0; k < STORE_KINDS; k++)
		view_end(f, (enum store_kind)k, 0);
}
