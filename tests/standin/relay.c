/*
 * relay - TCP relay that injects network faults between processes.
 *
 * Usage: relay [--admin-port P] LISTEN=IP:PORT...
 *
 * LISTEN is a port on loopback, 0 for a free one. Prints "admin PORT" and one
 * line "port INDEX PORT" for each relay.
 *
 * POST /admin changes relays; keys that are missing stay as they are:
 *
 *	"relay": i | [..] | "all"   relays to change, "all" when missing
 *	"mode": "cut"               close connections and refuse new ones
 *	        "blackhole"         accept connections and forward nothing
 *	        "heal"              forward again, including the bytes that a
 *	                            black hole held back
 *	"to_ms": n                  delay of bytes to the target
 *	"back_ms": n                delay of bytes from the target
 *
 * GET /stats returns the counters of bytes and connections of all relays.
 */
#include <errno.h>
#include <getopt.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/admin_port.h"
#include "load/event_loop.h"

#define BLOCK (32 * 1024)
#define MAX_QUEUED (1024 * 1024)
#define MAX_RELAYS 256

/** enum mode - how a relay treats connections */
enum mode { M_FORWARD, M_CUT, M_BLACKHOLE };

/**
 * struct segment - bytes that wait for their delay or for room in the socket
 * @due_us: monotonic time from which the bytes may be written
 * @n: length of @data
 * @pos: bytes of @data that were written
 */
struct segment {
	struct segment *next;
	int64_t due_us;
	size_t n, pos;
	char data[];
};

struct pair;

/**
 * struct side - one socket of a pair and the bytes to be written to it
 * @timer: set to the time when @first is due
 * @queued: bytes in all segments
 * @eof: the other side reached EOF; the pair is closed after @last is written
 */
struct side {
	struct evloop_io io;
	struct evloop_timer timer;
	struct pair *pair;
	struct segment *first, *last;
	size_t queued;
	bool eof;
};

/** struct pair - one relayed connection */
struct pair {
	TAILQ_ENTRY(pair) next;
	struct relay *r;
	struct side caller, target;
};

TAILQ_HEAD(pair_list, pair);

/**
 * struct relay - one listening socket and its target
 * @target: address as "IP:PORT"
 * @to_us: delay of bytes to the target
 * @back_us: delay of bytes from the target
 */
struct relay {
	struct evloop_io io;
	uint16_t port;
	char *target;
	enum mode mode;
	int64_t to_us, back_us;
	struct pair_list pairs;
	int64_t accepted, refused, bytes_to, bytes_back;
};

static struct event_loop loop;
static struct relay relays[MAX_RELAYS];
static int n_relays;

static void on_side(struct evloop_io *io, uint32_t events);
static void on_due(struct evloop_timer *t);

static void
drop_first(struct side *s)
{
	struct segment *p = s->first;

	s->first = p->next;
	s->queued -= p->n;
	free(p);
}

static void
close_side(struct side *s)
{
	evloop_close(&loop, &s->io);
	evloop_timer_clear(&loop, &s->timer);
	while (s->first != NULL)
		drop_first(s);
}

static void
close_pair(struct pair *p)
{
	close_side(&p->caller);
	close_side(&p->target);
	TAILQ_REMOVE(&p->r->pairs, p, next);
	evloop_free_later(&loop, p);
}

static struct side *
other_side(struct side *s)
{
	return (s == &s->pair->caller ? &s->pair->target : &s->pair->caller);
}

/*
 * Watches for input while the other side has room in its queue, and for output
 * while the socket is full.
 */
static void
update_events(struct side *s, bool blocked)
{
	bool paused = s->pair->r->mode == M_BLACKHOLE ||
	    other_side(s)->queued > MAX_QUEUED || other_side(s)->eof;

	evloop_mod(&loop, &s->io,
	    (paused ? 0u : (uint32_t)EPOLLIN) | (blocked ? EPOLLOUT : 0u));
}

/* Writes the segments that are due; false when the pair was closed. */
static bool
write_due(struct side *s)
{
	bool blocked = false;
	struct segment *p;

	while (!blocked && s->pair->r->mode == M_FORWARD &&
	    (p = s->first) != NULL && p->due_us <= evloop_now_us()) {
		ssize_t n = send(
		    s->io.fd, p->data + p->pos, p->n - p->pos, MSG_NOSIGNAL);

		if (n < 0 && errno != EAGAIN) {
			close_pair(s->pair);
			return (false);
		}
		blocked = n < 0;
		p->pos += n < 0 ? 0 : (size_t)n;
		if (p->pos == p->n)
			drop_first(s);
	}
	p = s->first;
	if (p == NULL && s->eof && s->pair->r->mode == M_FORWARD) {
		close_pair(s->pair);
		return (false);
	}
	if (p != NULL && !blocked && s->pair->r->mode == M_FORWARD)
		evloop_timer_set(&loop, &s->timer, p->due_us);
	update_events(s, blocked);
	update_events(other_side(s), false);
	return (true);
}

static void
enqueue(struct side *to, const char *data, size_t n)
{
	struct relay *r = to->pair->r;
	bool to_target = to == &to->pair->target;
	struct segment *p = malloc(sizeof(*p) + n);

	if (p == NULL)
		abort();
	p->due_us = evloop_now_us() + (to_target ? r->to_us : r->back_us);
	p->n = n;
	p->pos = 0;
	memcpy(p->data, data, n);
	p->next = NULL;
	if (to->first == NULL)
		to->first = p;
	else
		to->last->next = p;
	to->last = p;
	to->queued += n;
	if (to_target)
		r->bytes_to += (int64_t)n;
	else
		r->bytes_back += (int64_t)n;
}

static void
on_side(struct evloop_io *io, uint32_t events)
{
	struct side *s = (struct side *)io;
	char block[BLOCK];
	ssize_t n;

	if (events & EPOLLOUT && !write_due(s))
		return;
	if (!(events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
		return;
	n = recv(io->fd, block, sizeof(block), 0);
	if (n < 0 && errno == EAGAIN && !(events & (EPOLLERR | EPOLLHUP)))
		return;
	if (n > 0) {
		enqueue(other_side(s), block, (size_t)n);
	} else {
		/* An open socket would make epoll report EOF repeatedly. */
		evloop_close(&loop, io);
		other_side(s)->eof = true;
	}
	write_due(other_side(s));
}

static void
on_due(struct evloop_timer *t)
{
	write_due((struct side *)((char *)t - offsetof(struct side, timer)));
}

static void
init_side(struct side *s, struct pair *p, int fd)
{
	s->io.fn = on_side;
	s->timer.fn = on_due;
	s->pair = p;
	evloop_add(&loop, &s->io, fd,
	    p->r->mode == M_BLACKHOLE ? 0u : (uint32_t)EPOLLIN);
}

static void
on_accept(struct evloop_io *io, uint32_t events)
{
	struct relay *r = (struct relay *)io;
	struct pair *p;
	int one = 1;
	int fd, to;

	(void)events;
	while ((fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		to = evloop_connect(r->target);
		if (to < 0) {
			r->refused++;
			close(fd);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		r->accepted++;
		p = calloc(1, sizeof(*p));
		p->r = r;
		TAILQ_INSERT_TAIL(&r->pairs, p, next);
		init_side(&p->caller, p, fd);
		init_side(&p->target, p, to);
	}
}

static bool
start_listening(struct relay *r)
{
	int fd = evloop_listen(&r->port);

	return (fd >= 0 && evloop_add(&loop, &r->io, fd, EPOLLIN));
}

static void
set_mode(struct relay *r, const char *mode)
{
	struct pair *p, *next;

	r->mode = M_FORWARD;
	if (strcmp(mode, "cut") == 0)
		r->mode = M_CUT;
	if (strcmp(mode, "blackhole") == 0)
		r->mode = M_BLACKHOLE;
	/* Without a listener the kernel refuses connections to the port. */
	if (r->mode == M_CUT)
		evloop_close(&loop, &r->io);
	else if (r->io.fd < 0 && !start_listening(r))
		fprintf(stderr, "relay: cannot listen on port %u\n", r->port);
	for (p = TAILQ_FIRST(&r->pairs); p != NULL; p = next) {
		next = TAILQ_NEXT(p, next);
		if (r->mode == M_CUT)
			close_pair(p);
		else if (write_due(&p->caller))
			write_due(&p->target);
	}
}

static void
apply(struct relay *r, const json_t *v)
{
	const char *mode = json_string_value(json_object_get(v, "mode"));
	const json_t *e;

	if ((e = json_object_get(v, "to_ms")) != NULL)
		r->to_us = json_integer_value(e) * 1000;
	if ((e = json_object_get(v, "back_ms")) != NULL)
		r->back_us = json_integer_value(e) * 1000;
	if (mode != NULL)
		set_mode(r, mode);
}

static bool
is_selected(const json_t *which, int i)
{
	const json_t *e;
	size_t k;

	if (json_is_integer(which))
		return (json_integer_value(which) == i);
	if (!json_is_array(which))
		return (true);
	json_array_foreach(which, k, e)
	{
		if (json_integer_value(e) == i)
			return (true);
	}
	return (false);
}

static json_t *
stats(void)
{
	json_t *list = json_array();

	for (int i = 0; i < n_relays; i++) {
		const struct relay *r = &relays[i];

		json_array_append_new(list,
		    json_pack("{s:i,s:I,s:I,s:I,s:I}", "port", r->port,
			"accepted", r->accepted, "refused", r->refused,
			"bytes_to", r->bytes_to, "bytes_back", r->bytes_back));
	}
	return (json_pack("{s:o}", "relays", list));
}

static unsigned
on_admin(void *arg, const char *method, const char *url, struct bstr body,
    json_t **out)
{
	json_t *v = json_loadb(body.p, body.n, 0, NULL);
	unsigned status = 200;

	(void)arg;
	(void)method;
	evloop_lock(&loop);
	if (strcmp(url, "/stats") == 0)
		*out = stats();
	else if (strcmp(url, "/admin") != 0 || v == NULL)
		status = 400;
	for (int i = 0; i < n_relays && v != NULL; i++) {
		if (is_selected(json_object_get(v, "relay"), i))
			apply(&relays[i], v);
	}
	evloop_unlock(&loop);
	evloop_wake(&loop);
	json_decref(v);
	return (status);
}

static bool
add_relay(const char *spec)
{
	const char *eq = strchr(spec, '=');
	struct relay *r = &relays[n_relays];

	if (eq == NULL || n_relays == MAX_RELAYS)
		return (false);
	r->port = (uint16_t)strtoul(spec, NULL, 10);
	r->target = strdup(eq + 1);
	r->io.fn = on_accept;
	TAILQ_INIT(&r->pairs);
	n_relays++;
	return (start_listening(r));
}

static void *
run_loop(void *arg)
{
	evloop_run(arg);
	return (NULL);
}

int
main(int argc, char **argv)
{
	static const struct option options[] = {
	    {"admin-port", required_argument, NULL, 'a'}, {0}};
	uint16_t admin = 0;
	pthread_t thread;
	sigset_t set;
	int opt, sig;

	while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (opt != 'a')
			return (2);
		admin = (uint16_t)strtoul(optarg, NULL, 10);
	}
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	if (!evloop_init(&loop))
		return (1);
	for (int i = optind; i < argc; i++) {
		if (!add_relay(argv[i])) {
			fprintf(
			    stderr, "relay: cannot add relay %s\n", argv[i]);
			return (1);
		}
	}
	if (admin_start(&admin, on_admin, NULL) != 0)
		return (1);
	printf("admin %u\n", admin);
	for (int i = 0; i < n_relays; i++)
		printf("port %d %u\n", i, relays[i].port);
	fflush(stdout);
	pthread_create(&thread, NULL, run_loop, &loop);
	sigwait(&set, &sig);
	_exit(0);
}
