#include "front/wrk.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu.h>

#include "front/fe.h"
#include "front/ups.h"
#include "sys/clk.h"

#define MAX_EVENTS 64
#define EASY_POOL 64
#define LISTEN_BACKLOG 1024
#define DEFAULT_HOST_CONNECTIONS 6
#define MAX_WAIT_MS 1000
#define DRAIN_POLL_MS 20

/* What an epoll event is about; stored beside the descriptor or pointer. */
enum source_kind { SRC_MHD, SRC_WAKE, SRC_CURL, SRC_CALLER };

/**
 * struct source - target of an epoll registration
 * @kind: what it is
 * @fd: descriptor
 * @call: call whose caller is watched
 */
struct source {
	enum source_kind kind;
	int fd;
	struct call *call;
};

struct wrk {
	struct env *env;
	struct rng rng;
	int epfd;
	int wake_fd;
	int listen_fd;
	struct MHD_Daemon *mhd;
	CURLM *multi;
	int64_t curl_due_us; /* -1 when no timer is set */
	bool mhd_pending;
	bool stopping;
	_Atomic bool stop;
	struct call *unpause;
	CURL *easy[EASY_POOL];
	unsigned n_easy;
	struct source mhd_source;
	struct source wake_source;
};

struct env *
wrk_env(const struct wrk *w)
{
	return (w->env);
}

struct rng *
wrk_rng(struct wrk *w)
{
	return (&w->rng);
}

CURLM *
wrk_multi(struct wrk *w)
{
	return (w->multi);
}

CURL *
wrk_easy_get(struct wrk *w)
{
	CURL *e;

	if (w->n_easy > 0)
		return (w->easy[--w->n_easy]);
	e = curl_easy_init();
	if (e == NULL)
		abort();
	return (e);
}

void
wrk_easy_put(struct wrk *w, CURL *easy)
{
	if (w->n_easy == EASY_POOL) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	w->easy[w->n_easy++] = easy;
}

void
wrk_unpause(struct wrk *w, struct call *c)
{
	if (c->in_unpause)
		return;
	c->in_unpause = true;
	c->next_unpause = w->unpause;
	w->unpause = c;
}

void
wrk_mhd_pending(struct wrk *w)
{
	w->mhd_pending = true;
}

static int
caller_fd(const struct call *c)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(c->conn, MHD_CONNECTION_INFO_CONNECTION_FD);

	return (info == NULL ? -1 : info->connect_fd);
}

void
wrk_watch_hangup(struct wrk *w, struct call *c, bool on)
{
	struct epoll_event ev = {.events = EPOLLRDHUP | EPOLLONESHOT};
	int fd = caller_fd(c);

	if (fd < 0)
		return;
	if (!on) {
		epoll_ctl(w->epfd, EPOLL_CTL_DEL, fd, NULL);
		return;
	}
	/* Calls are told from sources by the low bit of the pointer. */
	ev.data.u64 = (uint64_t)(uintptr_t)c | 1;
	epoll_ctl(w->epfd, EPOLL_CTL_ADD, fd, &ev);
}

void
wrk_forget(struct wrk *w, struct call *c)
{
	struct call **p = &w->unpause;

	if (!c->in_unpause)
		return;
	while (*p != c)
		p = &(*p)->next_unpause;
	*p = c->next_unpause;
	c->in_unpause = false;
}

static int
on_curl_timer(CURLM *multi, long ms, void *arg)
{
	struct wrk *w = arg;

	(void)multi;
	w->curl_due_us = ms < 0 ? -1 : clk_mono_us() + ms * 1000;
	return (0);
}

static int
on_curl_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *ptr)
{
	struct wrk *w = arg;
	struct source *s = ptr;
	struct epoll_event ev = {0};

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(w->epfd, EPOLL_CTL_DEL, fd, NULL);
		curl_multi_assign(w->multi, fd, NULL);
		free(s);
		return (0);
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (s != NULL) {
		ev.data.ptr = s;
		epoll_ctl(w->epfd, EPOLL_CTL_MOD, fd, &ev);
		return (0);
	}
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		abort();
	s->kind = SRC_CURL;
	s->fd = fd;
	ev.data.ptr = s;
	curl_multi_assign(w->multi, fd, s);
	epoll_ctl(w->epfd, EPOLL_CTL_ADD, fd, &ev);
	return (0);
}

static int
listen_on(const char *addr, uint16_t port)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons(port)};
	const int one = 1;
	int fd;

	if (inet_pton(AF_INET, addr, &sin.sin_addr) != 1)
		return (-1);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-1);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		close(fd);
		return (-1);
	}
	return (fd);
}

static void
setup_curl(struct wrk *w, const struct wrk_desc *desc)
{
	long per_host = desc->max_host_connections;

	w->multi = curl_multi_init();
	if (w->multi == NULL)
		abort();
	if (per_host == 0)
		per_host = DEFAULT_HOST_CONNECTIONS;
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(w->multi, CURLMOPT_SOCKETDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(w->multi, CURLMOPT_TIMERDATA, w);
	curl_multi_setopt(w->multi, CURLMOPT_MAX_HOST_CONNECTIONS, per_host);
	w->curl_due_us = -1;
}

static void
add_source(struct wrk *w, struct source *s)
{
	struct epoll_event ev = {.events = EPOLLIN, .data.ptr = s};

	epoll_ctl(w->epfd, EPOLL_CTL_ADD, s->fd, &ev);
}

struct wrk *
wrk_new(const struct wrk_desc *desc, GError **error)
{
	struct wrk *w = calloc(1, sizeof(*w));
	const union MHD_DaemonInfo *info;

	if (w == NULL)
		abort();
	w->env = desc->env;
	rng_init(&w->rng, desc->seed);
	w->epfd = epoll_create1(EPOLL_CLOEXEC);
	w->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	w->listen_fd = listen_on(desc->addr, desc->port);
	if (w->listen_fd >= 0)
		w->mhd = fe_start(w, w->listen_fd);
	if (w->mhd == NULL) {
		g_set_error(error, ERR_QUARK, ERR_INTERNAL,
		    "cannot listen on %s:%u: %s", desc->addr, desc->port,
		    g_strerror(errno));
		free(w);
		return (NULL);
	}
	setup_curl(w, desc);
	info = MHD_get_daemon_info(w->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	w->mhd_source = (struct source){SRC_MHD, info->epoll_fd, NULL};
	w->wake_source = (struct source){SRC_WAKE, w->wake_fd, NULL};
	add_source(w, &w->mhd_source);
	add_source(w, &w->wake_source);
	return (w);
}

static void
collect_finished(struct wrk *w)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(w->multi, &left)) != NULL) {
		if (msg->msg == CURLMSG_DONE)
			ups_finish(msg->easy_handle, msg->data.result);
	}
}

static void
run_unpaused(struct wrk *w)
{
	while (w->unpause != NULL) {
		struct call *c = w->unpause;

		w->unpause = c->next_unpause;
		c->in_unpause = false;
		if (c->easy != NULL)
			curl_easy_pause(c->easy, CURLPAUSE_CONT);
	}
}

static void
on_socket_event(struct wrk *w, const struct epoll_event *ev)
{
	const struct source *s = ev->data.ptr;
	int mask = 0;
	int running;

	if (ev->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		mask |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(w->multi, s->fd, mask, &running);
}

static void
on_event(struct wrk *w, const struct epoll_event *ev)
{
	const struct source *s = ev->data.ptr;
	uint64_t n;

	if (ev->data.u64 & 1) {
		fe_on_hangup((struct call *)(uintptr_t)(ev->data.u64 & ~1ULL));
		return;
	}
	switch (s->kind) {
	case SRC_MHD:
		w->mhd_pending = true;
		break;
	case SRC_WAKE:
		if (read(w->wake_fd, &n, sizeof(n)) < 0)
			break;
		break;
	case SRC_CURL:
		on_socket_event(w, ev);
		break;
	case SRC_CALLER:
		break;
	}
}

static int
wait_ms(struct wrk *w)
{
	MHD_UNSIGNED_LONG_LONG mhd_ms;
	int64_t ms = w->stopping ? DRAIN_POLL_MS : MAX_WAIT_MS;

	if (w->mhd_pending || w->unpause != NULL)
		return (0);
	if (MHD_get_timeout(w->mhd, &mhd_ms) == MHD_YES && (int64_t)mhd_ms < ms)
		ms = (int64_t)mhd_ms;
	if (w->curl_due_us >= 0) {
		int64_t left = (w->curl_due_us - clk_mono_us() + 999) / 1000;

		if (left < ms)
			ms = left < 0 ? 0 : left;
	}
	return ((int)ms);
}

static bool
drained(struct wrk *w)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(w->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);

	return (info == NULL || info->num_connections == 0);
}

void
wrk_run(struct wrk *w)
{
	struct epoll_event events[MAX_EVENTS];
	int running;

	rcu_register_thread();
	for (;;) {
		int n = epoll_wait(w->epfd, events, MAX_EVENTS, wait_ms(w));

		for (int i = 0; i < n; i++)
			on_event(w, &events[i]);
		if (w->curl_due_us >= 0 && clk_mono_us() >= w->curl_due_us) {
			w->curl_due_us = -1;
			curl_multi_socket_action(
			    w->multi, CURL_SOCKET_TIMEOUT, 0, &running);
		}
		collect_finished(w);
		w->mhd_pending = false;
		MHD_run(w->mhd);
		run_unpaused(w);
		collect_finished(w);
		if (atomic_load(&w->stop) && !w->stopping) {
			w->stopping = true;
			MHD_quiesce_daemon(w->mhd);
		}
		if (w->stopping && drained(w))
			break;
	}
	rcu_unregister_thread();
}

void
wrk_stop(struct wrk *w)
{
	const uint64_t one = 1;

	atomic_store(&w->stop, true);
	while (write(w->wake_fd, &one, sizeof(one)) < 0)
		continue;
}

void
wrk_free(struct wrk *w)
{
	MHD_stop_daemon(w->mhd);
	for (unsigned i = 0; i < w->n_easy; i++)
		curl_easy_cleanup(w->easy[i]);
	curl_multi_cleanup(w->multi);
	close(w->listen_fd);
	close(w->wake_fd);
	close(w->epfd);
	free(w);
}
