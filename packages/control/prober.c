#include "control/prober.h"

#include <curl/curl.h>
#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "sys/clocks.h"

#define DEFAULT_TIMEOUT_MS 500
#define MAX_BODY 4096
/* Header fields, interim heads and trailers of a response together. */
#define MAX_HEAD (16 * 1024)
#define MAX_URL 96
/* Limits open sockets: a new owner may probe thousands of upstreams at once. */
#define MAX_CONNECTIONS 256L

/* A probe; it holds the result that is pushed when it ends. */
struct probe {
	struct prober_result r;
	char url[MAX_URL];
	struct bbuf body;
	size_t head_bytes;
	int64_t start_us;
	bool quit;
};

struct prober {
	struct prober_desc desc;
	struct message_queue q;
	CURLM *multi;
	pthread_t thread;
};

struct prober_result *
prober_result_of(struct msgq_msg *m)
{
	return (caa_container_of(m, struct prober_result, m));
}

void
prober_result_free(struct prober_result *r)
{
	struct probe *p = caa_container_of(r, struct probe, r);

	free((char *)(uintptr_t)r->upstream.p);
	bbuf_finish(&p->body);
	free(p);
}

enum rt_state
prober_state_from_name(struct bstr name)
{
	if (bstr_eq(name, BSTR("ready")))
		return (RT_READY);
	if (bstr_eq(name, BSTR("cold")))
		return (RT_COLD);
	if (bstr_eq(name, BSTR("draining")))
		return (RT_DRAINING);
	return (RT_DOWN);
}

static size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	struct probe *p = arg;

	if (p->body.n + size * n > MAX_BODY)
		return (0);
	bbuf_add(&p->body, (struct bstr){data, size * n});
	return (size * n);
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	static const struct bstr name = {"X-Load: ", 8};
	struct probe *p = arg;
	struct bstr line = {data, size * n};
	uint64_t v;

	p->head_bytes += line.n;
	if (p->head_bytes > MAX_HEAD)
		return (0);
	if (line.n > name.n &&
	    bstr_caseeq((struct bstr){line.p, name.n}, name)) {
		line.p += name.n;
		line.n -= name.n;
		/* Drops the line end, and other trailing bytes below '0'. */
		while (line.n > 0 && line.p[line.n - 1] < '0')
			line.n--;
		if (bstr_to_u64(line, &v) && v <= INT32_MAX)
			p->r.load = (int32_t)v;
	}
	return (size * n);
}

static void
start_probe(struct prober *prober, struct probe *p)
{
	CURL *easy = curl_easy_init();
	long timeout = prober->desc.timeout_ms != 0 ? prober->desc.timeout_ms
						    : DEFAULT_TIMEOUT_MS;

	if (easy == NULL)
		abort();
	p->start_us = clk_mono_us();
	curl_easy_setopt(easy, CURLOPT_URL, p->url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, p);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, p);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, p);
	curl_multi_add_handle(prober->multi, easy);
}

static void
read_state(struct probe *p)
{
	json_t *v = json_loadb(p->body.p, p->body.n, 0, NULL);
	const json_t *s = json_object_get(v, "state");

	p->r.ok = json_is_string(s);
	if (p->r.ok)
		p->r.state =
		    prober_state_from_name(bstr_from(json_string_value(s)));
	json_decref(v);
}

static void
finish_probe(struct prober *prober, CURL *easy, CURLcode rc)
{
	struct probe *p;
	long status = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&p);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	p->r.latency_us = clk_mono_us() - p->start_us;
	if (rc == CURLE_OK && status == 200 && p->body.n != 0)
		read_state(p);
	curl_multi_remove_handle(prober->multi, easy);
	curl_easy_cleanup(easy);
	p->r.m.type = prober->desc.msg_type;
	msgq_push(prober->desc.control, &p->r.m);
}

/* Starts the queued probes. Return: false when the thread must end. */
static bool
start_queued_probes(struct prober *prober)
{
	struct msgq_msg *m;

	msgq_clear_event(&prober->q);
	while ((m = msgq_pop(&prober->q)) != NULL) {
		struct probe *p = caa_container_of(m, struct probe, r.m);

		if (p->quit) {
			prober_result_free(&p->r);
			return (false);
		}
		start_probe(prober, p);
	}
	return (true);
}

static void *
run_thread(void *arg)
{
	struct prober *prober = arg;
	struct curl_waitfd w = {
	    .fd = msgq_fd(&prober->q), .events = CURL_WAIT_POLLIN};
	int running, left;
	CURLMsg *msg;

	while (start_queued_probes(prober)) {
		curl_multi_perform(prober->multi, &running);
		while ((msg = curl_multi_info_read(prober->multi, &left)) !=
		    NULL) {
			if (msg->msg == CURLMSG_DONE)
				finish_probe(
				    prober, msg->easy_handle, msg->data.result);
		}
		curl_multi_poll(prober->multi, &w, 1, 1000, NULL);
	}
	return (NULL);
}

struct prober *
prober_start(const struct prober_desc *desc)
{
	struct prober *p = calloc(1, sizeof(*p));

	if (p == NULL || msgq_init(&p->q) != 0)
		abort();
	p->desc = *desc;
	p->multi = curl_multi_init();
	curl_multi_setopt(
	    p->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, MAX_CONNECTIONS);
	curl_multi_setopt(p->multi, CURLMOPT_MAXCONNECTS, MAX_CONNECTIONS);
	pthread_create(&p->thread, NULL, run_thread, p);
	return (p);
}

static struct probe *
probe_new(struct bstr upstream)
{
	struct probe *p = calloc(1, sizeof(*p));

	if (p == NULL)
		abort();
	p->r.upstream = (struct bstr){bstr_dup(upstream), upstream.n};
	p->r.state = RT_DOWN;
	p->r.load = -1;
	return (p);
}

void
prober_stop(struct prober *p)
{
	struct probe *quit = probe_new(BSTR(""));

	quit->quit = true;
	msgq_push(&p->q, &quit->r.m);
	pthread_join(p->thread, NULL);
	curl_multi_cleanup(p->multi);
	msgq_finish(&p->q);
	free(p);
}

void
prober_probe(struct prober *p, struct bstr upstream, struct bstr addr)
{
	struct probe *probe = probe_new(upstream);

	snprintf(probe->url, sizeof(probe->url), "http://%.*s/health",
	    BSTR_ARG(addr));
	msgq_push(&p->q, &probe->r.m);
}
