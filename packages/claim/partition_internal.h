/*
 * partition_internal - what the parts of partition share: state and messages
 * (partition.c), planned changes (partition_plan.c) and JSON
 * (partition_json.c). Not for use outside of prt.
 */
#ifndef CLAIM_PARTITION_INTERNAL_H
#define CLAIM_PARTITION_INTERNAL_H

#include "claim/partition.h"

/** partition_emit() - append a zeroed effect */
struct partition_effect *partition_emit(
    struct partition_out *out, enum partition_effect_type type);

/** partition_find() - member with this identity, or NULL */
const struct partition_member *partition_find(
    const struct partitions *p, const struct vm_id *id);

/** partition_alive() - whether the process is a live member */
bool partition_alive(const struct partitions *p, const struct vm_id *id);

/** partition_is_self() - whether this process is meant */
bool partition_is_self(const struct partitions *p, const struct vm_id *id);

/** partition_connected() - whether at least half of the members are alive */
bool partition_connected(const struct partitions *p);

/** partition_row_names() - whether the row names the process */
bool partition_row_names(
    const struct partition_entry *r, const struct vm_id *id);

/** partition_row_eq() - whether both rows are the same */
bool partition_row_eq(
    const struct partition_entry *a, const struct partition_entry *b);

/**
 * partition_plan() - write the table, or start a copy, if there is a reason
 *
 * Return: whether a plan was made, so that views may have changed.
 */
bool partition_plan(
    struct partitions *p, int64_t now, int64_t wall, struct partition_out *out);

/**
 * partition_write_delay() - time to wait before a write
 *
 * Spreads the writes of the processes that react to the same event: by rank in
 * a rendezvous order for the version of the table, and by a random part.
 */
int64_t partition_write_delay(struct partitions *p);

#endif
