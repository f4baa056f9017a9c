/*
 * hop - rules for header fields that hold on both sides of a call.
 */
#ifndef FRONT_HOP_HEADERS_H
#define FRONT_HOP_HEADERS_H

#include <stdbool.h>

#include "base/byte_string.h"

/** hop_is_token() - whether @s is a valid field name */
bool hop_is_token(struct bstr s);

/** hop_is_value() - whether @s holds no control character but tab */
bool hop_is_value(struct bstr s);

/** hop_is_local() - whether a field ends at this hop by its name */
bool hop_is_local(struct bstr name);

/**
 * hop_lists() - whether a Connection value lists @name
 *
 * Host and Idempotency-Key are never taken as listed: a caller must not be able
 * to remove what routing and claims depend on.
 */
bool hop_lists(struct bstr connection, struct bstr name);

/** hop_trim() - view without space, tab and line end on both sides */
struct bstr hop_trim(struct bstr s);

#endif
