#include "soak/target.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak/http_stream.h"
#include "soak/record.h"
#include "sys/clocks.h"

#define IDLE_TIMEOUT_MS 60000
#define STACK_BYTES (256 * 1024)
#define SLOW_FACTOR 10
#define WORK_STEP_US 5000
#define BLOCK 8192
#define LETTERS 23

/** struct target_conn - an accepted connection */
struct target_conn {
	struct soak_target *t;
	int listen_fd;
	struct http_stream s;
};

/** struct answer_plan - answer that the path of a request asks for */
struct answer_plan {
	char id[REC_ID_MAX];
	unsigned work_ms;
	uint64_t size;
	char framing;
};

/** struct body_sum - length and sum of a body */
struct body_sum {
	uint64_t n;
	uint64_t sum;
};

char
target_body_byte(const char *id, uint64_t k)
{
	return ((char)('a' + (k + (unsigned char)id[15]) % LETTERS));
}

void
target_signature(char out[64], const char *id, uint64_t size)
{
	snprintf(out, 64, "%s.%llu", id, (unsigned long long)size);
}

void
target_set_fault(struct soak_target *t, enum target_fault fault)
{
	atomic_store(&t->fault, fault);
}

void
target_set_limit(struct soak_target *t, double per_s)
{
	rec_limit_begin(per_s, clk_mono_us());
	atomic_store(&t->limit_milli_per_s, (int)(per_s * 1000));
}

/* Field that names the limit, empty without one. */
static const char *
limit_field(const struct soak_target *t, char *out, size_t max)
{
	int milli = atomic_load(&t->limit_milli_per_s);

	out[0] = '\0';
	if (milli != 0)
		snprintf(out, max, "Server-Limit: %.3f\r\n", milli / 1000.0);
	return (out);
}

static void
add_to_sum(void *arg, const char *p, size_t n)
{
	struct body_sum *b = arg;

	for (size_t i = 0; i < n; i++)
		b->sum = b->sum * 31 + (unsigned char)p[i];
	b->n += n;
}

/* Compares the request with what its caller says that it sent. */
static void
check_contents(const struct http_head *h, const char *id, struct body_sum got)
{
	char sent[512], seen[512], sum[64], got_sum[64];

	stream_field(h, "X-Sent", sent, sizeof(sent));
	stream_field(h, "X-Body-Sum", sum, sizeof(sum));
	snprintf(seen, sizeof(seen), "%s %s", h->method, h->path);
	snprintf(got_sum, sizeof(got_sum), "%llu-%llu",
	    (unsigned long long)got.n, (unsigned long long)got.sum);
	if (strcmp(sent, seen) != 0 || strcmp(sum, got_sum) != 0)
		rec_on_changed(id);
}

/* Works until the time is over or the peer closes; false for the latter. */
static bool
work(const struct http_stream *s, int64_t us)
{
	int64_t end_us = clk_mono_us() + us;

	while (clk_mono_us() < end_us) {
		char ch;

		if (recv(s->fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
			return (false);
		usleep(WORK_STEP_US);
	}
	return (true);
}

static bool
send_body(struct http_stream *s, const struct answer_plan *p, uint64_t size)
{
	char block[BLOCK];
	uint64_t k = 0;

	while (k < size) {
		size_t n = size - k < BLOCK ? (size_t)(size - k) : BLOCK;

		for (size_t i = 0; i < n; i++)
			block[i] = target_body_byte(p->id, k + i);
		if (p->framing == 'c' && !stream_printf(s, "%zx\r\n", n))
			return (false);
		if (!stream_send(s, block, n))
			return (false);
		if (p->framing == 'c' && !stream_send(s, "\r\n", 2))
			return (false);
		k += n;
	}
	return (p->framing != 'c' || size != p->size ||
	    stream_send(s, "0\r\n\r\n", 5));
}

static bool
send_answer(struct target_conn *c, const struct answer_plan *p, unsigned status,
    uint64_t size)
{
	char signature[64], framing[64] = "Connection: close", limit[48];

	target_signature(signature, p->id, p->size);
	if (p->framing == 'l')
		snprintf(framing, sizeof(framing), "Content-Length: %llu",
		    (unsigned long long)p->size);
	else if (p->framing == 'c')
		strcpy(framing, "Transfer-Encoding: chunked");
	return (stream_printf(&c->s,
		    "HTTP/1.1 %u X\r\nX-Request-Id: %s\r\n"
		    "X-Server-Signature: %s\r\n"
		    "X-Server-Load: %d,0,%d,100\r\n%s%s\r\n\r\n",
		    status, p->id, signature, atomic_load(&c->t->running),
		    c->t->slots, limit_field(c->t, limit, sizeof(limit)),
		    framing) &&
	    send_body(&c->s, p, size));
}

static bool
shed(struct target_conn *c, const char *id)
{
	return (stream_printf(&c->s,
	    "HTTP/1.1 503 X\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\n"
	    "X-Server-Load: %d,0,%d,100\r\nContent-Length: 0\r\n\r\n",
	    id, atomic_load(&c->t->running), c->t->slots));
}

/* An answer that ends with its connection is cut by a reset, not by an end. */
static void
reset_on_close(const struct http_stream *s)
{
	const struct linger l = {.l_onoff = 1, .l_linger = 0};

	setsockopt(s->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Runs a request; false closes the connection. */
static bool
run(struct target_conn *c, const struct answer_plan *p, enum target_fault fault)
{
	int64_t us = p->work_ms * 1000LL;
	bool ok;

	if (!work(&c->s, fault == TARGET_SLOW ? us * SLOW_FACTOR : us))
		return (false);
	switch (fault) {
	case TARGET_FAIL:
		rec_on_broken(p->id);
		return (send_answer(c, p, 500, p->size) && p->framing != 'e');
	case TARGET_RESET:
		rec_on_broken(p->id);
		return (false);
	case TARGET_TRUNCATE:
		rec_on_broken(p->id);
		send_answer(c, p, 200, p->size / 2);
		reset_on_close(&c->s);
		return (false);
	case TARGET_DOUBLE:
		ok = send_answer(c, p, 200, p->size);
		return (
		    ok && p->framing == 'l' && send_answer(c, p, 200, p->size));
	default:
		return (send_answer(c, p, 200, p->size) && p->framing != 'e');
	}
}

static bool
is_expected(const struct soak_target *t, const struct http_head *h)
{
	char expected[64];

	return (
	    !stream_field(h, "X-Expect-Instance", expected, sizeof(expected)) ||
	    strcmp(expected, t->id) == 0);
}

static bool
serve(struct target_conn *c, const struct http_head *h)
{
	enum target_fault fault = atomic_load(&c->t->fault);
	struct answer_plan p = {0};
	struct body_sum sum = {0};
	bool keep, early;

	stream_field(h, "X-Request-Id", p.id, sizeof(p.id));
	if (!is_expected(c->t, h))
		return (stream_printf(&c->s,
			    "HTTP/1.1 421 X\r\nX-Request-Id: %s\r\n"
			    "Content-Length: 0\r\n\r\n",
			    p.id) &&
		    stream_read_body(&c->s, h, add_to_sum, &sum));
	if (sscanf(h->path, "/%*[a-z]/w%u/s%lu/%c", &p.work_ms, &p.size,
		&p.framing) != 3)
		return (false);
	/* Closing with a part of the body unread would reset the answer. */
	early = fault == TARGET_EARLY && p.framing != 'e';
	if (!early && !stream_read_body(&c->s, h, add_to_sum, &sum))
		return (false);
	if (fault == TARGET_SHED || atomic_load(&c->t->running) >= c->t->slots)
		return (shed(c, p.id) &&
		    (!early || stream_read_body(&c->s, h, add_to_sum, &sum)));
	rec_on_run(p.id, clk_mono_us());
	if (atomic_load(&c->t->limit_milli_per_s) != 0)
		rec_on_limited(p.id, clk_mono_us());
	if (!early)
		check_contents(h, p.id, sum);
	atomic_fetch_add(&c->t->running, 1);
	keep = run(c, &p, fault);
	atomic_fetch_sub(&c->t->running, 1);
	rec_on_run_end(p.id, clk_mono_us());
	if (atomic_load(&c->t->limit_milli_per_s) != 0)
		rec_on_told(p.id, clk_mono_us());
	if (early && keep)
		keep = stream_read_body(&c->s, h, add_to_sum, &sum);
	return (keep);
}

static bool
answer_health(struct target_conn *c)
{
	return (stream_printf(&c->s,
	    "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
	    "X-Server-Load: %d,0,%d,100\r\nContent-Length: 0\r\n\r\n",
	    c->t->id, atomic_load(&c->t->running), c->t->slots));
}

static void *
run_conn(void *arg)
{
	struct target_conn *c = arg;
	struct http_head *h = malloc(sizeof(*h));
	bool keep = true;

	while (keep && stream_read_head(&c->s, h))
		keep = strcmp(h->path, "/health") == 0 ? answer_health(c)
						       : serve(c, h);
	stream_close(&c->s);
	free(h);
	free(c);
	return (NULL);
}

static void
start_thread(void *(*fn)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	if (pthread_create(&thread, &attr, fn, arg) != 0)
		abort();
	pthread_attr_destroy(&attr);
}

static void *
run_listener(void *arg)
{
	struct target_conn *l = arg;

	for (;;) {
		int fd = accept4(l->listen_fd, NULL, NULL, SOCK_CLOEXEC);
		struct target_conn *c;

		if (fd < 0)
			continue;
		c = calloc(1, sizeof(*c));
		c->t = l->t;
		stream_init(&c->s, fd, IDLE_TIMEOUT_MS);
		start_thread(run_conn, c);
	}
	return (NULL);
}

void
target_register(
    const struct soak_target *t, struct object_store *store, const char *state)
{
	char spec[512];

	snprintf(spec, sizeof(spec),
	    "{\"service\":\"" TARGET_SERVICE "\",\"address\":\"127.0.0.1:%u\","
	    "\"zone\":\"%s\",\"version\":\"" TARGET_VERSION "\",\"slots\":%d,"
	    "\"state\":\"%s\",\"warmupLeft\":\"0ms\",\"sequence\":1,"
	    "\"born\":1700000000000}",
	    t->port, t->zone, t->slots, state);
	object_store_put(store, "servers", t->id, spec);
}

void
target_start(struct soak_target *t, struct object_store *store)
{
	struct target_conn *l = calloc(1, sizeof(*l));

	t->port = 0;
	l->t = t;
	l->listen_fd = stream_listen("127.0.0.1", &t->port);
	start_thread(run_listener, l);
	target_register(t, store, "ready");
}
