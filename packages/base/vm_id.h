/*
 * vm_id - identity of one daemon process on a VM (prefix vmid_).
 *
 * The text form is "<id>@<start>": the id from the settings and the start time
 * in Unix milliseconds. A restarted process counts as a new member, because it
 * has lost the records that it held in memory.
 *
 *	struct vm_id a = vmid_from(BSTR("vm1@1700000000000"));
 *	if (vmid_score(&a, key) > vmid_score(&b, key))
 *		first = a;
 */
#ifndef BASE_VM_ID_H
#define BASE_VM_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

#define VMID_MAX 63 /* bytes of the text form */

/**
 * struct vm_id - identity as a plain value; a zeroed struct means "none"
 * @n: length of the text form in bytes
 * @s: text form, not zero-terminated
 */
struct vm_id {
	uint8_t n;
	char s[VMID_MAX];
};

/** vmid_from() - copy @text; "none" if it is empty or above VMID_MAX bytes */
struct vm_id vmid_from(struct bstr text);

/** vmid_str() - view of the text form, valid as long as @id */
struct bstr vmid_str(const struct vm_id *id);

/** vmid_eq() - whether both identify the same process */
bool vmid_eq(const struct vm_id *a, const struct vm_id *b);

/** vmid_cmp() - compare the text forms as bstr_cmp() does */
int vmid_cmp(const struct vm_id *a, const struct vm_id *b);

/** vmid_is_none() - whether @id identifies no process */
bool vmid_is_none(const struct vm_id *id);

/**
 * vmid_score() - rendezvous hash of a process for a key
 *
 * The process with the highest score is preferred for the key.
 */
uint64_t vmid_score(const struct vm_id *id, uint64_t key);

#endif
