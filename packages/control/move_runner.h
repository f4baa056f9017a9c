/*
 * move_runner - this VM's part in the moves of the fleet.
 *
 * It finds out who is the executor of each move, sends it this VM's counters or
 * is the executor itself, and takes over when the executor is silent. The
 * status in the store changes only by conditional writes, so that of two VMs
 * that write one fails.
 *
 *	move_runner_init(&r, &desc);
 *	move_runner_tick(&r, now_ms);
 *	move_runner_on_datagram(&r, bytes, now_ms);
 *	move_runner_on_written(&r, service, result, now_ms);
 *	move_runner_finish(&r);
 */
#ifndef CONTROL_MOVE_RUNNER_H
#define CONTROL_MOVE_RUNNER_H

#include <glib.h>
#include <stdint.h>

#include "fleet/fleet_view.h"
#include "peer/move_datagram.h"

/**
 * struct move_runner_desc - settings and effects
 * @self: id of this VM
 * @boot: number of this process
 * @view: what this VM knows
 * @store: receives status writes
 * @send: sends a datagram to "ip:port"
 * @send_all: sends a datagram to all other VMs
 * @wall_ms: Unix time
 * @arg: argument of the functions
 */
struct move_runner_desc {
	const char *self;
	uint64_t boot;
	struct fleet_view *view;
	struct fleet_store *store;
	void (*send)(void *arg, const char *address, struct bstr bytes);
	void (*send_all)(void *arg, struct bstr bytes);
	int64_t (*wall_ms)(void *arg);
	void *arg;
};

/** struct move_runner - state on caller-owned memory */
struct move_runner {
	struct move_runner_desc desc;
	GHashTable *parts; /* service -> struct part */
	int64_t next_ms;
};

/** move_runner_init() - no move is known */
void move_runner_init(
    struct move_runner *r, const struct move_runner_desc *desc);

/** move_runner_finish() - free */
void move_runner_finish(struct move_runner *r);

/**
 * move_runner_tick() - do what is due; call it at least every 50 ms while moves
 * run
 */
void move_runner_tick(struct move_runner *r, int64_t now_ms);

/** move_runner_is_active() - whether a move runs */
bool move_runner_is_active(const struct move_runner *r);

/** move_runner_on_datagram() - a datagram of another VM came */
void move_runner_on_datagram(
    struct move_runner *r, struct bstr bytes, int64_t now_ms);

/**
 * move_runner_on_written() - the write of the status of the move @name ended
 */
void move_runner_on_written(struct move_runner *r, const char *name,
    enum store_result result, int64_t now_ms);

#endif
