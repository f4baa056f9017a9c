/*
 * usage_datagram - datagrams about the usage of workspaces.
 *
 * Each VM sends its counts to the collectors. The holder of the duty of
 * reporting, and a VM that is about to take it over, send their status to all
 * VMs. Which VM sends what is decided by usage/usage_duty.h.
 *
 *	usage_datagram_encode_counts(&out, &counts);
 *	if (usage_datagram_decode_counts(bytes, &counts)) ...
 *	usage_datagram_encode_status(&out, &status);
 *	if (usage_datagram_decode_status(bytes, &status)) ...
 */
#ifndef PEER_USAGE_DATAGRAM_H
#define PEER_USAGE_DATAGRAM_H

#include <stdbool.h>

#include "base/byte_string.h"
#include "usage/usage_message.h"

/* Largest time, window and token; the numbers are also JSON numbers. */
#define USAGE_DATAGRAM_MAX_NUMBER (INT64_C(1) << 53)

/** usage_datagram_encode_counts() - append a datagram with counts to @out */
void usage_datagram_encode_counts(
    struct bbuf *out, const struct usage_counts_msg *m);

/**
 * usage_datagram_decode_counts() - decode a datagram with counts
 *
 * Return: false when @bytes is malformed or another datagram.
 */
bool usage_datagram_decode_counts(
    struct bstr bytes, struct usage_counts_msg *out);

/** usage_datagram_encode_status() - append a datagram with a status to @out */
void usage_datagram_encode_status(
    struct bbuf *out, const struct usage_status_msg *m);

/**
 * usage_datagram_decode_status() - decode a datagram with a status
 *
 * Return: false when @bytes is malformed or another datagram.
 */
bool usage_datagram_decode_status(
    struct bstr bytes, struct usage_status_msg *out);

#endif
