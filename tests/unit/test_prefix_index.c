/*
 * Tests how a service with many routes finds that of a path. Guards against an
 * index that chooses another route than a comparison with each of them.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <string.h>

#include "route/routing.h"

#define N_ROUTES 300
#define N_PATHS 20000
#define PREFIX_MAX 32
#define LONG_PATH 16384

static char prefixes[N_ROUTES][PREFIX_MAX];
static struct rt_route routes[N_ROUTES];

/* The longest prefix, of equal ones the first, by comparing all. */
static uint32_t
expected_route(const struct rt_service *s, struct bstr path)
{
	uint32_t best = UINT32_MAX;

	for (uint32_t i = 0; i < s->n_routes; i++) {
		struct bstr prefix = s->routes[i].prefix;

		if (bstr_has_prefix(path, prefix) &&
		    (best == UINT32_MAX || prefix.n > s->routes[best].prefix.n))
			best = i;
	}
	return (best);
}

static void
check_path(const struct rt_service *s, struct bstr path)
{
	uint32_t i = expected_route(s, path);

	assert_ptr_equal(
	    rt_find_route(s, path), i == UINT32_MAX ? NULL : &s->routes[i]);
}

/* Draws one to four parts of few letters, so that many prefixes overlap. */
static size_t
draw_path(struct random *rng, char *out)
{
	size_t n = 0;

	for (uint32_t parts = 1 + rng_below(rng, 4); parts > 0; parts--) {
		out[n++] = '/';
		for (uint32_t k = rng_below(rng, 3); k > 0; k--)
			out[n++] = (char)('a' + rng_below(rng, 3));
	}
	return (n);
}

static void
check_drawn_paths(const struct rt_service *s, struct random *rng)
{
	static char slashes[LONG_PATH];

	for (int i = 0; i < N_PATHS; i++) {
		char path[PREFIX_MAX];

		check_path(s, (struct bstr){path, draw_path(rng, path)});
	}
	memset(slashes, '/', sizeof(slashes));
	check_path(s, (struct bstr){slashes, sizeof(slashes)});
	check_path(s, BSTR(""));
	check_path(s, BSTR("x"));
	check_path(s, BSTR("/"));
}

/* Checks a service of @n routes, with a slash at the end of each or not. */
static void
check_service(uint32_t n, bool slashes, bool indexed)
{
	struct rt_service d = {
	    .name = BSTR("s"), .routes = routes, .n_routes = n};
	struct random rng;
	struct rt_table *t;

	rng_init(&rng, n);
	for (uint32_t i = 0; i < n; i++) {
		size_t len = draw_path(&rng, prefixes[i]);

		if (slashes)
			prefixes[i][len++] = '/';
		routes[i] = (struct rt_route){.prefix = {prefixes[i], len}};
	}
	t = rt_table_new(&(struct rt_desc){.services = &d, .n_services = 1});
	d = *rt_find_service(t, BSTR("s"));
	assert_int_equal(d.prefixes != NULL, indexed);
	check_drawn_paths(&d, &rng);
	rt_table_free(t);
}

static void
test_longest_prefix(void **state)
{
	(void)state;
	check_service(0, true, false);
	check_service(3, true, false);
	check_service(20, true, true);
	check_service(N_ROUTES, true, true);
	check_service(N_ROUTES, false, false);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_longest_prefix),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
