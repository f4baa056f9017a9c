#include "peer/pcst.h"

#include <stdlib.h>

#include "peer/mpk.h"

#define MSG_FIELDS 10
#define ITEM_FIELDS 5
#define ROW_FIELDS 6
#define BAD_FIELDS 5

static void
put_text(struct mpk_writer *w, const char *text)
{
	mpk_put_str(w, bstr_from(text));
}

/* Copy of a string; one that holds a zero byte makes the reader fail. */
static char *
get_text(struct mpk_reader *r, size_t max, bool *ok)
{
	struct bstr s = mpk_str(r, max);

	if (s.n != 0 && memchr(s.p, '\0', s.n) != NULL)
		*ok = false;
	return (bstr_dup(s));
}

static void
put_item(struct mpk_writer *w, const struct config_item *i)
{
	mpk_put_array(w, ITEM_FIELDS);
	put_text(w, i->key);
	mpk_put_uint(w, i->version);
	mpk_put_uint(w, i->effect);
	mpk_put_bool(w, i->deleted);
	put_text(w, i->value);
}

enum pmsg_type
pcst_put(const struct config_msg *msg, struct bbuf *out)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	mpk_put_array(&w, MSG_FIELDS);
	mpk_put_uint(&w, msg->kind);
	mpk_put_vmid(&w, &msg->sender);
	mpk_put_uint(&w, msg->seq);
	mpk_put_uint(&w, msg->answers);
	mpk_put_uint(&w, msg->digest.highest);
	mpk_put_uint(&w, msg->digest.hash);
	mpk_put_uint(&w, msg->since);
	put_text(&w, msg->cursor);
	mpk_put_bool(&w, msg->more);
	mpk_put_array(&w, msg->n_items);
	for (uint32_t i = 0; i < msg->n_items; i++)
		put_item(&w, &msg->items[i]);
	return (msg->kind == CONFIG_MSG_ACK ? PMSG_OBJECT_ACK : PMSG_OBJECT);
}

static void
get_item(struct mpk_reader *r, struct config_item *i, bool *ok)
{
	mpk_enter(r, ITEM_FIELDS);
	i->key = get_text(r, OBJTAB_KEY_MAX, ok);
	i->version = mpk_uint(r, UINT64_MAX);
	i->effect = mpk_uint(r, UINT64_MAX);
	i->deleted = mpk_bool(r);
	i->value = get_text(r, OBJTAB_VALUE_MAX, ok);
	mpk_leave(r);
	if (i->value[0] == '\0') {
		free(i->value);
		i->value = NULL;
	}
	if (i->key[0] == '\0' || (i->deleted && i->value != NULL))
		*ok = false;
}

bool
pcst_get(enum pmsg_type type, struct bstr bytes, struct config_msg *msg)
{
	struct mpk_reader r;
	bool ok = true;
	uint32_t n;

	*msg = (struct config_msg){0};
	mpk_reader_init(&r, bytes);
	mpk_enter(&r, MSG_FIELDS);
	msg->kind =
	    (enum config_msg_kind)mpk_uint(&r, CONFIG_MSG_KIND_COUNT - 1);
	msg->sender = mpk_vmid(&r);
	msg->seq = mpk_uint(&r, UINT64_MAX);
	msg->answers =
	    (enum config_msg_kind)mpk_uint(&r, CONFIG_MSG_KIND_COUNT - 1);
	msg->digest.highest = mpk_uint(&r, UINT64_MAX);
	msg->digest.hash = mpk_uint(&r, UINT64_MAX);
	msg->since = mpk_uint(&r, UINT64_MAX);
	msg->cursor = get_text(&r, OBJTAB_KEY_MAX, &ok);
	msg->more = mpk_bool(&r);
	n = mpk_enter_list(&r, CONFIG_MAX_ITEMS);
	msg->items = g_new0(struct config_item, n + 1);
	for (uint32_t i = 0; ok && mpk_ok(&r) && i < n; i++)
		get_item(&r, &msg->items[msg->n_items++], &ok);
	mpk_leave(&r);
	mpk_leave(&r);
	ok = ok && mpk_ok(&r) && !vmid_is_none(&msg->sender) &&
	    type ==
		(msg->kind == CONFIG_MSG_ACK ? PMSG_OBJECT_ACK : PMSG_OBJECT);
	mpk_reader_finish(&r);
	return (ok);
}

static void
put_row(struct mpk_writer *w, const struct move_row *row)
{
	mpk_put_array(w, ROW_FIELDS);
	put_text(w, row->service);
	put_text(w, row->version);
	put_text(w, row->route);
	mpk_put_uint(w, row->calls);
	mpk_put_uint(w, row->failed);
	mpk_put_uint(w, row->slow);
}

enum pmsg_type
pcst_put_move(const struct move_msg *msg, struct bbuf *out)
{
	struct mpk_writer w;

	mpk_writer_init(&w, out);
	if (msg->kind == MOVE_MSG_BAD) {
		mpk_put_array(&w, BAD_FIELDS);
		mpk_put_vmid(&w, &msg->sender);
		put_text(&w, msg->bad.service);
		put_text(&w, msg->bad.version);
		put_text(&w, msg->bad.intent);
		put_text(&w, msg->bad.reason);
		return (PMSG_BAD_VERSION);
	}
	mpk_put_array(&w, 2);
	mpk_put_vmid(&w, &msg->sender);
	mpk_put_array(&w, msg->n_rows);
	for (uint32_t i = 0; i < msg->n_rows; i++)
		put_row(&w, &msg->rows[i]);
	return (PMSG_METRICS);
}

static void
get_row(struct mpk_reader *r, struct move_row *row, bool *ok)
{
	mpk_enter(r, ROW_FIELDS);
	row->service = get_text(r, MOVE_NAME_MAX, ok);
	row->version = get_text(r, MOVE_NAME_MAX, ok);
	row->route = get_text(r, MOVE_NAME_MAX, ok);
	row->calls = mpk_uint(r, UINT64_MAX);
	row->failed = mpk_uint(r, row->calls);
	row->slow = mpk_uint(r, row->calls);
	mpk_leave(r);
}

static void
get_bad(struct mpk_reader *r, struct move_msg *msg, bool *ok)
{
	msg->kind = MOVE_MSG_BAD;
	mpk_enter(r, BAD_FIELDS);
	msg->sender = mpk_vmid(r);
	msg->bad.service = get_text(r, MOVE_NAME_MAX, ok);
	msg->bad.version = get_text(r, MOVE_NAME_MAX, ok);
	msg->bad.intent = get_text(r, MOVE_NAME_MAX, ok);
	msg->bad.reason = get_text(r, MOVE_NAME_MAX, ok);
	mpk_leave(r);
}

static void
get_metrics(struct mpk_reader *r, struct move_msg *msg, bool *ok)
{
	uint32_t n;

	mpk_enter(r, 2);
	msg->sender = mpk_vmid(r);
	n = mpk_enter_list(r, MOVE_MAX_ROWS);
	msg->rows = g_new0(struct move_row, n + 1);
	for (uint32_t i = 0; *ok && mpk_ok(r) && i < n; i++)
		get_row(r, &msg->rows[msg->n_rows++], ok);
	mpk_leave(r);
	mpk_leave(r);
}

bool
pcst_get_move(enum pmsg_type type, struct bstr bytes, struct move_msg *msg)
{
	struct mpk_reader r;
	bool ok = type == PMSG_METRICS || type == PMSG_BAD_VERSION;

	*msg = (struct move_msg){0};
	mpk_reader_init(&r, bytes);
	if (type == PMSG_BAD_VERSION)
		get_bad(&r, msg, &ok);
	else
		get_metrics(&r, msg, &ok);
	ok = ok && mpk_ok(&r) && !vmid_is_none(&msg->sender);
	mpk_reader_finish(&r);
	return (ok);
}
