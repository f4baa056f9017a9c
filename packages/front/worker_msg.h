/*
 * worker_msg - messages between the workers and the control thread.
 *
 * Messages are heap objects for sys/message_queue.h; the receiver frees them.
 * Workers push claims, finishes and upstream states to shared->control. The
 * control thread answers each claim with exactly one reply on the claim's reply
 * queue, even after the claim's deadline. When a worker can no longer use a
 * grant, it responds with a finish.
 *
 *	m = calloc(1, sizeof(*m));              (struct worker_msg_claim)
 *	m->m.type = WORKER_MSG_CLAIM;
 *	m->reply_to = worker_replies(w);
 *	...
 *	msgq_push(shared->control, &m->m);
 */
#ifndef FRONT_WORKER_MSG_H
#define FRONT_WORKER_MSG_H

#include <stdbool.h>
#include <stdint.h>

#include "route/routing.h"
#include "sys/message_queue.h"

#define WORKER_MSG_KEY_MAX 255
#define WORKER_MSG_BODY_MAX 4096
#define WORKER_MSG_TYPE_TEXT_MAX 127
#define WORKER_MSG_ID_MAX 127

/**
 * enum worker_msg_type - msgq_msg.type of the messages below
 * @WORKER_MSG_CLAIM: to the control thread, struct worker_msg_claim
 * @WORKER_MSG_FINISH: to the control thread, struct worker_msg_finish
 * @WORKER_MSG_UPSTREAM_STATE: to the control thread, struct
 *	worker_msg_upstream_state
 * @WORKER_MSG_CLAIM_REPLY: to a worker, struct worker_msg_claim_reply
 */
enum worker_msg_type {
	WORKER_MSG_CLAIM = 1,
	WORKER_MSG_FINISH,
	WORKER_MSG_UPSTREAM_STATE,
	WORKER_MSG_CLAIM_REPLY,
};

/** struct worker_msg_key - idempotency key, 1 to WORKER_MSG_KEY_MAX bytes */
struct worker_msg_key {
	uint8_t n;
	char s[WORKER_MSG_KEY_MAX];
};

/**
 * struct worker_msg_response - response stored for an idempotency key
 * @status: HTTP status
 * @content_type: zero-terminated, empty when the response had none
 * @body_omitted: the response had a body that was not stored
 * @body_len: bytes in @body
 * @body: response body
 */
struct worker_msg_response {
	unsigned status;
	char content_type[WORKER_MSG_TYPE_TEXT_MAX + 1];
	bool body_omitted;
	uint16_t body_len;
	char body[WORKER_MSG_BODY_MAX];
};

/**
 * struct worker_msg_claim - request for permission to run a keyed request
 * @m: message header
 * @reply_to: queue for the reply
 * @ref: reference number, copied to the reply
 * @service: zero-terminated name of the service
 * @key: idempotency key
 * @fingerprint: xxHash64 of method, target and body
 * @deadline_us: boot-time limit after which the worker does not use a grant
 */
struct worker_msg_claim {
	struct msgq_msg m;
	struct message_queue *reply_to;
	uint64_t ref;
	char service[WORKER_MSG_ID_MAX + 1];
	struct worker_msg_key key;
	uint64_t fingerprint;
	int64_t deadline_us;
};

/** enum worker_msg_verdict - decision on a claim */
enum worker_msg_verdict {
	WORKER_MSG_GRANTED,
	WORKER_MSG_IN_PROGRESS, /* another attempt holds the key */
	WORKER_MSG_DONE,        /* an earlier attempt has a stored response */
	WORKER_MSG_UNKNOWN,     /* an earlier attempt may have run */
	WORKER_MSG_MISMATCH,    /* the key belongs to a different request */
	WORKER_MSG_UNAVAILABLE, /* the key's owner made no decision */
};

/**
 * struct worker_msg_claim_reply - decision on a claim
 * @m: message header
 * @ref: reference number of the claim
 * @verdict: decision of the key's owner, except for WORKER_MSG_UNAVAILABLE
 * @attempt: attempt id of a grant
 * @valid_until_us: boot-time limit for starting to send under a grant
 * @response: stored response, set for WORKER_MSG_DONE
 */
struct worker_msg_claim_reply {
	struct msgq_msg m;
	uint64_t ref;
	enum worker_msg_verdict verdict;
	uint64_t attempt;
	int64_t valid_until_us;
	struct worker_msg_response response;
};

/** enum worker_msg_outcome - how an attempt under a grant ended */
enum worker_msg_outcome {
	WORKER_MSG_RUN_DONE,    /* a complete response was received */
	WORKER_MSG_RUN_NOT_RUN, /* nothing sent, or the upstream ran nothing */
	WORKER_MSG_RUN_UNKNOWN, /* the request may have run */
};

/**
 * struct worker_msg_finish - end of an attempt
 * @m: message header
 * @key: idempotency key
 * @attempt: attempt id of the grant
 * @outcome: how the attempt ended
 * @response: response to store, set for WORKER_MSG_RUN_DONE
 */
struct worker_msg_finish {
	struct msgq_msg m;
	struct worker_msg_key key;
	uint64_t attempt;
	enum worker_msg_outcome outcome;
	struct worker_msg_response response;
};

/**
 * struct worker_msg_upstream_state - X-State that differs from the routing
 * table
 * @m: message header
 * @id: upstream id, zero-terminated
 * @state: reported state: RT_READY, RT_COLD or RT_DRAINING
 */
struct worker_msg_upstream_state {
	struct msgq_msg m;
	char id[WORKER_MSG_ID_MAX + 1];
	enum rt_state state;
};

/**
 * worker_msg_refuse() - free a message that the control thread does not handle
 *
 * A claim is answered with WORKER_MSG_UNAVAILABLE, so that no request waits for
 * its reply. Its worker has to exist still.
 */
void worker_msg_refuse(struct msgq_msg *m);

#endif
