/*
 * request_head - checks of a caller's request head.
 *
 * libmicrohttpd accepts heads that another HTTP implementation may read
 * differently. Such requests are refused before anything depends on them.
 */
#ifndef FRONT_REQUEST_HEAD_H
#define FRONT_REQUEST_HEAD_H

#include "front/call.h"

/**
 * request_head_read() - check the head and take over what depends on it
 * @c: call whose conn is set
 * @method: request method
 * @version: HTTP version
 *
 * Sets @c->method, to_head, http10, has_body, body_len and body_done.
 *
 * Return: false when the request must be refused and the connection closed.
 */
bool request_head_read(struct call *c, const char *method, const char *version);

/**
 * request_head_plain_path() - decoded path without empty and dot segments
 * @path: raw path
 * @out: receives the result
 *
 * Return: false when an escape is malformed or the path leaves the root.
 */
bool request_head_plain_path(struct bstr path, struct bbuf *out);

#endif
