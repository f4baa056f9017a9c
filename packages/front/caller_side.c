#include "front/caller_side.h"

#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front/call_log.h"
#include "front/caller_socket.h"
#include "front/claim_filter.h"
#include "front/filter.h"
#include "front/head_memory.h"
#include "front/load_query.h"
#include "front/request_head.h"
#include "front/upstream_side.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

/*
 * The caller's connection is suspended when this many body bytes are unsent,
 * and resumed at the low mark.
 */
#define BODY_HIGH_WATER (64 * 1024)
#define BODY_LOW_WATER (32 * 1024)
/* High mark, and size of the part that is kept, while memory is short. */
#define BODY_TIGHT_WATER (16 * 1024)
/* Up to this size, a body stays in memory so that it can be sent again. */
#define BODY_REPLAY_MAX (64 * 1024)
/* Limit on body bytes that are read and discarded before an error answer. */
#define DISCARD_MAX (1024 * 1024)
/* Time to read the rest of a body after a refusal or the deadline. */
#define DISCARD_EXTRA_MS 1000
#define ANSWER_BLOCK (32 * 1024)
#define CONNECTION_LIMIT 4096
#define IDLE_TIMEOUT_S 60u
/* Time for the caller to read the last response before the socket is closed. */
#define LINGER_MS 1000
/*
 * With a memory limit: time without progress after which a caller that does not
 * read is disconnected, also while memory is short; interval of the check.
 */
#define STALL_MS 5000
#define STALL_TIGHT_MS 1000
#define STALL_CHECK_MS 500
/*
 * With a memory limit: send buffer of a caller's socket, which the kernel would
 * otherwise let grow to some megabytes.
 */
#define SEND_BUFFER (64 * 1024)

/**
 * struct caller_side_conn - connection of a caller
 * @source: first member; epoll source that signals a hang-up of the caller
 * @link: link in the worker's list of connections
 * @call: request in progress, NULL between requests
 * @read_by_us: deadline for reading the current head or body
 * @hung_up: the caller closed its side
 * @closing: this side closes the connection because no request was received
 * @last_answer: this side closes the connection after an answer, and the caller
 *	may have sent further requests
 * @has_read: the caller has taken an answer
 * @used_bytes: bytes of the heads and bodies that MHD has handed over
 * @acked: bytes that the caller's kernel has acknowledged
 * @acked_us: time at which @acked last changed or nothing waited for the caller
 * @check_us: time of the next check of @acked
 */
struct caller_side_conn {
	struct worker_source source;
	struct cds_list_head link;
	struct call *call;
	int64_t read_by_us;
	bool hung_up;
	bool closing;
	bool last_answer;
	bool has_read;
	uint64_t used_bytes;
	uint64_t acked;
	int64_t acked_us;
	int64_t check_us;
};

static void
suspend(struct call *c)
{
	if (c->suspended)
		return;
	c->suspended = true;
	MHD_suspend_connection(c->conn);
}

static void
resume(struct call *c)
{
	if (c->conn == NULL || !c->suspended)
		return;
	c->suspended = false;
	MHD_resume_connection(c->conn);
	worker_set_mhd_pending(c->w);
}

/*
 * Whether there are too many connections to keep this one: each one that is
 * kept occupies HEADMEM_CONNECTION_BYTES.
 */
static bool
is_crowded(const struct shared_state *shared)
{
	return (shared->max_kept_callers != 0 &&
	    atomic_load(&shared->n_callers) > shared->max_kept_callers);
}

static enum MHD_Result
queue(struct call *c, unsigned status, struct MHD_Response *r)
{
	const struct shared_state *shared = worker_shared_state(c->w);
	enum MHD_Result rc;

	if (c->must_close || worker_stopping(c->w) ||
	    atomic_load(&shared->unhealthy) || is_crowded(shared)) {
		MHD_add_response_header(r, "Connection", "close");
		c->caller_conn->last_answer = true;
	}
	c->answer_started = true;
	rc = MHD_queue_response(c->conn, status, r);
	MHD_destroy_response(r);
	return (rc);
}

/** struct retry_after - range of the Retry-After value in milliseconds */
struct retry_after {
	uint32_t min_ms;
	uint32_t spread_ms;
};

/*
 * A refusal by one upstream, or by a VM that stops, says little about the
 * others, so the caller may retry almost at once. After an overload, the
 * retries are spread, so that callers that were refused together do not retry
 * together.
 */
static struct retry_after
retry_after_range(enum err_kind kind)
{
	switch (kind) {
	case ERR_REFUSED:
	case ERR_CONNECT:
	case ERR_LEAVING:
		return ((struct retry_after){10, 30});
	case ERR_OVERLOADED:
		return ((struct retry_after){100, 300});
	default:
		return ((struct retry_after){200, 400});
	}
}

static void
add_retry_after(struct call *c, struct MHD_Response *r, unsigned status)
{
	unsigned s = err_answer(c->err)->retry_after_s;
	struct retry_after range = retry_after_range(c->err);
	char text[32];

	if (c->retry_after_us != 0)
		range = (struct retry_after){
		    (uint32_t)(c->retry_after_us / 1000), 1};
	if (c->pause_left_us > (int64_t)range.min_ms * 1000)
		range.min_ms = (uint32_t)(c->pause_left_us / 1000);

	if (worker_shared_state(c->w)->protocol->status_means_not_run &&
	    status == 503)
		snprintf(text, sizeof(text), "%.3f",
		    (range.min_ms +
			rng_below(worker_rng(c->w), range.spread_ms)) /
			1000.0);
	else if (s != 0)
		snprintf(text, sizeof(text), "%u", s);
	else
		return;
	MHD_add_response_header(r, "Retry-After", text);
}

static enum MHD_Result
queue_error(struct call *c)
{
	const struct err_answer *a = err_answer(c->err);
	enum err_outcome o = err_outcome(c->err, c->keyed, c->owner_decided);
	bool status_means_not_run =
	    worker_shared_state(c->w)->protocol->status_means_not_run;
	unsigned status = err_status(c->err, o, status_means_not_run);
	struct MHD_Response *r;
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
	if (c->err == ERR_UNAUTHORIZED)
		MHD_add_response_header(r, "WWW-Authenticate", "Bearer");
	add_retry_after(c, r, status);
	return (queue(c, status, r));
}

/* Answers with the response stored for the idempotency key. */
static enum MHD_Result
queue_replay(struct call *c)
{
	struct worker_msg_response *s = &c->claim.replay->response;
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    s->body_len, s->body, MHD_RESPMEM_MUST_COPY);

	if (s->content_type[0] != '\0')
		MHD_add_response_header(r, "Content-Type", s->content_type);
	MHD_add_response_header(r, "X-Replayed", "1");
	if (s->body_omitted)
		MHD_add_response_header(r, "X-Body-Omitted", "1");
	return (queue(c, s->status, r));
}

static ssize_t
read_answer(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct call *c = arg;
	struct call_attempt *a = call_current(c);
	struct bstr left = call_attempt_answer_left(a);
	size_t n = left.n < max ? left.n : max;

	(void)pos;
	if (n != 0) {
		memcpy(buf, left.p, n);
		a->answer_off += n;
		if (a->answer_off == a->answer.n) {
			if (c->eager)
				bbuf_finish(&a->answer);
			bbuf_clear(&a->answer);
			a->answer_off = 0;
			call_count_bytes(c);
		}
		upstream_side_answer_taken(c);
		return ((ssize_t)n);
	}
	if (c->answer_done)
		return (c->err == ERR_NONE ? MHD_CONTENT_READER_END_OF_STREAM
					   : MHD_CONTENT_READER_END_WITH_ERROR);
	suspend(c);
	return (0);
}

/* Response with a body that is complete in memory; takes over a->answer. */
static struct MHD_Response *
buffered_response(struct call_attempt *a)
{
	struct MHD_Response *r;

	if (a->answer.n == 0)
		return (MHD_create_response_from_buffer(
		    0, (void *)(uintptr_t) "", MHD_RESPMEM_PERSISTENT));
	r = MHD_create_response_from_buffer(
	    a->answer.n, a->answer.p, MHD_RESPMEM_MUST_FREE);
	bbuf_init(&a->answer);
	return (r);
}

static enum MHD_Result
queue_answer(struct call *c)
{
	struct call_attempt *a = call_current(c);
	const struct response_head *h = &a->head;
	uint64_t size = h->len >= 0 ? (uint64_t)h->len : MHD_SIZE_UNKNOWN;
	struct MHD_Response *r;

	if (c->answer_done && !c->head_request) {
		c->queued_bytes = a->answer.cap;
		r = buffered_response(a);
	} else {
		r = MHD_create_response_from_callback(
		    size, ANSWER_BLOCK, read_answer, c, NULL);
	}
	for (unsigned i = 0; i < h->n; i++) {
		if (response_head_forwards(h, i))
			MHD_add_response_header(r, response_head_name(h, i).p,
			    response_head_value(h, i).p);
	}
	return (queue(c, a->status, r));
}

/* Removes the call from all queues and ends its attempts and its claim. */
static void
cancel_work(struct call *c)
{
	worker_service_leave(c);
	load_query_leave(c);
	upstream_side_cancel(c);
	claim_filter_abandon(c);
}

/* Queues the answer when it can be started, else suspends the connection. */
static enum MHD_Result
answer_or_suspend(struct call *c)
{
	if (c->answer_started)
		return (MHD_YES);
	if (!call_answerable(c)) {
		suspend(c);
		return (MHD_YES);
	}
	if (c->err != ERR_NONE)
		return (queue_error(c));
	if (c->claim.replay != NULL)
		return (queue_replay(c));
	if (!c->answer_done)
		upstream_side_choose(c, call_answerable_attempt(c));
	if (call_current(c)->head.bytes > c->answer_head_max) {
		cancel_work(c);
		c->err = ERR_UPSTREAM_ANSWER;
		return (queue_error(c));
	}
	return (queue_answer(c));
}

static bool
has_short_memory(const struct worker *w)
{
	return (budget_is_tight(&worker_shared_state(w)->budget));
}

/* Frees the sent part of the body, unless it may have to be sent again. */
static void
free_sent_body(struct call *c, size_t incoming)
{
	size_t sent = call_body_sent(c);
	size_t max =
	    has_short_memory(c->w) ? BODY_TIGHT_WATER : BODY_REPLAY_MAX;

	if (c->body_buffered || c->body.n + incoming <= max ||
	    sent * 2 < c->body.n || sent == 0)
		return;
	bbuf_drop_front(&c->body, sent);
	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		if (call_attempt_runs(&c->held[i]))
			c->held[i].body_off -= sent;
	}
	c->body_dropped = true;
}

static enum MHD_Result
take_body(struct call *c, const char *data, size_t *n)
{
	size_t max = worker_shared_state(c->w)->max_keyed_body;

	if (c->body_buffered && c->err == ERR_NONE && c->body.n + *n > max) {
		claim_filter_abandon(c);
		c->err = ERR_BODY_TOO_LARGE;
	}
	if (c->err != ERR_NONE || c->answer_done || c->upload_stopped) {
		c->body_discarded += *n;
		*n = 0;
		/*
		 * Without an error, the upstream's answer is sent after the
		 * body, so the body is read until the deadline.
		 */
		if (c->err != ERR_NONE && c->body_discarded > DISCARD_MAX)
			return (MHD_NO);
		return (MHD_YES);
	}
	if (!c->body_buffered &&
	    call_body_left(c).n >=
		(has_short_memory(c->w) ? BODY_TIGHT_WATER : BODY_HIGH_WATER)) {
		suspend(c);
		return (MHD_YES);
	}
	free_sent_body(c, *n);
	bbuf_add(&c->body, (struct bstr){data, *n});
	call_count_bytes(c);
	*n = 0;
	upstream_side_body_ready(c);
	return (MHD_YES);
}

/*
 * Refuses the request after its head. libmicrohttpd closes the connection after
 * an answer that is queued at this point, so this is done only for large
 * bodies. Other bodies are read first and the answer is queued at their end.
 */
static enum MHD_Result
refuse_after_head(struct call *c)
{
	if (c->body_len <= DISCARD_MAX)
		return (MHD_YES);
	c->must_close = true;
	return (queue_error(c));
}

/* Bytes that MHD has received behind the request; the most if not known. */
static uint64_t
received_behind(const struct caller_side_conn *p)
{
	uint64_t taken;

	if (!callersock_taken_bytes(p->source.fd, &taken))
		return (UINT64_MAX);
	return (taken > p->used_bytes ? taken - p->used_bytes : 0);
}

/*
 * Sets the limit on the head of the answer. What was received behind the
 * request occupies the same memory. A body that is still to be read does not,
 * because the answer follows it.
 */
static void
limit_answer_head(struct call *c)
{
	struct headmem *m = &c->head_memory;

	headmem_set_behind(m, c->body_done ? UINT64_MAX : 0);
	c->answer_head_max = headmem_answer_max(m);
	if (c->body_done && c->answer_head_max < RESPONSE_HEAD_MAX_BYTES) {
		headmem_set_behind(m, received_behind(c->caller_conn));
		c->answer_head_max = headmem_answer_max(m);
	}
	for (unsigned i = 0; i < CALL_MAX_HELD; i++)
		c->held[i].head.max_bytes = c->answer_head_max;
}

/* Refuses a request whose answer might find no room in MHD's memory. */
static enum MHD_Result
refuse_head(struct call *c, enum err_kind kind)
{
	c->err = kind;
	c->must_close = true;
	return (queue_error(c));
}

static enum MHD_Result
on_head(struct call *c, const char *method, const char *version)
{
	metrics_add(worker_shared_state(c->w)->metrics, METRICS_CALLS, 1);
	/* Until the route is known, any request with a key counts as keyed. */
	c->keyed = claim_filter_has_key(c);
	if (!request_head_read(c, method, version))
		return (refuse_head(c, ERR_BAD_REQUEST));
	c->caller_conn->used_bytes += c->head_memory.head_bytes;
	limit_answer_head(c);
	if (c->answer_head_max == 0)
		return (refuse_head(c, ERR_HEAD_TOO_LARGE));
	if (filter_run(c) == FILTER_STOP) {
		c->caller_conn->read_by_us =
		    clk_mono_us() + DISCARD_EXTRA_MS * 1000;
		return (refuse_after_head(c));
	}
	c->caller_conn->read_by_us = c->deadline_us + DISCARD_EXTRA_MS * 1000;
	return (MHD_YES);
}

static void
on_body_end(struct call *c)
{
	if (c->body_done)
		return;
	c->body_done = true;
	limit_answer_head(c);
	if (c->wait != CALL_WAIT_BODY) {
		upstream_side_body_ready(c);
		return;
	}
	c->wait = CALL_WAIT_NONE;
	worker_timer_clear(c->w, c);
	filter_run(c);
}

/* MHD calls this after the head, for each part of the body and at the end. */
static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	struct call *c = *ctx;
	enum MHD_Result rc;
	size_t offered;

	(void)arg;
	(void)url;
	if (c == NULL)
		return (MHD_NO);
	if (c->conn == NULL) {
		c->conn = conn;
		return (on_head(c, method, version));
	}
	if (*n != 0) {
		offered = *n;
		rc = take_body(c, data, n);
		c->caller_conn->used_bytes += offered - *n;
		return (rc);
	}
	on_body_end(c);
	c->caller_conn->read_by_us = INT64_MAX;
	return (answer_or_suspend(c));
}

static void *
on_uri(void *arg, const char *uri, struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct call *c = call_new(arg, uri);

	if (c == NULL)
		return (NULL);
	c->caller_conn = info->socket_context;
	c->caller_conn->call = c;
	c->caller_conn->read_by_us = c->start_us + worker_head_timeout_us(arg);
	return (c);
}

/*
 * Error kind of a request that MHD ended before its answer was passed on. If
 * the caller is still there, MHD had no memory for the answer.
 */
static enum err_kind
unanswered_kind(const struct call *c, enum MHD_RequestTerminationCode code)
{
	if (code == MHD_REQUEST_TERMINATED_WITH_ERROR && c->answer_started &&
	    !c->caller_conn->hung_up &&
	    callersock_is_open(c->caller_conn->source.fd))
		return (ERR_INTERNAL);
	return (ERR_CALLER_GONE);
}

static void
count_end(struct call *c)
{
	struct metrics *metrics = worker_shared_state(c->w)->metrics;

	if (c->err == ERR_NONE) {
		metrics_add(metrics, METRICS_CALLS_OK, 1);
		c->caller_conn->has_read = true;
		hist_add(
		    &metrics->latency, (uint64_t)(clk_mono_us() - c->start_us));
	} else {
		metrics_error(metrics, c->err);
	}
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct call *c = *ctx;

	(void)arg;
	(void)conn;
	*ctx = NULL;
	if (c == NULL)
		return;
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK && c->err == ERR_NONE)
		c->err = unanswered_kind(c, code);
	count_end(c);
	call_log_end(c);
	cancel_work(c);
	c->caller_conn->call = NULL;
	c->caller_conn->read_by_us = clk_mono_us() + IDLE_TIMEOUT_S * 1000000LL;
	worker_remove_call(c->w, c);
	call_free(c);
}

/*
 * Keeps the socket open after MHD has closed its descriptor. If a socket is
 * closed with unread requests, or receives more of them later, the kernel
 * resets the connection and drops what the caller has not received yet.
 */
static bool
linger(struct worker *w, struct caller_side_conn *p)
{
	int fd = p->last_answer ? fcntl(p->source.fd, F_DUPFD_CLOEXEC, 0) : -1;

	if (fd < 0)
		return (false);
	shutdown(fd, SHUT_WR);
	p->source.fd = fd;
	p->read_by_us = clk_mono_us() + LINGER_MS * 1000;
	cds_list_move(&p->link, worker_lingering(w));
	return (true);
}

static void
free_connection(struct caller_side_conn *p)
{
	cds_list_del(&p->link);
	free(p);
}

void
caller_side_sweep_lingering(struct worker *w, int64_t now_us)
{
	struct cds_list_head *node, *next;

	cds_list_for_each_safe(node, next, worker_lingering(w))
	{
		struct caller_side_conn *p =
		    cds_list_entry(node, struct caller_side_conn, link);

		if (now_us < p->read_by_us && callersock_discard(p->source.fd))
			continue;
		close(p->source.fd);
		free_connection(p);
	}
}

/*
 * Frees the call of a request that MHD ends without calling on_completed(): its
 * head has too many parts for the memory of the connection, so that not even an
 * error can be answered.
 */
static void
free_unused_call(struct worker *w, struct caller_side_conn *p)
{
	struct call *c = p->call;

	if (c == NULL)
		return;
	p->call = NULL;
	metrics_add(worker_shared_state(w)->metrics, METRICS_HEADS_UNUSED, 1);
	worker_remove_call(w, c);
	call_free(c);
}

static void
on_connection(void *arg, struct MHD_Connection *conn, void **ctx,
    enum MHD_ConnectionNotificationCode code)
{
	struct worker *w = arg;
	struct caller_side_conn *p = *ctx;

	if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
		atomic_fetch_sub(&worker_shared_state(w)->n_callers, 1);
		worker_unwatch(w, &p->source);
		free_unused_call(w, p);
		if (!linger(w, p))
			free_connection(p);
		*ctx = NULL;
		return;
	}
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	atomic_fetch_add(&worker_shared_state(w)->n_callers, 1);
	p->source.kind = WORKER_SRC_CALLER;
	p->source.fd =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CONNECTION_FD)
		->connect_fd;
	p->read_by_us = clk_mono_us() + IDLE_TIMEOUT_S * 1000000LL;
	if (budget_is_limited(&worker_shared_state(w)->budget))
		setsockopt(p->source.fd, SOL_SOCKET, SO_SNDBUF,
		    &(int){SEND_BUFFER}, sizeof(int));
	cds_list_add(&p->link, worker_callers(w));
	worker_watch_hangup(w, &p->source);
	*ctx = p;
}

struct MHD_Daemon *
caller_side_start(struct worker *w, int listen_fd)
{
	return (MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0,
	    NULL, NULL, on_request, w, MHD_OPTION_LISTEN_SOCKET, listen_fd,
	    MHD_OPTION_URI_LOG_CALLBACK, on_uri, w, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, w, MHD_OPTION_NOTIFY_CONNECTION, on_connection, w,
	    MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned)CONNECTION_LIMIT,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT,
	    (size_t)HEADMEM_CONNECTION_BYTES, MHD_OPTION_STRICT_FOR_CLIENT, 1,
	    MHD_OPTION_END));
}

bool
caller_side_has_read(const struct call *c)
{
	return (c->caller_conn->has_read);
}

void
caller_side_on_head(struct call *c)
{
	if (call_answerable(c))
		resume(c);
}

void
caller_side_on_data(struct call *c)
{
	if (c->answer_started || call_answerable(c))
		resume(c);
}

void
caller_side_on_end(struct call *c)
{
	resume(c);
}

void
caller_side_on_body_taken(struct call *c)
{
	if (!c->body_done &&
	    (c->upload_stopped || call_body_left(c).n <= BODY_LOW_WATER))
		resume(c);
}

static void
end_on_hangup(struct call *c)
{
	cancel_work(c);
	if (c->err == ERR_NONE)
		c->err = ERR_CALLER_GONE;
	c->answer_done = true;
	resume(c);
}

void
caller_side_on_hangup(struct worker_source *s)
{
	struct caller_side_conn *p = (struct caller_side_conn *)s;

	/* A shutdown by close_idle() is reported as a hang-up, too. */
	if (p->closing)
		return;
	p->hung_up = true;
	if (p->call != NULL && p->call->suspended)
		end_on_hangup(p->call);
	else
		/*
		 * MHD reads once for each event. If the end arrived together
		 * with data, it would find the end only after a timeout; this
		 * makes another event.
		 */
		shutdown(p->source.fd, SHUT_RD);
}

/*
 * Closes a connection on which the caller has sent nothing. A request that
 * arrived before the shutdown is still read and answered.
 */
static void
close_idle(struct caller_side_conn *p)
{
	char ch;

	if (p->closing ||
	    recv(p->source.fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT) > 0)
		return;
	p->closing = true;
	shutdown(p->source.fd, SHUT_RD);
}

void
caller_side_give_up(struct worker *w)
{
	struct cds_list_head *node;

	cds_list_for_each(node, worker_callers(w))
	{
		struct caller_side_conn *p =
		    cds_list_entry(node, struct caller_side_conn, link);

		if (p->call != NULL && p->call->suspended)
			upstream_side_give_up(p->call);
	}
}

/* Disconnects at once, and drops what the kernel holds for the caller. */
static void
disconnect(struct worker *w, struct caller_side_conn *p)
{
	metrics_add(
	    worker_shared_state(w)->metrics, METRICS_CALLERS_NOT_READING, 1);
	callersock_reset(p->source.fd);
	p->check_us = INT64_MAX;
}

/*
 * Disconnects a caller that does not read. A caller reads as long as its kernel
 * acknowledges bytes; one that reads a few bytes a second does not open its
 * window again for minutes.
 */
static void
check_progress(
    struct worker *w, struct caller_side_conn *p, int64_t now_us, bool tight)
{
	struct callersock_sending sending;

	if (now_us < p->check_us)
		return;
	p->check_us = now_us + STALL_CHECK_MS * 1000;
	if (!callersock_sending(p->source.fd, &sending))
		return;
	if (sending.acked != p->acked || !sending.waiting || p->acked_us == 0) {
		p->acked = sending.acked;
		p->acked_us = now_us;
		return;
	}
	if (now_us - p->acked_us >= (tight ? STALL_TIGHT_MS : STALL_MS) * 1000)
		disconnect(w, p);
}

/* Checks the callers to which an answer is being sent. */
static void
sweep_stalled(struct worker *w, int64_t now_us)
{
	struct byte_budget *b = &worker_shared_state(w)->budget;
	bool tight = budget_is_tight(b);
	struct cds_list_head *node;

	if (!budget_is_limited(b))
		return;
	atomic_store(
	    &worker_shared_state(w)->metrics->held_bytes, budget_held(b));
	cds_list_for_each(node, worker_callers(w))
	{
		struct caller_side_conn *p =
		    cds_list_entry(node, struct caller_side_conn, link);

		if (p->call != NULL && p->call->answer_started)
			check_progress(w, p, now_us, tight);
		else
			p->acked_us = 0;
	}
}

void
caller_side_sweep(struct worker *w, int64_t now_us, bool idle_too)
{
	struct cds_list_head *node;

	sweep_stalled(w, now_us);
	cds_list_for_each(node, worker_callers(w))
	{
		struct caller_side_conn *p =
		    cds_list_entry(node, struct caller_side_conn, link);

		if (now_us >= p->read_by_us)
			shutdown(p->source.fd, SHUT_RDWR);
		else if (p->call == NULL && idle_too)
			close_idle(p);
		else if (p->call != NULL && p->call->conn == NULL &&
		    worker_refuses(w, now_us))
			/* Its head is incomplete: nothing was begun. */
			shutdown(p->source.fd, SHUT_RD);
		else if (p->hung_up && p->call != NULL && p->call->suspended)
			end_on_hangup(p->call);
	}
}
