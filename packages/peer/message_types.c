#include "peer/message_types.h"

bool
peer_msg_known(uint64_t type)
{
	if (type > PEER_MSG_TYPE_MAX)
		return (false);
	/* Without a default case the compiler warns when a type is missing. */
	switch ((enum peer_msg_type)type) {
	case PEER_MSG_HELLO:
	case PEER_MSG_GOSSIP:
	case PEER_MSG_PULL:
	case PEER_MSG_PULL_ANSWER:
	case PEER_MSG_LEAVING:
	case PEER_MSG_PARTITION:
	case PEER_MSG_CLAIM:
	case PEER_MSG_PERMIT:
	case PEER_MSG_UPSTREAM_STATE:
	case PEER_MSG_OBJECT:
	case PEER_MSG_OBJECT_ACK:
	case PEER_MSG_METRICS:
	case PEER_MSG_BAD_VERSION:
		return (true);
	case PEER_MSG_TYPE_MAX:
		break;
	}
	return (false);
}
