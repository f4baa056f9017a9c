/*
 * response_head - response head of an upstream, checked line by line.
 *
 * Accepts only heads whose body length cannot be mistaken: one Content-Length,
 * or chunked, or a response without a body. Everything else (both, several,
 * delimited by close, folded lines, control characters, too large) is bad.
 *
 *	response_head_init(&h, head_request);
 *	switch (response_head_line(&h, line)) ...
 *	response_head_finish(&h);
 */
#ifndef FRONT_RESPONSE_HEAD_H
#define FRONT_RESPONSE_HEAD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/* A caller's connection has 32 KB for the request and this head together. */
#define RESPONSE_HEAD_MAX_BYTES (16 * 1024)
#define RESPONSE_HEAD_MAX_FIELDS 100

/** enum response_head_verdict - what a line completed */
enum response_head_verdict {
	RESPONSE_HEAD_MORE,    /* the head goes on, or a trailer was skipped */
	RESPONSE_HEAD_INTERIM, /* end of a 1xx head */
	RESPONSE_HEAD_FINAL,   /* end of the final head */
	RESPONSE_HEAD_BAD,     /* the response must not be used */
};

/**
 * struct response_head_field - positions of zero-terminated strings in rhd.text
 */
struct response_head_field {
	uint16_t name;
	uint16_t name_n;
	uint16_t value;
	uint16_t value_n;
};

/**
 * struct response_head - head on caller-owned memory
 * @to_head: answers a HEAD request
 * @in_head: between a status line and the empty line
 * @final: the final head is complete
 * @status: HTTP status of the current head
 * @bytes: bytes seen, trailers included
 * @len: Content-Length, -1 when absent
 * @chunked: Transfer-Encoding: chunked
 * @has_te: there was a Transfer-Encoding
 * @close_ends_body: a body without length is accepted; kept by
 *	response_head_reset()
 * @n: number of fields
 * @fields: all fields but the framing ones
 * @text: strings of the fields
 */
struct response_head {
	bool to_head;
	bool in_head;
	bool final;
	unsigned status;
	size_t bytes;
	int64_t len;
	bool chunked;
	bool has_te;
	bool close_ends_body;
	unsigned n;
	struct response_head_field fields[RESPONSE_HEAD_MAX_FIELDS];
	struct bbuf text;
};

/**
 * response_head_init() - before the first line of a response; keeps no storage
 */
void response_head_init(struct response_head *h, bool to_head);

/** response_head_reset() - like response_head_init(), keeps the storage */
void response_head_reset(struct response_head *h, bool to_head);

/** response_head_finish() - free the storage */
void response_head_finish(struct response_head *h);

/** response_head_line() - one line with its line end */
enum response_head_verdict response_head_line(
    struct response_head *h, struct bstr line);

/** response_head_has_body() - whether a body follows the final head */
bool response_head_has_body(const struct response_head *h);

/** response_head_name() - name of field @i */
struct bstr response_head_name(const struct response_head *h, unsigned i);

/** response_head_value() - value of field @i */
struct bstr response_head_value(const struct response_head *h, unsigned i);

/**
 * response_head_find() - value of the first field with this name; empty if
 * absent
 */
struct bstr response_head_find(const struct response_head *h, struct bstr name);

/** response_head_passes() - whether field @i goes to the caller */
bool response_head_passes(const struct response_head *h, unsigned i);

#endif
