/*
 * move_runner - takes part in the moves of the fleet on this VM.
 *
 * For each move, this VM either is the executor, or sends its counters to the
 * executor and takes over when the executor sends no decisions. The status in
 * the store changes only by conditional writes, so that only one of two VMs
 * that write at the same time succeeds.
 *
 *	move_runner_init(&r, &desc);
 *	move_runner_tick(&r, now_ms);
 *	move_runner_on_datagram(&r, bytes, now_ms);
 *	move_runner_on_written(&r, name, result, now_ms);
 *	move_runner_finish(&r);
 *
 * now_ms is monotonic.
 */
#ifndef CONTROL_MOVE_RUNNER_H
#define CONTROL_MOVE_RUNNER_H

#include <glib.h>
#include <stdint.h>

#include "fleet/fleet_view.h"
#include "peer/move_datagram.h"

/**
 * struct move_runner_desc - settings and callbacks
 * @self: id of this VM
 * @boot: number that differs for each start of the process
 * @view: the fleet as this VM knows it
 * @store: receives status writes
 * @send: sends a datagram to "ip:port"
 * @send_all: sends a datagram to all other VMs
 * @wall_ms: returns the Unix time in milliseconds
 * @arg: argument of the callbacks
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

/**
 * struct move_runner - state on caller-owned memory
 * @local_moves: service -> struct local_move
 * @next_ms: when the next round is due
 */
struct move_runner {
	struct move_runner_desc desc;
	GHashTable *local_moves;
	int64_t next_ms;
};

/** move_runner_init() - initialise without moves */
void move_runner_init(
    struct move_runner *r, const struct move_runner_desc *desc);

/** move_runner_finish() - free the contents; @r itself stays allocated */
void move_runner_finish(struct move_runner *r);

/**
 * move_runner_tick() - run the next round when it is due; call it at least
 * every 50 ms while moves run
 */
void move_runner_tick(struct move_runner *r, int64_t now_ms);

/** move_runner_is_active() - whether any move is not finished yet */
bool move_runner_is_active(const struct move_runner *r);

/** move_runner_on_datagram() - handle a datagram of another VM */
void move_runner_on_datagram(
    struct move_runner *r, struct bstr bytes, int64_t now_ms);

/**
 * move_runner_on_written() - handle the result of a status write
 * @name: name of the move object in the store
 */
void move_runner_on_written(struct move_runner *r, const char *name,
    enum store_result result, int64_t now_ms);

#endif
