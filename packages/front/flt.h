/*
 * flt - filter chain of requests.
 *
 * Each filter looks at a call, may set its error kind, and says whether the
 * chain goes on. A filter that waits for another thread returns FLT_WAIT; the
 * chain continues with flt_run() when the answer is there.
 */
#ifndef FRONT_FLT_H
#define FRONT_FLT_H

#include "front/call.h"
#include "front/env.h"

/** enum flt_verdict - what the chain does next */
enum flt_verdict {
	FLT_NEXT,
	FLT_WAIT,
	FLT_STOP, /* call->err says why */
};

struct flt;

/** struct flt_ops - behaviour of a filter */
struct flt_ops {
	const char *name;
	enum flt_verdict (*request)(struct flt *f, struct call *c);
};

/** struct flt - head of each filter */
struct flt {
	const struct flt_ops *ops;
};

/** flt_run() - run the chain from call->filter on */
enum flt_verdict flt_run(struct call *c);

/** flt_continue() - run the chain on after a wait; ends the call on a stop */
void flt_continue(struct call *c);

/** flt_fresh() - ERR_NONE, or why this VM must not route now */
enum err_kind flt_fresh(const struct env *env, int64_t now_us);

#endif
