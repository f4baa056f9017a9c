#include "front/claim_filter.h"

#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "front/caller_side.h"
#include "front/worker.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

static void *
xcalloc(size_t size)
{
	void *p = calloc(1, size);

	if (p == NULL)
		abort();
	return (p);
}

GHashTable *
claim_filter_table_new(void)
{
	return (g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free));
}

bool
claim_filter_has_key(const struct call *c)
{
	return (worker_shared_state(c->w)->has_claims &&
	    MHD_lookup_connection_value(
		c->conn, MHD_HEADER_KIND, "Idempotency-Key") != NULL);
}

static enum filter_verdict
stop(struct call *c, enum err_kind kind)
{
	c->err = kind;
	return (FILTER_STOP);
}

static struct worker_msg_key
key_of(const struct call *c)
{
	struct bstr v = call_header_in(c, "Idempotency-Key");
	struct worker_msg_key key = {.n = (uint8_t)v.n};

	memcpy(key.s, v.p, v.n);
	return (key);
}

static uint64_t
fingerprint(const struct call *c)
{
	XXH64_state_t *s = XXH64_createState();
	uint64_t h;

	if (s == NULL)
		abort();
	XXH64_reset(s, 0);
	/* The terminating zero bytes separate method, target and body. */
	XXH64_update(s, c->method.p, c->method.n + 1);
	XXH64_update(s, c->target.p, c->target.n + 1);
	if (c->body.n != 0)
		XXH64_update(s, c->body.p, c->body.n);
	h = XXH64_digest(s);
	XXH64_freeState(s);
	return (h);
}

static void
push_claim(struct call *c, struct message_queue *control)
{
	struct worker_msg_claim *m = xcalloc(sizeof(*m));
	struct claim_filter_pending *pending = xcalloc(sizeof(*pending));

	pending->ref = worker_next_ref(c->w);
	pending->call = c;
	pending->key = key_of(c);
	c->claim.pending = pending;
	g_hash_table_insert(worker_claims(c->w), &pending->ref, pending);
	m->m.type = WORKER_MSG_CLAIM;
	m->reply_to = worker_replies(c->w);
	m->ref = pending->ref;
	snprintf(m->service, sizeof(m->service), "%.*s",
	    BSTR_ARG(c->service_state->name));
	m->key = pending->key;
	m->fingerprint = fingerprint(c);
	m->deadline_us = c->deadline_us;
	msgq_push(control, &m->m);
}

enum filter_verdict
claim_filter_request(struct filter *f, struct call *c)
{
	struct shared_state *shared = worker_shared_state(c->w);
	struct bstr key;

	(void)f;
	if (!c->keyed || c->claim.granted)
		return (FILTER_NEXT);
	key = call_header_in(c, "Idempotency-Key");
	if (key.n == 0 || key.n > WORKER_MSG_KEY_MAX)
		return (stop(c, ERR_BAD_REQUEST));
	if (c->body_len > (int64_t)shared->max_keyed_body ||
	    c->body.n > shared->max_keyed_body)
		return (stop(c, ERR_BODY_TOO_LARGE));
	worker_timer_set(c->w, c, c->deadline_us);
	if (!c->body_done) {
		c->body_buffered = true;
		c->wait = CALL_WAIT_BODY;
		return (FILTER_WAIT);
	}
	if (shared->control == NULL) {
		worker_timer_clear(c->w, c);
		c->wait = CALL_WAIT_NONE;
		return (stop(c, ERR_CLAIM_UNAVAILABLE));
	}
	c->wait = CALL_WAIT_CLAIM;
	push_claim(c, shared->control);
	return (FILTER_WAIT);
}

static struct worker_msg_finish *
new_finish(const struct worker_msg_key *key, uint64_t attempt,
    enum worker_msg_outcome outcome)
{
	struct worker_msg_finish *m = xcalloc(sizeof(*m));

	m->m.type = WORKER_MSG_FINISH;
	m->key = *key;
	m->attempt = attempt;
	m->outcome = outcome;
	return (m);
}

static void
copy_response(const struct call_attempt *a, struct worker_msg_response *r)
{
	struct bstr type = response_head_find(&a->head, BSTR("Content-Type"));

	r->status = a->status;
	r->body_omitted = a->kept_omitted;
	if (type.n > WORKER_MSG_TYPE_TEXT_MAX) {
		r->body_omitted = true;
		type.n = 0;
	}
	if (type.n != 0)
		memcpy(r->content_type, type.p, type.n);
	if (r->body_omitted || a->kept.n == 0)
		return;
	r->body_len = (uint16_t)a->kept.n;
	memcpy(r->body, a->kept.p, a->kept.n);
}

void
claim_filter_finish(struct call *c, enum worker_msg_outcome outcome)
{
	struct worker_msg_finish *m;
	struct worker_msg_key key;

	if (!c->claim.granted || c->claim.finished)
		return;
	c->claim.finished = true;
	key = key_of(c);
	m = new_finish(&key, c->claim.attempt, outcome);
	if (outcome == WORKER_MSG_RUN_DONE)
		copy_response(call_current(c), &m->response);
	msgq_push(worker_shared_state(c->w)->control, &m->m);
}

static void
apply_reply(struct call *c, struct worker_msg_claim_reply *r)
{
	c->owner_decided = r->verdict != WORKER_MSG_UNAVAILABLE;
	switch (r->verdict) {
	case WORKER_MSG_GRANTED:
		c->claim.granted = true;
		c->claim.attempt = r->attempt;
		c->claim.valid_until_us = r->valid_until_us;
		if (r->valid_until_us < c->deadline_us)
			c->deadline_us = r->valid_until_us;
		return;
	case WORKER_MSG_DONE:
		c->claim.replay = r;
		return;
	case WORKER_MSG_IN_PROGRESS:
		c->err = ERR_CLAIM_IN_PROGRESS;
		return;
	case WORKER_MSG_UNKNOWN:
		c->err = ERR_CLAIM_UNKNOWN;
		return;
	case WORKER_MSG_MISMATCH:
		c->err = ERR_CLAIM_MISMATCH;
		return;
	case WORKER_MSG_UNAVAILABLE:
		break;
	}
	c->err = ERR_CLAIM_UNAVAILABLE;
}

void
claim_filter_on_reply(struct worker *w, struct worker_msg_claim_reply *r)
{
	struct claim_filter_pending *pending =
	    g_hash_table_lookup(worker_claims(w), &r->ref);
	struct call *c;

	if (pending == NULL) {
		free(r);
		return;
	}
	c = pending->call;
	if (c == NULL && r->verdict == WORKER_MSG_GRANTED)
		msgq_push(worker_shared_state(w)->control,
		    &new_finish(
			&pending->key, r->attempt, WORKER_MSG_RUN_NOT_RUN)
			 ->m);
	g_hash_table_remove(worker_claims(w), &r->ref);
	if (c == NULL) {
		free(r);
		return;
	}
	c->claim.pending = NULL;
	c->wait = CALL_WAIT_NONE;
	worker_timer_clear(w, c);
	apply_reply(c, r);
	if (r != c->claim.replay)
		free(r);
	if (c->claim.granted)
		filter_continue(c);
	else
		caller_side_on_end(c);
}

void
claim_filter_on_timer(struct call *c)
{
	bool claim_pending = c->wait == CALL_WAIT_CLAIM;

	claim_filter_abandon(c);
	c->err = claim_pending ? ERR_CLAIM_UNAVAILABLE : ERR_DEADLINE;
	caller_side_on_end(c);
}

bool
claim_filter_may_send(const struct call *c, int64_t now_us)
{
	return (!c->keyed ||
	    (c->claim.granted && !c->claim.finished &&
		now_us < c->claim.valid_until_us));
}

void
claim_filter_abandon(struct call *c)
{
	if (c->wait == CALL_WAIT_BODY || c->wait == CALL_WAIT_CLAIM) {
		c->wait = CALL_WAIT_NONE;
		worker_timer_clear(c->w, c);
	}
	if (c->claim.pending != NULL) {
		c->claim.pending->call = NULL;
		c->claim.pending = NULL;
	}
	claim_filter_finish(c,
	    call_current(c)->sent == CALL_NOT_SENT ? WORKER_MSG_RUN_NOT_RUN
						   : WORKER_MSG_RUN_UNKNOWN);
}
