/*
 * Tests the room for an answer's head beside the head of its request. Guards
 * against a request that is passed on although its answer would not fit.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "front/head_memory.h"
#include "front/response_head.h"

/** struct room_case - a request head and the room beside it */
struct room_case {
	const char *what;
	size_t head_bytes;
	size_t cookie_bytes;
	unsigned n_records;
	size_t room;
};

/* The connection has 64 KiB; each record takes 64 bytes, and 1 KiB is spare. */
static const struct room_case cases[] = {
    {"small request", 200, 0, 6, RESPONSE_HEAD_MAX_BYTES},
    {"16 KiB in cookies of 100 bytes", 16384, 16300, 170,
	RESPONSE_HEAD_MAX_BYTES},
    {"16 KiB in fields of 60 bytes", 16384, 0, 273, RESPONSE_HEAD_MAX_BYTES},
    {"600 arguments in 16 KiB", 16384, 0, 605, 9408},
    {"the least room that is used", 16384, 0, 736, 1024},
    {"one record more", 16384, 0, 737, 0},
    {"1,000 arguments in 8 KiB", 8192, 0, 1005, 0},
    {"more than the connection has", 1 << 20, 1 << 20, 1 << 20, 0},
};

static void
test_room(void **state)
{
	(void)state;
	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		const struct room_case *k = &cases[i];
		struct headmem m = {.head_bytes = k->head_bytes,
		    .cookie_bytes = k->cookie_bytes};

		print_message("%s\n", k->what);
		headmem_add_records(&m, k->n_records);
		assert_int_equal(headmem_answer_max(&m), k->room);
	}
}

/* Only the values of Cookie fields are copied, whatever the case of the name.
 */
static void
test_fields(void **state)
{
	struct headmem m = {0};

	(void)state;
	headmem_add_field(&m, BSTR("X-Cookie"), BSTR("a=1"));
	assert_int_equal(m.cookie_bytes, 0);
	headmem_add_field(&m, BSTR("cookie"), BSTR("a=1"));
	headmem_add_field(&m, BSTR("Cookie"), BSTR("b=22"));
	assert_int_equal(m.cookie_bytes, 4 + 5);
	assert_int_equal(m.n_records, 3);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_room),
	    cmocka_unit_test(test_fields),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
