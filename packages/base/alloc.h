/*
 * alloc - allocation of zeroed memory that aborts the process when there is
 * none.
 *
 *	struct item *items = alloc_zeroed(n, sizeof(*items));
 *	...
 *	free(items);
 */
#ifndef BASE_ALLOC_H
#define BASE_ALLOC_H

#include <stddef.h>

/**
 * alloc_zeroed() - allocate an array
 *
 * Return: not NULL, also for no elements; freed with free().
 */
void *alloc_zeroed(size_t n, size_t size);

#endif
