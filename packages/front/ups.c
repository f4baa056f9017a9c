#include "front/ups.h"

#include <stdlib.h>
#include <urcu.h>

#include "front/fe.h"
#include "front/wrk.h"
#include "sys/clk.h"

#define ANSWER_HIGH_WATER (256 * 1024)
#define ANSWER_LOW_WATER (64 * 1024)
#define CONNECT_TIMEOUT_MS 250L
#define MAX_ATTEMPTS 3

/* Takes an upstream from the current table; keeps its statistics and address.
 */
static bool
pick(struct call *c, int64_t now_us)
{
	struct rt_request req = {.n_excluded = c->n_excluded};
	const struct rt_service *s;
	int i = RT_NONE;

	for (uint32_t k = 0; k < c->n_excluded; k++)
		req.excluded[k] = c->excluded[k];
	rcu_read_lock();
	s = rt_find_service(env_table(wrk_env(c->w)), c->service);
	if (s != NULL)
		i = rt_pick(s, &req, now_us, wrk_rng(c->w));
	if (i >= 0) {
		const struct rt_upstream *u = &s->upstreams[i];

		c->upstream = rt_stat_ref(u->stat);
		c->slots = u->slots;
		free((char *)(uintptr_t)c->addr.p);
		c->addr = (struct bstr){bstr_dup(u->addr), u->addr.n};
	}
	rcu_read_unlock();
	return (i >= 0);
}

static void
release_upstream(struct call *c, bool failed)
{
	struct rt_result result = {
	    .latency_us = clk_mono_us() - c->attempt_us,
	    .failed = failed,
	    .reported = c->reported,
	};

	rt_on_finish(c->upstream, c->slots, &result, clk_mono_us());
	if (failed && c->n_excluded < RT_MAX_EXCLUDED)
		c->excluded[c->n_excluded++] = c->upstream;
	else
		rt_stat_unref(c->upstream);
	c->upstream = NULL;
}

/*
 * libcurl calls this when the connection is up, before it writes the request.
 * It calls it again when it resends on a new connection after a reused one
 * closed without an answer; only an idempotent request may be sent twice.
 */
static int
on_prereq(
    void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct call *c = arg;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (c->sent == CALL_MAY_BE_SENT && !c->idempotent)
		return (CURL_PREREQFUNC_ABORT);
	c->sent = CALL_MAY_BE_SENT;
	return (CURL_PREREQFUNC_OK);
}

static size_t
on_read(char *out, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	size_t len = size * n;

	if (c->body.n == 0) {
		if (c->body_done)
			return (0);
		c->body_paused = true;
		return (CURL_READFUNC_PAUSE);
	}
	if (len > c->body.n)
		len = c->body.n;
	memcpy(out, c->body.p, len);
	bbuf_drop_front(&c->body, len);
	fe_on_body_taken(c);
	return (len);
}

static size_t
on_write(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	size_t len = size * n;

	if (c->answer.n != 0 && c->answer.n + len > ANSWER_HIGH_WATER) {
		c->answer_paused = true;
		return (CURL_WRITEFUNC_PAUSE);
	}
	bbuf_add(&c->answer, (struct bstr){data, len});
	fe_on_data(c);
	return (len);
}

static struct bstr
trim(struct bstr s)
{
	while (s.n > 0 && (s.p[0] == ' ' || s.p[0] == '\t')) {
		s.p++;
		s.n--;
	}
	while (s.n > 0 && strchr(" \t\r\n", s.p[s.n - 1]) != NULL)
		s.n--;
	return (s);
}

static void
add_header_line(struct call *c, struct bstr line)
{
	const char *colon = memchr(line.p, ':', line.n);
	struct bstr name, value;
	uint64_t v;

	if (colon == NULL)
		return;
	name = trim((struct bstr){line.p, (size_t)(colon - line.p)});
	value = trim(
	    (struct bstr){colon + 1, line.n - (size_t)(colon + 1 - line.p)});
	if (bstr_caseeq(name, BSTR("Content-Length"))) {
		if (bstr_to_u64(value, &v))
			c->answer_len = (int64_t)v;
		return;
	}
	if (bstr_caseeq(name, BSTR("Transfer-Encoding")))
		c->chunked = true;
	if (bstr_caseeq(name, BSTR("X-Load")) && bstr_to_u64(value, &v))
		c->reported = (int32_t)v;
	if (bstr_caseeq(name, BSTR("X-Not-Run")))
		c->upstream_not_run = bstr_eq(value, BSTR("1"));
	if (!call_is_hop_by_hop(name))
		call_add_answer_header(c, name, value);
}

static size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	struct call *c = arg;
	struct bstr line = trim((struct bstr){data, size * n});
	long status = 0;

	if (bstr_has_prefix(line, BSTR("HTTP/"))) {
		call_reset_answer(c);
		return (size * n);
	}
	if (line.n != 0) {
		add_header_line(c, line);
		return (size * n);
	}
	curl_easy_getinfo(c->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status >= 200 && !c->upstream_not_run) {
		c->status = (unsigned)status;
		fe_on_head(c);
	}
	return (size * n);
}

static void
add_out_header(struct call *c, struct bstr name, struct bstr value)
{
	struct bbuf b;

	bbuf_init(&b);
	bbuf_add(&b, name);
	if (value.n == 0)
		bbuf_add(&b, BSTR(";"));
	else
		bbuf_add(&b, BSTR(": "));
	bbuf_add(&b, value);
	c->out_headers = curl_slist_append(c->out_headers, b.p);
	bbuf_finish(&b);
}

static enum MHD_Result
copy_request_header(
    void *arg, enum MHD_ValueKind kind, const char *key, const char *value)
{
	struct call *c = arg;
	struct bstr name = bstr_from(key);

	(void)kind;
	if (call_is_hop_by_hop(name) ||
	    bstr_caseeq(name, BSTR("Content-Length")) ||
	    bstr_caseeq(name, BSTR("Expect")) ||
	    bstr_caseeq(name, BSTR("X-Deadline-Ms")))
		return (MHD_YES);
	add_out_header(c, name, bstr_from(value));
	return (MHD_YES);
}

static void
set_headers(struct call *c, int64_t now_us)
{
	static const char *const unset[] = {
	    "Expect:", "User-Agent:", "Accept:"};
	char value[32];

	for (size_t i = 0; i < sizeof(unset) / sizeof(*unset); i++) {
		char name[16];
		size_t n = strlen(unset[i]) - 1;

		memcpy(name, unset[i], n);
		name[n] = '\0';
		if (i == 0 || call_header_in(c, name).n == 0)
			c->out_headers =
			    curl_slist_append(c->out_headers, unset[i]);
	}
	MHD_get_connection_values(
	    c->conn, MHD_HEADER_KIND, copy_request_header, c);
	snprintf(value, sizeof(value), "%lld",
	    (long long)(clk_wall_ms() + (c->deadline_us - now_us) / 1000));
	add_out_header(c, BSTR("X-Deadline-Ms"), bstr_from(value));
}

static void
set_method(struct call *c)
{
	if (bstr_eq(c->method, BSTR("HEAD"))) {
		curl_easy_setopt(c->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (c->has_body) {
		curl_easy_setopt(c->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(c->easy, CURLOPT_READFUNCTION, on_read);
		curl_easy_setopt(c->easy, CURLOPT_READDATA, c);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)c->body_len);
		if (c->body_len < 0)
			add_out_header(
			    c, BSTR("Transfer-Encoding"), BSTR("chunked"));
	} else if (bstr_eq(c->method, BSTR("POST")) ||
	    bstr_eq(c->method, BSTR("PUT"))) {
		curl_easy_setopt(c->easy, CURLOPT_POST, 1L);
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDS, "");
		curl_easy_setopt(c->easy, CURLOPT_POSTFIELDSIZE, 0L);
		add_out_header(c, BSTR("Content-Type"), BSTR(""));
	}
	if (!bstr_eq(c->method, BSTR("GET")))
		curl_easy_setopt(c->easy, CURLOPT_CUSTOMREQUEST, c->method.p);
}

static void
set_transfer(struct call *c, int64_t now_us)
{
	char url[128];

	snprintf(url, sizeof(url), "http://%.*s/", BSTR_ARG(c->addr));
	curl_easy_setopt(c->easy, CURLOPT_URL, url);
	curl_easy_setopt(c->easy, CURLOPT_REQUEST_TARGET, c->target.p);
	curl_easy_setopt(c->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(c->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(c->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(
	    c->easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(
	    c->easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
	curl_easy_setopt(c->easy, CURLOPT_TIMEOUT_MS,
	    (long)((c->deadline_us - now_us) / 1000 + 1));
	curl_easy_setopt(c->easy, CURLOPT_PRIVATE, c);
	curl_easy_setopt(c->easy, CURLOPT_PREREQFUNCTION, on_prereq);
	curl_easy_setopt(c->easy, CURLOPT_PREREQDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_WRITEFUNCTION, on_write);
	curl_easy_setopt(c->easy, CURLOPT_WRITEDATA, c);
	curl_easy_setopt(c->easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(c->easy, CURLOPT_HEADERDATA, c);
	set_headers(c, now_us);
	set_method(c);
	curl_easy_setopt(c->easy, CURLOPT_HTTPHEADER, c->out_headers);
}

enum err_kind
ups_start(struct call *c)
{
	int64_t now_us = clk_mono_us();

	if (now_us >= c->deadline_us)
		return (ERR_DEADLINE);
	if (!pick(c, now_us))
		return (ERR_NO_UPSTREAM);
	c->easy = wrk_easy_get(c->w);
	c->sent = CALL_NOT_SENT;
	c->attempt_us = now_us;
	c->reported = -1;
	c->attempts++;
	rt_on_start(c->upstream, now_us);
	set_transfer(c, now_us);
	curl_multi_add_handle(wrk_multi(c->w), c->easy);
	return (ERR_NONE);
}

void
ups_body_ready(struct call *c)
{
	if (!c->body_paused || c->easy == NULL)
		return;
	c->body_paused = false;
	wrk_unpause(c->w, c);
}

void
ups_answer_taken(struct call *c)
{
	if (!c->answer_paused || c->answer.n > ANSWER_LOW_WATER)
		return;
	c->answer_paused = false;
	wrk_unpause(c->w, c);
}

static void
end_transfer(struct call *c)
{
	curl_multi_remove_handle(wrk_multi(c->w), c->easy);
	wrk_easy_put(c->w, c->easy);
	curl_slist_free_all(c->out_headers);
	c->out_headers = NULL;
	c->easy = NULL;
}

void
ups_cancel(struct call *c)
{
	if (c->easy == NULL)
		return;
	end_transfer(c);
	release_upstream(c, false);
}

static enum err_kind
kind_of(const struct call *c, CURLcode result)
{
	if (result == CURLE_OK)
		return (c->upstream_not_run ? ERR_REFUSED : ERR_NONE);
	if (c->sent == CALL_NOT_SENT)
		return (clk_mono_us() >= c->deadline_us ? ERR_DEADLINE
							: ERR_CONNECT);
	if (result == CURLE_OPERATION_TIMEDOUT)
		return (ERR_UPSTREAM_TIMEOUT);
	if (c->status != 0 || result == CURLE_WEIRD_SERVER_REPLY ||
	    result == CURLE_UNSUPPORTED_PROTOCOL)
		return (ERR_UPSTREAM_ANSWER);
	return (ERR_UPSTREAM_CLOSED);
}

static bool
may_retry(const struct call *c, enum err_kind kind)
{
	if (c->attempts >= MAX_ATTEMPTS || c->answer_started || c->has_body)
		return (false);
	if (clk_mono_us() >= c->deadline_us)
		return (false);
	if (err_answer(kind)->outcome == ERR_NOT_RUN)
		return (true);
	return (c->idempotent);
}

void
ups_finish(CURL *easy, CURLcode result)
{
	struct call *c;
	enum err_kind kind;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&c);
	kind = kind_of(c, result);
	end_transfer(c);
	release_upstream(c, kind != ERR_NONE);
	if (kind != ERR_NONE && c->conn != NULL && may_retry(c, kind)) {
		call_reset_answer(c);
		met_add(wrk_env(c->w)->met, MET_RETRIES, 1);
		if (ups_start(c) == ERR_NONE)
			return;
	}
	c->err = kind;
	c->answer_done = true;
	fe_on_end(c);
}
