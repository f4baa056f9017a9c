/*
 * membership_internal - functions shared by the source files of membership
 * (prefix member_).
 *
 * membership.c merges received entries and handles timeouts,
 * membership_gossip.c composes messages and selects receivers, and
 * membership_query.c answers queries.
 */
#ifndef MEMBER_MEMBERSHIP_INTERNAL_H
#define MEMBER_MEMBERSHIP_INTERNAL_H

#include "member/membership.h"

/** member_emit() - append an effect; it is valid until the next call */
struct member_effect *member_emit(
    struct member_out *out, enum member_effect_kind kind);

/** member_text_eq() - whether both texts are equal */
bool member_text_eq(const struct member_text *a, const struct member_text *b);

/** member_position() - index of @id, or the index to insert it at */
uint32_t member_position(const struct membership *m, const struct vm_id *id);

/**
 * member_find() - look up a member by its identity
 *
 * Return: the record, valid until a member is added or removed; NULL when @id
 * is not known.
 */
struct member_record *member_find(
    const struct membership *m, const struct vm_id *id);

/** member_self() - record of this process */
struct member_record *member_self(const struct membership *m);

/** member_is_self() - whether @rec is the record of this process */
bool member_is_self(
    const struct membership *m, const struct member_record *rec);

/** member_own_base() - majority base without the values that peers reported */
uint32_t member_own_base(const struct membership *m);

/** member_ping() - ping @rec: request its heartbeat without gossiping */
void member_ping(const struct membership *m, const struct member_record *rec,
    struct member_out *out);

/** member_send_own_entry() - send only the own entry to process @to */
void member_send_own_entry(
    const struct membership *m, const struct vm_id *to, struct member_out *out);

/** member_gossip() - send the gossip messages of one period */
void member_gossip(struct membership *m, struct member_out *out);

#endif
