/*
 * frm - frames between processes of the daemon.
 *
 * A frame is a 4-byte big-endian length followed by an envelope, the msgpack
 * array [protocol, type, sender, body]. The decoder takes the byte stream in
 * any pieces. After the first error it stays in that error, and the connection
 * must be closed.
 *
 *	frm_encode(&out, PMSG_GOSSIP, &self, body);
 *
 *	struct frm_dec d;
 *	frm_dec_init(&d);
 *	frm_dec_add(&d, bytes);
 *	while ((err = frm_dec_next(&d, &msg)) == FRM_OK)
 *		use(&msg);
 *	frm_dec_finish(&d);
 */
#ifndef PEER_FRM_H
#define PEER_FRM_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "base/vm_id.h"
#include "peer/mpk.h"
#include "peer/pmsg.h"

#define FRM_HEAD_BYTES 4
/* Longest frame including its head. */
#define FRM_MAX_BYTES (1024 * 1024)
/* Larger buffers are freed when empty: a fleet has many idle connections. */
#define FRM_KEEP_BYTES (128 * 1024)

/** enum frm_err - result of frm_dec_next() */
enum frm_err {
	FRM_OK,
	FRM_MORE,         /* no complete frame yet */
	FRM_TOO_LARGE,    /* length above FRM_MAX_BYTES, or zero */
	FRM_GARBAGE,      /* not an envelope, or without a sender */
	FRM_PROTOCOL,     /* another protocol number */
	FRM_UNKNOWN_TYPE, /* type that this version does not have */
};

/** struct frm_msg - one message; @body points into the decoder */
struct frm_msg {
	enum pmsg_type type;
	struct vm_id from;
	struct bstr body;
};

/**
 * struct frm_dec - incremental decoder
 * @in: bytes received and not yet dropped
 * @off: bytes of @in that were decoded
 * @reader: envelope of the last message
 * @reading: @reader is in use
 * @err: first error, FRM_OK while there is none
 */
struct frm_dec {
	struct bbuf in;
	size_t off;
	struct mpk_reader reader;
	bool reading;
	enum frm_err err;
};

/**
 * frm_encode() - append one frame to @out
 *
 * Return: false when the frame would exceed FRM_MAX_BYTES; nothing is added.
 */
bool frm_encode(struct bbuf *out, enum pmsg_type type, const struct vm_id *from,
    struct bstr body);

/** frm_dec_init() - empty decoder */
void frm_dec_init(struct frm_dec *d);

/** frm_dec_finish() - free; the last message is gone */
void frm_dec_finish(struct frm_dec *d);

/** frm_dec_add() - append received bytes; the last message is gone */
void frm_dec_add(struct frm_dec *d, struct bstr bytes);

/** frm_dec_room() - bytes that may be added before the buffer is full */
size_t frm_dec_room(const struct frm_dec *d);

/**
 * frm_dec_next() - take out the next message
 * @msg: valid until the next call on @d
 */
enum frm_err frm_dec_next(struct frm_dec *d, struct frm_msg *msg);

/** frm_err_name() - short text for logs */
const char *frm_err_name(enum frm_err err);

#endif
