#include "load/event_loop.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_EVENTS 256
#define LISTEN_BACKLOG 4096
#define MAX_SLEEP_US 1000000

int64_t
evloop_now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return ((int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000);
}

static void
on_wake(struct evloop_io *io, uint32_t events)
{
	uint64_t v;

	(void)events;
	if (read(io->fd, &v, sizeof(v)) < 0)
		return;
}

bool
evloop_init(struct event_loop *l)
{
	*l = (struct event_loop){.wake = {.fn = on_wake}};
	pthread_mutex_init(&l->lock, NULL);
	l->ep = epoll_create1(EPOLL_CLOEXEC);
	return (l->ep >= 0 &&
	    evloop_add(
		l, &l->wake, eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), EPOLLIN));
}

static void
free_garbage(struct event_loop *l)
{
	for (size_t i = 0; i < l->n_garbage; i++)
		free(l->garbage[i]);
	l->n_garbage = 0;
}

void
evloop_finish(struct event_loop *l)
{
	free_garbage(l);
	free(l->garbage);
	free(l->heap);
	close(l->wake.fd);
	close(l->ep);
	pthread_mutex_destroy(&l->lock);
}

bool
evloop_add(struct event_loop *l, struct evloop_io *io, int fd, uint32_t events)
{
	struct epoll_event e = {.events = events, .data.ptr = io};

	io->fd = fd;
	return (fd >= 0 && epoll_ctl(l->ep, EPOLL_CTL_ADD, fd, &e) == 0);
}

void
evloop_mod(struct event_loop *l, struct evloop_io *io, uint32_t events)
{
	struct epoll_event e = {.events = events, .data.ptr = io};

	if (io->fd >= 0)
		epoll_ctl(l->ep, EPOLL_CTL_MOD, io->fd, &e);
}

void
evloop_close(struct event_loop *l, struct evloop_io *io)
{
	(void)l;
	if (io->fd >= 0)
		close(io->fd);
	io->fd = -1;
}

void
evloop_free_later(struct event_loop *l, void *p)
{
	if (l->n_garbage == l->cap_garbage) {
		l->cap_garbage = l->cap_garbage == 0 ? 64 : l->cap_garbage * 2;
		l->garbage =
		    realloc(l->garbage, l->cap_garbage * sizeof(*l->garbage));
		if (l->garbage == NULL)
			abort();
	}
	l->garbage[l->n_garbage++] = p;
}

static void
place(struct event_loop *l, struct evloop_timer *t, size_t i)
{
	l->heap[i] = t;
	t->pos = i + 1;
}

static void
sift_up(struct event_loop *l, size_t i)
{
	struct evloop_timer *t = l->heap[i];

	while (i > 0 && l->heap[(i - 1) / 2]->at_us > t->at_us) {
		place(l, l->heap[(i - 1) / 2], i);
		i = (i - 1) / 2;
	}
	place(l, t, i);
}

static void
sift_down(struct event_loop *l, size_t i)
{
	struct evloop_timer *t = l->heap[i];

	for (;;) {
		size_t c = 2 * i + 1;

		if (c + 1 < l->n_heap &&
		    l->heap[c + 1]->at_us < l->heap[c]->at_us)
			c++;
		if (c >= l->n_heap || l->heap[c]->at_us >= t->at_us)
			break;
		place(l, l->heap[c], i);
		i = c;
	}
	place(l, t, i);
}

void
evloop_timer_clear(struct event_loop *l, struct evloop_timer *t)
{
	struct evloop_timer *last;
	size_t i;

	if (t->pos == 0)
		return;
	i = t->pos - 1;
	t->pos = 0;
	last = l->heap[--l->n_heap];
	if (last == t)
		return;
	place(l, last, i);
	sift_up(l, i);
	sift_down(l, last->pos - 1);
}

void
evloop_timer_set(struct event_loop *l, struct evloop_timer *t, int64_t at_us)
{
	evloop_timer_clear(l, t);
	t->at_us = at_us;
	if (l->n_heap == l->cap_heap) {
		l->cap_heap = l->cap_heap == 0 ? 64 : l->cap_heap * 2;
		l->heap = realloc(
		    l->heap, l->cap_heap * sizeof(struct evloop_timer *));
		if (l->heap == NULL)
			abort();
	}
	place(l, t, l->n_heap++);
	sift_up(l, l->n_heap - 1);
}

static void
run_timers(struct event_loop *l)
{
	int64_t now = evloop_now_us();

	while (l->n_heap > 0 && l->heap[0]->at_us <= now) {
		struct evloop_timer *t = l->heap[0];

		evloop_timer_clear(l, t);
		t->fn(t);
	}
}

static int
wait_events(struct event_loop *l, struct epoll_event *ev)
{
	int64_t wait = MAX_SLEEP_US;
	struct timespec ts;
	int n;

	if (l->n_heap > 0 && l->heap[0]->at_us - evloop_now_us() < wait)
		wait = l->heap[0]->at_us - evloop_now_us();
	if (wait < 0)
		wait = 0;
	evloop_unlock(l);
	ts.tv_sec = wait / 1000000;
	ts.tv_nsec = (wait % 1000000) * 1000;
	/* Linux has epoll_pwait2() since 5.11. */
	n = epoll_pwait2(l->ep, ev, MAX_EVENTS, &ts, NULL);
	if (n < 0 && errno == ENOSYS)
		n = epoll_wait(l->ep, ev, MAX_EVENTS, (int)(wait / 1000));
	evloop_lock(l);
	return (n);
}

void
evloop_run(struct event_loop *l)
{
	struct epoll_event ev[MAX_EVENTS];

	evloop_lock(l);
	while (!l->stop) {
		int n = wait_events(l, ev);

		for (int i = 0; i < n; i++) {
			struct evloop_io *io = ev[i].data.ptr;

			/* An earlier handler may have closed the descriptor. */
			if (io->fd >= 0)
				io->fn(io, ev[i].events);
		}
		run_timers(l);
		free_garbage(l);
	}
	evloop_unlock(l);
}

void
evloop_stop(struct event_loop *l)
{
	l->stop = true;
	evloop_wake(l);
}

void
evloop_wake(struct event_loop *l)
{
	uint64_t one = 1;

	if (write(l->wake.fd, &one, sizeof(one)) < 0)
		return;
}

void
evloop_lock(struct event_loop *l)
{
	pthread_mutex_lock(&l->lock);
}

void
evloop_unlock(struct event_loop *l)
{
	pthread_mutex_unlock(&l->lock);
}

int
evloop_listen(uint16_t *port)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons(*port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(sin);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return (-1);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0) {
		close(fd);
		return (-1);
	}
	*port = ntohs(sin.sin_port);
	return (fd);
}

int
evloop_connect(const char *addr)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	const char *colon = strchr(addr, ':');
	char ip[INET_ADDRSTRLEN];
	int one = 1;
	int fd;

	if (colon == NULL)
		return (-1);
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - addr), addr);
	sin.sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
	if (inet_pton(AF_INET, ip, &sin.sin_addr) != 1)
		return (-1);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-1);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		return (-1);
	}
	return (fd);
}
