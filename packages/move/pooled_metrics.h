/*
 * pooled_metrics - pooled canary metrics of one move (prefix pooled_).
 *
 * Sums the counters that all VMs send for the two versions of a move, and
 * compares the versions on each route separately, so that a fault on a route
 * with few calls is not averaged away.
 *
 *	struct pooled_metrics p;
 *	pooled_init(&p, now_ms);
 *	pooled_add(&p, &sender, rows, n, service);
 *	reason = pooled_bad_reason(&p);
 *	pooled_finish(&p);
 */
#ifndef MOVE_POOLED_METRICS_H
#define MOVE_POOLED_METRICS_H

#include "move/canary_test.h"
#include "move/version_move.h"

/**
 * struct pooled_metrics - metrics of one move, in memory of the caller
 * @last: "sender\nversion\nroute" -> last counters, struct canary_count
 * @routes: struct pooled_route
 * @rotated_ms: time of the last rotation of the window
 * @step_calls: calls of the new version since the caller last set it to 0
 */
struct pooled_metrics {
	GHashTable *last;
	GPtrArray *routes;
	int64_t rotated_ms;
	uint64_t step_calls;
};

/** pooled_init() - initialise without calls */
void pooled_init(struct pooled_metrics *p, int64_t now_ms);

/** pooled_finish() - free the metrics */
void pooled_finish(struct pooled_metrics *p);

/**
 * pooled_add() - add the counters of one sender
 * @rows: counters since the start of the sender; rows of other services and
 *     versions are skipped
 * @s: service with the move
 *
 * Counters only grow, so a repeated row adds nothing and a late one is ignored.
 * The first row of a sender is only the baseline: an executor that takes over
 * must not count calls that its predecessor has already counted.
 */
void pooled_add(struct pooled_metrics *p, const struct vm_id *sender,
    const struct move_row *rows, uint32_t n, const struct cfg_service *s);

/**
 * pooled_bad_reason() - reason why the new version is bad
 *
 * Return: text owned by the caller, or NULL when the version is not bad on any
 * route.
 */
char *pooled_bad_reason(const struct pooled_metrics *p);

/**
 * pooled_is_suspect() - whether a route is too close to a bad result for the
 * next step
 */
bool pooled_is_suspect(const struct pooled_metrics *p);

/**
 * pooled_has_enough_calls() - whether the new version has had at least
 * l->route_min_calls calls on each route in use
 */
bool pooled_has_enough_calls(
    const struct pooled_metrics *p, const struct cfg_limits *l);

/** pooled_tick() - advance the window of recent calls */
void pooled_tick(struct pooled_metrics *p, int64_t now_ms);

#endif
