/*
 * claim - replicated claims of idempotency keys.
 *
 * The VM that received a request (the ingress VM) claims the idempotency key at
 * the owner of the key's partition, runs the request only after the claim has
 * been granted, and reports the outcome. The owner keeps one record for each
 * key. It confirms a grant or a report only after every process that the
 * partition view requires has acknowledged the record.
 *
 * A record has a version: the epoch of the owner that changed it and a sequence
 * number. The higher version wins everywhere. A new owner gives each record
 * that it holds a version of its own epoch, so that the record outranks any
 * version that an earlier owner replicated without confirming it. The new owner
 * sends the records to its replicas again and confirms each of them only after
 * that. A replica that holds a newer version answers with it, and the owner
 * adopts it.
 *
 * A grant is valid for validity_ms after the ingress VM first sent the claim,
 * measured on the clock of the ingress VM. The validity that the worker sees
 * therefore never ends later than the one that the owner assumes.
 *
 *	struct claims c;
 *	claim_init(&c, &(struct claim_desc){.self = id});
 *	claim_on_view(&c, &view, now_ms, &out);      on PARTITION_VIEW effects
 *	claim_claim(&c, &request, now_ms, &out);     -> CLAIM_VERDICT effect
 *	claim_finish_request(&c, id, CLAIM_O_DONE, &result, now_ms, &out);
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

/** enum claim_state - state of a key */
enum claim_state {
	CLAIM_GRANTED = 1, /* an attempt may be running */
	CLAIM_DONE = 2,    /* an attempt ran and its result is stored */
	CLAIM_UNKNOWN = 3, /* an attempt may have run */
	CLAIM_FREE = 4,    /* the attempt did not run; may be granted again */
};

/** enum claim_verdict - answer to a claim */
enum claim_verdict {
	CLAIM_V_GRANTED = 1,     /* the request may run */
	CLAIM_V_IN_PROGRESS = 2, /* another attempt holds the grant */
	CLAIM_V_DONE = 3,        /* an attempt ran; its result is attached */
	CLAIM_V_UNKNOWN = 4,     /* an attempt may have run */
	CLAIM_V_MISMATCH = 5,    /* the key has another fingerprint */
	CLAIM_V_UNAVAILABLE = 6, /* no grant in time, or the table is full */
};

/** enum claim_outcome - outcome of an attempt, reported by the ingress VM */
enum claim_outcome {
	CLAIM_O_DONE = 1,
	CLAIM_O_NOT_RUN = 2,
	CLAIM_O_UNKNOWN = 3,
};

/** struct claim_ver - version of a record, ordered by epoch, then by seq */
struct claim_ver {
	uint64_t epoch;
	uint64_t seq;
};

/**
 * struct claim_result - response stored with a done record
 * @status: HTTP status
 * @content_type: at most CLAIM_NAME_MAX bytes
 * @body: at most CLAIM_BODY_MAX bytes
 * @omitted: the body was longer than CLAIM_BODY_MAX and is not stored
 */
struct claim_result {
	uint32_t status;
	struct bstr content_type;
	struct bstr body;
	bool omitted;
};

/** enum claim_msg_type - messages between processes */
enum claim_msg_type {
	CLAIM_MSG_CLAIM = 1,      /* ingress VM to owner: claim of a key */
	CLAIM_MSG_VERDICT = 2,    /* owner to ingress VM: answer to a claim */
	CLAIM_MSG_FINISH = 3,     /* ingress VM to owner: outcome */
	CLAIM_MSG_FINISH_ACK = 4, /* owner to ingress VM: outcome confirmed */
	CLAIM_MSG_RECORD = 5,     /* owner to replica or joiner: record */
	CLAIM_MSG_RECORD_ACK = 6, /* replica to owner: record stored */
};

/**
 * struct claim_msg - one message; fields that a type does not use are zero
 * @type: message type
 * @service: service name
 * @key: idempotency key
 * @fingerprint: hash of method, path and body
 * @ingress: process that runs the attempt
 * @request_id: id of the attempt, unique within @ingress
 * @verdict: set in a verdict message
 * @outcome: set in a finish message
 * @epoch: record message: partition epoch of the sender
 * @ver: record message: version of the record
 * @state: record message: state of the record; 0 in an acknowledgement that
 *	carries no record
 * @age_ms: record message: time since the record entered @state
 * @accepted: record acknowledgement: the replica holds @ver or a newer version
 * @result: response, in a done record and in its verdict
 * @mem: memory of the strings, or NULL when the calling code owns them
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

/** enum claim_effect_type - what the calling code must carry out */
enum claim_effect_type {
	CLAIM_SEND,     /* send msg to a process */
	CLAIM_VERDICT,  /* answer the worker that claimed request_id */
	CLAIM_COPIED,   /* call partition_on_copied() before any other event */
	CLAIM_FINISHED, /* the owner has confirmed the report of request_id */
};

/**
 * struct claim_effect - one effect
 * @type: effect type
 * @to: CLAIM_SEND: receiver of @msg; CLAIM_COPIED: joiner with all records
 * @msg: CLAIM_SEND: message; CLAIM_VERDICT: carries the result, may be NULL;
 *	owned by the effect
 * @partition: CLAIM_COPIED: partition whose records were copied
 * @request_id: CLAIM_VERDICT, CLAIM_FINISHED: request, also the attempt id
 * @verdict: CLAIM_VERDICT: answer to the claim
 * @valid_for_ms: CLAIM_V_GRANTED: time from now within which the upstream must
 *	finish
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
 * @max_records: maximum number of records, default 262,144
 * @max_bytes: size of the records above which no new one is created, default
 *	64 MiB
 * @max_requests: maximum number of requests that this process keeps, default
 *	65,536; one that ended without a grant is kept for at least 30 s more
 * @retention_ms: time for which a record is kept, default 3,600,000
 * @validity_ms: validity of a grant, default 5,000
 * @max_call_ms: longest time that a call may run after the end of the validity,
 *	default 30,000
 * @resend_ms: time after which an unanswered message is sent again, default
 *	200
 * @batch: maximum number of records resent in one tick, default 256
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

/**
 * struct claim_list - doubly linked list of records, through the part or the
 * dirty links of struct claim_rec
 */
struct claim_list {
	struct claim_rec *head;
	struct claim_rec *tail;
	uint32_t n;
};

/**
 * struct claim_part - one partition
 * @view: view that was last applied
 * @peer: processes to which records are replicated: the required ones, then
 *	the joiner
 * @n_peer: number of entries in @peer
 * @required_bits: bits of the peers whose acknowledgement confirms a record
 * @all_bits: bits of all peers
 * @promoted: the joiner holds all records and is now required
 * @fence: highest epoch received in a record; lower epochs are rejected
 * @seq: last sequence number used
 * @recs: all records
 * @n_dirty: number of records that not all peers have acknowledged
 */
struct claim_part {
	struct partition_view view;
	struct vm_id peer[CLAIM_MAX_PEERS];
	uint32_t n_peer;
	uint32_t required_bits;
	uint32_t all_bits;
	bool promoted;
	uint64_t fence;
	uint64_t seq;
	struct claim_list recs;
	uint32_t n_dirty;
};

/**
 * struct claims - state in memory owned by the calling code
 * @bucket: hash table of the records
 * @n_bytes: size of all records
 * @sweep: next bucket that is searched for expired records
 * @dirty: records that not all peers have acknowledged
 * @req_bucket: hash table of the requests of this process
 * @wall_offset_ms: Unix time minus local time, as of the last tick
 */
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
 * @deadline_ms: local time at which the verdict is CLAIM_V_UNAVAILABLE
 */
struct claim_request {
	uint64_t id;
	struct bstr service;
	struct bstr key;
	uint64_t fingerprint;
	int64_t deadline_ms;
};

/** claim_init() - initialize; allocates the hash tables */
void claim_init(struct claims *c, const struct claim_desc *desc);

/** claim_finish() - free all records and requests */
void claim_finish(struct claims *c);

/** claim_out_clear() - free what the effects own and empty the list */
void claim_out_clear(struct claim_out *out);

/** claim_out_finish() - claim_out_clear() and free the list */
void claim_out_finish(struct claim_out *out);

/** claim_partition() - partition of a key */
uint32_t claim_partition(struct bstr service, struct bstr key);

/**
 * claim_tick() - resend messages, expire records, report complete copies
 * @now_ms: local boot-time clock, here and in all other functions
 * @wall_ms: Unix time, used only for the end of a quarantine
 */
void claim_tick(
    struct claims *c, int64_t now_ms, int64_t wall_ms, struct claim_out *out);

/** claim_on_view() - apply a PARTITION_VIEW effect of the partition module */
void claim_on_view(struct claims *c, const struct partition_view *v,
    int64_t now_ms, struct claim_out *out);

/** claim_on_msg() - handle a message of another process; copies the strings */
void claim_on_msg(struct claims *c, const struct vm_id *from,
    const struct claim_msg *m, int64_t now_ms, struct claim_out *out);

/**
 * claim_claim() - claim a key; the answer is one CLAIM_VERDICT effect
 *
 * Return: false, without an effect, when a string is empty or too long, the id
 * is in use or this process already keeps desc.max_requests requests.
 */
bool claim_claim(struct claims *c, const struct claim_request *r,
    int64_t now_ms, struct claim_out *out);

/**
 * claim_finish_request() - report the outcome of a granted request
 * @id: attempt id
 * @result: used with CLAIM_O_DONE, copied; a body above CLAIM_BODY_MAX or a
 *	content type above CLAIM_NAME_MAX is not stored
 *
 * The report is sent again until the owner confirms it, for at most 10 minutes.
 *
 * Return: false when @id is not a granted request.
 */
bool claim_finish_request(struct claims *c, uint64_t id,
    enum claim_outcome outcome, const struct claim_result *result,
    int64_t now_ms, struct claim_out *out);

#endif
