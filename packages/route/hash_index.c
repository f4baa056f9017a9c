#include "route/hash_index.h"

#include <stdlib.h>

/*
 * Only this many bytes of a key are hashed when case is folded. Keys are
 * compared whole, so that longer ones only collide more often. A host name has
 * at most 253 bytes.
 */
#define MAX_FOLDED 255
#define MIN_SLOTS 8
/* The bit that differs between ASCII capital and small letters. */
#define CASE_BIT 5

static uint64_t
hash_of(const struct hash_index *h, struct bstr key)
{
	char folded[MAX_FOLDED];
	size_t n = key.n < MAX_FOLDED ? key.n : MAX_FOLDED;

	if (!h->fold)
		return (bstr_hash(key, 0));
	for (size_t i = 0; i < n; i++) {
		unsigned char c = (unsigned char)key.p[i];

		/* Without a branch, so that the compiler uses vectors. */
		folded[i] =
		    (char)(c | (((unsigned char)(c - 'A') < 26) << CASE_BIT));
	}
	return (bstr_hash((struct bstr){folded, n}, 0));
}

/* The slot that holds the key, or the free one where it belongs. */
static struct hash_index_slot *
slot_of(const struct hash_index *h, struct bstr key, uint64_t hash)
{
	uint32_t i = (uint32_t)hash & h->mask;

	for (;; i = (i + 1) & h->mask) {
		struct hash_index_slot *s = &h->slots[i];

		if (s->value == NULL)
			return (s);
		if (s->hash != hash)
			continue;
		if (h->fold ? bstr_caseeq(s->key, key) : bstr_eq(s->key, key))
			return (s);
	}
}

void
hash_index_init(struct hash_index *h, uint32_t n, bool fold)
{
	size_t size = MIN_SLOTS;

	while (size < 2 * (size_t)n)
		size *= 2;
	h->slots = calloc(size, sizeof(*h->slots));
	if (h->slots == NULL)
		abort();
	h->mask = (uint32_t)(size - 1);
	h->left = n;
	h->fold = fold;
}

void
hash_index_finish(struct hash_index *h)
{
	free(h->slots);
	*h = (struct hash_index){0};
}

bool
hash_index_add(struct hash_index *h, struct bstr key, const void *value)
{
	uint64_t hash = hash_of(h, key);
	struct hash_index_slot *s = slot_of(h, key, hash);

	if (s->value != NULL || h->left == 0)
		return (false);
	h->left--;
	*s = (struct hash_index_slot){.hash = hash, .key = key, .value = value};
	return (true);
}

const void *
hash_index_find(const struct hash_index *h, struct bstr key)
{
	return (slot_of(h, key, hash_of(h, key))->value);
}
