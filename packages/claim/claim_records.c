#include "claim/claim.h"
#include "claim/claim_internal.h"

#include <stdlib.h>
#include <string.h>

void *
claim_alloc(size_t n)
{
	void *m = calloc(1, n == 0 ? 1 : n);

	if (m == NULL)
		abort();
	return (m);
}

struct claim_effect *
claim_emit(struct claim_out *out, enum claim_effect_type type)
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

static size_t
copy_bytes(char *to, struct bstr *s)
{
	if (s->n != 0)
		memcpy(to, s->p, s->n);
	s->p = to;
	return (s->n);
}

static size_t
msg_bytes(const struct claim_msg *m)
{
	return (m->service.n + m->key.n + m->result.content_type.n +
	    m->result.body.n);
}

struct claim_msg *
claim_msg_dup(const struct claim_msg *m)
{
	struct claim_msg *d = claim_alloc(sizeof(*d));
	size_t at = 0;

	*d = *m;
	d->mem = claim_alloc(msg_bytes(m));
	at += copy_bytes(d->mem + at, &d->service);
	at += copy_bytes(d->mem + at, &d->key);
	at += copy_bytes(d->mem + at, &d->result.content_type);
	copy_bytes(d->mem + at, &d->result.body);
	return (d);
}

static void
free_msg(struct claim_msg *m)
{
	if (m == NULL)
		return;
	free(m->mem);
	free(m);
}

void
claim_out_clear(struct claim_out *out)
{
	for (uint32_t i = 0; i < out->n; i++)
		free_msg(out->v[i].msg);
	out->n = 0;
}

void
claim_out_finish(struct claim_out *out)
{
	claim_out_clear(out);
	free(out->v);
	*out = (struct claim_out){0};
}

void
claim_post(struct claims *c, const struct vm_id *to, struct claim_msg *m,
    int64_t now, struct claim_out *out)
{
	struct claim_effect *e;

	if (vmid_eq(to, &c->desc.self)) {
		claim_on_msg(c, to, m, now, out);
		free_msg(m);
		return;
	}
	e = claim_emit(out, CLAIM_SEND);
	e->to = *to;
	e->msg = m;
}

static uint64_t
hash_of(struct bstr service, struct bstr key)
{
	return (bstr_hash(key, bstr_hash(service, 0)));
}

uint32_t
claim_partition(struct bstr service, struct bstr key)
{
	return ((uint32_t)(hash_of(service, key) % PARTITION_COUNT));
}

struct claim_rec *
claim_rec_find(const struct claims *c, struct bstr service, struct bstr key)
{
	uint64_t hash = hash_of(service, key);
	struct claim_rec *r = c->bucket[hash / PARTITION_COUNT % c->n_buckets];

	while (r != NULL &&
	    (r->hash != hash || !bstr_eq(r->m->key, key) ||
		!bstr_eq(r->m->service, service)))
		r = r->hash_next;
	return (r);
}

static void
list_add_part(struct claim_list *l, struct claim_rec *r)
{
	r->part_prev = l->tail;
	r->part_next = NULL;
	if (l->tail != NULL)
		l->tail->part_next = r;
	else
		l->head = r;
	l->tail = r;
	l->n++;
}

static void
list_del_part(struct claim_list *l, struct claim_rec *r)
{
	if (r->part_prev != NULL)
		r->part_prev->part_next = r->part_next;
	else
		l->head = r->part_next;
	if (r->part_next != NULL)
		r->part_next->part_prev = r->part_prev;
	else
		l->tail = r->part_prev;
	l->n--;
}

static void
list_add_dirty(struct claim_list *l, struct claim_rec *r)
{
	r->dirty_prev = l->tail;
	r->dirty_next = NULL;
	if (l->tail != NULL)
		l->tail->dirty_next = r;
	else
		l->head = r;
	l->tail = r;
	l->n++;
}

static void
list_del_dirty(struct claim_list *l, struct claim_rec *r)
{
	if (r->dirty_prev != NULL)
		r->dirty_prev->dirty_next = r->dirty_next;
	else
		l->head = r->dirty_next;
	if (r->dirty_next != NULL)
		r->dirty_next->dirty_prev = r->dirty_prev;
	else
		l->tail = r->dirty_prev;
	l->n--;
}

void
claim_rec_set_dirty(
    struct claims *c, struct claim_rec *r, bool dirty, int64_t now)
{
	if (r->dirty == dirty)
		return;
	r->dirty = dirty;
	if (dirty) {
		r->next_send_ms = now;
		list_add_dirty(&c->dirty, r);
		c->part[r->partition].n_dirty++;
	} else {
		list_del_dirty(&c->dirty, r);
		c->part[r->partition].n_dirty--;
	}
}

void
claim_rec_set(struct claims *c, struct claim_rec *r, const struct claim_msg *m)
{
	struct claim_msg *d = claim_msg_dup(m);

	c->n_bytes -= r->bytes;
	free_msg(r->m);
	r->m = d;
	r->m->type = CLAIM_MSG_RECORD;
	r->bytes = (uint32_t)(sizeof(*r) + sizeof(*d) + msg_bytes(d));
	c->n_bytes += r->bytes;
}

struct claim_rec *
claim_rec_new(struct claims *c, const struct claim_msg *m)
{
	uint64_t hash = hash_of(m->service, m->key);
	struct claim_rec **slot;
	struct claim_rec *r;

	if (c->n_records >= c->desc.max_records ||
	    c->n_bytes + msg_bytes(m) > c->desc.max_bytes)
		return (NULL);
	r = claim_alloc(sizeof(*r));
	r->hash = hash;
	r->partition = (uint32_t)(hash % PARTITION_COUNT);
	claim_rec_set(c, r, m);
	slot = &c->bucket[hash / PARTITION_COUNT % c->n_buckets];
	r->hash_next = *slot;
	*slot = r;
	list_add_part(&c->part[r->partition].recs, r);
	c->n_records++;
	return (r);
}

void
claim_rec_free(struct claims *c, struct claim_rec *r)
{
	struct claim_rec **slot =
	    &c->bucket[r->hash / PARTITION_COUNT % c->n_buckets];

	while (*slot != r)
		slot = &(*slot)->hash_next;
	*slot = r->hash_next;
	claim_rec_set_dirty(c, r, false, 0);
	list_del_part(&c->part[r->partition].recs, r);
	c->n_records--;
	c->n_bytes -= r->bytes;
	free_msg(r->m);
	free(r);
}

struct claim_rec *
claim_rec_rotate(struct claims *c)
{
	struct claim_rec *r = c->dirty.head;

	list_del_dirty(&c->dirty, r);
	list_add_dirty(&c->dirty, r);
	return (r);
}
