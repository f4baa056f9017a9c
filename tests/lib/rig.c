#include "lib/rig.h"

#include <libgen.h>

#define HEAD_TIMEOUT_MS 400
#define LONG_GRANT_US 5000000
#define MAX_REPLY (16 * 1024 * 1024)
#define MAX_EXCHANGE (64 * 1024)
#define N_SERVICES 7
#define N_ROUTES 6

struct rig rig = {.lock = PTHREAD_MUTEX_INITIALIZER};

int
rig_bind(int backlog, uint16_t *port, int option)
{
	struct sockaddr_in sin = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	const int one = 1;

	if (option != 0)
		setsockopt(fd, SOL_SOCKET, option, &one, sizeof(one));
	assert_int_equal(bind(fd, (struct sockaddr *)&sin, len), 0);
	if (backlog >= 0)
		assert_int_equal(listen(fd, backlog), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	*port = ntohs(sin.sin_port);
	rig.fds[rig.n_fds++] = fd;
	return (fd);
}

/* Connects to a loopback address in host byte order. */
static int
rig_connect_at(uint32_t addr, uint16_t port, int flags)
{
	struct sockaddr_in sin = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr = {htonl(addr)}};
	const struct timeval limit = {.tv_sec = CLIENT_TIMEOUT_S};
	int fd = socket(AF_INET, SOCK_STREAM | flags, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) != 0)
		assert_int_not_equal(flags, 0);
	return (fd);
}

int
rig_connect_to(uint16_t port, int flags)
{
	return (rig_connect_at(INADDR_LOOPBACK, port, flags));
}

/* Returns a port with a full accept queue: connecting never completes. */
static uint16_t
rig_hanging_port(void)
{
	uint16_t port;

	rig_bind(0, &port, 0);
	for (int i = 0; i < 4; i++)
		rig.fds[rig.n_fds++] = rig_connect_to(port, SOCK_NONBLOCK);
	return (port);
}

void
rig_start_upstream(void)
{
	char exe[512], path[600], line[64] = "";
	ssize_t n = readlink("/proc/self/exe", exe, sizeof(exe) - 1);
	FILE *out;
	int p[2];

	assert_true(n > 0);
	exe[n] = '\0';
	snprintf(path, sizeof(path), "%s/../standin/rawup", dirname(exe));
	assert_int_equal(pipe(p), 0);
	rig.upstream = fork();
	if (rig.upstream == 0) {
		dup2(p[1], 1);
		execl(path, "rawup", (char *)NULL);
		_exit(127);
	}
	close(p[1]);
	out = fdopen(p[0], "r");
	assert_non_null(fgets(line, sizeof(line), out));
	fclose(out);
	rig.upstream_port = (uint16_t)atoi(line + strlen("port "));
	assert_int_not_equal(rig.upstream_port, 0);
}

static struct rt_table *
rig_build_table(struct workspace_table *workspaces)
{
	static const char *const names[N_SERVICES] = {
	    "a", "dead", "hole", "two", "full", "none", "both"};
	struct rt_route routes[] = {
	    {.prefix = BSTR("/"),
		.timeout_ms = LONG_TIMEOUT_MS,
		.priority = RIG_PRIORITY},
	    {.prefix = BSTR("/i"),
		.idempotent = true,
		.timeout_ms = LONG_TIMEOUT_MS},
	    {.prefix = BSTR("/t"),
		.idempotent = true,
		.timeout_ms = SHORT_TIMEOUT_MS},
	    {.prefix = BSTR("/u"), .timeout_ms = SHORT_TIMEOUT_MS},
	    {.prefix = BSTR("/l"),
		.idempotent = true,
		.timeout_ms = LONG_TIMEOUT_MS,
		.goal_ms = LATENCY_GOAL_MS},
	    {.prefix = BSTR("/open"),
		.idempotent = true,
		.timeout_ms = LONG_TIMEOUT_MS,
		.is_public = true},
	};
	const uint16_t ports[N_SERVICES][2] = {{rig.upstream_port},
	    {rig.refusing_port}, {rig.hanging_port},
	    {rig.refusing_port, rig.upstream_port}, {rig.upstream_port}, {0},
	    {rig.upstream_port, rig.upstream_port}};
	struct rt_version version = {.name = BSTR("v1"), .share = 1000};
	struct rt_service s[N_SERVICES] = {0};
	struct rt_upstream ups[N_SERVICES][2] = {0};
	struct bstr hosts[N_SERVICES];
	struct rt_tally *tallies[N_ROUTES];
	static char addrs[N_SERVICES][2][32];
	struct rt_table *t;

	for (int i = 0; i < N_ROUTES; i++)
		tallies[i] = rt_tally_new();
	if (rig.tally == NULL)
		rig.tally = rt_tally_ref(tallies[1]);
	for (int i = 0; i < N_SERVICES; i++) {
		hosts[i] = bstr_from(names[i]);
		s[i] = (struct rt_service){.name = hosts[i],
		    .hosts = &hosts[i],
		    .n_hosts = 1,
		    .routes = routes,
		    .n_routes = N_ROUTES,
		    .versions = &version,
		    .n_versions = 1,
		    .upstreams = ups[i],
		    .slots = 6};
		for (int k = 0; k < 2 && ports[i][k] != 0; k++) {
			struct rt_upstream *u = &ups[i][s[i].n_upstreams++];

			snprintf(addrs[i][k], sizeof(addrs[0][0]),
			    "127.0.0.1:%u", ports[i][k]);
			u->id = u->addr = bstr_from(addrs[i][k]);
			u->stat = rt_stat_new();
		}
	}
	s[0].tallies = tallies;
	s[0].slow_us = 10000;
	t = rt_table_new(&(struct rt_desc){
	    .services = s, .n_services = N_SERVICES, .workspaces = workspaces});
	for (int i = 0; i < N_SERVICES; i++) {
		for (uint32_t k = 0; k < s[i].n_upstreams; k++)
			rt_stat_unref(ups[i][k].stat);
	}
	for (int i = 0; i < N_ROUTES; i++)
		rt_tally_unref(tallies[i]);
	return (t);
}

void
rig_set_workspaces(const struct wstab_entry *entries, uint32_t n)
{
	struct workspace_table *w = wstab_new(entries, n);

	shared_publish(&rig.shared, rig_build_table(w));
	wstab_unref(w);
}

void
rig_clear_workspaces(void)
{
	shared_publish(&rig.shared, rig_build_table(NULL));
}

int
rig_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng)
{
	if (bstr_eq(s->name, BSTR("full")) && atomic_load(&rig.full))
		return (RT_FULL);
	if (bstr_eq(s->name, BSTR("both")) && atomic_load(&rig.second_full) &&
	    req->n_excluded != 0)
		return (RT_FULL);
	if (bstr_eq(s->name, BSTR("two")) && req->n_excluded == 0)
		return (atomic_load(&rig.dead_first) ? 0 : 1);
	return (rt_pick(s, req, now_us, rng));
}

static bool
rig_key_has_prefix(const struct worker_msg_key *key, const char *prefix)
{
	return (
	    bstr_has_prefix((struct bstr){key->s, key->n}, bstr_from(prefix)));
}

static void
rig_answer_claim(const struct worker_msg_claim *c)
{
	static const char *const prefixes[] = {[WORKER_MSG_GRANTED] = "grant",
	    [WORKER_MSG_IN_PROGRESS] = "progress",
	    [WORKER_MSG_DONE] = "done",
	    [WORKER_MSG_UNKNOWN] = "unknown",
	    [WORKER_MSG_MISMATCH] = "mismatch",
	    [WORKER_MSG_UNAVAILABLE] = "unavailable"};
	const struct bstr stored = BSTR("stored");
	struct worker_msg_claim_reply *r = calloc(1, sizeof(*r));

	r->m.type = WORKER_MSG_CLAIM_REPLY;
	r->ref = c->ref;
	r->verdict = WORKER_MSG_GRANTED;
	for (int v = 0; v <= WORKER_MSG_UNAVAILABLE; v++) {
		if (rig_key_has_prefix(&c->key, prefixes[v]))
			r->verdict = (enum worker_msg_verdict)v;
	}
	r->attempt = 7;
	r->valid_until_us = clk_mono_us() +
	    (atomic_load(&rig.grant_us) != 0 ? atomic_load(&rig.grant_us)
					     : LONG_GRANT_US);
	if (rig_key_has_prefix(&c->key, "expired"))
		r->valid_until_us = clk_mono_us() - 1;
	if (r->verdict == WORKER_MSG_DONE) {
		r->response.status = 201;
		snprintf(r->response.content_type,
		    sizeof(r->response.content_type), "text/y");
		r->response.body_omitted =
		    rig_key_has_prefix(&c->key, "doneomit");
		r->response.body_len =
		    r->response.body_omitted ? 0 : (uint16_t)stored.n;
		memcpy(r->response.body, stored.p, stored.n);
	}
	msgq_push(c->reply_to, &r->m);
}

static void
rig_on_message(struct msgq_msg *m, struct worker_msg_claim **held)
{
	struct worker_msg_claim *c;

	switch (m->type) {
	case WORKER_MSG_CLAIM:
		c = caa_container_of(m, struct worker_msg_claim, m);
		atomic_store(&rig.fingerprint, c->fingerprint);
		if (rig_key_has_prefix(&c->key, "hold") &&
		    atomic_load(&rig.hold)) {
			*held = c;
			return;
		}
		rig_answer_claim(c);
		break;
	case WORKER_MSG_FINISH:
		pthread_mutex_lock(&rig.lock);
		assert_true(rig.n_finishes < MAX_FINISHES);
		rig.finishes[rig.n_finishes++] =
		    *caa_container_of(m, struct worker_msg_finish, m);
		pthread_mutex_unlock(&rig.lock);
		break;
	case WORKER_MSG_UPSTREAM_STATE:
		atomic_fetch_add(&rig.n_state_messages, 1);
		break;
	}
	free(m);
}

static void *
rig_run_control(void *arg)
{
	struct pollfd p = {.fd = msgq_fd(&rig.control), .events = POLLIN};
	struct worker_msg_claim *held = NULL;
	struct msgq_msg *m;

	(void)arg;
	while (!atomic_load(&rig.stop)) {
		poll(&p, 1, 5);
		msgq_clear_event(&rig.control);
		while ((m = msgq_pop(&rig.control)) != NULL)
			rig_on_message(m, &held);
		if (held != NULL && !atomic_load(&rig.hold)) {
			rig_answer_claim(held);
			free(held);
			held = NULL;
		}
	}
	return (NULL);
}

void *
rig_run_worker(void *arg)
{
	worker_run(arg);
	return (NULL);
}

int
rig_setup(void **state)
{
	struct worker_desc d = {.shared = &rig.shared,
	    .addr = "127.0.0.1",
	    .seed = 1,
	    .head_timeout_ms = HEAD_TIMEOUT_MS,
	    .pick = rig_pick};

	(void)state;
	signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	rig_start_upstream();
	rig_bind(-1, &rig.refusing_port, 0);
	rig.hanging_port = rig_hanging_port();
	rig.shared.table = rig_build_table(NULL);
	msgq_init(&rig.control);
	rig.shared.control = &rig.control;
	rig.shared.metrics = &rig.metrics;
	rig.shared.has_claims = true;
	rig.shared.max_keyed_body = 100000;
	rig.shared.protocol = proto_own();
	atomic_store(&rig.shared.fresh_until_us, INT64_MAX);
	rig_bind(-1, &rig.port, SO_REUSEPORT);
	d.port = rig.port;
	rig.w = worker_new(&d, NULL);
	assert_non_null(rig.w);
	pthread_create(&rig.control_thread, NULL, rig_run_control, NULL);
	pthread_create(&rig.worker, NULL, rig_run_worker, rig.w);
	return (0);
}

int
rig_teardown(void **state)
{
	struct msgq_msg *m;

	(void)state;
	worker_stop(rig.w);
	pthread_join(rig.worker, NULL);
	atomic_store(&rig.stop, true);
	pthread_join(rig.control_thread, NULL);
	worker_free(rig.w);
	while ((m = msgq_pop(&rig.control)) != NULL)
		free(m);
	msgq_finish(&rig.control);
	rt_table_free(rig.shared.table);
	rt_tally_unref(rig.tally);
	for (int i = 0; i < rig.n_fds; i++)
		close(rig.fds[i]);
	kill(rig.upstream, SIGKILL);
	waitpid(rig.upstream, NULL, 0);
	curl_global_cleanup();
	return (0);
}

int
rig_open(const char *text, size_t n)
{
	uint32_t addr = rig.addr == 0 ? INADDR_LOOPBACK : rig.addr;
	int fd = rig_connect_at(addr, rig.port, 0);

	while (n != 0) {
		ssize_t k = send(fd, text, n, MSG_NOSIGNAL);

		if (k <= 0)
			break;
		text += k;
		n -= (size_t)k;
	}
	return (fd);
}

const char *
rig_field(const struct reply *r, const char *name)
{
	static _Thread_local char value[256];
	const char *end = r->body;
	const char *p = r->p;
	size_t n = strlen(name);

	while (p != NULL && p < end) {
		if (strncasecmp(p, name, n) == 0 && p[n] == ':') {
			sscanf(p + n + 1, " %255[^\r]", value);
			return (value);
		}
		p = strstr(p, "\r\n");
		if (p != NULL)
			p += 2;
	}
	return ("");
}

/* Decodes a chunked body in place; returns false when it is truncated. */
static bool
rig_dechunk(struct reply *r)
{
	char *in = (char *)(uintptr_t)r->body;
	char *out = in;
	char *end = r->p + r->n;

	for (;;) {
		char *eol = strstr(in, "\r\n");
		size_t n = strtoul(in, NULL, 16);

		if (eol == NULL || n > (size_t)(end - eol))
			return (false);
		in = eol + 2;
		memmove(out, in, n);
		out += n;
		in += n + 2;
		if (in > end)
			return (false);
		if (n == 0)
			break;
	}
	r->body_n = (size_t)(out - r->body);
	r->rest = (size_t)(end - in);
	return (true);
}

static void
rig_parse(struct reply *r, bool head_request)
{
	char *end = strstr(r->p, "\r\n\r\n");
	size_t len;

	if (end == NULL || sscanf(r->p, "HTTP/1.%*c %u", &r->status) != 1)
		return;
	r->body = end + 4;
	r->body_n = r->n - (size_t)(r->body - r->p);
	if (head_request || r->status == 204 || r->status == 304) {
		r->rest = r->body_n;
		r->body_n = 0;
		r->complete = true;
		return;
	}
	if (strcasecmp(rig_field(r, "Transfer-Encoding"), "chunked") == 0) {
		r->complete = rig_dechunk(r);
		return;
	}
	if (*rig_field(r, "Content-Length") == '\0')
		return;
	len = strtoul(rig_field(r, "Content-Length"), NULL, 10);
	r->complete = r->body_n >= len;
	if (r->complete) {
		r->rest = r->body_n - len;
		r->body_n = len;
	}
}

struct reply
rig_read(int fd, bool head_request)
{
	struct reply r = {.p = malloc(MAX_REPLY + 1)};
	ssize_t k;

	while (r.n < MAX_REPLY &&
	    (k = recv(fd, r.p + r.n, MAX_REPLY - r.n, 0)) > 0)
		r.n += (size_t)k;
	r.p[r.n] = '\0';
	close(fd);
	rig_parse(&r, head_request);
	return (r);
}

void
rig_reply_free(struct reply *r)
{
	free(r->p);
	*r = (struct reply){0};
}

struct reply
rig_exchange(int fd, const char *text)
{
	struct reply r = {.p = calloc(1, MAX_EXCHANGE + 1)};
	ssize_t k;

	send(fd, text, strlen(text), MSG_NOSIGNAL);
	while (!r.complete && r.n < MAX_EXCHANGE &&
	    (k = recv(fd, r.p + r.n, MAX_EXCHANGE - r.n, 0)) > 0) {
		r.n += (size_t)k;
		r.p[r.n] = '\0';
		rig_parse(&r, false);
	}
	return (r);
}

struct reply
rig_send_raw(const char *text)
{
	return (rig_read(rig_open(text, strlen(text)), false));
}

int
rig_request(const char *method, const char *host, const char *path,
    const char *fields, const char *body)
{
	char text[8192];
	char length[64] = "";
	int n;

	if (body != NULL)
		snprintf(length, sizeof(length), "Content-Length: %zu\r\n",
		    strlen(body));
	n = snprintf(text, sizeof(text),
	    "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n%s%s\r\n%s",
	    method, path, host, length, fields, body == NULL ? "" : body);
	assert_true(n < (int)sizeof(text));
	return (rig_open(text, (size_t)n));
}

struct reply
rig_call(const char *method, const char *host, const char *path,
    const char *fields, const char *body)
{
	int fd = rig_request(method, host, path, fields, body);

	return (rig_read(fd, strcmp(method, "HEAD") == 0));
}

int
rig_read_counter(const char *counter, const char *path)
{
	char text[512];
	struct reply r;
	int fd = rig_connect_to(rig.upstream_port, 0);
	int n;

	snprintf(text, sizeof(text), "GET /ctl/%s%s HTTP/1.1\r\n\r\n", counter,
	    path);
	r = rig_exchange(fd, text);
	assert_true(r.complete);
	n = r.complete ? atoi(r.body) : 0;
	close(fd);
	rig_reply_free(&r);
	return (n);
}

int
rig_request_count(const char *path)
{
	return (rig_read_counter("count", path));
}

void
rig_wait_counter(const char *counter, const char *path)
{
	for (int i = 0; i < 1000 && rig_read_counter(counter, path) == 0; i++)
		usleep(10000);
	assert_int_equal(rig_read_counter(counter, path), 1);
}

void
rig_wait_closed(const char *path)
{
	rig_wait_counter("gone", path);
}

void
rig_wait_received(const char *path)
{
	rig_wait_counter("count", path);
}

int
rig_finishes(const char *key, struct worker_msg_finish *out)
{
	int n = 0;

	pthread_mutex_lock(&rig.lock);
	for (int i = 0; i < rig.n_finishes; i++) {
		const struct worker_msg_key *k = &rig.finishes[i].key;

		if (bstr_eq((struct bstr){k->s, k->n}, bstr_from(key))) {
			n++;
			*out = rig.finishes[i];
		}
	}
	pthread_mutex_unlock(&rig.lock);
	return (n);
}

struct worker_msg_finish
rig_wait_finish(const char *key)
{
	struct worker_msg_finish f = {0};

	for (int i = 0; i < 1000 && rig_finishes(key, &f) == 0; i++)
		usleep(10000);
	assert_int_equal(rig_finishes(key, &f), 1);
	return (f);
}

void
rig_fill_retry_budget(const char *host)
{
	/* At the default ratio, ten successful calls add one retry. */
	for (int i = 0; i < 11; i++) {
		struct reply r = rig_call("GET", host, "/i/ok/e", "", NULL);

		assert_int_equal(r.status, 200);
		rig_reply_free(&r);
	}
}

bool
rig_body_contains(const struct reply *r, const char *text)
{
	return (r->body != NULL && strstr(r->body, text) != NULL);
}

void
rig_expect_error(
    struct reply r, unsigned status, const char *kind, const char *outcome)
{
	if (r.status != status || !r.complete ||
	    strcmp(rig_field(&r, "X-Error-Kind"), kind) != 0 ||
	    strcmp(rig_field(&r, "X-Outcome"), outcome) != 0)
		fail_msg("expected %u %s %s, got: %.400s", status, kind,
		    outcome, r.p);
	rig_reply_free(&r);
}

void
rig_expect_body(struct reply r, const char *body)
{
	if (r.status != 200 || !r.complete || r.rest != 0 ||
	    r.body_n != strlen(body) || memcmp(r.body, body, r.body_n) != 0)
		fail_msg("expected 200 with %s, got: %.400s", body, r.p);
	rig_reply_free(&r);
}
