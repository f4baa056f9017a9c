#include "peer/config_codec.h"

#include <stdlib.h>

#include "peer/msgpack_io.h"

#define MSG_FIELDS 10
#define ITEM_FIELDS 5
#define ROW_FIELDS 6
#define BAD_VERSION_FIELDS 5

static void
put_text(struct mpack_writer *w, const char *text)
{
	mpack_put_str(w, bstr_from(text));
}

/* Returns a copy of the next string and clears @ok if it holds a zero byte. */
static char *
get_text(struct mpack_reader *r, size_t max, bool *ok)
{
	struct bstr s = mpack_str(r, max);

	if (s.n != 0 && memchr(s.p, '\0', s.n) != NULL)
		*ok = false;
	return (bstr_dup(s));
}

static void
put_item(struct mpack_writer *w, const struct config_item *i)
{
	mpack_put_array(w, ITEM_FIELDS);
	put_text(w, i->key);
	mpack_put_uint(w, i->version);
	mpack_put_uint(w, i->effective_version);
	mpack_put_bool(w, i->deleted);
	put_text(w, i->value);
}

enum peer_msg_type
config_codec_put(const struct config_msg *msg, struct bbuf *out)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	mpack_put_array(&w, MSG_FIELDS);
	mpack_put_uint(&w, msg->kind);
	mpack_put_vmid(&w, &msg->sender);
	mpack_put_uint(&w, msg->seq);
	mpack_put_uint(&w, msg->request_kind);
	mpack_put_uint(&w, msg->digest.highest);
	mpack_put_uint(&w, msg->digest.hash);
	mpack_put_uint(&w, msg->since);
	put_text(&w, msg->cursor);
	mpack_put_bool(&w, msg->more);
	mpack_put_array(&w, msg->n_items);
	for (uint32_t i = 0; i < msg->n_items; i++)
		put_item(&w, &msg->items[i]);
	return (msg->kind == CONFIG_MSG_ACK ? PEER_MSG_OBJECT_ACK
					    : PEER_MSG_OBJECT);
}

static void
get_item(struct mpack_reader *r, struct config_item *i, bool *ok)
{
	mpack_enter(r, ITEM_FIELDS);
	i->key = get_text(r, OBJTAB_KEY_MAX_BYTES, ok);
	i->version = mpack_uint(r, UINT64_MAX);
	i->effective_version = mpack_uint(r, UINT64_MAX);
	i->deleted = mpack_bool(r);
	i->value = get_text(r, OBJTAB_VALUE_MAX_BYTES, ok);
	mpack_leave(r);
	if (i->value[0] == '\0') {
		free(i->value);
		i->value = NULL;
	}
	if (i->key[0] == '\0' || (i->deleted && i->value != NULL))
		*ok = false;
}

bool
config_codec_get(
    enum peer_msg_type type, struct bstr bytes, struct config_msg *msg)
{
	struct mpack_reader r;
	bool ok = true;
	uint32_t n;

	*msg = (struct config_msg){0};
	mpack_reader_init(&r, bytes);
	mpack_enter(&r, MSG_FIELDS);
	msg->kind =
	    (enum config_msg_kind)mpack_uint(&r, CONFIG_MSG_KIND_COUNT - 1);
	msg->sender = mpack_vmid(&r);
	msg->seq = mpack_uint(&r, UINT64_MAX);
	msg->request_kind =
	    (enum config_msg_kind)mpack_uint(&r, CONFIG_MSG_KIND_COUNT - 1);
	msg->digest.highest = mpack_uint(&r, UINT64_MAX);
	msg->digest.hash = mpack_uint(&r, UINT64_MAX);
	msg->since = mpack_uint(&r, UINT64_MAX);
	msg->cursor = get_text(&r, OBJTAB_KEY_MAX_BYTES, &ok);
	msg->more = mpack_bool(&r);
	n = mpack_enter_list(&r, CONFIG_MAX_ITEMS);
	msg->items = g_new0(struct config_item, n + 1);
	for (uint32_t i = 0; ok && mpack_ok(&r) && i < n; i++)
		get_item(&r, &msg->items[msg->n_items++], &ok);
	mpack_leave(&r);
	mpack_leave(&r);
	ok = ok && mpack_ok(&r) && !vmid_is_none(&msg->sender) &&
	    type ==
		(msg->kind == CONFIG_MSG_ACK ? PEER_MSG_OBJECT_ACK
					     : PEER_MSG_OBJECT);
	mpack_reader_finish(&r);
	return (ok);
}

static void
put_row(struct mpack_writer *w, const struct move_row *row)
{
	mpack_put_array(w, ROW_FIELDS);
	put_text(w, row->service);
	put_text(w, row->version);
	put_text(w, row->route);
	mpack_put_uint(w, row->calls);
	mpack_put_uint(w, row->failed);
	mpack_put_uint(w, row->slow);
}

enum peer_msg_type
config_codec_put_move(const struct move_msg *msg, struct bbuf *out)
{
	struct mpack_writer w;

	mpack_writer_init(&w, out);
	if (msg->kind == MOVE_MSG_BAD_VERSION) {
		mpack_put_array(&w, BAD_VERSION_FIELDS);
		mpack_put_vmid(&w, &msg->sender);
		put_text(&w, msg->bad.service);
		put_text(&w, msg->bad.version);
		put_text(&w, msg->bad.intent);
		put_text(&w, msg->bad.reason);
		return (PEER_MSG_BAD_VERSION);
	}
	mpack_put_array(&w, 2);
	mpack_put_vmid(&w, &msg->sender);
	mpack_put_array(&w, msg->n_rows);
	for (uint32_t i = 0; i < msg->n_rows; i++)
		put_row(&w, &msg->rows[i]);
	return (PEER_MSG_METRICS);
}

static void
get_row(struct mpack_reader *r, struct move_row *row, bool *ok)
{
	mpack_enter(r, ROW_FIELDS);
	row->service = get_text(r, MOVE_NAME_MAX, ok);
	row->version = get_text(r, MOVE_NAME_MAX, ok);
	row->route = get_text(r, MOVE_NAME_MAX, ok);
	row->calls = mpack_uint(r, UINT64_MAX);
	row->failed = mpack_uint(r, row->calls);
	row->slow = mpack_uint(r, row->calls);
	mpack_leave(r);
}

static void
get_bad_version(struct mpack_reader *r, struct move_msg *msg, bool *ok)
{
	msg->kind = MOVE_MSG_BAD_VERSION;
	mpack_enter(r, BAD_VERSION_FIELDS);
	msg->sender = mpack_vmid(r);
	msg->bad.service = get_text(r, MOVE_NAME_MAX, ok);
	msg->bad.version = get_text(r, MOVE_NAME_MAX, ok);
	msg->bad.intent = get_text(r, MOVE_NAME_MAX, ok);
	msg->bad.reason = get_text(r, MOVE_NAME_MAX, ok);
	mpack_leave(r);
}

static void
get_metrics(struct mpack_reader *r, struct move_msg *msg, bool *ok)
{
	uint32_t n;

	mpack_enter(r, 2);
	msg->sender = mpack_vmid(r);
	n = mpack_enter_list(r, MOVE_MAX_ROWS);
	msg->rows = g_new0(struct move_row, n + 1);
	for (uint32_t i = 0; *ok && mpack_ok(r) && i < n; i++)
		get_row(r, &msg->rows[msg->n_rows++], ok);
	mpack_leave(r);
	mpack_leave(r);
}

bool
config_codec_get_move(
    enum peer_msg_type type, struct bstr bytes, struct move_msg *msg)
{
	struct mpack_reader r;
	bool ok = type == PEER_MSG_METRICS || type == PEER_MSG_BAD_VERSION;

	*msg = (struct move_msg){0};
	mpack_reader_init(&r, bytes);
	if (type == PEER_MSG_BAD_VERSION)
		get_bad_version(&r, msg, &ok);
	else
		get_metrics(&r, msg, &ok);
	ok = ok && mpack_ok(&r) && !vmid_is_none(&msg->sender);
	mpack_reader_finish(&r);
	return (ok);
}
