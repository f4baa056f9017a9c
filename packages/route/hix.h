/*
 * hix - hash index from strings to pointers, built once and then only read.
 *
 * Open addressing with linear probing, at most half full. Keys are views that
 * stay valid as long as the index.
 *
 *	struct hix h;
 *	hix_init(&h, 2, true);
 *	hix_add(&h, BSTR("one.example"), one);
 *	s = hix_find(&h, BSTR("ONE.example"));
 *	hix_finish(&h);
 */
#ifndef ROUTE_HIX_H
#define ROUTE_HIX_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** struct hix_slot - one place; free while @value is NULL */
struct hix_slot {
	uint64_t hash;
	struct bstr key;
	const void *value;
};

/**
 * struct hix - index on caller-owned memory
 * @slots: places, a power of two
 * @mask: their number minus 1
 * @left: keys that may still be added
 * @fold: keys are equal regardless of ASCII case
 */
struct hix {
	struct hix_slot *slots;
	uint32_t mask;
	uint32_t left;
	bool fold;
};

/** hix_init() - empty index for at most @n keys */
void hix_init(struct hix *h, uint32_t n, bool fold);

/** hix_finish() - free */
void hix_finish(struct hix *h);

/**
 * hix_add() - add a key
 * @value: not NULL
 *
 * Return: false when the key is known, which keeps its value, or when @n keys
 * of hix_init() were added before.
 */
bool hix_add(struct hix *h, struct bstr key, const void *value);

/** hix_find() - value of a key or NULL */
const void *hix_find(const struct hix *h, struct bstr key);

#endif
