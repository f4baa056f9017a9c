/*
 * update_datagram - datagrams with news, see fleet/reader_election.h: of
 * upstreams, and changes of the other kinds as the store told them.
 *
 *	update_datagram_encode(&out, &head, changes, n);
 *	if (update_datagram_decode(bytes, &head, changes, &n)) ...
 *	update_datagram_encode_told(&out, &told);
 *	if (update_datagram_decode_told(bytes, &told)) ...
 */
#ifndef PEER_UPDATE_DATAGRAM_H
#define PEER_UPDATE_DATAGRAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "fleet/store.h"

#define UPDATE_DATAGRAM_NAME_MAX 127
/* Changes in one datagram; it stays below the usual size of a packet. */
#define UPDATE_DATAGRAM_MAX_CHANGES 8
/* Largest changes that are passed on, in bytes; below the size of a datagram.
 */
#define UPDATE_DATAGRAM_MAX_TOLD 32768

/**
 * struct update_datagram_head - what all datagrams of one piece of news share
 * @vm: sender
 * @revision: of the store, that the sender's knowledge of each kind is as of
 * @digest: of what the sender knows of each kind, see view_digest()
 * @last: the last datagram of this news
 */
struct update_datagram_head {
	char vm[UPDATE_DATAGRAM_NAME_MAX + 1];
	int64_t revision[STORE_KINDS];
	uint64_t digest[STORE_KINDS];
	bool last;
};

/**
 * struct update_datagram_change - one upstream
 * @id: its id
 * @entry: what it says of itself, NULL when it is gone
 */
struct update_datagram_change {
	const char *id;
	const struct obj_upstream *entry;
};

/**
 * update_datagram_encode() - append a datagram; @n is at most
 * UPDATE_DATAGRAM_MAX_CHANGES
 */
void update_datagram_encode(struct bbuf *out,
    const struct update_datagram_head *head,
    const struct update_datagram_change *changes, uint32_t n);

/**
 * update_datagram_decode() - read a datagram
 * @bytes: datagram
 * @head: receives the head
 * @changes: receives up to UPDATE_DATAGRAM_MAX_CHANGES changes
 * @n: receives their number
 *
 * The ids and entries are owned by the caller, see update_datagram_free().
 *
 * Return: false when the bytes are no datagram of this kind.
 */
bool update_datagram_decode(struct bstr bytes,
    struct update_datagram_head *head, struct update_datagram_change *changes,
    uint32_t *n);

/**
 * struct update_datagram_told - changes of a kind as the store told them to the
 * sender
 * @vm: sender
 * @kind: kind of the objects
 * @base: revision since which they are complete
 * @bytes: for the adapter; in a decoded datagram, freed with g_bytes_unref()
 */
struct update_datagram_told {
	char vm[UPDATE_DATAGRAM_NAME_MAX + 1];
	enum store_kind kind;
	int64_t base;
	GBytes *bytes;
};

/** update_datagram_encode_told() - append a datagram */
void update_datagram_encode_told(
    struct bbuf *out, const struct update_datagram_told *told);

/**
 * update_datagram_decode_told() - read a datagram
 *
 * Return: false when the bytes are no datagram of this kind.
 */
bool update_datagram_decode_told(
    struct bstr bytes, struct update_datagram_told *told);

/** update_datagram_free() - free what update_datagram_decode() returned */
void update_datagram_free(struct update_datagram_change *changes, uint32_t n);

#endif
