/*
 * cold_owners - division of cold upstreams among the VMs by rendezvous hashing
 * (prefix cold_owners_).
 *
 * A cold upstream can serve only a few requests a second from the whole fleet.
 * Each VM ranks itself among all VMs for an upstream; the VMs with the lowest
 * ranks own it. VMs with the same list of VMs agree without messages, and a VM
 * that joins or leaves moves an upstream only to or from itself.
 *
 * The VMs are hashed once, when they are added, because a rank is computed for
 * each pair of upstream and VM.
 *
 *	cold_owners_init(&o, "vm1");
 *	cold_owners_add(&o, "vm2");
 *	owned = cold_owners_rank(&o, bstr_from(upstream)) < owners;
 *	cold_owners_finish(&o);
 */
#ifndef FLEET_COLD_OWNERS_H
#define FLEET_COLD_OWNERS_H

#include <glib.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * struct cold_owners - state on caller-owned memory
 * @self: hash of this VM's id
 * @others: hashes of the other VMs' ids
 */
struct cold_owners {
	uint64_t self;
	GArray *others;
};

/** cold_owners_init() - initialise; no other VM is known yet */
void cold_owners_init(struct cold_owners *o, const char *self);

/** cold_owners_finish() - free the contents; @o itself stays allocated */
void cold_owners_finish(struct cold_owners *o);

/** cold_owners_clear() - forget the other VMs */
void cold_owners_clear(struct cold_owners *o);

/** cold_owners_add() - add a VM; this VM's own id is ignored */
void cold_owners_add(struct cold_owners *o, const char *vm);

/** cold_owners_rank() - number of VMs that precede this one for an upstream */
uint32_t cold_owners_rank(const struct cold_owners *o, struct bstr upstream);

#endif
