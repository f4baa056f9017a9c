#include "front/worker_msg.h"

#include <stdlib.h>

#include "base/alloc.h"

static void
answer_unavailable(const struct worker_msg_claim *claim)
{
	struct worker_msg_claim_reply *r = alloc_zeroed(1, sizeof(*r));

	r->m.type = WORKER_MSG_CLAIM_REPLY;
	r->ref = claim->ref;
	r->verdict = WORKER_MSG_UNAVAILABLE;
	msgq_push(claim->reply_to, &r->m);
}

void
worker_msg_refuse(struct msgq_msg *m)
{
	if (m->type == WORKER_MSG_CLAIM)
		answer_unavailable((const struct worker_msg_claim *)m);
	free(m);
}
