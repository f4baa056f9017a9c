#include "control/store_thread.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>

#include "base/byte_string.h"
#include "platform/store_client.h"
#include "sys/clocks.h"

/* One call on its way to a store thread; becomes the result. */
struct job {
	struct store_thread_result r;
	json_t *body;
	uint64_t if_version;
	int wait_ms;
	bool quit;
};

/* One thread with its queue and its connection. */
struct lane {
	struct store_thread *s;
	struct message_queue q;
	struct store_client client;
	pthread_t thread;
};

struct store_thread {
	struct store_thread_desc desc;
	struct lane calls;
	struct lane watch;
};

static struct job *
job_of(struct msgq_msg *m)
{
	return (caa_container_of(m, struct job, r.m));
}

struct store_thread_result *
store_thread_result_of(struct msgq_msg *m)
{
	return (caa_container_of(m, struct store_thread_result, m));
}

void
store_thread_result_free(struct store_thread_result *r)
{
	struct job *j = caa_container_of(r, struct job, r);

	json_decref(r->value);
	json_decref(j->body);
	free(r->key);
	free(j);
}

static void
run_job(struct lane *l, struct job *j)
{
	struct store_thread_result *r = &j->r;
	struct metrics *metrics = l->s->desc.metrics;
	GError *error = NULL;

	r->sent_ms = clk_mono_ms();
	metrics_add(metrics,
	    r->op == STORE_THREAD_PUT ? METRICS_STORE_WRITES
				      : METRICS_STORE_READS,
	    1);
	switch (r->op) {
	case STORE_THREAD_GET:
		r->value =
		    store_client_get(&l->client, r->key, &r->version, &error);
		break;
	case STORE_THREAD_PUT:
		store_client_put(&l->client, r->key, j->body, j->if_version,
		    &r->version, &error);
		break;
	case STORE_THREAD_LIST:
		r->value = store_client_list(&l->client, r->key, &error);
		break;
	case STORE_THREAD_WATCH:
		r->value = store_client_watch(
		    &l->client, r->key, r->version, j->wait_ms, &error);
		break;
	case STORE_THREAD_VMS:
		r->value = store_client_vms(&l->client, &error);
		break;
	}
	if (error == NULL)
		return;
	r->err = (enum err_kind)error->code;
	if (r->err == ERR_STORE) {
		metrics_add(metrics, METRICS_STORE_ERRORS, 1);
		g_debug("store: %s", error->message);
	}
	g_error_free(error);
}

static void *
run_lane(void *arg)
{
	struct lane *l = arg;
	struct pollfd p = {.fd = msgq_fd(&l->q), .events = POLLIN};
	struct msgq_msg *m;

	for (;;) {
		poll(&p, 1, -1);
		msgq_clear_event(&l->q);
		while ((m = msgq_pop(&l->q)) != NULL) {
			struct job *j = job_of(m);

			if (j->quit) {
				store_thread_result_free(&j->r);
				return (NULL);
			}
			run_job(l, j);
			j->r.m.type = l->s->desc.msg_type;
			msgq_push(l->s->desc.control, &j->r.m);
		}
	}
}

static void
start_lane(struct store_thread *s, struct lane *l)
{
	struct store_client_desc desc = {
	    .addr = s->desc.addr, .port = s->desc.port};

	l->s = s;
	if (msgq_init(&l->q) != 0)
		abort();
	store_client_init(&l->client, &desc);
	pthread_create(&l->thread, NULL, run_lane, l);
}

struct store_thread *
store_thread_start(const struct store_thread_desc *desc)
{
	struct store_thread *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	s->desc = *desc;
	start_lane(s, &s->calls);
	start_lane(s, &s->watch);
	return (s);
}

static struct job *
job_new(enum store_thread_op op, const char *key, uint64_t tag)
{
	struct job *j = calloc(1, sizeof(*j));

	if (j == NULL)
		abort();
	j->r.op = op;
	j->r.key = bstr_dup(bstr_from(key));
	j->r.tag = tag;
	return (j);
}

static void
stop_lane(struct lane *l)
{
	struct job *j = job_new(STORE_THREAD_GET, "", 0);

	j->quit = true;
	msgq_push(&l->q, &j->r.m);
	pthread_join(l->thread, NULL);
	store_client_finish(&l->client);
	msgq_finish(&l->q);
}

void
store_thread_stop(struct store_thread *s)
{
	stop_lane(&s->calls);
	stop_lane(&s->watch);
	free(s);
}

void
store_thread_get(struct store_thread *s, const char *key, uint64_t tag)
{
	msgq_push(&s->calls.q, &job_new(STORE_THREAD_GET, key, tag)->r.m);
}

void
store_thread_put(struct store_thread *s, const char *key, json_t *value,
    uint64_t if_version, uint64_t tag)
{
	struct job *j = job_new(STORE_THREAD_PUT, key, tag);

	/* A copy: jansson's reference counts are not shared between threads. */
	j->body = json_deep_copy(value);
	j->if_version = if_version;
	msgq_push(&s->calls.q, &j->r.m);
}

void
store_thread_list(struct store_thread *s, const char *prefix, uint64_t tag)
{
	msgq_push(&s->calls.q, &job_new(STORE_THREAD_LIST, prefix, tag)->r.m);
}

void
store_thread_vms(struct store_thread *s, uint64_t tag)
{
	msgq_push(&s->calls.q, &job_new(STORE_THREAD_VMS, "", tag)->r.m);
}

void
store_thread_watch(struct store_thread *s, const char *prefix, uint64_t since,
    int wait_ms, uint64_t tag)
{
	struct job *j = job_new(STORE_THREAD_WATCH, prefix, tag);

	j->r.version = since;
	j->wait_ms = wait_ms;
	msgq_push(&s->watch.q, &j->r.m);
}
