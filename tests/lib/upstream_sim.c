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

#include "load/http1_reader.h"
#include "load/body_pattern.h"

#define READ_BLOCK (64 * 1024)
#define MAX_PIPELINED (1024 * 1024)
#define LAG_STEP_US 10000

/** enum conn_state - what a connection is doing */
enum conn_state { C_READING, C_QUEUED, C_RUNNING, C_ANSWERING };

/** struct conn - one connection and the request on it */
struct conn {
	struct evloop_io io;
	struct evloop_timer timer;
	TAILQ_ENTRY(conn) next;
	struct upstream_sim *up;
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
static void advance(struct conn *c);

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
	pthread_mutex_lock(&c->up->keys->lock);
	runs = (gintptr)g_hash_table_lookup(c->up->keys->runs, text);
	g_hash_table_replace(c->up->keys->runs, text, (gpointer)(runs + 1));
	pthread_mutex_unlock(&c->up->keys->lock);
	if (runs > 0)
		c->up->n.duplicates++;
}

/* Whether the fault of a bad version hits this request. */
static bool
is_hit(const struct conn *c)
{
	const struct upstream_behaviour *k = &c->up->k;

	return (k->bad != BEHAVIOUR_GOOD &&
	    c->up->n.received - c->up->bad_from > k->bad_after &&
	    c->up->in_flight > k->bad_above &&
	    target_has_prefix(c, k->bad_prefix));
}

static int64_t
draw_service_us(struct conn *c)
{
	const struct upstream_behaviour *k = &c->up->k;
	struct random *r = &c->up->rng;
	double us = (double)k->service_us * k->slow_factor;

	if (k->dist == BEHAVIOUR_EXP)
		us *= -log(1.0 - rng_unit(r));
	if (k->dist == BEHAVIOUR_LOGNORMAL) {
		double n = sqrt(-2.0 * log(1.0 - rng_unit(r))) *
		    cos(2.0 * M_PI * rng_unit(r));

		us *= exp(k->sigma * n - k->sigma * k->sigma / 2);
	}
	for (unsigned i = 0; i < k->n_prefixes; i++) {
		if (target_has_prefix(c, k->prefixes[i].prefix))
			us *= k->prefixes[i].factor;
	}
	if (is_hit(c) && k->bad == BEHAVIOUR_SLOW)
		us *= k->bad_factor;
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
run(struct conn *c, int64_t now)
{
	struct upstream_sim *u = c->up;
	int64_t us = draw_service_us(c);

	c->state = C_RUNNING;
	c->holds_slot = true;
	u->in_service++;
	if (u->in_service > u->n.peak_in_service)
		u->n.peak_in_service = u->in_service;
	count_run(c);
	c->fail = is_hit(c) && u->k.bad == BEHAVIOUR_FAILS;
	if (u->in_flight > behaviour_cold_limit(&u->k, now)) {
		if (strcmp(behaviour_state(&u->k, now), "cold") == 0) {
			u->n.cold_overload++;
			c->fail |= u->k.cold_fails;
			us = (int64_t)((double)us * u->k.cold_factor);
		}
	}
	if (u->k.corrupt_answers > 0) {
		u->k.corrupt_answers--;
		c->corrupt = true;
	}
	if (u->k.drop_answers > 0) {
		u->k.drop_answers--;
		c->drop = true;
	}
	evloop_timer_set(u->loop, &c->timer, now + (c->fail ? 0 : us));
}

static void
dispatch(struct upstream_sim *u)
{
	struct conn *c;

	while (u->in_service < u->k.slots &&
	    (c = TAILQ_FIRST(&u->queue)) != NULL) {
		TAILQ_REMOVE(&u->queue, c, next);
		u->queued--;
		if (deadline_passed(c)) {
			u->n.deadline_rejected++;
			answer(c, 504, "X-Not-Run: 1\r\n");
		} else {
			run(c, evloop_now_us());
		}
	}
}

static void
release(struct conn *c)
{
	struct upstream_sim *u = c->up;

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
	struct upstream_sim *u = c->up;

	if (c->state == C_QUEUED) {
		TAILQ_REMOVE(&u->queue, c, next);
		u->queued--;
		u->n.cancelled_queued++;
	} else if (c->state != C_READING && !c->drop) {
		u->n.cancelled_running++;
	}
	c->state = C_READING;
	evloop_timer_clear(u->loop, &c->timer);
	evloop_close(u->loop, &c->io);
	release(c);
	u->n.connections--;
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
		c->up->n.served++;
	c->state = C_READING;
	release(c);
	if (last) {
		conn_close(c);
		return;
	}
	http1_reset(&c->h1);
	bbuf_clear(&c->out);
	c->out_pos = 0;
	c->body_n = 0;
}

/* Adds the next part of the body to the output; false while pacing. */
static bool
produce(struct conn *c)
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
		evloop_timer_set(c->up->loop, &c->timer,
		    evloop_now_us() + (int64_t)c->pace_us);
	return (true);
}

/* Writes what the socket takes; Return: false when the connection is gone. */
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
			if (!produce(c))
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
		evloop_mod(c->up->loop, &c->io,
		    EPOLLIN | EPOLLRDHUP | (c->want_out ? EPOLLOUT : 0u));
	}
	return (true);
}

static void
answer_body(
    struct conn *c, unsigned status, const char *extra, struct bstr body)
{
	struct bstr id = http1_header(&c->h1, "X-Request-Id");
	struct upstream_sim *u = c->up;

	c->state = C_ANSWERING;
	bbuf_addf(&c->out,
	    "HTTP/1.1 %u Answer\r\nContent-Length: %llu\r\nX-Load: %d\r\n"
	    "X-State: %s\r\nX-Upstream: %d\r\nX-Body-Bytes: %lld\r\n"
	    "X-Body-Hash: %016llx\r\n%s",
	    status, (unsigned long long)(c->bytes + body.n), u->in_flight,
	    behaviour_state(&u->k, evloop_now_us()), u->index,
	    (long long)c->body_n, (unsigned long long)XXH64_digest(&c->hash),
	    extra);
	if (id.n != 0)
		bbuf_addf(&c->out, "X-Request-Id: %.*s\r\n", BSTR_ARG(id));
	bbuf_add(&c->out, BSTR("\r\n"));
	bbuf_add(&c->out, body);
	if (c->bytes != 0 && c->pace_us == 0)
		produce(c);
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
			advance(c);
		return;
	}
	if (c->drop) {
		c->up->n.dropped++;
		conn_close(c);
		return;
	}
	if (c->fail) {
		c->up->n.failed++;
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
		advance(c);
}

static void
on_lag_timer(struct evloop_timer *t)
{
	struct upstream_sim *u = (struct upstream_sim *)((char *)t -
	    offsetof(struct upstream_sim, lag_timer));
	int64_t now = evloop_now_us();

	u->lag[++u->lag_step % UPSTREAM_SIM_LAG_SLOTS] =
	    (struct upstream_sim_snapshot){
		u->in_flight, behaviour_state(&u->k, now)};
	evloop_timer_set(u->loop, t, now + LAG_STEP_US);
}

static struct upstream_sim_snapshot
report_of(struct upstream_sim *u)
{
	struct upstream_sim_snapshot s = {
	    u->in_flight, behaviour_state(&u->k, evloop_now_us())};
	int64_t back = u->k.health_lag_us / LAG_STEP_US;

	if (back >= UPSTREAM_SIM_LAG_SLOTS)
		back = UPSTREAM_SIM_LAG_SLOTS - 1;
	if (back > 0 && u->lag_step > back)
		s = u->lag[(u->lag_step - back) % UPSTREAM_SIM_LAG_SLOTS];
	if (u->k.health_fixed[0] != '\0')
		s.state = u->k.health_fixed;
	if (u->k.load_fixed >= 0)
		s.in_flight = u->k.load_fixed;
	return (s);
}

json_t *
upstream_sim_stats(const struct upstream_sim *u)
{
	json_t *v = upstream_counters_json(&u->n);

	json_object_set_new(v, "index", json_integer(u->index));
	json_object_set_new(v, "port", json_integer(u->port));
	json_object_set_new(v, "in_service", json_integer(u->in_service));
	json_object_set_new(v, "in_flight", json_integer(u->in_flight));
	json_object_set_new(v, "queued", json_integer(u->queued));
	return (v);
}

static void
receive(struct conn *c)
{
	struct upstream_sim *u = c->up;
	int64_t now = evloop_now_us();

	u->n.received++;
	upstream_counters_class(&u->n, c->h1.target);
	if (u->k.late_after_us != 0 && now > u->k.late_after_us)
		u->n.late++;
	c->seed = pattern_seed(http1_header(&c->h1, "X-Request-Id"));
	c->bytes = http1_query(c->h1.target, "bytes", 0);
	c->chunk = http1_query(c->h1.target, "chunk", 0);
	c->pace_us = http1_query(c->h1.target, "pace_us", 0);
	if (u->k.fail_fast) {
		u->n.failed++;
		count_run(c);
		answer(c, 500, "");
	} else if (deadline_passed(c)) {
		u->n.deadline_rejected++;
		answer(c, 504, "X-Not-Run: 1\r\n");
	} else if (u->queued >= u->k.queue_limit &&
	    u->in_service >= u->k.slots) {
		u->n.shed++;
		answer(c, 503, "X-Not-Run: 1\r\n");
	} else {
		c->counted = true;
		if (++u->in_flight > u->n.peak_in_flight)
			u->n.peak_in_flight = u->in_flight;
		c->state = C_QUEUED;
		u->queued++;
		TAILQ_INSERT_TAIL(&u->queue, c, next);
		dispatch(u);
	}
}

static void
handle(struct conn *c)
{
	struct upstream_sim *u = c->up;
	struct upstream_sim_snapshot s;

	c->pos = c->bytes = c->pace_us = c->chunk = 0;
	c->fail = c->drop = c->corrupt = false;
	if (bstr_eq(c->h1.target, BSTR("/stats"))) {
		answer_json(c, upstream_sim_stats(u));
	} else if (bstr_eq(c->h1.target, BSTR("/health"))) {
		upstream_counters_probe(&u->n, evloop_now_us());
		s = report_of(u);
		answer_json(c, json_pack("{s:s}", "state", s.state));
	} else if (bstr_eq(c->h1.target, BSTR("/load"))) {
		upstream_counters_probe(&u->n, evloop_now_us());
		s = report_of(u);
		answer_json(c, json_pack("{s:i}", "in_flight", s.in_flight));
	} else {
		receive(c);
	}
}

/* Reads requests from the buffered input while none is being served. */
static void
advance(struct conn *c)
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
			handle(c);
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
	advance(c);
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
		/* Paced parts would wait for delayed acknowledgements. */
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->up = u;
		c->io.fn = on_conn;
		c->timer.fn = on_timer;
		http1_init(&c->h1, false);
		u->n.connections++;
		evloop_add(u->loop, &c->io, fd, EPOLLIN | EPOLLRDHUP);
	}
}

void
upstream_sim_apply(struct upstream_sim *u, const json_t *v)
{
	evloop_lock(u->loop);
	behaviour_apply(&u->k, v, evloop_now_us());
	if (json_object_get(v, "bad") != NULL)
		u->bad_from = u->n.received;
	if (u->k.health_lag_us > 0 && u->lag_timer.pos == 0)
		evloop_timer_set(u->loop, &u->lag_timer, evloop_now_us());
	dispatch(u);
	evloop_unlock(u->loop);
	evloop_wake(u->loop);
}

void
upstream_sim_keys_init(struct upstream_sim_keys *k)
{
	pthread_mutex_init(&k->lock, NULL);
	k->runs = g_hash_table_new_full(g_str_hash, g_str_equal, free, NULL);
}

bool
upstream_sim_start(struct upstream_sim *u, uint16_t port, uint64_t seed,
    const struct upstream_behaviour *k)
{
	int fd;

	u->port = port;
	u->k = *k;
	u->io.fn = on_accept;
	u->lag_timer.fn = on_lag_timer;
	TAILQ_INIT(&u->queue);
	rng_init(&u->rng, seed + (uint64_t)u->index);
	if (k->health_lag_us > 0)
		evloop_timer_set(u->loop, &u->lag_timer, evloop_now_us());
	fd = evloop_listen(&u->port);
	return (fd >= 0 && evloop_add(u->loop, &u->io, fd, EPOLLIN));
}
