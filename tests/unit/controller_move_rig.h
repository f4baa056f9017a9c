/*
 * controller_move_rig - test rig of the move controller, without threads.
 *
 * Replaces the other controllers, the store thread and the operator server.
 * Checks that each request is answered at most once and counts those without an
 * answer. A test program includes it once.
 *
 *	request("GET", "status", "", NULL);
 *	assert_int_equal(rig.status, 200);
 *	run_ms(1000);
 */
#ifndef UNIT_CONTROLLER_MOVE_RIG_H
#define UNIT_CONTROLLER_MOVE_RIG_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>

#include "control/controller_move.h"

#define START_MS 100000
#define TICK_MS 50

static const char zones[] =
    "{\"zones\":[{\"name\":\"a\",\"state\":\"in\"},{\"name\":\"b\","
    "\"state\":\"in\"},{\"name\":\"c\",\"state\":\"in\"}]}";
static const char menu[] =
    "{\"name\":\"menu\",\"hosts\":[\"menu\"],\"routes\":[{\"prefix\":\"/\","
    "\"idempotent\":true}],\"versions\":[{\"name\":\"v1\",\"share\":1000},"
    "{\"name\":\"v2\",\"share\":0}],\"upstreams\":["
    "{\"id\":\"m1\",\"addr\":\"127.0.0.1:1\",\"zone\":\"a\",\"version\":"
    "\"v1\"},{\"id\":\"m2\",\"addr\":\"127.0.0.1:2\",\"zone\":\"b\","
    "\"version\":\"v1\"},{\"id\":\"n1\",\"addr\":\"127.0.0.1:5\",\"zone\":"
    "\"a\",\"version\":\"v2\"},{\"id\":\"n2\",\"addr\":\"127.0.0.1:6\","
    "\"zone\":\"b\",\"version\":\"v2\"}]}";

/*
 * State of the control thread and of the replaced parts. The store answers at
 * once while store_up is set, and otherwise not at all. status, answer and text
 * hold the latest answer to a request.
 */
static struct rig {
	struct control c;
	struct settings set;
	GHashTable *store_versions; /* key -> version */
	uint64_t revision;
	bool store_up;
	bool fresh;
	bool is_executor;
	int n_unanswered;
	unsigned status;
	json_t *answer;
	char *text;
	uint64_t list_tag;
	uint64_t put_tag;
	int n_puts;
	int n_gets;
	struct vm_id sent_to;
	int n_sent;
} rig;

struct ops_request *
ops_request_of(struct msgq_msg *m)
{
	return (caa_container_of(m, struct ops_request, m));
}

static void
request_free(struct ops_request *r)
{
	assert_true(rig.n_unanswered > 0);
	rig.n_unanswered--;
	json_decref(r->body);
	free(r->method);
	free(r->path);
	free(r->format);
	free(r);
}

void
ops_answer(struct ops_request *r, unsigned status, json_t *value)
{
	assert_non_null(value);
	json_decref(rig.answer);
	rig.answer = value;
	rig.status = status;
	request_free(r);
}

void
ops_answer_text(struct ops_request *r, unsigned status,
    const char *content_type, struct bstr text)
{
	(void)content_type;
	free(rig.text);
	rig.text = bstr_dup(text);
	rig.status = status;
	request_free(r);
}

void
ops_answer_error(struct ops_request *r, enum err_kind kind, const char *detail)
{
	const struct err_answer *a = err_answer(kind);

	ops_answer(r, a->status,
	    json_pack("{s:s,s:s}", "error", a->name, "detail", detail));
}

void
store_thread_get(struct store_thread *s, const char *key, uint64_t tag)
{
	(void)s;
	(void)key;
	(void)tag;
	rig.n_gets++;
}

void
store_thread_put(struct store_thread *s, const char *key, json_t *value,
    uint64_t if_version, uint64_t tag)
{
	(void)s;
	(void)key;
	(void)value;
	(void)if_version;
	rig.put_tag = tag;
	rig.n_puts++;
}

void
store_thread_list(struct store_thread *s, const char *prefix, uint64_t tag)
{
	(void)s;
	assert_string_equal(prefix, "report/");
	rig.list_tag = tag;
}

void
ctl_send(struct control *c, const struct vm_id *to, enum peer_msg_type type,
    struct bstr body)
{
	(void)c;
	(void)type;
	(void)body;
	rig.sent_to = *to;
	rig.n_sent++;
}

void
ctl_broadcast(struct control *c, enum peer_msg_type type, struct bstr body)
{
	(void)c;
	(void)type;
	(void)body;
}

bool
ctl_is_fresh(const struct control *c)
{
	(void)c;
	return (rig.fresh);
}

bool
ctl_is_executor(void *c, const char *intent)
{
	(void)c;
	(void)intent;
	return (rig.is_executor);
}

enum rt_state
ctl_upstream_state(const struct ctl_upstream *u)
{
	(void)u;
	return (RT_READY);
}

static void
store_put(struct control *c, const struct config_effect *e)
{
	struct config_out out = {0};
	uint64_t stored_version =
	    GPOINTER_TO_SIZE(g_hash_table_lookup(rig.store_versions, e->key));

	if (!rig.store_up)
		return;
	if (stored_version == e->version) {
		g_hash_table_replace(rig.store_versions, g_strdup(e->key),
		    GSIZE_TO_POINTER(++rig.revision));
		config_on_put(&c->config, e->change, CONFIG_PUT_OK,
		    rig.revision, c->now_ms, &out);
	} else {
		const struct objtab_object *o =
		    objtab_find(&c->config.objects, e->key);

		config_on_put(&c->config, e->change, CONFIG_PUT_CONFLICT, 0,
		    c->now_ms, &out);
		config_out_clear(&out);
		config_on_read(&c->config, e->key,
		    o == NULL ? CONFIG_READ_ABSENT : CONFIG_READ_OK,
		    stored_version, o == NULL ? NULL : o->newest_value,
		    c->now_ms, &out);
	}
	ctl_apply_config(c, &out);
	config_out_finish(&out);
}

void
ctl_apply_config(struct control *c, struct config_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const struct config_effect *e = &out->effects[i];

		if (e->kind == CONFIG_PUT)
			store_put(c, e);
		else if (e->kind == CONFIG_PUBLISH)
			ctl_on_published(c, e->key, e->version, e->value);
		else if (e->kind == CONFIG_ANSWER)
			ctl_on_change_result(c, e->change, e->status, e->text);
	}
	config_out_clear(out);
}

static void
request(const char *method, const char *path, const char *format, json_t *body)
{
	struct ops_request *r = calloc(1, sizeof(*r));

	assert_non_null(r);
	r->method = bstr_dup(bstr_from(method));
	r->path = bstr_dup(bstr_from(path));
	r->format = bstr_dup(bstr_from(format));
	r->body = body;
	rig.n_unanswered++;
	rig.status = 0;
	ctl_on_ops(&rig.c, &r->m);
}

static json_t *
object_body(const char *value, int if_version)
{
	return (json_pack("{s:o,s:i}", "value", json_loads(value, 0, NULL),
	    "if_version", if_version));
}

static void
run_ms(int64_t ms)
{
	for (int64_t t = 0; t < ms; t += TICK_MS) {
		struct config_out out = {0};

		rig.c.now_ms += TICK_MS;
		if (rig.store_up)
			rig.c.store_ok_ms = rig.c.now_ms;
		config_tick(&rig.c.config, rig.c.now_ms, &out);
		ctl_apply_config(&rig.c, &out);
		config_out_finish(&out);
		controller_move.ops->tick(&rig.c);
	}
}

static const char *
answer_field(const char *key)
{
	const char *s = json_string_value(json_object_get(rig.answer, key));

	return (s == NULL ? "" : s);
}

/* Adds an upstream of the service "menu" with one good call. */
static void
add_upstream(const char *id, const char *version, const char *zone)
{
	struct ctl_upstream *u = g_new0(struct ctl_upstream, 1);

	u->id = g_strdup(id);
	u->addr = g_strdup("127.0.0.1:1");
	u->service = g_strdup("menu");
	u->version = g_strdup(version);
	u->zone = g_strdup(zone);
	u->stat = rt_stat_new();
	u->stat->good = 1;
	g_hash_table_insert(rig.c.upstreams, u->id, u);
}

static void
upstream_free(gpointer p)
{
	struct ctl_upstream *u = p;

	rt_stat_unref(u->stat);
	g_free(u->id);
	g_free(u->addr);
	g_free(u->service);
	g_free(u->version);
	g_free(u->zone);
	g_free(u);
}

static int
setup(void **state)
{
	static char zone[] = "a";
	struct control *c = &rig.c;

	(void)state;
	rig = (struct rig){.store_up = true,
	    .fresh = true,
	    .is_executor = true,
	    .revision = 1};
	rig.set.zone = zone;
	rig.store_versions =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	c->desc.set = &rig.set;
	c->self = vmid_from(BSTR("vm1@1"));
	c->now_ms = START_MS;
	c->store_ok_ms = START_MS;
	rng_init(&c->rng, 1);
	member_init(&c->membership, &(struct member_desc){.self = c->self});
	fresh_init(&c->freshness, &(struct fresh_desc){.self = c->self});
	partition_init(
	    &c->partitions, &(struct partition_desc){.self = c->self});
	config_init(&c->config, &(struct config_desc){.self = c->self});
	config_on_members(&c->config, &c->self, 1);
	c->upstreams =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, upstream_free);
	c->tallies = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, (GDestroyNotify)rt_tally_unref);
	controller_move.ops->setup(c);
	add_upstream("m1", "v1", "a");
	add_upstream("m2", "v1", "b");
	add_upstream("n1", "v2", "a");
	add_upstream("n2", "v2", "b");
	request("PUT", "config/zones", "", object_body(zones, 0));
	assert_int_equal(rig.status, 200);
	request("PUT", "config/service/menu", "", object_body(menu, 0));
	assert_int_equal(rig.status, 200);
	return (0);
}

static int
teardown(void **state)
{
	struct control *c = &rig.c;

	(void)state;
	controller_move.ops->finish(c);
	g_hash_table_destroy(c->upstreams);
	g_hash_table_destroy(c->tallies);
	g_hash_table_destroy(rig.store_versions);
	config_finish(&c->config);
	partition_finish(&c->partitions);
	fresh_finish(&c->freshness);
	member_finish(&c->membership);
	json_decref(rig.answer);
	free(rig.text);
	return (rig.n_unanswered);
}

#endif
