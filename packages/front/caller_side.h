/*
 * fe - caller side of a call, over libmicrohttpd.
 *
 * The daemon is driven by the worker's epoll loop. A connection is suspended
 * while the call waits for its upstream and resumed by the functions below.
 */
#ifndef FRONT_CALLER_SIDE_H
#define FRONT_CALLER_SIDE_H

#include "front/call.h"
#include "front/worker.h"

/** caller_side_start() - MHD daemon on a listening socket; NULL on failure */
struct MHD_Daemon *caller_side_start(struct worker *w, int listen_fd);

/** caller_side_on_head() - the answer's head is complete */
void caller_side_on_head(struct call *c);

/** caller_side_on_data() - call->answer has grown */
void caller_side_on_data(struct call *c);

/** caller_side_on_end() - the answer is complete or call->err says why not */
void caller_side_on_end(struct call *c);

/**
 * caller_side_on_body_taken() - the upstream side took bytes from call->body
 */
void caller_side_on_body_taken(struct call *c);

/** caller_side_on_hangup() - a caller closed its connection */
void caller_side_on_hangup(struct worker_source *s);

/** caller_side_give_up() - end all calls whose answer has not begun, see
 * upstream_side_give_up()
 */
void caller_side_give_up(struct worker *w);

/**
 * caller_side_sweep() - close connections whose callers are too slow
 * @w: worker
 * @now_us: boot-time microseconds
 * @idle_too: also stop reading from connections without a request
 */
void caller_side_sweep(struct worker *w, int64_t now_us, bool idle_too);

#endif
