/*
 * http1_reader - minimal incremental HTTP/1.1 reader for requests and
 * responses.
 *
 * A pull parser: the caller hands over received bytes and takes one event at a
 * time. Bodies are delivered as views and never stored.
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
#define HTTP1_MAX_HEAD (64 * 1024)
#define HTTP1_MAX_LINE 1024

/** enum http1_event - result of http1_read() */
enum http1_event {
	HTTP1_MORE,  /* all input used, nothing complete */
	HTTP1_HEAD,  /* first line and headers are readable */
	HTTP1_BODY,  /* a part of the body is in @data */
	HTTP1_END,   /* the message is complete */
	HTTP1_ERROR, /* not HTTP/1.1 or too large */
};

/** struct http1_header - one header */
struct http1_header {
	struct bstr name;
	struct bstr value;
};

/** enum http1_state - what comes next */
enum http1_state {
	HTTP1_IN_HEAD,
	HTTP1_IN_BODY,
	HTTP1_IN_CHUNK_SIZE,
	HTTP1_IN_CHUNK_END,
	HTTP1_IN_TRAILER,
	HTTP1_UNTIL_CLOSE,
	HTTP1_DONE,
};

/**
 * struct http1_reader - reader
 * @response: reads responses, not requests
 * @method: of a request
 * @target: of a request
 * @status: of a response
 * @close: the connection ends after this message
 * @data: part of the body, valid until the next read
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
	uint64_t left;
	bool chunked;
};

/** http1_init() - reader of responses or requests */
void http1_init(struct http1_reader *h, bool response);

/** http1_finish() - free the storage */
void http1_finish(struct http1_reader *h);

/** http1_reset() - ready for the next message on the same connection */
void http1_reset(struct http1_reader *h);

/** http1_read() - next event; advances @in past the bytes used */
enum http1_event http1_read(struct http1_reader *h, struct bstr *in);

/** http1_header() - value of a header, empty when absent */
struct bstr http1_header(const struct http1_reader *h, const char *name);

/** http1_at_close() - whether a close at this point completes the message */
bool http1_at_close(const struct http1_reader *h);

/** http1_query() - unsigned query parameter of a target, or @def */
uint64_t http1_query(struct bstr target, const char *name, uint64_t def);

#endif
