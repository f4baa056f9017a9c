#include "load/http_attempt.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "base/byte_string.h"
#include "load/body_pattern.h"

#define READ_BLOCK (64 * 1024)
#define OUT_BLOCK (16 * 1024)
#define KIND_MAX 64
#define PATHS 1000

/** struct attempt_conn - connection to a target, idle when it has no attempt */
struct attempt_conn {
	struct evloop_io io;
	TAILQ_ENTRY(attempt_conn) next;
	struct attempt_pool *pool;
	int target;
	struct http_attempt *try;
	bool connected, used, want_out;
	struct http1_reader h1;
	struct bbuf out;
	size_t out_pos;
};

static void on_conn(struct evloop_io *io, uint32_t events);
static void finish(struct http_attempt *t, enum load_report_end end,
    enum attempt_outcome word, enum err_kind refusal, bool keep);

static void
close_conn(struct attempt_conn *n)
{
	struct attempt_pool *p = n->pool;

	evloop_close(p->loop, &n->io);
	p->targets[n->target].n_conns--;
	http1_finish(&n->h1);
	bbuf_finish(&n->out);
	evloop_free_later(p->loop, n);
}

static void
add_head(struct attempt_conn *n)
{
	const struct http_attempt *t = n->try;
	const struct load_plan_kind *k = &t->pool->plan->kinds[t->kind];
	bool post = k->body != 0;

	bbuf_addf(&n->out, "%s /%s/%llu?bytes=%llu", post ? "POST" : "GET",
	    load_plan_kind_name(t->kind), (unsigned long long)(t->seed % PATHS),
	    (unsigned long long)k->bytes);
	if (k->chunk != 0)
		bbuf_addf(&n->out, "&chunk=%llu&pace_us=%llu",
		    (unsigned long long)k->chunk,
		    (unsigned long long)k->pace_us);
	bbuf_addf(&n->out, " HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n",
	    t->host, t->id);
	if (t->kind == LOAD_PLAN_PAY)
		bbuf_addf(&n->out, "Idempotency-Key: %s\r\n", t->id);
	if (post)
		bbuf_addf(&n->out, "Content-Length: %llu\r\n",
		    (unsigned long long)k->body);
	bbuf_add(&n->out, BSTR("\r\n"));
}

/* Adds the next part of the request body to the output. */
static bool
add_body(struct attempt_conn *n)
{
	struct http_attempt *t = n->try;
	uint64_t left = t->pool->plan->kinds[t->kind].body - t->sent_body;
	size_t len = left < OUT_BLOCK ? (size_t)left : OUT_BLOCK;
	char block[OUT_BLOCK];

	if (len == 0)
		return (false);
	pattern_fill(t->seed + 1, t->sent_body, block, len);
	XXH64_update(&t->hash, block, len);
	bbuf_add(&n->out, (struct bstr){block, len});
	t->sent_body += len;
	return (true);
}

/* Writes what the socket takes; Return: false on a broken connection. */
static bool
flush(struct attempt_conn *n)
{
	bool blocked = !n->connected;

	while (!blocked && n->try != NULL) {
		ssize_t len;

		if (n->out_pos == n->out.n) {
			bbuf_clear(&n->out);
			n->out_pos = 0;
			if (!add_body(n))
				break;
		}
		len = send(n->io.fd, n->out.p + n->out_pos,
		    n->out.n - n->out_pos, MSG_NOSIGNAL);
		if (len < 0 && errno != EAGAIN)
			return (false);
		if (len < 0)
			blocked = true;
		else
			n->out_pos += (size_t)len;
	}
	if (blocked != n->want_out) {
		n->want_out = blocked;
		evloop_mod(
		    n->pool->loop, &n->io, EPOLLIN | (blocked ? EPOLLOUT : 0u));
	}
	return (true);
}

static void
send_on(struct attempt_conn *n, struct http_attempt *t)
{
	n->try = t;
	t->conn = n;
	bbuf_clear(&n->out);
	n->out_pos = 0;
	http1_reset(&n->h1);
	add_head(n);
	if (!flush(n))
		finish(t, LOAD_REPORT_CLOSED, ATTEMPT_UNKNOWN, ERR_NONE, false);
}

static bool
open_conn(struct attempt_pool *p, int target, struct http_attempt *t)
{
	int fd = evloop_connect(p->bal->targets[target].addr);
	struct attempt_conn *n;

	if (fd < 0)
		return (false);
	n = calloc(1, sizeof(*n));
	n->pool = p;
	n->target = target;
	n->io.fn = on_conn;
	n->want_out = true;
	http1_init(&n->h1, true);
	p->targets[target].n_conns++;
	evloop_add(p->loop, &n->io, fd, EPOLLIN | EPOLLOUT);
	send_on(n, t);
	return (true);
}

/* Gives a finished connection, or the room for one, to a waiting attempt. */
static void
serve_waiting(struct attempt_pool *p, int target, struct attempt_conn *n)
{
	struct attempt_target *g = &p->targets[target];
	struct http_attempt *t = TAILQ_FIRST(&g->waiting);

	if (t == NULL) {
		if (n != NULL)
			TAILQ_INSERT_HEAD(&g->idle, n, next);
		return;
	}
	TAILQ_REMOVE(&g->waiting, t, next);
	t->waiting = false;
	if (n != NULL)
		send_on(n, t);
	else if (!open_conn(p, target, t))
		finish(t, LOAD_REPORT_NO_ENTRY, ATTEMPT_NONE, ERR_NONE, false);
}

static void
detach(struct http_attempt *t, bool keep)
{
	struct attempt_pool *p = t->pool;
	struct attempt_conn *n = t->conn;

	evloop_timer_clear(p->loop, &t->timer);
	if (t->waiting)
		TAILQ_REMOVE(&p->targets[t->target].waiting, t, next);
	t->waiting = false;
	t->conn = NULL;
	if (n == NULL)
		return;
	n->try = NULL;
	n->used = true;
	if (!keep) {
		close_conn(n);
		n = NULL;
	}
	serve_waiting(p, t->target, n);
}

static void
finish(struct http_attempt *t, enum load_report_end end,
    enum attempt_outcome word, enum err_kind refusal, bool keep)
{
	struct attempt_result r = {.end = end,
	    .word = word,
	    .reused = t->conn != NULL && t->conn->used,
	    .refusal = refusal};

	detach(t, keep);
	t->done(t, &r);
}

static bool
upload_is_right(const struct http_attempt *t, const struct http1_reader *h)
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
answer_is_right(const struct http_attempt *t, const struct http1_reader *h)
{
	const struct load_plan_kind *k = &t->pool->plan->kinds[t->kind];
	struct bstr id = http1_header(h, "X-Request-Id");

	if (t->wrong || t->pos != k->bytes)
		return (false);
	/* The stored answer of a repeated payment may come without headers. */
	if (t->kind == LOAD_PLAN_PAY && id.n == 0)
		return (true);
	return (bstr_eq(id, bstr_from(t->id)) &&
	    (k->body == 0 || upload_is_right(t, h)));
}

static enum attempt_outcome
word_of(const struct http1_reader *h)
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
	enum attempt_outcome word = word_of(h);
	enum load_report_end end = LOAD_REPORT_STATUS;
	enum err_kind refusal = ERR_NONE;
	char name[KIND_MAX];

	if (h->status == 200)
		end =
		    answer_is_right(t, h) ? LOAD_REPORT_OK : LOAD_REPORT_WRONG;
	if (kind.n != 0) {
		end = LOAD_REPORT_REFUSED;
		snprintf(name, sizeof(name), "%.*s", BSTR_ARG(kind));
		refusal = err_kind_from_name(name);
	}
	finish(t, end, word, refusal, !h->close && all_sent);
}

static void
broken(struct attempt_conn *n)
{
	struct http_attempt *t = n->try;

	if (t == NULL) {
		TAILQ_REMOVE(&n->pool->targets[n->target].idle, n, next);
		close_conn(n);
	} else if (!n->connected) {
		finish(t, LOAD_REPORT_NO_ENTRY, ATTEMPT_NONE, ERR_NONE, false);
	} else if (t->got_head && http1_at_close(&n->h1)) {
		n->h1.close = true;
		complete(t);
	} else {
		finish(t,
		    t->got_head ? LOAD_REPORT_PARTIAL : LOAD_REPORT_CLOSED,
		    ATTEMPT_UNKNOWN, ERR_NONE, false);
	}
}

static void
take_bytes(struct attempt_conn *n, struct bstr in)
{
	struct http_attempt *t = n->try;

	for (;;) {
		switch (http1_read(&n->h1, &in)) {
		case HTTP1_MORE:
			return;
		case HTTP1_HEAD:
			t->got_head = true;
			break;
		case HTTP1_BODY:
			t->wrong |= !pattern_check(
			    t->seed, t->pos, n->h1.data.p, n->h1.data.n);
			t->pos += n->h1.data.n;
			break;
		case HTTP1_END:
			/* Bytes behind the answer belong to no request. */
			t->wrong |= in.n != 0;
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
	struct attempt_conn *n = (struct attempt_conn *)io;
	char block[READ_BLOCK];
	int error = 0;
	socklen_t size = sizeof(error);
	ssize_t len;

	if (!n->connected && events & (EPOLLOUT | EPOLLERR | EPOLLHUP)) {
		getsockopt(io->fd, SOL_SOCKET, SO_ERROR, &error, &size);
		n->connected = error == 0;
		if (error != 0) {
			broken(n);
			return;
		}
	}
	if (events & (EPOLLIN | EPOLLERR | EPOLLHUP)) {
		len = recv(io->fd, block, sizeof(block), 0);
		if (len > 0 && n->try != NULL)
			take_bytes(n, (struct bstr){block, (size_t)len});
		else if (len >= 0 || errno != EAGAIN)
			broken(n);
		return;
	}
	/* A write error is seen again as a read error, with the answer. */
	if (events & EPOLLOUT && !flush(n))
		evloop_mod(n->pool->loop, io, EPOLLIN);
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
	p->targets = calloc((size_t)p->bal->n_targets + 1, sizeof(*p->targets));
	for (int i = 0; i < p->bal->n_targets; i++) {
		TAILQ_INIT(&p->targets[i].idle);
		TAILQ_INIT(&p->targets[i].waiting);
	}
}

void
attempt_start(struct attempt_pool *p, struct http_attempt *t, int target,
    int64_t timeout_us)
{
	struct attempt_target *g = &p->targets[target];
	struct attempt_conn *n = TAILQ_FIRST(&g->idle);

	t->pool = p;
	t->target = target;
	t->got_head = t->wrong = false;
	t->pos = t->sent_body = 0;
	XXH64_reset(&t->hash, 0);
	t->timer.fn = on_timeout;
	evloop_timer_set(p->loop, &t->timer, evloop_now_us() + timeout_us);
	if (n != NULL) {
		TAILQ_REMOVE(&g->idle, n, next);
		send_on(n, t);
	} else if (g->n_conns >= p->max_conns) {
		t->waiting = true;
		TAILQ_INSERT_TAIL(&g->waiting, t, next);
	} else if (!open_conn(p, target, t)) {
		finish(t, LOAD_REPORT_NO_ENTRY, ATTEMPT_NONE, ERR_NONE, false);
	}
}
