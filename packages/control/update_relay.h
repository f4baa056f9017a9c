/*
 * update_relay - this VM's part in the news of the fleet, see
 * fleet/reader_election.h.
 *
 * It tells the others what the store told it when it is a reader, takes over
 * what readers tell, and puts its own reads off or hurries them by that.
 *
 *	update_relay_init(&r, &desc);
 *	update_relay_start(&r, now_ms);
 *	update_relay_tick(&r, now_ms);
 *	if (!update_relay_on_datagram(&r, bytes, now_ms)) ...
 *	update_relay_finish(&r);
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
 * struct update_relay_desc - settings and effects
 * @self: id of this VM
 * @link_mbps: its bandwidth, 0 when not known
 * @view: what this VM knows
 * @store: its reads are put off or hurried
 * @send_all: sends a datagram to all other VMs
 * @arg: argument of @send_all
 */
struct update_relay_desc {
	const char *self;
	uint32_t link_mbps;
	struct fleet_view *view;
	struct fleet_store *store;
	void (*send_all)(void *arg, struct bstr bytes);
	void *arg;
};

/**
 * struct update_relay - state on caller-owned memory
 * @election: who reads
 * @kept: GBytes, datagrams that came during a list of upstreams
 * @reads: this VM reads the store for the others
 * @members_again: the second list of VMs was asked for
 * @members_known: it was read
 * @members_due_ms: when the list of VMs may be hurried
 */
struct update_relay {
	struct update_relay_desc desc;
	struct reader_election election;
	GPtrArray *kept;
	bool reads;
	int64_t start_ms;
	bool members_again;
	bool members_known;
	int64_t members_due_ms;
};

/** update_relay_init() - nothing was told */
void update_relay_init(
    struct update_relay *r, const struct update_relay_desc *desc);

/** update_relay_finish() - free */
void update_relay_finish(struct update_relay *r);

/** update_relay_start() - the store begins to be read */
void update_relay_start(struct update_relay *r, int64_t now_ms);

/** update_relay_tick() - do what is due; call it at least every 100 ms */
void update_relay_tick(struct update_relay *r, int64_t now_ms);

/** update_relay_on_member() - a VM is in the list of the fleet */
void update_relay_on_member(struct update_relay *r, const char *id,
    const struct obj_member *m, int64_t now_ms);

/**
 * update_relay_on_changes() - the store told changes of a kind, see struct
 * store_sink_ops
 *
 * A reader passes them on, so that the others need not list the kind.
 */
void update_relay_on_changes(struct update_relay *r, enum store_kind kind,
    int64_t base, struct bstr bytes);

/** update_relay_on_updated() - a kind is known as of @revision */
void update_relay_on_updated(struct update_relay *r, enum store_kind kind,
    int64_t revision, int64_t now_ms);

/**
 * update_relay_on_datagram() - a datagram of another VM came
 *
 * Return: false when it is none of news.
 */
bool update_relay_on_datagram(
    struct update_relay *r, struct bstr bytes, int64_t now_ms);

#endif
