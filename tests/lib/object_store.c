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

#define PREFIX "/v1/objects/"
#define DEFAULT_PAGE 500
#define MAX_NAME 200

/** struct object - stored object */
struct object {
	char *kind;
	char *name;
	json_t *spec;
	json_t *status;
	json_int_t revision;
};

/** struct event - change that a watch returns */
struct event {
	char *kind;
	json_t *value; /* {"object", "removed"} */
	json_int_t revision;
};

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
	GHashTable *calls; /* kind -> unsigned */
	bool stopping;
};

static void
free_object(void *arg)
{
	struct object *b = arg;

	g_free(b->kind);
	g_free(b->name);
	json_decref(b->spec);
	json_decref(b->status);
	g_free(b);
}

static void
free_event(void *arg)
{
	struct event *e = arg;

	g_free(e->kind);
	json_decref(e->value);
	g_free(e);
}

static json_t *
object_json(const struct object *b)
{
	return (json_pack("{s:{s:s,s:I,s:i,s:[],s:b},s:O,s:O}", "metadata",
	    "name", b->name, "revision", b->revision, "createdAt", 1,
	    "finalizers", "deleting", 0, "spec", b->spec, "status", b->status));
}

static struct object *
find(struct object_store *o, const char *kind, const char *name)
{
	for (guint i = 0; i < o->objects->len; i++) {
		struct object *b = g_ptr_array_index(o->objects, i);

		if (strcmp(b->kind, kind) == 0 && strcmp(b->name, name) == 0)
			return (b);
	}
	return (NULL);
}

/* Adds a change to the history and wakes the watches. */
static void
publish(struct object_store *o, const struct object *b, bool removed)
{
	struct event *e = g_new0(struct event, 1);

	e->kind = g_strdup(b->kind);
	e->revision = o->revision;
	e->value = json_pack(
	    "{s:o,s:b}", "object", object_json(b), "removed", removed);
	g_ptr_array_add(o->events, e);
	pthread_cond_broadcast(&o->changed);
}

static struct object *
create(struct object_store *o, const char *kind, const char *name)
{
	struct object *b = g_new0(struct object, 1);

	b->kind = g_strdup(kind);
	b->name = g_strdup(name);
	b->spec = json_null();
	b->status = json_null();
	g_ptr_array_add(o->objects, b);
	return (b);
}

/* Replaces a part of an object; a write that changes nothing is no change. */
static void
replace(struct object_store *o, struct object *b, json_t **part, json_t *value)
{
	if (value == NULL)
		value = json_null();
	if (b->revision != 0 && json_equal(*part, value)) {
		json_decref(value);
		return;
	}
	json_decref(*part);
	*part = value;
	b->revision = ++o->revision;
	publish(o, b, false);
}

static int
by_name(const void *a, const void *b)
{
	const struct object *x = *(struct object *const *)a;
	const struct object *y = *(struct object *const *)b;

	return (strcmp(x->name, y->name));
}

static json_t *
list(struct object_store *o, const char *kind, const char *after)
{
	unsigned page = o->desc.page != 0 ? o->desc.page : DEFAULT_PAGE;
	json_t *items = json_array();
	bool more = false;

	g_ptr_array_sort(o->objects, by_name);
	for (guint i = 0; i < o->objects->len; i++) {
		const struct object *b = g_ptr_array_index(o->objects, i);

		if (strcmp(b->kind, kind) != 0 ||
		    (after != NULL && strcmp(b->name, after) <= 0))
			continue;
		more = json_array_size(items) == page;
		if (more)
			break;
		json_array_append_new(items, object_json(b));
	}
	return (json_pack("{s:o,s:b,s:I}", "items", items, "hasMore", more,
	    "storeRevision", o->revision));
}

static json_t *
events_since(struct object_store *o, const char *kind, json_int_t since)
{
	json_t *list_of = json_array();

	for (guint i = 0; i < o->events->len; i++) {
		const struct event *e = g_ptr_array_index(o->events, i);

		if (e->revision > since && strcmp(e->kind, kind) == 0)
			json_array_append(list_of, e->value);
	}
	return (list_of);
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

/* Waits for events; NULL when the history does not reach back. */
static json_t *
watch(struct object_store *o, const char *kind, json_int_t since, long wait_ms)
{
	struct timespec end = after_ms(wait_ms);
	json_t *found;
	int rc = 0;

	if (since < o->history_from)
		return (NULL);
	found = events_since(o, kind, since);
	while ((json_array_size(found) == 0 || o->faults.deaf_watches) &&
	    rc != ETIMEDOUT && !o->stopping) {
		rc = pthread_cond_timedwait(&o->changed, &o->lock, &end);
		json_decref(found);
		found = events_since(o, kind, since);
	}
	/* The history may have been dropped meanwhile. */
	if (since < o->history_from) {
		json_decref(found);
		return (NULL);
	}
	return (json_pack(
	    "{s:o,s:I}", "events", found, "storeRevision", o->revision));
}

/** struct request - request whose body is being read */
struct request {
	struct bbuf body;
};

static enum MHD_Result
answer(struct MHD_Connection *conn, unsigned status, json_t *value)
{
	char *text =
	    value == NULL ? strdup("{}") : json_dumps(value, JSON_COMPACT);
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	MHD_add_response_header(r, "Content-Type", "application/json");
	rc = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	json_decref(value);
	return (rc);
}

static const char *
argument(struct MHD_Connection *conn, const char *name)
{
	return (MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name));
}

static enum MHD_Result
serve_read(struct object_store *o, struct MHD_Connection *conn,
    const char *kind, const char *name)
{
	const char *since = argument(conn, "watch");
	const char *wait_ms = argument(conn, "waitMs");
	json_t *value;

	if (name[0] != '\0') {
		const struct object *b = find(o, kind, name);

		return (b == NULL ? answer(conn, 404, NULL)
				  : answer(conn, 200, object_json(b)));
	}
	if (since == NULL)
		return (
		    answer(conn, 200, list(o, kind, argument(conn, "after"))));
	value =
	    watch(o, kind, atoll(since), wait_ms == NULL ? 0 : atol(wait_ms));
	return (answer(conn, value == NULL ? 410 : 200, value));
}

/* Whether a condition on the revision holds; none always does. */
static bool
condition_holds(const struct object *b, const json_t *body)
{
	const json_t *r =
	    json_object_get(json_object_get(body, "metadata"), "revision");

	return (r == NULL || json_integer_value(r) == b->revision);
}

static enum MHD_Result
serve_write(struct object_store *o, struct MHD_Connection *conn,
    const char *method, const char *kind, char *name, const json_t *body)
{
	char *slash = strchr(name, '/');
	const char *new_name = json_string_value(
	    json_object_get(json_object_get(body, "metadata"), "name"));
	struct object *b;

	if (slash != NULL)
		*slash = '\0';
	b = find(o, kind, name[0] != '\0' ? name : new_name);
	if (strcmp(method, "POST") == 0) {
		if (b != NULL)
			return (answer(conn, 409, object_json(b)));
		b = create(o, kind, new_name);
	}
	if (b == NULL)
		return (answer(conn, 404, NULL));
	if (!condition_holds(b, body) && strcmp(method, "PUT") == 0)
		return (answer(conn, 409, object_json(b)));
	if (slash != NULL)
		replace(o, b, &b->status,
		    json_incref(json_object_get(body, "status")));
	else
		replace(
		    o, b, &b->spec, json_incref(json_object_get(body, "spec")));
	if (o->faults.lose_writes)
		return (MHD_NO);
	return (answer(conn, 200, object_json(b)));
}

static void
count_call(struct object_store *o, const char *kind)
{
	gpointer n = g_hash_table_lookup(o->calls, kind);

	g_hash_table_replace(o->calls, g_strdup(kind),
	    GUINT_TO_POINTER(GPOINTER_TO_UINT(n) + 1));
}

static enum MHD_Result
stay_silent(struct object_store *o)
{
	while (!o->stopping)
		pthread_cond_wait(&o->changed, &o->lock);
	return (MHD_NO);
}

static enum MHD_Result
serve(struct object_store *o, struct MHD_Connection *conn, const char *url,
    const char *method, const struct request *req)
{
	char kind[MAX_NAME], name[MAX_NAME] = "";
	json_t *body = NULL;
	enum MHD_Result rc;

	if (strncmp(url, PREFIX, strlen(PREFIX)) != 0 ||
	    sscanf(url + strlen(PREFIX), "%199[^/]/%199s", kind, name) < 1)
		return (answer(conn, 404, NULL));
	if (req->body.n != 0)
		body = json_loadb(req->body.p, req->body.n, 0, NULL);
	pthread_mutex_lock(&o->lock);
	count_call(o, kind);
	if (o->faults.silent)
		rc = stay_silent(o);
	else if (o->faults.status != 0)
		rc = answer(conn, o->faults.status, NULL);
	else if (strcmp(method, "GET") == 0)
		rc = serve_read(o, conn, kind, name);
	else
		rc = serve_write(o, conn, method, kind, name, body);
	pthread_mutex_unlock(&o->lock);
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
	struct object_store *o = g_new0(struct object_store, 1);
	const union MHD_DaemonInfo *info;

	o->desc = *desc;
	o->revision = 1;
	inet_pton(AF_INET, desc->addr == NULL ? "127.0.0.1" : desc->addr,
	    &sin.sin_addr);
	pthread_mutex_init(&o->lock, NULL);
	pthread_cond_init(&o->changed, NULL);
	o->objects = g_ptr_array_new_with_free_func(free_object);
	o->events = g_ptr_array_new_with_free_func(free_event);
	o->calls = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	o->mhd = MHD_start_daemon(
	    MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, 0,
	    NULL, NULL, on_request, o, MHD_OPTION_SOCK_ADDR, &sin,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_END);
	if (o->mhd == NULL)
		return (NULL);
	info = MHD_get_daemon_info(o->mhd, MHD_DAEMON_INFO_BIND_PORT);
	o->port = info->port;
	return (o);
}

void
object_store_free(struct object_store *o)
{
	pthread_mutex_lock(&o->lock);
	o->stopping = true;
	pthread_cond_broadcast(&o->changed);
	pthread_mutex_unlock(&o->lock);
	MHD_stop_daemon(o->mhd);
	g_ptr_array_unref(o->objects);
	g_ptr_array_unref(o->events);
	g_hash_table_unref(o->calls);
	g_free(o);
}

uint16_t
object_store_port(const struct object_store *o)
{
	return (o->port);
}

void
object_store_fail(
    struct object_store *o, const struct object_store_faults *faults)
{
	pthread_mutex_lock(&o->lock);
	o->faults = *faults;
	pthread_mutex_unlock(&o->lock);
}

void
object_store_put(struct object_store *o, const char *kind, const char *name,
    const char *spec)
{
	struct object *b;

	pthread_mutex_lock(&o->lock);
	b = find(o, kind, name);
	if (b == NULL)
		b = create(o, kind, name);
	replace(o, b, &b->spec, json_loads(spec, JSON_DECODE_ANY, NULL));
	pthread_mutex_unlock(&o->lock);
}

void
object_store_remove(struct object_store *o, const char *kind, const char *name)
{
	struct object *b;

	pthread_mutex_lock(&o->lock);
	b = find(o, kind, name);
	if (b != NULL) {
		o->revision++;
		publish(o, b, true);
		g_ptr_array_remove_fast(o->objects, b);
	}
	pthread_mutex_unlock(&o->lock);
}

void
object_store_drop_history(struct object_store *o)
{
	pthread_mutex_lock(&o->lock);
	g_ptr_array_set_size(o->events, 0);
	o->history_from = o->revision;
	pthread_mutex_unlock(&o->lock);
}

json_t *
object_store_status(struct object_store *o, const char *kind, const char *name)
{
	const struct object *b;
	json_t *copy;

	pthread_mutex_lock(&o->lock);
	b = find(o, kind, name);
	copy = b == NULL ? NULL : json_deep_copy(b->status);
	pthread_mutex_unlock(&o->lock);
	return (copy);
}

unsigned
object_store_calls(struct object_store *o, const char *kind)
{
	unsigned n;

	pthread_mutex_lock(&o->lock);
	n = GPOINTER_TO_UINT(g_hash_table_lookup(o->calls, kind));
	pthread_mutex_unlock(&o->lock);
	return (n);
}
