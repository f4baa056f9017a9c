/*
 * rhd - response head of an upstream, checked line by line.
 *
 * Accepts only heads whose body length cannot be mistaken: one Content-Length,
 * or chunked, or a response without a body. Everything else (both, several,
 * delimited by close, folded lines, control characters, too large) is bad.
 *
 *	rhd_init(&h, head_request);
 *	switch (rhd_line(&h, line)) ...
 *	rhd_finish(&h);
 */
#ifndef FRONT_RHD_H
#define FRONT_RHD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/* A caller's connection has 32 KB for the request and this head together. */
#define RHD_MAX_BYTES (16 * 1024)
#define RHD_MAX_FIELDS 100

/** enum rhd_verdict - what a line completed */
enum rhd_verdict {
	RHD_MORE,    /* the head goes on, or a trailer was skipped */
	RHD_INTERIM, /* end of a 1xx head */
	RHD_FINAL,   /* end of the final head */
	RHD_BAD,     /* the response must not be used */
};

/** struct rhd_field - positions of zero-terminated strings in rhd.text */
struct rhd_field {
	uint16_t name;
	uint16_t name_n;
	uint16_t value;
	uint16_t value_n;
};

/**
 * struct rhd - head on caller-owned memory
 * @to_head: answers a HEAD request
 * @in_head: between a status line and the empty line
 * @final: the final head is complete
 * @status: HTTP status of the current head
 * @bytes: bytes seen, trailers included
 * @len: Content-Length, -1 when absent
 * @chunked: Transfer-Encoding: chunked
 * @has_te: there was a Transfer-Encoding
 * @close_ends_body: a body without length is accepted; kept by rhd_reset()
 * @n: number of fields
 * @fields: all fields but the framing ones
 * @text: strings of the fields
 */
struct rhd {
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
	struct rhd_field fields[RHD_MAX_FIELDS];
	struct bbuf text;
};

/** rhd_init() - before the first line of a response; keeps no storage */
void rhd_init(struct rhd *h, bool to_head);

/** rhd_reset() - like rhd_init(), keeps the storage */
void rhd_reset(struct rhd *h, bool to_head);

/** rhd_finish() - free the storage */
void rhd_finish(struct rhd *h);

/** rhd_line() - one line with its line end */
enum rhd_verdict rhd_line(struct rhd *h, struct bstr line);

/** rhd_has_body() - whether a body follows the final head */
bool rhd_has_body(const struct rhd *h);

/** rhd_name() - name of field @i */
struct bstr rhd_name(const struct rhd *h, unsigned i);

/** rhd_value() - value of field @i */
struct bstr rhd_value(const struct rhd *h, unsigned i);

/** rhd_find() - value of the first field with this name; empty if absent */
struct bstr rhd_find(const struct rhd *h, struct bstr name);

/** rhd_passes() - whether field @i goes to the caller */
bool rhd_passes(const struct rhd *h, unsigned i);

#endif
