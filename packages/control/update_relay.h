/*
 * update_relay - exchange of updates between VMs, so that few of them read the
 * store; see fleet/reader_election.h.
 *
 * A reader broadcasts the changes that it receives from the store. The other
 * VMs apply these updates, and postpone their own reads or list at once
 * depending on the digests in them.
 *
 *	update_relay_init(&r, &desc);
 *	update_relay_start(&r, now_ms);
 *	update_relay_tick(&r, now_ms);
 *	if (!update_relay_on_datagram(&r, bytes, now_ms)) ...
 *	update_relay_finish(&r);
 *
 * now_ms is monotonic.
 */
#ifndef CONTROL_UPDATE_RELAY_H
#define CONTROL_UPDATE_RELAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fleet_view.h"
#include "fleet/reader_election.h"
#include "fleet/store.h"

/**
 * struct update_relay_desc - settings and callbacks
 * @self: id of this VM
 * @zone: its availability zone, NULL when not known
 * @link_mbps: bandwidth of this VM, 0 when not known
 * @view: the fleet as this VM knows it
 * @store: the store, whose reads are postponed or requested
 * @send_all: sends a datagram to all other VMs
 * @arg: argument of @send_all
 */
struct update_relay_desc {
	const char *self;
	const char *zone;
	uint32_t link_mbps;
	struct fleet_view *view;
	struct fleet_store *store;
	void (*send_all)(void *arg, struct bstr bytes);
	void *arg;
};

/**
 * struct own_changes - the last changes of a kind that this VM read itself
 * @bytes: changes in the store's own format, NULL for none
 * @base: revision since which they are complete
 * @read_ms: when they were read
 */
struct own_changes {
	GBytes *bytes;
	int64_t base;
	int64_t read_ms;
};

/**
 * struct update_relay - state on caller-owned memory
 * @election: decides which VMs read the store
 * @buffered: GBytes, datagrams received while upstreams are listed
 * @changes: for each kind, what a new reader relays
 * @is_reader: this VM reads the store for the others
 * @in_outage: the store did not answer at the last tick
 * @start_ms: time of update_relay_start()
 * @members_reread: the second list of VMs was requested, or is not needed
 * @members_known: a complete list of VMs was read
 * @members_due_ms: when the list of VMs may be requested again because of an
 *	unknown sender
 */
struct update_relay {
	struct update_relay_desc desc;
	struct reader_election election;
	GPtrArray *buffered;
	struct own_changes changes[STORE_KINDS];
	bool is_reader;
	bool in_outage;
	int64_t start_ms;
	bool members_reread;
	bool members_known;
	int64_t members_due_ms;
};

/** update_relay_init() - initialise; no update was received yet */
void update_relay_init(
    struct update_relay *r, const struct update_relay_desc *desc);

/** update_relay_finish() - free the contents; @r itself stays allocated */
void update_relay_finish(struct update_relay *r);

/** update_relay_start() - call it when this VM begins to read the store */
void update_relay_start(struct update_relay *r, int64_t now_ms);

/**
 * update_relay_tick() - request the second list of VMs and update the reader
 * role; call it at least every 100 ms
 */
void update_relay_tick(struct update_relay *r, int64_t now_ms);

/** update_relay_on_member() - record that a VM is in the list of the fleet */
void update_relay_on_member(struct update_relay *r, const char *id,
    const struct obj_member *m, int64_t now_ms);

/**
 * update_relay_on_changes() - handle changes of a kind that the store reported,
 * see struct store_sink_ops
 *
 * A reader relays them, so that the others do not have to list the kind.
 */
void update_relay_on_changes(struct update_relay *r, enum store_kind kind,
    int64_t base, struct bstr bytes, int64_t now_ms);

/** update_relay_on_updated() - the objects of a kind are as of @revision */
void update_relay_on_updated(struct update_relay *r, enum store_kind kind,
    int64_t revision, int64_t now_ms);

/**
 * update_relay_on_datagram() - handle a datagram of another VM
 *
 * Return: false when the datagram is not an update.
 */
bool update_relay_on_datagram(
    struct update_relay *r, struct bstr bytes, int64_t now_ms);

#endif
