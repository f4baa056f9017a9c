/*
 * wrk - worker: one epoll loop that drives one MHD daemon and one curl multi.
 *
 *	struct wrk_desc d = {.env = &env, .addr = "127.0.0.1", .port = 8080};
 *	struct wrk *w = wrk_new(&d, &error);
 *	wrk_run(w);                            (in its own thread)
 *	wrk_stop(w);                           (any thread)
 *	wrk_free(w);
 */
#ifndef FRONT_WRK_H
#define FRONT_WRK_H

#include <curl/curl.h>
#include <glib.h>
#include <urcu/list.h>

#include "base/random.h"
#include "front/call.h"
#include "front/env.h"
#include "front/sck.h"

/** typedef wrk_pick_fn - choice of an upstream, as rt_pick() */
typedef int (*wrk_pick_fn)(const struct rt_service *s,
    const struct rt_request *req, int64_t now_us, struct random *rng);

/**
 * struct wrk_desc - settings of a worker
 * @env: shared environment
 * @addr: IPv4 address to listen on
 * @port: TCP port, shared by all workers
 * @seed: seed of the worker's random choices
 * @max_host_connections: connections to one upstream, 0 means 6
 * @head_timeout_ms: time for the rest of a request head after its first line,
 *	0 means 10,000
 * @linger_ms: time to go on accepting connections after wrk_stop(), with
 *	"Connection: close" on the answers, 0 means 100
 * @pick: choice of an upstream, NULL means rt_pick(); measurements put the
 *	baselines here
 */
struct wrk_desc {
	struct env *env;
	const char *addr;
	uint16_t port;
	uint64_t seed;
	long max_host_connections;
	uint32_t head_timeout_ms;
	uint32_t linger_ms;
	wrk_pick_fn pick;
};

/** wrk_new() - set up a worker; NULL with @error on failure */
struct wrk *wrk_new(const struct wrk_desc *desc, GError **error);

/** wrk_run() - loop until wrk_stop(); returns after the last call ended */
void wrk_run(struct wrk *w);

/**
 * wrk_give_up_at() - answer what is left at @at_us, any thread
 *
 * From then on the process may end at any time; calls without an answer get an
 * error in place of a closed connection.
 */
void wrk_give_up_at(struct wrk *w, int64_t at_us);

/**
 * wrk_stop() - stop accepting and return from wrk_run() when drained
 *
 * Every connection that the kernel has established is served; see lsn.h.
 */
void wrk_stop(struct wrk *w);

/**
 * wrk_free() - release all
 *
 * The control thread must push no reply to the worker any more.
 */
void wrk_free(struct wrk *w);

/* For the call modules, on the worker's own thread. */

/** wrk_env() - shared environment */
struct env *wrk_env(const struct wrk *w);

/** wrk_rng() - random numbers of this worker */
struct random *wrk_rng(struct wrk *w);

/** wrk_multi() - libcurl handle of this worker */
CURLM *wrk_multi(struct wrk *w);

/** wrk_easy_get() - clean easy handle */
CURL *wrk_easy_get(struct wrk *w);

/** wrk_easy_put() - give an easy handle back */
void wrk_easy_put(struct wrk *w, CURL *easy);

/** wrk_unpause() - unpause the transfer of @c outside MHD's callbacks */
void wrk_unpause(struct wrk *w, struct call *c);

/** enum wrk_source_kind - what an epoll event is about */
enum wrk_source_kind {
	WRK_SRC_MHD,
	WRK_SRC_WAKE,
	WRK_SRC_REPLIES,
	WRK_SRC_CURL,
	WRK_SRC_CALLER,
	WRK_SRC_RETIRED, /* closed during this round of events */
};

/** struct wrk_source - descriptor watched by the worker */
struct wrk_source {
	enum wrk_source_kind kind;
	int fd;
};

/** wrk_watch_hangup() - report to fe_on_hangup() when the peer closes */
void wrk_watch_hangup(struct wrk *w, struct wrk_source *s);

/** wrk_unwatch() - stop watching */
void wrk_unwatch(struct wrk *w, const struct wrk_source *s);

/** wrk_timer_set() - set or move the timer of a waiting call */
void wrk_timer_set(struct wrk *w, struct call *c, int64_t at_us);

/** wrk_timer_clear() - clear the timer; nothing when it is not set */
void wrk_timer_clear(struct wrk *w, struct call *c);

/** wrk_wake_waiting() - a slot of the service may be free */
void wrk_wake_waiting(struct wrk *w, struct svc *s);

/** wrk_stopping() - whether the worker is being drained */
bool wrk_stopping(const struct wrk *w);

/** wrk_head_timeout_us() - time for the rest of a request head */
int64_t wrk_head_timeout_us(const struct wrk *w);

/** wrk_pick() - choice of an upstream */
wrk_pick_fn wrk_pick(const struct wrk *w);

/** wrk_scratch() - buffer for use within one function */
struct bbuf *wrk_scratch(struct wrk *w);

/** wrk_has_connection() - whether a transfer to the upstream can start now */
bool wrk_has_connection(const struct wrk *w, const struct rt_stat *upstream);

/** wrk_count_transfer() - a transfer starts (1) or has ended (-1) */
void wrk_count_transfer(struct wrk *w, struct rt_stat *upstream, int change);

/** wrk_sockets() - sockets of the connections to upstreams */
struct sck *wrk_sockets(struct wrk *w);

/** wrk_ask() - probes and the calls that wait for them */
struct ask *wrk_ask(struct wrk *w);

/** wrk_call_log() - lines about calls in this second */
struct clg *wrk_call_log(struct wrk *w);

/** wrk_services() - table of struct svc, see svc_get() */
GHashTable *wrk_services(const struct wrk *w);

/** wrk_seen() - times of reported upstream states by upstream id */
GHashTable *wrk_seen(const struct wrk *w);

/** wrk_claims() - pending claims by reference */
GHashTable *wrk_claims(const struct wrk *w);

/** wrk_next_ref() - new reference for a claim */
uint64_t wrk_next_ref(struct wrk *w);

/** wrk_replies() - queue for replies of the control thread */
struct message_queue *wrk_replies(struct wrk *w);

/** wrk_callers() - list of the callers' connections */
struct cds_list_head *wrk_callers(struct wrk *w);

/** wrk_mhd_pending() - MHD has work that no descriptor announces */
void wrk_mhd_pending(struct wrk *w);

/** wrk_forget() - remove @c from the worker's lists before it is freed */
void wrk_forget(struct wrk *w, struct call *c);

#endif
