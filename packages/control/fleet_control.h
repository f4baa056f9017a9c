/*
 * fleet_control - control thread of a VM whose fleet is described in the
 * platform's store.
 *
 * The thread reads the store through store.h, publishes the routing table in
 * struct shared_state, divides fleet-wide limits by the number of VMs, and
 * takes part in moves.
 *
 *	struct fleet_control *c = fleet_control_new(&desc, &error);
 *	shared.control = fleet_control_queue(c);
 *	fleet_control_start(c);
 *	...
 *	fleet_control_stop(c);
 *	fleet_control_free(c);
 */
#ifndef CONTROL_FLEET_CONTROL_H
#define CONTROL_FLEET_CONTROL_H

#include <glib.h>
#include <stdint.h>

#include "fleet/store.h"
#include "front/shared_state.h"
#include "ops/settings.h"

/**
 * struct fleet_control_desc - settings; all pointers stay valid until
 * fleet_control_free()
 * @set: settings of the process
 * @shared: receives the routing table
 * @store: the store, freed by fleet_control_free()
 * @boot: number that differs for each start of the process
 */
struct fleet_control_desc {
	const struct settings *set;
	struct shared_state *shared;
	struct fleet_store *store;
	uint64_t boot;
};

struct fleet_control;

/**
 * fleet_control_new() - create the control thread's state
 * @desc: settings; copied
 * @error: set when the peer address cannot be bound or the queue cannot be
 *	created
 *
 * Return: NULL with @error on failure.
 */
struct fleet_control *fleet_control_new(
    const struct fleet_control_desc *desc, GError **error);

/**
 * fleet_control_queue() - queue for messages from workers and operators, owned
 * by @c
 */
struct message_queue *fleet_control_queue(struct fleet_control *c);

/**
 * fleet_control_ops_type() - message type of operator requests on the queue
 */
int fleet_control_ops_type(void);

/** fleet_control_start() - start the thread */
void fleet_control_start(struct fleet_control *c);

/** fleet_control_stop() - stop and join the thread */
void fleet_control_stop(struct fleet_control *c);

/** fleet_control_free() - free; no worker may push messages after this */
void fleet_control_free(struct fleet_control *c);

#endif
