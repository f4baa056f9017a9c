/*
 * move_executor - carries out a move: decides the share of the new version and
 * whether the move is completed or rolled back (prefix move_exec_).
 *
 * One VM is the executor of a move. It collects the counters of all VMs, which
 * only grow while a process runs, and decides from their sums. The share stays
 * low for the first half of the duration, because some versions start to fail
 * late, and then rises. Before the move is completed, the old version gets no
 * new requests for a while, because its upstreams stop at completion.
 *
 *	move_exec_init(&m, &desc, now_ms);
 *	move_exec_add(&m, "vm2", boot, &counts);
 *	move_exec_tick(&m, now_ms, capacity);
 *	use(m.share, m.state);
 *	move_exec_finish(&m);
 *
 * now_ms is monotonic.
 */
#ifndef FLEET_MOVE_EXECUTOR_H
#define FLEET_MOVE_EXECUTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/objects.h"
#include "move/canary_test.h"

/*
 * Number of ticks that the recent counts of the new version cover: a second at
 * the usual 200 ms per tick.
 */
#define MOVE_EXEC_RECENT_TICKS 5

/**
 * struct move_exec_counts - attempts that one process counted
 * @old_version: attempts at all versions except the new one
 * @new_version: attempts at the target version of the move
 */
struct move_exec_counts {
	struct canary_count old_version;
	struct canary_count new_version;
};

/**
 * struct move_exec_upstreams - usable upstreams of the service
 * @n_new: those of the new version
 * @n_others: those of all other versions
 */
struct move_exec_upstreams {
	uint32_t n_new;
	uint32_t n_others;
};

/**
 * struct move_exec_desc - settings
 * @duration_ms: time limit of the order
 * @elapsed_ms: time that passed before this VM became the executor
 */
struct move_exec_desc {
	int64_t duration_ms;
	int64_t elapsed_ms;
};

/**
 * struct move_executor - state on caller-owned memory
 * @duration_ms: time limit of the order
 * @start_ms: when the move began
 * @full_share_ms: when the new version began to get all requests, 0 before
 * @before_full: counts of the new version at that time
 * @rotated_ms: when the window of the test was last rotated
 * @reports: process -> struct move_exec_counts, highest counts received
 * @total: sums over all processes at the last tick
 * @recent_totals: ring of the new version's sums at the last ticks
 * @n_ticks: number of ticks so far
 * @test: comparison of the versions
 * @share: share of the new version in permille
 * @state: OBJ_MOVE_RUNNING, then OBJ_MOVE_DONE or OBJ_MOVE_ROLLED_BACK for good
 * @reason: reason for a rollback, a string constant; NULL without one
 */
struct move_executor {
	int64_t duration_ms;
	int64_t start_ms;
	int64_t full_share_ms;
	struct canary_count before_full;
	int64_t rotated_ms;
	GHashTable *reports;
	struct move_exec_counts total;
	struct canary_count recent_totals[MOVE_EXEC_RECENT_TICKS];
	unsigned n_ticks;
	struct canary_route test;
	uint32_t share;
	enum obj_move_state state;
	const char *reason;
};

/** move_exec_init() - begin or take over a move */
void move_exec_init(
    struct move_executor *m, const struct move_exec_desc *desc, int64_t now_ms);

/** move_exec_finish() - free the reports */
void move_exec_finish(struct move_executor *m);

/**
 * move_exec_add() - update the counters of a process
 * @vm: VM that the process runs on
 * @boot: number that differs for each start of the process
 * @counts: counts since the start of the process; lower ones are ignored
 */
void move_exec_add(struct move_executor *m, const char *vm, uint64_t boot,
    const struct move_exec_counts *counts);

/**
 * move_exec_roll_back() - roll a running move back for a reason outside of its
 * counters; does nothing once the move has ended
 * @reason: string constant
 */
void move_exec_roll_back(struct move_executor *m, const char *reason);

/**
 * move_exec_tick() - evaluate the counters and update the share and the state
 * @upstreams: usable upstreams now
 */
void move_exec_tick(struct move_executor *m, int64_t now_ms,
    const struct move_exec_upstreams *upstreams);

#endif
