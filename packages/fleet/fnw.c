#include "fleet/fnw.h"

#include <string.h>

static uint64_t
rank_of(const char *vm)
{
	return (bstr_hash(bstr_from(vm), 0));
}

void
fnw_init(struct fnw *n, const struct fnw_desc *desc)
{
	*n = (struct fnw){
	    .self = g_strdup(desc->self), .rank = rank_of(desc->self)};
	n->heard =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
fnw_finish(struct fnw *n)
{
	g_hash_table_unref(n->heard);
	g_free(n->self);
}

void
fnw_on_heard(struct fnw *n, const char *vm, int64_t now_ms)
{
	int64_t *at = g_hash_table_lookup(n->heard, vm);

	if (at == NULL) {
		at = g_new(int64_t, 1);
		g_hash_table_insert(n->heard, g_strdup(vm), at);
	}
	*at = now_ms;
}

void
fnw_on_listed(struct fnw *n, const char *vm, int64_t now_ms)
{
	if (strcmp(vm, n->self) != 0 && !g_hash_table_contains(n->heard, vm))
		fnw_on_heard(n, vm, now_ms);
}

/* VMs with a better rank that were heard in the last @within_ms. */
static unsigned
count_better(const struct fnw *n, int64_t now_ms, int64_t within_ms)
{
	unsigned better = 0;
	GHashTableIter it;
	void *vm, *at;

	g_hash_table_iter_init(&it, n->heard);
	while (g_hash_table_iter_next(&it, &vm, &at)) {
		if (now_ms - *(int64_t *)at < within_ms &&
		    rank_of(vm) < n->rank)
			better++;
	}
	return (better);
}

bool
fnw_is_reader(const struct fnw *n, int64_t now_ms)
{
	int64_t within_ms = FNW_HEARD_MIN_MS +
	    FNW_HEARD_STEP_MS * (int64_t)count_better(n, now_ms, INT64_MAX);

	within_ms = MIN(within_ms, FNW_HEARD_MS);
	return (count_better(n, now_ms, within_ms) < FNW_READERS);
}
