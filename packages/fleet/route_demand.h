/*
 * route_demand - what the routes of a configuration demand of each service:
 * its latency goal, and whether its requests have different priorities (prefix
 * demand_).
 *
 *	demand_init(&d, config);
 *	for (each route that leads to a service)
 *		demand_add(&d, &of_service, route, share);
 *	ranked = demand_is_ranked(&of_service);
 */
#ifndef FLEET_ROUTE_DEMAND_H
#define FLEET_ROUTE_DEMAND_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/objects.h"

/** struct demand_range - least and greatest priority of some requests */
struct demand_range {
	uint32_t min;
	uint32_t max;
};

/**
 * struct route_demand - what is the same for all routes
 * @without_key: routes that are not public get requests without a key
 * @by_route: some workspace has the priority of the route
 * @workspaces: priorities of the workspaces that have their own
 */
struct route_demand {
	bool without_key;
	bool by_route;
	struct demand_range workspaces;
};

/**
 * struct service_demand - demand for one service; zeroed memory is not valid,
 * see SERVICE_DEMAND_NONE
 * @goal_ms: longest latency goal, 0 for none
 * @priorities: priorities of its requests
 */
struct service_demand {
	uint32_t goal_ms;
	struct demand_range priorities;
};

#define SERVICE_DEMAND_NONE                                                    \
	((struct service_demand){.priorities = {.min = UINT32_MAX}})

/** demand_init() - sum up the workspaces of a configuration */
void demand_init(struct route_demand *d, const struct obj_config *c);

/**
 * demand_add() - add a route that names the service
 * @gets_requests: its requests may be routed to the service
 */
void demand_add(const struct route_demand *d, struct service_demand *s,
    const struct obj_route *r, bool gets_requests);

/** demand_is_ranked() - whether the requests have different priorities */
bool demand_is_ranked(const struct service_demand *s);

#endif
