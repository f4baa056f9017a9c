/*
 * config_sync - effects, applying of objects, and synchronisation with peers
 * for cst.
 *
 * The part of config_state that does not depend on local changes. The asking
 * side keeps a list of synchronisations in struct config_state; the answering
 * side has no state.
 *
 *	config_sync_pull(c, &peer, now_ms, out);            asking side
 *	config_sync_answer(&c->objects, request, &answer);  answering side
 *	config_sync_on_answer(c, &answer, out);             asking side
 */
#ifndef CONFIG_CONFIG_SYNC_H
#define CONFIG_CONFIG_SYNC_H

#include "config/config_state.h"

/** config_sync_emit() - append an effect */
struct config_effect *config_sync_emit(
    struct config_out *out, enum config_effect_kind kind, const char *key);

/**
 * config_sync_emit_send() - append a message, whose content moves into the
 * effect
 * @to: NULL sends to all other members
 */
void config_sync_emit_send(struct config_state *c, struct config_msg *msg,
    const struct vm_id *to, struct config_out *out);

/**
 * config_sync_apply() - take one version; Return: bits of enum objtab_change
 */
unsigned config_sync_apply(struct config_state *c, const char *key,
    uint64_t version, json_t *value, struct config_out *out);

/** config_sync_apply_items() - take all items of a message */
void config_sync_apply_items(struct config_state *c,
    const struct config_msg *msg, struct config_out *out);

/**
 * config_sync_add_object() - add the value of an object, both values if invalid
 */
void config_sync_add_object(
    struct config_msg *msg, const struct objtab_object *o);

/** config_sync_add_version() - add an item without a value */
void config_sync_add_version(struct config_msg *msg, const char *key,
    uint64_t version, uint64_t effect, bool deleted);

/** config_sync_answer() - answer a PULL, LIST or WANT from the table */
void config_sync_answer(const struct object_table *t,
    const struct config_msg *request, struct config_msg *answer);

/** config_sync_new_syncs() - empty list of synchronisations */
GPtrArray *config_sync_new_syncs(void);

/**
 * config_sync_pull() - start a synchronisation; replaces one with the same peer
 */
void config_sync_pull(struct config_state *c, const struct vm_id *peer,
    int64_t now_ms, struct config_out *out);

/** config_sync_on_answer() - continue a synchronisation */
void config_sync_on_answer(struct config_state *c, const struct config_msg *msg,
    struct config_out *out);

/** config_sync_tick() - drop synchronisations without an answer */
void config_sync_tick(struct config_state *c, int64_t now_ms);

#endif
