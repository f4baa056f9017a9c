/*
 * usim - one simulated upstream on a loop: slots, FIFO queue, HTTP/1.1.
 *
 * All its state belongs to the thread of the loop; other threads hold
 * evloop_lock(). Keys that have run are shared by all upstreams of the process.
 *
 *	struct usim u = {.index = 0, .loop = &loop, .keys = &keys};
 *	usim_start(&u, 0, seed, &knobs);
 *	usim_apply(&u, json);
 *	json_t *v = usim_stats(&u);
 */
#ifndef LIB_USIM_H
#define LIB_USIM_H

#include <glib.h>
#include <jansson.h>
#include <sys/queue.h>

#include "base/random.h"
#include "load/event_loop.h"
#include "lib/ucnt.h"
#include "lib/upk.h"

#define USIM_LAG_SLOTS 1024

/**
 * struct usim_keys - idempotency keys that have run
 * @lock: guards @runs
 * @runs: key to the number of times it ran
 */
struct usim_keys {
	pthread_mutex_t lock;
	GHashTable *runs;
};

/** struct usim_snapshot - what /health and /load report at a time */
struct usim_snapshot {
	int in_flight;
	const char *state;
};

struct conn;

/** struct usim - one upstream */
struct usim {
	struct evloop_io io;
	struct event_loop *loop;
	struct usim_keys *keys;
	int index;
	uint16_t port;
	struct upk k;
	int64_t bad_from; /* requests received when the fault was set */
	struct random rng;
	int in_service, in_flight, queued;
	TAILQ_HEAD(usim_list, conn) queue;
	struct ucnt n;
	struct usim_snapshot lag[USIM_LAG_SLOTS];
	int64_t lag_step;
	struct evloop_timer lag_timer;
};

/** usim_keys_init() - no key has run */
void usim_keys_init(struct usim_keys *k);

/**
 * usim_start() - listen and serve
 * @u: @index, @loop and @keys are set, the rest is zero
 * @port: 0 for a free one; u->port tells which
 *
 * Return: false when the port cannot be used.
 */
bool usim_start(
    struct usim *u, uint16_t port, uint64_t seed, const struct upk *k);

/** usim_apply() - change the behaviour; takes the lock of the loop */
void usim_apply(struct usim *u, const json_t *v);

/** usim_stats() - counters as an object; the loop's lock is held */
json_t *usim_stats(const struct usim *u);

#endif
