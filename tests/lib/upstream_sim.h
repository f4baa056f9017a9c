/*
 * upstream_sim - one simulated upstream on a loop: slots, FIFO queue, HTTP/1.1.
 *
 * All its state belongs to the thread of the loop; other threads hold
 * evloop_lock(). Keys that have run are shared by all upstreams of the process.
 *
 *	struct upstream_sim u = {.index = 0, .loop = &loop, .keys = &keys};
 *	upstream_sim_start(&u, 0, seed, &knobs);
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
#include "lib/upstream_counters.h"
#include "lib/upstream_behaviour.h"

#define UPSTREAM_SIM_LAG_SLOTS 1024

/**
 * struct upstream_sim_keys - idempotency keys that have run
 * @lock: guards @runs
 * @runs: key to the number of times it ran
 */
struct upstream_sim_keys {
	pthread_mutex_t lock;
	GHashTable *runs;
};

/** struct upstream_sim_snapshot - what /health and /load report at a time */
struct upstream_sim_snapshot {
	int in_flight;
	const char *state;
};

struct conn;

/** struct upstream_sim - one upstream */
struct upstream_sim {
	struct evloop_io io;
	struct event_loop *loop;
	struct upstream_sim_keys *keys;
	int index;
	uint16_t port;
	struct upstream_behaviour k;
	int64_t bad_from; /* requests received when the fault was set */
	struct random rng;
	int in_service, in_flight, queued;
	TAILQ_HEAD(upstream_sim_list, conn) queue;
	struct upstream_counters n;
	struct upstream_sim_snapshot lag[UPSTREAM_SIM_LAG_SLOTS];
	int64_t lag_step;
	struct evloop_timer lag_timer;
};

/** upstream_sim_keys_init() - no key has run */
void upstream_sim_keys_init(struct upstream_sim_keys *k);

/**
 * upstream_sim_start() - listen and serve
 * @u: @index, @loop and @keys are set, the rest is zero
 * @port: 0 for a free one; u->port tells which
 *
 * Return: false when the port cannot be used.
 */
bool upstream_sim_start(struct upstream_sim *u, uint16_t port, uint64_t seed,
    const struct upstream_behaviour *k);

/** upstream_sim_apply() - change the behaviour; takes the lock of the loop */
void upstream_sim_apply(struct upstream_sim *u, const json_t *v);

/** upstream_sim_stats() - counters as an object; the loop's lock is held */
json_t *upstream_sim_stats(const struct upstream_sim *u);

#endif
