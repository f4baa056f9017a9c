#include "load/cx.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "base/byte_string.h"
#include "load/pat.h"

#define READ_BLOCK (64 * 1024)
#define OUT_BLOCK (16 * 1024)
#define KIND_MAX 64
#define PATHS 1000

/** struct cx_conn - connection to a target, idle when it has no attempt */
struct cx_conn {
	struct evl_io io;
	TAILQ_ENTRY(cx_conn) next;
	struct cx_pool *pool;
	int target;
	struct cx *try;
	bool connected, used, want_out;
	struct h1 h1;
	struct bbuf out;
	size_t out_pos;
};

static void on_conn(struct evl_io *io, uint32_t events);
static void finish(struct cx *t, enum crep_end end, enum cx_outcome word,
    enum err_kind refusal, bool keep);

static void
close_conn(struct cx_conn *n)
{
	struct cx_pool *p = n->pool;

	evl_close(p->loop, &n->io);
	p->targets[n->target].n_conns--;
	h1_finish(&n->h1);
	bbuf_finish(&n->out);
	evl_free_later(p->loop, n);
}

static void
add_head(struct cx_conn *n)
{
	const struct cx *t = n->try;
	const struct cpl_kind *k = &t->pool->plan->kinds[t->kind];
	bool post = k->body != 0;

	bbuf_addf(&n->out, "%s /%s/%llu?bytes=%llu", post ? "POST" : "GET",
	    cpl_kind_name(t->kind), (unsigned long long)(t->seed % PATHS),
	    (unsigned long long)k->bytes);
	if (k->chunk != 0)
		bbuf_addf(&n->out, "&chunk=%llu&pace_us=%llu",
		    (unsigned long long)k->chunk,
		    (unsigned long long)k->pace_us);
	bbuf_addf(&n->out, " HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n",
	    t->host, t->id);
	if (t->kind == CPL_PAY)
		bbuf_addf(&n->out, "Idempotency-Key: %s\r\n", t->id);
	if (post)
		bbuf_addf(&n->out, "Content-Length: %llu\r\n",
		    (unsigned long long)k->body);
	bbuf_add(&n->out, BSTR("\r\n"));
}

/* Adds the next part of the request body to the output. */
static bool
add_body(struct cx_conn *n)
{
	struct cx *t = n->try;
	uint64_t left = t->pool->plan->kinds[t->kind].body - t->sent_body;
	size_t len = left < OUT_BLOCK ? (size_t)left : OUT_BLOCK;
	char block[OUT_BLOCK];

	if (len == 0)
		return (false);
	pat_fill(t->seed + 1, t->sent_body, block, len);
	XXH64_update(&t->hash, block, len);
	bbuf_add(&n->out, (struct bstr){block, len});
	t->sent_body += len;
	return (true);
}

/* Writes what the socket takes; Return: false on a broken connection. */
static bool
flush(struct cx_conn *n)
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
		evl_mod(
		    n->pool->loop, &n->io, EPOLLIN | (blocked ? EPOLLOUT : 0u));
	}
	return (true);
}

static void
send_on(struct cx_conn *n, struct cx *t)
{
	n->try = t;
	t->conn = n;
	bbuf_clear(&n->out);
	n->out_pos = 0;
	h1_reset(&n->h1);
	add_head(n);
	if (!flush(n))
		finish(t, CREP_CLOSED, CX_UNKNOWN, ERR_NONE, false);
}

static bool
open_conn(struct cx_pool *p, int target, struct cx *t)
{
	int fd = evl_connect(p->bal->targets[target].addr);
	struct cx_conn *n;

	if (fd < 0)
		return (false);
	n = calloc(1, sizeof(*n));
	n->pool = p;
	n->target = target;
	n->io.fn = on_conn;
	n->want_out = true;
	h1_init(&n->h1, true);
	p->targets[target].n_conns++;
	evl_add(p->loop, &n->io, fd, EPOLLIN | EPOLLOUT);
	send_on(n, t);
	return (true);
}

/* Gives a finished connection, or the room for one, to a waiting attempt. */
static void
serve_waiting(struct cx_pool *p, int target, struct cx_conn *n)
{
	struct cx_target *g = &p->targets[target];
	struct cx *t = TAILQ_FIRST(&g->waiting);

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
		finish(t, CREP_NO_ENTRY, CX_NONE, ERR_NONE, false);
}

static void
detach(struct cx *t, bool keep)
{
	struct cx_pool *p = t->pool;
	struct cx_conn *n = t->conn;

	evl_timer_clear(p->loop, &t->timer);
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
finish(struct cx *t, enum crep_end end, enum cx_outcome word,
    enum err_kind refusal, bool keep)
{
	struct cx_result r = {.end = end,
	    .word = word,
	    .reused = t->conn != NULL && t->conn->used,
	    .refusal = refusal};

	detach(t, keep);
	t->done(t, &r);
}

static bool
upload_is_right(const struct cx *t, const struct h1 *h)
{
	char text[24];
	uint64_t n;

	if (!bstr_to_u64(h1_header(h, "X-Body-Bytes"), &n) || n != t->sent_body)
		return (false);
	snprintf(text, sizeof(text), "%016llx",
	    (unsigned long long)XXH64_digest(&t->hash));
	return (bstr_eq(h1_header(h, "X-Body-Hash"), bstr_from(text)));
}

static bool
answer_is_right(const struct cx *t, const struct h1 *h)
{
	const struct cpl_kind *k = &t->pool->plan->kinds[t->kind];
	struct bstr id = h1_header(h, "X-Request-Id");

	if (t->wrong || t->pos != k->bytes)
		return (false);
	/* The stored answer of a repeated payment may come without headers. */
	if (t->kind == CPL_PAY && id.n == 0)
		return (true);
	return (bstr_eq(id, bstr_from(t->id)) &&
	    (k->body == 0 || upload_is_right(t, h)));
}

static enum cx_outcome
word_of(const struct h1 *h)
{
	struct bstr outcome = h1_header(h, "X-Outcome");

	if (bstr_eq(outcome, BSTR("not-run")) ||
	    bstr_eq(h1_header(h, "X-Not-Run"), BSTR("1")))
		return (CX_NOT_RUN);
	return (bstr_eq(outcome, BSTR("unknown")) ? CX_UNKNOWN : CX_RAN);
}

static void
complete(struct cx *t)
{
	const struct h1 *h = &t->conn->h1;
	struct bstr kind = h1_header(h, "X-Error-Kind");
	bool all_sent = t->sent_body == t->pool->plan->kinds[t->kind].body;
	enum cx_outcome word = word_of(h);
	enum crep_end end = CREP_STATUS;
	enum err_kind refusal = ERR_NONE;
	char name[KIND_MAX];

	if (h->status == 200)
		end = answer_is_right(t, h) ? CREP_OK : CREP_WRONG;
	if (kind.n != 0) {
		end = CREP_REFUSED;
		snprintf(name, sizeof(name), "%.*s", BSTR_ARG(kind));
		refusal = err_kind_from_name(name);
	}
	finish(t, end, word, refusal, !h->close && all_sent);
}

static void
broken(struct cx_conn *n)
{
	struct cx *t = n->try;

	if (t == NULL) {
		TAILQ_REMOVE(&n->pool->targets[n->target].idle, n, next);
		close_conn(n);
	} else if (!n->connected) {
		finish(t, CREP_NO_ENTRY, CX_NONE, ERR_NONE, false);
	} else if (t->got_head && h1_at_close(&n->h1)) {
		n->h1.close = true;
		complete(t);
	} else {
		finish(t, t->got_head ? CREP_PARTIAL : CREP_CLOSED, CX_UNKNOWN,
		    ERR_NONE, false);
	}
}

static void
take_bytes(struct cx_conn *n, struct bstr in)
{
	struct cx *t = n->try;

	for (;;) {
		switch (h1_read(&n->h1, &in)) {
		case H1_MORE:
			return;
		case H1_HEAD:
			t->got_head = true;
			break;
		case H1_BODY:
			t->wrong |= !pat_check(
			    t->seed, t->pos, n->h1.data.p, n->h1.data.n);
			t->pos += n->h1.data.n;
			break;
		case H1_END:
			/* Bytes behind the answer belong to no request. */
			t->wrong |= in.n != 0;
			complete(t);
			return;
		case H1_ERROR:
			finish(t, CREP_WRONG, CX_UNKNOWN, ERR_NONE, false);
			return;
		}
	}
}

static void
on_conn(struct evl_io *io, uint32_t events)
{
	struct cx_conn *n = (struct cx_conn *)io;
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
		evl_mod(n->pool->loop, io, EPOLLIN);
}

static void
on_timeout(struct evl_timer *timer)
{
	struct cx *t =
	    (struct cx *)((char *)timer - offsetof(struct cx, timer));

	finish(t, CREP_TIMEOUT, CX_UNKNOWN, ERR_NONE, false);
}

void
cx_init(struct cx_pool *p)
{
	p->targets = calloc((size_t)p->bal->n_targets + 1, sizeof(*p->targets));
	for (int i = 0; i < p->bal->n_targets; i++) {
		TAILQ_INIT(&p->targets[i].idle);
		TAILQ_INIT(&p->targets[i].waiting);
	}
}

void
cx_start(struct cx_pool *p, struct cx *t, int target, int64_t timeout_us)
{
	struct cx_target *g = &p->targets[target];
	struct cx_conn *n = TAILQ_FIRST(&g->idle);

	t->pool = p;
	t->target = target;
	t->got_head = t->wrong = false;
	t->pos = t->sent_body = 0;
	XXH64_reset(&t->hash, 0);
	t->timer.fn = on_timeout;
	evl_timer_set(p->loop, &t->timer, evl_now_us() + timeout_us);
	if (n != NULL) {
		TAILQ_REMOVE(&g->idle, n, next);
		send_on(n, t);
	} else if (g->n_conns >= p->max_conns) {
		t->waiting = true;
		TAILQ_INSERT_TAIL(&g->waiting, t, next);
	} else if (!open_conn(p, target, t)) {
		finish(t, CREP_NO_ENTRY, CX_NONE, ERR_NONE, false);
	}
}
