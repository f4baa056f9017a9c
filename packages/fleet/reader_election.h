/*
 * reader_election - news that VMs tell each other, so that few of them read the
 * store.
 *
 * Each read of the store is priced, and upstreams have to be read every second.
 * The VMs with the best ranks (most bandwidth, as news goes to all at once,
 * then by hash) read and tell the others what changed, with a digest of all
 * that
 * they know of each kind and the store's revision. A VM that hears the digest
 * of
 * what it knows itself puts its next read off; one whose digest differs, or
 * that
 * hears nothing, reads by itself. News of an older revision is ignored, so that
 * a reader that was paused cannot turn back time.
 *
 *	reader_init(&n, &(struct reader_desc){.self = "vm1"});
 *	reader_on_heard(&n, "vm2", now_ms);
 *	if (reader_is_reader(&n, now_ms))
 *		changes = view_take_changed(&fleet_view);
 *	reader_finish(&n);
 */
#ifndef FLEET_READER_ELECTION_H
#define FLEET_READER_ELECTION_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fleet_view.h"

/* VMs that read; the others need one of them to live. */
#define READER_READERS 2
/* A VM that was heard this long ago still counts as a reader; the next in rank
 * step in first, so that the others hear of them before they read themselves.
 */
#define READER_HEARD_MIN_MS 900
#define READER_HEARD_STEP_MS 100
#define READER_HEARD_MS 1700
/* News puts the next read off for this long, below the bound for a drain. */
#define READER_PUT_OFF_MS 1400
/* The same for orders, whose bounds are longer. */
#define READER_PUT_OFF_ORDERS_MS 2600

/**
 * struct reader_desc - settings
 * @self: id of this VM
 * @link_mbps: its bandwidth, 0 when not known
 */
struct reader_desc {
	const char *self;
	uint32_t link_mbps;
};

/**
 * struct reader_election - state on caller-owned memory
 * @self: id of this VM
 * @rank: own rank, lower is better
 * @heard: VM -> its rank, and when news of it came
 */
struct reader_election {
	char *self;
	uint64_t rank;
	GHashTable *heard;
};

/** reader_init() - nothing heard or told */
void reader_init(struct reader_election *n, const struct reader_desc *desc);

/** reader_finish() - free */
void reader_finish(struct reader_election *n);

/** reader_on_heard() - news of another VM came */
void reader_on_heard(struct reader_election *n, const char *vm, int64_t now_ms);

/**
 * reader_on_listed() - a VM is in the list of the fleet
 *
 * One that was never heard counts as heard now, so that VMs that start together
 * do not all read until the first news comes.
 */
void reader_on_listed(struct reader_election *n, const char *vm,
    uint32_t link_mbps, int64_t now_ms);

/** reader_is_reader() - whether this VM has to read and tell the others */
bool reader_is_reader(const struct reader_election *n, int64_t now_ms);

#endif
