/*
 * http_attempt - attempts of calls over keep-alive connections, with every byte
 * checked.
 *
 * An attempt sends one request to one target and ends in exactly one way. A
 * pool holds the connections to all targets; an attempt that finds none idle
 * and the limit reached waits for one in order.
 *
 *	attempt_init(&pool, &desc);
 *	t->kind = LOAD_PLAN_LOOKUP; t->host = "menu.example"; t->id = "r1";
 *	t->seed = pattern_seed(bstr_from(t->id));
 *	t->done = on_done;
 *	attempt_start(&pool, t, target, timeout_us);
 */
#ifndef LOAD_HTTP_ATTEMPT_H
#define LOAD_HTTP_ATTEMPT_H

#include <sys/queue.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "load/balancer.h"
#include "load/load_report.h"

/**
 * enum attempt_outcome - what an attempt showed of the execution of the request
 */
enum attempt_outcome {
	ATTEMPT_NONE, /* nothing was sent */
	ATTEMPT_NOT_RUN,
	ATTEMPT_UNKNOWN,
	ATTEMPT_RAN,
};

/**
 * struct attempt_result - how an attempt ended
 * @end: LOAD_REPORT_NO_ENTRY when no connection could be made
 * @word: what is known about the execution
 * @reused: the connection had carried another request before
 * @refusal: error kind of the load balancer, ERR_NONE when it gave none
 */
struct attempt_result {
	enum load_report_end end;
	enum attempt_outcome word;
	bool reused;
	enum err_kind refusal;
};

struct attempt_conn;
struct attempt_pool;

/**
 * struct http_attempt - one attempt
 * @kind: what is called
 * @host: Host value
 * @id: request id, also the idempotency key of a payment
 * @seed: pattern_seed() of @id
 * @target: where it was sent last
 * @done: called once at the end; the attempt may be started again in it
 */
struct http_attempt {
	enum load_plan_id kind;
	const char *host;
	const char *id;
	uint64_t seed;
	int target;
	void (*done)(struct http_attempt *t, const struct attempt_result *r);
	/* Private. */
	TAILQ_ENTRY(http_attempt) next;
	struct evloop_timer timer;
	struct attempt_pool *pool;
	struct attempt_conn *conn;
	bool waiting, got_head, wrong;
	uint64_t pos, sent_body;
	XXH64_state_t hash;
};

TAILQ_HEAD(attempt_conns, attempt_conn);
TAILQ_HEAD(attempt_tries, http_attempt);

/** struct attempt_target - connections to a target and attempts that wait */
struct attempt_target {
	struct attempt_conns idle;
	struct attempt_tries waiting;
	int n_conns;
};

/**
 * struct attempt_pool - connections to all targets
 * @loop: loop that runs everything
 * @plan: bodies of the kinds
 * @bal: addresses of the targets
 * @max_conns: connections to one target
 */
struct attempt_pool {
	struct event_loop *loop;
	const struct load_plan *plan;
	const struct balancer *bal;
	int max_conns;
	struct attempt_target *targets;
};

/** attempt_init() - the four public members of @p are set by the caller */
void attempt_init(struct attempt_pool *p);

/** attempt_start() - begin an attempt; its end is reported to @t->done */
void attempt_start(struct attempt_pool *p, struct http_attempt *t, int target,
    int64_t timeout_us);

#endif
