/*
 * membership_internal - functions shared by the source files of mbr.
 *
 * membership.c merges opinions and handles time, membership_gossip.c composes
 * messages and picks receivers, membership_query.c answers queries.
 */
#ifndef MEMBER_MEMBERSHIP_INTERNAL_H
#define MEMBER_MEMBERSHIP_INTERNAL_H

#include "member/membership.h"

/** member_emit() - append an effect; valid until the next one */
struct member_effect *member_emit(
    struct member_out *out, enum member_kind kind);

/** member_text_eq() - whether both texts are the same */
bool member_text_eq(const struct member_text *a, const struct member_text *b);

/** member_position() - index of @id, or where it would be inserted */
uint32_t member_position(const struct membership *m, const struct vm_id *id);

/** member_find() - member or NULL; valid until a member is added or removed */
struct member_record *member_find(
    const struct membership *m, const struct vm_id *id);

/** member_self() - own entry */
struct member_record *member_self(const struct membership *m);

/** member_is_self() - whether @k is the own entry */
bool member_is_self(const struct membership *m, const struct member_record *k);

/** member_own_base() - base without what peers reported */
uint32_t member_own_base(const struct membership *m);

/** member_ask() - ask @k for its counter, without any other entry */
void member_ask(const struct membership *m, const struct member_record *k,
    struct member_out *out);

/** member_answer() - own entry for process @to, which asked */
void member_answer(
    const struct membership *m, const struct vm_id *to, struct member_out *out);

/** member_gossip() - send the messages of one period */
void member_gossip(struct membership *m, struct member_out *out);

#endif
