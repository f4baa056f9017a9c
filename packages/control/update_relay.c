#include "control/update_relay.h"

#include <string.h>

#include "peer/update_datagram.h"

/* Minimum interval between reads of the list of VMs for unknown senders. */
#define MEMBERS_MIN_INTERVAL_MS 2000
/*
 * The list of VMs is read again after this time, because the first one is
 * incomplete when VMs start together for the first time.
 */
#define MEMBERS_REREAD_MS 1200
/* After this time, a VM may become a reader without a second list of VMs. */
#define MEMBERS_TIMEOUT_MS 2500
/*
 * A VM that becomes a reader relays changes that it read within this time. When
 * the readers are lost, several VMs read a change before one of them is a
 * reader, and those without a path to the store would not learn it.
 */
#define RECENT_CHANGES_MS 5000
/* Limit of datagrams that are buffered while a list is in progress. */
#define MAX_BUFFERED 64

void
update_relay_init(struct update_relay *r, const struct update_relay_desc *desc)
{
	*r = (struct update_relay){.desc = *desc};
	reader_init(&r->election,
	    &(struct reader_desc){.self = desc->self,
		.zone = desc->zone,
		.link_mbps = desc->link_mbps});
	r->buffered =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
}

void
update_relay_finish(struct update_relay *r)
{
	reader_finish(&r->election);
	g_ptr_array_unref(r->buffered);
	for (int k = 0; k < STORE_KINDS; k++)
		g_bytes_unref(r->changes[k].bytes);
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
	reader_on_listed(&r->election, id, m->zone, m->link_mbps, now_ms);
}

static void
send_update(struct update_relay *r, const struct update_datagram_head *head,
    const struct update_datagram_change *changes, uint32_t n)
{
	struct bbuf b;

	bbuf_init(&b);
	update_datagram_encode(&b, head, changes, n);
	r->desc.send_all(r->desc.arg, bbuf_str(&b));
	bbuf_finish(&b);
}

static void
relay_changes(struct update_relay *r, enum store_kind kind)
{
	const struct own_changes *c = &r->changes[kind];
	struct update_datagram_raw relayed = {
	    .kind = kind, .base = c->base, .bytes = c->bytes};
	struct bbuf b;

	g_strlcpy(relayed.vm, r->desc.self, sizeof(relayed.vm));
	bbuf_init(&b);
	update_datagram_encode_raw(&b, &relayed);
	r->desc.send_all(r->desc.arg, bbuf_str(&b));
	bbuf_finish(&b);
}

/* Relays what this VM read shortly before it became a reader. */
static void
relay_recent_changes(struct update_relay *r, int64_t now_ms)
{
	for (int k = 0; k < STORE_KINDS; k++) {
		if (r->changes[k].bytes != NULL &&
		    now_ms - r->changes[k].read_ms < RECENT_CHANGES_MS)
			relay_changes(r, (enum store_kind)k);
	}
}

void
update_relay_on_changes(struct update_relay *r, enum store_kind kind,
    int64_t base, struct bstr bytes, int64_t now_ms)
{
	struct own_changes *c = &r->changes[kind];

	if (bytes.n > UPDATE_DATAGRAM_MAX_RAW_BYTES)
		return;
	g_bytes_unref(c->bytes);
	*c = (struct own_changes){g_bytes_new(bytes.p, bytes.n), base, now_ms};
	if (r->is_reader)
		relay_changes(r, kind);
}

static int64_t
age_ms(const struct fleet_store *store, enum store_kind kind, int64_t now_ms)
{
	int64_t confirmed_ms = store->ops->confirmed_ms(store, kind);

	if (confirmed_ms <= now_ms - UPDATE_DATAGRAM_AGE_UNKNOWN)
		return (UPDATE_DATAGRAM_AGE_UNKNOWN);
	return (MAX(now_ms - confirmed_ms, 0));
}

/*
 * Sends all changes since the last update to all VMs, in one or more datagrams.
 */
static void
broadcast_changes(struct update_relay *r, int64_t now_ms)
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
		head.age_ms[k] = age_ms(store, kind, now_ms);
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
		send_update(r, &head, changes, n);
	} while (at < ids->len);
	g_ptr_array_unref(ids);
}

/* Moves the contents of the changes into the view. */
static void
apply_upstreams(struct update_relay *r, struct update_datagram_change *changes,
    uint32_t n, int64_t now_ms)
{
	for (uint32_t i = 0; i < n; i++)
		view_set_upstream(r->desc.view, changes[i].id,
		    (struct obj_upstream *)(uintptr_t)changes[i].entry,
		    now_ms * 1000);
}

/*
 * Applies the updates that arrived during a list again, because its older
 * answer has overwritten them.
 */
static void
apply_buffered(struct update_relay *r, int64_t revision, int64_t now_ms)
{
	for (guint i = 0; i < r->buffered->len; i++) {
		GBytes *b = g_ptr_array_index(r->buffered, i);
		struct update_datagram_change
		    changes[UPDATE_DATAGRAM_MAX_CHANGES];
		struct update_datagram_head head;
		struct bstr bytes;
		uint32_t n;

		bytes.p = g_bytes_get_data(b, &bytes.n);
		if (!update_datagram_decode(bytes, &head, changes, &n))
			continue;
		if (head.revision[STORE_UPSTREAMS] > revision)
			apply_upstreams(r, changes, n, now_ms);
		update_datagram_free(changes, n);
	}
	g_ptr_array_set_size(r->buffered, 0);
}

/*
 * A list that contains this VM is from before its restart, so it is complete
 * and is not read again.
 */
static void
note_members(struct update_relay *r)
{
	if (g_hash_table_contains(r->desc.view->members, r->desc.self))
		r->members_reread = true;
	r->members_known = r->members_reread;
}

void
update_relay_on_updated(struct update_relay *r, enum store_kind kind,
    int64_t revision, int64_t now_ms)
{
	if (kind == STORE_UPSTREAMS)
		apply_buffered(r, revision, now_ms);
	if (kind == STORE_MEMBERS)
		note_members(r);
	else if (r->is_reader && view_is_synced(r->desc.view))
		broadcast_changes(r, now_ms);
}

/*
 * Whether this VM learns the contents of the store from others: it is not a
 * reader, or the store does not answer it.
 */
static bool
follows_others(const struct update_relay *r)
{
	return (!r->is_reader || r->desc.view->outage);
}

/*
 * Postpones the next read of a kind, counted from the time at which the store
 * showed the sender that its view was current. A VM that takes over the reading
 * has nothing to show until it has its first answer: if the others waited for
 * it, they would learn nothing while it cannot reach the store.
 */
static void
postpone_read(struct update_relay *r, const struct update_datagram_head *head,
    enum store_kind kind, int64_t revision, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;
	bool is_order = kind == STORE_MOVES || kind == STORE_ZONES_OUT;
	int64_t until_ms = now_ms - head->age_ms[kind] +
	    (is_order ? READER_POSTPONE_ORDERS_MS : READER_POSTPONE_MS);

	if (follows_others(r) && until_ms > now_ms)
		store->ops->postpone_read(store, kind, revision, until_ms);
}

/*
 * Postpones the next read of a kind when the sender has the same digest. Lists
 * the kind now when the digests differ and the sender has a newer revision. A
 * sender with another digest and no newer revision is outdated and ignored.
 */
static void
compare_digest(struct update_relay *r, const struct update_datagram_head *head,
    enum store_kind kind, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;
	bool same = head->digest[kind] == view_digest(r->desc.view, kind);

	if (same && kind == STORE_UPSTREAMS && !r->is_reader)
		view_clear_changed(r->desc.view);
	if (same)
		postpone_read(r, head, kind, head->revision[kind], now_ms);
	else if (head->revision[kind] > store->ops->revision(store, kind))
		store->ops->request_list(store, kind, head->revision[kind]);
}

static void
apply_update(struct update_relay *r, const struct update_datagram_head *head,
    struct update_datagram_change *changes, uint32_t n, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;

	if (head->revision[STORE_UPSTREAMS] >=
	    store->ops->revision(store, STORE_UPSTREAMS))
		apply_upstreams(r, changes, n, now_ms);
	for (int k = 0; k < STORE_KINDS; k++) {
		enum store_kind kind = (enum store_kind)k;

		/*
		 * On a large fleet the datagrams of an update take long;
		 * without this the VMs would all read themselves meanwhile.
		 */
		if (kind == STORE_UPSTREAMS && !head->last)
			postpone_read(r, head, kind,
			    store->ops->revision(store, kind), now_ms);
		else if (kind != STORE_MEMBERS)
			compare_digest(r, head, kind, now_ms);
	}
}

/*
 * Counts the sender as a reader if the store has answered it lately. Requests
 * the list of VMs when it does not contain the sender.
 */
static void
note_sender(
    struct update_relay *r, const char *vm, int64_t age_ms, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;

	if (age_ms < READER_TIMEOUT_MIN_MS)
		reader_on_update(&r->election, vm, now_ms);
	if (g_hash_table_contains(r->desc.view->members, vm) ||
	    now_ms < r->members_due_ms)
		return;
	r->members_due_ms = now_ms + MEMBERS_MIN_INTERVAL_MS;
	store->ops->request_list(store, STORE_MEMBERS, 0);
}

/*
 * Handles a datagram with changed upstreams and digests; returns false for any
 * other datagram.
 */
static bool
handle_update(struct update_relay *r, struct bstr bytes, int64_t now_ms)
{
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	struct update_datagram_head head;
	uint32_t n;

	if (!update_datagram_decode(bytes, &head, changes, &n))
		return (false);
	note_sender(r, head.vm, head.age_ms[STORE_UPSTREAMS], now_ms);
	if (n != 0 && r->buffered->len < MAX_BUFFERED &&
	    r->desc.store->ops->is_listing(r->desc.store, STORE_UPSTREAMS))
		g_ptr_array_add(r->buffered, g_bytes_new(bytes.p, bytes.n));
	if (view_is_synced(r->desc.view))
		apply_update(r, &head, changes, n, now_ms);
	update_datagram_free(changes, n);
	return (true);
}

/*
 * Handles a datagram with relayed changes of another kind; returns false for
 * any other datagram. A reader applies them too: it notices only after a while
 * that the store does not answer it.
 */
static bool
handle_relayed(struct update_relay *r, struct bstr bytes, int64_t now_ms)
{
	struct fleet_store *store = r->desc.store;
	struct update_datagram_raw relayed;
	struct bstr body;

	if (!update_datagram_decode_raw(bytes, &relayed))
		return (false);
	/* The update that follows shows whether the store answers the sender.
	 */
	note_sender(r, relayed.vm, UPDATE_DATAGRAM_AGE_UNKNOWN, now_ms);
	body.p = g_bytes_get_data(relayed.bytes, &body.n);
	if (view_is_synced(r->desc.view))
		store->ops->apply_changes(
		    store, relayed.kind, relayed.base, body);
	g_bytes_unref(relayed.bytes);
	return (true);
}

static void
reread_members(struct update_relay *r, int64_t now_ms)
{
	if (r->members_reread || now_ms - r->start_ms < MEMBERS_REREAD_MS)
		return;
	r->members_reread = true;
	r->desc.store->ops->request_list(r->desc.store, STORE_MEMBERS, 0);
}

/* Whether the store has answered this VM lately, about any kind. */
static bool
was_answered(const struct update_relay *r, int64_t now_ms)
{
	for (int k = 0; k < STORE_KINDS; k++) {
		if (age_ms(r->desc.store, (enum store_kind)k, now_ms) <
		    READER_TIMEOUT_MIN_MS)
			return (true);
	}
	return (false);
}

/*
 * The updates received show which readers are alive. While the store answers
 * nobody there are none, and all VMs would become readers. So only the first in
 * the order do so before the store has answered them.
 */
static bool
should_read(struct update_relay *r, int64_t now_ms)
{
	if (!r->members_known && now_ms - r->start_ms < MEMBERS_TIMEOUT_MS)
		return (false);
	if (!reader_is_backup(&r->election) &&
	    (r->desc.view->outage || !was_answered(r, now_ms)))
		return (false);
	return (reader_is_reader(&r->election, now_ms));
}

/*
 * Other VMs ended the outage for this one. It heard none of them before, so
 * without this it would take over from them at once, and all others would too.
 */
static void
end_outage(struct update_relay *r, int64_t now_ms)
{
	if (r->in_outage && !r->desc.view->outage && !was_answered(r, now_ms))
		reader_renew(&r->election, now_ms);
	r->in_outage = r->desc.view->outage;
}

/* Starts or stops reading for the others. */
static void
update_reader_role(struct update_relay *r, int64_t now_ms)
{
	bool is_reader;

	end_outage(r, now_ms);
	is_reader = should_read(r, now_ms);
	if (is_reader == r->is_reader)
		return;
	r->is_reader = is_reader;
	g_message("fleet: this VM %s the store for the others",
	    is_reader ? "reads" : "no longer reads");
	r->desc.store->ops->set_reader(r->desc.store, is_reader);
	if (!is_reader || !view_is_synced(r->desc.view))
		return;
	relay_recent_changes(r, now_ms);
	broadcast_changes(r, now_ms);
}

bool
update_relay_on_datagram(
    struct update_relay *r, struct bstr bytes, int64_t now_ms)
{
	return (handle_update(r, bytes, now_ms) ||
	    handle_relayed(r, bytes, now_ms));
}

void
update_relay_tick(struct update_relay *r, int64_t now_ms)
{
	reread_members(r, now_ms);
	update_reader_role(r, now_ms);
}
