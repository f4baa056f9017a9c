/*
 * fnr - this VM's part in the news of the fleet, see fleet/reader_election.h.
 *
 * It tells the others what the store told it when it is a reader, takes over
 * what readers tell, and puts its own reads off or hurries them by that.
 *
 *	fnr_init(&r, &desc);
 *	fnr_start(&r, now_ms);
 *	fnr_tick(&r, now_ms);
 *	if (!fnr_on_datagram(&r, bytes, now_ms)) ...
 *	fnr_finish(&r);
 */
#ifndef CONTROL_FNR_H
#define CONTROL_FNR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fleet_view.h"
#include "fleet/reader_election.h"
#include "fleet/store.h"

/**
 * struct fnr_desc - settings and effects
 * @self: id of this VM
 * @link_mbps: its bandwidth, 0 when not known
 * @fls: what this VM knows
 * @store: its reads are put off or hurried
 * @send_all: sends a datagram to all other VMs
 * @arg: argument of @send_all
 */
struct fnr_desc {
	const char *self;
	uint32_t link_mbps;
	struct fleet_view *fls;
	struct fleet_store *store;
	void (*send_all)(void *arg, struct bstr bytes);
	void *arg;
};

/**
 * struct fnr - state on caller-owned memory
 * @fnw: who reads
 * @kept: GBytes, datagrams that came during a list of upstreams
 * @reads: this VM reads the store for the others
 * @members_again: the second list of VMs was asked for
 * @members_known: it was read
 * @members_due_ms: when the list of VMs may be hurried
 */
struct fnr {
	struct fnr_desc desc;
	struct reader_election fnw;
	GPtrArray *kept;
	bool reads;
	int64_t start_ms;
	bool members_again;
	bool members_known;
	int64_t members_due_ms;
};

/** fnr_init() - nothing was told */
void fnr_init(struct fnr *r, const struct fnr_desc *desc);

/** fnr_finish() - free */
void fnr_finish(struct fnr *r);

/** fnr_start() - the store begins to be read */
void fnr_start(struct fnr *r, int64_t now_ms);

/** fnr_tick() - do what is due; call it at least every 100 ms */
void fnr_tick(struct fnr *r, int64_t now_ms);

/** fnr_on_member() - a VM is in the list of the fleet */
void fnr_on_member(
    struct fnr *r, const char *id, const struct obj_member *m, int64_t now_ms);

/**
 * fnr_on_changes() - the store told changes of a kind, see struct
 * store_sink_ops
 *
 * A reader passes them on, so that the others need not list the kind.
 */
void fnr_on_changes(
    struct fnr *r, enum store_kind kind, int64_t base, struct bstr bytes);

/** fnr_on_updated() - a kind is known as of @revision */
void fnr_on_updated(
    struct fnr *r, enum store_kind kind, int64_t revision, int64_t now_ms);

/**
 * fnr_on_datagram() - a datagram of another VM came
 *
 * Return: false when it is none of news.
 */
bool fnr_on_datagram(struct fnr *r, struct bstr bytes, int64_t now_ms);

#endif
