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

#include "base/rng.h"
#include "front/call.h"
#include "front/env.h"

/**
 * struct wrk_desc - settings of a worker
 * @env: shared environment
 * @addr: IPv4 address to listen on
 * @port: TCP port, shared by all workers
 * @seed: seed of the worker's random choices
 * @max_host_connections: connections to one upstream, 0 means 6
 */
struct wrk_desc {
	struct env *env;
	const char *addr;
	uint16_t port;
	uint64_t seed;
	long max_host_connections;
};

/** wrk_new() - set up a worker; NULL with @error on failure */
struct wrk *wrk_new(const struct wrk_desc *desc, GError **error);

/** wrk_run() - loop until wrk_stop(); returns after the last call ended */
void wrk_run(struct wrk *w);

/** wrk_stop() - stop accepting and return from wrk_run() when drained */
void wrk_stop(struct wrk *w);

/** wrk_free() - release all */
void wrk_free(struct wrk *w);

/* For the call modules, on the worker's own thread. */

/** wrk_env() - shared environment */
struct env *wrk_env(const struct wrk *w);

/** wrk_rng() - random numbers of this worker */
struct rng *wrk_rng(struct wrk *w);

/** wrk_multi() - libcurl handle of this worker */
CURLM *wrk_multi(struct wrk *w);

/** wrk_easy_get() - clean easy handle */
CURL *wrk_easy_get(struct wrk *w);

/** wrk_easy_put() - give an easy handle back */
void wrk_easy_put(struct wrk *w, CURL *easy);

/** wrk_unpause() - unpause the transfer of @c outside MHD's callbacks */
void wrk_unpause(struct wrk *w, struct call *c);

/** wrk_watch_hangup() - start or stop watching for the caller closing */
void wrk_watch_hangup(struct wrk *w, struct call *c, bool on);

/** wrk_mhd_pending() - MHD has work that no descriptor announces */
void wrk_mhd_pending(struct wrk *w);

/** wrk_forget() - remove @c from the worker's lists before it is freed */
void wrk_forget(struct wrk *w, struct call *c);

#endif
