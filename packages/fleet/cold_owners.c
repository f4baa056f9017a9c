#include "fleet/cold_owners.h"

void
cold_owners_init(struct cold_owners *o, const char *self)
{
	o->self = bstr_hash(bstr_from(self), 0);
	o->others = g_array_new(FALSE, FALSE, sizeof(uint64_t));
}

void
cold_owners_finish(struct cold_owners *o)
{
	g_array_unref(o->others);
}

void
cold_owners_clear(struct cold_owners *o)
{
	g_array_set_size(o->others, 0);
}

void
cold_owners_add(struct cold_owners *o, const char *vm)
{
	uint64_t hash = bstr_hash(bstr_from(vm), 0);

	if (hash != o->self)
		g_array_append_val(o->others, hash);
}

/* Combines two hashes with the finalizer of splitmix64. */
static uint64_t
combine(uint64_t vm, uint64_t upstream)
{
	uint64_t z = vm ^ upstream;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return (z ^ (z >> 31));
}

uint32_t
cold_owners_rank(const struct cold_owners *o, struct bstr upstream)
{
	const uint64_t *others = (const uint64_t *)(void *)o->others->data;
	uint64_t hash = bstr_hash(upstream, 0);
	uint64_t own = combine(o->self, hash);
	uint32_t rank = 0;

	for (guint i = 0; i < o->others->len; i++)
		rank += combine(others[i], hash) > own;
	return (rank);
}
