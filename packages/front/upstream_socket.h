/*
 * upstream_socket - sockets of the connections to upstreams.
 *
 * libcurl 7.88 reuses a connection that has unread bytes, and would parse them
 * as the response to the next request. The pre-request callback receives only
 * the addresses of a connection; this module maps them to the socket, so that
 * it can be checked for unread bytes.
 *
 *	upstream_socket_init(&s);
 *	clean = upstream_socket_is_clean(&s, fd, ip, remote, local);
 *	upstream_socket_closed(&s, fd);        (in the close socket callback)
 *	upstream_socket_finish(&s);
 */
#ifndef FRONT_UPSTREAM_SOCKET_H
#define FRONT_UPSTREAM_SOCKET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct upstream_socket - table of sockets, allocated by the calling code
 * @by_address: descriptor by remote address, remote port and local port
 * @by_fd: the same keys by descriptor
 */
struct upstream_socket {
	GHashTable *by_address;
	GHashTable *by_fd;
};

/** upstream_socket_init() - set up an empty table */
void upstream_socket_init(struct upstream_socket *s);

/** upstream_socket_finish() - free the table; the sockets are not closed */
void upstream_socket_finish(struct upstream_socket *s);

/**
 * upstream_socket_is_clean() - whether a connection is open and has no
 * unread bytes
 * @s: table of sockets
 * @fd: socket opened for this request, which is added to the table; -1 when the
 *	connection is reused
 * @remote_ip: IPv4 address of the upstream in text form
 * @remote_port: port of the upstream
 * @local_port: local port of the connection
 *
 * A connection that is not in the table or was closed by the peer is not clean.
 */
bool upstream_socket_is_clean(struct upstream_socket *s, int fd,
    const char *remote_ip, int remote_port, int local_port);

/** upstream_socket_closed() - remove a socket that libcurl closes */
void upstream_socket_closed(struct upstream_socket *s, int fd);

#endif
