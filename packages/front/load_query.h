/*
 * load_query - probes that query upstreams for their load just before a
 * request.
 *
 * A call waits until all of its probes have responded or failed, or until a
 * timeout, which becomes shorter after the first responses. Then
 * upstream_side_start() chooses an upstream; see route/load_choice.h.
 *
 *	load_query_init(&q);
 *	if (load_query_start(c, service, &req, now_us))
 *		return;           (upstream_side_start() is called later)
 *	...
 *	load_query_leave(c);      (the call ends before the responses)
 *	load_query_finish(&q);
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
 * @calls: calls that wait for probes
 */
struct load_query {
	struct cds_list_head probes;
	struct cds_list_head calls;
};

/** load_query_init() - set up empty lists */
void load_query_init(struct load_query *q);

/** load_query_finish() - cancel all probes; no call may be waiting */
void load_query_finish(struct load_query *q);

/**
 * load_query_start() - query the candidates of a call for their load
 * @c: call
 * @s: service, under the RCU read lock
 * @req: properties of the request that affect the choice
 * @now_us: boot-time microseconds
 *
 * Return: true when the call now waits, false when no upstream has to be
 * queried.
 */
bool load_query_start(struct call *c, const struct rt_service *s,
    const struct rt_request *req, int64_t now_us);

/**
 * load_query_leave() - end the wait of a call; does nothing when it does not
 * wait
 */
void load_query_leave(struct call *c);

/** load_query_on_timer() - handle the expired timer of a waiting call */
void load_query_on_timer(struct call *c, int64_t now_us);

#endif
