#include "claim/partition.h"
#include "claim/partition_internal.h"

#include <stdlib.h>
#include <string.h>

#define RETENTION_MS 3600000
#define READ_RETRY_MS 300
#define READ_REFRESH_MS 30000
#define UNREPLICATED_READ_MS 300
/*
 * No change is planned while a read is in flight. With a slow store, this gap
 * between two reads leaves time to plan the addition of a replica.
 */
#define UNREPLICATED_READ_GAP_MS 100
#define PULL_MIN_MS 100
#define WRITE_RETRY_MS 200

static void *
xalloc(size_t n)
{
	void *m = calloc(1, n);

	if (m == NULL)
		abort();
	return (m);
}

struct partition_effect *
partition_emit(struct partition_out *out, enum partition_effect_type type)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 16 : out->cap * 2;
		out->v = realloc(out->v, out->cap * sizeof(*out->v));
		if (out->v == NULL)
			abort();
	}
	memset(&out->v[out->n], 0, sizeof(*out->v));
	out->v[out->n].type = type;
	return (&out->v[out->n++]);
}

void
partition_msg_finish(struct partition_msg *m)
{
	free(m->table);
	m->table = NULL;
}

void
partition_out_clear(struct partition_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		if (out->v[i].msg != NULL) {
			partition_msg_finish(out->v[i].msg);
			free(out->v[i].msg);
		}
		json_decref(out->v[i].value);
	}
	out->n = 0;
}

void
partition_out_finish(struct partition_out *out)
{
	partition_out_clear(out);
	free(out->v);
	*out = (struct partition_out){0};
}

uint32_t
partition_of(struct bstr key)
{
	return ((uint32_t)(bstr_hash(key, 0) % PARTITION_COUNT));
}

static struct partition_msg *
send_to(struct partitions *p, const struct vm_id *to,
    enum partition_msg_type type, struct partition_out *out)
{
	struct partition_effect *e = partition_emit(out, PARTITION_SEND);

	e->to = *to;
	e->msg = xalloc(sizeof(*e->msg));
	e->msg->type = type;
	e->msg->version = p->table.version;
	return (e->msg);
}

static void
send_table(
    struct partitions *p, const struct vm_id *to, struct partition_out *out)
{
	struct partition_msg *m = send_to(p, to, PARTITION_MSG_TABLE, out);

	m->table = xalloc(sizeof(*m->table));
	*m->table = p->table;
}

const struct partition_member *
partition_find(const struct partitions *p, const struct vm_id *id)
{
	uint32_t lo = 0, hi = p->n_members;

	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;
		int c = vmid_cmp(&p->members[mid].id, id);

		if (c == 0)
			return (&p->members[mid]);
		if (c < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return (NULL);
}

bool
partition_alive(const struct partitions *p, const struct vm_id *id)
{
	const struct partition_member *m = partition_find(p, id);

	return (m != NULL && m->alive);
}

bool
partition_is_self(const struct partitions *p, const struct vm_id *id)
{
	return (vmid_eq(id, &p->desc.self));
}

/*
 * Half of the members is enough: changes are fenced by epochs, and the
 * conditional update in the store lets only one of two halves succeed.
 */
bool
partition_connected(const struct partitions *p)
{
	return (p->members_valid && p->n_alive * 2 >= p->n_members);
}

bool
partition_row_names(const struct partition_entry *r, const struct vm_id *id)
{
	return (vmid_eq(&r->owner, id) || vmid_eq(&r->replica[0], id) ||
	    vmid_eq(&r->replica[1], id));
}

bool
partition_row_eq(
    const struct partition_entry *a, const struct partition_entry *b)
{
	return (a->epoch == b->epoch && vmid_eq(&a->owner, &b->owner) &&
	    vmid_eq(&a->replica[0], &b->replica[0]) &&
	    vmid_eq(&a->replica[1], &b->replica[1]) &&
	    a->quarantined_until == b->quarantined_until);
}

static void
add_required(
    struct partitions *p, struct partition_view *v, const struct vm_id *id)
{
	if (vmid_is_none(id) || partition_is_self(p, id))
		return;
	for (uint32_t i = 0; i < v->n_required; i++) {
		if (vmid_eq(&v->required[i], id))
			return;
	}
	v->required[v->n_required++] = *id;
}

static bool
is_unreplicated_row(const struct partition_entry *r)
{
	return (vmid_is_none(&r->replica[0]) && vmid_is_none(&r->replica[1]));
}

/* Fills in what a confirmed record and the lease of partition @i require. */
static void
build_view(struct partitions *p, uint32_t i, struct partition_view *v)
{
	const struct partition_entry *row = &p->table.part[i];
	const struct partition_entry *next = &p->proposal.part[i];

	memset(v, 0, sizeof(*v));
	v->partition = i;
	v->epoch = row->epoch;
	v->owner = row->owner;
	v->quarantined_until = row->quarantined_until;
	v->acting = row->epoch != 0 && partition_is_self(p, &row->owner) &&
	    partition_connected(p);
	if (!v->acting)
		return;
	for (int k = 0; k < PARTITION_REPLICAS; k++)
		add_required(p, v, &row->replica[k]);
	if (p->has_proposal && !partition_row_eq(row, next)) {
		v->acting = partition_is_self(p, &next->owner);
		add_required(p, v, &next->owner);
		for (int k = 0; k < PARTITION_REPLICAS; k++)
			add_required(p, v, &next->replica[k]);
	}
	v->joiner = p->st[i].joiner;
	v->unreplicated = is_unreplicated_row(row) ||
	    (p->has_proposal && is_unreplicated_row(next));
	if (v->unreplicated)
		v->store_lease_end = p->store_lease_end;
}

static bool
view_eq(const struct partition_view *a, const struct partition_view *b)
{
	if (a->epoch != b->epoch || a->acting != b->acting ||
	    a->n_required != b->n_required ||
	    a->unreplicated != b->unreplicated ||
	    a->store_lease_end != b->store_lease_end ||
	    a->quarantined_until != b->quarantined_until)
		return (false);
	for (uint32_t k = 0; k < a->n_required; k++) {
		if (!vmid_eq(&a->required[k], &b->required[k]))
			return (false);
	}
	return (
	    vmid_eq(&a->owner, &b->owner) && vmid_eq(&a->joiner, &b->joiner));
}

static bool
owns_unreplicated(const struct partitions *p)
{
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		if (p->st[i].view.acting && p->st[i].view.unreplicated)
			return (true);
	}
	return (false);
}

static void
update_views(struct partitions *p, struct partition_out *out)
{
	struct partition_view v;

	p->replan = true;
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		build_view(p, i, &v);
		/* The claim module no longer requires the joiner. */
		if (!v.acting || vmid_is_none(&v.joiner))
			p->st[i].copied = false;
		if (view_eq(&v, &p->st[i].view))
			continue;
		p->st[i].view = v;
		partition_emit(out, PARTITION_VIEW)->view = v;
	}
	/* The last replica may have been lost since the read was scheduled. */
	if (owns_unreplicated(p) &&
	    p->next_read_ms > p->read_sent_ms + UNREPLICATED_READ_MS)
		p->next_read_ms = p->read_sent_ms + UNREPLICATED_READ_MS;
}

int64_t
partition_act_until(const struct partitions *p, uint32_t partition)
{
	const struct partition_state *st = &p->st[partition];
	int64_t until =
	    st->view.unreplicated ? st->view.store_lease_end : INT64_MAX;

	if (!st->view.acting)
		return (0);
	for (uint32_t i = 0; i < st->view.n_required; i++) {
		int64_t t = 0;

		for (int k = 0; k <= PARTITION_MAX_REQUIRED; k++) {
			if (vmid_eq(&st->acks[k].id, &st->view.required[i]))
				t = st->acks[k].sent_ms + PARTITION_LEASE_MS;
		}
		until = t < until ? t : until;
	}
	return (until);
}

bool
partition_may_act(
    const struct partitions *p, uint32_t partition, int64_t now_ms)
{
	return (now_ms >= p->st[partition].act_from &&
	    now_ms < partition_act_until(p, partition));
}

int64_t
partition_act_from(const struct partitions *p, uint32_t partition)
{
	return (p->st[partition].act_from);
}

uint64_t
partition_epoch(const struct partitions *p, uint32_t partition)
{
	return (p->table.part[partition].epoch);
}

struct vm_id
partition_owner(const struct partitions *p, uint32_t partition)
{
	return (p->table.part[partition].owner);
}

bool
partition_none_assigned(const struct partitions *p)
{
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		if (partition_row_names(&p->table.part[i], &p->desc.self))
			return (false);
		if (p->has_proposal &&
		    partition_row_names(&p->proposal.part[i], &p->desc.self))
			return (false);
	}
	return (true);
}

/*
 * Updates the local state for the new row of partition @i. An ownership that
 * is new, or that another process may have held in between, may act only after
 * the lease of the previous owner has expired.
 */
static void
adopt_row(struct partitions *p, uint32_t i, const struct partition_entry *row,
    int64_t now)
{
	const struct partition_entry *old = &p->table.part[i];
	struct partition_state *st = &p->st[i];
	bool same = row->epoch == old->epoch ||
	    (p->has_proposal && row->epoch == old->epoch + 1 &&
		partition_row_eq(row, &p->proposal.part[i]));

	if (row->epoch > st->fence)
		st->fence = row->epoch;
	if (partition_is_self(p, &row->owner) &&
	    partition_is_self(p, &old->owner) && same) {
		if (partition_row_names(row, &st->joiner))
			st->joiner = (struct vm_id){0};
		return;
	}
	st->joiner = (struct vm_id){0};
	st->copied = false;
	if (!partition_is_self(p, &row->owner) || partition_row_eq(row, old))
		return;
	memset(st->acks, 0, sizeof(st->acks));
	st->act_from = now + PARTITION_LEASE_MS + PARTITION_DRIFT_MARGIN_MS;
}

static bool
adopt(struct partitions *p, const struct partition_table *t, int64_t now)
{
	if (t->version <= p->table.version)
		return (false);
	for (uint32_t i = 0; i < PARTITION_COUNT; i++)
		adopt_row(p, i, &t->part[i], now);
	p->table = *t;
	p->has_proposal = false;
	p->proposal_unknown = false;
	p->object_missing = false;
	return (true);
}

/* Whether @id holds records of the partition or gets a copy of them. */
static bool
keeps_records(const struct partition_view *v, const struct vm_id *id)
{
	for (uint32_t k = 0; k < v->n_required; k++) {
		if (vmid_eq(&v->required[k], id))
			return (true);
	}
	return (vmid_eq(&v->joiner, id));
}

static void
send_heartbeats(struct partitions *p, int64_t now, struct partition_out *out)
{
	for (uint32_t k = 0; k < p->n_members; k++) {
		const struct partition_member *m = &p->members[k];
		struct partition_msg *msg = NULL;

		if (partition_is_self(p, &m->id))
			continue;
		for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
			const struct partition_view *v = &p->st[i].view;

			if (!v->acting || !keeps_records(v, &m->id))
				continue;
			if (msg == NULL) {
				msg = send_to(
				    p, &m->id, PARTITION_MSG_HEARTBEAT, out);
				msg->sent_ms = now;
			}
			msg->items[msg->n_items++] =
			    (struct partition_item){i, v->epoch};
		}
	}
}

static void
on_heartbeat(struct partitions *p, const struct vm_id *from,
    const struct partition_msg *m, struct partition_out *out)
{
	struct partition_msg *ack = send_to(p, from, PARTITION_MSG_ACK, out);

	ack->sent_ms = m->sent_ms;
	for (uint32_t k = 0; k < m->n_items; k++) {
		uint32_t i = m->items[k].partition;
		const struct partition_entry *row = &p->table.part[i];

		if (i >= PARTITION_COUNT || m->items[k].epoch < p->st[i].fence)
			continue;
		if (m->items[k].epoch == row->epoch &&
		    !vmid_eq(&row->owner, from))
			continue;
		p->st[i].fence = m->items[k].epoch;
		ack->items[ack->n_items++] = m->items[k];
	}
}

static void
on_ack(struct partitions *p, const struct vm_id *from,
    const struct partition_msg *m, int64_t now)
{
	if (m->sent_ms > now)
		return;
	for (uint32_t k = 0; k < m->n_items; k++) {
		uint32_t i = m->items[k].partition;
		struct partition_last_ack *s, *slot = NULL;

		if (i >= PARTITION_COUNT ||
		    !keeps_records(&p->st[i].view, from) ||
		    m->items[k].epoch != p->table.part[i].epoch)
			continue;
		s = p->st[i].acks;
		for (int j = 0; j <= PARTITION_MAX_REQUIRED; j++) {
			if (vmid_eq(&s[j].id, from))
				slot = &s[j];
		}
		for (int j = 0; slot == NULL && j <= PARTITION_MAX_REQUIRED;
		     j++) {
			if (!keeps_records(&p->st[i].view, &s[j].id) ||
			    vmid_is_none(&s[j].id))
				slot = &s[j];
		}
		if (slot == NULL)
			continue;
		if (!vmid_eq(&slot->id, from))
			slot->sent_ms = 0;
		slot->id = *from;
		if (m->sent_ms > slot->sent_ms)
			slot->sent_ms = m->sent_ms;
	}
}

void
partition_init(struct partitions *p, const struct partition_desc *desc)
{
	memset(p, 0, sizeof(*p));
	p->desc = *desc;
	if (p->desc.retention_ms == 0)
		p->desc.retention_ms = RETENTION_MS;
	rng_init(&p->rng, desc->seed);
	p->read_requested = true;
	p->last_tick_ms = INT64_MIN;
}

void
partition_finish(struct partitions *p)
{
	free(p->members);
	p->members = NULL;
	p->n_members = 0;
}

static int
cmp_member(const void *a, const void *b)
{
	const struct partition_member *x = a, *y = b;

	return (vmid_cmp(&x->id, &y->id));
}

static bool
same_members(const struct partitions *p, const struct partition_member *m)
{
	for (uint32_t k = 0; k < p->n_members; k++) {
		const struct partition_member *o = partition_find(p, &m[k].id);

		if (o == NULL || o->alive != m[k].alive ||
		    o->leaving != m[k].leaving ||
		    strcmp(o->zone, m[k].zone) != 0)
			return (false);
	}
	return (true);
}

void
partition_on_members(struct partitions *p, const struct partition_member *m,
    uint32_t n, int64_t now_ms, struct partition_out *out)
{
	const struct partition_member *self;
	uint32_t before = p->n_alive;

	n = n > PARTITION_MAX_MEMBERS ? PARTITION_MAX_MEMBERS : n;
	if (p->members_valid && n == p->n_members && same_members(p, m))
		return;
	free(p->members);
	p->members = xalloc((n + 1) * sizeof(*m));
	if (n != 0)
		memcpy(p->members, m, n * sizeof(*m));
	p->n_members = n;
	qsort(p->members, n, sizeof(*m), cmp_member);
	p->n_alive = 0;
	for (uint32_t k = 0; k < n; k++)
		p->n_alive += p->members[k].alive;
	self = partition_find(p, &p->desc.self);
	p->leaving = self != NULL && self->leaving;
	p->members_valid = self != NULL;
	if (p->n_alive < before && !p->has_proposal)
		p->next_write_ms = now_ms + partition_write_delay(p);
	update_views(p, out);
}

static void
read_if_due(struct partitions *p, int64_t now, struct partition_out *out)
{
	if (p->reading || p->writing)
		return;
	if (!p->read_requested && now < p->next_read_ms)
		return;
	p->read_requested = false;
	p->reading = true;
	p->read_sent_ms = now;
	partition_emit(out, PARTITION_READ);
}

void
partition_tick(struct partitions *p, int64_t now_ms, int64_t wall_ms,
    struct partition_out *out)
{
	bool paused = p->last_tick_ms != INT64_MIN &&
	    now_ms - p->last_tick_ms > PARTITION_LEASE_MS;

	if (paused) {
		p->members_valid = false;
		p->read_requested = true;
	}
	p->last_tick_ms = now_ms;
	read_if_due(p, now_ms, out);
	if (partition_plan(p, now_ms, wall_ms, out) || paused) {
		update_views(p, out);
		p->replan = false;
	}
	if (now_ms >= p->next_heartbeat_ms) {
		p->next_heartbeat_ms = now_ms + PARTITION_HEARTBEAT_MS;
		send_heartbeats(p, now_ms, out);
	}
}

static void
schedule_read(struct partitions *p, int64_t now)
{
	if (owns_unreplicated(p)) {
		p->next_read_ms = p->read_sent_ms + UNREPLICATED_READ_MS;
		if (p->next_read_ms < now + UNREPLICATED_READ_GAP_MS)
			p->next_read_ms = now + UNREPLICATED_READ_GAP_MS;
	} else if (p->table.version == 0) {
		p->next_read_ms = now + READ_RETRY_MS;
	} else {
		p->next_read_ms =
		    now + READ_REFRESH_MS + rng_below(&p->rng, READ_REFRESH_MS);
	}
}

static void
push_table(struct partitions *p, struct partition_out *out)
{
	for (uint32_t k = 0; k < p->n_members; k++) {
		const struct partition_member *m = &p->members[k];

		if (m->alive && !partition_is_self(p, &m->id))
			send_table(p, &m->id, out);
	}
}

static bool
same_rows(const struct partition_table *a, const struct partition_table *b)
{
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		if (!partition_row_eq(&a->part[i], &b->part[i]))
			return (false);
	}
	return (true);
}

void
partition_on_read(struct partitions *p, enum partition_result r, bool is_reply,
    uint64_t version, const json_t *value, int64_t now_ms,
    struct partition_out *out)
{
	struct partition_table t = {0};

	if (is_reply)
		p->reading = false;
	if (r == PARTITION_NOT_FOUND && p->table.version == 0)
		p->object_missing = true;
	if (r == PARTITION_OK && partition_table_parse(&t, value)) {
		/* The pending write took effect, its answer was lost. */
		bool write_applied =
		    p->has_proposal && same_rows(&t, &p->proposal);

		t.version = version;
		if (adopt(p, &t, now_ms) && write_applied)
			push_table(p, out);
		if (is_reply && version == p->table.version)
			p->store_lease_end =
			    p->read_sent_ms + PARTITION_LEASE_MS;
	}
	update_views(p, out);
	if (!is_reply)
		return;
	schedule_read(p, now_ms);
	if (r == PARTITION_FAILED && p->next_read_ms > now_ms + READ_RETRY_MS &&
	    p->has_proposal)
		p->next_read_ms = now_ms + READ_RETRY_MS;
}

void
partition_on_write(struct partitions *p, enum partition_result r,
    uint64_t version, int64_t now_ms, struct partition_out *out)
{
	p->writing = false;
	p->next_write_ms = now_ms + partition_write_delay(p);
	if (r == PARTITION_OK) {
		struct partition_table t = p->proposal;

		p->conflicts = 0;
		t.version = version;
		if (p->has_proposal && adopt(p, &t, now_ms))
			push_table(p, out);
	} else if (r == PARTITION_FAILED) {
		if (!p->proposal_unknown)
			p->has_proposal = false;
		p->next_write_ms += WRITE_RETRY_MS;
	} else {
		p->conflicts += r == PARTITION_CONFLICT;
		p->proposal_unknown = true;
		p->read_requested = true;
	}
	update_views(p, out);
}

void
partition_on_msg(struct partitions *p, const struct vm_id *from,
    const struct partition_msg *m, int64_t now_ms, struct partition_out *out)
{
	switch (m->type) {
	case PARTITION_MSG_HEARTBEAT:
		on_heartbeat(p, from, m, out);
		break;
	case PARTITION_MSG_ACK:
		on_ack(p, from, m, now_ms);
		break;
	case PARTITION_MSG_TABLE:
		if (m->table != NULL && adopt(p, m->table, now_ms))
			update_views(p, out);
		break;
	case PARTITION_MSG_PULL:
		if (m->version < p->table.version)
			send_table(p, from, out);
		break;
	}
	if (m->version > p->table.version && now_ms >= p->next_pull_ms) {
		p->next_pull_ms = now_ms + PULL_MIN_MS;
		send_to(p, from, PARTITION_MSG_PULL, out);
	}
}

void
partition_on_copied(struct partitions *p, uint32_t partition,
    const struct vm_id *joiner, int64_t now_ms, struct partition_out *out)
{
	struct partition_state *st = &p->st[partition];

	(void)now_ms;
	if (st->view.acting && !vmid_is_none(joiner) &&
	    vmid_eq(&st->joiner, joiner) && vmid_eq(&st->view.joiner, joiner))
		st->copied = true;
	p->replan = true;
	(void)out;
}
