/*
 * partition_internal - declarations shared by the files of the partition
 * module: state and messages (partition.c), planned changes (partition_plan.c)
 * and JSON (partition_json.c). Private to these files.
 */
#ifndef CLAIM_PARTITION_INTERNAL_H
#define CLAIM_PARTITION_INTERNAL_H

#include "claim/partition.h"

/** partition_emit() - append an effect of @type, other fields zeroed */
struct partition_effect *partition_emit(
    struct partition_out *out, enum partition_effect_type type);

/** partition_find() - member with this id, or NULL */
const struct partition_member *partition_find(
    const struct partitions *p, const struct vm_id *id);

/** partition_alive() - whether the process is a live member */
bool partition_alive(const struct partitions *p, const struct vm_id *id);

/** partition_is_self() - whether @id is the id of this process */
bool partition_is_self(const struct partitions *p, const struct vm_id *id);

/**
 * partition_connected() - whether the members are known and at least half of
 * them are alive
 */
bool partition_connected(const struct partitions *p);

/** partition_row_names() - whether @id is the owner or a replica of the row */
bool partition_row_names(
    const struct partition_entry *r, const struct vm_id *id);

/** partition_row_eq() - whether all fields of both rows are equal */
bool partition_row_eq(
    const struct partition_entry *a, const struct partition_entry *b);

/**
 * partition_plan() - write a changed table, or start copies to new replicas
 * @now: local boot-time clock in ms
 * @wall: Unix time in ms
 *
 * Return: whether planning ran, so that views may have changed.
 */
bool partition_plan(
    struct partitions *p, int64_t now, int64_t wall, struct partition_out *out);

/**
 * partition_write_delay() - time to wait before a write in ms
 *
 * Spreads the writes of processes that react to the same event: by the rank of
 * the process in the rendezvous hashing order for the table version, plus
 * random jitter that doubles with each conflict up to a limit.
 */
int64_t partition_write_delay(struct partitions *p);

#endif
