/*
 * sck - sockets of kept connections to upstreams.
 *
 * libcurl 7.88 reuses a kept connection on which bytes wait to be read, and
 * would take them for the answer to the next request. The pre-request callback
 * learns only the addresses of a connection; this module finds its socket.
 *
 *	sck_init(&s);
 *	sck_is_clean(&s, ip, remote, local);      (pre-request callback)
 *	sck_closed(&s, fd);                       (close socket callback)
 *	sck_finish(&s);
 */
#ifndef FRONT_SCK_H
#define FRONT_SCK_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct sck - sockets on caller-owned memory
 * @by_pair: descriptor by remote address, remote port and local port
 * @by_fd: the same keys by descriptor
 */
struct sck {
	GHashTable *by_pair;
	GHashTable *by_fd;
};

/** sck_init() - no sockets */
void sck_init(struct sck *s);

/** sck_finish() - free; the sockets are not closed */
void sck_finish(struct sck *s);

/**
 * sck_is_clean() - whether nothing waits to be read on a connection
 * @s: sockets
 * @fd: socket opened for this request, -1 when the connection is reused
 * @remote_ip: IPv4 address of the upstream in text form
 * @remote_port: its port
 * @local_port: own port
 *
 * A connection that is not known or was closed by the peer is not clean.
 */
bool sck_is_clean(struct sck *s, int fd, const char *remote_ip, int remote_port,
    int local_port);

/** sck_closed() - libcurl closes the socket */
void sck_closed(struct sck *s, int fd);

#endif
