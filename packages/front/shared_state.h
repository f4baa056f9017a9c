/*
 * env - what the workers share with the control thread.
 *
 * The control thread publishes the routing table and the freshness limit here;
 * workers only read them. All members except the table pointer are atomics or
 * do not change after setup.
 *
 *	rcu_read_lock();
 *	t = shared_table(env);
 *	...
 *	rcu_read_unlock();
 */
#ifndef FRONT_SHARED_STATE_H
#define FRONT_SHARED_STATE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/upstream_protocol.h"
#include "ops/metrics.h"
#include "route/routing.h"
#include "sys/message_queue.h"

/**
 * struct shared_state - shared environment
 * @table: routing table, read with shared_table() under the RCU read lock
 * @table_version: number of the table
 * @fresh_until_us: boot-time limit after which this VM does not route
 * @unhealthy: the health endpoint fails, requests are still served
 * @leaving: new requests are refused
 * @control: queue of the control thread, receives enum shared_msg_type messages
 * @metrics: counters
 * @max_keyed_body: largest body of a keyed request in bytes
 * @protocol: names of the fields of requests and responses
 * @zone: availability zone of this VM, NULL for none
 * @retry_permille: retries per 1,000 calls of a service, 0 for the default
 * @retry_burst: unused retries of a service, 0 for the default
 */
struct shared_state {
	struct rt_table *table;
	_Atomic uint64_t table_version;
	_Atomic int64_t fresh_until_us;
	_Atomic bool unhealthy;
	_Atomic bool leaving;
	struct message_queue *control;
	struct metrics *metrics;
	size_t max_keyed_body;
	const struct upstream_protocol *protocol;
	const char *zone;
	_Atomic uint32_t retry_permille;
	_Atomic uint32_t retry_burst;
};

/** shared_table() - current table; only under the RCU read lock */
const struct rt_table *shared_table(const struct shared_state *shared);

/** shared_version() - number of the current table, grows with each publication
 */
uint64_t shared_version(const struct shared_state *shared);

/**
 * shared_publish() - replace the table, free the old one after a grace period
 */
void shared_publish(struct shared_state *shared, struct rt_table *t);

#endif
