#include "peer/pnw.h"

#include <stdlib.h>

#include "peer/mpk.h"

/* Distinguishes these datagrams from those of pmv.h, which begin with a type
 * below it. */
#define TYPE_NEWS 16
#define TYPE_TOLD 17
#define TOLD_FIELDS 5
#define HEAD_FIELDS (4 + 2 * STORE_KINDS)
#define CHANGE_FIELDS 10
#define MAX_SLOTS 100000

static void
put_change(struct mpk_writer *w, const struct pnw_change *c)
{
	static const struct obj_upstream none = {
	    .service = "", .address = "", .zone = "", .version = ""};
	const struct obj_upstream *e = c->entry == NULL ? &none : c->entry;

	mpk_put_array(w, CHANGE_FIELDS);
	mpk_put_str(w, bstr_from(c->id));
	mpk_put_bool(w, c->entry != NULL);
	mpk_put_str(w, bstr_from(e->service));
	mpk_put_str(w, bstr_from(e->address));
	mpk_put_str(w, bstr_from(e->zone));
	mpk_put_str(w, bstr_from(e->version));
	mpk_put_uint(w, e->slots);
	mpk_put_bool(w, e->draining);
	mpk_put_uint(w, (uint64_t)e->cold_ms);
	mpk_put_uint(w, (uint64_t)e->born_ms);
}

void
pnw_encode(struct bbuf *out, const struct pnw_head *head,
    const struct pnw_change *changes, uint32_t n)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, HEAD_FIELDS);
	mpk_put_uint(&w, TYPE_NEWS);
	mpk_put_str(&w, bstr_from(head->vm));
	for (int k = 0; k < STORE_KINDS; k++) {
		mpk_put_uint(&w, (uint64_t)head->revision[k]);
		mpk_put_uint(&w, head->digest[k]);
	}
	mpk_put_bool(&w, head->last);
	mpk_put_array(&w, n);
	for (uint32_t i = 0; i < n; i++)
		put_change(&w, &changes[i]);
}

static char *
get_text(struct mpk_reader *r)
{
	return (bstr_dup(mpk_str(r, PNW_NAME_MAX)));
}

static void
get_change(struct mpk_reader *r, struct pnw_change *c)
{
	struct obj_upstream *e = calloc(1, sizeof(*e));
	bool there;

	if (e == NULL)
		abort();
	mpk_enter(r, CHANGE_FIELDS);
	e->id = get_text(r);
	there = mpk_bool(r);
	e->service = get_text(r);
	e->address = get_text(r);
	e->zone = get_text(r);
	e->version = get_text(r);
	e->slots = (uint32_t)mpk_uint(r, MAX_SLOTS);
	e->draining = mpk_bool(r);
	e->cold_ms = (int64_t)mpk_uint(r, INT32_MAX);
	e->born_ms = (int64_t)mpk_uint(r, INT64_MAX);
	mpk_leave(r);
	c->id = bstr_dup(bstr_from(e->id));
	c->entry = e;
	if (there)
		return;
	obj_upstream_finish(e);
	free(e);
	c->entry = NULL;
}

bool
pnw_decode(struct bstr bytes, struct pnw_head *head, struct pnw_change *changes,
    uint32_t *n)
{
	struct mpk_reader r;
	struct bstr vm;
	bool ok;

	*head = (struct pnw_head){0};
	*n = 0;
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, HEAD_FIELDS);
	ok = mpk_uint(&r, TYPE_NEWS) == TYPE_NEWS && mpk_ok(&r);
	vm = mpk_str(&r, PNW_NAME_MAX);
	if (vm.n != 0)
		memcpy(head->vm, vm.p, vm.n);
	for (int k = 0; k < STORE_KINDS; k++) {
		head->revision[k] = (int64_t)mpk_uint(&r, INT64_MAX);
		head->digest[k] = mpk_uint(&r, UINT64_MAX);
	}
	head->last = mpk_bool(&r);
	*n = ok ? mpk_enter_list(&r, PNW_MAX_CHANGES) : 0;
	for (uint32_t i = 0; i < *n; i++)
		get_change(&r, &changes[i]);
	if (ok)
		mpk_leave(&r);
	mpk_leave(&r);
	ok = ok && mpk_ok(&r) && head->vm[0] != '\0';
	mpk_reader_finish(&r);
	if (ok)
		return (true);
	pnw_free(changes, *n);
	*n = 0;
	return (false);
}

void
pnw_encode_told(struct bbuf *out, const struct pnw_told *told)
{
	struct mpk_writer w;
	struct bstr bytes;

	bytes.p = g_bytes_get_data(told->bytes, &bytes.n);
	mpk_writer_init(&w, out);
	mpk_put_array(&w, TOLD_FIELDS);
	mpk_put_uint(&w, TYPE_TOLD);
	mpk_put_str(&w, bstr_from(told->vm));
	mpk_put_uint(&w, (uint64_t)told->kind);
	mpk_put_uint(&w, (uint64_t)told->base);
	mpk_put_str(&w, bytes);
}

bool
pnw_decode_told(struct bstr bytes, struct pnw_told *told)
{
	struct mpk_reader r;
	struct bstr vm, body;
	bool ok;

	*told = (struct pnw_told){0};
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, TOLD_FIELDS);
	ok = mpk_uint(&r, TYPE_TOLD) == TYPE_TOLD && mpk_ok(&r);
	vm = mpk_str(&r, PNW_NAME_MAX);
	if (vm.n != 0)
		memcpy(told->vm, vm.p, vm.n);
	told->kind = (enum store_kind)mpk_uint(&r, STORE_KINDS - 1);
	told->base = (int64_t)mpk_uint(&r, INT64_MAX);
	body = mpk_str(&r, PNW_MAX_TOLD);
	mpk_leave(&r);
	ok = ok && mpk_ok(&r) && told->vm[0] != '\0' && body.n != 0;
	if (ok)
		told->bytes = g_bytes_new(body.p, body.n);
	mpk_reader_finish(&r);
	return (ok);
}

void
pnw_free(struct pnw_change *changes, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++) {
		struct obj_upstream *e =
		    (struct obj_upstream *)(uintptr_t)changes[i].entry;

		free((char *)(uintptr_t)changes[i].id);
		if (e != NULL)
			obj_upstream_finish(e);
		free(e);
	}
}
