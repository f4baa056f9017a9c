/*
 * call_log - log lines about calls, so that a failed one can be explained
 * afterwards.
 *
 * One line for each attempt that failed or was refused and for each call that
 * ended otherwise than well; of good calls one in CALL_LOG_SAMPLE, and those
 * that missed their goal. Above CALL_LOG_MAX_PER_S lines a second, good calls
 * are left out first; the number left out is part of the next line.
 *
 *	call_log_attempt(c, kind);
 *	call_log_end(c);
 */
#ifndef FRONT_CALL_LOG_H
#define FRONT_CALL_LOG_H

#include "front/call.h"

#define CALL_LOG_SAMPLE 16
#define CALL_LOG_MAX_PER_S 100
/* Part of the lines of a second that good calls may use. */
#define CALL_LOG_GOOD_PER_S 20

/** struct call_log - lines of the current second, on caller-owned memory */
struct call_log {
	int64_t second;
	unsigned lines;
	uint64_t left_out;
	uint64_t good;
};

/** call_log_attempt() - an attempt at an upstream ended with @kind */
void call_log_attempt(struct call *c, enum err_kind kind);

/** call_log_end() - the call ended */
void call_log_end(struct call *c);

#endif
