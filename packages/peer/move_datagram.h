/*
 * move_datagram - datagrams about a running move.
 *
 * Each VM sends its call counters to the executor of the move. The executor
 * sends its decision, the traffic share and the state, to all VMs.
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

/* Longest name in bytes, without the terminating zero byte. */
#define MOVE_DATAGRAM_NAME_MAX 127

/** enum move_datagram_type - types; the numbers are part of the protocol */
enum move_datagram_type {
	MOVE_DATAGRAM_COUNTS = 1, /* call counters of a VM */
	MOVE_DATAGRAM_DECISION,   /* decision of the executor */
};

/**
 * struct move_datagram_msg - one datagram
 * @vm: id of the sending VM
 * @boot: number of the sender's process, which changes when it restarts
 * @service: service whose traffic is moved
 * @to_version: version that the traffic moves to
 * @counts: counters of both versions, for MOVE_DATAGRAM_COUNTS
 * @share: traffic share of the new version in permille, for
 *	MOVE_DATAGRAM_DECISION
 * @state: for MOVE_DATAGRAM_DECISION the state of the move, for
 *	MOVE_DATAGRAM_COUNTS the outcome that the sender received from an
 *	executor
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
 * move_datagram_decode() - decode a datagram
 *
 * Return: false when @bytes is malformed or a datagram of another module.
 */
bool move_datagram_decode(struct bstr bytes, struct move_datagram_msg *out);

#endif
