/*
 * hash_index - hash index from strings to pointers, built once and then only
 * read.
 *
 * Open addressing with linear probing, at most half full. Keys are views that
 * stay valid as long as the index.
 *
 *	struct hash_index h;
 *	hash_index_init(&h, 2, true);
 *	hash_index_add(&h, BSTR("one.example"), one);
 *	s = hash_index_find(&h, BSTR("ONE.example"));
 *	hash_index_finish(&h);
 */
#ifndef ROUTE_HASH_INDEX_H
#define ROUTE_HASH_INDEX_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** struct hash_index_slot - one place; free while @value is NULL */
struct hash_index_slot {
	uint64_t hash;
	struct bstr key;
	const void *value;
};

/**
 * struct hash_index - index on caller-owned memory
 * @slots: places, a power of two
 * @mask: their number minus 1
 * @left: keys that may still be added
 * @fold: keys are equal regardless of ASCII case
 */
struct hash_index {
	struct hash_index_slot *slots;
	uint32_t mask;
	uint32_t left;
	bool fold;
};

/** hash_index_init() - empty index for at most @n keys */
void hash_index_init(struct hash_index *h, uint32_t n, bool fold);

/** hash_index_finish() - free */
void hash_index_finish(struct hash_index *h);

/**
 * hash_index_add() - add a key
 * @value: not NULL
 *
 * Return: false when the key is known, which keeps its value, or when @n keys
 * of hash_index_init() were added before.
 */
bool hash_index_add(struct hash_index *h, struct bstr key, const void *value);

/** hash_index_find() - value of a key or NULL */
const void *hash_index_find(const struct hash_index *h, struct bstr key);

#endif
