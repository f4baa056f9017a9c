/*
 * can - comparison of a new version with the old one on one route.
 *
 * A CUSUM test of the log-likelihood ratio runs for failures and for slow
 * calls. The hypothesis "equal" uses an upper confidence bound of the old
 * version's ratio, taken from the whole move and from the last seconds,
 * whichever is higher, so that a fault of both versions is not blamed on the
 * new one. The test never ends: it also detects a version that becomes bad
 * later.
 *
 *	struct can_route r = {0};
 *	can_add_old(&r, 100, 1, 0);
 *	can_add_new(&r, 10, 10, 0);
 *	if (can_is_bad(&r) != CAN_GOOD) ...
 *	every CAN_WINDOW_MS / 2: can_rotate(&r);
 */
#ifndef MOVE_CAN_H
#define MOVE_CAN_H

#include <stdbool.h>
#include <stdint.h>

#define CAN_WINDOW_MS 10000

/** enum can_verdict - result of the comparison */
enum can_verdict { CAN_GOOD, CAN_FAILING, CAN_SLOW };

/** struct can_count - calls of one version on one route */
struct can_count {
	uint64_t calls;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct can_route - state of the test, all zero at the start
 * @old_total: old version, whole move
 * @old_recent: old version, the current and the last half window
 * @new_total: new version, whole move
 * @fail_score: CUSUM of the failures
 * @slow_score: CUSUM of the slow calls
 */
struct can_route {
	struct can_count old_total;
	struct can_count old_recent[2];
	struct can_count new_total;
	double fail_score;
	double slow_score;
};

/** can_add_old() - calls of the old version */
void can_add_old(
    struct can_route *r, uint64_t calls, uint64_t failed, uint64_t slow);

/** can_add_new() - calls of the new version, after the old ones of the time */
void can_add_new(
    struct can_route *r, uint64_t calls, uint64_t failed, uint64_t slow);

/** can_rotate() - half a window has passed */
void can_rotate(struct can_route *r);

/** can_is_bad() - whether a score reached the threshold */
enum can_verdict can_is_bad(const struct can_route *r);

/** can_is_suspect() - whether a score reached half of the threshold */
bool can_is_suspect(const struct can_route *r);

#endif
