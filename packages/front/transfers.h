/*
 * transfers - libcurl multi handle in an epoll loop, with a pool of easy
 * handles.
 *
 *	transfers_init(&m, epfd, per_host);
 *	for (;;) {
 *		n = epoll_wait(...);            (until m.due_us at the latest)
 *		transfers_on_event(&m, ev);     (for WORKER_SRC_CURL events)
 *		transfers_free_retired(&m);     (after the last event)
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
 * @done: called when the transfer has ended
 * @unwatched: called when libcurl waits for nothing from the socket any more,
 *	before @done or while both directions are paused or have ended; it must
 *	not call libcurl; NULL for none
 */
struct curl_transfer {
	void (*done)(struct curl_transfer *x, CURL *easy, CURLcode result);
	void (*unwatched)(struct curl_transfer *x);
};

/**
 * struct transfers - multi handle and pool, allocated by the calling code
 * @multi: libcurl multi handle
 * @epfd: epoll descriptor of the loop
 * @due_us: time at which transfers_run_timer() is due, INT64_MAX for never
 * @retired: sockets that were closed during the current round of events
 * @easy: unused easy handles
 * @n_easy: number of unused easy handles
 */
struct transfers {
	CURLM *multi;
	int epfd;
	int64_t due_us;
	struct transfers_source *retired;
	CURL *easy[TRANSFERS_EASY_POOL];
	unsigned n_easy;
};

/** transfers_init() - set up; @per_host limits connections to one upstream */
void transfers_init(struct transfers *m, int epfd, long per_host);

/** transfers_finish() - close all connections; no transfer may be left */
void transfers_finish(struct transfers *m);

/** transfers_easy_get() - get an easy handle with default options */
CURL *transfers_easy_get(struct transfers *m);

/** transfers_easy_put() - return an easy handle to the pool */
void transfers_easy_put(struct transfers *m, CURL *easy);

/** transfers_on_event() - handle an event on one of libcurl's sockets */
void transfers_on_event(struct transfers *m, const struct epoll_event *ev);

/** transfers_free_retired() - free closed sockets after a round of events */
void transfers_free_retired(struct transfers *m);

/** transfers_run_timer() - let libcurl handle timeouts that are due */
void transfers_run_timer(struct transfers *m, int64_t now_us);

#endif
