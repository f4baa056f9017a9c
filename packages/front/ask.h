/*
 * ask - probes that ask upstreams for their load just before a request.
 *
 * A call waits until all upstreams that it asked have answered, or some have
 * and the others are late. Then ups_start() chooses one; see
 * route/load_choice.h.
 *
 *	ask_init(&a);
 *	if (ask_start(c, service, &req, now_us))
 *		return;                  ups_start() is called again
 *	...
 *	ask_leave(c);                    the call ends meanwhile
 *	ask_finish(&a);
 */
#ifndef FRONT_ASK_H
#define FRONT_ASK_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "front/call.h"

/**
 * struct ask - probes and waiting calls of one worker
 * @probes: probes in flight
 * @calls: calls that wait for them
 */
struct ask {
	struct cds_list_head probes;
	struct cds_list_head calls;
};

/** ask_init() - nothing in flight */
void ask_init(struct ask *a);

/** ask_finish() - cancel all probes; no call may wait any more */
void ask_finish(struct ask *a);

/**
 * ask_start() - ask candidates for a call
 * @c: call
 * @s: service, under the RCU read lock
 * @req: upstreams to avoid
 *
 * Return: true when the call now waits, false when there is none to ask.
 */
bool ask_start(struct call *c, const struct rt_service *s,
    const struct rt_request *req, int64_t now_us);

/** ask_leave() - the call does not wait any more; nothing when it does not */
void ask_leave(struct call *c);

/** ask_on_timer() - the timer of a waiting call has fired */
void ask_on_timer(struct call *c, int64_t now_us);

#endif
