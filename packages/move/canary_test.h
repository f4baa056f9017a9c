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
 *	struct canary_route r = {0};
 *	canary_add_old(&r, 100, 1, 0);
 *	canary_add_new(&r, 10, 10, 0);
 *	if (canary_is_bad(&r) != CANARY_GOOD) ...
 *	every CANARY_WINDOW_MS / 2: canary_rotate(&r);
 */
#ifndef MOVE_CANARY_TEST_H
#define MOVE_CANARY_TEST_H

#include <stdbool.h>
#include <stdint.h>

#define CANARY_WINDOW_MS 10000

/** enum canary_verdict - result of the comparison */
enum canary_verdict { CANARY_GOOD, CANARY_FAILING, CANARY_SLOW };

/** struct canary_count - calls of one version on one route */
struct canary_count {
	uint64_t calls;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct canary_route - state of the test, all zero at the start
 * @old_total: old version, whole move
 * @old_recent: old version, the current and the last half window
 * @new_total: new version, whole move
 * @fail_score: CUSUM of the failures
 * @slow_score: CUSUM of the slow calls
 */
struct canary_route {
	struct canary_count old_total;
	struct canary_count old_recent[2];
	struct canary_count new_total;
	double fail_score;
	double slow_score;
};

/** canary_add_old() - calls of the old version */
void canary_add_old(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow);

/**
 * canary_add_new() - calls of the new version, after the old ones of the time
 */
void canary_add_new(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow);

/** canary_rotate() - half a window has passed */
void canary_rotate(struct canary_route *r);

/** canary_is_bad() - whether a score reached the threshold */
enum canary_verdict canary_is_bad(const struct canary_route *r);

/** canary_is_suspect() - whether a score reached half of the threshold */
bool canary_is_suspect(const struct canary_route *r);

#endif
