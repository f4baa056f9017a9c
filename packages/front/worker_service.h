/*
 * worker_service - what a worker keeps for each service: retry budget and
 * waiting calls.
 *
 * A call that finds all upstreams at their limit waits in a bounded queue, in
 * order of arrival, until a transfer of the service ends on this worker or a
 * timer fires; then it is rejected as overloaded.
 */
#ifndef FRONT_WORKER_SERVICE_H
#define FRONT_WORKER_SERVICE_H

#include <glib.h>

#include "front/call.h"
#include "route/retry_budget.h"

#define WORKER_SERVICE_MAX_WAITING 128
#define WORKER_SERVICE_WAIT_MS 50
#define WORKER_SERVICE_RETRY_MS 5
#define WORKER_SERVICE_ASK_AGAIN_MS 25 /* probes are not sent more often */
#define WORKER_SERVICE_GOAL_PART                                               \
	3 /* a call waits for this part of its goal                            \
	   */

/**
 * struct worker_service - state of a service on one worker, kept as long as the
 * worker
 * @name: name of the service, owned
 * @budget: retry budget
 * @waiting: calls in order of arrival
 * @n_waiting: their number
 * @work_us: moving average of the time of a good request at the usual pace, 0
 *	before the first
 * @waking: worker_service_wake() runs
 */
struct worker_service {
	struct bstr name;
	struct retry_budget budget;
	struct cds_list_head waiting;
	unsigned n_waiting;
	int64_t work_us;
	bool waking;
};

/** worker_service_table_new() - table of services by name, freed by
 * g_hash_table_unref()
 */
GHashTable *worker_service_table_new(void);

/**
 * worker_service_get() - state of a service, made on first use; @name ends in
 * zero
 */
struct worker_service *worker_service_get(
    GHashTable *table, struct bstr name, int64_t now_us);

/** worker_service_take_retry() - whether the retry budget allows a retry of @c;
 * takes it
 */
bool worker_service_take_retry(struct call *c, int64_t now_us);

/**
 * worker_service_learn_work() - a good request took @us at a pace in percent
 */
void worker_service_learn_work(
    struct worker_service *s, int64_t us, int32_t pace);

/**
 * worker_service_must_wait() - whether a new call has to queue behind others
 */
bool worker_service_must_wait(const struct worker_service *s);

/**
 * worker_service_wait() - queue a call for a free slot
 *
 * Return: ERR_NONE, or ERR_OVERLOADED when the queue is full or the call has
 * waited long enough before.
 */
enum err_kind worker_service_wait(struct call *c, int64_t now_us);

/**
 * worker_service_leave() - take a call out of the queue; nothing when it is not
 * in it
 */
void worker_service_leave(struct call *c);

/**
 * worker_service_wake() - let waiting calls try again until one finds no slot
 */
void worker_service_wake(struct worker_service *s);

/** worker_service_on_timer() - the timer of a waiting call has fired */
void worker_service_on_timer(struct call *c, int64_t now_us);

#endif
