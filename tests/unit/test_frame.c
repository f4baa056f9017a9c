#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/random.h"
#include "peer/frame.h"

#define FUZZ_ROUNDS 20000
#define SPLIT_ROUNDS 200

static uint64_t
test_seed(void)
{
	const char *s = getenv("SEED");
	uint64_t seed = s == NULL ? 1 : strtoull(s, NULL, 10);

	printf("seed %llu, replay with SEED=%llu\n", (unsigned long long)seed,
	    (unsigned long long)seed);
	return (seed);
}

static void
encode(struct bbuf *out, enum peer_msg_type type, size_t body_n)
{
	struct vm_id id = vmid_from(BSTR("a@1"));
	char *body = calloc(1, body_n + 1);

	memset(body, 'x', body_n);
	assert_true(frame_encode(out, type, &id, (struct bstr){body, body_n}));
	free(body);
}

/* Guards against lost or corrupted messages when TCP splits the stream. */
static void
test_splits(void **state)
{
	struct random r;

	(void)state;
	rng_init(&r, test_seed());
	for (int round = 0; round < SPLIT_ROUNDS; round++) {
		const size_t sizes[] = {0, 1, 300, 70000};
		struct frame_dec d;
		struct frame_msg m;
		struct bbuf b;
		size_t off = 0, got = 0;

		bbuf_init(&b);
		for (size_t i = 0; i < 4; i++)
			encode(&b, PEER_MSG_GOSSIP, sizes[i]);
		frame_dec_init(&d);
		while (off < b.n) {
			size_t n = 1 + rng_below(&r, round % 2 ? 7000 : 40000);

			n = n > b.n - off ? b.n - off : n;
			frame_dec_add(&d, (struct bstr){b.p + off, n});
			off += n;
			while (frame_dec_next(&d, &m) == FRAME_OK) {
				assert_int_equal(m.type, PEER_MSG_GOSSIP);
				assert_int_equal(m.body.n, sizes[got++]);
			}
			assert_int_equal(d.err, FRAME_OK);
		}
		assert_int_equal(got, 4);
		frame_dec_finish(&d);
		bbuf_finish(&b);
	}
}

static enum frame_err
decode_one(struct bstr bytes)
{
	struct frame_dec d;
	struct frame_msg m;
	enum frame_err err;

	frame_dec_init(&d);
	frame_dec_add(&d, bytes);
	err = frame_dec_next(&d, &m);
	/* The decoder returns the first error again for later bytes. */
	if (err != FRAME_OK && err != FRAME_MORE) {
		frame_dec_add(&d, BSTR("\0\0\0\1x"));
		assert_int_equal(frame_dec_next(&d, &m), err);
	}
	frame_dec_finish(&d);
	return (err);
}

static enum frame_err
decode_envelope(uint64_t protocol, uint64_t type, struct bstr from)
{
	struct mpack_writer w;
	struct bbuf b;
	enum frame_err err;

	bbuf_init(&b);
	bbuf_add(&b, BSTR("\0\0\0\0"));
	mpack_writer_init(&w, &b);
	mpack_put_array(&w, 4);
	mpack_put_uint(&w, protocol);
	mpack_put_uint(&w, type);
	mpack_put_str(&w, from);
	mpack_put_str(&w, BSTR("body"));
	b.p[3] = (char)(b.n - FRAME_HEAD_BYTES);
	err = decode_one(bbuf_str(&b));
	bbuf_finish(&b);
	return (err);
}

/*
 * Guards against accepting a frame with another protocol version, an unknown
 * type, no sender or an invalid length, or bytes of another protocol.
 */
static void
test_errors(void **state)
{
	(void)state;
	assert_int_equal(decode_envelope(1, 2, BSTR("a@1")), FRAME_OK);
	assert_int_equal(decode_envelope(2, 2, BSTR("a@1")), FRAME_PROTOCOL);
	assert_int_equal(
	    decode_envelope(1, 0, BSTR("a@1")), FRAME_UNKNOWN_TYPE);
	assert_int_equal(
	    decode_envelope(1, 15, BSTR("a@1")), FRAME_UNKNOWN_TYPE);
	assert_int_equal(
	    decode_envelope(1, 63, BSTR("a@1")), FRAME_UNKNOWN_TYPE);
	assert_int_equal(decode_envelope(1, 1ULL << 32 | 2, BSTR("a@1")),
	    FRAME_UNKNOWN_TYPE);
	assert_int_equal(decode_envelope(1, 2, BSTR("")), FRAME_GARBAGE);
	assert_int_equal(decode_one(BSTR("\0\0\0\0")), FRAME_TOO_LARGE);
	assert_int_equal(decode_one(BSTR("\0\x10\0\0")), FRAME_TOO_LARGE);
	assert_int_equal(decode_one(BSTR("GET / HTTP/1.1")), FRAME_TOO_LARGE);
	assert_int_equal(decode_one(BSTR("\0\0\0\2\x91\x01")), FRAME_GARBAGE);
	assert_int_equal(decode_one(BSTR("\0\0\0")), FRAME_MORE);
}

/* Guards against encoding a frame that the receiver would reject. */
static void
test_largest(void **state)
{
	struct vm_id id = vmid_from(BSTR("a@1"));
	char *body = calloc(1, FRAME_MAX_BYTES);
	struct frame_dec d;
	struct frame_msg m;
	struct bbuf b;

	(void)state;
	bbuf_init(&b);
	bbuf_add(&b, BSTR("before"));
	assert_false(frame_encode(
	    &b, PEER_MSG_OBJECT, &id, (struct bstr){body, FRAME_MAX_BYTES}));
	assert_int_equal(b.n, 6);
	bbuf_clear(&b);
	assert_true(frame_encode(&b, PEER_MSG_OBJECT, &id,
	    (struct bstr){body, FRAME_MAX_BYTES - 64}));
	frame_dec_init(&d);
	frame_dec_add(&d, bbuf_str(&b));
	assert_true(frame_dec_room(&d) < 64);
	assert_int_equal(frame_dec_next(&d, &m), FRAME_OK);
	assert_int_equal(m.body.n, FRAME_MAX_BYTES - 64);
	frame_dec_finish(&d);
	bbuf_finish(&b);
	free(body);
}

/* Guards against crashes, overreads and endless loops on corrupted input. */
static void
test_fuzz(void **state)
{
	struct random r;

	(void)state;
	rng_init(&r, test_seed());
	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		struct frame_dec d;
		struct frame_msg m;
		struct bbuf b;
		uint32_t flips = 1 + rng_below(&r, 4);

		bbuf_init(&b);
		encode(&b, PEER_MSG_PULL, rng_below(&r, 40));
		encode(&b, PEER_MSG_PULL, rng_below(&r, 40));
		for (uint32_t i = 0; i < flips; i++)
			b.p[rng_below(&r, b.n)] ^= 1 << rng_below(&r, 8);
		frame_dec_init(&d);
		frame_dec_add(
		    &d, (struct bstr){b.p, rng_below(&r, (uint32_t)b.n + 1)});
		while (frame_dec_next(&d, &m) == FRAME_OK)
			assert_true(m.body.n <= b.n);
		frame_dec_finish(&d);
		bbuf_finish(&b);
	}
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_splits),
	    cmocka_unit_test(test_errors),
	    cmocka_unit_test(test_largest),
	    cmocka_unit_test(test_fuzz),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
