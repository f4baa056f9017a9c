/*
 * event_loop - epoll loop with timers of microsecond resolution (prefix
 * evloop_).
 *
 * One thread runs the loop. Handlers run with the loop's lock held. Another
 * thread can change state shared with the handlers while it holds
 * evloop_lock(), and then calls evloop_wake().
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
 * struct evloop_io - one watched file descriptor
 * @fn: called with the epoll events
 * @fd: file descriptor, -1 when not watched
 */
struct evloop_io {
	void (*fn)(struct evloop_io *io, uint32_t events);
	int fd;
};

/**
 * struct evloop_timer - one timer
 * @fn: called once when the timer expires
 * @at_us: expiry time in microseconds, monotonic clock
 * @pos: position in the heap plus one, 0 when not set
 */
struct evloop_timer {
	void (*fn)(struct evloop_timer *t);
	int64_t at_us;
	size_t pos;
};

/**
 * struct event_loop - event loop; all members are private
 * @lock: held while handlers run
 * @ep: epoll descriptor
 * @wake: eventfd that interrupts the wait
 * @heap: timers, ordered as a binary heap by expiry time
 * @n_heap: number of timers in @heap
 * @cap_heap: allocated length of @heap
 * @garbage: memory blocks to free at the end of the current iteration
 * @n_garbage: number of blocks in @garbage
 * @cap_garbage: allocated length of @garbage
 * @stop: evloop_stop() was called
 */
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

/**
 * evloop_init() - create a loop
 *
 * Return: false when a kernel object could not be created.
 */
bool evloop_init(struct event_loop *l);

/** evloop_finish() - free the loop; watched descriptors stay open */
void evloop_finish(struct event_loop *l);

/**
 * evloop_add() - watch @fd for the epoll events @events
 * @l: event loop
 * @io: receives @fd, also on failure; must stay valid until the iteration in
 *	which evloop_close() is called has ended
 * @fd: file descriptor to watch
 * @events: epoll events
 *
 * Return: false when @fd is negative or epoll rejects it.
 */
bool evloop_add(
    struct event_loop *l, struct evloop_io *io, int fd, uint32_t events);

/** evloop_mod() - replace the watched epoll events */
void evloop_mod(struct event_loop *l, struct evloop_io *io, uint32_t events);

/** evloop_close() - stop watching and close the descriptor, if any */
void evloop_close(struct event_loop *l, struct evloop_io *io);

/** evloop_free_later() - free() @p at the end of the current iteration */
void evloop_free_later(struct event_loop *l, void *p);

/**
 * evloop_timer_set() - set or move a timer
 * @l: event loop
 * @t: timer whose @fn is set
 * @at_us: expiry time in microseconds, monotonic clock
 */
void evloop_timer_set(
    struct event_loop *l, struct evloop_timer *t, int64_t at_us);

/** evloop_timer_clear() - cancel a timer; no effect when not set */
void evloop_timer_clear(struct event_loop *l, struct evloop_timer *t);

/** evloop_run() - run until evloop_stop() */
void evloop_run(struct event_loop *l);

/** evloop_stop() - end evloop_run(); for any thread or a signal handler */
void evloop_stop(struct event_loop *l);

/** evloop_wake() - make the loop check its timers again; for any thread */
void evloop_wake(struct event_loop *l);

/** evloop_lock() - block handlers from running; for other threads */
void evloop_lock(struct event_loop *l);

/** evloop_unlock() - let handlers run again after evloop_lock() */
void evloop_unlock(struct event_loop *l);

/** evloop_now_us() - monotonic clock in microseconds */
int64_t evloop_now_us(void);

/**
 * evloop_listen() - open a non-blocking listening socket on 127.0.0.1
 * @port: port to bind, 0 for any free one; receives the bound port
 *
 * Return: file descriptor, or -1 on failure.
 */
int evloop_listen(uint16_t *port);

/**
 * evloop_connect() - start a non-blocking connection
 * @addr: "ip:port", IPv4 only
 *
 * Return: file descriptor, or -1 on failure.
 */
int evloop_connect(const char *addr);

#endif
