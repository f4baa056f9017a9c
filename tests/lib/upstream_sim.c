#include "lib/upstream_sim.h"

#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>

#define XXH_STATIC_LINKING_ONLY
#include <xxhash.h>

#include "load/body_pattern.h"
#include "load/http1_reader.h"

#define READ_BLOCK (64 * 1024)
#define MAX_PIPELINED (1024 * 1024)
#define HISTORY_STEP_US 10000

/** enum conn_state - state of a connection */
enum conn_state { C_READING, C_QUEUED, C_RUNNING, C_ANSWERING };

/**
 * struct conn - one connection and its current request
 * @timer: end of the service time, then pauses between parts of the body
 * @want_out: the loop watches for room in the socket
 * @holds_slot: the request is included in in_service
 * @counted: the request is included in in_flight
 * @fail: the request is answered with 500
 * @drop: the connection is closed without an answer
 * @corrupt: the last byte of the response body is wrong
 * @out_pos: bytes of @out that were written
 * @hash: hash of the request body
 * @body_n: length of the request body
 * @seed: seed of the pattern in the response body
 * @pos: bytes of the response body that were generated
 * @bytes: length of the response body, 0 for a JSON object
 * @chunk: length of each part of the response body, 0 for READ_BLOCK
 * @pace_us: pause between parts, 0 for none
 */
struct conn {
	struct evloop_io io;
	struct evloop_timer timer;
	TAILQ_ENTRY(conn) next;
	struct upstream_sim *sim;
	enum conn_state state;
	bool want_out, holds_slot, counted, fail, drop, corrupt;
	struct http1_reader h1;
	struct bbuf in, out;
	size_t out_pos;
	XXH64_state_t hash;
	int64_t body_n;
	uint64_t seed, pos, bytes, chunk, pace_us;
};

static void answer(struct conn *c, unsigned status, const char *extra);
static void read_requests(struct conn *c);

static int64_t
wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return ((int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000);
}

static bool
target_has_prefix(const struct conn *c, const char *prefix)
{
	return (bstr_has_prefix(c->h1.target, bstr_from(prefix)));
}

static void
count_run(struct conn *c)
{
	struct bstr key = http1_header(&c->h1, "Idempotency-Key");
	char *text;
	gintptr runs;

	if (key.n == 0)
		return;
	text = bstr_dup(key);
	pthread_mutex_lock(&c->sim->keys->lock);
	runs = (gintptr)g_hash_table_lookup(c->sim->keys->runs, text);
	g_hash_table_replace(c->sim->keys->runs, text, (gpointer)(runs + 1));
	pthread_mutex_unlock(&c->sim->keys->lock);
	if (runs > 0)
		c->sim->counters.duplicates++;
}

/* Whether the injected fault applies to this request. */
static bool
fault_applies(const struct conn *c)
{
	const struct upstream_behaviour *b = &c->sim->behaviour;

	return (b->fault != BEHAVIOUR_NO_FAULT &&
	    c->sim->counters.received - c->sim->fault_from > b->fault_after &&
	    c->sim->in_flight > b->fault_above &&
	    target_has_prefix(c, b->fault_prefix));
}

static int64_t
draw_service_us(struct conn *c)
{
	const struct upstream_behaviour *b = &c->sim->behaviour;
	struct random *r = &c->sim->rng;
	double us = (double)b->service_us * b->slow_factor;

	if (b->dist == BEHAVIOUR_EXP)
		us *= -log(1.0 - rng_unit(r));
	if (b->dist == BEHAVIOUR_LOGNORMAL) {
		double n = sqrt(-2.0 * log(1.0 - rng_unit(r))) *
		    cos(2.0 * M_PI * rng_unit(r));

		us *= exp(b->sigma * n - b->sigma * b->sigma / 2);
	}
	for (unsigned i = 0; i < b->n_prefixes; i++) {
		if (target_has_prefix(c, b->prefixes[i].prefix))
			us *= b->prefixes[i].factor;
	}
	if (fault_applies(c) && b->fault == BEHAVIOUR_FAULT_SLOW)
		us *= b->fault_factor;
	return ((int64_t)us);
}

static bool
deadline_passed(const struct conn *c)
{
	uint64_t ms;

	return (bstr_to_u64(http1_header(&c->h1, "X-Deadline-Ms"), &ms) &&
	    wall_ms() > (int64_t)ms);
}

static void
start_service(struct conn *c, int64_t now)
{
	struct upstream_sim *u = c->sim;
	int64_t us = draw_service_us(c);

	c->state = C_RUNNING;
	c->holds_slot = true;
	u->in_service++;
	if (u->in_service > u->counters.peak_in_service)
		u->counters.peak_in_service = u->in_service;
	count_run(c);
	c->fail =
	    fault_applies(c) && u->behaviour.fault == BEHAVIOUR_FAULT_FAIL;
	if (u->in_flight > behaviour_cold_limit(&u->behaviour, now)) {
		if (strcmp(behaviour_state(&u->behaviour, now), "cold") == 0) {
			u->counters.cold_overload++;
			c->fail |= u->behaviour.cold_fails;
			us = (int64_t)((double)us * u->behaviour.cold_factor);
		}
	}
	if (u->behaviour.corrupt_answers > 0) {
		u->behaviour.corrupt_answers--;
		c->corrupt = true;
	}
	if (u->behaviour.drop_answers > 0) {
		u->behaviour.drop_answers--;
		c->drop = true;
	}
	evloop_timer_set(u->loop, &c->timer, now + (c->fail ? 0 : us));
}

static void
dispatch(struct upstream_sim *u)
{
	struct conn *c;

	while (u->in_service < u->behaviour.slots &&
	    (c = TAILQ_FIRST(&u->queue)) != NULL) {
		TAILQ_REMOVE(&u->queue, c, next);
		u->queued--;
		if (deadline_passed(c)) {
			u->counters.deadline_rejected++;
			answer(c, 504, "X-Not-Run: 1\r\n");
		} else {
			start_service(c, evloop_now_us());
		}
	}
}

static void
release_slot(struct conn *c)
{
	struct upstream_sim *u = c->sim;

	if (c->counted)
		u->in_flight--;
	c->counted = false;
	if (!c->holds_slot)
		return;
	c->holds_slot = false;
	u->in_service--;
	dispatch(u);
}

static void
conn_close(struct conn *c)
{
	struct upstream_sim *u = c->sim;

	if (c->state == C_QUEUED) {
		TAILQ_REMOVE(&u->queue, c, next);
		u->queued--;
		u->counters.cancelled_queued++;
	} else if (c->state != C_READING && !c->drop) {
		u->counters.cancelled_running++;
	}
	c->state = C_READING;
	evloop_timer_clear(u->loop, &c->timer);
	evloop_close(u->loop, &c->io);
	release_slot(c);
	u->counters.connections--;
	http1_finish(&c->h1);
	bbuf_finish(&c->in);
	bbuf_finish(&c->out);
	evloop_free_later(u->loop, c);
}

static void
request_done(struct conn *c)
{
	bool last = c->h1.close;

	if (c->counted && !c->fail)
		c->sim->counters.served++;
	c->state = C_READING;
	release_slot(c);
	if (last) {
		conn_close(c);
		return;
	}
	http1_reset(&c->h1);
	bbuf_clear(&c->out);
	c->out_pos = 0;
	c->body_n = 0;
}

/* Adds the next part of the body to the output; false during a pause. */
static bool
generate_body(struct conn *c)
{
	size_t n = READ_BLOCK;
	char block[READ_BLOCK];

	if (c->timer.pos != 0)
		return (false);
	if (c->chunk != 0 && c->chunk < n)
		n = c->chunk;
	if (n > c->bytes - c->pos)
		n = (size_t)(c->bytes - c->pos);
	pattern_fill(c->seed, c->pos, block, n);
	if (c->corrupt && c->pos + n == c->bytes)
		block[n - 1] ^= 1;
	bbuf_add(&c->out, (struct bstr){block, n});
	c->pos += n;
	if (c->pace_us != 0 && c->pos < c->bytes)
		evloop_timer_set(c->sim->loop, &c->timer,
		    evloop_now_us() + (int64_t)c->pace_us);
	return (true);
}

/* Writes until the socket is full; false when the connection was closed. */
static bool
flush(struct conn *c)
{
	ssize_t n;

	while (c->state == C_ANSWERING) {
		if (c->out_pos == c->out.n) {
			bbuf_clear(&c->out);
			c->out_pos = 0;
			if (c->pos == c->bytes) {
				request_done(c);
				return (c->io.fd >= 0);
			}
			if (!generate_body(c))
				break;
		}
		n = send(c->io.fd, c->out.p + c->out_pos, c->out.n - c->out_pos,
		    MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN) {
			conn_close(c);
			return (false);
		}
		if (n < 0)
			break;
		c->out_pos += (size_t)n;
	}
	if ((c->out_pos < c->out.n) != c->want_out) {
		c->want_out = !c->want_out;
		evloop_mod(c->sim->loop, &c->io,
		    EPOLLIN | EPOLLRDHUP | (c->want_out ? EPOLLOUT : 0u));
	}
	return (true);
}

static void
answer_body(
    struct conn *c, unsigned status, const char *extra, struct bstr body)
{
	struct bstr id = http1_header(&c->h1, "X-Request-Id");
	struct upstream_sim *u = c->sim;

	c->state = C_ANSWERING;
	bbuf_addf(&c->out,
	    "HTTP/1.1 %u Answer\r\nContent-Length: %llu\r\nX-Load: %d\r\n"
	    "X-State: %s\r\nX-Upstream: %d\r\nX-Body-Bytes: %lld\r\n"
	    "X-Body-Hash: %016llx\r\n%s",
	    status, (unsigned long long)(c->bytes + body.n), u->in_flight,
	    behaviour_state(&u->behaviour, evloop_now_us()), u->index,
	    (long long)c->body_n, (unsigned long long)XXH64_digest(&c->hash),
	    extra);
	if (id.n != 0)
		bbuf_addf(&c->out, "X-Request-Id: %.*s\r\n", BSTR_ARG(id));
	bbuf_add(&c->out, BSTR("\r\n"));
	bbuf_add(&c->out, body);
	if (c->bytes != 0 && c->pace_us == 0)
		generate_body(c);
	flush(c);
}

static void
answer(struct conn *c, unsigned status, const char *extra)
{
	c->bytes = 0;
	answer_body(c, status, extra, (struct bstr){0});
}

static void
answer_json(struct conn *c, json_t *v)
{
	char *text = json_dumps(v, JSON_COMPACT);

	json_decref(v);
	c->bytes = 0;
	answer_body(
	    c, 200, "Content-Type: application/json\r\n", bstr_from(text));
	free(text);
}

static void
on_timer(struct evloop_timer *t)
{
	struct conn *c =
	    (struct conn *)((char *)t - offsetof(struct conn, timer));
	struct bstr id = http1_header(&c->h1, "X-Request-Id");

	if (c->state == C_ANSWERING) {
		if (flush(c) && c->state == C_READING)
			read_requests(c);
		return;
	}
	if (c->drop) {
		c->sim->counters.dropped++;
		conn_close(c);
		return;
	}
	if (c->fail) {
		c->sim->counters.failed++;
		answer(c, 500, "");
	} else if (c->bytes != 0) {
		answer_body(c, 200, "", (struct bstr){0});
	} else {
		answer_json(c,
		    json_pack("{s:s%,s:s%,s:I}", "path", c->h1.target.p,
			c->h1.target.n, "id", id.p == NULL ? "" : id.p, id.n,
			"body", (json_int_t)c->body_n));
	}
	if (c->io.fd >= 0 && c->state == C_READING)
		read_requests(c);
}

static void
on_history_timer(struct evloop_timer *t)
{
	struct upstream_sim *u = (struct upstream_sim *)((char *)t -
	    offsetof(struct upstream_sim, history_timer));
	int64_t now = evloop_now_us();

	u->history[++u->history_pos % UPSTREAM_SIM_HISTORY_LEN] =
	    (struct upstream_sim_snapshot){
		u->in_flight, behaviour_state(&u->behaviour, now)};
	evloop_timer_set(u->loop, t, now + HISTORY_STEP_US);
}

static struct upstream_sim_snapshot
reported_snapshot(struct upstream_sim *u)
{
	struct upstream_sim_snapshot s = {
	    u->in_flight, behaviour_state(&u->behaviour, evloop_now_us())};
	int64_t steps_back = u->behaviour.health_lag_us / HISTORY_STEP_US;

	if (steps_back >= UPSTREAM_SIM_HISTORY_LEN)
		steps_back = UPSTREAM_SIM_HISTORY_LEN - 1;
	if (steps_back > 0 && u->history_pos > steps_back)
		s = u->history[(u->history_pos - steps_back) %
		    UPSTREAM_SIM_HISTORY_LEN];
	if (u->behaviour.health_fixed[0] != '\0')
		s.state = u->behaviour.health_fixed;
	if (u->behaviour.load_fixed >= 0)
		s.in_flight = u->behaviour.load_fixed;
	return (s);
}

json_t *
upstream_sim_stats(const struct upstream_sim *u)
{
	json_t *v = upstream_counters_json(&u->counters);

	json_object_set_new(v, "index", json_integer(u->index));
	json_object_set_new(v, "port", json_integer(u->port));
	json_object_set_new(v, "in_service", json_integer(u->in_service));
	json_object_set_new(v, "in_flight", json_integer(u->in_flight));
	json_object_set_new(v, "queued", json_integer(u->queued));
	return (v);
}

static void
serve_request(struct conn *c)
{
	struct upstream_sim *u = c->sim;
	int64_t now = evloop_now_us();

	u->counters.received++;
	upstream_counters_count_class(&u->counters, c->h1.target);
	if (u->behaviour.late_after_us != 0 && now > u->behaviour.late_after_us)
		u->counters.late++;
	c->seed = pattern_seed(http1_header(&c->h1, "X-Request-Id"));
	c->bytes = http1_query(c->h1.target, "bytes", 0);
	c->chunk = http1_query(c->h1.target, "chunk", 0);
	c->pace_us = http1_query(c->h1.target, "pace_us", 0);
	if (u->behaviour.fail_fast) {
		u->counters.failed++;
		count_run(c);
		answer(c, 500, "");
	} else if (deadline_passed(c)) {
		u->counters.deadline_rejected++;
		answer(c, 504, "X-Not-Run: 1\r\n");
	} else if (u->queued >= u->behaviour.queue_limit &&
	    u->in_service >= u->behaviour.slots) {
		u->counters.shed++;
		answer(c, 503, "X-Not-Run: 1\r\n");
	} else {
		c->counted = true;
		if (++u->in_flight > u->counters.peak_in_flight)
			u->counters.peak_in_flight = u->in_flight;
		c->state = C_QUEUED;
		u->queued++;
		TAILQ_INSERT_TAIL(&u->queue, c, next);
		dispatch(u);
	}
}

static void
route_request(struct conn *c)
{
	struct upstream_sim *u = c->sim;
	struct upstream_sim_snapshot s;

	c->pos = c->bytes = c->pace_us = c->chunk = 0;
	c->fail = c->drop = c->corrupt = false;
	if (bstr_eq(c->h1.target, BSTR("/stats"))) {
		answer_json(c, upstream_sim_stats(u));
	} else if (bstr_eq(c->h1.target, BSTR("/health"))) {
		upstream_counters_count_probe(&u->counters, evloop_now_us());
		s = reported_snapshot(u);
		answer_json(c, json_pack("{s:s}", "state", s.state));
	} else if (bstr_eq(c->h1.target, BSTR("/load"))) {
		upstream_counters_count_probe(&u->counters, evloop_now_us());
		s = reported_snapshot(u);
		answer_json(c, json_pack("{s:i}", "in_flight", s.in_flight));
	} else {
		serve_request(c);
	}
}

/* Parses buffered input and starts requests, one at a time. */
static void
read_requests(struct conn *c)
{
	struct bstr in = bbuf_str(&c->in);
	enum http1_event e = HTTP1_HEAD;

	while (c->io.fd >= 0 && c->state == C_READING && e != HTTP1_MORE) {
		e = http1_read(&c->h1, &in);
		if (e == HTTP1_HEAD)
			XXH64_reset(&c->hash, 0);
		if (e == HTTP1_BODY) {
			XXH64_update(&c->hash, c->h1.data.p, c->h1.data.n);
			c->body_n += (int64_t)c->h1.data.n;
		}
		if (e == HTTP1_ERROR)
			conn_close(c);
		if (e == HTTP1_END)
			route_request(c);
	}
	if (c->io.fd >= 0)
		bbuf_drop_front(&c->in, c->in.n - in.n);
}

static void
on_conn(struct evloop_io *io, uint32_t events)
{
	struct conn *c = (struct conn *)io;
	char block[READ_BLOCK];
	ssize_t n;

	if (events & (EPOLLERR | EPOLLHUP | EPOLLRDHUP)) {
		conn_close(c);
		return;
	}
	if (events & EPOLLOUT && !flush(c))
		return;
	if (events & EPOLLIN) {
		n = recv(io->fd, block, sizeof(block), 0);
		if (n == 0 || (n < 0 && errno != EAGAIN) ||
		    c->in.n > MAX_PIPELINED) {
			conn_close(c);
			return;
		}
		if (n > 0)
			bbuf_add(&c->in, (struct bstr){block, (size_t)n});
	}
	read_requests(c);
}

static void
on_accept(struct evloop_io *io, uint32_t events)
{
	struct upstream_sim *u = (struct upstream_sim *)io;
	struct conn *c;
	int one = 1;
	int fd;

	(void)events;
	while ((fd = accept4(io->fd, NULL, NULL, SOCK_NONBLOCK)) >= 0) {
		/* Nagle's algorithm would delay paced parts until an ACK. */
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->sim = u;
		c->io.fn = on_conn;
		c->timer.fn = on_timer;
		http1_init(&c->h1, false);
		u->counters.connections++;
		evloop_add(u->loop, &c->io, fd, EPOLLIN | EPOLLRDHUP);
	}
}

void
upstream_sim_apply(struct upstream_sim *u, const json_t *v)
{
	evloop_lock(u->loop);
	behaviour_apply(&u->behaviour, v, evloop_now_us());
	if (json_object_get(v, "bad") != NULL)
		u->fault_from = u->counters.received;
	if (u->behaviour.health_lag_us > 0 && u->history_timer.pos == 0)
		evloop_timer_set(u->loop, &u->history_timer, evloop_now_us());
	dispatch(u);
	evloop_unlock(u->loop);
	evloop_wake(u->loop);
}

void
upstream_sim_keys_init(struct upstream_sim_keys *keys)
{
	pthread_mutex_init(&keys->lock, NULL);
	keys->runs = g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
}

bool
upstream_sim_start(struct upstream_sim *u, uint16_t port, uint64_t seed,
    const struct upstream_behaviour *b)
{
	int fd;

	u->port = port;
	u->behaviour = *b;
	u->io.fn = on_accept;
	u->history_timer.fn = on_history_timer;
	TAILQ_INIT(&u->queue);
	rng_init(&u->rng, seed + (uint64_t)u->index);
	if (b->health_lag_us > 0)
		evloop_timer_set(u->loop, &u->history_timer, evloop_now_us());
	fd = evloop_listen(&u->port);
	return (fd >= 0 && evloop_add(u->loop, &u->io, fd, EPOLLIN));
}
