/*
 * hop_headers - rules for header fields on both sides of a call (prefix hop_).
 *
 *	if (hop_is_hop_by_hop(name) || hop_connection_lists(connection, name))
 *		...                             (do not forward the field)
 */
#ifndef FRONT_HOP_HEADERS_H
#define FRONT_HOP_HEADERS_H

#include <stdbool.h>

#include "base/byte_string.h"

/** hop_is_token() - whether @s is a valid field name */
bool hop_is_token(struct bstr s);

/** hop_is_value() - whether @s holds no control characters except tabs */
bool hop_is_value(struct bstr s);

/** hop_is_hop_by_hop() - whether the name is that of a hop-by-hop field */
bool hop_is_hop_by_hop(struct bstr name);

/**
 * hop_connection_lists() - whether a Connection value lists @name
 *
 * Always false for Host and Idempotency-Key: a caller must not be able to
 * remove fields that routing and claims depend on.
 */
bool hop_connection_lists(struct bstr connection, struct bstr name);

/**
 * hop_trim() - view of @s without spaces and tabs at both ends and without a
 * line end
 */
struct bstr hop_trim(struct bstr s);

#endif
