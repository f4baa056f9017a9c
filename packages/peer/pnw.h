/*
 * pnw - datagrams with news, see fleet/reader_election.h: of upstreams, and
 * changes of the other kinds as the store told them.
 *
 *	pnw_encode(&out, &head, changes, n);
 *	if (pnw_decode(bytes, &head, changes, &n)) ...
 *	pnw_encode_told(&out, &told);
 *	if (pnw_decode_told(bytes, &told)) ...
 */
#ifndef PEER_PNW_H
#define PEER_PNW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "fleet/store.h"

#define PNW_NAME_MAX 127
/* Changes in one datagram; it stays below the usual size of a packet. */
#define PNW_MAX_CHANGES 8
/* Largest changes that are passed on, in bytes; below the size of a datagram.
 */
#define PNW_MAX_TOLD 32768

/**
 * struct pnw_head - what all datagrams of one piece of news share
 * @vm: sender
 * @revision: of the store, that the sender's knowledge of each kind is as of
 * @digest: of what the sender knows of each kind, see view_digest()
 * @last: the last datagram of this news
 */
struct pnw_head {
	char vm[PNW_NAME_MAX + 1];
	int64_t revision[STORE_KINDS];
	uint64_t digest[STORE_KINDS];
	bool last;
};

/**
 * struct pnw_change - one upstream
 * @id: its id
 * @entry: what it says of itself, NULL when it is gone
 */
struct pnw_change {
	const char *id;
	const struct obj_upstream *entry;
};

/** pnw_encode() - append a datagram; @n is at most PNW_MAX_CHANGES */
void pnw_encode(struct bbuf *out, const struct pnw_head *head,
    const struct pnw_change *changes, uint32_t n);

/**
 * pnw_decode() - read a datagram
 * @bytes: datagram
 * @head: receives the head
 * @changes: receives up to PNW_MAX_CHANGES changes
 * @n: receives their number
 *
 * The ids and entries are owned by the caller, see pnw_free().
 *
 * Return: false when the bytes are no datagram of this kind.
 */
bool pnw_decode(struct bstr bytes, struct pnw_head *head,
    struct pnw_change *changes, uint32_t *n);

/**
 * struct pnw_told - changes of a kind as the store told them to the sender
 * @vm: sender
 * @kind: kind of the objects
 * @base: revision since which they are complete
 * @bytes: for the adapter; in a decoded datagram, freed with g_bytes_unref()
 */
struct pnw_told {
	char vm[PNW_NAME_MAX + 1];
	enum store_kind kind;
	int64_t base;
	GBytes *bytes;
};

/** pnw_encode_told() - append a datagram */
void pnw_encode_told(struct bbuf *out, const struct pnw_told *told);

/**
 * pnw_decode_told() - read a datagram
 *
 * Return: false when the bytes are no datagram of this kind.
 */
bool pnw_decode_told(struct bstr bytes, struct pnw_told *told);

/** pnw_free() - free what pnw_decode() returned */
void pnw_free(struct pnw_change *changes, uint32_t n);

#endif
