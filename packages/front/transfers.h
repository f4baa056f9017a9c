/*
 * transfers - libcurl multi handle in an epoll loop, and a pool of easy
 * handles.
 *
 *	transfers_init(&m, epfd, per_host);
 *	for (;;) {
 *		n = epoll_wait(...);          (until m.due_us at the latest)
 *		transfers_on_event(&m, ev);         (for events of
 *	    WORKER_SRC_CURL)
 *		transfers_free_retired(&m);         (after the last event)
 *		transfers_run_timer(&m, now_us);
 *	}
 *	transfers_finish(&m);
 */
#ifndef FRONT_TRANSFERS_H
#define FRONT_TRANSFERS_H

#include <curl/curl.h>
#include <stdint.h>
#include <sys/epoll.h>

#define TRANSFERS_EASY_POOL 64

struct transfers_source;

/**
 * struct curl_transfer - first member of what CURLOPT_PRIVATE points to
 * @done: the transfer has ended
 */
struct curl_transfer {
	void (*done)(struct curl_transfer *x, CURL *easy, CURLcode result);
};

/**
 * struct transfers - state on caller-owned memory
 * @multi: libcurl's handle
 * @epfd: epoll descriptor of the loop
 * @due_us: when transfers_run_timer() has work, INT64_MAX for never
 * @retired: sockets closed during this round of events
 * @easy: unused easy handles
 * @n_easy: their number
 */
struct transfers {
	CURLM *multi;
	int epfd;
	int64_t due_us;
	struct transfers_source *retired;
	CURL *easy[TRANSFERS_EASY_POOL];
	unsigned n_easy;
};

/** transfers_init() - @per_host: connections to one upstream */
void transfers_init(struct transfers *m, int epfd, long per_host);

/** transfers_finish() - close all connections; no transfer may be left */
void transfers_finish(struct transfers *m);

/** transfers_easy_get() - clean easy handle */
CURL *transfers_easy_get(struct transfers *m);

/** transfers_easy_put() - give an easy handle back */
void transfers_easy_put(struct transfers *m, CURL *easy);

/** transfers_on_event() - a socket of libcurl is ready */
void transfers_on_event(struct transfers *m, const struct epoll_event *ev);

/** transfers_free_retired() - after the last event of a round */
void transfers_free_retired(struct transfers *m);

/** transfers_run_timer() - let libcurl handle its timeouts when they are due */
void transfers_run_timer(struct transfers *m, int64_t now_us);

#endif
