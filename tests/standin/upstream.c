/*
 * upstream - stand-in for an upstream with a number of slots.
 *
 * Answers GET /health and GET /load as upstreams do and every other request
 * after a service time. A key seen twice is counted. GET /stats shows the
 * counts. Prints "port N" when it listens.
 */
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SLOTS 6

struct upstream {
	pthread_mutex_t lock;
	pthread_cond_t free_slot;
	int in_service;
	int in_flight;
	int service_us;
	json_int_t served;
	json_int_t duplicates;
	json_t *keys;
};

struct request {
	size_t n;
};

static struct upstream up = {
    .lock = PTHREAD_MUTEX_INITIALIZER, .free_slot = PTHREAD_COND_INITIALIZER};

static enum MHD_Result
respond(struct MHD_Connection *conn, json_t *v)
{
	char *text = json_dumps(v, JSON_COMPACT);
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	char load[16];
	enum MHD_Result rc;

	json_decref(v);
	snprintf(load, sizeof(load), "%d", up.in_flight);
	MHD_add_response_header(r, "X-Load", load);
	MHD_add_response_header(r, "X-State", "ready");
	rc = MHD_queue_response(conn, 200, r);
	MHD_destroy_response(r);
	return (rc);
}

static void
count_key(const char *key)
{
	if (key == NULL)
		return;
	if (json_object_get(up.keys, key) != NULL)
		up.duplicates++;
	json_object_set_new(up.keys, key, json_true());
}

static json_t *
run(struct MHD_Connection *conn, const char *url, size_t body)
{
	const char *echo =
	    MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "X-Request-Id");

	pthread_mutex_lock(&up.lock);
	up.in_flight++;
	while (up.in_service >= SLOTS)
		pthread_cond_wait(&up.free_slot, &up.lock);
	up.in_service++;
	count_key(MHD_lookup_connection_value(
	    conn, MHD_HEADER_KIND, "Idempotency-Key"));
	pthread_mutex_unlock(&up.lock);
	usleep((useconds_t)up.service_us);
	pthread_mutex_lock(&up.lock);
	up.in_service--;
	up.in_flight--;
	up.served++;
	pthread_cond_signal(&up.free_slot);
	pthread_mutex_unlock(&up.lock);
	return (json_pack("{s:s,s:s,s:I}", "path", url, "id",
	    echo == NULL ? "" : echo, "body", (json_int_t)body));
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	struct request *req = *ctx;

	(void)cls;
	(void)method;
	(void)version;
	(void)data;
	if (req == NULL) {
		*ctx = calloc(1, sizeof(*req));
		return (MHD_YES);
	}
	if (*n != 0) {
		req->n += *n;
		*n = 0;
		return (MHD_YES);
	}
	if (strcmp(url, "/health") == 0)
		return (respond(conn, json_pack("{s:s}", "state", "ready")));
	if (strcmp(url, "/load") == 0)
		return (respond(
		    conn, json_pack("{s:i}", "in_flight", up.in_flight)));
	if (strcmp(url, "/stats") == 0)
		return (respond(conn,
		    json_pack("{s:I,s:I}", "served", up.served, "duplicates",
			up.duplicates)));
	return (respond(conn, run(conn, url, req->n)));
}

static void
on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	(void)cls;
	(void)conn;
	(void)code;
	free(*ctx);
}

int
main(int argc, char **argv)
{
	uint16_t port = argc > 1 ? (uint16_t)atoi(argv[1]) : 0;
	struct MHD_Daemon *d;
	sigset_t set;
	int sig;

	up.service_us = argc > 2 ? atoi(argv[2]) : 1000;
	up.keys = json_object();
	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	d = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
	    port, NULL, NULL, on_request, NULL, MHD_OPTION_NOTIFY_COMPLETED,
	    on_completed, NULL, MHD_OPTION_END);
	if (d == NULL) {
		perror("listen");
		return (1);
	}
	printf("port %u\n",
	    MHD_get_daemon_info(d, MHD_DAEMON_INFO_BIND_PORT)->port);
	fflush(stdout);
	sigwait(&set, &sig);
	_exit(0);
}
