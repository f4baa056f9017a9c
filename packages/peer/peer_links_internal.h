/*
 * peer_links_internal - types and functions shared by the source files of lnk.
 *
 * peer_links.c keeps the connections and talks the protocol, peer_links_conn.c
 * opens, writes and closes a single one.
 */
#ifndef PEER_PEER_LINKS_INTERNAL_H
#define PEER_PEER_LINKS_INTERNAL_H

#include "peer/frame.h"
#include "peer/peer_links.h"

/** enum conn_state - life of a connection */
enum conn_state {
	CONN_CONNECTING,
	CONN_HELLO, /* waits for the peer's HELLO */
	CONN_UP,
	CONN_CLOSED, /* freed at the end of link_run() */
};

struct link_conn;

/** struct link_peer - a known address */
struct link_peer {
	char addr[LINK_ADDR_MAX + 1];
	struct sockaddr_in sin;
	struct link_conn *conn;    /* own connection */
	struct link_conn *covered; /* incoming connection from this address */
	int64_t retry_ms;
	int32_t backoff_ms;
};

/** struct link_conn - one TCP connection */
struct link_conn {
	int fd;
	/** enum conn_state - life of a connection */
	enum conn_state state;
	struct link_peer *peer; /* NULL for an incoming connection */
	bool outgoing;
	bool want_write;
	struct vm_id id;
	char addr[LINK_ADDR_MAX + 1]; /* from HELLO, of an incoming one */
	struct frame_dec in;
	struct bbuf out;
	size_t out_off;
	int64_t deadline_ms; /* for HELLO, or of a duplicate; 0 for none */
};

/** struct peer_link - a connected process; one connection in each direction */
struct peer_link {
	struct vm_id id;
	struct link_conn *in;
	struct link_conn *out;
};

/** link_parse_addr() - Return: false when @addr is not "ip:port" */
bool link_parse_addr(struct bstr addr, struct sockaddr_in *sin);

/** link_preferred() - connection on which both sides send */
struct link_conn *link_preferred(
    const struct peer_links *l, const struct peer_link *k);

/** link_schedule_retry() - next attempt after a random part of the backoff */
void link_schedule_retry(struct peer_links *l, struct link_peer *p);

/** link_new_conn() - take over @fd; @peer is NULL for an incoming one */
struct link_conn *link_new_conn(
    struct peer_links *l, int fd, struct link_peer *peer);

/** link_close_conn() - take the connection out of service */
void link_close_conn(struct peer_links *l, struct link_conn *c);

/** link_free_conn() - free; a destroy function of GPtrArray */
void link_free_conn(void *arg);

/** link_flush() - write what the socket takes */
void link_flush(struct peer_links *l, struct link_conn *c);

/** link_queue() - Return: false when the queue is full or @body too large */
bool link_queue(struct peer_links *l, struct link_conn *c,
    enum peer_msg_type type, struct bstr body);

#endif
