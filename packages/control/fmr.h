/*
 * fmr - this VM's part in the moves of the fleet.
 *
 * It finds out who is the executor of each move, sends it this VM's counters or
 * is the executor itself, and takes over when the executor is silent. The
 * status in the store changes only by conditional writes, so that of two VMs
 * that write one fails.
 *
 *	fmr_init(&r, &desc);
 *	fmr_tick(&r, now_ms);
 *	fmr_on_datagram(&r, bytes, now_ms);
 *	fmr_on_written(&r, service, result, now_ms);
 *	fmr_finish(&r);
 */
#ifndef CONTROL_FMR_H
#define CONTROL_FMR_H

#include <glib.h>
#include <stdint.h>

#include "fleet/fleet_view.h"
#include "peer/move_datagram.h"

/**
 * struct fmr_desc - settings and effects
 * @self: id of this VM
 * @boot: number of this process
 * @fls: what this VM knows
 * @store: receives status writes
 * @send: sends a datagram to "ip:port"
 * @send_all: sends a datagram to all other VMs
 * @wall_ms: Unix time
 * @arg: argument of the functions
 */
struct fmr_desc {
	const char *self;
	uint64_t boot;
	struct fleet_view *fls;
	struct fleet_store *store;
	void (*send)(void *arg, const char *address, struct bstr bytes);
	void (*send_all)(void *arg, struct bstr bytes);
	int64_t (*wall_ms)(void *arg);
	void *arg;
};

/** struct fmr - state on caller-owned memory */
struct fmr {
	struct fmr_desc desc;
	GHashTable *parts; /* service -> struct part */
	int64_t next_ms;
};

/** fmr_init() - no move is known */
void fmr_init(struct fmr *r, const struct fmr_desc *desc);

/** fmr_finish() - free */
void fmr_finish(struct fmr *r);

/** fmr_tick() - do what is due; call it at least every 50 ms while moves run */
void fmr_tick(struct fmr *r, int64_t now_ms);

/** fmr_is_active() - whether a move runs */
bool fmr_is_active(const struct fmr *r);

/** fmr_on_datagram() - a datagram of another VM came */
void fmr_on_datagram(struct fmr *r, struct bstr bytes, int64_t now_ms);

/** fmr_on_written() - the write of the status of the move @name ended */
void fmr_on_written(
    struct fmr *r, const char *name, enum store_result result, int64_t now_ms);

#endif
