#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/frame.h"
#include "peer/peer_links.h"
#include "sys/clocks.h"

/* Maximum rounds of each wait, reached only when the test hangs. */
#define WAIT_ROUNDS 20000
#define MAX_NODES 3

struct node {
	struct peer_links l;
	struct vm_id id;
	uint32_t ups;
	uint32_t downs;
	uint32_t messages;
	uint32_t drops;
	size_t last_n;
};

static void
on_message(void *arg, enum peer_msg_type type, const struct vm_id *from,
    struct bstr body)
{
	struct node *n = arg;

	assert_int_equal(type, PEER_MSG_GOSSIP);
	assert_false(vmid_eq(from, &n->id));
	n->messages++;
	n->last_n = body.n;
}

static void
on_up(void *arg, const struct vm_id *id)
{
	struct node *n = arg;

	(void)id;
	n->ups++;
}

static void
on_down(void *arg, const struct vm_id *id)
{
	struct node *n = arg;

	(void)id;
	n->downs++;
}

static void
on_drop(void *arg, enum peer_msg_type type, const struct vm_id *to)
{
	struct node *n = arg;

	(void)to;
	assert_int_equal(type, PEER_MSG_GOSSIP);
	n->drops++;
}

static const struct link_ops ops = {on_message, on_up, on_down, on_drop};

static void
start(struct node *n, const char *id, const char *listen)
{
	*n = (struct node){.id = vmid_from(bstr_from(id))};
	assert_int_equal(link_init(&n->l,
			     &(struct link_desc){.listen = listen,
				 .self = n->id,
				 .ops = &ops,
				 .arg = n,
				 .queue_bytes = 100000}),
	    0);
}

static void
run_all(struct node *nodes, int count, int64_t now_ms)
{
	struct pollfd fds[MAX_NODES];

	for (int i = 0; i < count; i++) {
		fds[i] = (struct pollfd){link_fd(&nodes[i].l), POLLIN, 0};
	}
	poll(fds, (nfds_t)count, 1);
	for (int i = 0; i < count; i++)
		link_run(&nodes[i].l, now_ms);
}

/* Runs the nodes with virtual time, 1 ms per round, until @cond holds. */
#define RUN_UNTIL(nodes, count, now, cond)                                     \
	do {                                                                   \
		int rounds_ = 0;                                               \
		while (!(cond) && rounds_++ < WAIT_ROUNDS)                     \
			run_all(nodes, count, (now)++);                        \
		assert_true(cond);                                             \
	} while (0)

/* Guards against lost messages, repeated on_up and duplicate connections. */
static void
test_pair(void **state)
{
	struct node n[2];
	int64_t now = 1;

	(void)state;
	start(&n[0], "a@1", "127.0.0.1:0");
	start(&n[1], "b@1", "127.0.0.1:0");
	assert_true(link_add_peer(&n[0].l, link_addr(&n[1].l)));
	assert_true(link_add_peer(&n[1].l, link_addr(&n[0].l)));
	assert_false(link_add_peer(&n[0].l, link_addr(&n[0].l)));
	assert_false(link_add_peer(&n[0].l, BSTR("nowhere")));
	RUN_UNTIL(n, 2, now, n[0].ups == 1 && n[1].ups == 1);
	assert_true(
	    link_send(&n[0].l, &n[1].id, PEER_MSG_GOSSIP, BSTR("to b")));
	assert_int_equal(
	    link_broadcast(&n[1].l, PEER_MSG_GOSSIP, BSTR("all")), 1);
	assert_true(link_send_addr(
	    &n[1].l, link_addr(&n[0].l), PEER_MSG_GOSSIP, BSTR("to a")));
	RUN_UNTIL(n, 2, now, n[0].messages == 2 && n[1].messages == 1);
	/* The pair stays connected long after the duplicate was closed. */
	for (int i = 0; i < 100; i++)
		run_all(n, 2, now += LINK_DUPLICATE_LINGER_MS / 10);
	assert_int_equal(n[0].l.conns->len, 1);
	assert_int_equal(n[1].l.conns->len, 1);
	assert_int_equal(n[0].downs + n[1].downs, 0);
	assert_true(link_stats(&n[1].l)->connects <= 1);
	assert_true(link_send(&n[0].l, &n[1].id, PEER_MSG_GOSSIP, BSTR("b")));
	assert_true(link_send(&n[1].l, &n[0].id, PEER_MSG_GOSSIP, BSTR("a")));
	RUN_UNTIL(n, 2, now, n[0].messages == 3 && n[1].messages == 2);
	assert_true(link_stats(&n[0].l)->bytes_in > 0);
	link_finish(&n[0].l);
	link_finish(&n[1].l);
}

/*
 * Guards against repeated outgoing connections to a peer that is already
 * connected when its address is added.
 */
static void
test_add_after_incoming(void **state)
{
	struct node n[2];
	int64_t now = 1;

	(void)state;
	start(&n[0], "a@1", "127.0.0.1:0");
	start(&n[1], "b@1", "127.0.0.1:0");
	link_add_peer(&n[0].l, link_addr(&n[1].l));
	RUN_UNTIL(n, 2, now, n[0].ups == 1 && n[1].ups == 1);
	link_add_peer(&n[1].l, link_addr(&n[0].l));
	for (int i = 0; i < 100; i++)
		run_all(n, 2, now += LINK_DUPLICATE_LINGER_MS / 10);
	assert_int_equal(link_stats(&n[1].l)->connects, 0);
	link_finish(&n[0].l);
	link_finish(&n[1].l);
}

static int
raw_connect(const struct node *n)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	struct bstr a = link_addr(&n->l);
	const char *colon = memchr(a.p, ':', a.n);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sin.sin_port = htons((uint16_t)atoi(colon + 1));
	assert_int_equal(connect(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	return (fd);
}

static void
raw_send(int fd, enum peer_msg_type type, const char *id)
{
	struct vm_id from = vmid_from(bstr_from(id));
	struct bbuf b;

	bbuf_init(&b);
	frame_encode(&b, type, &from, BSTR("127.0.0.1:1"));
	assert_int_equal(send(fd, b.p, b.n, MSG_NOSIGNAL), b.n);
	bbuf_finish(&b);
}

/*
 * Guards against losing the peer when the connection in use breaks while the
 * other one is about to be closed as a duplicate.
 */
static void
test_break_during_linger(void **state)
{
	struct node n;
	int64_t now = 1;
	int listener, in, accepted;
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);
	char addr[LINK_ADDR_MAX + 1];

	(void)state;
	start(&n, "b@1", "127.0.0.1:0");
	listener = socket(AF_INET, SOCK_STREAM, 0);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(listener, (struct sockaddr *)&sin, len), 0);
	assert_int_equal(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&sin, &len);
	snprintf(addr, sizeof(addr), "127.0.0.1:%u", ntohs(sin.sin_port));
	link_add_peer(&n.l, bstr_from(addr));
	RUN_UNTIL(&n, 1, now, n.l.conns->len == 1);
	accepted = accept(listener, NULL, NULL);
	raw_send(accepted, PEER_MSG_HELLO, "a@1");
	in = raw_connect(&n);
	raw_send(in, PEER_MSG_HELLO, "a@1");
	RUN_UNTIL(&n, 1, now, n.ups == 1 && n.l.conns->len == 2);
	for (int i = 0; i < 50; i++)
		run_all(&n, 1, now++);
	close(in);
	RUN_UNTIL(&n, 1, now, n.l.conns->len == 1);
	for (int i = 0; i < 50; i++)
		run_all(&n, 1, now += LINK_DUPLICATE_LINGER_MS / 10);
	assert_int_equal(n.downs, 0);
	assert_int_equal(n.l.conns->len, 1);
	close(accepted);
	close(listener);
	link_finish(&n.l);
}

/* Guards against not reconnecting to a restarted peer. */
static void
test_restart(void **state)
{
	struct node n[2];
	char addr[LINK_ADDR_MAX + 1];
	int64_t now = 1;

	(void)state;
	start(&n[0], "a@1", "127.0.0.1:0");
	start(&n[1], "b@1", "127.0.0.1:0");
	snprintf(addr, sizeof(addr), "%.*s", BSTR_ARG(link_addr(&n[1].l)));
	link_add_peer(&n[0].l, bstr_from(addr));
	RUN_UNTIL(n, 2, now, n[0].ups == 1 && n[1].ups == 1);
	link_finish(&n[1].l);
	RUN_UNTIL(n, 1, now, n[0].downs == 1);
	start(&n[1], "b@2", addr);
	RUN_UNTIL(n, 2, now, n[0].ups == 2);
	assert_true(link_is_up(&n[0].l, &n[1].id));
	link_remove_peer(&n[0].l, bstr_from(addr));
	RUN_UNTIL(n, 2, now, n[0].downs == 2 && n[1].downs == 1);
	link_finish(&n[0].l);
	link_finish(&n[1].l);
}

/*
 * Guards against keeping a connection that sends no HELLO, malformed data, our
 * own identity or a different sender than in its HELLO.
 */
static void
test_bad_peers(void **state)
{
	struct node n;
	int64_t now = 1;
	int fd;

	(void)state;
	start(&n, "a@1", "127.0.0.1:0");
	fd = raw_connect(&n);
	raw_send(fd, PEER_MSG_GOSSIP, "x@1"); /* before HELLO */
	RUN_UNTIL(&n, 1, now, link_stats(&n.l)->bad == 1);
	close(fd);
	fd = raw_connect(&n);
	raw_send(fd, PEER_MSG_HELLO, "a@1"); /* our own identity */
	RUN_UNTIL(&n, 1, now, link_stats(&n.l)->bad == 2);
	close(fd);
	fd = raw_connect(&n);
	assert_int_equal(send(fd, "GET / HTTP/1.1\r\n", 16, 0), 16);
	RUN_UNTIL(&n, 1, now, link_stats(&n.l)->bad == 3);
	close(fd);
	fd = raw_connect(&n); /* silent until the HELLO deadline */
	RUN_UNTIL(&n, 1, now, n.l.conns->len == 1);
	now += 3000;
	RUN_UNTIL(&n, 1, now, n.l.conns->len == 0);
	close(fd);
	fd = raw_connect(&n);
	raw_send(fd, PEER_MSG_HELLO, "x@1");
	raw_send(fd, PEER_MSG_GOSSIP, "y@1"); /* another sender than in HELLO */
	RUN_UNTIL(&n, 1, now, link_stats(&n.l)->bad == 4);
	assert_int_equal(n.ups, 1);
	assert_int_equal(n.downs, 1);
	assert_int_equal(n.messages, 0);
	close(fd);
	link_finish(&n.l);
}

/* Guards against accepting an address that is not on the allow list. */
static void
test_allow_list(void **state)
{
	const char *allow[] = {"127.0.0.9"};
	struct node n = {.id = vmid_from(BSTR("a@1"))};
	int64_t now = 1;
	int fd;

	(void)state;
	assert_int_equal(link_init(&n.l,
			     &(struct link_desc){.listen = "127.0.0.1:0",
				 .self = n.id,
				 .allow = allow,
				 .n_allow = 1,
				 .ops = &ops,
				 .arg = &n}),
	    0);
	fd = raw_connect(&n);
	RUN_UNTIL(&n, 1, now, link_stats(&n.l)->refused == 1);
	assert_int_equal(n.l.conns->len, 0);
	close(fd);
	link_finish(&n.l);
}

/*
 * Guards against a peer that does not read: it must not block the others or
 * grow the send queue without limit.
 */
static void
test_stuck_peer(void **state)
{
	static char big[50000];
	struct vm_id x = vmid_from(BSTR("x@1"));
	struct node n[2];
	int64_t now = 1;
	int fd;

	(void)state;
	start(&n[0], "a@1", "127.0.0.1:0");
	start(&n[1], "b@1", "127.0.0.1:0");
	link_add_peer(&n[1].l, link_addr(&n[0].l));
	fd = raw_connect(&n[0]); /* this peer never reads */
	raw_send(fd, PEER_MSG_HELLO, "x@1");
	RUN_UNTIL(n, 2, now, n[0].ups == 2);
	for (int i = 0; i < 1000; i++) {
		link_send(&n[0].l, &x, PEER_MSG_GOSSIP,
		    (struct bstr){big, sizeof(big)});
	}
	assert_true(n[0].drops > 0);
	assert_int_equal(n[0].drops, link_stats(&n[0].l)->dropped);
	assert_true(link_send(&n[0].l, &n[1].id, PEER_MSG_GOSSIP, BSTR("hi")));
	RUN_UNTIL(n, 2, now, n[1].messages == 1);
	close(fd);
	RUN_UNTIL(n, 2, now, n[0].downs == 1);
	link_finish(&n[0].l);
	link_finish(&n[1].l);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_pair),
	    cmocka_unit_test(test_add_after_incoming),
	    cmocka_unit_test(test_break_during_linger),
	    cmocka_unit_test(test_restart),
	    cmocka_unit_test(test_bad_peers),
	    cmocka_unit_test(test_allow_list),
	    cmocka_unit_test(test_stuck_peer),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
