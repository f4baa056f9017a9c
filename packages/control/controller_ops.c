/* Operator requests of the move controller. */
#include <string.h>

#include "config/json_reader.h"
#include "control/controller_move.h"
#include "sys/clocks.h"

#define CONFIG_PREFIX "config/"
#define SERVICE_PREFIX "config/service/"
#define INTENTS "intents"
#define INTENTS_PREFIX "intents/"
/* Must be less than the time that the operator API waits for an answer. */
#define REQUEST_TIMEOUT_MS 12000
/*
 * A reply of intents may arrive up to this long after the request was answered
 * with a timeout.
 */
#define LATE_REPLY_MS 30000
#define STORE_NO_RESPONSE "the store does not respond, the change may be stored"

/* Problems may quote bytes that are not UTF-8, which JSON cannot represent. */
static void
answer_problems(struct ops_request *r, const char *problems)
{
	char *text = g_utf8_make_valid(
	    problems == NULL ? "the value is not valid" : problems, -1);

	ops_answer_error(r, ERR_INVALID, g_strchomp(text));
	g_free(text);
}

static void
pending_free(gpointer p)
{
	struct controller_pending *pending = p;

	g_free(pending->key);
	g_free(pending);
}

void
controller_ops_setup(struct control *c)
{
	c->ops_changes = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, pending_free);
	c->ops_intents = g_hash_table_new_full(
	    g_str_hash, g_str_equal, g_free, pending_free);
	c->ops_reports = g_hash_table_new_full(
	    g_direct_hash, g_direct_equal, NULL, pending_free);
}

static void
answer_and_free_table(GHashTable **table)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, *table);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct controller_pending *pending = value;

		if (pending->request != NULL)
			ops_answer_error(
			    pending->request, ERR_LEAVING, "this VM stops");
	}
	g_hash_table_destroy(*table);
	*table = NULL;
}

void
controller_ops_finish(struct control *c)
{
	answer_and_free_table(&c->ops_changes);
	answer_and_free_table(&c->ops_intents);
	answer_and_free_table(&c->ops_reports);
}

static struct controller_pending *
pending_new(struct control *c, struct ops_request *r, const char *key)
{
	struct controller_pending *pending =
	    g_new0(struct controller_pending, 1);

	pending->request = r;
	pending->deadline_ms = c->now_ms + REQUEST_TIMEOUT_MS;
	pending->key = g_strdup(key);
	return (pending);
}

static void
tick_changes(struct control *c)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->ops_changes);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct controller_pending *pending = value;

		if (c->now_ms < pending->deadline_ms)
			continue;
		ops_answer_error(
		    pending->request, ERR_STORE, STORE_NO_RESPONSE);
		g_hash_table_iter_remove(&it);
	}
}

/*
 * The entry of an intent stays in the table after its request has timed out, so
 * that the late reply does not answer a later request for the same intent.
 */
static void
tick_intents(struct control *c)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->ops_intents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct controller_pending *pending = value;

		if (c->now_ms < pending->deadline_ms)
			continue;
		if (pending->request == NULL) {
			g_hash_table_iter_remove(&it);
			continue;
		}
		ops_answer_error(
		    pending->request, ERR_STORE, STORE_NO_RESPONSE);
		pending->request = NULL;
		pending->deadline_ms = c->now_ms + LATE_REPLY_MS;
	}
}

static void
tick_reports(struct control *c)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->ops_reports);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct controller_pending *pending = value;

		if (c->now_ms < pending->deadline_ms)
			continue;
		controller_show_report(c, pending->request, NULL);
		g_hash_table_iter_remove(&it);
	}
}

void
controller_ops_tick(struct control *c)
{
	tick_changes(c);
	tick_intents(c);
	tick_reports(c);
}

/* Answers a failed request with the error and the current intent. */
static void
answer_with_intent(struct ops_request *r, const struct intents_effect *e)
{
	const struct err_answer *a = err_answer(e->error);
	json_t *o = json_pack("{s:s,s:s,s:O,s:I}", "error", a->name, "detail",
	    e->text == NULL ? a->name : e->text, "intent", e->value,
	    "object_version", (json_int_t)e->version);

	ops_answer(r, a->status, o);
}

void
controller_ops_on_reply(struct control *c, const struct intents_effect *e)
{
	struct controller_pending *pending =
	    g_hash_table_lookup(c->ops_intents, e->intent);
	struct ops_request *r = pending == NULL ? NULL : pending->request;
	json_t *o;

	if (pending == NULL)
		return;
	g_hash_table_remove(c->ops_intents, e->intent);
	if (r == NULL)
		return;
	if (e->error != ERR_NONE && e->value != NULL) {
		answer_with_intent(r, e);
		return;
	}
	if (e->error != ERR_NONE) {
		ops_answer_error(r, e->error,
		    e->text == NULL ? err_answer(e->error)->name : e->text);
		return;
	}
	o = e->value == NULL ? json_object() : json_copy(e->value);
	json_object_set_new(
	    o, "object_version", json_integer((json_int_t)e->version));
	json_object_set_new(
	    o, "status", json_string(e->text == NULL ? "accepted" : e->text));
	ops_answer(r, g_strcmp0(e->text, "accepted") == 0 ? 200 : 202, o);
}

/* Returns the version written by the change, JSON null if replaced since. */
static json_t *
written_version(const struct control *c, const char *key, const char *change)
{
	const struct objtab_object *o = objtab_find(&c->config.objects, key);

	if (o == NULL ||
	    (o->newest_value != NULL &&
		g_strcmp0(objtab_change_id(o->newest_value), change) != 0))
		return (json_null());
	return (json_integer((json_int_t)o->version));
}

void
controller_ops_on_change(struct control *c, const char *change,
    enum config_status status, const char *text)
{
	struct controller_pending *pending =
	    g_hash_table_lookup(c->ops_changes, change);

	if (pending == NULL)
		return;
	switch (status) {
	case CONFIG_ACCEPTED:
		ops_answer(pending->request, 200,
		    json_pack("{s:s,s:o}", "status", "accepted", "version",
			written_version(c, pending->key, change)));
		break;
	case CONFIG_PENDING:
		ops_answer(pending->request, 202,
		    json_pack("{s:s}", "status", "stored, not yet accepted"));
		break;
	case CONFIG_CONFLICT:
		ops_answer_error(pending->request, ERR_CONFLICT,
		    "the object has another version");
		break;
	case CONFIG_INVALID:
		answer_problems(pending->request, text);
		break;
	case CONFIG_UNRESOLVED:
		ops_answer_error(
		    pending->request, ERR_STORE, STORE_NO_RESPONSE);
		break;
	}
	g_hash_table_remove(c->ops_changes, change);
}

void
controller_ops_on_list(struct control *c, const struct store_thread_result *r)
{
	gpointer tag = GUINT_TO_POINTER(CONTROLLER_TAG_N(r->tag));
	struct controller_pending *pending =
	    g_hash_table_lookup(c->ops_reports, tag);

	if (pending == NULL)
		return;
	controller_show_report(
	    c, pending->request, r->err == ERR_NONE ? r->value : NULL);
	g_hash_table_remove(c->ops_reports, tag);
}

static void
get_report(struct control *c, struct ops_request *r)
{
	uint32_t tag = (uint32_t)++c->last_tag;

	g_hash_table_replace(
	    c->ops_reports, GUINT_TO_POINTER(tag), pending_new(c, r, NULL));
	store_thread_list(
	    c->store, "report/", CONTROLLER_TAG(CONTROLLER_MOVE, tag));
}

/*
 * Registers a request for an intent. Answers it with a conflict, and returns
 * false, when another request for the intent is pending.
 */
static bool
wait_for_intent(struct control *c, struct ops_request *r, const char *id)
{
	if (g_hash_table_contains(c->ops_intents, id)) {
		ops_answer_error(r, ERR_CONFLICT,
		    "another request for this intent is in progress");
		return (false);
	}
	g_hash_table_replace(
	    c->ops_intents, g_strdup(id), pending_new(c, r, NULL));
	return (true);
}

/* Returns "i-<Unix ms in base 36>-<4 random hex digits>". */
static char *
new_intent_id(struct control *c)
{
	static const char digits[] = "0123456789abcdefghijklmnopqrstuvwxyz";
	uint64_t ms = (uint64_t)clk_wall_ms();
	char text[16];
	size_t at = sizeof(text) - 1;

	text[at] = '\0';
	do {
		text[--at] = digits[ms % 36];
		ms /= 36;
	} while (ms != 0 && at > 0);
	return (g_strdup_printf(
	    "i-%s-%04x", text + at, rng_below(&c->rng, 1 << 16)));
}

static bool
parse_intent(struct control *c, const json_t *body, struct intent_object *i,
    struct bbuf *problems)
{
	static const char *const known_fields[] = {"kind", "zone", "service",
	    "version", "upstream", "slots", "upstreams", "due_ms", NULL};
	json_t *o = json_is_object(body) ? json_copy((json_t *)(uintptr_t)body)
					 : json_object();
	char *id = new_intent_id(c);
	bool ok;

	jread_check_members(o, known_fields, "", problems);
	json_object_set_new(o, "id", json_string(id));
	ok = intent_parse(i, o, problems) && problems->n == 0;
	json_decref(o);
	g_free(id);
	return (ok);
}

static void
declare_intent(struct control *c, struct ops_request *r)
{
	struct intents_view view = controller_move_intents_view(c);
	struct intents_out out = {0};
	struct intent_object intent;
	struct bbuf problems;

	bbuf_init(&problems);
	if (!parse_intent(c, r->body, &intent, &problems)) {
		answer_problems(r, problems.p);
	} else if (wait_for_intent(c, r, intent.id)) {
		intents_declare(&c->intents, &intent, &view, c->now_ms, &out);
		controller_move_carry_out_intents(c, &out);
	}
	intent_finish(&intent);
	bbuf_finish(&problems);
}

static void
confirm_intent(struct control *c, struct ops_request *r, const char *id)
{
	json_int_t shown_version =
	    json_integer_value(json_object_get(r->body, "version"));
	struct intents_view view = controller_move_intents_view(c);
	struct intents_out out = {0};
	uint64_t version = 0;

	intents_get(&c->intents, id, &version);
	if (shown_version > 0)
		version = (uint64_t)shown_version;
	if (!wait_for_intent(c, r, id))
		return;
	intents_confirm(&c->intents, id, version, &view, c->now_ms, &out);
	controller_move_carry_out_intents(c, &out);
}

static void
drop_intent(struct control *c, struct ops_request *r, const char *id)
{
	struct intents_view view = controller_move_intents_view(c);
	struct intents_out out = {0};

	if (!wait_for_intent(c, r, id))
		return;
	intents_drop(&c->intents, id, &view, c->now_ms, &out);
	controller_move_carry_out_intents(c, &out);
}

/* Serves POST intents/<id>/confirm and POST intents/<id>/drop. */
static void
post_intent(struct control *c, struct ops_request *r)
{
	gchar **segments = g_strsplit(r->path, "/", 3);
	guint n = g_strv_length(segments);

	if (n == 3 && strcmp(segments[2], "confirm") == 0)
		confirm_intent(c, r, segments[1]);
	else if (n == 3 && strcmp(segments[2], "drop") == 0)
		drop_intent(c, r, segments[1]);
	else
		ops_answer_error(r, ERR_NOT_FOUND, "no such path");
	g_strfreev(segments);
}

/*
 * The key becomes part of a request line to the store, so it must not contain
 * spaces or line breaks.
 */
static bool
has_permitted_chars(const char *key)
{
	static const char permitted[] =
	    G_CSET_A_2_Z G_CSET_a_2_z G_CSET_DIGITS "._-/";

	return (key[strspn(key, permitted)] == '\0');
}

static bool
check_value(const struct control *c, const char *key, const json_t *value,
    struct bbuf *problems)
{
	struct cfg_service s;
	bool ok = objtab_check(key, value, problems);

	if (!ok || value == NULL || !g_str_has_prefix(key, SERVICE_PREFIX))
		return (ok);
	ok = cfg_parse_service(&s, value, problems) &&
	    cfg_check_refs(&s, config_effective_set(&c->config), problems);
	cfg_service_finish(&s);
	return (ok);
}

static void
write_object(struct control *c, struct ops_request *r, json_t *value,
    uint64_t if_version)
{
	char *key = g_strdup(r->path);
	char *change = g_strdup_printf("op-%.*s-%llu",
	    BSTR_ARG(vmid_str(&c->self)), (unsigned long long)++c->last_change);
	json_t *value_ref = json_incref(value);
	struct config_out out = {0};

	g_hash_table_replace(
	    c->ops_changes, g_strdup(change), pending_new(c, r, key));
	config_write(&c->config,
	    &(struct config_change){.id = change,
		.key = key,
		.value = value_ref,
		.if_version = if_version},
	    c->now_ms, &out);
	ctl_apply_config(c, &out);
	config_out_finish(&out);
	json_decref(value_ref);
	g_free(change);
	g_free(key);
}

static void
put_object(struct control *c, struct ops_request *r)
{
	json_t *value = json_object_get(r->body, "value");
	json_t *version = json_object_get(r->body, "if_version");
	struct bbuf problems;

	bbuf_init(&problems);
	if (!json_is_object(value))
		ops_answer_error(r, ERR_INVALID, "value: must be an object");
	else if (version != NULL &&
	    (!json_is_integer(version) || json_integer_value(version) < 0))
		ops_answer_error(
		    r, ERR_INVALID, "if_version: must be a version or 0");
	else if (!check_value(c, r->path, value, &problems))
		answer_problems(r, problems.p);
	else
		write_object(
		    c, r, value, (uint64_t)json_integer_value(version));
	bbuf_finish(&problems);
}

static void
delete_object(struct control *c, struct ops_request *r)
{
	const struct objtab_object *o =
	    objtab_find(&c->config.objects, r->path);
	json_int_t version =
	    json_integer_value(json_object_get(r->body, "if_version"));

	if (o == NULL || o->newest_value == NULL)
		ops_answer_error(r, ERR_NOT_FOUND, "no such object");
	else
		write_object(
		    c, r, NULL, version > 0 ? (uint64_t)version : o->version);
}

static void
serve_change(struct control *c, struct ops_request *r)
{
	bool post = strcmp(r->method, "POST") == 0;
	bool config = g_str_has_prefix(r->path, CONFIG_PREFIX) &&
	    objtab_is_replicated(r->path);

	if (!ctl_is_fresh(c))
		ops_answer_error(r, ERR_NOT_FRESH,
		    "the configuration on this VM is not fresh");
	else if (post && strcmp(r->path, INTENTS) == 0)
		declare_intent(c, r);
	else if (post && g_str_has_prefix(r->path, INTENTS_PREFIX))
		post_intent(c, r);
	else if (config && !has_permitted_chars(r->path))
		ops_answer_error(r, ERR_INVALID,
		    "a key may hold only letters, digits and . _ - /");
	else if (config && strcmp(r->method, "PUT") == 0)
		put_object(c, r);
	else if (config && strcmp(r->method, "DELETE") == 0)
		delete_object(c, r);
	else
		ops_answer_error(r, ERR_NOT_FOUND, "no such path");
}

void
ctl_on_ops(struct control *c, struct msgq_msg *m)
{
	struct ops_request *r = ops_request_of(m);

	if (strcmp(r->method, "GET") != 0)
		serve_change(c, r);
	else if (strcmp(r->path, "report") == 0)
		get_report(c, r);
	else
		controller_show(c, r);
}
