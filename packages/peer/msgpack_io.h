/*
 * msgpack_io - bounded reading and writing of msgpack values.
 *
 * A writer appends to a struct bbuf. A reader walks one array value; the first
 * value of a wrong type or out of range makes it fail, and all later reads give
 * zero values, so that a decoder checks mpack_ok() once at its end.
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

#define MPACK_MAX_DEPTH 6

/** struct mpack_writer - packs into a buffer */
struct mpack_writer {
	msgpack_packer pk;
};

/** struct mpack_level - array that is being read */
struct mpack_level {
	const msgpack_object *next;
	uint32_t left;
};

/** struct mpack_reader - reads one message */
struct mpack_reader {
	msgpack_unpacked unpacked;
	struct mpack_level level[MPACK_MAX_DEPTH];
	int depth;
	bool ok;
};

/** mpack_writer_init() - append to @out */
void mpack_writer_init(struct mpack_writer *w, struct bbuf *out);

/** mpack_put_array() - head of an array of @n values, which follow */
void mpack_put_array(struct mpack_writer *w, uint32_t n);

/** mpack_put_uint() - unsigned number */
void mpack_put_uint(struct mpack_writer *w, uint64_t v);

/** mpack_put_int() - signed number */
void mpack_put_int(struct mpack_writer *w, int64_t v);

/** mpack_put_bool() - boolean */
void mpack_put_bool(struct mpack_writer *w, bool v);

/** mpack_put_str() - bytes, written as a binary value */
void mpack_put_str(struct mpack_writer *w, struct bstr s);

/** mpack_put_vmid() - identity of a process */
void mpack_put_vmid(struct mpack_writer *w, const struct vm_id *id);

/**
 * mpack_reader_init() - parse @bytes, which must hold exactly one value
 *
 * The memory used is at most a constant multiple of the size of @bytes.
 */
void mpack_reader_init(struct mpack_reader *r, struct bstr bytes);

/** mpack_reader_finish() - free; strings that were read are gone */
void mpack_reader_finish(struct mpack_reader *r);

/** mpack_enter() - enter an array of exactly @n values */
void mpack_enter(struct mpack_reader *r, uint32_t n);

/** mpack_enter_list() - enter an array; Return: its length, at most @max */
uint32_t mpack_enter_list(struct mpack_reader *r, uint32_t max);

/** mpack_leave() - leave the array; fails when values are left in it */
void mpack_leave(struct mpack_reader *r);

/** mpack_uint() - number in [0, max] */
uint64_t mpack_uint(struct mpack_reader *r, uint64_t max);

/** mpack_int() - signed number */
int64_t mpack_int(struct mpack_reader *r);

/** mpack_bool() - boolean */
bool mpack_bool(struct mpack_reader *r);

/** mpack_str() - at most @max bytes, valid until mpack_reader_finish() */
struct bstr mpack_str(struct mpack_reader *r, size_t max);

/** mpack_vmid() - identity; an empty one is "none" */
struct vm_id mpack_vmid(struct mpack_reader *r);

/** mpack_ok() - whether every read so far succeeded */
bool mpack_ok(const struct mpack_reader *r);

#endif
