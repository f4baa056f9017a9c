/*
 * config_sync - effects, applying of objects, and synchronisation with peers.
 *
 * This is the part of config_state that does not depend on local changes. The
 * requesting side keeps a list of its synchronisations in struct config_state;
 * the answering side keeps no state.
 *
 *	config_sync_pull(c, &peer, now_ms, out);            requesting side
 *	config_sync_answer(&c->objects, request, &answer);  answering side
 *	config_sync_on_answer(c, &answer, out);             requesting side
 */
#ifndef CONFIG_CONFIG_SYNC_H
#define CONFIG_CONFIG_SYNC_H

#include "config/config_state.h"

/**
 * config_sync_emit() - append an effect
 * @key: key of the object, copied; may be NULL
 *
 * Return: the effect, for the caller to fill in; valid until the next append.
 */
struct config_effect *config_sync_emit(
    struct config_out *out, enum config_effect_kind kind, const char *key);

/**
 * config_sync_emit_send() - append a CONFIG_SEND effect
 * @msg: message; the effect takes over its content
 * @to: receiver, or NULL for all other members
 */
void config_sync_emit_send(struct config_state *c, struct config_msg *msg,
    const struct vm_id *to, struct config_out *out);

/**
 * config_sync_apply() - apply one version of an object
 * @value: NULL for a deletion; borrowed
 *
 * Return: bits of enum objtab_change.
 */
unsigned config_sync_apply(struct config_state *c, const char *key,
    uint64_t version, json_t *value, struct config_out *out);

/** config_sync_apply_items() - apply all items of a message */
void config_sync_apply_items(struct config_state *c,
    const struct config_msg *msg, struct config_out *out);

/**
 * config_sync_add_object() - add the value in effect of an object
 *
 * If the newest version is not in effect, its value is added as well, unless it
 * is too large.
 */
void config_sync_add_object(
    struct config_msg *msg, const struct objtab_object *o);

/**
 * config_sync_add_version() - add an item without a value
 * @version: version of the item, 0 in WANT
 * @effective_version: version in effect, 0 outside of a list
 * @deleted: the version is a deletion
 */
void config_sync_add_version(struct config_msg *msg, const char *key,
    uint64_t version, uint64_t effective_version, bool deleted);

/**
 * config_sync_answer() - answer a PULL, LIST or WANT from an object table
 * @answer: result; must be freed by config_msg_finish() or passed on to
 *     config_sync_emit_send()
 */
void config_sync_answer(const struct object_table *t,
    const struct config_msg *request, struct config_msg *answer);

/** config_sync_new_list() - empty list of synchronisations; caller owns it */
GPtrArray *config_sync_new_list(void);

/**
 * config_sync_pull() - start a synchronisation
 *
 * It replaces an unfinished one with the same peer.
 */
void config_sync_pull(struct config_state *c, const struct vm_id *peer,
    int64_t now_ms, struct config_out *out);

/**
 * config_sync_on_answer() - continue a synchronisation with an answer
 *
 * An answer that belongs to no running synchronisation is ignored.
 */
void config_sync_on_answer(struct config_state *c, const struct config_msg *msg,
    struct config_out *out);

/** config_sync_tick() - drop synchronisations that exceed their timeout */
void config_sync_tick(struct config_state *c, int64_t now_ms);

#endif
