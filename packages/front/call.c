#include "front/call.h"

#include <stdlib.h>

#include "sys/clk.h"

static const struct bstr hop_by_hop[] = {
    {"Connection", 10},
    {"Keep-Alive", 10},
    {"Proxy-Authenticate", 18},
    {"Proxy-Authorization", 19},
    {"Proxy-Connection", 16},
    {"TE", 2},
    {"Trailer", 7},
    {"Transfer-Encoding", 17},
    {"Upgrade", 7},
};

struct call *
call_new(struct wrk *w, const char *target)
{
	struct call *c = calloc(1, sizeof(*c));
	const char *query;

	if (c == NULL)
		return (NULL);
	c->w = w;
	c->start_us = clk_mono_us();
	c->target.n = strlen(target);
	c->target.p = bstr_dup(bstr_from(target));
	query = memchr(c->target.p, '?', c->target.n);
	c->path.p = c->target.p;
	c->path.n = query == NULL ? c->target.n : (size_t)(query - c->target.p);
	c->answer_len = -1;
	c->body_len = -1;
	c->reported = -1;
	return (c);
}

static void
free_str(struct bstr *s)
{
	free((char *)(uintptr_t)s->p);
	*s = (struct bstr){0};
}

void
call_free(struct call *c)
{
	call_reset_answer(c);
	bbuf_finish(&c->body);
	bbuf_finish(&c->answer);
	free_str(&c->method);
	free_str(&c->target);
	free_str(&c->service);
	free_str(&c->version);
	free_str(&c->addr);
	for (uint32_t i = 0; i < c->n_excluded; i++)
		rt_stat_unref(c->excluded[i]);
	if (c->upstream != NULL)
		rt_stat_unref(c->upstream);
	free(c);
}

struct bstr
call_header_in(const struct call *c, const char *name)
{
	return (bstr_from(
	    MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND, name)));
}

void
call_reset_answer(struct call *c)
{
	for (unsigned i = 0; i < c->n_headers; i++) {
		free_str(&c->headers[i].name);
		free_str(&c->headers[i].value);
	}
	free(c->headers);
	c->headers = NULL;
	c->n_headers = 0;
	c->status = 0;
	c->answer_len = -1;
	c->chunked = false;
	c->upstream_not_run = false;
	bbuf_clear(&c->answer);
}

void
call_add_answer_header(struct call *c, struct bstr name, struct bstr value)
{
	struct call_header *h =
	    realloc(c->headers, (c->n_headers + 1) * sizeof(*h));

	if (h == NULL)
		abort();
	c->headers = h;
	h[c->n_headers].name = (struct bstr){.p = bstr_dup(name), .n = name.n};
	h[c->n_headers].value =
	    (struct bstr){.p = bstr_dup(value), .n = value.n};
	c->n_headers++;
}

bool
call_is_hop_by_hop(struct bstr name)
{
	for (size_t i = 0; i < sizeof(hop_by_hop) / sizeof(*hop_by_hop); i++) {
		if (bstr_caseeq(hop_by_hop[i], name))
			return (true);
	}
	return (false);
}
