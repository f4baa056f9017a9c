/*
 * store - stand-in for the object store and the VM list of the platform.
 *
 * Objects are kept in memory. GET /objects and GET /watch accept up to 16
 * "prefix" arguments: an object matches when its key begins with one of them;
 * without arguments every object matches. A waiting watch counts as one call.
 * POST /admin changes the behaviour:
 *
 *	"outage": bool        answer every call with 503
 *	"delay_ms": n         delay every answer
 *	"lose_answers": n     the next n writes take effect, but their
 *	                      connections are closed without an answer
 *	"reads_per_s": n      answer 429 above this rate; 0 for no limit
 *	"writes_per_s": n     the same for writes
 *	"vms": [...]          new VM list
 *	"vms_lag_ms": n       GET /vms returns the list of this long ago
 *	"stale_read_ms": n    for this long after a write, GET of one object
 *	                      returns the version before that write
 *	"reset_counts": true  reset the counters to 0
 *
 * GET and POST /admin answer with the counters. Prints "port N" when it
 * listens, on loopback only.
 *
 * Usage: store [PORT]
 */
#include <arpa/inet.h>
#include <jansson.h>
#include <math.h>
#include <microhttpd.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "load/event_loop.h"

#define MAX_WAIT_MS 60000
#define MAX_CLIENTS 512
#define MAX_PREFIXES 16
#define DEFAULT_READS_PER_S 2000
#define DEFAULT_WRITES_PER_S 300
#define SECOND_US 1000000

/** enum kind - kinds of calls, counted separately */
enum kind { K_GET, K_LIST, K_WATCH, K_VMS, K_PUT, K_DELETE, K_OTHER, K_COUNT };

static const char *const kind_names[K_COUNT] = {
    "get", "list", "watch", "vms", "put", "delete", "other"};

/**
 * struct bucket - token bucket; its burst is the calls of one second, at least
 * one
 * @per_s: calls per second, 0 for no limit
 * @tokens: calls that are allowed now
 * @last_us: monotonic time of the last update of @tokens
 */
struct bucket {
	double per_s;
	double tokens;
	int64_t last_us;
};

/** struct counts - counters; /admin reports most under the field names */
struct counts {
	json_int_t reads, writes, conflicts;
	json_int_t kinds[K_COUNT];
	json_int_t throttled, outage_refused, lost, watch_wakeups;
	json_int_t calls_this_second, peak_per_s;
	int64_t second, since_us;
};

/**
 * struct store - state of the stand-in
 * @lock: guards all other fields
 * @changed: signalled after a write or a change of behaviour
 * @objects: key -> {key, version, value, deleted}
 * @previous: key -> {key, version, value, until_us}, for stale reads
 * @vms: list of {at_us, list}, the newest last
 * @clients: "ip:port" -> number of calls
 * @revision: version of the last write
 */
struct store {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	json_t *objects;
	json_t *previous;
	json_t *vms;
	json_t *clients;
	json_int_t revision;
	bool outage;
	int delay_ms;
	int lose_answers;
	int vms_lag_ms;
	int stale_read_ms;
	struct bucket read_limit, write_limit;
	struct counts counts;
};

/** struct prefixes - prefix arguments of a call; without any, all keys match */
struct prefixes {
	const char *list[MAX_PREFIXES];
	size_t n;
};

/** struct request - request body received so far */
struct request {
	char *body;
	size_t n;
};

static struct store st = {.lock = PTHREAD_MUTEX_INITIALIZER,
    .read_limit.per_s = DEFAULT_READS_PER_S,
    .write_limit.per_s = DEFAULT_WRITES_PER_S};

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
query_arg(struct MHD_Connection *conn, const char *name, const char *def)
{
	const char *v =
	    MHD_lookup_connection_value(conn, MHD_GET_ARGUMENT_KIND, name);

	return (v == NULL ? def : v);
}

static enum MHD_Result
add_prefix(void *cls, enum MHD_ValueKind kind, const char *key, const char *v)
{
	struct prefixes *p = cls;

	(void)kind;
	if (strcmp(key, "prefix") != 0)
		return (MHD_YES);
	if (p->n == MAX_PREFIXES)
		return (MHD_NO);
	p->list[p->n++] = v == NULL ? "" : v;
	return (MHD_YES);
}

static struct prefixes
prefix_args(struct MHD_Connection *conn)
{
	struct prefixes p = {.n = 0};

	MHD_get_connection_values(conn, MHD_GET_ARGUMENT_KIND, add_prefix, &p);
	return (p);
}

static bool
has_prefix(const char *key, const struct prefixes *p)
{
	for (size_t i = 0; i < p->n; i++)
		if (strncmp(key, p->list[i], strlen(p->list[i])) == 0)
			return (true);
	return (p->n == 0);
}

static json_t *
changed_since(const struct prefixes *p, json_int_t since, bool with_deleted)
{
	json_t *list = json_array(), *o;
	const char *key;

	json_object_foreach(st.objects, key, o)
	{
		json_int_t v =
		    json_integer_value(json_object_get(o, "version"));

		if (!has_prefix(key, p) || v <= since)
			continue;
		if (!with_deleted && json_object_get(o, "deleted") != NULL)
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
wait_for_change(const struct prefixes *p, json_int_t since, int wait_ms)
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
		list = changed_since(p, since, true);
		if (json_array_size(list) > 0 || st.outage)
			break;
		if (pthread_cond_timedwait(&st.changed, &st.lock, &end) != 0)
			break;
		json_decref(list);
	}
	if (json_array_size(list) > 0)
		st.counts.watch_wakeups++;
	return (list);
}

/* Saves the version before a write for stale reads. */
static void
save_previous(const char *key, const json_t *o)
{
	json_t *copy;

	if (st.stale_read_ms == 0 || o == NULL)
		return;
	copy = json_copy((json_t *)(uintptr_t)o);
	json_object_set_new(copy, "until_us",
	    json_integer(evloop_now_us() + (int64_t)st.stale_read_ms * 1000));
	json_object_set_new(st.previous, key, copy);
}

static unsigned
write_object(
    struct MHD_Connection *conn, const char *key, json_t *value, json_t **out)
{
	const char *match =
	    MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "If-Match");
	json_t *o = json_object_get(st.objects, key);
	json_int_t current = 0;

	if (o != NULL && json_object_get(o, "deleted") == NULL)
		current = json_integer_value(json_object_get(o, "version"));
	if (match == NULL || atoll(match) != current) {
		st.counts.conflicts++;
		*out = json_pack("{s:I}", "version", current);
		return (412);
	}
	save_previous(key, o);
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
set_vms(const json_t *list)
{
	json_array_append_new(st.vms,
	    json_pack("{s:I,s:o}", "at_us", (json_int_t)evloop_now_us(), "list",
		json_deep_copy(list)));
}

/* Returns the VM list as it was vms_lag_ms ago. */
static json_t *
lagging_vms(void)
{
	int64_t then = evloop_now_us() - (int64_t)st.vms_lag_ms * 1000;
	size_t i = json_array_size(st.vms);

	while (i > 1 &&
	    json_integer_value(
		json_object_get(json_array_get(st.vms, i - 1), "at_us")) > then)
		i--;
	return (json_deep_copy(
	    json_object_get(json_array_get(st.vms, i - 1), "list")));
}

static void
apply_int(const json_t *v, const char *key, int *out)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		*out = (int)json_integer_value(e);
}

static void
apply_rate(const json_t *v, const char *key, struct bucket *b)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		b->per_s = json_number_value(e);
}

static void
reset_counts(void)
{
	st.counts = (struct counts){.since_us = evloop_now_us()};
	json_object_clear(st.clients);
}

static void
apply_admin(const json_t *v)
{
	const json_t *e;

	if ((e = json_object_get(v, "outage")) != NULL)
		st.outage = json_is_true(e);
	apply_int(v, "delay_ms", &st.delay_ms);
	apply_int(v, "lose_answers", &st.lose_answers);
	apply_rate(v, "reads_per_s", &st.read_limit);
	apply_rate(v, "writes_per_s", &st.write_limit);
	apply_int(v, "vms_lag_ms", &st.vms_lag_ms);
	apply_int(v, "stale_read_ms", &st.stale_read_ms);
	if ((e = json_object_get(v, "vms")) != NULL)
		set_vms(e);
	if (json_is_true(json_object_get(v, "reset_counts")))
		reset_counts();
	pthread_cond_broadcast(&st.changed);
}

static json_t *
stats(void)
{
	json_t *kinds = json_object(), *v;

	for (int i = 0; i < K_COUNT; i++)
		json_object_set_new(
		    kinds, kind_names[i], json_integer(st.counts.kinds[i]));
	v = json_pack("{s:I,s:I,s:o,s:O}", "revision", st.revision, "since_ms",
	    (json_int_t)(evloop_now_us() - st.counts.since_us) / 1000, "kinds",
	    kinds, "clients", st.clients);
#define PUT(name) json_object_set_new(v, #name, json_integer(st.counts.name))
	PUT(reads);
	PUT(writes);
	PUT(conflicts);
	PUT(throttled);
	PUT(outage_refused);
	PUT(lost);
	PUT(watch_wakeups);
	PUT(peak_per_s);
#undef PUT
	return (v);
}

static json_t *
read_object(const char *key)
{
	json_t *previous = json_object_get(st.previous, key);
	json_t *o = json_object_get(st.objects, key);
	json_int_t until =
	    json_integer_value(json_object_get(previous, "until_us"));

	if (previous != NULL && st.stale_read_ms > 0 && until > evloop_now_us())
		o = previous;
	if (o == NULL || json_object_get(o, "deleted") != NULL)
		return (NULL);
	o = json_copy(o);
	json_object_del(o, "until_us");
	return (o);
}

static unsigned
read_path(
    struct MHD_Connection *conn, enum kind kind, const char *url, json_t **out)
{
	struct prefixes p = prefix_args(conn);

	switch (kind) {
	case K_VMS:
		*out = lagging_vms();
		return (200);
	case K_WATCH:
		*out = listing(
		    wait_for_change(&p, atoll(query_arg(conn, "since", "0")),
			atoi(query_arg(conn, "wait_ms", "0"))));
		return (st.outage ? 503 : 200);
	case K_LIST:
		*out = listing(changed_since(&p, 0, false));
		return (200);
	case K_GET:
		*out = read_object(url + 9);
		return (*out == NULL ? 404 : 200);
	default:
		return (404);
	}
}

static enum kind
kind_of(const char *method, const char *url)
{
	bool object = strncmp(url, "/objects/", 9) == 0;

	if (strcmp(method, "GET") != 0) {
		if (object && strcmp(method, "PUT") == 0)
			return (K_PUT);
		if (object && strcmp(method, "DELETE") == 0)
			return (K_DELETE);
		return (K_OTHER);
	}
	if (strcmp(url, "/vms") == 0)
		return (K_VMS);
	if (strcmp(url, "/watch") == 0)
		return (K_WATCH);
	if (strcmp(url, "/objects") == 0)
		return (K_LIST);
	return (object ? K_GET : K_OTHER);
}

static void
count_client(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *sin =
	    (const struct sockaddr_in *)info->client_addr;
	char ip[INET_ADDRSTRLEN] = "?", name[INET_ADDRSTRLEN + 8];
	json_t *n;

	inet_ntop(AF_INET, &sin->sin_addr, ip, sizeof(ip));
	snprintf(name, sizeof(name), "%s:%u", ip, ntohs(sin->sin_port));
	if (json_object_get(st.clients, name) == NULL &&
	    json_object_size(st.clients) >= MAX_CLIENTS)
		snprintf(name, sizeof(name), "others");
	n = json_object_get(st.clients, name);
	json_object_set_new(
	    st.clients, name, json_integer(json_integer_value(n) + 1));
}

static void
count_call(struct MHD_Connection *conn, enum kind kind)
{
	int64_t second = evloop_now_us() / SECOND_US;

	if (second != st.counts.second)
		st.counts.calls_this_second = 0;
	st.counts.second = second;
	if (++st.counts.calls_this_second > st.counts.peak_per_s)
		st.counts.peak_per_s = st.counts.calls_this_second;
	st.counts.kinds[kind]++;
	if (kind == K_PUT || kind == K_DELETE)
		st.counts.writes++;
	else
		st.counts.reads++;
	count_client(conn);
}

/* Consumes a token; false when the rate limit is exceeded. */
static bool
take_token(struct bucket *b)
{
	int64_t now = evloop_now_us();

	if (b->per_s <= 0)
		return (true);
	b->tokens += (double)(now - b->last_us) * b->per_s / SECOND_US;
	b->last_us = now;
	if (b->tokens > fmax(b->per_s, 1))
		b->tokens = fmax(b->per_s, 1);
	if (b->tokens < 1)
		return (false);
	b->tokens -= 1;
	return (true);
}

/* Returns the error status of a call that is rejected, or 0. */
static unsigned
rejection_status(enum kind kind)
{
	bool write = kind == K_PUT || kind == K_DELETE;

	if (st.outage) {
		st.counts.outage_refused++;
		return (503);
	}
	if (!take_token(write ? &st.write_limit : &st.read_limit)) {
		st.counts.throttled++;
		return (429);
	}
	return (0);
}

static unsigned
execute(struct MHD_Connection *conn, const char *url, const char *method,
    json_t *body, json_t **out, bool *drop_answer)
{
	enum kind kind = kind_of(method, url);
	unsigned status;

	count_call(conn, kind);
	status = rejection_status(kind);
	if (status != 0)
		return (status);
	if (kind == K_OTHER || (kind == K_PUT && body == NULL))
		return (strcmp(method, "GET") == 0 ? 404 : 400);
	if (kind != K_PUT && kind != K_DELETE)
		return (read_path(conn, kind, url, out));
	status =
	    write_object(conn, url + 9, kind == K_DELETE ? NULL : body, out);
	if (status == 200 && st.lose_answers > 0) {
		st.lose_answers--;
		st.counts.lost++;
		*drop_answer = true;
	}
	return (status);
}

static enum MHD_Result
serve(struct MHD_Connection *conn, const char *url, const char *method,
    const struct request *req)
{
	json_t *body = req->n == 0
	    ? NULL
	    : json_loadb(req->body, req->n, JSON_DECODE_ANY, NULL);
	json_t *out = NULL;
	bool drop_answer = false;
	unsigned status;
	int delay;

	pthread_mutex_lock(&st.lock);
	delay = st.delay_ms;
	if (strcmp(url, "/admin") == 0) {
		if (body != NULL)
			apply_admin(body);
		out = stats();
		status = 200;
		delay = 0;
	} else {
		status = execute(conn, url, method, body, &out, &drop_answer);
	}
	pthread_mutex_unlock(&st.lock);
	json_decref(body);
	if (delay > 0)
		usleep((useconds_t)delay * 1000);
	if (drop_answer) {
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
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
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
	st.previous = json_object();
	st.clients = json_object();
	st.vms = json_array();
	set_vms(json_array());
	reset_counts();
	d = MHD_start_daemon(MHD_USE_AUTO | MHD_USE_THREAD_PER_CONNECTION |
		MHD_USE_INTERNAL_POLLING_THREAD,
	    port, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR,
	    (struct sockaddr *)&sin, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
	    NULL, MHD_OPTION_END);
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
