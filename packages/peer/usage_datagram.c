#include "peer/usage_datagram.h"

#include "peer/msgpack_io.h"

/*
 * Types from 32 up distinguish these datagrams from those of move_datagram.h
 * and update_datagram.h, which begin with a lower type.
 */
#define TYPE_COUNTS 32
#define TYPE_STATUS 33
#define COUNTS_FIELDS 6
#define COUNT_FIELDS 3
#define STATUS_FIELDS 7

void
usage_datagram_encode_counts(struct bbuf *out, const struct usage_counts_msg *m)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, COUNTS_FIELDS);
	mpack_put_uint(&w, TYPE_COUNTS);
	mpack_put_str(&w, bstr_from(m->vm));
	mpack_put_uint(&w, m->boot);
	mpack_put_uint(&w, (uint64_t)m->time_ms);
	mpack_put_bool(&w, m->full);
	mpack_put_array(&w, m->n);
	for (uint32_t i = 0; i < m->n; i++) {
		mpack_put_array(&w, COUNT_FIELDS);
		mpack_put_uint(&w, (uint64_t)m->counts[i].window);
		mpack_put_str(&w, bstr_from(m->counts[i].workspace));
		mpack_put_uint(&w, m->counts[i].count);
	}
}

/* Reads a name; false when it is empty or has a zero byte in it. */
static bool
get_name(struct mpack_reader *r, char *out)
{
	struct bstr s = mpack_str(r, USAGE_NAME_MAX);

	if (s.n != 0)
		memcpy(out, s.p, s.n);
	out[s.n] = '\0';
	return (s.n != 0 && strlen(out) == s.n);
}

static int64_t
get_number(struct mpack_reader *r)
{
	return ((int64_t)mpack_uint(r, USAGE_DATAGRAM_MAX_NUMBER));
}

static bool
get_type(struct mpack_reader *r, uint64_t type)
{
	return (mpack_uint(r, type) == type);
}

bool
usage_datagram_decode_counts(struct bstr bytes, struct usage_counts_msg *out)
{
	struct mpack_reader r;
	bool ok;

	*out = (struct usage_counts_msg){0};
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, COUNTS_FIELDS);
	ok = get_type(&r, TYPE_COUNTS);
	ok = get_name(&r, out->vm) && ok;
	out->boot = mpack_uint(&r, UINT64_MAX);
	out->time_ms = get_number(&r);
	out->full = mpack_bool(&r);
	out->n = mpack_enter_list(&r, USAGE_MSG_MAX_COUNTS);
	for (uint32_t i = 0; i < out->n; i++) {
		struct usage_msg_count *c = &out->counts[i];

		mpack_enter(&r, COUNT_FIELDS);
		c->window = get_number(&r);
		ok = get_name(&r, c->workspace) && ok;
		c->count = (uint32_t)mpack_uint(&r, UINT32_MAX);
		mpack_leave(&r);
	}
	mpack_leave(&r);
	mpack_leave(&r);
	ok = mpack_ok(&r) && ok;
	mpack_reader_finish(&r);
	return (ok);
}

void
usage_datagram_encode_status(struct bbuf *out, const struct usage_status_msg *m)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, STATUS_FIELDS);
	mpack_put_uint(&w, TYPE_STATUS);
	mpack_put_str(&w, bstr_from(m->vm));
	mpack_put_uint(&w, (uint64_t)m->token);
	mpack_put_uint(&w, (uint64_t)m->reported_through);
	mpack_put_uint(&w, (uint64_t)m->fixed_through);
	mpack_put_uint(&w, (uint64_t)m->time_ms);
	mpack_put_uint(&w, m->n_samples);
}

bool
usage_datagram_decode_status(struct bstr bytes, struct usage_status_msg *out)
{
	struct mpack_reader r;
	bool ok;

	*out = (struct usage_status_msg){0};
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, STATUS_FIELDS);
	ok = get_type(&r, TYPE_STATUS);
	ok = get_name(&r, out->vm) && ok;
	out->token = get_number(&r);
	out->reported_through = get_number(&r);
	out->fixed_through = get_number(&r);
	out->time_ms = get_number(&r);
	out->n_samples = (uint32_t)mpack_uint(&r, UINT32_MAX);
	mpack_leave(&r);
	ok = mpack_ok(&r) && ok;
	mpack_reader_finish(&r);
	return (ok);
}
