/*
 * canary_test - sequential comparison of a new version with the old one on one
 * route (prefix canary_).
 *
 * One CUSUM test of the log-likelihood ratio covers failed calls and another
 * one slow calls. The null hypothesis uses an upper confidence bound of the old
 * version's ratio over the whole move, or over the last CANARY_WINDOW_MS when
 * the ratio is significantly higher there, so that a fault of both versions is
 * not attributed to the new one. The test never ends: it also detects a version
 * that becomes bad later.
 *
 *	struct canary_route r = {0};
 *	canary_add_old(&r, 100, 1, 0);
 *	canary_add_new(&r, 10, 10, 0);
 *	if (canary_evaluate(&r) != CANARY_GOOD) ...
 *	every CANARY_WINDOW_MS / 2: canary_rotate(&r);
 */
#ifndef MOVE_CANARY_TEST_H
#define MOVE_CANARY_TEST_H

#include <stdbool.h>
#include <stdint.h>

/* Length of the window of recent calls of the old version. */
#define CANARY_WINDOW_MS 10000

/**
 * enum canary_verdict - result of the comparison
 * @CANARY_GOOD: no significant difference so far
 * @CANARY_FAILING: too many failed calls
 * @CANARY_SLOW: too many slow calls
 */
enum canary_verdict { CANARY_GOOD, CANARY_FAILING, CANARY_SLOW };

/** struct canary_count - calls of one version on one route */
struct canary_count {
	uint64_t calls;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct canary_route - state of the test, all zero at the start
 * @old_total: calls of the old version since the start of the move
 * @old_recent: calls of the old version in the current half window [0] and in
 *     the previous one [1]
 * @new_total: calls of the new version since the start of the move
 * @fail_score: CUSUM of the failed calls
 * @slow_score: CUSUM of the slow calls
 */
struct canary_route {
	struct canary_count old_total;
	struct canary_count old_recent[2];
	struct canary_count new_total;
	double fail_score;
	double slow_score;
};

/** canary_add_old() - add calls of the old version */
void canary_add_old(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow);

/**
 * canary_add_new() - add calls of the new version and update the scores
 *
 * Calls of the old version from the same period must be added first.
 */
void canary_add_new(
    struct canary_route *r, uint64_t calls, uint64_t failed, uint64_t slow);

/** canary_rotate() - start the next half window */
void canary_rotate(struct canary_route *r);

/**
 * canary_evaluate() - result of the comparison
 *
 * Return: CANARY_FAILING or CANARY_SLOW when that score has reached the
 * threshold, otherwise CANARY_GOOD.
 */
enum canary_verdict canary_evaluate(const struct canary_route *r);

/**
 * canary_evidence() - evidence that calls are worse than those of the old
 * version, from one sample of each
 * @bad: failed or slow calls among @calls
 * @old_bad: the same calls among @old_calls of the old version
 *
 * Return: x, where a version that is no worse gives as many bad calls or more
 * with a probability of at most e^-x; 0 if the ratio is not higher.
 */
double canary_evidence(
    uint64_t bad, uint64_t calls, uint64_t old_bad, uint64_t old_calls);

/** canary_is_suspect() - whether a score has reached half of the threshold */
bool canary_is_suspect(const struct canary_route *r);

#endif
