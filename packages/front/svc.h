/*
 * svc - what a worker keeps for each service: retry budget and waiting calls.
 *
 * A call that finds all upstreams at their limit waits in a bounded queue, in
 * order of arrival, until a transfer of the service ends on this worker or a
 * timer fires; then it is rejected as overloaded.
 */
#ifndef FRONT_SVC_H
#define FRONT_SVC_H

#include <glib.h>

#include "front/call.h"
#include "route/retry_budget.h"

#define SVC_MAX_WAITING 128
#define SVC_WAIT_MS 50
#define SVC_RETRY_MS 5
#define SVC_ASK_AGAIN_MS 25 /* probes are not sent more often */
#define SVC_GOAL_PART 3     /* a call waits for this part of its goal */

/**
 * struct svc - state of a service on one worker, kept as long as the worker
 * @name: name of the service, owned
 * @budget: retry budget
 * @waiting: calls in order of arrival
 * @n_waiting: their number
 * @work_us: moving average of the time of a good request at the usual pace, 0
 *	before the first
 * @waking: svc_wake() runs
 */
struct svc {
	struct bstr name;
	struct retry_budget budget;
	struct cds_list_head waiting;
	unsigned n_waiting;
	int64_t work_us;
	bool waking;
};

/** svc_table_new() - table of services by name, freed by g_hash_table_unref()
 */
GHashTable *svc_table_new(void);

/** svc_get() - state of a service, made on first use; @name ends in zero */
struct svc *svc_get(GHashTable *table, struct bstr name, int64_t now_us);

/** svc_take_retry() - whether the retry budget allows a retry of @c; takes it
 */
bool svc_take_retry(struct call *c, int64_t now_us);

/** svc_learn_work() - a good request took @us at a pace in percent */
void svc_learn_work(struct svc *s, int64_t us, int32_t pace);

/** svc_must_wait() - whether a new call has to queue behind others */
bool svc_must_wait(const struct svc *s);

/**
 * svc_wait() - queue a call for a free slot
 *
 * Return: ERR_NONE, or ERR_OVERLOADED when the queue is full or the call has
 * waited long enough before.
 */
enum err_kind svc_wait(struct call *c, int64_t now_us);

/** svc_leave() - take a call out of the queue; nothing when it is not in it */
void svc_leave(struct call *c);

/** svc_wake() - let waiting calls try again until one finds no slot */
void svc_wake(struct svc *s);

/** svc_on_timer() - the timer of a waiting call has fired */
void svc_on_timer(struct call *c, int64_t now_us);

#endif
