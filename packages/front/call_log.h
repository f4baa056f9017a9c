/*
 * call_log - log lines about calls, for the analysis of failed calls.
 *
 * Logs each attempt and each call that failed, successful calls that missed
 * their latency goal, and a sample of one in CALL_LOG_SAMPLE of the other
 * successful calls. At most CALL_LOG_MAX_PER_S lines are written per second.
 * Successful calls have a lower limit, so that they are dropped first. The next
 * line contains the number of dropped lines. Nothing is logged if the protocol
 * has no field for the request id.
 *
 *	call_log_attempt(a, kind);
 *	call_log_end(c);
 */
#ifndef FRONT_CALL_LOG_H
#define FRONT_CALL_LOG_H

#include "front/call.h"

#define CALL_LOG_SAMPLE 16
#define CALL_LOG_MAX_PER_S 100
/* Successful calls are logged only up to this many lines in a second. */
#define CALL_LOG_GOOD_PER_S 20

/**
 * struct call_log - rate limit of the log, allocated by the calling code
 * @second: current second of the boot-time clock
 * @lines: lines written in @second
 * @left_out: lines dropped since the last line
 * @good: successful calls within their goal, for the sample
 */
struct call_log {
	int64_t second;
	unsigned lines;
	uint64_t left_out;
	uint64_t good;
};

/** call_log_attempt() - log an attempt that ended with @kind, if it failed */
void call_log_attempt(struct call_attempt *a, enum err_kind kind);

/** call_log_end() - log the end of a call, subject to sample and limits */
void call_log_end(struct call *c);

#endif
