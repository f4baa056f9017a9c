#include "member/membership_internal.h"

/* The rest of a message is left to counters, or a burst of changes would keep
 * them from advancing and cause false suspicion. */
#define MAX_CHANGED 12
/* One period in this many also tries an address without a live member. */
#define LOST_PERIODS 4

static void
put_entry(struct member_msg *msg, const struct member_record *k)
{
	for (uint32_t i = 0; i < msg->n; i++) {
		if (vmid_eq(&msg->entries[i].id, &k->e.id))
			return;
	}
	msg->entries[msg->n++] = k->e;
}

/* Adds the most recent changes that were not yet reported often enough. */
static void
put_changed(struct membership *m, struct member_msg *msg)
{
	struct member_record *top[MAX_CHANGED];
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		struct member_record *k = &m->members[i];
		uint32_t at = n;

		if (k->sends_left == 0 || k->old)
			continue;
		while (at > 0 && top[at - 1]->changed < k->changed)
			at--;
		if (at == MAX_CHANGED)
			continue;
		if (n < MAX_CHANGED)
			n++;
		for (uint32_t j = n - 1; j > at; j--)
			top[j] = top[j - 1];
		top[at] = k;
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
		const struct member_record *k;

		if (m->cursor >= m->n)
			m->cursor = 0;
		k = &m->members[m->cursor++];
		if (k->e.health != MEMBER_HEALTH_DEAD && !k->old)
			put_entry(msg, k);
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
	/* The receiver can refute only what it hears. */
	if (to != NULL && to->e.health != MEMBER_HEALTH_ALIVE)
		put_entry(&e->msg, to);
	put_changed(m, &e->msg);
	put_round_robin(m, &e->msg);
}

/* Indexes of the other members with this health; Return: their number. */
static uint32_t
collect(const struct membership *m, enum member_health from,
    enum member_health to, uint16_t *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		const struct member_record *k = &m->members[i];

		if (!member_is_self(m, k) && !k->replaced &&
		    k->e.health >= from && k->e.health <= to)
			out[n++] = (uint16_t)i;
	}
	return (n);
}

static void
send_to_member(struct membership *m, uint16_t i, struct member_out *out)
{
	send_gossip(m, &m->members[i], m->members[i].e.addr, out);
}

/* Gossips with a random dead member or address, which heals partitions. */
static void
send_to_lost(struct membership *m, struct member_out *out)
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
member_ask(const struct membership *m, const struct member_record *k,
    struct member_out *out)
{
	member_answer(m, &k->e.id, out);
	out->e[out->n - 1].addr = k->e.addr;
	out->e[out->n - 1].msg.ask = true;
}

void
member_answer(
    const struct membership *m, const struct vm_id *to, struct member_out *out)
{
	struct member_effect *e = member_emit(out, MEMBER_SEND);

	e->id = *to;
	put_entry(&e->msg, member_self(m));
}

void
member_gossip(struct membership *m, struct member_out *out)
{
	uint16_t alive[MEMBER_MAX_MEMBERS], doubt[MEMBER_MAX_MEMBERS];
	uint32_t n =
	    collect(m, MEMBER_HEALTH_ALIVE, MEMBER_HEALTH_ALIVE, alive);
	uint32_t n_doubt =
	    collect(m, MEMBER_HEALTH_SUSPECT, MEMBER_HEALTH_SUSPECT, doubt);
	uint32_t sent = 0;

	for (; sent < MEMBER_FANOUT && n > 0; sent++) {
		uint32_t i = rng_below(&m->rng, n);

		send_to_member(m, alive[i], out);
		alive[i] = alive[--n];
	}
	/* Beyond the fanout: messages to failed members must not take the place
	 * of those that carry the counters on. A suspect member has to hear of
	 * it soon in order to refute it. */
	if (n_doubt > 0)
		send_to_member(m, doubt[rng_below(&m->rng, n_doubt)], out);
	if (sent == MEMBER_FANOUT && rng_below(&m->rng, LOST_PERIODS) == 0)
		send_to_lost(m, out);
	for (; sent < MEMBER_FANOUT; sent++)
		send_to_lost(m, out);
}
