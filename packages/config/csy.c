#include "config/csy.h"

#include <stdlib.h>

#define ITEM_OVERHEAD_BYTES 64
/*
 * A larger value that does not pass its checks is not sent: it has no effect,
 * and together with the value in effect it might exceed a message.
 */
#define INVALID_MAX_BYTES 1024

static struct cst_item *
add_item(struct cst_msg *msg, const char *key, uint64_t version)
{
	struct cst_item *i;

	msg->items = g_renew(struct cst_item, msg->items, msg->n_items + 1);
	i = &msg->items[msg->n_items++];
	*i = (struct cst_item){.key = g_strdup(key), .version = version};
	return (i);
}

static void
add_value(struct cst_msg *msg, const struct cob_object *o, uint64_t version,
    const json_t *value)
{
	struct cst_item *i = add_item(msg, o->key, version);

	i->deleted = value == NULL;
	if (value != NULL)
		i->value = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
}

void
csy_add_object(struct cst_msg *msg, const struct cob_object *o)
{
	if (o->effect != 0)
		add_value(msg, o, o->effect, o->value);
	if (o->effect != o->version &&
	    json_dumpb(o->raw, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY) <=
		INVALID_MAX_BYTES)
		add_value(msg, o, o->version, o->raw);
}

void
csy_add_version(struct cst_msg *msg, const char *key, uint64_t version,
    uint64_t effect, bool deleted)
{
	struct cst_item *i = add_item(msg, key, version);

	i->effect = effect;
	i->deleted = deleted;
}

static size_t
size_from(const struct cst_msg *msg, uint32_t first)
{
	size_t n = 0;

	for (uint32_t i = first; i < msg->n_items; i++) {
		const struct cst_item *t = &msg->items[i];

		n += ITEM_OVERHEAD_BYTES + strlen(t->key);
		n += t->value == NULL ? 0 : strlen(t->value);
	}
	return (n);
}

static void
drop_from(struct cst_msg *msg, uint32_t first)
{
	while (msg->n_items > first) {
		struct cst_item *i = &msg->items[--msg->n_items];

		g_free(i->key);
		free(i->value);
	}
}

/*
 * Adds an object unless the answer would exceed its bounds; the first object
 * always fits, because an object has at most COB_VALUE_MAX bytes.
 */
static bool
add_bounded(struct cst_msg *msg, const struct cob_object *o, size_t *bytes)
{
	uint32_t first = msg->n_items;
	size_t added;

	csy_add_object(msg, o);
	added = size_from(msg, first);
	if (first != 0 &&
	    (*bytes + added > CST_ANSWER_BYTES ||
		msg->n_items > CST_MAX_ITEMS)) {
		drop_from(msg, first);
		return (false);
	}
	*bytes += added;
	return (true);
}

static gint
by_version(gconstpointer a, gconstpointer b)
{
	const struct cob_object *const *x = a, *const *y = b;

	if ((*x)->version == (*y)->version)
		return (0);
	return ((*x)->version < (*y)->version ? -1 : 1);
}

static void
answer_pull(
    const struct cob *t, const struct cst_msg *request, struct cst_msg *answer)
{
	GPtrArray *newer;
	size_t bytes = 0;

	answer->since = request->since;
	if (request->digest.hash == t->digest.hash)
		return;
	newer = g_ptr_array_new();
	for (guint i = 0; i < t->order->len; i++) {
		struct cob_object *o = t->order->pdata[i];

		if (o->version > request->since)
			g_ptr_array_add(newer, o);
	}
	g_ptr_array_sort(newer, by_version);
	for (guint i = 0; i < newer->len && !answer->more; i++) {
		struct cob_object *o = newer->pdata[i];

		/* Objects of one version must not be split over answers. */
		if (add_bounded(answer, o, &bytes))
			answer->since = o->version;
		else
			answer->more = true;
	}
	g_ptr_array_free(newer, TRUE);
}

static void
answer_list(
    const struct cob *t, const struct cst_msg *request, struct cst_msg *answer)
{
	const char *after = request->cursor == NULL ? "" : request->cursor;

	for (guint i = 0; i < t->order->len; i++) {
		const struct cob_object *o = t->order->pdata[i];

		if (strcmp(o->key, after) <= 0)
			continue;
		if (answer->n_items == CST_MAX_ITEMS) {
			answer->more = true;
			break;
		}
		csy_add_version(answer, o->key, o->version, o->effect,
		    o->raw == NULL && o->effect == o->version);
	}
	if (answer->n_items != 0)
		answer->cursor =
		    g_strdup(answer->items[answer->n_items - 1].key);
}

static void
answer_want(
    const struct cob *t, const struct cst_msg *request, struct cst_msg *answer)
{
	size_t bytes = 0;

	for (uint32_t i = 0; i < request->n_items; i++) {
		const struct cob_object *o = cob_find(t, request->items[i].key);

		if (o == NULL)
			continue;
		if (!add_bounded(answer, o, &bytes)) {
			answer->more = true;
			return;
		}
	}
}

void
csy_answer(
    const struct cob *t, const struct cst_msg *request, struct cst_msg *answer)
{
	*answer = (struct cst_msg){.kind = CST_MSG_ANSWER,
	    .seq = request->seq,
	    .answers = request->kind,
	    .digest = t->digest};
	if (request->kind == CST_MSG_PULL)
		answer_pull(t, request, answer);
	else if (request->kind == CST_MSG_LIST)
		answer_list(t, request, answer);
	else
		answer_want(t, request, answer);
}
