/*
 * hash_index - hash table from strings to pointers, read-only once built.
 *
 * Uses open addressing with linear probing and a load factor of at most 1/2.
 * Keys are stored as views: the caller keeps their bytes valid as long as the
 * index. The process aborts when memory runs out.
 *
 *	struct hash_index h;
 *	hash_index_init(&h, 2, true);
 *	hash_index_add(&h, BSTR("one.example"), one);
 *	s = hash_index_find(&h, BSTR("ONE.example"));
 *	hash_index_finish(&h);
 */
#ifndef BASE_HASH_INDEX_H
#define BASE_HASH_INDEX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * struct hash_index_slot - one slot of the table
 * @hash: hash of @key
 * @key: key
 * @value: value, NULL while the slot is free
 */
struct hash_index_slot {
	uint64_t hash;
	struct bstr key;
	const void *value;
};

/**
 * struct hash_index - index on caller-owned memory
 * @slots: slots; their number is a power of two
 * @mask: number of slots minus 1
 * @left: keys that may still be added
 * @fold: ignore ASCII case when keys are compared
 */
struct hash_index {
	struct hash_index_slot *slots;
	uint32_t mask;
	uint32_t left;
	bool fold;
};

/**
 * hash_index_init() - make an empty index
 * @n: largest number of keys
 * @fold: ignore ASCII case when keys are compared
 */
void hash_index_init(struct hash_index *h, uint32_t n, bool fold);

/** hash_index_finish() - free the slots */
void hash_index_finish(struct hash_index *h);

/** hash_index_bytes() - memory of the slots */
size_t hash_index_bytes(const struct hash_index *h);

/**
 * hash_index_add() - add a key
 * @value: not NULL
 *
 * Return: false when the key is present, whose value is kept, or when the index
 * already holds the @n keys of hash_index_init().
 */
bool hash_index_add(struct hash_index *h, struct bstr key, const void *value);

/** hash_index_find() - value of @key, or NULL */
const void *hash_index_find(const struct hash_index *h, struct bstr key);

#endif
