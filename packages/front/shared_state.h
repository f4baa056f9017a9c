/*
 * shared_state - state shared by the workers and the control thread (prefix
 * shared_).
 *
 * The control thread publishes the routing table and the freshness limit here;
 * workers only read them. The table pointer is protected by RCU. All other
 * members are atomics or do not change after setup.
 *
 *	rcu_read_lock();
 *	t = shared_table(shared);
 *	...
 *	rcu_read_unlock();
 */
#ifndef FRONT_SHARED_STATE_H
#define FRONT_SHARED_STATE_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "front/byte_budget.h"
#include "front/upstream_protocol.h"
#include "ops/metrics.h"
#include "route/routing.h"
#include "sys/message_queue.h"

/**
 * struct shared_state - state shared by the workers and the control thread
 * @table: routing table, read with shared_table() under the RCU read lock
 * @table_version: version of the table
 * @fresh_until_us: boot-time limit after which this VM does not route
 * @unhealthy: the health endpoint reports failure, requests are still served
 * @leaving: this VM shuts down and refuses new requests
 * @control: queue of the control thread for messages of enum worker_msg_type
 * @metrics: metrics of the process
 * @has_claims: the control thread grants claims of idempotency keys. Without it
 *	the keys are passed on to the upstreams and not looked at.
 * @max_keyed_body: largest body of a keyed request in bytes
 * @max_kept_callers: connections of callers above which each one is closed
 *	after its answer, 0 for no limit
 * @n_callers: connections of callers
 * @protocol: protocol of requests to upstreams and their responses
 * @zone: availability zone of this VM, NULL for none
 * @retry_permille: retries per 1,000 successful calls of a service, used only
 *	if @retry_burst is not 0
 * @retry_burst: limit on saved-up retries of a service; 0 means that the
 *	defaults of struct retry_budget_desc apply
 * @usage_offset_ms: Unix time less the monotonic time in milliseconds, as the
 *	control thread estimates it
 * @usage_window_ms: length of a window of usage reports, 0 when requests are
 *	not counted
 * @budget: memory that is held for callers and upstreams
 */
struct shared_state {
	struct rt_table *table;
	_Atomic uint64_t table_version;
	_Atomic int64_t fresh_until_us;
	_Atomic bool unhealthy;
	_Atomic bool leaving;
	struct message_queue *control;
	struct metrics *metrics;
	bool has_claims;
	size_t max_keyed_body;
	uint32_t max_kept_callers;
	_Atomic uint32_t n_callers;
	const struct upstream_protocol *protocol;
	const char *zone;
	_Atomic uint32_t retry_permille;
	_Atomic uint32_t retry_burst;
	_Atomic int64_t usage_offset_ms;
	_Atomic int64_t usage_window_ms;
	struct byte_budget budget;
};

/** shared_table() - current table; call it under the RCU read lock */
const struct rt_table *shared_table(const struct shared_state *shared);

/** shared_version() - version of the current table; each publication adds 1 */
uint64_t shared_version(const struct shared_state *shared);

/**
 * shared_publish() - replace the table and free the old one
 *
 * Takes ownership of @t. Blocks for an RCU grace period before it frees the old
 * table.
 */
void shared_publish(struct shared_state *shared, struct rt_table *t);

#endif
