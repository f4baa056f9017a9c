/*
 * clf - claims of keyed requests, over messages to the control thread.
 *
 * A keyed request is buffered whole, its key is claimed, and it is sent only
 * under a grant. Each grant is answered with exactly one finish.
 */
#ifndef FRONT_CLF_H
#define FRONT_CLF_H

#include <glib.h>

#include "front/call.h"
#include "front/cmsg.h"
#include "front/flt.h"

/** struct clf_wait - claim without reply; outlives a call that gives up */
struct clf_wait {
	uint64_t ref;
	struct call *call;
	struct cmsg_key key;
};

/** clf_table_new() - pending claims by reference */
GHashTable *clf_table_new(void);

/** clf_request() - the claim filter */
enum flt_verdict clf_request(struct flt *f, struct call *c);

/** clf_on_reply() - a reply of the control thread; frees it */
void clf_on_reply(struct wrk *w, struct cmsg_claim_reply *r);

/** clf_on_timer() - the deadline came before the reply */
void clf_on_timer(struct call *c);

/** clf_may_send() - whether the grant of a keyed call is valid at @now_us */
bool clf_may_send(const struct call *c, int64_t now_us);

/** clf_finish() - report the end of the attempt under the call's grant */
void clf_finish(struct call *c, enum cmsg_outcome outcome);

/**
 * clf_abandon() - the call goes away
 *
 * A pending claim is left to its reply, an open grant is reported.
 */
void clf_abandon(struct call *c);

#endif
