#include "lib/object_store.h"

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/byte_string.h"
#include "lib/stored_objects.h"
#include "lib/usage_reports.h"

#define PREFIX "/v1/objects/"
#define REPORT_PATH "/usage"
#define DEFAULT_PAGE 500
#define MAX_NAME_LEN 200

/**
 * struct object_store - state of the server
 * @lock: guards all fields that change after the start
 * @changed: signalled after each change of an object, and to stop
 * @contents: contents; their epoch is the field Store-Era, 0 for none
 * @calls: kind -> number of calls
 * @exact_lists: kind -> number of lists that may not be stale
 * @reports: receiver of usage reports
 * @stopping: calls that are waiting return
 */
struct object_store {
	struct object_store_desc desc;
	struct object_store_faults faults;
	struct MHD_Daemon *mhd;
	uint16_t port;
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct stored_objects contents;
	GHashTable *calls;
	GHashTable *exact_lists;
	struct usage_reports *reports;
	bool stopping;
};

static void
count_call(GHashTable *counts, const char *kind)
{
	gpointer n = g_hash_table_lookup(counts, kind);

	g_hash_table_replace(
	    counts, g_strdup(kind), GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static const char *
query_argument(struct MHD_Connection *conn, const char *name)
{
	return (MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name));
}

static json_t *
serve_list(
    struct object_store *store, struct MHD_Connection *conn, const char *kind)
{
	bool may_be_stale = query_argument(conn, "staleOk") != NULL;

	if (!may_be_stale)
		count_call(store->exact_lists, kind);
	return (stored_list(&store->contents, kind,
	    query_argument(conn, "after"), may_be_stale));
}

static struct timespec
after_ms(long ms)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	t.tv_sec += ms / 1000;
	t.tv_nsec += (ms % 1000) * 1000000;
	if (t.tv_nsec >= 1000000000) {
		t.tv_sec++;
		t.tv_nsec -= 1000000000;
	}
	return (t);
}

static bool
has_events(const json_t *answer)
{
	return (json_array_size(json_object_get(answer, "events")) != 0);
}

/*
 * Waits until there are events newer than @since or the wait has timed out.
 * Returns NULL if the kept history starts later than @since, also if it was
 * dropped during the wait.
 */
static json_t *
watch(struct object_store *store, const char *kind, json_int_t since,
    long wait_ms)
{
	struct timespec end = after_ms(wait_ms);
	unsigned n_restores = store->contents.n_restores;
	json_t *answer = stored_watch(&store->contents, kind, since);
	int rc = 0;

	while (answer != NULL &&
	    (!has_events(answer) || store->faults.stall_watches) &&
	    rc != ETIMEDOUT && !store->stopping &&
	    n_restores == store->contents.n_restores) {
		rc =
		    pthread_cond_timedwait(&store->changed, &store->lock, &end);
		json_decref(answer);
		answer = stored_watch(&store->contents, kind, since);
	}
	return (answer);
}

/** struct request - request whose body is being received */
struct request {
	struct bbuf body;
};

static enum MHD_Result
respond(const struct object_store *store, struct MHD_Connection *conn,
    unsigned status, json_t *value)
{
	char *text =
	    value == NULL ? strdup("{}") : json_dumps(value, JSON_COMPACT);
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	MHD_add_response_header(r, "Content-Type", "application/json");
	if (store->contents.epoch != 0) {
		char text_epoch[16];

		snprintf(text_epoch, sizeof(text_epoch), "%u",
		    store->contents.epoch);
		MHD_add_response_header(r, "Store-Era", text_epoch);
	}
	rc = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	json_decref(value);
	return (rc);
}

static enum MHD_Result
serve_read(struct object_store *store, struct MHD_Connection *conn,
    const char *kind, const char *name)
{
	const char *since = query_argument(conn, "watch");
	const char *wait_ms = query_argument(conn, "waitMs");
	unsigned n_restores;
	json_t *value;

	if (name[0] != '\0') {
		value = stored_get(&store->contents, kind, name);
		return (respond(store, conn, value == NULL ? 404 : 200, value));
	}
	if (since == NULL)
		return (
		    respond(store, conn, 200, serve_list(store, conn, kind)));
	n_restores = store->contents.n_restores;
	value = watch(
	    store, kind, atoll(since), wait_ms == NULL ? 0 : atol(wait_ms));
	if (n_restores != store->contents.n_restores) {
		json_decref(value);
		return (MHD_NO);
	}
	return (respond(store, conn, value == NULL ? 410 : 200, value));
}

static enum MHD_Result
serve_write(struct object_store *store, struct MHD_Connection *conn,
    const char *method, const char *kind, const char *path, const json_t *body)
{
	json_t *answer;
	unsigned status =
	    stored_write(&store->contents, method, kind, path, body, &answer);

	pthread_cond_broadcast(&store->changed);
	if (status == 200 && store->faults.drop_write_responses) {
		json_decref(answer);
		return (MHD_NO);
	}
	return (respond(store, conn, status, answer));
}

static enum MHD_Result
block_until_stop(struct object_store *store)
{
	while (!store->stopping)
		pthread_cond_wait(&store->changed, &store->lock);
	return (MHD_NO);
}

static const char *
header_field(struct MHD_Connection *conn, const char *name)
{
	return (MHD_lookup_connection_value(conn, MHD_HEADER_KIND, name));
}

static enum MHD_Result
serve_report(struct object_store *store, struct MHD_Connection *conn,
    const char *method, const json_t *body)
{
	const char *token = header_field(conn, "X-Fencing-Token");
	unsigned status;

	if (strcmp(method, "GET") == 0)
		return (respond(
		    store, conn, 200, usage_reports_json(store->reports)));
	count_call(store->calls, "reports");
	if (store->faults.report_status != 0)
		return (
		    respond(store, conn, store->faults.report_status, NULL));
	status = usage_reports_receive(store->reports,
	    header_field(conn, "X-Lease-Holder"),
	    token == NULL ? 0 : atoll(token), body);
	if (store->faults.drop_report_responses)
		return (MHD_NO);
	return (respond(store, conn, status, NULL));
}

static enum MHD_Result
serve_object(struct object_store *store, struct MHD_Connection *conn,
    const char *url, const char *method, const json_t *body)
{
	char kind[MAX_NAME_LEN], name[MAX_NAME_LEN] = "";

	if (strncmp(url, PREFIX, strlen(PREFIX)) != 0 ||
	    sscanf(url + strlen(PREFIX), "%199[^/]/%199[^\n]", kind, name) < 1)
		return (respond(store, conn, 404, NULL));
	count_call(store->calls, kind);
	if (store->faults.no_response)
		return (block_until_stop(store));
	if (store->faults.status != 0)
		return (respond(store, conn, store->faults.status, NULL));
	if (strcmp(method, "GET") == 0)
		return (serve_read(store, conn, kind, name));
	return (serve_write(store, conn, method, kind, name, body));
}

static enum MHD_Result
serve(struct object_store *store, struct MHD_Connection *conn, const char *url,
    const char *method, const struct request *req)
{
	json_t *body = NULL;
	enum MHD_Result rc;

	if (req->body.n != 0)
		body = json_loadb(req->body.p, req->body.n, 0, NULL);
	pthread_mutex_lock(&store->lock);
	if (strcmp(url, REPORT_PATH) == 0)
		rc = serve_report(store, conn, method, body);
	else
		rc = serve_object(store, conn, url, method, body);
	pthread_mutex_unlock(&store->lock);
	json_decref(body);
	return (rc);
}

static enum MHD_Result
on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	struct request *req = *ctx;

	(void)version;
	if (req == NULL) {
		*ctx = g_new0(struct request, 1);
		return (MHD_YES);
	}
	if (*n != 0) {
		bbuf_add(&req->body, (struct bstr){data, *n});
		*n = 0;
		return (MHD_YES);
	}
	return (serve(arg, conn, url, method, req));
}

static void
on_completed(void *arg, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct request *req = *ctx;

	(void)arg;
	(void)conn;
	(void)code;
	if (req != NULL)
		bbuf_finish(&req->body);
	g_free(req);
}

struct object_store *
object_store_new(const struct object_store_desc *desc)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_port = htons(desc->port)};
	struct object_store *store = g_new0(struct object_store, 1);
	const union MHD_DaemonInfo *info;

	store->desc = *desc;
	stored_init(
	    &store->contents, desc->page != 0 ? desc->page : DEFAULT_PAGE);
	inet_pton(AF_INET, desc->addr == NULL ? "127.0.0.1" : desc->addr,
	    &sin.sin_addr);
	pthread_mutex_init(&store->lock, NULL);
	pthread_cond_init(&store->changed, NULL);
	store->calls =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->exact_lists =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	store->reports = usage_reports_new();
	store->mhd = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
	    NULL, NULL, on_request, store, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	if (store->mhd == NULL)
		return (NULL);
	info = MHD_get_daemon_info(store->mhd, MHD_DAEMON_INFO_BIND_PORT);
	store->port = info->port;
	return (store);
}

void
object_store_free(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	store->stopping = true;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
	MHD_stop_daemon(store->mhd);
	stored_finish(&store->contents);
	g_hash_table_unref(store->calls);
	g_hash_table_unref(store->exact_lists);
	usage_reports_free(store->reports);
	g_free(store);
}

uint16_t
object_store_port(const struct object_store *store)
{
	return (store->port);
}

void
object_store_set_faults(
    struct object_store *store, const struct object_store_faults *faults)
{
	pthread_mutex_lock(&store->lock);
	store->faults = *faults;
	stored_keep_stale(&store->contents, faults->stale_lists);
	pthread_mutex_unlock(&store->lock);
}

void
object_store_put(struct object_store *store, const char *kind, const char *name,
    const char *spec)
{
	pthread_mutex_lock(&store->lock);
	stored_put(&store->contents, kind, name, spec);
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void
object_store_remove(
    struct object_store *store, const char *kind, const char *name)
{
	pthread_mutex_lock(&store->lock);
	stored_remove(&store->contents, kind, name);
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

void
object_store_drop_history(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	stored_drop_history(&store->contents);
	pthread_mutex_unlock(&store->lock);
}

void
object_store_set_epoch(struct object_store *store, unsigned epoch)
{
	pthread_mutex_lock(&store->lock);
	store->contents.epoch = epoch;
	pthread_mutex_unlock(&store->lock);
}

void
object_store_copy(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	stored_copy(&store->contents);
	pthread_mutex_unlock(&store->lock);
}

void
object_store_restore(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	stored_restore(&store->contents);
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
}

struct usage_reports *
object_store_reports(struct object_store *store)
{
	return (store->reports);
}

json_t *
object_store_status(
    struct object_store *store, const char *kind, const char *name)
{
	json_t *object, *status;

	pthread_mutex_lock(&store->lock);
	object = stored_get(&store->contents, kind, name);
	pthread_mutex_unlock(&store->lock);
	if (object == NULL)
		return (NULL);
	status = json_deep_copy(json_object_get(object, "status"));
	json_decref(object);
	return (status);
}

static unsigned
read_count(struct object_store *store, GHashTable *counts, const char *kind)
{
	unsigned n;

	pthread_mutex_lock(&store->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, kind));
	pthread_mutex_unlock(&store->lock);
	return (n);
}

unsigned
object_store_calls(struct object_store *store, const char *kind)
{
	return (read_count(store, store->calls, kind));
}

unsigned
object_store_exact_lists(struct object_store *store, const char *kind)
{
	return (read_count(store, store->exact_lists, kind));
}
