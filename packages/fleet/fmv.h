/*
 * fmv - carries out a move: decides the share of the new version and when it is
 * done or rolled back.
 *
 * One VM is the executor of a move. It collects the counters of all VMs, which
 * only grow while a process lives, and decides from their sums. The share stays
 * low for the first half of the time, because some versions turn bad late, and
 * then rises. At the end the old version gets nothing for a while before the
 * move is done, because its upstreams stop at that moment.
 *
 *	fmv_init(&m, &desc, now_ms);
 *	fmv_add(&m, "vm2", boot, &counts);
 *	fmv_tick(&m, now_ms, capacity_ready);
 *	use(m.share, m.state);
 *	fmv_finish(&m);
 */
#ifndef FLEET_FMV_H
#define FLEET_FMV_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fld.h"
#include "move/can.h"

/* Decisions that the last look at the new version covers. */
#define FMV_MARKS 5

/**
 * struct fmv_counts - attempts that one process has seen
 * @old_version: all versions but the new one
 * @new_version: the new one
 */
struct fmv_counts {
	struct can_count old_version;
	struct can_count new_version;
};

/**
 * struct fmv_desc - settings
 * @duration_ms: time that the order gives
 * @elapsed_ms: time that passed before this VM became the executor
 */
struct fmv_desc {
	int64_t duration_ms;
	int64_t elapsed_ms;
};

/**
 * struct fmv - state on caller-owned memory
 * @duration_ms: time that the order gives
 * @start_ms: when the order was given
 * @all_new_ms: when the new version began to get all requests, 0 before
 * @rotate_ms: when the test's window moves on
 * @reports: process -> struct fmv_counts, highest counts seen
 * @total: sums that the test has seen
 * @marks: earlier sums of the new version, a second back
 * @n_marks: decisions so far
 * @test: comparison of the versions
 * @share: of the new version, in permille
 * @state: RUNNING, then DONE or ROLLED_BACK for good
 * @reason: why it was rolled back, a constant
 */
struct fmv {
	int64_t duration_ms;
	int64_t start_ms;
	int64_t all_new_ms;
	int64_t rotate_ms;
	GHashTable *reports;
	struct fmv_counts total;
	struct can_count marks[FMV_MARKS];
	unsigned n_marks;
	struct can_route test;
	uint32_t share;
	enum fld_move_state state;
	const char *reason;
};

/** fmv_init() - the move begins */
void fmv_init(struct fmv *m, const struct fmv_desc *desc, int64_t now_ms);

/** fmv_finish() - free */
void fmv_finish(struct fmv *m);

/**
 * fmv_add() - counters of a process
 * @vm: its VM
 * @boot: number that differs for each start of the process
 */
void fmv_add(struct fmv *m, const char *vm, uint64_t boot,
    const struct fmv_counts *counts);

/**
 * fmv_tick() - decide again
 * @capacity: upstreams of the new version that can take work, per 1,000 of the
 *	old version's
 */
void fmv_tick(struct fmv *m, int64_t now_ms, uint32_t capacity);

#endif
