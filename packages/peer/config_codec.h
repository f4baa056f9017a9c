/*
 * config_codec - codec for the messages of config_state and version_move.
 *
 * The message type determines the structure of the body: PEER_MSG_OBJECT and
 * PEER_MSG_OBJECT_ACK carry a struct config_msg, PEER_MSG_METRICS and
 * PEER_MSG_BAD_VERSION carry a struct move_msg.
 *
 *	type = config_codec_put(&msg, &buf);
 *	...
 *	if (config_codec_get(type, bytes, &msg))
 *		config_on_msg(&c, &msg, now_ms, &out);
 *	config_msg_finish(&msg);
 */
#ifndef PEER_CONFIG_CODEC_H
#define PEER_CONFIG_CODEC_H

#include "config/config_state.h"
#include "move/version_move.h"
#include "peer/message_types.h"

/** config_codec_put() - append the body of @msg; Return: its message type */
enum peer_msg_type config_codec_put(
    const struct config_msg *msg, struct bbuf *out);

/**
 * config_codec_get() - decode a body of type PEER_MSG_OBJECT or
 * PEER_MSG_OBJECT_ACK
 * @msg: receives the message; call config_msg_finish() also after a failure
 *
 * Return: false when @type does not match the body, and for trailing data or
 * values out of range.
 */
bool config_codec_get(
    enum peer_msg_type type, struct bstr bytes, struct config_msg *msg);

/** config_codec_put_move() - like config_codec_put() for a struct move_msg */
enum peer_msg_type config_codec_put_move(
    const struct move_msg *msg, struct bbuf *out);

/**
 * config_codec_get_move() - decode a body of type PEER_MSG_METRICS or
 * PEER_MSG_BAD_VERSION
 * @msg: receives the message; call move_msg_finish() also after a failure
 *
 * Return: false for another @type, a malformed body, trailing data or values
 * out of range.
 */
bool config_codec_get_move(
    enum peer_msg_type type, struct bstr bytes, struct move_msg *msg);

#endif
