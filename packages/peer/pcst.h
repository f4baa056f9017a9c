/*
 * pcst - codec of the messages of config_state and mov.
 *
 * The frame type says which structure a body holds: PMSG_OBJECT and
 * PMSG_OBJECT_ACK a struct config_msg, PMSG_METRICS and PMSG_BAD_VERSION a
 * struct move_msg.
 *
 *	type = pcst_put(&msg, &buf);
 *	...
 *	if (pcst_get(type, bytes, &msg))
 *		config_on_msg(&c, &msg, now_ms, &out);
 *	config_msg_finish(&msg);
 */
#ifndef PEER_PCST_H
#define PEER_PCST_H

#include "config/config_state.h"
#include "move/version_move.h"
#include "peer/pmsg.h"

/** pcst_put() - append the body of @msg; Return: its frame type */
enum pmsg_type pcst_put(const struct config_msg *msg, struct bbuf *out);

/**
 * pcst_get() - read a body of type PMSG_OBJECT or PMSG_OBJECT_ACK
 * @msg: config_msg_finish() is needed either way
 *
 * Return: false for another type, trailing data and values out of range.
 */
bool pcst_get(enum pmsg_type type, struct bstr bytes, struct config_msg *msg);

/** pcst_put_move() - append the body of @msg; Return: its frame type */
enum pmsg_type pcst_put_move(const struct move_msg *msg, struct bbuf *out);

/** pcst_get_move() - like pcst_get() for PMSG_METRICS and PMSG_BAD_VERSION */
bool pcst_get_move(
    enum pmsg_type type, struct bstr bytes, struct move_msg *msg);

#endif
