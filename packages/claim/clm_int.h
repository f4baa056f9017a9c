/*
 * clm_int - what the parts of clm share: replication and decisions
 * (clm.c), the record table (clm_rec.c) and own requests (clm_req.c). Not for
 * use outside of clm.
 */
#ifndef CLAIM_CLM_INT_H
#define CLAIM_CLM_INT_H

#include "claim/clm.h"

/**
 * struct clm_rec - one key
 * @m: record message with all strings: the form in which it is replicated
 * @since_ms: when the state began
 * @acked: bits of the peers of the partition that hold @m->ver
 * @dirty: in the list of records that a peer lacks
 * @notify: tell @m->ingress once the record is confirmed
 */
struct clm_rec {
	struct clm_rec *hash_next;
	struct clm_rec *part_prev;
	struct clm_rec *part_next;
	struct clm_rec *dirty_prev;
	struct clm_rec *dirty_next;
	struct clm_msg *m;
	uint64_t hash;
	uint32_t partition;
	uint32_t bytes;
	int64_t since_ms;
	int64_t next_send_ms;
	uint32_t acked;
	bool dirty;
	bool notify;
};

/** clm_alloc() - zeroed memory, never NULL */
void *clm_alloc(size_t n);

/** clm_emit() - append an effect */
struct clm_effect *clm_emit(struct clm_out *out, enum clm_effect_type type);

/** clm_msg_dup() - heap copy of a message with its strings */
struct clm_msg *clm_msg_dup(const struct clm_msg *m);

/** clm_post() - send a message; one to this process is handled at once */
void clm_post(struct clm *c, const struct vm_id *to, struct clm_msg *m,
    int64_t now, struct clm_out *out);

/** clm_rec_find() - record of a key, or NULL */
struct clm_rec *clm_rec_find(
    const struct clm *c, struct bstr service, struct bstr key);

/** clm_rec_new() - record with the content of @m, or NULL when full */
struct clm_rec *clm_rec_new(struct clm *c, const struct clm_msg *m);

/** clm_rec_free() - remove and free */
void clm_rec_free(struct clm *c, struct clm_rec *r);

/** clm_rec_set() - replace the content; the key stays */
void clm_rec_set(struct clm *c, struct clm_rec *r, const struct clm_msg *m);

/** clm_rec_set_dirty() - add to or remove from the records a peer lacks */
void clm_rec_set_dirty(
    struct clm *c, struct clm_rec *r, bool dirty, int64_t now);

/** clm_rec_rotate() - first dirty record, which becomes the last */
struct clm_rec *clm_rec_rotate(struct clm *c);

/** clm_req_init() - allocate the request table */
void clm_req_init(struct clm *c);

/** clm_req_finish() - free all requests */
void clm_req_finish(struct clm *c);

/** clm_req_tick() - resends and deadlines */
void clm_req_tick(struct clm *c, int64_t now, struct clm_out *out);

/** clm_req_on_owner() - the owner of a partition changed */
void clm_req_on_owner(struct clm *c, uint32_t partition, int64_t now);

/** clm_req_on_verdict() - answer of an owner */
void clm_req_on_verdict(
    struct clm *c, const struct clm_msg *m, int64_t now, struct clm_out *out);

/** clm_req_on_finish_ack() - an owner confirms a report */
void clm_req_on_finish_ack(
    struct clm *c, const struct clm_msg *m, int64_t now, struct clm_out *out);

#endif
