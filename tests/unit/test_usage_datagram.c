/*
 * Tests that the codec of usage messages returns what was encoded and rejects
 * everything else, without an access outside the bytes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdio.h>

#include "base/random.h"
#include "peer/move_datagram.h"
#include "peer/msgpack_io.h"
#include "peer/update_datagram.h"
#include "peer/usage_datagram.h"

#define ROUNDS 500
#define FUZZ_ROUNDS 20000

static struct random rng;

static void
random_name(char *out)
{
	uint32_t n = 1 + rng_below(&rng, USAGE_NAME_MAX);

	for (uint32_t i = 0; i < n; i++)
		out[i] = (char)(1 + rng_below(&rng, 255));
	out[n] = '\0';
}

static int64_t
random_number(void)
{
	return ((int64_t)(rng_next(&rng) % (USAGE_DATAGRAM_MAX_NUMBER + 1)));
}

static struct usage_counts_msg
random_counts(void)
{
	struct usage_counts_msg m = {.boot = rng_next(&rng),
	    .time_ms = random_number(),
	    .full = rng_below(&rng, 2) == 0,
	    .n = rng_below(&rng, USAGE_MSG_MAX_COUNTS + 1)};

	random_name(m.vm);
	for (uint32_t i = 0; i < m.n; i++) {
		m.counts[i].window = random_number();
		m.counts[i].count = (uint32_t)rng_next(&rng);
		random_name(m.counts[i].workspace);
	}
	return (m);
}

static struct usage_status_msg
random_status(void)
{
	struct usage_status_msg m = {.token = random_number(),
	    .reported_through = random_number(),
	    .fixed_through = random_number(),
	    .time_ms = random_number(),
	    .n_samples = (uint32_t)rng_next(&rng)};

	random_name(m.vm);
	return (m);
}

/* Whether any usage decoder accepts the bytes. */
static bool
is_accepted(struct bstr bytes)
{
	struct usage_counts_msg counts;
	struct usage_status_msg status;

	return (usage_datagram_decode_counts(bytes, &counts) ||
	    usage_datagram_decode_status(bytes, &status));
}

static void
test_round_trip(void **state)
{
	(void)state;
	for (int i = 0; i < ROUNDS; i++) {
		struct usage_counts_msg c = random_counts(), c2;
		struct usage_status_msg s = random_status(), s2;
		struct bbuf b;

		bbuf_init(&b);
		usage_datagram_encode_counts(&b, &c);
		assert_true(usage_datagram_decode_counts(bbuf_str(&b), &c2));
		assert_string_equal(c.vm, c2.vm);
		assert_true(c.boot == c2.boot && c.time_ms == c2.time_ms);
		assert_int_equal(c.n, c2.n);
		assert_int_equal(c.full, c2.full);
		assert_memory_equal(c.counts, c2.counts, sizeof(c.counts));
		assert_false(usage_datagram_decode_status(bbuf_str(&b), &s2));
		bbuf_clear(&b);
		usage_datagram_encode_status(&b, &s);
		assert_true(usage_datagram_decode_status(bbuf_str(&b), &s2));
		assert_memory_equal(&s, &s2, sizeof(s));
		assert_false(usage_datagram_decode_counts(bbuf_str(&b), &c2));
		bbuf_finish(&b);
	}
}

static void
check_truncated(struct bbuf *b)
{
	for (size_t n = 0; n < b->n; n++)
		assert_false(is_accepted((struct bstr){b->p, n}));
	assert_true(is_accepted(bbuf_str(b)));
	bbuf_add(b, BSTR("\x01"));
	assert_false(is_accepted(bbuf_str(b)));
	bbuf_finish(b);
}

static void
test_truncated_and_trailing(void **state)
{
	struct usage_counts_msg c = random_counts();
	struct usage_status_msg s = random_status();
	struct bbuf b;

	(void)state;
	c.n = USAGE_MSG_MAX_COUNTS;
	for (uint32_t i = 0; i < c.n; i++)
		random_name(c.counts[i].workspace);
	bbuf_init(&b);
	usage_datagram_encode_counts(&b, &c);
	check_truncated(&b);
	bbuf_init(&b);
	usage_datagram_encode_status(&b, &s);
	check_truncated(&b);
}

/*
 * A status with its field @bad of another type, and a number of fields that
 * may be wrong too.
 */
static bool
accepts_status(uint32_t fields, uint32_t bad)
{
	struct mpack_writer w;
	struct bbuf b;
	bool ok;

	bbuf_init(&b);
	mpack_writer_init(&w, &b);
	mpack_put_array(&w, fields);
	for (uint32_t i = 0; i < fields; i++) {
		if ((i == 1) != (i == bad))
			mpack_put_str(&w, BSTR("vm1"));
		else
			mpack_put_uint(&w, i == 0 ? 33 : 7);
	}
	ok = is_accepted(bbuf_str(&b));
	bbuf_finish(&b);
	return (ok);
}

static void
test_wrong_types(void **state)
{
	(void)state;
	assert_true(accepts_status(7, UINT32_MAX));
	assert_false(accepts_status(6, UINT32_MAX));
	assert_false(accepts_status(8, UINT32_MAX));
	for (uint32_t i = 0; i < 7; i++)
		assert_false(accepts_status(7, i));
}

/* Encodes a message whose fields the codec must not accept. */
static bool
accepts_counts(const struct usage_counts_msg *m)
{
	struct bbuf b;
	bool ok;

	bbuf_init(&b);
	usage_datagram_encode_counts(&b, m);
	ok = is_accepted(bbuf_str(&b));
	bbuf_finish(&b);
	return (ok);
}

static void
test_out_of_range(void **state)
{
	const struct usage_counts_msg good = {
	    .vm = "vm1", .counts = {{1, "blue", 1}}, .n = 1};
	struct usage_counts_msg m = good;
	struct usage_status_msg s = {.vm = "vm1", .token = -1};
	struct bbuf b;

	(void)state;
	assert_true(accepts_counts(&good));
	m.vm[0] = '\0';
	assert_false(accepts_counts(&m));
	m = good;
	m.counts[0].workspace[0] = '\0';
	assert_false(accepts_counts(&m));
	m = good;
	m.time_ms = USAGE_DATAGRAM_MAX_NUMBER + 1;
	assert_false(accepts_counts(&m));
	m = good;
	m.counts[0].window = -1;
	assert_false(accepts_counts(&m));
	bbuf_init(&b);
	usage_datagram_encode_status(&b, &s);
	assert_false(is_accepted(bbuf_str(&b)));
	bbuf_finish(&b);
}

/* Encodes a counts message with @n counts and @name for all its names. */
static bool
accepts_names(struct bstr name, uint32_t n)
{
	struct mpack_writer w;
	struct bbuf b;
	bool ok;

	bbuf_init(&b);
	mpack_writer_init(&w, &b);
	mpack_put_array(&w, 6);
	mpack_put_uint(&w, 32);
	mpack_put_str(&w, name);
	mpack_put_uint(&w, 1);
	mpack_put_uint(&w, 1);
	mpack_put_bool(&w, false);
	mpack_put_array(&w, n);
	for (uint32_t i = 0; i < n; i++) {
		mpack_put_array(&w, 3);
		mpack_put_uint(&w, 1);
		mpack_put_str(&w, name);
		mpack_put_uint(&w, 1);
	}
	ok = is_accepted(bbuf_str(&b));
	bbuf_finish(&b);
	return (ok);
}

static void
test_names_and_number_of_counts(void **state)
{
	char longest[USAGE_NAME_MAX + 1];

	(void)state;
	memset(longest, 'x', sizeof(longest));
	assert_true(accepts_names(BSTR("a"), USAGE_MSG_MAX_COUNTS));
	assert_false(accepts_names(BSTR("a"), USAGE_MSG_MAX_COUNTS + 1));
	assert_true(accepts_names((struct bstr){longest, USAGE_NAME_MAX}, 1));
	assert_false(
	    accepts_names((struct bstr){longest, USAGE_NAME_MAX + 1}, 1));
	/* A zero byte would make two names equal. */
	assert_false(accepts_names(BSTR("a\0b"), 1));
}

/* A datagram must not be taken for one of another module. */
static void
test_other_modules(void **state)
{
	struct move_datagram_msg move = {.type = MOVE_DATAGRAM_DECISION,
	    .vm = "vm1",
	    .service = "s",
	    .to_version = "v"};
	struct update_datagram_head head = {.vm = "vm1"};
	struct update_datagram_change changes[UPDATE_DATAGRAM_MAX_CHANGES];
	struct usage_counts_msg c = {.vm = "vm1"};
	struct usage_status_msg s = {.vm = "vm1"};
	struct update_datagram_raw raw;
	struct bbuf b[4];
	uint32_t n;

	(void)state;
	for (int i = 0; i < 4; i++)
		bbuf_init(&b[i]);
	move_datagram_encode(&b[0], &move);
	update_datagram_encode(&b[1], &head, NULL, 0);
	usage_datagram_encode_counts(&b[2], &c);
	usage_datagram_encode_status(&b[3], &s);
	assert_false(is_accepted(bbuf_str(&b[0])));
	assert_false(is_accepted(bbuf_str(&b[1])));
	for (int i = 2; i < 4; i++) {
		struct bstr bytes = bbuf_str(&b[i]);

		assert_false(move_datagram_decode(bytes, &move));
		assert_false(update_datagram_decode(bytes, &head, changes, &n));
		assert_false(update_datagram_decode_raw(bytes, &raw));
	}
	for (int i = 0; i < 4; i++)
		bbuf_finish(&b[i]);
}

/* Changed bytes must not lead to an access outside them. */
static void
test_changed_bytes(void **state)
{
	struct usage_counts_msg c = random_counts();
	struct bbuf b;

	(void)state;
	bbuf_init(&b);
	usage_datagram_encode_counts(&b, &c);
	for (int i = 0; i < FUZZ_ROUNDS; i++) {
		char *p = &b.p[rng_below(&rng, (uint32_t)b.n)];
		char old = *p;

		*p = (char)rng_next(&rng);
		is_accepted(bbuf_str(&b));
		if (i % 4 != 0)
			*p = old;
	}
	bbuf_finish(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_round_trip),
	    cmocka_unit_test(test_truncated_and_trailing),
	    cmocka_unit_test(test_wrong_types),
	    cmocka_unit_test(test_out_of_range),
	    cmocka_unit_test(test_names_and_number_of_counts),
	    cmocka_unit_test(test_other_modules),
	    cmocka_unit_test(test_changed_bytes),
	};

	rng_init(&rng, 1);
	return (cmocka_run_group_tests(tests, NULL, NULL));
}
