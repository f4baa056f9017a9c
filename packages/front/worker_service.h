/*
 * worker_service - state of a service on one worker: retry budget and queue of
 * waiting calls.
 *
 * A call that finds all upstreams at their limit waits in a bounded queue in
 * order of arrival. It tries again when a transfer of the service ends on this
 * worker and when its timer fires. It is rejected as overloaded when the queue
 * is full or its time for waiting has passed.
 *
 *	c->service_state = worker_service_get(worker_services(w), name, now_us);
 *	...
 *	if (worker_service_wait(c, now_us) != ERR_NONE)
 *		...                             (reject the call)
 */
#ifndef FRONT_WORKER_SERVICE_H
#define FRONT_WORKER_SERVICE_H

#include <glib.h>

#include "front/call.h"
#include "route/retry_budget.h"

#define WORKER_SERVICE_MAX_WAITING 128
/* Longest wait and retry interval of a call without a latency goal. */
#define WORKER_SERVICE_WAIT_MS 50
#define WORKER_SERVICE_RETRY_MS 5
/*
 * Retry interval of a waiting call with a latency goal. It probes upstreams at
 * each retry, so this limits the rate of probes.
 */
#define WORKER_SERVICE_PROBE_RETRY_MS 25
/* A call with a latency goal waits for at most the goal divided by this. */
#define WORKER_SERVICE_GOAL_DIVISOR 3

/**
 * struct worker_service - state of a service on one worker
 * @name: name of the service, owned
 * @budget: retry budget
 * @waiting: waiting calls in order of arrival
 * @n_waiting: number of waiting calls
 * @work_us: moving average of the processing time of successful requests at the
 *	usual pace, 0 before the first
 * @waking: worker_service_wake() is running
 *
 * It is freed together with the worker.
 */
struct worker_service {
	struct bstr name;
	struct retry_budget budget;
	struct cds_list_head waiting;
	unsigned n_waiting;
	int64_t work_us;
	bool waking;
};

/**
 * worker_service_table_new() - table of services by name; free it with
 * g_hash_table_unref()
 */
GHashTable *worker_service_table_new(void);

/**
 * worker_service_get() - state of a service, created on first use; @name is
 * zero-terminated
 */
struct worker_service *worker_service_get(
    GHashTable *table, struct bstr name, int64_t now_us);

/** worker_service_has_retry() - whether the retry budget allows a retry of @c
 */
bool worker_service_has_retry(struct call *c, int64_t now_us);

/**
 * worker_service_take_retry() - take a retry of @c from the retry budget; false
 * when the budget allows none
 */
bool worker_service_take_retry(struct call *c, int64_t now_us);

/**
 * worker_service_record_time() - add a successful request to the average time
 * @s: service
 * @us: time until the response head, in microseconds
 * @pace: service time of the upstream in percent of its usual service time, 0
 *	or below if not reported
 */
void worker_service_record_time(
    struct worker_service *s, int64_t us, int32_t pace);

/**
 * worker_service_must_wait() - whether a new call has to wait behind others
 */
bool worker_service_must_wait(const struct worker_service *s);

/**
 * worker_service_wait() - queue a call for a free slot
 *
 * Return: ERR_NONE, or ERR_OVERLOADED when the queue is full or the call has
 * used up its time for waiting.
 */
enum err_kind worker_service_wait(struct call *c, int64_t now_us);

/**
 * worker_service_leave() - remove a call from the queue if it is in it
 */
void worker_service_leave(struct call *c);

/**
 * worker_service_wake() - retry waiting calls in order until one finds no slot
 */
void worker_service_wake(struct worker_service *s);

/** worker_service_on_timer() - the timer of a waiting call has fired */
void worker_service_on_timer(struct call *c, int64_t now_us);

#endif
