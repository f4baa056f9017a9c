/*
 * Tests how cold upstreams are divided among hundreds of VMs: each has the
 * right number of owners, no VM owns much more than its part, and VMs that see
 * different lists of VMs disagree about few upstreams.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "fleet/cold_owners.h"

#define N_VMS 472
#define N_UPSTREAMS 809
#define OWNERS 3u
/* More than four times the mean would be a poor division. */
#define MAX_OWNED (4 * OWNERS * N_UPSTREAMS / N_VMS)

static void
name_of(char *out, size_t size, const char *prefix, unsigned i)
{
	snprintf(out, size, "%s-%u", prefix, i);
}

/* Fills @o with the first @n VMs as VM @self sees them. */
static void
see_fleet(struct cold_owners *o, unsigned self, unsigned n)
{
	char name[16];

	name_of(name, sizeof(name), "vm", self);
	cold_owners_init(o, name);
	for (unsigned i = 0; i < n; i++) {
		name_of(name, sizeof(name), "vm", i);
		cold_owners_add(o, name);
	}
}

static bool
owns(const struct cold_owners *o, unsigned upstream)
{
	char name[16];

	name_of(name, sizeof(name), "u", upstream);
	return (cold_owners_rank(o, bstr_from(name)) < OWNERS);
}

/* Counts the owners of each upstream when VM i knows the first n_known(i). */
static void
count_owners(unsigned (*n_known)(unsigned), unsigned owners[N_UPSTREAMS],
    unsigned *most_owned)
{
	memset(owners, 0, N_UPSTREAMS * sizeof(*owners));
	*most_owned = 0;
	for (unsigned i = 0; i < N_VMS; i++) {
		struct cold_owners o;
		unsigned owned = 0;

		see_fleet(&o, i, n_known(i));
		for (unsigned u = 0; u < N_UPSTREAMS; u++) {
			bool own = owns(&o, u);

			owners[u] += own;
			owned += own;
		}
		cold_owners_finish(&o);
		if (owned > *most_owned)
			*most_owned = owned;
	}
}

static unsigned
know_all(unsigned vm)
{
	(void)vm;
	return (N_VMS);
}

/* Every second VM does not know the last tenth of the fleet. */
static unsigned
know_most(unsigned vm)
{
	return (vm % 2 == 0 ? N_VMS : N_VMS - N_VMS / 10);
}

static void
test_division(void **arg)
{
	unsigned owners[N_UPSTREAMS];
	unsigned most_owned;

	(void)arg;
	count_owners(know_all, owners, &most_owned);
	for (unsigned u = 0; u < N_UPSTREAMS; u++)
		assert_int_equal(owners[u], OWNERS);
	assert_true(most_owned <= MAX_OWNED);
}

/* A VM that is not known to others may add itself to the owners. */
static void
test_different_lists(void **arg)
{
	unsigned owners[N_UPSTREAMS];
	unsigned most_owned;
	unsigned sum = 0;

	(void)arg;
	count_owners(know_most, owners, &most_owned);
	for (unsigned u = 0; u < N_UPSTREAMS; u++) {
		assert_in_range(owners[u], 1, 2 * OWNERS);
		sum += owners[u];
	}
	assert_in_range(sum, OWNERS * N_UPSTREAMS,
	    OWNERS * N_UPSTREAMS + OWNERS * N_UPSTREAMS / 10);
}

/* A VM that joins takes upstreams over, but none moves between other VMs. */
static void
test_join(void **arg)
{
	struct cold_owners o;
	unsigned gained = 0;

	(void)arg;
	see_fleet(&o, 7, N_VMS - 1);
	for (unsigned u = 0; u < N_UPSTREAMS; u++) {
		struct cold_owners after;

		see_fleet(&after, 7, N_VMS);
		gained += !owns(&o, u) && owns(&after, u);
		cold_owners_finish(&after);
	}
	cold_owners_finish(&o);
	assert_int_equal(gained, 0);
}

static void
test_own_id_is_ignored(void **arg)
{
	struct cold_owners o;

	(void)arg;
	see_fleet(&o, 0, 1);
	assert_int_equal(cold_owners_rank(&o, BSTR("u-1")), 0);
	cold_owners_finish(&o);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_division),
	    cmocka_unit_test(test_different_lists),
	    cmocka_unit_test(test_join),
	    cmocka_unit_test(test_own_id_is_ignored),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
