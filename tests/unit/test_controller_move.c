#include "unit/controller_move_rig.h"

#include "peer/config_codec.h"
#include "sys/clocks.h"

#define HTTP_UNAVAILABLE 503
#define HOUR_MS 3600000

/* Guards against changed HTTP statuses; camphorctl maps them to exit codes. */
static void
test_objects(void **state)
{
	(void)state;
	assert_string_equal(answer_field("status"), "accepted");
	assert_int_equal(
	    json_integer_value(json_object_get(rig.answer, "version")),
	    rig.revision);
	request("PUT", "config/zones", "", object_body(zones, 1));
	assert_int_equal(rig.status, 409);
	request("PUT", "config/zones", "", object_body("{}", 2));
	assert_int_equal(rig.status, 422);
	request("PUT", "config/other", "", object_body("{}", 0));
	assert_int_equal(rig.status, 422);
	request("PUT", "config/z\xff", "", object_body("{}", 0));
	assert_int_equal(rig.status, 422);
	request("PUT", "config/service/a HTTP/1.1\r\nX: b", "",
	    object_body("{}", 0));
	assert_int_equal(rig.status, 422);
	assert_non_null(strstr(answer_field("detail"), "letters"));
	request("GET", "config/service/menu", "", NULL);
	assert_int_equal(rig.status, 200);
	assert_string_equal(answer_field("key"), "config/service/menu");
	request("GET", "config/service/none", "", NULL);
	assert_int_equal(rig.status, 404);
	request("GET", "config", "", NULL);
	assert_int_equal(
	    json_array_size(json_object_get(rig.answer, "objects")), 2);
	request("PUT", "part/table", "", object_body("{}", 0));
	assert_int_equal(rig.status, 404);
}

/* Declares a drain of zone a and returns its id. */
static char *
declare_drain(void)
{
	request("POST", "intents", "",
	    json_pack("{s:s,s:s}", "kind", "drain-zone", "zone", "a"));
	return (g_strdup(answer_field("id")));
}

/*
 * Guards against an intent that does not get from its declaration to its end,
 * and against requests for intents that are accepted although they are wrong.
 */
static void
test_intent(void **state)
{
	char *id = declare_drain(), *path;

	(void)state;
	assert_int_equal(rig.status, 200);
	assert_true(g_str_has_prefix(id, "i-"));
	assert_non_null(json_object_get(rig.answer, "plan"));
	path = g_strdup_printf("intents/%s/confirm", id);
	request("POST", path, "", json_pack("{s:i}", "version", 1));
	assert_int_equal(rig.status, 409);
	assert_non_null(json_object_get(rig.answer, "intent"));
	request("POST", path, "", json_pack("{s:i}", "version", 0));
	run_ms(1000);
	assert_int_equal(rig.status, 200);
	run_ms(5000);
	g_free(path);
	path = g_strdup_printf("intents/%s", id);
	request("GET", path, "", NULL);
	assert_string_equal(answer_field("state"), "done");
	assert_true(json_is_false(json_object_get(rig.answer, "stuck")));
	assert_non_null(json_object_get(rig.answer, "report"));
	assert_true(cfg_zone_is_out(config_effective_set(&rig.c.config), "a"));
	request("GET", "intents", "", NULL);
	assert_int_equal(
	    json_array_size(json_object_get(rig.answer, "intents")), 1);
	request("POST", "intents/none/drop", "", NULL);
	assert_int_equal(rig.status, 404);
	request("POST", "intents", "", json_pack("{s:s}", "kind", "else"));
	assert_int_equal(rig.status, 422);
	request("POST", "intents", "",
	    json_pack("{s:s,s:s,s:s}", "kind", "drain-zone", "zone", "b",
		"state", "confirmed"));
	assert_int_equal(rig.status, 422);
	g_free(path);
	g_free(id);
}

/* Guards against requests with no answer, or with two, in a store outage. */
static void
test_store_outage(void **state)
{
	char *id = declare_drain();
	char *path = g_strdup_printf("intents/%s/drop", id);

	(void)state;
	rig.store_up = false;
	request("PUT", "config/zones", "", object_body(zones, 2));
	request("POST", path, "", NULL);
	assert_int_equal(rig.n_unanswered, 2);
	run_ms(11000);
	assert_int_equal(rig.n_unanswered, 2);
	run_ms(1100);
	assert_int_equal(rig.n_unanswered, 0);
	assert_int_equal(rig.status, HTTP_UNAVAILABLE);
	/* The first drop may still take effect, so a second one is refused. */
	request("POST", path, "", NULL);
	assert_int_equal(rig.status, 409);
	run_ms(60000);
	assert_int_equal(rig.n_unanswered, 0);
	rig.store_up = true;
	request("POST", path, "", NULL);
	assert_int_equal(rig.status, 200);
	g_free(path);
	g_free(id);
}

/* Guards against requests that hang when the daemon stops. */
static void
test_stop(void **state)
{
	(void)state;
	rig.store_up = false;
	request("PUT", "config/zones", "", object_body(zones, 2));
	g_free(declare_drain());
	request("GET", "report", "text", NULL);
	assert_int_equal(rig.n_unanswered, 3);
	controller_move.ops->finish(&rig.c);
	assert_int_equal(rig.n_unanswered, 0);
	controller_move.ops->setup(&rig.c);
}

/* Guards against changes that are decided on a stale configuration. */
static void
test_not_fresh(void **state)
{
	(void)state;
	rig.fresh = false;
	request("PUT", "config/zones", "", object_body(zones, 2));
	assert_string_equal(answer_field("error"), "not-fresh");
	g_free(declare_drain());
	assert_string_equal(answer_field("error"), "not-fresh");
	request("GET", "status", "", NULL);
	assert_int_equal(rig.status, 200);
	assert_true(json_is_false(json_object_get(rig.answer, "fresh")));
	request("GET", "upstreams", "", NULL);
	assert_int_equal(rig.status, 200);
	assert_int_equal(
	    json_array_size(json_object_get(rig.answer, "upstreams")), 4);
}

static void
answer_list(enum err_kind err, json_t *value)
{
	struct store_thread_result r = {
	    .op = STORE_THREAD_LIST, .tag = rig.list_tag, .err = err};

	r.value = value;
	controller_move.ops->on_store(&rig.c, &r);
	json_decref(value);
}

/* Guards against a partial burn report that looks complete. */
static void
test_report(void **state)
{
	static const char missing[] = "The store does not respond";

	(void)state;
	run_ms(1000);
	request("GET", "report", "text", NULL);
	answer_list(ERR_STORE, NULL);
	assert_int_equal(rig.n_unanswered, 0);
	assert_non_null(strstr(rig.text, missing));
	assert_non_null(strstr(rig.text, "menu"));
	request("GET", "report", "html", NULL);
	answer_list(ERR_STORE, NULL);
	assert_non_null(strstr(rig.text, missing));
	request("GET", "report", "text", NULL);
	answer_list(
	    ERR_NONE, json_pack("{s:i,s:[]}", "revision", 1, "objects"));
	assert_null(strstr(rig.text, missing));
	request("GET", "report", "json", NULL);
	run_ms(12000);
	assert_int_equal(rig.n_unanswered, 0);
	assert_non_null(strstr(answer_field("incomplete"), missing));
	answer_list(ERR_STORE, NULL);
}

/*
 * Guards against a burn report that is never written again after a conflict:
 * the controller has to read the stored version first.
 */
static void
test_own_report(void **state)
{
	struct store_thread_result r = {
	    .op = STORE_THREAD_PUT, .err = ERR_CONFLICT};
	char key[] = "report/vm1@1";

	(void)state;
	run_ms(61000);
	assert_true(rig.n_puts > 0);
	r.key = key;
	r.tag = rig.put_tag;
	assert_int_equal(CONTROLLER_TAG_ID(r.tag), CONTROLLER_MOVE);
	controller_move.ops->on_store(&rig.c, &r);
	assert_int_equal(rig.n_gets, 1);
	r = (struct store_thread_result){.op = STORE_THREAD_GET,
	    .key = key,
	    .tag = rig.put_tag,
	    .version = 77};
	controller_move.ops->on_store(&rig.c, &r);
	assert_int_equal(rig.c.slo.version, 77);
}

/*
 * Guards against metrics that do not reach the executor of a move when it is
 * another VM.
 */
static void
test_metrics(void **state)
{
	char *id, *path;

	(void)state;
	request("POST", "intents", "",
	    json_pack("{s:s,s:s,s:s,s:I}", "kind", "move-version", "service",
		"menu", "version", "v2", "due_ms",
		(json_int_t)(clk_wall_ms() + HOUR_MS)));
	assert_int_equal(rig.status, 200);
	id = g_strdup(answer_field("id"));
	path = g_strdup_printf("intents/%s/confirm", id);
	request("POST", path, "", json_object());
	run_ms(3000);
	assert_int_equal(rig.status, 200);
	assert_true(
	    config_effective_set(&rig.c.config)->services[0].service->has_move);
	g_hash_table_insert(
	    rig.c.tallies, g_strdup("menu\n/\nv1"), rt_tally_new());
	g_hash_table_insert(
	    rig.c.tallies, g_strdup("menu\n/\nv2"), rt_tally_new());
	rig.is_executor = false;
	run_ms(2000);
	assert_int_equal(rig.n_sent, 0);
	rig.c.partitions.table.part[partition_of(bstr_from(id))].owner =
	    vmid_from(BSTR("vm2@1"));
	run_ms(1000);
	assert_int_equal(rig.n_sent, 1);
	assert_int_equal(bstr_cmp(vmid_str(&rig.sent_to), BSTR("vm2@1")), 0);
	g_free(path);
	g_free(id);
}

/*
 * Guards against bad-version decisions that are lost, and against those whose
 * sender is not the peer that sent the message.
 */
static void
test_bad_version(void **state)
{
	static char service[] = "menu", version[] = "v2", intent[] = "i-1";
	static char reason[] = "fails";
	struct vm_id other = vmid_from(BSTR("vm3@1"));
	struct move_msg msg = {.kind = MOVE_MSG_BAD_VERSION,
	    .sender = vmid_from(BSTR("vm2@1")),
	    .bad = {service, version, intent, reason}};
	enum peer_msg_type type;
	struct bbuf body;

	(void)state;
	bbuf_init(&body);
	type = config_codec_put_move(&msg, &body);
	rig.c.table_dirty = false;
	assert_true(controller_move.ops->on_peer(
	    &rig.c, type, &other, bbuf_str(&body)));
	assert_false(rig.c.table_dirty);
	assert_true(controller_move.ops->on_peer(
	    &rig.c, type, &msg.sender, BSTR("not msgpack")));
	assert_false(rig.c.table_dirty);
	assert_true(controller_move.ops->on_peer(
	    &rig.c, type, &msg.sender, bbuf_str(&body)));
	assert_true(rig.c.table_dirty);
	assert_false(controller_move.ops->on_peer(
	    &rig.c, PEER_MSG_GOSSIP, &msg.sender, bbuf_str(&body)));
	bbuf_finish(&body);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test_setup_teardown(test_objects, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_intent, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_store_outage, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_stop, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_not_fresh, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_report, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_own_report, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_metrics, setup, teardown),
	    cmocka_unit_test_setup_teardown(test_bad_version, setup, teardown),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
