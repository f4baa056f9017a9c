/*
 * response_head - parser for an upstream's response head, line by line.
 *
 * It accepts only heads whose body length is unambiguous: one Content-Length,
 * chunked, or a response without a body. It rejects heads with both or several
 * of these, bodies that end with the connection (unless close_ends_body is
 * set), folded lines, control characters and heads that are too large.
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

/* Longest head, if response_head.max_bytes is not lower. */
#define RESPONSE_HEAD_MAX_BYTES (16 * 1024)
#define RESPONSE_HEAD_MAX_FIELDS 100

/** enum response_head_verdict - state of the head after a line */
enum response_head_verdict {
	RESPONSE_HEAD_MORE,    /* more lines follow, or a trailer was skipped */
	RESPONSE_HEAD_INTERIM, /* end of a 1xx head */
	RESPONSE_HEAD_FINAL,   /* end of the final head */
	RESPONSE_HEAD_BAD,     /* the response must not be used */
};

/**
 * struct response_head_field - offsets and lengths of the zero-terminated name
 * and value in response_head.text
 */
struct response_head_field {
	uint16_t name;
	uint16_t name_n;
	uint16_t value;
	uint16_t value_n;
};

/**
 * struct response_head - response head, allocated by the calling code
 * @head_request: the response answers a HEAD request
 * @in_head: a status line was read, but not yet the empty line
 * @final: the final head is complete
 * @http10: the response is HTTP/1.0
 * @status: HTTP status of the current head
 * @bytes: bytes read, including trailers
 * @max_bytes: limit on @bytes; response_head_reset() keeps the value
 * @len: Content-Length, -1 when absent
 * @chunked: Transfer-Encoding: chunked
 * @has_transfer_encoding: a Transfer-Encoding field was read
 * @close_ends_body: accept a body without length, which ends with the
 *	connection; response_head_reset() keeps the value
 * @n: number of fields
 * @fields: all fields except Content-Length and Transfer-Encoding
 * @text: names and values of the fields
 */
struct response_head {
	bool head_request;
	bool in_head;
	bool final;
	bool http10;
	unsigned status;
	size_t bytes;
	size_t max_bytes;
	int64_t len;
	bool chunked;
	bool has_transfer_encoding;
	bool close_ends_body;
	unsigned n;
	struct response_head_field fields[RESPONSE_HEAD_MAX_FIELDS];
	struct bbuf text;
};

/**
 * response_head_init() - prepare for the first line of a response, with no
 * storage
 */
void response_head_init(struct response_head *h, bool head_request);

/** response_head_reset() - prepare for another response, keeping the storage */
void response_head_reset(struct response_head *h, bool head_request);

/** response_head_finish() - free the storage */
void response_head_finish(struct response_head *h);

/** response_head_line() - read one line, including its line end */
enum response_head_verdict response_head_line(
    struct response_head *h, struct bstr line);

/** response_head_has_body() - whether a body follows the final head */
bool response_head_has_body(const struct response_head *h);

/**
 * response_head_closes() - whether the connection ends after the response: it
 * is HTTP/1.0, says "Connection: close", or has a body without a length
 */
bool response_head_closes(const struct response_head *h);

/** response_head_name() - name of field @i */
struct bstr response_head_name(const struct response_head *h, unsigned i);

/** response_head_value() - value of field @i */
struct bstr response_head_value(const struct response_head *h, unsigned i);

/**
 * response_head_find() - value of the first field with this name; empty if
 * absent
 */
struct bstr response_head_find(const struct response_head *h, struct bstr name);

/** response_head_forwards() - whether field @i is forwarded to the caller */
bool response_head_forwards(const struct response_head *h, unsigned i);

#endif
