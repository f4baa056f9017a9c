/*
 * member_codec - msgpack codec for the messages of membership and freshness.
 *
 * PEER_MSG_GOSSIP carries a struct member_msg, PEER_MSG_PULL and
 * PEER_MSG_PULL_ANSWER carry a struct fresh_msg. Decoders return false unless
 * the bytes are exactly one valid message; @msg is undefined after a failure.
 *
 *	member_codec_put_gossip(&body, &msg);
 *	ok = member_codec_get_gossip(bytes, &msg);
 */
#ifndef PEER_MEMBER_CODEC_H
#define PEER_MEMBER_CODEC_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "member/freshness.h"
#include "member/membership.h"

/** member_codec_put_gossip() - append the encoded gossip message to @out */
void member_codec_put_gossip(struct bbuf *out, const struct member_msg *msg);

/** member_codec_get_gossip() - decode gossip; Return: false when malformed */
bool member_codec_get_gossip(struct bstr bytes, struct member_msg *msg);

/** member_codec_put_fresh() - append the encoded pull or answer to @out */
void member_codec_put_fresh(struct bbuf *out, const struct fresh_msg *msg);

/** member_codec_get_fresh() - decode pull or answer; false when malformed */
bool member_codec_get_fresh(struct bstr bytes, struct fresh_msg *msg);

#endif
