/*
 * pmv - datagrams about a running move: counters to the executor, its word to
 * all VMs.
 *
 *	pmv_encode(&out, &msg);
 *	if (pmv_decode(bytes, &msg)) ...
 */
#ifndef PEER_PMV_H
#define PEER_PMV_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "fleet/move_executor.h"

#define PMV_NAME_MAX 127

/** enum pmv_type - what a datagram tells */
enum pmv_type {
	PMV_COUNTS = 1, /* a VM's counters */
	PMV_WORD,       /* the executor's decision */
};

/**
 * struct pmv_msg - one datagram
 * @vm: sender
 * @boot: number of the sender's process
 * @service: service that is moved
 * @to_version: version that gets the traffic
 * @counts: for PMV_COUNTS
 * @share: of the new version in permille, for PMV_WORD
 * @state: of the move, for PMV_WORD
 */
struct pmv_msg {
	enum pmv_type type;
	char vm[PMV_NAME_MAX + 1];
	uint64_t boot;
	char service[PMV_NAME_MAX + 1];
	char to_version[PMV_NAME_MAX + 1];
	struct move_exec_counts counts;
	uint32_t share;
	enum obj_move_state state;
};

/** pmv_encode() - append a datagram to @out */
void pmv_encode(struct bbuf *out, const struct pmv_msg *m);

/** pmv_decode() - false when the bytes are no datagram of this kind */
bool pmv_decode(struct bstr bytes, struct pmv_msg *out);

#endif
