#include "member/mbr_priv.h"

#include <stdlib.h>

struct mbr_effect *
mbr_emit(struct mbr_out *out, enum mbr_kind kind)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 8 : out->cap * 2;
		out->e = realloc(out->e, out->cap * sizeof(*out->e));
		if (out->e == NULL)
			abort();
	}
	out->e[out->n] = (struct mbr_effect){.kind = kind};
	return (&out->e[out->n++]);
}

void
mbr_out_clear(struct mbr_out *out)
{
	free(out->e);
	*out = (struct mbr_out){0};
}

struct mbr_text
mbr_text(struct bstr s)
{
	struct mbr_text t = {0};

	if (s.n == 0 || s.n > MBR_TEXT_MAX)
		return (t);
	t.n = (uint8_t)s.n;
	memcpy(t.s, s.p, s.n);
	return (t);
}

struct bstr
mbr_str(const struct mbr_text *t)
{
	return ((struct bstr){t->s, t->n});
}

bool
mbr_text_eq(const struct mbr_text *a, const struct mbr_text *b)
{
	return (bstr_eq(mbr_str(a), mbr_str(b)));
}

/* Index of @id, or where it would be inserted. */
uint32_t
mbr_position(const struct mbr *m, const struct vm_id *id)
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
mbr_find(const struct mbr *m, const struct vm_id *id)
{
	uint32_t i = mbr_position(m, id);

	if (i < m->n && vmid_eq(&m->members[i].e.id, id))
		return (&m->members[i]);
	return (NULL);
}

struct member_record *
mbr_self(const struct mbr *m)
{
	return (mbr_find(m, &m->desc.self));
}

bool
mbr_is_self(const struct mbr *m, const struct member_record *k)
{
	return (vmid_eq(&k->e.id, &m->desc.self));
}

/* Own base: members that count and listed addresses without a member. */
uint32_t
mbr_own_base(const struct mbr *m)
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
mbr_pauses(const struct mbr *m)
{
	return (m->pauses);
}

static enum mbr_state
state_of(const struct member_record *k)
{
	if (k->e.health == MBR_HEALTH_DEAD)
		return (MBR_DEAD);
	if (k->e.leaving)
		return (MBR_LEAVING);
	return (k->e.health == MBR_HEALTH_SUSPECT ? MBR_SUSPECT : MBR_ALIVE);
}

enum mbr_state
mbr_state(const struct mbr *m, const struct vm_id *id)
{
	const struct member_record *k = mbr_find(m, id);

	return (k == NULL ? MBR_DEAD : state_of(k));
}

static struct mbr_info
info(const struct member_record *k)
{
	return ((struct mbr_info){
	    .id = k->e.id,
	    .zone = k->e.zone,
	    .addr = k->e.addr,
	    .state = state_of(k),
	});
}

static bool
is_live(const struct member_record *k, struct bstr zone)
{
	enum mbr_state s = state_of(k);

	return ((s == MBR_ALIVE || s == MBR_SUSPECT) &&
	    (zone.n == 0 || bstr_eq(mbr_str(&k->e.zone), zone)));
}

uint32_t
mbr_live(
    const struct mbr *m, struct bstr zone, struct mbr_info *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n && n < max; i++) {
		if (is_live(&m->members[i], zone))
			out[n++] = info(&m->members[i]);
	}
	return (n);
}

uint32_t
mbr_base(const struct mbr *m)
{
	uint32_t n;

	if (!m->base_known)
		return (0);
	n = mbr_own_base(m);
	for (int i = 0; i < 2; i++)
		n = n < m->heard_base[i] ? m->heard_base[i] : n;
	return (n);
}

uint32_t
mbr_majority(const struct mbr *m)
{
	uint32_t n = mbr_base(m);

	return (n == 0 ? 0 : n / 2 + 1);
}

static bool
may_choose(const struct member_record *k, const struct mbr_choice *c)
{
	if (!is_live(k, c->zone))
		return (false);
	for (uint32_t i = 0; i < c->n_avoid_zones; i++) {
		if (mbr_text_eq(&k->e.zone, &c->avoid_zones[i]))
			return (false);
	}
	for (uint32_t i = 0; i < c->n_avoid; i++) {
		if (vmid_eq(&k->e.id, &c->avoid[i]))
			return (false);
	}
	return (true);
}

uint32_t
mbr_choose(const struct mbr *m, uint64_t key, const struct mbr_choice *choice,
    struct mbr_info *out, uint32_t max)
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
	return (k->e.leaving && k->e.health == MBR_HEALTH_DEAD);
}

uint32_t
mbr_all(const struct mbr *m, struct mbr_info *out, uint32_t max)
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
