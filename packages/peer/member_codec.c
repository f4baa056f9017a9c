#include "peer/member_codec.h"

#include "peer/msgpack_io.h"

#define GOSSIP_FIELDS 3
#define ENTRY_FIELDS 6
#define FRESH_FIELDS 6

static void
put_entry(struct mpack_writer *w, const struct member_entry *e)
{
	mpack_put_array(w, ENTRY_FIELDS);
	mpack_put_vmid(w, &e->id);
	mpack_put_str(w, member_str(&e->zone));
	mpack_put_str(w, member_str(&e->addr));
	mpack_put_uint(w, e->heartbeat);
	mpack_put_uint(w, e->health);
	mpack_put_bool(w, e->leaving);
}

static bool
get_entry(struct mpack_reader *r, struct member_entry *e)
{
	mpack_enter(r, ENTRY_FIELDS);
	e->id = mpack_vmid(r);
	e->zone = member_text(mpack_str(r, MEMBER_TEXT_MAX));
	e->addr = member_text(mpack_str(r, MEMBER_TEXT_MAX));
	e->heartbeat = mpack_uint(r, MEMBER_MAX_HEARTBEAT);
	e->health = (enum member_health)mpack_uint(r, MEMBER_HEALTH_DEAD);
	e->leaving = mpack_bool(r);
	mpack_leave(r);
	return (mpack_ok(r) && !vmid_is_none(&e->id) && e->addr.n != 0);
}

void
member_codec_put_gossip(struct bbuf *out, const struct member_msg *msg)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, GOSSIP_FIELDS);
	mpack_put_uint(&w, msg->base);
	mpack_put_bool(&w, msg->ping);
	mpack_put_array(&w, msg->n);
	for (uint32_t i = 0; i < msg->n; i++)
		put_entry(&w, &msg->entries[i]);
}

bool
member_codec_get_gossip(struct bstr bytes, struct member_msg *msg)
{
	struct mpack_reader r;
	bool ok = true;

	*msg = (struct member_msg){0};
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, GOSSIP_FIELDS);
	msg->base = (uint32_t)mpack_uint(&r, MEMBER_MAX_BASE);
	msg->ping = mpack_bool(&r);
	msg->n = mpack_enter_list(&r, MEMBER_MAX_ENTRIES);
	for (uint32_t i = 0; i < msg->n && ok; i++)
		ok = get_entry(&r, &msg->entries[i]);
	mpack_leave(&r);
	mpack_leave(&r);
	ok = ok && mpack_ok(&r);
	mpack_reader_finish(&r);
	return (ok);
}

void
member_codec_put_fresh(struct bbuf *out, const struct fresh_msg *msg)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, FRESH_FIELDS);
	mpack_put_uint(&w, msg->kind);
	mpack_put_uint(&w, msg->token);
	mpack_put_int(&w, msg->age_ms);
	mpack_put_uint(&w, msg->digest.highest);
	mpack_put_uint(&w, msg->digest.set);
	mpack_put_bool(&w, msg->settled);
}

bool
member_codec_get_fresh(struct bstr bytes, struct fresh_msg *msg)
{
	struct mpack_reader r;
	bool ok;

	*msg = (struct fresh_msg){0};
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, FRESH_FIELDS);
	msg->kind = (enum fresh_msg_kind)mpack_uint(&r, FRESH_ANSWER);
	msg->token = mpack_uint(&r, UINT64_MAX);
	msg->age_ms = mpack_int(&r);
	msg->digest.highest = mpack_uint(&r, UINT64_MAX);
	msg->digest.set = mpack_uint(&r, UINT64_MAX);
	msg->settled = mpack_bool(&r);
	mpack_leave(&r);
	ok = mpack_ok(&r) && msg->age_ms >= FRESH_STALE;
	mpack_reader_finish(&r);
	return (ok);
}
