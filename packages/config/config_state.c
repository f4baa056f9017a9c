#include "config/config_state.h"

#include <stdlib.h>

#include "config/config_sync.h"

#define ACK_WAIT_MS 3000
#define STORE_WAIT_MS 20000
#define STORE_RETRY_MS 300
#define PUSH_RETRY_MS 500
/*
 * A stored change without a majority is pushed for this long. Members that miss
 * it obtain it later, when they compare digests with a peer.
 */
#define PENDING_MAX_MS 600000

/* What a local change waits for. */
enum phase {
	PHASE_PUT,   /* result of the write */
	PHASE_READ,  /* result of the read that follows a failed write */
	PHASE_RETRY, /* next_ms, when the key is read again */
	PHASE_ACK,   /* acknowledgements by a majority of the members */
};

/* A change that was submitted to this process and has no final answer yet. */
struct change {
	char *id;
	char *key;
	json_t *value;
	uint64_t if_version;
	enum phase phase;
	bool response_lost;  /* a write may have taken effect unconfirmed */
	uint64_t version;    /* store version, 0 until known */
	int64_t phase_ms;    /* start of the phase */
	int64_t deadline_ms; /* for the store's confirmation */
	int64_t next_ms;     /* next read or push */
	struct vm_id *acked; /* members that acknowledged the version */
	uint32_t n_acked;
	bool pending_reported;
};

static const char *const status_names[] = {
    "accepted", "pending", "conflict", "invalid", "unresolved"};

const char *
config_status_name(enum config_status status)
{
	return (status_names[status]);
}

static void
change_free(gpointer p)
{
	struct change *chg = p;

	g_free(chg->id);
	g_free(chg->key);
	json_decref(chg->value);
	g_free(chg->acked);
	g_free(chg);
}

void
config_init(struct config_state *c, const struct config_desc *desc)
{
	*c = (struct config_state){.desc = *desc};
	if (c->desc.ack_wait_ms == 0)
		c->desc.ack_wait_ms = ACK_WAIT_MS;
	if (c->desc.store_wait_ms == 0)
		c->desc.store_wait_ms = STORE_WAIT_MS;
	objtab_init(&c->objects);
	c->changes = g_ptr_array_new_with_free_func(change_free);
	c->syncs = config_sync_new_list();
}

void
config_finish(struct config_state *c)
{
	objtab_finish(&c->objects);
	g_ptr_array_free(c->changes, TRUE);
	g_ptr_array_free(c->syncs, TRUE);
	g_free(c->members);
	*c = (struct config_state){0};
}

static void
emit_answer(struct change *chg, enum config_status status, const char *text,
    struct config_out *out)
{
	struct config_effect *e =
	    config_sync_emit(out, CONFIG_ANSWER, chg->key);

	e->change = g_strdup(chg->id);
	e->status = status;
	e->version = chg->version;
	e->text = g_strdup(text);
}

/* Sends an object to @to, or to all other members if @to is NULL. */
static void
push(struct config_state *c, const char *key, const struct vm_id *to,
    struct config_out *out)
{
	const struct objtab_object *o = objtab_find(&c->objects, key);
	struct config_msg msg = {.kind = CONFIG_MSG_PUSH};

	if (o == NULL)
		return;
	config_sync_add_object(&msg, o);
	config_sync_emit_send(c, &msg, to, out);
}

void
config_on_members(
    struct config_state *c, const struct vm_id *members, uint32_t n)
{
	g_free(c->members);
	c->n_members = MIN(n, CONFIG_MAX_MEMBERS);
	c->members = g_new(struct vm_id, c->n_members + 1);
	memcpy(c->members, members, c->n_members * sizeof(*members));
}

static bool
has_acked(const struct config_state *c, const struct change *chg,
    const struct vm_id *m)
{
	if (vmid_eq(m, &c->desc.self))
		return (true);
	for (uint32_t i = 0; i < chg->n_acked; i++) {
		if (vmid_eq(&chg->acked[i], m))
			return (true);
	}
	return (false);
}

static bool
has_majority(const struct config_state *c, const struct change *chg)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_members; i++)
		n += has_acked(c, chg, &c->members[i]);
	return (n > c->n_members / 2);
}

static void
finish_change(struct config_state *c, struct change *chg,
    enum config_status status, const char *text, struct config_out *out)
{
	emit_answer(chg, status, text, out);
	g_ptr_array_remove(c->changes, chg);
}

/* Pushes a change that the store confirmed and waits for acknowledgements. */
static void
mark_stored(struct config_state *c, struct change *chg, uint64_t version,
    int64_t now_ms, struct config_out *out)
{
	chg->phase = PHASE_ACK;
	chg->phase_ms = now_ms;
	chg->version = version;
	chg->next_ms = now_ms + PUSH_RETRY_MS;
	push(c, chg->key, NULL, out);
	if (has_majority(c, chg))
		finish_change(c, chg, CONFIG_ACCEPTED, NULL, out);
}

/* Marks those local changes as stored whose ids are in the object table. */
static void
match_stored_changes(
    struct config_state *c, int64_t now_ms, struct config_out *out)
{
	for (guint i = c->changes->len; i-- > 0;) {
		struct change *chg = c->changes->pdata[i];
		const struct objtab_object *o =
		    objtab_find(&c->objects, chg->key);

		if (chg->phase == PHASE_ACK || o == NULL)
			continue;
		if (g_strcmp0(objtab_change_id(o->newest_value), chg->id) == 0)
			mark_stored(c, chg, o->version, now_ms, out);
		else if (g_strcmp0(objtab_change_id(o->value), chg->id) == 0)
			mark_stored(c, chg, o->effective_version, now_ms, out);
	}
}

static struct change *
find_change(struct config_state *c, const char *id)
{
	for (guint i = 0; i < c->changes->len; i++) {
		struct change *chg = c->changes->pdata[i];

		if (strcmp(chg->id, id) == 0)
			return (chg);
	}
	return (NULL);
}

static void
emit_put(struct change *chg, int64_t now_ms, struct config_out *out)
{
	struct config_effect *e = config_sync_emit(out, CONFIG_PUT, chg->key);

	e->change = g_strdup(chg->id);
	e->version = chg->if_version;
	e->value = json_incref(chg->value);
	chg->phase = PHASE_PUT;
	chg->phase_ms = now_ms;
}

static void
emit_get(struct change *chg, int64_t now_ms, struct config_out *out)
{
	config_sync_emit(out, CONFIG_GET, chg->key);
	chg->phase = PHASE_READ;
	chg->phase_ms = now_ms;
}

/* Validates a change. Return: true when there was no problem. */
static bool
check_change(const struct config_state *c, const struct config_change *change,
    struct bbuf *problems)
{
	struct cfg_service s;
	struct bbuf ignored;

	if (strlen(change->id) == 0 ||
	    strlen(change->id) > CONFIG_CHANGE_ID_MAX_BYTES)
		bbuf_addf(problems,
		    "change: %.20s...: must have 1 to 200 bytes\n", change->id);
	if (!objtab_is_replicated(change->key))
		bbuf_addf(problems, "%.80s: is not a known key\n", change->key);
	else
		objtab_check(change->key, change->value, problems);
	if (c->changes->len >= CONFIG_MAX_CHANGES)
		bbuf_addf(problems, "%s: too many changes wait\n", change->key);
	if (problems->n != 0 || change->value == NULL ||
	    !g_str_has_prefix(change->key, "config/service/"))
		return (problems->n == 0);
	bbuf_init(&ignored);
	cfg_parse_service(&s, change->value, &ignored);
	cfg_check_refs(&s, objtab_effective_set(&c->objects), problems);
	cfg_service_finish(&s);
	bbuf_finish(&ignored);
	return (problems->n == 0);
}

/*
 * Handles a change that needs no write: it is stored already, or the table
 * holds a version above the expected one. Return: whether that was the case.
 */
static bool
answer_without_write(struct config_state *c, struct change *chg, int64_t now_ms,
    struct config_out *out)
{
	const struct objtab_object *o = objtab_find(&c->objects, chg->key);
	const char *id = o == NULL ? NULL : objtab_change_id(o->newest_value);

	if (id != NULL && strcmp(id, chg->id) == 0) {
		mark_stored(c, chg, o->version, now_ms, out);
		return (true);
	}
	if (o != NULL && o->version > chg->if_version &&
	    (o->newest_value != NULL || chg->if_version != 0)) {
		chg->version = o->version;
		finish_change(c, chg, CONFIG_CONFLICT, id, out);
		return (true);
	}
	return (false);
}

void
config_write(struct config_state *c, const struct config_change *change,
    int64_t now_ms, struct config_out *out)
{
	struct change *chg;
	struct bbuf problems;

	if (find_change(c, change->id) != NULL)
		return;
	bbuf_init(&problems);
	chg = g_new0(struct change, 1);
	chg->id = g_strdup(change->id);
	chg->key = g_strdup(change->key);
	chg->if_version = change->if_version;
	chg->deadline_ms = now_ms + c->desc.store_wait_ms;
	if (change->value != NULL) {
		chg->value = json_copy(change->value);
		json_object_set_new(chg->value, "change", json_string(chg->id));
	}
	if (!check_change(c, change, &problems)) {
		emit_answer(chg, CONFIG_INVALID, g_strchomp(problems.p), out);
		change_free(chg);
	} else {
		g_ptr_array_add(c->changes, chg);
		if (!answer_without_write(c, chg, now_ms, out))
			emit_put(chg, now_ms, out);
	}
	bbuf_finish(&problems);
}

void
config_on_put(struct config_state *c, const char *change,
    enum config_put_result result, uint64_t version, int64_t now_ms,
    struct config_out *out)
{
	struct change *chg = find_change(c, change);

	if (chg == NULL || chg->phase == PHASE_ACK)
		return;
	if (result != CONFIG_PUT_OK) {
		chg->response_lost =
		    chg->response_lost || result == CONFIG_PUT_LOST;
		emit_get(chg, now_ms, out);
		return;
	}
	config_sync_apply(c, chg->key, version, chg->value, out);
	match_stored_changes(c, now_ms, out);
	chg = find_change(c, change);
	if (chg != NULL && chg->phase != PHASE_ACK)
		mark_stored(c, chg, version, now_ms, out);
}

/*
 * Continues a change after a read of its key that did not return its id.
 * @found: whether the key exists
 * @version: version that was read, 0 when the key is absent
 * @other_id: change id that was read, may be NULL
 */
static void
resolve_read(struct config_state *c, struct change *chg, bool found,
    uint64_t version, const char *other_id, int64_t now_ms,
    struct config_out *out)
{
	if (chg->value == NULL && !found && chg->if_version != 0) {
		/*
		 * The object is deleted. The version of the deletion is not
		 * known, but it is above the version that was replaced.
		 */
		config_sync_apply(c, chg->key, chg->if_version + 1, NULL, out);
		mark_stored(c, chg, chg->if_version + 1, now_ms, out);
	} else if (found && version > chg->if_version) {
		chg->version = version;
		finish_change(c, chg,
		    chg->response_lost ? CONFIG_UNRESOLVED : CONFIG_CONFLICT,
		    other_id, out);
	} else if (version == chg->if_version) {
		emit_put(chg, now_ms, out);
	} else {
		/* The read is stale: it is below the expected version. */
		chg->phase = PHASE_RETRY;
		chg->next_ms = now_ms + STORE_RETRY_MS;
	}
}

void
config_on_read(struct config_state *c, const char *key,
    enum config_read_result result, uint64_t version, json_t *value,
    int64_t now_ms, struct config_out *out)
{
	bool found = result == CONFIG_READ_OK;

	if (found)
		config_on_watch(c, key, version, value, now_ms, out);
	for (guint i = c->changes->len; i-- > 0;) {
		struct change *chg = c->changes->pdata[i];

		if (chg->phase != PHASE_READ || strcmp(chg->key, key) != 0)
			continue;
		if (result == CONFIG_READ_FAILED) {
			chg->phase = PHASE_RETRY;
			chg->next_ms = now_ms + STORE_RETRY_MS;
		} else {
			resolve_read(c, chg, found, found ? version : 0,
			    found ? objtab_change_id(value) : NULL, now_ms,
			    out);
		}
	}
}

void
config_on_watch(struct config_state *c, const char *key, uint64_t version,
    json_t *value, int64_t now_ms, struct config_out *out)
{
	if (config_sync_apply(c, key, version, value, out) == OBJTAB_NOTHING)
		return;
	push(c, key, NULL, out);
	match_stored_changes(c, now_ms, out);
}

void
config_on_list(struct config_state *c, const char *prefix,
    const json_t *response, int64_t now_ms, struct config_out *out)
{
	uint64_t revision =
	    (uint64_t)json_integer_value(json_object_get(response, "revision"));
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *deleted = g_ptr_array_new_with_free_func(g_free);
	const json_t *o;
	size_t i;

	json_array_foreach(json_object_get(response, "objects"), i, o)
	{
		const char *key = json_string_value(json_object_get(o, "key"));
		json_int_t version =
		    json_integer_value(json_object_get(o, "version"));

		if (key == NULL || version <= 0)
			continue;
		g_hash_table_add(listed, (gpointer)key);
		config_on_watch(c, key, (uint64_t)version,
		    json_object_get(o, "value"), now_ms, out);
	}
	for (guint k = 0; k < c->objects.order->len; k++) {
		const struct objtab_object *held = c->objects.order->pdata[k];

		if (held->newest_value != NULL && held->version < revision &&
		    g_str_has_prefix(held->key, prefix) &&
		    !g_hash_table_contains(listed, held->key))
			g_ptr_array_add(deleted, g_strdup(held->key));
	}
	for (guint k = 0; k < deleted->len; k++)
		config_on_watch(
		    c, deleted->pdata[k], revision, NULL, now_ms, out);
	g_ptr_array_free(deleted, TRUE);
	g_hash_table_destroy(listed);
}

static void
on_push(struct config_state *c, const struct config_msg *msg,
    struct config_out *out)
{
	struct config_msg ack = {.kind = CONFIG_MSG_ACK};

	config_sync_apply_items(c, msg, out);
	for (uint32_t i = 0; i < msg->n_items; i++) {
		const struct objtab_object *o =
		    objtab_find(&c->objects, msg->items[i].key);

		if (o != NULL && o->effective_version != 0)
			config_sync_add_version(
			    &ack, o->key, o->effective_version, 0, false);
	}
	config_sync_emit_send(c, &ack, &msg->sender, out);
}

static void
on_ack(struct config_state *c, const struct config_msg *msg,
    struct config_out *out)
{
	for (uint32_t i = 0; i < msg->n_items; i++) {
		const struct config_item *item = &msg->items[i];

		for (guint k = c->changes->len; k-- > 0;) {
			struct change *chg = c->changes->pdata[k];

			if (chg->phase != PHASE_ACK ||
			    strcmp(chg->key, item->key) != 0 ||
			    item->version < chg->version ||
			    has_acked(c, chg, &msg->sender) ||
			    chg->n_acked >= CONFIG_MAX_MEMBERS)
				continue;
			chg->acked =
			    g_renew(struct vm_id, chg->acked, chg->n_acked + 1);
			chg->acked[chg->n_acked++] = msg->sender;
			if (has_majority(c, chg))
				finish_change(
				    c, chg, CONFIG_ACCEPTED, NULL, out);
		}
	}
}

void
config_on_msg(struct config_state *c, const struct config_msg *msg,
    int64_t now_ms, struct config_out *out)
{
	struct config_msg answer;

	switch (msg->kind) {
	case CONFIG_MSG_PUSH:
		on_push(c, msg, out);
		match_stored_changes(c, now_ms, out);
		break;
	case CONFIG_MSG_ACK:
		on_ack(c, msg, out);
		break;
	case CONFIG_MSG_ANSWER:
		config_sync_on_answer(c, msg, out);
		match_stored_changes(c, now_ms, out);
		break;
	case CONFIG_MSG_PULL:
	case CONFIG_MSG_LIST:
	case CONFIG_MSG_WANT:
		config_sync_answer(&c->objects, msg, &answer);
		config_sync_emit_send(c, &answer, &msg->sender, out);
		break;
	case CONFIG_MSG_KIND_COUNT:
		break;
	}
}

void
config_pull(struct config_state *c, const struct vm_id *peer, int64_t now_ms,
    struct config_out *out)
{
	config_sync_pull(c, peer, now_ms, out);
}

/* Repeats the push to the members that have not acknowledged the change. */
static void
retry_push(struct config_state *c, struct change *chg, int64_t now_ms,
    struct config_out *out)
{
	struct bbuf unacked;

	bbuf_init(&unacked);
	chg->next_ms = now_ms + PUSH_RETRY_MS;
	for (uint32_t i = 0; i < c->n_members; i++) {
		if (has_acked(c, chg, &c->members[i]))
			continue;
		push(c, chg->key, &c->members[i], out);
		bbuf_addf(&unacked, "%s%.*s", unacked.n == 0 ? "" : " ",
		    BSTR_ARG(vmid_str(&c->members[i])));
	}
	if (!chg->pending_reported &&
	    now_ms - chg->phase_ms >= c->desc.ack_wait_ms) {
		chg->pending_reported = true;
		emit_answer(chg, CONFIG_PENDING, unacked.p, out);
	}
	bbuf_finish(&unacked);
}

static void
tick_change(struct config_state *c, struct change *chg, int64_t now_ms,
    struct config_out *out)
{
	if (chg->phase == PHASE_ACK) {
		if (has_majority(c, chg))
			finish_change(c, chg, CONFIG_ACCEPTED, NULL, out);
		else if (now_ms - chg->phase_ms > PENDING_MAX_MS)
			g_ptr_array_remove(c->changes, chg);
		else if (now_ms >= chg->next_ms)
			retry_push(c, chg, now_ms, out);
		return;
	}
	if (now_ms >= chg->deadline_ms)
		finish_change(
		    c, chg, CONFIG_UNRESOLVED, "store unreachable", out);
	else if (chg->phase == PHASE_RETRY && now_ms >= chg->next_ms)
		emit_get(chg, now_ms, out);
}

void
config_tick(struct config_state *c, int64_t now_ms, struct config_out *out)
{
	for (guint i = c->changes->len; i-- > 0;)
		tick_change(c, c->changes->pdata[i], now_ms, out);
	config_sync_tick(c, now_ms);
}

const struct cfg_set *
config_effective_set(const struct config_state *c)
{
	return (objtab_effective_set(&c->objects));
}

struct objtab_digest
config_digest(const struct config_state *c)
{
	return (c->objects.digest);
}
