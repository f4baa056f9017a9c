/*
 * usage_counter - requests of one workspace that upstreams began to run, in
 * consecutive windows of time, as this process counted them.
 *
 * Workers add with atomic operations; the control thread reads. A counter
 * outlives the routing tables that refer to it. Windows are numbered; the
 * counter keeps the last USAGE_COUNTER_WINDOWS that were counted in.
 *
 *	struct usage_counter *c = usage_counter_new();
 *	usage_counter_add(c, window, 1);
 *	usage_counter_add(c, window, -1);       (the request was refused)
 *	n = usage_counter_get(c, window);
 *	usage_counter_unref(c);
 */
#ifndef USAGE_USAGE_COUNTER_H
#define USAGE_USAGE_COUNTER_H

#include <stdatomic.h>
#include <stdint.h>

/*
 * Windows that are kept. A window has to be kept until it is reported; with the
 * usual window of 5 s, this bears an outage of the store of more than a minute.
 */
#define USAGE_COUNTER_WINDOWS 16

/**
 * struct usage_counter - counts of one workspace
 * @refs: reference count: tables, calls and the fleet view
 * @slots: window number and count, see usage_counter.c
 */
struct usage_counter {
	_Atomic int32_t refs;
	_Atomic uint64_t slots[USAGE_COUNTER_WINDOWS];
};

/** usage_counter_new() - a counter without counts and with one reference */
struct usage_counter *usage_counter_new(void);

/** usage_counter_ref() - add a reference; Return: @c */
struct usage_counter *usage_counter_ref(struct usage_counter *c);

/** usage_counter_unref() - release a reference; the last one frees @c */
void usage_counter_unref(struct usage_counter *c);

/**
 * usage_counter_add() - add @change, 1 or -1, to the count of a window
 *
 * Does nothing when a later window has taken the place of @window, or when the
 * count would become negative.
 */
void usage_counter_add(struct usage_counter *c, int64_t window, int change);

/** usage_counter_get() - count of a window, 0 when it is not kept */
uint32_t usage_counter_get(const struct usage_counter *c, int64_t window);

#endif
