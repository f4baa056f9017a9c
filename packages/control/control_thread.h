/*
 * control_thread - owns all control state of the daemon (prefix ctl_).
 *
 * The thread passes messages from peers, workers, operators and the store, and
 * a tick every 50 ms, to the decision modules. It carries out the effects that
 * they return and publishes the routing table and the freshness limit in struct
 * shared_state.
 *
 *	struct control *c = ctl_new(&desc, &error);
 *	shared.control = ctl_queue(c);
 *	ctl_start(c);
 *	...
 *	ctl_leave(c);                 begin the graceful shutdown
 *	ctl_wait_idle(c, 5000);       wait until partitions are handed over
 *	ctl_stop(c);
 *	ctl_free(c);
 */
#ifndef CONTROL_CONTROL_THREAD_H
#define CONTROL_CONTROL_THREAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/shared_state.h"
#include "ops/settings.h"

/**
 * struct ctl_desc - parameters; all pointers must stay valid until ctl_free()
 * @set: settings of the daemon
 * @shared: state that the control thread publishes to the workers
 * @metrics: counters
 * @seed: seed of the random number generators
 */
struct ctl_desc {
	const struct settings *set;
	struct shared_state *shared;
	struct metrics *metrics;
	uint64_t seed;
};

struct control;

/**
 * ctl_new() - allocate and listen for peers; starts no thread
 *
 * Return: control state, freed with ctl_free(); NULL with @error set when the
 * peer address cannot be used.
 */
struct control *ctl_new(const struct ctl_desc *desc, GError **error);

/** ctl_queue() - queue for messages of workers and operators; owned by @c */
struct message_queue *ctl_queue(struct control *c);

/** ctl_ops_type() - message type of operator requests on that queue */
int ctl_ops_type(void);

/** ctl_start() - start the control, store and prober threads */
void ctl_start(struct control *c);

/**
 * ctl_leave() - announce to the peers that this process leaves, and hand its
 * partitions over
 *
 * Returns at once and may be called from any thread.
 */
void ctl_leave(struct control *c);

/**
 * ctl_wait_idle() - wait until this process owns no partition
 * @timeout_ms: longest wait in milliseconds
 *
 * Return: false on timeout.
 */
bool ctl_wait_idle(struct control *c, int64_t timeout_ms);

/** ctl_stop() - stop and join the control, store and prober threads */
void ctl_stop(struct control *c);

/**
 * ctl_free() - answer pending operator requests with ERR_LEAVING, and free
 *
 * Called after ctl_stop(), or without ctl_start(). No thread may push messages
 * to ctl_queue() any more.
 */
void ctl_free(struct control *c);

#endif
