/*
 * worker_service - state of a service on one worker: retry budget and queue of
 * waiting calls.
 *
 * A call that finds all upstreams at their limit waits in a bounded queue in
 * order of arrival. It tries again when a transfer of the service ends on this
 * worker and when its timer fires. It is rejected as overloaded when the queue
 * is full or its time for waiting has passed.
 *
 * Calls of ranked services wait in the queue of admission/admission.h instead,
 * which decides on them.
 *
 *	c->service_state = worker_service_get(worker_services(w), name, now_us);
 *	...
 *	if (worker_service_wait(c, now_us) != ERR_NONE)
 *		...                             (reject the call)
 */
#ifndef FRONT_WORKER_SERVICE_H
#define FRONT_WORKER_SERVICE_H

#include <glib.h>

#include "admission/admission.h"
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
 * @admission: decides on calls of a ranked service, NULL before the first
 * @freed: upstream where a request of a ranked call has just ended, NULL for
 *	none, a reference is held
 * @timer_call: the call of @admission that carries the timer of the queue, NULL
 *	for none
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
	struct admission *admission;
	struct rt_stat *freed;
	struct call *timer_call;
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
 * worker_service_on_request() - the first attempt of a call begins, which adds
 * to the retry budget
 */
void worker_service_on_request(struct call *c);

/**
 * worker_service_record_time() - add a successful request to the average time
 * @c: call
 * @us: time until the response head, in microseconds
 * @pace: service time of the upstream in percent of its usual service time, 0
 *	or below if not reported
 */
void worker_service_record_time(struct call *c, int64_t us, int32_t pace);

/** worker_service_has_waiting() - whether calls wait for a slot */
bool worker_service_has_waiting(const struct worker_service *s);

/**
 * worker_service_must_wait() - whether a new call has to wait behind others
 */
bool worker_service_must_wait(const struct worker_service *s);

/**
 * worker_service_may_start() - whether a call may look for an upstream now
 *
 * If not, it waits, or is rejected with the error in @kind.
 */
bool worker_service_may_start(
    struct call *c, int64_t now_us, enum err_kind *kind);

/** worker_service_on_start() - the call got an upstream */
void worker_service_on_start(struct call *c, int64_t now_us);

/** worker_service_on_end() - the request of a call has ended at its upstream */
void worker_service_on_end(struct call *c, struct rt_stat *upstream);

/** worker_service_on_load() - what the choice for a ranked call finds */
void worker_service_on_load(struct call *c, const struct rt_service *s,
    const struct rt_request *req, int64_t now_us);

/** worker_service_set_terms() - set what admission allows a ranked call */
void worker_service_set_terms(
    struct call *c, uint32_t slots, struct rt_request *req);

/**
 * worker_service_wait() - queue a call for a free slot
 *
 * Return: ERR_NONE, or ERR_OVERLOADED when the queue is full or the call has
 * used up its time for waiting.
 */
enum err_kind worker_service_wait(struct call *c, int64_t now_us);

/**
 * worker_service_leave() - remove a call from the queue if it is in it, and end
 * its attempt to find an upstream
 */
void worker_service_leave(struct call *c);

/**
 * worker_service_wake() - retry waiting calls in order until one finds no slot
 */
void worker_service_wake(struct worker_service *s);

/** worker_service_on_timer() - the timer of a waiting call has fired */
void worker_service_on_timer(struct call *c, int64_t now_us);

#endif
