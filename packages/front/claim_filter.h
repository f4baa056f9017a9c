/*
 * claim_filter - claims of keyed requests, over messages to the control thread.
 *
 * A keyed request is buffered whole, its key is claimed, and it is sent only
 * under a grant. Each grant is answered with exactly one finish.
 */
#ifndef FRONT_CLAIM_FILTER_H
#define FRONT_CLAIM_FILTER_H

#include <glib.h>

#include "front/call.h"
#include "front/worker_msg.h"
#include "front/filter.h"

/**
 * struct claim_filter_wait - claim without reply; outlives a call that gives up
 */
struct claim_filter_wait {
	uint64_t ref;
	struct call *call;
	struct worker_msg_key key;
};

/** claim_filter_table_new() - pending claims by reference */
GHashTable *claim_filter_table_new(void);

/** claim_filter_request() - the claim filter */
enum filter_verdict claim_filter_request(struct filter *f, struct call *c);

/** claim_filter_on_reply() - a reply of the control thread; frees it */
void claim_filter_on_reply(struct worker *w, struct worker_msg_claim_reply *r);

/** claim_filter_on_timer() - the deadline came before the reply */
void claim_filter_on_timer(struct call *c);

/**
 * claim_filter_may_send() - whether the grant of a keyed call is valid at
 * @now_us
 */
bool claim_filter_may_send(const struct call *c, int64_t now_us);

/**
 * claim_filter_finish() - report the end of the attempt under the call's grant
 */
void claim_filter_finish(struct call *c, enum worker_msg_outcome outcome);

/**
 * claim_filter_abandon() - the call goes away
 *
 * A pending claim is left to its reply, an open grant is reported.
 */
void claim_filter_abandon(struct call *c);

#endif
