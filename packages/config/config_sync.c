#include "config/config_sync.h"

#include <stdlib.h>

/* Allowance for the encoding of an item besides its key and value. */
#define ITEM_OVERHEAD_BYTES 64
/*
 * A larger invalid value is not sent: it is not in effect, and together with
 * the value in effect it might exceed the size limit of a message.
 */
#define INVALID_MAX_BYTES 1024

#define SYNC_WAIT_MS 3000

/* A synchronisation that this process started. */
struct sync {
	struct vm_id peer;
	uint64_t seq;
	int64_t started_ms;
	GPtrArray *wanted; /* keys of missing objects, owned */
};

static void
sync_free(gpointer p)
{
	struct sync *s = p;

	g_ptr_array_free(s->wanted, TRUE);
	g_free(s);
}

static struct config_item *
add_item(struct config_msg *msg, const char *key, uint64_t version)
{
	struct config_item *i;

	msg->items = g_renew(struct config_item, msg->items, msg->n_items + 1);
	i = &msg->items[msg->n_items++];
	*i = (struct config_item){.key = g_strdup(key), .version = version};
	return (i);
}

static void
add_value(struct config_msg *msg, const struct objtab_object *o,
    uint64_t version, const json_t *value)
{
	struct config_item *i = add_item(msg, o->key, version);

	i->deleted = value == NULL;
	if (value != NULL)
		i->value = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

void
config_sync_add_object(struct config_msg *msg, const struct objtab_object *o)
{
	if (o->effective_version != 0)
		add_value(msg, o, o->effective_version, o->value);
	if (o->effective_version != o->version &&
	    json_dumpb(o->newest_value, NULL, 0,
		JSON_COMPACT | JSON_ENCODE_ANY) <= INVALID_MAX_BYTES)
		add_value(msg, o, o->version, o->newest_value);
}

void
config_sync_add_version(struct config_msg *msg, const char *key,
    uint64_t version, uint64_t effective_version, bool deleted)
{
	struct config_item *i = add_item(msg, key, version);

	i->effective_version = effective_version;
	i->deleted = deleted;
}

static size_t
items_bytes(const struct config_msg *msg, uint32_t first)
{
	size_t n = 0;

	for (uint32_t i = first; i < msg->n_items; i++) {
		const struct config_item *t = &msg->items[i];

		n += ITEM_OVERHEAD_BYTES + strlen(t->key);
		n += t->value == NULL ? 0 : strlen(t->value);
	}
	return (n);
}

static void
truncate_items(struct config_msg *msg, uint32_t first)
{
	while (msg->n_items > first) {
		struct config_item *i = &msg->items[--msg->n_items];

		g_free(i->key);
		free(i->value);
	}
}

/*
 * Adds an object unless the answer would exceed its limits. The first object is
 * always added: OBJTAB_VALUE_MAX_BYTES and INVALID_MAX_BYTES limit its size.
 * Return: whether the object was added.
 */
static bool
add_object_if_fits(
    struct config_msg *msg, const struct objtab_object *o, size_t *bytes)
{
	uint32_t first = msg->n_items;
	size_t added;

	config_sync_add_object(msg, o);
	added = items_bytes(msg, first);
	if (first != 0 &&
	    (*bytes + added > CONFIG_ANSWER_MAX_BYTES ||
		msg->n_items > CONFIG_MAX_ITEMS)) {
		truncate_items(msg, first);
		return (false);
	}
	*bytes += added;
	return (true);
}

static gint
by_version(gconstpointer a, gconstpointer b)
{
	const struct objtab_object *const *x = a, *const *y = b;

	if ((*x)->version == (*y)->version)
		return (0);
	return ((*x)->version < (*y)->version ? -1 : 1);
}

static void
answer_pull(const struct object_table *t, const struct config_msg *request,
    struct config_msg *answer)
{
	GPtrArray *newer;
	size_t bytes = 0;

	answer->since = request->since;
	if (request->digest.hash == t->digest.hash)
		return;
	newer = g_ptr_array_new();
	for (guint i = 0; i < t->order->len; i++) {
		struct objtab_object *o = t->order->pdata[i];

		if (o->version > request->since)
			g_ptr_array_add(newer, o);
	}
	g_ptr_array_sort(newer, by_version);
	for (guint i = 0; i < newer->len && !answer->more; i++) {
		struct objtab_object *o = newer->pdata[i];

		/*
		 * The next PULL resumes above this version, so all objects of
		 * one version must be in the same answer.
		 */
		if (add_object_if_fits(answer, o, &bytes))
			answer->since = o->version;
		else
			answer->more = true;
	}
	g_ptr_array_free(newer, TRUE);
}

static void
answer_list(const struct object_table *t, const struct config_msg *request,
    struct config_msg *answer)
{
	const char *after = request->cursor == NULL ? "" : request->cursor;

	for (guint i = 0; i < t->order->len; i++) {
		const struct objtab_object *o = t->order->pdata[i];

		if (strcmp(o->key, after) <= 0)
			continue;
		if (answer->n_items == CONFIG_MAX_ITEMS) {
			answer->more = true;
			break;
		}
		config_sync_add_version(answer, o->key, o->version,
		    o->effective_version,
		    o->newest_value == NULL &&
			o->effective_version == o->version);
	}
	if (answer->n_items != 0)
		answer->cursor =
		    g_strdup(answer->items[answer->n_items - 1].key);
}

static void
answer_want(const struct object_table *t, const struct config_msg *request,
    struct config_msg *answer)
{
	size_t bytes = 0;

	for (uint32_t i = 0; i < request->n_items; i++) {
		const struct objtab_object *o =
		    objtab_find(t, request->items[i].key);

		if (o == NULL)
			continue;
		if (!add_object_if_fits(answer, o, &bytes)) {
			answer->more = true;
			return;
		}
	}
}

void
config_sync_answer(const struct object_table *t,
    const struct config_msg *request, struct config_msg *answer)
{
	*answer = (struct config_msg){.kind = CONFIG_MSG_ANSWER,
	    .seq = request->seq,
	    .request_kind = request->kind,
	    .digest = t->digest};
	if (request->kind == CONFIG_MSG_PULL)
		answer_pull(t, request, answer);
	else if (request->kind == CONFIG_MSG_LIST)
		answer_list(t, request, answer);
	else
		answer_want(t, request, answer);
}

void
config_msg_finish(struct config_msg *msg)
{
	for (uint32_t i = 0; i < msg->n_items; i++) {
		g_free(msg->items[i].key);
		free(msg->items[i].value);
	}
	g_free(msg->items);
	g_free(msg->cursor);
	*msg = (struct config_msg){0};
}

void
config_out_clear(struct config_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		struct config_effect *e = &out->effects[i];

		g_free(e->key);
		json_decref(e->value);
		g_free(e->change);
		g_free(e->text);
		if (e->msg != NULL)
			config_msg_finish(e->msg);
		g_free(e->msg);
	}
	out->n = 0;
}

void
config_out_finish(struct config_out *out)
{
	config_out_clear(out);
	g_free(out->effects);
	*out = (struct config_out){0};
}

struct config_effect *
config_sync_emit(
    struct config_out *out, enum config_effect_kind kind, const char *key)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 8 : out->cap * 2;
		out->effects =
		    g_renew(struct config_effect, out->effects, out->cap);
	}
	out->effects[out->n] =
	    (struct config_effect){.kind = kind, .key = g_strdup(key)};
	return (&out->effects[out->n++]);
}

void
config_sync_emit_send(struct config_state *c, struct config_msg *msg,
    const struct vm_id *to, struct config_out *out)
{
	struct config_effect *e = config_sync_emit(out, CONFIG_SEND, NULL);

	msg->sender = c->desc.self;
	msg->digest = c->objects.digest;
	if (to != NULL)
		e->to = *to;
	e->msg = g_new(struct config_msg, 1);
	*e->msg = *msg;
}

unsigned
config_sync_apply(struct config_state *c, const char *key, uint64_t version,
    json_t *value, struct config_out *out)
{
	unsigned changed = objtab_apply(&c->objects, key, version, value);
	const struct objtab_object *o = objtab_find(&c->objects, key);
	struct config_effect *e;

	if (o != NULL && (changed & OBJTAB_IN_EFFECT) != 0) {
		e = config_sync_emit(out, CONFIG_PUBLISH, key);
		e->version = o->effective_version;
		e->value = json_incref(o->value);
	}
	if (o != NULL && (changed & OBJTAB_INVALID) != 0) {
		e = config_sync_emit(out, CONFIG_PROBLEM, key);
		e->version = o->version;
		e->text = g_strdup(o->problem);
	}
	return (changed);
}

void
config_sync_apply_items(struct config_state *c, const struct config_msg *msg,
    struct config_out *out)
{
	for (uint32_t i = 0; i < msg->n_items; i++) {
		const struct config_item *t = &msg->items[i];
		json_t *value = NULL;

		if (t->value != NULL)
			value = json_loads(t->value, JSON_DECODE_ANY, NULL);
		if ((value != NULL) != t->deleted)
			config_sync_apply(c, t->key, t->version, value, out);
		json_decref(value);
	}
}

static void
send_request(struct config_state *c, struct sync *s, enum config_msg_kind kind,
    uint64_t since, const char *cursor, struct config_out *out)
{
	struct config_msg msg = {.kind = kind, .seq = s->seq, .since = since};

	msg.cursor = g_strdup(cursor);
	if (kind == CONFIG_MSG_WANT) {
		for (guint i = 0; i < MIN(s->wanted->len, CONFIG_MAX_ITEMS);
		     i++)
			config_sync_add_version(
			    &msg, s->wanted->pdata[i], 0, 0, false);
	}
	config_sync_emit_send(c, &msg, &s->peer, out);
}

static void
finish_sync(struct config_state *c, struct sync *s, struct config_out *out)
{
	struct config_effect *e = config_sync_emit(out, CONFIG_SYNCED, NULL);

	e->to = s->peer;
	e->started_ms = s->started_ms;
	g_ptr_array_remove(c->syncs, s);
}

/*
 * Applies the deletions in a list and collects the keys of which the peer holds
 * a higher version.
 */
static void
compare_list(struct config_state *c, struct sync *s,
    const struct config_msg *msg, struct config_out *out)
{
	for (uint32_t i = 0; i < msg->n_items; i++) {
		const struct config_item *t = &msg->items[i];
		const struct objtab_object *o;

		if (t->deleted)
			config_sync_apply(c, t->key, t->version, NULL, out);
		o = objtab_find(&c->objects, t->key);
		if (!t->deleted &&
		    (o == NULL || o->version < t->version ||
			o->effective_version < t->effective_version))
			g_ptr_array_add(s->wanted, g_strdup(t->key));
	}
}

/* Removes the keys of the received items from the wanted ones. */
static void
remove_received(struct sync *s, const struct config_msg *msg)
{
	for (uint32_t i = 0; i < msg->n_items; i++) {
		for (guint k = s->wanted->len; k-- > 0;) {
			if (strcmp(s->wanted->pdata[k], msg->items[i].key) == 0)
				g_ptr_array_remove_index(s->wanted, k);
		}
	}
}

void
config_sync_on_answer(struct config_state *c, const struct config_msg *msg,
    struct config_out *out)
{
	struct sync *s = NULL;

	for (guint i = 0; i < c->syncs->len; i++) {
		struct sync *k = c->syncs->pdata[i];

		if (k->seq == msg->seq && vmid_eq(&k->peer, &msg->sender))
			s = k;
	}
	if (s == NULL)
		return;
	if (msg->request_kind == CONFIG_MSG_LIST) {
		compare_list(c, s, msg, out);
	} else {
		config_sync_apply_items(c, msg, out);
		remove_received(s, msg);
	}
	/* Equal hashes or no more wanted keys end the synchronisation. */
	if (msg->more && msg->request_kind != CONFIG_MSG_WANT)
		send_request(
		    c, s, msg->request_kind, msg->since, msg->cursor, out);
	else if (msg->digest.hash == c->objects.digest.hash ||
	    (msg->request_kind != CONFIG_MSG_PULL && s->wanted->len == 0))
		finish_sync(c, s, out);
	else if (msg->request_kind == CONFIG_MSG_PULL)
		send_request(c, s, CONFIG_MSG_LIST, 0, NULL, out);
	else if (msg->request_kind == CONFIG_MSG_WANT && msg->n_items == 0)
		g_ptr_array_remove(c->syncs, s);
	else
		send_request(c, s, CONFIG_MSG_WANT, 0, NULL, out);
}

void
config_sync_pull(struct config_state *c, const struct vm_id *peer,
    int64_t now_ms, struct config_out *out)
{
	struct sync *s;

	for (guint i = c->syncs->len; i-- > 0;) {
		s = c->syncs->pdata[i];
		if (vmid_eq(&s->peer, peer))
			g_ptr_array_remove_index(c->syncs, i);
	}
	s = g_new0(struct sync, 1);
	s->peer = *peer;
	s->seq = ++c->seq;
	s->started_ms = now_ms;
	s->wanted = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(c->syncs, s);
	send_request(
	    c, s, CONFIG_MSG_PULL, c->objects.digest.highest, NULL, out);
}

GPtrArray *
config_sync_new_list(void)
{
	return (g_ptr_array_new_with_free_func(sync_free));
}

void
config_sync_tick(struct config_state *c, int64_t now_ms)
{
	for (guint i = c->syncs->len; i-- > 0;) {
		struct sync *s = c->syncs->pdata[i];

		if (now_ms - s->started_ms > SYNC_WAIT_MS)
			g_ptr_array_remove_index(c->syncs, i);
	}
}
