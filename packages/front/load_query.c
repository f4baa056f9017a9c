#include "front/load_query.h"

#include <stdio.h>
#include <stdlib.h>

#include "front/attempt_report.h"
#include "front/upstream_request.h"
#include "front/upstream_side.h"
#include "front/worker.h"
#include "route/load_choice.h"
#include "sys/clocks.h"

/* Longest wait for the responses; a healthy upstream responds in 3 ms. */
#define MAX_WAIT_US 40000
/* After this many ended probes, the wait is limited to EXTRA_WAIT_US. */
#define ENOUGH_RESPONSES 2
#define EXTRA_WAIT_US 4000
#define PROBE_TIMEOUT_MS 400L
#define MAX_ID 127

/**
 * struct probe - one probe in flight
 * @x: first member; CURLOPT_PRIVATE points to it
 * @link: link in the worker's list of probes
 * @w: worker
 * @stat: statistics of the upstream, a reference is held
 * @easy: libcurl transfer
 * @id: id of the upstream
 * @head: head of the response
 * @opened_fd: socket opened for the probe, -1 for a reused connection
 * @bad: the response head is malformed
 * @final: the head is complete
 */
struct probe {
	struct curl_transfer x;
	struct cds_list_head link;
	struct worker *w;
	struct rt_stat *stat;
	CURL *easy;
	char id[MAX_ID + 1];
	struct response_head head;
	int opened_fd;
	bool bad;
	bool final;
};

void
load_query_init(struct load_query *q)
{
	CDS_INIT_LIST_HEAD(&q->probes);
	CDS_INIT_LIST_HEAD(&q->calls);
}

static void
free_probe(struct probe *p)
{
	curl_multi_remove_handle(worker_multi(p->w), p->easy);
	worker_easy_put(p->w, p->easy);
	worker_count_transfer(p->w, p->stat, -1);
	cds_list_del(&p->link);
	response_head_finish(&p->head);
	rt_stat_unref(p->stat);
	free(p);
}

void
load_query_finish(struct load_query *q)
{
	struct cds_list_head *node, *next;

	cds_list_for_each_safe(node, next, &q->probes)
	{
		free_probe(cds_list_entry(node, struct probe, link));
	}
}

static void
resume(struct call *c)
{
	load_query_leave(c);
	upstream_side_resume(c);
}

/* Counts an ended probe in each call that waits for it. */
static void
notify_calls(struct load_query *q, const struct rt_stat *stat, int64_t now_us)
{
	struct cds_list_head ready;
	struct cds_list_head *node, *next;

	CDS_INIT_LIST_HEAD(&ready);
	cds_list_for_each_safe(node, next, &q->calls)
	{
		struct call *c =
		    cds_list_entry(node, struct call, probe_wait_link);
		unsigned before = c->n_probe_answers;

		for (unsigned i = 0; i < c->n_probed; i++)
			c->n_probe_answers += c->probed[i] == stat;
		if (c->n_probe_answers == before)
			continue;
		if (c->n_probe_answers >= c->n_probed)
			cds_list_move(&c->probe_wait_link, &ready);
		else if (c->n_probe_answers == ENOUGH_RESPONSES)
			worker_timer_set(c->w, c, now_us + EXTRA_WAIT_US);
	}
	while (!cds_list_empty(&ready))
		resume(
		    cds_list_first_entry(&ready, struct call, probe_wait_link));
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct probe *p = arg;
	struct bstr line = {data, size * n};
	enum response_head_verdict v = response_head_line(&p->head, line);

	p->final = p->final || v == RESPONSE_HEAD_FINAL;
	p->bad = p->bad || v == RESPONSE_HEAD_BAD;
	return (v == RESPONSE_HEAD_BAD ? 0 : line.n);
}

static size_t
on_write(char *data, size_t size, size_t n, void *arg)
{
	(void)data;
	(void)arg;
	return (size * n);
}

static curl_socket_t
on_open(void *arg, curlsocktype purpose, struct curl_sockaddr *a)
{
	struct probe *p = arg;

	(void)purpose;
	p->opened_fd = upstream_request_open_socket(a);
	return (p->opened_fd);
}

static int
on_prereq(
    void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct probe *p = arg;

	(void)local_ip;
	if (upstream_socket_is_clean(worker_sockets(p->w), p->opened_fd,
		remote_ip, remote_port, local_port))
		return (CURL_PREREQFUNC_OK);
	curl_easy_setopt(p->easy, CURLOPT_FORBID_REUSE, 1L);
	return (CURL_PREREQFUNC_ABORT);
}

/* Records the reported load; returns false when the response is unusable. */
static bool
record_report(struct probe *p, int64_t now_us)
{
	const struct upstream_protocol *protocol =
	    worker_shared_state(p->w)->protocol;
	struct proto_expect expect = {
	    .instance = bstr_from(p->id), .probe = true};
	struct proto_report r;
	struct load_choice_report report = {0};

	protocol->ops->read(&p->head, &expect, &r);
	if (r.verdict == PROTO_MISMATCH || r.not_run)
		return (false);
	report.refusing = r.leaving || r.verdict == PROTO_MOVED;
	report.none = r.running < 0;
	report.running = r.running;
	report.waiting = r.waiting;
	report.pace = r.pace;
	report.cold_us = r.cold_ms * 1000;
	if (r.idle_limit_ms > 0)
		atomic_store(&p->stat->idle_limit_us, r.idle_limit_ms * 1000);
	load_choice_on_report(p->stat, &report, now_us);
	if (r.verdict == PROTO_MATCH)
		attempt_report_terms(
		    p->stat, bstr_from(p->id), &r.terms, now_us);
	return (true);
}

static void
on_done(struct curl_transfer *x, CURL *easy, CURLcode result)
{
	struct probe *p = (struct probe *)x;
	struct rt_stat *stat = rt_stat_ref(p->stat);
	struct worker *w = p->w;
	int64_t now_us = clk_mono_us();

	(void)easy;
	if (result != CURLE_OK || p->bad || !p->final ||
	    !record_report(p, now_us))
		load_choice_on_probe_failure(stat, now_us);
	free_probe(p);
	notify_calls(worker_load_query(w), stat, now_us);
	rt_stat_unref(stat);
}

static void
set_options(struct probe *p, const char *url)
{
	CURL *e = p->easy;

	curl_easy_setopt(e, CURLOPT_URL, url);
	curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
	upstream_request_set_connection(e, p->w, p->stat);
	curl_easy_setopt(e, CURLOPT_PRIVATE, &p->x);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(e, CURLOPT_OPENSOCKETDATA, p);
	curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(e, CURLOPT_PREREQDATA, p);
	curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(e, CURLOPT_HEADERDATA, p);
	curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(e, CURLOPT_WRITEDATA, p);
}

static struct probe *
find_probe(const struct load_query *q, const struct rt_stat *stat)
{
	struct cds_list_head *node;

	cds_list_for_each(node, &q->probes)
	{
		struct probe *p = cds_list_entry(node, struct probe, link);

		if (p->stat == stat)
			return (p);
	}
	return (NULL);
}

static void
send_probe(
    struct worker *w, const struct rt_service *s, const struct rt_upstream *u)
{
	struct probe *p = calloc(1, sizeof(*p));
	struct bbuf url;

	if (p == NULL)
		abort();
	p->x.done = on_done;
	p->w = w;
	p->stat = rt_stat_ref(u->stat);
	p->opened_fd = -1;
	memcpy(p->id, u->id.p, u->id.n);
	response_head_init(&p->head, false);
	p->easy = worker_easy_get(w);
	bbuf_init(&url);
	bbuf_addf(&url, "http://%.*s%.*s", BSTR_ARG(u->addr),
	    BSTR_ARG(s->probe_path));
	set_options(p, url.p);
	bbuf_finish(&url);
	worker_count_transfer(w, p->stat, 1);
	cds_list_add(&p->link, &worker_load_query(w)->probes);
	metrics_add(worker_shared_state(w)->metrics, METRICS_PROBES, 1);
	curl_multi_add_handle(worker_multi(w), p->easy);
}

bool
load_query_start(struct call *c, const struct rt_service *s,
    const struct rt_request *req, int64_t now_us)
{
	uint32_t found[LOAD_CHOICE_FANOUT];
	struct load_query *q = worker_load_query(c->w);
	uint32_t n;

	if (s->probe_path.n == 0)
		return (false);
	n = load_choice_candidates(
	    s, req, now_us, worker_rng(c->w), found, LOAD_CHOICE_FANOUT);
	c->n_probed = 0;
	c->n_probe_answers = 0;
	for (uint32_t i = 0; i < n; i++) {
		const struct rt_upstream *u = &s->upstreams[found[i]];

		if (u->id.n > MAX_ID || u->addr.n > CALL_ADDR_MAX ||
		    (u->stat != req->freed &&
			load_choice_is_fresh(u->stat, now_us)))
			continue;
		if (find_probe(q, u->stat) == NULL)
			send_probe(c->w, s, u);
		c->probed[c->n_probed++] = u->stat;
	}
	if (c->n_probed == 0)
		return (false);
	c->wait = CALL_WAIT_PROBE;
	cds_list_add_tail(&c->probe_wait_link, &q->calls);
	worker_timer_set(c->w, c, now_us + MAX_WAIT_US);
	return (true);
}

void
load_query_leave(struct call *c)
{
	if (c->wait != CALL_WAIT_PROBE)
		return;
	c->wait = CALL_WAIT_NONE;
	cds_list_del(&c->probe_wait_link);
	worker_timer_clear(c->w, c);
}

void
load_query_on_timer(struct call *c, int64_t now_us)
{
	/*
	 * Other calls must not wait for upstreams that did not respond. Once
	 * ENOUGH_RESPONSES probes have ended, the timer is shortened, so a
	 * missing response is not yet a failure.
	 */
	for (unsigned i = 0; i < c->n_probed; i++) {
		if (c->n_probe_answers < ENOUGH_RESPONSES &&
		    find_probe(worker_load_query(c->w), c->probed[i]) != NULL)
			load_choice_on_probe_failure(c->probed[i], now_us);
	}
	resume(c);
}
