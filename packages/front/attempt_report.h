/*
 * attempt_report - reports upstream states found in responses, and counts
 * the attempts of each version.
 *
 *	attempt_report_state(a, now_us);             (final response head)
 *	attempt_report_count(a, failed, now_us);     (end of the attempt)
 */
#ifndef FRONT_ATTEMPT_REPORT_H
#define FRONT_ATTEMPT_REPORT_H

#include "front/call.h"

/**
 * attempt_report_state() - report a changed upstream state to the control
 * thread
 *
 * Compares X-State of the response head with the routing table. A state is
 * reported only if rt_state_needs_report() holds, at most once per
 * ATTEMPT_REPORT_STATE_PERIOD_MS for each upstream and worker.
 */
void attempt_report_state(struct call_attempt *a, int64_t now_us);

/**
 * attempt_report_terms() - record what an answer of an upstream asks for, and
 * log when something begins, changes or ends
 * @id: id of the upstream, for the log
 */
void attempt_report_terms(struct rt_stat *upstream, struct bstr id,
    const struct terms_answer *a, int64_t now_us);

/**
 * attempt_report_count() - count a finished attempt in its tally
 * @a: attempt whose tally has not been released yet
 * @failed: the attempt failed
 * @now_us: end of the attempt, boot-time microseconds
 *
 * Does nothing if the attempt has no tally.
 */
void attempt_report_count(struct call_attempt *a, bool failed, int64_t now_us);

#define ATTEMPT_REPORT_STATE_PERIOD_MS 100

#endif
