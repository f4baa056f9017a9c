/*
 * usage_ledger - counts that a VM knows, of each process of the fleet in each
 * window that is not fixed yet (prefix usage_ledger_).
 *
 *	usage_ledger_init(&l);
 *	usage_ledger_set_range(&l, first, last);
 *	usage_ledger_put(&l, &key, count, time_ms);
 *	usage_ledger_hear(&l, "vm2", mono_ms, full);
 *	n = usage_ledger_n_heard(&l, since_ms, full_since_ms);
 *	w = usage_ledger_first(&l, after);
 *	usage_ledger_sum(&l, w, fn, arg);
 *	usage_ledger_finish(&l);
 */
#ifndef USAGE_USAGE_LEDGER_H
#define USAGE_USAGE_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Windows that are kept: those of usage_counter.h, the present and a next. */
#define USAGE_LEDGER_WINDOWS 18
/* VMs whose messages are noted. */
#define USAGE_LEDGER_MAX_VMS 1024
/* Counts that are kept in all windows together. */
#define USAGE_LEDGER_MAX_COUNTS (1u << 20)

/**
 * struct usage_ledger_key - what a count belongs to
 * @vm: VM that counted
 * @boot: its process
 */
struct usage_ledger_key {
	const char *vm;
	uint64_t boot;
	const char *workspace;
	int64_t window;
};

/**
 * struct usage_ledger_window - counts of one window
 * @window: number of the window
 * @total: sum of the counts
 * @counts: counts by VM, boot and workspace; NULL when there are none
 */
struct usage_ledger_window {
	int64_t window;
	uint64_t total;
	GHashTable *counts;
};

/**
 * struct usage_ledger - state
 * @first: counts of earlier windows are ignored
 * @last: counts of later windows are ignored
 * @n_counts: counts in all windows
 * @heard: for each VM, monotonic times of its last messages
 */
struct usage_ledger {
	struct usage_ledger_window windows[USAGE_LEDGER_WINDOWS];
	int64_t first;
	int64_t last;
	uint32_t n_counts;
	GHashTable *heard;
};

/** usage_ledger_init() - an empty ledger that accepts no window */
void usage_ledger_init(struct usage_ledger *l);

/** usage_ledger_finish() - free the counts */
void usage_ledger_finish(struct usage_ledger *l);

/**
 * usage_ledger_set_range() - accept the windows from @first to @last and drop
 * the others; @last - @first is below USAGE_LEDGER_WINDOWS
 */
void usage_ledger_set_range(
    struct usage_ledger *l, int64_t first, int64_t last);

/**
 * usage_ledger_put() - set a count
 * @time_ms: time of the sender; an older count than the known one is ignored
 */
void usage_ledger_put(struct usage_ledger *l,
    const struct usage_ledger_key *key, uint32_t count, int64_t time_ms);

/**
 * usage_ledger_hear() - a message of a VM arrived
 * @full: all counts of the VM arrive with it
 */
void usage_ledger_hear(
    struct usage_ledger *l, const char *vm, int64_t mono_ms, bool full);

/**
 * usage_ledger_n_heard() - VMs with a message at or after @since_ms, and with
 * all their counts at or after @full_since_ms
 */
uint32_t usage_ledger_n_heard(
    struct usage_ledger *l, int64_t since_ms, int64_t full_since_ms);

/** usage_ledger_first() - first window with counts after @after, or -1 */
int64_t usage_ledger_first(const struct usage_ledger *l, int64_t after);

/**
 * usage_ledger_sum() - call @fn for each workspace with counts in a window, in
 * the order of the names, with the sum over all processes
 */
void usage_ledger_sum(const struct usage_ledger *l, int64_t window,
    void (*fn)(void *arg, const char *workspace, uint32_t count), void *arg);

#endif
