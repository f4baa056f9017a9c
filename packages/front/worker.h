/*
 * worker - worker: one epoll loop that drives one MHD daemon and one curl
 * multi.
 *
 *	struct worker_desc d = {.env = &env, .addr = "127.0.0.1", .port = 8080};
 *	struct worker *w = worker_new(&d, &error);
 *	worker_run(w);                            (in its own thread)
 *	worker_stop(w);                           (any thread)
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
 * @shared: shared environment
 * @addr: IPv4 address to listen on
 * @port: TCP port, shared by all workers
 * @seed: seed of the worker's random choices
 * @max_host_connections: connections to one upstream, 0 means 6
 * @head_timeout_ms: time for the rest of a request head after its first line,
 *	0 means 10,000
 * @linger_ms: time to go on accepting connections after worker_stop(), with
 *	"Connection: close" on the answers, 0 means 100
 * @pick: choice of an upstream, NULL means rt_pick(); measurements put the
 *	baselines here
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

/** worker_new() - set up a worker; NULL with @error on failure */
struct worker *worker_new(const struct worker_desc *desc, GError **error);

/**
 * worker_run() - loop until worker_stop(); returns after the last call ended
 */
void worker_run(struct worker *w);

/**
 * worker_give_up_at() - answer what is left at @at_us, any thread
 *
 * From then on the process may end at any time; calls without an answer get an
 * error in place of a closed connection.
 */
void worker_give_up_at(struct worker *w, int64_t at_us);

/**
 * worker_stop() - stop accepting and return from worker_run() when drained
 *
 * Every connection that the kernel has established is served; see listener.h.
 */
void worker_stop(struct worker *w);

/**
 * worker_free() - release all
 *
 * The control thread must push no reply to the worker any more.
 */
void worker_free(struct worker *w);

/* For the call modules, on the worker's own thread. */

/** worker_env() - shared environment */
struct shared_state *worker_env(const struct worker *w);

/** worker_rng() - random numbers of this worker */
struct random *worker_rng(struct worker *w);

/** worker_multi() - libcurl handle of this worker */
CURLM *worker_multi(struct worker *w);

/** worker_easy_get() - clean easy handle */
CURL *worker_easy_get(struct worker *w);

/** worker_easy_put() - give an easy handle back */
void worker_easy_put(struct worker *w, CURL *easy);

/** worker_unpause() - unpause the transfer of @c outside MHD's callbacks */
void worker_unpause(struct worker *w, struct call *c);

/** enum worker_source_kind - what an epoll event is about */
enum worker_source_kind {
	WORKER_SRC_MHD,
	WORKER_SRC_WAKE,
	WORKER_SRC_REPLIES,
	WORKER_SRC_CURL,
	WORKER_SRC_CALLER,
	WORKER_SRC_RETIRED, /* closed during this round of events */
};

/** struct worker_source - descriptor watched by the worker */
struct worker_source {
	enum worker_source_kind kind;
	int fd;
};

/**
 * worker_watch_hangup() - report to caller_side_on_hangup() when the peer
 * closes
 */
void worker_watch_hangup(struct worker *w, struct worker_source *s);

/** worker_unwatch() - stop watching */
void worker_unwatch(struct worker *w, const struct worker_source *s);

/** worker_timer_set() - set or move the timer of a waiting call */
void worker_timer_set(struct worker *w, struct call *c, int64_t at_us);

/** worker_timer_clear() - clear the timer; nothing when it is not set */
void worker_timer_clear(struct worker *w, struct call *c);

/** worker_wake_waiting() - a slot of the service may be free */
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
 * worker_has_connection() - whether a transfer to the upstream can start now
 */
bool worker_has_connection(
    const struct worker *w, const struct rt_stat *upstream);

/** worker_count_transfer() - a transfer starts (1) or has ended (-1) */
void worker_count_transfer(
    struct worker *w, struct rt_stat *upstream, int change);

/** worker_sockets() - sockets of the connections to upstreams */
struct upstream_socket *worker_sockets(struct worker *w);

/** worker_ask() - probes and the calls that wait for them */
struct load_query *worker_ask(struct worker *w);

/** worker_call_log() - lines about calls in this second */
struct call_log *worker_call_log(struct worker *w);

/**
 * worker_services() - table of struct worker_service, see worker_service_get()
 */
GHashTable *worker_services(const struct worker *w);

/** worker_seen() - times of reported upstream states by upstream id */
GHashTable *worker_seen(const struct worker *w);

/** worker_claims() - pending claims by reference */
GHashTable *worker_claims(const struct worker *w);

/** worker_next_ref() - new reference for a claim */
uint64_t worker_next_ref(struct worker *w);

/** worker_replies() - queue for replies of the control thread */
struct message_queue *worker_replies(struct worker *w);

/** worker_callers() - list of the callers' connections */
struct cds_list_head *worker_callers(struct worker *w);

/** worker_mhd_pending() - MHD has work that no descriptor announces */
void worker_mhd_pending(struct worker *w);

/** worker_forget() - remove @c from the worker's lists before it is freed */
void worker_forget(struct worker *w, struct call *c);

#endif
