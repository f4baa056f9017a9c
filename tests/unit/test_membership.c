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
#define KILL_DETECTION_LIMIT_MS 3000

/* Guards against any change of behaviour in the golden scripts. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("membership", fleet_script), 0);
}

/* Guards against late detection of a killed VM in fleets of 13 and 19 VMs. */
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
		fleet_run(f, KILL_DETECTION_LIMIT_MS);
		for (int i = 0; i < n; i++) {
			enum member_state s;

			if (i == n / 2)
				continue;
			s = member_state(
			    &f->nodes[i].membership, &f->nodes[n / 2].id);
			if (s != MEMBER_DEAD)
				printf("seed %llu\n", (unsigned long long)seed);
			assert_int_equal(s, MEMBER_DEAD);
			assert_int_equal(f->nodes[i].events[MEMBER_DIED], 1);
		}
		fleet_finish(f);
		free(f);
	}
}

static struct member_entry
entry(const char *id, const char *addr, uint64_t heartbeat)
{
	return ((struct member_entry){
	    .id = vmid_from(bstr_from(id)),
	    .zone = member_text(BSTR("z")),
	    .addr = member_text(bstr_from(addr)),
	    .heartbeat = heartbeat,
	});
}

static void
receive_gossip(struct membership *m, struct member_entry e, int64_t now,
    struct member_out *out)
{
	struct member_msg msg = {.n = 1, .entries = {e}};
	struct vm_id from = vmid_from(BSTR("x@1"));

	member_out_clear(out);
	member_on_gossip(m, &from, &msg, now, out);
}

/*
 * Guards against a restarted process that is replaced by its predecessor when
 * delayed gossip about the predecessor arrives.
 */
static void
test_same_address(void **state)
{
	struct vm_id old = vmid_from(BSTR("b@1"));
	struct vm_id new = vmid_from(BSTR("b@2"));
	struct member_out out = {0};
	struct membership m;

	(void)state;
	member_init(&m,
	    &(struct member_desc){.self = vmid_from(BSTR("a@1")),
		.addr = member_text(BSTR("a:1"))});
	receive_gossip(&m, entry("b@1", "b:1", 7), 1, &out);
	assert_int_equal(member_state(&m, &old), MEMBER_ALIVE);
	receive_gossip(&m, entry("b@2", "b:1", 1), 2, &out);
	assert_int_equal(out.n, 2);
	assert_int_equal(out.e[0].kind, MEMBER_DIED);
	assert_int_equal(out.e[1].kind, MEMBER_JOINED);
	receive_gossip(&m, entry("b@1", "b:1", 9), 3, &out);
	assert_int_equal(out.n, 0);
	assert_int_equal(member_state(&m, &old), MEMBER_DEAD);
	assert_int_equal(member_state(&m, &new), MEMBER_ALIVE);
	/* Another process must not take the own address. */
	receive_gossip(&m, entry("c@9", "a:1", 9), 3, &out);
	assert_int_equal(out.n, 0);
	member_out_clear(&out);
	member_finish(&m);
}

/*
 * Guards against a choice that violates the constraints or differs between
 * members.
 */
static void
test_choose(void **state)
{
	struct member_out out = {0};
	struct member_info a[4], b[4];
	struct member_text avoid = member_text(BSTR("z1"));
	struct fleet *f = calloc(1, sizeof(*f));
	uint32_t n;

	(void)state;
	fleet_init(f, 13, 3, 1);
	fleet_run(f, 3000);
	for (uint64_t key = 0; key < 50; key++) {
		struct member_choice c = {
		    .avoid_zones = &avoid, .n_avoid_zones = 1};

		n = member_choose(&f->nodes[0].membership, key, &c, a, 2);
		assert_int_equal(n, 2);
		assert_false(bstr_eq(member_str(&a[0].zone), BSTR("z1")));
		n = member_choose(&f->nodes[7].membership, key, &c, b, 4);
		assert_int_equal(n, 4);
		assert_true(vmid_eq(&a[0].id, &b[0].id));
		assert_true(vmid_eq(&a[1].id, &b[1].id));
		c.avoid = &a[0].id;
		c.n_avoid = 1;
		member_choose(&f->nodes[3].membership, key, &c, b, 1);
		assert_true(vmid_eq(&a[1].id, &b[0].id));
	}
	fleet_finish(f);
	free(f);
	member_out_clear(&out);
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
