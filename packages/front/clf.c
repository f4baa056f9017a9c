#include "front/clf.h"

#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

#include "front/fe.h"
#include "front/svc.h"
#include "front/wrk.h"
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
clf_table_new(void)
{
	return (g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free));
}

static enum flt_verdict
stop(struct call *c, enum err_kind kind)
{
	c->err = kind;
	return (FLT_STOP);
}

static struct cmsg_key
key_of(const struct call *c)
{
	struct bstr v = call_header_in(c, "Idempotency-Key");
	struct cmsg_key key = {.n = (uint8_t)v.n};

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
	/* The zero bytes keep the three parts apart. */
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
	struct cmsg_claim *m = xcalloc(sizeof(*m));
	struct clf_wait *wait = xcalloc(sizeof(*wait));

	wait->ref = wrk_next_ref(c->w);
	wait->call = c;
	wait->key = key_of(c);
	c->claim.wait = wait;
	g_hash_table_insert(wrk_claims(c->w), &wait->ref, wait);
	m->m.type = CMSG_CLAIM;
	m->reply_to = wrk_replies(c->w);
	m->ref = wait->ref;
	snprintf(
	    m->service, sizeof(m->service), "%.*s", BSTR_ARG(c->svc->name));
	m->key = wait->key;
	m->fingerprint = fingerprint(c);
	m->deadline_us = c->deadline_us;
	msgq_push(control, &m->m);
}

enum flt_verdict
clf_request(struct flt *f, struct call *c)
{
	struct env *env = wrk_env(c->w);
	struct bstr key;

	(void)f;
	if (!c->keyed || c->claim.granted)
		return (FLT_NEXT);
	key = call_header_in(c, "Idempotency-Key");
	if (key.n == 0 || key.n > CMSG_KEY_MAX)
		return (stop(c, ERR_BAD_REQUEST));
	if (c->body_len > (int64_t)env->max_keyed_body ||
	    c->body.n > env->max_keyed_body)
		return (stop(c, ERR_BODY_TOO_LARGE));
	wrk_timer_set(c->w, c, c->deadline_us);
	if (!c->body_done) {
		c->body_kept = true;
		c->wait = CALL_WAIT_BODY;
		return (FLT_WAIT);
	}
	if (env->control == NULL) {
		wrk_timer_clear(c->w, c);
		c->wait = CALL_WAIT_NONE;
		return (stop(c, ERR_CLAIM_UNAVAILABLE));
	}
	c->wait = CALL_WAIT_CLAIM;
	push_claim(c, env->control);
	return (FLT_WAIT);
}

static struct cmsg_finish *
new_finish(
    const struct cmsg_key *key, uint64_t attempt, enum cmsg_outcome outcome)
{
	struct cmsg_finish *m = xcalloc(sizeof(*m));

	m->m.type = CMSG_FINISH;
	m->key = *key;
	m->attempt = attempt;
	m->outcome = outcome;
	return (m);
}

static void
keep_response(const struct call *c, struct cmsg_response *r)
{
	struct bstr type = rhd_find(&c->head, BSTR("Content-Type"));

	r->status = c->status;
	r->body_omitted = c->kept_omitted;
	if (type.n > CMSG_TYPE_TEXT_MAX) {
		r->body_omitted = true;
		type.n = 0;
	}
	if (type.n != 0)
		memcpy(r->content_type, type.p, type.n);
	if (r->body_omitted || c->kept.n == 0)
		return;
	r->body_len = (uint16_t)c->kept.n;
	memcpy(r->body, c->kept.p, c->kept.n);
}

void
clf_finish(struct call *c, enum cmsg_outcome outcome)
{
	struct cmsg_finish *m;
	struct cmsg_key key;

	if (!c->claim.granted || c->claim.finished)
		return;
	c->claim.finished = true;
	key = key_of(c);
	m = new_finish(&key, c->claim.attempt, outcome);
	if (outcome == CMSG_RUN_DONE)
		keep_response(c, &m->response);
	msgq_push(wrk_env(c->w)->control, &m->m);
}

static void
apply(struct call *c, struct cmsg_claim_reply *r)
{
	c->owner_decided = r->verdict != CMSG_UNAVAILABLE;
	switch (r->verdict) {
	case CMSG_GRANTED:
		c->claim.granted = true;
		c->claim.attempt = r->attempt;
		c->claim.valid_until_us = r->valid_until_us;
		if (r->valid_until_us < c->deadline_us)
			c->deadline_us = r->valid_until_us;
		return;
	case CMSG_DONE:
		c->claim.replay = r;
		return;
	case CMSG_IN_PROGRESS:
		c->err = ERR_CLAIM_IN_PROGRESS;
		return;
	case CMSG_UNKNOWN:
		c->err = ERR_CLAIM_UNKNOWN;
		return;
	case CMSG_MISMATCH:
		c->err = ERR_CLAIM_MISMATCH;
		return;
	case CMSG_UNAVAILABLE:
		break;
	}
	c->err = ERR_CLAIM_UNAVAILABLE;
}

void
clf_on_reply(struct wrk *w, struct cmsg_claim_reply *r)
{
	struct clf_wait *wait = g_hash_table_lookup(wrk_claims(w), &r->ref);
	struct call *c;

	if (wait == NULL) {
		free(r);
		return;
	}
	c = wait->call;
	if (c == NULL && r->verdict == CMSG_GRANTED)
		msgq_push(wrk_env(w)->control,
		    &new_finish(&wait->key, r->attempt, CMSG_RUN_NOT_RUN)->m);
	g_hash_table_remove(wrk_claims(w), &r->ref);
	if (c == NULL) {
		free(r);
		return;
	}
	c->claim.wait = NULL;
	c->wait = CALL_WAIT_NONE;
	wrk_timer_clear(w, c);
	apply(c, r);
	if (r != c->claim.replay)
		free(r);
	if (c->claim.granted)
		flt_continue(c);
	else
		fe_on_end(c);
}

void
clf_on_timer(struct call *c)
{
	bool asked = c->wait == CALL_WAIT_CLAIM;

	clf_abandon(c);
	c->err = asked ? ERR_CLAIM_UNAVAILABLE : ERR_DEADLINE;
	fe_on_end(c);
}

bool
clf_may_send(const struct call *c, int64_t now_us)
{
	return (!c->keyed ||
	    (c->claim.granted && !c->claim.finished &&
		now_us < c->claim.valid_until_us));
}

void
clf_abandon(struct call *c)
{
	if (c->wait == CALL_WAIT_BODY || c->wait == CALL_WAIT_CLAIM) {
		c->wait = CALL_WAIT_NONE;
		wrk_timer_clear(c->w, c);
	}
	if (c->claim.wait != NULL) {
		c->claim.wait->call = NULL;
		c->claim.wait = NULL;
	}
	clf_finish(
	    c, c->sent == CALL_NOT_SENT ? CMSG_RUN_NOT_RUN : CMSG_RUN_UNKNOWN);
}
