#include "member/membership_internal.h"

#include <stdlib.h>

struct member_effect *
member_emit(struct member_out *out, enum member_effect_kind kind)
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
member_is_self(const struct membership *m, const struct member_record *rec)
{
	return (vmid_eq(&rec->e.id, &m->desc.self));
}

/* Counts the members in the base and the listed addresses without a member. */
uint32_t
member_own_base(const struct membership *m)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n; i++) {
		const struct member_record *rec = &m->members[i];
		bool left = rec->e.leaving &&
		    m->last_ms - rec->leaving_ms >= m->desc.leave_hold_ms;

		n += !left && !rec->replaced && !rec->dropped;
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
state_of(const struct member_record *rec)
{
	if (rec->e.health == MEMBER_HEALTH_DEAD)
		return (MEMBER_DEAD);
	if (rec->e.leaving)
		return (MEMBER_LEAVING);
	return (rec->e.health == MEMBER_HEALTH_SUSPECT ? MEMBER_SUSPECT
						       : MEMBER_ALIVE);
}

enum member_state
member_state(const struct membership *m, const struct vm_id *id)
{
	const struct member_record *rec = member_find(m, id);

	return (rec == NULL ? MEMBER_DEAD : state_of(rec));
}

static struct member_info
make_info(const struct member_record *rec)
{
	return ((struct member_info){
	    .id = rec->e.id,
	    .zone = rec->e.zone,
	    .addr = rec->e.addr,
	    .state = state_of(rec),
	});
}

static bool
is_live(const struct member_record *rec, struct bstr zone)
{
	enum member_state s = state_of(rec);

	return ((s == MEMBER_ALIVE || s == MEMBER_SUSPECT) &&
	    (zone.n == 0 || bstr_eq(member_str(&rec->e.zone), zone)));
}

uint32_t
member_live(const struct membership *m, struct bstr zone,
    struct member_info *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n && n < max; i++) {
		if (is_live(&m->members[i], zone))
			out[n++] = make_info(&m->members[i]);
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
		n = n < m->peer_base[i] ? m->peer_base[i] : n;
	return (n);
}

uint32_t
member_majority(const struct membership *m)
{
	uint32_t n = member_base(m);

	return (n == 0 ? 0 : n / 2 + 1);
}

static bool
is_eligible(const struct member_record *rec, const struct member_choice *c)
{
	if (!is_live(rec, c->zone))
		return (false);
	for (uint32_t i = 0; i < c->n_avoid_zones; i++) {
		if (member_text_eq(&rec->e.zone, &c->avoid_zones[i]))
			return (false);
	}
	for (uint32_t i = 0; i < c->n_avoid; i++) {
		if (vmid_eq(&rec->e.id, &c->avoid[i]))
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
		const struct member_record *rec = &m->members[i];
		uint64_t score = vmid_score(&rec->e.id, key);
		uint32_t at = n;

		if (!is_eligible(rec, choice))
			continue;
		while (at > 0 && vmid_score(&out[at - 1].id, key) < score)
			at--;
		if (at == max)
			continue;
		if (n < max)
			n++;
		for (uint32_t j = n - 1; j > at; j--)
			out[j] = out[j - 1];
		out[at] = make_info(rec);
	}
	return (n);
}

/*
 * Whether the member left gracefully and its process ended. Its work was handed
 * over before that.
 */
static bool
has_left(const struct member_record *rec)
{
	return (rec->e.leaving && rec->e.health == MEMBER_HEALTH_DEAD);
}

uint32_t
member_all(const struct membership *m, struct member_info *out, uint32_t max)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < m->n && n < max; i++) {
		const struct member_record *rec = &m->members[i];

		if (rec->replaced || rec->dropped || has_left(rec))
			continue;
		out[n++] = make_info(rec);
	}
	return (n);
}
