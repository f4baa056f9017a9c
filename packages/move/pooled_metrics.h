/*
 * pooled_metrics - pooled canary metrics of one move.
 *
 * Adds the counters that all VMs send about the two versions of a move and
 * compares the versions on each route, so that a route with few calls is not
 * averaged away.
 *
 *	struct pooled_metrics p;
 *	pooled_init(&p, now_ms);
 *	pooled_add(&p, &sender, rows, n, service);
 *	reason = pooled_why_bad(&p);
 *	pooled_finish(&p);
 */
#ifndef MOVE_POOLED_METRICS_H
#define MOVE_POOLED_METRICS_H

#include "move/canary_test.h"
#include "move/version_move.h"

/**
 * struct pooled_metrics - metrics of one move on caller-owned memory
 * @last: "sender version route" -> last counters, struct canary_count
 * @routes: struct pooled_route
 * @rotated_ms: last rotation of the window
 * @step_calls: calls to the new version since the caller set it to 0
 */
struct pooled_metrics {
	GHashTable *last;
	GPtrArray *routes;
	int64_t rotated_ms;
	uint64_t step_calls;
};

/** pooled_init() - no calls */
void pooled_init(struct pooled_metrics *p, int64_t now_ms);

/** pooled_finish() - free */
void pooled_finish(struct pooled_metrics *p);

/**
 * pooled_add() - counters of one sender
 * @rows: since the start of the sender; other services and versions are skipped
 * @s: service with the move
 *
 * A repeated row adds nothing and a late one is ignored, because the counters
 * only grow. The first row of a sender is the base: an executor that takes over
 * must not count what its predecessor saw.
 */
void pooled_add(struct pooled_metrics *p, const struct vm_id *sender,
    const struct move_row *rows, uint32_t n, const struct cfg_service *s);

/** pooled_why_bad() - text, owned by the caller, or NULL if none is bad */
char *pooled_why_bad(const struct pooled_metrics *p);

/**
 * pooled_is_suspect() - whether a route is too close to a decision for a step
 */
bool pooled_is_suspect(const struct pooled_metrics *p);

/**
 * pooled_is_tried() - whether each used route saw enough calls of the version
 */
bool pooled_is_tried(
    const struct pooled_metrics *p, const struct cfg_limits *l);

/** pooled_tick() - advance the window of recent calls */
void pooled_tick(struct pooled_metrics *p, int64_t now_ms);

#endif
