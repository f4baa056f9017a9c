/* Controller of membership, freshness, the VM list and peer connections. */
#include <stdio.h>
#include <stdlib.h>

#include "control/controller.h"
#include "peer/member_codec.h"

#define VM_LIST_INTERVAL_MS 5000
/* Used until the size of the majority is known. */
#define VM_LIST_START_INTERVAL_MS 500
#define MEMBERS_INTERVAL_MS 250
#define STORE_PREFIXES "config/,intent/"

/* Numbers in the store tags of this controller. */
enum { TAG_VMS = 1, TAG_READ };

/* A fetch of objects from a peer: the peer's digest, received at @at_ms. */
struct fetch {
	struct fresh_digest digest;
	int64_t at_ms;
};

static GHashTable *
fetches(struct control *c)
{
	return (c->fetches);
}

static char *
vmid_key(const struct vm_id *id)
{
	return (g_strndup(id->s, id->n));
}

static void
send_fresh_msg(struct control *c, const struct fresh_effect *e)
{
	struct bbuf body;

	bbuf_init(&body);
	member_codec_put_fresh(&body, &e->msg);
	ctl_send(c, &e->to,
	    e->msg.kind == FRESH_PULL ? PEER_MSG_PULL : PEER_MSG_PULL_ANSWER,
	    bbuf_str(&body));
	bbuf_finish(&body);
}

static void
start_fetch(struct control *c, const struct fresh_effect *e)
{
	struct fetch *f = g_new(struct fetch, 1);
	struct config_out out = {0};

	f->digest = e->digest;
	f->at_ms = c->now_ms;
	g_hash_table_replace(fetches(c), vmid_key(&e->to), f);
	config_pull(&c->config, &e->to, c->now_ms, &out);
	ctl_apply_config(c, &out);
}

static void
start_store_read(struct control *c, const struct fresh_effect *e)
{
	uint64_t tag = CONTROLLER_TAG(CONTROLLER_MEMBER, TAG_READ);

	if (c->revision == 0)
		store_thread_list(c->store, STORE_PREFIXES, tag);
	else
		store_thread_watch(
		    c->store, STORE_PREFIXES, c->revision, e->wait_ms, tag);
}

static void
apply_fresh(struct control *c, struct fresh_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const struct fresh_effect *e = &out->e[i];

		switch (e->kind) {
		case FRESH_SEND:
			send_fresh_msg(c, e);
			break;
		case FRESH_STORE:
			start_store_read(c, e);
			break;
		case FRESH_FETCH:
			start_fetch(c, e);
			break;
		}
	}
	fresh_out_clear(out);
}

void
ctl_on_synced(struct control *c, const struct vm_id *from, int64_t started_ms)
{
	struct fresh_digest held = ctl_config_digest(c);
	struct fresh_out out = {0};
	struct fetch *f = NULL;
	char *key;

	if (from != NULL) {
		key = vmid_key(from);
		f = g_hash_table_lookup(fetches(c), key);
		g_free(key);
		if (f == NULL)
			return;
	}
	if (f != NULL && f->at_ms > started_ms) {
		struct config_out retry = {0};

		/* The sync began before the digest arrived, so sync again. */
		config_pull(&c->config, from, c->now_ms, &retry);
		ctl_apply_config(c, &retry);
		return;
	}
	fresh_on_applied(&c->freshness, from, f == NULL ? NULL : &f->digest,
	    &held, c->now_ms, &out);
	apply_fresh(c, &out);
}

static void
send_gossip(struct control *c, const struct member_effect *e)
{
	struct bbuf body;

	bbuf_init(&body);
	member_codec_put_gossip(&body, &e->msg);
	if (!vmid_is_none(&e->id))
		ctl_send(c, &e->id, PEER_MSG_GOSSIP, bbuf_str(&body));
	else
		link_send_addr(&c->links, member_str(&e->addr), PEER_MSG_GOSSIP,
		    bbuf_str(&body));
	bbuf_finish(&body);
}

static void
add_peer(struct control *c, struct bstr addr)
{
	if (link_add_peer(&c->links, addr))
		g_hash_table_add(c->peer_addrs, g_strndup(addr.p, addr.n));
}

static void
add_peer_of(struct control *c, const struct vm_id *id)
{
	for (uint32_t i = 0; i < c->membership.n; i++) {
		if (vmid_eq(&c->membership.members[i].e.id, id))
			add_peer(
			    c, member_str(&c->membership.members[i].e.addr));
	}
}

static void
log_member(const struct member_effect *e, const char *what)
{
	g_message("member: %.*s %s", BSTR_ARG(vmid_str(&e->id)), what);
}

static void
apply_member(struct control *c, struct member_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const struct member_effect *e = &out->e[i];

		switch (e->kind) {
		case MEMBER_SEND:
			send_gossip(c, e);
			break;
		case MEMBER_JOINED:
			add_peer_of(c, &e->id);
			log_member(e, "joined");
			break;
		case MEMBER_LEFT:
			log_member(e, "is leaving");
			break;
		case MEMBER_SUSPECTED:
			g_debug("member: %.*s is suspect",
			    BSTR_ARG(vmid_str(&e->id)));
			break;
		case MEMBER_REFUTED:
			break;
		case MEMBER_DIED:
			log_member(e, "is dead");
			break;
		case MEMBER_PAUSED:
			g_warning("member: this process stood still for "
				  "%lld ms",
			    (long long)e->gap_ms);
			c->paused_ms = c->now_ms;
			break;
		}
	}
	member_out_clear(out);
}

static void
setup(struct control *c)
{
	const struct settings *s = c->desc.set;
	char addr[32];

	snprintf(addr, sizeof(addr), "%s:%lld", s->peer.addr,
	    (long long)s->peer.port);
	member_init(&c->membership,
	    &(struct member_desc){.self = c->self,
		.zone = member_text(bstr_from(s->zone)),
		.addr = member_text(bstr_from(addr)),
		.seed = c->desc.seed});
	fresh_init(&c->freshness,
	    &(struct fresh_desc){.self = c->self,
		.zone = member_text(bstr_from(s->zone)),
		.seed = c->desc.seed});
	c->members = g_new0(struct member_info, MEMBER_MAX_MEMBERS);
	c->peer_addrs =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->fetches =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
finish(struct control *c)
{
	member_finish(&c->membership);
	fresh_finish(&c->freshness);
	g_free(c->members);
	g_hash_table_destroy(c->peer_addrs);
	g_hash_table_destroy(c->fetches);
}

/* Passes the list of all members, dead ones included, to the other modules. */
static void
distribute_members(struct control *c)
{
	struct member_info *all = g_new(struct member_info, MEMBER_MAX_MEMBERS);
	uint32_t n = member_all(&c->membership, all, MEMBER_MAX_MEMBERS);
	struct partition_member *pm = g_new0(struct partition_member, n);
	struct cold_member *cm = g_new0(struct cold_member, n);
	struct vm_id *ids = g_new0(struct vm_id, n);
	struct partition_out out = {0};

	for (uint32_t i = 0; i < n; i++) {
		bool dead = all[i].state == MEMBER_DEAD;

		pm[i].id = all[i].id;
		snprintf(pm[i].zone, sizeof(pm[i].zone), "%.*s",
		    BSTR_ARG(member_str(&all[i].zone)));
		pm[i].alive = !dead;
		pm[i].leaving = all[i].state == MEMBER_LEAVING;
		cm[i] = (struct cold_member){all[i].id, !dead};
		ids[i] = all[i].id;
	}
	config_on_members(&c->config, ids, n);
	cold_on_members(&c->cold, cm, n);
	if (member_majority(&c->membership) != 0)
		partition_on_members(&c->partitions, pm, n, c->now_ms, &out);
	ctl_apply_partitions(c, &out);
	partition_out_finish(&out);
	g_free(all);
	g_free(pm);
	g_free(cm);
	g_free(ids);
}

static void
tick(struct control *c)
{
	struct member_out mo = {0};
	struct fresh_out fo = {0};

	if (c->now_ms >= c->next_vms_ms) {
		c->next_vms_ms = c->now_ms +
		    (member_majority(&c->membership) == 0
			    ? VM_LIST_START_INTERVAL_MS
			    : VM_LIST_INTERVAL_MS);
		store_thread_vms(
		    c->store, CONTROLLER_TAG(CONTROLLER_MEMBER, TAG_VMS));
	}
	if (atomic_load(&c->leave) && !c->leaving) {
		c->leaving = true;
		member_leave(&c->membership, c->now_ms, &mo);
	}
	member_tick(&c->membership, c->now_ms, &mo);
	apply_member(c, &mo);
	c->n_members = member_live(
	    &c->membership, (struct bstr){0}, c->members, MEMBER_MAX_MEMBERS);
	fresh_on_members(&c->freshness, c->members, c->n_members,
	    member_majority(&c->membership), c->now_ms, &fo);
	fresh_tick(&c->freshness, c->now_ms, &fo);
	apply_fresh(c, &fo);
	if (c->now_ms >= c->next_members_ms) {
		c->next_members_ms = c->now_ms + MEMBERS_INTERVAL_MS;
		distribute_members(c);
	}
}

static bool
on_peer(struct control *c, enum peer_msg_type type, const struct vm_id *from,
    struct bstr body)
{
	struct member_out mo = {0};
	struct fresh_out fo = {0};
	struct member_msg gossip;
	struct fresh_msg pull;

	switch (type) {
	case PEER_MSG_GOSSIP:
		if (member_codec_get_gossip(body, &gossip))
			member_on_gossip(
			    &c->membership, from, &gossip, c->now_ms, &mo);
		apply_member(c, &mo);
		return (true);
	case PEER_MSG_PULL:
	case PEER_MSG_PULL_ANSWER:
		if (member_codec_get_fresh(body, &pull))
			fresh_on_message(
			    &c->freshness, from, &pull, c->now_ms, &fo);
		apply_fresh(c, &fo);
		return (true);
	default:
		return (false);
	}
}

static bool
is_member_addr(const struct control *c, const char *addr)
{
	for (uint32_t i = 0; i < c->n_members; i++) {
		if (bstr_eq(member_str(&c->members[i].addr), bstr_from(addr)))
			return (true);
	}
	return (false);
}

/* Removes peers that are neither in the VM list nor live members. */
static void
remove_stale_peers(struct control *c, GHashTable *listed)
{
	GHashTableIter it;
	gpointer addr;

	g_hash_table_iter_init(&it, c->peer_addrs);
	while (g_hash_table_iter_next(&it, &addr, NULL)) {
		if (g_hash_table_contains(listed, addr) ||
		    is_member_addr(c, addr))
			continue;
		link_remove_peer(&c->links, bstr_from(addr));
		g_hash_table_iter_remove(&it);
	}
}

static void
on_vm_list(struct control *c, const struct store_thread_result *r)
{
	struct member_text *addrs =
	    g_new0(struct member_text, MEMBER_MAX_MEMBERS);
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	struct member_out out = {0};
	uint32_t n = 0;
	size_t i;
	json_t *v;

	json_array_foreach(r->value, i, v)
	{
		const char *peer =
		    json_string_value(json_object_get(v, "peer"));

		if (peer == NULL || n == MEMBER_MAX_MEMBERS)
			continue;
		addrs[n] = member_text(bstr_from(peer));
		if (addrs[n].n == 0)
			continue;
		g_hash_table_add(listed, (gpointer)(uintptr_t)peer);
		add_peer(c, member_str(&addrs[n++]));
	}
	member_on_vm_list(&c->membership, addrs, n, r->sent_ms > c->paused_ms,
	    c->now_ms, &out);
	apply_member(c, &out);
	remove_stale_peers(c, listed);
	g_hash_table_destroy(listed);
	g_free(addrs);
}

static void
on_store_read(struct control *c, struct store_thread_result *r)
{
	struct fresh_out out = {0};
	struct fresh_digest held;

	if (r->err != ERR_NONE || r->value == NULL) {
		fresh_on_store_failed(&c->freshness, c->now_ms, &out);
	} else {
		ctl_on_store_list(c, r->value, r->op == STORE_THREAD_LIST);
		held = ctl_config_digest(c);
		fresh_on_store(
		    &c->freshness, r->sent_ms, &held, c->now_ms, &out);
	}
	apply_fresh(c, &out);
}

static void
on_store(struct control *c, struct store_thread_result *r)
{
	if (CONTROLLER_TAG_N(r->tag) == TAG_READ)
		on_store_read(c, r);
	else if (r->err == ERR_NONE && json_is_array(r->value))
		on_vm_list(c, r);
}

static const struct controller_ops ops = {
    .name = "member",
    .setup = setup,
    .finish = finish,
    .tick = tick,
    .on_peer = on_peer,
    .on_store = on_store,
};

const struct controller controller_member = {&ops};
