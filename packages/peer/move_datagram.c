#include "peer/move_datagram.h"

#include "peer/msgpack_io.h"

#define FIELDS 9
#define COUNT_FIELDS 3
#define MAX_SHARE_PERMILLE 1000

static void
put_count(struct mpack_writer *w, const struct canary_count *c)
{
	mpack_put_array(w, COUNT_FIELDS);
	mpack_put_uint(w, c->calls);
	mpack_put_uint(w, c->failed);
	mpack_put_uint(w, c->slow);
}

void
move_datagram_encode(struct bbuf *out, const struct move_datagram_msg *m)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, FIELDS);
	mpack_put_uint(&w, m->type);
	mpack_put_str(&w, bstr_from(m->vm));
	mpack_put_uint(&w, m->boot);
	mpack_put_str(&w, bstr_from(m->service));
	mpack_put_str(&w, bstr_from(m->to_version));
	put_count(&w, &m->counts.old_version);
	put_count(&w, &m->counts.new_version);
	mpack_put_uint(&w, m->share);
	mpack_put_uint(&w, m->state);
}

static void
get_count(struct mpack_reader *r, struct canary_count *c)
{
	mpack_enter(r, COUNT_FIELDS);
	c->calls = mpack_uint(r, INT64_MAX);
	c->failed = mpack_uint(r, c->calls);
	c->slow = mpack_uint(r, c->calls);
	mpack_leave(r);
}

static void
get_name(struct mpack_reader *r, char *out)
{
	struct bstr s = mpack_str(r, MOVE_DATAGRAM_NAME_MAX);

	if (s.n != 0)
		memcpy(out, s.p, s.n);
	out[s.n] = '\0';
}

bool
move_datagram_decode(struct bstr bytes, struct move_datagram_msg *out)
{
	struct mpack_reader r;
	bool ok;

	*out = (struct move_datagram_msg){0};
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, FIELDS);
	out->type =
	    (enum move_datagram_type)mpack_uint(&r, MOVE_DATAGRAM_DECISION);
	get_name(&r, out->vm);
	out->boot = mpack_uint(&r, UINT64_MAX);
	get_name(&r, out->service);
	get_name(&r, out->to_version);
	get_count(&r, &out->counts.old_version);
	get_count(&r, &out->counts.new_version);
	out->share = (uint32_t)mpack_uint(&r, MAX_SHARE_PERMILLE);
	out->state = (enum obj_move_state)mpack_uint(&r, OBJ_MOVE_ROLLED_BACK);
	mpack_leave(&r);
	ok = mpack_ok(&r) && out->type != 0 && strlen(out->service) != 0 &&
	    strlen(out->vm) != 0;
	mpack_reader_finish(&r);
	return (ok);
}
