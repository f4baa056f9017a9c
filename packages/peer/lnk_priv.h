/*
 * lnk_priv - types and functions shared by the source files of lnk.
 *
 * lnk.c keeps the connections and talks the protocol, lnk_conn.c opens, writes
 * and closes a single one.
 */
#ifndef PEER_LNK_PRIV_H
#define PEER_LNK_PRIV_H

#include "peer/frm.h"
#include "peer/lnk.h"

/** enum conn_state - life of a connection */
enum conn_state {
	CONN_CONNECTING,
	CONN_HELLO, /* waits for the peer's HELLO */
	CONN_UP,
	CONN_CLOSED, /* freed at the end of lnk_run() */
};

struct lnk_conn;

/** struct lnk_peer - a known address */
struct lnk_peer {
	char addr[LNK_ADDR_MAX + 1];
	struct sockaddr_in sin;
	struct lnk_conn *conn;    /* own connection */
	struct lnk_conn *covered; /* incoming connection from this address */
	int64_t retry_ms;
	int32_t backoff_ms;
};

/** struct lnk_conn - one TCP connection */
struct lnk_conn {
	int fd;
	/** enum conn_state - life of a connection */
	enum conn_state state;
	struct lnk_peer *peer; /* NULL for an incoming connection */
	bool outgoing;
	bool want_write;
	struct vm_id id;
	char addr[LNK_ADDR_MAX + 1]; /* from HELLO, of an incoming one */
	struct frm_dec in;
	struct bbuf out;
	size_t out_off;
	int64_t deadline_ms; /* for HELLO, or of a duplicate; 0 for none */
};

/** struct peer_link - a connected process; one connection in each direction */
struct peer_link {
	struct vm_id id;
	struct lnk_conn *in;
	struct lnk_conn *out;
};

/** lnk_parse_addr() - Return: false when @addr is not "ip:port" */
bool lnk_parse_addr(struct bstr addr, struct sockaddr_in *sin);

/** lnk_preferred() - connection on which both sides send */
struct lnk_conn *lnk_preferred(const struct lnk *l, const struct peer_link *k);

/** lnk_schedule_retry() - next attempt after a random part of the backoff */
void lnk_schedule_retry(struct lnk *l, struct lnk_peer *p);

/** lnk_new_conn() - take over @fd; @peer is NULL for an incoming one */
struct lnk_conn *lnk_new_conn(struct lnk *l, int fd, struct lnk_peer *peer);

/** lnk_close_conn() - take the connection out of service */
void lnk_close_conn(struct lnk *l, struct lnk_conn *c);

/** lnk_free_conn() - free; a destroy function of GPtrArray */
void lnk_free_conn(void *arg);

/** lnk_flush() - write what the socket takes */
void lnk_flush(struct lnk *l, struct lnk_conn *c);

/** lnk_queue() - Return: false when the queue is full or @body too large */
bool lnk_queue(
    struct lnk *l, struct lnk_conn *c, enum pmsg_type type, struct bstr body);

#endif
