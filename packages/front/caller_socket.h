/*
 * caller_socket - what the kernel knows of a caller's connection (prefix
 * callersock_). It reads from the socket only where it says so.
 *
 *	if (callersock_taken_bytes(fd, &taken))
 *		...
 */
#ifndef FRONT_CALLER_SOCKET_H
#define FRONT_CALLER_SOCKET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct callersock_sending - progress of sending
 * @acked: bytes that the caller's kernel has acknowledged
 * @waiting: bytes wait until the caller reads
 */
struct callersock_sending {
	uint64_t acked;
	bool waiting;
};

/** callersock_is_open() - whether the caller can still send */
bool callersock_is_open(int fd);

/**
 * callersock_taken_bytes() - bytes that were received and read from the socket
 *
 * Return: false if the kernel does not tell.
 */
bool callersock_taken_bytes(int fd, uint64_t *bytes);

/** callersock_sending() - read the progress; false if the kernel does not tell
 */
bool callersock_sending(int fd, struct callersock_sending *out);

/**
 * callersock_discard() - read and discard input, without waiting
 *
 * Return: whether the caller may still send or receive.
 */
bool callersock_discard(int fd);

/** callersock_reset() - disconnect, and drop what is not sent or read yet */
void callersock_reset(int fd);

#endif
