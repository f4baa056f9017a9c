#include "load/balancer.h"

#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#define CHECK_INTERVAL_US 500000
#define BUFFER_BYTES 4096

static void
end_check(struct balancer_target *t, bool up)
{
	evloop_close(t->b->loop, &t->io);
	t->up = up;
}

static void
on_check(struct evloop_io *io, uint32_t events)
{
	struct balancer_target *t = (struct balancer_target *)((char *)io -
	    offsetof(struct balancer_target, io));
	char text[BUFFER_BYTES];
	struct bstr in = {.p = text};
	ssize_t n;

	if (!t->sent && events & EPOLLOUT) {
		n = snprintf(text, sizeof(text),
		    "GET /health HTTP/1.1\r\nHost: %s\r\n"
		    "Connection: close\r\n\r\n",
		    t->ops);
		t->sent = send(io->fd, text, (size_t)n, MSG_NOSIGNAL) == n;
		evloop_mod(t->b->loop, io, EPOLLIN);
		return;
	}
	n = recv(io->fd, text, sizeof(text), 0);
	if (n <= 0) {
		end_check(t, false);
		return;
	}
	in.n = (size_t)n;
	switch (http1_read(&t->h1, &in)) {
	case HTTP1_MORE:
		break;
	case HTTP1_HEAD:
		end_check(t, t->h1.status == 200);
		break;
	default:
		end_check(t, false);
	}
}

static void
on_check_timer(struct evloop_timer *timer)
{
	struct balancer_target *t = (struct balancer_target *)((char *)timer -
	    offsetof(struct balancer_target, timer));
	int fd;

	if (t->io.fd >= 0)
		end_check(t, false); /* no response within one interval */
	http1_reset(&t->h1);
	t->sent = false;
	fd = evloop_connect(t->ops);
	if (fd < 0)
		t->up = false;
	else
		evloop_add(t->b->loop, &t->io, fd, EPOLLIN | EPOLLOUT);
	evloop_timer_set(
	    t->b->loop, timer, evloop_now_us() + CHECK_INTERVAL_US);
}

static void
add_target(struct balancer *b, const char *addr, const char *ops)
{
	struct balancer_target *t = &b->targets[b->n_targets++];

	*t = (struct balancer_target){
	    .addr = addr,
	    .ops = ops,
	    .up = ops == NULL,
	    .b = b,
	    .io = {.fn = on_check, .fd = -1},
	    .timer = {.fn = on_check_timer},
	};
	http1_init(&t->h1, true);
	if (ops != NULL)
		evloop_timer_set(b->loop, &t->timer, evloop_now_us());
}

void
balancer_init(struct balancer *b, struct event_loop *loop,
    const struct load_plan *plan, bool direct)
{
	size_t n = plan->n_entries;

	for (uint32_t i = 0; i < plan->n_services && direct; i++)
		n += plan->services[i].n_direct;
	*b = (struct balancer){.loop = loop, .direct = direct, .plan = plan};
	b->targets = calloc(n + 1, sizeof(*b->targets));
	b->first = calloc(plan->n_services + 1, sizeof(*b->first));
	b->next = calloc(plan->n_services + 1, sizeof(*b->next));
	for (uint32_t i = 0; i < plan->n_entries && !direct; i++)
		add_target(b, plan->entries[i].addr, plan->entries[i].ops);
	for (uint32_t i = 0; i < plan->n_services && direct; i++) {
		b->first[i] = b->n_targets;
		for (uint32_t k = 0; k < plan->services[i].n_direct; k++)
			add_target(b, plan->services[i].direct[k], NULL);
	}
}

void
balancer_finish(struct balancer *b)
{
	for (int i = 0; i < b->n_targets; i++) {
		evloop_timer_clear(b->loop, &b->targets[i].timer);
		evloop_close(b->loop, &b->targets[i].io);
		http1_finish(&b->targets[i].h1);
	}
	free(b->targets);
	free(b->first);
	free(b->next);
}

static bool
is_up(const struct balancer_target *t, int64_t now)
{
	return (t->up && now >= t->down_until_us);
}

int
balancer_pick(struct balancer *b, uint32_t service, int avoid)
{
	int first = b->direct ? b->first[service] : 0;
	int n =
	    b->direct ? (int)b->plan->services[service].n_direct : b->n_targets;
	int *next = &b->next[b->direct ? service : 0];
	int64_t now = evloop_now_us();

	for (int i = 0; i < n; i++) {
		int k = first + (*next)++ % n;

		if (k != avoid && is_up(&b->targets[k], now))
			return (k);
	}
	if (avoid != BALANCER_NONE && is_up(&b->targets[avoid], now))
		return (avoid);
	return (BALANCER_NONE);
}

void
balancer_failed(struct balancer *b, int target)
{
	if (b->targets[target].ops == NULL)
		b->targets[target].down_until_us =
		    evloop_now_us() + CHECK_INTERVAL_US;
}

int
balancer_count_up(const struct balancer *b)
{
	int64_t now = evloop_now_us();
	int n = 0;

	for (int i = 0; i < b->n_targets; i++)
		n += is_up(&b->targets[i], now);
	return (n);
}
