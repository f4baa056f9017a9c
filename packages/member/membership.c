#include "member/membership_internal.h"

#include <stdlib.h>

#define PERIOD_MS 250
#define QUIET_MS 1000
#define ASK_MS 400
/* Members asked in one tick, so that a lost zone causes no burst. */
#define ASKS_PER_TICK 2
/* Members for which the quiet time may grow by its default. */
#define MEMBERS_PER_SCALE 85
#define DEAD_MS 1000
#define LEAVE_HOLD_MS 3000
#define DROP_MS 30000
#define PAUSE_MS 1000
/* Peers' bases count for one to two of these intervals. */
#define HEARD_INTERVAL_MS 3000
/* Longer than gossip about a dead process circulates. */
#define FORGET_MS 60000
/* Messages that report a change first, for each doubling of the fleet. */
#define SENDS_PER_DOUBLING 3

static void
emit_event(struct member_out *out, enum member_kind kind,
    const struct member_record *k)
{
	struct member_effect *e = member_emit(out, kind);

	e->id = k->e.id;
	e->addr = k->e.addr;
}

/* Factor of the timeouts: one more for each doubling of the fleet above one
 * full message, and linear for large fleets. */
static int32_t
fleet_scale(const struct membership *m)
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
mark_changed(struct membership *m, struct member_record *k)
{
	k->changed = ++m->changes;
	k->sends_left = sends_per_change(m);
}

static void
update_seed(struct membership *m, const struct member_text *addr)
{
	bool known = false;

	for (uint32_t i = 0; i < m->n; i++) {
		const struct member_record *k = &m->members[i];

		known |= !k->replaced && member_text_eq(&k->e.addr, addr);
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

/* Forgets members that have counted nowhere for @age_ms. */
static void
forget(struct membership *m, int64_t now_ms, int64_t age_ms)
{
	for (uint32_t i = m->n; i-- > 0;) {
		const struct member_record *k = &m->members[i];

		if (k->e.health == MEMBER_HEALTH_DEAD &&
		    (k->replaced || k->dropped || k->e.leaving) &&
		    now_ms - k->dead_ms >= age_ms)
			remove_at(m, i);
	}
}

static struct member_record *
insert(struct membership *m, const struct member_entry *e, int64_t now_ms)
{
	uint32_t i;

	if (m->n == MEMBER_MAX_MEMBERS)
		forget(m, now_ms, 0);
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
die(struct membership *m, struct member_record *k, int64_t now_ms,
    struct member_out *out)
{
	k->e.health = MEMBER_HEALTH_DEAD;
	k->dead_ms = now_ms;
	mark_changed(m, k);
	emit_event(out, MEMBER_DIED, k);
}

static void
suspect(struct membership *m, struct member_record *k, int64_t now_ms,
    struct member_out *out)
{
	k->e.health = MEMBER_HEALTH_SUSPECT;
	k->suspect_ms = now_ms;
	mark_changed(m, k);
	emit_event(out, MEMBER_SUSPECTED, k);
}

/* Start time from the text "<id>@<start>"; 0 when there is none. */
static uint64_t
start_of(const struct vm_id *id)
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
 * Decides between a new process and the known ones at its address. Delayed
 * gossip about an older process must not replace a newer one, so the later
 * start wins while the known process is well.
 *
 * Return: false when the new one is to be ignored.
 */
static bool
take_address(struct membership *m, const struct member_entry *e, int64_t now_ms,
    struct member_out *out)
{
	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *k = &m->members[i];
		bool newer = start_of(&e->id) > start_of(&k->e.id);

		if (k->replaced || !member_text_eq(&k->e.addr, &e->addr))
			continue;
		if (member_is_self(m, k))
			return (false);
		if (!newer && k->e.health == MEMBER_HEALTH_ALIVE)
			return (false);
		k->replaced = true;
		if (k->e.health != MEMBER_HEALTH_DEAD)
			die(m, k, now_ms, out);
	}
	return (true);
}

static void
add_member(struct membership *m, const struct member_entry *e, int64_t now_ms,
    struct member_out *out)
{
	struct member_record *k;

	/* Old news about a process that was already forgotten. */
	if (e->health == MEMBER_HEALTH_DEAD || !take_address(m, e, now_ms, out))
		return;
	k = insert(m, e, now_ms);
	if (k != NULL)
		emit_event(out, e->leaving ? MEMBER_LEFT : MEMBER_JOINED, k);
}

static void
refute(struct membership *m, const struct member_entry *e)
{
	struct member_record *k = member_self(m);

	if (e->health == MEMBER_HEALTH_ALIVE || e->heartbeat < k->e.heartbeat)
		return;
	k->e.heartbeat = e->heartbeat + 1;
	mark_changed(m, k);
}

static void
advance(struct membership *m, struct member_record *k,
    const struct member_entry *e, int64_t now_ms, struct member_out *out)
{
	enum member_health was = k->e.health;

	k->e.heartbeat = e->heartbeat;
	k->advanced_ms = now_ms;
	k->asked_ms = 0;
	k->old = false;
	if (e->health != MEMBER_HEALTH_ALIVE || was == MEMBER_HEALTH_ALIVE)
		return;
	k->e.health = MEMBER_HEALTH_ALIVE;
	k->dropped = false;
	mark_changed(m, k);
	emit_event(
	    out, was == MEMBER_HEALTH_DEAD ? MEMBER_JOINED : MEMBER_REFUTED, k);
}

static void
merge(struct membership *m, const struct member_entry *e, int64_t now_ms,
    struct member_out *out)
{
	struct member_record *k;

	if (vmid_eq(&e->id, &m->desc.self)) {
		refute(m, e);
		return;
	}
	k = member_find(m, &e->id);
	if (k == NULL) {
		add_member(m, e, now_ms, out);
		return;
	}
	if (k->replaced)
		return;
	if (e->leaving && !k->e.leaving) {
		k->e.leaving = true;
		k->leaving_ms = now_ms;
		mark_changed(m, k);
		emit_event(out, MEMBER_LEFT, k);
	}
	if (e->heartbeat < k->e.heartbeat)
		return;
	if (e->heartbeat > k->e.heartbeat)
		advance(m, k, e, now_ms, out);
	if (e->health <= k->e.health)
		return;
	if (e->health == MEMBER_HEALTH_DEAD)
		die(m, k, now_ms, out);
	else
		suspect(m, k, now_ms, out);
}

/* Asks a quiet member; suspects it when the answer is due. */
static void
check_quiet(struct membership *m, struct member_record *k, uint32_t *asks,
    int64_t now_ms, struct member_out *out)
{
	if (k->asked_ms != 0) {
		if (now_ms - k->asked_ms >= m->desc.ask_ms)
			suspect(m, k, now_ms, out);
		return;
	}
	if (*asks == ASKS_PER_TICK)
		return;
	(*asks)++;
	k->asked_ms = now_ms;
	member_ask(m, k, out);
}

static void
check_timeouts(struct membership *m, int64_t now_ms, struct member_out *out)
{
	int32_t scale = fleet_scale(m);
	int64_t quiet_ms = (int64_t)m->desc.quiet_ms * scale;
	int64_t dead_ms = (int64_t)m->desc.dead_ms * (scale + 1) / 2;
	uint32_t asks = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *k = &m->members[i];

		if (member_is_self(m, k))
			continue;
		if (k->e.health == MEMBER_HEALTH_ALIVE &&
		    now_ms - k->advanced_ms >= quiet_ms)
			check_quiet(m, k, &asks, now_ms, out);
		else if (k->e.health == MEMBER_HEALTH_SUSPECT &&
		    now_ms - k->suspect_ms >= dead_ms)
			die(m, k, now_ms, out);
	}
}

/*
 * Notices that this process stood still. What it knew is then old: no member is
 * blamed for the gap, and the base is unknown until it was learned again.
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
	m->echo = ++member_self(m)->e.heartbeat;
	m->heard_base[0] = m->heard_base[1] = 0;
	for (uint32_t i = 0; i < m->n; i++) {
		m->members[i].advanced_ms = now_ms;
		m->members[i].asked_ms = 0;
		m->members[i].suspect_ms = now_ms;
		m->members[i].old = !member_is_self(m, &m->members[i]);
	}
	member_emit(out, MEMBER_PAUSED)->gap_ms = gap;
}

static void
rotate_heard_base(struct membership *m, int64_t now_ms)
{
	if (now_ms - m->heard_ms < HEARD_INTERVAL_MS)
		return;
	m->heard_ms = now_ms;
	m->heard_base[1] = m->heard_base[0];
	m->heard_base[0] = 0;
}

void
member_init(struct membership *m, const struct member_desc *desc)
{
	struct member_entry e = {
	    .id = desc->self, .zone = desc->zone, .addr = desc->addr};
	struct member_desc *d = &m->desc;

	*m = (struct membership){.desc = *desc};
	d->period_ms = d->period_ms == 0 ? PERIOD_MS : d->period_ms;
	d->quiet_ms = d->quiet_ms == 0 ? QUIET_MS : d->quiet_ms;
	d->ask_ms = d->ask_ms == 0 ? ASK_MS : d->ask_ms;
	d->dead_ms = d->dead_ms == 0 ? DEAD_MS : d->dead_ms;
	d->leave_hold_ms =
	    d->leave_hold_ms == 0 ? LEAVE_HOLD_MS : d->leave_hold_ms;
	d->drop_ms = d->drop_ms == 0 ? DROP_MS : d->drop_ms;
	d->pause_ms = d->pause_ms == 0 ? PAUSE_MS : d->pause_ms;
	rng_init(&m->rng, desc->seed);
	m->members = calloc(MEMBER_MAX_MEMBERS, sizeof(*m->members));
	m->seeds = calloc(MEMBER_MAX_MEMBERS, sizeof(*m->seeds));
	if (m->members == NULL || m->seeds == NULL)
		abort();
	insert(m, &e, 0);
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
	rotate_heard_base(m, now_ms);
	check_timeouts(m, now_ms, out);
	if (now_ms < m->next_ms)
		return;
	m->next_ms = now_ms + m->desc.period_ms;
	forget(m, now_ms, FORGET_MS);
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

/* Takes dead members that the VM list no longer shows out of the base. */
static void
drop_unlisted(struct membership *m, int64_t now_ms)
{
	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *k = &m->members[i];

		if (is_listed(m, &k->e.addr)) {
			k->unlisted_ms = 0;
			k->dropped = false;
			continue;
		}
		if (k->unlisted_ms == 0)
			k->unlisted_ms = now_ms;
		if (k->e.health == MEMBER_HEALTH_DEAD &&
		    now_ms - k->unlisted_ms >= m->desc.drop_ms &&
		    now_ms - k->dead_ms >= m->desc.drop_ms)
			k->dropped = true;
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

/* Whether the message was sent after the sender heard of us since the pause;
 * others may have waited in a buffer during the pause. */
static bool
echoes(const struct membership *m, const struct member_msg *msg)
{
	for (uint32_t i = 0; i < msg->n && m->echo != 0; i++) {
		const struct member_entry *e = &msg->entries[i];

		if (vmid_eq(&e->id, &m->desc.self))
			return (e->heartbeat >= m->echo);
	}
	return (m->echo == 0);
}

void
member_on_gossip(struct membership *m, const struct vm_id *from,
    const struct member_msg *msg, int64_t now_ms, struct member_out *out)
{
	check_clock(m, now_ms, out);
	if (vmid_eq(from, &m->desc.self))
		return;
	if (msg->base > 0 && msg->base <= MEMBER_MAX_BASE) {
		m->base_known |= echoes(m, msg);
		if (m->heard_base[0] < msg->base)
			m->heard_base[0] = msg->base;
	}
	for (uint32_t i = 0; i < msg->n; i++)
		merge(m, &msg->entries[i], now_ms, out);
	if (msg->ask)
		member_answer(m, from, out);
}

void
member_leave(struct membership *m, int64_t now_ms, struct member_out *out)
{
	struct member_record *k = member_self(m);

	check_clock(m, now_ms, out);
	if (k->e.leaving)
		return;
	k->e.leaving = true;
	k->leaving_ms = now_ms;
	k->e.heartbeat++;
	mark_changed(m, k);
	member_gossip(m, out);
}
