#include "peer/pclm.h"

#include <stdlib.h>
#include <string.h>

#include "peer/mpk.h"

#define PRT_FIELDS 5
#define ROW_FIELDS 5
#define CLM_FIELDS 18
/* Leaves room to add to an epoch or sequence number without overflow. */
#define MAX_NUMBER ((uint64_t)1 << 62)
#define MAX_STATUS 999
/* Ages above 30 days are of no use to any setting. */
#define MAX_AGE_MS ((uint64_t)30 * 24 * 3600 * 1000)

static void
put_row(struct mpk_writer *w, const struct partition_entry *r)
{
	mpk_put_array(w, ROW_FIELDS);
	mpk_put_uint(w, r->epoch);
	mpk_put_vmid(w, &r->owner);
	mpk_put_vmid(w, &r->replica[0]);
	mpk_put_vmid(w, &r->replica[1]);
	mpk_put_uint(w, (uint64_t)r->quarantined_until);
}

void
pclm_put_prt(struct bbuf *out, const struct partition_msg *m)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, PRT_FIELDS);
	mpk_put_uint(&w, (uint64_t)m->type);
	mpk_put_uint(&w, m->version);
	mpk_put_uint(&w, (uint64_t)m->sent_ms);
	mpk_put_array(&w, m->n_items);
	for (uint32_t i = 0; i < m->n_items; i++) {
		mpk_put_array(&w, 2);
		mpk_put_uint(&w, m->items[i].partition);
		mpk_put_uint(&w, m->items[i].epoch);
	}
	mpk_put_array(&w, m->table == NULL ? 0 : PARTITION_COUNT);
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
get_row(struct mpk_reader *r, struct partition_entry *row)
{
	mpk_enter(r, ROW_FIELDS);
	row->epoch = mpk_uint(r, MAX_NUMBER);
	row->owner = mpk_vmid(r);
	row->replica[0] = mpk_vmid(r);
	row->replica[1] = mpk_vmid(r);
	row->quarantined_until = (int64_t)mpk_uint(r, MAX_NUMBER);
	mpk_leave(r);
	return (mpk_ok(r) && row_ok(row));
}

static bool
get_table(struct mpk_reader *r, struct partition_msg *m)
{
	uint32_t n = mpk_enter_list(r, PARTITION_COUNT);
	bool ok = true;

	if (!mpk_ok(r) ||
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
	mpk_leave(r);
	return (ok);
}

static bool
get_prt(struct mpk_reader *r, struct partition_msg *m)
{
	mpk_enter(r, PRT_FIELDS);
	m->type = (enum partition_msg_type)mpk_uint(r, PARTITION_MSG_PULL);
	m->version = mpk_uint(r, MAX_NUMBER);
	m->sent_ms = (int64_t)mpk_uint(r, MAX_NUMBER);
	m->n_items = mpk_enter_list(r, PARTITION_COUNT);
	for (uint32_t i = 0; i < m->n_items; i++) {
		mpk_enter(r, 2);
		m->items[i].partition =
		    (uint32_t)mpk_uint(r, PARTITION_COUNT - 1);
		m->items[i].epoch = mpk_uint(r, MAX_NUMBER);
		mpk_leave(r);
	}
	mpk_leave(r);
	if (!mpk_ok(r) || m->type == 0 || !get_table(r, m))
		return (false);
	mpk_leave(r);
	return (mpk_ok(r));
}

bool
pclm_get_prt(struct partition_msg *m, struct bstr bytes)
{
	struct mpk_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpk_reader_init(&r, bytes);
	ok = get_prt(&r, m);
	mpk_reader_finish(&r);
	if (!ok)
		partition_msg_finish(m);
	return (ok);
}

void
pclm_put_clm(struct bbuf *out, const struct claim_msg *m)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, CLM_FIELDS);
	mpk_put_uint(&w, (uint64_t)m->type);
	mpk_put_str(&w, m->service);
	mpk_put_str(&w, m->key);
	mpk_put_uint(&w, m->fingerprint);
	mpk_put_vmid(&w, &m->ingress);
	mpk_put_uint(&w, m->request_id);
	mpk_put_uint(&w, (uint64_t)m->verdict);
	mpk_put_uint(&w, (uint64_t)m->outcome);
	mpk_put_uint(&w, m->epoch);
	mpk_put_uint(&w, m->ver.epoch);
	mpk_put_uint(&w, m->ver.seq);
	mpk_put_uint(&w, (uint64_t)m->state);
	mpk_put_uint(&w, m->age_ms < 0 ? 0 : (uint64_t)m->age_ms);
	mpk_put_bool(&w, m->accepted);
	mpk_put_uint(&w, m->result.status);
	mpk_put_str(&w, m->result.content_type);
	mpk_put_str(&w, m->result.body);
	mpk_put_bool(&w, m->result.omitted);
}

static void
get_clm(struct mpk_reader *r, struct claim_msg *m)
{
	mpk_enter(r, CLM_FIELDS);
	m->type = (enum claim_msg_type)mpk_uint(r, CLAIM_MSG_RECORD_ACK);
	m->service = mpk_str(r, CLAIM_NAME_MAX);
	m->key = mpk_str(r, CLAIM_NAME_MAX);
	m->fingerprint = mpk_uint(r, UINT64_MAX);
	m->ingress = mpk_vmid(r);
	m->request_id = mpk_uint(r, UINT64_MAX);
	m->verdict = (enum claim_verdict)mpk_uint(r, CLAIM_V_UNAVAILABLE);
	m->outcome = (enum claim_outcome)mpk_uint(r, CLAIM_O_UNKNOWN);
	m->epoch = mpk_uint(r, MAX_NUMBER);
	m->ver.epoch = mpk_uint(r, MAX_NUMBER);
	m->ver.seq = mpk_uint(r, MAX_NUMBER);
	m->state = (enum claim_state)mpk_uint(r, CLAIM_FREE);
	m->age_ms = (int64_t)mpk_uint(r, MAX_AGE_MS);
	m->accepted = mpk_bool(r);
	m->result.status = (uint32_t)mpk_uint(r, MAX_STATUS);
	m->result.content_type = mpk_str(r, CLAIM_NAME_MAX);
	m->result.body = mpk_str(r, CLAIM_BODY_MAX);
	m->result.omitted = mpk_bool(r);
	mpk_leave(r);
}

/* What each type needs beyond the shape. */
static bool
clm_ok(const struct claim_msg *m)
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

static void
own_strings(struct claim_msg *m)
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
pclm_get_clm(struct claim_msg *m, struct bstr bytes)
{
	struct mpk_reader r;
	bool ok;

	memset(m, 0, sizeof(*m));
	mpk_reader_init(&r, bytes);
	get_clm(&r, m);
	ok = mpk_ok(&r) && clm_ok(m);
	if (ok)
		own_strings(m);
	mpk_reader_finish(&r);
	return (ok);
}

void
pclm_clm_finish(struct claim_msg *m)
{
	free(m->mem);
	m->mem = NULL;
}
