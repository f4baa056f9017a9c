#include "claim/partition.h"
#include "claim/partition_internal.h"

#include <stdio.h>
#include <string.h>

#define RANK_STEP_MS 15
#define RANK_MAX 20
#define JITTER_MS 30
#define JITTER_DOUBLINGS 4
#define PLAN_INTERVAL_MS 500
#define MOVE_INTERVAL_MS 3000
/* With a smaller difference, partitions would move back and forth. */
#define MOVE_IMBALANCE 3

/* Whether the process is alive and not leaving. */
static bool
is_eligible(const struct partitions *p, const struct vm_id *id)
{
	const struct partition_member *m = partition_find(p, id);

	return (m != NULL && m->alive && !m->leaving);
}

/*
 * Whether more than half of the members are alive. In a fleet of two, half is
 * enough.
 */
static bool
has_majority(const struct partitions *p)
{
	return (partition_connected(p) &&
	    (p->n_alive * 2 > p->n_members || p->n_members <= 2));
}

static const char *
zone_of(const struct partitions *p, const struct vm_id *id)
{
	const struct partition_member *m = partition_find(p, id);

	return (m == NULL ? "" : m->zone);
}

static bool
same_zone(
    const struct partitions *p, const struct vm_id *a, const struct vm_id *b)
{
	return (!vmid_is_none(a) && !vmid_is_none(b) &&
	    strcmp(zone_of(p, a), zone_of(p, b)) == 0);
}

/*
 * Whether the zone of @id differs from the zones of the other processes in the
 * row, apart from the replica in slot @skip.
 */
static bool
is_in_new_zone(const struct partitions *p, const struct partition_entry *row,
    const struct vm_id *id, int skip)
{
	if (same_zone(p, &row->owner, id))
		return (false);
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (k != skip && same_zone(p, &row->replica[k], id))
			return (false);
	}
	return (true);
}

/*
 * Returns the best process for replica slot @skip of the row, or NULL. A
 * process in a zone that is new to the row is preferred; ties are resolved by
 * rendezvous hashing.
 */
static const struct partition_member *
choose_member(const struct partitions *p, uint32_t i,
    const struct partition_entry *row, int skip)
{
	const struct partition_member *best = NULL;
	uint64_t best_score = 0;
	bool best_new_zone = false;

	for (uint32_t k = 0; k < p->n_members; k++) {
		const struct partition_member *m = &p->members[k];
		uint64_t score;
		bool new_zone;

		if (!m->alive || m->leaving || partition_row_names(row, &m->id))
			continue;
		new_zone = is_in_new_zone(p, row, &m->id, skip);
		score = vmid_score(&m->id, i);
		if (best == NULL || new_zone > best_new_zone ||
		    (new_zone == best_new_zone && score > best_score)) {
			best = m;
			best_new_zone = new_zone;
			best_score = score;
		}
	}
	return (best);
}

static void
fill_replicas(
    const struct partitions *p, uint32_t i, struct partition_entry *row)
{
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		const struct partition_member *m = choose_member(p, i, row, k);

		if (m != NULL && vmid_is_none(&row->replica[k]))
			row->replica[k] = m->id;
	}
}

/* Returns the preferred owner of partition @i among the eligible members. */
static const struct partition_member *
preferred_owner(const struct partitions *p, uint32_t i)
{
	static const struct partition_entry empty_row;

	return (choose_member(p, i, &empty_row, -1));
}

static void
assign_all(struct partitions *p, struct partition_table *t)
{
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		const struct partition_member *m = preferred_owner(p, i);

		if (m == NULL)
			m = partition_find(p, &p->desc.self);
		if (m == NULL)
			return;
		t->part[i].epoch = 1;
		t->part[i].owner = m->id;
		fill_replicas(p, i, &t->part[i]);
	}
}

/*
 * Returns the replica slot for @m, or -1: an empty slot, else one whose replica
 * is not eligible, else one whose replica shares a zone that @m would not.
 */
static int
replica_slot_for(const struct partitions *p, const struct partition_entry *row,
    const struct partition_member *m)
{
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (vmid_is_none(&row->replica[k]))
			return (k);
	}
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (!is_eligible(p, &row->replica[k]))
			return (k);
	}
	for (int k = PARTITION_REPLICAS - 1; k >= 0; k--) {
		if (!is_in_new_zone(p, row, &row->replica[k], k) &&
		    is_in_new_zone(p, row, &m->id, k))
			return (k);
	}
	return (-1);
}

/*
 * Makes replica @id the owner. The old owner takes its replica slot, or the
 * slot becomes empty if the old owner is not eligible.
 */
static void
promote_replica(const struct partitions *p, struct partition_entry *row,
    const struct vm_id *id)
{
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (!vmid_eq(&row->replica[k], id))
			continue;
		row->replica[k] = row->owner;
		if (!is_eligible(p, &row->owner))
			row->replica[k] = (struct vm_id){0};
	}
	row->owner = *id;
}

static void
apply_copied_joiner(
    struct partitions *p, uint32_t i, struct partition_entry *row)
{
	struct partition_state *st = &p->st[i];
	const struct partition_member *m = partition_find(p, &st->joiner);
	int k;

	if (m == NULL || !st->copied)
		return;
	if (st->purpose == PARTITION_JOIN_OWNER) {
		row->owner = st->joiner;
		return;
	}
	k = replica_slot_for(p, row, m);
	if (k >= 0)
		row->replica[k] = st->joiner;
	else
		st->joiner = (struct vm_id){0};
}

/*
 * Whether the leaving owner may hand over to @successor now. Membership still
 * shows a failed successor as alive for a while, so another eligible replica
 * must hold the records as well. If there is none, plan_join() adds a replica
 * first, unless no member is left that could become one.
 */
static bool
may_hand_over(const struct partitions *p, uint32_t i,
    const struct partition_entry *row, const struct vm_id *successor)
{
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (!vmid_eq(&row->replica[k], successor) &&
		    is_eligible(p, &row->replica[k]))
			return (true);
	}
	return (choose_member(p, i, row, -1) == NULL);
}

/*
 * Whether the replica in slot @k must be removed: it is not alive, or it is
 * leaving and no member can replace it. A leaving process waits until no row
 * names it, so without the second case it would wait until it is killed in a
 * fleet of two or three.
 */
static bool
must_remove_replica(const struct partitions *p, uint32_t i,
    const struct partition_entry *row, int k)
{
	const struct vm_id *id = &row->replica[k];

	if (vmid_is_none(id))
		return (false);
	return (!partition_alive(p, id) ||
	    (!is_eligible(p, id) && choose_member(p, i, row, k) == NULL));
}

static void
plan_owned(struct partitions *p, uint32_t i, struct partition_entry *row)
{
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (must_remove_replica(p, i, row, k))
			row->replica[k] = (struct vm_id){0};
	}
	apply_copied_joiner(p, i, row);
	if (!p->leaving)
		return;
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		struct vm_id successor = row->replica[k];

		if (is_eligible(p, &successor) &&
		    may_hand_over(p, i, row, &successor)) {
			promote_replica(p, row, &successor);
			return;
		}
	}
}

static void
plan_takeover(struct partitions *p, struct partition_entry *row)
{
	int self = -1, other;

	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (partition_is_self(p, &row->replica[k]))
			self = k;
	}
	if (self < 0 || (self == 1 && partition_alive(p, &row->replica[0])))
		return;
	other = 1 - self;
	row->owner = p->desc.self;
	row->replica[self] = (struct vm_id){0};
	if (!partition_alive(p, &row->replica[other]))
		row->replica[other] = (struct vm_id){0};
}

static void
plan_lost(struct partitions *p, uint32_t i, struct partition_entry *row,
    int64_t now, int64_t wall)
{
	const struct partition_member *m = preferred_owner(p, i);

	if (!has_majority(p) ||
	    now - p->st[i].lost_since < PARTITION_LOST_WAIT_MS)
		return;
	if (m == NULL || !partition_is_self(p, &m->id))
		return;
	row->owner = p->desc.self;
	row->replica[0] = (struct vm_id){0};
	row->replica[1] = (struct vm_id){0};
	fill_replicas(p, i, row);
	row->quarantined_until = wall + p->desc.retention_ms;
}

static void
track_lost(struct partitions *p, uint32_t i, int64_t now)
{
	const struct partition_entry *row = &p->table.part[i];

	if (partition_alive(p, &row->owner) ||
	    partition_alive(p, &row->replica[0]) ||
	    partition_alive(p, &row->replica[1]))
		p->st[i].lost_since = 0;
	else if (p->st[i].lost_since == 0)
		p->st[i].lost_since = now;
}

static uint32_t
count_owned(const struct partitions *p, const struct vm_id *id)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < PARTITION_COUNT; i++)
		n += vmid_eq(&p->table.part[i].owner, id);
	return (n);
}

/*
 * Returns the member to which this process moves one partition, or NULL. Only
 * the process that owns the most partitions moves one, and only one at a time,
 * so that moves do not overshoot the balance.
 */
static const struct partition_member *
move_target(const struct partitions *p)
{
	const struct partition_member *least = NULL;
	uint32_t own = count_owned(p, &p->desc.self);
	uint32_t least_n = UINT32_MAX;

	if (own < MOVE_IMBALANCE)
		return (NULL);
	for (uint32_t k = 0; k < p->n_members; k++) {
		const struct partition_member *m = &p->members[k];
		uint32_t n;

		if (!m->alive || m->leaving)
			continue;
		n = count_owned(p, &m->id);
		if (n > own ||
		    (n == own && vmid_cmp(&m->id, &p->desc.self) < 0))
			return (NULL);
		if (n < least_n) {
			least_n = n;
			least = m;
		}
	}
	return (
	    least != NULL && own >= least_n + MOVE_IMBALANCE ? least : NULL);
}

/* Starts to move the ownership of at most one partition. */
static void
plan_move(struct partitions *p, struct partition_table *t, int64_t now)
{
	const struct partition_member *m;
	int pick = -1;

	if (now < p->next_move_ms || p->leaving)
		return;
	p->next_move_ms = now + MOVE_INTERVAL_MS;
	m = move_target(p);
	for (uint32_t i = 0; m != NULL && i < PARTITION_COUNT; i++) {
		if (!partition_is_self(p, &t->part[i].owner))
			continue;
		if (!vmid_is_none(&p->st[i].joiner))
			continue;
		if (pick < 0 ||
		    vmid_score(&m->id, i) > vmid_score(&m->id, (uint64_t)pick))
			pick = (int)i;
	}
	if (pick < 0)
		return;
	if (partition_row_names(&t->part[pick], &m->id)) {
		promote_replica(p, &t->part[pick], &m->id);
		return;
	}
	p->st[pick].joiner = m->id;
	p->st[pick].purpose = PARTITION_JOIN_OWNER;
	p->st[pick].copied = false;
}

/*
 * Starts the copy to a new replica of partition @i. Cancels a running copy
 * whose target is no longer eligible.
 */
static void
plan_join(struct partitions *p, uint32_t i)
{
	const struct partition_entry *row = &p->table.part[i];
	struct partition_state *st = &p->st[i];
	const struct partition_member *m;

	if (!partition_is_self(p, &row->owner) || p->has_proposal)
		return;
	if (!vmid_is_none(&st->joiner)) {
		if (is_eligible(p, &st->joiner))
			return;
		st->joiner = (struct vm_id){0};
		st->copied = false;
	}
	for (int k = 0; k < PARTITION_REPLICAS; k++) {
		if (is_eligible(p, &row->replica[k]) &&
		    is_in_new_zone(p, row, &row->replica[k], k))
			continue;
		m = choose_member(p, i, row, k);
		if (m == NULL || replica_slot_for(p, row, m) != k)
			continue;
		st->joiner = m->id;
		st->purpose = PARTITION_JOIN_REPLICA;
		st->copied = false;
		return;
	}
}

/*
 * Fills slot 0 from slot 1 if slot 0 is empty. The stored object has no empty
 * slots, so a process that reads it sees the row in this form.
 */
static void
compact_replicas(struct partition_entry *row)
{
	if (!vmid_is_none(&row->replica[0]))
		return;
	row->replica[0] = row->replica[1];
	row->replica[1] = (struct vm_id){0};
}

static bool
build_proposal(struct partitions *p, int64_t now, int64_t wall)
{
	struct partition_table *t = &p->proposal;
	bool changed = false;

	*t = p->table;
	if (t->version == 0) {
		if (!p->object_missing)
			return (false);
		assign_all(p, t);
		return (t->part[0].epoch != 0);
	}
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		struct partition_entry *row = &t->part[i];

		track_lost(p, i, now);
		if (partition_is_self(p, &row->owner))
			plan_owned(p, i, row);
		else if (p->st[i].lost_since != 0)
			plan_lost(p, i, row, now, wall);
		else if (!partition_alive(p, &row->owner))
			plan_takeover(p, row);
	}
	plan_move(p, t, now);
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		compact_replicas(&t->part[i]);
		if (partition_row_eq(&t->part[i], &p->table.part[i]))
			continue;
		t->part[i].epoch++;
		changed = true;
	}
	return (changed);
}

int64_t
partition_write_delay(struct partitions *p)
{
	uint64_t own = vmid_score(&p->desc.self, p->table.version);
	uint32_t rank = 0, doublings = p->conflicts;

	for (uint32_t k = 0; k < p->n_members; k++) {
		const struct partition_member *m = &p->members[k];

		if (m->alive && vmid_score(&m->id, p->table.version) > own)
			rank++;
	}
	rank = rank > RANK_MAX ? RANK_MAX : rank;
	doublings = doublings > JITTER_DOUBLINGS ? JITTER_DOUBLINGS : doublings;
	return ((int64_t)rank * RANK_STEP_MS +
	    rng_below(&p->rng, (uint32_t)JITTER_MS << doublings));
}

static void
send_write(struct partitions *p, struct partition_out *out)
{
	struct partition_effect *e = partition_emit(out, PARTITION_WRITE);
	char change[VMID_MAX + 32];

	snprintf(change, sizeof(change), "%.*s-%llu",
	    BSTR_ARG(vmid_str(&p->desc.self)),
	    (unsigned long long)++p->n_changes);
	e->if_version = p->table.version;
	e->value = partition_table_print(&p->proposal, change);
	p->writing = true;
	p->has_proposal = true;
}

bool
partition_plan(
    struct partitions *p, int64_t now, int64_t wall, struct partition_out *out)
{
	if (p->writing || p->reading || now < p->next_write_ms)
		return (false);
	/*
	 * A write with an unknown outcome is repeated until the version
	 * changes, because the store may still apply it.
	 */
	if (p->has_proposal) {
		send_write(p, out);
		return (true);
	}
	if (!partition_connected(p) || (!p->replan && now < p->next_plan_ms))
		return (false);
	p->replan = false;
	p->next_plan_ms = now + PLAN_INTERVAL_MS;
	if (build_proposal(p, now, wall)) {
		send_write(p, out);
		return (true);
	}
	for (uint32_t i = 0; i < PARTITION_COUNT; i++)
		plan_join(p, i);
	return (true);
}
