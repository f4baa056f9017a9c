#include "front/request_head.h"

#include "front/head_memory.h"
#include "front/hop_headers.h"

/**
 * struct field_summary - summary of the fields of a request head
 * @bad: a field is malformed
 * @hosts: number of Host fields
 * @lengths: number of Content-Length fields
 * @codings: number of Transfer-Encoding fields
 * @keys: number of Idempotency-Key fields
 * @chunked: the last Transfer-Encoding is "chunked"
 * @memory: what the head occupies
 */
struct field_summary {
	bool bad;
	unsigned hosts;
	unsigned lengths;
	unsigned codings;
	unsigned keys;
	bool chunked;
	struct headmem memory;
};

static enum MHD_Result
count_field(void *arg, enum MHD_ValueKind kind, const char *key, size_t key_n,
    const char *value, size_t value_n)
{
	struct field_summary *s = arg;
	struct bstr k = {key, key_n};
	struct bstr v = {value, value == NULL ? 0 : value_n};

	(void)kind;
	headmem_add_field(&s->memory, k, v);
	if (!hop_is_token(k) || !hop_is_value(v))
		s->bad = true;
	if (bstr_caseeq(k, BSTR("Host")))
		s->hosts++;
	if (bstr_caseeq(k, BSTR("Content-Length")))
		s->lengths++;
	if (bstr_caseeq(k, BSTR("Idempotency-Key")))
		s->keys++;
	if (bstr_caseeq(k, BSTR("Transfer-Encoding"))) {
		s->codings++;
		s->chunked = bstr_caseeq(v, BSTR("chunked"));
	}
	return (MHD_YES);
}

static bool
target_ok(struct bstr target)
{
	if (target.n == 0 || target.p[0] != '/')
		return (false);
	return (hop_is_value(target) &&
	    memchr(target.p, ' ', target.n) == NULL &&
	    memchr(target.p, '\t', target.n) == NULL);
}

static bool
method_ok(struct bstr method)
{
	return (hop_is_token(method) && !bstr_eq(method, BSTR("CONNECT")) &&
	    !bstr_eq(method, BSTR("TRACE")));
}

static bool
framing_ok(const struct call *c, const struct field_summary *s)
{
	if (s->bad || s->hosts > 1 || s->keys > 1 || s->lengths > 1)
		return (false);
	if (s->hosts == 0 && !c->http10)
		return (false);
	if (s->codings == 0)
		return (true);
	return (s->codings == 1 && s->chunked && s->lengths == 0 && !c->http10);
}

/* Adds the parts of the head that count_field() does not see. */
static bool
add_unseen(struct call *c, struct headmem *m)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    c->conn, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
	int n = MHD_get_connection_values(c->conn,
	    (enum MHD_ValueKind)(MHD_COOKIE_KIND | MHD_GET_ARGUMENT_KIND), NULL,
	    NULL);

	if (info == NULL || n < 0)
		return (false);
	m->head_bytes = info->header_size;
	headmem_add_records(m, (unsigned)n);
	return (true);
}

bool
request_head_read(struct call *c, const char *method, const char *version)
{
	struct bstr length = call_header_in(c, "Content-Length");
	struct field_summary s = {0};
	uint64_t v = 0;

	c->method = (struct bstr){bstr_dup(bstr_from(method)), strlen(method)};
	c->head_request = bstr_eq(c->method, BSTR("HEAD"));
	c->http10 = !bstr_eq(bstr_from(version), BSTR("HTTP/1.1"));
	MHD_get_connection_values_n(c->conn, MHD_HEADER_KIND, count_field, &s);
	if (!method_ok(c->method) || !target_ok(c->target) ||
	    !framing_ok(c, &s))
		return (false);
	if (s.lengths != 0 && (!bstr_to_u64(length, &v) || v > INT64_MAX))
		return (false);
	if (!add_unseen(c, &s.memory))
		return (false);
	c->head_memory = s.memory;
	c->has_body = s.chunked || v != 0;
	if (!s.chunked)
		c->body_len = (int64_t)v;
	c->body_done = !c->has_body;
	return (!c->head_request || !c->has_body);
}

static int
hex_digit(char ch)
{
	if (ch >= '0' && ch <= '9')
		return (ch - '0');
	if (ch >= 'a' && ch <= 'f')
		return (ch - 'a' + 10);
	if (ch >= 'A' && ch <= 'F')
		return (ch - 'A' + 10);
	return (-1);
}

static bool
percent_decode(struct bstr path, struct bbuf *out)
{
	for (size_t i = 0; i < path.n; i++) {
		char ch = path.p[i];

		if (ch == '%') {
			int hi = path.n - i > 2 ? hex_digit(path.p[i + 1]) : -1;
			int lo = path.n - i > 2 ? hex_digit(path.p[i + 2]) : -1;

			if (hi < 0 || lo < 0 || hi * 16 + lo == 0)
				return (false);
			ch = (char)(hi * 16 + lo);
			i += 2;
		}
		bbuf_add(out, (struct bstr){&ch, 1});
	}
	return (true);
}

/* Removes the last segment of @out; returns false at the root. */
static bool
pop_segment(struct bbuf *out)
{
	if (out->n <= 1)
		return (false);
	out->n--;
	while (out->p[out->n - 1] != '/')
		out->n--;
	return (true);
}

static bool
join_segments(struct bstr path, struct bbuf *out)
{
	size_t i = 0;

	bbuf_add(out, BSTR("/"));
	while (i < path.n) {
		size_t start = i;
		struct bstr seg;

		while (i < path.n && path.p[i] != '/')
			i++;
		seg = (struct bstr){path.p + start, i - start};
		if (bstr_eq(seg, BSTR(".."))) {
			if (!pop_segment(out))
				return (false);
		} else if (seg.n != 0 && !bstr_eq(seg, BSTR("."))) {
			bbuf_add(out, seg);
			if (i < path.n)
				bbuf_add(out, BSTR("/"));
		}
		i++;
	}
	return (true);
}

bool
request_head_normalize_path(struct bstr path, struct bbuf *out)
{
	struct bbuf decoded;
	bool ok;

	bbuf_init(&decoded);
	ok = percent_decode(path, &decoded) &&
	    join_segments(bbuf_str(&decoded), out);
	bbuf_finish(&decoded);
	return (ok);
}
