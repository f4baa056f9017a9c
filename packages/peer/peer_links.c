#include "peer/peer_links_internal.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECT_MS 2000
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000
#define QUEUE_BYTES FRAME_MAX_BYTES
#define READ_BYTES 65536
#define MAX_EVENTS 64
#define MAX_INCOMING 2048
#define BACKLOG 128

static guint
id_hash(gconstpointer p)
{
	return ((guint)vmid_score(p, 0));
}

static gboolean
id_equal(gconstpointer a, gconstpointer b)
{
	return (vmid_eq(a, b));
}

/* Frees the closed connections. */
static void
free_closed_conns(struct peer_links *l)
{
	for (guint i = l->conns->len; i-- > 0;) {
		struct link_conn *c = g_ptr_array_index(l->conns, i);

		if (c->state == CONN_CLOSED)
			g_ptr_array_remove_index_fast(l->conns, i);
	}
}

static void
send_hello(struct peer_links *l, struct link_conn *c)
{
	link_queue(l, c, PEER_MSG_HELLO, bstr_from(l->addr));
}

static void
start_connect(struct peer_links *l, struct link_peer *p)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	l->stats.connects++;
	if (fd < 0) {
		link_schedule_retry(l, p);
		return;
	}
	if (connect(fd, (struct sockaddr *)&p->sin, sizeof(p->sin)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		link_schedule_retry(l, p);
		return;
	}
	p->conn = link_new_conn(l, fd, p);
}

static bool
allowed(const struct peer_links *l, in_addr_t from)
{
	if (l->desc.n_allow == 0)
		return (from == htonl(INADDR_LOOPBACK));
	for (uint32_t i = 0; i < l->desc.n_allow; i++) {
		if (l->allow[i] == from)
			return (true);
	}
	return (false);
}

static void
accept_all(struct peer_links *l)
{
	struct sockaddr_in sin = {0};

	for (;;) {
		socklen_t n = sizeof(sin);
		int fd = accept4(l->listener, (struct sockaddr *)&sin, &n,
		    SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0)
			return;
		if (!allowed(l, sin.sin_addr.s_addr) ||
		    l->n_incoming >= MAX_INCOMING) {
			l->stats.refused++;
			close(fd);
			continue;
		}
		l->n_incoming++;
		send_hello(l, link_new_conn(l, fd, NULL));
	}
}

static void
finish_connect(struct peer_links *l, struct link_conn *c)
{
	int err = 0;
	socklen_t n = sizeof(err);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &n) != 0 ||
	    err != 0) {
		link_close_conn(l, c);
		return;
	}
	c->state = CONN_HELLO;
	send_hello(l, c);
	link_flush(l, c);
}

static struct link_peer *
find_peer(const struct peer_links *l, struct bstr addr)
{
	for (guint i = 0; i < l->peers->len; i++) {
		struct link_peer *p = g_ptr_array_index(l->peers, i);

		if (bstr_eq(bstr_from(p->addr), addr))
			return (p);
	}
	return (NULL);
}

/*
 * Schedules the close of the outgoing connection when the peer's incoming one
 * exists too and is preferred.
 */
static void
expire_duplicate(struct peer_links *l, struct peer_link *k)
{
	if (k->in == NULL || k->out == NULL || link_preferred(l, k) != k->in)
		return;
	k->out->deadline_ms = l->now_ms + LINK_DUPLICATE_LINGER_MS;
}

static void
on_hello(struct peer_links *l, struct link_conn *c, const struct frame_msg *m)
{
	struct peer_link *k;
	struct link_conn *old;
	bool is_new;

	/* The peer is this process; retry only at the longest interval. */
	if (vmid_eq(&m->from, &l->desc.self)) {
		if (c->peer != NULL)
			c->peer->backoff_ms = l->desc.backoff_max_ms;
		l->stats.bad++;
		link_close_conn(l, c);
		return;
	}
	c->state = CONN_UP;
	c->id = m->from;
	c->deadline_ms = 0;
	if (c->peer != NULL) {
		c->peer->backoff_ms = l->desc.backoff_min_ms;
	} else {
		struct link_peer *p = find_peer(l, m->body);

		if (m->body.n <= LINK_ADDR_MAX)
			memcpy(c->addr, m->body.p, m->body.n);
		if (p != NULL)
			p->incoming = c;
	}
	k = g_hash_table_lookup(l->links, &m->from);
	is_new = k == NULL;
	if (is_new) {
		k = g_new0(struct peer_link, 1);
		k->id = m->from;
		g_hash_table_insert(l->links, &k->id, k);
	}
	old = c->outgoing ? k->out : k->in;
	if (c->outgoing)
		k->out = c;
	else
		k->in = c;
	/* The peer has reconnected, so its older connection is dead. */
	if (old != NULL && old != c)
		link_close_conn(l, old);
	expire_duplicate(l, k);
	if (is_new)
		l->desc.ops->on_up(l->desc.arg, &c->id);
}

static void
on_frame(struct peer_links *l, struct link_conn *c, const struct frame_msg *m)
{
	bool hello = m->type == PEER_MSG_HELLO;

	if (c->state == CONN_HELLO && hello) {
		on_hello(l, c, m);
		return;
	}
	if (c->state != CONN_UP || hello || !vmid_eq(&m->from, &c->id)) {
		l->stats.bad++;
		link_close_conn(l, c);
		return;
	}
	l->stats.messages_in++;
	l->desc.ops->on_message(l->desc.arg, m->type, &m->from, m->body);
}

static void
decode_frames(struct peer_links *l, struct link_conn *c)
{
	struct frame_msg m;
	enum frame_err err;

	while (c->state != CONN_CLOSED) {
		err = frame_dec_next(&c->in, &m);
		if (err == FRAME_MORE)
			return;
		if (err != FRAME_OK) {
			l->stats.bad++;
			g_message(
			    "lnk: closing connection: %s", frame_err_name(err));
			link_close_conn(l, c);
			return;
		}
		on_frame(l, c, &m);
	}
}

/* Reads once per event, so that a busy peer does not block the others. */
static void
read_some(struct peer_links *l, struct link_conn *c)
{
	static _Thread_local char bytes[READ_BYTES];
	size_t room = frame_dec_room(&c->in);
	ssize_t n;

	n = recv(c->fd, bytes, room < READ_BYTES ? room : READ_BYTES, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		link_close_conn(l, c);
		return;
	}
	l->stats.bytes_in += (uint64_t)n;
	frame_dec_add(&c->in, (struct bstr){bytes, (size_t)n});
	decode_frames(l, c);
}

static void
on_event(struct peer_links *l, struct link_conn *c, uint32_t events)
{
	if (c->state == CONN_CONNECTING) {
		finish_connect(l, c);
		return;
	}
	if (c->state != CONN_CLOSED && (events & EPOLLOUT) != 0)
		link_flush(l, c);
	if (c->state != CONN_CLOSED &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_some(l, c);
}

static void
run_timers(struct peer_links *l)
{
	for (guint i = 0; i < l->conns->len; i++) {
		struct link_conn *c = g_ptr_array_index(l->conns, i);

		if (c->deadline_ms != 0 && l->now_ms >= c->deadline_ms)
			link_close_conn(l, c);
	}
	for (guint i = 0; i < l->peers->len; i++) {
		struct link_peer *p = g_ptr_array_index(l->peers, i);

		if (p->conn == NULL && p->incoming == NULL &&
		    l->now_ms >= p->retry_ms)
			start_connect(l, p);
	}
}

void
link_run(struct peer_links *l, int64_t now_ms)
{
	struct epoll_event ev[MAX_EVENTS];
	int n;

	l->now_ms = now_ms;
	n = epoll_wait(l->epoll, ev, MAX_EVENTS, 0);
	for (int i = 0; i < n; i++) {
		/* The listener is registered without a connection. */
		if (ev[i].data.ptr == NULL)
			accept_all(l);
		else
			on_event(l, ev[i].data.ptr, ev[i].events);
	}
	run_timers(l);
	free_closed_conns(l);
}

static void
apply_defaults(struct link_desc *d)
{
	if (d->queue_bytes == 0)
		d->queue_bytes = QUEUE_BYTES;
	if (d->connect_ms == 0)
		d->connect_ms = CONNECT_MS;
	if (d->backoff_min_ms == 0)
		d->backoff_min_ms = BACKOFF_MIN_MS;
	if (d->backoff_max_ms == 0)
		d->backoff_max_ms = BACKOFF_MAX_MS;
}

static bool
parse_allow_list(struct peer_links *l)
{
	l->allow = g_new0(in_addr_t, l->desc.n_allow);
	for (uint32_t i = 0; i < l->desc.n_allow; i++) {
		if (inet_pton(AF_INET, l->desc.allow[i], &l->allow[i]) != 1)
			return (false);
	}
	return (true);
}

static bool
start_listener(struct peer_links *l)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = NULL};
	struct sockaddr_in sin;
	socklen_t n = sizeof(sin);
	const int on = 1;
	char ip[INET_ADDRSTRLEN];

	if (!link_parse_addr(bstr_from(l->desc.listen), &sin))
		return (false);
	l->listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (l->listener < 0)
		return (false);
	setsockopt(l->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->listener, (struct sockaddr *)&sin, n) != 0 ||
	    listen(l->listener, BACKLOG) != 0 ||
	    getsockname(l->listener, (struct sockaddr *)&sin, &n) != 0)
		return (false);
	inet_ntop(AF_INET, &sin.sin_addr, ip, sizeof(ip));
	snprintf(l->addr, sizeof(l->addr), "%s:%u", ip, ntohs(sin.sin_port));
	if (l->desc.advertise != NULL)
		g_strlcpy(l->addr, l->desc.advertise, sizeof(l->addr));
	return (epoll_ctl(l->epoll, EPOLL_CTL_ADD, l->listener, &ev) == 0);
}

int
link_init(struct peer_links *l, const struct link_desc *desc)
{
	*l = (struct peer_links){.desc = *desc, .listener = -1};
	apply_defaults(&l->desc);
	rng_init(&l->rng, l->desc.seed);
	l->peers = g_ptr_array_new_with_free_func(free);
	l->conns = g_ptr_array_new_with_free_func(link_free_conn);
	l->links = g_hash_table_new_full(id_hash, id_equal, NULL, g_free);
	l->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (l->epoll >= 0 && parse_allow_list(l) && start_listener(l))
		return (0);
	g_warning("lnk: cannot listen on %s", desc->listen);
	link_finish(l);
	return (-1);
}

void
link_finish(struct peer_links *l)
{
	g_ptr_array_free(l->conns, TRUE);
	g_ptr_array_free(l->peers, TRUE);
	g_hash_table_destroy(l->links);
	g_free(l->allow);
	if (l->listener >= 0)
		close(l->listener);
	if (l->epoll >= 0)
		close(l->epoll);
}

int
link_fd(const struct peer_links *l)
{
	return (l->epoll);
}

struct bstr
link_addr(const struct peer_links *l)
{
	return (bstr_from(l->addr));
}

bool
link_add_peer(struct peer_links *l, struct bstr addr)
{
	struct sockaddr_in sin;
	struct link_peer *p;

	if (!link_parse_addr(addr, &sin) || bstr_eq(addr, bstr_from(l->addr)))
		return (false);
	if (find_peer(l, addr) != NULL)
		return (true);
	p = calloc(1, sizeof(*p));
	if (p == NULL)
		abort();
	memcpy(p->addr, addr.p, addr.n);
	p->sin = sin;
	p->backoff_ms = l->desc.backoff_min_ms;
	for (guint i = 0; i < l->conns->len; i++) {
		struct link_conn *c = g_ptr_array_index(l->conns, i);

		if (c->state == CONN_UP && bstr_eq(bstr_from(c->addr), addr))
			p->incoming = c;
	}
	g_ptr_array_add(l->peers, p);
	return (true);
}

void
link_remove_peer(struct peer_links *l, struct bstr addr)
{
	struct link_peer *p = find_peer(l, addr);

	if (p == NULL)
		return;
	if (p->conn != NULL)
		link_close_conn(l, p->conn);
	g_ptr_array_remove_fast(l->peers, p);
}

bool
link_send(struct peer_links *l, const struct vm_id *to, enum peer_msg_type type,
    struct bstr body)
{
	struct peer_link *k = g_hash_table_lookup(l->links, to);

	return (k != NULL && link_queue(l, link_preferred(l, k), type, body));
}

bool
link_send_addr(struct peer_links *l, struct bstr addr, enum peer_msg_type type,
    struct bstr body)
{
	const struct link_peer *p = find_peer(l, addr);
	const struct link_conn *c;

	if (p == NULL)
		return (false);
	c = p->incoming;
	if (p->conn != NULL && p->conn->state == CONN_UP)
		c = p->conn;
	return (c != NULL && link_send(l, &c->id, type, body));
}

uint32_t
link_broadcast(struct peer_links *l, enum peer_msg_type type, struct bstr body)
{
	GHashTableIter it;
	gpointer k;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, l->links);
	while (g_hash_table_iter_next(&it, NULL, &k))
		n += link_queue(l, link_preferred(l, k), type, body);
	return (n);
}

bool
link_is_up(const struct peer_links *l, const struct vm_id *id)
{
	return (g_hash_table_contains(l->links, id));
}

const struct link_stats *
link_stats(const struct peer_links *l)
{
	return (&l->stats);
}
