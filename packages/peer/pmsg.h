/*
 * pmsg - types of the messages between processes of the daemon.
 *
 * A frame carries an envelope (protocol version, type, sender) and a body whose
 * shape belongs to the type. Bodies are encoded with mpk by the codec module of
 * the package that owns the type.
 */
#ifndef PEER_PMSG_H
#define PEER_PMSG_H

#include <stdbool.h>
#include <stdint.h>

#define PMSG_PROTOCOL 1

/** enum pmsg_type - message types; the numbers are part of the protocol */
enum pmsg_type {
	/* Membership and freshness: 1 to 15. */
	PMSG_HELLO = 1,
	PMSG_GOSSIP = 2,
	PMSG_PULL = 3,
	PMSG_PULL_ANSWER = 4,
	PMSG_LEAVING = 5,
	/* Partitions and claims: 16 to 31. */
	PMSG_PARTITION = 16,
	PMSG_CLAIM = 17,
	/* Cold-start permits and probe results: 32 to 39. */
	PMSG_PERMIT = 32,
	PMSG_UPSTREAM_STATE = 33,
	/* Configuration: 40 to 47. */
	PMSG_OBJECT = 40,
	PMSG_OBJECT_ACK = 41,
	/* Moves: 48 to 55. */
	PMSG_METRICS = 48,
	PMSG_BAD_VERSION = 49,
	PMSG_TYPE_MAX = 63
};

/** pmsg_known() - whether @type is a message type of this version */
bool pmsg_known(uint64_t type);

#endif
