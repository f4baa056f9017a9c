/*
 * pol - pooled canary metrics of one move.
 *
 * Adds the counters that all VMs send about the two versions of a move and
 * compares the versions on each route, so that a route with few calls is not
 * averaged away.
 *
 *	struct pol p;
 *	pol_init(&p, now_ms);
 *	pol_add(&p, &sender, rows, n, service);
 *	reason = pol_why_bad(&p);
 *	pol_finish(&p);
 */
#ifndef MOVE_POL_H
#define MOVE_POL_H

#include "move/can.h"
#include "move/mov.h"

/**
 * struct pol - metrics of one move on caller-owned memory
 * @last: "sender version route" -> last counters, struct can_count
 * @routes: struct pol_route
 * @rotated_ms: last rotation of the window
 * @step_calls: calls to the new version since the caller set it to 0
 */
struct pol {
	GHashTable *last;
	GPtrArray *routes;
	int64_t rotated_ms;
	uint64_t step_calls;
};

/** pol_init() - no calls */
void pol_init(struct pol *p, int64_t now_ms);

/** pol_finish() - free */
void pol_finish(struct pol *p);

/**
 * pol_add() - counters of one sender
 * @rows: since the start of the sender; other services and versions are skipped
 * @s: service with the move
 *
 * A repeated row adds nothing and a late one is ignored, because the counters
 * only grow. The first row of a sender is the base: an executor that takes over
 * must not count what its predecessor saw.
 */
void pol_add(struct pol *p, const struct vm_id *sender,
    const struct mov_row *rows, uint32_t n, const struct cfg_service *s);

/** pol_why_bad() - text, owned by the caller, or NULL if none is bad */
char *pol_why_bad(const struct pol *p);

/** pol_is_suspect() - whether a route is too close to a decision for a step */
bool pol_is_suspect(const struct pol *p);

/** pol_is_tried() - whether each used route saw enough calls of the version */
bool pol_is_tried(const struct pol *p, const struct cfg_limits *l);

/** pol_tick() - advance the window of recent calls */
void pol_tick(struct pol *p, int64_t now_ms);

#endif
