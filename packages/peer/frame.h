/*
 * frame - framing of the messages between daemon processes.
 *
 * A frame is a 4-byte big-endian length followed by an envelope, the msgpack
 * array [protocol, type, sender, body]. The decoder accepts the byte stream in
 * pieces of any size. An error is final: every later call returns it again, and
 * the caller must close the connection.
 *
 *	frame_encode(&out, PEER_MSG_GOSSIP, &self, body);
 *
 *	struct frame_dec d;
 *	frame_dec_init(&d);
 *	frame_dec_add(&d, bytes);
 *	while ((err = frame_dec_next(&d, &msg)) == FRAME_OK)
 *		use(&msg);
 *	frame_dec_finish(&d);
 */
#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "base/vm_id.h"
#include "peer/message_types.h"
#include "peer/msgpack_io.h"

#define FRAME_HEAD_BYTES 4
/* Largest frame, including its length field. */
#define FRAME_MAX_BYTES (1024 * 1024)
/*
 * An empty buffer above this size is freed, because a large fleet has many idle
 * connections.
 */
#define FRAME_KEEP_BYTES (128 * 1024)

/** enum frame_err - result of frame_dec_next() */
enum frame_err {
	FRAME_OK,
	FRAME_MORE,         /* no complete frame yet */
	FRAME_TOO_LARGE,    /* length is zero or exceeds FRAME_MAX_BYTES */
	FRAME_GARBAGE,      /* malformed envelope, or no sender */
	FRAME_PROTOCOL,     /* unsupported protocol version */
	FRAME_UNKNOWN_TYPE, /* message type unknown to this version */
};

/** struct frame_msg - one message; @body points into the decoder's buffer */
struct frame_msg {
	enum peer_msg_type type;
	struct vm_id from;
	struct bstr body;
};

/**
 * struct frame_dec - incremental decoder
 * @in: received bytes
 * @off: number of bytes at the start of @in that are already decoded
 * @reader: reader of the last message's envelope
 * @reading: @reader is initialised and must be released
 * @err: FRAME_OK or the first error
 */
struct frame_dec {
	struct bbuf in;
	size_t off;
	struct mpack_reader reader;
	bool reading;
	enum frame_err err;
};

/**
 * frame_encode() - append one frame to @out
 *
 * Return: false when the frame would exceed FRAME_MAX_BYTES; nothing is added.
 */
bool frame_encode(struct bbuf *out, enum peer_msg_type type,
    const struct vm_id *from, struct bstr body);

/** frame_dec_init() - initialise an empty decoder */
void frame_dec_init(struct frame_dec *d);

/** frame_dec_finish() - free the decoder; invalidates the last message */
void frame_dec_finish(struct frame_dec *d);

/** frame_dec_add() - append received bytes; invalidates the last message */
void frame_dec_add(struct frame_dec *d, struct bstr bytes);

/** frame_dec_room() - number of bytes that still fit into the buffer */
size_t frame_dec_room(const struct frame_dec *d);

/**
 * frame_dec_next() - decode the next message
 * @msg: receives the message, which is valid until the next call on @d
 *
 * Return: FRAME_OK, FRAME_MORE when more bytes are needed, or an error.
 */
enum frame_err frame_dec_next(struct frame_dec *d, struct frame_msg *msg);

/** frame_err_name() - short description of @err for logs */
const char *frame_err_name(enum frame_err err);

#endif
