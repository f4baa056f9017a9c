/*
 * pmbr - msgpack codec of the messages of membership and frs.
 *
 * PMSG_GOSSIP carries a struct member_msg, PMSG_PULL and PMSG_PULL_ANSWER carry
 * a struct fresh_msg. Decoders return false for anything that is not exactly
 * one valid message; @msg is then undefined.
 *
 *	pmbr_put_gossip(&body, &msg);
 *	ok = pmbr_get_gossip(bytes, &msg);
 */
#ifndef PEER_PMBR_H
#define PEER_PMBR_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "member/freshness.h"
#include "member/membership.h"

/** pmbr_put_gossip() - append the encoded message to @out */
void pmbr_put_gossip(struct bbuf *out, const struct member_msg *msg);

/** pmbr_get_gossip() - decode; Return: false when malformed */
bool pmbr_get_gossip(struct bstr bytes, struct member_msg *msg);

/** pmbr_put_frs() - append the encoded pull or answer to @out */
void pmbr_put_frs(struct bbuf *out, const struct fresh_msg *msg);

/** pmbr_get_frs() - decode; Return: false when malformed */
bool pmbr_get_frs(struct bstr bytes, struct fresh_msg *msg);

#endif
