/*
 * worker - one epoll loop that drives an MHD daemon and a libcurl multi handle.
 *
 * Each worker runs in its own thread and serves its own connections. Workers
 * share only struct shared_state.
 *
 *	struct worker_desc d = {
 *	    .shared = &shared, .addr = "127.0.0.1", .port = 8080};
 *	struct worker *w = worker_new(&d, &error);
 *
 *	worker_run(w);                          (in its own thread)
 *	worker_stop(w);                         (from any thread)
 *	worker_free(w);
 */
#ifndef FRONT_WORKER_H
#define FRONT_WORKER_H

#include <curl/curl.h>
#include <glib.h>
#include <urcu/list.h>

#include "base/random.h"
#include "front/call.h"
#include "front/shared_state.h"
#include "front/upstream_socket.h"

/** typedef worker_pick_fn - choice of an upstream, as rt_pick() */
typedef int (*worker_pick_fn)(const struct rt_service *s,
    const struct rt_request *req, int64_t now_us, struct random *rng);

/**
 * struct worker_desc - settings of a worker
 * @shared: state shared with the control thread
 * @addr: IPv4 address to listen on
 * @port: TCP port, shared by all workers
 * @seed: seed of the worker's random choices
 * @max_host_connections: limit on connections to one upstream, 0 means 6
 * @head_timeout_ms: time for the rest of a request head after its first line,
 *	0 means 10,000
 * @linger_ms: time for which connections are still accepted after
 *	worker_stop(), with "Connection: close" on the answers, 0 means 100
 * @pick: choice of an upstream, NULL means rt_pick(); benchmarks set other
 *	policies here for comparison
 */
struct worker_desc {
	struct shared_state *shared;
	const char *addr;
	uint16_t port;
	uint64_t seed;
	long max_host_connections;
	uint32_t head_timeout_ms;
	uint32_t linger_ms;
	worker_pick_fn pick;
};

/** worker_new() - create a worker; NULL with @error set on failure */
struct worker *worker_new(const struct worker_desc *desc, GError **error);

/**
 * worker_run() - run the event loop; returns after worker_stop() when the last
 * call has ended
 */
void worker_run(struct worker *w);

/**
 * worker_give_up_at() - end the remaining calls with an error at a later time
 * @w: worker
 * @at_us: boot-time microseconds
 *
 * It may be called from any thread.
 *
 * The process may end at any time after @at_us. Calls that are still waiting
 * for an answer then get an error instead of a closed connection.
 */
void worker_give_up_at(struct worker *w, int64_t at_us);

/**
 * worker_refuse_from() - refuse requests whose head arrives later
 * @w: worker
 * @at_us: boot-time microseconds
 *
 * It may be called from any thread.
 *
 * A stop has a time limit. A request that begins late in it might be cut off
 * while an upstream works on it; another VM can take it.
 */
void worker_refuse_from(struct worker *w, int64_t at_us);

/**
 * worker_stop() - stop accepting connections and make worker_run() return when
 * the worker is drained
 *
 * Every connection that the kernel has established is served; see listener.h.
 */
void worker_stop(struct worker *w);

/**
 * worker_free() - free a worker that does not run
 *
 * The control thread must not push replies to the worker any more.
 */
void worker_free(struct worker *w);

/* The functions below are for the call modules, on the worker's own thread. */

/** worker_refuses() - whether the time of worker_refuse_from() has come */
bool worker_refuses(const struct worker *w, int64_t now_us);

/** worker_shared_state() - state shared with the control thread */
struct shared_state *worker_shared_state(const struct worker *w);

/** worker_rng() - random number generator of this worker */
struct random *worker_rng(struct worker *w);

/** worker_multi() - libcurl multi handle of this worker */
CURLM *worker_multi(struct worker *w);

/** worker_easy_get() - get an easy handle with default options */
CURL *worker_easy_get(struct worker *w);

/** worker_easy_put() - return an easy handle to the pool */
void worker_easy_put(struct worker *w, CURL *easy);

/**
 * worker_unpause() - queue the transfer of @a to be unpaused outside of MHD's
 * callbacks
 */
void worker_unpause(struct worker *w, struct call_attempt *a);

/** enum worker_source_kind - origin of an epoll event */
enum worker_source_kind {
	WORKER_SRC_MHD,
	WORKER_SRC_WAKE,
	WORKER_SRC_REPLIES,
	WORKER_SRC_CURL,
	WORKER_SRC_CALLER,
	WORKER_SRC_RETIRED, /* closed during this round of events */
};

/** struct worker_source - descriptor that the worker watches with epoll */
struct worker_source {
	enum worker_source_kind kind;
	int fd;
};

/**
 * worker_watch_hangup() - call caller_side_on_hangup() when the caller closes
 */
void worker_watch_hangup(struct worker *w, struct worker_source *s);

/** worker_unwatch() - stop watching a descriptor */
void worker_unwatch(struct worker *w, const struct worker_source *s);

/**
 * worker_timer_set() - set or change the timer of a call to @at_us, in
 * boot-time microseconds
 */
void worker_timer_set(struct worker *w, struct call *c, int64_t at_us);

/** worker_timer_clear() - clear the timer of a call if it is set */
void worker_timer_clear(struct worker *w, struct call *c);

/** worker_wake_waiting() - retry waiting calls; a slot may be free */
void worker_wake_waiting(struct worker *w, struct worker_service *s);

/** worker_stopping() - whether the worker is being drained */
bool worker_stopping(const struct worker *w);

/** worker_head_timeout_us() - time for the rest of a request head */
int64_t worker_head_timeout_us(const struct worker *w);

/** worker_pick() - choice of an upstream */
worker_pick_fn worker_pick(const struct worker *w);

/** worker_scratch() - buffer for use within one function */
struct bbuf *worker_scratch(struct worker *w);

/**
 * worker_has_connection() - whether the connection limit of the upstream allows
 * another transfer now
 */
bool worker_has_connection(
    const struct worker *w, const struct rt_stat *upstream);

/**
 * worker_count_transfer() - count a transfer that started (@change is 1) or
 * ended (@change is -1)
 */
void worker_count_transfer(
    struct worker *w, struct rt_stat *upstream, int change);

/** worker_sockets() - sockets of the connections to upstreams */
struct upstream_socket *worker_sockets(struct worker *w);

/** worker_load_query() - load probes and the calls that wait for them */
struct load_query *worker_load_query(struct worker *w);

/** worker_call_log() - log of calls and its limit on lines per second */
struct call_log *worker_call_log(struct worker *w);

/**
 * worker_services() - table of struct worker_service, see worker_service_get()
 */
GHashTable *worker_services(const struct worker *w);

/** worker_reported_states() - times of state reports by upstream id */
GHashTable *worker_reported_states(const struct worker *w);

/** worker_claims() - pending claims by reference */
GHashTable *worker_claims(const struct worker *w);

/** worker_next_ref() - new reference number for a claim */
uint64_t worker_next_ref(struct worker *w);

/** worker_replies() - queue for replies of the control thread */
struct message_queue *worker_replies(struct worker *w);

/** worker_callers() - list of the callers' connections */
struct cds_list_head *worker_callers(struct worker *w);

/** worker_lingering() - list of connections that are closed but still read */
struct cds_list_head *worker_lingering(struct worker *w);

/**
 * worker_set_mhd_pending() - make the event loop run MHD, which has work that
 * no descriptor signals
 */
void worker_set_mhd_pending(struct worker *w);

/** worker_remove_call() - remove a call from the worker's lists and timers */
void worker_remove_call(struct worker *w, struct call *c);

#endif
