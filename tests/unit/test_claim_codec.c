#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "peer/claim_codec.h"
#include "peer/cold_codec.h"

#define ROUNDS 4000
#define FLIPS 6

/* Offset of the seeds of all tests, set by SEED=n. */
static uint64_t
test_seed(void)
{
	const char *s = getenv("SEED");

	return (s == NULL ? 0 : strtoull(s, NULL, 10));
}

static char text[CLAIM_BODY_MAX];

static struct bstr
random_str(struct random *r, uint32_t min, uint32_t max)
{
	return ((struct bstr){text, min + rng_below(r, max - min + 1)});
}

static struct vm_id
random_vmid(struct random *r, char first)
{
	char s[VMID_MAX];

	memset(s, 'x', sizeof(s));
	s[0] = first;
	return (vmid_from((struct bstr){s, 1 + rng_below(r, VMID_MAX)}));
}

static void
random_partition_msg(
    struct random *r, struct partition_msg *m, struct partition_table *t)
{
	memset(m, 0, sizeof(*m));
	m->type =
	    (enum partition_msg_type)(1 + rng_below(r, PARTITION_MSG_PULL));
	m->version = rng_next(r) >> 2;
	m->sent_ms = (int64_t)(rng_next(r) >> 2);
	m->n_items = rng_below(r, PARTITION_COUNT + 1);
	for (uint32_t i = 0; i < m->n_items; i++)
		m->items[i] = (struct partition_item){
		    rng_below(r, PARTITION_COUNT), rng_next(r) >> 2};
	if (m->type != PARTITION_MSG_TABLE)
		return;
	memset(t, 0, sizeof(*t));
	for (int i = 0; i < PARTITION_COUNT; i++) {
		t->part[i].epoch = 1 + (rng_next(r) >> 3);
		t->part[i].owner = random_vmid(r, 'a');
		if (rng_below(r, 2) == 0)
			t->part[i].replica[0] = random_vmid(r, 'b');
		t->part[i].replica[1] = random_vmid(r, 'c');
	}
	t->version = m->version;
	m->table = t;
}

static void
random_claim_msg(struct random *r, struct claim_msg *m)
{
	*m = (struct claim_msg){
	    .type = (enum claim_msg_type)(1 + rng_below(r, 6)),
	    .service = random_str(r, 1, CLAIM_NAME_MAX),
	    .key = random_str(r, 1, CLAIM_NAME_MAX),
	    .fingerprint = rng_next(r),
	    .ingress = random_vmid(r, 'i'),
	    .request_id = rng_next(r),
	    .verdict = (enum claim_verdict)(1 + rng_below(r, 6)),
	    .outcome = (enum claim_outcome)(1 + rng_below(r, 3)),
	    .epoch = 1 + (rng_next(r) >> 3),
	    .ver = {rng_next(r) >> 2, rng_next(r) >> 2},
	    .state = (enum claim_state)(1 + rng_below(r, 4)),
	    .age_ms = rng_below(r, UINT32_MAX / 2),
	    .accepted = rng_below(r, 2) != 0,
	    .result = {.status = 200,
		.content_type = random_str(r, 0, CLAIM_NAME_MAX),
		.body = random_str(r, 0, CLAIM_BODY_MAX),
		.omitted = rng_below(r, 2) != 0}};
}

static void
random_cold_msg(struct random *r, struct cold_msg *m)
{
	*m =
	    (struct cold_msg){.type = (enum cold_msg_type)(1 + rng_below(r, 4)),
		.upstream = random_str(r, 1, COLD_ID_MAX),
		.seq = rng_next(r) >> 2,
		.use = {rng_below(r, 1000), rng_below(r, 1000),
		    (uint32_t)rng_next(r)},
		.hold = rng_below(r, COLD_MAX_SLOTS + 1),
		.saw_cold = rng_below(r, 2) != 0,
		.count = rng_below(r, COLD_MAX_SLOTS + 1),
		.limit = rng_below(r, COLD_MAX_SLOTS + 1),
		.cold = rng_below(r, 2) != 0,
		.epoch = rng_next(r) >> 2,
		.gen = rng_next(r) >> 2,
		.nonce = rng_next(r)};
}

static void
random_probe_msg(struct random *r, struct probe_msg *m)
{
	*m = (struct probe_msg){
	    .type = (enum probe_msg_type)(1 + rng_below(r, 2)),
	    .upstream = random_str(r, 1, COLD_ID_MAX),
	    .epoch = rng_next(r) >> 2,
	    .seq = rng_next(r) >> 2,
	    .state = (enum probe_state)rng_below(r, PROBE_DOWN + 1),
	    .load = (int32_t)rng_below(r, PROBE_MAX_LOAD + 2) - 1};
}

static void
encode(struct random *r, int kind, struct bbuf *b)
{
	struct partition_table t;
	struct partition_msg partition;
	struct claim_msg claim;
	struct cold_msg cold;
	struct probe_msg probe;

	bbuf_clear(b);
	if (kind == 0) {
		random_partition_msg(r, &partition, &t);
		claim_codec_put_partition(b, &partition);
	} else if (kind == 1) {
		random_claim_msg(r, &claim);
		claim_codec_put_claim(b, &claim);
	} else if (kind == 2) {
		random_cold_msg(r, &cold);
		cold_codec_put_cold(b, &cold);
	} else {
		random_probe_msg(r, &probe);
		cold_codec_put_probe(b, &probe);
	}
}

/* Decodes and encodes again into @again. Returns whether it was accepted. */
static bool
decode_and_encode(int kind, struct bstr bytes, struct bbuf *again)
{
	char id[COLD_ID_MAX];
	struct partition_msg partition;
	struct claim_msg claim;
	struct cold_msg cold;
	struct probe_msg probe;

	bbuf_clear(again);
	if (kind == 0 && claim_codec_get_partition(&partition, bytes)) {
		claim_codec_put_partition(again, &partition);
		partition_msg_finish(&partition);
	} else if (kind == 1 && claim_codec_get_claim(&claim, bytes)) {
		claim_codec_put_claim(again, &claim);
		claim_codec_claim_finish(&claim);
	} else if (kind == 2 && cold_codec_get_cold(&cold, id, bytes)) {
		cold_codec_put_cold(again, &cold);
	} else if (kind == 3 && cold_codec_get_probe(&probe, id, bytes)) {
		cold_codec_put_probe(again, &probe);
	}
	return (again->n != 0);
}

/* Guards against fields that are lost or changed by encoding and decoding. */
static void
test_round_trip(void **state)
{
	struct random r;
	struct bbuf a, b;

	(void)state;
	rng_init(&r, test_seed() + 1);
	bbuf_init(&a);
	bbuf_init(&b);
	memset(text, 't', sizeof(text));
	for (int i = 0; i < ROUNDS; i++) {
		encode(&r, i % 4, &a);
		assert_true(decode_and_encode(i % 4, bbuf_str(&a), &b));
		assert_true(bstr_eq(bbuf_str(&a), bbuf_str(&b)));
	}
	bbuf_finish(&a);
	bbuf_finish(&b);
}

/*
 * Guards against crashes on damaged input, and against accepting truncated
 * input or trailing data.
 */
static void
test_damaged(void **state)
{
	struct random r;
	struct bbuf a, b;
	unsigned rejected = 0;

	(void)state;
	rng_init(&r, test_seed() + 2);
	bbuf_init(&a);
	bbuf_init(&b);
	for (int i = 0; i < ROUNDS; i++) {
		uint32_t cut;

		encode(&r, i % 4, &a);
		cut = rng_below(&r, (uint32_t)a.n);
		assert_false(
		    decode_and_encode(i % 4, (struct bstr){a.p, cut}, &b));
		for (uint32_t k = rng_below(&r, FLIPS) + 1; k > 0; k--)
			a.p[rng_below(&r, (uint32_t)(k % 2 ? 64 : a.n)) %
			    a.n] ^= (char)(1 << rng_below(&r, 8));
		rejected += !decode_and_encode(i % 4, bbuf_str(&a), &b);
		encode(&r, i % 4, &a);
		bbuf_add(&a, BSTR("\x00"));
		assert_false(decode_and_encode(i % 4, bbuf_str(&a), &b));
	}
	assert_true(rejected > ROUNDS / 4);
	bbuf_finish(&a);
	bbuf_finish(&b);
}

/* Guards against accepting missing fields and values out of range. */
static void
test_ranges(void **state)
{
	struct random r;
	struct bbuf a, b;
	struct claim_msg m;
	struct partition_msg p = {
	    .type = PARTITION_MSG_HEARTBEAT, .n_items = 1};
	struct cold_msg c;

	(void)state;
	rng_init(&r, test_seed() + 3);
	bbuf_init(&a);
	bbuf_init(&b);
	random_claim_msg(&r, &m);
	m.type = CLAIM_MSG_RECORD;
	m.ingress = (struct vm_id){0};
	claim_codec_put_claim(&a, &m);
	assert_false(decode_and_encode(1, bbuf_str(&a), &b));
	bbuf_clear(&a);
	random_claim_msg(&r, &m);
	m.type = CLAIM_MSG_CLAIM;
	m.key.n = 0;
	claim_codec_put_claim(&a, &m);
	assert_false(decode_and_encode(1, bbuf_str(&a), &b));
	bbuf_clear(&a);
	p.items[0].partition = PARTITION_COUNT;
	claim_codec_put_partition(&a, &p);
	assert_false(decode_and_encode(0, bbuf_str(&a), &b));
	bbuf_clear(&a);
	random_cold_msg(&r, &c);
	c.hold = COLD_MAX_SLOTS + 1;
	cold_codec_put_cold(&a, &c);
	assert_false(decode_and_encode(2, bbuf_str(&a), &b));
	bbuf_finish(&a);
	bbuf_finish(&b);
}

/*
 * Guards against allocating memory by a declared length: these five bytes
 * declare an array that would take 100 GB.
 */
static void
test_declared_length(void **state)
{
	struct bbuf b;

	(void)state;
	bbuf_init(&b);
	for (int kind = 0; kind < 4; kind++)
		assert_false(
		    decode_and_encode(kind, BSTR("\xdd\xff\xff\xff\xff"), &b));
	bbuf_finish(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_round_trip),
	    cmocka_unit_test(test_damaged),
	    cmocka_unit_test(test_ranges),
	    cmocka_unit_test(test_declared_length),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
