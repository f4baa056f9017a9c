#include "workspace/workspace_table.h"

#include <stdatomic.h>
#include <stdlib.h>

#include "base/alloc.h"
#include "base/hash_index.h"

/**
 * struct workspace_table - workspaces and the index of their keys
 * @refs: reference count
 * @workspaces: workspaces, ordered by name
 * @n: number of workspaces
 * @text: bytes of all keys
 * @keys: index from key to struct workspace
 */
struct workspace_table {
	_Atomic int32_t refs;
	struct workspace *workspaces;
	uint32_t n;
	char *text;
	struct hash_index keys;
};

static int
by_name(const void *a, const void *b)
{
	const struct wstab_entry *x = a, *y = b;

	return (bstr_cmp(x->workspace.name, y->workspace.name));
}

/* Copies the bytes of a key to the end of those at @at. */
static struct bstr
copy_key(char **at, const char *key)
{
	struct bstr s = {.p = *at, .n = strlen(key)};

	memcpy(*at, key, s.n);
	*at += s.n;
	return (s);
}

static void
add_workspace(
    struct workspace_table *t, const struct wstab_entry *from, char **at)
{
	struct workspace *w = &t->workspaces[t->n++];

	*w = from->workspace;
	w->name.p = bstr_dup(w->name);
	usage_counter_ref(w->usage);
	for (uint32_t i = 0; i < from->n_keys; i++)
		hash_index_add(&t->keys, copy_key(at, from->keys[i]), w);
}

struct workspace_table *
wstab_new(const struct wstab_entry *entries, uint32_t n)
{
	struct workspace_table *t = alloc_zeroed(1, sizeof(*t));
	struct wstab_entry *sorted = alloc_zeroed(n, sizeof(*sorted));
	uint32_t n_keys = 0;
	size_t bytes = 0;
	char *at;

	for (uint32_t i = 0; i < n; i++) {
		sorted[i] = entries[i];
		n_keys += entries[i].n_keys;
		for (uint32_t k = 0; k < entries[i].n_keys; k++)
			bytes += strlen(entries[i].keys[k]);
	}
	qsort(sorted, n, sizeof(*sorted), by_name);
	atomic_init(&t->refs, 1);
	t->workspaces = alloc_zeroed(n, sizeof(*t->workspaces));
	t->text = alloc_zeroed(bytes, 1);
	hash_index_init(&t->keys, n_keys, false);
	at = t->text;
	for (uint32_t i = 0; i < n; i++)
		add_workspace(t, &sorted[i], &at);
	free(sorted);
	return (t);
}

struct workspace_table *
wstab_ref(struct workspace_table *t)
{
	atomic_fetch_add(&t->refs, 1);
	return (t);
}

void
wstab_unref(struct workspace_table *t)
{
	if (atomic_fetch_sub(&t->refs, 1) != 1)
		return;
	for (uint32_t i = 0; i < t->n; i++) {
		free((char *)(uintptr_t)t->workspaces[i].name.p);
		usage_counter_unref(t->workspaces[i].usage);
	}
	hash_index_finish(&t->keys);
	free(t->workspaces);
	free(t->text);
	free(t);
}

const struct workspace *
wstab_find(const struct workspace_table *t, struct bstr key)
{
	return (hash_index_find(&t->keys, key));
}

uint32_t
wstab_n_workspaces(const struct workspace_table *t)
{
	return (t->n);
}
