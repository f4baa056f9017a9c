#include "platform/store_client.h"

#include <ne_request.h>
#include <ne_socket.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/byte_string.h"

#define MAX_TARGET_BYTES 512
#define MAX_QUERY_BYTES 256
#define MAX_RESPONSE_BYTES (64 * 1024 * 1024)
#define DEFAULT_CONNECT_TIMEOUT_S 1
#define DEFAULT_READ_TIMEOUT_S 2

void
store_client_init(struct store_client *s, const struct store_client_desc *desc)
{
	*s = (struct store_client){0};
	ne_sock_init();
	s->session = ne_session_create("http", desc->addr, desc->port);
	s->read_timeout_s = desc->read_timeout_s != 0 ? desc->read_timeout_s
						      : DEFAULT_READ_TIMEOUT_S;
	ne_set_connect_timeout(s->session,
	    desc->connect_timeout_s != 0 ? desc->connect_timeout_s
					 : DEFAULT_CONNECT_TIMEOUT_S);
	ne_set_read_timeout(s->session, s->read_timeout_s);
}

void
store_client_finish(struct store_client *s)
{
	ne_session_destroy(s->session);
	s->session = NULL;
}

static int
append_block(void *arg, const char *data, size_t n)
{
	struct bbuf *b = arg;

	if (b->n + n > MAX_RESPONSE_BYTES)
		return (-1);
	bbuf_add(b, (struct bstr){data, n});
	return (0);
}

static json_t *
parse_response(const struct bbuf *body, GError **error)
{
	json_error_t e;
	json_t *v = json_loadb(body->p, body->n, JSON_DECODE_ANY, &e);

	if (v == NULL)
		g_set_error(error, ERR_QUARK, ERR_STORE,
		    "response is not valid JSON: %s", e.text);
	return (v);
}

static enum err_kind
status_to_err(int status)
{
	switch (status) {
	case 404:
		return (ERR_NOT_FOUND);
	case 412:
		return (ERR_CONFLICT);
	default:
		return (ERR_STORE);
	}
}

/*
 * Sends one request. A request with a @body is a write, which sends @version as
 * If-Match.
 */
static json_t *
request(struct store_client *s, const char *method, const char *target,
    const char *body, uint64_t version, GError **error)
{
	ne_request *r = ne_request_create(s->session, method, target);
	struct bbuf response;
	json_t *v = NULL;
	int rc, status;

	bbuf_init(&response);
	if (body != NULL) {
		ne_set_request_flag(r, NE_REQFLAG_IDEMPOTENT, 0);
		ne_set_request_body_buffer(r, body, strlen(body));
		ne_print_request_header(
		    r, "If-Match", "%llu", (unsigned long long)version);
		s->writes++;
	} else {
		s->reads++;
	}
	ne_add_response_body_reader(
	    r, ne_accept_always, append_block, &response);
	rc = ne_request_dispatch(r);
	status = ne_get_status(r)->code;
	if (rc != NE_OK)
		g_set_error(error, ERR_QUARK, ERR_STORE, "%s %s: %s", method,
		    target, ne_get_error(s->session));
	else if (status != 200)
		g_set_error(error, ERR_QUARK, (int)status_to_err(status),
		    "%s %s: status %d", method, target, status);
	else
		v = parse_response(&response, error);
	ne_request_destroy(r);
	bbuf_finish(&response);
	return (v);
}

json_t *
store_client_get(
    struct store_client *s, const char *key, uint64_t *version, GError **error)
{
	char target[MAX_TARGET_BYTES];
	json_t *response, *value;

	snprintf(target, sizeof(target), "/objects/%s", key);
	response = request(s, "GET", target, NULL, 0, error);
	if (response == NULL)
		return (NULL);
	value = json_incref(json_object_get(response, "value"));
	*version =
	    (uint64_t)json_integer_value(json_object_get(response, "version"));
	json_decref(response);
	return (value);
}

bool
store_client_put(struct store_client *s, const char *key, const json_t *value,
    uint64_t if_version, uint64_t *version, GError **error)
{
	char target[MAX_TARGET_BYTES];
	char *body = value == NULL
	    ? bstr_dup(BSTR(""))
	    : json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	json_t *response;

	snprintf(target, sizeof(target), "/objects/%s", key);
	response = request(s, value == NULL ? "DELETE" : "PUT", target, body,
	    if_version, error);
	free(body);
	if (response == NULL)
		return (false);
	*version =
	    (uint64_t)json_integer_value(json_object_get(response, "version"));
	json_decref(response);
	return (true);
}

/* Converts the prefix list "a,b" to the query "prefix=a&prefix=b". */
static void
prefix_query(const char *prefixes, char *out, size_t max)
{
	size_t n = 0;

	out[0] = '\0';
	for (const char *p = prefixes; n < max;) {
		size_t len = strcspn(p, ",");

		n += (size_t)snprintf(out + n, max - n, "%sprefix=%.*s",
		    n == 0 ? "" : "&", (int)len, p);
		if (p[len] == '\0')
			break;
		p += len + 1;
	}
}

json_t *
store_client_list(struct store_client *s, const char *prefix, GError **error)
{
	char target[MAX_TARGET_BYTES];
	char query[MAX_QUERY_BYTES];

	prefix_query(prefix, query, sizeof(query));
	snprintf(target, sizeof(target), "/objects?%s", query);
	return (request(s, "GET", target, NULL, 0, error));
}

json_t *
store_client_watch(struct store_client *s, const char *prefix, uint64_t since,
    int wait_ms, GError **error)
{
	char target[MAX_TARGET_BYTES];
	char query[MAX_QUERY_BYTES];
	json_t *v;

	prefix_query(prefix, query, sizeof(query));
	snprintf(target, sizeof(target), "/watch?%s&since=%llu&wait_ms=%d",
	    prefix, (unsigned long long)since, wait_ms);
	ne_set_read_timeout(s->session, s->read_timeout_s + wait_ms / 1000);
	v = request(s, "GET", target, NULL, 0, error);
	ne_set_read_timeout(s->session, s->read_timeout_s);
	return (v);
}

json_t *
store_client_vms(struct store_client *s, GError **error)
{
	return (request(s, "GET", "/vms", NULL, 0, error));
}
