#include "base/vm_id.h"

struct vm_id
vmid_from(struct bstr text)
{
	struct vm_id id = {0};

	if (text.n == 0 || text.n > VMID_MAX)
		return (id);
	id.n = (uint8_t)text.n;
	memcpy(id.s, text.p, text.n);
	return (id);
}

struct bstr
vmid_str(const struct vm_id *id)
{
	return ((struct bstr){.p = id->s, .n = id->n});
}

bool
vmid_eq(const struct vm_id *a, const struct vm_id *b)
{
	return (bstr_eq(vmid_str(a), vmid_str(b)));
}

int
vmid_cmp(const struct vm_id *a, const struct vm_id *b)
{
	return (bstr_cmp(vmid_str(a), vmid_str(b)));
}

bool
vmid_is_none(const struct vm_id *id)
{
	return (id->n == 0);
}

uint64_t
vmid_score(const struct vm_id *id, uint64_t key)
{
	return (bstr_hash(vmid_str(id), key));
}
