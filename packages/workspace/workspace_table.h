/*
 * workspace_table - immutable table from key to workspace (prefix wstab_).
 *
 * A table is built once for each version of the configuration. The routing
 * tables that are built from this version share it by reference count, because
 * they are rebuilt more often than keys change. Readers never change it.
 * Functions that allocate abort the process when memory runs out.
 *
 *	struct workspace_table *t = wstab_new(entries, n);
 *	const struct workspace *w = wstab_find(t, key);
 *	if (w != NULL)
 *		use(w->name, w->usage);
 *	wstab_unref(t);
 */
#ifndef WORKSPACE_WORKSPACE_TABLE_H
#define WORKSPACE_WORKSPACE_TABLE_H

#include <stdint.h>

#include "base/byte_string.h"
#include "usage/usage_counter.h"

/* Workspace without a priority of its own: that of the route applies. */
#define WSTAB_NO_PRIORITY UINT32_MAX

/**
 * struct workspace - a workspace in a table
 * @name: name, zero-terminated
 * @priority: rank of its requests, 0 is the most urgent, or WSTAB_NO_PRIORITY
 * @usage: counter of its requests; the table holds a reference
 */
struct workspace {
	struct bstr name;
	uint32_t priority;
	struct usage_counter *usage;
};

/**
 * struct wstab_entry - input of wstab_new(), which copies it
 * @workspace: workspace
 * @keys: zero-terminated keys of its callers
 * @n_keys: number of keys
 */
struct wstab_entry {
	struct workspace workspace;
	char *const *keys;
	uint32_t n_keys;
};

struct workspace_table;

/**
 * wstab_new() - build a table with one reference
 * @entries: workspaces in any order
 * @n: number of workspaces
 *
 * A key in two workspaces belongs to the workspace whose name sorts first in
 * byte order, so that all VMs decide it in the same way.
 */
struct workspace_table *wstab_new(
    const struct wstab_entry *entries, uint32_t n);

/** wstab_ref() - add a reference; Return: @t */
struct workspace_table *wstab_ref(struct workspace_table *t);

/** wstab_unref() - release a reference; the last one frees @t */
void wstab_unref(struct workspace_table *t);

/** wstab_find() - workspace of a key, or NULL; does not allocate */
const struct workspace *wstab_find(
    const struct workspace_table *t, struct bstr key);

/** wstab_n_workspaces() - number of workspaces */
uint32_t wstab_n_workspaces(const struct workspace_table *t);

#endif
