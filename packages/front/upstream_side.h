/*
 * upstream_side - upstream side of a call: its attempts at upstreams.
 *
 * upstream_side_start() chooses an upstream and starts one attempt. When it
 * fails, the call is retried or ends. A late attempt of an idempotent request
 * goes on beside a second one at another upstream; the first usable answer is
 * the answer of the call, and the other attempt is cancelled. The end reaches
 * the caller side through caller_side_on_end().
 *
 *	kind = upstream_side_start(c);
 *	if (kind != ERR_NONE)
 *		upstream_side_end(c, kind);
 */
#ifndef FRONT_UPSTREAM_SIDE_H
#define FRONT_UPSTREAM_SIDE_H

#include "front/call.h"

/**
 * upstream_side_start() - choose an upstream and send the request, or wait for
 * a slot or for load reports
 *
 * Return: ERR_NONE, also when the call waits, or the error kind with which the
 * call has to end.
 */
enum err_kind upstream_side_start(struct call *c);

/**
 * upstream_side_resume() - continue after load reports have arrived
 *
 * Starts the request, or a second attempt of a late request.
 */
void upstream_side_resume(struct call *c);

/**
 * upstream_side_end() - end the call with @kind, or with the response for
 * ERR_NONE
 *
 * Reports the outcome of a granted claim. If @kind means "not run" but an
 * earlier attempt may have run, the kind of that attempt is used instead.
 */
void upstream_side_end(struct call *c, enum err_kind kind);

/**
 * upstream_side_body_ready() - resume sending: call->body has more data or is
 * complete
 */
void upstream_side_body_ready(struct call *c);

/**
 * upstream_side_answer_taken() - resume receiving: the caller side consumed
 * bytes of call->answer
 */
void upstream_side_answer_taken(struct call *c);

/**
 * upstream_side_choose() - make the answer of @a the answer of the call
 *
 * Ends the other attempt. No byte of its answer may have been passed on.
 */
void upstream_side_choose(struct call *c, struct call_attempt *a);

/**
 * upstream_side_on_late() - handle an idempotent request that exceeded its
 * latency goal
 *
 * The response may be lost. If it makes no progress and the retry budget allows
 * it, a second attempt starts once a slot is reserved for it at another
 * upstream. The late attempt goes on.
 */
void upstream_side_on_late(struct call *c, int64_t now_us);

/**
 * upstream_side_give_up() - fail a call that still waits for an upstream
 *
 * Does nothing when the response to the caller has begun, or when the call has
 * no attempt and does not wait for an upstream.
 */
void upstream_side_give_up(struct call *c);

/**
 * upstream_side_cancel() - cancel all attempts and close their connections
 */
void upstream_side_cancel(struct call *c);

#endif
