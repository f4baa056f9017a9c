/*
 * control_thread - control thread: owns all control state of the daemon.
 *
 * It drives the decision modules with messages of peers, workers, operators and
 * the store and with a tick every 50 ms, carries out their effects, and
 * publishes the routing table and the freshness limit in struct shared_state.
 *
 *	struct control *c = ctl_new(&desc, &error);
 *	env.control = ctl_queue(c);
 *	ctl_start(c);
 *	...
 *	ctl_leave(c);                 graceful shutdown begins
 *	ctl_wait_idle(c, 5000);       partitions handed over
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

/** struct ctl_desc - settings; all pointers stay valid until ctl_free() */
struct ctl_desc {
	const struct settings *set;
	struct shared_state *shared;
	struct metrics *metrics;
	uint64_t seed;
};

struct control;

/** ctl_new() - set up; NULL with @error when the peer address cannot be used */
struct control *ctl_new(const struct ctl_desc *desc, GError **error);

/** ctl_queue() - queue for messages of workers and operators */
struct message_queue *ctl_queue(struct control *c);

/** ctl_ops_type() - message type of operator requests on that queue */
int ctl_ops_type(void);

/** ctl_start() - start the control, store and prober threads */
void ctl_start(struct control *c);

/** ctl_leave() - announce the leave and hand partitions over; any thread */
void ctl_leave(struct control *c);

/** ctl_wait_idle() - wait until nothing is owned; Return: false on timeout */
bool ctl_wait_idle(struct control *c, int64_t timeout_ms);

/** ctl_stop() - stop and join all threads */
void ctl_stop(struct control *c);

/** ctl_free() - free; no worker may push messages any more */
void ctl_free(struct control *c);

#endif
