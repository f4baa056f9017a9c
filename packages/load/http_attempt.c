#include "load/http_attempt.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "base/byte_string.h"
#include "load/body_pattern.h"

#define READ_BLOCK_BYTES (64 * 1024)
#define BODY_BLOCK_BYTES (16 * 1024)
#define ERROR_KIND_MAX 64
#define PATH_COUNT 1000 /* request paths of each kind of call */

/**
 * struct attempt_conn - connection to a target
 * @io: watched socket
 * @next: entry of the list of idle connections
 * @pool: pool of the connection
 * @target: index of the target
 * @attempt: attempt that uses the connection, NULL when idle
 * @connected: the connection is established
 * @used: has carried a request before the current one
 * @want_out: EPOLLOUT is watched
 * @h1: reader of the response
 * @out: request bytes to send
 * @out_pos: number of bytes of @out that have been sent
 */
struct attempt_conn {
	struct evloop_io io;
	TAILQ_ENTRY(attempt_conn) next;
	struct attempt_pool *pool;
	int target;
	struct http_attempt *attempt;
	bool connected, used, want_out;
	struct http1_reader h1;
	struct bbuf out;
	size_t out_pos;
};

static void on_conn(struct evloop_io *io, uint32_t events);
static void finish(struct http_attempt *t, enum load_report_result result,
    enum attempt_outcome outcome, enum err_kind refusal, bool keep);

static void
close_conn(struct attempt_conn *conn)
{
	struct attempt_pool *p = conn->pool;

	evloop_close(p->loop, &conn->io);
	p->targets[conn->target].n_conns--;
	http1_finish(&conn->h1);
	bbuf_finish(&conn->out);
	evloop_free_later(p->loop, conn);
}

static void
add_head(struct attempt_conn *conn)
{
	const struct http_attempt *t = conn->attempt;
	const struct load_plan_kind *k = &t->pool->plan->kinds[t->kind];
	bool post = k->body != 0;

	bbuf_addf(&conn->out, "%s /%s/%llu?bytes=%llu", post ? "POST" : "GET",
	    load_plan_kind_name(t->kind),
	    (unsigned long long)(t->seed % PATH_COUNT),
	    (unsigned long long)k->bytes);
	if (k->chunk != 0)
		bbuf_addf(&conn->out, "&chunk=%llu&pace_us=%llu",
		    (unsigned long long)k->chunk,
		    (unsigned long long)k->pace_us);
	bbuf_addf(&conn->out, " HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n",
	    t->host, t->id);
	if (t->kind == LOAD_PLAN_PAY)
		bbuf_addf(&conn->out, "Idempotency-Key: %s\r\n", t->id);
	if (post)
		bbuf_addf(&conn->out, "Content-Length: %llu\r\n",
		    (unsigned long long)k->body);
	bbuf_add(&conn->out, BSTR("\r\n"));
}

/*
 * Appends the next part of the request body to the output. Returns false when
 * the body is complete. The body has another seed than the response, so that
 * their bytes differ.
 */
static bool
add_body(struct attempt_conn *conn)
{
	struct http_attempt *t = conn->attempt;
	uint64_t left = t->pool->plan->kinds[t->kind].body - t->sent_body;
	size_t len = left < BODY_BLOCK_BYTES ? (size_t)left : BODY_BLOCK_BYTES;
	char block[BODY_BLOCK_BYTES];

	if (len == 0)
		return (false);
	pattern_fill(t->seed + 1, t->sent_body, block, len);
	XXH64_update(&t->hash, block, len);
	bbuf_add(&conn->out, (struct bstr){block, len});
	t->sent_body += len;
	return (true);
}

/*
 * Writes as much of the request as the socket accepts. Returns false on a write
 * error.
 */
static bool
flush(struct attempt_conn *conn)
{
	bool blocked = !conn->connected;

	while (!blocked && conn->attempt != NULL) {
		ssize_t len;

		if (conn->out_pos == conn->out.n) {
			bbuf_clear(&conn->out);
			conn->out_pos = 0;
			if (!add_body(conn))
				break;
		}
		len = send(conn->io.fd, conn->out.p + conn->out_pos,
		    conn->out.n - conn->out_pos, MSG_NOSIGNAL);
		if (len < 0 && errno != EAGAIN)
			return (false);
		if (len < 0)
			blocked = true;
		else
			conn->out_pos += (size_t)len;
	}
	if (blocked != conn->want_out) {
		conn->want_out = blocked;
		evloop_mod(conn->pool->loop, &conn->io,
		    EPOLLIN | (blocked ? EPOLLOUT : 0u));
	}
	return (true);
}

static void
send_request(struct attempt_conn *conn, struct http_attempt *t)
{
	conn->attempt = t;
	t->conn = conn;
	bbuf_clear(&conn->out);
	conn->out_pos = 0;
	http1_reset(&conn->h1);
	add_head(conn);
	if (!flush(conn))
		finish(t, LOAD_REPORT_CLOSED, ATTEMPT_UNKNOWN, ERR_NONE, false);
}

static bool
open_conn(struct attempt_pool *p, int target, struct http_attempt *t)
{
	int fd = evloop_connect(p->balancer->targets[target].addr);
	struct attempt_conn *conn;

	if (fd < 0)
		return (false);
	conn = calloc(1, sizeof(*conn));
	conn->pool = p;
	conn->target = target;
	conn->io.fn = on_conn;
	conn->want_out = true;
	http1_init(&conn->h1, true);
	p->targets[target].n_conns++;
	evloop_add(p->loop, &conn->io, fd, EPOLLIN | EPOLLOUT);
	send_request(conn, t);
	return (true);
}

/*
 * Passes a free connection on to the first waiting attempt, or keeps it idle.
 * If @conn is NULL, a connection was closed and the attempt opens a new one.
 */
static void
start_waiting(struct attempt_pool *p, int target, struct attempt_conn *conn)
{
	struct attempt_target *state = &p->targets[target];
	struct http_attempt *t = TAILQ_FIRST(&state->waiting);

	if (t == NULL) {
		if (conn != NULL)
			TAILQ_INSERT_HEAD(&state->idle, conn, next);
		return;
	}
	TAILQ_REMOVE(&state->waiting, t, next);
	t->waiting = false;
	if (conn != NULL)
		send_request(conn, t);
	else if (!open_conn(p, target, t))
		finish(t, LOAD_REPORT_NO_ENTRY, ATTEMPT_NONE, ERR_NONE, false);
}

/*
 * Ends the timeout and the wait of an attempt and releases its connection.
 * @keep reuses the connection for other attempts instead of closing it.
 */
static void
detach(struct http_attempt *t, bool keep)
{
	struct attempt_pool *p = t->pool;
	struct attempt_conn *conn = t->conn;

	evloop_timer_clear(p->loop, &t->timer);
	if (t->waiting)
		TAILQ_REMOVE(&p->targets[t->target].waiting, t, next);
	t->waiting = false;
	t->conn = NULL;
	if (conn == NULL)
		return;
	conn->attempt = NULL;
	conn->used = true;
	if (!keep) {
		close_conn(conn);
		conn = NULL;
	}
	start_waiting(p, t->target, conn);
}

static void
finish(struct http_attempt *t, enum load_report_result result,
    enum attempt_outcome outcome, enum err_kind refusal, bool keep)
{
	struct attempt_result r = {.result = result,
	    .outcome = outcome,
	    .reused = t->conn != NULL && t->conn->used,
	    .refusal = refusal};

	detach(t, keep);
	t->done(t, &r);
}

static bool
upload_matches(const struct http_attempt *t, const struct http1_reader *h)
{
	char text[24];
	uint64_t n;

	if (!bstr_to_u64(http1_header(h, "X-Body-Bytes"), &n) ||
	    n != t->sent_body)
		return (false);
	snprintf(text, sizeof(text), "%016llx",
	    (unsigned long long)XXH64_digest(&t->hash));
	return (bstr_eq(http1_header(h, "X-Body-Hash"), bstr_from(text)));
}

static bool
response_matches(const struct http_attempt *t, const struct http1_reader *h)
{
	const struct load_plan_kind *k = &t->pool->plan->kinds[t->kind];
	struct bstr id = http1_header(h, "X-Request-Id");

	if (t->corrupt || t->pos != k->bytes)
		return (false);
	/* The stored response of a repeated payment may lack the headers. */
	if (t->kind == LOAD_PLAN_PAY && id.n == 0)
		return (true);
	return (bstr_eq(id, bstr_from(t->id)) &&
	    (k->body == 0 || upload_matches(t, h)));
}

static enum attempt_outcome
outcome_of(const struct http1_reader *h)
{
	struct bstr outcome = http1_header(h, "X-Outcome");

	if (bstr_eq(outcome, BSTR("not-run")) ||
	    bstr_eq(http1_header(h, "X-Not-Run"), BSTR("1")))
		return (ATTEMPT_NOT_RUN);
	return (
	    bstr_eq(outcome, BSTR("unknown")) ? ATTEMPT_UNKNOWN : ATTEMPT_RAN);
}

static void
complete(struct http_attempt *t)
{
	const struct http1_reader *h = &t->conn->h1;
	struct bstr kind = http1_header(h, "X-Error-Kind");
	bool all_sent = t->sent_body == t->pool->plan->kinds[t->kind].body;
	enum attempt_outcome outcome = outcome_of(h);
	enum load_report_result result = LOAD_REPORT_STATUS;
	enum err_kind refusal = ERR_NONE;
	char name[ERROR_KIND_MAX];

	if (h->status == 200)
		result =
		    response_matches(t, h) ? LOAD_REPORT_OK : LOAD_REPORT_WRONG;
	if (kind.n != 0) {
		result = LOAD_REPORT_REFUSED;
		snprintf(name, sizeof(name), "%.*s", BSTR_ARG(kind));
		refusal = err_kind_from_name(name);
	}
	finish(t, result, outcome, refusal, !h->close && all_sent);
}

static void
on_conn_broken(struct attempt_conn *conn)
{
	struct http_attempt *t = conn->attempt;

	if (t == NULL) {
		TAILQ_REMOVE(
		    &conn->pool->targets[conn->target].idle, conn, next);
		close_conn(conn);
	} else if (!conn->connected) {
		finish(t, LOAD_REPORT_NO_ENTRY, ATTEMPT_NONE, ERR_NONE, false);
	} else if (t->head_received && http1_complete_at_close(&conn->h1)) {
		conn->h1.close = true;
		complete(t);
	} else {
		finish(t,
		    t->head_received ? LOAD_REPORT_PARTIAL : LOAD_REPORT_CLOSED,
		    ATTEMPT_UNKNOWN, ERR_NONE, false);
	}
}

static void
read_response(struct attempt_conn *conn, struct bstr in)
{
	struct http_attempt *t = conn->attempt;

	for (;;) {
		switch (http1_read(&conn->h1, &in)) {
		case HTTP1_MORE:
			return;
		case HTTP1_HEAD:
			t->head_received = true;
			break;
		case HTTP1_BODY:
			t->corrupt |= !pattern_check(
			    t->seed, t->pos, conn->h1.data.p, conn->h1.data.n);
			t->pos += conn->h1.data.n;
			break;
		case HTTP1_END:
			/* Bytes after the response belong to no request. */
			t->corrupt |= in.n != 0;
			complete(t);
			return;
		case HTTP1_ERROR:
			finish(t, LOAD_REPORT_WRONG, ATTEMPT_UNKNOWN, ERR_NONE,
			    false);
			return;
		}
	}
}

static void
on_conn(struct evloop_io *io, uint32_t events)
{
	struct attempt_conn *conn = (struct attempt_conn *)io;
	char block[READ_BLOCK_BYTES];
	int error = 0;
	socklen_t size = sizeof(error);
	ssize_t len;

	if (!conn->connected && events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) {
		getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &error, &size);
		conn->connected = error == 0;
		if (error != 0) {
			on_conn_broken(conn);
			return;
		}
	}
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
		len = recv(io->fd, block, sizeof(block), 0);
		if (len > 0 && conn->attempt != NULL)
			read_response(conn, (struct bstr){block, (size_t)len});
		else if (len >= 0 || errno != EAGAIN)
			on_conn_broken(conn);
		return;
	}
	/*
	 * After a write error, wait for input: the response may have arrived
	 * already, and otherwise the read fails as well.
	 */
	if (events & EPOLLOUT && !flush(conn))
		evloop_mod(conn->pool->loop, io, EPOLLIN);
}

static void
on_timeout(struct evloop_timer *timer)
{
	struct http_attempt *t = (struct http_attempt *)((char *)timer -
	    offsetof(struct http_attempt, timer));

	finish(t, LOAD_REPORT_TIMEOUT, ATTEMPT_UNKNOWN, ERR_NONE, false);
}

void
attempt_init(struct attempt_pool *p)
{
	p->targets =
	    calloc((size_t)p->balancer->n_targets + 1, sizeof(*p->targets));
	for (int i = 0; i < p->balancer->n_targets; i++) {
		TAILQ_INIT(&p->targets[i].idle);
		TAILQ_INIT(&p->targets[i].waiting);
	}
}

void
attempt_start(struct attempt_pool *p, struct http_attempt *t, int target,
    int64_t timeout_us)
{
	struct attempt_target *state = &p->targets[target];
	struct attempt_conn *conn = TAILQ_FIRST(&state->idle);

	t->pool = p;
	t->target = target;
	t->head_received = t->corrupt = false;
	t->pos = t->sent_body = 0;
	XXH64_reset(&t->hash, 0);
	t->timer.fn = on_timeout;
	evloop_timer_set(p->loop, &t->timer, evloop_now_us() + timeout_us);
	if (conn != NULL) {
		TAILQ_REMOVE(&state->idle, conn, next);
		send_request(conn, t);
	} else if (state->n_conns >= p->max_conns) {
		t->waiting = true;
		TAILQ_INSERT_TAIL(&state->waiting, t, next);
	} else if (!open_conn(p, target, t)) {
		finish(t, LOAD_REPORT_NO_ENTRY, ATTEMPT_NONE, ERR_NONE, false);
	}
}
