#include "peer/frame.h"

#define ENVELOPE_FIELDS 4

static void
put_head(char *p, uint32_t n)
{
	for (int i = 0; i < FRAME_HEAD_BYTES; i++)
		p[i] = (char)(n >> (8 * (FRAME_HEAD_BYTES - 1 - i)));
}

static uint32_t
get_head(const char *p)
{
	uint32_t n = 0;

	for (int i = 0; i < FRAME_HEAD_BYTES; i++)
		n = n << 8 | (unsigned char)p[i];
	return (n);
}

bool
frame_encode(struct bbuf *out, enum peer_msg_type type,
    const struct vm_id *from, struct bstr body)
{
	size_t start = out->n;
	struct mpack_writer w;

	if (body.n > FRAME_MAX_BYTES)
		return (false);
	bbuf_add(out, (struct bstr){"\0\0\0\0", FRAME_HEAD_BYTES});
	mpack_writer_init(&w, out);
	mpack_put_array(&w, ENVELOPE_FIELDS);
	mpack_put_uint(&w, PEER_MSG_PROTOCOL);
	mpack_put_uint(&w, type);
	mpack_put_vmid(&w, from);
	mpack_put_str(&w, body);
	if (out->n - start > FRAME_MAX_BYTES) {
		out->n = start;
		return (false);
	}
	put_head(out->p + start, (uint32_t)(out->n - start - FRAME_HEAD_BYTES));
	return (true);
}

void
frame_dec_init(struct frame_dec *d)
{
	*d = (struct frame_dec){0};
	bbuf_init(&d->in);
}

static void
end_message(struct frame_dec *d)
{
	if (d->reading)
		mpack_reader_finish(&d->reader);
	d->reading = false;
}

void
frame_dec_finish(struct frame_dec *d)
{
	end_message(d);
	bbuf_finish(&d->in);
}

void
frame_dec_add(struct frame_dec *d, struct bstr bytes)
{
	end_message(d);
	bbuf_drop_front(&d->in, d->off);
	d->off = 0;
	if (d->in.n == 0 && d->in.cap > FRAME_KEEP_BYTES)
		bbuf_finish(&d->in);
	bbuf_add(&d->in, bytes);
}

size_t
frame_dec_room(const struct frame_dec *d)
{
	size_t n = d->in.n - d->off;

	return (n >= FRAME_MAX_BYTES ? 0 : FRAME_MAX_BYTES - n);
}

static enum frame_err
read_envelope(struct frame_dec *d, struct bstr bytes, struct frame_msg *msg)
{
	struct mpack_reader *r = &d->reader;
	uint64_t protocol, type;

	mpack_reader_init(r, bytes);
	d->reading = true;
	mpack_enter(r, ENVELOPE_FIELDS);
	protocol = mpack_uint(r, UINT64_MAX);
	if (!mpack_ok(r))
		return (FRAME_GARBAGE);
	if (protocol != PEER_MSG_PROTOCOL)
		return (FRAME_PROTOCOL);
	type = mpack_uint(r, UINT64_MAX);
	msg->from = mpack_vmid(r);
	msg->body = mpack_str(r, FRAME_MAX_BYTES);
	mpack_leave(r);
	if (!mpack_ok(r) || vmid_is_none(&msg->from))
		return (FRAME_GARBAGE);
	if (!peer_msg_known(type))
		return (FRAME_UNKNOWN_TYPE);
	msg->type = (enum peer_msg_type)type;
	return (FRAME_OK);
}

enum frame_err
frame_dec_next(struct frame_dec *d, struct frame_msg *msg)
{
	size_t have = d->in.n - d->off;
	uint32_t n;

	end_message(d);
	if (d->err != FRAME_OK)
		return (d->err);
	if (have < FRAME_HEAD_BYTES)
		return (FRAME_MORE);
	n = get_head(d->in.p + d->off);
	if (n == 0 || n > FRAME_MAX_BYTES - FRAME_HEAD_BYTES) {
		d->err = FRAME_TOO_LARGE;
		return (d->err);
	}
	if (have - FRAME_HEAD_BYTES < n)
		return (FRAME_MORE);
	d->err = read_envelope(
	    d, (struct bstr){d->in.p + d->off + FRAME_HEAD_BYTES, n}, msg);
	d->off += FRAME_HEAD_BYTES + n;
	return (d->err);
}

const char *
frame_err_name(enum frame_err err)
{
	switch (err) {
	case FRAME_OK:
		return ("ok");
	case FRAME_MORE:
		return ("incomplete frame");
	case FRAME_TOO_LARGE:
		return ("frame length out of range");
	case FRAME_GARBAGE:
		return ("malformed envelope");
	case FRAME_PROTOCOL:
		return ("unsupported protocol version");
	case FRAME_UNKNOWN_TYPE:
		return ("unknown message type");
	}
	return ("unknown");
}
