/*
 * authenticate - finds the workspace of a request by its key, and refuses
 * requests that need a key and have no valid one.
 *
 * The workspace is read from the routing table in which the match filter found
 * the route, so that a change of routes and keys applies to a request as a
 * whole. Without workspaces in the table, requests pass unchanged.
 *
 *	authenticate_read(c, table, route);     (under the RCU read lock)
 *	...
 *	verdict = authenticate_request(f, c);   (next filter)
 */
#ifndef FRONT_AUTHENTICATE_H
#define FRONT_AUTHENTICATE_H

#include "front/call.h"
#include "front/filter.h"

/**
 * authenticate_read() - set the workspace, its counter and the priority
 * @c: call whose conn is set
 * @t: routing table
 * @r: route of the call in @t
 */
void authenticate_read(
    struct call *c, const struct rt_table *t, const struct rt_route *r);

/** authenticate_request() - filter that follows the match filter */
enum filter_verdict authenticate_request(struct filter *f, struct call *c);

#endif
