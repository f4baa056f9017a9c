/*
 * frame - frames between processes of the daemon.
 *
 * A frame is a 4-byte big-endian length followed by an envelope, the msgpack
 * array [protocol, type, sender, body]. The decoder takes the byte stream in
 * any pieces. After the first error it stays in that error, and the connection
 * must be closed.
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
#include "peer/msgpack_io.h"
#include "peer/message_types.h"

#define FRAME_HEAD_BYTES 4
/* Longest frame including its head. */
#define FRAME_MAX_BYTES (1024 * 1024)
/* Larger buffers are freed when empty: a fleet has many idle connections. */
#define FRAME_KEEP_BYTES (128 * 1024)

/** enum frame_err - result of frame_dec_next() */
enum frame_err {
	FRAME_OK,
	FRAME_MORE,         /* no complete frame yet */
	FRAME_TOO_LARGE,    /* length above FRAME_MAX_BYTES, or zero */
	FRAME_GARBAGE,      /* not an envelope, or without a sender */
	FRAME_PROTOCOL,     /* another protocol number */
	FRAME_UNKNOWN_TYPE, /* type that this version does not have */
};

/** struct frame_msg - one message; @body points into the decoder */
struct frame_msg {
	enum peer_msg_type type;
	struct vm_id from;
	struct bstr body;
};

/**
 * struct frame_dec - incremental decoder
 * @in: bytes received and not yet dropped
 * @off: bytes of @in that were decoded
 * @reader: envelope of the last message
 * @reading: @reader is in use
 * @err: first error, FRAME_OK while there is none
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

/** frame_dec_init() - empty decoder */
void frame_dec_init(struct frame_dec *d);

/** frame_dec_finish() - free; the last message is gone */
void frame_dec_finish(struct frame_dec *d);

/** frame_dec_add() - append received bytes; the last message is gone */
void frame_dec_add(struct frame_dec *d, struct bstr bytes);

/** frame_dec_room() - bytes that may be added before the buffer is full */
size_t frame_dec_room(const struct frame_dec *d);

/**
 * frame_dec_next() - take out the next message
 * @msg: valid until the next call on @d
 */
enum frame_err frame_dec_next(struct frame_dec *d, struct frame_msg *msg);

/** frame_err_name() - short text for logs */
const char *frame_err_name(enum frame_err err);

#endif
