/*
 * ask - probes that ask upstreams for their load just before a request.
 *
 * A call waits until all upstreams that it asked have answered, or some have
 * and the others are late. Then upstream_side_start() chooses one; see
 * route/load_choice.h.
 *
 *	load_query_init(&a);
 *	if (load_query_start(c, service, &req, now_us))
 *		return;                  upstream_side_start() is called again
 *	...
 *	load_query_leave(c);                    the call ends meanwhile
 *	load_query_finish(&a);
 */
#ifndef FRONT_LOAD_QUERY_H
#define FRONT_LOAD_QUERY_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "front/call.h"

/**
 * struct load_query - probes and waiting calls of one worker
 * @probes: probes in flight
 * @calls: calls that wait for them
 */
struct load_query {
	struct cds_list_head probes;
	struct cds_list_head calls;
};

/** load_query_init() - nothing in flight */
void load_query_init(struct load_query *a);

/** load_query_finish() - cancel all probes; no call may wait any more */
void load_query_finish(struct load_query *a);

/**
 * load_query_start() - ask candidates for a call
 * @c: call
 * @s: service, under the RCU read lock
 * @req: upstreams to avoid
 *
 * Return: true when the call now waits, false when there is none to ask.
 */
bool load_query_start(struct call *c, const struct rt_service *s,
    const struct rt_request *req, int64_t now_us);

/**
 * load_query_leave() - the call does not wait any more; nothing when it does
 * not
 */
void load_query_leave(struct call *c);

/** load_query_on_timer() - the timer of a waiting call has fired */
void load_query_on_timer(struct call *c, int64_t now_us);

#endif
