/*
 * peer_links - TCP connections to the other daemon processes (prefix link_).
 *
 * One thread owns a struct peer_links, polls link_fd() and calls link_run()
 * when it is readable and on every tick. Each known address gets one outgoing
 * connection, which is re-established with backoff. Each side first sends a
 * HELLO, and messages are accepted once the peer's HELLO has arrived. When two
 * processes are connected in both directions, both send on the connection that
 * the process with the lower VM id opened. The other process closes its own
 * connection after LINK_DUPLICATE_LINGER_MS.
 *
 * Delivery is not guaranteed: a message is lost when the connection breaks or
 * when the send queue is full (on_drop). Callbacks may call all functions
 * except link_run() and link_finish(); on_drop must not call any.
 *
 *	struct peer_links l;
 *	if (link_init(&l, &(struct link_desc){.listen = "127.0.0.1:7100",
 *	    .self = id, .ops = &ops, .arg = arg}) != 0) ...
 *	link_add_peer(&l, BSTR("127.0.0.1:7101"));
 *	link_run(&l, now_ms);
 *	link_send(&l, &peer, PEER_MSG_GOSSIP, body);
 *	link_finish(&l);
 */
#ifndef PEER_PEER_LINKS_H
#define PEER_PEER_LINKS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "base/vm_id.h"
#include "peer/message_types.h"

#define LINK_DUPLICATE_LINGER_MS 1000
/* Length of the longest "ip:port". */
#define LINK_ADDR_MAX 21

/**
 * struct link_ops - callbacks; on_drop may be NULL
 * @on_message: a connected peer sent a message; @body is valid during the call
 * @on_up: the first connection to the process @id became usable
 * @on_down: the last connection to the process @id was closed
 * @on_drop: a message was dropped because the send queue was full
 */
struct link_ops {
	void (*on_message)(void *arg, enum peer_msg_type type,
	    const struct vm_id *from, struct bstr body);
	void (*on_up)(void *arg, const struct vm_id *id);
	void (*on_down)(void *arg, const struct vm_id *id);
	void (*on_drop)(
	    void *arg, enum peer_msg_type type, const struct vm_id *to);
};

/**
 * struct link_desc - settings; a zero field selects the default
 * @listen: "ip:port" to listen on; with port 0 the kernel selects a free port
 * @advertise: "ip:port" sent to peers in HELLO, default the listen address
 * @self: identity of this process
 * @allow: IPv4 addresses from which connections are accepted, copied; an empty
 *	list allows only 127.0.0.1
 * @n_allow: number of addresses in @allow
 * @ops: callbacks, not copied
 * @arg: first argument of the callbacks
 * @seed: seed of the reconnect jitter
 * @queue_bytes: limit of each send queue, default 1 MiB; an empty queue accepts
 *	a larger message too
 * @connect_ms: timeout of a connection attempt including HELLO, default 2,000
 * @backoff_min_ms: initial reconnect backoff, default 100
 * @backoff_max_ms: maximum reconnect backoff, default 5,000
 */
struct link_desc {
	const char *listen;
	const char *advertise;
	struct vm_id self;
	const char *const *allow;
	uint32_t n_allow;
	const struct link_ops *ops;
	void *arg;
	uint64_t seed;
	size_t queue_bytes;
	int32_t connect_ms;
	int32_t backoff_min_ms;
	int32_t backoff_max_ms;
};

/** struct link_stats - counters since link_init() */
struct link_stats {
	uint64_t bytes_in;
	uint64_t bytes_out;
	uint64_t messages_in;
	uint64_t messages_out;
	uint64_t dropped;  /* messages dropped: send queue full */
	uint64_t refused;  /* incoming: not allowed or too many */
	uint64_t bad;      /* closed after a protocol error */
	uint64_t connects; /* outgoing connection attempts */
};

/** struct peer_links - all connections of the process; fields are private */
struct peer_links {
	struct link_desc desc;
	struct link_stats stats;
	struct random rng;
	int epoll;
	int listener;
	char addr[LINK_ADDR_MAX + 1];
	in_addr_t *allow;
	GPtrArray *peers;  /* struct link_peer */
	GPtrArray *conns;  /* struct link_conn */
	GHashTable *links; /* struct peer_link by its VM id */
	int64_t now_ms;
	uint32_t n_incoming;
};

/**
 * link_init() - start listening
 *
 * Return: 0, or -1 when the listen address cannot be used or an entry of the
 * allow list is not an IPv4 address.
 */
int link_init(struct peer_links *l, const struct link_desc *desc);

/** link_finish() - close all connections without calling callbacks */
void link_finish(struct peer_links *l);

/** link_fd() - descriptor that is readable while link_run() has work */
int link_fd(const struct peer_links *l);

/** link_addr() - address sent to peers, with the actual port */
struct bstr link_addr(const struct peer_links *l);

/** link_run() - process socket events, reconnects and timeouts */
void link_run(struct peer_links *l, int64_t now_ms);

/**
 * link_add_peer() - maintain a connection to the address "ip:port"
 *
 * Return: false when the address is malformed or that of this process. Adding a
 * known address again has no effect and returns true.
 */
bool link_add_peer(struct peer_links *l, struct bstr addr);

/** link_remove_peer() - stop connecting to @addr and close that connection */
void link_remove_peer(struct peer_links *l, struct bstr addr);

/**
 * link_send() - queue a message
 *
 * Return: false when the process is not connected, its queue is full or the
 * body is too large. True does not mean that the message arrives.
 */
bool link_send(struct peer_links *l, const struct vm_id *to,
    enum peer_msg_type type, struct bstr body);

/** link_send_addr() - like link_send(), to the process at address @addr */
bool link_send_addr(struct peer_links *l, struct bstr addr,
    enum peer_msg_type type, struct bstr body);

/** link_broadcast() - send to all connected processes; Return: number queued */
uint32_t link_broadcast(
    struct peer_links *l, enum peer_msg_type type, struct bstr body);

/** link_is_up() - whether a connection to @id is usable */
bool link_is_up(const struct peer_links *l, const struct vm_id *id);

/** link_stats() - counters since link_init() */
const struct link_stats *link_stats(const struct peer_links *l);

#endif
