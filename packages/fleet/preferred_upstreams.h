/*
 * preferred_upstreams - which upstreams of a service a VM asks for their load
 * first (prefix preferred_).
 *
 * A VM prefers a few upstreams of each version, so that the fleet keeps few
 * connections. They are in its own zone, if that has as many. The choices of
 * the VMs are spread over the upstreams.
 *
 *	preferred_init(&p, &desc);
 *	preferred_mark(&p, service);
 *	preferred_finish(&p);
 */
#ifndef FLEET_PREFERRED_UPSTREAMS_H
#define FLEET_PREFERRED_UPSTREAMS_H

#include <stdint.h>

#include "route/routing.h"

/**
 * struct preferred_desc - the VM that chooses
 * @self: id of the VM
 * @zone: its availability zone, empty when not known
 * @zone_rank: number of VMs of the zone that precede it
 * @zone_vms: number of VMs of the zone, at least 1
 * @max_upstreams: most upstreams of a service
 */
struct preferred_desc {
	struct bstr self;
	struct bstr zone;
	uint32_t zone_rank;
	uint32_t zone_vms;
	uint32_t max_upstreams;
};

struct preferred_place;

/**
 * struct preferred - state on caller-owned memory
 * @places: order of the upstreams of a service
 * @n_chosen: number of preferred upstreams of each version so far
 */
struct preferred {
	struct preferred_desc desc;
	struct preferred_place *places;
	uint32_t *n_chosen;
};

/** preferred_init() - initialise; the strings in @desc have to stay valid */
void preferred_init(struct preferred *p, const struct preferred_desc *desc);

/** preferred_finish() - free the contents */
void preferred_finish(struct preferred *p);

/** preferred_mark() - set rt_upstream.secondary of all upstreams of @s */
void preferred_mark(struct preferred *p, struct rt_service *s);

#endif
