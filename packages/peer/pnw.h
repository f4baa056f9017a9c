/*
 * pnw - datagrams with news of upstreams, see fleet/fnw.h.
 *
 *	pnw_encode(&out, &head, ids, n, &fls);
 *	if (pnw_decode(bytes, &head, on_change, arg)) ...
 */
#ifndef PEER_PNW_H
#define PEER_PNW_H

#include <stdbool.h>
#include <stdint.h>

#include "base/bstr.h"
#include "fleet/fst.h"

#define PNW_NAME_MAX 127
/* Changes in one datagram; it stays below the usual size of a packet. */
#define PNW_MAX_CHANGES 8

/**
 * struct pnw_head - what all datagrams of one piece of news share
 * @vm: sender
 * @revision: of the store, that the sender's knowledge of each kind is as of
 * @digest: of what the sender knows of each kind, see fls_digest()
 * @last: the last datagram of this news
 */
struct pnw_head {
	char vm[PNW_NAME_MAX + 1];
	int64_t revision[FST_KINDS];
	uint64_t digest[FST_KINDS];
	bool last;
};

/**
 * struct pnw_change - one upstream
 * @id: its id
 * @entry: what it says of itself, NULL when it is gone
 */
struct pnw_change {
	const char *id;
	const struct fld_upstream *entry;
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

/** pnw_free() - free what pnw_decode() returned */
void pnw_free(struct pnw_change *changes, uint32_t n);

#endif
