#include "claim/claim.h"
#include "claim/claim_internal.h"

#include <stdlib.h>
#include <string.h>

#define MAX_RECORDS 262144
#define MAX_BYTES ((uint64_t)64 << 20)
#define MAX_REQUESTS 65536
#define RETENTION_MS 3600000
#define VALIDITY_MS 5000
#define MAX_CALL_MS 30000
#define RESEND_MS 200
#define RESEND_BATCH 256
/*
 * Longer than a claim message may be queued in a connection, so that a late
 * duplicate of a claim still finds its record.
 */
#define FREE_KEEP_MS 120000
/*
 * Replicas keep records longer than the owner, so that a new owner never holds
 * fewer records than the previous one.
 */
#define REPLICA_EXTRA_MS 60000
/* Ticks in which all buckets are searched once for expired records. */
#define SWEEP_TICKS 20

static bool
confirmed(const struct claims *c, const struct claim_rec *r, int64_t now)
{
	const struct claim_part *p = &c->part[r->partition];

	if (!p->view.acting ||
	    (r->acked & p->required_bits) != p->required_bits)
		return (false);
	return (!p->view.unreplicated || now < p->view.store_lease_end);
}

static void
send_verdict(struct claims *c, const struct vm_id *to, uint64_t id,
    enum claim_verdict verdict, const struct claim_rec *r, int64_t now,
    struct claim_out *out)
{
	struct claim_msg m = {.type = CLAIM_MSG_VERDICT,
	    .ingress = *to,
	    .request_id = id,
	    .verdict = verdict};

	if (verdict == CLAIM_V_DONE)
		m.result = r->m->result;
	claim_post(c, to, claim_msg_dup(&m), now, out);
}

static void
send_finish_ack(struct claims *c, const struct vm_id *to, uint64_t id,
    int64_t now, struct claim_out *out)
{
	struct claim_msg m = {
	    .type = CLAIM_MSG_FINISH_ACK, .ingress = *to, .request_id = id};

	claim_post(c, to, claim_msg_dup(&m), now, out);
}

/* Notifies the ingress VM if that is pending and the record is confirmed. */
static void
notify(
    struct claims *c, struct claim_rec *r, int64_t now, struct claim_out *out)
{
	struct vm_id to = r->m->ingress;
	uint64_t id = r->m->request_id;

	if (!r->notify || !confirmed(c, r, now))
		return;
	r->notify = false;
	if (r->m->state == CLAIM_GRANTED)
		send_verdict(c, &to, id, CLAIM_V_GRANTED, r, now, out);
	else
		send_finish_ack(c, &to, id, now, out);
}

static void
send_record(
    struct claims *c, struct claim_rec *r, int64_t now, struct claim_out *out)
{
	struct claim_part *p = &c->part[r->partition];

	r->next_send_ms = now + c->desc.resend_ms;
	r->m->epoch = p->view.epoch;
	r->m->age_ms = now - r->since_ms;
	for (uint32_t k = 0; k < p->n_peer; k++) {
		if ((r->acked & (1U << k)) == 0)
			claim_post(
			    c, &p->peer[k], claim_msg_dup(r->m), now, out);
	}
}

/*
 * Gives a changed record a new version and replicates it. Confirms it at once
 * if no acknowledgement is required.
 */
static void
replicate_change(
    struct claims *c, struct claim_rec *r, int64_t now, struct claim_out *out)
{
	struct claim_part *p = &c->part[r->partition];

	r->m->ver = (struct claim_ver){p->view.epoch, ++p->seq};
	r->since_ms = now;
	r->acked = 0;
	if (p->n_peer != 0) {
		claim_rec_set_dirty(c, r, true, now);
		send_record(c, r, now, out);
	}
	notify(c, r, now, out);
}

static int
ver_cmp(struct claim_ver a, struct claim_ver b)
{
	if (a.epoch != b.epoch)
		return (a.epoch < b.epoch ? -1 : 1);
	if (a.seq != b.seq)
		return (a.seq < b.seq ? -1 : 1);
	return (0);
}

static void
replace_content(struct claims *c, struct claim_rec *r,
    const struct claim_msg *m, int64_t now)
{
	claim_rec_set(c, r, m);
	r->since_ms = now - (m->age_ms < 0 ? 0 : m->age_ms);
	r->acked = 0;
	r->notify = false;
}

/* Whether a record message is from the newest known owner; raises the fence. */
static bool
accept_epoch(struct claim_part *p, const struct vm_id *from, uint64_t epoch)
{
	if (epoch < p->fence || epoch < p->view.epoch)
		return (false);
	if (epoch == p->view.epoch && !vmid_eq(&p->view.owner, from))
		return (false);
	p->fence = epoch;
	return (true);
}

static void
on_record(struct claims *c, const struct vm_id *from, const struct claim_msg *m,
    int64_t now, struct claim_out *out)
{
	struct claim_part *p = &c->part[claim_partition(m->service, m->key)];
	struct claim_rec *r = claim_rec_find(c, m->service, m->key);
	struct claim_msg ack = {.type = CLAIM_MSG_RECORD_ACK,
	    .service = m->service,
	    .key = m->key,
	    .epoch = m->epoch,
	    .ver = m->ver};

	if (!accept_epoch(p, from, m->epoch))
		return;
	if (r == NULL) {
		r = claim_rec_new(c, m);
		if (r == NULL)
			return;
		r->since_ms = now - (m->age_ms < 0 ? 0 : m->age_ms);
	} else if (ver_cmp(m->ver, r->m->ver) > 0) {
		replace_content(c, r, m, now);
	} else if (ver_cmp(m->ver, r->m->ver) < 0) {
		ack = *r->m;
		ack.type = CLAIM_MSG_RECORD_ACK;
		ack.epoch = m->epoch;
		ack.age_ms = now - r->since_ms;
	}
	ack.accepted = true;
	claim_post(c, from, claim_msg_dup(&ack), now, out);
}

static void
check_copied(struct claims *c, uint32_t i, struct claim_out *out)
{
	struct claim_part *p = &c->part[i];
	struct claim_effect *e;

	if (!p->view.acting || vmid_is_none(&p->view.joiner) ||
	    (!p->promoted && p->n_dirty != 0))
		return;
	/*
	 * The joiner is required from here on: no record may be confirmed
	 * without it while the table that names it is being written.
	 */
	p->promoted = true;
	p->required_bits = p->all_bits;
	e = claim_emit(out, CLAIM_COPIED);
	e->to = p->view.joiner;
	e->partition = i;
}

static void
on_record_ack(struct claims *c, const struct vm_id *from,
    const struct claim_msg *m, int64_t now, struct claim_out *out)
{
	struct claim_rec *r = claim_rec_find(c, m->service, m->key);
	struct claim_part *p;
	int order;

	if (r == NULL || !m->accepted)
		return;
	p = &c->part[r->partition];
	order = ver_cmp(m->ver, r->m->ver);
	if (!p->view.acting || order < 0 || m->ver.epoch > p->view.epoch)
		return;
	if (order > 0) {
		if (m->state == 0)
			return;
		replace_content(c, r, m, now);
		claim_rec_set_dirty(c, r, true, now);
	}
	for (uint32_t k = 0; k < p->n_peer; k++) {
		if (vmid_eq(&p->peer[k], from))
			r->acked |= 1U << k;
	}
	if ((r->acked & p->all_bits) == p->all_bits)
		claim_rec_set_dirty(c, r, false, now);
	notify(c, r, now, out);
}

/* Translates bits of the old peers to the positions in the new peers. */
static uint32_t
map_bits(
    const struct claim_part *old, const struct claim_part *p, uint32_t bits)
{
	uint32_t mapped = 0;

	for (uint32_t k = 0; k < p->n_peer; k++) {
		for (uint32_t j = 0; j < old->n_peer; j++) {
			if ((bits & (1U << j)) != 0 &&
			    vmid_eq(&p->peer[k], &old->peer[j]))
				mapped |= 1U << k;
		}
	}
	return (mapped);
}

static void
set_peers(
    struct claim_part *p, const struct partition_view *v, bool was_promoted)
{
	bool has_joiner = v->acting && !vmid_is_none(&v->joiner);

	p->n_peer = v->acting ? v->n_required : 0;
	for (uint32_t k = 0; k < p->n_peer; k++) {
		p->peer[k] = v->required[k];
		/* A required process already gets every record. */
		if (vmid_eq(&v->joiner, &v->required[k]))
			has_joiner = false;
	}
	p->required_bits = (1U << p->n_peer) - 1;
	if (has_joiner)
		p->peer[p->n_peer++] = v->joiner;
	p->all_bits = (1U << p->n_peer) - 1;
	p->promoted = was_promoted;
	if (p->promoted)
		p->required_bits = p->all_bits;
}

/* Whether no other process has owned the partition since the old view. */
static bool
kept_ownership(const struct claim_part *old, const struct partition_view *v)
{
	return (vmid_eq(&old->view.owner, &v->owner) &&
	    v->epoch <= old->view.epoch + 1);
}

/*
 * A record that is confirmed from here on must outrank any version that an
 * earlier owner replicated to some process without confirming it.
 */
static void
renew_version(struct claim_part *p, struct claim_rec *r)
{
	r->m->ver = (struct claim_ver){p->view.epoch, ++p->seq};
	r->acked = 0;
}

static void
recheck_records(struct claims *c, struct claim_part *p,
    const struct claim_part *old, int64_t now, struct claim_out *out)
{
	bool kept = kept_ownership(old, &p->view);
	struct claim_rec *next;

	for (struct claim_rec *r = p->recs.head; r != NULL; r = next) {
		next = r->part_next;
		if (kept)
			r->acked = map_bits(old, p, r->acked);
		else
			renew_version(p, r);
		claim_rec_set_dirty(
		    c, r, (r->acked & p->all_bits) != p->all_bits, now);
		notify(c, r, now, out);
	}
}

void
claim_on_view(struct claims *c, const struct partition_view *v, int64_t now_ms,
    struct claim_out *out)
{
	struct claim_part *p = &c->part[v->partition];
	struct claim_part old = *p;
	bool same_joiner =
	    !vmid_is_none(&v->joiner) && vmid_eq(&v->joiner, &old.view.joiner);

	if (v->epoch < p->view.epoch)
		return;
	p->view = *v;
	if (v->acting) {
		set_peers(p, v, same_joiner && old.promoted);
		recheck_records(c, p, &old, now_ms, out);
		check_copied(c, v->partition, out);
	} else {
		for (struct claim_rec *r = p->recs.head; r != NULL;
		     r = r->part_next) {
			claim_rec_set_dirty(c, r, false, now_ms);
			r->acked = 0;
		}
		p->n_peer = p->required_bits = p->all_bits = 0;
		p->promoted = false;
	}
	if (!vmid_eq(&v->owner, &old.view.owner))
		claim_req_on_owner(c, v->partition, now_ms);
}

/*
 * Sets a grant without a report to unknown when its validity and the longest
 * call have passed, and frees a record at the end of its retention. Returns
 * whether the record was freed.
 */
static bool
expire(
    struct claims *c, struct claim_rec *r, int64_t now, struct claim_out *out)
{
	const struct claim_part *p = &c->part[r->partition];
	int64_t age = now - r->since_ms;
	int64_t keep = c->desc.retention_ms;

	if (p->view.acting && r->m->state == CLAIM_GRANTED &&
	    age > c->desc.validity_ms + c->desc.max_call_ms) {
		r->m->state = CLAIM_UNKNOWN;
		r->notify = false;
		replicate_change(c, r, now, out);
		return (false);
	}
	if (p->view.acting && r->m->state == CLAIM_FREE && keep > FREE_KEEP_MS)
		keep = FREE_KEEP_MS;
	if (!p->view.acting)
		keep += REPLICA_EXTRA_MS;
	if (age <= keep)
		return (false);
	claim_rec_free(c, r);
	return (true);
}

static bool
is_attempt(const struct claim_rec *r, const struct vm_id *from, uint64_t id)
{
	return (r->m->request_id == id && vmid_eq(&r->m->ingress, from));
}

static bool
quarantined(const struct claims *c, const struct claim_part *p, int64_t now)
{
	return (now + c->wall_offset_ms < p->view.quarantined_until);
}

static void
grant(struct claims *c, struct claim_rec *r, const struct vm_id *from,
    const struct claim_msg *m, int64_t now, struct claim_out *out)
{
	struct claim_msg g = {.service = m->service,
	    .key = m->key,
	    .fingerprint = m->fingerprint,
	    .ingress = *from,
	    .request_id = m->request_id,
	    .state = CLAIM_GRANTED};

	if (r == NULL)
		r = claim_rec_new(c, &g);
	else
		claim_rec_set(c, r, &g);
	if (r == NULL) {
		send_verdict(
		    c, from, m->request_id, CLAIM_V_UNAVAILABLE, r, now, out);
		return;
	}
	r->notify = true;
	replicate_change(c, r, now, out);
}

/* Answers a claim of a key that has a record which is not free. */
static void
answer_from_record(struct claims *c, struct claim_rec *r,
    const struct vm_id *from, const struct claim_msg *m, int64_t now,
    struct claim_out *out)
{
	enum claim_verdict v = CLAIM_V_UNKNOWN;

	if (r->m->state == CLAIM_GRANTED &&
	    is_attempt(r, from, m->request_id)) {
		r->notify = true;
		notify(c, r, now, out);
		return;
	}
	if (r->m->fingerprint != m->fingerprint)
		v = CLAIM_V_MISMATCH;
	else if (r->m->state == CLAIM_GRANTED)
		v = CLAIM_V_IN_PROGRESS;
	else if (r->m->state == CLAIM_DONE)
		v = CLAIM_V_DONE;
	send_verdict(c, from, m->request_id, v, r, now, out);
}

static void
on_claim(struct claims *c, const struct vm_id *from, const struct claim_msg *m,
    int64_t now, struct claim_out *out)
{
	struct claim_part *p = &c->part[claim_partition(m->service, m->key)];
	struct claim_rec *r = claim_rec_find(c, m->service, m->key);

	if (!p->view.acting)
		return;
	if (r != NULL && expire(c, r, now, out))
		r = NULL;
	if (r != NULL && r->m->state != CLAIM_FREE) {
		answer_from_record(c, r, from, m, now, out);
		return;
	}
	/* A late duplicate of a claim whose attempt was reported as not run. */
	if (r != NULL && is_attempt(r, from, m->request_id))
		return;
	if (quarantined(c, p, now))
		send_verdict(
		    c, from, m->request_id, CLAIM_V_UNKNOWN, r, now, out);
	else if (!p->view.unreplicated || now < p->view.store_lease_end)
		grant(c, r, from, m, now, out);
}

static enum claim_state
state_after(enum claim_outcome o)
{
	if (o == CLAIM_O_DONE)
		return (CLAIM_DONE);
	return (o == CLAIM_O_NOT_RUN ? CLAIM_FREE : CLAIM_UNKNOWN);
}

static void
apply_report(struct claims *c, struct claim_rec *r, const struct claim_msg *m,
    int64_t now, struct claim_out *out)
{
	struct claim_msg d = *r->m;

	d.state = state_after(m->outcome);
	d.result = m->result;
	claim_rec_set(c, r, &d);
	r->notify = true;
	replicate_change(c, r, now, out);
}

static void
on_finish(struct claims *c, const struct vm_id *from, const struct claim_msg *m,
    int64_t now, struct claim_out *out)
{
	struct claim_part *p = &c->part[claim_partition(m->service, m->key)];
	struct claim_rec *r = claim_rec_find(c, m->service, m->key);
	enum claim_state next = state_after(m->outcome);

	if (!p->view.acting)
		return;
	if (r == NULL || !is_attempt(r, from, m->request_id)) {
		send_finish_ack(c, from, m->request_id, now, out);
		return;
	}
	if (r->m->state == CLAIM_GRANTED ||
	    (r->m->state == CLAIM_UNKNOWN && next != CLAIM_UNKNOWN)) {
		apply_report(c, r, m, now, out);
		return;
	}
	r->notify = true;
	notify(c, r, now, out);
}

void
claim_on_msg(struct claims *c, const struct vm_id *from,
    const struct claim_msg *m, int64_t now_ms, struct claim_out *out)
{
	switch (m->type) {
	case CLAIM_MSG_CLAIM:
		on_claim(c, from, m, now_ms, out);
		break;
	case CLAIM_MSG_VERDICT:
		claim_req_on_verdict(c, m, now_ms, out);
		break;
	case CLAIM_MSG_FINISH:
		on_finish(c, from, m, now_ms, out);
		break;
	case CLAIM_MSG_FINISH_ACK:
		claim_req_on_finish_ack(c, m, now_ms, out);
		break;
	case CLAIM_MSG_RECORD:
		on_record(c, from, m, now_ms, out);
		break;
	case CLAIM_MSG_RECORD_ACK:
		on_record_ack(c, from, m, now_ms, out);
		break;
	}
}

static void
resend_dirty(struct claims *c, int64_t now, struct claim_out *out)
{
	uint32_t left = c->dirty.n;
	uint32_t sent = 0;

	while (left-- > 0 && sent < c->desc.batch) {
		struct claim_rec *r = claim_rec_rotate(c);

		if (now < r->next_send_ms)
			continue;
		send_record(c, r, now, out);
		sent++;
	}
}

static void
sweep(struct claims *c, int64_t now, struct claim_out *out)
{
	uint32_t n = c->n_buckets / SWEEP_TICKS + 1;

	if (c->n_records == 0)
		return;
	while (n-- > 0) {
		struct claim_rec *r = c->bucket[c->sweep];

		while (r != NULL) {
			struct claim_rec *next = r->hash_next;

			expire(c, r, now, out);
			r = next;
		}
		c->sweep = (c->sweep + 1) % c->n_buckets;
	}
}

void
claim_tick(
    struct claims *c, int64_t now_ms, int64_t wall_ms, struct claim_out *out)
{
	c->wall_offset_ms = wall_ms - now_ms;
	sweep(c, now_ms, out);
	resend_dirty(c, now_ms, out);
	for (uint32_t i = 0; i < PARTITION_COUNT; i++)
		check_copied(c, i, out);
	claim_req_tick(c, now_ms, out);
}

static void
set_defaults(struct claim_desc *d)
{
	if (d->max_records == 0)
		d->max_records = MAX_RECORDS;
	if (d->max_bytes == 0)
		d->max_bytes = MAX_BYTES;
	if (d->max_requests == 0)
		d->max_requests = MAX_REQUESTS;
	if (d->retention_ms == 0)
		d->retention_ms = RETENTION_MS;
	if (d->validity_ms == 0)
		d->validity_ms = VALIDITY_MS;
	if (d->max_call_ms == 0)
		d->max_call_ms = MAX_CALL_MS;
	if (d->resend_ms == 0)
		d->resend_ms = RESEND_MS;
	if (d->batch == 0)
		d->batch = RESEND_BATCH;
}

void
claim_init(struct claims *c, const struct claim_desc *desc)
{
	memset(c, 0, sizeof(*c));
	c->desc = *desc;
	set_defaults(&c->desc);
	c->n_buckets = c->desc.max_records / 2 + 1;
	c->bucket = claim_alloc(c->n_buckets * sizeof(struct claim_rec *));
	claim_req_init(c);
}

void
claim_finish(struct claims *c)
{
	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		while (c->part[i].recs.head != NULL)
			claim_rec_free(c, c->part[i].recs.head);
	}
	free(c->bucket);
	claim_req_finish(c);
}
