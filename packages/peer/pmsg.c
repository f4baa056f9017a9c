#include "peer/pmsg.h"

bool
pmsg_known(uint64_t type)
{
	if (type > PMSG_TYPE_MAX)
		return (false);
	/* No default: the compiler then reports a type that is missing. */
	switch ((enum pmsg_type)type) {
	case PMSG_HELLO:
	case PMSG_GOSSIP:
	case PMSG_PULL:
	case PMSG_PULL_ANSWER:
	case PMSG_LEAVING:
	case PMSG_PARTITION:
	case PMSG_CLAIM:
	case PMSG_PERMIT:
	case PMSG_UPSTREAM_STATE:
	case PMSG_OBJECT:
	case PMSG_OBJECT_ACK:
	case PMSG_METRICS:
	case PMSG_BAD_VERSION:
		return (true);
	case PMSG_TYPE_MAX:
		break;
	}
	return (false);
}
