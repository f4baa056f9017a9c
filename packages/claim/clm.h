/*
 * clm - claims of idempotency keys.
 *
 * The process that received a request (the ingress VM) claims its key at the
 * owner of the key's partition, runs it only when granted, and reports how it
 * ended. The owner keeps one record for each key and confirms a grant or a
 * report only after every process that the view requires holds the record.
 *
 * A record has a version (epoch of the owner that changed it, sequence number);
 * the higher version wins everywhere. A new owner gives each record it holds a
 * version of its own epoch, so that it outranks what an earlier owner has left
 * somewhere without a confirmation. It pushes the records to its replicas again
 * and confirms each only after that. A replica with a newer version answers
 * with it, and the owner takes it over.
 *
 * Times: a grant is valid for validity_ms from when the ingress VM first sent
 * the claim, on its own clock, so the validity that the worker sees never ends
 * later than the one the owner assumes.
 *
 *	struct clm c;
 *	clm_init(&c, &(struct clm_desc){.self = id});
 *	clm_on_view(&c, &view, now_ms, &out);      (each PRT_VIEW effect)
 *	clm_claim(&c, &request, now_ms, &out);     -> CLM_VERDICT effect
 *	clm_finish_request(&c, id, &result, now_ms, &out);
 *	clm_tick(&c, now_ms, wall_ms, &out);
 *	clm_out_clear(&out);
 *	clm_finish(&c);
 */
#ifndef CLAIM_CLM_H
#define CLAIM_CLM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/vm_id.h"
#include "claim/prt.h"

#define CLM_NAME_MAX 255
#define CLM_BODY_MAX 4096
#define CLM_MAX_PEERS (PRT_MAX_REQUIRED + 1)

/** enum clm_state - what is known about a key */
enum clm_state {
	CLM_GRANTED = 1,
	CLM_DONE = 2,
	CLM_UNKNOWN = 3,
	CLM_FREE = 4, /* the attempt did not run; the key may be granted */
};

/** enum clm_verdict - answer to a claim */
enum clm_verdict {
	CLM_V_GRANTED = 1,
	CLM_V_IN_PROGRESS = 2,
	CLM_V_DONE = 3,
	CLM_V_UNKNOWN = 4,
	CLM_V_MISMATCH = 5,
	CLM_V_UNAVAILABLE = 6,
};

/** enum clm_outcome - report of the ingress VM */
enum clm_outcome {
	CLM_O_DONE = 1,
	CLM_O_NOT_RUN = 2,
	CLM_O_UNKNOWN = 3,
};

/** struct clm_ver - version of a record */
struct clm_ver {
	uint64_t epoch;
	uint64_t seq;
};

/**
 * struct clm_result - response that is kept with a done record
 * @status: HTTP status
 * @content_type: at most CLM_NAME_MAX bytes
 * @body: at most CLM_BODY_MAX bytes
 * @omitted: the body was longer and is not kept
 */
struct clm_result {
	uint32_t status;
	struct bstr content_type;
	struct bstr body;
	bool omitted;
};

/** enum clm_msg_type - messages between processes */
enum clm_msg_type {
	CLM_MSG_CLAIM = 1,
	CLM_MSG_VERDICT = 2,
	CLM_MSG_FINISH = 3,
	CLM_MSG_FINISH_ACK = 4,
	CLM_MSG_RECORD = 5,
	CLM_MSG_RECORD_ACK = 6,
};

/**
 * struct clm_msg - one message; fields that a type does not use are zero
 * @type: kind
 * @service: service name
 * @key: idempotency key
 * @fingerprint: hash of method, path and body
 * @ingress: process that holds the attempt
 * @request_id: attempt, unique within @ingress
 * @verdict: verdict message
 * @outcome: finish message
 * @epoch: record: epoch of the sender
 * @ver: record: its version
 * @state: record: its state; 0 in an acknowledgement without a record
 * @age_ms: record: time since the state began
 * @accepted: record acknowledgement: the replica holds @ver or newer
 * @result: response, with a done record or verdict
 * @mem: storage of the strings, or NULL when they belong to the caller
 */
struct clm_msg {
	enum clm_msg_type type;
	struct bstr service;
	struct bstr key;
	uint64_t fingerprint;
	struct vm_id ingress;
	uint64_t request_id;
	enum clm_verdict verdict;
	enum clm_outcome outcome;
	uint64_t epoch;
	struct clm_ver ver;
	enum clm_state state;
	int64_t age_ms;
	bool accepted;
	struct clm_result result;
	char *mem;
};

/** enum clm_effect_type - what the caller carries out */
enum clm_effect_type {
	CLM_SEND,     /* send msg to a process */
	CLM_VERDICT,  /* answer the worker that claimed request_id */
	CLM_COPIED,   /* call prt_on_copied() before any other event */
	CLM_FINISHED, /* the report of request_id is safe at the owner */
};

/**
 * struct clm_effect - one effect
 * @type: kind
 * @to: receiver of @msg, or joiner that holds all records
 * @msg: message; for a verdict it holds the result
 * @partition: of a copy
 * @request_id: of a verdict or report; it is also the attempt id
 * @verdict: verdict
 * @valid_for_ms: granted: time from now in which the upstream must finish
 */
struct clm_effect {
	enum clm_effect_type type;
	struct vm_id to;
	struct clm_msg *msg;
	uint32_t partition;
	uint64_t request_id;
	enum clm_verdict verdict;
	int64_t valid_for_ms;
};

/** struct clm_out - growable list of effects; all zero is empty */
struct clm_out {
	struct clm_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct clm_desc - settings; zero fields mean the default
 * @self: this process
 * @max_records: records kept, default 262,144
 * @max_bytes: bytes of records kept, default 64 MB
 * @max_requests: own claims and reports not yet settled, default 65,536
 * @retention_ms: time a record is kept, default 3,600,000
 * @validity_ms: validity of a grant, default 5,000
 * @max_call_ms: longest call after the validity, default 30,000
 * @resend_ms: time after which an unanswered message is sent again, default
 *	200
 * @batch: most records sent in one tick, default 256
 */
struct clm_desc {
	struct vm_id self;
	uint32_t max_records;
	uint64_t max_bytes;
	uint32_t max_requests;
	int64_t retention_ms;
	int64_t validity_ms;
	int64_t max_call_ms;
	int64_t resend_ms;
	uint32_t batch;
};

struct clm_rec;
struct clm_req;

/** struct clm_list - doubly linked list of records */
struct clm_list {
	struct clm_rec *head;
	struct clm_rec *tail;
	uint32_t n;
};

/**
 * struct clm_part - one partition
 * @view: last view
 * @peer: processes that get each record: the required ones, then the joiner
 * @n_peer: their number
 * @need: bits of the peers whose acknowledgement confirms a record
 * @all: bits of all peers
 * @promoted: the joiner has all records and is now required
 * @fence: highest epoch seen in a record
 * @seq: last sequence number used
 * @recs: all records
 * @n_dirty: records that a peer lacks
 */
struct clm_part {
	struct prt_view view;
	struct vm_id peer[CLM_MAX_PEERS];
	uint32_t n_peer;
	uint32_t need;
	uint32_t all;
	bool promoted;
	uint64_t fence;
	uint64_t seq;
	struct clm_list recs;
	uint32_t n_dirty;
};

/** struct clm - state on caller-owned memory */
struct clm {
	struct clm_desc desc;
	struct clm_part part[PRT_COUNT];
	struct clm_rec **bucket;
	uint32_t n_buckets;
	uint32_t n_records;
	uint64_t n_bytes;
	uint32_t sweep;
	struct clm_list dirty;
	struct clm_req **req_bucket;
	uint32_t n_req_buckets;
	uint32_t n_requests;
	int64_t wall_offset_ms;
};

/**
 * struct clm_request - a claim
 * @id: unique within this process; becomes the attempt id
 * @service: 1 to CLM_NAME_MAX bytes
 * @key: 1 to CLM_NAME_MAX bytes
 * @fingerprint: hash of method, path and body
 * @deadline_ms: local time at which the claim gives up as unavailable
 */
struct clm_request {
	uint64_t id;
	struct bstr service;
	struct bstr key;
	uint64_t fingerprint;
	int64_t deadline_ms;
};

/** clm_init() - empty tables; allocates the buckets */
void clm_init(struct clm *c, const struct clm_desc *desc);

/** clm_finish() - free */
void clm_finish(struct clm *c);

/** clm_out_clear() - free what the effects own and empty the list */
void clm_out_clear(struct clm_out *out);

/** clm_out_finish() - clm_out_clear() and free the list */
void clm_out_finish(struct clm_out *out);

/** clm_partition() - partition of a key */
uint32_t clm_partition(struct bstr service, struct bstr key);

/** clm_tick() - resends, expiry and copies; @wall_ms ends a quarantine */
void clm_tick(
    struct clm *c, int64_t now_ms, int64_t wall_ms, struct clm_out *out);

/** clm_on_view() - a PRT_VIEW effect of prt */
void clm_on_view(struct clm *c, const struct prt_view *v, int64_t now_ms,
    struct clm_out *out);

/** clm_on_msg() - message from another process; strings are copied */
void clm_on_msg(struct clm *c, const struct vm_id *from,
    const struct clm_msg *m, int64_t now_ms, struct clm_out *out);

/**
 * clm_claim() - claim a key; the answer is one CLM_VERDICT effect
 *
 * Return: false, with no effect, when a string is empty or too long, the id is
 * in use or too many requests are unsettled.
 */
bool clm_claim(struct clm *c, const struct clm_request *r, int64_t now_ms,
    struct clm_out *out);

/**
 * clm_finish_request() - report the end of a granted request
 * @id: attempt id
 * @result: with CLM_O_DONE; a body above CLM_BODY_MAX is omitted
 *
 * The report is repeated until the owner confirms it.
 *
 * Return: false when @id is not a granted request.
 */
bool clm_finish_request(struct clm *c, uint64_t id, enum clm_outcome outcome,
    const struct clm_result *result, int64_t now_ms, struct clm_out *out);

#endif
