#include "claim/claim_internal.h"

#include <stdlib.h>
#include <string.h>

#define REQS_PER_BUCKET 16
/*
 * An ended request is kept for this time to return a late grant. A grant that
 * arrives later is not returned and expires to unknown at the owner.
 */
#define ENDED_KEEP_MS 30000
#define FINISH_GIVE_UP_MS 600000
#define FINISH_RESEND_MAX_MS 2000

/** enum req_state - state of a request of this process */
enum req_state {
	REQ_WAIT,    /* the claim was sent and has no verdict yet */
	REQ_GRANTED, /* a worker runs the request */
	REQ_REPORT,  /* the owner has not yet confirmed the report */
	REQ_ENDED,   /* ended without a grant; a late grant is returned */
};

/**
 * struct claim_req - request of this process
 * @m: claim message, which later becomes the report
 * @gave_up: the report returns a grant that was not used, as not run; no
 *	CLAIM_FINISHED follows
 * @first_ms: local time at which the claim was first sent
 * @end_ms: local time at which the request is removed; unused in REQ_WAIT
 */
struct claim_req {
	struct claim_req *next;
	enum req_state state;
	struct claim_msg *m;
	uint32_t partition;
	bool gave_up;
	int64_t first_ms;
	int64_t deadline_ms;
	int64_t next_send_ms;
	int64_t backoff_ms;
	int64_t end_ms;
};

static struct claim_req **
slot_of(struct claims *c, uint64_t id)
{
	struct claim_req **r = &c->req_bucket[id % c->n_req_buckets];

	while (*r != NULL && (*r)->m->request_id != id)
		r = &(*r)->next;
	return (r);
}

static void
free_msg(struct claim_msg *m)
{
	free(m->mem);
	free(m);
}

static void
remove_req(struct claims *c, uint64_t id)
{
	struct claim_req **slot = slot_of(c, id);
	struct claim_req *r = *slot;

	if (r == NULL)
		return;
	*slot = r->next;
	free_msg(r->m);
	free(r);
	c->n_requests--;
}

void
claim_req_init(struct claims *c)
{
	c->n_req_buckets = c->desc.max_requests / REQS_PER_BUCKET + 1;
	c->req_bucket =
	    claim_alloc(c->n_req_buckets * sizeof(struct claim_req *));
}

void
claim_req_finish(struct claims *c)
{
	for (uint32_t b = 0; b < c->n_req_buckets; b++) {
		while (c->req_bucket[b] != NULL)
			remove_req(c, c->req_bucket[b]->m->request_id);
	}
	free(c->req_bucket);
}

/*
 * A message to this process is handled at once, so the request may already be
 * freed when this function returns.
 */
static void
send_req(
    struct claims *c, struct claim_req *r, int64_t now, struct claim_out *out)
{
	const struct vm_id *owner = &c->part[r->partition].view.owner;

	r->next_send_ms = now + r->backoff_ms;
	if (!vmid_is_none(owner))
		claim_post(c, owner, claim_msg_dup(r->m), now, out);
}

bool
claim_claim(struct claims *c, const struct claim_request *q, int64_t now_ms,
    struct claim_out *out)
{
	struct claim_msg m = {.type = CLAIM_MSG_CLAIM,
	    .service = q->service,
	    .key = q->key,
	    .fingerprint = q->fingerprint,
	    .ingress = c->desc.self,
	    .request_id = q->id};
	struct claim_req **slot = slot_of(c, q->id);
	struct claim_req *r;

	if (q->key.n == 0 || q->key.n > CLAIM_NAME_MAX || q->service.n == 0 ||
	    q->service.n > CLAIM_NAME_MAX || *slot != NULL ||
	    c->n_requests >= c->desc.max_requests)
		return (false);
	r = claim_alloc(sizeof(*r));
	r->m = claim_msg_dup(&m);
	r->partition = claim_partition(q->service, q->key);
	r->first_ms = now_ms;
	r->deadline_ms = q->deadline_ms;
	r->backoff_ms = c->desc.resend_ms;
	*slot = r;
	c->n_requests++;
	send_req(c, r, now_ms, out);
	return (true);
}

static void
start_report(struct claims *c, struct claim_req *r, enum claim_outcome outcome,
    int64_t now, struct claim_out *out)
{
	r->m->type = CLAIM_MSG_FINISH;
	r->m->outcome = outcome;
	r->state = REQ_REPORT;
	r->backoff_ms = c->desc.resend_ms;
	r->end_ms = now + FINISH_GIVE_UP_MS;
	send_req(c, r, now, out);
}

static void
give_up(
    struct claims *c, struct claim_req *r, int64_t now, struct claim_out *out)
{
	struct claim_effect *e = claim_emit(out, CLAIM_VERDICT);

	e->request_id = r->m->request_id;
	e->verdict = CLAIM_V_UNAVAILABLE;
	r->gave_up = true;
	start_report(c, r, CLAIM_O_NOT_RUN, now, out);
}

bool
claim_finish_request(struct claims *c, uint64_t id, enum claim_outcome outcome,
    const struct claim_result *result, int64_t now_ms, struct claim_out *out)
{
	struct claim_req *r = *slot_of(c, id);
	struct claim_msg *old;
	struct claim_msg m;

	if (r == NULL || r->state != REQ_GRANTED)
		return (false);
	old = r->m;
	m = *old;
	if (outcome == CLAIM_O_DONE && result != NULL) {
		m.result = *result;
		if (m.result.content_type.n > CLAIM_NAME_MAX)
			m.result.content_type.n = 0;
		if (m.result.body.n > CLAIM_BODY_MAX) {
			m.result.body = (struct bstr){0};
			m.result.omitted = true;
		}
	}
	r->m = claim_msg_dup(&m);
	free_msg(old);
	start_report(c, r, outcome, now_ms, out);
	return (true);
}

static void
on_granted(
    struct claims *c, struct claim_req *r, int64_t now, struct claim_out *out)
{
	int64_t left = r->first_ms + c->desc.validity_ms - now;
	struct claim_effect *e;

	if (left <= 0) {
		give_up(c, r, now, out);
		return;
	}
	e = claim_emit(out, CLAIM_VERDICT);
	e->request_id = r->m->request_id;
	e->verdict = CLAIM_V_GRANTED;
	e->valid_for_ms = left;
	r->state = REQ_GRANTED;
	r->end_ms = now + c->desc.validity_ms + c->desc.max_call_ms;
}

void
claim_req_on_verdict(struct claims *c, const struct claim_msg *m, int64_t now,
    struct claim_out *out)
{
	struct claim_req *r = *slot_of(c, m->request_id);
	struct claim_effect *e;

	if (r == NULL)
		return;
	if (r->state == REQ_ENDED && m->verdict == CLAIM_V_GRANTED) {
		r->gave_up = true;
		start_report(c, r, CLAIM_O_NOT_RUN, now, out);
		return;
	}
	if (r->state != REQ_WAIT)
		return;
	if (m->verdict == CLAIM_V_GRANTED) {
		on_granted(c, r, now, out);
		return;
	}
	r->state = REQ_ENDED;
	r->end_ms = now + ENDED_KEEP_MS;
	e = claim_emit(out, CLAIM_VERDICT);
	e->request_id = m->request_id;
	e->verdict = m->verdict;
	e->msg = claim_msg_dup(m);
}

void
claim_req_on_finish_ack(struct claims *c, const struct claim_msg *m,
    int64_t now, struct claim_out *out)
{
	struct claim_req *r = *slot_of(c, m->request_id);

	if (r == NULL || r->state != REQ_REPORT)
		return;
	if (r->gave_up) {
		r->state = REQ_ENDED;
		r->end_ms = now + ENDED_KEEP_MS;
		return;
	}
	claim_emit(out, CLAIM_FINISHED)->request_id = m->request_id;
	remove_req(c, m->request_id);
}

void
claim_req_on_owner(struct claims *c, uint32_t partition, int64_t now)
{
	for (uint32_t b = 0; b < c->n_req_buckets; b++) {
		for (struct claim_req *r = c->req_bucket[b]; r != NULL;
		     r = r->next) {
			if (r->partition == partition)
				r->next_send_ms = now;
		}
	}
}

static void
tick_req(
    struct claims *c, struct claim_req *r, int64_t now, struct claim_out *out)
{
	if (r->state == REQ_WAIT && now >= r->deadline_ms) {
		give_up(c, r, now, out);
		return;
	}
	if (r->state != REQ_WAIT && now >= r->end_ms) {
		remove_req(c, r->m->request_id);
		return;
	}
	if (now < r->next_send_ms)
		return;
	if (r->state == REQ_REPORT && r->backoff_ms < FINISH_RESEND_MAX_MS)
		r->backoff_ms *= 2;
	if (r->state == REQ_WAIT || r->state == REQ_REPORT)
		send_req(c, r, now, out);
}

void
claim_req_tick(struct claims *c, int64_t now, struct claim_out *out)
{
	if (c->n_requests == 0)
		return;
	for (uint32_t b = 0; b < c->n_req_buckets; b++) {
		struct claim_req *r = c->req_bucket[b];

		while (r != NULL) {
			struct claim_req *next = r->next;

			tick_req(c, r, now, out);
			r = next;
		}
	}
}
