/*
 * http_attempt - attempts of calls over keep-alive connections; every byte of
 * a response is checked (prefix attempt_).
 *
 * An attempt sends one request to one target and ends with exactly one result.
 * A pool holds the connections to all targets. An attempt that finds no idle
 * connection while the connection limit is reached waits in first-in first-out
 * order.
 *
 *	attempt_init(&pool);
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
 * enum attempt_outcome - what is known about the execution of the request
 */
enum attempt_outcome {
	ATTEMPT_NONE,    /* nothing was sent */
	ATTEMPT_NOT_RUN, /* the response says that it was not executed */
	ATTEMPT_UNKNOWN, /* it may have been executed */
	ATTEMPT_RAN,     /* any other complete response */
};

/**
 * struct attempt_result - how an attempt ended
 * @result: LOAD_REPORT_NO_ENTRY when no connection could be made
 * @outcome: what is known about the execution
 * @reused: the connection had carried another request before
 * @refusal: error kind that the load balancer returned, or ERR_NONE
 */
struct attempt_result {
	enum load_report_result result;
	enum attempt_outcome outcome;
	bool reused;
	enum err_kind refusal;
};

struct attempt_conn;
struct attempt_pool;

/**
 * struct http_attempt - one attempt
 * @kind: kind of call
 * @host: value of the Host header; must stay valid until the end
 * @id: request id, also the idempotency key of a payment; must stay valid until
 *	the end
 * @seed: pattern_seed() of @id
 * @target: index of the target it was last sent to
 * @done: called once at the end; may start the attempt again
 * @next: private, entry of the list of waiting attempts
 * @timer: private, timeout of the attempt
 * @pool: private, pool that the attempt was started in
 * @conn: private, connection in use, or NULL
 * @waiting: private, is in the list of waiting attempts
 * @head_received: private, the response headers have arrived
 * @corrupt: private, a byte of the response was wrong
 * @pos: private, number of response body bytes received
 * @sent_body: private, number of request body bytes passed to the connection
 * @hash: private, hash of these request body bytes
 */
struct http_attempt {
	enum load_plan_kind_id kind;
	const char *host;
	const char *id;
	uint64_t seed;
	int target;
	void (*done)(struct http_attempt *t, const struct attempt_result *r);
	TAILQ_ENTRY(http_attempt) next;
	struct evloop_timer timer;
	struct attempt_pool *pool;
	struct attempt_conn *conn;
	bool waiting, head_received, corrupt;
	uint64_t pos, sent_body;
	XXH64_state_t hash;
};

TAILQ_HEAD(attempt_conn_list, attempt_conn);
TAILQ_HEAD(attempt_list, http_attempt);

/**
 * struct attempt_target - connections and waiting attempts of one target
 * @idle: connections without an attempt
 * @waiting: attempts that wait for a connection
 * @n_conns: number of open connections, idle or not
 */
struct attempt_target {
	struct attempt_conn_list idle;
	struct attempt_list waiting;
	int n_conns;
};

/**
 * struct attempt_pool - connections to all targets
 * @loop: event loop of the connections and timers
 * @plan: body lengths of the kinds of calls
 * @balancer: addresses of the targets
 * @max_conns: maximum number of open connections to one target
 * @targets: private, state of each target
 */
struct attempt_pool {
	struct event_loop *loop;
	const struct load_plan *plan;
	const struct balancer *balancer;
	int max_conns;
	struct attempt_target *targets;
};

/**
 * attempt_init() - set up a pool whose four public members are set
 *
 * The pool is used until the process exits; no function frees it.
 */
void attempt_init(struct attempt_pool *p);

/**
 * attempt_start() - begin an attempt
 * @p: pool
 * @t: attempt whose public members are set; its result goes to @t->done
 * @target: index of the target
 * @timeout_us: time limit in microseconds, including the wait for a connection
 *
 * @t->done may be called before this function returns.
 */
void attempt_start(struct attempt_pool *p, struct http_attempt *t, int target,
    int64_t timeout_us);

#endif
