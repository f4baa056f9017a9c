/*
 * update_datagram - datagrams by which a store reader updates the other VMs.
 *
 * Changes of upstreams are encoded field by field. Changes of other kinds are
 * forwarded as the store returned them, see struct update_datagram_raw. Which
 * VMs read the store is decided by fleet/reader_election.h.
 *
 *	update_datagram_encode(&out, &head, changes, n);
 *	if (update_datagram_decode(bytes, &head, changes, &n)) ...
 *	update_datagram_encode_raw(&out, &raw);
 *	if (update_datagram_decode_raw(bytes, &raw)) ...
 */
#ifndef PEER_UPDATE_DATAGRAM_H
#define PEER_UPDATE_DATAGRAM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "fleet/store.h"

/* Longest name in bytes, without the terminating zero byte. */
#define UPDATE_DATAGRAM_NAME_MAX 127
/* Changes in one datagram, which keeps it below the usual packet size. */
#define UPDATE_DATAGRAM_MAX_CHANGES 8
/* Largest raw changes in bytes, below the maximum size of a datagram. */
#define UPDATE_DATAGRAM_MAX_RAW_BYTES 32768

/* Age of a view that the store has not shown to be current. */
#define UPDATE_DATAGRAM_AGE_UNKNOWN INT32_MAX

/**
 * struct update_datagram_head - header of all datagrams of one update
 * @vm: id of the sending VM
 * @revision: for each kind, store revision that the sender's view is based on
 * @digest: for each kind, digest of the sender's view, see view_digest()
 * @age_ms: for each kind, how long ago the sender's view was current, as far as
 *	the store's answers to it show; UPDATE_DATAGRAM_AGE_UNKNOWN at most
 * @last: this is the last datagram of the update
 */
struct update_datagram_head {
	char vm[UPDATE_DATAGRAM_NAME_MAX + 1];
	int64_t revision[STORE_KINDS];
	uint64_t digest[STORE_KINDS];
	int64_t age_ms[STORE_KINDS];
	bool last;
};

/**
 * struct update_datagram_change - change of one upstream
 * @id: id of the upstream
 * @entry: entry that the upstream published, NULL when it was removed
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
 * update_datagram_decode() - decode a datagram
 * @bytes: datagram
 * @head: receives the header
 * @changes: receives up to UPDATE_DATAGRAM_MAX_CHANGES changes
 * @n: receives the number of changes
 *
 * The calling code frees the ids and entries with update_datagram_free().
 *
 * Return: false when @bytes is malformed or of another type; nothing needs to
 * be freed then.
 */
bool update_datagram_decode(struct bstr bytes,
    struct update_datagram_head *head, struct update_datagram_change *changes,
    uint32_t *n);

/**
 * struct update_datagram_raw - changes of one kind as returned by the store
 * @vm: id of the sending VM
 * @kind: kind of the changed objects
 * @base: store revision since which the changes are complete
 * @bytes: changes in the store's own encoding; after decoding, the calling
 *	code frees them with g_bytes_unref()
 */
struct update_datagram_raw {
	char vm[UPDATE_DATAGRAM_NAME_MAX + 1];
	enum store_kind kind;
	int64_t base;
	GBytes *bytes;
};

/** update_datagram_encode_raw() - append a datagram with raw changes */
void update_datagram_encode_raw(
    struct bbuf *out, const struct update_datagram_raw *raw);

/**
 * update_datagram_decode_raw() - decode a datagram with raw changes
 *
 * Return: false when @bytes is malformed or of another type; nothing needs to
 * be freed then.
 */
bool update_datagram_decode_raw(
    struct bstr bytes, struct update_datagram_raw *raw);

/** update_datagram_free() - free what update_datagram_decode() returned */
void update_datagram_free(struct update_datagram_change *changes, uint32_t n);

#endif
