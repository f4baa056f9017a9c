/* Tests which pages of a list that may be stale are used. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <glib.h>

#include "base/byte_string.h"
#include "platform/kind_reader.h"

#define WATCH_MS 500

static const struct kind_reader_policy policy = {
    .path = "servers", .wait_ms = WATCH_MS};

static int
setup(void **state)
{
	struct kind_reader *r = g_new0(struct kind_reader, 1);

	kind_reader_init(r, &policy, 0);
	*state = r;
	return (0);
}

static int
teardown(void **state)
{
	kind_reader_finish(*state);
	g_free(*state);
	return (0);
}

static void
expect_path(const struct kind_reader *r, const char *expected)
{
	char *path = kind_reader_path(r);

	assert_string_equal(path, expected);
	g_free(path);
}

/* An exact list of one page at @revision, as the starting point. */
static void
list_at(struct kind_reader *r, int64_t revision)
{
	assert_true(kind_reader_accept_page(r, revision));
	kind_reader_end_list(r, 0);
}

static void
test_paths(void **state)
{
	struct kind_reader *r = *state;

	expect_path(r, "servers");
	list_at(r, 7);
	expect_path(r, "servers?watch=7&waitMs=500");
	kind_reader_schedule_stale_list(r, 0, 9);
	expect_path(r, "servers?staleOk=1");
	assert_true(kind_reader_continue(r, BSTR("u4")));
	expect_path(r, "servers?staleOk=1&after=u4");
}

/*
 * Guards against contents that count as current although no answer shows it.
 * Only exact lists and watches do; a late answer shows an earlier state, and
 * that to another kind only what was watched before it.
 */
static void
test_confirmed(void **state)
{
	struct kind_reader *r = *state;

	kind_reader_on_sent(r, 100);
	list_at(r, 7);
	assert_int_equal(r->confirmed_ms, 100);
	kind_reader_schedule_stale_list(r, 0, 8);
	kind_reader_on_sent(r, 200);
	list_at(r, 8);
	assert_int_equal(r->confirmed_ms, 100);
	kind_reader_on_sent(r, 1000);
	kind_reader_confirm(r, 999, 1300);
	assert_int_equal(r->confirmed_ms, 100);
	kind_reader_confirm(r, 1000, 1300);
	assert_int_equal(r->confirmed_ms, 1300);
	kind_reader_end_watch(r, 9, 9000);
	assert_int_equal(r->confirmed_ms, 1000 + WATCH_MS);
	r->next_ms = 9000;
	kind_reader_confirm(r, 9000, 9500);
	assert_int_equal(r->confirmed_ms, 1000 + WATCH_MS);
}

/*
 * Guards against a list that cannot go on: a name that other writers chose,
 * with characters that have a meaning in a query or must not stand in one, was
 * sent as it is. The call failed, or continued at another name.
 */
static void
test_name_in_query(void **state)
{
	struct kind_reader *r = *state;

	assert_true(kind_reader_continue(r, BSTR("old job%41&b=c#d+e/f?")));
	expect_path(r, "servers?after=old%20job%2541%26b%3Dc%23d%2Be%2Ff%3F");
	assert_true(kind_reader_continue(r, BSTR("\xc3\xa4\x01\r\n")));
	expect_path(r, "servers?after=%C3%A4%01%0D%0A");
	assert_true(kind_reader_continue(r, BSTR("a\0b")));
	expect_path(r, "servers?after=a%00b");
}

/* A page that ends at the name it was to continue after makes no progress. */
static void
test_no_progress(void **state)
{
	struct kind_reader *r = *state;

	assert_true(kind_reader_continue(r, BSTR("u 4")));
	assert_false(kind_reader_continue(r, BSTR("u 4")));
	assert_true(kind_reader_continue(r, BSTR("u 5")));
}

/*
 * Pages can come from different states. The list counts as old as its oldest
 * page, so that the watch after it misses nothing.
 */
static void
test_pages_of_different_age(void **state)
{
	struct kind_reader *r = *state;

	list_at(r, 7);
	kind_reader_schedule_stale_list(r, 0, 9);
	assert_true(kind_reader_accept_page(r, 12));
	assert_true(kind_reader_continue(r, BSTR("u4")));
	/* Changes before the first page must not replace what is in it. */
	assert_int_equal(kind_reader_revision(r), 12);
	assert_true(kind_reader_accept_page(r, 10));
	kind_reader_end_list(r, 0);
	assert_int_equal(kind_reader_revision(r), 10);
	expect_path(r, "servers?watch=10&waitMs=500");
}

/* After three answers that are too old, the list is exact. */
static void
test_too_old(void **state)
{
	struct kind_reader *r = *state;

	list_at(r, 7);
	kind_reader_schedule_stale_list(r, 0, 9);
	for (int i = 0; i < 3; i++) {
		expect_path(r, "servers?staleOk=1");
		assert_false(kind_reader_accept_page(r, 8));
		kind_reader_reject(r, 100 * i);
	}
	expect_path(r, "servers");
	assert_int_equal(r->next_ms, 200);
	assert_int_equal(kind_reader_revision(r), 7);
	list_at(r, 11);
	assert_int_equal(kind_reader_revision(r), 11);
}

/* An answer older than what is known is not used, whatever was wanted. */
static void
test_never_back(void **state)
{
	struct kind_reader *r = *state;

	list_at(r, 7);
	kind_reader_schedule_stale_list(r, 0, 0);
	assert_false(kind_reader_accept_page(r, 6));
	assert_true(kind_reader_accept_page(r, 7));
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, setup, teardown)

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    TEST(test_paths),
	    TEST(test_confirmed),
	    TEST(test_name_in_query),
	    TEST(test_no_progress),
	    TEST(test_pages_of_different_age),
	    TEST(test_too_old),
	    TEST(test_never_back),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
