/*
 * upstream_socket - sockets of kept connections to upstreams.
 *
 * libcurl 7.88 reuses a kept connection on which bytes wait to be read, and
 * would take them for the answer to the next request. The pre-request callback
 * learns only the addresses of a connection; this module finds its socket.
 *
 *	upstream_socket_init(&s);
 *	upstream_socket_is_clean(&s, ip, remote, local);      (pre-request
 *	    callback)
 *	upstream_socket_closed(&s, fd);                       (close socket
 *	    callback)
 *	upstream_socket_finish(&s);
 */
#ifndef FRONT_UPSTREAM_SOCKET_H
#define FRONT_UPSTREAM_SOCKET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct upstream_socket - sockets on caller-owned memory
 * @by_pair: descriptor by remote address, remote port and local port
 * @by_fd: the same keys by descriptor
 */
struct upstream_socket {
	GHashTable *by_pair;
	GHashTable *by_fd;
};

/** upstream_socket_init() - no sockets */
void upstream_socket_init(struct upstream_socket *s);

/** upstream_socket_finish() - free; the sockets are not closed */
void upstream_socket_finish(struct upstream_socket *s);

/**
 * upstream_socket_is_clean() - whether nothing waits to be read on a connection
 * @s: sockets
 * @fd: socket opened for this request, -1 when the connection is reused
 * @remote_ip: IPv4 address of the upstream in text form
 * @remote_port: its port
 * @local_port: own port
 *
 * A connection that is not known or was closed by the peer is not clean.
 */
bool upstream_socket_is_clean(struct upstream_socket *s, int fd,
    const char *remote_ip, int remote_port, int local_port);

/** upstream_socket_closed() - libcurl closes the socket */
void upstream_socket_closed(struct upstream_socket *s, int fd);

#endif
