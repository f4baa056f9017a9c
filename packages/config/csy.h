/*
 * csy - effects, applying of objects, and synchronisation with peers for cst.
 *
 * The part of cst that does not depend on local changes. The asking side keeps
 * a list of synchronisations in struct cst; the answering side has no state.
 *
 *	csy_pull(c, &peer, now_ms, out);            asking side
 *	csy_answer(&c->objects, request, &answer);  answering side
 *	csy_on_answer(c, &answer, out);             asking side
 */
#ifndef CONFIG_CSY_H
#define CONFIG_CSY_H

#include "config/cst.h"

/** csy_emit() - append an effect */
struct cst_effect *csy_emit(
    struct cst_out *out, enum cst_effect_kind kind, const char *key);

/**
 * csy_emit_send() - append a message, whose content moves into the effect
 * @to: NULL sends to all other members
 */
void csy_emit_send(struct cst *c, struct cst_msg *msg, const struct vm_id *to,
    struct cst_out *out);

/** csy_apply() - take one version; Return: bits of enum cob_change */
unsigned csy_apply(struct cst *c, const char *key, uint64_t version,
    json_t *value, struct cst_out *out);

/** csy_apply_items() - take all items of a message */
void csy_apply_items(
    struct cst *c, const struct cst_msg *msg, struct cst_out *out);

/** csy_add_object() - add the value of an object, both values if invalid */
void csy_add_object(struct cst_msg *msg, const struct cob_object *o);

/** csy_add_version() - add an item without a value */
void csy_add_version(struct cst_msg *msg, const char *key, uint64_t version,
    uint64_t effect, bool deleted);

/** csy_answer() - answer a PULL, LIST or WANT from the table */
void csy_answer(
    const struct cob *t, const struct cst_msg *request, struct cst_msg *answer);

/** csy_new_syncs() - empty list of synchronisations */
GPtrArray *csy_new_syncs(void);

/** csy_pull() - start a synchronisation; replaces one with the same peer */
void csy_pull(struct cst *c, const struct vm_id *peer, int64_t now_ms,
    struct cst_out *out);

/** csy_on_answer() - continue a synchronisation */
void csy_on_answer(
    struct cst *c, const struct cst_msg *msg, struct cst_out *out);

/** csy_tick() - drop synchronisations without an answer */
void csy_tick(struct cst *c, int64_t now_ms);

#endif
