#include "usage/usage_ledger.h"

#include <string.h>

/* A VM is forgotten so long after its last message. */
#define FORGET_MS 60000

/**
 * struct heard - messages of a VM
 * @last_ms: monotonic time of the last one
 * @full_ms: the same of the last one with all counts
 */
struct heard {
	int64_t last_ms;
	int64_t full_ms;
};

/** struct entry - a count and its key; the texts are owned in the table */
struct entry {
	struct usage_ledger_key key;
	uint32_t count;
	int64_t time_ms;
};

static guint
entry_hash(const void *p)
{
	const struct usage_ledger_key *k = &((const struct entry *)p)->key;

	return (
	    g_str_hash(k->vm) * 31 + g_str_hash(k->workspace) + (guint)k->boot);
}

static gboolean
entry_equal(const void *a, const void *b)
{
	const struct usage_ledger_key *x = &((const struct entry *)a)->key;
	const struct usage_ledger_key *y = &((const struct entry *)b)->key;

	return (x->boot == y->boot && strcmp(x->vm, y->vm) == 0 &&
	    strcmp(x->workspace, y->workspace) == 0);
}

static void
entry_free(void *p)
{
	struct entry *e = p;

	g_free((char *)(uintptr_t)e->key.vm);
	g_free((char *)(uintptr_t)e->key.workspace);
	g_free(e);
}

void
usage_ledger_init(struct usage_ledger *l)
{
	*l = (struct usage_ledger){.first = 0, .last = -1};
	l->heard =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
window_clear(struct usage_ledger *l, struct usage_ledger_window *w)
{
	if (w->counts != NULL) {
		l->n_counts -= g_hash_table_size(w->counts);
		g_hash_table_destroy(w->counts);
	}
	*w = (struct usage_ledger_window){0};
}

void
usage_ledger_finish(struct usage_ledger *l)
{
	for (uint32_t i = 0; i < USAGE_LEDGER_WINDOWS; i++)
		window_clear(l, &l->windows[i]);
	g_hash_table_destroy(l->heard);
}

void
usage_ledger_set_range(struct usage_ledger *l, int64_t first, int64_t last)
{
	if (l->first == first && l->last == last)
		return;
	l->first = first;
	l->last = last;
	for (uint32_t i = 0; i < USAGE_LEDGER_WINDOWS; i++) {
		struct usage_ledger_window *w = &l->windows[i];

		if (w->window < first || w->window > last)
			window_clear(l, w);
	}
}

static struct entry *
find_or_add(struct usage_ledger *l, struct usage_ledger_window *w,
    const struct usage_ledger_key *key)
{
	struct entry probe = {.key = *key};
	struct entry *e;

	if (w->counts == NULL) {
		w->window = key->window;
		w->counts = g_hash_table_new_full(
		    entry_hash, entry_equal, entry_free, NULL);
	}
	e = g_hash_table_lookup(w->counts, &probe);
	if (e != NULL || l->n_counts >= USAGE_LEDGER_MAX_COUNTS)
		return (e);
	e = g_new0(struct entry, 1);
	e->key = *key;
	e->key.vm = g_strdup(key->vm);
	e->key.workspace = g_strdup(key->workspace);
	e->time_ms = INT64_MIN;
	g_hash_table_add(w->counts, e);
	l->n_counts++;
	return (e);
}

void
usage_ledger_put(struct usage_ledger *l, const struct usage_ledger_key *key,
    uint32_t count, int64_t time_ms)
{
	struct usage_ledger_window *w;
	struct entry *e;

	if (key->window < l->first || key->window > l->last || key->window < 0)
		return;
	w = &l->windows[key->window % USAGE_LEDGER_WINDOWS];
	e = find_or_add(l, w, key);
	if (e == NULL || time_ms < e->time_ms)
		return;
	w->total = w->total - e->count + count;
	e->count = count;
	e->time_ms = time_ms;
}

void
usage_ledger_hear(
    struct usage_ledger *l, const char *vm, int64_t mono_ms, bool full)
{
	struct heard *h = g_hash_table_lookup(l->heard, vm);

	if (h == NULL) {
		if (g_hash_table_size(l->heard) >= USAGE_LEDGER_MAX_VMS)
			return;
		h = g_new(struct heard, 1);
		h->full_ms = INT64_MIN;
		g_hash_table_insert(l->heard, g_strdup(vm), h);
	}
	h->last_ms = mono_ms;
	if (full)
		h->full_ms = mono_ms;
}

uint32_t
usage_ledger_n_heard(
    struct usage_ledger *l, int64_t since_ms, int64_t full_since_ms)
{
	GHashTableIter it;
	uint32_t n = 0;
	void *value;

	g_hash_table_iter_init(&it, l->heard);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct heard *h = value;

		n += h->last_ms >= since_ms && h->full_ms >= full_since_ms;
		if (since_ms - h->last_ms > FORGET_MS)
			g_hash_table_iter_remove(&it);
	}
	return (n);
}

int64_t
usage_ledger_first(const struct usage_ledger *l, int64_t after)
{
	int64_t first = -1;

	for (uint32_t i = 0; i < USAGE_LEDGER_WINDOWS; i++) {
		const struct usage_ledger_window *w = &l->windows[i];

		if (w->total != 0 && w->window > after &&
		    (first < 0 || w->window < first))
			first = w->window;
	}
	return (first);
}

static void
add_to_sum(GHashTable *sums, const struct entry *e)
{
	uint64_t sum =
	    GPOINTER_TO_SIZE(g_hash_table_lookup(sums, e->key.workspace));

	sum += e->count;
	g_hash_table_insert(sums, (char *)(uintptr_t)e->key.workspace,
	    GSIZE_TO_POINTER(MIN(sum, UINT32_MAX)));
}

void
usage_ledger_sum(const struct usage_ledger *l, int64_t window,
    void (*fn)(void *arg, const char *workspace, uint32_t count), void *arg)
{
	const struct usage_ledger_window *w =
	    &l->windows[window % USAGE_LEDGER_WINDOWS];
	GHashTable *sums;
	GHashTableIter it;
	GList *names;
	void *key;

	if (w->counts == NULL || w->window != window)
		return;
	sums = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_iter_init(&it, w->counts);
	while (g_hash_table_iter_next(&it, &key, NULL))
		add_to_sum(sums, key);
	names = g_list_sort(g_hash_table_get_keys(sums), (GCompareFunc)strcmp);
	for (GList *n = names; n != NULL; n = n->next) {
		uint64_t sum =
		    GPOINTER_TO_SIZE(g_hash_table_lookup(sums, n->data));

		if (sum != 0)
			fn(arg, n->data, (uint32_t)sum);
	}
	g_list_free(names);
	g_hash_table_destroy(sums);
}
