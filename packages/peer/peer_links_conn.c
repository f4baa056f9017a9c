#include "peer/peer_links_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* TCP_USER_TIMEOUT: longest time that sent data may stay unacknowledged. */
#define USER_TIMEOUT_MS 5000
/* Written bytes are removed from the send queue when they reach this size. */
#define COMPACT_BYTES 65536

bool
link_parse_addr(struct bstr addr, struct sockaddr_in *sin)
{
	char text[LINK_ADDR_MAX + 1] = {0};
	char *colon;
	uint64_t port;

	if (addr.n == 0 || addr.n > LINK_ADDR_MAX)
		return (false);
	memcpy(text, addr.p, addr.n);
	colon = strrchr(text, ':');
	if (colon == NULL || !bstr_to_u64(bstr_from(colon + 1), &port) ||
	    port > UINT16_MAX)
		return (false);
	*colon = '\0';
	*sin = (struct sockaddr_in){.sin_family = AF_INET};
	sin->sin_port = htons((uint16_t)port);
	return (inet_pton(AF_INET, text, &sin->sin_addr) == 1);
}

static void
set_epoll_events(struct peer_links *l, struct link_conn *c, int op)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = c};

	if (c->want_write)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(l->epoll, op, c->fd, &ev) != 0)
		g_warning("lnk: epoll_ctl: %s", g_strerror(errno));
}

struct link_conn *
link_preferred(const struct peer_links *l, const struct peer_link *k)
{
	bool own = vmid_cmp(&l->desc.self, &k->id) < 0;
	struct link_conn *first = own ? k->out : k->in;

	return (first != NULL ? first : own ? k->in : k->out);
}

/* The wait is random, from half to all of the backoff, which then doubles. */
void
link_schedule_retry(struct peer_links *l, struct link_peer *p)
{
	int32_t half = p->backoff_ms / 2;

	p->retry_ms = l->now_ms + half + rng_below(&l->rng, (uint32_t)half + 1);
	p->backoff_ms *= 2;
	if (p->backoff_ms > l->desc.backoff_max_ms)
		p->backoff_ms = l->desc.backoff_max_ms;
}

static void
detach_link(struct peer_links *l, struct link_conn *c)
{
	struct peer_link *k = g_hash_table_lookup(l->links, &c->id);
	struct vm_id id = c->id;

	if (k == NULL || (k->in != c && k->out != c))
		return;
	if (k->in == c)
		k->in = NULL;
	if (k->out == c)
		k->out = NULL;
	/* A duplicate outgoing connection is now the only one; keep it. */
	if (k->out != NULL)
		k->out->deadline_ms = 0;
	if (k->in != NULL || k->out != NULL)
		return;
	g_hash_table_remove(l->links, &id);
	l->desc.ops->on_down(l->desc.arg, &id);
}

/*
 * Closes the socket and detaches the connection. link_run() frees the memory at
 * its end, because calling functions and pending epoll events may still use it.
 */
void
link_close_conn(struct peer_links *l, struct link_conn *c)
{
	bool was_up = c->state == CONN_UP;

	if (c->state == CONN_CLOSED)
		return;
	c->state = CONN_CLOSED;
	close(c->fd);
	c->fd = -1;
	for (guint i = 0; i < l->peers->len; i++) {
		struct link_peer *p = g_ptr_array_index(l->peers, i);

		if (p->incoming == c)
			p->incoming = NULL;
		if (p->conn == c) {
			p->conn = NULL;
			link_schedule_retry(l, p);
		}
	}
	c->peer = NULL;
	if (!c->outgoing)
		l->n_incoming--;
	if (was_up)
		detach_link(l, c);
}

void
link_free_conn(void *arg)
{
	struct link_conn *c = arg;

	if (c->fd >= 0)
		close(c->fd);
	frame_dec_finish(&c->in);
	bbuf_finish(&c->out);
	free(c);
}

void
link_flush(struct peer_links *l, struct link_conn *c)
{
	while (c->out_off < c->out.n) {
		ssize_t n = send(c->fd, c->out.p + c->out_off,
		    c->out.n - c->out_off, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			break;
		c->out_off += (size_t)n;
		l->stats.bytes_out += (uint64_t)n;
	}
	if (c->out_off == c->out.n || c->out_off >= COMPACT_BYTES) {
		bbuf_drop_front(&c->out, c->out_off);
		c->out_off = 0;
	}
	if (c->out.n == 0 && c->out.cap > FRAME_KEEP_BYTES)
		bbuf_finish(&c->out);
	/* Write errors need no handling: the next read returns them too. */
	if (c->want_write != (c->out.n != 0)) {
		c->want_write = c->out.n != 0;
		set_epoll_events(l, c, EPOLL_CTL_MOD);
	}
}

bool
link_queue(struct peer_links *l, struct link_conn *c, enum peer_msg_type type,
    struct bstr body)
{
	size_t before = c->out.n;
	size_t waiting = before - c->out_off;
	bool full;

	if (!frame_encode(&c->out, type, &l->desc.self, body))
		return (false);
	full = waiting + (c->out.n - before) > l->desc.queue_bytes;
	if (full && waiting != 0) {
		c->out.n = before;
		l->stats.dropped++;
		if (l->desc.ops->on_drop != NULL)
			l->desc.ops->on_drop(l->desc.arg, type, &c->id);
		return (false);
	}
	l->stats.messages_out++;
	if (waiting == 0 && c->state != CONN_CONNECTING)
		link_flush(l, c);
	return (true);
}

struct link_conn *
link_new_conn(struct peer_links *l, int fd, struct link_peer *peer)
{
	struct link_conn *c = calloc(1, sizeof(*c));
	const int on = 1;
	const unsigned timeout = USER_TIMEOUT_MS;

	if (c == NULL)
		abort();
	c->fd = fd;
	c->peer = peer;
	c->outgoing = peer != NULL;
	c->state = c->outgoing ? CONN_CONNECTING : CONN_HELLO;
	c->want_write = c->outgoing;
	c->deadline_ms = l->now_ms + l->desc.connect_ms;
	frame_dec_init(&c->in);
	bbuf_init(&c->out);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	g_ptr_array_add(l->conns, c);
	set_epoll_events(l, c, EPOLL_CTL_ADD);
	return (c);
}
