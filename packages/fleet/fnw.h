/*
 * fnw - news that VMs tell each other, so that few of them read the store.
 *
 * Each read of the store is priced, and upstreams have to be read every second.
 * The VMs with the best ranks (most bandwidth, as news goes to all at once,
 *then by hash) read and tell the others what changed, with a digest of all that
 *they know of each kind and the store's revision. A VM that hears the digest of
 *what it knows itself puts its next read off; one whose digest differs, or that
 *hears nothing, reads by itself. News of an older revision is ignored, so that
 *a reader that was paused cannot turn back time.
 *
 *	fnw_init(&n, &(struct fnw_desc){.self = "vm1"});
 *	fnw_on_heard(&n, "vm2", now_ms);
 *	if (fnw_is_reader(&n, now_ms))
 *		changes = fls_take_changed(&fls);
 *	fnw_finish(&n);
 */
#ifndef FLEET_FNW_H
#define FLEET_FNW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fls.h"

/* VMs that read; the others need one of them to live. */
#define FNW_READERS 2
/* A VM that was heard this long ago still counts as a reader; the next in rank
 * step in first, so that the others hear of them before they read themselves.
 */
#define FNW_HEARD_MIN_MS 900
#define FNW_HEARD_STEP_MS 100
#define FNW_HEARD_MS 1700
/* News puts the next read off for this long, below the bound for a drain. */
#define FNW_PUT_OFF_MS 1400
/* The same for orders, whose bounds are longer. */
#define FNW_PUT_OFF_ORDERS_MS 2600

/**
 * struct fnw_desc - settings
 * @self: id of this VM
 * @link_mbps: its bandwidth, 0 when not known
 */
struct fnw_desc {
	const char *self;
	uint32_t link_mbps;
};

/**
 * struct fnw - state on caller-owned memory
 * @self: id of this VM
 * @rank: own rank, lower is better
 * @heard: VM -> its rank, and when news of it came
 */
struct fnw {
	char *self;
	uint64_t rank;
	GHashTable *heard;
};

/** fnw_init() - nothing heard or told */
void fnw_init(struct fnw *n, const struct fnw_desc *desc);

/** fnw_finish() - free */
void fnw_finish(struct fnw *n);

/** fnw_on_heard() - news of another VM came */
void fnw_on_heard(struct fnw *n, const char *vm, int64_t now_ms);

/**
 * fnw_on_listed() - a VM is in the list of the fleet
 *
 * One that was never heard counts as heard now, so that VMs that start together
 * do not all read until the first news comes.
 */
void fnw_on_listed(
    struct fnw *n, const char *vm, uint32_t link_mbps, int64_t now_ms);

/** fnw_is_reader() - whether this VM has to read and tell the others */
bool fnw_is_reader(const struct fnw *n, int64_t now_ms);

#endif
