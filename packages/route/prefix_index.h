/*
 * prefix_index - finds the longest path prefix of a path among many (prefix
 * prefix_index_).
 *
 * All prefixes end with a slash, so only the parts of a path up to each of its
 * slashes can be one. Finding it takes a look-up for each slash, whatever the
 * number of prefixes. Slashes behind the length of the longest prefix do not
 * count, so a caller cannot make it expensive.
 *
 *	prefix_index_init(&p, 2);
 *	prefix_index_add(&p, BSTR("/"), all);
 *	prefix_index_add(&p, BSTR("/api/"), api);
 *	r = prefix_index_find(&p, BSTR("/api/x"));
 *	prefix_index_finish(&p);
 */
#ifndef ROUTE_PREFIX_INDEX_H
#define ROUTE_PREFIX_INDEX_H

#include "base/hash_index.h"

/**
 * struct prefix_index - index on caller-owned memory
 * @prefixes: index from prefix to value
 * @longest: length of the longest prefix
 */
struct prefix_index {
	struct hash_index prefixes;
	size_t longest;
};

/** prefix_index_accepts() - whether a prefix can be added */
bool prefix_index_accepts(struct bstr prefix);

/** prefix_index_init() - make an empty index for up to @n prefixes */
void prefix_index_init(struct prefix_index *p, uint32_t n);

/** prefix_index_finish() - free the contents */
void prefix_index_finish(struct prefix_index *p);

/**
 * prefix_index_add() - add a prefix, whose bytes have to stay valid
 * @value: not NULL; the first one that is added with a prefix is kept
 */
void prefix_index_add(
    struct prefix_index *p, struct bstr prefix, const void *value);

/** prefix_index_find() - value of the longest prefix of @path, or NULL */
const void *prefix_index_find(const struct prefix_index *p, struct bstr path);

#endif
