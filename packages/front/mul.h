/*
 * mul - libcurl multi handle in an epoll loop, and a pool of easy handles.
 *
 *	mul_init(&m, epfd, per_host);
 *	for (;;) {
 *		n = epoll_wait(...);          (until m.due_us at the latest)
 *		mul_on_event(&m, ev);         (for events of WRK_SRC_CURL)
 *		mul_free_retired(&m);         (after the last event)
 *		mul_run_timer(&m, now_us);
 *	}
 *	mul_finish(&m);
 */
#ifndef FRONT_MUL_H
#define FRONT_MUL_H

#include <curl/curl.h>
#include <stdint.h>
#include <sys/epoll.h>

#define MUL_EASY_POOL 64

struct mul_source;

/**
 * struct curl_transfer - first member of what CURLOPT_PRIVATE points to
 * @done: the transfer has ended
 */
struct curl_transfer {
	void (*done)(struct curl_transfer *x, CURL *easy, CURLcode result);
};

/**
 * struct mul - state on caller-owned memory
 * @multi: libcurl's handle
 * @epfd: epoll descriptor of the loop
 * @due_us: when mul_run_timer() has work, INT64_MAX for never
 * @retired: sockets closed during this round of events
 * @easy: unused easy handles
 * @n_easy: their number
 */
struct mul {
	CURLM *multi;
	int epfd;
	int64_t due_us;
	struct mul_source *retired;
	CURL *easy[MUL_EASY_POOL];
	unsigned n_easy;
};

/** mul_init() - @per_host: connections to one upstream */
void mul_init(struct mul *m, int epfd, long per_host);

/** mul_finish() - close all connections; no transfer may be left */
void mul_finish(struct mul *m);

/** mul_easy_get() - clean easy handle */
CURL *mul_easy_get(struct mul *m);

/** mul_easy_put() - give an easy handle back */
void mul_easy_put(struct mul *m, CURL *easy);

/** mul_on_event() - a socket of libcurl is ready */
void mul_on_event(struct mul *m, const struct epoll_event *ev);

/** mul_free_retired() - after the last event of a round */
void mul_free_retired(struct mul *m);

/** mul_run_timer() - let libcurl handle its timeouts when they are due */
void mul_run_timer(struct mul *m, int64_t now_us);

#endif
