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
#include "lib/usage_reports.h"

#define PREFIX "/v1/objects/"
#define REPORT_PATH "/usage"
#define DEFAULT_PAGE 500
#define MAX_NAME_LEN 200

/** struct object - stored object */
struct object {
	char *kind;
	char *name;
	json_t *spec;
	json_t *status;
	json_int_t revision;
};

/**
 * struct event - change that a watch returns
 * @value: JSON of the event: {"object": ..., "removed": ...}
 */
struct event {
	char *kind;
	json_t *value;
	json_int_t revision;
};

/**
 * struct object_store - state of the server
 * @lock: guards all fields that change after the start
 * @changed: signalled after each change of an object, and to stop
 * @revision: revision of the latest change
 * @history_from: watches since an earlier revision get 410
 * @objects: all struct object
 * @events: the kept history, as struct event in order of revision
 * @stale: objects as of the injection of the fault stale_lists, NULL for none
 * @stale_revision: revision of @stale
 * @epoch: value of the field Store-Era, 0 for none
 * @copy: objects that object_store_restore() brings back, NULL for none
 * @copy_revision: revision of @copy
 * @n_restores: number of restores; a watch that waits during one gets no answer
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
	json_int_t revision;
	json_int_t history_from;
	GPtrArray *objects;
	GPtrArray *events;
	GPtrArray *stale;
	json_int_t stale_revision;
	unsigned epoch;
	GPtrArray *copy;
	json_int_t copy_revision;
	unsigned n_restores;
	GHashTable *calls;
	GHashTable *exact_lists;
	struct usage_reports *reports;
	bool stopping;
};

static void
free_object(void *arg)
{
	struct object *obj = arg;

	g_free(obj->kind);
	g_free(obj->name);
	json_decref(obj->spec);
	json_decref(obj->status);
	g_free(obj);
}

static void
free_event(void *arg)
{
	struct event *e = arg;

	g_free(e->kind);
	json_decref(e->value);
	g_free(e);
}

static GPtrArray *
copy_objects(const GPtrArray *objects)
{
	GPtrArray *copy = g_ptr_array_new_with_free_func(free_object);

	for (guint i = 0; i < objects->len; i++) {
		const struct object *obj = g_ptr_array_index(objects, i);
		struct object *o = g_memdup2(obj, sizeof(*obj));

		o->kind = g_strdup(obj->kind);
		o->name = g_strdup(obj->name);
		json_incref(o->spec);
		json_incref(o->status);
		g_ptr_array_add(copy, o);
	}
	return (copy);
}

static json_t *
object_json(const struct object *obj)
{
	return (json_pack("{s:{s:s,s:I,s:i,s:[],s:b},s:O,s:O}", "metadata",
	    "name", obj->name, "revision", obj->revision, "createdAt", 1,
	    "finalizers", "deleting", 0, "spec", obj->spec, "status",
	    obj->status));
}

static struct object *
find(struct object_store *store, const char *kind, const char *name)
{
	for (guint i = 0; i < store->objects->len; i++) {
		struct object *obj = g_ptr_array_index(store->objects, i);

		if (strcmp(obj->kind, kind) == 0 &&
		    strcmp(obj->name, name) == 0)
			return (obj);
	}
	return (NULL);
}

/* Adds a change to the history and wakes the waiting watches. */
static void
publish(struct object_store *store, const struct object *obj, bool removed)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = g_strdup(obj->kind);
	e->revision = store->revision;
	e->value = json_pack(
	    "{s:o,s:b}", "object", object_json(obj), "removed", removed);
	g_ptr_array_add(store->events, e);
	pthread_cond_broadcast(&store->changed);
}

static struct object *
create(struct object_store *store, const char *kind, const char *name)
{
	struct object *obj = g_new0(struct object, 1);

	obj->kind = g_strdup(kind);
	obj->name = g_strdup(name);
	obj->spec = json_null();
	obj->status = json_null();
	g_ptr_array_add(store->objects, obj);
	return (obj);
}

/*
 * Replaces the spec or status of an object. A write of an equal value creates
 * neither a revision nor an event. Takes over the reference to @value; NULL
 * stands for JSON null.
 */
static void
replace(struct object_store *store, struct object *obj, json_t **part,
    json_t *value)
{
	if (value == NULL)
		value = json_null();
	if (obj->revision != 0 && json_equal(*part, value)) {
		json_decref(value);
		return;
	}
	json_decref(*part);
	*part = value;
	obj->revision = ++store->revision;
	publish(store, obj, false);
}

static int
compare_names(const void *x, const void *y)
{
	const struct object *left = *(struct object *const *)x;
	const struct object *right = *(struct object *const *)y;

	return (strcmp(left->name, right->name));
}

static json_t *
list(const struct object_store *store, GPtrArray *objects, json_int_t revision,
    const char *kind, const char *after)
{
	unsigned page = store->desc.page != 0 ? store->desc.page : DEFAULT_PAGE;
	json_t *items = json_array();
	bool has_more = false;

	g_ptr_array_sort(objects, compare_names);
	for (guint i = 0; i < objects->len; i++) {
		const struct object *obj = g_ptr_array_index(objects, i);

		if (strcmp(obj->kind, kind) != 0 ||
		    (after != NULL && strcmp(obj->name, after) <= 0))
			continue;
		has_more = json_array_size(items) == page;
		if (has_more)
			break;
		json_array_append_new(items, object_json(obj));
	}
	return (json_pack("{s:o,s:b,s:I}", "items", items, "hasMore", has_more,
	    "storeRevision", revision));
}

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
	const char *after = query_argument(conn, "after");
	bool may_be_stale = query_argument(conn, "staleOk") != NULL;

	if (!may_be_stale)
		count_call(store->exact_lists, kind);
	if (may_be_stale && store->stale != NULL)
		return (list(
		    store, store->stale, store->stale_revision, kind, after));
	return (list(store, store->objects, store->revision, kind, after));
}

static json_t *
events_since(struct object_store *store, const char *kind, json_int_t since)
{
	json_t *events = json_array();

	for (guint i = 0; i < store->events->len; i++) {
		const struct event *e = g_ptr_array_index(store->events, i);

		if (e->revision > since && strcmp(e->kind, kind) == 0)
			json_array_append(events, e->value);
	}
	return (events);
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

/*
 * Waits until there are events newer than @since or the wait has timed out.
 * Returns NULL if the kept history starts later than @since.
 */
static json_t *
watch(struct object_store *store, const char *kind, json_int_t since,
    long wait_ms)
{
	struct timespec end = after_ms(wait_ms);
	unsigned n_restores = store->n_restores;
	json_t *found;
	int rc = 0;

	if (since < store->history_from || since > store->revision)
		return (NULL);
	found = events_since(store, kind, since);
	while ((json_array_size(found) == 0 || store->faults.stall_watches) &&
	    rc != ETIMEDOUT && !store->stopping &&
	    n_restores == store->n_restores) {
		rc =
		    pthread_cond_timedwait(&store->changed, &store->lock, &end);
		json_decref(found);
		found = events_since(store, kind, since);
	}
	/* The history may have been dropped during the wait. */
	if (since < store->history_from) {
		json_decref(found);
		return (NULL);
	}
	return (json_pack(
	    "{s:o,s:I}", "events", found, "storeRevision", store->revision));
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
	if (store->epoch != 0) {
		char text_epoch[16];

		snprintf(text_epoch, sizeof(text_epoch), "%u", store->epoch);
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
		const struct object *obj = find(store, kind, name);

		return (obj == NULL
			? respond(store, conn, 404, NULL)
			: respond(store, conn, 200, object_json(obj)));
	}
	if (since == NULL)
		return (
		    respond(store, conn, 200, serve_list(store, conn, kind)));
	n_restores = store->n_restores;
	value = watch(
	    store, kind, atoll(since), wait_ms == NULL ? 0 : atol(wait_ms));
	if (n_restores != store->n_restores) {
		json_decref(value);
		return (MHD_NO);
	}
	return (respond(store, conn, value == NULL ? 410 : 200, value));
}

/* Whether the object has the revision that the write requires, if any. */
static bool
condition_holds(const struct object *obj, const json_t *body)
{
	const json_t *r =
	    json_object_get(json_object_get(body, "metadata"), "revision");

	return (r == NULL || json_integer_value(r) == obj->revision);
}

static enum MHD_Result
serve_write(struct object_store *store, struct MHD_Connection *conn,
    const char *method, const char *kind, char *name, const json_t *body)
{
	char *slash = strchr(name, '/');
	const char *new_name = json_string_value(
	    json_object_get(json_object_get(body, "metadata"), "name"));
	struct object *obj;

	if (slash != NULL)
		*slash = '\0';
	obj = find(store, kind, name[0] != '\0' ? name : new_name);
	if (strcmp(method, "POST") == 0) {
		if (obj != NULL)
			return (respond(store, conn, 409, object_json(obj)));
		obj = create(store, kind, new_name);
	}
	if (obj == NULL)
		return (respond(store, conn, 404, NULL));
	if (!condition_holds(obj, body) && strcmp(method, "PUT") == 0)
		return (respond(store, conn, 409, object_json(obj)));
	if (slash != NULL)
		replace(store, obj, &obj->status,
		    json_incref(json_object_get(body, "status")));
	else
		replace(store, obj, &obj->spec,
		    json_incref(json_object_get(body, "spec")));
	if (store->faults.drop_write_responses)
		return (MHD_NO);
	return (respond(store, conn, 200, object_json(obj)));
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
	store->revision = 1;
	inet_pton(AF_INET, desc->addr == NULL ? "127.0.0.1" : desc->addr,
	    &sin.sin_addr);
	pthread_mutex_init(&store->lock, NULL);
	pthread_cond_init(&store->changed, NULL);
	store->objects = g_ptr_array_new_with_free_func(free_object);
	store->events = g_ptr_array_new_with_free_func(free_event);
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

static void
drop_stale(struct object_store *store)
{
	if (store->stale != NULL)
		g_ptr_array_unref(store->stale);
	store->stale = NULL;
}

void
object_store_free(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	store->stopping = true;
	pthread_cond_broadcast(&store->changed);
	pthread_mutex_unlock(&store->lock);
	MHD_stop_daemon(store->mhd);
	g_ptr_array_unref(store->objects);
	g_ptr_array_unref(store->events);
	g_hash_table_unref(store->calls);
	g_hash_table_unref(store->exact_lists);
	drop_stale(store);
	if (store->copy != NULL)
		g_ptr_array_unref(store->copy);
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
	drop_stale(store);
	if (faults->stale_lists)
		store->stale = copy_objects(store->objects);
	store->stale_revision = store->revision;
	pthread_mutex_unlock(&store->lock);
}

void
object_store_put(struct object_store *store, const char *kind, const char *name,
    const char *spec)
{
	struct object *obj;

	pthread_mutex_lock(&store->lock);
	obj = find(store, kind, name);
	if (obj == NULL)
		obj = create(store, kind, name);
	replace(
	    store, obj, &obj->spec, json_loads(spec, JSON_DECODE_ANY, NULL));
	pthread_mutex_unlock(&store->lock);
}

void
object_store_remove(
    struct object_store *store, const char *kind, const char *name)
{
	struct object *obj;

	pthread_mutex_lock(&store->lock);
	obj = find(store, kind, name);
	if (obj != NULL) {
		store->revision++;
		publish(store, obj, true);
		g_ptr_array_remove_fast(store->objects, obj);
	}
	pthread_mutex_unlock(&store->lock);
}

void
object_store_drop_history(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	g_ptr_array_set_size(store->events, 0);
	store->history_from = store->revision;
	pthread_mutex_unlock(&store->lock);
}

void
object_store_set_epoch(struct object_store *store, unsigned epoch)
{
	pthread_mutex_lock(&store->lock);
	store->epoch = epoch;
	pthread_mutex_unlock(&store->lock);
}

void
object_store_copy(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	if (store->copy != NULL)
		g_ptr_array_unref(store->copy);
	store->copy = copy_objects(store->objects);
	store->copy_revision = store->revision;
	pthread_mutex_unlock(&store->lock);
}

void
object_store_restore(struct object_store *store)
{
	pthread_mutex_lock(&store->lock);
	g_ptr_array_unref(store->objects);
	store->objects = copy_objects(store->copy);
	store->revision = store->copy_revision;
	store->history_from = store->revision;
	g_ptr_array_set_size(store->events, 0);
	store->epoch++;
	store->n_restores++;
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
	const struct object *obj;
	json_t *copy;

	pthread_mutex_lock(&store->lock);
	obj = find(store, kind, name);
	copy = obj == NULL ? NULL : json_deep_copy(obj->status);
	pthread_mutex_unlock(&store->lock);
	return (copy);
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
