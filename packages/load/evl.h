/*
 * evl - epoll loop with timers of microsecond resolution.
 *
 * One thread runs a loop. Handlers run with the lock of the loop held, so that
 * another thread may change the state of the handlers under evl_lock() and
 * then call evl_wake().
 *
 *	struct evl l;
 *	evl_init(&l);
 *	io.fn = on_events;
 *	evl_add(&l, &io, fd, EPOLLIN);
 *	evl_timer_set(&l, &timer, evl_now_us() + 500);
 *	evl_run(&l);
 *	evl_finish(&l);
 */
#ifndef LOAD_EVL_H
#define LOAD_EVL_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/epoll.h>

/**
 * struct evl_io - one watched descriptor
 * @fn: called with the epoll events
 * @fd: descriptor, -1 when not watched
 */
struct evl_io {
	void (*fn)(struct evl_io *io, uint32_t events);
	int fd;
};

/**
 * struct evl_timer - one timer
 * @fn: called once when due
 * @at_us: when, monotonic microseconds
 * @pos: place in the heap plus one, 0 when not set
 */
struct evl_timer {
	void (*fn)(struct evl_timer *t);
	int64_t at_us;
	size_t pos;
};

/** struct evl - loop; treat as opaque */
struct evl {
	pthread_mutex_t lock;
	int ep;
	struct evl_io wake;
	struct evl_timer **heap;
	size_t n_heap, cap_heap;
	void **garbage;
	size_t n_garbage, cap_garbage;
	_Atomic bool stop;
};

/** evl_init() - make a loop; Return: false when the kernel refuses */
bool evl_init(struct evl *l);

/** evl_finish() - close the loop; descriptors of handlers stay open */
void evl_finish(struct evl *l);

/** evl_add() - watch @fd for @events */
bool evl_add(struct evl *l, struct evl_io *io, int fd, uint32_t events);

/** evl_mod() - change the watched events */
void evl_mod(struct evl *l, struct evl_io *io, uint32_t events);

/** evl_close() - stop watching and close the descriptor */
void evl_close(struct evl *l, struct evl_io *io);

/** evl_free_later() - free() @p once no handler of this round can use it */
void evl_free_later(struct evl *l, void *p);

/** evl_timer_set() - set or move a timer */
void evl_timer_set(struct evl *l, struct evl_timer *t, int64_t at_us);

/** evl_timer_clear() - unset a timer; harmless when not set */
void evl_timer_clear(struct evl *l, struct evl_timer *t);

/** evl_run() - run until evl_stop() */
void evl_run(struct evl *l);

/** evl_stop() - end evl_run(); from any thread or a signal handler */
void evl_stop(struct evl *l);

/** evl_wake() - make the loop look at its timers again; any thread */
void evl_wake(struct evl *l);

/** evl_lock() - keep handlers from running; for other threads */
void evl_lock(struct evl *l);

/** evl_unlock() - undo evl_lock() */
void evl_unlock(struct evl *l);

/** evl_now_us() - monotonic clock in microseconds */
int64_t evl_now_us(void);

/** evl_listen() - non-blocking listener on 127.0.0.1; sets *@port; -1 fails */
int evl_listen(uint16_t *port);

/** evl_connect() - start a non-blocking connection to "ip:port"; -1 fails */
int evl_connect(const char *addr);

#endif
