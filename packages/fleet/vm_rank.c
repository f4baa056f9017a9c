#include "fleet/vm_rank.h"

#include "base/byte_string.h"

/* The rank holds the inverted bandwidth above this many bits of a hash. */
#define HASH_BITS 32

uint64_t
vm_rank(const char *vm, uint32_t link_mbps, uint64_t seed)
{
	uint64_t hash = bstr_hash(bstr_from(vm), seed) >> (64 - HASH_BITS);

	return ((uint64_t)(UINT32_MAX - link_mbps) << HASH_BITS | hash);
}
