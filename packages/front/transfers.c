#include "front/transfers.h"

#include <stdlib.h>

#include "front/worker.h"
#include "sys/clocks.h"

#define MAX_KEPT_CONNECTIONS 4096L

/**
 * struct transfers_source - socket of libcurl; when closed, it is freed after
 * the round of events
 */
struct transfers_source {
	struct worker_source source;
	struct transfers_source *next_retired;
};

static int
on_timer(CURLM *multi, long ms, void *arg)
{
	struct transfers *m = arg;

	(void)multi;
	m->due_us = ms < 0 ? INT64_MAX : clk_mono_us() + ms * 1000;
	return (0);
}

/* Later events of the same round may still point to the source. */
static void
retire(struct transfers *m, struct transfers_source *s)
{
	s->source.kind = WORKER_SRC_RETIRED;
	s->next_retired = m->retired;
	m->retired = s;
}

static void
notify_unwatched(CURL *easy)
{
	struct curl_transfer *x = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&x);
	if (x != NULL && x->unwatched != NULL)
		x->unwatched(x);
}

static int
on_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *ptr)
{
	struct transfers *m = arg;
	struct transfers_source *s = ptr;
	struct epoll_event ev = {0};

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(m->epfd, EPOLL_CTL_DEL, fd, NULL);
		curl_multi_assign(m->multi, fd, NULL);
		if (s != NULL)
			retire(m, s);
		notify_unwatched(easy);
		return (0);
	}
	if (what & CURL_POLL_IN)
		ev.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		ev.events |= EPOLLOUT;
	if (s != NULL) {
		ev.data.ptr = s;
		epoll_ctl(m->epfd, EPOLL_CTL_MOD, fd, &ev);
		return (0);
	}
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		abort();
	s->source = (struct worker_source){WORKER_SRC_CURL, fd};
	ev.data.ptr = s;
	curl_multi_assign(m->multi, fd, s);
	epoll_ctl(m->epfd, EPOLL_CTL_ADD, fd, &ev);
	return (0);
}

void
transfers_init(struct transfers *m, int epfd, long per_host)
{
	*m = (struct transfers){.epfd = epfd, .due_us = INT64_MAX};
	m->multi = curl_multi_init();
	if (m->multi == NULL)
		abort();
	curl_multi_setopt(m->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(m->multi, CURLMOPT_SOCKETDATA, m);
	curl_multi_setopt(m->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(m->multi, CURLMOPT_TIMERDATA, m);
	curl_multi_setopt(m->multi, CURLMOPT_MAX_HOST_CONNECTIONS, per_host);
	curl_multi_setopt(m->multi, CURLMOPT_MAXCONNECTS, MAX_KEPT_CONNECTIONS);
}

void
transfers_finish(struct transfers *m)
{
	for (unsigned i = 0; i < m->n_easy; i++)
		curl_easy_cleanup(m->easy[i]);
	curl_multi_cleanup(m->multi);
	transfers_free_retired(m);
}

CURL *
transfers_easy_get(struct transfers *m)
{
	CURL *e;

	if (m->n_easy > 0)
		return (m->easy[--m->n_easy]);
	e = curl_easy_init();
	if (e == NULL)
		abort();
	return (e);
}

void
transfers_easy_put(struct transfers *m, CURL *easy)
{
	if (m->n_easy == TRANSFERS_EASY_POOL) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	m->easy[m->n_easy++] = easy;
}

void
transfers_on_event(struct transfers *m, const struct epoll_event *ev)
{
	const struct worker_source *s = ev->data.ptr;
	int mask = 0;
	int running;

	if (ev->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		mask |= CURL_CSELECT_IN;
	if (ev->events & EPOLLOUT)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(m->multi, s->fd, mask, &running);
}

void
transfers_free_retired(struct transfers *m)
{
	while (m->retired != NULL) {
		struct transfers_source *s = m->retired;

		m->retired = s->next_retired;
		free(s);
	}
}

void
transfers_run_timer(struct transfers *m, int64_t now_us)
{
	int running;

	if (now_us < m->due_us)
		return;
	m->due_us = INT64_MAX;
	curl_multi_socket_action(m->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}
