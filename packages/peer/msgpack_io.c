#include "peer/msgpack_io.h"

static int
append(void *out, const char *data, size_t n)
{
	bbuf_add(out, (struct bstr){data, n});
	return (0);
}

void
mpack_writer_init(struct mpack_writer *w, struct bbuf *out)
{
	msgpack_packer_init(&w->packer, out, append);
}

void
mpack_put_array(struct mpack_writer *w, uint32_t n)
{
	msgpack_pack_array(&w->packer, n);
}

void
mpack_put_uint(struct mpack_writer *w, uint64_t v)
{
	msgpack_pack_uint64(&w->packer, v);
}

void
mpack_put_int(struct mpack_writer *w, int64_t v)
{
	msgpack_pack_int64(&w->packer, v);
}

void
mpack_put_bool(struct mpack_writer *w, bool v)
{
	if (v)
		msgpack_pack_true(&w->packer);
	else
		msgpack_pack_false(&w->packer);
}

void
mpack_put_str(struct mpack_writer *w, struct bstr s)
{
	msgpack_pack_bin(&w->packer, s.n);
	if (s.n != 0)
		msgpack_pack_bin_body(&w->packer, s.p, s.n);
}

void
mpack_put_vmid(struct mpack_writer *w, const struct vm_id *id)
{
	mpack_put_str(w, vmid_str(id));
}

/* Reads the big-endian number in the @width bytes at @p. */
static uint64_t
get_be(const char *p, unsigned width)
{
	uint64_t v = 0;

	for (unsigned i = 0; i < width; i++)
		v = v << 8 | (unsigned char)p[i];
	return (v);
}

/**
 * struct head - decoded header of a value: type byte and length field
 * @width: size of the length field in bytes
 * @skip: size of the content after the header in bytes, 0 for an array
 * @items: number of values in an array
 */
struct head {
	unsigned width;
	uint64_t skip;
	uint64_t items;
};

/*
 * Reads the header of the value at @p, where @n bytes are available. Returns
 * false when it is truncated or of a type that msgpack_io never writes.
 */
static bool
get_head(const char *p, size_t n, struct head *h)
{
	unsigned char t = (unsigned char)*p;
	bool bin = t >= 0xc4 && t <= 0xc6;
	bool array = t == 0xdc || t == 0xdd;

	*h = (struct head){0};
	/* Fixint and bool: the type byte is the whole value. */
	if (t < 0x80 || t >= 0xe0 || t == 0xc2 || t == 0xc3)
		return (true);
	if (t >= 0x90 && t <= 0x9f) {
		h->items = t & 0x0f;
		return (true);
	}
	if ((t >= 0xcc && t <= 0xcf) || (t >= 0xd0 && t <= 0xd3)) {
		h->skip = 1U << (t & 3);
		return (true);
	}
	if (!bin && !array)
		return (false);
	h->width = bin ? 1U << (t - 0xc4) : 2U << (t - 0xdc);
	if (n <= h->width)
		return (false);
	if (bin)
		h->skip = get_be(p + 1, h->width);
	else
		h->items = get_be(p + 1, h->width);
	return (true);
}

/*
 * Returns whether @bytes is exactly one complete value. msgpack-c allocates an
 * array before it reads the items, up to 100 GB for a header of five bytes.
 * Comparing the item count with the remaining bytes first prevents this.
 */
static bool
is_complete(struct bstr bytes)
{
	size_t off = 0;
	uint64_t pending = 1;

	while (pending > 0) {
		struct head h;
		size_t left = bytes.n - off;

		if (left == 0 || !get_head(bytes.p + off, left, &h) ||
		    h.skip > left - 1 - h.width)
			return (false);
		off += 1 + h.width + h.skip;
		pending += h.items;
		pending--;
		if (pending > bytes.n - off)
			return (false);
	}
	return (off == bytes.n);
}

void
mpack_reader_init(struct mpack_reader *r, struct bstr bytes)
{
	size_t off = 0;

	*r = (struct mpack_reader){0};
	msgpack_unpacked_init(&r->unpacked);
	r->ok = is_complete(bytes) &&
	    msgpack_unpack_next(&r->unpacked, bytes.p, bytes.n, &off) ==
		MSGPACK_UNPACK_SUCCESS &&
	    off == bytes.n;
	r->level[0].next = &r->unpacked.data;
	r->level[0].left = r->ok ? 1 : 0;
}

void
mpack_reader_finish(struct mpack_reader *r)
{
	msgpack_unpacked_destroy(&r->unpacked);
}

static const msgpack_object *
take(struct mpack_reader *r, msgpack_object_type type)
{
	struct mpack_level *l = &r->level[r->depth];
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
enter(struct mpack_reader *r, const msgpack_object *o)
{
	if (r->depth + 1 == MPACK_MAX_DEPTH) {
		r->ok = false;
		return (0);
	}
	r->depth++;
	r->level[r->depth].next = o->via.array.ptr;
	r->level[r->depth].left = o->via.array.size;
	return (o->via.array.size);
}

void
mpack_enter(struct mpack_reader *r, uint32_t n)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_ARRAY);

	if (o == NULL || o->via.array.size != n) {
		r->ok = false;
		return;
	}
	enter(r, o);
}

uint32_t
mpack_enter_list(struct mpack_reader *r, uint32_t max)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_ARRAY);

	if (o == NULL || o->via.array.size > max) {
		r->ok = false;
		return (0);
	}
	return (enter(r, o));
}

void
mpack_leave(struct mpack_reader *r)
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
mpack_uint(struct mpack_reader *r, uint64_t max)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_POSITIVE_INTEGER);

	if (o == NULL || o->via.u64 > max) {
		r->ok = false;
		return (0);
	}
	return (o->via.u64);
}

int64_t
mpack_int(struct mpack_reader *r)
{
	const struct mpack_level *l = &r->level[r->depth];
	const msgpack_object *o;

	if (r->ok && l->left != 0 &&
	    l->next->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		o = take(r, MSGPACK_OBJECT_NEGATIVE_INTEGER);
		return (o->via.i64);
	}
	return ((int64_t)mpack_uint(r, INT64_MAX));
}

bool
mpack_bool(struct mpack_reader *r)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_BOOLEAN);

	return (o != NULL && o->via.boolean);
}

struct bstr
mpack_str(struct mpack_reader *r, size_t max)
{
	const msgpack_object *o = take(r, MSGPACK_OBJECT_BIN);

	if (o == NULL || o->via.bin.size > max) {
		r->ok = false;
		return ((struct bstr){0});
	}
	return ((struct bstr){o->via.bin.ptr, o->via.bin.size});
}

struct vm_id
mpack_vmid(struct mpack_reader *r)
{
	return (vmid_from(mpack_str(r, VMID_MAX)));
}

bool
mpack_ok(const struct mpack_reader *r)
{
	return (r->ok);
}
