#include "peer/claim_codec.h"

#include <stdlib.h>
#include <string.h>

#include "peer/msgpack_io.h"

#define PARTITION_MSG_FIELDS 5
#define ROW_FIELDS 5
#define CLAIM_MSG_FIELDS 18
/* Limit of epochs, sequence numbers and times; leaves room to add to them. */
#define MAX_NUMBER ((uint64_t)1 << 62)
#define MAX_STATUS 999
/* 30 days, which is longer than any retention that the settings allow. */
#define MAX_AGE_MS ((uint64_t)30 * 24 * 3600 * 1000)

static void
put_row(struct mpack_writer *w, const struct partition_entry *r)
{
	mpack_put_array(w, ROW_FIELDS);
	mpack_put_uint(w, r->epoch);
	mpack_put_vmid(w, &r->owner);
	mpack_put_vmid(w, &r->replica[0]);
	mpack_put_vmid(w, &r->replica[1]);
	mpack_put_uint(w, (uint64_t)r->quarantined_until);
}

void
claim_codec_put_partition(struct bbuf *out, const struct partition_msg *m)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, PARTITION_MSG_FIELDS);
	mpack_put_uint(&w, (uint64_t)m->type);
	mpack_put_uint(&w, m->version);
	mpack_put_uint(&w, (uint64_t)m->sent_ms);
	mpack_put_array(&w, m->n_items);
	for (uint32_t i = 0; i < m->n_items; i++) {
		mpack_put_array(&w, 2);
		mpack_put_uint(&w, m->items[i].partition);
		mpack_put_uint(&w, m->items[i].epoch);
	}
	mpack_put_array(&w, m->table == NULL ? 0 : PARTITION_COUNT);
	for (uint32_t i = 0; m->table != NULL && i < PARTITION_COUNT; i++)
		put_row(&w, &m->table->part[i]);
}

static bool
row_ok(const struct partition_entry *r)
{
	const struct vm_id *a = &r->replica[0], *b = &r->replica[1];

	if (r->epoch == 0 || vmid_is_none(&r->owner))
		return (false);
	if (vmid_eq(a, &r->owner) || vmid_eq(b, &r->owner))
		return (false);
	return (vmid_is_none(a) || !vmid_eq(a, b));
}

static bool
get_row(struct mpack_reader *r, struct partition_entry *row)
{
	mpack_enter(r, ROW_FIELDS);
	row->epoch = mpack_uint(r, MAX_NUMBER);
	row->owner = mpack_vmid(r);
	row->replica[0] = mpack_vmid(r);
	row->replica[1] = mpack_vmid(r);
	row->quarantined_until = (int64_t)mpack_uint(r, MAX_NUMBER);
	mpack_leave(r);
	return (mpack_ok(r) && row_ok(row));
}

static bool
get_table(struct mpack_reader *r, struct partition_msg *m)
{
	uint32_t n = mpack_enter_list(r, PARTITION_COUNT);
	bool ok = true;

	if (!mpack_ok(r) ||
	    n != (m->type == PARTITION_MSG_TABLE ? PARTITION_COUNT : 0))
		return (false);
	if (n != 0) {
		m->table = calloc(1, sizeof(*m->table));
		if (m->table == NULL)
			abort();
		m->table->version = m->version;
	}
	for (uint32_t i = 0; i < n && ok; i++)
		ok = get_row(r, &m->table->part[i]);
	mpack_leave(r);
	return (ok);
}

static bool
get_partition_msg(struct mpack_reader *r, struct partition_msg *m)
{
	mpack_enter(r, PARTITION_MSG_FIELDS);
	m->type = (enum partition_msg_type)mpack_uint(r, PARTITION_MSG_PULL);
	m->version = mpack_uint(r, MAX_NUMBER);
	m->sent_ms = (int64_t)mpack_uint(r, MAX_NUMBER);
	m->n_items = mpack_enter_list(r, PARTITION_COUNT);
	for (uint32_t i = 0; i < m->n_items; i++) {
		mpack_enter(r, 2);
		m->items[i].partition =
		    (uint32_t)mpack_uint(r, PARTITION_COUNT - 1);
		m->items[i].epoch = mpack_uint(r, MAX_NUMBER);
		mpack_leave(r);
	}
	mpack_leave(r);
	if (!mpack_ok(r) || m->type == 0 || !get_table(r, m))
		return (false);
	mpack_leave(r);
	return (mpack_ok(r));
}

bool
claim_codec_get_partition(struct partition_msg *m, struct bstr bytes)
{
	struct mpack_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpack_reader_init(&r, bytes);
	ok = get_partition_msg(&r, m);
	mpack_reader_finish(&r);
	if (!ok)
		partition_msg_finish(m);
	return (ok);
}

void
claim_codec_put_claim(struct bbuf *out, const struct claim_msg *m)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, CLAIM_MSG_FIELDS);
	mpack_put_uint(&w, (uint64_t)m->type);
	mpack_put_str(&w, m->service);
	mpack_put_str(&w, m->key);
	mpack_put_uint(&w, m->fingerprint);
	mpack_put_vmid(&w, &m->ingress);
	mpack_put_uint(&w, m->request_id);
	mpack_put_uint(&w, (uint64_t)m->verdict);
	mpack_put_uint(&w, (uint64_t)m->outcome);
	mpack_put_uint(&w, m->epoch);
	mpack_put_uint(&w, m->ver.epoch);
	mpack_put_uint(&w, m->ver.seq);
	mpack_put_uint(&w, (uint64_t)m->state);
	mpack_put_uint(&w, m->age_ms < 0 ? 0 : (uint64_t)m->age_ms);
	mpack_put_bool(&w, m->accepted);
	mpack_put_uint(&w, m->result.status);
	mpack_put_str(&w, m->result.content_type);
	mpack_put_str(&w, m->result.body);
	mpack_put_bool(&w, m->result.omitted);
}

static void
get_claim_msg(struct mpack_reader *r, struct claim_msg *m)
{
	mpack_enter(r, CLAIM_MSG_FIELDS);
	m->type = (enum claim_msg_type)mpack_uint(r, CLAIM_MSG_RECORD_ACK);
	m->service = mpack_str(r, CLAIM_NAME_MAX);
	m->key = mpack_str(r, CLAIM_NAME_MAX);
	m->fingerprint = mpack_uint(r, UINT64_MAX);
	m->ingress = mpack_vmid(r);
	m->request_id = mpack_uint(r, UINT64_MAX);
	m->verdict = (enum claim_verdict)mpack_uint(r, CLAIM_V_UNAVAILABLE);
	m->outcome = (enum claim_outcome)mpack_uint(r, CLAIM_O_UNKNOWN);
	m->epoch = mpack_uint(r, MAX_NUMBER);
	m->ver.epoch = mpack_uint(r, MAX_NUMBER);
	m->ver.seq = mpack_uint(r, MAX_NUMBER);
	m->state = (enum claim_state)mpack_uint(r, CLAIM_FREE);
	m->age_ms = (int64_t)mpack_uint(r, MAX_AGE_MS);
	m->accepted = mpack_bool(r);
	m->result.status = (uint32_t)mpack_uint(r, MAX_STATUS);
	m->result.content_type = mpack_str(r, CLAIM_NAME_MAX);
	m->result.body = mpack_str(r, CLAIM_BODY_MAX);
	m->result.omitted = mpack_bool(r);
	mpack_leave(r);
}

/* Whether the fields that the message type requires are set. */
static bool
claim_msg_ok(const struct claim_msg *m)
{
	bool named = m->service.n != 0 && m->key.n != 0;

	switch (m->type) {
	case CLAIM_MSG_CLAIM:
		return (named);
	case CLAIM_MSG_VERDICT:
		return (m->verdict != 0);
	case CLAIM_MSG_FINISH:
		return (named && m->outcome != 0);
	case CLAIM_MSG_FINISH_ACK:
		return (true);
	case CLAIM_MSG_RECORD:
		return (named && m->state != 0 && m->epoch != 0 &&
		    !vmid_is_none(&m->ingress));
	case CLAIM_MSG_RECORD_ACK:
		return (named && (m->state == 0 || !vmid_is_none(&m->ingress)));
	}
	return (false);
}

/* Copies the strings from the reader's memory to memory that @m owns. */
static void
copy_strings(struct claim_msg *m)
{
	struct bstr *s[] = {
	    &m->service, &m->key, &m->result.content_type, &m->result.body};
	size_t at = 0;

	for (size_t i = 0; i < sizeof(s) / sizeof(s[0]); i++)
		at += s[i]->n;
	m->mem = malloc(at + 1);
	if (m->mem == NULL)
		abort();
	at = 0;
	for (size_t i = 0; i < sizeof(s) / sizeof(s[0]); i++) {
		if (s[i]->n != 0)
			memcpy(m->mem + at, s[i]->p, s[i]->n);
		s[i]->p = m->mem + at;
		at += s[i]->n;
	}
}

bool
claim_codec_get_claim(struct claim_msg *m, struct bstr bytes)
{
	struct mpack_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpack_reader_init(&r, bytes);
	get_claim_msg(&r, m);
	ok = mpack_ok(&r) && claim_msg_ok(m);
	if (ok)
		copy_strings(m);
	mpack_reader_finish(&r);
	return (ok);
}

void
claim_codec_claim_finish(struct claim_msg *m)
{
	free(m->mem);
	m->mem = NULL;
}
