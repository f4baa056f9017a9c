#include "config/config_state.h"

#include <stdlib.h>

#include "config/config_sync.h"

#define ACK_WAIT_MS 3000
#define STORE_WAIT_MS 20000
#define STORE_RETRY_MS 300
#define PUSH_RETRY_MS 500
/* A change that never reaches a majority is left to the digests. */
#define PENDING_MAX_MS 600000

/* enum phase - what a change waits for */
enum phase {
	PHASE_PUT,   /* result of the write */
	PHASE_READ,  /* result of the read that settles a lost response */
	PHASE_RETRY, /* time to read again */
	PHASE_ACK,   /* acknowledgements */
};

/* A local change. */
struct change {
	char *id;
	char *key;
	json_t *value;
	uint64_t if_version;
	enum phase phase;
	bool lost;
	uint64_t version;
	int64_t phase_ms;
	int64_t deadline_ms;
	int64_t next_ms;
	struct vm_id *acked;
	uint32_t n_acked;
	bool answered_pending;
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
	struct change *h = p;

	g_free(h->id);
	g_free(h->key);
	json_decref(h->value);
	g_free(h->acked);
	g_free(h);
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
	c->syncs = config_sync_new_syncs();
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
emit_answer(struct change *h, enum config_status status, const char *text,
    struct config_out *out)
{
	struct config_effect *e = config_sync_emit(out, CONFIG_ANSWER, h->key);

	e->change = g_strdup(h->id);
	e->status = status;
	e->version = h->version;
	e->text = g_strdup(text);
}

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
has_acked(
    const struct config_state *c, const struct change *h, const struct vm_id *m)
{
	if (vmid_eq(m, &c->desc.self))
		return (true);
	for (uint32_t i = 0; i < h->n_acked; i++) {
		if (vmid_eq(&h->acked[i], m))
			return (true);
	}
	return (false);
}

static bool
has_majority(const struct config_state *c, const struct change *h)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < c->n_members; i++)
		n += has_acked(c, h, &c->members[i]);
	return (n > c->n_members / 2);
}

static void
finish_change(struct config_state *c, struct change *h,
    enum config_status status, const char *text, struct config_out *out)
{
	emit_answer(h, status, text, out);
	g_ptr_array_remove(c->changes, h);
}

static void
stored(struct config_state *c, struct change *h, uint64_t version,
    int64_t now_ms, struct config_out *out)
{
	h->phase = PHASE_ACK;
	h->phase_ms = now_ms;
	h->version = version;
	h->next_ms = now_ms + PUSH_RETRY_MS;
	push(c, h->key, NULL, out);
	if (has_majority(c, h))
		finish_change(c, h, CONFIG_ACCEPTED, NULL, out);
}

/* Settles local changes that the versions held show as stored. */
static void
settle(struct config_state *c, int64_t now_ms, struct config_out *out)
{
	for (guint i = c->changes->len; i-- > 0;) {
		struct change *h = c->changes->pdata[i];
		const struct objtab_object *o =
		    objtab_find(&c->objects, h->key);

		if (h->phase == PHASE_ACK || o == NULL)
			continue;
		if (g_strcmp0(objtab_change_id(o->raw), h->id) == 0)
			stored(c, h, o->version, now_ms, out);
		else if (g_strcmp0(objtab_change_id(o->value), h->id) == 0)
			stored(c, h, o->effect, now_ms, out);
	}
}

static struct change *
find_change(struct config_state *c, const char *id)
{
	for (guint i = 0; i < c->changes->len; i++) {
		struct change *h = c->changes->pdata[i];

		if (strcmp(h->id, id) == 0)
			return (h);
	}
	return (NULL);
}

static void
emit_put(struct change *h, int64_t now_ms, struct config_out *out)
{
	struct config_effect *e = config_sync_emit(out, CONFIG_PUT, h->key);

	e->change = g_strdup(h->id);
	e->version = h->if_version;
	e->value = json_incref(h->value);
	h->phase = PHASE_PUT;
	h->phase_ms = now_ms;
}

static void
emit_get(struct change *h, int64_t now_ms, struct config_out *out)
{
	config_sync_emit(out, CONFIG_GET, h->key);
	h->phase = PHASE_READ;
	h->phase_ms = now_ms;
}

static bool
check_change(const struct config_state *c, const struct config_change *w,
    struct bbuf *problems)
{
	struct cfg_service s;
	struct bbuf ignored;

	if (strlen(w->id) == 0 || strlen(w->id) > CONFIG_CHANGE_MAX)
		bbuf_addf(problems,
		    "change: %.20s...: must have 1 to 200 bytes\n", w->id);
	if (!objtab_is_replicated(w->key))
		bbuf_addf(problems, "%.80s: is not a known key\n", w->key);
	else
		objtab_check(w->key, w->value, problems);
	if (c->changes->len >= CONFIG_MAX_CHANGES)
		bbuf_addf(problems, "%s: too many changes wait\n", w->key);
	if (problems->n != 0 || w->value == NULL ||
	    !g_str_has_prefix(w->key, "config/service/"))
		return (problems->n == 0);
	bbuf_init(&ignored);
	cfg_parse_service(&s, w->value, &ignored);
	cfg_check_refs(&s, objtab_set(&c->objects), problems);
	cfg_service_finish(&s);
	bbuf_finish(&ignored);
	return (problems->n == 0);
}

/* Answers without writing when that is possible; Return: whether it did. */
static bool
answered_at_once(struct config_state *c, struct change *h, int64_t now_ms,
    struct config_out *out)
{
	const struct objtab_object *o = objtab_find(&c->objects, h->key);
	const char *id = o == NULL ? NULL : objtab_change_id(o->raw);

	if (id != NULL && strcmp(id, h->id) == 0) {
		stored(c, h, o->version, now_ms, out);
		return (true);
	}
	if (o != NULL && o->version > h->if_version &&
	    (o->raw != NULL || h->if_version != 0)) {
		h->version = o->version;
		finish_change(c, h, CONFIG_CONFLICT, id, out);
		return (true);
	}
	return (false);
}

void
config_write(struct config_state *c, const struct config_change *change,
    int64_t now_ms, struct config_out *out)
{
	struct change *h;
	struct bbuf problems;

	if (find_change(c, change->id) != NULL)
		return;
	bbuf_init(&problems);
	h = g_new0(struct change, 1);
	h->id = g_strdup(change->id);
	h->key = g_strdup(change->key);
	h->if_version = change->if_version;
	h->deadline_ms = now_ms + c->desc.store_wait_ms;
	if (change->value != NULL) {
		h->value = json_copy(change->value);
		json_object_set_new(h->value, "change", json_string(h->id));
	}
	if (!check_change(c, change, &problems)) {
		emit_answer(h, CONFIG_INVALID, g_strchomp(problems.p), out);
		change_free(h);
	} else {
		g_ptr_array_add(c->changes, h);
		if (!answered_at_once(c, h, now_ms, out))
			emit_put(h, now_ms, out);
	}
	bbuf_finish(&problems);
}

void
config_on_put(struct config_state *c, const char *change,
    enum config_put result, uint64_t version, int64_t now_ms,
    struct config_out *out)
{
	struct change *h = find_change(c, change);

	if (h == NULL || h->phase == PHASE_ACK)
		return;
	if (result != CONFIG_PUT_OK) {
		h->lost = h->lost || result == CONFIG_PUT_LOST;
		emit_get(h, now_ms, out);
		return;
	}
	config_sync_apply(c, h->key, version, h->value, out);
	settle(c, now_ms, out);
	h = find_change(c, change);
	if (h != NULL && h->phase != PHASE_ACK)
		stored(c, h, version, now_ms, out);
}

/* Decides a change whose key was read in @version without its change id. */
static void
settle_read(struct config_state *c, struct change *h, bool found,
    uint64_t version, const char *other, int64_t now_ms, struct config_out *out)
{
	if (h->value == NULL && !found && h->if_version != 0) {
		/* The deletion has a version above the one it replaced. */
		config_sync_apply(c, h->key, h->if_version + 1, NULL, out);
		stored(c, h, h->if_version + 1, now_ms, out);
	} else if (found && version > h->if_version) {
		h->version = version;
		finish_change(c, h,
		    h->lost ? CONFIG_UNRESOLVED : CONFIG_CONFLICT, other, out);
	} else if (version == h->if_version) {
		emit_put(h, now_ms, out);
	} else {
		/* A stale read says nothing. */
		h->phase = PHASE_RETRY;
		h->next_ms = now_ms + STORE_RETRY_MS;
	}
}

void
config_on_read(struct config_state *c, const char *key, enum config_read result,
    uint64_t version, json_t *value, int64_t now_ms, struct config_out *out)
{
	bool found = result == CONFIG_READ_OK;

	if (found)
		config_on_watch(c, key, version, value, now_ms, out);
	for (guint i = c->changes->len; i-- > 0;) {
		struct change *h = c->changes->pdata[i];

		if (h->phase != PHASE_READ || strcmp(h->key, key) != 0)
			continue;
		if (result == CONFIG_READ_FAILED) {
			h->phase = PHASE_RETRY;
			h->next_ms = now_ms + STORE_RETRY_MS;
		} else {
			settle_read(c, h, found, found ? version : 0,
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
	settle(c, now_ms, out);
}

void
config_on_list(struct config_state *c, const char *prefix,
    const json_t *response, int64_t now_ms, struct config_out *out)
{
	uint64_t revision =
	    (uint64_t)json_integer_value(json_object_get(response, "revision"));
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *gone = g_ptr_array_new_with_free_func(g_free);
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
		const struct objtab_object *b = c->objects.order->pdata[k];

		if (b->raw != NULL && b->version < revision &&
		    g_str_has_prefix(b->key, prefix) &&
		    !g_hash_table_contains(listed, b->key))
			g_ptr_array_add(gone, g_strdup(b->key));
	}
	for (guint k = 0; k < gone->len; k++)
		config_on_watch(c, gone->pdata[k], revision, NULL, now_ms, out);
	g_ptr_array_free(gone, TRUE);
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

		if (o != NULL && o->effect != 0)
			config_sync_add_version(
			    &ack, o->key, o->effect, 0, false);
	}
	config_sync_emit_send(c, &ack, &msg->sender, out);
}

static void
on_ack(struct config_state *c, const struct config_msg *msg,
    struct config_out *out)
{
	for (uint32_t i = 0; i < msg->n_items; i++) {
		const struct config_item *t = &msg->items[i];

		for (guint k = c->changes->len; k-- > 0;) {
			struct change *h = c->changes->pdata[k];

			if (h->phase != PHASE_ACK ||
			    strcmp(h->key, t->key) != 0 ||
			    t->version < h->version ||
			    has_acked(c, h, &msg->sender) ||
			    h->n_acked >= CONFIG_MAX_MEMBERS)
				continue;
			h->acked =
			    g_renew(struct vm_id, h->acked, h->n_acked + 1);
			h->acked[h->n_acked++] = msg->sender;
			if (has_majority(c, h))
				finish_change(c, h, CONFIG_ACCEPTED, NULL, out);
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
		settle(c, now_ms, out);
		break;
	case CONFIG_MSG_ACK:
		on_ack(c, msg, out);
		break;
	case CONFIG_MSG_ANSWER:
		config_sync_on_answer(c, msg, out);
		settle(c, now_ms, out);
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

/* Pushes again to the members that have not acknowledged. */
static void
push_again(struct config_state *c, struct change *h, int64_t now_ms,
    struct config_out *out)
{
	struct bbuf names;

	bbuf_init(&names);
	h->next_ms = now_ms + PUSH_RETRY_MS;
	for (uint32_t i = 0; i < c->n_members; i++) {
		if (has_acked(c, h, &c->members[i]))
			continue;
		push(c, h->key, &c->members[i], out);
		bbuf_addf(&names, "%s%.*s", names.n == 0 ? "" : " ",
		    BSTR_ARG(vmid_str(&c->members[i])));
	}
	if (!h->answered_pending &&
	    now_ms - h->phase_ms >= c->desc.ack_wait_ms) {
		h->answered_pending = true;
		emit_answer(h, CONFIG_PENDING, names.p, out);
	}
	bbuf_finish(&names);
}

static void
tick_change(struct config_state *c, struct change *h, int64_t now_ms,
    struct config_out *out)
{
	if (h->phase == PHASE_ACK) {
		if (has_majority(c, h))
			finish_change(c, h, CONFIG_ACCEPTED, NULL, out);
		else if (now_ms - h->phase_ms > PENDING_MAX_MS)
			g_ptr_array_remove(c->changes, h);
		else if (now_ms >= h->next_ms)
			push_again(c, h, now_ms, out);
		return;
	}
	if (now_ms >= h->deadline_ms)
		finish_change(
		    c, h, CONFIG_UNRESOLVED, "store unreachable", out);
	else if (h->phase == PHASE_RETRY && now_ms >= h->next_ms)
		emit_get(h, now_ms, out);
}

void
config_tick(struct config_state *c, int64_t now_ms, struct config_out *out)
{
	for (guint i = c->changes->len; i-- > 0;)
		tick_change(c, c->changes->pdata[i], now_ms, out);
	config_sync_tick(c, now_ms);
}

const struct cfg_set *
config_set(const struct config_state *c)
{
	return (objtab_set(&c->objects));
}

struct objtab_digest
config_digest(const struct config_state *c)
{
	return (c->objects.digest);
}
