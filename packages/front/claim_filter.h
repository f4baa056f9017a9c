/*
 * claim_filter - claims idempotency keys through the control thread.
 *
 * A keyed request is buffered completely. Then the filter claims its key, and
 * the request is sent only if the claim is granted. Each grant is followed by
 * exactly one finish message.
 *
 *	verdict = claim_filter_request(f, c);       (in the filter chain)
 *	claim_filter_finish(c, outcome);            (the attempt has ended)
 */
#ifndef FRONT_CLAIM_FILTER_H
#define FRONT_CLAIM_FILTER_H

#include <glib.h>

#include "front/call.h"
#include "front/filter.h"
#include "front/worker_msg.h"

/**
 * struct claim_filter_pending - claim that has not been answered yet
 * @ref: reference of the claim, key in the table of pending claims
 * @call: call that waits, NULL when it ended before the reply
 * @key: idempotency key
 *
 * It outlives a call that ends before the reply, so that a late grant can still
 * be finished.
 */
struct claim_filter_pending {
	uint64_t ref;
	struct call *call;
	struct worker_msg_key key;
};

/** claim_filter_has_key() - whether the head has a key that can be claimed */
bool claim_filter_has_key(const struct call *c);

/**
 * claim_filter_table_new() - new table of pending claims by reference; free it
 * with g_hash_table_unref()
 */
GHashTable *claim_filter_table_new(void);

/**
 * claim_filter_request() - request operation of the claim filter
 *
 * Calls without an idempotency key pass unchanged.
 */
enum filter_verdict claim_filter_request(struct filter *f, struct call *c);

/** claim_filter_on_reply() - handle and free a reply of the control thread */
void claim_filter_on_reply(struct worker *w, struct worker_msg_claim_reply *r);

/** claim_filter_on_timer() - end a call whose wait reached its deadline */
void claim_filter_on_timer(struct call *c);

/**
 * claim_filter_may_send() - whether the request may be sent at @now_us
 *
 * A keyed call needs a valid grant; any other call may always be sent.
 */
bool claim_filter_may_send(const struct call *c, int64_t now_us);

/**
 * claim_filter_finish() - report the outcome of the attempt under the grant
 *
 * Does nothing without a grant or when the outcome was already reported.
 */
void claim_filter_finish(struct call *c, enum worker_msg_outcome outcome);

/**
 * claim_filter_abandon() - detach the claim from a call that ends early
 *
 * A pending claim stays in the table until its reply arrives. The outcome of an
 * open grant is reported.
 */
void claim_filter_abandon(struct call *c);

#endif
