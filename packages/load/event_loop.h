/*
 * event_loop - epoll loop with timers of microsecond resolution.
 *
 * One thread runs a loop. Handlers run with the lock of the loop held, so that
 * another thread may change the state of the handlers under evloop_lock() and
 * then call evloop_wake().
 *
 *	struct event_loop l;
 *	evloop_init(&l);
 *	io.fn = on_events;
 *	evloop_add(&l, &io, fd, EPOLLIN);
 *	evloop_timer_set(&l, &timer, evloop_now_us() + 500);
 *	evloop_run(&l);
 *	evloop_finish(&l);
 */
#ifndef LOAD_EVENT_LOOP_H
#define LOAD_EVENT_LOOP_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/epoll.h>

/**
 * struct evloop_io - one watched descriptor
 * @fn: called with the epoll events
 * @fd: descriptor, -1 when not watched
 */
struct evloop_io {
	void (*fn)(struct evloop_io *io, uint32_t events);
	int fd;
};

/**
 * struct evloop_timer - one timer
 * @fn: called once when due
 * @at_us: when, monotonic microseconds
 * @pos: place in the heap plus one, 0 when not set
 */
struct evloop_timer {
	void (*fn)(struct evloop_timer *t);
	int64_t at_us;
	size_t pos;
};

/** struct event_loop - loop; treat as opaque */
struct event_loop {
	pthread_mutex_t lock;
	int ep;
	struct evloop_io wake;
	struct evloop_timer **heap;
	size_t n_heap, cap_heap;
	void **garbage;
	size_t n_garbage, cap_garbage;
	_Atomic bool stop;
};

/** evloop_init() - make a loop; Return: false when the kernel refuses */
bool evloop_init(struct event_loop *l);

/** evloop_finish() - close the loop; descriptors of handlers stay open */
void evloop_finish(struct event_loop *l);

/** evloop_add() - watch @fd for @events */
bool evloop_add(
    struct event_loop *l, struct evloop_io *io, int fd, uint32_t events);

/** evloop_mod() - change the watched events */
void evloop_mod(struct event_loop *l, struct evloop_io *io, uint32_t events);

/** evloop_close() - stop watching and close the descriptor */
void evloop_close(struct event_loop *l, struct evloop_io *io);

/** evloop_free_later() - free() @p once no handler of this round can use it */
void evloop_free_later(struct event_loop *l, void *p);

/** evloop_timer_set() - set or move a timer */
void evloop_timer_set(
    struct event_loop *l, struct evloop_timer *t, int64_t at_us);

/** evloop_timer_clear() - unset a timer; harmless when not set */
void evloop_timer_clear(struct event_loop *l, struct evloop_timer *t);

/** evloop_run() - run until evloop_stop() */
void evloop_run(struct event_loop *l);

/** evloop_stop() - end evloop_run(); from any thread or a signal handler */
void evloop_stop(struct event_loop *l);

/** evloop_wake() - make the loop look at its timers again; any thread */
void evloop_wake(struct event_loop *l);

/** evloop_lock() - keep handlers from running; for other threads */
void evloop_lock(struct event_loop *l);

/** evloop_unlock() - undo evloop_lock() */
void evloop_unlock(struct event_loop *l);

/** evloop_now_us() - monotonic clock in microseconds */
int64_t evloop_now_us(void);

/**
 * evloop_listen() - non-blocking listener on 127.0.0.1; sets *@port; -1 fails
 */
int evloop_listen(uint16_t *port);

/** evloop_connect() - start a non-blocking connection to "ip:port"; -1 fails */
int evloop_connect(const char *addr);

#endif
