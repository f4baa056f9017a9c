/*
 * prt_int - what the parts of prt share: state and messages (prt.c), planned
 * changes (prt_plan.c) and JSON (prt_json.c). Not for use outside of prt.
 */
#ifndef CLAIM_PRT_INT_H
#define CLAIM_PRT_INT_H

#include "claim/prt.h"

/** prt_emit() - append a zeroed effect */
struct prt_effect *prt_emit(struct prt_out *out, enum prt_effect_type type);

/** prt_find() - member with this identity, or NULL */
const struct prt_member *prt_find(const struct prt *p, const struct vm_id *id);

/** prt_alive() - whether the process is a live member */
bool prt_alive(const struct prt *p, const struct vm_id *id);

/** prt_is_self() - whether this process is meant */
bool prt_is_self(const struct prt *p, const struct vm_id *id);

/** prt_connected() - whether at least half of the members are alive */
bool prt_connected(const struct prt *p);

/** prt_row_names() - whether the row names the process */
bool prt_row_names(const struct partition_entry *r, const struct vm_id *id);

/** prt_row_eq() - whether both rows are the same */
bool prt_row_eq(
    const struct partition_entry *a, const struct partition_entry *b);

/**
 * prt_plan() - write the table, or start a copy, if there is a reason
 *
 * Return: whether a plan was made, so that views may have changed.
 */
bool prt_plan(struct prt *p, int64_t now, int64_t wall, struct prt_out *out);

/**
 * prt_write_delay() - time to wait before a write
 *
 * Spreads the writes of the processes that react to the same event: by rank in
 * a rendezvous order for the version of the table, and by a random part.
 */
int64_t prt_write_delay(struct prt *p);

#endif
