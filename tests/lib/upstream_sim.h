/*
 * upstream_sim - simulated upstream: an HTTP/1.1 server on an event loop.
 *
 * A request occupies one of a number of slots from the start of its random
 * service time until its answer is written; further requests wait in a FIFO
 * queue. The state of an upstream belongs to the thread of its loop; other
 * threads access it under evloop_lock(). All upstreams of the process share the
 * record of idempotency keys that have run.
 *
 *	struct upstream_sim u = {.index = 0, .loop = &loop, .keys = &keys};
 *	upstream_sim_start(&u, 0, seed, &behaviour);
 *	upstream_sim_apply(&u, json);
 *	json_t *v = upstream_sim_stats(&u);
 */
#ifndef LIB_UPSTREAM_SIM_H
#define LIB_UPSTREAM_SIM_H

#include <glib.h>
#include <jansson.h>
#include <sys/queue.h>

#include "base/random.h"
#include "load/event_loop.h"
#include "lib/upstream_behaviour.h"
#include "lib/upstream_counters.h"

#define UPSTREAM_SIM_HISTORY_LEN 1024

/**
 * struct upstream_sim_keys - idempotency keys that have run
 * @lock: guards @runs
 * @runs: number of runs by key
 */
struct upstream_sim_keys {
	pthread_mutex_t lock;
	GHashTable *runs;
};

/**
 * struct upstream_sim_snapshot - values that /health and /load report
 * @in_flight: as in struct upstream_sim
 * @state: as behaviour_state()
 */
struct upstream_sim_snapshot {
	int in_flight;
	const char *state;
};

struct conn;

/**
 * struct upstream_sim - one upstream
 * @io: listening socket
 * @fault_from: value of counters.received when the fault was set
 * @in_service: requests that occupy a slot
 * @in_flight: requests that are queued or occupy a slot
 * @history: ring of past snapshots, for reports with health_lag_us
 * @history_pos: number of the latest snapshot
 */
struct upstream_sim {
	struct evloop_io io;
	struct event_loop *loop;
	struct upstream_sim_keys *keys;
	int index;
	uint16_t port;
	struct upstream_behaviour behaviour;
	int64_t fault_from;
	struct random rng;
	int in_service, in_flight, queued;
	TAILQ_HEAD(upstream_sim_list, conn) queue;
	struct upstream_counters counters;
	struct upstream_sim_snapshot history[UPSTREAM_SIM_HISTORY_LEN];
	int64_t history_pos;
	struct evloop_timer history_timer;
};

/** upstream_sim_keys_init() - initialize an empty record of keys */
void upstream_sim_keys_init(struct upstream_sim_keys *keys);

/**
 * upstream_sim_start() - listen and serve
 * @u: index, loop and keys are set, all other fields are zero
 * @port: port to listen on, 0 for a free one; u->port is set to the actual port
 * @seed: seed of the service times; the index is added to it
 * @b: initial behaviour, copied
 *
 * Return: false when the upstream cannot listen on the port.
 */
bool upstream_sim_start(struct upstream_sim *u, uint16_t port, uint64_t seed,
    const struct upstream_behaviour *b);

/**
 * upstream_sim_apply() - change the behaviour and start queued requests that
 * now have a slot
 * @v: as for behaviour_apply()
 *
 * Takes the lock of the loop.
 */
void upstream_sim_apply(struct upstream_sim *u, const json_t *v);

/**
 * upstream_sim_stats() - counters and current load as a JSON object
 *
 * The caller holds the lock of the loop, or runs on its thread.
 *
 * Return: new reference.
 */
json_t *upstream_sim_stats(const struct upstream_sim *u);

#endif
