#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>

#include "lib/config_sim.h"
#include "lib/golden.h"
#include "peer/config_codec.h"

#define FUZZ_RUNS 20000
#define N_OBJECTS 3000

/* Offset from the environment variable SEED; tests add it to their own seed. */
static uint64_t
test_seed(void)
{
	const char *s = getenv("SEED");

	return (s == NULL ? 0 : strtoull(s, NULL, 10));
}

static void
run_script(FILE *script, FILE *out)
{
	struct config_sim s;

	config_sim_init(&s, 1, out);
	config_sim_script(&s, script);
	if (s.errors != 0)
		fprintf(out, "%d errors\n", s.errors);
	config_sim_finish(&s);
}

/* Guards against regressions in how changes are processed and answered. */
static void
test_golden(void **state)
{
	(void)state;
	assert_int_equal(golden_check("config_state", run_script), 0);
}

/* Returns the intent "x<n>" with a plan of @pad bytes. */
static json_t *
intent(int n, size_t pad)
{
	json_t *v = json_pack(
	    "{s:s+,s:s,s:s}", "id", "x", "", "kind", "drain-zone", "zone", "a");
	char id[16];
	char *text = g_strnfill(pad, 'x');

	snprintf(id, sizeof(id), "x%d", n);
	json_object_set_new(v, "id", json_string(id));
	json_object_set_new(v, "plan", json_string(text));
	g_free(text);
	return (v);
}

/*
 * Delivers messages between two instances until neither sends any more.
 * @largest: raised to the size in bytes of the largest encoded message
 *
 * Return: start time of the synchronisation that succeeded, or -1.
 */
static int64_t
exchange(struct config_state *a, struct config_state *b, struct config_out *out,
    size_t *largest)
{
	struct config_out answers = {0};
	int64_t synced = -1;

	while (out->n != 0) {
		for (uint32_t i = 0; i < out->n; i++) {
			struct config_effect *e = &out->effects[i];
			struct bbuf bytes;
			struct config_msg msg;
			enum peer_msg_type type;

			if (e->kind == CONFIG_SYNCED)
				synced = e->started_ms;
			if (e->kind != CONFIG_SEND)
				continue;
			bbuf_init(&bytes);
			type = config_codec_put(e->msg, &bytes);
			*largest = MAX(*largest, bytes.n);
			assert_true(
			    config_codec_get(type, bbuf_str(&bytes), &msg));
			config_on_msg(
			    vmid_eq(&e->msg->sender, &a->desc.self) ? b : a,
			    &msg, 1, &answers);
			config_msg_finish(&msg);
			bbuf_finish(&bytes);
		}
		config_out_clear(out);
		struct config_out empty = *out;
		*out = answers;
		answers = empty;
	}
	config_out_finish(&answers);
	return (synced);
}

/*
 * Guards against a synchronisation that exceeds the size limit of a message,
 * misses objects below the highest version, or deletes objects that the peer
 * does not hold.
 */
static void
test_sync(void **state)
{
	struct config_state a, b;
	struct config_out out = {0};
	size_t largest = 0;
	char key[32];

	(void)state;
	config_init(&a, &(struct config_desc){.self = vmid_from(BSTR("a@1"))});
	config_init(&b, &(struct config_desc){.self = vmid_from(BSTR("b@1"))});
	for (int i = 1; i <= N_OBJECTS; i++) {
		json_t *v =
		    i % 7 == 0 ? NULL : intent(i, i % 100 == 0 ? 200000 : 50);

		snprintf(key, sizeof(key), "intent/x%d", i);
		config_on_watch(&a, key, (uint64_t)i, v, 0, &out);
		/* b holds every third object, among them the last. */
		if (i % 3 == 0 || i == N_OBJECTS)
			config_on_watch(&b, key, (uint64_t)i, v, 0, &out);
		/* b lacks a newer version of some objects it holds. */
		if (i % 33 == 0)
			config_on_watch(
			    &a, key, N_OBJECTS + (uint64_t)i, v, 0, &out);
		json_decref(v);
		config_out_clear(&out);
	}
	/*
	 * Only b holds x0, whose version is the highest: the first PULL returns
	 * no objects, so that b has to request the list.
	 */
	json_t *own = intent(0, 1);
	config_on_watch(&b, "intent/x0", 2 * N_OBJECTS + 1, own, 0, &out);
	json_decref(own);
	config_out_clear(&out);
	config_pull(&b, &a.desc.self, 7, &out);
	assert_int_equal(exchange(&a, &b, &out, &largest), 7);
	assert_true(largest <= 1024 * 1024);
	assert_non_null(objtab_find(&b.objects, "intent/x0")->value);
	config_pull(&a, &b.desc.self, 8, &out);
	assert_int_equal(exchange(&a, &b, &out, &largest), 8);
	assert_true(config_digest(&a).hash == config_digest(&b).hash);
	assert_int_equal(a.objects.order->len, b.objects.order->len);
	print_message("largest message %zu bytes\n", largest);
	config_out_finish(&out);
	config_finish(&a);
	config_finish(&b);
}

/*
 * Guards against a stale list that restores an older version or deletes a newer
 * object, and against a deleted object that an old version restores.
 */
static void
test_stale_list(void **state)
{
	json_t *v1 = intent(1, 1), *v2 = intent(1, 2);
	json_t *stale = json_pack("{s:i,s:[{s:s,s:i,s:O}]}", "revision", 5,
	    "objects", "key", "intent/x1", "version", 4, "value", v1);
	json_t *empty_old = json_pack("{s:i,s:[]}", "revision", 8, "objects");
	json_t *empty_new = json_pack("{s:i,s:[]}", "revision", 10, "objects");
	struct config_out out = {0};
	struct config_state c;

	(void)state;
	config_init(&c, &(struct config_desc){.self = vmid_from(BSTR("a@1"))});
	config_on_watch(&c, "intent/x1", 9, v2, 0, &out);
	config_on_list(&c, "intent/", stale, 0, &out);
	config_on_list(&c, "intent/", empty_old, 0, &out);
	assert_int_equal(
	    objtab_find(&c.objects, "intent/x1")->effective_version, 9);
	assert_non_null(objtab_find(&c.objects, "intent/x1")->value);
	config_on_list(&c, "intent/", empty_new, 0, &out);
	assert_null(objtab_find(&c.objects, "intent/x1")->value);
	config_on_watch(&c, "intent/x1", 9, v2, 0, &out);
	assert_null(objtab_find(&c.objects, "intent/x1")->value);
	json_decref(v1);
	json_decref(v2);
	json_decref(stale);
	json_decref(empty_old);
	json_decref(empty_new);
	config_out_finish(&out);
	config_finish(&c);
}

static void
decode_all(struct bstr bytes)
{
	for (int type = 0; type <= PEER_MSG_TYPE_MAX; type++) {
		struct config_msg c;
		struct move_msg m;

		config_codec_get((enum peer_msg_type)type, bytes, &c);
		config_msg_finish(&c);
		config_codec_get_move((enum peer_msg_type)type, bytes, &m);
		move_msg_finish(&m);
	}
}

/* Guards against a decoder that aborts or reads out of bounds. */
static void
test_decoder_fuzz(void **state)
{
	char key[] = "config/zones", text[] = "{}", v[] = "v", s[] = "s";
	struct config_item item = {key, 3, 2, false, text};
	struct config_msg c = {.kind = CONFIG_MSG_PUSH,
	    .sender = vmid_from(BSTR("a@1")),
	    .items = &item,
	    .n_items = 1};
	struct move_row row = {s, v, text, 9, 8, 7};
	struct move_msg m = {.sender = c.sender, .rows = &row, .n_rows = 1};
	struct bbuf seeds[4], b;
	struct random r;
	struct config_msg back;

	(void)state;
	for (int i = 0; i < 4; i++)
		bbuf_init(&seeds[i]);
	bbuf_init(&b);
	config_codec_put(&c, &seeds[0]);
	config_codec_put_move(&m, &seeds[1]);
	m.kind = MOVE_MSG_BAD_VERSION;
	m.bad = (struct move_bad_version){s, v, s, text};
	config_codec_put_move(&m, &seeds[2]);
	/* An array header that claims 2^32 - 1 values. */
	bbuf_add(&seeds[3], BSTR("\xdd\xff\xff\xff\xff"));
	assert_true(
	    config_codec_get(PEER_MSG_OBJECT, bbuf_str(&seeds[0]), &back));
	assert_string_equal(back.items[0].value, text);
	config_msg_finish(&back);
	assert_false(
	    config_codec_get(PEER_MSG_OBJECT_ACK, bbuf_str(&seeds[0]), &back));
	config_msg_finish(&back);
	rng_init(&r, test_seed() + 4);
	for (int i = 0; i < FUZZ_RUNS; i++) {
		bbuf_clear(&b);
		bbuf_add(&b, bbuf_str(&seeds[i % 4]));
		for (uint32_t k = rng_below(&r, 4); k > 0; k--)
			b.p[rng_below(&r, (uint32_t)b.n)] = (char)rng_next(&r);
		b.n -= rng_below(&r, 4) == 0 ? rng_below(&r, (uint32_t)b.n) : 0;
		decode_all(bbuf_str(&b));
	}
	for (int i = 0; i < 4; i++)
		bbuf_finish(&seeds[i]);
	bbuf_finish(&b);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_golden),
	    cmocka_unit_test(test_sync),
	    cmocka_unit_test(test_stale_list),
	    cmocka_unit_test(test_decoder_fuzz),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
