/*
 * objects - typed objects that the store keeps: configuration, upstreams,
 * orders of moves and members.
 *
 * The adapter of a platform fills these in; nothing here knows how the platform
 * spells them. Strings are owned by the struct and zero-terminated.
 *
 *	struct obj_config *c = obj_config_new();
 *	...
 *	obj_config_free(c);
 */
#ifndef FLEET_OBJECTS_H
#define FLEET_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

/** struct obj_split - part of a route's requests */
struct obj_split {
	char *service;
	uint32_t weight;
};

/**
 * struct obj_route - requests of one host below one path prefix
 * @host: Host value without port
 * @prefix: path prefix, begins and ends with a slash
 * @idempotent: requests may run more than once
 * @timeout_ms: longest time that a caller is kept waiting, 0 for no limit
 * @goal_ms: time within which a response is worth most, 0 when not told
 * @attempts: upstreams that one request may be sent to, at least 1
 * @splits: services and their weights, at least one
 */
struct obj_route {
	char *host;
	char *prefix;
	bool idempotent;
	uint32_t timeout_ms;
	uint32_t goal_ms;
	uint32_t attempts;
	struct obj_split *splits;
	uint32_t n_splits;
};

/**
 * struct obj_service - what holds for all upstreams of a service
 * @probe_path: path that reports health and load
 * @max_connections: connections to one upstream, of all VMs together
 * @cold_per_s: requests a second that a cold upstream bears, of all VMs
 */
struct obj_service {
	char *name;
	char *probe_path;
	uint32_t max_connections;
	double cold_per_s;
};

/**
 * struct obj_limits - what a caller may send, 0 for the daemon's own limit
 * @max_head_bytes: request head
 * @max_body_bytes: request body
 * @head_timeout_ms: time for a request head
 * @idle_timeout_ms: idle time of a caller's connection
 */
struct obj_limits {
	uint64_t max_head_bytes;
	uint64_t max_body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

/** struct obj_config - one version of the operators' configuration */
struct obj_config {
	int64_t version;
	struct obj_route *routes;
	uint32_t n_routes;
	struct obj_service *services;
	uint32_t n_services;
	struct obj_limits limits;
};

/**
 * struct obj_upstream - what an upstream says of itself
 * @draining: it will stop soon
 * @cold_ms: how long it stays cold from when the entry was written
 * @born_ms: Unix time of its start; another one means that it started again
 */
struct obj_upstream {
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

/** enum obj_move_state - how far a move is, as stored */
enum obj_move_state {
	OBJ_MOVE_NEW,
	OBJ_MOVE_RUNNING,
	OBJ_MOVE_DONE,
	OBJ_MOVE_ROLLED_BACK,
};

/**
 * struct obj_move - an operator's order to move a service to a version
 * @name: name of the object in the store
 * @service: service
 * @to_version: version that gets the traffic
 * @duration_ms: time to finish in
 * @revision: of the stored object, for a conditional write of its status
 * @state: stored status; NEW when it is of another version
 * @started_ms: Unix time at which it began to run, 0 before
 * @executor: VM that carries it out, NULL before it runs
 */
struct obj_move {
	char *name;
	char *service;
	char *to_version;
	int64_t duration_ms;
	int64_t revision;
	enum obj_move_state state;
	int64_t started_ms;
	char *executor;
};

/** struct obj_member - a VM that runs the load balancer */
struct obj_member {
	char *id;
	char *zone;
	char *address;      /* "ip:port" for datagrams */
	uint32_t link_mbps; /* bandwidth, 0 when not known */
};

/** obj_config_new() - empty configuration */
struct obj_config *obj_config_new(void);

/** obj_config_free() - free with all that it holds; NULL does nothing */
void obj_config_free(struct obj_config *c);

/** obj_config_service() - service with this name, or NULL */
const struct obj_service *obj_config_service(
    const struct obj_config *c, const char *name);

/** obj_upstream_finish() - free the strings */
void obj_upstream_finish(struct obj_upstream *u);

/** obj_move_finish() - free the strings */
void obj_move_finish(struct obj_move *m);

/** obj_member_finish() - free the strings */
void obj_member_finish(struct obj_member *m);

#endif
