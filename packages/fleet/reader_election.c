#include "fleet/reader_election.h"

#include <string.h>

#include "fleet/vm_rank.h"

#define RANK_SEED 0

/**
 * struct peer_vm - another VM that sent updates or is in the list
 * @last_ms: time of its last update
 */
struct peer_vm {
	uint64_t rank;
	int64_t last_ms;
};

void
reader_init(struct reader_election *e, const struct reader_desc *desc)
{
	*e = (struct reader_election){.self = g_strdup(desc->self),
	    .rank = vm_rank(desc->self, desc->link_mbps, RANK_SEED)};
	e->peers =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
reader_finish(struct reader_election *e)
{
	g_hash_table_unref(e->peers);
	g_free(e->self);
}

static struct peer_vm *
add_peer(struct reader_election *e, const char *vm, uint32_t link_mbps,
    int64_t now_ms)
{
	struct peer_vm *p = g_new(struct peer_vm, 1);

	p->rank = vm_rank(vm, link_mbps, RANK_SEED);
	p->last_ms = now_ms;
	g_hash_table_insert(e->peers, g_strdup(vm), p);
	return (p);
}

void
reader_on_update(struct reader_election *e, const char *vm, int64_t now_ms)
{
	struct peer_vm *p = g_hash_table_lookup(e->peers, vm);

	if (p == NULL)
		p = add_peer(e, vm, 0, now_ms);
	p->last_ms = now_ms;
}

void
reader_on_listed(struct reader_election *e, const char *vm, uint32_t link_mbps,
    int64_t now_ms)
{
	struct peer_vm *p = g_hash_table_lookup(e->peers, vm);

	if (strcmp(vm, e->self) == 0)
		return;
	if (p == NULL)
		p = add_peer(e, vm, link_mbps, now_ms);
	p->rank = vm_rank(vm, link_mbps, RANK_SEED);
}

/* Number of better-ranked VMs that sent an update in the last @within_ms. */
static unsigned
count_better(const struct reader_election *e, int64_t now_ms, int64_t within_ms)
{
	unsigned better = 0;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, e->peers);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct peer_vm *p = v;

		if (now_ms - p->last_ms < within_ms && p->rank < e->rank)
			better++;
	}
	return (better);
}

bool
reader_is_reader(const struct reader_election *e, int64_t now_ms)
{
	int64_t within_ms = READER_TIMEOUT_MIN_MS +
	    READER_TIMEOUT_STEP_MS *
		(int64_t)count_better(e, now_ms, INT64_MAX);

	within_ms = MIN(within_ms, READER_TIMEOUT_MAX_MS);
	return (count_better(e, now_ms, within_ms) < READER_COUNT);
}

bool
reader_is_backup(const struct reader_election *e)
{
	return (count_better(e, 0, INT64_MAX) < READER_BACKUP_COUNT);
}
