/*
 * usage_push - which of its counts a VM sends to which collector (prefix
 * usage_push_).
 *
 * A changed count goes to all collectors in USAGE_PUSH_TIMES rounds, because
 * messages can be lost. A new collector gets all counts as often, and the first
 * times without waiting for the next round of all.
 *
 *	usage_push_init(&p);
 *	usage_push_set_collectors(&p, names, n);
 *	usage_push_refresh(&p, source, first, last);
 *	usage_push_send(&p, USAGE_PUSH_ALL, false, fn, arg);
 *	usage_push_finish(&p);
 */
#ifndef USAGE_USAGE_PUSH_H
#define USAGE_USAGE_PUSH_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "usage/usage_message.h"
#include "usage/usage_source.h"

/* VMs that collect counts at the same time. */
#define USAGE_MAX_COLLECTORS 4
/* Rounds in which a count is sent after its last change. */
#define USAGE_PUSH_TIMES 3

/**
 * struct usage_collector - a VM that collects counts
 * @full: rounds in which it still gets all counts
 */
struct usage_collector {
	char vm[USAGE_NAME_MAX + 1];
	uint32_t full;
};

/**
 * struct usage_push - state
 * @counts: own counts by window and workspace
 * @round: number of the present refresh
 */
struct usage_push {
	GHashTable *counts;
	uint32_t round;
	struct usage_collector collectors[USAGE_MAX_COLLECTORS];
	uint32_t n_collectors;
};

/** enum usage_push_to - collectors of a round */
enum usage_push_to {
	USAGE_PUSH_ALL,
	USAGE_PUSH_NEW, /* those that have not got all counts twice */
};

/** usage_push_init() - no counts and no collectors */
void usage_push_init(struct usage_push *p);

/** usage_push_finish() - free the state */
void usage_push_finish(struct usage_push *p);

/**
 * usage_push_set_collectors() - set the collectors, @n is at most
 * USAGE_MAX_COLLECTORS
 *
 * Return: whether a round for USAGE_PUSH_NEW is due.
 */
bool usage_push_set_collectors(
    struct usage_push *p, const char *const *vms, uint32_t n);

/** usage_push_repeat() - treat a VM as a new collector, if it is a collector */
void usage_push_repeat(struct usage_push *p, const char *vm);

/**
 * usage_push_refresh() - read the counts of the windows from @first to @last
 * and forget all others
 */
void usage_push_refresh(struct usage_push *p, struct usage_source *source,
    int64_t first, int64_t last);

/** usage_push_each() - call @fn for each own count, also those that became 0 */
void usage_push_each(const struct usage_push *p,
    void (*fn)(
	void *arg, int64_t window, const char *workspace, uint32_t count),
    void *arg);

/**
 * usage_push_send() - do a round
 * @even_empty: send a message also when there are no counts to send
 * @fn: called for each message, with @full, @counts and @n set
 */
void usage_push_send(struct usage_push *p, enum usage_push_to to,
    bool even_empty,
    void (*fn)(void *arg, const char *vm, struct usage_counts_msg *m),
    void *arg);

#endif
