/*
 * objects - types of the objects in the store: configuration, upstreams, move
 * orders and members (prefix obj_).
 *
 * The adapter of a platform fills them in; this module does not depend on the
 * platform's format. Strings are owned by the struct and zero-terminated.
 *
 *	struct obj_config *c = obj_config_new();
 *	...
 *	obj_config_free(c);
 */
#ifndef FLEET_OBJECTS_H
#define FLEET_OBJECTS_H

#include <stdbool.h>
#include <stdint.h>

/** struct obj_split - service and its weight in a route */
struct obj_split {
	char *service;
	uint32_t weight;
};

/**
 * struct obj_route - route for the requests to one host and path prefix
 * @host: Host value without port
 * @prefix: path prefix, begins and ends with a slash
 * @idempotent: requests may be executed more than once
 * @timeout_ms: longest time that a caller waits for a response, 0 for no limit
 * @goal_ms: latency goal of a response, 0 when not set
 * @attempts: most upstreams that one request may be sent to, at least 1
 * @splits: services and their weights, at least one
 * @priority: rank of its requests when there is too little room, 0 is the most
 *	urgent
 * @is_public: requests need no key of a workspace
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
	uint32_t priority;
	bool is_public;
};

/* Workspace without a priority of its own: that of the route applies. */
#define OBJ_NO_PRIORITY UINT32_MAX

/**
 * struct obj_workspace - a workspace and the keys of its callers
 * @name: name
 * @priority: rank of its requests, before that of the route, or OBJ_NO_PRIORITY
 * @keys: keys that its callers present
 */
struct obj_workspace {
	char *name;
	uint32_t priority;
	char **keys;
	uint32_t n_keys;
};

/**
 * struct obj_service - settings for the upstreams of a service
 * @probe_path: path that reports health and load
 * @max_connections: most connections of all VMs together to one upstream
 * @cold_per_s: most requests a second of all VMs together to a cold upstream
 */
struct obj_service {
	char *name;
	char *probe_path;
	uint32_t max_connections;
	double cold_per_s;
};

/**
 * struct obj_limits - limits for callers, 0 for the daemon's own limit
 * @max_head_bytes: largest request head
 * @max_body_bytes: largest request body
 * @head_timeout_ms: longest time until a request head is complete
 * @idle_timeout_ms: longest idle time of a caller's connection
 */
struct obj_limits {
	uint64_t max_head_bytes;
	uint64_t max_body_bytes;
	uint32_t head_timeout_ms;
	uint32_t idle_timeout_ms;
};

/**
 * struct obj_config - one version of the operators' configuration
 * @version: version, greater than that of all earlier configurations
 * @routes: routes
 * @services: services
 * @limits: limits for callers
 * @has_workspaces: requests need the key of a workspace, unless their route is
 *	public
 * @workspaces: workspaces, empty without @has_workspaces
 */
struct obj_config {
	int64_t version;
	struct obj_route *routes;
	uint32_t n_routes;
	struct obj_service *services;
	uint32_t n_services;
	struct obj_limits limits;
	bool has_workspaces;
	struct obj_workspace *workspaces;
	uint32_t n_workspaces;
};

/**
 * struct obj_upstream - entry that an upstream publishes
 * @slots: requests that it can execute at a time, 0 for no limit
 * @draining: it stops soon and takes no new requests
 * @cold_ms: how long it stays cold after the entry was written
 * @start_time_ms: Unix time of its start; a different value means a restart
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
	int64_t start_time_ms;
};

/** enum obj_move_state - stored state of a move */
enum obj_move_state {
	OBJ_MOVE_NEW,
	OBJ_MOVE_RUNNING,
	OBJ_MOVE_DONE,
	OBJ_MOVE_ROLLED_BACK,
};

/**
 * struct obj_move - an operator's order to move a service to a version
 * @name: name of the object in the store
 * @service: name of the service
 * @to_version: version that gets the traffic
 * @duration_ms: time limit of the move
 * @revision: revision of the stored object, for conditional writes of its
 *	status
 * @state: stored status; OBJ_MOVE_NEW when the status is for another version
 * @started_ms: Unix time at which the move began to run, 0 before
 * @executor: VM that carries out the move, NULL before it runs
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

/** obj_config_new() - create an empty configuration, owned by the caller */
struct obj_config *obj_config_new(void);

/** obj_config_free() - free a configuration; NULL does nothing */
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
