#include "front/call.h"

#include <stdlib.h>

#include "front/worker.h"
#include "front/worker_msg.h"
#include "sys/clocks.h"

struct call *
call_new(struct worker *w, const char *target)
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
	c->body_len = -1;
	c->reported = -1;
	response_head_init(&c->head, false);
	c->head.close_ends_body =
	    worker_shared_state(w)->protocol->close_ends_body;
	c->may_probe = true;
	c->draw = rng_below(worker_rng(w), 1000);
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
	response_head_finish(&c->head);
	bbuf_finish(&c->body);
	bbuf_finish(&c->answer);
	bbuf_finish(&c->kept);
	free(c->claim.replay);
	free_str(&c->method);
	free_str(&c->target);
	for (uint32_t i = 0; i < c->n_excluded; i++)
		rt_stat_unref(c->excluded[i]);
	if (c->upstream != NULL)
		rt_stat_unref(c->upstream);
	if (c->tally != NULL)
		rt_tally_unref(c->tally);
	if (c->usage != NULL)
		usage_counter_unref(c->usage);
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
	c->answer_complete = false;
	c->answer_bytes = 0;
	c->answer_bytes_when_late = 0;
	response_head_reset(&c->head, c->head_request);
	c->head_bad = false;
	c->head_us = 0;
	c->status = 0;
	c->refused = false;
	c->failed = false;
	c->reported = -1;
	bbuf_clear(&c->answer);
	c->answer_off = 0;
	c->answer_paused = false;
	bbuf_clear(&c->kept);
	c->kept_omitted = false;
}

struct bstr
call_body_left(const struct call *c)
{
	if (c->body.n == c->body_off)
		return ((struct bstr){0});
	return (
	    (struct bstr){c->body.p + c->body_off, c->body.n - c->body_off});
}

struct bstr
call_answer_left(const struct call *c)
{
	if (c->answer.n == c->answer_off)
		return ((struct bstr){0});
	return ((struct bstr){
	    c->answer.p + c->answer_off, c->answer.n - c->answer_off});
}

bool
call_answerable(const struct call *c)
{
	if (c->err != ERR_NONE || c->claim.replay != NULL || c->answer_done)
		return (true);
	/* An answer without a body is passed on at the end of the transfer. */
	if (c->status == 0 || !response_head_has_body(&c->head))
		return (false);
	/*
	 * A short answer is passed on only when it is complete, so that a
	 * failed attempt can still be retried. One without a length counts as
	 * short until more of it than that has arrived.
	 */
	if (worker_shared_state(c->w)->protocol->status_means_not_run &&
	    c->answer.n <= CALL_BUFFERED_ANSWER_MAX &&
	    c->head.len <= CALL_BUFFERED_ANSWER_MAX)
		return (false);
	/* HTTP/1.0 cannot signal that a body of unknown length was cut off. */
	return (!c->http10 || c->head.len >= 0);
}
