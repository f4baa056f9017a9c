/*
 * cmsg - messages between the workers and the control thread.
 *
 * All are heap objects on top of sys/message_queue.h that the receiver frees.
 * Workers push claims, finishes and upstream states to env->control. The
 * control thread answers each claim with exactly one reply on the claim's reply
 * queue, also after the claim's deadline; the worker answers a grant that it
 * can no longer use with a finish.
 */
#ifndef FRONT_CMSG_H
#define FRONT_CMSG_H

#include <stdbool.h>
#include <stdint.h>

#include "route/routing.h"
#include "sys/message_queue.h"

#define CMSG_KEY_MAX 255
#define CMSG_BODY_MAX 4096
#define CMSG_TYPE_TEXT_MAX 127
#define CMSG_ID_MAX 127

/** enum cmsg_type - msgq_msg.type of the messages below */
enum cmsg_type {
	CMSG_CLAIM = 1,      /* to control: struct cmsg_claim */
	CMSG_FINISH,         /* to control: struct cmsg_finish */
	CMSG_UPSTREAM_STATE, /* to control: struct cmsg_upstream_state */
	CMSG_CLAIM_REPLY,    /* to a worker: struct cmsg_claim_reply */
};

/** struct cmsg_key - idempotency key, 1 to CMSG_KEY_MAX bytes */
struct cmsg_key {
	uint8_t n;
	char s[CMSG_KEY_MAX];
};

/**
 * struct cmsg_response - response kept for a key
 * @status: HTTP status
 * @content_type: zero-terminated, empty when the response had none
 * @body_omitted: the response had a body that was not kept
 * @body_len: bytes in @body
 * @body: response body
 */
struct cmsg_response {
	unsigned status;
	char content_type[CMSG_TYPE_TEXT_MAX + 1];
	bool body_omitted;
	uint16_t body_len;
	char body[CMSG_BODY_MAX];
};

/**
 * struct cmsg_claim - a keyed request asks for permission to run
 * @m: head
 * @reply_to: queue for the reply
 * @ref: copied to the reply
 * @service: zero-terminated name of the service
 * @key: idempotency key
 * @fingerprint: xxHash64 of method, target and body
 * @deadline_us: the worker uses no grant after this boot-time microsecond
 */
struct cmsg_claim {
	struct msgq_msg m;
	struct message_queue *reply_to;
	uint64_t ref;
	char service[CMSG_ID_MAX + 1];
	struct cmsg_key key;
	uint64_t fingerprint;
	int64_t deadline_us;
};

/** enum cmsg_verdict - decision on a claim */
enum cmsg_verdict {
	CMSG_GRANTED,
	CMSG_IN_PROGRESS, /* another attempt holds the key */
	CMSG_DONE,        /* an earlier attempt was answered */
	CMSG_UNKNOWN,     /* an earlier attempt may have run */
	CMSG_MISMATCH,    /* the key belongs to a different request */
	CMSG_UNAVAILABLE, /* the owner did not decide */
};

/**
 * struct cmsg_claim_reply - decision on a claim
 * @m: head
 * @ref: of the claim
 * @verdict: decision; CMSG_UNAVAILABLE alone is not the word of the owner
 * @attempt: attempt id of a grant
 * @valid_until_us: boot-time limit for starting to send under a grant
 * @response: for CMSG_DONE
 */
struct cmsg_claim_reply {
	struct msgq_msg m;
	uint64_t ref;
	enum cmsg_verdict verdict;
	uint64_t attempt;
	int64_t valid_until_us;
	struct cmsg_response response;
};

/** enum cmsg_outcome - how an attempt under a grant ended */
enum cmsg_outcome {
	CMSG_RUN_DONE,    /* complete response */
	CMSG_RUN_NOT_RUN, /* no byte sent, or the upstream says it ran nothing
			   */
	CMSG_RUN_UNKNOWN, /* may have run */
};

/**
 * struct cmsg_finish - end of an attempt
 * @m: head
 * @key: idempotency key
 * @attempt: of the grant
 * @outcome: how it ended
 * @response: for CMSG_RUN_DONE
 */
struct cmsg_finish {
	struct msgq_msg m;
	struct cmsg_key key;
	uint64_t attempt;
	enum cmsg_outcome outcome;
	struct cmsg_response response;
};

/**
 * struct cmsg_upstream_state - X-State differs from the routing table
 * @m: head
 * @id: upstream id, zero-terminated
 * @state: RT_READY, RT_COLD or RT_DRAINING
 */
struct cmsg_upstream_state {
	struct msgq_msg m;
	char id[CMSG_ID_MAX + 1];
	enum rt_state state;
};

#endif
