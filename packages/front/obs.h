/*
 * obs - what attempts tell about upstreams and versions.
 */
#ifndef FRONT_OBS_H
#define FRONT_OBS_H

#include "front/call.h"

/**
 * obs_state() - compare X-State of the answer's head with the routing table
 *
 * What is news (rt_state_is_news()) goes to the control thread, at most once
 * per OBS_STATE_PERIOD_MS for each upstream and worker.
 */
void obs_state(struct call *c, int64_t now_us);

/** obs_attempt() - count an attempt that ended */
void obs_attempt(struct call *c, bool failed, int64_t now_us);

#define OBS_STATE_PERIOD_MS 100

#endif
