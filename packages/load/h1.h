/*
 * h1 - minimal incremental HTTP/1.1 reader for requests and responses.
 *
 * A pull parser: the caller hands over received bytes and takes one event at a
 * time. Bodies are delivered as views and never stored.
 *
 *	struct h1 h;
 *	h1_init(&h, true);
 *	while ((e = h1_read(&h, &in)) != H1_MORE) {
 *		if (e == H1_BODY) use(h.data);
 *		if (e == H1_END) { done(); h1_reset(&h); }
 *		if (e == H1_ERROR) ...
 *	}
 *	h1_finish(&h);
 */
#ifndef LOAD_H1_H
#define LOAD_H1_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

#define H1_MAX_HEADERS 48
#define H1_MAX_HEAD (64 * 1024)
#define H1_MAX_LINE 1024

/** enum h1_event - result of h1_read() */
enum h1_event {
	H1_MORE,  /* all input used, nothing complete */
	H1_HEAD,  /* first line and headers are readable */
	H1_BODY,  /* a part of the body is in @data */
	H1_END,   /* the message is complete */
	H1_ERROR, /* not HTTP/1.1 or too large */
};

/** struct h1_header - one header */
struct h1_header {
	struct bstr name;
	struct bstr value;
};

/** enum h1_state - what comes next */
enum h1_state {
	H1_IN_HEAD,
	H1_IN_BODY,
	H1_IN_CHUNK_SIZE,
	H1_IN_CHUNK_END,
	H1_IN_TRAILER,
	H1_UNTIL_CLOSE,
	H1_DONE,
};

/**
 * struct h1 - reader
 * @response: reads responses, not requests
 * @method: of a request
 * @target: of a request
 * @status: of a response
 * @close: the connection ends after this message
 * @data: part of the body, valid until the next read
 */
struct h1 {
	bool response;
	struct bstr method;
	struct bstr target;
	unsigned status;
	bool close;
	struct bstr data;
	struct h1_header headers[H1_MAX_HEADERS];
	unsigned n_headers;
	struct bbuf head;
	struct bbuf line;
	enum h1_state state;
	uint64_t left;
	bool chunked;
};

/** h1_init() - reader of responses or requests */
void h1_init(struct h1 *h, bool response);

/** h1_finish() - free the storage */
void h1_finish(struct h1 *h);

/** h1_reset() - ready for the next message on the same connection */
void h1_reset(struct h1 *h);

/** h1_read() - next event; advances @in past the bytes used */
enum h1_event h1_read(struct h1 *h, struct bstr *in);

/** h1_header() - value of a header, empty when absent */
struct bstr h1_header(const struct h1 *h, const char *name);

/** h1_at_close() - whether a close at this point completes the message */
bool h1_at_close(const struct h1 *h);

/** h1_query() - unsigned query parameter of a target, or @def */
uint64_t h1_query(struct bstr target, const char *name, uint64_t def);

#endif
