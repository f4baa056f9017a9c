#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "lib/fleet.h"
#include "lib/fleet_script.h"
#include "lib/golden.h"

#define KILL_SEEDS 60
#define KILL_BOUND_MS 3000

/* Guards against any change of behavior in the scripted sessions. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("mbr", fleet_script), 0);
}

/* Guards against a killed VM that is noticed too late, at the first sizes. */
static void
test_kill_bound(void **state)
{
	const int sizes[] = {13, 19};

	(void)state;
	for (uint64_t seed = 1; seed <= KILL_SEEDS; seed++) {
		struct fleet *f = calloc(1, sizeof(*f));
		int n = sizes[seed % 2];

		assert_non_null(f);
		fleet_init(f, n, 3, seed);
		fleet_run(f, 5000 + 10 * rng_below(&f->rng, 50));
		fleet_kill(f, n / 2);
		fleet_run(f, KILL_BOUND_MS);
		for (int i = 0; i < n; i++) {
			enum mbr_state s;

			if (i == n / 2)
				continue;
			s = mbr_state(&f->nodes[i].mbr, &f->nodes[n / 2].id);
			if (s != MBR_DEAD)
				printf("seed %llu\n", (unsigned long long)seed);
			assert_int_equal(s, MBR_DEAD);
			assert_int_equal(f->nodes[i].events[MBR_DIED], 1);
		}
		fleet_finish(f);
		free(f);
	}
}

static struct mbr_entry
entry(const char *id, const char *addr, uint64_t heartbeat)
{
	return ((struct mbr_entry){
	    .id = vmid_from(bstr_from(id)),
	    .zone = mbr_text(BSTR("z")),
	    .addr = mbr_text(bstr_from(addr)),
	    .heartbeat = heartbeat,
	});
}

static void
hear(struct mbr *m, struct mbr_entry e, int64_t now, struct mbr_out *out)
{
	struct mbr_msg msg = {.n = 1, .entries = {e}};
	struct vm_id from = vmid_from(BSTR("x@1"));

	mbr_out_clear(out);
	mbr_on_gossip(m, &from, &msg, now, out);
}

/* Guards against old gossip that replaces a restarted process. */
static void
test_same_address(void **state)
{
	struct vm_id old = vmid_from(BSTR("b@1"));
	struct vm_id new = vmid_from(BSTR("b@2"));
	struct mbr_out out = {0};
	struct mbr m;

	(void)state;
	mbr_init(&m,
	    &(struct mbr_desc){
		.self = vmid_from(BSTR("a@1")), .addr = mbr_text(BSTR("a:1"))});
	hear(&m, entry("b@1", "b:1", 7), 1, &out);
	assert_int_equal(mbr_state(&m, &old), MBR_ALIVE);
	hear(&m, entry("b@2", "b:1", 1), 2, &out);
	assert_int_equal(out.n, 2);
	assert_int_equal(out.e[0].kind, MBR_DIED);
	assert_int_equal(out.e[1].kind, MBR_JOINED);
	hear(&m, entry("b@1", "b:1", 9), 3, &out);
	assert_int_equal(out.n, 0);
	assert_int_equal(mbr_state(&m, &old), MBR_DEAD);
	assert_int_equal(mbr_state(&m, &new), MBR_ALIVE);
	/* Nor may anyone take our own address. */
	hear(&m, entry("c@9", "a:1", 9), 3, &out);
	assert_int_equal(out.n, 0);
	mbr_out_clear(&out);
	mbr_finish(&m);
}

/* Guards against a choice outside the constraints or an unstable one. */
static void
test_choose(void **state)
{
	struct mbr_out out = {0};
	struct mbr_info a[4], b[4];
	struct mbr_text avoid = mbr_text(BSTR("z1"));
	struct fleet *f = calloc(1, sizeof(*f));
	uint32_t n;

	(void)state;
	fleet_init(f, 13, 3, 1);
	fleet_run(f, 3000);
	for (uint64_t key = 0; key < 50; key++) {
		struct mbr_choice c = {
		    .avoid_zones = &avoid, .n_avoid_zones = 1};

		n = mbr_choose(&f->nodes[0].mbr, key, &c, a, 2);
		assert_int_equal(n, 2);
		assert_false(bstr_eq(mbr_str(&a[0].zone), BSTR("z1")));
		n = mbr_choose(&f->nodes[7].mbr, key, &c, b, 4);
		assert_int_equal(n, 4);
		assert_true(vmid_eq(&a[0].id, &b[0].id));
		assert_true(vmid_eq(&a[1].id, &b[1].id));
		c.avoid = &a[0].id;
		c.n_avoid = 1;
		mbr_choose(&f->nodes[3].mbr, key, &c, b, 1);
		assert_true(vmid_eq(&a[1].id, &b[0].id));
	}
	fleet_finish(f);
	free(f);
	mbr_out_clear(&out);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_kill_bound),
	    cmocka_unit_test(test_same_address),
	    cmocka_unit_test(test_choose),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
