/*
 * claim_internal - what the parts of claim share: replication and decisions
 * (claim.c), the record table (claim_records.c) and own requests
 * (claim_requests.c). Not for use outside of clm.
 */
#ifndef CLAIM_CLAIM_INTERNAL_H
#define CLAIM_CLAIM_INTERNAL_H

#include "claim/claim.h"

/**
 * struct claim_rec - one key
 * @m: record message with all strings: the form in which it is replicated
 * @since_ms: when the state began
 * @acked: bits of the peers of the partition that hold @m->ver
 * @dirty: in the list of records that a peer lacks
 * @notify: tell @m->ingress once the record is confirmed
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

/** claim_alloc() - zeroed memory, never NULL */
void *claim_alloc(size_t n);

/** claim_emit() - append an effect */
struct claim_effect *claim_emit(
    struct claim_out *out, enum claim_effect_type type);

/** claim_msg_dup() - heap copy of a message with its strings */
struct claim_msg *claim_msg_dup(const struct claim_msg *m);

/** claim_post() - send a message; one to this process is handled at once */
void claim_post(struct claims *c, const struct vm_id *to, struct claim_msg *m,
    int64_t now, struct claim_out *out);

/** claim_rec_find() - record of a key, or NULL */
struct claim_rec *claim_rec_find(
    const struct claims *c, struct bstr service, struct bstr key);

/** claim_rec_new() - record with the content of @m, or NULL when full */
struct claim_rec *claim_rec_new(struct claims *c, const struct claim_msg *m);

/** claim_rec_free() - remove and free */
void claim_rec_free(struct claims *c, struct claim_rec *r);

/** claim_rec_set() - replace the content; the key stays */
void claim_rec_set(
    struct claims *c, struct claim_rec *r, const struct claim_msg *m);

/** claim_rec_set_dirty() - add to or remove from the records a peer lacks */
void claim_rec_set_dirty(
    struct claims *c, struct claim_rec *r, bool dirty, int64_t now);

/** claim_rec_rotate() - first dirty record, which becomes the last */
struct claim_rec *claim_rec_rotate(struct claims *c);

/** claim_req_init() - allocate the request table */
void claim_req_init(struct claims *c);

/** claim_req_finish() - free all requests */
void claim_req_finish(struct claims *c);

/** claim_req_tick() - resends and deadlines */
void claim_req_tick(struct claims *c, int64_t now, struct claim_out *out);

/** claim_req_on_owner() - the owner of a partition changed */
void claim_req_on_owner(struct claims *c, uint32_t partition, int64_t now);

/** claim_req_on_verdict() - answer of an owner */
void claim_req_on_verdict(struct claims *c, const struct claim_msg *m,
    int64_t now, struct claim_out *out);

/** claim_req_on_finish_ack() - an owner confirms a report */
void claim_req_on_finish_ack(struct claims *c, const struct claim_msg *m,
    int64_t now, struct claim_out *out);

#endif
