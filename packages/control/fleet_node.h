/*
 * fleet_node - what a VM does with the store and with the other VMs of its
 * fleet (prefix fleet_node_).
 *
 * It keeps the view of the fleet up to date from the store and from updates of
 * other VMs, and takes part in moves and usage reports. It has no thread and no
 * socket of its own; datagrams leave through a callback.
 *
 *	fleet_node_init(&n, &desc);
 *	fleet_node_start(&n);
 *	for (;;) {
 *		store->ops->run(store, fds, n_fds, timeout_ms);
 *		fleet_node_on_datagram(&n, bytes, now_ms);
 *		fleet_node_tick(&n, now_ms);
 *		if (view_take_dirty(&n.view, now_us))
 *			table = view_table(&n.view, now_us);
 *	}
 *	fleet_node_finish(&n);
 *
 * now_ms is monotonic.
 */
#ifndef CONTROL_FLEET_NODE_H
#define CONTROL_FLEET_NODE_H

#include <stdbool.h>
#include <stdint.h>

#include "control/move_runner.h"
#include "control/update_relay.h"
#include "control/usage_runner.h"
#include "fleet/fleet_view.h"
#include "fleet/store.h"
#include "front/shared_state.h"
#include "ops/settings.h"

/**
 * struct fleet_node_desc - settings and callbacks
 * @set: settings of the process
 * @boot: number that differs for each start of the process
 * @store: the store; the calling code frees it before fleet_node_finish()
 * @shared: receives what the workers need to count requests; may be NULL if
 *	usage is not reported
 * @send: sends a datagram to "ip:port"
 * @arg: argument of @send
 *
 * All pointers stay valid until fleet_node_finish().
 */
struct fleet_node_desc {
	const struct settings *set;
	uint64_t boot;
	struct fleet_store *store;
	struct shared_state *shared;
	void (*send)(void *arg, const char *address, struct bstr bytes);
	void *arg;
};

/**
 * struct fleet_node - state on caller-owned memory
 * @sink: receives the store's changes; has to be the first member
 * @view: the fleet as this VM knows it
 * @moves: part in moves
 * @relay: exchange of updates with other VMs
 * @usage: part in usage reports, valid if @has_usage
 * @has_usage: usage reports are configured
 */
struct fleet_node {
	struct store_sink sink;
	struct fleet_node_desc desc;
	struct fleet_view view;
	struct move_runner moves;
	struct update_relay relay;
	struct usage_runner usage;
	bool has_usage;
};

/** fleet_node_init() - initialise; @n must not be moved afterwards */
void fleet_node_init(struct fleet_node *n, const struct fleet_node_desc *desc);

/** fleet_node_finish() - free the contents; @n itself stays allocated */
void fleet_node_finish(struct fleet_node *n);

/** fleet_node_start() - begin to read the store, and publish this VM in it */
void fleet_node_start(struct fleet_node *n);

/** fleet_node_on_datagram() - handle a datagram of another VM */
void fleet_node_on_datagram(
    struct fleet_node *n, struct bstr bytes, int64_t now_ms);

/** fleet_node_tick() - do what is due; call it at least every 100 ms */
void fleet_node_tick(struct fleet_node *n, int64_t now_ms);

#endif
