#include "front/upstream_side.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "front/attempt_report.h"
#include "front/call_log.h"
#include "front/caller_side.h"
#include "front/claim_filter.h"
#include "front/filter.h"
#include "front/load_query.h"
#include "front/retry_policy.h"
#include "front/upstream_choice.h"
#include "front/upstream_request.h"
#include "front/worker.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

/* libcurl is paused above the high mark and resumed at the low mark. */
#define ANSWER_HIGH_WATER (256 * 1024)
#define ANSWER_LOW_WATER (64 * 1024)
/* Responses of unknown length are buffered whole for HTTP/1.0 callers. */
#define ANSWER_MAX_HTTP10 (256 * 1024)
/* A late attempt that could not be retried is checked again after this. */
#define LATE_RECHECK_MS 150

/* Releases the upstream and records the attempt in its statistics. */
static void
release_upstream(struct call *c, bool failed, bool exclude)
{
	int64_t now_us = clk_mono_us();
	struct rt_result result = {
	    .latency_us =
		(c->head_us != 0 ? c->head_us : now_us) - c->attempt_us,
	    .failed = failed,
	    .reported = c->reported,
	};

	result.slow = c->slow_us != 0 && result.latency_us > c->slow_us;
	/* Not a latency sample: the attempt ended before its response head. */
	if (!failed && c->head_us == 0)
		result.latency_us = RT_NO_SAMPLE;

	rt_on_finish(c->upstream, c->slots, &result, now_us);
	worker_service_on_end(c);
	worker_count_transfer(c->w, c->upstream, -1);
	if (exclude && c->n_excluded < RT_MAX_EXCLUDED)
		c->excluded[c->n_excluded++] = c->upstream;
	else
		rt_stat_unref(c->upstream);
	c->upstream = NULL;
	if (c->tally != NULL)
		rt_tally_unref(c->tally);
	c->tally = NULL;
}

static curl_socket_t
on_open(void *arg, curlsocktype purpose, struct curl_sockaddr *a)
{
	struct call *c = arg;

	(void)purpose;
	c->opened_fd = upstream_request_open_socket(a);
	return (c->opened_fd);
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
	struct call *c = arg;
	int64_t now_us = clk_mono_us();

	(void)local_ip;
	if (c->sent == CALL_MAY_BE_SENT) {
		c->resend_blocked = true;
		return (CURL_PREREQFUNC_ABORT);
	}
	if (!upstream_socket_is_clean(worker_sockets(c->w), c->opened_fd,
		remote_ip, remote_port, local_port)) {
		c->unclean = c->opened_fd < 0;
		/* After an abort, libcurl would reuse the connection. */
		curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
		return (CURL_PREREQFUNC_ABORT);
	}
	c->blocked = filter_check_fresh(worker_shared_state(c->w), now_us);
	if (now_us >= c->deadline_us || !claim_filter_may_send(c, now_us))
		c->blocked = ERR_DEADLINE;
	if (c->blocked != ERR_NONE)
		return (CURL_PREREQFUNC_ABORT);
	c->sent = CALL_MAY_BE_SENT;
	c->sent_on_reused_conn = c->opened_fd < 0;
	return (CURL_PREREQFUNC_OK);
}

static size_t
on_read(char *out, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	struct bstr left = call_body_left(c);
	size_t len = size * n;

	if (left.n == 0) {
		if (c->body_done)
			return (0);
		c->body_paused = true;
		return (CURL_READFUNC_PAUSE);
	}
	if (len > left.n)
		len = left.n;
	memcpy(out, left.p, len);
	c->body_off += len;
	caller_side_on_body_taken(c);
	return (len);
}

/* Copies data of the answer's body that is stored with the claim. */
static void
keep_for_claim(struct call *c, struct bstr data)
{
	if (!c->claim.granted || c->kept_omitted)
		return;
	if (c->kept.n + data.n > WORKER_MSG_BODY_MAX) {
		c->kept_omitted = true;
		return;
	}
	bbuf_add(&c->kept, data);
}

/* Frees the part of the answer's body that was passed to the caller. */
static void
trim_answer(struct call *c)
{
	if (c->answer_off < ANSWER_LOW_WATER)
		return;
	bbuf_drop_front(&c->answer, c->answer_off);
	c->answer_off = 0;
}

static size_t
on_write(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	size_t len = size * n;
	size_t left = call_answer_left(c).n;

	if (c->refused || c->failed)
		return (len);
	if (c->status == 0 || !response_head_has_body(&c->head)) {
		c->head_bad = true;
		return (0);
	}
	if (c->http10 && c->head.len < 0) {
		if (left + len > ANSWER_MAX_HTTP10) {
			c->head_bad = true;
			return (0);
		}
	} else if (left != 0 && left + len > ANSWER_HIGH_WATER) {
		c->answer_paused = true;
		return (CURL_WRITEFUNC_PAUSE);
	}
	trim_answer(c);
	c->answer_bytes += len;
	c->answer_complete = c->head.len >= 0 && !c->head.chunked &&
	    c->answer_bytes >= (uint64_t)c->head.len;
	bbuf_add(&c->answer, (struct bstr){data, len});
	keep_for_claim(c, (struct bstr){data, len});
	caller_side_on_data(c);
	return (len);
}

/* libcurl stops sending the body after an early response of 300 or above. */
static void
drop_upload(struct call *c)
{
	if (c->status < 300 || c->body_done || c->refused || c->failed)
		return;
	c->upload_stopped = true;
	c->body_dropped = true;
	c->body_off = c->body.n;
	caller_side_on_body_taken(c);
}

/* Evaluates the status fields of the response head. */
static void
read_report(struct call *c)
{
	const struct upstream_protocol *protocol =
	    worker_shared_state(c->w)->protocol;
	struct proto_expect expect = {.instance = bstr_from(c->instance)};
	struct proto_report r;

	if (protocol->request_id_field[0] != '\0')
		expect.request_id =
		    call_header_in(c, protocol->request_id_field);
	protocol->ops->read(&c->head, &expect, &r);
	c->refused = r.not_run;
	c->head_bad = r.verdict == PROTO_MISMATCH;
	if (r.running >= 0)
		c->reported = r.running;
	if (r.verdict == PROTO_MOVED || r.leaving)
		load_choice_on_report(c->upstream,
		    &(struct load_choice_report){.refusing = true}, c->head_us);
	if (r.idle_limit_ms > 0)
		atomic_store(
		    &c->upstream->idle_limit_us, r.idle_limit_ms * 1000);
	if (r.verdict == PROTO_MATCH)
		attempt_report_terms(
		    c->upstream, bstr_from(c->instance), &r.terms, c->head_us);
}

static void
on_final_head(struct call *c)
{
	const struct response_head *h = &c->head;

	c->head_us = clk_mono_us();
	read_report(c);
	if (c->head_bad)
		return;
	attempt_report_state(c, c->head_us);
	/* The next call must not read a body that follows such a head. */
	if (!response_head_has_body(h) && (h->len > 0 || h->chunked))
		curl_easy_setopt(c->easy, CURLOPT_FORBID_REUSE, 1L);
	c->status = h->status;
	c->answer_complete = !response_head_has_body(h) || h->len == 0;
	c->failed = h->status >= 500 && !c->refused &&
	    worker_shared_state(c->w)->protocol->status_means_not_run &&
	    retry_policy_take(c, ERR_UPSTREAM_ANSWER);
	drop_upload(c);
	if (!c->refused && !c->failed)
		caller_side_on_head(c);
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	struct bstr line = {data, size * n};

	switch (response_head_line(&c->head, line)) {
	case RESPONSE_HEAD_MORE:
	case RESPONSE_HEAD_INTERIM:
		break;
	case RESPONSE_HEAD_FINAL:
		on_final_head(c);
		if (c->head_bad)
			return (0);
		break;
	case RESPONSE_HEAD_BAD:
		c->head_bad = true;
		return (0);
	}
	return (line.n);
}

static void
set_callbacks(struct call *c)
{
	CURL *e = c->easy;

	curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, c);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(e, CURLOPT_READFUNCTION, on_read);
	curl_easy_setopt(e, CURLOPT_READDATA, c);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, c);
}

static void on_done(struct curl_transfer *x, CURL *easy, CURLcode result);

/* Sends the request to the upstream of the call. */
static void
start_transfer(struct call *c, int64_t now_us)
{
	c->may_probe = true;
	c->xfer.done = on_done;
	call_reset_answer(c);
	c->easy = worker_easy_get(c->w);
	c->sent = CALL_NOT_SENT;
	c->blocked = ERR_NONE;
	c->resend_blocked = false;
	c->unclean = false;
	c->sent_on_reused_conn = false;
	c->opened_fd = -1;
	c->body_off = 0;
	c->body_paused = false;
	c->attempt_us = now_us;
	c->attempts++;
	worker_count_transfer(c->w, c->upstream, 1);
	upstream_request_setup(c, now_us);
	set_callbacks(c);
	curl_multi_add_handle(worker_multi(c->w), c->easy);
	if (c->idempotent && c->goal_us != 0)
		worker_timer_set(c->w, c, now_us + c->goal_us);
}

/* Chooses an upstream and starts the transfer, or makes the call wait. */
static enum err_kind
choose_and_start(struct call *c, int64_t now_us)
{
	enum err_kind kind =
	    filter_check_fresh(worker_shared_state(c->w), now_us);
	struct upstream_pick pick;

	if (kind != ERR_NONE)
		return (kind);
	if (now_us >= c->deadline_us)
		return (ERR_DEADLINE);
	if (!worker_service_may_start(c, now_us, &kind))
		return (kind);
	switch (upstream_choice_pick(c, now_us, &pick)) {
	case RT_NONE:
		return (ERR_NO_UPSTREAM);
	case RT_FULL:
		c->may_probe = true;
		return (worker_service_wait(c, now_us));
	case UPSTREAM_CHOICE_WAIT:
		return (ERR_NONE);
	}
	upstream_choice_apply(c, &pick);
	worker_service_on_start(c, now_us);
	start_transfer(c, now_us);
	return (ERR_NONE);
}

enum err_kind
upstream_side_start(struct call *c)
{
	enum err_kind kind = choose_and_start(c, clk_mono_us());

	if (kind != ERR_NONE)
		worker_service_leave(c);
	return (kind);
}

static enum worker_msg_outcome
outcome_of(const struct call *c, enum err_kind kind)
{
	if (kind == ERR_NONE)
		return (WORKER_MSG_RUN_DONE);
	if (c->sent == CALL_NOT_SENT || c->refused)
		return (WORKER_MSG_RUN_NOT_RUN);
	return (WORKER_MSG_RUN_UNKNOWN);
}

void
upstream_side_end(struct call *c, enum err_kind kind)
{
	claim_filter_finish(c, outcome_of(c, kind));
	if (c->first_err != ERR_NONE && kind != ERR_NONE &&
	    err_answer(kind)->outcome == ERR_NOT_RUN)
		kind = c->first_err;
	c->err = kind;
	c->answer_done = true;
	caller_side_on_end(c);
}

void
upstream_side_body_ready(struct call *c)
{
	if (!c->body_paused || c->easy == NULL)
		return;
	c->body_paused = false;
	worker_unpause(c->w, c);
}

void
upstream_side_answer_taken(struct call *c)
{
	if (!c->answer_paused || call_answer_left(c).n > ANSWER_LOW_WATER)
		return;
	c->answer_paused = false;
	worker_unpause(c->w, c);
}

static void
end_transfer(struct call *c)
{
	curl_multi_remove_handle(worker_multi(c->w), c->easy);
	worker_easy_put(c->w, c->easy);
	curl_slist_free_all(c->out_headers);
	c->out_headers = NULL;
	c->easy = NULL;
}

void
upstream_side_cancel(struct call *c)
{
	if (c->easy == NULL)
		return;
	worker_timer_clear(c->w, c);
	end_transfer(c);
	release_upstream(c, false, false);
	worker_wake_waiting(c->w, c->service_state);
}

void
upstream_side_give_up(struct call *c)
{
	bool waits = c->wait == CALL_WAIT_SLOT || c->wait == CALL_WAIT_PROBE;
	enum err_kind kind = ERR_LEAVING;

	if (c->answer_started || c->answer_done || (c->easy == NULL && !waits))
		return;
	if (c->easy != NULL && c->sent == CALL_MAY_BE_SENT)
		kind = ERR_UPSTREAM_TIMEOUT;
	if (c->easy != NULL)
		call_log_attempt(c, kind);
	worker_service_leave(c);
	load_query_leave(c);
	upstream_side_cancel(c);
	upstream_side_end(c, kind);
}

static enum err_kind
error_kind_of(const struct call *c, CURLcode result)
{
	if (c->refused)
		return (ERR_REFUSED);
	if (c->failed)
		return (ERR_UPSTREAM_ANSWER);
	if (result == CURLE_OK && c->status != 0 && !c->head_bad)
		return (ERR_NONE);
	/* The upstream responded without reading the rest of the body. */
	if (c->answer_complete && !c->head_bad)
		return (ERR_NONE);
	if (c->sent == CALL_NOT_SENT) {
		if (c->blocked != ERR_NONE)
			return (c->blocked);
		if (clk_mono_us() >= c->deadline_us)
			return (ERR_DEADLINE);
		return (ERR_CONNECT);
	}
	if (c->resend_blocked)
		return (ERR_UPSTREAM_CLOSED);
	if (result == CURLE_OPERATION_TIMEDOUT)
		return (ERR_UPSTREAM_TIMEOUT);
	if (c->head_bad || c->head.bytes != 0 || result == CURLE_OK ||
	    result == CURLE_WEIRD_SERVER_REPLY ||
	    result == CURLE_UNSUPPORTED_PROTOCOL)
		return (ERR_UPSTREAM_ANSWER);
	return (ERR_UPSTREAM_CLOSED);
}

/* The upstream may have closed a reused connection before the request. */
static bool
is_stale_connection(const struct call *c, enum err_kind kind)
{
	return (kind == ERR_UPSTREAM_CLOSED && c->sent_on_reused_conn);
}

/* Starts another attempt or makes it wait; returns false if neither is done. */
static bool
retry(struct call *c, enum err_kind kind)
{
	if (!retry_policy_take(c, kind))
		return (false);
	if (c->first_err == ERR_NONE &&
	    err_answer(kind)->outcome == ERR_UNKNOWN)
		c->first_err = kind;
	c->need_new_conn = c->unclean || is_stale_connection(c, kind);
	call_reset_answer(c);
	if (upstream_side_start(c) != ERR_NONE)
		return (false);
	metrics_add(worker_shared_state(c->w)->metrics, METRICS_RETRIES, 1);
	return (true);
}

/* Ends the attempt with @kind, then retries or ends the call. */
static void
finish_attempt(struct call *c, enum err_kind kind)
{
	bool failed = kind != ERR_NONE || c->status >= 500;

	call_log_attempt(c, kind);
	if (!c->unclean)
		attempt_report_count(c, failed, clk_mono_us());
	end_transfer(c);
	if (!failed) {
		retry_budget_on_success(&c->service_state->budget);
		worker_service_record_time(
		    c, c->head_us - c->attempt_us, c->chosen.pace);
	}
	/* A stale reused connection is no reason to exclude the upstream. */
	release_upstream(c, failed && !c->unclean,
	    kind != ERR_NONE && !c->unclean && !is_stale_connection(c, kind));
	if (!retry(c, kind))
		upstream_side_end(c, kind);
	worker_wake_waiting(c->w, c->service_state);
}

static void
on_done(struct curl_transfer *x, CURL *easy, CURLcode result)
{
	struct call *c = (struct call *)x;

	(void)easy;
	load_query_leave(c);
	worker_timer_clear(c->w, c);
	finish_attempt(c, error_kind_of(c, result));
}

/* Whether the attempt of @c should be replaced by one at another upstream. */
static bool
is_late(struct call *c, int64_t now_us)
{
	return (c->easy != NULL && !c->answer_started && !c->failed &&
	    (c->status == 0 || c->answer_bytes == c->answer_bytes_when_late) &&
	    retry_policy_is_allowed(c, ERR_UPSTREAM_TIMEOUT, now_us) &&
	    worker_service_has_retry(c, now_us) &&
	    !worker_service_must_wait(c->service_state));
}

/* Ends the late attempt and starts one at the upstream of @pick. */
static void
move_to(struct call *c, const struct upstream_pick *pick, int64_t now_us)
{
	worker_service_take_retry(c, now_us);
	call_log_attempt(c, ERR_UPSTREAM_TIMEOUT);
	attempt_report_count(c, true, now_us);
	end_transfer(c);
	release_upstream(c, true, true);
	if (c->first_err == ERR_NONE)
		c->first_err = ERR_UPSTREAM_TIMEOUT;
	c->need_new_conn = false;
	upstream_choice_apply(c, pick);
	start_transfer(c, now_us);
	metrics_add(worker_shared_state(c->w)->metrics, METRICS_RETRIES, 1);
	worker_wake_waiting(c->w, c->service_state);
}

/*
 * The present attempt ends only when its successor has a slot: the upstream is
 * still at work on it, and without a successor its answer is the only one.
 */
static void
try_other(struct call *c, int64_t now_us)
{
	struct upstream_pick pick;

	switch (upstream_choice_pick(c, now_us, &pick)) {
	case 0:
		move_to(c, &pick, now_us);
		break;
	case UPSTREAM_CHOICE_WAIT:
		break;
	default:
		worker_timer_set(c->w, c, now_us + LATE_RECHECK_MS * 1000);
		break;
	}
}

void
upstream_side_on_late(struct call *c, int64_t now_us)
{
	bool late = is_late(c, now_us);

	if (c->easy == NULL || c->answer_started)
		return;
	c->answer_bytes_when_late = c->answer_bytes;
	c->may_probe = true;
	if (late && upstream_choice_has_other(c, now_us))
		try_other(c, now_us);
	else if (c->attempts < retry_policy_max_attempts(c))
		worker_timer_set(c->w, c, now_us + LATE_RECHECK_MS * 1000);
}

void
upstream_side_resume(struct call *c)
{
	int64_t now_us = clk_mono_us();
	enum err_kind kind;

	if (c->easy == NULL) {
		kind = upstream_side_start(c);
		if (kind != ERR_NONE)
			upstream_side_end(c, kind);
	} else if (is_late(c, now_us)) {
		try_other(c, now_us);
	} else if (!c->answer_started) {
		worker_timer_set(c->w, c, now_us + LATE_RECHECK_MS * 1000);
	}
}
