/*
 * http_stream - blocking HTTP/1.1 connection of the soak's callers and
 * upstreams (prefix stream_).
 */
#ifndef SOAK_HTTP_STREAM_H
#define SOAK_HTTP_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define STREAM_HEAD_MAX 16384

/**
 * struct http_stream - connection with unread input
 * @fd: socket, -1 when closed
 * @buf: input that was received and not consumed
 * @n: length of @buf
 */
struct http_stream {
	int fd;
	char buf[STREAM_HEAD_MAX];
	size_t n;
};

/**
 * struct http_head - head of a request or an answer
 * @text: the head, NUL-terminated
 * @method: request method, empty for an answer
 * @path: request target
 * @status: status of an answer
 */
struct http_head {
	char text[STREAM_HEAD_MAX];
	char method[16];
	char path[256];
	unsigned status;
};

/** typedef stream_sink - receives parts of a body */
typedef void (*stream_sink)(void *arg, const char *p, size_t n);

/** stream_init() - use an open socket; receiving times out after @timeout_ms */
void stream_init(struct http_stream *s, int fd, int timeout_ms);

/** stream_close() - close the socket */
void stream_close(struct http_stream *s);

/** stream_connect() - connect to "a.b.c.d"; -1 on failure */
int stream_connect(const char *ip, uint16_t port, int receive_buffer);

/** stream_listen() - listen on a free port of @ip and set @port */
int stream_listen(const char *ip, uint16_t *port);

/** stream_send() - send all bytes; false on an error */
bool stream_send(struct http_stream *s, const void *p, size_t n);

/** stream_printf() - format and send */
bool stream_printf(struct http_stream *s, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/** stream_read_head() - read a head, skipping 1xx; false at the end */
bool stream_read_head(struct http_stream *s, struct http_head *h);

/** stream_field() - value of a field; false and "" when it is missing */
bool stream_field(
    const struct http_head *h, const char *name, char *out, size_t max);

/**
 * stream_read_body() - read the body that belongs to @h
 *
 * Return: whether it is complete by its framing. An answer without a length
 * ends with a connection that closes in order.
 */
bool stream_read_body(struct http_stream *s, const struct http_head *h,
    stream_sink sink, void *arg);

/** stream_is_open() - whether the peer has neither closed nor sent anything */
bool stream_is_open(const struct http_stream *s);

#endif
