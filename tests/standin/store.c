/*
 * store - stand-in for the platform's store and VM list.
 *
 * Objects live in memory. POST /admin changes its behaviour: {"outage": bool,
 * "delay_ms": n, "lose_answers": n} (the next n writes take effect and their
 * answers are dropped), {"vms": [...]} replaces the VM list. GET /admin shows
 * the calls counted so far. Prints "port N" when it listens.
 */
#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define MAX_WAIT_MS 60000

struct store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	json_t *objects; /* key -> {key, version, value, deleted} */
	json_t *vms;
	json_int_t revision;
	bool outage;
	int delay_ms;
	int lose_answers;
	json_int_t reads, writes, conflicts;
};

struct request {
	char *body;
	size_t n;
};

static struct store st = {.lock = PTHREAD_MUTEX_INITIALIZER};

static enum MHD_Result
respond(struct MHD_Connection *conn, unsigned status, json_t *v)
{
	char *text = v == NULL ? strdup("{}") : json_dumps(v, JSON_COMPACT);
	struct MHD_Response *r = MHD_create_response_from_buffer(
	    strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result rc;

	json_decref(v);
	MHD_add_response_header(r, "Content-Type", "application/json");
	rc = MHD_queue_response(conn, status, r);
	MHD_destroy_response(r);
	return (rc);
}

static const char *
arg(struct MHD_Connection *conn, const char *name, const char *def)
{
	const char *v =
	    MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return (v == NULL ? def : v);
}

static json_t *
changed_since(const char *prefix, json_int_t since, bool deleted_too)
{
	json_t *list = json_array(), *o;
	const char *key;

	json_object_foreach(st.objects, key, o)
	{
		json_int_t v =
		    json_integer_value(json_object_get(o, "version"));

		if (strncmp(key, prefix, strlen(prefix)) != 0 || v <= since)
			continue;
		if (!deleted_too && json_object_get(o, "deleted") != NULL)
			continue;
		json_array_append_new(list, json_copy(o));
	}
	return (list);
}

static json_t *
listing(json_t *objects)
{
	return (json_pack(
	    "{s:I,s:o}", "revision", st.revision, "objects", objects));
}

static json_t *
wait_for_change(const char *prefix, json_int_t since, int wait_ms)
{
	struct timespec end;
	json_t *list;

	if (wait_ms > MAX_WAIT_MS)
		wait_ms = MAX_WAIT_MS;
	clock_gettime(CLOCK_REALTIME, &end);
	end.tv_sec += wait_ms / 1000;
	end.tv_nsec += (long)(wait_ms % 1000) * 1000000;
	if (end.tv_nsec >= 1000000000) {
		end.tv_sec++;
		end.tv_nsec -= 1000000000;
	}
	for (;;) {
		list = changed_since(prefix, since, true);
		if (json_array_size(list) > 0 || st.outage)
			break;
		if (pthread_cond_timedwait(&st.changed, &st.lock, &end) != 0)
			break;
		json_decref(list);
	}
	return (list);
}

static unsigned
write_object(
    struct MHD_Connection *conn, const char *key, json_t *value, json_t **out)
{
	const char *match =
	    MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "If-Match");
	json_t *o = json_object_get(st.objects, key);
	json_int_t have = 0;

	if (o != NULL && json_object_get(o, "deleted") == NULL)
		have = json_integer_value(json_object_get(o, "version"));
	if (match == NULL || atoll(match) != have) {
		st.conflicts++;
		*out = json_pack("{s:I}", "version", have);
		return (412);
	}
	st.revision++;
	o = json_pack("{s:s,s:I,s:o}", "key", key, "version", st.revision,
	    "value", value == NULL ? json_null() : json_incref(value));
	if (value == NULL)
		json_object_set_new(o, "deleted", json_true());
	json_object_set_new(st.objects, key, o);
	pthread_cond_broadcast(&st.changed);
	*out = json_pack("{s:I}", "version", st.revision);
	return (200);
}

static void
admin(const json_t *v)
{
	const json_t *e;

	if ((e = json_object_get(v, "outage")) != NULL)
		st.outage = json_is_true(e);
	if ((e = json_object_get(v, "delay_ms")) != NULL)
		st.delay_ms = (int)json_integer_value(e);
	if ((e = json_object_get(v, "lose_answers")) != NULL)
		st.lose_answers = (int)json_integer_value(e);
	if ((e = json_object_get(v, "vms")) != NULL) {
		json_decref(st.vms);
		st.vms = json_deep_copy(e);
	}
	pthread_cond_broadcast(&st.changed);
}

static json_t *
stats(void)
{
	return (json_pack("{s:I,s:I,s:I,s:I}", "reads", st.reads, "writes",
	    st.writes, "conflicts", st.conflicts, "revision", st.revision));
}

static unsigned
read_path(struct MHD_Connection *conn, const char *url, json_t **out)
{
	json_t *o;

	if (strcmp(url, "/vms") == 0) {
		*out = json_deep_copy(st.vms);
		return (200);
	}
	if (strcmp(url, "/watch") == 0) {
		*out = listing(wait_for_change(arg(conn, "prefix", ""),
		    atoll(arg(conn, "since", "0")),
		    atoi(arg(conn, "wait_ms", "0"))));
		return (st.outage ? 503 : 200);
	}
	if (strcmp(url, "/objects") == 0) {
		*out =
		    listing(changed_since(arg(conn, "prefix", ""), 0, false));
		return (200);
	}
	if (strncmp(url, "/objects/", 9) != 0)
		return (404);
	o = json_object_get(st.objects, url + 9);
	if (o == NULL || json_object_get(o, "deleted") != NULL)
		return (404);
	*out = json_copy(o);
	return (200);
}

static enum MHD_Result
serve(struct MHD_Connection *conn, const char *url, const char *method,
    const struct request *req)
{
	json_t *body = req->n == 0
	    ? NULL
	    : json_loadb(req->body, req->n, JSON_DECODE_ANY, NULL);
	json_t *out = NULL;
	bool lost = false;
	unsigned status;
	int delay;

	pthread_mutex_lock(&st.lock);
	delay = st.delay_ms;
	if (strcmp(url, "/admin") == 0) {
		if (body != NULL)
			admin(body);
		out = stats();
		status = 200;
		delay = 0;
	} else if (st.outage) {
		status = 503;
	} else if (strcmp(method, "GET") == 0) {
		st.reads++;
		status = read_path(conn, url, &out);
	} else if (strncmp(url, "/objects/", 9) == 0 &&
	    (body != NULL || strcmp(method, "DELETE") == 0)) {
		st.writes++;
		status = write_object(conn, url + 9,
		    strcmp(method, "DELETE") == 0 ? NULL : body, &out);
		if (status == 200 && st.lose_answers > 0) {
			st.lose_answers--;
			lost = true;
		}
	} else {
		status = 400;
	}
	pthread_mutex_unlock(&st.lock);
	json_decref(body);
	if (delay > 0)
		usleep((useconds_t)delay * 1000);
	if (lost) {
		json_decref(out);
		return (MHD_NO); /* closes the connection */
	}
	return (respond(conn, status, out));
}

static enum MHD_Result
on_request(void *cls, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *n,
    void **ctx)
{
	struct request *req = *ctx;

	(void)cls;
	(void)version;
	if (req == NULL) {
		*ctx = calloc(1, sizeof(*req));
		return (MHD_YES);
	}
	if (*n != 0) {
		req->body = realloc(req->body, req->n + *n);
		memcpy(req->body + req->n, data, *n);
		req->n += *n;
		*n = 0;
		return (MHD_YES);
	}
	return (serve(conn, url, method, req));
}

static void
on_completed(void *cls, struct MHD_Connection *conn, void **ctx,
    enum MHD_RequestTerminationCode code)
{
	struct request *req = *ctx;

	(void)cls;
	(void)conn;
	(void)code;
	if (req != NULL)
		free(req->body);
	free(req);
}

int
main(int argc, char **argv)
{
	uint16_t port = argc > 1 ? (uint16_t)atoi(argv[1]) : 0;
	struct MHD_Daemon *d;
	sigset_t set;
	int sig;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	pthread_cond_init(&st.changed, NULL);
	st.objects = json_object();
	st.vms = json_array();
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
