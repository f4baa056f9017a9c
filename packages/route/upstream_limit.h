/*
 * upstream_limit - rate limit that an upstream asks of the whole fleet (prefix
 * ulim_).
 *
 * The VMs share the limit without messages: the VMs of the lowest ranks for the
 * upstream (see fleet/cold_owners.h), one for each request a second, send to it
 * in turn at equal rates, all others send nothing. VMs with different lists of
 * members disagree about few of these ranks.
 *
 *	ulim_on_answer(&l, milli_per_s, false, now_us);
 *	if (ulim_allows(&l, rank, n_vms, now_us))
 *		ulim_on_send(&l, now_us);
 */
#ifndef ROUTE_UPSTREAM_LIMIT_H
#define ROUTE_UPSTREAM_LIMIT_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* An answer that names no limit. */
#define ULIM_NONE (-1)
/* A limit that no answer has confirmed for this long is forgotten. */
#define ULIM_MEMORY_US 30000000

/**
 * struct upstream_limit - limit as this process knows it
 * @milli_per_s: requests in 1,000 s, ULIM_NONE for no limit
 * @told_us: when an answer last named it
 * @in_probes: the answers to probes name it, so that one without it ends it
 * @sent_us: when this process last sent a request to the upstream
 */
struct upstream_limit {
	_Atomic int64_t milli_per_s;
	_Atomic int64_t told_us;
	_Atomic bool in_probes;
	_Atomic int64_t sent_us;
};

/** ulim_init() - no limit */
void ulim_init(struct upstream_limit *l);

/**
 * ulim_on_answer() - an answer of the upstream was received
 * @milli_per_s: limit that it names, or ULIM_NONE
 * @probe: it is the answer to a load probe
 *
 * Return: true when a limit begins, ends or changes.
 */
bool ulim_on_answer(
    struct upstream_limit *l, int64_t milli_per_s, bool probe, int64_t now_us);

/**
 * ulim_allows() - whether this VM may send a request now
 * @rank: number of VMs that precede this one for the upstream
 * @n_vms: number of VMs of the fleet, 0 counts as 1
 */
bool ulim_allows(const struct upstream_limit *l, uint32_t rank, uint32_t n_vms,
    int64_t now_us);

/** ulim_on_send() - this VM sends a request to the upstream */
void ulim_on_send(struct upstream_limit *l, int64_t now_us);

#endif
