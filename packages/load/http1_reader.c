#include "load/http1_reader.h"

#include <stdlib.h>

void
http1_init(struct http1_reader *h, bool response)
{
	*h = (struct http1_reader){.response = response};
}

void
http1_finish(struct http1_reader *h)
{
	bbuf_finish(&h->head);
	bbuf_finish(&h->line);
}

void
http1_reset(struct http1_reader *h)
{
	bbuf_clear(&h->head);
	bbuf_clear(&h->line);
	h->state = HTTP1_IN_HEAD;
	h->n_headers = 0;
	h->remaining = 0;
	h->chunked = false;
	h->close = false;
	h->status = 0;
}

static struct bstr
trim(struct bstr s)
{
	while (s.n > 0 && (s.p[0] == ' ' || s.p[0] == '\t')) {
		s.p++;
		s.n--;
	}
	while (s.n > 0 && strchr(" \t\r\n", s.p[s.n - 1]) != NULL)
		s.n--;
	return (s);
}

/*
 * Returns the part of @s before the first @sep, or all of @s if there is none,
 * and advances @s past the separator.
 */
static struct bstr
cut(struct bstr *s, char sep)
{
	const char *p = s->n == 0 ? NULL : memchr(s->p, sep, s->n);
	struct bstr first = *s;

	if (p == NULL) {
		*s = (struct bstr){0};
		return (first);
	}
	first.n = (size_t)(p - s->p);
	s->p = p + 1;
	s->n -= first.n + 1;
	return (first);
}

struct bstr
http1_header(const struct http1_reader *h, const char *name)
{
	for (unsigned i = 0; i < h->n_headers; i++) {
		if (bstr_caseeq(h->headers[i].name, bstr_from(name)))
			return (h->headers[i].value);
	}
	return ((struct bstr){0});
}

static bool
read_first_line(struct http1_reader *h, struct bstr line)
{
	struct bstr a = cut(&line, ' ');
	struct bstr b = cut(&line, ' ');
	uint64_t v;

	if (!h->response) {
		h->method = a;
		h->target = b;
		return (b.n != 0);
	}
	if (!bstr_has_prefix(a, BSTR("HTTP/1.")) || !bstr_to_u64(b, &v))
		return (false);
	h->status = (unsigned)v;
	return (true);
}

static bool
read_framing(struct http1_reader *h)
{
	struct bstr len = http1_header(h, "Content-Length");
	bool no_body = h->status == 204 || h->status == 304;

	h->close = bstr_caseeq(http1_header(h, "Connection"), BSTR("close"));
	h->chunked =
	    bstr_caseeq(http1_header(h, "Transfer-Encoding"), BSTR("chunked"));
	if (h->chunked) {
		h->state = HTTP1_IN_CHUNK_SIZE;
	} else if (len.n != 0) {
		if (!bstr_to_u64(len, &h->remaining))
			return (false);
		h->state = h->remaining == 0 ? HTTP1_DONE : HTTP1_IN_BODY;
	} else {
		h->state =
		    h->response && !no_body ? HTTP1_UNTIL_CLOSE : HTTP1_DONE;
	}
	return (true);
}

static enum http1_event
read_head(struct http1_reader *h, struct bstr *in)
{
	/* The blank line may begin in the last 3 bytes of earlier input. */
	size_t from = h->head.n < 3 ? 0 : h->head.n - 3;
	size_t old_len = h->head.n;
	const char *end;
	struct bstr rest;
	size_t n;

	bbuf_add(&h->head, *in);
	end = memmem(h->head.p + from, h->head.n - from, "\r\n\r\n", 4);
	if (end == NULL) {
		in->n = 0;
		return (h->head.n > HTTP1_MAX_HEAD_BYTES ? HTTP1_ERROR
							 : HTTP1_MORE);
	}
	n = (size_t)(end - h->head.p) + 4;
	in->p += n - old_len;
	in->n -= n - old_len;
	h->head.n = n;
	rest = (struct bstr){h->head.p, n - 2};
	if (!read_first_line(h, trim(cut(&rest, '\n'))))
		return (HTTP1_ERROR);
	while (rest.n != 0) {
		struct bstr line = trim(cut(&rest, '\n'));
		struct bstr name = cut(&line, ':');

		if (h->n_headers == HTTP1_MAX_HEADERS)
			return (HTTP1_ERROR);
		h->headers[h->n_headers++] =
		    (struct http1_header){name, trim(line)};
	}
	return (read_framing(h) ? HTTP1_HEAD : HTTP1_ERROR);
}

/* Appends input to the current line and returns whether it is complete. */
static bool
read_line(struct http1_reader *h, struct bstr *in)
{
	const char *end = memchr(in->p, '\n', in->n);
	size_t n = end == NULL ? in->n : (size_t)(end - in->p) + 1;

	bbuf_add(&h->line, (struct bstr){in->p, n});
	in->p += n;
	in->n -= n;
	return (end != NULL);
}

static enum http1_event
read_chunk_size(struct http1_reader *h, struct bstr *in)
{
	char *end;

	if (!read_line(h, in))
		return (h->line.n > HTTP1_MAX_LINE_BYTES ? HTTP1_ERROR
							 : HTTP1_MORE);
	h->remaining = strtoull(h->line.p, &end, 16);
	if (end == h->line.p)
		return (HTTP1_ERROR);
	bbuf_clear(&h->line);
	h->state = h->remaining == 0 ? HTTP1_IN_TRAILER : HTTP1_IN_BODY;
	return (HTTP1_MORE);
}

static enum http1_event
read_data(struct http1_reader *h, struct bstr *in)
{
	size_t n = in->n < h->remaining ? in->n : (size_t)h->remaining;

	h->data = (struct bstr){in->p, n};
	in->p += n;
	in->n -= n;
	h->remaining -= n;
	if (h->remaining == 0)
		h->state = h->chunked ? HTTP1_IN_CHUNK_END : HTTP1_DONE;
	return (HTTP1_BODY);
}

/*
 * Discards one line and enters @next if the line is empty. http1_read() repeats
 * the call until then.
 */
static enum http1_event
skip_to_blank_line(
    struct http1_reader *h, struct bstr *in, enum http1_state next)
{
	if (!read_line(h, in))
		return (h->line.n > HTTP1_MAX_LINE_BYTES ? HTTP1_ERROR
							 : HTTP1_MORE);
	if (h->line.n <= 2)
		h->state = next;
	bbuf_clear(&h->line);
	return (HTTP1_MORE);
}

enum http1_event
http1_read(struct http1_reader *h, struct bstr *in)
{
	enum http1_event e = HTTP1_MORE;

	while (e == HTTP1_MORE) {
		if (h->state == HTTP1_DONE)
			return (HTTP1_END);
		if (in->n == 0)
			return (HTTP1_MORE);
		switch (h->state) {
		case HTTP1_IN_HEAD:
			e = read_head(h, in);
			break;
		case HTTP1_IN_BODY:
			return (read_data(h, in));
		case HTTP1_IN_CHUNK_SIZE:
			e = read_chunk_size(h, in);
			break;
		case HTTP1_IN_CHUNK_END:
			e = skip_to_blank_line(h, in, HTTP1_IN_CHUNK_SIZE);
			break;
		case HTTP1_IN_TRAILER:
			e = skip_to_blank_line(h, in, HTTP1_DONE);
			break;
		case HTTP1_UNTIL_CLOSE:
			h->data = *in;
			in->n = 0;
			return (HTTP1_BODY);
		case HTTP1_DONE:
			break;
		}
	}
	return (e);
}

bool
http1_complete_at_close(const struct http1_reader *h)
{
	return (h->state == HTTP1_UNTIL_CLOSE || h->state == HTTP1_DONE);
}

uint64_t
http1_query(struct bstr target, const char *name, uint64_t def)
{
	uint64_t v;

	cut(&target, '?');
	while (target.n != 0) {
		struct bstr value = cut(&target, '&');
		struct bstr key = cut(&value, '=');

		if (bstr_eq(key, bstr_from(name)) && bstr_to_u64(value, &v))
			return (v);
	}
	return (def);
}
