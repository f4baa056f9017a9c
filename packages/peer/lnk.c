#include "peer/lnk.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/frm.h"

#define CONNECT_MS 2000
#define BACKOFF_MIN_MS 100
#define BACKOFF_MAX_MS 5000
#define QUEUE_BYTES FRM_MAX_BYTES
#define READ_BYTES 65536
#define MAX_EVENTS 64
#define MAX_INCOMING 2048
#define BACKLOG 128
/* Bytes the peer does not acknowledge for this long break the connection. */
#define USER_TIMEOUT_MS 5000
/* Written bytes are dropped from the send queue once they exceed this. */
#define COMPACT_BYTES 65536

enum conn_state {
	CONN_CONNECTING,
	CONN_HELLO, /* waits for the peer's HELLO */
	CONN_UP,
	CONN_CLOSED, /* freed at the end of lnk_run() */
};

struct lnk_conn;

/* A known address. */
struct lnk_peer {
	char addr[LNK_ADDR_MAX + 1];
	struct sockaddr_in sin;
	struct lnk_conn *conn;    /* own connection */
	struct lnk_conn *covered; /* incoming connection from this address */
	int64_t retry_ms;
	int32_t backoff_ms;
};

struct lnk_conn {
	int fd;
	enum conn_state state;
	struct lnk_peer *peer; /* NULL for an incoming connection */
	bool outgoing;
	bool want_write;
	struct vmid id;
	char addr[LNK_ADDR_MAX + 1]; /* from HELLO, of an incoming one */
	struct frm_dec in;
	struct bbuf out;
	size_t out_off;
	int64_t deadline_ms; /* for HELLO, or of a duplicate; 0 for none */
};

/* A connected process: at most one connection in each direction. */
struct lnk_link {
	struct vmid id;
	struct lnk_conn *in;
	struct lnk_conn *out;
};

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

static bool
parse_addr(struct bstr addr, struct sockaddr_in *sin)
{
	char text[LNK_ADDR_MAX + 1] = {0};
	char *colon;
	uint64_t port;

	if (addr.n == 0 || addr.n > LNK_ADDR_MAX)
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
watch(struct lnk *l, struct lnk_conn *c, int op)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = c};

	if (c->want_write)
		ev.events |= EPOLLOUT;
	if (epoll_ctl(l->epoll, op, c->fd, &ev) != 0)
		g_warning("lnk: epoll_ctl: %s", g_strerror(errno));
}

static struct lnk_conn *
preferred(const struct lnk *l, const struct lnk_link *k)
{
	bool own = vmid_cmp(&l->desc.self, &k->id) < 0;
	struct lnk_conn *first = own ? k->out : k->in;

	return (first != NULL ? first : own ? k->in : k->out);
}

/* Schedules the next attempt after a random part of the backoff. */
static void
schedule_retry(struct lnk *l, struct lnk_peer *p)
{
	int32_t half = p->backoff_ms / 2;

	p->retry_ms = l->now_ms + half + rng_below(&l->rng, (uint32_t)half + 1);
	p->backoff_ms *= 2;
	if (p->backoff_ms > l->desc.backoff_max_ms)
		p->backoff_ms = l->desc.backoff_max_ms;
}

static void
detach_link(struct lnk *l, struct lnk_conn *c)
{
	struct lnk_link *k = g_hash_table_lookup(l->links, &c->id);
	struct vmid id = c->id;

	if (k == NULL || (k->in != c && k->out != c))
		return;
	if (k->in == c)
		k->in = NULL;
	if (k->out == c)
		k->out = NULL;
	if (k->in != NULL || k->out != NULL)
		return;
	g_hash_table_remove(l->links, &id);
	l->desc.ops->on_down(l->desc.arg, &id);
}

/*
 * Takes the connection out of service. Its memory stays until reap() because
 * callers up the stack and pending epoll events may still refer to it.
 */
static void
close_conn(struct lnk *l, struct lnk_conn *c)
{
	bool was_up = c->state == CONN_UP;

	if (c->state == CONN_CLOSED)
		return;
	c->state = CONN_CLOSED;
	close(c->fd);
	c->fd = -1;
	for (guint i = 0; i < l->peers->len; i++) {
		struct lnk_peer *p = g_ptr_array_index(l->peers, i);

		if (p->covered == c)
			p->covered = NULL;
		if (p->conn == c) {
			p->conn = NULL;
			schedule_retry(l, p);
		}
	}
	c->peer = NULL;
	if (!c->outgoing)
		l->n_incoming--;
	if (was_up)
		detach_link(l, c);
}

static void
free_conn(void *arg)
{
	struct lnk_conn *c = arg;

	if (c->fd >= 0)
		close(c->fd);
	frm_dec_finish(&c->in);
	bbuf_finish(&c->out);
	free(c);
}

static void
reap(struct lnk *l)
{
	for (guint i = l->conns->len; i-- > 0;) {
		struct lnk_conn *c = g_ptr_array_index(l->conns, i);

		if (c->state == CONN_CLOSED)
			g_ptr_array_remove_index_fast(l->conns, i);
	}
}

static void
flush(struct lnk *l, struct lnk_conn *c)
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
	/* A broken connection is reported by the next read. */
	if (c->want_write != (c->out.n != 0)) {
		c->want_write = c->out.n != 0;
		watch(l, c, EPOLL_CTL_MOD);
	}
}

static bool
queue(struct lnk *l, struct lnk_conn *c, enum pmsg_type type, struct bstr body)
{
	size_t before = c->out.n;
	size_t waiting = before - c->out_off;
	bool full;

	if (!frm_encode(&c->out, type, &l->desc.self, body))
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
		flush(l, c);
	return (true);
}

static void
send_hello(struct lnk *l, struct lnk_conn *c)
{
	queue(l, c, PMSG_HELLO, bstr_from(l->addr));
}

static struct lnk_conn *
new_conn(struct lnk *l, int fd, struct lnk_peer *peer)
{
	struct lnk_conn *c = calloc(1, sizeof(*c));
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
	frm_dec_init(&c->in);
	bbuf_init(&c->out);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	setsockopt(
	    fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
	g_ptr_array_add(l->conns, c);
	watch(l, c, EPOLL_CTL_ADD);
	return (c);
}

static void
start_connect(struct lnk *l, struct lnk_peer *p)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	l->stats.connects++;
	if (fd < 0) {
		schedule_retry(l, p);
		return;
	}
	if (connect(fd, (struct sockaddr *)&p->sin, sizeof(p->sin)) != 0 &&
	    errno != EINPROGRESS) {
		close(fd);
		schedule_retry(l, p);
		return;
	}
	p->conn = new_conn(l, fd, p);
}

static bool
allowed(const struct lnk *l, in_addr_t from)
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
accept_all(struct lnk *l)
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
		send_hello(l, new_conn(l, fd, NULL));
	}
}

static void
finish_connect(struct lnk *l, struct lnk_conn *c)
{
	int err = 0;
	socklen_t n = sizeof(err);

	if (getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &err, &n) != 0 ||
	    err != 0) {
		close_conn(l, c);
		return;
	}
	c->state = CONN_HELLO;
	send_hello(l, c);
	flush(l, c);
}

static struct lnk_peer *
find_peer(const struct lnk *l, struct bstr addr)
{
	for (guint i = 0; i < l->peers->len; i++) {
		struct lnk_peer *p = g_ptr_array_index(l->peers, i);

		if (bstr_eq(bstr_from(p->addr), addr))
			return (p);
	}
	return (NULL);
}

/* Ends the own connection when both exist and the peer's is the one in use. */
static void
settle_duplicate(struct lnk *l, struct lnk_link *k)
{
	if (k->in == NULL || k->out == NULL || preferred(l, k) != k->in)
		return;
	k->out->deadline_ms = l->now_ms + LNK_DUPLICATE_LINGER_MS;
}

static void
on_hello(struct lnk *l, struct lnk_conn *c, const struct frm_msg *m)
{
	struct lnk_link *k;
	struct lnk_conn *old;
	bool is_new;

	if (vmid_eq(&m->from, &l->desc.self)) {
		if (c->peer != NULL)
			c->peer->backoff_ms = l->desc.backoff_max_ms;
		l->stats.bad++;
		close_conn(l, c);
		return;
	}
	c->state = CONN_UP;
	c->id = m->from;
	c->deadline_ms = 0;
	if (c->peer != NULL) {
		c->peer->backoff_ms = l->desc.backoff_min_ms;
	} else {
		struct lnk_peer *p = find_peer(l, m->body);

		if (m->body.n <= LNK_ADDR_MAX)
			memcpy(c->addr, m->body.p, m->body.n);
		if (p != NULL)
			p->covered = c;
	}
	k = g_hash_table_lookup(l->links, &m->from);
	is_new = k == NULL;
	if (is_new) {
		k = g_new0(struct lnk_link, 1);
		k->id = m->from;
		g_hash_table_insert(l->links, &k->id, k);
	}
	old = c->outgoing ? k->out : k->in;
	if (c->outgoing)
		k->out = c;
	else
		k->in = c;
	/* The peer connected again: its older connection is dead. */
	if (old != NULL && old != c)
		close_conn(l, old);
	settle_duplicate(l, k);
	if (is_new)
		l->desc.ops->on_up(l->desc.arg, &c->id);
}

static void
on_frame(struct lnk *l, struct lnk_conn *c, const struct frm_msg *m)
{
	bool hello = m->type == PMSG_HELLO;

	if (c->state == CONN_HELLO && hello) {
		on_hello(l, c, m);
		return;
	}
	if (c->state != CONN_UP || hello || !vmid_eq(&m->from, &c->id)) {
		l->stats.bad++;
		close_conn(l, c);
		return;
	}
	l->stats.messages_in++;
	l->desc.ops->on_message(l->desc.arg, m->type, &m->from, m->body);
}

static void
decode(struct lnk *l, struct lnk_conn *c)
{
	struct frm_msg m;
	enum frm_err err;

	while (c->state != CONN_CLOSED) {
		err = frm_dec_next(&c->in, &m);
		if (err == FRM_MORE)
			return;
		if (err != FRM_OK) {
			l->stats.bad++;
			g_message(
			    "lnk: closing a connection: %s", frm_err_name(err));
			close_conn(l, c);
			return;
		}
		on_frame(l, c, &m);
	}
}

/* One bounded read for each event, so that a busy peer cannot block others. */
static void
read_some(struct lnk *l, struct lnk_conn *c)
{
	static _Thread_local char bytes[READ_BYTES];
	size_t room = frm_dec_room(&c->in);
	ssize_t n;

	n = recv(c->fd, bytes, room < READ_BYTES ? room : READ_BYTES, 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_conn(l, c);
		return;
	}
	l->stats.bytes_in += (uint64_t)n;
	frm_dec_add(&c->in, (struct bstr){bytes, (size_t)n});
	decode(l, c);
}

static void
on_event(struct lnk *l, struct lnk_conn *c, uint32_t events)
{
	if (c->state == CONN_CONNECTING) {
		finish_connect(l, c);
		return;
	}
	if (c->state != CONN_CLOSED && (events & EPOLLOUT) != 0)
		flush(l, c);
	if (c->state != CONN_CLOSED &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
		read_some(l, c);
}

static void
run_timers(struct lnk *l)
{
	for (guint i = 0; i < l->conns->len; i++) {
		struct lnk_conn *c = g_ptr_array_index(l->conns, i);

		if (c->deadline_ms != 0 && l->now_ms >= c->deadline_ms)
			close_conn(l, c);
	}
	for (guint i = 0; i < l->peers->len; i++) {
		struct lnk_peer *p = g_ptr_array_index(l->peers, i);

		if (p->conn == NULL && p->covered == NULL &&
		    l->now_ms >= p->retry_ms)
			start_connect(l, p);
	}
}

void
lnk_run(struct lnk *l, int64_t now_ms)
{
	struct epoll_event ev[MAX_EVENTS];
	int n;

	l->now_ms = now_ms;
	n = epoll_wait(l->epoll, ev, MAX_EVENTS, 0);
	for (int i = 0; i < n; i++) {
		if (ev[i].data.ptr == NULL)
			accept_all(l);
		else
			on_event(l, ev[i].data.ptr, ev[i].events);
	}
	run_timers(l);
	reap(l);
}

static void
set_defaults(struct lnk_desc *d)
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
copy_allow(struct lnk *l)
{
	l->allow = g_new0(in_addr_t, l->desc.n_allow);
	for (uint32_t i = 0; i < l->desc.n_allow; i++) {
		if (inet_pton(AF_INET, l->desc.allow[i], &l->allow[i]) != 1)
			return (false);
	}
	return (true);
}

static bool
start_listener(struct lnk *l)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = NULL};
	struct sockaddr_in sin;
	socklen_t n = sizeof(sin);
	const int on = 1;
	char ip[INET_ADDRSTRLEN];

	if (!parse_addr(bstr_from(l->desc.listen), &sin))
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
lnk_init(struct lnk *l, const struct lnk_desc *desc)
{
	*l = (struct lnk){.desc = *desc, .listener = -1};
	set_defaults(&l->desc);
	rng_init(&l->rng, l->desc.seed);
	l->peers = g_ptr_array_new_with_free_func(free);
	l->conns = g_ptr_array_new_with_free_func(free_conn);
	l->links = g_hash_table_new_full(id_hash, id_equal, NULL, g_free);
	l->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (l->epoll >= 0 && copy_allow(l) && start_listener(l))
		return (0);
	g_warning("lnk: cannot listen on %s", desc->listen);
	lnk_finish(l);
	return (-1);
}

void
lnk_finish(struct lnk *l)
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
lnk_fd(const struct lnk *l)
{
	return (l->epoll);
}

struct bstr
lnk_addr(const struct lnk *l)
{
	return (bstr_from(l->addr));
}

bool
lnk_add_peer(struct lnk *l, struct bstr addr)
{
	struct sockaddr_in sin;
	struct lnk_peer *p;

	if (!parse_addr(addr, &sin) || bstr_eq(addr, bstr_from(l->addr)))
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
		struct lnk_conn *c = g_ptr_array_index(l->conns, i);

		if (c->state == CONN_UP && bstr_eq(bstr_from(c->addr), addr))
			p->covered = c;
	}
	g_ptr_array_add(l->peers, p);
	return (true);
}

void
lnk_remove_peer(struct lnk *l, struct bstr addr)
{
	struct lnk_peer *p = find_peer(l, addr);

	if (p == NULL)
		return;
	if (p->conn != NULL)
		close_conn(l, p->conn);
	g_ptr_array_remove_fast(l->peers, p);
}

bool
lnk_send(
    struct lnk *l, const struct vmid *to, enum pmsg_type type, struct bstr body)
{
	struct lnk_link *k = g_hash_table_lookup(l->links, to);

	return (k != NULL && queue(l, preferred(l, k), type, body));
}

bool
lnk_send_addr(
    struct lnk *l, struct bstr addr, enum pmsg_type type, struct bstr body)
{
	const struct lnk_peer *p = find_peer(l, addr);
	const struct lnk_conn *c;

	if (p == NULL)
		return (false);
	c = p->covered;
	if (p->conn != NULL && p->conn->state == CONN_UP)
		c = p->conn;
	return (c != NULL && lnk_send(l, &c->id, type, body));
}

uint32_t
lnk_broadcast(struct lnk *l, enum pmsg_type type, struct bstr body)
{
	GHashTableIter it;
	gpointer k;
	uint32_t n = 0;

	g_hash_table_iter_init(&it, l->links);
	while (g_hash_table_iter_next(&it, NULL, &k))
		n += queue(l, preferred(l, k), type, body);
	return (n);
}

bool
lnk_is_up(const struct lnk *l, const struct vmid *id)
{
	return (g_hash_table_contains(l->links, id));
}

const struct lnk_stats *
lnk_stats(const struct lnk *l)
{
	return (&l->stats);
}
