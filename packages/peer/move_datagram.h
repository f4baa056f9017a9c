/*
 * move_datagram - datagrams about a running move: counters to the executor, its
 * word to all VMs.
 *
 *	move_datagram_encode(&out, &msg);
 *	if (move_datagram_decode(bytes, &msg)) ...
 */
#ifndef PEER_MOVE_DATAGRAM_H
#define PEER_MOVE_DATAGRAM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "fleet/move_executor.h"

#define MOVE_DATAGRAM_NAME_MAX 127

/** enum move_datagram_type - what a datagram tells */
enum move_datagram_type {
	MOVE_DATAGRAM_COUNTS = 1, /* a VM's counters */
	MOVE_DATAGRAM_WORD,       /* the executor's decision */
};

/**
 * struct move_datagram_msg - one datagram
 * @vm: sender
 * @boot: number of the sender's process
 * @service: service that is moved
 * @to_version: version that gets the traffic
 * @counts: for MOVE_DATAGRAM_COUNTS
 * @share: of the new version in permille, for MOVE_DATAGRAM_WORD
 * @state: of the move, for MOVE_DATAGRAM_WORD
 */
struct move_datagram_msg {
	enum move_datagram_type type;
	char vm[MOVE_DATAGRAM_NAME_MAX + 1];
	uint64_t boot;
	char service[MOVE_DATAGRAM_NAME_MAX + 1];
	char to_version[MOVE_DATAGRAM_NAME_MAX + 1];
	struct move_exec_counts counts;
	uint32_t share;
	enum obj_move_state state;
};

/** move_datagram_encode() - append a datagram to @out */
void move_datagram_encode(struct bbuf *out, const struct move_datagram_msg *m);

/**
 * move_datagram_decode() - false when the bytes are no datagram of this kind
 */
bool move_datagram_decode(struct bstr bytes, struct move_datagram_msg *out);

#endif
