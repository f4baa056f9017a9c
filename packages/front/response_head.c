#include "front/response_head.h"

#include "front/hop_headers.h"

#define STATUS_LINE_MIN 12 /* "HTTP/1.1 200" */

/* Fields that only the load balancer itself may send to callers. */
static const struct bstr internal_names[] = {
    {"X-Error-Kind", 12},
    {"X-Outcome", 9},
    {"X-Replayed", 10},
    {"X-Body-Omitted", 14},
};

void
response_head_reset(struct response_head *h, bool head_request)
{
	h->head_request = head_request;
	h->in_head = false;
	h->final = false;
	h->http10 = false;
	h->status = 0;
	h->bytes = 0;
	h->len = -1;
	h->chunked = false;
	h->has_transfer_encoding = false;
	h->n = 0;
	bbuf_clear(&h->text);
}

void
response_head_init(struct response_head *h, bool head_request)
{
	bbuf_init(&h->text);
	h->close_ends_body = false;
	h->max_bytes = RESPONSE_HEAD_MAX_BYTES;
	response_head_reset(h, head_request);
}

void
response_head_finish(struct response_head *h)
{
	bbuf_finish(&h->text);
}

static enum response_head_verdict
status_line(struct response_head *h, struct bstr line)
{
	struct bstr code;
	uint64_t v;
	size_t bytes = h->bytes;

	if (line.n < STATUS_LINE_MIN ||
	    (!bstr_has_prefix(line, BSTR("HTTP/1.1 ")) &&
		!bstr_has_prefix(line, BSTR("HTTP/1.0 "))))
		return (RESPONSE_HEAD_BAD);
	if (line.n > STATUS_LINE_MIN && line.p[STATUS_LINE_MIN] != ' ')
		return (RESPONSE_HEAD_BAD);
	code = (struct bstr){line.p + 9, 3};
	if (!bstr_to_u64(code, &v) || v < 100 || v > 599)
		return (RESPONSE_HEAD_BAD);
	response_head_reset(h, h->head_request);
	h->bytes = bytes;
	h->in_head = true;
	h->http10 = bstr_has_prefix(line, BSTR("HTTP/1.0 "));
	h->status = (unsigned)v;
	return (RESPONSE_HEAD_MORE);
}

/* Appends a zero-terminated copy to the text; returns its offset. */
static uint16_t
add_text(struct response_head *h, struct bstr s)
{
	size_t at = h->text.n;

	bbuf_add(&h->text, s);
	bbuf_add(&h->text, (struct bstr){"", 1});
	return ((uint16_t)at);
}

static enum response_head_verdict
field_line(struct response_head *h, struct bstr line)
{
	const char *colon = memchr(line.p, ':', line.n);
	struct bstr name, value;
	struct response_head_field *f;
	uint64_t v;

	if (colon == NULL)
		return (RESPONSE_HEAD_BAD);
	name = (struct bstr){line.p, (size_t)(colon - line.p)};
	value = hop_trim(
	    (struct bstr){colon + 1, line.n - (size_t)(colon + 1 - line.p)});
	if (!hop_is_token(name) || !hop_is_value(value))
		return (RESPONSE_HEAD_BAD);
	if (bstr_caseeq(name, BSTR("Content-Length"))) {
		if (h->len >= 0 || !bstr_to_u64(value, &v) || v > INT64_MAX)
			return (RESPONSE_HEAD_BAD);
		h->len = (int64_t)v;
		return (RESPONSE_HEAD_MORE);
	}
	if (bstr_caseeq(name, BSTR("Transfer-Encoding"))) {
		if (h->has_transfer_encoding ||
		    !bstr_caseeq(value, BSTR("chunked")))
			return (RESPONSE_HEAD_BAD);
		h->has_transfer_encoding = true;
		h->chunked = true;
		return (RESPONSE_HEAD_MORE);
	}
	if (h->n == RESPONSE_HEAD_MAX_FIELDS)
		return (RESPONSE_HEAD_BAD);
	f = &h->fields[h->n++];
	f->name = add_text(h, name);
	f->name_n = (uint16_t)name.n;
	f->value = add_text(h, value);
	f->value_n = (uint16_t)value.n;
	return (RESPONSE_HEAD_MORE);
}

static enum response_head_verdict
end_of_head(struct response_head *h)
{
	h->in_head = false;
	/* No upgrade is ever requested, so 101 is invalid. */
	if (h->status == 101)
		return (RESPONSE_HEAD_BAD);
	if (h->status < 200)
		return (RESPONSE_HEAD_INTERIM);
	if (h->has_transfer_encoding && h->len >= 0)
		return (RESPONSE_HEAD_BAD);
	if (response_head_has_body(h) && !h->has_transfer_encoding &&
	    h->len < 0 && !h->close_ends_body)
		return (RESPONSE_HEAD_BAD);
	h->final = true;
	return (RESPONSE_HEAD_FINAL);
}

enum response_head_verdict
response_head_line(struct response_head *h, struct bstr line)
{
	struct bstr text = line;

	h->bytes += line.n;
	if (h->bytes > h->max_bytes)
		return (RESPONSE_HEAD_BAD);
	if (h->final)
		return (RESPONSE_HEAD_MORE);
	if (text.n > 0 && text.p[text.n - 1] == '\n')
		text.n--;
	if (text.n > 0 && text.p[text.n - 1] == '\r')
		text.n--;
	if (!h->in_head)
		return (status_line(h, text));
	if (text.n == 0)
		return (end_of_head(h));
	return (field_line(h, text));
}

bool
response_head_has_body(const struct response_head *h)
{
	return (!h->head_request && h->status != 204 && h->status != 304);
}

/* Whether a Connection field lists @name. */
static bool
connection_lists(const struct response_head *h, struct bstr name)
{
	for (unsigned i = 0; i < h->n; i++) {
		if (bstr_caseeq(response_head_name(h, i), BSTR("Connection")) &&
		    hop_connection_lists(response_head_value(h, i), name))
			return (true);
	}
	return (false);
}

bool
response_head_closes(const struct response_head *h)
{
	return (h->http10 || connection_lists(h, BSTR("close")) ||
	    (response_head_has_body(h) && !h->chunked && h->len < 0));
}

struct bstr
response_head_name(const struct response_head *h, unsigned i)
{
	const struct response_head_field *f = &h->fields[i];

	return ((struct bstr){h->text.p + f->name, f->name_n});
}

struct bstr
response_head_value(const struct response_head *h, unsigned i)
{
	const struct response_head_field *f = &h->fields[i];

	return ((struct bstr){h->text.p + f->value, f->value_n});
}

struct bstr
response_head_find(const struct response_head *h, struct bstr name)
{
	for (unsigned i = 0; i < h->n; i++) {
		if (bstr_caseeq(response_head_name(h, i), name))
			return (response_head_value(h, i));
	}
	return ((struct bstr){0});
}

bool
response_head_forwards(const struct response_head *h, unsigned i)
{
	struct bstr name = response_head_name(h, i);

	if (hop_is_hop_by_hop(name))
		return (false);
	for (size_t k = 0; k < sizeof(internal_names) / sizeof(*internal_names);
	     k++) {
		if (bstr_caseeq(internal_names[k], name))
			return (false);
	}
	return (!connection_lists(h, name));
}
