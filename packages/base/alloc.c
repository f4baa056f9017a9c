#include "base/alloc.h"

#include <stdlib.h>

void *
alloc_zeroed(size_t n, size_t size)
{
	void *p = calloc(n == 0 ? 1 : n, size);

	if (p == NULL)
		abort();
	return (p);
}
