/*
 * attempt_report - what attempts tell about upstreams and versions.
 */
#ifndef FRONT_ATTEMPT_REPORT_H
#define FRONT_ATTEMPT_REPORT_H

#include "front/call.h"

/**
 * attempt_report_state() - compare X-State of the answer's head with the
 * routing table
 *
 * What is news (rt_state_is_news()) goes to the control thread, at most once
 * per ATTEMPT_REPORT_STATE_PERIOD_MS for each upstream and worker.
 */
void attempt_report_state(struct call *c, int64_t now_us);

/** attempt_report_attempt() - count an attempt that ended */
void attempt_report_attempt(struct call *c, bool failed, int64_t now_us);

#define ATTEMPT_REPORT_STATE_PERIOD_MS 100

#endif
