/*
 * cx - attempts of calls over keep-alive connections, with every byte checked.
 *
 * An attempt sends one request to one target and ends in exactly one way. A
 * pool holds the connections to all targets; an attempt that finds none idle
 * and the limit reached waits for one in order.
 *
 *	cx_init(&pool, &desc);
 *	t->kind = CPL_LOOKUP; t->host = "menu.example"; t->id = "r1";
 *	t->seed = pat_seed(bstr_from(t->id));
 *	t->done = on_done;
 *	cx_start(&pool, t, target, timeout_us);
 */
#ifndef LOAD_CX_H
#define LOAD_CX_H

#include <sys/queue.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "load/cbal.h"
#include "load/crep.h"

/** enum cx_outcome - what an attempt showed of the execution of the request */
enum cx_outcome {
	CX_NONE, /* nothing was sent */
	CX_NOT_RUN,
	CX_UNKNOWN,
	CX_RAN,
};

/**
 * struct cx_result - how an attempt ended
 * @end: CREP_NO_ENTRY when no connection could be made
 * @word: what is known about the execution
 * @reused: the connection had carried another request before
 * @refusal: error kind of the load balancer, ERR_NONE when it gave none
 */
struct cx_result {
	enum crep_end end;
	enum cx_outcome word;
	bool reused;
	enum err_kind refusal;
};

struct cx_conn;
struct cx_pool;

/**
 * struct cx - one attempt
 * @kind: what is called
 * @host: Host value
 * @id: request id, also the idempotency key of a payment
 * @seed: pat_seed() of @id
 * @target: where it was sent last
 * @done: called once at the end; the attempt may be started again in it
 */
struct cx {
	enum cpl_id kind;
	const char *host;
	const char *id;
	uint64_t seed;
	int target;
	void (*done)(struct cx *t, const struct cx_result *r);
	/* Private. */
	TAILQ_ENTRY(cx) next;
	struct evl_timer timer;
	struct cx_pool *pool;
	struct cx_conn *conn;
	bool waiting, got_head, wrong;
	uint64_t pos, sent_body;
	XXH64_state_t hash;
};

TAILQ_HEAD(cx_conns, cx_conn);
TAILQ_HEAD(cx_tries, cx);

/** struct cx_target - connections to a target and attempts that wait */
struct cx_target {
	struct cx_conns idle;
	struct cx_tries waiting;
	int n_conns;
};

/**
 * struct cx_pool - connections to all targets
 * @loop: loop that runs everything
 * @plan: bodies of the kinds
 * @bal: addresses of the targets
 * @max_conns: connections to one target
 */
struct cx_pool {
	struct evl *loop;
	const struct cpl *plan;
	const struct cbal *bal;
	int max_conns;
	struct cx_target *targets;
};

/** cx_init() - the four public members of @p are set by the caller */
void cx_init(struct cx_pool *p);

/** cx_start() - begin an attempt; its end is reported to @t->done */
void cx_start(struct cx_pool *p, struct cx *t, int target, int64_t timeout_us);

#endif
