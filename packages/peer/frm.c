#include "peer/frm.h"

#define ENVELOPE_FIELDS 4

static void
put_head(char *p, uint32_t n)
{
	for (int i = 0; i < FRM_HEAD_BYTES; i++)
		p[i] = (char)(n >> (8 * (FRM_HEAD_BYTES - 1 - i)));
}

static uint32_t
get_head(const char *p)
{
	uint32_t n = 0;

	for (int i = 0; i < FRM_HEAD_BYTES; i++)
		n = n << 8 | (unsigned char)p[i];
	return (n);
}

bool
frm_encode(struct bbuf *out, enum pmsg_type type, const struct vm_id *from,
    struct bstr body)
{
	size_t start = out->n;
	struct mpk_writer w;

	if (body.n > FRM_MAX_BYTES)
		return (false);
	bbuf_add(out, (struct bstr){"\0\0\0\0", FRM_HEAD_BYTES});
	mpk_writer_init(&w, out);
	mpk_put_array(&w, ENVELOPE_FIELDS);
	mpk_put_uint(&w, PMSG_PROTOCOL);
	mpk_put_uint(&w, type);
	mpk_put_vmid(&w, from);
	mpk_put_str(&w, body);
	if (out->n - start > FRM_MAX_BYTES) {
		out->n = start;
		return (false);
	}
	put_head(out->p + start, (uint32_t)(out->n - start - FRM_HEAD_BYTES));
	return (true);
}

void
frm_dec_init(struct frm_dec *d)
{
	*d = (struct frm_dec){0};
	bbuf_init(&d->in);
}

static void
end_message(struct frm_dec *d)
{
	if (d->reading)
		mpk_reader_finish(&d->reader);
	d->reading = false;
}

void
frm_dec_finish(struct frm_dec *d)
{
	end_message(d);
	bbuf_finish(&d->in);
}

void
frm_dec_add(struct frm_dec *d, struct bstr bytes)
{
	end_message(d);
	bbuf_drop_front(&d->in, d->off);
	d->off = 0;
	if (d->in.n == 0 && d->in.cap > FRM_KEEP_BYTES)
		bbuf_finish(&d->in);
	bbuf_add(&d->in, bytes);
}

size_t
frm_dec_room(const struct frm_dec *d)
{
	size_t n = d->in.n - d->off;

	return (n >= FRM_MAX_BYTES ? 0 : FRM_MAX_BYTES - n);
}

static enum frm_err
read_envelope(struct frm_dec *d, struct bstr bytes, struct frm_msg *msg)
{
	struct mpk_reader *r = &d->reader;
	uint64_t protocol, type;

	mpk_reader_init(r, bytes);
	d->reading = true;
	mpk_enter(r, ENVELOPE_FIELDS);
	protocol = mpk_uint(r, UINT64_MAX);
	if (!mpk_ok(r))
		return (FRM_GARBAGE);
	if (protocol != PMSG_PROTOCOL)
		return (FRM_PROTOCOL);
	type = mpk_uint(r, UINT64_MAX);
	msg->from = mpk_vmid(r);
	msg->body = mpk_str(r, FRM_MAX_BYTES);
	mpk_leave(r);
	if (!mpk_ok(r) || vmid_is_none(&msg->from))
		return (FRM_GARBAGE);
	if (!pmsg_known(type))
		return (FRM_UNKNOWN_TYPE);
	msg->type = (enum pmsg_type)type;
	return (FRM_OK);
}

enum frm_err
frm_dec_next(struct frm_dec *d, struct frm_msg *msg)
{
	size_t have = d->in.n - d->off;
	uint32_t n;

	end_message(d);
	if (d->err != FRM_OK)
		return (d->err);
	if (have < FRM_HEAD_BYTES)
		return (FRM_MORE);
	n = get_head(d->in.p + d->off);
	if (n == 0 || n > FRM_MAX_BYTES - FRM_HEAD_BYTES) {
		d->err = FRM_TOO_LARGE;
		return (d->err);
	}
	if (have - FRM_HEAD_BYTES < n)
		return (FRM_MORE);
	d->err = read_envelope(
	    d, (struct bstr){d->in.p + d->off + FRM_HEAD_BYTES, n}, msg);
	d->off += FRM_HEAD_BYTES + n;
	return (d->err);
}

const char *
frm_err_name(enum frm_err err)
{
	switch (err) {
	case FRM_OK:
		return ("ok");
	case FRM_MORE:
		return ("incomplete frame");
	case FRM_TOO_LARGE:
		return ("frame length out of range");
	case FRM_GARBAGE:
		return ("malformed envelope");
	case FRM_PROTOCOL:
		return ("unsupported protocol version");
	case FRM_UNKNOWN_TYPE:
		return ("unknown message type");
	}
	return ("unknown");
}
