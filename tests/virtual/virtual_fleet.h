/*
 * virtual_fleet - a fleet of VMs and its store in virtual time (prefix
 * vfleet_).
 *
 * Each VM is a fleet_node with the real client of the platform's store; the
 * store's contents are lib/stored_objects. VMs can lose their path to the store
 * and to each other. A run depends only on the seed.
 *
 *	struct vfleet *f = vfleet_new(&(struct vfleet_desc){
 *	    .n_vms = 19, .n_zones = 3, .n_upstreams = 38, .seed = seed});
 *	vfleet_run(f, 10000);
 *	f->vms[3].path = VFLEET_PATH_SILENT;
 *	vfleet_put_config(f, 5);
 *	vfleet_run(f, 2000);
 *	version = vfleet_config_version(&f->vms[4]);
 *	vfleet_free(f);
 */
#ifndef TESTS_VIRTUAL_FLEET_H
#define TESTS_VIRTUAL_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "control/fleet_node.h"
#include "lib/stored_objects.h"
#include "ops/metrics.h"
#include "ops/settings.h"

#define VFLEET_STEP_MS 10
#define VFLEET_NAME_BYTES 16

/** enum vfleet_path - what happens to the calls of a VM to the store */
enum vfleet_path {
	VFLEET_PATH_OPEN,
	VFLEET_PATH_SILENT,  /* no answer, also to calls in flight */
	VFLEET_PATH_REFUSED, /* no connection; those that are open are reset */
	VFLEET_PATH_BUSY,    /* status 503; watches in flight hear nothing */
	VFLEET_PATHS
};

/**
 * struct vfleet_vm - a VM
 * @node: the VM's part in the fleet
 * @store: client of the store
 * @path: its path to the store
 * @isolated: no datagram passes between it and the other VMs
 * @calls: calls to the store
 * @stale_lists: those of them that were lists which may be stale
 */
struct vfleet_vm {
	struct fleet_node node;
	struct vfleet *f;
	char id[VFLEET_NAME_BYTES];
	char zone[VFLEET_NAME_BYTES];
	struct settings set;
	struct metrics metrics;
	struct fleet_store *store;
	enum vfleet_path path;
	bool isolated;
	unsigned calls;
	unsigned stale_lists;
};

/**
 * struct vfleet_desc - settings
 * @n_zones: availability zones, to which the VMs belong in turn
 * @loss_percent: datagrams that are lost
 */
struct vfleet_desc {
	unsigned n_vms;
	unsigned n_zones;
	unsigned n_upstreams;
	uint32_t loss_percent;
	uint64_t seed;
};

/** struct vfleet - the fleet, its store, and datagrams in flight */
struct vfleet {
	struct vfleet_desc desc;
	struct random rng;
	struct stored_objects store;
	struct vfleet_vm *vms;
	GQueue datagrams;
	int64_t now_ms;
};

/** vfleet_new() - a fleet whose VMs have just started */
struct vfleet *vfleet_new(const struct vfleet_desc *desc);

/** vfleet_free() - free the fleet */
void vfleet_free(struct vfleet *f);

/** vfleet_run() - let @ms milliseconds pass */
void vfleet_run(struct vfleet *f, int64_t ms);

/** vfleet_put_config() - the operator writes a version of the configuration */
void vfleet_put_config(struct vfleet *f, int64_t version);

/** vfleet_put_upstream() - an upstream writes its entry */
void vfleet_put_upstream(struct vfleet *f, unsigned i, const char *state);

/** vfleet_config_version() - version that is in effect, 0 for none */
int64_t vfleet_config_version(const struct vfleet_vm *vm);

/** vfleet_calls() - full calls to the store by all VMs */
double vfleet_calls(const struct vfleet *f);

#endif
