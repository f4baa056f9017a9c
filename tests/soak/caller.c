#include "soak/caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "soak/http_stream.h"
#include "soak/record.h"
#include "soak/target.h"
#include "sys/clocks.h"

#define DEADLINE_MS 4000
/* Route timeouts, less what it takes to notice them. */
#define LIMIT_US 2900000
#define SOCKET_TIMEOUT_MS 6000
#define SLOW_READ_BUFFER 4096
#define SLOW_READ_US 2000
#define PIECE_PAUSE_US 40000
/* A slow sender pauses once, within the limits for heads and bodies. */
#define SLOW_SEND_US 2500000
#define MAX_PAUSE_US 60000
#define IDLE_PAUSE_US 1500000
#define SMALL_BODY 3000
#define LARGE_BODY 1500000
#define LARGE_ANSWER 1200000
#define PERCENT 100

/** struct plan - one request as drawn */
struct plan {
	enum rec_kind kind;
	char method[8];
	char path[128];
	size_t body;
	bool chunked;
	bool in_pieces;
	bool slow_sender;
	bool slow_reader;
	bool gives_up;
	bool partial_head;
};

/** struct received - body of an answer as it arrives */
struct received {
	const char *id;
	uint64_t n;
	bool own;
	bool slow;
};

static bool
draw(struct soak_caller *c, uint32_t percent)
{
	return (rng_below(&c->rng, PERCENT) < percent);
}

static struct plan
draw_plan(struct soak_caller *c)
{
	static const char *const kinds[] = {"safe", "dl", "un"};
	static const char framings[] = "llce";
	struct plan p = {0};
	uint32_t k = rng_below(&c->rng, 10);
	uint64_t size = rng_below(&c->rng, SMALL_BODY);
	unsigned work_ms = 5 + rng_below(&c->rng, 250);

	p.kind = k < 4 ? REC_SAFE : k < 6 ? REC_DOWNLOAD : REC_UNSAFE;
	if (p.kind == REC_DOWNLOAD)
		size = 1000 + rng_below(&c->rng, LARGE_ANSWER);
	strcpy(p.method, p.kind == REC_UNSAFE ? "POST" : "GET");
	snprintf(p.path, sizeof(p.path), "/%s/w%u/s%llu/%c", kinds[p.kind],
	    work_ms, (unsigned long long)size,
	    framings[rng_below(&c->rng, sizeof(framings) - 1)]);
	if (p.kind == REC_UNSAFE)
		p.body =
		    rng_below(&c->rng, draw(c, 5) ? LARGE_BODY : SMALL_BODY);
	p.chunked = p.body != 0 && draw(c, 40);
	p.in_pieces = draw(c, 30);
	p.slow_sender = p.in_pieces && draw(c, 25);
	p.slow_reader = draw(c, 10);
	p.gives_up = draw(c, 3);
	p.partial_head = draw(c, 2);
	return (p);
}

static char
body_byte(size_t k)
{
	return ((char)('A' + k % 26));
}

static void
add_head(
    char *out, size_t max, const struct plan *p, const struct rec_request *r)
{
	unsigned long long sum = 0;
	char framing[64] = "";

	for (size_t k = 0; k < p->body; k++)
		sum = sum * 31 + (unsigned char)body_byte(k);
	if (p->chunked)
		strcpy(framing, "Transfer-Encoding: chunked\r\n");
	else if (p->kind == REC_UNSAFE)
		snprintf(framing, sizeof(framing), "Content-Length: %zu\r\n",
		    p->body);
	snprintf(out, max,
	    "%s %s HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: %s\r\n"
	    "X-Deadline-Ms: %d\r\nX-Sent: %s %s\r\nX-Body-Sum: %zu-%llu\r\n"
	    "%s\r\n",
	    p->method, p->path, rec_id(r), DEADLINE_MS, p->method, p->path,
	    p->body, sum, framing);
}

static void
pause_in_pieces(struct soak_caller *c, const struct plan *p)
{
	if (p->in_pieces && draw(c, 50))
		usleep(rng_below(&c->rng, PIECE_PAUSE_US));
}

static bool
send_body(struct soak_caller *c, struct http_stream *s, const struct plan *p)
{
	char block[4096];
	size_t k = 0;

	while (k < p->body) {
		size_t n = p->body - k;
		size_t max = p->in_pieces ? 700 : sizeof(block);

		n = n < max ? n : max;
		for (size_t i = 0; i < n; i++)
			block[i] = body_byte(k + i);
		if (p->body < LARGE_BODY / 10)
			pause_in_pieces(c, p);
		if (p->chunked && !stream_printf(s, "%zx\r\n", n))
			return (false);
		if (!stream_send(s, block, n))
			return (false);
		if (p->chunked && !stream_send(s, "\r\n", 2))
			return (false);
		k += n;
	}
	pause_in_pieces(c, p);
	return (!p->chunked || stream_send(s, "0\r\n\r\n", 5));
}

/* Sends the request; false when it was not sent whole. */
static bool
send_request(struct soak_caller *c, struct http_stream *s, const struct plan *p,
    const struct rec_request *r)
{
	char head[1024];
	size_t n, first;

	add_head(head, sizeof(head), p, r);
	n = strlen(head);
	first = p->in_pieces ? 1 + rng_below(&c->rng, (uint32_t)n - 1) : n;
	if (!stream_send(s, head, first) || p->partial_head)
		return (false);
	pause_in_pieces(c, p);
	if (p->slow_sender)
		usleep(rng_below(&c->rng, SLOW_SEND_US));
	return (stream_send(s, head + first, n - first) && send_body(c, s, p));
}

static void
take(void *arg, const char *p, size_t n)
{
	struct received *b = arg;

	for (size_t i = 0; i < n; i++)
		b->own = b->own && p[i] == target_body_byte(b->id, b->n + i);
	b->n += n;
	if (b->slow)
		usleep(SLOW_READ_US);
}

static void
read_answer(struct http_stream *s, const struct plan *p,
    const struct rec_request *r, struct rec_result *out, bool *keep)
{
	struct received b = {.id = rec_id(r), .own = true};
	char text[64], signature[64], close_text[32];
	struct http_head h;

	b.slow = p->slow_reader;
	if (!stream_read_head(s, &h))
		return;
	out->status = h.status;
	stream_field(
	    &h, "X-Error-Kind", out->error_kind, sizeof(out->error_kind));
	out->complete = stream_read_body(s, &h, take, &b);
	target_signature(signature, rec_id(r), b.n);
	stream_field(&h, "X-Server-Signature", text, sizeof(text));
	out->signed_ok = strcmp(text, signature) == 0;
	out->own_body = b.own;
	stream_field(&h, "Connection", close_text, sizeof(close_text));
	*keep = out->complete && strcasecmp(close_text, "close") != 0;
}

static struct vm_process *
pick_vm(struct soak_caller *c)
{
	for (unsigned i = 0; i < 4 * c->n_vms; i++) {
		struct vm_process *vm = &c->vms[rng_below(&c->rng, c->n_vms)];

		if (atomic_load(&vm->in_rotation))
			return (vm);
	}
	return (&c->vms[rng_below(&c->rng, c->n_vms)]);
}

/* Opens a connection unless the last one can be used again. */
static struct vm_process *
get_connection(struct soak_caller *c, struct http_stream *s,
    struct vm_process *last, const struct plan *p)
{
	struct vm_process *vm;
	int fd;

	if (last != NULL && s->fd >= 0 && stream_is_open(s) && draw(c, 80))
		return (last);
	stream_close(s);
	vm = pick_vm(c);
	fd = stream_connect(
	    vm->ip, vm->front, p->slow_reader ? SLOW_READ_BUFFER : 0);
	if (fd < 0)
		return (NULL);
	stream_init(s, fd, SOCKET_TIMEOUT_MS);
	return (vm);
}

static void
make_request(struct soak_caller *c, struct http_stream *s, const struct plan *p,
    struct vm_process *vm)
{
	struct rec_request *r =
	    rec_open(vm->index, p->kind, clk_mono_us(), LIMIT_US);
	struct rec_result result = {0};
	bool keep = false;

	if (send_request(c, s, p, r))
		result.sent_us = clk_mono_us();
	result.gave_up = p->gives_up || p->partial_head;
	if (p->gives_up)
		usleep(rng_below(&c->rng, MAX_PAUSE_US));
	else if (!p->partial_head)
		read_answer(s, p, r, &result, &keep);
	result.end_us = clk_mono_us();
	if (!keep)
		stream_close(s);
	rec_close(r, &result);
}

static void *
run(void *arg)
{
	struct soak_caller *c = arg;
	struct http_stream *s = calloc(1, sizeof(*s));
	struct vm_process *vm = NULL;

	s->fd = -1;
	while (!atomic_load(c->stop)) {
		struct plan p = draw_plan(c);

		vm = get_connection(c, s, vm, &p);
		if (vm != NULL)
			make_request(c, s, &p, vm);
		usleep(rng_below(
		    &c->rng, draw(c, 4) ? IDLE_PAUSE_US : MAX_PAUSE_US));
	}
	stream_close(s);
	free(s);
	return (NULL);
}

void
caller_start(struct soak_caller *c)
{
	if (pthread_create(&c->thread, NULL, run, c) != 0)
		abort();
}

void
caller_finish(struct soak_caller *c)
{
	pthread_join(c->thread, NULL);
}
