/*
 * filter - filter chain of requests.
 *
 * Each filter looks at a call, may set its error kind, and says whether the
 * chain goes on. A filter that waits for another thread returns FILTER_WAIT;
 * the chain continues with filter_run() when the answer is there.
 */
#ifndef FRONT_FILTER_H
#define FRONT_FILTER_H

#include "front/call.h"
#include "front/shared_state.h"

/** enum filter_verdict - what the chain does next */
enum filter_verdict {
	FILTER_NEXT,
	FILTER_WAIT,
	FILTER_STOP, /* call->err says why */
};

struct filter;

/** struct filter_ops - behaviour of a filter */
struct filter_ops {
	const char *name;
	enum filter_verdict (*request)(struct filter *f, struct call *c);
};

/** struct filter - head of each filter */
struct filter {
	const struct filter_ops *ops;
};

/** filter_run() - run the chain from call->filter on */
enum filter_verdict filter_run(struct call *c);

/**
 * filter_continue() - run the chain on after a wait; ends the call on a stop
 */
void filter_continue(struct call *c);

/** filter_fresh() - ERR_NONE, or why this VM must not route now */
enum err_kind filter_fresh(const struct shared_state *shared, int64_t now_us);

#endif
