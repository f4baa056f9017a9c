#include "control/update_relay.h"

#include <string.h>

#include "peer/update_datagram.h"

/* Pause between two reads of the list of VMs because of an unknown one. */
#define MEMBERS_PAUSE_MS 2000
/* VMs start together, so the first list is short and is read again. */
#define MEMBERS_SECOND_MS 1200
/* Without a list of VMs for this long, a VM reads for itself. */
#define NO_MEMBERS_MS 2500
/* Datagrams kept while a list is under way. */
#define MAX_KEPT 64

void
update_relay_init(struct update_relay *r, const struct update_relay_desc *desc)
{
	*r = (struct update_relay){.desc = *desc};
	reader_init(&r->election,
	    &(struct reader_desc){
		.self = desc->self, .link_mbps = desc->link_mbps});
	r->kept = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

void
update_relay_finish(struct update_relay *r)
{
	reader_finish(&r->election);
	g_ptr_array_unref(r->kept);
}

void
update_relay_start(struct update_relay *r, int64_t now_ms)
{
	r->start_ms = now_ms;
}

void
update_relay_on_member(struct update_relay *r, const char *id,
    const struct obj_member *m, int64_t now_ms)
{
	reader_on_listed(&r->election, id, m->link_mbps, now_ms);
}

static void
send_news(struct update_relay *r, const struct update_datagram_head *head,
    const struct update_datagram_change *changes, uint32_t n)
{
	struct bbuf b;

	bbuf_init(&b);
	update_datagram_encode(&b, head, changes, n);
	r->desc.send_all(r->desc.arg, bbuf_str(&b));
	bbuf_finish(&b);
}

void
update_relay_on_changes(struct update_relay *r, enum store_kind kind,
    int64_t base, struct bstr bytes)
{
	struct update_datagram_told told = {.kind = kind, .base = base};
	struct bbuf b;

	if (!r->reads || bytes.n > UPDATE_DATAGRAM_MAX_TOLD)
		return;
	g_strlcpy(told.vm, r->desc.self, sizeof(told.vm));
	told.bytes = g_bytes_new(bytes.p, bytes.n);
	bbuf_init(&b);
	update_datagram_encode_told(&b, &told);
	r->desc.send_all(r->desc.arg, bbuf_str(&b));
	bbuf_finish(&b);
	g_bytes_unref(told.bytes);
}

/* Tells all VMs what changed since the last news, in one or more datagrams. */
static void
tell_news(struct update_relay *r)
{
	GPtrArray *ids = view_take_changed(r->desc.view);
	const struct fleet_store *store = r->desc.store;
	struct update_datagram_head head = {0};
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	guint at = 0;

	g_strlcpy(head.vm, r->desc.self, sizeof(head.vm));
	for (int k = 0; k < STORE_KINDS; k++) {
		enum store_kind kind = (enum store_kind)k;

		head.digest[k] = view_digest(r->desc.view, kind);
		head.revision[k] = store->ops->revision(store, kind);
	}
	do {
		uint32_t n = 0;

		for (; n < UPDATE_DATAGRAM_MAX_CHANGES && at < ids->len;
		     n++, at++) {
			const char *id = g_ptr_array_index(ids, at);
			const struct view_upstream *u =
			    g_hash_table_lookup(r->desc.view->upstreams, id);

			changes[n] = (struct update_datagram_change){
			    id, u == NULL ? NULL : &u->entry};
		}
		head.last = at >= ids->len;
		send_news(r, &head, changes, n);
	} while (at < ids->len);
	g_ptr_array_unref(ids);
}

static void
apply_changes(struct update_relay *r, struct update_datagram_change *changes,
    uint32_t n, int64_t now_ms)
{
	for (uint32_t i = 0; i < n; i++)
		view_set_upstream(r->desc.view, changes[i].id,
		    (struct obj_upstream *)(uintptr_t)changes[i].entry,
		    now_ms * 1000);
}

/* What was told during a list is newer than its answer, which undid it. */
static void
apply_kept(struct update_relay *r, int64_t revision, int64_t now_ms)
{
	for (guint i = 0; i < r->kept->len; i++) {
		GBytes *b = g_ptr_array_index(r->kept, i);
		struct update_datagram_change
		    changes[UPDATE_DATAGRAM_MAX_CHANGES];
		struct update_datagram_head head;
		struct bstr bytes;
		uint32_t n;

		bytes.p = g_bytes_get_data(b, &bytes.n);
		if (!update_datagram_decode(bytes, &head, changes, &n))
			continue;
		if (head.revision[STORE_UPSTREAMS] > revision)
			apply_changes(r, changes, n, now_ms);
		update_datagram_free(changes, n);
	}
	g_ptr_array_set_size(r->kept, 0);
}

void
update_relay_on_updated(struct update_relay *r, enum store_kind kind,
    int64_t revision, int64_t now_ms)
{
	if (kind == STORE_UPSTREAMS)
		apply_kept(r, revision, now_ms);
	if (kind == STORE_MEMBERS)
		r->members_known = r->members_again;
	else if (r->reads && view_is_synced(r->desc.view))
		tell_news(r);
}

/*
 * Puts the next read of a kind off when the sender knows the same, or hurries
 * it when the sender knows more. A sender with an older revision and another
 * digest is behind.
 */
static void
compare(struct update_relay *r, const struct update_datagram_head *head,
    enum store_kind kind, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;
	bool same = head->digest[kind] == view_digest(r->desc.view, kind);
	bool orders = kind == STORE_MOVES || kind == STORE_ZONES_OUT;

	if (same && kind == STORE_UPSTREAMS && !r->reads)
		view_clear_changed(r->desc.view);
	if (same && !r->reads)
		store->ops->told(store, kind, head->revision[kind],
		    now_ms +
			(orders ? READER_POSTPONE_ORDERS_MS
				: READER_POSTPONE_MS));
	else if (!same &&
	    head->revision[kind] > store->ops->revision(store, kind))
		store->ops->hurry(store, kind);
}

static void
apply_news(struct update_relay *r, const struct update_datagram_head *head,
    struct update_datagram_change *changes, uint32_t n, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;

	if (head->revision[STORE_UPSTREAMS] >=
	    store->ops->revision(store, STORE_UPSTREAMS))
		apply_changes(r, changes, n, now_ms);
	for (int k = 0; k < STORE_KINDS && head->last; k++) {
		if (k != STORE_MEMBERS)
			compare(r, head, (enum store_kind)k, now_ms);
	}
}

/* A VM that is not in the list is new; the list is read again. */
static void
note_sender(struct update_relay *r, const char *vm, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;

	reader_on_update(&r->election, vm, now_ms);
	if (g_hash_table_contains(r->desc.view->members, vm) ||
	    now_ms < r->members_due_ms)
		return;
	r->members_due_ms = now_ms + MEMBERS_PAUSE_MS;
	store->ops->hurry(store, STORE_MEMBERS);
}

/* News of another VM; false when the datagram is something else. */
static bool
take_news(struct update_relay *r, struct bstr bytes, int64_t now_ms)
{
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	struct update_datagram_head head;
	uint32_t n;

	if (!update_datagram_decode(bytes, &head, changes, &n))
		return (false);
	note_sender(r, head.vm, now_ms);
	if (n != 0 && r->kept->len < MAX_KEPT &&
	    r->desc.store->ops->is_listing(r->desc.store, STORE_UPSTREAMS))
		g_ptr_array_add(r->kept, g_bytes_new(bytes.p, bytes.n));
	if (view_is_synced(r->desc.view))
		apply_news(r, &head, changes, n, now_ms);
	update_datagram_free(changes, n);
	return (true);
}

/* A reader is told by the store itself. */
static bool
take_told(struct update_relay *r, struct bstr bytes, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;
	struct update_datagram_told told;
	struct bstr body;

	if (!update_datagram_decode_told(bytes, &told))
		return (false);
	note_sender(r, told.vm, now_ms);
	body.p = g_bytes_get_data(told.bytes, &body.n);
	if (!r->reads && view_is_synced(r->desc.view))
		store->ops->take_changes(store, told.kind, told.base, body);
	g_bytes_unref(told.bytes);
	return (true);
}

static void
read_members_again(struct update_relay *r, int64_t now_ms)
{
	if (r->members_again || now_ms - r->start_ms < MEMBERS_SECOND_MS)
		return;
	r->members_again = true;
	r->desc.store->ops->hurry(r->desc.store, STORE_MEMBERS);
}

/* Readers that live are heard, so who reads follows from who is heard. */
static void
choose_reader(struct update_relay *r, int64_t now_ms)
{
	bool reads = reader_is_reader(&r->election, now_ms) &&
	    (r->members_known || now_ms - r->start_ms >= NO_MEMBERS_MS);

	if (reads == r->reads)
		return;
	r->reads = reads;
	g_message("fleet: this VM %s the store for the others",
	    reads ? "reads" : "no longer reads");
	r->desc.store->ops->lead(r->desc.store, reads);
	if (reads && view_is_synced(r->desc.view))
		tell_news(r);
}

bool
update_relay_on_datagram(
    struct update_relay *r, struct bstr bytes, int64_t now_ms)
{
	return (take_news(r, bytes, now_ms) || take_told(r, bytes, now_ms));
}

void
update_relay_tick(struct update_relay *r, int64_t now_ms)
{
	read_members_again(r, now_ms);
	choose_reader(r, now_ms);
}
