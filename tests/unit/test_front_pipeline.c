/*
 * Pipelined requests of one connection: order and assignment of the responses
 * when the first request meets a fault, its followers are of each kind and
 * arrive at different moments, and when the worker stops.
 */
#include "lib/rig.h"

#include "base/random.h"
#include "load/http1_reader.h"

#define MAX_ANSWERS 128
#define ANSWER_BODY_MAX 64
#define TEXT_MAX (64 * 1024)
#define FOLLOWERS 4
#define BIG_BODY (8 * 1024 * 1024)
#define ANSWERS_MAX (2 * BIG_BODY)

/**
 * struct answer - response of a pipeline
 * @status: status code, 0 when there is none
 * @body: start of the body
 * @n: length of the whole body
 * @closes: has "Connection: close"
 * @complete: received as a whole
 */
struct answer {
	unsigned status;
	char body[ANSWER_BODY_MAX];
	size_t n;
	bool closes;
	bool complete;
};

/**
 * struct answers - responses of one connection, in order
 * @n: number of them, the last one may be incomplete
 * @rest: bytes after the last expected response
 */
struct answers {
	struct answer a[MAX_ANSWERS];
	int n;
	size_t rest;
};

/** enum moment - when the followers are sent */
enum moment {
	AT_ONCE, /* in one piece with the first request */
	LATER,   /* when an upstream has had time to begin the first request */
	SPLIT,   /* in pieces of random length */
	N_MOMENTS,
};

static struct random rng;
static int next_id;
static uint16_t stop_port;

/* Reads the next event into @a; returns false when the input has ended. */
static bool
parse_event(struct http1_reader *h, struct bstr *in, struct answer *a)
{
	size_t left;

	switch (http1_read(h, in)) {
	case HTTP1_HEAD:
		a->status = h->status;
		a->closes = h->close;
		return (true);
	case HTTP1_BODY:
		left = sizeof(a->body) - 1 - a->n;
		if (a->n < sizeof(a->body) - 1)
			memcpy(a->body + a->n, h->data.p,
			    h->data.n < left ? h->data.n : left);
		a->n += h->data.n;
		return (true);
	case HTTP1_END:
		a->complete = true;
		return (true);
	case HTTP1_ERROR:
		fail_msg("no HTTP: %.200s", in->p);
		return (false);
	case HTTP1_MORE:
		break;
	}
	return (false);
}

static ssize_t
read_until(int fd, char *buf, size_t max)
{
	size_t n = 0;
	ssize_t k;

	while (n < max && (k = recv(fd, buf + n, max - n, 0)) > 0)
		n += (size_t)k;
	return ((ssize_t)n);
}

/* Reads until the connection ends. @methods has one letter for each request. */
static struct answers
read_answers(int fd, const char *methods)
{
	char *buf = malloc(ANSWERS_MAX);
	struct bstr in = {buf, (size_t)read_until(fd, buf, ANSWERS_MAX)};
	struct answers all = {0};
	struct http1_reader h;

	http1_init(&h, true);
	while (all.n < (int)strlen(methods) && in.n != 0) {
		struct answer *a = &all.a[all.n++];

		while (!a->complete && parse_event(&h, &in, a)) {
			if (a->status != 0 && methods[all.n - 1] == 'H')
				a->complete = true;
			if (a->status == 100)
				*a = (struct answer){0};
		}
		http1_reset(&h);
	}
	all.rest = in.n;
	http1_finish(&h);
	free(buf);
	close(fd);
	return (all);
}

static void
send_all(int fd, const char *text, size_t n, bool split)
{
	while (n != 0) {
		size_t max = split ? 1 + rng_below(&rng, 60) : n;
		ssize_t k = send(fd, text, n < max ? n : max, MSG_NOSIGNAL);

		if (k <= 0)
			return;
		text += k;
		n -= (size_t)k;
		if (split && rng_below(&rng, 4) == 0)
			usleep(500);
	}
}

/** enum end - what follows the first response of a pipeline */
enum end {
	GOES_ON, /* the responses of the followers */
	MAY_END, /* those, or the connection ends in the first response */
	ENDS,    /* the connection ends in the first response */
};

/**
 * struct fault - first request of a pipeline
 * @host: service
 * @request: method and path up to the id
 * @status: status of its response, if this is complete or always begins
 * @end: what follows
 * @buffering: callers and upstreams use the protocol in which a status means
 *	that a request was not run
 */
struct fault {
	const char *host;
	const char *request;
	unsigned status;
	enum end end;
	bool buffering;
};

static const struct fault faults[] = {
    {"a", "GET /i/ok", 200, GOES_ON, false},
    {"a", "GET /i/slow", 200, GOES_ON, false},
    {"a", "GET /i/chunked", 200, GOES_ON, false},
    {"a", "GET /i/trailer", 200, GOES_ON, false},
    {"a", "GET /i/interim", 200, GOES_ON, false},
    {"a", "GET /i/extra", 200, GOES_ON, false},
    {"a", "HEAD /i/headlen", 200, GOES_ON, false},
    {"a", "HEAD /i/headbody", 200, GOES_ON, false},
    {"a", "HEAD /i/interim", 200, GOES_ON, false},
    {"a", "HEAD /t/hang", 504, GOES_ON, false},
    {"a", "GET /i/s204", 204, GOES_ON, false},
    {"a", "GET /i/s204body", 204, GOES_ON, false},
    {"a", "GET /i/s304", 304, GOES_ON, false},
    {"a", "GET /i/s500", 500, GOES_ON, false},
    {"a", "GET /p/refuse", 503, GOES_ON, false},
    {"a", "GET /p/refusecut", 503, GOES_ON, false},
    {"a", "GET /p/refusetwice", 503, GOES_ON, true},
    {"a", "GET /p/close", 502, GOES_ON, false},
    {"a", "GET /p/cuthead", 502, GOES_ON, false},
    {"a", "GET /p/garbage", 502, GOES_ON, false},
    {"a", "GET /p/switch", 502, GOES_ON, false},
    {"a", "GET /t/hang", 504, GOES_ON, false},
    {"a", "GET /p/cutlen", 502, MAY_END, false},
    {"a", "GET /p/cutlen", 502, GOES_ON, true},
    {"a", "GET /p/cutchunk", 502, MAY_END, false},
    {"a", "GET /p/cutchunk", 502, GOES_ON, true},
    {"a", "GET /p/resetbody", 502, MAY_END, false},
    {"a", "GET /u/hangbody", 200, ENDS, false},
    {"a", "GET /u/hangbody", 504, GOES_ON, true},
    {"a", "GET /u/endlessbody", 200, ENDS, false},
    {"a", "GET /u/endlesshead", 502, GOES_ON, false},
    {"a", "GET /u/endlessinterim", 502, GOES_ON, false},
    {"a", "GET /u/endlesstrailer", 502, MAY_END, false},
    {"a", "GET /i/eofbody", 200, GOES_ON, true},
    {"a", "GET /i/bigchunk", 200, GOES_ON, false},
    {"a", "GET /i/big", 200, GOES_ON, true},
    {"a", "GET /l/slower", 200, GOES_ON, false},
    {"both", "GET /l/slower", 200, GOES_ON, false},
    {"both", "GET /l/slow", 200, GOES_ON, true},
    {"two", "GET /i/ok", 200, GOES_ON, false},
    {"dead", "GET /p/ok", 502, GOES_ON, false},
    {"none", "GET /p/ok", 503, GOES_ON, false},
    {"full", "GET /p/ok", 503, GOES_ON, false},
    {"nowhere", "GET /p/ok", 404, GOES_ON, false},
};

/** struct pipeline - requests of one connection */
struct pipeline {
	char text[TEXT_MAX];
	size_t n;
	size_t first_n;
	int id;
	char methods[FOLLOWERS + 2];
};

static void add_text(struct pipeline *p, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

static void
add_text(struct pipeline *p, const char *fmt, ...)
{
	va_list args;
	int n;

	va_start(args, fmt);
	n = vsnprintf(p->text + p->n, sizeof(p->text) - p->n, fmt, args);
	va_end(args);
	assert_true(n > 0 && (size_t)n < sizeof(p->text) - p->n);
	p->n += (size_t)n;
}

/* Adds one follower of each kind. */
static void
add_followers(struct pipeline *p)
{
	add_text(p,
	    "POST /p/echo/%d-1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
	    "\r\none",
	    p->id);
	add_text(p, "HEAD /i/headlen/%d-2 HTTP/1.1\r\nHost: a\r\n\r\n", p->id);
	add_text(p,
	    "POST /p/echo/%d-3 HTTP/1.1\r\nHost: a\r\n"
	    "Idempotency-Key: grant-%d\r\nTransfer-Encoding: chunked\r\n\r\n"
	    "2\r\nth\r\n3\r\nree\r\n0\r\n\r\n",
	    p->id, p->id);
	add_text(p,
	    "GET /i/echo/%d-4 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
	    "Content-Length: 4\r\n\r\nfour",
	    p->id);
}

static void
make_pipeline(struct pipeline *p, const struct fault *f)
{
	p->n = 0;
	p->id = ++next_id;
	add_text(p, "%s/%d-0 HTTP/1.1\r\nHost: %s\r\n\r\n", f->request, p->id,
	    f->host);
	p->first_n = p->n;
	add_followers(p);
	snprintf(p->methods, sizeof(p->methods), "%cPHPG", f->request[0]);
}

static int
send_pipeline(const struct pipeline *p, enum moment moment)
{
	int fd = rig_open(p->text, moment == SPLIT ? 0 : p->first_n);

	switch (moment) {
	case LATER:
		usleep(5000);
		/* FALLTHROUGH */
	case AT_ONCE:
		send_all(fd, p->text + p->first_n, p->n - p->first_n, false);
		break;
	default:
		send_all(fd, p->text, p->n, true);
	}
	return (fd);
}

/* Number of requests that the stand-in received for follower @i. */
static int
follower_count(const struct pipeline *p, int i)
{
	static const char *const paths[] = {
	    "/p/echo", "/i/headlen", "/p/echo", "/i/echo"};
	char path[64];

	snprintf(path, sizeof(path), "%s/%d-%d", paths[i - 1], p->id, i);
	return (rig_request_count(path));
}

static void
check_followers(const struct pipeline *p, const struct answers *all)
{
	static const char *const bodies[] = {"one", "", "three", "four"};

	assert_int_equal(all->n, FOLLOWERS + 1);
	assert_int_equal(all->rest, 0);
	for (int i = 1; i <= FOLLOWERS; i++) {
		assert_int_equal(all->a[i].status, 200);
		assert_true(all->a[i].complete);
		assert_string_equal(all->a[i].body, bodies[i - 1]);
		assert_int_equal(follower_count(p, i), 1);
	}
}

static void
run_fault(const struct fault *f, enum moment moment)
{
	const struct answer *first;
	struct pipeline p;
	struct answers all;

	make_pipeline(&p, f);
	all = read_answers(send_pipeline(&p, moment), p.methods);
	first = &all.a[0];
	if (all.n > 1 ? f->end == ENDS || first->status != f->status
		      : f->end == GOES_ON || first->complete)
		fail_msg("%s %s%s, moment %d: %d responses, first %u, "
			 "complete %d",
		    f->host, f->request, f->buffering ? " (buffering)" : "",
		    moment, all.n, first->status, first->complete);
	if (all.n > 1) {
		check_followers(&p, &all);
		return;
	}
	for (int i = 1; i <= FOLLOWERS; i++)
		assert_int_equal(follower_count(&p, i), 0);
}

/* Allows a retry to a fault that needs one. */
static void
prepare_retry(const struct fault *f)
{
	if (strcmp(f->host, "both") == 0 || strcmp(f->host, "two") == 0)
		rig_fill_retry_budget(f->host);
	atomic_store(&rig.dead_first, true);
}

/*
 * Guards against responses that change places or reach another request, and
 * against requests that run behind a connection that has ended.
 */
static void
test_faults(void **state)
{
	static struct upstream_protocol buffering;
	const struct upstream_protocol *before = rig.shared.protocol;

	(void)state;
	buffering = *before;
	buffering.status_means_not_run = true;
	buffering.close_ends_body = true;
	atomic_store(&rig.full, true);
	for (size_t i = 0; i < sizeof(faults) / sizeof(*faults); i++) {
		rig.shared.protocol = faults[i].buffering ? &buffering : before;
		for (int m = 0; m < N_MOMENTS; m++) {
			prepare_retry(&faults[i]);
			run_fault(&faults[i], (enum moment)m);
			atomic_store(&rig.dead_first, false);
		}
	}
	rig.shared.protocol = before;
	atomic_store(&rig.full, false);
}

#define N_LEAVES 20

/* Guards against requests that run after their caller has left. */
static void
test_caller_leaves(void **state)
{
	const struct fault first = {"a", "GET /i/hang", 0, ENDS, false};
	struct pipeline p;
	char path[64];

	(void)state;
	for (int i = 0; i < N_LEAVES; i++) {
		int fd;

		make_pipeline(&p, &first);
		fd = send_pipeline(&p, i % 2 == 0 ? AT_ONCE : SPLIT);
		snprintf(path, sizeof(path), "/i/hang/%d-0", p.id);
		rig_wait_received(path);
		close(fd);
		rig_wait_closed(path);
		for (int k = 1; k <= FOLLOWERS; k++)
			assert_int_equal(follower_count(&p, k), 0);
	}
}

#define DEPTH 100

/*
 * Guards against a caller that gets more than one slot at a time with many
 * requests in its pipeline, and against lost responses beyond the input buffer.
 */
static void
test_deep(void **state)
{
	static struct pipeline p;
	static struct answers all;
	char methods[DEPTH + 1];
	char body[16];
	int fd, other;

	(void)state;
	p.n = 0;
	p.id = ++next_id;
	for (int i = 0; i < DEPTH; i++)
		add_text(&p,
		    "%s /%s/echo/%d HTTP/1.1\r\nHost: a\r\nX-Fill: %0200d\r\n"
		    "Content-Length: 4\r\n%s\r\n%04d",
		    i % 3 == 0 ? "POST" : "GET", i % 3 == 0 ? "p" : "i", p.id,
		    0, i == DEPTH - 1 ? "Connection: close\r\n" : "", i);
	memset(methods, 'G', DEPTH);
	methods[DEPTH] = '\0';
	fd = rig_open(p.text, p.n);
	other = rig_request("GET", "a", "/i/hang/deep", "", NULL);
	rig_wait_received("/i/hang/deep");
	close(other);
	all = read_answers(fd, methods);
	assert_int_equal(all.n, DEPTH);
	assert_int_equal(all.rest, 0);
	for (int i = 0; i < DEPTH; i++) {
		snprintf(body, sizeof(body), "%04d", i);
		assert_int_equal(all.a[i].status, 200);
		assert_string_equal(all.a[i].body, body);
	}
}

/** struct stopping - worker of its own, which a test stops */
struct stopping {
	struct worker *w;
	pthread_t thread;
	uint16_t port_before;
};

static void
start_stopping(struct stopping *s)
{
	struct worker_desc d = {.shared = &rig.shared,
	    .addr = "127.0.0.1",
	    .port = stop_port,
	    .seed = 1,
	    .pick = rig_pick};

	s->w = worker_new(&d, NULL);
	assert_non_null(s->w);
	pthread_create(&s->thread, NULL, rig_run_worker, s->w);
	s->port_before = rig.port;
	rig.port = stop_port;
}

static void
finish_stopping(struct stopping *s)
{
	pthread_join(s->thread, NULL);
	worker_free(s->w);
	rig.port = s->port_before;
}

#define N_STOPS 24
#define N_STOP_REQUESTS 12
#define STOP_STEP_US 15000

/*
 * Guards against a planned stop that cuts off a response or runs a request
 * whose caller does not get the response, at each moment of a pipeline.
 */
static void
test_stop_moments(void **state)
{
	(void)state;
	for (int i = 0; i < N_STOPS; i++) {
		static struct pipeline p;
		struct stopping s;
		struct answers all;
		char methods[N_STOP_REQUESTS + 1];
		int fd;

		p.n = 0;
		p.id = ++next_id;
		for (int k = 0; k < N_STOP_REQUESTS; k++)
			add_text(&p,
			    "%s /%s/%s/%d-%d HTTP/1.1\r\nHost: a\r\n"
			    "Content-Length: 2\r\n\r\nok",
			    k % 2 == 0 ? "GET" : "POST", k % 2 == 0 ? "i" : "p",
			    k % 4 < 2 ? "slow" : "echo", p.id, k);
		memset(methods, 'G', N_STOP_REQUESTS);
		methods[N_STOP_REQUESTS] = '\0';
		start_stopping(&s);
		fd = rig_open(p.text, i % 2 == 0 ? p.n : 0);
		if (i % 2 != 0)
			send_all(fd, p.text, p.n, true);
		usleep((useconds_t)i * STOP_STEP_US);
		worker_stop(s.w);
		all = read_answers(fd, methods);
		finish_stopping(&s);
		for (int k = 0; k < N_STOP_REQUESTS; k++) {
			char path[64];

			snprintf(path, sizeof(path), "/%s/%s/%d-%d",
			    k % 2 == 0 ? "i" : "p", k % 4 < 2 ? "slow" : "echo",
			    p.id, k);
			assert_int_equal(rig_request_count(path), k < all.n);
			if (k >= all.n)
				continue;
			assert_true(all.a[k].complete);
			assert_int_equal(all.a[k].status, 200);
			assert_string_equal(all.a[k].body, "ok");
			assert_int_equal(all.a[k].closes,
			    k == all.n - 1 && all.n < N_STOP_REQUESTS);
		}
	}
}

#define N_UNREAD_STOPS 5

/*
 * Guards against a response whose end is lost because the connection is closed
 * with unread requests: the kernel then resets it and drops what its caller has
 * not received yet.
 */
static void
test_stop_unread(void **state)
{
	char *buf = malloc(BIG_BODY + 4096);

	(void)state;
	for (int i = 0; i < N_UNREAD_STOPS; i++) {
		static const char first[] =
		    "GET /i/big/unread HTTP/1.1\r\nHost: a\r\n\r\n";
		static const char second[] =
		    "GET /i/ok/behind HTTP/1.1\r\nHost: a\r\n\r\n";
		struct stopping s;
		ssize_t n;
		int fd;

		start_stopping(&s);
		worker_stop(s.w);
		fd = rig_open(first, sizeof(first) - 1);
		n = read_until(fd, buf, 4096);
		assert_true(n == 4096);
		send(fd, second, sizeof(second) - 1, MSG_NOSIGNAL);
		usleep(50000);
		/* The last part is taken late, after the worker's last send. */
		n += read_until(fd, buf + n, BIG_BODY - 3 * 1024 * 1024);
		usleep(200000);
		n += read_until(fd, buf + n, BIG_BODY + 4096 - (size_t)n);
		assert_true(n > BIG_BODY);
		close(fd);
		finish_stopping(&s);
	}
	assert_int_equal(rig_request_count("/i/ok/behind"), 0);
	free(buf);
}

static int
setup(void **state)
{
	rig_setup(state);
	rig_bind(-1, &stop_port, SO_REUSEPORT);
	return (0);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_faults),
	    cmocka_unit_test(test_caller_leaves),
	    cmocka_unit_test(test_deep),
	    cmocka_unit_test(test_stop_moments),
	    cmocka_unit_test(test_stop_unread),
	};
	const char *text = getenv("SEED");
	uint64_t seed = text == NULL ? 1 : strtoull(text, NULL, 10);

	print_message("SEED=%llu\n", (unsigned long long)seed);
	rng_init(&rng, seed);
	return (cmocka_run_group_tests(tests, setup, rig_teardown));
}
