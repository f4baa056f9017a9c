#include "member/membership_internal.h"

/*
 * Limits the changes in a message so that the remaining entries can carry
 * heartbeats. Otherwise a burst of changes would delay heartbeats and cause
 * false suspicions.
 */
#define MAX_CHANGED 12
/*
 * On average, one period in this many also sends gossip to an address that has
 * no live member.
 */
#define UNREACHABLE_PERIODS 4

static void
put_entry(struct member_msg *msg, const struct member_record *rec)
{
	for (uint32_t i = 0; i < msg->n; i++) {
		if (vmid_eq(&msg->entries[i].id, &rec->e.id))
			return;
	}
	msg->entries[msg->n++] = rec->e;
}

/* Adds the most recent changes that have not been sent often enough yet. */
static void
put_recent_changes(struct membership *m, struct member_msg *msg)
{
	struct member_record *top[MAX_CHANGED];
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *rec = &m->members[i];
		uint32_t at = n;

		if (rec->sends_left == 0 || rec->stale)
			continue;
		while (at > 0 && top[at - 1]->changed < rec->changed)
			at--;
		if (at == MAX_CHANGED)
			continue;
		if (n < MAX_CHANGED)
			n++;
		for (uint32_t j = n - 1; j > at; j--)
			top[j] = top[j - 1];
		top[at] = rec;
	}
	for (uint32_t i = 0; i < n; i++) {
		top[i]->sends_left--;
		put_entry(msg, top[i]);
	}
}

static void
put_round_robin(struct membership *m, struct member_msg *msg)
{
	for (uint32_t i = 0; i < m->n && msg->n < MEMBER_MAX_ENTRIES; i++) {
		const struct member_record *rec;

		if (m->cursor >= m->n)
			m->cursor = 0;
		rec = &m->members[m->cursor++];
		if (rec->e.health != MEMBER_HEALTH_DEAD && !rec->stale)
			put_entry(msg, rec);
	}
}

static void
send_gossip(struct membership *m, const struct member_record *to,
    struct member_text addr, struct member_out *out)
{
	struct member_effect *e = member_emit(out, MEMBER_SEND);
	bool dead = to == NULL || to->e.health == MEMBER_HEALTH_DEAD;

	e->addr = addr;
	if (!dead)
		e->id = to->e.id;
	e->msg.base = m->base_known ? member_own_base(m) : 0;
	put_entry(&e->msg, member_self(m));
	/* The receiver can refute a suspicion only if it receives it. */
	if (to != NULL && to->e.health != MEMBER_HEALTH_ALIVE)
		put_entry(&e->msg, to);
	put_recent_changes(m, &e->msg);
	put_round_robin(m, &e->msg);
}

/*
 * Writes the indexes of the other members whose health is between @from and @to
 * to @out. Return: number of indexes written.
 */
static uint32_t
collect(const struct membership *m, enum member_health from,
    enum member_health to, uint16_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		const struct member_record *rec = &m->members[i];

		if (!member_is_self(m, rec) && !rec->replaced &&
		    rec->e.health >= from && rec->e.health <= to)
			out[n++] = (uint16_t)i;
	}
	return (n);
}

static void
send_to_member(struct membership *m, uint16_t i, struct member_out *out)
{
	send_gossip(m, &m->members[i], m->members[i].e.addr, out);
}

/*
 * Sends gossip to a random dead member or unknown address. This lets the two
 * sides of a partition find each other again.
 */
static void
send_to_unreachable(struct membership *m, struct member_out *out)
{
	uint16_t dead[MEMBER_MAX_MEMBERS], seeds[MEMBER_MAX_MEMBERS];
	uint32_t n_dead =
	    collect(m, MEMBER_HEALTH_DEAD, MEMBER_HEALTH_DEAD, dead);
	uint32_t n_seeds = 0, i;

	for (uint32_t s = 0; s < m->n_seeds; s++) {
		if (!m->seeds[s].known)
			seeds[n_seeds++] = (uint16_t)s;
	}
	if (n_dead + n_seeds == 0)
		return;
	i = rng_below(&m->rng, n_dead + n_seeds);
	if (i < n_dead)
		send_to_member(m, dead[i], out);
	else
		send_gossip(m, NULL, m->seeds[seeds[i - n_dead]].addr, out);
}

void
member_ping(const struct membership *m, const struct member_record *rec,
    struct member_out *out)
{
	member_send_own_entry(m, &rec->e.id, out);
	out->e[out->n - 1].addr = rec->e.addr;
	out->e[out->n - 1].msg.ping = true;
}

void
member_send_own_entry(
    const struct membership *m, const struct vm_id *to, struct member_out *out)
{
	struct member_effect *e = member_emit(out, MEMBER_SEND);

	e->id = *to;
	put_entry(&e->msg, member_self(m));
}

void
member_gossip(struct membership *m, struct member_out *out)
{
	uint16_t alive[MEMBER_MAX_MEMBERS], suspects[MEMBER_MAX_MEMBERS];
	uint32_t n =
	    collect(m, MEMBER_HEALTH_ALIVE, MEMBER_HEALTH_ALIVE, alive);
	uint32_t n_suspects =
	    collect(m, MEMBER_HEALTH_SUSPECT, MEMBER_HEALTH_SUSPECT, suspects);
	uint32_t sent = 0;

	for (; sent < MEMBER_FANOUT && n > 0; sent++) {
		uint32_t i = rng_below(&m->rng, n);

		send_to_member(m, alive[i], out);
		alive[i] = alive[--n];
	}
	/*
	 * A suspect member must receive the suspicion soon in order to refute
	 * it. This message is sent in addition to the fanout, because messages
	 * to failed members must not replace those that spread heartbeats.
	 */
	if (n_suspects > 0)
		send_to_member(
		    m, suspects[rng_below(&m->rng, n_suspects)], out);
	if (sent == MEMBER_FANOUT &&
	    rng_below(&m->rng, UNREACHABLE_PERIODS) == 0)
		send_to_unreachable(m, out);
	for (; sent < MEMBER_FANOUT; sent++)
		send_to_unreachable(m, out);
}
