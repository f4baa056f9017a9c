/* Tests when a VM writes its entry in the list of VMs. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "platform/member_entry.h"

static int
setup(void **state)
{
	static struct member_entry entry;
	const struct obj_member self = {
	    .id = "vm1", .zone = "a", .address = "127.0.0.1:7"};

	member_entry_init(&entry);
	member_entry_set(&entry, &self, 0);
	*state = &entry;
	return (0);
}

static int
teardown(void **state)
{
	member_entry_finish(*state);
	return (0);
}

static void
test_without_list(void **state)
{
	const struct member_entry *e = *state;

	assert_int_equal(e->due_ms, MEMBER_ENTRY_CHECK_MS);
	assert_false(e->exists);
}

static void
test_missing_in_list(void **state)
{
	struct member_entry *e = *state;

	member_entry_end_list(e, 20);
	assert_int_equal(e->due_ms, 20);
}

/*
 * When all VMs start at once, the list can arrive after the entry was sent. It
 * must not cause a second write.
 */
static void
test_late_list(void **state)
{
	struct member_entry *e = *state;

	member_entry_on_sent(e);
	assert_int_equal(e->due_ms, INT64_MAX);
	member_entry_end_list(e, 1500);
	assert_int_equal(e->due_ms, INT64_MAX);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_without_list),
	    TEST(test_missing_in_list),
	    TEST(test_late_list),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
