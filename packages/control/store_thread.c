#include "control/store_thread.h"

#include <poll.h>
#include <pthread.h>
#include <stdlib.h>

#include "base/byte_string.h"
#include "platform/store_client.h"
#include "sys/clocks.h"

/* A store call; it holds the result that is pushed when the call ends. */
struct job {
	struct store_thread_result r;
	json_t *body;
	uint64_t if_version;
	int wait_ms;
	bool quit;
};

/* A thread with its queue and its connection to the store. */
struct job_thread {
	struct store_thread *s;
	struct message_queue q;
	struct store_client client;
	pthread_t thread;
};

struct store_thread {
	struct store_thread_desc desc;
	struct job_thread calls;
	struct job_thread watch;
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
run_job(struct job_thread *t, struct job *j)
{
	struct store_thread_result *r = &j->r;
	struct metrics *metrics = t->s->desc.metrics;
	GError *error = NULL;

	r->sent_ms = clk_mono_ms();
	metrics_add(metrics,
	    r->op == STORE_THREAD_PUT ? METRICS_STORE_WRITES
				      : METRICS_STORE_READS,
	    1);
	switch (r->op) {
	case STORE_THREAD_GET:
		r->value =
		    store_client_get(&t->client, r->key, &r->version, &error);
		break;
	case STORE_THREAD_PUT:
		store_client_put(&t->client, r->key, j->body, j->if_version,
		    &r->version, &error);
		break;
	case STORE_THREAD_LIST:
		r->value = store_client_list(&t->client, r->key, &error);
		break;
	case STORE_THREAD_WATCH:
		r->value = store_client_watch(
		    &t->client, r->key, r->version, j->wait_ms, &error);
		break;
	case STORE_THREAD_VMS:
		r->value = store_client_vms(&t->client, &error);
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
run_job_thread(void *arg)
{
	struct job_thread *t = arg;
	struct pollfd p = {.fd = msgq_fd(&t->q), .events = POLLIN};
	struct msgq_msg *m;

	for (;;) {
		poll(&p, 1, -1);
		msgq_clear_event(&t->q);
		while ((m = msgq_pop(&t->q)) != NULL) {
			struct job *j = job_of(m);

			if (j->quit) {
				store_thread_result_free(&j->r);
				return (NULL);
			}
			run_job(t, j);
			j->r.m.type = t->s->desc.msg_type;
			msgq_push(t->s->desc.control, &j->r.m);
		}
	}
}

static void
start_job_thread(struct store_thread *s, struct job_thread *t)
{
	struct store_client_desc desc = {
	    .addr = s->desc.addr, .port = s->desc.port};

	t->s = s;
	if (msgq_init(&t->q) != 0)
		abort();
	store_client_init(&t->client, &desc);
	pthread_create(&t->thread, NULL, run_job_thread, t);
}

struct store_thread *
store_thread_start(const struct store_thread_desc *desc)
{
	struct store_thread *s = calloc(1, sizeof(*s));

	if (s == NULL)
		abort();
	s->desc = *desc;
	start_job_thread(s, &s->calls);
	start_job_thread(s, &s->watch);
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
stop_job_thread(struct job_thread *t)
{
	struct job *j = job_new(STORE_THREAD_GET, "", 0);

	j->quit = true;
	msgq_push(&t->q, &j->r.m);
	pthread_join(t->thread, NULL);
	store_client_finish(&t->client);
	msgq_finish(&t->q);
}

void
store_thread_stop(struct store_thread *s)
{
	stop_job_thread(&s->calls);
	stop_job_thread(&s->watch);
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

	/* Copied, because jansson's reference counts are not thread-safe. */
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
