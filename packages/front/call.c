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
	for (unsigned i = 0; i < CALL_MAX_HELD; i++)
		call_attempt_init(&c->held[i], c,
		    worker_shared_state(w)->protocol->close_ends_body);
	c->may_probe = true;
	c->draw = rng_below(worker_rng(w), 1000);
	metrics_change(
	    worker_shared_state(w)->metrics, METRICS_CALLS_IN_PROGRESS, 1);
	return (c);
}

void
call_count_bytes(struct call *c)
{
	size_t n = CALL_BASE_BYTES + c->body.cap + c->queued_bytes;

	if (c->budget_share == 0)
		return;
	for (unsigned i = 0; i < CALL_MAX_HELD; i++)
		n += c->held[i].answer.cap + c->held[i].kept.cap;
	if (n < c->least_share)
		n = c->least_share;
	budget_set(&worker_shared_state(c->w)->budget, &c->budget_share, n);
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
	for (unsigned i = 0; i < CALL_MAX_HELD; i++)
		call_attempt_finish(&c->held[i]);
	bbuf_finish(&c->body);
	free(c->claim.replay);
	free_str(&c->method);
	free_str(&c->target);
	for (uint32_t i = 0; i < c->n_excluded; i++)
		rt_stat_unref(c->excluded[i]);
	if (c->usage != NULL)
		usage_counter_unref(c->usage);
	budget_set(&worker_shared_state(c->w)->budget, &c->budget_share, 0);
	metrics_change(
	    worker_shared_state(c->w)->metrics, METRICS_CALLS_IN_PROGRESS, -1);
	free(c);
}

struct bstr
call_header_in(const struct call *c, const char *name)
{
	return (bstr_from(
	    MHD_lookup_connection_value(c->conn, MHD_HEADER_KIND, name)));
}

struct call_attempt *
call_current(const struct call *c)
{
	return ((struct call_attempt *)(uintptr_t)&c->held[c->current]);
}

struct call_attempt *
call_other(const struct call *c)
{
	return ((struct call_attempt *)(uintptr_t)&c->held[1 - c->current]);
}

bool
call_runs(const struct call *c)
{
	return (
	    call_attempt_runs(&c->held[0]) || call_attempt_runs(&c->held[1]));
}

size_t
call_body_sent(const struct call *c)
{
	size_t n = SIZE_MAX;

	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		const struct call_attempt *a = &c->held[i];

		if (call_attempt_runs(a) && a->body_off < n)
			n = a->body_off;
	}
	return (n == SIZE_MAX ? 0 : n);
}

struct bstr
call_body_left(const struct call *c)
{
	size_t sent = call_body_sent(c);

	if (c->body.n == sent)
		return ((struct bstr){0});
	return ((struct bstr){c->body.p + sent, c->body.n - sent});
}

struct bstr
call_answer_left(const struct call *c)
{
	return (call_attempt_answer_left(call_current(c)));
}

static bool
is_answerable(const struct call *c, const struct call_attempt *a)
{
	/* An answer without a body is passed on at the end of the transfer. */
	if (!call_attempt_runs(a) || a->refused || a->failed ||
	    a->status == 0 || !response_head_has_body(&a->head))
		return (false);
	/*
	 * A short answer is passed on only when it is complete, so that a
	 * failed attempt can still be retried. One without a length counts as
	 * short until more of it than that has arrived.
	 */
	if (!c->eager &&
	    worker_shared_state(c->w)->protocol->status_means_not_run &&
	    a->answer.n <= CALL_BUFFERED_ANSWER_MAX &&
	    a->head.len <= CALL_BUFFERED_ANSWER_MAX)
		return (false);
	/* HTTP/1.0 cannot signal that a body of unknown length was cut off. */
	return (!c->http10 || a->head.len >= 0);
}

struct call_attempt *
call_answerable_attempt(const struct call *c)
{
	if (is_answerable(c, call_current(c)))
		return (call_current(c));
	if (is_answerable(c, call_other(c)))
		return (call_other(c));
	return (NULL);
}

bool
call_answerable(const struct call *c)
{
	return (c->err != ERR_NONE || c->claim.replay != NULL ||
	    c->answer_done || call_answerable_attempt(c) != NULL);
}
