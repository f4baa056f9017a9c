/*
 * caller_side - caller side of a call, on top of libmicrohttpd (MHD).
 *
 * The worker's epoll loop drives the MHD daemon. A connection is suspended
 * while its call waits for an upstream; the functions below resume it.
 *
 *	w->mhd = caller_side_start(w, listen_fd);
 *	...
 *	c->answer_done = true;                  (upstream side)
 *	caller_side_on_end(c);
 */
#ifndef FRONT_CALLER_SIDE_H
#define FRONT_CALLER_SIDE_H

#include "front/call.h"
#include "front/worker.h"

/** caller_side_start() - start MHD on a listening socket; NULL on failure */
struct MHD_Daemon *caller_side_start(struct worker *w, int listen_fd);

/** caller_side_has_read() - whether the caller has taken an answer before */
bool caller_side_has_read(const struct call *c);

/** caller_side_on_head() - the answer's head is complete */
void caller_side_on_head(struct call *c);

/** caller_side_on_data() - call->answer has grown */
void caller_side_on_data(struct call *c);

/** caller_side_on_end() - the answer is complete or call->err is set */
void caller_side_on_end(struct call *c);

/**
 * caller_side_on_body_taken() - the upstream side took bytes from call->body
 */
void caller_side_on_body_taken(struct call *c);

/** caller_side_on_hangup() - a caller closed its side of the connection */
void caller_side_on_hangup(struct worker_source *s);

/**
 * caller_side_give_up() - fail all calls that still wait for an upstream
 *
 * See upstream_side_give_up().
 */
void caller_side_give_up(struct worker *w);

/**
 * caller_side_sweep() - close connections of callers that send too slowly, and
 * end waiting calls whose caller has hung up
 * @w: worker
 * @now_us: boot-time microseconds
 * @idle_too: also stop reading from connections that have no request
 */
void caller_side_sweep(struct worker *w, int64_t now_us, bool idle_too);

/**
 * caller_side_sweep_lingering() - read on connections that were closed after
 * an answer, and free those whose caller has closed too or whose time is over
 */
void caller_side_sweep_lingering(struct worker *w, int64_t now_us);

#endif
