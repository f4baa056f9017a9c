/*
 * fct - control thread of a VM whose fleet is kept in the platform's store.
 *
 * It reads the store through store.h, publishes the routing table in struct
 * env, divides fleet-wide limits by the number of VMs, and takes part in moves.
 *
 *	struct fct *c = fct_new(&desc, &error);
 *	env.control = fct_queue(c);
 *	fct_start(c);
 *	...
 *	fct_stop(c);
 *	fct_free(c);
 */
#ifndef CONTROL_FCT_H
#define CONTROL_FCT_H

#include <glib.h>
#include <stdint.h>

#include "fleet/store.h"
#include "front/shared_state.h"
#include "ops/settings.h"

/**
 * struct fct_desc - settings; all pointers stay valid until fct_free()
 * @set: settings
 * @env: receives the routing table
 * @store: the store, freed by fct_free()
 * @boot: number that differs for each start of the process
 */
struct fct_desc {
	const struct settings *set;
	struct shared_state *env;
	struct fleet_store *store;
	uint64_t boot;
};

struct fct;

/** fct_new() - set up; NULL with @error when the peer address cannot be used */
struct fct *fct_new(const struct fct_desc *desc, GError **error);

/** fct_queue() - queue for messages of workers and operators */
struct message_queue *fct_queue(struct fct *c);

/** fct_ops_type() - message type of operator requests on that queue */
int fct_ops_type(void);

/** fct_start() - start the thread */
void fct_start(struct fct *c);

/** fct_stop() - stop and join the thread */
void fct_stop(struct fct *c);

/** fct_free() - free; no worker may push messages any more */
void fct_free(struct fct *c);

#endif
