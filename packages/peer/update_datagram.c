#include "peer/update_datagram.h"

#include <stdlib.h>

#include "peer/msgpack_io.h"

/*
 * Types from 16 up distinguish these datagrams from those of move_datagram.h,
 * which begin with a lower type. Type 16 was an update without ages, which told
 * the receivers to rely on VMs that could not reach the store.
 */
#define TYPE_RAW 17
#define TYPE_UPDATE 18
#define RAW_FIELDS 5
#define HEAD_FIELDS (4 + 3 * STORE_KINDS)
#define CHANGE_FIELDS 10
#define MAX_SLOTS 100000

static void
put_change(struct mpack_writer *w, const struct update_datagram_change *c)
{
	static const struct obj_upstream none = {
	    .service = "", .address = "", .zone = "", .version = ""};
	const struct obj_upstream *e = c->entry == NULL ? &none : c->entry;

	mpack_put_array(w, CHANGE_FIELDS);
	mpack_put_str(w, bstr_from(c->id));
	mpack_put_bool(w, c->entry != NULL);
	mpack_put_str(w, bstr_from(e->service));
	mpack_put_str(w, bstr_from(e->address));
	mpack_put_str(w, bstr_from(e->zone));
	mpack_put_str(w, bstr_from(e->version));
	mpack_put_uint(w, e->slots);
	mpack_put_bool(w, e->draining);
	mpack_put_uint(w, (uint64_t)e->cold_ms);
	mpack_put_uint(w, (uint64_t)e->start_time_ms);
}

void
update_datagram_encode(struct bbuf *out,
    const struct update_datagram_head *head,
    const struct update_datagram_change *changes, uint32_t n)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, HEAD_FIELDS);
	mpack_put_uint(&w, TYPE_UPDATE);
	mpack_put_str(&w, bstr_from(head->vm));
	for (int k = 0; k < STORE_KINDS; k++) {
		mpack_put_uint(&w, (uint64_t)head->revision[k]);
		mpack_put_uint(&w, head->digest[k]);
		mpack_put_uint(&w, (uint64_t)head->age_ms[k]);
	}
	mpack_put_bool(&w, head->last);
	mpack_put_array(&w, n);
	for (uint32_t i = 0; i < n; i++)
		put_change(&w, &changes[i]);
}

static char *
get_text(struct mpack_reader *r)
{
	return (bstr_dup(mpack_str(r, UPDATE_DATAGRAM_NAME_MAX)));
}

static void
get_change(struct mpack_reader *r, struct update_datagram_change *c)
{
	struct obj_upstream *e = calloc(1, sizeof(*e));
	bool present;

	if (e == NULL)
		abort();
	mpack_enter(r, CHANGE_FIELDS);
	e->id = get_text(r);
	present = mpack_bool(r);
	e->service = get_text(r);
	e->address = get_text(r);
	e->zone = get_text(r);
	e->version = get_text(r);
	e->slots = (uint32_t)mpack_uint(r, MAX_SLOTS);
	e->draining = mpack_bool(r);
	e->cold_ms = (int64_t)mpack_uint(r, INT32_MAX);
	e->start_time_ms = (int64_t)mpack_uint(r, INT64_MAX);
	mpack_leave(r);
	c->id = bstr_dup(bstr_from(e->id));
	c->entry = e;
	if (present)
		return;
	obj_upstream_finish(e);
	free(e);
	c->entry = NULL;
}

bool
update_datagram_decode(struct bstr bytes, struct update_datagram_head *head,
    struct update_datagram_change *changes, uint32_t *n)
{
	struct mpack_reader r;
	struct bstr vm;
	bool ok;

	*head = (struct update_datagram_head){0};
	*n = 0;
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, HEAD_FIELDS);
	ok = mpack_uint(&r, TYPE_UPDATE) == TYPE_UPDATE && mpack_ok(&r);
	vm = mpack_str(&r, UPDATE_DATAGRAM_NAME_MAX);
	if (vm.n != 0)
		memcpy(head->vm, vm.p, vm.n);
	for (int k = 0; k < STORE_KINDS; k++) {
		head->revision[k] = (int64_t)mpack_uint(&r, INT64_MAX);
		head->digest[k] = mpack_uint(&r, UINT64_MAX);
		head->age_ms[k] =
		    (int64_t)mpack_uint(&r, UPDATE_DATAGRAM_AGE_UNKNOWN);
	}
	head->last = mpack_bool(&r);
	*n = ok ? mpack_enter_list(&r, UPDATE_DATAGRAM_MAX_CHANGES) : 0;
	for (uint32_t i = 0; i < *n; i++)
		get_change(&r, &changes[i]);
	if (ok)
		mpack_leave(&r);
	mpack_leave(&r);
	ok = ok && mpack_ok(&r) && head->vm[0] != '\0';
	mpack_reader_finish(&r);
	if (ok)
		return (true);
	update_datagram_free(changes, *n);
	*n = 0;
	return (false);
}

void
update_datagram_encode_raw(
    struct bbuf *out, const struct update_datagram_raw *raw)
{
	struct mpack_writer w;
	struct bstr bytes;

	bytes.p = g_bytes_get_data(raw->bytes, &bytes.n);
	mpack_writer_init(&w, out);
	mpack_put_array(&w, RAW_FIELDS);
	mpack_put_uint(&w, TYPE_RAW);
	mpack_put_str(&w, bstr_from(raw->vm));
	mpack_put_uint(&w, (uint64_t)raw->kind);
	mpack_put_uint(&w, (uint64_t)raw->base);
	mpack_put_str(&w, bytes);
}

bool
update_datagram_decode_raw(struct bstr bytes, struct update_datagram_raw *raw)
{
	struct mpack_reader r;
	struct bstr vm, body;
	bool ok;

	*raw = (struct update_datagram_raw){0};
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, RAW_FIELDS);
	ok = mpack_uint(&r, TYPE_RAW) == TYPE_RAW && mpack_ok(&r);
	vm = mpack_str(&r, UPDATE_DATAGRAM_NAME_MAX);
	if (vm.n != 0)
		memcpy(raw->vm, vm.p, vm.n);
	raw->kind = (enum store_kind)mpack_uint(&r, STORE_KINDS - 1);
	raw->base = (int64_t)mpack_uint(&r, INT64_MAX);
	body = mpack_str(&r, UPDATE_DATAGRAM_MAX_RAW_BYTES);
	mpack_leave(&r);
	ok = ok && mpack_ok(&r) && raw->vm[0] != '\0' && body.n != 0;
	if (ok)
		raw->bytes = g_bytes_new(body.p, body.n);
	mpack_reader_finish(&r);
	return (ok);
}

void
update_datagram_free(struct update_datagram_change *changes, uint32_t n)
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
