#include "member/membership_internal.h"

#include <stdlib.h>

struct member_effect *
member_emit(struct member_out *out, enum member_kind kind)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 8 : out->cap * 2;
		out->e = realloc(out->e, out->cap * sizeof(*out->e));
		if (out->e == NULL)
			abort();
	}
	out->e[out->n] = (struct member_effect){.kind = kind};
	return (&out->e[out->n++]);
}

void
member_out_clear(struct member_out *out)
{
	free(out->e);
	*out = (struct member_out){0};
}

struct member_text
member_text(struct bstr s)
{
	struct member_text t = {0};

	if (s.n == 0 || s.n > MEMBER_TEXT_MAX)
		return (t);
	t.n = (uint8_t)s.n;
	memcpy(t.s, s.p, s.n);
	return (t);
}

struct bstr
member_str(const struct member_text *t)
{
	return ((struct bstr){t->s, t->n});
}

bool
member_text_eq(const struct member_text *a, const struct member_text *b)
{
	return (bstr_eq(member_str(a), member_str(b)));
}

/* Index of @id, or where it would be inserted. */
uint32_t
member_position(const struct membership *m, const struct vm_id *id)
{
	uint32_t lo = 0, hi = m->n;

	while (lo < hi) {
		uint32_t mid = (lo + hi) / 2;

		if (vmid_cmp(&m->members[mid].e.id, id) < 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return (lo);
}

struct member_record *
member_find(const struct membership *m, const struct vm_id *id)
{
	uint32_t i = member_position(m, id);

	if (i < m->n && vmid_eq(&m->members[i].e.id, id))
		return (&m->members[i]);
	return (NULL);
}

struct member_record *
member_self(const struct membership *m)
{
	return (member_find(m, &m->desc.self));
}

bool
member_is_self(const struct membership *m, const struct member_record *k)
{
	return (vmid_eq(&k->e.id, &m->desc.self));
}

/* Own base: members that count and listed addresses without a member. */
uint32_t
member_own_base(const struct membership *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		const struct member_record *k = &m->members[i];
		bool left = k->e.leaving &&
		    m->last_ms - k->leaving_ms >= m->desc.leave_hold_ms;

		n += !left && !k->replaced && !k->dropped;
	}
	for (uint32_t i = 0; i < m->n_seeds; i++)
		n += m->seeds[i].listed && !m->seeds[i].known;
	return (n);
}

uint32_t
member_pauses(const struct membership *m)
{
	return (m->pauses);
}

static enum member_state
state_of(const struct member_record *k)
{
	if (k->e.health == MEMBER_HEALTH_DEAD)
		return (MEMBER_DEAD);
	if (k->e.leaving)
		return (MEMBER_LEAVING);
	return (k->e.health == MEMBER_HEALTH_SUSPECT ? MEMBER_SUSPECT
						     : MEMBER_ALIVE);
}

enum member_state
member_state(const struct membership *m, const struct vm_id *id)
{
	const struct member_record *k = member_find(m, id);

	return (k == NULL ? MEMBER_DEAD : state_of(k));
}

static struct member_info
info(const struct member_record *k)
{
	return ((struct member_info){
	    .id = k->e.id,
	    .zone = k->e.zone,
	    .addr = k->e.addr,
	    .state = state_of(k),
	});
}

static bool
is_live(const struct member_record *k, struct bstr zone)
{
	enum member_state s = state_of(k);

	return ((s == MEMBER_ALIVE || s == MEMBER_SUSPECT) &&
	    (zone.n == 0 || bstr_eq(member_str(&k->e.zone), zone)));
}

uint32_t
member_live(const struct membership *m, struct bstr zone,
    struct member_info *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n && n < max; i++) {
		if (is_live(&m->members[i], zone))
			out[n++] = info(&m->members[i]);
	}
	return (n);
}

uint32_t
member_base(const struct membership *m)
{
	uint32_t n;

	if (!m->base_known)
		return (0);
	n = member_own_base(m);
	for (int i = 0; i < 2; i++)
		n = n < m->heard_base[i] ? m->heard_base[i] : n;
	return (n);
}

uint32_t
member_majority(const struct membership *m)
{
	uint32_t n = member_base(m);

	return (n == 0 ? 0 : n / 2 + 1);
}

static bool
may_choose(const struct member_record *k, const struct member_choice *c)
{
	if (!is_live(k, c->zone))
		return (false);
	for (uint32_t i = 0; i < c->n_avoid_zones; i++) {
		if (member_text_eq(&k->e.zone, &c->avoid_zones[i]))
			return (false);
	}
	for (uint32_t i = 0; i < c->n_avoid; i++) {
		if (vmid_eq(&k->e.id, &c->avoid[i]))
			return (false);
	}
	return (true);
}

uint32_t
member_choose(const struct membership *m, uint64_t key,
    const struct member_choice *choice, struct member_info *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		const struct member_record *k = &m->members[i];
		uint64_t score = vmid_score(&k->e.id, key);
		uint32_t at = n;

		if (!may_choose(k, choice))
			continue;
		while (at > 0 && vmid_score(&out[at - 1].id, key) < score)
			at--;
		if (at == max)
			continue;
		if (n < max)
			n++;
		for (uint32_t j = n - 1; j > at; j--)
			out[j] = out[j - 1];
		out[at] = info(k);
	}
	return (n);
}

/* A member that left gracefully and is gone: its work was handed over. */
static bool
has_ended(const struct member_record *k)
{
	return (k->e.leaving && k->e.health == MEMBER_HEALTH_DEAD);
}

uint32_t
member_all(const struct membership *m, struct member_info *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n && n < max; i++) {
		const struct member_record *b = &m->members[i];

		if (b->replaced || b->dropped || has_ended(b))
			continue;
		out[n++] = info(b);
	}
	return (n);
}
