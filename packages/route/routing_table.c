/*
 * routing_table - storage of a routing table and its indexes.
 *
 * All arrays and all text of a table are in one block each, so that a table
 * with many hosts takes little more than what it contains, and the allocator
 * gives its memory back to the system when the table is freed.
 */
#include <stdlib.h>
#include <string.h>

#include "base/hash_index.h"
#include "base/alloc.h"
#include "route/routing.h"

/* Up to this number of routes, comparing each is as fast as an index. */
#define LINEAR_ROUTES_MAX 4

/**
 * struct table_counts - numbers of elements in all services
 * @prefix_indexes: services whose routes are indexed
 * @text: bytes of all strings with their ends
 */
struct table_counts {
	size_t hosts;
	size_t routes;
	size_t splits;
	size_t versions;
	size_t upstreams;
	size_t tallies;
	size_t prefix_indexes;
	size_t text;
};

/**
 * struct rt_table - services and indexes over them
 * @services: services
 * @n: number of services
 * @hosts: index from host to struct rt_service, ignoring ASCII case
 * @names: index from name to struct rt_service
 * @workspaces: workspaces or NULL, a reference is held
 * @bytes: size of the table
 * @blocks: storage of the elements of all services, see struct table_space
 * @n_blocks: number of @blocks
 */
struct rt_table {
	struct rt_service *services;
	uint32_t n;
	struct hash_index hosts;
	struct hash_index names;
	struct workspace_table *workspaces;
	size_t bytes;
	void *blocks[8];
	uint32_t n_blocks;
};

/** struct table_space - the free part of each block while a table is filled */
struct table_space {
	struct bstr *hosts;
	struct rt_route *routes;
	struct rt_split *splits;
	struct rt_version *versions;
	struct rt_upstream *upstreams;
	struct rt_tally **tallies;
	struct prefix_index *prefix_indexes;
	char *text;
};

static void
count_text(struct table_counts *c, struct bstr s)
{
	c->text += s.n + 1;
}

static bool
has_prefix_index(const struct rt_service *s)
{
	if (s->n_routes <= LINEAR_ROUTES_MAX)
		return (false);
	for (uint32_t i = 0; i < s->n_routes; i++) {
		if (!prefix_index_accepts(s->routes[i].prefix))
			return (false);
	}
	return (true);
}

static void
count_routes(struct table_counts *c, const struct rt_service *s)
{
	c->routes += s->n_routes;
	for (uint32_t i = 0; i < s->n_routes; i++) {
		const struct rt_route *r = &s->routes[i];

		count_text(c, r->prefix);
		c->splits += r->n_splits;
		for (uint32_t k = 0; k < r->n_splits; k++)
			count_text(c, r->splits[k].service);
	}
}

static void
count_upstreams(struct table_counts *c, const struct rt_service *s)
{
	c->upstreams += s->n_upstreams;
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		count_text(c, s->upstreams[i].id);
		count_text(c, s->upstreams[i].addr);
		count_text(c, s->upstreams[i].zone);
	}
}

static uint32_t
n_tallies(const struct rt_service *s)
{
	return (s->tallies == NULL ? 0 : s->n_routes * s->n_versions);
}

static void
count_service(struct table_counts *c, const struct rt_service *s)
{
	count_text(c, s->name);
	count_text(c, s->probe_path);
	c->hosts += s->n_hosts;
	for (uint32_t i = 0; i < s->n_hosts; i++)
		count_text(c, s->hosts[i]);
	c->versions += s->n_versions;
	for (uint32_t i = 0; i < s->n_versions; i++)
		count_text(c, s->versions[i].name);
	count_routes(c, s);
	count_upstreams(c, s);
	c->tallies += n_tallies(s);
	c->prefix_indexes += has_prefix_index(s);
}

static void *
add_block(struct rt_table *t, size_t n, size_t size)
{
	void *p = alloc_zeroed(n, size);

	t->blocks[t->n_blocks++] = p;
	t->bytes += n * size;
	return (p);
}

static void
make_space(
    struct rt_table *t, const struct table_counts *c, struct table_space *out)
{
	out->hosts = add_block(t, c->hosts, sizeof(*out->hosts));
	out->routes = add_block(t, c->routes, sizeof(*out->routes));
	out->splits = add_block(t, c->splits, sizeof(*out->splits));
	out->versions = add_block(t, c->versions, sizeof(*out->versions));
	out->upstreams = add_block(t, c->upstreams, sizeof(*out->upstreams));
	out->tallies = add_block(t, c->tallies, sizeof(struct rt_tally *));
	out->prefix_indexes =
	    add_block(t, c->prefix_indexes, sizeof(*out->prefix_indexes));
	out->text = add_block(t, c->text, 1);
}

/* Copies a string with a zero byte at its end. */
static struct bstr
copy_str(struct table_space *space, struct bstr s)
{
	struct bstr copy = {.p = space->text, .n = s.n};

	if (s.n != 0)
		memcpy(space->text, s.p, s.n);
	space->text += s.n + 1;
	return (copy);
}

static void
copy_hosts(
    struct table_space *space, struct rt_service *to, const struct bstr *from)
{
	to->hosts = space->hosts;
	space->hosts += to->n_hosts;
	for (uint32_t i = 0; i < to->n_hosts; i++)
		to->hosts[i] = copy_str(space, from[i]);
}

static void
copy_route(
    struct table_space *space, struct rt_route *to, const struct rt_route *from)
{
	*to = *from;
	to->prefix = copy_str(space, from->prefix);
	to->splits = space->splits;
	space->splits += from->n_splits;
	for (uint32_t i = 0; i < from->n_splits; i++) {
		to->splits[i].weight = from->splits[i].weight;
		to->splits[i].service =
		    copy_str(space, from->splits[i].service);
	}
}

static void
copy_routes(struct table_space *space, struct rt_service *to,
    const struct rt_route *from)
{
	to->routes = space->routes;
	space->routes += to->n_routes;
	for (uint32_t i = 0; i < to->n_routes; i++)
		copy_route(space, &to->routes[i], &from[i]);
}

static void
copy_versions(struct table_space *space, struct rt_service *to,
    const struct rt_version *from)
{
	to->versions = space->versions;
	space->versions += to->n_versions;
	for (uint32_t i = 0; i < to->n_versions; i++) {
		to->versions[i] = from[i];
		to->versions[i].name = copy_str(space, from[i].name);
	}
}

static void
copy_upstreams(struct table_space *space, struct rt_service *to,
    const struct rt_upstream *from)
{
	to->upstreams = space->upstreams;
	space->upstreams += to->n_upstreams;
	for (uint32_t i = 0; i < to->n_upstreams; i++) {
		struct rt_upstream *u = &to->upstreams[i];

		*u = from[i];
		u->id = copy_str(space, from[i].id);
		u->addr = copy_str(space, from[i].addr);
		u->zone = copy_str(space, from[i].zone);
		rt_stat_ref(u->stat);
	}
}

static void
copy_tallies(struct table_space *space, struct rt_service *to,
    struct rt_tally *const *from)
{
	uint32_t n = n_tallies(to);

	if (from == NULL)
		return;
	to->tallies = space->tallies;
	space->tallies += n;
	for (uint32_t i = 0; i < n; i++)
		to->tallies[i] = rt_tally_ref(from[i]);
}

static void
index_routes(struct table_space *space, struct rt_service *s)
{
	s->prefixes = NULL;
	if (!has_prefix_index(s))
		return;
	s->prefixes = space->prefix_indexes++;
	prefix_index_init(s->prefixes, s->n_routes);
	for (uint32_t i = 0; i < s->n_routes; i++)
		prefix_index_add(
		    s->prefixes, s->routes[i].prefix, &s->routes[i]);
}

static void
copy_service(struct table_space *space, struct rt_service *to,
    const struct rt_service *from)
{
	*to = *from;
	to->name = copy_str(space, from->name);
	to->probe_path = copy_str(space, from->probe_path);
	copy_hosts(space, to, from->hosts);
	copy_routes(space, to, from->routes);
	copy_versions(space, to, from->versions);
	copy_upstreams(space, to, from->upstreams);
	copy_tallies(space, to, from->tallies);
	index_routes(space, to);
}

static void
release_service(struct rt_service *s)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		rt_stat_unref(s->upstreams[i].stat);
	for (uint32_t i = 0; i < n_tallies(s); i++)
		rt_tally_unref(s->tallies[i]);
	if (s->prefixes != NULL)
		prefix_index_finish(s->prefixes);
}

/* When services share a host or a name, the first one is indexed. */
static void
build_indexes(struct rt_table *t, uint32_t n_hosts)
{
	hash_index_init(&t->hosts, n_hosts, true);
	hash_index_init(&t->names, t->n, false);
	for (uint32_t i = 0; i < t->n; i++) {
		const struct rt_service *s = &t->services[i];

		hash_index_add(&t->names, s->name, s);
		if (s->prefixes != NULL)
			t->bytes += hash_index_bytes(&s->prefixes->prefixes);
		for (uint32_t j = 0; j < s->n_hosts; j++)
			hash_index_add(&t->hosts, s->hosts[j], s);
	}
	t->bytes += hash_index_bytes(&t->hosts) + hash_index_bytes(&t->names);
}

struct rt_table *
rt_table_new(const struct rt_desc *desc)
{
	struct rt_table *t = alloc_zeroed(1, sizeof(*t));
	struct table_counts counts = {0};
	struct table_space space;

	t->n = desc->n_services;
	t->services = alloc_zeroed(t->n, sizeof(*t->services));
	t->bytes = sizeof(*t) + t->n * sizeof(*t->services);
	for (uint32_t i = 0; i < t->n; i++)
		count_service(&counts, &desc->services[i]);
	make_space(t, &counts, &space);
	for (uint32_t i = 0; i < t->n; i++)
		copy_service(&space, &t->services[i], &desc->services[i]);
	build_indexes(t, (uint32_t)counts.hosts);
	if (desc->workspaces != NULL)
		t->workspaces = wstab_ref(desc->workspaces);
	return (t);
}

void
rt_table_free(struct rt_table *t)
{
	if (t == NULL)
		return;
	for (uint32_t i = 0; i < t->n; i++)
		release_service(&t->services[i]);
	hash_index_finish(&t->hosts);
	hash_index_finish(&t->names);
	if (t->workspaces != NULL)
		wstab_unref(t->workspaces);
	for (uint32_t i = 0; i < t->n_blocks; i++)
		free(t->blocks[i]);
	free(t->services);
	free(t);
}

size_t
rt_table_bytes(const struct rt_table *t)
{
	return (t->bytes);
}

const struct rt_service *
rt_services(const struct rt_table *t, uint32_t *n)
{
	*n = t->n;
	return (t->services);
}

const struct workspace_table *
rt_workspaces(const struct rt_table *t)
{
	return (t->workspaces);
}

const struct rt_service *
rt_find_host(const struct rt_table *t, struct bstr host)
{
	return (hash_index_find(&t->hosts, host));
}

const struct rt_service *
rt_find_service(const struct rt_table *t, struct bstr name)
{
	return (hash_index_find(&t->names, name));
}

const struct rt_route *
rt_find_route(const struct rt_service *s, struct bstr path)
{
	const struct rt_route *best = NULL;

	if (s->prefixes != NULL)
		return (prefix_index_find(s->prefixes, path));
	for (uint32_t i = 0; i < s->n_routes; i++) {
		const struct rt_route *r = &s->routes[i];

		if (!bstr_has_prefix(path, r->prefix))
			continue;
		if (best == NULL || r->prefix.n > best->prefix.n)
			best = r;
	}
	return (best);
}
