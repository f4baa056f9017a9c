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
	n->told =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void
fnw_finish(struct fnw *n)
{
	g_hash_table_unref(n->heard);
	g_hash_table_unref(n->told);
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

bool
fnw_is_reader(const struct fnw *n, int64_t now_ms)
{
	unsigned better = 0;
	GHashTableIter it;
	void *vm, *at;

	g_hash_table_iter_init(&it, n->heard);
	while (g_hash_table_iter_next(&it, &vm, &at)) {
		if (now_ms - *(int64_t *)at < FNW_HEARD_MS &&
		    rank_of(vm) < n->rank)
			better++;
	}
	return (better < FNW_READERS);
}

static void
remember(struct fnw *n, const char *id, uint64_t hash)
{
	uint64_t *h = g_new(uint64_t, 1);

	*h = hash;
	g_hash_table_replace(n->told, g_strdup(id), h);
}

static void
add_changed(struct fnw *n, const struct fls *f, GPtrArray *out)
{
	GHashTableIter it;
	void *id, *v;

	g_hash_table_iter_init(&it, f->upstreams);
	while (g_hash_table_iter_next(&it, &id, &v)) {
		const struct fls_upstream *u = v;
		const uint64_t *h = g_hash_table_lookup(n->told, id);

		if (h != NULL && *h == u->hash)
			continue;
		remember(n, id, u->hash);
		if (n->any_told)
			g_ptr_array_add(out, g_strdup(id));
	}
}

static void
add_gone(struct fnw *n, const struct fls *f, GPtrArray *out)
{
	GHashTableIter it;
	void *id;

	g_hash_table_iter_init(&it, n->told);
	while (g_hash_table_iter_next(&it, &id, NULL)) {
		if (g_hash_table_contains(f->upstreams, id))
			continue;
		g_ptr_array_add(out, g_strdup(id));
		g_hash_table_iter_remove(&it);
	}
}

GPtrArray *
fnw_changes(struct fnw *n, const struct fls *f)
{
	GPtrArray *out = g_ptr_array_new_with_free_func(g_free);

	add_changed(n, f, out);
	add_gone(n, f, out);
	n->any_told = true;
	return (out);
}
