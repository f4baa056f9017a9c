/*
 * claim_internal - interfaces between the source files of the claim module:
 * replication and the owner's decisions (claim.c), the record table
 * (claim_records.c, prefix claim_rec_) and the requests of this process
 * (claim_requests.c, prefix claim_req_). Not for use outside of the module.
 *
 *	struct claim_rec *r = claim_rec_find(c, service, key);
 *	if (r == NULL)
 *		r = claim_rec_new(c, &msg);
 */
#ifndef CLAIM_CLAIM_INTERNAL_H
#define CLAIM_CLAIM_INTERNAL_H

#include "claim/claim.h"

/**
 * struct claim_rec - record of one key
 * @m: content as a CLAIM_MSG_RECORD message, the form in which it is replicated
 * @bytes: size that counts towards claim_desc.max_bytes
 * @since_ms: local time at which the record entered its state
 * @acked: bits of the peers of the partition that hold version @m->ver
 * @dirty: not all peers have acknowledged the record; it is in claims.dirty
 * @notify: @m->ingress must be notified once the record is confirmed
 */
struct claim_rec {
	struct claim_rec *hash_next;
	struct claim_rec *part_prev;
	struct claim_rec *part_next;
	struct claim_rec *dirty_prev;
	struct claim_rec *dirty_next;
	struct claim_msg *m;
	uint64_t hash;
	uint32_t partition;
	uint32_t bytes;
	int64_t since_ms;
	int64_t next_send_ms;
	uint32_t acked;
	bool dirty;
	bool notify;
};

/** claim_alloc() - zeroed memory; aborts when there is none */
void *claim_alloc(size_t n);

/** claim_emit() - append a zeroed effect, valid until the next call */
struct claim_effect *claim_emit(
    struct claim_out *out, enum claim_effect_type type);

/** claim_msg_dup() - heap copy of a message with its strings */
struct claim_msg *claim_msg_dup(const struct claim_msg *m);

/**
 * claim_post() - send a message, or handle it at once if it is to this process
 * @m: heap message; ownership passes to this function
 */
void claim_post(struct claims *c, const struct vm_id *to, struct claim_msg *m,
    int64_t now, struct claim_out *out);

/** claim_rec_find() - record of a key, or NULL */
struct claim_rec *claim_rec_find(
    const struct claims *c, struct bstr service, struct bstr key);

/** claim_rec_new() - add a record with the content of @m; NULL when full */
struct claim_rec *claim_rec_new(struct claims *c, const struct claim_msg *m);

/** claim_rec_free() - remove a record from all lists and free it */
void claim_rec_free(struct claims *c, struct claim_rec *r);

/** claim_rec_set() - replace the content of a record; the key must be equal */
void claim_rec_set(
    struct claims *c, struct claim_rec *r, const struct claim_msg *m);

/** claim_rec_set_dirty() - add to or remove from the list of dirty records */
void claim_rec_set_dirty(
    struct claims *c, struct claim_rec *r, bool dirty, int64_t now);

/** claim_rec_rotate() - move the first dirty record to the end; returns it */
struct claim_rec *claim_rec_rotate(struct claims *c);

/** claim_req_init() - allocate the request table */
void claim_req_init(struct claims *c);

/** claim_req_finish() - free all requests */
void claim_req_finish(struct claims *c);

/** claim_req_tick() - resend messages and apply deadlines */
void claim_req_tick(struct claims *c, int64_t now, struct claim_out *out);

/** claim_req_on_owner() - resend in the next tick, as the owner has changed */
void claim_req_on_owner(struct claims *c, uint32_t partition, int64_t now);

/** claim_req_on_verdict() - handle an owner's answer to a claim */
void claim_req_on_verdict(struct claims *c, const struct claim_msg *m,
    int64_t now, struct claim_out *out);

/** claim_req_on_finish_ack() - handle an owner's confirmation of a report */
void claim_req_on_finish_ack(struct claims *c, const struct claim_msg *m,
    int64_t now, struct claim_out *out);

#endif
