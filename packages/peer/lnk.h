/*
 * lnk - TCP connections to the other processes of the daemon.
 *
 * One thread owns a struct lnk, polls lnk_fd() and calls lnk_run() when it is
 * readable and on every tick. Each known address gets one outgoing connection,
 * which is made again with backoff. Both sides start with a HELLO; messages
 * flow after it. When two processes are connected in both directions, both use
 * the connection made by the process with the lower vmid, and the other process
 * closes its own connection after LNK_DUPLICATE_LINGER_MS.
 *
 * Delivery is not guaranteed: a message is lost when the connection breaks or
 * when the send queue is full (on_drop). Callbacks may call every function but
 * lnk_run() and lnk_finish(); on_drop may call none.
 *
 *	struct lnk l;
 *	if (lnk_init(&l, &(struct lnk_desc){.listen = "127.0.0.1:7100",
 *	    .self = id, .ops = &ops, .arg = arg}) != 0) ...
 *	lnk_add_peer(&l, BSTR("127.0.0.1:7101"));
 *	lnk_run(&l, now_ms);
 *	lnk_send(&l, &peer, PMSG_GOSSIP, body);
 *	lnk_finish(&l);
 */
#ifndef PEER_LNK_H
#define PEER_LNK_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "base/vm_id.h"
#include "peer/pmsg.h"

#define LNK_DUPLICATE_LINGER_MS 1000
#define LNK_ADDR_MAX 21

/**
 * struct lnk_ops - callbacks; on_drop may be NULL
 * @on_message: message of a connected peer; @body is valid during the call
 * @on_up: first connection to this process is usable
 * @on_down: last connection to this process is gone
 * @on_drop: a message was not queued because the send queue was full
 */
struct lnk_ops {
	void (*on_message)(void *arg, enum pmsg_type type,
	    const struct vm_id *from, struct bstr body);
	void (*on_up)(void *arg, const struct vm_id *id);
	void (*on_down)(void *arg, const struct vm_id *id);
	void (*on_drop)(void *arg, enum pmsg_type type, const struct vm_id *to);
};

/**
 * struct lnk_desc - settings; zero fields mean the default
 * @listen: "ip:port"; port 0 takes a free one
 * @advertise: "ip:port" announced to peers, default the listen address
 * @self: own identity
 * @allow: IPv4 addresses from which connections are accepted, copied; an empty
 * list means 127.0.0.1 only
 * @n_allow: their number
 * @ops: callbacks, not copied
 * @arg: first argument of the callbacks
 * @seed: of the reconnect jitter
 * @queue_bytes: limit of each send queue, default 1 MB
 * @connect_ms: limit for a connection attempt including HELLO, default 2,000
 * @backoff_min_ms: first wait before a reconnect, default 100
 * @backoff_max_ms: longest wait, default 5,000
 */
struct lnk_desc {
	const char *listen;
	const char *advertise;
	struct vm_id self;
	const char *const *allow;
	uint32_t n_allow;
	const struct lnk_ops *ops;
	void *arg;
	uint64_t seed;
	size_t queue_bytes;
	int32_t connect_ms;
	int32_t backoff_min_ms;
	int32_t backoff_max_ms;
};

/** struct lnk_stats - counters since lnk_init() */
struct lnk_stats {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t dropped;  /* send queue full */
	uint64_t refused;  /* not on the allow list, or too many */
	uint64_t bad;      /* closed for a frame or HELLO error */
	uint64_t connects; /* outgoing attempts */
};

/** struct lnk - all connections of the process; fields are private */
struct lnk {
	struct lnk_desc desc;
	struct lnk_stats stats;
	struct random rng;
	int epoll;
	int listener;
	char addr[LNK_ADDR_MAX + 1];
	in_addr_t *allow;
	GPtrArray *peers;  /* struct lnk_peer */
	GPtrArray *conns;  /* struct lnk_conn */
	GHashTable *links; /* struct peer_link by its vmid */
	int64_t now_ms;
	uint32_t n_incoming;
};

/** lnk_init() - listen; Return: 0, or -1 when the address cannot be used */
int lnk_init(struct lnk *l, const struct lnk_desc *desc);

/** lnk_finish() - close everything, without callbacks */
void lnk_finish(struct lnk *l);

/** lnk_fd() - descriptor that is readable while lnk_run() has work */
int lnk_fd(const struct lnk *l);

/** lnk_addr() - address in use, with the port that the kernel chose */
struct bstr lnk_addr(const struct lnk *l);

/** lnk_run() - handle input, output, reconnects and timeouts */
void lnk_run(struct lnk *l, int64_t now_ms);

/**
 * lnk_add_peer() - keep a connection to "ip:port"
 *
 * Return: false when the address is malformed or our own. A known address is
 * not added again.
 */
bool lnk_add_peer(struct lnk *l, struct bstr addr);

/** lnk_remove_peer() - stop connecting to @addr and close that connection */
void lnk_remove_peer(struct lnk *l, struct bstr addr);

/**
 * lnk_send() - queue a message
 *
 * Return: false when the process is not connected, its queue is full or the
 * body is too large.
 */
bool lnk_send(struct lnk *l, const struct vm_id *to, enum pmsg_type type,
    struct bstr body);

/** lnk_send_addr() - like lnk_send() to whichever process has the address */
bool lnk_send_addr(
    struct lnk *l, struct bstr addr, enum pmsg_type type, struct bstr body);

/** lnk_broadcast() - send to all connected; Return: number queued */
uint32_t lnk_broadcast(struct lnk *l, enum pmsg_type type, struct bstr body);

/** lnk_is_up() - whether a connection to @id is usable */
bool lnk_is_up(const struct lnk *l, const struct vm_id *id);

/** lnk_stats() - counters */
const struct lnk_stats *lnk_stats(const struct lnk *l);

#endif
