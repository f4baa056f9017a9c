/*
 * vmid - identity of one process of the daemon on one VM.
 *
 * The text is "<id>@<start>": the id from the settings and the start time in
 * Unix milliseconds. A restarted process is another member, because it has lost
 * the records of the one before.
 */
#ifndef BASE_VM_ID_H
#define BASE_VM_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

#define VMID_MAX 63

/** struct vm_id - identity as a plain value; all zero is "none" */
struct vm_id {
	uint8_t n;
	char s[VMID_MAX];
};

/** vmid_from() - identity with this text; text above VMID_MAX gives "none" */
struct vm_id vmid_from(struct bstr text);

/** vmid_str() - view of the text, valid as long as @id */
struct bstr vmid_str(const struct vm_id *id);

/** vmid_eq() - whether both are the same process */
bool vmid_eq(const struct vm_id *a, const struct vm_id *b);

/** vmid_cmp() - byte order of the texts */
int vmid_cmp(const struct vm_id *a, const struct vm_id *b);

/** vmid_is_none() - whether no process is meant */
bool vmid_is_none(const struct vm_id *id);

/**
 * vmid_score() - rendezvous hash of a process for a key
 *
 * The process with the highest score is the first choice for the key.
 */
uint64_t vmid_score(const struct vm_id *id, uint64_t key);

#endif
