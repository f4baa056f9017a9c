/*
 * move_executor - carries out a move: decides the share of the new version and
 * when it is done or rolled back.
 *
 * One VM is the executor of a move. It collects the counters of all VMs, which
 * only grow while a process lives, and decides from their sums. The share stays
 * low for the first half of the time, because some versions turn bad late, and
 * then rises. At the end the old version gets nothing for a while before the
 * move is done, because its upstreams stop at that moment.
 *
 *	move_exec_init(&m, &desc, now_ms);
 *	move_exec_add(&m, "vm2", boot, &counts);
 *	move_exec_tick(&m, now_ms, capacity_ready);
 *	use(m.share, m.state);
 *	move_exec_finish(&m);
 */
#ifndef FLEET_MOVE_EXECUTOR_H
#define FLEET_MOVE_EXECUTOR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/objects.h"
#include "move/canary_test.h"

/* Decisions that the last look at the new version covers. */
#define MOVE_EXEC_MARKS 5

/**
 * struct move_exec_counts - attempts that one process has seen
 * @old_version: all versions but the new one
 * @new_version: the new one
 */
struct move_exec_counts {
	struct canary_count old_version;
	struct canary_count new_version;
};

/**
 * struct move_exec_desc - settings
 * @duration_ms: time that the order gives
 * @elapsed_ms: time that passed before this VM became the executor
 */
struct move_exec_desc {
	int64_t duration_ms;
	int64_t elapsed_ms;
};

/**
 * struct move_executor - state on caller-owned memory
 * @duration_ms: time that the order gives
 * @start_ms: when the order was given
 * @all_new_ms: when the new version began to get all requests, 0 before
 * @rotate_ms: when the test's window moves on
 * @reports: process -> struct move_exec_counts, highest counts seen
 * @total: sums that the test has seen
 * @marks: earlier sums of the new version, a second back
 * @n_marks: decisions so far
 * @test: comparison of the versions
 * @share: of the new version, in permille
 * @state: RUNNING, then DONE or ROLLED_BACK for good
 * @reason: why it was rolled back, a constant
 */
struct move_executor {
	int64_t duration_ms;
	int64_t start_ms;
	int64_t all_new_ms;
	int64_t rotate_ms;
	GHashTable *reports;
	struct move_exec_counts total;
	struct canary_count marks[MOVE_EXEC_MARKS];
	unsigned n_marks;
	struct canary_route test;
	uint32_t share;
	enum obj_move_state state;
	const char *reason;
};

/** move_exec_init() - the move begins */
void move_exec_init(
    struct move_executor *m, const struct move_exec_desc *desc, int64_t now_ms);

/** move_exec_finish() - free */
void move_exec_finish(struct move_executor *m);

/**
 * move_exec_add() - counters of a process
 * @vm: its VM
 * @boot: number that differs for each start of the process
 */
void move_exec_add(struct move_executor *m, const char *vm, uint64_t boot,
    const struct move_exec_counts *counts);

/**
 * move_exec_tick() - decide again
 * @capacity: upstreams of the new version that can take work, per 1,000 of the
 *	old version's
 */
void move_exec_tick(struct move_executor *m, int64_t now_ms, uint32_t capacity);

#endif
