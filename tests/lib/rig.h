/*
 * rig - test rig of the front: a real worker between a raw HTTP client and an
 * upstream stand-in (tests/standin/rawup), with a fake control thread.
 *
 * Upstreams of each host:
 *	a	the stand-in
 *	dead	one that refuses connections
 *	hole	one where connecting never completes
 *	two	one that refuses connections, and the stand-in
 *	both	the stand-in, twice; see rig.second_full
 *	full	the stand-in; at its limit while rig.full is set
 *	none	none
 *
 * Routes: /i, /t and /l are idempotent, / and /u are not. /t and /u have a
 * timeout of SHORT_TIMEOUT_MS. /l has a latency goal of LATENCY_GOAL_MS, which
 * the slow responses of the stand-in exceed. /open is idempotent and public.
 *
 * At first there are no workspaces, see rig_set_workspaces().
 *
 * The fake control thread answers a claim by the prefix of its key: "grant",
 * "progress", "done", "doneomit", "unknown", "mismatch", "unavailable",
 * "expired" (a grant that has expired already) or "hold" (see rig.hold). Any
 * other key is granted.
 *
 *	cmocka_run_group_tests(tests, rig_setup, rig_teardown);
 *
 *	struct reply r = rig_call("GET", "a", "/i/ok/1", "", NULL);
 *	rig_expect_body(r, "ok");
 */
#ifndef LIB_RIG_H
#define LIB_RIG_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <urcu.h>

#include "front/shared_state.h"
#include "front/worker.h"
#include "front/worker_msg.h"
#include "sys/clocks.h"

#define LATENCY_GOAL_MS 10
#define SHORT_TIMEOUT_MS 300
#define RIG_PRIORITY 2 /* of the route / */
#define LONG_TIMEOUT_MS 10000
#define MAX_FINISHES 256
#define CLIENT_TIMEOUT_S 20

/**
 * struct rig - state shared by the tests of one program
 * @control: messages from the worker to the fake control thread
 * @stop: ends the control thread
 * @full: host "full" is at its limit
 * @second_full: the second upstream of host "both" is at its limit
 * @dead_first: host "two" is tried at the refusing upstream first
 * @hold: claims with a key that begins with "hold" wait until this is cleared
 * @grant_us: validity of a grant, 0 for the default of 5 s
 * @n_state_messages: upstream state messages from the worker
 * @fingerprint: request fingerprint of the latest claim
 * @lock: guards @finishes and @n_finishes
 * @finishes: finish messages from the worker, in order
 * @tally: tally of route /i of host "a"
 * @upstream: process of the stand-in
 * @upstream_port: port of the stand-in
 * @refusing_port: port that refuses connections
 * @hanging_port: port where connecting never completes
 * @port: port of the worker
 * @addr: address of the worker in host byte order, 0 for 127.0.0.1
 * @fds: descriptors that stay open until rig_teardown()
 */
struct rig {
	struct shared_state shared;
	struct metrics metrics;
	struct worker *w;
	pthread_t worker;
	pthread_t control_thread;
	struct message_queue control;
	_Atomic bool stop;
	_Atomic bool full;
	_Atomic bool second_full;
	_Atomic bool dead_first;
	_Atomic bool hold;
	_Atomic int64_t grant_us;
	_Atomic int n_state_messages;
	_Atomic uint64_t fingerprint;
	pthread_mutex_t lock;
	struct worker_msg_finish finishes[MAX_FINISHES];
	int n_finishes;
	struct rt_tally *tally;
	pid_t upstream;
	uint16_t upstream_port;
	uint16_t refusing_port;
	uint16_t hanging_port;
	uint16_t port;
	uint32_t addr;
	int fds[16];
	int n_fds;
};

/** rig - the only instance in a test program */
extern struct rig rig;

/**
 * struct reply - what a client read until the connection was closed
 * @p: all bytes, NUL-terminated; freed by rig_reply_free()
 * @n: number of bytes in @p
 * @status: status code, 0 when the head is incomplete
 * @body: first byte of the body in @p, NULL when the head is incomplete
 * @body_n: length of the body, without chunk framing
 * @complete: the body was not truncated
 * @rest: number of bytes after the first response
 */
struct reply {
	char *p;
	size_t n;
	unsigned status;
	const char *body;
	size_t body_n;
	bool complete;
	size_t rest;
};

/**
 * rig_bind() - bind a loopback socket
 * @backlog: as for listen(); the socket does not listen when it is negative
 * @port: set to the port that the kernel assigned
 * @option: SOL_SOCKET option to enable, or 0
 *
 * Return: descriptor, closed by rig_teardown().
 */
int rig_bind(int backlog, uint16_t *port, int option);

/**
 * rig_connect_to() - connect to a loopback port
 * @flags: flags for socket(), such as SOCK_NONBLOCK, or 0
 *
 * Without flags the test fails when the connection is refused. Receiving times
 * out after CLIENT_TIMEOUT_S.
 *
 * Return: descriptor, closed by the caller.
 */
int rig_connect_to(uint16_t port, int flags);

/**
 * rig_pick() - rt_pick() with overrides for the hosts "full" and "two"
 *
 * The override for "full" depends on rig.full, the one for "two" on
 * rig.dead_first.
 */
int rig_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng);

/** rig_run_worker() - thread function that runs the worker @arg */
void *rig_run_worker(void *arg);

/** rig_setup() - cmocka group setup: start everything */
int rig_setup(void **state);

/** rig_teardown() - cmocka group teardown: stop everything */
int rig_teardown(void **state);

/** rig_start_upstream() - start only the stand-in; part of rig_setup() */
void rig_start_upstream(void);

/**
 * rig_set_workspaces() - publish a table in which requests need a key
 *
 * The entries have to stay valid only during the call.
 */
void rig_set_workspaces(const struct wstab_entry *entries, uint32_t n);

/** rig_clear_workspaces() - publish a table in which requests need no key */
void rig_clear_workspaces(void);

/**
 * rig_open() - connect to the worker and send @n bytes
 *
 * Return: descriptor, closed by rig_read().
 */
int rig_open(const char *text, size_t n);

/**
 * rig_field() - value of a response header field
 *
 * Return: the value, or "" when the field is missing; valid until the next call
 * on this thread.
 */
const char *rig_field(const struct reply *r, const char *name);

/**
 * rig_read() - read until the connection is closed, and close @fd
 * @head_request: the request was HEAD, so the response has no body
 *
 * Reading also ends when nothing arrives for CLIENT_TIMEOUT_S.
 *
 * Return: reply, freed with rig_reply_free().
 */
struct reply rig_read(int fd, bool head_request);

/**
 * rig_exchange() - send @text on a connection that stays open, and read one
 * response, which has to have a Content-Length
 *
 * Return: reply, freed with rig_reply_free(); incomplete when the connection
 * was closed.
 */
struct reply rig_exchange(int fd, const char *text);

/** rig_reply_free() - free a reply */
void rig_reply_free(struct reply *r);

/**
 * rig_send_raw() - send @text as it is and read until the connection is closed
 */
struct reply rig_send_raw(const char *text);

/**
 * rig_request() - send a request with "Connection: close"
 * @fields: further header fields, each with CRLF
 * @body: body, sent with Content-Length, or NULL
 *
 * Return: descriptor, closed by rig_read().
 */
int rig_request(const char *method, const char *host, const char *path,
    const char *fields, const char *body);

/** rig_call() - rig_request() and rig_read() */
struct reply rig_call(const char *method, const char *host, const char *path,
    const char *fields, const char *body);

/**
 * rig_request_count() - number of complete requests that reached @path upstream
 */
int rig_request_count(const char *path);

/**
 * rig_read_counter() - value of a counter of @path; tests/standin/rawup.c lists
 * them
 */
int rig_read_counter(const char *counter, const char *path);

/**
 * rig_wait_counter() - wait until a counter of @path is 1
 *
 * The test fails after 10 s, or when the counter is higher.
 */
void rig_wait_counter(const char *counter, const char *path);

/**
 * rig_wait_closed() - wait until the worker closes the connection of @path
 *
 * The test fails after 10 s, or when several were closed.
 */
void rig_wait_closed(const char *path);

/**
 * rig_wait_received() - wait until the stand-in has received one request for
 * @path
 *
 * The test fails after 10 s, or when it has received several.
 */
void rig_wait_received(const char *path);

/**
 * rig_finishes() - count the finish messages of an idempotency key
 * @out: set to the last one, if any
 *
 * Return: number of finish messages.
 */
int rig_finishes(const char *key, struct worker_msg_finish *out);

/**
 * rig_wait_finish() - wait for the only finish message of a key
 *
 * The test fails after 10 s, or when there are several.
 */
struct worker_msg_finish rig_wait_finish(const char *key);

/**
 * rig_fill_retry_budget() - make successful calls to @host until its retry
 * budget allows at least one retry
 */
void rig_fill_retry_budget(const char *host);

/** rig_body_contains() - whether the body contains @text */
bool rig_body_contains(const struct reply *r, const char *text);

/** rig_expect_error() - check status, kind and outcome, and free the reply */
void rig_expect_error(
    struct reply r, unsigned status, const char *kind, const char *outcome);

/** rig_expect_body() - check for a complete 200 with @body; free the reply */
void rig_expect_body(struct reply r, const char *body);

#endif
