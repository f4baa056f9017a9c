#include "route/prefix_index.h"

bool
prefix_index_accepts(struct bstr prefix)
{
	return (prefix.n != 0 && prefix.p[prefix.n - 1] == '/');
}

void
prefix_index_init(struct prefix_index *p, uint32_t n)
{
	*p = (struct prefix_index){0};
	hash_index_init(&p->prefixes, n, false);
}

void
prefix_index_finish(struct prefix_index *p)
{
	hash_index_finish(&p->prefixes);
}

void
prefix_index_add(struct prefix_index *p, struct bstr prefix, const void *value)
{
	hash_index_add(&p->prefixes, prefix, value);
	if (prefix.n > p->longest)
		p->longest = prefix.n;
}

/* Cuts off what follows the last slash; empty if there is none. */
static struct bstr
cut_at_slash(struct bstr path)
{
	while (path.n > 0 && path.p[path.n - 1] != '/')
		path.n--;
	return (path);
}

const void *
prefix_index_find(const struct prefix_index *p, struct bstr path)
{
	const void *value = NULL;

	if (path.n > p->longest)
		path.n = p->longest;
	path = cut_at_slash(path);
	while (path.n > 0 && value == NULL) {
		value = hash_index_find(&p->prefixes, path);
		path.n--;
		path = cut_at_slash(path);
	}
	return (value);
}
