#include "front/fe.h"

#include <stdio.h>
#include <stdlib.h>

#include "front/flt.h"
#include "front/ups.h"
#include "front/wrk.h"
#include "sys/clk.h"

#define BODY_HIGH_WATER (64 * 1024)
#define ANSWER_BLOCK (32 * 1024)
#define CONNECTION_MEMORY (32 * 1024)
#define IDLE_TIMEOUT_S 60u

static void
suspend(struct call *c)
{
	if (c->suspended)
		return;
	c->suspended = true;
	MHD_suspend_connection(c->conn);
	wrk_watch_hangup(c->w, c, true);
}

static void
resume(struct call *c)
{
	if (c->conn == NULL || !c->suspended)
		return;
	c->suspended = false;
	wrk_watch_hangup(c->w, c, false);
	MHD_resume_connection(c->conn);
	wrk_mhd_pending(c->w);
}

static enum MHD_Result
queue_error(struct call *c)
{
	const struct err_answer *a = err_answer(c->err);
	enum err_outcome o = err_outcome(c->err, c->keyed, c->owner_word);
	struct MHD_Response *r;
	enum MHD_Result rc;
	char text[128];
	int n;

	n = snprintf(text, sizeof(text),
	    "{\"error\":\"%s\",\"outcome\":\"%s\"}\n", a->name,
	    err_outcome_name(o));
	r = MHD_create_response_from_buffer(
	    (size_t)n, text, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(r, "Content-Type", "application/json");
	MHD_add_response_header(r, "X-Error-Kind", a->name);
	MHD_add_response_header(r, "X-Outcome", err_outcome_name(o));
	if (a->retry_after_s != 0) {
		snprintf(text, sizeof(text), "%u", a->retry_after_s);
		MHD_add_response_header(r, "Retry-After", text);
	}
	met_error(wrk_env(c->w)->met, c->err);
	c->answer_started = true;
	rc = MHD_queue_response(c->conn, a->status, r);
	MHD_destroy_response(r);
	return (rc);
}

static ssize_t
read_answer(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct call *c = arg;
	size_t n = c->answer.n < max ? c->answer.n : max;

	(void)pos;
	if (n != 0) {
		memcpy(buf, c->answer.p, n);
		bbuf_drop_front(&c->answer, n);
		ups_answer_taken(c);
		return ((ssize_t)n);
	}
	if (c->answer_done)
		return (c->err == ERR_NONE ? MHD_CONTENT_READER_END_OF_STREAM
					   : MHD_CONTENT_READER_END_WITH_ERROR);
	suspend(c);
	return (0);
}

static enum MHD_Result
queue_answer(struct call *c)
{
	uint64_t size =
	    c->answer_len >= 0 ? (uint64_t)c->answer_len : MHD_SIZE_UNKNOWN;
	struct MHD_Response *r;
	enum MHD_Result rc;

	r = MHD_create_response_from_callback(
	    size, ANSWER_BLOCK, read_answer, c, NULL);
	for (unsigned i = 0; i < c->n_headers; i++)
		MHD_add_response_header(
		    r, c->headers[i].name.p, c->headers[i].value.p);
	c->answer_started = true;
	rc = MHD_queue_response(c->conn, c->status, r);
	MHD_destroy_response(r);
	return (rc);
}

static enum MHD_Result
take_body(struct call *c, const char *data, size_t *n)
{
	if (c->err != ERR_NONE || c->answer_done) {
		*n = 0; /* The answer is already known, drop the rest. */
		return (MHD_YES);
	}
	if (c->body.n >= BODY_HIGH_WATER) {
		suspend(c);
		return (MHD_YES);
	}
	bbuf_add(&c->body, (struct bstr){data, *n});
	*n = 0;
	ups_body_ready(c);
	return (MHD_YES);
}

static void
read_head(struct call *c, const char *method)
{
	struct bstr len = call_header_in(c, "Content-Length");
	uint64_t v;

	c->method = (struct bstr){bstr_dup(bstr_from(method)), strlen(method)};
	if (call_header_in(c, "Transfer-Encoding").n != 0) {
		c->has_body = true;
	} else if (bstr_to_u64(len, &v) && v != 0) {
		c->has_body = true;
		c->body_len = (int64_t)v;
	}
	c->body_done = !c->has_body;
}

/* MHD calls this once for the head, for each body part, and at the end. */
static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	struct call *c = *ctx;

	(void)arg;
	(void)url;
	(void)version;
	if (c == NULL)
		return (MHD_NO);
	if (c->conn == NULL) {
		c->conn = conn;
		read_head(c, method);
		met_add(wrk_env(c->w)->met, MET_CALLS, 1);
		if (flt_run(c) == FLT_STOP && !c->has_body)
			return (queue_error(c));
		return (MHD_YES);
	}
	if (*n != 0)
		return (take_body(c, data, n));
	if (!c->body_done) {
		c->body_done = true;
		ups_body_ready(c);
	}
	if (c->answer_started)
		return (MHD_YES);
	if (c->status != 0)
		return (queue_answer(c));
	if (c->err != ERR_NONE)
		return (queue_error(c));
	suspend(c);
	return (MHD_YES);
}

static void *
on_uri(void *arg, const char *uri, struct MHD_Connection *conn)
{
	(void)conn;
	return (call_new(arg, uri));
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct call *c = *ctx;
	struct met *met;

	(void)arg;
	(void)conn;
	*ctx = NULL;
	if (c == NULL)
		return;
	met = wrk_env(c->w)->met;
	if (c->suspended)
		wrk_watch_hangup(c->w, c, false);
	c->conn = NULL;
	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK && c->err == ERR_NONE) {
		met_add(met, MET_CALLS_OK, 1);
		hist_add(
		    &met->latency, (uint64_t)(clk_mono_us() - c->start_us));
	} else if (c->err == ERR_NONE) {
		met_error(met, ERR_CALLER_GONE);
	}
	ups_cancel(c);
	wrk_forget(c->w, c);
	call_free(c);
}

struct MHD_Daemon *
fe_start(struct wrk *w, int listen_fd)
{
	return (MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0,
	    NULL, NULL, on_request, w, MHD_OPTION_LISTEN_SOCKET, listen_fd,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, w, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, w, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
	    MHD_OPTION_STRICT_FOR_CLIENT, 1, MHD_OPTION_END));
}

void
fe_on_head(struct call *c)
{
	resume(c);
}

void
fe_on_data(struct call *c)
{
	if (c->answer_started)
		resume(c);
}

void
fe_on_end(struct call *c)
{
	resume(c);
}

void
fe_on_body_taken(struct call *c)
{
	if (!c->body_done && c->body.n < BODY_HIGH_WATER)
		resume(c);
}

void
fe_on_hangup(struct call *c)
{
	ups_cancel(c);
	c->err = ERR_CALLER_GONE;
	c->answer_done = true;
	resume(c);
}
