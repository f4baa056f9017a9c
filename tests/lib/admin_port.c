#include "lib/admin_port.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdlib.h>

struct admin_handler {
	admin_fn fn;
	void *arg;
};

static enum MHD_Result
answer(struct MHD_Connection *conn, unsigned status, json_t *v)
{
	char *text = v == NULL ? strdup("{}") : json_dumps(v, JSON_COMPACT);
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	json_decref(v);
	rc = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return (rc);
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	const struct admin_handler *handler = arg;
	struct bbuf *body = *ctx;
	json_t *out = NULL;
	unsigned status;

	(void)version;
	if (body == NULL) {
		*ctx = calloc(1, sizeof(*body));
		return (MHD_YES);
	}
	if (*n != 0) {
		bbuf_add(body, (struct bstr){data, *n});
		*n = 0;
		return (MHD_YES);
	}
	status = handler->fn(handler->arg, method, url, bbuf_str(body), &out);
	return (answer(conn, status, out));
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct bbuf *body = *ctx;

	(void)arg;
	(void)conn;
	(void)code;
	if (body != NULL)
		bbuf_finish(body);
	free(body);
}

int
admin_start(uint16_t *port, admin_fn fn, void *arg)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons(*port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
	struct admin_handler *handler = calloc(1, sizeof(*handler));
	struct MHD_Daemon *d;

	*handler = (struct admin_handler){fn, arg};
	/* MHD_USE_AUTO avoids select(), which fails above descriptor 1,023. */
	d = MHD_start_daemon(MHD_USE_AUTO | MHD_USE_INTERNAL_POLLING_THREAD,
	    *port, NULL, NULL, on_request, handler, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&sin, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
	    NULL, MHD_OPTION_END);
	if (d == NULL) {
		free(handler);
		return (-1);
	}
	*port = MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port;
	return (0);
}
