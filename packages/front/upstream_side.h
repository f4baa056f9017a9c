/*
 * upstream_side - upstream side of a call, over libcurl.
 *
 * upstream_side_start() chooses an upstream and starts one transfer. Events of
 * the transfer reach the caller side through caller_side_on_head(),
 * caller_side_on_data() and caller_side_on_end().
 *
 * A request that is not idempotent is never sent again once libcurl has called
 * the pre-request callback, which runs before the first byte is written.
 */
#ifndef FRONT_UPSTREAM_SIDE_H
#define FRONT_UPSTREAM_SIDE_H

#include "front/call.h"

/**
 * upstream_side_start() - choose an upstream and send the request, or wait for
 * a slot
 *
 * Return: ERR_NONE, or the kind with which the call ends.
 */
enum err_kind upstream_side_start(struct call *c);

/**
 * upstream_side_end() - the call has its result: @kind, or the answer for
 * ERR_NONE
 *
 * Settles a claim. When an earlier attempt may have run, its kind replaces one
 * that says "not run".
 */
void upstream_side_end(struct call *c, enum err_kind kind);

/**
 * upstream_side_body_ready() - more request body is in call->body, or it is
 * complete
 */
void upstream_side_body_ready(struct call *c);

/**
 * upstream_side_answer_taken() - the caller side took bytes from call->answer
 */
void upstream_side_answer_taken(struct call *c);

/**
 * upstream_side_on_late() - an idempotent request got no answer within its goal
 *
 * The answer may be lost; the request goes to another upstream if the retry
 * budget allows.
 */
void upstream_side_on_late(struct call *c, int64_t now_us);

/**
 * upstream_side_give_up() - end a call that waits for an upstream, with an
 * error
 *
 * Nothing happens when its answer has begun, or before its request is complete.
 */
void upstream_side_give_up(struct call *c);

/**
 * upstream_side_cancel() - end the transfer; the connection to the upstream is
 * closed
 */
void upstream_side_cancel(struct call *c);

#endif
