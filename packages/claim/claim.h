/*
 * claim - claims of idempotency keys.
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
 *	struct claims c;
 *	claim_init(&c, &(struct claim_desc){.self = id});
 *	claim_on_view(&c, &view, now_ms, &out);      (each PARTITION_VIEW
 *	    effect)
 *	claim_claim(&c, &request, now_ms, &out);     -> CLAIM_VERDICT effect
 *	claim_finish_request(&c, id, &result, now_ms, &out);
 *	claim_tick(&c, now_ms, wall_ms, &out);
 *	claim_out_clear(&out);
 *	claim_finish(&c);
 */
#ifndef CLAIM_CLAIM_H
#define CLAIM_CLAIM_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/vm_id.h"
#include "claim/partition.h"

#define CLAIM_NAME_MAX 255
#define CLAIM_BODY_MAX 4096
#define CLAIM_MAX_PEERS (PARTITION_MAX_REQUIRED + 1)

/** enum claim_state - what is known about a key */
enum claim_state {
	CLAIM_GRANTED = 1,
	CLAIM_DONE = 2,
	CLAIM_UNKNOWN = 3,
	CLAIM_FREE = 4, /* the attempt did not run; the key may be granted */
};

/** enum claim_verdict - answer to a claim */
enum claim_verdict {
	CLAIM_V_GRANTED = 1,
	CLAIM_V_IN_PROGRESS = 2,
	CLAIM_V_DONE = 3,
	CLAIM_V_UNKNOWN = 4,
	CLAIM_V_MISMATCH = 5,
	CLAIM_V_UNAVAILABLE = 6,
};

/** enum claim_outcome - report of the ingress VM */
enum claim_outcome {
	CLAIM_O_DONE = 1,
	CLAIM_O_NOT_RUN = 2,
	CLAIM_O_UNKNOWN = 3,
};

/** struct claim_ver - version of a record */
struct claim_ver {
	uint64_t epoch;
	uint64_t seq;
};

/**
 * struct claim_result - response that is kept with a done record
 * @status: HTTP status
 * @content_type: at most CLAIM_NAME_MAX bytes
 * @body: at most CLAIM_BODY_MAX bytes
 * @omitted: the body was longer and is not kept
 */
struct claim_result {
	uint32_t status;
	struct bstr content_type;
	struct bstr body;
	bool omitted;
};

/** enum claim_msg_type - messages between processes */
enum claim_msg_type {
	CLAIM_MSG_CLAIM = 1,
	CLAIM_MSG_VERDICT = 2,
	CLAIM_MSG_FINISH = 3,
	CLAIM_MSG_FINISH_ACK = 4,
	CLAIM_MSG_RECORD = 5,
	CLAIM_MSG_RECORD_ACK = 6,
};

/**
 * struct claim_msg - one message; fields that a type does not use are zero
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
struct claim_msg {
	enum claim_msg_type type;
	struct bstr service;
	struct bstr key;
	uint64_t fingerprint;
	struct vm_id ingress;
	uint64_t request_id;
	enum claim_verdict verdict;
	enum claim_outcome outcome;
	uint64_t epoch;
	struct claim_ver ver;
	enum claim_state state;
	int64_t age_ms;
	bool accepted;
	struct claim_result result;
	char *mem;
};

/** enum claim_effect_type - what the caller carries out */
enum claim_effect_type {
	CLAIM_SEND,     /* send msg to a process */
	CLAIM_VERDICT,  /* answer the worker that claimed request_id */
	CLAIM_COPIED,   /* call partition_on_copied() before any other event */
	CLAIM_FINISHED, /* the report of request_id is safe at the owner */
};

/**
 * struct claim_effect - one effect
 * @type: kind
 * @to: receiver of @msg, or joiner that holds all records
 * @msg: message; for a verdict it holds the result
 * @partition: of a copy
 * @request_id: of a verdict or report; it is also the attempt id
 * @verdict: verdict
 * @valid_for_ms: granted: time from now in which the upstream must finish
 */
struct claim_effect {
	enum claim_effect_type type;
	struct vm_id to;
	struct claim_msg *msg;
	uint32_t partition;
	uint64_t request_id;
	enum claim_verdict verdict;
	int64_t valid_for_ms;
};

/** struct claim_out - growable list of effects; all zero is empty */
struct claim_out {
	struct claim_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct claim_desc - settings; zero fields mean the default
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
struct claim_desc {
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

struct claim_rec;
struct claim_req;

/** struct claim_list - doubly linked list of records */
struct claim_list {
	struct claim_rec *head;
	struct claim_rec *tail;
	uint32_t n;
};

/**
 * struct claim_part - one partition
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
struct claim_part {
	struct partition_view view;
	struct vm_id peer[CLAIM_MAX_PEERS];
	uint32_t n_peer;
	uint32_t need;
	uint32_t all;
	bool promoted;
	uint64_t fence;
	uint64_t seq;
	struct claim_list recs;
	uint32_t n_dirty;
};

/** struct claims - state on caller-owned memory */
struct claims {
	struct claim_desc desc;
	struct claim_part part[PARTITION_COUNT];
	struct claim_rec **bucket;
	uint32_t n_buckets;
	uint32_t n_records;
	uint64_t n_bytes;
	uint32_t sweep;
	struct claim_list dirty;
	struct claim_req **req_bucket;
	uint32_t n_req_buckets;
	uint32_t n_requests;
	int64_t wall_offset_ms;
};

/**
 * struct claim_request - a claim
 * @id: unique within this process; becomes the attempt id
 * @service: 1 to CLAIM_NAME_MAX bytes
 * @key: 1 to CLAIM_NAME_MAX bytes
 * @fingerprint: hash of method, path and body
 * @deadline_ms: local time at which the claim gives up as unavailable
 */
struct claim_request {
	uint64_t id;
	struct bstr service;
	struct bstr key;
	uint64_t fingerprint;
	int64_t deadline_ms;
};

/** claim_init() - empty tables; allocates the buckets */
void claim_init(struct claims *c, const struct claim_desc *desc);

/** claim_finish() - free */
void claim_finish(struct claims *c);

/** claim_out_clear() - free what the effects own and empty the list */
void claim_out_clear(struct claim_out *out);

/** claim_out_finish() - claim_out_clear() and free the list */
void claim_out_finish(struct claim_out *out);

/** claim_partition() - partition of a key */
uint32_t claim_partition(struct bstr service, struct bstr key);

/** claim_tick() - resends, expiry and copies; @wall_ms ends a quarantine */
void claim_tick(
    struct claims *c, int64_t now_ms, int64_t wall_ms, struct claim_out *out);

/** claim_on_view() - a PARTITION_VIEW effect of partition */
void claim_on_view(struct claims *c, const struct partition_view *v,
    int64_t now_ms, struct claim_out *out);

/** claim_on_msg() - message from another process; strings are copied */
void claim_on_msg(struct claims *c, const struct vm_id *from,
    const struct claim_msg *m, int64_t now_ms, struct claim_out *out);

/**
 * claim_claim() - claim a key; the answer is one CLAIM_VERDICT effect
 *
 * Return: false, with no effect, when a string is empty or too long, the id is
 * in use or too many requests are unsettled.
 */
bool claim_claim(struct claims *c, const struct claim_request *r,
    int64_t now_ms, struct claim_out *out);

/**
 * claim_finish_request() - report the end of a granted request
 * @id: attempt id
 * @result: with CLAIM_O_DONE; a body above CLAIM_BODY_MAX is omitted
 *
 * The report is repeated until the owner confirms it.
 *
 * Return: false when @id is not a granted request.
 */
bool claim_finish_request(struct claims *c, uint64_t id,
    enum claim_outcome outcome, const struct claim_result *result,
    int64_t now_ms, struct claim_out *out);

#endif
