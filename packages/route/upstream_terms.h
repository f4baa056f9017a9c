/*
 * upstream_terms - what one incarnation of an upstream asks of the VMs in its
 * answers (prefix terms_): that it leaves, a pause, or a rate limit.
 *
 * A pause (Retry-After) concerns this VM alone. A rate limit concerns the whole
 * fleet; the VMs share it without messages: the VMs of the lowest ranks for the
 * upstream (see fleet/cold_owners.h), one for each request a second, send to it
 * in turn at equal rates, all others send nothing. VMs with different lists of
 * members disagree about few of these ranks.
 *
 *	struct terms_answer a = {.limit_milli_per_s = TERMS_NO_LIMIT};
 *	changed = terms_on_answer(&t, &a, now_us);
 *	if (terms_allow(&t, rank, n_vms, now_us))
 *		terms_on_send(&t, now_us);
 */
#ifndef ROUTE_UPSTREAM_TERMS_H
#define ROUTE_UPSTREAM_TERMS_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

/* An answer that names no limit. */
#define TERMS_NO_LIMIT (-1)
/* A limit that no answer has confirmed for this long is forgotten. */
#define TERMS_MEMORY_US 30000000
/* Longest pause that is observed; an upstream may name any time. */
#define TERMS_MAX_PAUSE_MS 300000

/* Changes that terms_on_answer() reports. */
#define TERMS_LEAVING_CHANGED 1u
#define TERMS_PAUSE_CHANGED 2u
#define TERMS_LIMIT_CHANGED 4u

/**
 * struct terms_answer - what one answer of the upstream asks for
 * @leaving: it leaves and takes no new requests
 * @pause_ms: it wants nothing from this VM for so long, 0 for no pause
 * @limit_milli_per_s: requests in 1,000 s that it takes of all VMs together,
 *	TERMS_NO_LIMIT when it names none
 * @probe: answer to a load probe
 */
struct terms_answer {
	bool leaving;
	int64_t pause_ms;
	int64_t limit_milli_per_s;
	bool probe;
};

/**
 * struct upstream_terms - what this process knows; times are boot-time
 * microseconds
 * @leaving: it leaves; never cleared, as a new start is another incarnation
 * @pause_until_us: end of the pause
 * @milli_per_s: rate limit, TERMS_NO_LIMIT for none
 * @told_us: when an answer last named the limit
 * @in_probes: the answers to probes name it, so that one without it ends it
 * @sent_us: when this process last sent a request to the upstream
 */
struct upstream_terms {
	_Atomic bool leaving;
	_Atomic int64_t pause_until_us;
	_Atomic int64_t milli_per_s;
	_Atomic int64_t told_us;
	_Atomic bool in_probes;
	_Atomic int64_t sent_us;
};

/** terms_init() - an upstream that has asked for nothing */
void terms_init(struct upstream_terms *t);

/**
 * terms_on_answer() - an answer of the upstream was received
 *
 * Return: TERMS_..._CHANGED bits of what begins, ends or changes.
 */
unsigned terms_on_answer(
    struct upstream_terms *t, const struct terms_answer *a, int64_t now_us);

/**
 * terms_allow() - whether this VM may send a request now
 * @rank: number of VMs that precede this one for the upstream
 * @n_vms: number of VMs of the fleet, 0 counts as 1
 */
bool terms_allow(const struct upstream_terms *t, uint32_t rank, uint32_t n_vms,
    int64_t now_us);

/** terms_pause_left_us() - rest of the pause, 0 without one */
int64_t terms_pause_left_us(const struct upstream_terms *t, int64_t now_us);

/** terms_on_send() - this VM sends a request to the upstream */
void terms_on_send(struct upstream_terms *t, int64_t now_us);

#endif
