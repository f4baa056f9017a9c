/*
 * table_fleet - fleet of a given size, as a VM knows it, for measurements of
 * the routing table (prefix table_fleet_).
 *
 *	table_fleet_init(&view, &size);
 *	table = view_table(&view, 0);
 *	view_finish(&view);
 */
#ifndef BENCH_TABLE_FLEET_H
#define BENCH_TABLE_FLEET_H

#include <stdint.h>

#include "fleet/fleet_view.h"

#define TABLE_FLEET_ZONES 3

/**
 * struct table_fleet_size - numbers of what the config and the lists say
 * @routes: routes, at least @hosts; those beyond it are spread over the hosts
 * @hosts: hosts, each with a route of its own
 * @services: services
 * @upstreams: upstreams, spread over the services
 * @versions: versions, spread over the upstreams of each service
 * @vms: VMs
 * @workspaces: workspaces with one key each, 0 when requests need no keys
 */
struct table_fleet_size {
	uint32_t routes;
	uint32_t hosts;
	uint32_t services;
	uint32_t upstreams;
	uint32_t versions;
	uint32_t vms;
	uint32_t workspaces;
};

/**
 * struct table_fleet_growth - something that grows while all else stays as in
 * table_fleet_base
 * @set: sets the number
 */
struct table_fleet_growth {
	const char *what;
	void (*set)(struct table_fleet_size *size, uint32_t n);
};

extern const struct table_fleet_growth table_fleet_growths[];
extern const size_t table_fleet_n_growths;

/* A small fleet. */
extern const struct table_fleet_size table_fleet_base;

/* The design size of docs/CAPACITY.md, and 4,500 hosts in one configuration. */
extern const struct table_fleet_size table_fleet_design;

/** table_fleet_config() - a configuration, owned by the caller */
struct obj_config *table_fleet_config(
    const struct table_fleet_size *size, int64_t version);

/** table_fleet_init() - initialise a view that knows the fleet */
void table_fleet_init(
    struct fleet_view *f, const struct table_fleet_size *size);

/** table_fleet_host() - write the name of host @i to @out */
void table_fleet_host(char *out, size_t n, uint32_t i);

/** table_fleet_prefix() - write the path prefix of route @i to @out */
void table_fleet_prefix(char *out, size_t n, uint32_t i);

#endif
