/*
 * peer_links_internal - declarations shared by the source files of peer_links.
 *
 * peer_links.c manages the set of connections and implements the protocol,
 * peer_links_conn.c opens, writes to and closes a single connection.
 *
 *	struct link_conn *c = link_new_conn(l, fd, NULL);
 *	link_queue(l, c, PEER_MSG_HELLO, body);
 *	link_close_conn(l, c);
 */
#ifndef PEER_PEER_LINKS_INTERNAL_H
#define PEER_PEER_LINKS_INTERNAL_H

#include "peer/frame.h"
#include "peer/peer_links.h"

/** enum conn_state - state of a connection */
enum conn_state {
	CONN_CONNECTING,
	CONN_HELLO, /* waiting for the peer's HELLO */
	CONN_UP,
	CONN_CLOSED, /* freed at the end of link_run() */
};

struct link_conn;

/**
 * struct link_peer - an address to stay connected to
 * @conn: outgoing connection to the address
 * @incoming: connection that the process at this address opened to us; while it
 *	exists, no outgoing connection is made
 * @retry_ms: time of the next connection attempt
 * @backoff_ms: upper bound of the wait after the next failure
 */
struct link_peer {
	char addr[LINK_ADDR_MAX + 1];
	struct sockaddr_in sin;
	struct link_conn *conn;
	struct link_conn *incoming;
	int64_t retry_ms;
	int32_t backoff_ms;
};

/**
 * struct link_conn - one TCP connection
 * @peer: NULL for an incoming connection
 * @want_write: epoll reports when the socket is writable
 * @id: identity of the peer, known once its HELLO has arrived
 * @addr: address from the HELLO of an incoming connection
 * @out_off: number of bytes at the start of @out that are already written
 * @deadline_ms: time at which the connection is closed because HELLO is missing
 *	or because it is a duplicate; 0 for none
 */
struct link_conn {
	int fd;
	enum conn_state state;
	struct link_peer *peer;
	bool outgoing;
	bool want_write;
	struct vm_id id;
	char addr[LINK_ADDR_MAX + 1];
	struct frame_dec in;
	struct bbuf out;
	size_t out_off;
	int64_t deadline_ms;
};

/** struct peer_link - a connected process; @in or @out may be NULL */
struct peer_link {
	struct vm_id id;
	struct link_conn *in;
	struct link_conn *out;
};

/** link_parse_addr() - parse "ip:port"; Return: false when malformed */
bool link_parse_addr(struct bstr addr, struct sockaddr_in *sin);

/** link_preferred() - the connection on which both sides send */
struct link_conn *link_preferred(
    const struct peer_links *l, const struct peer_link *k);

/** link_schedule_retry() - schedule a reconnect with backoff and jitter */
void link_schedule_retry(struct peer_links *l, struct link_peer *p);

/** link_new_conn() - take ownership of @fd; @peer is NULL when incoming */
struct link_conn *link_new_conn(
    struct peer_links *l, int fd, struct link_peer *peer);

/** link_close_conn() - close the socket and detach the connection */
void link_close_conn(struct peer_links *l, struct link_conn *c);

/** link_free_conn() - free a connection; GPtrArray element free function */
void link_free_conn(void *arg);

/** link_flush() - write as much queued output as the socket accepts */
void link_flush(struct peer_links *l, struct link_conn *c);

/** link_queue() - queue a message; false when full or @body is too large */
bool link_queue(struct peer_links *l, struct link_conn *c,
    enum peer_msg_type type, struct bstr body);

#endif
