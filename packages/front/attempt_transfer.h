/*
 * attempt_transfer - transfer of an attempt, based on libcurl.
 *
 * It sends the request of the call, evaluates the response head, and buffers
 * the response body in the attempt. Events that concern the caller reach the
 * caller side through caller_side_on_head(), caller_side_on_data() and
 * caller_side_on_body_taken().
 *
 * libcurl calls the pre-request callback before it writes the first byte. From
 * then on, a request that is not idempotent is retried only when the protocol
 * guarantees that the upstream did not run it.
 *
 *	upstream_choice_apply(a, &pick);
 *	a->xfer.done = on_done;
 *	attempt_transfer_start(a, now_us);
 *	...                                     (on_done() is called at the end)
 *	kind = attempt_transfer_error(a, result);
 *	attempt_transfer_end(a);
 */
#ifndef FRONT_ATTEMPT_TRANSFER_H
#define FRONT_ATTEMPT_TRANSFER_H

#include "front/call.h"

/* A paused transfer is resumed when this much of the answer is left. */
#define ATTEMPT_ANSWER_LOW_WATER (64 * 1024)

/**
 * attempt_transfer_start() - send the request to the upstream of the attempt
 * @a: idle attempt with an upstream
 * @now_us: boot-time microseconds
 */
void attempt_transfer_start(struct call_attempt *a, int64_t now_us);

/**
 * attempt_transfer_end() - end the transfer and make the attempt idle; closes
 * the connection of a transfer that was in progress
 */
void attempt_transfer_end(struct call_attempt *a);

/**
 * attempt_transfer_error() - error kind of a transfer that ended with @result,
 * ERR_NONE when the answer can be used
 */
enum err_kind attempt_transfer_error(
    const struct call_attempt *a, CURLcode result);

#endif
