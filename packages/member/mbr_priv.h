/*
 * mbr_priv - functions shared by the source files of mbr.
 *
 * mbr.c merges opinions and handles time, mbr_gossip.c composes messages and
 * picks receivers, mbr_query.c answers queries.
 */
#ifndef MEMBER_MBR_PRIV_H
#define MEMBER_MBR_PRIV_H

#include "member/mbr.h"

/** mbr_emit() - append an effect; valid until the next one */
struct mbr_effect *mbr_emit(struct mbr_out *out, enum mbr_kind kind);

/** mbr_text_eq() - whether both texts are the same */
bool mbr_text_eq(const struct mbr_text *a, const struct mbr_text *b);

/** mbr_position() - index of @id, or where it would be inserted */
uint32_t mbr_position(const struct mbr *m, const struct vm_id *id);

/** mbr_find() - member or NULL; valid until a member is added or removed */
struct member_record *mbr_find(const struct mbr *m, const struct vm_id *id);

/** mbr_self() - own entry */
struct member_record *mbr_self(const struct mbr *m);

/** mbr_is_self() - whether @k is the own entry */
bool mbr_is_self(const struct mbr *m, const struct member_record *k);

/** mbr_own_base() - base without what peers reported */
uint32_t mbr_own_base(const struct mbr *m);

/** mbr_ask() - ask @k for its counter, without any other entry */
void mbr_ask(
    const struct mbr *m, const struct member_record *k, struct mbr_out *out);

/** mbr_answer() - own entry for process @to, which asked */
void mbr_answer(
    const struct mbr *m, const struct vm_id *to, struct mbr_out *out);

/** mbr_gossip() - send the messages of one period */
void mbr_gossip(struct mbr *m, struct mbr_out *out);

#endif
