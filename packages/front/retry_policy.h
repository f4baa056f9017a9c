/*
 * retry_policy - whether a call may have another attempt.
 *
 *	if (retry_policy_take(a, kind))
 *		...                             (start another attempt)
 */
#ifndef FRONT_RETRY_POLICY_H
#define FRONT_RETRY_POLICY_H

#include "front/call.h"

/** retry_policy_max_attempts() - limit of the route, or the default */
unsigned retry_policy_max_attempts(const struct call *c);

/**
 * retry_policy_is_allowed() - whether another attempt is allowed after
 * @a that ended with @kind, apart from the retry budget
 *
 * A request that is not idempotent is sent again only if nothing was sent, or
 * the upstream guarantees that it did not run it.
 */
bool retry_policy_is_allowed(
    const struct call_attempt *a, enum err_kind kind, int64_t now_us);

/**
 * retry_policy_take() - as retry_policy_is_allowed(), and takes the attempt
 * from the retry budget; false when the budget allows none
 *
 * The retry of a 5xx response (attempt->failed) was taken when its head
 * arrived.
 */
bool retry_policy_take(struct call_attempt *a, enum err_kind kind);

#endif
