/*
 * reader_election - elects the few VMs that read the store for the whole fleet
 * (prefix reader_).
 *
 * Each read of the store has a cost, and upstreams have to be read every
 * second. The first VMs in the order are the readers. The best of each
 * availability zone come first, then the second of each, so that the readers
 * are not lost together with one zone. Within a zone and between zones, the
 * rank depends on bandwidth first, because a reader sends each update to all
 * VMs at once, and then on a hash.
 *
 * A reader broadcasts what changed, together with the store's revision, a
 * digest of all objects of each kind, and how long ago the store showed that
 * they were current. A VM with the same digest postpones its next read, counted
 * from that time; a VM whose digest differs, or that receives no updates, reads
 * the store itself. Updates of an older revision are ignored, so that a reader
 * that was paused cannot bring back an outdated state.
 *
 *	reader_init(&e, &(struct reader_desc){.self = "vm1"});
 *	reader_on_update(&e, "vm2", now_ms);
 *	if (reader_is_reader(&e, now_ms))
 *		changes = view_take_changed(&fleet_view);
 *	reader_finish(&e);
 *
 * now_ms is monotonic.
 */
#ifndef FLEET_READER_ELECTION_H
#define FLEET_READER_ELECTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fleet_view.h"

/* Number of readers; the other VMs need at least one of them. */
#define READER_COUNT 2
/*
 * While the store does not answer, only this many VMs, the first in the order,
 * become readers, so that the number of probes does not grow with the fleet.
 */
#define READER_BACKUP_COUNT 10
/*
 * How long a VM counts as a reader after its last update: the minimum plus a
 * step for each VM before this one, up to the maximum. The next VMs in the
 * order take over first, so that the others receive their updates before they
 * read the store themselves.
 */
#define READER_TIMEOUT_MIN_MS 900
#define READER_TIMEOUT_STEP_MS 100
#define READER_TIMEOUT_MAX_MS 1700
/*
 * An update postpones the next read by this long, which is below the time limit
 * for a drain.
 */
#define READER_POSTPONE_MS 1400
/* The same for moves and zones out of service, whose limits are longer. */
#define READER_POSTPONE_ORDERS_MS 2600

/**
 * struct reader_desc - settings
 * @self: id of this VM
 * @zone: its availability zone, NULL when not known
 * @link_mbps: bandwidth of this VM, 0 when not known
 */
struct reader_desc {
	const char *self;
	const char *zone;
	uint32_t link_mbps;
};

/**
 * struct reader_order - position of a VM in the order of the readers
 * @zone: its availability zone; that of this VM when not known
 * @rank: rank within the zone, lower is better
 * @place: number of VMs of the zone with a better rank
 */
struct reader_order {
	char *zone;
	uint64_t rank;
	unsigned place;
};

/**
 * struct reader_election - state on caller-owned memory
 * @self: id of this VM
 * @order: own position
 * @peers: VM -> its position and the time of its last update
 * @places_valid: the places are those of the VMs that are known now
 */
struct reader_election {
	char *self;
	struct reader_order order;
	GHashTable *peers;
	bool places_valid;
};

/** reader_init() - initialise; no other VM is known yet */
void reader_init(struct reader_election *e, const struct reader_desc *desc);

/** reader_finish() - free the contents; @e itself stays allocated */
void reader_finish(struct reader_election *e);

/** reader_on_update() - record that an update of another VM was received */
void reader_on_update(
    struct reader_election *e, const char *vm, int64_t now_ms);

/**
 * reader_on_listed() - record that a VM is in the list of the fleet
 *
 * A VM that sent no update yet counts as if it had just sent one, so that VMs
 * that start together do not all read until the first update arrives.
 */
void reader_on_listed(struct reader_election *e, const char *vm,
    const char *zone, uint32_t link_mbps, int64_t now_ms);

/** reader_renew() - count all VMs as if they had just sent an update */
void reader_renew(struct reader_election *e, int64_t now_ms);

/**
 * reader_is_reader() - whether this VM has to read the store and broadcast
 * changes
 */
bool reader_is_reader(struct reader_election *e, int64_t now_ms);

/**
 * reader_is_backup() - whether this VM may become a reader during an outage of
 * the store
 */
bool reader_is_backup(struct reader_election *e);

#endif
