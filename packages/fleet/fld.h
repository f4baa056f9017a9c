/*
 * fld - typed objects that the store keeps: configuration, upstreams, orders of
 * moves and members.
 *
 * The adapter of a platform fills these in; nothing here knows how the platform
 * spells them. Strings are owned by the struct and zero-terminated.
 *
 *	struct fld_config *c = fld_config_new();
 *	...
 *	fld_config_free(c);
 */
#ifndef FLEET_FLD_H
#define FLEET_FLD_H

#include <stdbool.h>
#include <stdint.h>

/** struct fld_split - part of a route's requests */
struct fld_split {
	char *service;
	uint32_t weight;
};

/**
 * struct fld_route - requests of one host below one path prefix
 * @host: Host value without port
 * @prefix: path prefix, begins and ends with a slash
 * @idempotent: requests may run more than once
 * @timeout_ms: longest time that a caller is kept waiting, 0 for no limit
 * @goal_ms: time within which a response is worth most, 0 when not told
 * @attempts: upstreams that one request may be sent to, at least 1
 * @splits: services and their weights, at least one
 */
struct fld_route {
	char *host;
	char *prefix;
	bool idempotent;
	uint32_t timeout_ms;
	uint32_t goal_ms;
	uint32_t attempts;
	struct fld_split *splits;
	uint32_t n_splits;
};

/**
 * struct fld_service - what holds for all upstreams of a service
 * @probe_path: path that reports health and load
 * @max_connections: connections to one upstream, of all VMs together
 * @cold_per_s: requests a second that a cold upstream bears, of all VMs
 */
struct fld_service {
	char *name;
	char *probe_path;
	uint32_t max_connections;
	double cold_per_s;
};

/**
 * struct fld_limits - what a caller may send, 0 for the daemon's own limit
 * @max_head_bytes: request head
 * @max_body_bytes: request body
 * @head_timeout_ms: time for a request head
 * @idle_timeout_ms: idle time of a caller's connection
 */
struct fld_limits {
	uint64_t max_head_bytes;
	uint64_t max_body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

/** struct fld_config - one version of the operators' configuration */
struct fld_config {
	int64_t version;
	struct fld_route *routes;
	uint32_t n_routes;
	struct fld_service *services;
	uint32_t n_services;
	struct fld_limits limits;
};

/**
 * struct fld_upstream - what an upstream says of itself
 * @draining: it will stop soon
 * @cold_ms: how long it stays cold from when the entry was written
 * @born_ms: Unix time of its start; another one means that it started again
 */
struct fld_upstream {
	char *id;
	char *service;
	char *address;
	char *zone;
	char *version;
	uint32_t slots;
	bool draining;
	int64_t cold_ms;
	int64_t born_ms;
};

/** enum fld_move_state - how far a move is, as stored */
enum fld_move_state {
	FLD_MOVE_NEW,
	FLD_MOVE_RUNNING,
	FLD_MOVE_DONE,
	FLD_MOVE_ROLLED_BACK,
};

/**
 * struct fld_move - an operator's order to move a service to a version
 * @name: name of the object in the store
 * @service: service
 * @to_version: version that gets the traffic
 * @duration_ms: time to finish in
 * @revision: of the stored object, for a conditional write of its status
 * @state: stored status; NEW when it is of another version
 * @started_ms: Unix time at which it began to run, 0 before
 * @executor: VM that carries it out, NULL before it runs
 */
struct fld_move {
	char *name;
	char *service;
	char *to_version;
	int64_t duration_ms;
	int64_t revision;
	enum fld_move_state state;
	int64_t started_ms;
	char *executor;
};

/** struct fld_member - a VM that runs the load balancer */
struct fld_member {
	char *id;
	char *zone;
	char *address;      /* "ip:port" for datagrams */
	uint32_t link_mbps; /* bandwidth, 0 when not known */
};

/** fld_config_new() - empty configuration */
struct fld_config *fld_config_new(void);

/** fld_config_free() - free with all that it holds; NULL does nothing */
void fld_config_free(struct fld_config *c);

/** fld_config_service() - service with this name, or NULL */
const struct fld_service *fld_config_service(
    const struct fld_config *c, const char *name);

/** fld_upstream_finish() - free the strings */
void fld_upstream_finish(struct fld_upstream *u);

/** fld_move_finish() - free the strings */
void fld_move_finish(struct fld_move *m);

/** fld_member_finish() - free the strings */
void fld_member_finish(struct fld_member *m);

#endif
