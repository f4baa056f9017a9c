#include "member/membership_internal.h"

#include <stdlib.h>

#define PERIOD_MS 250
#define HEARTBEAT_TIMEOUT_MS 1000
#define PING_TIMEOUT_MS 400
/* Bounds the burst of pings when a whole availability zone fails. */
#define MAX_PINGS_PER_TICK 2
/*
 * In large fleets the timeouts are scaled by the number of live members divided
 * by this number.
 */
#define MEMBERS_PER_SCALE 85
#define SUSPECT_TIMEOUT_MS 1000
#define LEAVE_HOLD_MS 3000
#define DROP_MS 30000
#define PAUSE_MS 1000
/* The base that a peer reported is used for one to two of these intervals. */
#define PEER_BASE_INTERVAL_MS 3000
/* Must exceed the time for which gossip about a dead process circulates. */
#define RETENTION_MS 60000
/*
 * Number of messages that carry a change with priority, for each doubling of
 * the fleet.
 */
#define SENDS_PER_DOUBLING 3

static void
emit_event(struct member_out *out, enum member_effect_kind kind,
    const struct member_record *rec)
{
	struct member_effect *e = member_emit(out, kind);

	e->id = rec->e.id;
	e->addr = rec->e.addr;
}

/*
 * Returns the factor by which timeouts grow with the fleet: 1, plus 1 for each
 * doubling above MEMBER_MAX_ENTRIES live members; linear in large fleets.
 */
static int32_t
timeout_scale(const struct membership *m)
{
	int32_t scale = 1;
	uint32_t live = 0;

	for (uint32_t i = 0; i < m->n; i++)
		live += m->members[i].e.health != MEMBER_HEALTH_DEAD;
	for (uint32_t n = MEMBER_MAX_ENTRIES; n < live; n *= 2)
		scale++;
	if (scale < (int32_t)(live / MEMBERS_PER_SCALE))
		scale = (int32_t)(live / MEMBERS_PER_SCALE);
	return (scale);
}

static uint32_t
sends_per_change(const struct membership *m)
{
	uint32_t doublings = 1;

	for (uint32_t n = 2; n < m->n; n *= 2)
		doublings++;
	return (doublings * SENDS_PER_DOUBLING);
}

static void
mark_changed(struct membership *m, struct member_record *rec)
{
	rec->changed = ++m->n_changes;
	rec->sends_left = sends_per_change(m);
}

static void
update_seed(struct membership *m, const struct member_text *addr)
{
	bool known = false;

	for (uint32_t i = 0; i < m->n; i++) {
		const struct member_record *rec = &m->members[i];

		known |= !rec->replaced && member_text_eq(&rec->e.addr, addr);
	}
	for (uint32_t i = 0; i < m->n_seeds; i++) {
		if (member_text_eq(&m->seeds[i].addr, addr))
			m->seeds[i].known = known;
	}
}

static bool
is_listed(const struct membership *m, const struct member_text *addr)
{
	for (uint32_t i = 0; i < m->n_seeds; i++) {
		if (m->seeds[i].listed &&
		    member_text_eq(&m->seeds[i].addr, addr))
			return (true);
	}
	return (false);
}

static void
remove_at(struct membership *m, uint32_t i)
{
	struct member_text addr = m->members[i].e.addr;

	memmove(&m->members[i], &m->members[i + 1],
	    (m->n - i - 1) * sizeof(*m->members));
	m->n--;
	if (m->cursor > i)
		m->cursor--;
	update_seed(m, &addr);
}

/* Removes dead members that left the base and have been dead for @age_ms. */
static void
remove_expired(struct membership *m, int64_t now_ms, int64_t age_ms)
{
	for (uint32_t i = m->n; i-- > 0;) {
		const struct member_record *rec = &m->members[i];

		if (rec->e.health == MEMBER_HEALTH_DEAD &&
		    (rec->replaced || rec->dropped || rec->e.leaving) &&
		    now_ms - rec->dead_ms >= age_ms)
			remove_at(m, i);
	}
}

static struct member_record *
insert_member(
    struct membership *m, const struct member_entry *e, int64_t now_ms)
{
	uint32_t i;

	if (m->n == MEMBER_MAX_MEMBERS)
		remove_expired(m, now_ms, 0);
	if (m->n == MEMBER_MAX_MEMBERS)
		return (NULL);
	i = member_position(m, &e->id);
	memmove(&m->members[i + 1], &m->members[i],
	    (m->n - i) * sizeof(*m->members));
	m->n++;
	if (m->cursor > i)
		m->cursor++;
	m->members[i] = (struct member_record){
	    .e = *e,
	    .advanced_ms = now_ms,
	    .suspect_ms = now_ms,
	    .leaving_ms = now_ms,
	    .unlisted_ms = is_listed(m, &e->addr) ? 0 : now_ms,
	};
	mark_changed(m, &m->members[i]);
	update_seed(m, &e->addr);
	return (&m->members[i]);
}

static void
mark_dead(struct membership *m, struct member_record *rec, int64_t now_ms,
    struct member_out *out)
{
	rec->e.health = MEMBER_HEALTH_DEAD;
	rec->dead_ms = now_ms;
	mark_changed(m, rec);
	emit_event(out, MEMBER_DIED, rec);
}

static void
mark_suspect(struct membership *m, struct member_record *rec, int64_t now_ms,
    struct member_out *out)
{
	rec->e.health = MEMBER_HEALTH_SUSPECT;
	rec->suspect_ms = now_ms;
	mark_changed(m, rec);
	emit_event(out, MEMBER_SUSPECTED, rec);
}

/* Parses the start time from an identity "<id>@<start>"; 0 when it has none. */
static uint64_t
start_time(const struct vm_id *id)
{
	struct bstr s = vmid_str(id);
	uint64_t start = 0;
	size_t i = s.n;

	while (i > 0 && s.p[i - 1] != '@')
		i--;
	if (!bstr_to_u64((struct bstr){s.p + i, s.n - i}, &start))
		return (0);
	return (start);
}

/*
 * Decides between a new process and the known processes at the same address.
 * Delayed gossip about an older process must not replace a newer one, so while
 * the known process is alive, only a later start time replaces it.
 *
 * Return: false when the new process must be ignored.
 */
static bool
resolve_address_conflict(struct membership *m, const struct member_entry *e,
    int64_t now_ms, struct member_out *out)
{
	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *rec = &m->members[i];
		bool newer = start_time(&e->id) > start_time(&rec->e.id);

		if (rec->replaced || !member_text_eq(&rec->e.addr, &e->addr))
			continue;
		if (member_is_self(m, rec))
			return (false);
		if (!newer && rec->e.health == MEMBER_HEALTH_ALIVE)
			return (false);
		rec->replaced = true;
		if (rec->e.health != MEMBER_HEALTH_DEAD)
			mark_dead(m, rec, now_ms, out);
	}
	return (true);
}

static void
add_member(struct membership *m, const struct member_entry *e, int64_t now_ms,
    struct member_out *out)
{
	struct member_record *rec;

	/* A dead entry is late gossip about a process already removed. */
	if (e->health == MEMBER_HEALTH_DEAD ||
	    !resolve_address_conflict(m, e, now_ms, out))
		return;
	rec = insert_member(m, e, now_ms);
	if (rec != NULL)
		emit_event(out, e->leaving ? MEMBER_LEFT : MEMBER_JOINED, rec);
}

static void
refute(struct membership *m, const struct member_entry *e)
{
	struct member_record *rec = member_self(m);

	if (e->health == MEMBER_HEALTH_ALIVE || e->heartbeat < rec->e.heartbeat)
		return;
	rec->e.heartbeat = e->heartbeat + 1;
	mark_changed(m, rec);
}

static void
advance_heartbeat(struct membership *m, struct member_record *rec,
    const struct member_entry *e, int64_t now_ms, struct member_out *out)
{
	enum member_health previous = rec->e.health;

	rec->e.heartbeat = e->heartbeat;
	rec->advanced_ms = now_ms;
	rec->ping_ms = 0;
	rec->stale = false;
	if (e->health != MEMBER_HEALTH_ALIVE || previous == MEMBER_HEALTH_ALIVE)
		return;
	rec->e.health = MEMBER_HEALTH_ALIVE;
	rec->dropped = false;
	mark_changed(m, rec);
	emit_event(out,
	    previous == MEMBER_HEALTH_DEAD ? MEMBER_JOINED : MEMBER_REFUTED,
	    rec);
}

static void
merge_entry(struct membership *m, const struct member_entry *e, int64_t now_ms,
    struct member_out *out)
{
	struct member_record *rec;

	if (vmid_eq(&e->id, &m->desc.self)) {
		refute(m, e);
		return;
	}
	rec = member_find(m, &e->id);
	if (rec == NULL) {
		add_member(m, e, now_ms, out);
		return;
	}
	if (rec->replaced)
		return;
	if (e->leaving && !rec->e.leaving) {
		rec->e.leaving = true;
		rec->leaving_ms = now_ms;
		mark_changed(m, rec);
		emit_event(out, MEMBER_LEFT, rec);
	}
	if (e->heartbeat < rec->e.heartbeat)
		return;
	if (e->heartbeat > rec->e.heartbeat)
		advance_heartbeat(m, rec, e, now_ms, out);
	if (e->health <= rec->e.health)
		return;
	if (e->health == MEMBER_HEALTH_DEAD)
		mark_dead(m, rec, now_ms, out);
	else
		mark_suspect(m, rec, now_ms, out);
}

/*
 * Pings a member whose heartbeat timed out, and marks it suspect when the ping
 * times out as well.
 */
static void
check_silent_member(struct membership *m, struct member_record *rec,
    uint32_t *n_pings, int64_t now_ms, struct member_out *out)
{
	if (rec->ping_ms != 0) {
		if (now_ms - rec->ping_ms >= m->desc.ping_timeout_ms)
			mark_suspect(m, rec, now_ms, out);
		return;
	}
	if (*n_pings == MAX_PINGS_PER_TICK)
		return;
	(*n_pings)++;
	rec->ping_ms = now_ms;
	member_ping(m, rec, out);
}

static void
check_timeouts(struct membership *m, int64_t now_ms, struct member_out *out)
{
	int32_t scale = timeout_scale(m);
	int64_t heartbeat_timeout_ms =
	    (int64_t)m->desc.heartbeat_timeout_ms * scale;
	int64_t suspect_timeout_ms =
	    (int64_t)m->desc.suspect_timeout_ms * (scale + 1) / 2;
	uint32_t n_pings = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *rec = &m->members[i];

		if (member_is_self(m, rec))
			continue;
		if (rec->e.health == MEMBER_HEALTH_ALIVE &&
		    now_ms - rec->advanced_ms >= heartbeat_timeout_ms)
			check_silent_member(m, rec, &n_pings, now_ms, out);
		else if (rec->e.health == MEMBER_HEALTH_SUSPECT &&
		    now_ms - rec->suspect_ms >= suspect_timeout_ms)
			mark_dead(m, rec, now_ms, out);
	}
}

/*
 * Detects that this process was paused, from the gap since the last event. All
 * state is stale after a pause: timeouts restart, so that no member is
 * suspected because of the gap, and the base is unknown until it is learned
 * again.
 */
static void
check_clock(struct membership *m, int64_t now_ms, struct member_out *out)
{
	int64_t gap = m->started ? now_ms - m->last_ms : 0;

	m->started = true;
	if (gap >= 0)
		m->last_ms = now_ms;
	if (gap <= m->desc.pause_ms)
		return;
	m->pauses++;
	m->base_known = false;
	m->echo_heartbeat = ++member_self(m)->e.heartbeat;
	m->peer_base[0] = m->peer_base[1] = 0;
	for (uint32_t i = 0; i < m->n; i++) {
		m->members[i].advanced_ms = now_ms;
		m->members[i].ping_ms = 0;
		m->members[i].suspect_ms = now_ms;
		m->members[i].stale = !member_is_self(m, &m->members[i]);
	}
	member_emit(out, MEMBER_PAUSED)->gap_ms = gap;
}

static void
rotate_peer_base(struct membership *m, int64_t now_ms)
{
	if (now_ms - m->peer_base_ms < PEER_BASE_INTERVAL_MS)
		return;
	m->peer_base_ms = now_ms;
	m->peer_base[1] = m->peer_base[0];
	m->peer_base[0] = 0;
}

void
member_init(struct membership *m, const struct member_desc *desc)
{
	struct member_entry e = {
	    .id = desc->self, .zone = desc->zone, .addr = desc->addr};
	struct member_desc *d = &m->desc;

	*m = (struct membership){.desc = *desc};
	d->period_ms = d->period_ms == 0 ? PERIOD_MS : d->period_ms;
	d->heartbeat_timeout_ms = d->heartbeat_timeout_ms == 0
	    ? HEARTBEAT_TIMEOUT_MS
	    : d->heartbeat_timeout_ms;
	d->ping_timeout_ms =
	    d->ping_timeout_ms == 0 ? PING_TIMEOUT_MS : d->ping_timeout_ms;
	d->suspect_timeout_ms = d->suspect_timeout_ms == 0
	    ? SUSPECT_TIMEOUT_MS
	    : d->suspect_timeout_ms;
	d->leave_hold_ms =
	    d->leave_hold_ms == 0 ? LEAVE_HOLD_MS : d->leave_hold_ms;
	d->drop_ms = d->drop_ms == 0 ? DROP_MS : d->drop_ms;
	d->pause_ms = d->pause_ms == 0 ? PAUSE_MS : d->pause_ms;
	rng_init(&m->rng, desc->seed);
	m->members = calloc(MEMBER_MAX_MEMBERS, sizeof(*m->members));
	m->seeds = calloc(MEMBER_MAX_MEMBERS, sizeof(*m->seeds));
	if (m->members == NULL || m->seeds == NULL)
		abort();
	insert_member(m, &e, 0);
}

void
member_finish(struct membership *m)
{
	free(m->members);
	free(m->seeds);
	*m = (struct membership){0};
}

void
member_tick(struct membership *m, int64_t now_ms, struct member_out *out)
{
	check_clock(m, now_ms, out);
	rotate_peer_base(m, now_ms);
	check_timeouts(m, now_ms, out);
	if (now_ms < m->next_ms)
		return;
	m->next_ms = now_ms + m->desc.period_ms;
	remove_expired(m, now_ms, RETENTION_MS);
	member_self(m)->e.heartbeat++;
	member_gossip(m, out);
}

static void
add_seed(struct membership *m, const struct member_text *addr, bool listed)
{
	if (addr->n == 0 || member_text_eq(addr, &m->desc.addr))
		return;
	for (uint32_t i = 0; i < m->n_seeds; i++) {
		if (member_text_eq(&m->seeds[i].addr, addr)) {
			m->seeds[i].listed |= listed;
			return;
		}
	}
	if (m->n_seeds == MEMBER_MAX_MEMBERS)
		return;
	m->seeds[m->n_seeds++] =
	    (struct member_seed){.addr = *addr, .listed = listed};
	update_seed(m, addr);
}

/* Removes dead members that are absent from the VM list from the base. */
static void
drop_unlisted(struct membership *m, int64_t now_ms)
{
	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *rec = &m->members[i];

		if (is_listed(m, &rec->e.addr)) {
			rec->unlisted_ms = 0;
			rec->dropped = false;
			continue;
		}
		if (rec->unlisted_ms == 0)
			rec->unlisted_ms = now_ms;
		if (rec->e.health == MEMBER_HEALTH_DEAD &&
		    now_ms - rec->unlisted_ms >= m->desc.drop_ms &&
		    now_ms - rec->dead_ms >= m->desc.drop_ms)
			rec->dropped = true;
	}
}

void
member_on_vm_list(struct membership *m, const struct member_text *addrs,
    uint32_t n, bool current, int64_t now_ms, struct member_out *out)
{
	check_clock(m, now_ms, out);
	if (current) {
		m->n_seeds = 0;
		m->base_known = true;
	}
	for (uint32_t i = 0; i < n; i++)
		add_seed(m, &addrs[i], current);
	if (current)
		drop_unlisted(m, now_ms);
}

/*
 * Whether the sender had received a heartbeat of this process from after the
 * last pause. Any other message may have been buffered during the pause.
 */
static bool
sent_after_pause(const struct membership *m, const struct member_msg *msg)
{
	for (uint32_t i = 0; i < msg->n && m->echo_heartbeat != 0; i++) {
		const struct member_entry *e = &msg->entries[i];

		if (vmid_eq(&e->id, &m->desc.self))
			return (e->heartbeat >= m->echo_heartbeat);
	}
	return (m->echo_heartbeat == 0);
}

void
member_on_gossip(struct membership *m, const struct vm_id *from,
    const struct member_msg *msg, int64_t now_ms, struct member_out *out)
{
	check_clock(m, now_ms, out);
	if (vmid_eq(from, &m->desc.self))
		return;
	if (msg->base > 0 && msg->base <= MEMBER_MAX_BASE) {
		m->base_known |= sent_after_pause(m, msg);
		if (m->peer_base[0] < msg->base)
			m->peer_base[0] = msg->base;
	}
	for (uint32_t i = 0; i < msg->n; i++)
		merge_entry(m, &msg->entries[i], now_ms, out);
	if (msg->ping)
		member_send_own_entry(m, from, out);
}

void
member_leave(struct membership *m, int64_t now_ms, struct member_out *out)
{
	struct member_record *rec = member_self(m);

	check_clock(m, now_ms, out);
	if (rec->e.leaving)
		return;
	rec->e.leaving = true;
	rec->leaving_ms = now_ms;
	rec->e.heartbeat++;
	mark_changed(m, rec);
	member_gossip(m, out);
}
