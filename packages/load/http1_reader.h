/*
 * http1_reader - minimal incremental HTTP/1.1 reader for requests and
 * responses (prefix http1_).
 *
 * This is a pull parser: its user passes in received bytes and takes one event
 * at a time. Body data is returned as views of the input and is not copied.
 *
 *	struct http1_reader h;
 *	http1_init(&h, true);
 *	while ((e = http1_read(&h, &in)) != HTTP1_MORE) {
 *		if (e == HTTP1_BODY) use(h.data);
 *		if (e == HTTP1_END) { done(); http1_reset(&h); }
 *		if (e == HTTP1_ERROR) ...
 *	}
 *	http1_finish(&h);
 */
#ifndef LOAD_HTTP1_READER_H
#define LOAD_HTTP1_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

#define HTTP1_MAX_HEADERS 48
#define HTTP1_MAX_HEAD_BYTES (64 * 1024)
#define HTTP1_MAX_LINE_BYTES 1024

/** enum http1_event - result of http1_read() */
enum http1_event {
	HTTP1_MORE,  /* all input is consumed, more is needed */
	HTTP1_HEAD,  /* first line and headers are available */
	HTTP1_BODY,  /* a part of the body is in @data */
	HTTP1_END,   /* the message is complete */
	HTTP1_ERROR, /* not HTTP/1.1 or too large */
};

/** struct http1_header - one header field */
struct http1_header {
	struct bstr name;
	struct bstr value;
};

/** enum http1_state - part of the message that is read next */
enum http1_state {
	HTTP1_IN_HEAD,
	HTTP1_IN_BODY,
	HTTP1_IN_CHUNK_SIZE,
	HTTP1_IN_CHUNK_END, /* line end after the data of a chunk */
	HTTP1_IN_TRAILER,
	HTTP1_UNTIL_CLOSE, /* the body ends when the connection closes */
	HTTP1_DONE,
};

/**
 * struct http1_reader - state of a reader
 * @response: read responses instead of requests
 * @method: method of a request
 * @target: target of a request
 * @status: status code of a response
 * @close: the peer closes the connection after this message
 * @data: part of the body, points into the input of the last http1_read()
 * @headers: header fields, valid until http1_reset()
 * @n_headers: number of header fields
 * @head: private, received first line and headers
 * @line: private, incomplete line of the chunked coding
 * @state: private, part of the message that is read next
 * @remaining: private, bytes left in the body or the current chunk
 * @chunked: private, the body uses the chunked coding
 */
struct http1_reader {
	bool response;
	struct bstr method;
	struct bstr target;
	unsigned status;
	bool close;
	struct bstr data;
	struct http1_header headers[HTTP1_MAX_HEADERS];
	unsigned n_headers;
	struct bbuf head;
	struct bbuf line;
	enum http1_state state;
	uint64_t remaining;
	bool chunked;
};

/** http1_init() - set up a reader of responses or requests */
void http1_init(struct http1_reader *h, bool response);

/** http1_finish() - free the buffers of the reader */
void http1_finish(struct http1_reader *h);

/** http1_reset() - prepare for the next message on the same connection */
void http1_reset(struct http1_reader *h);

/**
 * http1_read() - return the next event
 * @h: reader
 * @in: received bytes; is advanced past the consumed ones
 *
 * Return: the event. HTTP1_END repeats until http1_reset(). After HTTP1_ERROR
 * the reader must not be used before http1_reset().
 */
enum http1_event http1_read(struct http1_reader *h, struct bstr *in);

/**
 * http1_header() - value of a header field, empty when absent
 * @h: reader after HTTP1_HEAD
 * @name: name of the field, compared without regard to case
 */
struct bstr http1_header(const struct http1_reader *h, const char *name);

/**
 * http1_complete_at_close() - whether the message is complete if the peer
 * closes the connection now
 */
bool http1_complete_at_close(const struct http1_reader *h);

/**
 * http1_query() - unsigned query parameter of a request target
 *
 * Return: the value, or @def when the parameter is absent or not a number.
 */
uint64_t http1_query(struct bstr target, const char *name, uint64_t def);

#endif
