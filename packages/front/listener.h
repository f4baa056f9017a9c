/*
 * listener - listening socket that can be closed without resetting callers.
 *
 * Closing a listening socket resets the connections in its accept queue, even
 * when another socket listens on the same port. Therefore the socket is closed
 * in steps: new connection requests are ignored, handshakes in progress
 * complete, connections are accepted until the queue is empty, and then the
 * socket is closed. The kernel of a caller whose connection request was ignored
 * repeats it after about a second; it reaches another listener or is refused.
 *
 *	int fd = listener_open("127.0.0.1", 8080);
 *	listener_ignore_new(fd);
 *	while (listener_has_waiting(fd))            (after the handshakes)
 *		accept(...);
 *	close(fd);
 */
#ifndef FRONT_LISTENER_H
#define FRONT_LISTENER_H

#include <stdbool.h>
#include <stdint.h>

/**
 * listener_open() - listen on an IPv4 address and a port that other sockets may
 * share
 *
 * Return: descriptor, or -1 with errno set.
 */
int listener_open(const char *addr, uint16_t port);

/**
 * listener_ignore_new() - drop connection requests (SYN) from now on
 *
 * Handshakes in progress still complete.
 *
 * Return: 0, or -1 with errno set; connections may then still be added to the
 * accept queue.
 */
int listener_ignore_new(int fd);

/** listener_has_waiting() - whether the accept queue holds a connection */
bool listener_has_waiting(int fd);

#endif
