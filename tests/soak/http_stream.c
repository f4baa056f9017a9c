#include "soak/http_stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define BACKLOG 512
#define LINE_MAX_BYTES 64

void
stream_init(struct http_stream *s, int fd, int timeout_ms)
{
	struct timeval t = {timeout_ms / 1000, (timeout_ms % 1000) * 1000};
	const int one = 1;

	s->fd = fd;
	s->n = 0;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

void
stream_close(struct http_stream *s)
{
	if (s->fd >= 0)
		close(s->fd);
	s->fd = -1;
}

static struct sockaddr_in
make_address(const char *ip, uint16_t port)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &sin.sin_addr);
	return (sin);
}

int
stream_connect(const char *ip, uint16_t port, int receive_buffer)
{
	struct sockaddr_in sin = make_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (receive_buffer != 0)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
		    sizeof(receive_buffer));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
		return (fd);
	close(fd);
	return (-1);
}

int
stream_listen(const char *ip, uint16_t *port)
{
	struct sockaddr_in sin = make_address(ip, *port);
	socklen_t n = sizeof(sin);
	const int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0 ||
	    listen(fd, BACKLOG) != 0) {
		perror("listen");
		exit(2);
	}
	getsockname(fd, (struct sockaddr *)&sin, &n);
	*port = ntohs(sin.sin_port);
	return (fd);
}

bool
stream_send(struct http_stream *s, const void *p, size_t n)
{
	const char *q = p;

	while (n != 0) {
		ssize_t k = send(s->fd, q, n, MSG_NOSIGNAL);

		if (k <= 0)
			return (false);
		q += k;
		n -= (size_t)k;
	}
	return (true);
}

bool
stream_printf(struct http_stream *s, const char *fmt, ...)
{
	char text[2048];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return (n > 0 && (size_t)n < sizeof(text) &&
	    stream_send(s, text, (size_t)n));
}

/* Returns the number of bytes, 0 at the end, -1 on an error. */
static ssize_t
fill(struct http_stream *s)
{
	ssize_t k = recv(s->fd, s->buf + s->n, sizeof(s->buf) - s->n, 0);

	if (k > 0)
		s->n += (size_t)k;
	return (k);
}

static void
consume(struct http_stream *s, size_t n)
{
	memmove(s->buf, s->buf + n, s->n - n);
	s->n -= n;
}

/* Moves input up to and including @end into @out. */
static bool
read_until(struct http_stream *s, const char *end, char *out, size_t max)
{
	for (;;) {
		char *at = memmem(s->buf, s->n, end, strlen(end));
		size_t n;

		if (at != NULL) {
			n = (size_t)(at - s->buf) + strlen(end);
			if (n >= max)
				return (false);
			memcpy(out, s->buf, n);
			out[n] = '\0';
			consume(s, n);
			return (true);
		}
		if (s->n == sizeof(s->buf) || fill(s) <= 0)
			return (false);
	}
}

bool
stream_read_head(struct http_stream *s, struct http_head *h)
{
	do {
		if (!read_until(s, "\r\n\r\n", h->text, sizeof(h->text)))
			return (false);
		h->status = 0;
		h->method[0] = h->path[0] = '\0';
		if (sscanf(h->text, "HTTP/1.%*1d %u", &h->status) != 1 &&
		    sscanf(h->text, "%15s %255s", h->method, h->path) != 2)
			return (false);
	} while (h->status >= 100 && h->status < 200);
	return (true);
}

bool
stream_field(const struct http_head *h, const char *name, char *out, size_t max)
{
	size_t n = strlen(name);

	out[0] = '\0';
	for (const char *line = strstr(h->text, "\r\n"); line != NULL;
	     line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, n) != 0 || line[n] != ':')
			continue;
		line += n + 1;
		line += strspn(line, " ");
		n = strcspn(line, "\r");
		if (n >= max)
			return (false);
		memcpy(out, line, n);
		out[n] = '\0';
		return (true);
	}
	return (false);
}

static bool
read_exactly(struct http_stream *s, uint64_t n, stream_sink sink, void *arg)
{
	while (n != 0) {
		size_t k;

		if (s->n == 0 && fill(s) <= 0)
			return (false);
		k = s->n < n ? s->n : (size_t)n;
		sink(arg, s->buf, k);
		consume(s, k);
		n -= k;
	}
	return (true);
}

static bool
read_chunks(struct http_stream *s, stream_sink sink, void *arg)
{
	char line[LINE_MAX_BYTES];
	uint64_t n;

	do {
		if (!read_until(s, "\r\n", line, sizeof(line)))
			return (false);
		n = strtoull(line, NULL, 16);
		if (!read_exactly(s, n, sink, arg) ||
		    !read_until(s, "\r\n", line, sizeof(line)))
			return (false);
	} while (n != 0);
	return (true);
}

static bool
read_to_end(struct http_stream *s, stream_sink sink, void *arg)
{
	ssize_t k;

	do {
		sink(arg, s->buf, s->n);
		s->n = 0;
		k = fill(s);
	} while (k > 0);
	return (k == 0);
}

bool
stream_read_body(struct http_stream *s, const struct http_head *h,
    stream_sink sink, void *arg)
{
	char value[64];

	if (stream_field(h, "Transfer-Encoding", value, sizeof(value)))
		return (read_chunks(s, sink, arg));
	if (stream_field(h, "Content-Length", value, sizeof(value)))
		return (read_exactly(s, strtoull(value, NULL, 10), sink, arg));
	if (h->method[0] != '\0' || h->status == 204 || h->status == 304)
		return (true);
	return (read_to_end(s, sink, arg));
}

bool
stream_is_open(const struct http_stream *s)
{
	char ch;

	return (s->fd >= 0 && s->n == 0 &&
	    recv(s->fd, &ch, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
	    (errno == EAGAIN || errno == EWOULDBLOCK));
}
