/*
 * request_head - validation of a caller's request head.
 *
 * libmicrohttpd accepts heads that another HTTP implementation may interpret
 * differently. Such requests are refused before any of their content is used.
 *
 *	if (!request_head_read(c, method, version))
 *		...                             (refuse the request)
 */
#ifndef FRONT_REQUEST_HEAD_H
#define FRONT_REQUEST_HEAD_H

#include "front/call.h"

/**
 * request_head_read() - validate the head and set the fields that depend on it
 * @c: call whose conn is set
 * @method: request method
 * @version: HTTP version
 *
 * Sets method, head_request, http10, head_memory, has_body, body_len and
 * body_done of @c.
 *
 * Return: false when the request must be refused and the connection closed.
 */
bool request_head_read(struct call *c, const char *method, const char *version);

/**
 * request_head_normalize_path() - decode a path, drop empty and dot segments
 * @path: raw path
 * @out: receives the result
 *
 * Return: false when a percent escape is malformed or ".." leaves the root.
 */
bool request_head_normalize_path(struct bstr path, struct bbuf *out);

#endif
