/*
 * rawup - raw TCP upstream whose behaviour, often faulty, is selected by the
 * request path.
 *
 * Serves requests for "/<any>/<behaviour>/<id>" and counts complete requests by
 * path, so that a test can detect duplicates. Most behaviours are fixed answers
 * in canned[]; respond() has the others. These act before the body is read:
 *
 *	stall                     never reads the body
 *	early, earlybad           answer after the head, then read the body
 *	earlydeaf, earlybaddeaf   answer after the head, never read the body
 *	cutonce                   ends the connection of the first request after
 *	                          CUT_BYTES of its body; echoes the others
 *	readon-STATUS-FRAMING     begin an answer after the head, then read the
 *	                          body, see answer_and_read_on()
 *
 * "fieldsN" answers with N header fields of about 150 bytes. Behaviours that
 * begin with "endless" send bytes until the peer closes, see
 * endless[]. "seq-A-B" behaves as A for the first complete request of the path
 * and as B for the others; there may be more parts.
 *
 * early and earlydeaf answer 200, the others 413 with a body of 1 MB. With
 * "close" after "bad", this answer has "Connection: close".
 *
 * The counters are read with:
 *
 *	/ctl/count<path>   complete requests received for <path>
 *	/ctl/gone<path>    connections closed by the peer during stall, hang,
 *	                   hangbody, earlydeaf, earlybaddeaf or endless ones
 *	/ctl/begun<path>   answers that readon began, connections that cutonce
 *	                   ended
 *	/ctl/read<path>    request bodies that readon read to their end or until
 *	                   the connection ended
 *	/ctl/cut<path>     of these, bodies that were complete by their framing
 *	                   and did not end with BODY_END
 *
 * Prints "port N" when it listens.
 */
#include <ctype.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_HEAD (64 * 1024)
#define MAX_PATHS 8192
#define BIG_BODY (8 * 1024 * 1024)
#define HUGE_BODY (64 * 1024 * 1024)
#define HUGE_BLOCK (64 * 1024)
/* Callers of readon end their bodies with this. */
#define BODY_END "end"
#define CUT_BYTES 20000
#define MEDIUM_BODY 150000 /* below CALL_BUFFERED_ANSWER_MAX */
#define OVER_4K_BODY 5000  /* above the 4 KiB that a claim stores */
#define MAX_HANG_MS 20000
#define EARLY_BODY 1000000
#define EARLY_LENGTH "Content-Length: 1000000\r\n\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define REFUSAL                                                                \
	"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Not-Run: 1\r\n"              \
	"Content-Length: 0\r\n\r\n"
#define SECOND_SEND_DELAY_US 30000
#define SLOW_DELAY_US 30000
#define SLOW_BYTE_US 10000
#define SLOWER_DELAY_US 500000
/* Far more than a client may read before it gives up. */
#define MAX_ENDLESS_BYTES (256 * 1024 * 1024)

/**
 * struct path_count - counters of one path
 * @complete: complete requests received
 * @closed: connections on which wait_for_close() saw the peer close
 * @begun, @read, @cut: see /ctl/begun, /ctl/read and /ctl/cut
 */
struct path_count {
	char path[256];
	int complete;
	int closed;
	int begun, read, cut;
};

/**
 * struct conn - one connection and its current request
 * @requests: requests served on the connection
 * @buf: input that was read but not consumed, NUL-terminated
 * @n: bytes in @buf
 * @body: request body without chunk framing
 */
struct conn {
	int fd;
	int requests;
	char buf[MAX_HEAD + 1];
	size_t n;
	char head[MAX_HEAD + 1];
	char path[256];
	char *body;
	size_t body_n;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct path_count counts[MAX_PATHS];
static int n_counts;

/* Called with the lock held. */
static struct path_count *
find_path(const char *path)
{
	for (int i = 0; i < n_counts; i++) {
		if (strcmp(counts[i].path, path) == 0)
			return (&counts[i]);
	}
	if (n_counts == MAX_PATHS)
		abort();
	snprintf(counts[n_counts].path, sizeof(counts[0].path), "%s", path);
	return (&counts[n_counts++]);
}

static void
send_all(int fd, const char *p, size_t n)
{
	while (n != 0) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

		if (k <= 0)
			return;
		p += k;
		n -= (size_t)k;
	}
}

static void
send_str(int fd, const char *s)
{
	send_all(fd, s, strlen(s));
}

static void
send_body(int fd, const char *fields, const char *body, size_t n)
{
	char head[256];

	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n", fields, n);
	send_str(fd, head);
	send_all(fd, body, n);
}

static bool
fill(struct conn *c)
{
	ssize_t k;

	if (c->n == MAX_HEAD)
		return (false);
	k = recv(c->fd, c->buf + c->n, MAX_HEAD - c->n, 0);
	if (k <= 0)
		return (false);
	c->n += (size_t)k;
	c->buf[c->n] = '\0';
	return (true);
}

static void
consume(struct conn *c, char *to, size_t n)
{
	if (to != NULL)
		memcpy(to, c->buf, n);
	memmove(c->buf, c->buf + n, c->n - n + 1);
	c->n -= n;
}

static bool
read_bytes(struct conn *c, size_t n)
{
	c->body = realloc(c->body, c->body_n + n + 1);
	while (n != 0) {
		size_t k;

		if (c->n == 0 && !fill(c))
			return (false);
		k = c->n < n ? c->n : n;
		consume(c, c->body + c->body_n, k);
		c->body_n += k;
		n -= k;
	}
	return (true);
}

static bool
read_line(struct conn *c, char *line, size_t max)
{
	char *end;

	while ((end = strstr(c->buf, "\r\n")) == NULL) {
		if (!fill(c))
			return (false);
	}
	if ((size_t)(end - c->buf) >= max)
		return (false);
	memcpy(line, c->buf, (size_t)(end - c->buf));
	line[end - c->buf] = '\0';
	consume(c, NULL, (size_t)(end - c->buf) + 2);
	return (true);
}

static bool
read_chunks(struct conn *c)
{
	char line[64];
	size_t n;

	do {
		if (!read_line(c, line, sizeof(line)))
			return (false);
		n = strtoul(line, NULL, 16);
		if (!read_bytes(c, n) || !read_line(c, line, sizeof(line)))
			return (false);
	} while (n != 0);
	return (true);
}

/* Waits until the peer closes the connection, and counts it for the path. */
static void
wait_for_close(struct conn *c)
{
	struct pollfd p = {.fd = c->fd, .events = POLLRDHUP};

	if (poll(&p, 1, MAX_HANG_MS) != 1)
		return;
	pthread_mutex_lock(&lock);
	find_path(c->path)->closed++;
	pthread_mutex_unlock(&lock);
}

/**
 * struct endless - answer that never ends
 * @name: behaviour; with "slow" appended it is sent a byte at a time
 * @start: beginning of the answer
 * @unit: bytes that are repeated
 */
struct endless {
	const char *name, *start, *unit;
};

#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"

static const struct endless endless[] = {
    {"endlessnoise", "", "no HTTP at all"},
    {"endlesshead", OK, "X-Field: value\r\n"},
    {"endlessline", OK "X-Field: ", "value"},
    {"endlessinterim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"endlesssize", CHUNKED, "0"},
    {"endlessextension", CHUNKED "2;", "name"},
    {"endlesstrailer", CHUNKED "2\r\nok\r\n0\r\n", "X-Field: value\r\n"},
    {"endlessbody", CHUNKED, "4\r\ndata\r\n"},
};

/* Sends an answer that never ends; returns false for any other behaviour. */
static bool
send_endless(struct conn *c, const char *name)
{
	const struct endless *e = NULL;
	bool slow = strstr(name, "slow") != NULL;
	size_t n, step;

	for (size_t i = 0; i < sizeof(endless) / sizeof(*endless); i++) {
		if (strncmp(name, endless[i].name, strlen(endless[i].name)) ==
		    0)
			e = &endless[i];
	}
	if (e == NULL)
		return (false);
	send_str(c->fd, e->start);
	n = strlen(e->unit);
	step = slow ? 1 : n;
	for (size_t sent = 0; sent < MAX_ENDLESS_BYTES; sent += step) {
		if (send(c->fd, e->unit + sent % n, step, MSG_NOSIGNAL) < 0)
			break;
		if (slow)
			usleep(SLOW_BYTE_US);
	}
	pthread_mutex_lock(&lock);
	find_path(c->path)->closed++;
	pthread_mutex_unlock(&lock);
	return (true);
}

/* Answers when only the head was read; the connection ends afterwards. */
static void
answer_early(struct conn *c)
{
	char rest[4096];
	bool ignore_body = strstr(c->path, "deaf/") != NULL;

	if (strstr(c->path, "/earlybad") != NULL) {
		char *p = calloc(1, EARLY_BODY);

		memset(p, 'e', EARLY_BODY);
		send_str(c->fd, "HTTP/1.1 413 Large\r\n");
		if (strstr(c->path, "/earlybadclose") != NULL)
			send_str(c->fd, "Connection: close\r\n");
		send_str(c->fd, EARLY_LENGTH);
		send_all(c->fd, p, EARLY_BODY);
		free(p);
	} else {
		send_str(c->fd, OK);
		/* Without this field libcurl would reuse the connection. */
		if (!ignore_body)
			send_str(c->fd, "Connection: close\r\n");
		send_str(c->fd, "Content-Length: 2\r\n\r\nok");
	}
	if (ignore_body)
		wait_for_close(c);
	else
		while (recv(c->fd, rest, sizeof(rest), 0) > 0)
			continue;
}

static bool
read_body(struct conn *c)
{
	const char *field = strcasestr(c->head, "\r\nContent-Length:");

	if (field != NULL)
		return (read_bytes(c, strtoul(field + 17, NULL, 10)));
	if (strcasestr(c->head, "\r\nTransfer-Encoding: chunked") != NULL)
		return (read_chunks(c));
	return (true);
}

static bool
body_is_intact(const struct conn *c)
{
	const size_t n = strlen(BODY_END);

	return (c->body_n >= n &&
	    memcmp(c->body + c->body_n - n, BODY_END, n) == 0);
}

/**
 * struct early_framing - parts of an early answer with the body "abcd"
 * @name: FRAMING in the request path; with "-close" appended the answer has
 *	"Connection: close"
 * @start: fields and body that are sent before the request body is read
 * @rest: sent afterwards
 */
struct early_framing {
	const char *name, *start, *rest;
};

static const struct early_framing early_framings[] = {
    {"whole", "Content-Length: 4\r\n\r\nabcd", ""},
    {"length", "Content-Length: 4\r\n\r\nab", "cd"},
    {"chunked", "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
	"2\r\ncd\r\n0\r\n\r\n"},
    {"none", "\r\nab", "cd"},
};

/* Begins an answer, reads the request body, ends the answer and closes. */
static void
answer_and_read_on(struct conn *c)
{
	const struct early_framing *f = &early_framings[0];
	const char *name = strstr(c->path, "/readon-") + strlen("/readon-NNN-");
	bool whole;

	for (size_t i = 0; i < sizeof(early_framings) / sizeof(*f); i++) {
		if (strncmp(name, early_framings[i].name,
			strlen(early_framings[i].name)) == 0)
			f = &early_framings[i];
	}
	send_str(c->fd, "HTTP/1.1 ");
	send_all(c->fd, name - strlen("NNN-"), 3);
	send_str(c->fd, " Early\r\n");
	if (strstr(name, "-close/") != NULL)
		send_str(c->fd, "Connection: close\r\n");
	send_str(c->fd, f->start);
	pthread_mutex_lock(&lock);
	find_path(c->path)->begun++;
	pthread_mutex_unlock(&lock);
	whole = read_body(c);
	send_str(c->fd, f->rest);
	pthread_mutex_lock(&lock);
	find_path(c->path)->complete += whole;
	find_path(c->path)->read++;
	find_path(c->path)->cut += whole && !body_is_intact(c);
	pthread_mutex_unlock(&lock);
}

/* Reads a part of the body of the path's first request; false for others. */
static bool
cut_first(struct conn *c)
{
	bool first;

	pthread_mutex_lock(&lock);
	first = find_path(c->path)->begun == 0;
	pthread_mutex_unlock(&lock);
	if (!first)
		return (false);
	read_bytes(c, CUT_BYTES);
	pthread_mutex_lock(&lock);
	find_path(c->path)->begun++;
	pthread_mutex_unlock(&lock);
	return (true);
}

static bool
read_request(struct conn *c)
{
	char *end;

	c->body_n = 0;
	while ((end = strstr(c->buf, "\r\n\r\n")) == NULL) {
		if (!fill(c))
			return (false);
	}
	consume(c, c->head, (size_t)(end - c->buf) + 4);
	c->head[end - c->buf + 4] = '\0';
	if (sscanf(c->head, "%*s %255[^? \r\n]", c->path) != 1)
		return (false);
	if (strncmp(c->path, "/ctl/", 5) != 0 &&
	    strstr(c->path, "/stall/") != NULL) {
		wait_for_close(c);
		return (false);
	}
	if (strncmp(c->path, "/ctl/", 5) != 0 &&
	    strstr(c->path, "/early") != NULL) {
		answer_early(c);
		return (false);
	}
	if (strncmp(c->path, "/ctl/", 5) != 0 &&
	    strstr(c->path, "/readon-") != NULL) {
		answer_and_read_on(c);
		return (false);
	}
	if (strncmp(c->path, "/ctl/", 5) != 0 &&
	    strstr(c->path, "/cutonce/") != NULL && cut_first(c))
		return (false);
	return (read_body(c));
}

/**
 * struct canned - fixed answer
 * @name: behaviour in the request path
 * @close: the connection is closed after the answer
 */
struct canned {
	const char *name;
	bool close;
	const char *text;
};

#define CANNED_OK OK "Content-Length: 2\r\n\r\nok"

static const struct canned canned[] = {
    {"ok", false, CANNED_OK},
    {"extra", false, CANNED_OK OK "Content-Length: 6\r\n\r\nstolen"},
    {"chunked", false,
	OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n2\r\ncd\r\n0\r\n\r\n"},
    {"trailer", false,
	OK "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Late: "
	   "1\r\n\r\n"},
    {"headlen", false, OK "Content-Length: 5\r\n\r\n"},
    {"headbody", false, OK "Content-Length: 6\r\n\r\nstolen"},
    {"s204", false, "HTTP/1.1 204 No Content\r\n\r\n"},
    {"s304", false,
	"HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\nETag: x\r\n\r\n"},
    {"s204body", false,
	"HTTP/1.1 204 No Content\r\nContent-Length: 6\r\n\r\nstolen"},
    {"s500", false, "HTTP/1.1 500 Bad\r\nContent-Length: 4\r\n\r\noops"},
    {"interim", false,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nX-Early: "
	"1\r\nContent-Length: 6\r\n\r\n" CANNED_OK},
    {"switch", true,
	"HTTP/1.1 101 Switch\r\nUpgrade: x\r\nConnection: "
	"Upgrade\r\n\r\n" CANNED_OK},
    {"own", false,
	OK "X-Error-Kind: connect\r\nX-Outcome: not-run\r\nX-Replayed: 1\r\n"
	   "X-Body-Omitted: 1\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\n"
	   "Date: Thu, 01 Jan 1970 00:00:00 GMT\r\nConnection: X-Hop\r\nX-Hop: "
	   "1\r\nX-End: 1\r\n"
	   "Content-Length: 2\r\n\r\nok"},
    {"draining", false,
	OK "X-State: draining\r\nX-Load: 3\r\nContent-Length: 2\r\n\r\nok"},
    {"ready", false, OK "X-State: ready\r\nContent-Length: 2\r\n\r\nok"},
    {"refuse", false,
	"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"},
    {"refusecut", true,
	"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nb"},
    {"notrun200", false, OK "X-Not-Run: 1\r\nContent-Length: 2\r\n\r\nok"},
    {"close", true, ""},
    {"leaving", false, OK "Server-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"},
    {"pause", false,
	"HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nRetry-After: 0.6\r\n"
	"Content-Length: 0\r\n\r\n"},
    {"shed", false, REFUSAL},
    {"refusetwice", false, REFUSAL REFUSAL},
    {"cuthead", true, OK "Content-Len"},
    {"cutfields", true, OK "Content-Length: 2\r\n"},
    {"cutlen", true, OK "Content-Length: 10\r\n\r\npart"},
    {"cutchunk", true, OK "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
    {"garbage", true, "no HTTP at all\r\n\r\n"},
    {"duplen", false, OK "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
    {"duplen2", false, OK "Content-Length: 2\r\nContent-Length: 9\r\n\r\nok"},
    {"lenlist", false, OK "Content-Length: 2, 2\r\n\r\nok"},
    {"neglen", false, OK "Content-Length: -2\r\n\r\nok"},
    {"lente", false,
	OK "Content-Length: 2\r\nTransfer-Encoding: "
	   "chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
    {"telen", false,
	OK "Transfer-Encoding: chunked\r\nContent-Length: "
	   "2\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
    {"tegzip", true, OK "Transfer-Encoding: gzip, chunked\r\n\r\nok"},
    {"eofbody", true, OK "\r\nok"},
    {"http10", true, "HTTP/1.0 200 OK\r\n\r\nok"},
    {"badchunk", true, OK "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n"},
    {"fold", false, OK "X-A: 1\r\n X-B: 2\r\nContent-Length: 2\r\n\r\nok"},
    {"barecr", false, OK "X-A: 1\rX-B: 2\r\nContent-Length: 2\r\n\r\nok"},
    {"s000", false, "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok"},
    {"s000bare", false, "HTTP/1.1 000\r\nContent-Length: 2\r\n\r\nok"},
    {"s099", false, "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok"},
    {"s600", false, "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok"},
    {"s999", false, "HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok"},
    {"s00", false, "HTTP/1.1 00 X\r\nContent-Length: 2\r\n\r\nok"},
    {"interim000", false,
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X\r\n"
	"Content-Length: 2\r\n\r\nok"},
    {"spacename", false, OK "Content-Length : 2\r\n\r\nok"},
};

static const struct canned *
find_canned(const char *name)
{
	for (size_t i = 0; i < sizeof(canned) / sizeof(*canned); i++) {
		if (strcmp(canned[i].name, name) == 0)
			return (&canned[i]);
	}
	return (NULL);
}

static int
read_counter(const struct path_count *p, const char *name, size_t n)
{
	const struct {
		const char *name;
		int value;
	} counters[] = {{"count", p->complete}, {"gone", p->closed},
	    {"begun", p->begun}, {"read", p->read}, {"cut", p->cut}};

	for (size_t i = 0; i < sizeof(counters) / sizeof(*counters); i++) {
		if (strlen(counters[i].name) == n &&
		    memcmp(counters[i].name, name, n) == 0)
			return (counters[i].value);
	}
	return (-1);
}

static void
answer_ctl(struct conn *c)
{
	const char *name = c->path + strlen("/ctl/");
	size_t n = strcspn(name, "/");
	char text[16];

	pthread_mutex_lock(&lock);
	snprintf(text, sizeof(text), "%d",
	    read_counter(find_path(name + n), name, n));
	pthread_mutex_unlock(&lock);
	send_body(c->fd, "", text, strlen(text));
}

static void
send_filled(struct conn *c, size_t n, bool chunked)
{
	char *p = malloc(n);

	for (size_t i = 0; i < n; i++)
		p[i] = (char)('a' + i % 23);
	if (!chunked) {
		send_body(c->fd, "Content-Type: text/x\r\n", p, n);
	} else {
		char line[32];

		snprintf(line, sizeof(line), "%zx\r\n", n);
		send_str(c->fd, OK "Transfer-Encoding: chunked\r\n\r\n");
		send_str(c->fd, line);
		send_all(c->fd, p, n);
		send_str(c->fd, "\r\n0\r\n\r\n");
	}
	free(p);
}

static void
send_huge(struct conn *c)
{
	static const char block[HUGE_BLOCK];
	char head[64];

	snprintf(head, sizeof(head), OK "Content-Length: %zu\r\n\r\n",
	    (size_t)HUGE_BODY);
	send_str(c->fd, head);
	for (size_t n = 0; n < HUGE_BODY; n += sizeof(block))
		send_all(c->fd, block, sizeof(block));
}

static void
send_large_head(struct conn *c, int fields)
{
	char line[256];

	send_str(c->fd, OK);
	for (int i = 0; i < fields; i++) {
		snprintf(line, sizeof(line), "X-Fill-%d: %0140d\r\n", i, i);
		send_str(c->fd, line);
	}
	send_str(c->fd, "Content-Length: 2\r\n\r\nok");
}

static void
send_reset(struct conn *c)
{
	const struct linger l = {.l_onoff = 1, .l_linger = 0};

	send_str(c->fd, OK "Content-Length: 10\r\n\r\npart");
	usleep(SECOND_SEND_DELAY_US);
	setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
}

/* Answers one request; false when the connection ends. */
static bool
respond(struct conn *c, const char *name)
{
	const struct canned *k = find_canned(name);
	bool keep_alive = true;
	int n;

	if (k != NULL) {
		send_str(c->fd, k->text);
		return (!k->close);
	}
	if (strcmp(name, "echo") == 0 || strcmp(name, "cutonce") == 0) {
		send_body(c->fd, "", c->body, c->body_n);
	} else if (strcmp(name, "echohead") == 0) {
		send_body(c->fd, "", c->head, strlen(c->head));
	} else if (strcmp(name, "big") == 0) {
		send_filled(c, BIG_BODY, false);
	} else if (strcmp(name, "bigchunk") == 0) {
		send_filled(c, BIG_BODY, true);
	} else if (strcmp(name, "huge") == 0) {
		send_huge(c);
	} else if (strcmp(name, "medium") == 0) {
		send_filled(c, MEDIUM_BODY, false);
	} else if (strcmp(name, "over4k") == 0) {
		send_filled(c, OVER_4K_BODY, false);
	} else if (strcmp(name, "largehead") == 0) {
		send_large_head(c, 300);
	} else if (strcmp(name, "midhead") == 0) {
		send_large_head(c, 99);
	} else if (sscanf(name, "fields%d", &n) == 1) {
		send_large_head(c, n);
	} else if (strcmp(name, "slow") == 0) {
		usleep(SLOW_DELAY_US);
		send_str(c->fd, CANNED_OK);
	} else if (strcmp(name, "slower") == 0) {
		usleep(SLOWER_DELAY_US);
		send_str(c->fd, CANNED_OK);
	} else if (strcmp(name, "slowclose") == 0) {
		usleep(SLOWER_DELAY_US / 2);
		keep_alive = false;
	} else if (strcmp(name, "slowhead") == 0) {
		usleep(SLOW_DELAY_US);
		send_body(c->fd, "", c->head, strlen(c->head));
	} else if (strcmp(name, "refuselate") == 0) {
		send_str(c->fd, REFUSAL);
		usleep(SECOND_SEND_DELAY_US);
		send_str(c->fd, REFUSAL);
	} else if (strcmp(name, "lateextra") == 0) {
		send_str(c->fd, CANNED_OK);
		usleep(SECOND_SEND_DELAY_US);
		send_str(c->fd, OK "Content-Length: 6\r\n\r\nstolen");
	} else if (strcmp(name, "closereused") == 0) {
		keep_alive = c->requests == 1;
		if (keep_alive)
			send_str(c->fd, CANNED_OK);
	} else if (send_endless(c, name)) {
		keep_alive = false;
	} else if (strcmp(name, "hang") == 0) {
		wait_for_close(c);
		keep_alive = false;
	} else if (strcmp(name, "hangbody") == 0) {
		send_str(c->fd, OK "Content-Length: 10\r\n\r\npart");
		wait_for_close(c);
		keep_alive = false;
	} else if (strcmp(name, "resetbody") == 0) {
		send_reset(c);
		keep_alive = false;
	} else {
		send_str(
		    c->fd, "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n");
	}
	return (keep_alive);
}

/* Replaces the name of a sequence by that of its part @n, from 1. */
static void
choose_part(char *name, int n)
{
	char *part = name + strlen("seq-");
	char *next;

	while (--n > 0 && (next = strchr(part, '-')) != NULL)
		part = next + 1;
	part[strcspn(part, "-")] = '\0';
	memmove(name, part, strlen(part) + 1);
}

static void *
serve(void *arg)
{
	struct conn *c = arg;
	bool keep_alive = true;

	while (keep_alive && read_request(c)) {
		char name[64] = "";
		int n;

		c->requests++;
		if (strncmp(c->path, "/ctl/", 5) == 0) {
			answer_ctl(c);
			continue;
		}
		pthread_mutex_lock(&lock);
		n = ++find_path(c->path)->complete;
		pthread_mutex_unlock(&lock);
		sscanf(c->path, "/%*[^/]/%63[^/]", name);
		if (strncmp(name, "seq-", strlen("seq-")) == 0)
			choose_part(name, n);
		keep_alive = respond(c, name);
	}
	close(c->fd);
	free(c->body);
	free(c);
	return (NULL);
}

int
main(void)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	const int one = 1;

	signal(SIGPIPE, SIG_IGN);
	if (bind(fd, (struct sockaddr *)&sin, len) != 0 ||
	    listen(fd, 128) != 0 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) != 0) {
		perror("listen");
		return (1);
	}
	printf("port %u\n", ntohs(sin.sin_port));
	fflush(stdout);
	for (;;) {
		int client = accept(fd, NULL, NULL);
		struct conn *c;
		pthread_t t;

		if (client < 0)
			return (1);
		c = calloc(1, sizeof(*c));
		c->fd = client;
		setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_create(&t, NULL, serve, c);
		pthread_detach(t);
	}
}
