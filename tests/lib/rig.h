/*
 * rig - one real worker between a raw client and tests/standin/rawup,
 * with a fake control thread.
 *
 * Hosts: "a" has the stand-in, "dead" refuses connections, "hole" does not
 * complete them, "two" has a dead upstream and the stand-in, "both" has the
 * stand-in twice, "full" is at its limit while rig.full is set, "none" has no
 * upstream. Routes: /i, /t and /l are idempotent, / is not; /t and /u have a
 * timeout of SHORT_MS; /l has a goal of GOAL_MS, which the slow behaviours of
 * the stand-in miss.
 *
 * The fake control thread decides a claim by the first word of its key.
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

#include "front/worker_msg.h"
#include "front/shared_state.h"
#include "front/worker.h"
#include "sys/clocks.h"

#define GOAL_MS 10
#define SHORT_MS 300
#define LONG_MS 10000
#define MAX_FINISHES 256
#define CLIENT_TIMEOUT_S 20

/** struct rig - everything that a test program shares */
struct rig {
	struct shared_state shared;
	struct metrics metrics;
	struct worker *w;
	pthread_t worker;
	pthread_t control_thread;
	struct message_queue control;
	_Atomic bool stop;
	_Atomic bool full;
	_Atomic bool dead_first; /* for "two" */
	_Atomic bool hold; /* claims with the word "hold" are not answered */
	_Atomic int64_t grant_us; /* how long a grant is valid, 0 for long */
	_Atomic int states;
	_Atomic uint64_t fingerprint;
	pthread_mutex_t lock;
	struct worker_msg_finish finishes[MAX_FINISHES];
	int n_finishes;
	struct rt_tally *tally;
	pid_t upstream;
	uint16_t up_port;
	uint16_t port;
	int fds[16]; /* kept open until the end */
	int n_fds;
};

/** rig - the only one of a test program */
extern struct rig rig;

/** struct reply - what a client read until the connection was closed */
struct reply {
	char *p;
	size_t n;
	unsigned status;
	const char *body;
	size_t body_n;
	bool complete;
	size_t rest; /* bytes after the first response */
};

/**
 * rig_bind() - bind a loopback socket
 * @backlog: as for listen(), below 0 not to listen
 * @port: set to the port from the kernel
 * @option: option of SOL_SOCKET to set, or 0
 *
 * Return: descriptor, closed by rig_teardown().
 */
int rig_bind(int backlog, uint16_t *port, int option);

/** rig_connect_to() - connect to a loopback port; @type: flags of socket() */
int rig_connect_to(uint16_t port, int type);

/**
 * rig_pick() - as rt_pick(), but "full" may be at its limit and "two" start
 * with the dead upstream
 */
int rig_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng);

/** rig_run_worker() - thread that runs the worker @arg */
void *rig_run_worker(void *arg);

/** rig_setup() - cmocka group setup: start everything */
int rig_setup(void **state);

/** rig_teardown() - cmocka group teardown: stop everything */
int rig_teardown(void **state);

/** rig_open() - connect to the worker and send @n bytes */
int rig_open(const char *text, size_t n);

/**
 * rig_field() - value of a response field, "" when it is missing; valid until
 * the next call on this thread
 */
const char *rig_field(const struct reply *r, const char *name);

/** rig_read() - read until the connection is closed; free with rig_done() */
struct reply rig_read(int fd, bool to_head);

/** rig_done() - free a reply */
void rig_done(struct reply *r);

/** rig_raw() - send bytes, read until the connection is closed */
struct reply rig_raw(const char *text);

/** rig_request() - open a call whose connection closes at its end */
int rig_request(const char *method, const char *host, const char *path,
    const char *fields, const char *body);

/** rig_call() - one call from start to end */
struct reply rig_call(const char *method, const char *host, const char *path,
    const char *fields, const char *body);

/** rig_count() - complete requests that the stand-in received for a path */
int rig_count(const char *path);

/** rig_wait_gone() - until the stand-in saw the connection of a path close */
void rig_wait_gone(const char *path);

/** rig_wait_count() - until the stand-in has received a request */
void rig_wait_count(const char *path);

/** rig_finishes() - number of finishes of a key, and the last one */
int rig_finishes(const char *key, struct worker_msg_finish *out);

/** rig_wait_finish() - the only finish of a key */
struct worker_msg_finish rig_wait_finish(const char *key);

/** rig_earn() - successful calls to @host, for at least one retry */
void rig_earn(const char *host);

/** rig_has() - whether the body holds a text */
bool rig_has(const struct reply *r, const char *text);

/** rig_expect_error() - check status, kind and outcome; frees the reply */
void rig_expect_error(
    struct reply r, unsigned status, const char *kind, const char *outcome);

/** rig_expect_body() - check a complete 200; frees the reply */
void rig_expect_body(struct reply r, const char *body);

#endif
