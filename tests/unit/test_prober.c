/*
 * Probes of upstreams that send bytes without end. Guards against a prober that
 * reads them until its timeout: another system kept them and ran out of memory.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "control/prober.h"

/* Long enough that a probe without a limit on bytes reads far more. */
#define PROBE_TIMEOUT_MS 3000
#define RESULT_LIMIT_MS 20000
/* What the buffers of both sockets may take beside what is read. */
#define MAX_SENT (12L * 1024 * 1024)
#define MSG_TYPE 7

/**
 * struct endless - answer that never ends
 * @start: beginning of the answer
 * @unit: bytes that are repeated
 */
struct endless {
	const char *what, *start, *unit;
};

#define OK "HTTP/1.1 200 OK\r\n"

static const struct endless answers[] = {
    {"noise", "", "no HTTP at all"},
    {"fields", OK, "X-Field: value\r\n"},
    {"one field", OK "X-Field: ", "value"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body", OK "\r\n", "{\"state\":\"ready\"}"},
    {"chunks", OK "Transfer-Encoding: chunked\r\n\r\n", "4\r\ndata\r\n"},
    {"trailers", OK "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
	"X-Field: value\r\n"},
};
#define N_ANSWERS (sizeof(answers) / sizeof(*answers))

/** struct upstream - stand-in that serves one connection */
struct upstream {
	const struct endless *answer;
	int fd;
	uint16_t port;
	pthread_t thread;
	long sent;
};

static void *
serve(void *arg)
{
	struct upstream *u = arg;
	char block[4096];
	size_t n = 0, unit = strlen(u->answer->unit);
	int fd = accept(u->fd, NULL, NULL);

	while (n + unit <= sizeof(block)) {
		memcpy(block + n, u->answer->unit, unit);
		n += unit;
	}
	recv(fd, (char[4096]){0}, 4096, 0);
	send(fd, u->answer->start, strlen(u->answer->start), MSG_NOSIGNAL);
	while (send(fd, block, n, MSG_NOSIGNAL) == (ssize_t)n)
		u->sent += (long)n;
	close(fd);
	return (NULL);
}

static void
start_upstream(struct upstream *u, const struct endless *answer)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(sin);

	*u = (struct upstream){
	    .answer = answer, .fd = socket(AF_INET, SOCK_STREAM, 0)};
	assert_int_equal(bind(u->fd, (struct sockaddr *)&sin, len), 0);
	assert_int_equal(listen(u->fd, 1), 0);
	getsockname(u->fd, (struct sockaddr *)&sin, &len);
	u->port = ntohs(sin.sin_port);
	pthread_create(&u->thread, NULL, serve, u);
}

static struct prober_result *
wait_result(struct message_queue *q)
{
	struct pollfd p = {.fd = msgq_fd(q), .events = POLLIN};
	struct msgq_msg *m;

	assert_int_equal(poll(&p, 1, RESULT_LIMIT_MS), 1);
	msgq_clear_event(q);
	m = msgq_pop(q);
	assert_non_null(m);
	assert_int_equal(m->type, MSG_TYPE);
	return (prober_result_of(m));
}

static void
test_endless(void **state)
{
	struct message_queue results;
	struct prober *prober;

	(void)state;
	assert_int_equal(msgq_init(&results), 0);
	prober = prober_start(&(struct prober_desc){.control = &results,
	    .msg_type = MSG_TYPE,
	    .timeout_ms = PROBE_TIMEOUT_MS});
	for (size_t i = 0; i < N_ANSWERS; i++) {
		struct prober_result *r;
		struct upstream u;
		char addr[32];

		start_upstream(&u, &answers[i]);
		snprintf(addr, sizeof(addr), "127.0.0.1:%u", u.port);
		prober_probe(
		    prober, BSTR("u1"), (struct bstr){addr, strlen(addr)});
		r = wait_result(&results);
		pthread_join(u.thread, NULL);
		close(u.fd);
		print_message("%s: %ld KiB sent, result %d\n", answers[i].what,
		    u.sent / 1024, r->ok);
		assert_false(r->ok);
		assert_true(u.sent < MAX_SENT);
		prober_result_free(r);
	}
	prober_stop(prober);
	msgq_finish(&results);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_endless),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
