#include "front/upstream_request.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "front/hop_headers.h"
#include "front/worker.h"
#include "sys/clocks.h"

#define CONNECT_TIMEOUT_MS 250L
/* A connection whose data is not acknowledged for this long is closed. */
#define ACK_TIMEOUT_MS 1500
/* Reuse limit of idle connections if the upstream reports none. */
#define DEFAULT_IDLE_LIMIT_S 60L

static void
add_field(struct call_attempt *a, struct bstr name, struct bstr value)
{
	struct bbuf *b = worker_scratch(a->call->w);

	bbuf_clear(b);
	bbuf_add(b, name);
	/* libcurl sends "name;" as a field with an empty value. */
	bbuf_add(b, value.n == 0 ? BSTR(";") : BSTR(": "));
	bbuf_add(b, value);
	a->out_headers = curl_slist_append(a->out_headers, b->p);
}

/* Prevents libcurl from adding a default field that the caller did not send. */
static void
suppress_default(struct call_attempt *a, const char *name, const char *line)
{
	if (MHD_lookup_connection_value(a->call->conn, MHD_HEADER_KIND, name) ==
	    NULL)
		a->out_headers = curl_slist_append(a->out_headers, line);
}

/**
 * struct connection_search - search for a name in the Connection fields
 * @name: field name to find
 * @found: a Connection field lists it
 */
struct connection_search {
	struct bstr name;
	bool found;
};

static enum MHD_Result
check_connection(
    void *arg, enum MHD_ValueKind kind, const char *key, const char *value)
{
	struct connection_search *search = arg;

	(void)kind;
	if (bstr_caseeq(bstr_from(key), BSTR("Connection")) &&
	    hop_connection_lists(bstr_from(value), search->name))
		search->found = true;
	return (search->found ? MHD_NO : MHD_YES);
}

static bool
is_listed(const struct call *c, struct bstr name)
{
	struct connection_search search = {.name = name};

	if (call_header_in(c, "Connection").n == 0)
		return (false);
	MHD_get_connection_values(
	    c->conn, MHD_HEADER_KIND, check_connection, &search);
	return (search.found);
}

/*
 * Compares field names as an upstream may that passes fields as environment
 * variables: without regard to letter case, and with "_" as "-".
 */
static bool
is_same_variable(struct bstr a, struct bstr b)
{
	if (a.n != b.n)
		return (false);
	for (size_t i = 0; i < a.n; i++) {
		char x = a.p[i] == '_' ? '-' : a.p[i];
		char y = b.p[i] == '_' ? '-' : b.p[i];

		if (g_ascii_tolower(x) != g_ascii_tolower(y))
			return (false);
	}
	return (true);
}

/* Whether a field of the caller must not reach upstreams of a workspace. */
static bool
is_credential(const struct call *c, struct bstr name)
{
	const char *field =
	    worker_shared_state(c->w)->protocol->workspace_field;

	return (c->workspaces_required &&
	    (bstr_caseeq(name, BSTR("Authorization")) ||
		is_same_variable(name, bstr_from(field))));
}

static enum MHD_Result
copy_field(
    void *arg, enum MHD_ValueKind kind, const char *key, const char *value)
{
	struct call_attempt *a = arg;
	struct call *c = a->call;
	const struct upstream_protocol *protocol =
	    worker_shared_state(c->w)->protocol;
	struct bstr name = bstr_from(key);

	(void)kind;
	if (hop_is_hop_by_hop(name) ||
	    bstr_caseeq(name, BSTR("Content-Length")) ||
	    bstr_caseeq(name, BSTR("Expect")) ||
	    bstr_caseeq(name, bstr_from(protocol->deadline_field)) ||
	    bstr_caseeq(name, bstr_from(protocol->instance_field)) ||
	    is_credential(c, name) || is_listed(c, name))
		return (MHD_YES);
	add_field(a, name, bstr_from(value));
	return (MHD_YES);
}

static void
set_headers(struct call_attempt *a, int64_t now_us)
{
	struct call *c = a->call;
	const struct upstream_protocol *protocol =
	    worker_shared_state(c->w)->protocol;
	int64_t left_ms;
	char value[32];

	a->out_headers = curl_slist_append(a->out_headers, "Expect:");
	suppress_default(a, "User-Agent", "User-Agent:");
	suppress_default(a, "Accept", "Accept:");
	suppress_default(a, "Content-Type", "Content-Type:");
	MHD_get_connection_values(c->conn, MHD_HEADER_KIND, copy_field, a);
	left_ms = (c->deadline_us - now_us) / 1000;
	snprintf(value, sizeof(value), "%lld",
	    (long long)(protocol->deadline_left ? left_ms
						: clk_wall_ms() + left_ms));
	add_field(a, bstr_from(protocol->deadline_field), bstr_from(value));
	if (protocol->instance_field[0] != '\0')
		add_field(a, bstr_from(protocol->instance_field),
		    bstr_from(a->instance));
	if (protocol->workspace_field[0] != '\0' && c->workspace[0] != '\0')
		add_field(a, bstr_from(protocol->workspace_field),
		    bstr_from(c->workspace));
}

static void
set_method(struct call_attempt *a)
{
	const struct call *c = a->call;
	CURL *e = a->easy;

	if (c->head_request) {
		curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
		/*
		 * If a body follows the response to HEAD, libcurl still
		 * reuses the connection, and the next call would read
		 * that body.
		 */
		curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
		return;
	}
	if (c->has_body) {
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(
		    e, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)c->body_len);
		if (c->body_len < 0)
			add_field(
			    a, BSTR("Transfer-Encoding"), BSTR("chunked"));
	} else if (bstr_eq(c->method, BSTR("POST")) ||
	    bstr_eq(c->method, BSTR("PUT"))) {
		curl_easy_setopt(e, CURLOPT_POST, 1L);
		curl_easy_setopt(e, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE, 0L);
	} else if (bstr_eq(c->method, BSTR("GET"))) {
		return;
	}
	curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, c->method.p);
}

int
upstream_request_open_socket(const struct curl_sockaddr *a)
{
	const unsigned ack_timeout_ms = ACK_TIMEOUT_MS;
	int fd = socket(
	    a->family, a->socktype | SOCK_CLOEXEC | SOCK_NONBLOCK, a->protocol);

	/* Otherwise the kernel retransmits to a lost VM for minutes. */
	if (fd >= 0 &&
	    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ack_timeout_ms,
		sizeof(ack_timeout_ms)) != 0)
		g_debug("front: cannot set TCP_USER_TIMEOUT: %s",
		    g_strerror(errno));
	return (fd);
}

static int
on_close(void *arg, curl_socket_t fd)
{
	upstream_socket_closed(worker_sockets(arg), fd);
	return (close(fd));
}

/* Longest idle time of a reused connection, below the upstream's own limit. */
static long
idle_limit_s(const struct rt_stat *upstream)
{
	int64_t s = atomic_load(&upstream->idle_limit_us) / 1000000;

	if (s == 0)
		return (DEFAULT_IDLE_LIMIT_S);
	return (s <= 1 ? 1L : (long)s - 1);
}

void
upstream_request_set_connection(
    CURL *e, struct worker *w, const struct rt_stat *upstream)
{
	curl_easy_setopt(e, CURLOPT_PROXY, "");
	curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, idle_limit_s(upstream));
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(e, CURLOPT_CLOSESOCKETDATA, w);
}

void
upstream_request_setup(struct call_attempt *a, int64_t now_us)
{
	struct call *c = a->call;
	const struct upstream_protocol *protocol =
	    worker_shared_state(c->w)->protocol;
	char url[CALL_ADDR_MAX + 16];
	CURL *e = a->easy;

	snprintf(url, sizeof(url), "http://%s/", a->addr);
	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_REQUEST_TARGET, c->target.p);
	upstream_request_set_connection(e, c->w, a->upstream);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS,
	    (long)((c->deadline_us - now_us) / 1000 + 1));
	curl_easy_setopt(e, CURLOPT_PRIVATE, &a->xfer);
	if (c->need_new_conn ||
	    (!c->idempotent && protocol->new_connection_for_non_idempotent))
		curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
	set_headers(a, now_us);
	set_method(a);
	curl_easy_setopt(e, CURLOPT_HTTPHEADER, a->out_headers);
}
