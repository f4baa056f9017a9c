/*
 * relay - TCP relay for faults between processes.
 *
 * Usage: relay [--admin-port P] LISTEN=IP:PORT...
 *
 * LISTEN is a port on loopback, 0 for a free one. Prints "admin PORT" and
 * "port INDEX PORT" for each pair. POST /admin {"relay": i | [..] | "all",
 * "mode": "cut" | "blackhole" | "heal", "to_ms": n, "back_ms": n}: cut closes
 * the connections and refuses new ones, blackhole accepts and forwards nothing,
 * heal undoes both; what a black hole held back is forwarded then. to_ms and
 * back_ms delay what goes to the target and back. GET /stats shows bytes and
 * connections.
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
#define MAX_HELD (1024 * 1024)
#define MAX_RELAYS 256

/** enum mode - what a relay does with connections */
enum mode { M_HEAL, M_CUT, M_BLACKHOLE };

/** struct part - bytes that wait for their time or for room in the socket */
struct part {
	struct part *next;
	int64_t due_us;
	size_t n, pos;
	char data[];
};

struct pair;

/** struct side - one socket of a pair and the bytes to be written to it */
struct side {
	struct evloop_io io;
	struct evloop_timer timer;
	struct pair *pair;
	struct part *first, *last;
	size_t held;
	bool eof; /* the other side ended; close after the last part */
};

/** struct pair - one relayed connection */
struct pair {
	TAILQ_ENTRY(pair) next;
	struct relay *r;
	struct side caller, target;
};

TAILQ_HEAD(pair_list, pair);

/** struct relay - one listener */
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
	struct part *p = s->first;

	s->first = p->next;
	s->held -= p->n;
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
other(struct side *s)
{
	return (s == &s->pair->caller ? &s->pair->target : &s->pair->caller);
}

/* Watches for input while there is room, for output while a part is due. */
static void
watch(struct side *s, bool blocked)
{
	bool hold = s->pair->r->mode == M_BLACKHOLE ||
	    other(s)->held > MAX_HELD || other(s)->eof;

	evloop_mod(&loop, &s->io,
	    (hold ? 0u : (uint32_t)EPOLLIN) | (blocked ? EPOLLOUT : 0u));
}

/* Writes the parts that are due; Return: false when the pair was closed. */
static bool
write_due(struct side *s)
{
	bool blocked = false;
	struct part *p;

	while (!blocked && s->pair->r->mode == M_HEAL &&
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
	if (p == NULL && s->eof && s->pair->r->mode == M_HEAL) {
		close_pair(s->pair);
		return (false);
	}
	if (p != NULL && !blocked && s->pair->r->mode == M_HEAL)
		evloop_timer_set(&loop, &s->timer, p->due_us);
	watch(s, blocked);
	watch(other(s), false);
	return (true);
}

static void
hold(struct side *to, const char *data, size_t n)
{
	struct relay *r = to->pair->r;
	bool forth = to == &to->pair->target;
	struct part *p = malloc(sizeof(*p) + n);

	if (p == NULL)
		abort();
	p->due_us = evloop_now_us() + (forth ? r->to_us : r->back_us);
	p->n = n;
	p->pos = 0;
	memcpy(p->data, data, n);
	p->next = NULL;
	if (to->first == NULL)
		to->first = p;
	else
		to->last->next = p;
	to->last = p;
	to->held += n;
	if (forth)
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
		hold(other(s), block, (size_t)n);
	} else {
		/* A closed socket reports its end until it is let go. */
		evloop_close(&loop, io);
		other(s)->eof = true;
	}
	write_due(other(s));
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

	r->mode = M_HEAL;
	if (strcmp(mode, "cut") == 0)
		r->mode = M_CUT;
	if (strcmp(mode, "blackhole") == 0)
		r->mode = M_BLACKHOLE;
	/* Without a listener the kernel refuses connections to the port. */
	if (r->mode == M_CUT)
		evloop_close(&loop, &r->io);
	else if (r->io.fd < 0 && !start_listening(r))
		fprintf(stderr, "relay: port %u is taken\n", r->port);
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
is_meant(const json_t *which, int i)
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
		if (is_meant(json_object_get(v, "relay"), i))
			apply(&relays[i], v);
	}
	evloop_unlock(&loop);
	evloop_wake(&loop);
	json_decref(v);
	return (status);
}

static bool
add_relay(const char *pair)
{
	const char *eq = strchr(pair, '=');
	struct relay *r = &relays[n_relays];

	if (eq == NULL || n_relays == MAX_RELAYS)
		return (false);
	r->port = (uint16_t)strtoul(pair, NULL, 10);
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
			fprintf(stderr, "relay: cannot use %s\n", argv[i]);
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
