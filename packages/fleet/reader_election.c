#include "fleet/reader_election.h"

#include <string.h>

/* Bandwidth counts first, then the hash: its bits in the rank. */
#define HASH_BITS 32

/** struct heard - a VM that tells news, or is in the list */
struct heard {
	uint64_t rank;
	int64_t at_ms;
};

static uint64_t
rank_of(const char *vm, uint32_t link_mbps)
{
	uint64_t hash = bstr_hash(bstr_from(vm), 0) >> (64 - HASH_BITS);

	return ((uint64_t)(UINT32_MAX - link_mbps) << HASH_BITS | hash);
}

void
reader_init(struct reader_election *n, const struct reader_desc *desc)
{
	*n = (struct reader_election){.self = g_strdup(desc->self),
	    .rank = rank_of(desc->self, desc->link_mbps)};
	n->heard =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
reader_finish(struct reader_election *n)
{
	g_hash_table_unref(n->heard);
	g_free(n->self);
}

static struct heard *
add(struct reader_election *n, const char *vm, uint32_t link_mbps,
    int64_t now_ms)
{
	struct heard *h = g_new(struct heard, 1);

	h->rank = rank_of(vm, link_mbps);
	h->at_ms = now_ms;
	g_hash_table_insert(n->heard, g_strdup(vm), h);
	return (h);
}

void
reader_on_heard(struct reader_election *n, const char *vm, int64_t now_ms)
{
	struct heard *h = g_hash_table_lookup(n->heard, vm);

	if (h == NULL)
		h = add(n, vm, 0, now_ms);
	h->at_ms = now_ms;
}

void
reader_on_listed(struct reader_election *n, const char *vm, uint32_t link_mbps,
    int64_t now_ms)
{
	struct heard *h = g_hash_table_lookup(n->heard, vm);

	if (strcmp(vm, n->self) == 0)
		return;
	if (h == NULL)
		h = add(n, vm, link_mbps, now_ms);
	h->rank = rank_of(vm, link_mbps);
}

/* VMs with a better rank that were heard in the last @within_ms. */
static unsigned
count_better(const struct reader_election *n, int64_t now_ms, int64_t within_ms)
{
	unsigned better = 0;
	GHashTableIter it;
	void *v;

	g_hash_table_iter_init(&it, n->heard);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const struct heard *h = v;

		if (now_ms - h->at_ms < within_ms && h->rank < n->rank)
			better++;
	}
	return (better);
}

bool
reader_is_reader(const struct reader_election *n, int64_t now_ms)
{
	int64_t within_ms = READER_HEARD_MIN_MS +
	    READER_HEARD_STEP_MS * (int64_t)count_better(n, now_ms, INT64_MAX);

	within_ms = MIN(within_ms, READER_HEARD_MS);
	return (count_better(n, now_ms, within_ms) < READER_READERS);
}
