#include "front/attempt_transfer.h"

#include <sys/socket.h>

#include "front/attempt_report.h"
#include "front/caller_side.h"
#include "front/claim_filter.h"
#include "front/filter.h"
#include "front/retry_policy.h"
#include "front/upstream_request.h"
#include "front/usage_count.h"
#include "front/worker.h"
#include "front/worker_msg.h"
#include "sys/clocks.h"

/* libcurl is paused above this mark, see ATTEMPT_ANSWER_LOW_WATER. */
#define ANSWER_HIGH_WATER (256 * 1024)
/* The same while memory is short; two parts of the size that libcurl passes. */
#define ANSWER_TIGHT_WATER (32 * 1024)
/* Responses of unknown length are buffered whole for HTTP/1.0 callers. */
#define ANSWER_MAX_HTTP10 (256 * 1024)

static curl_socket_t
on_open(void *arg, curlsocktype purpose, struct curl_sockaddr *addr)
{
	struct call_attempt *a = arg;

	(void)purpose;
	a->opened_fd = upstream_request_open_socket(addr);
	return (a->opened_fd);
}

/*
 * libcurl calls this when the connection is established, before it writes the
 * request. It calls it again to resend the request on a new connection after a
 * reused one was closed without a response. Such a resend is always aborted,
 * because a retry has to pass retry_policy_take() and the retry budget.
 */
static int
on_prereq(
    void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct call_attempt *a = arg;
	struct call *c = a->call;
	int64_t now_us = clk_mono_us();

	(void)local_ip;
	if (a->sent == CALL_MAY_BE_SENT) {
		a->resend_blocked = true;
		return (CURL_PREREQFUNC_ABORT);
	}
	if (!upstream_socket_is_clean(worker_sockets(c->w), a->opened_fd,
		remote_ip, remote_port, local_port)) {
		a->unclean = a->opened_fd < 0;
		/* After an abort, libcurl would reuse the connection. */
		curl_easy_setopt(a->easy, CURLOPT_FORBID_REUSE, 1L);
		return (CURL_PREREQFUNC_ABORT);
	}
	a->blocked = filter_check_fresh(worker_shared_state(c->w), now_us);
	if (now_us >= c->deadline_us || !claim_filter_may_send(c, now_us))
		a->blocked = ERR_DEADLINE;
	if (a->blocked != ERR_NONE)
		return (CURL_PREREQFUNC_ABORT);
	a->sent = CALL_MAY_BE_SENT;
	a->usage_window =
	    usage_count_sent(c->usage, worker_shared_state(c->w), now_us);
	a->sent_on_reused_conn = a->opened_fd < 0;
	return (CURL_PREREQFUNC_OK);
}

/* Whether the call has another attempt that may still answer. */
static bool
has_other_running(const struct call_attempt *a)
{
	const struct call *c = a->call;

	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		const struct call_attempt *o = &c->held[i];

		if (o != a && call_attempt_runs(o) && !o->refused && !o->failed)
			return (true);
	}
	return (false);
}

/*
 * Discards the rest of the body after an early response. A body with a length
 * then stays shorter than its length. A chunked body must not be ended, as it
 * would look complete: on_read() aborts the transfer if libcurl asks for more.
 */
static void
stop_upload(struct call_attempt *a)
{
	struct call *c = a->call;

	c->upload_stopped = true;
	c->body_dropped = true;
	a->body_off = c->body.n;
	curl_easy_setopt(a->easy, CURLOPT_FORBID_REUSE, 1L);
	caller_side_on_body_taken(c);
}

static bool
is_early_error(const struct call_attempt *a)
{
	return (a->status >= 300 && !a->call->body_done && !a->refused &&
	    !a->failed);
}

/*
 * libcurl stops sending the body after a response of 300 or above, unless the
 * connection closes after it. It then goes on, and gets the rest of the body.
 * A second attempt still needs the body.
 */
static void
on_early_head(struct call_attempt *a)
{
	if (is_early_error(a) && !response_head_closes(&a->head) &&
	    !has_other_running(a))
		stop_upload(a);
}

/*
 * The caller reads the response only after it has sent its body, and the
 * upstream may not read the body before its response is taken.
 */
static void
on_early_pause(struct call_attempt *a)
{
	const struct call *c = a->call;

	if (is_early_error(a) && !c->upload_stopped &&
	    (c->body_len >= 0 || !response_head_closes(&a->head)))
		stop_upload(a);
}

/*
 * Ends the attempt if its upstream closed the connection before its answer,
 * while libcurl waits for more of the request body. libcurl itself notices that
 * only when it sends the next part.
 */
static void
on_unwatched(struct curl_transfer *x)
{
	struct call_attempt *a = (struct call_attempt *)x;

	if (!a->body_paused || a->status != 0)
		return;
	a->upstream_ended = true;
	a->body_paused = false;
	worker_unpause(a->call->w, a);
}

static size_t
on_read(char *out, size_t size, size_t n, void *arg)
{
	struct call_attempt *a = arg;
	struct call *c = a->call;
	size_t left = c->body.n - a->body_off;
	size_t len = size * n;

	if (a->upstream_ended)
		return (CURL_READFUNC_ABORT);
	if (left == 0) {
		if (c->upload_stopped && c->body_len < 0)
			return (CURL_READFUNC_ABORT);
		if (c->body_done || c->upload_stopped)
			return (0);
		a->body_paused = true;
		return (CURL_READFUNC_PAUSE);
	}
	if (len > left)
		len = left;
	memcpy(out, c->body.p + a->body_off, len);
	a->body_off += len;
	caller_side_on_body_taken(c);
	return (len);
}

/* Copies data of the answer's body that is stored with the claim. */
static void
keep_for_claim(struct call_attempt *a, struct bstr data)
{
	if (!a->call->claim.granted || a->kept_omitted)
		return;
	if (a->kept.n + data.n > WORKER_MSG_BODY_MAX) {
		a->kept_omitted = true;
		return;
	}
	bbuf_add(&a->kept, data);
}

/* Frees the part of the answer's body that was passed to the caller. */
static void
trim_answer(struct call_attempt *a)
{
	if (a->answer_off < ATTEMPT_ANSWER_LOW_WATER)
		return;
	bbuf_drop_front(&a->answer, a->answer_off);
	a->answer_off = 0;
}

/*
 * A short answer is taken whole also while memory is short. Otherwise callers
 * that read slowly would occupy all connections to their upstreams.
 */
static bool
is_short(const struct call_attempt *a)
{
	return (a->head.len >= 0 && a->head.len <= CALL_BUFFERED_ANSWER_MAX &&
	    worker_shared_state(a->call->w)->protocol->status_means_not_run);
}

/*
 * Whether libcurl is paused instead of adding @len bytes to the answer. While
 * memory is short, the answer is passed on as it arrives: buffers stay small,
 * and a failed attempt cannot be retried any more.
 */
static bool
is_full(struct call_attempt *a, size_t len)
{
	size_t left = call_attempt_answer_left(a).n;

	if (left == 0)
		return (false);
	if (left + len > ANSWER_HIGH_WATER)
		return (true);
	if (left + len <= ANSWER_TIGHT_WATER || is_short(a) ||
	    !budget_is_tight(&worker_shared_state(a->call->w)->budget))
		return (false);
	a->call->eager = true;
	caller_side_on_data(a->call);
	return (true);
}

static size_t
on_write(char *data, size_t size, size_t n, void *arg)
{
	struct call_attempt *a = arg;
	struct call *c = a->call;
	size_t len = size * n;
	size_t left = call_attempt_answer_left(a).n;

	if (a->refused || a->failed)
		return (len);
	if (a->status == 0 || !response_head_has_body(&a->head)) {
		a->head_bad = true;
		return (0);
	}
	if (c->http10 && a->head.len < 0) {
		if (left + len > ANSWER_MAX_HTTP10) {
			a->head_bad = true;
			return (0);
		}
	} else if (is_full(a, len)) {
		a->answer_paused = true;
		on_early_pause(a);
		return (CURL_WRITEFUNC_PAUSE);
	}
	trim_answer(a);
	a->answer_bytes += len;
	a->answer_complete = a->head.len >= 0 && !a->head.chunked &&
	    a->answer_bytes >= (uint64_t)a->head.len;
	bbuf_add(&a->answer, (struct bstr){data, len});
	keep_for_claim(a, (struct bstr){data, len});
	call_count_bytes(c);
	caller_side_on_data(c);
	return (len);
}

/* Evaluates the status fields of the response head. */
static void
read_report(struct call_attempt *a)
{
	struct call *c = a->call;
	const struct upstream_protocol *protocol =
	    worker_shared_state(c->w)->protocol;
	struct proto_expect expect = {.instance = bstr_from(a->instance)};
	struct proto_report r;

	if (protocol->request_id_field[0] != '\0')
		expect.request_id =
		    call_header_in(c, protocol->request_id_field);
	protocol->ops->read(&a->head, &expect, &r);
	a->refused = r.not_run;
	if (a->refused)
		usage_count_not_run(c->usage, &a->usage_window);
	a->head_bad = r.verdict == PROTO_MISMATCH;
	if (r.running >= 0)
		a->reported = r.running;
	if (r.verdict == PROTO_MOVED || r.leaving)
		load_choice_on_report(a->upstream,
		    &(struct load_choice_report){.refusing = true}, a->head_us);
	if (r.idle_limit_ms > 0)
		atomic_store(
		    &a->upstream->idle_limit_us, r.idle_limit_ms * 1000);
	if (r.verdict == PROTO_MATCH)
		attempt_report_terms(
		    a->upstream, bstr_from(a->instance), &r.terms, a->head_us);
}

/*
 * Whether another attempt takes the place of one that got a 5xx response, so
 * that the response is discarded.
 */
static bool
has_successor(struct call_attempt *a)
{
	if (!worker_shared_state(a->call->w)->protocol->status_means_not_run)
		return (false);
	if (has_other_running(a))
		return (true);
	a->retry_taken = retry_policy_take(a, ERR_UPSTREAM_ANSWER);
	return (a->retry_taken);
}

static void
on_final_head(struct call_attempt *a)
{
	const struct response_head *h = &a->head;

	a->head_us = clk_mono_us();
	read_report(a);
	if (a->head_bad)
		return;
	attempt_report_state(a, a->head_us);
	/* The next call must not read a body that follows such a head. */
	if (!response_head_has_body(h) && (h->len > 0 || h->chunked))
		curl_easy_setopt(a->easy, CURLOPT_FORBID_REUSE, 1L);
	a->status = h->status;
	a->answer_complete = !response_head_has_body(h) || h->len == 0;
	a->failed = h->status >= 500 && !a->refused && has_successor(a);
	on_early_head(a);
	if (!a->refused && !a->failed)
		caller_side_on_head(a->call);
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call_attempt *a = arg;
	struct bstr line = {data, size * n};

	switch (response_head_line(&a->head, line)) {
	case RESPONSE_HEAD_MORE:
	case RESPONSE_HEAD_INTERIM:
		break;
	case RESPONSE_HEAD_FINAL:
		on_final_head(a);
		if (a->head_bad)
			return (0);
		break;
	case RESPONSE_HEAD_BAD:
		a->head_bad = true;
		return (0);
	}
	return (line.n);
}

static void
set_callbacks(struct call_attempt *a)
{
	CURL *e = a->easy;

	curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, a);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, a);
	curl_easy_setopt(e, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(e, CURLOPT_READDATA, a);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, a);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, a);
}

void
attempt_transfer_start(struct call_attempt *a, int64_t now_us)
{
	struct call *c = a->call;

	call_attempt_reset(a, c->head_request);
	a->xfer.unwatched = on_unwatched;
	a->easy = worker_easy_get(c->w);
	a->start_us = now_us;
	a->number = ++c->attempts;
	worker_count_transfer(c->w, a->upstream, 1);
	upstream_request_setup(a, now_us);
	set_callbacks(a);
	curl_multi_add_handle(worker_multi(c->w), a->easy);
}

void
attempt_transfer_end(struct call_attempt *a)
{
	struct worker *w = a->call->w;

	a->xfer.unwatched = NULL;
	curl_multi_remove_handle(worker_multi(w), a->easy);
	worker_easy_put(w, a->easy);
	curl_slist_free_all(a->out_headers);
	a->out_headers = NULL;
	a->easy = NULL;
}

enum err_kind
attempt_transfer_error(const struct call_attempt *a, CURLcode result)
{
	if (a->refused)
		return (ERR_REFUSED);
	if (a->failed)
		return (ERR_UPSTREAM_ANSWER);
	if (result == CURLE_OK && a->status != 0 && !a->head_bad)
		return (ERR_NONE);
	/* The upstream responded without reading the rest of the body. */
	if (a->answer_complete && !a->head_bad)
		return (ERR_NONE);
	if (a->sent == CALL_NOT_SENT) {
		if (a->blocked != ERR_NONE)
			return (a->blocked);
		if (clk_mono_us() >= a->call->deadline_us)
			return (ERR_DEADLINE);
		return (ERR_CONNECT);
	}
	if (a->resend_blocked)
		return (ERR_UPSTREAM_CLOSED);
	if (result == CURLE_OPERATION_TIMEDOUT)
		return (ERR_UPSTREAM_TIMEOUT);
	if (a->head_bad || a->head.bytes != 0 || result == CURLE_OK ||
	    result == CURLE_WEIRD_SERVER_REPLY ||
	    result == CURLE_UNSUPPORTED_PROTOCOL)
		return (ERR_UPSTREAM_ANSWER);
	return (ERR_UPSTREAM_CLOSED);
}
