#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "base/byte_string.h"
#include "base/error_kind.h"
#include "base/histogram.h"
#include "base/random.h"

/* Guards against accepting numbers with signs, spaces or overflow. */
static void
test_to_u64(void **state)
{
	uint64_t v;

	(void)state;
	assert_true(bstr_to_u64(BSTR("18446744073709551615"), &v));
	assert_int_equal(v, UINT64_MAX);
	assert_false(bstr_to_u64(BSTR("18446744073709551616"), &v));
	assert_false(bstr_to_u64(BSTR("-1"), &v));
	assert_false(bstr_to_u64(BSTR(" 1"), &v));
	assert_false(bstr_to_u64(BSTR(""), &v));
}

/*
 * Guards against a comparison that stops at a zero byte or folds characters
 * other than ASCII letters.
 */
static void
test_caseeq(void **state)
{
	(void)state;
	assert_true(bstr_caseeq(BSTR("Host-1z"), BSTR("hOST-1Z")));
	assert_true(bstr_caseeq(BSTR(""), (struct bstr){0}));
	assert_false(bstr_caseeq(BSTR("a"), BSTR("ab")));
	assert_false(bstr_caseeq(BSTR("a\0b"), BSTR("a\0c")));
	assert_false(bstr_caseeq(BSTR("@["), BSTR("`{")));
	assert_false(bstr_caseeq(BSTR("\xc4"), BSTR("\xe4")));
}

/* Guards against a quantile below the recorded value or too far above it. */
static void
test_hist_bounds(void **state)
{
	static struct histogram h;
	struct random r;

	(void)state;
	rng_init(&r, 1);
	for (int i = 0; i < 1000; i++) {
		uint64_t v = rng_next(&r) >> (24 + rng_below(&r, 39));
		struct histogram one = {0};

		hist_add(&one, v);
		assert_true(hist_quantile(&one, 0.5) >= v);
		assert_true(hist_quantile(&one, 0.5) <= v + v / 16);
		hist_merge(&h, &one);
	}
	assert_int_equal(hist_count(&h), 1000);
}

/* Guards against an error kind without a table row or with a duplicate name. */
static void
test_err_table(void **state)
{
	(void)state;
	for (int k = 0; k < ERR_KIND_COUNT; k++) {
		const struct err_answer *a = err_answer((enum err_kind)k);

		assert_non_null(a->name);
		assert_in_range(a->status, 200, 599);
		assert_int_equal(err_kind_from_name(a->name), k);
	}
}

/*
 * Guards against reporting "not run" for a keyed request on which the owner of
 * the key's partition has not decided.
 */
static void
test_keyed_outcome(void **state)
{
	(void)state;
	for (int k = 0; k < ERR_KIND_COUNT; k++) {
		assert_int_not_equal(
		    err_outcome((enum err_kind)k, true, false), ERR_NOT_RUN);
	}
	assert_int_equal(
	    err_outcome(ERR_OVERLOADED, false, false), ERR_NOT_RUN);
	assert_int_equal(err_outcome(ERR_REFUSED, true, true), ERR_NOT_RUN);
}

static bool
means_not_run(unsigned status)
{
	return (
	    status == 408 || status == 421 || status == 429 || status == 503);
}

/*
 * Guards the responses to callers that interpret some statuses as "not run":
 * against a status other than 503 when a request that was not run ends in an
 * error above 500, and against one of these statuses when the request may have
 * run.
 */
static void
test_not_run_statuses(void **state)
{
	(void)state;
	for (int k = 1; k < ERR_KIND_COUNT; k++) {
		enum err_kind kind = (enum err_kind)k;
		unsigned own = err_answer(kind)->status;

		assert_false(
		    means_not_run(err_status(kind, ERR_UNKNOWN, true)));
		assert_false(means_not_run(err_status(kind, ERR_RAN, true)));
		if (own >= 500 && own != 500)
			assert_int_equal(
			    err_status(kind, ERR_NOT_RUN, true), 503);
		assert_int_equal(err_status(kind, ERR_UNKNOWN, false), own);
	}
	assert_int_equal(err_status(ERR_UNKNOWN_ROUTE, ERR_NOT_RUN, true), 404);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_to_u64),
	    cmocka_unit_test(test_caseeq),
	    cmocka_unit_test(test_hist_bounds),
	    cmocka_unit_test(test_err_table),
	    cmocka_unit_test(test_keyed_outcome),
	    cmocka_unit_test(test_not_run_statuses),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
