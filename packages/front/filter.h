/*
 * filter - filter chain of requests.
 *
 * Each filter inspects a call, may set its error kind, and decides whether the
 * chain continues. A filter that waits for another thread or for the request
 * body returns FILTER_WAIT; the chain resumes at that filter when the wait is
 * over.
 *
 *	if (filter_run(c) == FILTER_STOP)
 *		caller_side_on_end(c);
 */
#ifndef FRONT_FILTER_H
#define FRONT_FILTER_H

#include "front/call.h"
#include "front/shared_state.h"

/** enum filter_verdict - decision of a filter */
enum filter_verdict {
	FILTER_NEXT, /* run the next filter */
	FILTER_WAIT, /* run this filter again later */
	FILTER_STOP, /* end the call with call->err */
};

struct filter;

/**
 * struct filter_ops - operations of a filter
 * @name: name of the filter
 * @request: handles the request of a call
 */
struct filter_ops {
	const char *name;
	enum filter_verdict (*request)(struct filter *f, struct call *c);
};

/**
 * struct filter - element of the chain
 * @ops: operations
 */
struct filter {
	const struct filter_ops *ops;
};

/**
 * filter_run() - run the chain from call->filter on
 *
 * Return: FILTER_NEXT after the last filter, otherwise the verdict of the
 * filter that interrupted the chain.
 */
enum filter_verdict filter_run(struct call *c);

/**
 * filter_continue() - resume the chain after a wait
 *
 * Ends the call when a filter returns FILTER_STOP.
 */
void filter_continue(struct call *c);

/**
 * filter_check_fresh() - check that the routing data of this VM is not stale
 *
 * Return: ERR_NONE, or ERR_NOT_FRESH when this VM must not route at @now_us.
 */
enum err_kind filter_check_fresh(
    const struct shared_state *shared, int64_t now_us);

#endif
