#include "ops/ops_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#define MAX_BODY_BYTES (1024 * 1024)
#define MAX_CONNECTIONS 64
#define IDLE_TIMEOUT_S 30u
/* Longer than any single step of the control thread, which responds. */
#define ANSWER_TIMEOUT_S 15

/* Response, shared by the waiting connection thread and the control thread. */
struct ops_reply {
	pthread_mutex_t lock;
	pthread_cond_t answered;
	int refs;
	bool done;
	unsigned status;
	char *content_type;
	struct bbuf text;
};

struct ops_server {
	struct ops_desc desc;
	struct MHD_Daemon *mhd;
};

/* Request body, collected over several calls of on_request(). */
struct upload {
	struct bbuf body;
	bool too_large;
};

static struct ops_reply *
reply_new(void)
{
	struct ops_reply *r = calloc(1, sizeof(*r));
	pthread_condattr_t attr;

	if (r == NULL)
		abort();
	pthread_mutex_init(&r->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&r->answered, &attr);
	pthread_condattr_destroy(&attr);
	bbuf_init(&r->text);
	r->refs = 2; /* connection thread and control thread */
	return (r);
}

static void
reply_unref(struct ops_reply *r)
{
	bool last;

	pthread_mutex_lock(&r->lock);
	last = --r->refs == 0;
	pthread_mutex_unlock(&r->lock);
	if (!last)
		return;
	pthread_mutex_destroy(&r->lock);
	pthread_cond_destroy(&r->answered);
	bbuf_finish(&r->text);
	free(r->content_type);
	free(r);
}

struct ops_request *
ops_request_of(struct msgq_msg *m)
{
	return (caa_container_of(m, struct ops_request, m));
}

void
ops_answer_text(struct ops_request *r, unsigned status,
    const char *content_type, struct bstr text)
{
	struct ops_reply *reply = r->reply;

	pthread_mutex_lock(&reply->lock);
	reply->status = status;
	reply->content_type = bstr_dup(bstr_from(content_type));
	bbuf_add(&reply->text, text);
	reply->done = true;
	pthread_cond_signal(&reply->answered);
	pthread_mutex_unlock(&reply->lock);
	reply_unref(reply);
	json_decref(r->body);
	free(r->method);
	free(r->path);
	free(r->format);
	free(r);
}

void
ops_answer(struct ops_request *r, unsigned status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);

	json_decref(value);
	ops_answer_text(r, status, "application/json",
	    text == NULL ? BSTR("null") : bstr_from(text));
	free(text);
}

void
ops_answer_error(struct ops_request *r, enum err_kind kind, const char *detail)
{
	const struct err_answer *a = err_answer(kind);

	ops_answer(r, a->status,
	    json_pack("{s:s,s:s}", "error", a->name, "detail", detail));
}

static enum MHD_Result
respond(struct MHD_Connection *conn, unsigned status, const char *type,
    struct bstr text)
{
	struct MHD_Response *r = MHD_create_response_from_buffer(text.n,
	    (void *)(uintptr_t)(text.n == 0 ? "" : text.p),
	    MHD_RESPMEM_MUST_COPY);
	enum MHD_Result rc;

	MHD_add_response_header(r, "Content-Type", type);
	rc = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return (rc);
}

static enum MHD_Result
respond_error(struct MHD_Connection *conn, enum err_kind kind)
{
	const struct err_answer *a = err_answer(kind);
	char text[96];
	int n = snprintf(text, sizeof(text), "{\"error\":\"%s\"}", a->name);

	return (respond(conn, a->status, "application/json",
	    (struct bstr){text, (size_t)n}));
}

static bool
address_allowed(const struct ops_server *o, struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *sin;
	char text[INET_ADDRSTRLEN];

	if (info == NULL || info->client_addr->sa_family != AF_INET)
		return (false);
	sin = (const struct sockaddr_in *)(const void *)info->client_addr;
	if (o->desc.allow[0] == NULL)
		return (ntohl(sin->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET);
	inet_ntop(AF_INET, &sin->sin_addr, text, sizeof(text));
	for (char *const *a = o->desc.allow; *a != NULL; a++) {
		if (strcmp(*a, text) == 0)
			return (true);
	}
	return (false);
}

/*
 * Compares a token; an empty @want matches nothing.
 * XXX Meant to be constant-time, but the loop ends at the first difference.
 */
static bool
token_equal(const char *want, const char *got)
{
	size_t n = strlen(want);
	unsigned char diff = strlen(got) != n;

	for (size_t i = 0; i < n && diff == 0; i++)
		diff |= (unsigned char)(want[i] ^ got[i]);
	return (n != 0 && diff == 0);
}

static bool
authorized(const struct ops_server *o, struct MHD_Connection *conn)
{
	static const char scheme[] = "Bearer ";
	const char *v =
	    MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Authorization");

	return (v != NULL && strncmp(v, scheme, sizeof(scheme) - 1) == 0 &&
	    token_equal(o->desc.token, v + sizeof(scheme) - 1) &&
	    address_allowed(o, conn));
}

/* Waits with the lock held. Return: false after ANSWER_TIMEOUT_S. */
static bool
wait_for_reply(struct ops_reply *reply)
{
	struct timespec end;
	int rc = 0;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_sec += ANSWER_TIMEOUT_S;
	while (!reply->done && rc == 0)
		rc = pthread_cond_timedwait(
		    &reply->answered, &reply->lock, &end);
	return (reply->done);
}

static enum MHD_Result
forward_to_control(struct ops_server *o, struct MHD_Connection *conn,
    const char *method, const char *path, json_t *body)
{
	struct ops_request *r = calloc(1, sizeof(*r));
	struct ops_reply *reply = reply_new();
	const char *format =
	    MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, "format");
	enum MHD_Result rc;

	if (r == NULL)
		abort();
	r->m.type = o->desc.msg_type;
	r->method = bstr_dup(bstr_from(method));
	r->path = bstr_dup(bstr_from(path));
	r->format = bstr_dup(bstr_from(format));
	r->body = body;
	r->reply = reply;
	msgq_push(o->desc.control, &r->m);
	pthread_mutex_lock(&reply->lock);
	if (wait_for_reply(reply))
		rc = respond(conn, reply->status, reply->content_type,
		    bbuf_str(&reply->text));
	else
		rc = respond_error(conn, ERR_INTERNAL);
	pthread_mutex_unlock(&reply->lock);
	reply_unref(reply);
	return (rc);
}

static enum MHD_Result
serve_v1(struct ops_server *o, struct MHD_Connection *conn, const char *method,
    const char *path, const struct upload *up)
{
	json_t *body = NULL;

	if (!authorized(o, conn))
		return (respond_error(conn, ERR_FORBIDDEN));
	if (up->too_large)
		return (respond_error(conn, ERR_BODY_TOO_LARGE));
	if (up->body.n != 0) {
		body = json_loadb(up->body.p, up->body.n,
		    JSON_REJECT_DUPLICATES | JSON_DECODE_ANY, NULL);
		if (body == NULL)
			return (respond_error(conn, ERR_BAD_REQUEST));
	}
	return (forward_to_control(o, conn, method, path, body));
}

static enum MHD_Result
serve(struct ops_server *o, struct MHD_Connection *conn, const char *url,
    const char *method, const struct upload *up)
{
	struct bbuf text;
	enum MHD_Result rc;

	if (strcmp(url, o->desc.health_path) == 0) {
		bool ok = o->desc.routable(o->desc.routable_arg);

		return (respond(conn, ok ? 200 : 503, "text/plain",
		    ok ? BSTR("routing\n") : BSTR("not routing\n")));
	}
	if (strncmp(url, "/v1/", 4) == 0)
		return (serve_v1(o, conn, method, url + 4, up));
	if (strcmp(url, "/metrics") != 0)
		return (respond_error(conn, ERR_NOT_FOUND));
	bbuf_init(&text);
	metrics_write(o->desc.metrics, &text);
	rc = respond(conn, 200, "text/plain; version=0.0.4", bbuf_str(&text));
	bbuf_finish(&text);
	return (rc);
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	struct upload *up = *ctx;

	(void)version;
	if (up == NULL) {
		*ctx = calloc(1, sizeof(*up));
		return (*ctx == NULL ? MHD_NO : MHD_YES);
	}
	if (*n == 0)
		return (serve(arg, conn, url, method, up));
	if (up->body.n + *n > MAX_BODY_BYTES)
		up->too_large = true;
	else
		bbuf_add(&up->body, (struct bstr){data, *n});
	*n = 0;
	return (MHD_YES);
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct upload *up = *ctx;

	(void)arg;
	(void)conn;
	(void)code;
	if (up != NULL)
		bbuf_finish(&up->body);
	free(up);
}

struct ops_server *
ops_start(const struct ops_desc *desc, GError **error)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons(desc->port)};
	struct ops_server *o = calloc(1, sizeof(*o));

	if (o == NULL)
		abort();
	o->desc = *desc;
	if (inet_pton(AF_INET, desc->addr, &sin.sin_addr) == 1)
		o->mhd = MHD_start_daemon(MHD_USE_THREAD_PER_CONNECTION |
			MHD_USE_INTERNAL_POLLING_THREAD,
		    0, NULL, NULL, on_request, o, MHD_OPTION_SOCK_ADDR, &sin,
		    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		    MHD_OPTION_CONNECTION_LIMIT, MAX_CONNECTIONS,
		    MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
		    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
	if (o->mhd == NULL) {
		g_set_error(error, ERR_QUARK, ERR_INTERNAL,
		    "cannot listen on %s:%u: %s", desc->addr, desc->port,
		    g_strerror(errno));
		free(o);
		return (NULL);
	}
	return (o);
}

void
ops_stop(struct ops_server *o)
{
	MHD_stop_daemon(o->mhd);
	free(o);
}
