/*
 * worker_msg - messages between the workers and the control thread.
 *
 * All are heap objects on top of sys/message_queue.h that the receiver frees.
 * Workers push claims, finishes and upstream states to shared->control. The
 * control thread answers each claim with exactly one reply on the claim's reply
 * queue, also after the claim's deadline; the worker answers a grant that it
 * can no longer use with a finish.
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

/** enum worker_msg_type - msgq_msg.type of the messages below */
enum worker_msg_type {
	WORKER_MSG_CLAIM = 1,      /* to control: struct worker_msg_claim */
	WORKER_MSG_FINISH,         /* to control: struct worker_msg_finish */
	WORKER_MSG_UPSTREAM_STATE, /* to control: struct
				      worker_msg_upstream_state */
	WORKER_MSG_CLAIM_REPLY, /* to a worker: struct worker_msg_claim_reply */
};

/** struct worker_msg_key - idempotency key, 1 to WORKER_MSG_KEY_MAX bytes */
struct worker_msg_key {
	uint8_t n;
	char s[WORKER_MSG_KEY_MAX];
};

/**
 * struct worker_msg_response - response kept for a key
 * @status: HTTP status
 * @content_type: zero-terminated, empty when the response had none
 * @body_omitted: the response had a body that was not kept
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
 * struct worker_msg_claim - a keyed request asks for permission to run
 * @m: head
 * @reply_to: queue for the reply
 * @ref: copied to the reply
 * @service: zero-terminated name of the service
 * @key: idempotency key
 * @fingerprint: xxHash64 of method, target and body
 * @deadline_us: the worker uses no grant after this boot-time microsecond
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
	WORKER_MSG_DONE,        /* an earlier attempt was answered */
	WORKER_MSG_UNKNOWN,     /* an earlier attempt may have run */
	WORKER_MSG_MISMATCH,    /* the key belongs to a different request */
	WORKER_MSG_UNAVAILABLE, /* the owner did not decide */
};

/**
 * struct worker_msg_claim_reply - decision on a claim
 * @m: head
 * @ref: of the claim
 * @verdict: decision; WORKER_MSG_UNAVAILABLE alone is not the word of the owner
 * @attempt: attempt id of a grant
 * @valid_until_us: boot-time limit for starting to send under a grant
 * @response: for WORKER_MSG_DONE
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
	WORKER_MSG_RUN_DONE,    /* complete response */
	WORKER_MSG_RUN_NOT_RUN, /* no byte sent, or the upstream says it ran
				 * nothing
				 */
	WORKER_MSG_RUN_UNKNOWN, /* may have run */
};

/**
 * struct worker_msg_finish - end of an attempt
 * @m: head
 * @key: idempotency key
 * @attempt: of the grant
 * @outcome: how it ended
 * @response: for WORKER_MSG_RUN_DONE
 */
struct worker_msg_finish {
	struct msgq_msg m;
	struct worker_msg_key key;
	uint64_t attempt;
	enum worker_msg_outcome outcome;
	struct worker_msg_response response;
};

/**
 * struct worker_msg_upstream_state - X-State differs from the routing table
 * @m: head
 * @id: upstream id, zero-terminated
 * @state: RT_READY, RT_COLD or RT_DRAINING
 */
struct worker_msg_upstream_state {
	struct msgq_msg m;
	char id[WORKER_MSG_ID_MAX + 1];
	enum rt_state state;
};

#endif
