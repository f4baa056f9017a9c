#include "base/hash_index.h"

#include <stdlib.h>

/*
 * With case folding, only this many leading bytes of a key are hashed. Keys are
 * compared in full, so longer keys only collide more often. A host name has at
 * most 253 bytes.
 */
#define MAX_HASHED_BYTES 255
#define MIN_SLOTS 8
/* Number of the bit that differs between ASCII upper and lower case. */
#define ASCII_CASE_BIT 5

static uint64_t
hash_key(const struct hash_index *h, struct bstr key)
{
	char folded[MAX_HASHED_BYTES];
	size_t n = key.n < MAX_HASHED_BYTES ? key.n : MAX_HASHED_BYTES;

	if (!h->fold)
		return (bstr_hash(key, 0));
	for (size_t i = 0; i < n; i++) {
		unsigned char c = (unsigned char)key.p[i];

		/* Branch-free so that the compiler can vectorise the loop. */
		folded[i] = (char)(c |
		    (((unsigned char)(c - 'A') < 26) << ASCII_CASE_BIT));
	}
	return (bstr_hash((struct bstr){folded, n}, 0));
}

/* Returns the slot that holds the key or else the free slot for it. */
static struct hash_index_slot *
find_slot(const struct hash_index *h, struct bstr key, uint64_t hash)
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

size_t
hash_index_bytes(const struct hash_index *h)
{
	return (((size_t)h->mask + 1) * sizeof(*h->slots));
}

bool
hash_index_add(struct hash_index *h, struct bstr key, const void *value)
{
	uint64_t hash = hash_key(h, key);
	struct hash_index_slot *s = find_slot(h, key, hash);

	if (s->value != NULL || h->left == 0)
		return (false);
	h->left--;
	*s = (struct hash_index_slot){.hash = hash, .key = key, .value = value};
	return (true);
}

const void *
hash_index_find(const struct hash_index *h, struct bstr key)
{
	return (find_slot(h, key, hash_key(h, key))->value);
}
