#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/random.h"
#include "peer/member_codec.h"
#include "peer/msgpack_io.h"

#define FUZZ_ROUNDS 20000
#define ROUND_TRIPS 2000

static uint64_t
test_seed(void)
{
	const char *s = getenv("SEED");
	uint64_t seed = s == NULL ? 1 : strtoull(s, NULL, 10);

	printf("seed %llu, replay with SEED=%llu\n", (unsigned long long)seed,
	    (unsigned long long)seed);
	return (seed);
}

static struct member_msg
random_gossip(struct random *r)
{
	struct member_msg m = {.base = rng_below(r, MEMBER_MAX_BASE),
	    .ping = rng_below(r, 2) == 1,
	    .n = rng_below(r, MEMBER_MAX_ENTRIES + 1)};

	for (uint32_t i = 0; i < m.n; i++) {
		struct member_entry *e = &m.entries[i];
		char text[MEMBER_TEXT_MAX];

		snprintf(text, sizeof(text), "vm%u@%u", rng_below(r, 99),
		    rng_below(r, 9999));
		e->id = vmid_from(bstr_from(text));
		e->addr = member_text(bstr_from(text));
		if (rng_below(r, 4) != 0)
			e->zone = member_text(BSTR("zone"));
		e->heartbeat = rng_next(r) % MEMBER_MAX_HEARTBEAT;
		e->health = (enum member_health)rng_below(r, 3);
		e->leaving = rng_below(r, 2) == 1;
	}
	return (m);
}

static struct fresh_msg
random_fresh(struct random *r)
{
	return ((struct fresh_msg){
	    .kind = (enum fresh_msg_kind)rng_below(r, 2),
	    .token = rng_next(r),
	    .age_ms = (int64_t)rng_below(r, 4000) - 1,
	    .digest = {rng_next(r), rng_next(r)},
	    .settled = rng_below(r, 2) == 1,
	});
}

/* Guards against a field that is lost or changed by encoding and decoding. */
static void
test_round_trip(void **state)
{
	struct random r;

	(void)state;
	rng_init(&r, test_seed());
	for (int round = 0; round < ROUND_TRIPS; round++) {
		struct member_msg m = random_gossip(&r), got;
		struct fresh_msg f = random_fresh(&r), got_f;
		struct bbuf b, again;

		bbuf_init(&b);
		bbuf_init(&again);
		member_codec_put_gossip(&b, &m);
		assert_true(member_codec_get_gossip(bbuf_str(&b), &got));
		assert_int_equal(got.n, m.n);
		assert_int_equal(got.ping, m.ping);
		member_codec_put_gossip(&again, &got);
		assert_true(bstr_eq(bbuf_str(&b), bbuf_str(&again)));
		bbuf_clear(&b);
		member_codec_put_fresh(&b, &f);
		assert_true(member_codec_get_fresh(bbuf_str(&b), &got_f));
		assert_int_equal(got_f.kind, f.kind);
		assert_int_equal(got_f.token, f.token);
		assert_int_equal(got_f.age_ms, f.age_ms);
		assert_true(fresh_digest_eq(&got_f.digest, &f.digest));
		assert_int_equal(got_f.settled, f.settled);
		bbuf_finish(&b);
		bbuf_finish(&again);
	}
}

static bool
decode_fresh(uint64_t kind, int64_t age, bool extra)
{
	struct mpack_writer w;
	struct fresh_msg m;
	struct bbuf b;
	bool ok;

	bbuf_init(&b);
	mpack_writer_init(&w, &b);
	mpack_put_array(&w, 6);
	mpack_put_uint(&w, kind);
	mpack_put_uint(&w, 1);
	mpack_put_int(&w, age);
	mpack_put_uint(&w, 1);
	mpack_put_uint(&w, 1);
	mpack_put_bool(&w, true);
	if (extra)
		mpack_put_bool(&w, true);
	ok = member_codec_get_fresh(bbuf_str(&b), &m);
	bbuf_finish(&b);
	return (ok);
}

/* Guards against values out of range, trailing data and too many entries. */
static void
test_rejected(void **state)
{
	struct mpack_writer w;
	struct member_msg m;
	struct bbuf b;

	(void)state;
	assert_true(decode_fresh(1, -1, false));
	assert_false(decode_fresh(2, 0, false));
	assert_false(decode_fresh(1, -2, false));
	assert_false(decode_fresh(1, 0, true));
	bbuf_init(&b);
	mpack_writer_init(&w, &b);
	mpack_put_array(&w, 3);
	mpack_put_uint(&w, 1);
	mpack_put_bool(&w, false);
	mpack_put_array(&w, MEMBER_MAX_ENTRIES + 1);
	for (int i = 0; i <= MEMBER_MAX_ENTRIES; i++)
		mpack_put_uint(&w, 1);
	assert_false(member_codec_get_gossip(bbuf_str(&b), &m));
	assert_false(member_codec_get_gossip(BSTR(""), &m));
	bbuf_finish(&b);
}

/* Guards against crashes and overreads on corrupted bodies. */
static void
test_fuzz(void **state)
{
	struct random r;

	(void)state;
	rng_init(&r, test_seed());
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		struct member_msg m = random_gossip(&r);
		struct fresh_msg f = random_fresh(&r);
		uint32_t flips = 1 + rng_below(&r, 5);
		struct bbuf b;
		char *copy;
		size_t n;

		bbuf_init(&b);
		if (round % 2 == 0)
			member_codec_put_gossip(&b, &m);
		else
			member_codec_put_fresh(&b, &f);
		for (uint32_t i = 0; i < flips; i++)
			b.p[rng_below(&r, (uint32_t)b.n)] ^=
			    (char)(1 << rng_below(&r, 8));
		/* ASan detects an overread of a copy of the exact size. */
		n = rng_below(&r, 4) == 0 ? rng_below(&r, (uint32_t)b.n) : b.n;
		copy = malloc(n == 0 ? 1 : n);
		assert_non_null(copy);
		memcpy(copy, b.p, n);
		if (member_codec_get_gossip((struct bstr){copy, n}, &m))
			assert_true(m.n <= MEMBER_MAX_ENTRIES);
		if (member_codec_get_fresh((struct bstr){copy, n}, &f))
			assert_true(f.age_ms >= FRESH_STALE);
		free(copy);
		bbuf_finish(&b);
	}
}

/* Guards against reading past the end of an array or the maximum depth. */
static void
test_reader(void **state)
{
	struct mpack_reader r;
	struct mpack_writer w;
	struct bbuf b;

	(void)state;
	bbuf_init(&b);
	mpack_writer_init(&w, &b);
	mpack_put_array(&w, 2);
	mpack_put_uint(&w, 7);
	mpack_put_int(&w, -3);
	mpack_reader_init(&r, bbuf_str(&b));
	mpack_enter(&r, 2);
	assert_int_equal(mpack_uint(&r, 7), 7);
	assert_int_equal(mpack_int(&r), -3);
	assert_true(mpack_ok(&r));
	assert_int_equal(mpack_uint(&r, 7), 0);
	assert_false(mpack_ok(&r));
	mpack_reader_finish(&r);
	bbuf_clear(&b);
	for (int i = 0; i <= MPACK_MAX_DEPTH; i++)
		mpack_put_array(&w, 1);
	mpack_put_uint(&w, 1);
	mpack_reader_init(&r, bbuf_str(&b));
	for (int i = 0; i <= MPACK_MAX_DEPTH; i++)
		mpack_enter(&r, 1);
	assert_false(mpack_ok(&r));
	mpack_reader_finish(&r);
	bbuf_finish(&b);
}

/*
 * Guards against large allocations for a short message: a header of five bytes
 * can declare 2^32 - 1 items. Also covers truncated and unsupported values.
 */
static void
test_declared_length(void **state)
{
	const struct bstr bad[] = {
	    BSTR("\xdd\xff\xff\xff\xff"),
	    BSTR("\x91\xdd\xff\xff\xff\xf0\x01"),
	    BSTR("\xdc\xff\xff\x01"),
	    BSTR("\xc6\xff\xff\xff\xff"),
	    BSTR("\xdf\xff\xff\xff\xff"),
	    BSTR("\xcf\x01"),
	    BSTR("\xc4"),
	    BSTR("\x01\x02"),
	    BSTR("\xdf\xff\xff\xff\xff\x01"),
	    BSTR("\xc6\xff\xff\xff\xff\x01"),
	    BSTR("\x92\x01"),
	    BSTR(""),
	};
	struct mpack_reader whole;

	(void)state;
	mpack_reader_init(&whole, BSTR("\x92\x01\xc4\x01x"));
	assert_true(mpack_ok(&whole));
	mpack_reader_finish(&whole);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		struct mpack_reader r;

		mpack_reader_init(&r, bad[i]);
		assert_false(mpack_ok(&r));
		mpack_reader_finish(&r);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_round_trip),
	    cmocka_unit_test(test_rejected),
	    cmocka_unit_test(test_fuzz),
	    cmocka_unit_test(test_reader),
	    cmocka_unit_test(test_declared_length),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
