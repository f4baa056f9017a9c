/* Table of workspaces and parser of the Authorization field. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>

#include "base/random.h"
#include "sys/clocks.h"
#include "workspace/credential.h"
#include "workspace/workspace_table.h"

#define N_KEYS 100000
#define KEY_BYTES 40
#define N_LOOKUPS 1000000
#define PERCENT 100

/** struct credential_case - value of a field and the key in it, NULL for none
 */
struct credential_case {
	const char *value;
	const char *key;
};

/* Guards against a key that is read from another form than "Bearer KEY". */
static void
test_credential(void **state)
{
	static const struct credential_case cases[] = {
	    {"Bearer k1", "k1"},
	    {"bearer k1", "k1"},
	    {"bEaReR k1", "k1"},
	    {"Bearer   k1", "k1"},
	    {"Bearer \t k1 \t", "k1"},
	    {"  Bearer k1", "k1"},
	    {"Bearer K1", "K1"},
	    {"Bearer Bearer", "Bearer"},
	    {"Bearer ~!=+/._-", "~!=+/._-"},
	    {"", NULL},
	    {"Bearer", NULL},
	    {"Bearer ", NULL},
	    {"Bearer \t ", NULL},
	    {"Bearerk1", NULL},
	    {"Bearer,k1", NULL},
	    {"k1", NULL},
	    {"Basic k1", NULL},
	    {"Bearer k1 k2", NULL},
	    {"Bearer k1\tk2", NULL},
	    {"Bearer k\xc3\xa9", NULL},
	    {"Bearer k\x7f", NULL},
	    {"Bearer k\x01", NULL},
	};

	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct bstr key = BSTR("unchanged");
		const char *want = cases[i].key;

		assert_true(cred_parse(bstr_from(cases[i].value), &key) ==
		    (want != NULL));
		assert_true(bstr_eq(key, bstr_from(want ? want : "unchanged")));
	}
}

/* Guards against unbounded work for one field, and an off-by-one limit. */
static void
test_credential_length(void **state)
{
	char text[sizeof("Bearer ") + CRED_KEY_MAX + 1];
	struct bstr key;
	int n;

	(void)state;
	n = snprintf(text, sizeof(text), "Bearer %0*d", CRED_KEY_MAX + 1, 0);
	assert_false(cred_parse((struct bstr){text, (size_t)n}, &key));
	assert_true(cred_parse((struct bstr){text, (size_t)n - 1}, &key));
	assert_int_equal(key.n, CRED_KEY_MAX);
}

static struct wstab_entry
entry(const char *name, uint32_t priority, char *const *keys, uint32_t n_keys)
{
	return ((struct wstab_entry){
	    .workspace = {bstr_from(name), priority, usage_counter_new()},
	    .keys = keys,
	    .n_keys = n_keys});
}

/* Releases the references of the test; those of the table remain. */
static void
release(const struct wstab_entry *entries, uint32_t n)
{
	for (uint32_t i = 0; i < n; i++)
		usage_counter_unref(entries[i].workspace.usage);
}

static void
assert_owner(const struct workspace_table *t, const char *key, const char *name)
{
	const struct workspace *w = wstab_find(t, bstr_from(key));

	if (name == NULL) {
		assert_null(w);
		return;
	}
	assert_non_null(w);
	assert_true(bstr_eq(w->name, bstr_from(name)));
}

/*
 * Guards against a key in two workspaces that belongs to one workspace on one
 * VM and to the other one on the next, after a different order of reading.
 */
static void
test_key_in_two(void **state)
{
	char *const keys_b[] = {"only-b", "both"};
	char *const keys_a[] = {"both", "only-a"};
	char *const keys_aa[] = {"both", "both"};

	(void)state;
	for (int first = 0; first < 3; first++) {
		struct wstab_entry e[3];
		struct workspace_table *t;

		e[first] = entry("b", 1, keys_b, 2);
		e[(first + 1) % 3] = entry("a", 2, keys_a, 2);
		e[(first + 2) % 3] = entry("aa", 3, keys_aa, 2);
		t = wstab_new(e, 3);
		release(e, 3);
		assert_int_equal(wstab_n_workspaces(t), 3);
		assert_owner(t, "both", "a");
		assert_owner(t, "only-a", "a");
		assert_owner(t, "only-b", "b");
		assert_owner(t, "none", NULL);
		assert_owner(t, "BOTH", NULL);
		assert_owner(t, "", NULL);
		wstab_unref(t);
	}
}

/* Guards against a table that ends while a routing table still uses it. */
static void
test_references(void **state)
{
	char *const keys[] = {"k"};
	struct wstab_entry e = entry("a", WSTAB_NO_PRIORITY, keys, 1);
	struct workspace_table *t = wstab_new(&e, 1);
	struct workspace_table *empty = wstab_new(NULL, 0);
	struct usage_counter *u = e.workspace.usage;

	(void)state;
	wstab_ref(t);
	wstab_unref(t);
	assert_owner(t, "k", "a");
	assert_ptr_equal(wstab_find(t, BSTR("k"))->usage, u);
	assert_int_equal(wstab_find(t, BSTR("k"))->priority, WSTAB_NO_PRIORITY);
	wstab_unref(t);
	/* The counter outlives the table. */
	usage_counter_add(u, 1, 1);
	assert_int_equal(usage_counter_get(u, 1), 1);
	usage_counter_unref(u);
	assert_owner(empty, "k", NULL);
	wstab_unref(empty);
}

/* Mean time of a lookup; every hundredth key is unknown. */
static double
lookup_ns(const struct workspace_table *t, char *const *keys)
{
	struct random rng;
	uint32_t *order = malloc(N_LOOKUPS * sizeof(*order));
	uint32_t found = 0, expected = 0;
	int64_t begin_us;
	double ns;

	rng_init(&rng, 1);
	for (int i = 0; i < N_LOOKUPS; i++)
		order[i] = rng_below(&rng, N_KEYS);
	begin_us = clk_mono_us();
	for (int i = 0; i < N_LOOKUPS; i++) {
		/* Without its last byte, no key is in the table. */
		bool known = i % PERCENT != 0;

		expected += known;
		found += wstab_find(t,
			     (struct bstr){
				 keys[order[i]], KEY_BYTES - !known}) != NULL;
	}
	ns = (double)(clk_mono_us() - begin_us) * 1000 / N_LOOKUPS;
	assert_int_equal(found, expected);
	free(order);
	return (ns);
}

/*
 * All of 100,000 keys are found in the workspace that has them. The time of a
 * lookup is printed and not judged, because the machine is shared.
 */
static void
test_many_keys(void **state)
{
	char **keys = calloc(N_KEYS, sizeof(*keys));
	struct wstab_entry *e = calloc(N_KEYS / PERCENT, sizeof(*e));
	struct workspace_table *t;

	(void)state;
	for (int i = 0; i < N_KEYS; i++) {
		keys[i] = malloc(KEY_BYTES + 1);
		snprintf(keys[i], KEY_BYTES + 1, "%0*d", KEY_BYTES, i);
	}
	for (int i = 0; i < N_KEYS / PERCENT; i++) {
		char name[16];

		snprintf(name, sizeof(name), "w%d", i);
		e[i] = entry(name, 0, &keys[i * PERCENT], PERCENT);
		e[i].workspace.name.p = bstr_dup(e[i].workspace.name);
	}
	t = wstab_new(e, N_KEYS / PERCENT);
	release(e, N_KEYS / PERCENT);
	for (int i = 0; i < N_KEYS; i++) {
		char name[16];

		snprintf(name, sizeof(name), "w%d", i / PERCENT);
		assert_owner(t, keys[i], name);
	}
	print_message(
	    "lookup among %d keys: %.0f ns\n", N_KEYS, lookup_ns(t, keys));
	wstab_unref(t);
	for (int i = 0; i < N_KEYS / PERCENT; i++)
		free((char *)(uintptr_t)e[i].workspace.name.p);
	for (int i = 0; i < N_KEYS; i++)
		free(keys[i]);
	free(keys);
	free(e);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_credential),
	    cmocka_unit_test(test_credential_length),
	    cmocka_unit_test(test_key_in_two),
	    cmocka_unit_test(test_references),
	    cmocka_unit_test(test_many_keys),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
