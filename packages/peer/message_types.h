/*
 * message_types - message types of the peer protocol (prefix peer_msg_).
 *
 * A frame carries an envelope (protocol version, type, sender) and a body. The
 * layout of the body depends on the type. The codec modules of this package
 * encode bodies with msgpack_io.
 *
 *	if (!peer_msg_known(type))
 *		return (FRAME_UNKNOWN_TYPE);
 */
#ifndef PEER_MESSAGE_TYPES_H
#define PEER_MESSAGE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

/* Protocol version in the envelope of each message. */
#define PEER_MSG_PROTOCOL 1

/** enum peer_msg_type - message types; the numbers are part of the protocol */
enum peer_msg_type {
	/* Membership and freshness: 1 to 15. */
	PEER_MSG_HELLO = 1,
	PEER_MSG_GOSSIP = 2,
	PEER_MSG_PULL = 3,
	PEER_MSG_PULL_ANSWER = 4,
	PEER_MSG_LEAVING = 5,
	/* Partitions and claims: 16 to 31. */
	PEER_MSG_PARTITION = 16,
	PEER_MSG_CLAIM = 17,
	/* Cold-start permits and probe results: 32 to 39. */
	PEER_MSG_PERMIT = 32,
	PEER_MSG_UPSTREAM_STATE = 33,
	/* Configuration: 40 to 47. */
	PEER_MSG_OBJECT = 40,
	PEER_MSG_OBJECT_ACK = 41,
	/* Moves: 48 to 55. */
	PEER_MSG_METRICS = 48,
	PEER_MSG_BAD_VERSION = 49,
	/* Largest number that a message type may have; not a type itself. */
	PEER_MSG_TYPE_MAX = 63
};

/** peer_msg_known() - whether this version supports message type @type */
bool peer_msg_known(uint64_t type);

#endif
