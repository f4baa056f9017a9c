/*
 * fnw - news that VMs tell each other, so that few of them read the store.
 *
 * Each read of the store is priced, and upstreams have to be read every second.
 * The VMs with the best ranks read and tell the others what changed, with a
 * digest of all that they know of each kind and the store's revision. A VM that
 * hears the digest of what it knows itself puts its next read off; one whose
 * digest differs, or that hears nothing, reads by itself. News of an older
 * revision is ignored, so that a reader that was paused cannot turn back time.
 *
 *	fnw_init(&n, &(struct fnw_desc){.self = "vm1"});
 *	fnw_on_heard(&n, "vm2", now_ms);
 *	if (fnw_is_reader(&n, now_ms))
 *		changes = fnw_changes(&n, &fls);
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
/* A VM that was heard this long ago still counts as a reader. */
#define FNW_HEARD_MS 1600
/* News puts the next read off for this long, below the bound for a drain. */
#define FNW_PUT_OFF_MS 1400

/** struct fnw_desc - settings */
struct fnw_desc {
	const char *self;
};

/**
 * struct fnw - state on caller-owned memory
 * @self: id of this VM
 * @rank: own rank, lower is better
 * @heard: VM -> int64_t, when news of it came
 * @told: upstream -> uint64_t, hash of the entry that was told last
 * @any_told: the first news was told, which has no changes
 */
struct fnw {
	char *self;
	uint64_t rank;
	GHashTable *heard;
	GHashTable *told;
	bool any_told;
};

/** fnw_init() - nothing heard or told */
void fnw_init(struct fnw *n, const struct fnw_desc *desc);

/** fnw_finish() - free */
void fnw_finish(struct fnw *n);

/** fnw_on_heard() - news of another VM came */
void fnw_on_heard(struct fnw *n, const char *vm, int64_t now_ms);

/** fnw_is_reader() - whether this VM has to read and tell the others */
bool fnw_is_reader(const struct fnw *n, int64_t now_ms);

/**
 * fnw_changes() - ids of upstreams that changed or went since the last call
 *
 * Return: array of ids, freed with g_ptr_array_unref(); empty the first time.
 */
GPtrArray *fnw_changes(struct fnw *n, const struct fls *f);

#endif
