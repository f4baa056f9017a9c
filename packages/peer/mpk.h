/*
 * mpk - bounded reading and writing of msgpack values.
 *
 * A writer appends to a struct bbuf. A reader walks one array value; the first
 * value of a wrong type or out of range makes it fail, and all later reads give
 * zero values, so that a decoder checks mpk_ok() once at its end.
 *
 *	struct mpk_writer w;
 *	mpk_writer_init(&w, &buf);
 *	mpk_put_array(&w, 2);
 *	mpk_put_uint(&w, 7);
 *	mpk_put_str(&w, BSTR("x"));
 *
 *	struct mpk_reader r;
 *	mpk_reader_init(&r, bytes);
 *	mpk_enter(&r, 2);
 *	n = mpk_uint(&r, UINT32_MAX);
 *	s = mpk_str(&r, 64);
 *	mpk_leave(&r);
 *	ok = mpk_ok(&r);
 *	mpk_reader_finish(&r);
 */
#ifndef PEER_MPK_H
#define PEER_MPK_H

#include <msgpack.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/vm_id.h"

#define MPK_MAX_DEPTH 6

/** struct mpk_writer - packs into a buffer */
struct mpk_writer {
	msgpack_packer pk;
};

/** struct mpk_level - array that is being read */
struct mpk_level {
	const msgpack_object *next;
	uint32_t left;
};

/** struct mpk_reader - reads one message */
struct mpk_reader {
	msgpack_unpacked unpacked;
	struct mpk_level level[MPK_MAX_DEPTH];
	int depth;
	bool ok;
};

/** mpk_writer_init() - append to @out */
void mpk_writer_init(struct mpk_writer *w, struct bbuf *out);

/** mpk_put_array() - head of an array of @n values, which follow */
void mpk_put_array(struct mpk_writer *w, uint32_t n);

/** mpk_put_uint() - unsigned number */
void mpk_put_uint(struct mpk_writer *w, uint64_t v);

/** mpk_put_int() - signed number */
void mpk_put_int(struct mpk_writer *w, int64_t v);

/** mpk_put_bool() - boolean */
void mpk_put_bool(struct mpk_writer *w, bool v);

/** mpk_put_str() - bytes, written as a binary value */
void mpk_put_str(struct mpk_writer *w, struct bstr s);

/** mpk_put_vmid() - identity of a process */
void mpk_put_vmid(struct mpk_writer *w, const struct vm_id *id);

/**
 * mpk_reader_init() - parse @bytes, which must hold exactly one value
 *
 * The memory used is at most a constant multiple of the size of @bytes.
 */
void mpk_reader_init(struct mpk_reader *r, struct bstr bytes);

/** mpk_reader_finish() - free; strings that were read are gone */
void mpk_reader_finish(struct mpk_reader *r);

/** mpk_enter() - enter an array of exactly @n values */
void mpk_enter(struct mpk_reader *r, uint32_t n);

/** mpk_enter_list() - enter an array; Return: its length, at most @max */
uint32_t mpk_enter_list(struct mpk_reader *r, uint32_t max);

/** mpk_leave() - leave the array; fails when values are left in it */
void mpk_leave(struct mpk_reader *r);

/** mpk_uint() - number in [0, max] */
uint64_t mpk_uint(struct mpk_reader *r, uint64_t max);

/** mpk_int() - signed number */
int64_t mpk_int(struct mpk_reader *r);

/** mpk_bool() - boolean */
bool mpk_bool(struct mpk_reader *r);

/** mpk_str() - at most @max bytes, valid until mpk_reader_finish() */
struct bstr mpk_str(struct mpk_reader *r, size_t max);

/** mpk_vmid() - identity; an empty one is "none" */
struct vm_id mpk_vmid(struct mpk_reader *r);

/** mpk_ok() - whether every read so far succeeded */
bool mpk_ok(const struct mpk_reader *r);

#endif
