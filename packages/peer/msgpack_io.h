/*
 * msgpack_io - bounded reading and writing of msgpack (prefix mpack_).
 *
 * A writer appends to a struct bbuf. A reader iterates over one value, usually
 * an array. It fails at the first value of a wrong type or out of range, and
 * all later reads return zero values, so a decoder needs to check mpack_ok()
 * only once, at its end.
 *
 *	struct mpack_writer w;
 *	mpack_writer_init(&w, &buf);
 *	mpack_put_array(&w, 2);
 *	mpack_put_uint(&w, 7);
 *	mpack_put_str(&w, BSTR("x"));
 *
 *	struct mpack_reader r;
 *	mpack_reader_init(&r, bytes);
 *	mpack_enter(&r, 2);
 *	n = mpack_uint(&r, UINT32_MAX);
 *	s = mpack_str(&r, 64);
 *	mpack_leave(&r);
 *	ok = mpack_ok(&r);
 *	mpack_reader_finish(&r);
 */
#ifndef PEER_MSGPACK_IO_H
#define PEER_MSGPACK_IO_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/vm_id.h"

/* Levels of a message: the message itself and the arrays nested in it. */
#define MPACK_MAX_DEPTH 6

/** struct mpack_writer - writer that appends to a buffer */
struct mpack_writer {
	msgpack_packer packer;
};

/**
 * struct mpack_level - an array that is being read, or the message itself
 * @next: next value
 * @left: number of values not yet read
 */
struct mpack_level {
	const msgpack_object *next;
	uint32_t left;
};

/**
 * struct mpack_reader - reader of one message
 * @unpacked: parsed message
 * @level: the message itself, then the entered arrays, outermost first
 * @depth: index in @level of the array that is being read
 * @ok: false after the first error
 */
struct mpack_reader {
	msgpack_unpacked unpacked;
	struct mpack_level level[MPACK_MAX_DEPTH];
	int depth;
	bool ok;
};

/** mpack_writer_init() - start a writer that appends to @out */
void mpack_writer_init(struct mpack_writer *w, struct bbuf *out);

/** mpack_put_array() - start an array; the next @n values belong to it */
void mpack_put_array(struct mpack_writer *w, uint32_t n);

/** mpack_put_uint() - write an unsigned number */
void mpack_put_uint(struct mpack_writer *w, uint64_t v);

/** mpack_put_int() - write a signed number */
void mpack_put_int(struct mpack_writer *w, int64_t v);

/** mpack_put_bool() - write a boolean */
void mpack_put_bool(struct mpack_writer *w, bool v);

/** mpack_put_str() - write bytes as a msgpack bin value */
void mpack_put_str(struct mpack_writer *w, struct bstr s);

/** mpack_put_vmid() - write the identity of a process */
void mpack_put_vmid(struct mpack_writer *w, const struct vm_id *id);

/**
 * mpack_reader_init() - parse @bytes, which must hold exactly one value
 *
 * Memory use is bounded by a constant multiple of the size of @bytes.
 */
void mpack_reader_init(struct mpack_reader *r, struct bstr bytes);

/** mpack_reader_finish() - free the reader; invalidates strings read from it */
void mpack_reader_finish(struct mpack_reader *r);

/** mpack_enter() - enter an array of exactly @n values */
void mpack_enter(struct mpack_reader *r, uint32_t n);

/**
 * mpack_enter_list() - enter an array of at most @max values
 *
 * Return: the number of values, 0 after an error.
 */
uint32_t mpack_enter_list(struct mpack_reader *r, uint32_t max);

/** mpack_leave() - leave the innermost array; fails if values are unread */
void mpack_leave(struct mpack_reader *r);

/** mpack_uint() - read a number in [0, @max] */
uint64_t mpack_uint(struct mpack_reader *r, uint64_t max);

/** mpack_int() - read a signed number */
int64_t mpack_int(struct mpack_reader *r);

/** mpack_bool() - read a boolean */
bool mpack_bool(struct mpack_reader *r);

/** mpack_str() - read up to @max bytes, valid until mpack_reader_finish() */
struct bstr mpack_str(struct mpack_reader *r, size_t max);

/** mpack_vmid() - read an identity; empty bytes give the "none" identity */
struct vm_id mpack_vmid(struct mpack_reader *r);

/** mpack_ok() - whether every read so far succeeded */
bool mpack_ok(const struct mpack_reader *r);

#endif
