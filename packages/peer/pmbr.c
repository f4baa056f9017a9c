#include "peer/pmbr.h"

#include "peer/mpk.h"

#define GOSSIP_FIELDS 3
#define ENTRY_FIELDS 6
#define FRS_FIELDS 6

static void
put_entry(struct mpk_writer *w, const struct member_entry *e)
{
	mpk_put_array(w, ENTRY_FIELDS);
	mpk_put_vmid(w, &e->id);
	mpk_put_str(w, member_str(&e->zone));
	mpk_put_str(w, member_str(&e->addr));
	mpk_put_uint(w, e->heartbeat);
	mpk_put_uint(w, e->health);
	mpk_put_bool(w, e->leaving);
}

static bool
get_entry(struct mpk_reader *r, struct member_entry *e)
{
	mpk_enter(r, ENTRY_FIELDS);
	e->id = mpk_vmid(r);
	e->zone = member_text(mpk_str(r, MEMBER_TEXT_MAX));
	e->addr = member_text(mpk_str(r, MEMBER_TEXT_MAX));
	e->heartbeat = mpk_uint(r, MEMBER_MAX_HEARTBEAT);
	e->health = (enum member_health)mpk_uint(r, MEMBER_HEALTH_DEAD);
	e->leaving = mpk_bool(r);
	mpk_leave(r);
	return (mpk_ok(r) && !vmid_is_none(&e->id) && e->addr.n != 0);
}

void
pmbr_put_gossip(struct bbuf *out, const struct member_msg *msg)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, GOSSIP_FIELDS);
	mpk_put_uint(&w, msg->base);
	mpk_put_bool(&w, msg->ask);
	mpk_put_array(&w, msg->n);
	for (uint32_t i = 0; i < msg->n; i++)
		put_entry(&w, &msg->entries[i]);
}

bool
pmbr_get_gossip(struct bstr bytes, struct member_msg *msg)
{
	struct mpk_reader r;
	bool ok = true;

	*msg = (struct member_msg){0};
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, GOSSIP_FIELDS);
	msg->base = (uint32_t)mpk_uint(&r, MEMBER_MAX_BASE);
	msg->ask = mpk_bool(&r);
	msg->n = mpk_enter_list(&r, MEMBER_MAX_ENTRIES);
	for (uint32_t i = 0; i < msg->n && ok; i++)
		ok = get_entry(&r, &msg->entries[i]);
	mpk_leave(&r);
	mpk_leave(&r);
	ok = ok && mpk_ok(&r);
	mpk_reader_finish(&r);
	return (ok);
}

void
pmbr_put_frs(struct bbuf *out, const struct fresh_msg *msg)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, FRS_FIELDS);
	mpk_put_uint(&w, msg->kind);
	mpk_put_uint(&w, msg->token);
	mpk_put_int(&w, msg->age_ms);
	mpk_put_uint(&w, msg->digest.highest);
	mpk_put_uint(&w, msg->digest.set);
	mpk_put_bool(&w, msg->settled);
}

bool
pmbr_get_frs(struct bstr bytes, struct fresh_msg *msg)
{
	struct mpk_reader r;
	bool ok;

	*msg = (struct fresh_msg){0};
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, FRS_FIELDS);
	msg->kind = (enum fresh_msg_kind)mpk_uint(&r, FRESH_ANSWER);
	msg->token = mpk_uint(&r, UINT64_MAX);
	msg->age_ms = mpk_int(&r);
	msg->digest.highest = mpk_uint(&r, UINT64_MAX);
	msg->digest.set = mpk_uint(&r, UINT64_MAX);
	msg->settled = mpk_bool(&r);
	mpk_leave(&r);
	ok = mpk_ok(&r) && msg->age_ms >= FRESH_LAPSED;
	mpk_reader_finish(&r);
	return (ok);
}
