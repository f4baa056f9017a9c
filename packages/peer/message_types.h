/*
 * message_types - types of the messages between processes of the daemon.
 *
 * A frame carries an envelope (protocol version, type, sender) and a body whose
 * shape belongs to the type. Bodies are encoded with msgpack_io by the codec
 * module of the package that owns the type.
 */
#ifndef PEER_MESSAGE_TYPES_H
#define PEER_MESSAGE_TYPES_H

#include <stdbool.h>
#include <stdint.h>

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
	PEER_MSG_TYPE_MAX = 63
};

/** peer_msg_known() - whether @type is a message type of this version */
bool peer_msg_known(uint64_t type);

#endif
