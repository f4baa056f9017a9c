#include "peer/pmv.h"

#include "peer/mpk.h"

#define FIELDS 9
#define COUNT_FIELDS 3
#define MAX_SHARE 1000

static void
put_count(struct mpk_writer *w, const struct canary_count *c)
{
	mpk_put_array(w, COUNT_FIELDS);
	mpk_put_uint(w, c->calls);
	mpk_put_uint(w, c->failed);
	mpk_put_uint(w, c->slow);
}

void
pmv_encode(struct bbuf *out, const struct pmv_msg *m)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, FIELDS);
	mpk_put_uint(&w, m->type);
	mpk_put_str(&w, bstr_from(m->vm));
	mpk_put_uint(&w, m->boot);
	mpk_put_str(&w, bstr_from(m->service));
	mpk_put_str(&w, bstr_from(m->to_version));
	put_count(&w, &m->counts.old_version);
	put_count(&w, &m->counts.new_version);
	mpk_put_uint(&w, m->share);
	mpk_put_uint(&w, m->state);
}

static void
get_count(struct mpk_reader *r, struct canary_count *c)
{
	mpk_enter(r, COUNT_FIELDS);
	c->calls = mpk_uint(r, INT64_MAX);
	c->failed = mpk_uint(r, c->calls);
	c->slow = mpk_uint(r, c->calls);
	mpk_leave(r);
}

static void
get_name(struct mpk_reader *r, char *out)
{
	struct bstr s = mpk_str(r, PMV_NAME_MAX);

	if (s.n != 0)
		memcpy(out, s.p, s.n);
	out[s.n] = '\0';
}

bool
pmv_decode(struct bstr bytes, struct pmv_msg *out)
{
	struct mpk_reader r;
	bool ok;

	*out = (struct pmv_msg){0};
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, FIELDS);
	out->type = (enum pmv_type)mpk_uint(&r, PMV_WORD);
	get_name(&r, out->vm);
	out->boot = mpk_uint(&r, UINT64_MAX);
	get_name(&r, out->service);
	get_name(&r, out->to_version);
	get_count(&r, &out->counts.old_version);
	get_count(&r, &out->counts.new_version);
	out->share = (uint32_t)mpk_uint(&r, MAX_SHARE);
	out->state = (enum obj_move_state)mpk_uint(&r, OBJ_MOVE_ROLLED_BACK);
	mpk_leave(&r);
	ok = mpk_ok(&r) && out->type != 0 && strlen(out->service) != 0 &&
	    strlen(out->vm) != 0;
	mpk_reader_finish(&r);
	return (ok);
}
