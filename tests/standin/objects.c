/*
 * objects - stand-ins of the platform for scripts: its store of objects, which
 * also receives usage reports, and an upstream that counts requests by the
 * workspace that they name.
 *
 * Usage: objects
 *
 * Prints "port N" for the store, see lib/object_store.h, and "upstream N". The
 * upstream answers probes on /health and returns its counters on /ctl/counts. A
 * request for /ctl/faults?NAME=VALUE replaces the faults of the store by one:
 * status, report_status, drop_write_responses or drop_report_responses of
 * struct object_store_faults; without a name there are no faults.
 */
#include <arpa/inet.h>
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib/object_store.h"

#define INSTANCE "u1"
#define LOAD "0,0,16,100"
#define COUNTS_PATH "/ctl/counts"
#define HEALTH_PATH "/health"
#define FAULTS_PATH "/ctl/faults"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Workspace -> requests. */
static json_t *counts;

static struct object_store *store;

static const char *
field(struct MHD_Connection *conn, const char *name)
{
	return (MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name));
}

static void
count_request(const char *workspace)
{
	json_int_t n;

	pthread_mutex_lock(&lock);
	n = json_integer_value(json_object_get(counts, workspace));
	json_object_set_new(counts, workspace, json_integer(n + 1));
	pthread_mutex_unlock(&lock);
}

static char *
counts_text(void)
{
	char *text;

	pthread_mutex_lock(&lock);
	text = json_dumps(counts, JSON_COMPACT);
	pthread_mutex_unlock(&lock);
	return (text);
}

static enum MHD_Result
respond(struct MHD_Connection *conn, char *text)
{
	const char *id = field(conn, "X-Request-Id");
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	MHD_add_response_header(r, "X-Instance-Id", INSTANCE);
	MHD_add_response_header(r, "X-Server-Load", LOAD);
	if (id != NULL)
		MHD_add_response_header(r, "X-Request-Id", id);
	rc = MHD_queue_response(conn, MHD_HTTP_OK, r);
	MHD_destroy_response(r);
	return (rc);
}

/* Value of a query argument, 0 if it is missing. */
static unsigned
argument(struct MHD_Connection *conn, const char *name)
{
	const char *v =
	    MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return (v == NULL ? 0 : (unsigned)strtoul(v, NULL, 10));
}

static void
set_faults(struct MHD_Connection *conn)
{
	const struct object_store_faults faults = {
	    .status = argument(conn, "status"),
	    .report_status = argument(conn, "report_status"),
	    .drop_write_responses = argument(conn, "drop_write_responses") != 0,
	    .drop_report_responses =
		argument(conn, "drop_report_responses") != 0,
	};

	object_store_set_faults(store, &faults);
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	const char *workspace = field(conn, "X-Tenant");

	(void)arg;
	(void)method;
	(void)version;
	(void)data;
	(void)ctx;
	*n = 0;
	if (strcmp(url, COUNTS_PATH) == 0)
		return (respond(conn, counts_text()));
	if (strcmp(url, FAULTS_PATH) == 0)
		set_faults(conn);
	else if (strcmp(url, HEALTH_PATH) != 0)
		count_request(workspace == NULL ? "none" : workspace);
	return (respond(conn, strdup("ok")));
}

static uint16_t
start_upstream(void)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	struct MHD_Daemon *mhd = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
	    NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_END);

	if (mhd == NULL)
		exit(EXIT_FAILURE);
	return (MHD_get_daemon_info(mhd, MHD_DAEMON_INFO_BIND_PORT)->port);
}

int
main(void)
{
	store = object_store_new(&(struct object_store_desc){0});
	if (store == NULL)
		return (EXIT_FAILURE);
	counts = json_object();
	printf("upstream %u\n", start_upstream());
	printf("port %u\n", object_store_port(store));
	fflush(stdout);
	for (;;)
		pause();
}
