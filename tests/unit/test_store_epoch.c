/*
 * Tests the order of states of a store that comes back from an older copy, and
 * epochs that are no number, missing or going back.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "platform/store_epoch.h"

/** struct step - an answer, and what is expected afterwards */
struct step {
	const char *field;
	enum epoch_verdict verdict;
	int64_t current;
};

static const struct step steps[] = {
    {"", EPOCH_CURRENT, 0},
    {"x", EPOCH_CURRENT, 0},
    {"4", EPOCH_CURRENT, 4}, /* the first one is not a new one */
    {"4", EPOCH_CURRENT, 4},
    {"", EPOCH_CURRENT, 4},
    {"5", EPOCH_NEW, 5},
    {"5", EPOCH_CURRENT, 5},
    {"4", EPOCH_OLD, 5},
    {"4", EPOCH_OLD, 5},
    {"0", EPOCH_CURRENT, 5},
    {"-6", EPOCH_CURRENT, 5},
    {"6.5", EPOCH_CURRENT, 5},
    {"99999999999", EPOCH_CURRENT, 5},
    {"8", EPOCH_NEW, 8}, /* two drills while this VM was cut off */
    {"7", EPOCH_OLD, 8},
};

static void
test_notes(void **state)
{
	struct store_epoch e = {0};

	(void)state;
	for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
		print_message("\"%s\"\n", steps[i].field);
		assert_int_equal(epoch_note(&e, bstr_from(steps[i].field)),
		    steps[i].verdict);
		assert_int_equal(e.current, steps[i].current);
	}
}

/* Guards against a state of before that counts as newer than one of after. */
static void
test_order(void **state)
{
	(void)state;
	assert_true(epoch_position(1, 900) < epoch_position(2, 1));
	assert_true(epoch_position(2, 1) < epoch_position(2, 2));
	assert_true(epoch_position(0, 900) < epoch_position(1, 1));
	assert_int_equal(epoch_position(0, 900), 900);
	assert_int_equal(epoch_of(epoch_position(7, 900)), 7);
	assert_int_equal(epoch_revision(epoch_position(7, 900)), 900);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_notes),
	    cmocka_unit_test(test_order),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
