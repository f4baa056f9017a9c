#include "peer/mpk.h"

static int
append(void *out, const char *data, size_t n)
{
	bbuf_add(out, (struct bstr){data, n});
	return (0);
}

void
mpk_writer_init(struct mpk_writer *w, struct bbuf *out)
{
	msgpack_packer_init(&w->pk, out, append);
}

void
mpk_put_array(struct mpk_writer *w, uint32_t n)
{
	msgpack_pack_array(&w->pk, n);
}

void
mpk_put_uint(struct mpk_writer *w, uint64_t v)
{
	msgpack_pack_uint64(&w->pk, v);
}

void
mpk_put_int(struct mpk_writer *w, int64_t v)
{
	msgpack_pack_int64(&w->pk, v);
}

void
mpk_put_bool(struct mpk_writer *w, bool v)
{
	if (v)
		msgpack_pack_true(&w->pk);
	else
		msgpack_pack_false(&w->pk);
}

void
mpk_put_str(struct mpk_writer *w, struct bstr s)
{
	msgpack_pack_bin(&w->pk, s.n);
	if (s.n != 0)
		msgpack_pack_bin_body(&w->pk, s.p, s.n);
}

void
mpk_put_vmid(struct mpk_writer *w, const struct vmid *id)
{
	mpk_put_str(w, vmid_str(id));
}

void
mpk_reader_init(struct mpk_reader *r, struct bstr bytes)
{
	size_t off = 0;

	*r = (struct mpk_reader){0};
	msgpack_unpacked_init(&r->unpacked);
	r->ok = bytes.n != 0 &&
	    msgpack_unpack_next(&r->unpacked, bytes.p, bytes.n, &off) ==
		MSGPACK_UNPACK_SUCCESS &&
	    off == bytes.n;
	r->level[0].next = &r->unpacked.data;
	r->level[0].left = r->ok ? 1 : 0;
}

void
mpk_reader_finish(struct mpk_reader *r)
{
	msgpack_unpacked_destroy(&r->unpacked);
}

static const msgpack_object *
take(struct mpk_reader *r, msgpack_object_type type)
{
	struct mpk_level *l = &r->level[r->depth];
	const msgpack_object *o = l->next;

	if (!r->ok || l->left == 0 || o->type != type) {
		r->ok = false;
		return (NULL);
	}
	l->next++;
	l->left--;
	return (o);
}

static uint32_t
enter(struct mpk_reader *r, const msgpack_object *o)
{
	if (r->depth + 1 == MPK_MAX_DEPTH) {
		r->ok = false;
		return (0);
	}
	r->depth++;
	r->level[r->depth].next = o->via.array.ptr;
	r->level[r->depth].left = o->via.array.size;
	return (o->via.array.size);
}

void
mpk_enter(struct mpk_reader *r, uint32_t n)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_ARRAY);

	if (o == NULL || o->via.array.size != n) {
		r->ok = false;
		return;
	}
	enter(r, o);
}

uint32_t
mpk_enter_list(struct mpk_reader *r, uint32_t max)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_ARRAY);

	if (o == NULL || o->via.array.size > max) {
		r->ok = false;
		return (0);
	}
	return (enter(r, o));
}

void
mpk_leave(struct mpk_reader *r)
{
	if (!r->ok)
		return;
	if (r->depth == 0 || r->level[r->depth].left != 0) {
		r->ok = false;
		return;
	}
	r->depth--;
}

uint64_t
mpk_uint(struct mpk_reader *r, uint64_t max)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (o == NULL || o->via.u64 > max) {
		r->ok = false;
		return (0);
	}
	return (o->via.u64);
}

int64_t
mpk_int(struct mpk_reader *r)
{
	const struct mpk_level *l = &r->level[r->depth];
	const msgpack_object *o;

	if (r->ok && l->left != 0 &&
	    l->next->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		o = take(r, MSGPACK_OBJECT_NEGATIVE_INTEGER);
		return (o->via.i64);
	}
	return ((int64_t)mpk_uint(r, INT64_MAX));
}

bool
mpk_bool(struct mpk_reader *r)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_BOOLEAN);

	return (o != NULL && o->via.boolean);
}

struct bstr
mpk_str(struct mpk_reader *r, size_t max)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_BIN);

	if (o == NULL || o->via.bin.size > max) {
		r->ok = false;
		return ((struct bstr){0});
	}
	return ((struct bstr){o->via.bin.ptr, o->via.bin.size});
}

struct vmid
mpk_vmid(struct mpk_reader *r)
{
	return (vmid_from(mpk_str(r, VMID_MAX)));
}

bool
mpk_ok(const struct mpk_reader *r)
{
	return (r->ok);
}
