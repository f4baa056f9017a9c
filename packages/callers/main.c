/*
 * callers - load tool: sends the calls of a plan and checks every answer.
 *
 * Open loop (--rate) sends at Poisson arrivals and measures from the arrival,
 * so that waiting for a connection counts. Closed loop (--closed) keeps a
 * number of calls in flight. Targets are the entry VMs of the plan as the
 * platform's balancer uses them, or with --direct the upstreams themselves.
 *
 * Each request id determines the answer body (lib/body_pattern.h). A payment is
 * sent again with its key after a timeout, a break or an X-Outcome other than
 * ran, and asked for until its outcome is known. The run ends after --seconds
 * or --calls, or at SIGTERM, then finishes the calls in flight and reports.
 */
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/random.h"
#include "load/http_attempt.h"
#include "load/body_pattern.h"

#define ID_MAX 64
#define TICK_US 50000
#define REFUSED_PAUSE_US 1000 /* keeps a refused closed loop from spinning */
#define MAX_CONNECTS 3
#define BACKOFF_US 20000
#define MAX_BACKOFF_US 500000
#define ASK_EVERY_US 500000
#define MAX_ASKS 20
#define FINISH_US 40000000

/**
 * struct call - one call, over all its attempts
 * @try: the attempt
 * @pause: time before the next attempt
 * @start_us: arrival, from which the latency counts
 * @tries: attempts made
 * @asks: attempts made only to learn the outcome
 * @connects: failed connections
 * @resent: was repeated after a reused connection closed with no answer
 * @told_not_run: an attempt was told not-run
 * @other_word: an attempt may have run
 */
struct call {
	struct http_attempt try;
	struct evloop_timer pause;
	TAILQ_ENTRY(call) next;
	struct load *ld;
	uint32_t service;
	char id[ID_MAX];
	int64_t start_us;
	int tries, asks, connects;
	bool resent, told_not_run, other_word;
};

TAILQ_HEAD(call_list, call);

/** struct load - the run */
struct load {
	struct event_loop loop;
	struct evloop_timer arrival, tick, restart;
	struct load_plan plan;
	struct balancer bal;
	struct load_report rep;
	struct attempt_pool pool;
	struct call_list calls;
	struct random rng;
	uint32_t kind_weight, service_weight;
	uint64_t started;
	int64_t running, to_restart;
	int64_t begin_us, next_us, stop_us;
	bool stopping;
	FILE *not_run;
	/* Options. */
	const char *plan_path, *out_path, *not_run_path, *ids;
	double rate;
	int64_t closed;
	double seconds;
	uint64_t max_calls, seed;
	int max_tries;
	bool direct, quiet;
};

static _Atomic bool interrupted;

static void begin_attempt(struct call *c);

static void
end_call(struct call *c, enum load_report_end end)
{
	struct load *ld = c->ld;

	load_report_end(
	    &ld->rep, c->try.kind, end, evloop_now_us() - c->start_us);
	TAILQ_REMOVE(&ld->calls, c, next);
	evloop_free_later(&ld->loop, c);
	ld->running--;
	if (ld->closed == 0 || ld->stopping)
		return;
	ld->to_restart++;
	if (ld->restart.pos == 0)
		evloop_timer_set(&ld->loop, &ld->restart,
		    evloop_now_us() +
			(end == LOAD_REPORT_OK ? 0 : REFUSED_PAUSE_US));
}

static void
pause_call(struct call *c, int64_t us)
{
	evloop_timer_set(&c->ld->loop, &c->pause, evloop_now_us() + us);
}

static void
end_unpaid(struct call *c, enum attempt_outcome word)
{
	if (c->told_not_run && !c->other_word) {
		c->ld->rep.keys_not_run++;
		if (c->ld->not_run != NULL)
			fprintf(c->ld->not_run, "%s\n", c->id);
	}
	end_call(c,
	    word == ATTEMPT_NOT_RUN ? LOAD_REPORT_REFUSED
		: c->other_word     ? LOAD_REPORT_UNKNOWN
				    : LOAD_REPORT_NO_ENTRY);
}

/* A payment that did not succeed: another attempt, a question, or the end. */
static void
continue_payment(struct call *c, enum attempt_outcome word)
{
	int64_t pause = BACKOFF_US << c->tries;

	if (word == ATTEMPT_NOT_RUN)
		c->told_not_run = true;
	if (word == ATTEMPT_UNKNOWN)
		c->other_word = true;
	if (c->tries < c->ld->max_tries) {
		c->ld->rep.retries++;
		pause_call(c, pause < MAX_BACKOFF_US ? pause : MAX_BACKOFF_US);
	} else if (c->other_word && word != ATTEMPT_NOT_RUN &&
	    c->asks < MAX_ASKS) {
		c->asks++;
		c->ld->rep.asks++;
		pause_call(c, ASK_EVERY_US);
	} else {
		end_unpaid(c, word);
	}
}

static void
on_done(struct http_attempt *t, const struct attempt_result *r)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, try));
	struct load_report *rep = &c->ld->rep;

	if (r->refusal != ERR_NONE)
		rep->refusals[r->refusal]++;
	if (r->end != LOAD_REPORT_OK && r->word == ATTEMPT_NOT_RUN)
		rep->told_not_run++;
	if (r->end == LOAD_REPORT_NO_ENTRY && c->connects < MAX_CONNECTS) {
		c->connects++;
		balancer_failed(&c->ld->bal, t->target);
		begin_attempt(c);
	} else if (r->end == LOAD_REPORT_CLOSED && r->reused && !c->resent &&
	    t->kind != LOAD_PLAN_PAY && t->kind != LOAD_PLAN_UPLOAD) {
		c->resent = true;
		rep->resent++;
		begin_attempt(c);
	} else if (t->kind == LOAD_PLAN_PAY && r->end != LOAD_REPORT_OK &&
	    r->end != LOAD_REPORT_WRONG && r->word != ATTEMPT_RAN) {
		continue_payment(c, r->word);
	} else {
		end_call(c, r->end);
	}
}

static void
on_pause(struct evloop_timer *timer)
{
	begin_attempt(
	    (struct call *)((char *)timer - offsetof(struct call, pause)));
}

static void
begin_attempt(struct call *c)
{
	struct load *ld = c->ld;
	int last = c->tries > 0 ? c->try.target : BALANCER_NONE;
	int target = balancer_pick(&ld->bal, c->service, last);

	c->tries++;
	if (target == BALANCER_NONE) {
		if (c->try.kind == LOAD_PLAN_PAY)
			continue_payment(c, ATTEMPT_NONE);
		else
			end_call(c, LOAD_REPORT_NO_ENTRY);
		return;
	}
	attempt_start(&ld->pool, &c->try, target,
	    ld->plan.kinds[c->try.kind].timeout_ms * 1000);
}

static enum load_plan_id
draw_kind(struct load *ld)
{
	uint32_t w = rng_below(&ld->rng, ld->kind_weight);
	int k = 0;

	while (w >= ld->plan.kinds[k].weight)
		w -= ld->plan.kinds[k++].weight;
	return ((enum load_plan_id)k);
}

static uint32_t
draw_service(struct load *ld)
{
	uint32_t w = rng_below(&ld->rng, ld->service_weight);
	uint32_t s = 0;

	while (w >= ld->plan.services[s].weight)
		w -= ld->plan.services[s++].weight;
	return (s);
}

static void
start_call(struct load *ld, int64_t start_us)
{
	struct call *c = calloc(1, sizeof(*c));

	c->ld = ld;
	c->pause.fn = on_pause;
	c->service = draw_service(ld);
	c->start_us = start_us;
	snprintf(c->id, sizeof(c->id), "%s-%llu-%llu", ld->ids,
	    (unsigned long long)ld->seed, (unsigned long long)ld->started);
	c->try = (struct http_attempt){.kind = draw_kind(ld),
	    .host = ld->plan.services[c->service].host,
	    .id = c->id,
	    .seed = pattern_seed(bstr_from(c->id)),
	    .target = BALANCER_NONE,
	    .done = on_done};
	ld->started++;
	ld->running++;
	TAILQ_INSERT_TAIL(&ld->calls, c, next);
	begin_attempt(c);
}

static bool
may_start(struct load *ld, int64_t now)
{
	bool over = now - ld->begin_us >= (int64_t)(ld->seconds * 1e6) ||
	    (ld->max_calls != 0 && ld->started >= ld->max_calls) || interrupted;

	if (over && !ld->stopping) {
		ld->stopping = true;
		ld->stop_us = now;
		ld->rep.elapsed_us = now - ld->begin_us;
	}
	return (!ld->stopping);
}

static void
on_arrival(struct evloop_timer *t)
{
	struct load *ld =
	    (struct load *)((char *)t - offsetof(struct load, arrival));
	int64_t now = evloop_now_us();

	while (may_start(ld, now) && ld->next_us <= now) {
		start_call(ld, ld->next_us);
		ld->next_us +=
		    (int64_t)(-log(1.0 - rng_unit(&ld->rng)) * 1e6 / ld->rate);
	}
	if (!ld->stopping)
		evloop_timer_set(&ld->loop, t, ld->next_us);
}

static void
on_restart(struct evloop_timer *t)
{
	struct load *ld =
	    (struct load *)((char *)t - offsetof(struct load, restart));
	int64_t n = ld->to_restart;

	ld->to_restart = 0;
	while (n-- > 0 && may_start(ld, evloop_now_us()))
		start_call(ld, evloop_now_us());
}

static void
on_tick(struct evloop_timer *t)
{
	struct load *ld =
	    (struct load *)((char *)t - offsetof(struct load, tick));
	int64_t now = evloop_now_us();

	if (!may_start(ld, now) &&
	    (ld->running == 0 || now - ld->stop_us > FINISH_US))
		evloop_stop(&ld->loop);
	else
		evloop_timer_set(&ld->loop, t, now + TICK_US);
}

/* Starts the calls once the first health checks have had time to answer. */
static void
on_begin(struct evloop_timer *t)
{
	struct load *ld =
	    (struct load *)((char *)t - offsetof(struct load, arrival));

	ld->begin_us = ld->next_us = evloop_now_us();
	ld->to_restart = ld->closed;
	ld->tick.fn = on_tick;
	ld->restart.fn = on_restart;
	evloop_timer_set(&ld->loop, &ld->tick, ld->begin_us + TICK_US);
	if (ld->closed != 0) {
		on_restart(&ld->restart);
	} else {
		t->fn = on_arrival;
		on_arrival(t);
	}
}

static void
on_signal(int sig)
{
	(void)sig;
	interrupted = true;
}

static void
run(struct load *ld)
{
	struct call *c;

	balancer_init(&ld->bal, &ld->loop, &ld->plan, ld->direct);
	ld->pool.loop = &ld->loop;
	ld->pool.plan = &ld->plan;
	ld->pool.bal = &ld->bal;
	attempt_init(&ld->pool);
	TAILQ_INIT(&ld->calls);
	for (int k = 0; k < LOAD_PLAN_KINDS; k++)
		ld->kind_weight += ld->plan.kinds[k].weight;
	for (uint32_t i = 0; i < ld->plan.n_services; i++)
		ld->service_weight += ld->plan.services[i].weight;
	rng_init(&ld->rng, ld->seed);
	ld->arrival.fn = on_begin;
	evloop_timer_set(
	    &ld->loop, &ld->arrival, evloop_now_us() + 2 * TICK_US);
	evloop_run(&ld->loop);
	while ((c = TAILQ_FIRST(&ld->calls)) != NULL)
		end_call(c,
		    c->try.kind == LOAD_PLAN_PAY ? LOAD_REPORT_UNKNOWN
						 : LOAD_REPORT_TIMEOUT);
}

static void
usage(FILE *out)
{
	fputs(
	    "usage: callers --plan FILE (--rate PER_S | --closed N)\n"
	    "  --seconds S     length of the load phase (10)\n"
	    "  --calls N       at most this many calls (5000000)\n"
	    "  --conns N       connections to one target (250)\n"
	    "  --tries N       attempts of a payment before asking (5)\n"
	    "  --seed N        of arrivals and kinds (1)\n"
	    "  --ids TEXT      start of the request ids; two runs with the "
	    "same\n"
	    "                  ids, seed and rate send the same keys (process "
	    "id)\n"
	    "  --direct        call the upstreams themselves\n"
	    "  --label TEXT    name of the run in the report\n"
	    "  --out FILE      append the report as JSON lines\n"
	    "  --not-run FILE  append keys whose every attempt was told "
	    "not-run\n"
	    "  --quiet         print no table\n",
	    out);
}

static bool
take_text(struct load *ld, int opt)
{
	switch (opt) {
	case 'p':
		ld->plan_path = optarg;
		return (true);
	case 'l':
		ld->rep.label = optarg;
		return (true);
	case 'o':
		ld->out_path = optarg;
		return (true);
	case 'k':
		ld->not_run_path = optarg;
		return (true);
	case 'i':
		ld->ids = optarg;
		return (true);
	case 'd':
		ld->direct = true;
		return (true);
	case 'q':
		ld->quiet = true;
		return (true);
	default:
		return (false);
	}
}

static bool
take_number(struct load *ld, int opt)
{
	switch (opt) {
	case 'r':
		ld->rate = strtod(optarg, NULL);
		return (true);
	case 's':
		ld->seconds = strtod(optarg, NULL);
		return (true);
	case 'c':
		ld->closed = strtol(optarg, NULL, 10);
		return (true);
	case 'm':
		ld->pool.max_conns = (int)strtol(optarg, NULL, 10);
		return (true);
	case 't':
		ld->max_tries = (int)strtol(optarg, NULL, 10);
		return (true);
	case 'n':
		ld->max_calls = strtoull(optarg, NULL, 10);
		return (true);
	case 'e':
		ld->seed = strtoull(optarg, NULL, 10);
		return (true);
	default:
		return (false);
	}
}

static bool
parse(struct load *ld, int argc, char **argv)
{
	static const struct option options[] = {
	    {"plan", required_argument, NULL, 'p'},
	    {"rate", required_argument, NULL, 'r'},
	    {"closed", required_argument, NULL, 'c'},
	    {"seconds", required_argument, NULL, 's'},
	    {"calls", required_argument, NULL, 'n'},
	    {"conns", required_argument, NULL, 'm'},
	    {"tries", required_argument, NULL, 't'},
	    {"seed", required_argument, NULL, 'e'},
	    {"ids", required_argument, NULL, 'i'},
	    {"direct", no_argument, NULL, 'd'},
	    {"label", required_argument, NULL, 'l'},
	    {"out", required_argument, NULL, 'o'},
	    {"not-run", required_argument, NULL, 'k'},
	    {"quiet", no_argument, NULL, 'q'},
	    {0},
	};
	int opt;

	while ((opt = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (!take_text(ld, opt) && !take_number(ld, opt))
			return (false);
	}
	return (ld->plan_path != NULL && (ld->rate > 0) != (ld->closed > 0) &&
	    ld->seconds > 0 && ld->pool.max_conns > 0);
}

static bool
report(struct load *ld)
{
	FILE *out;

	ld->rep.mode = ld->direct ? "direct" : "entry";
	if (!ld->quiet)
		load_report_table(&ld->rep, stdout);
	if (ld->out_path == NULL)
		return (true);
	out = fopen(ld->out_path, "a");
	if (out == NULL)
		return (false);
	load_report_lines(&ld->rep, out);
	return (fclose(out) == 0);
}

int
main(int argc, char **argv)
{
	static struct load ld = {.seconds = 10,
	    .pool.max_conns = 250,
	    .max_tries = 5,
	    .max_calls = 5000000,
	    .seed = 1,
	    .rep.label = "run"};
	struct bbuf problem;
	struct rlimit lim;
	static char own_ids[24];

	/* The process id keeps keys of different runs apart. */
	snprintf(own_ids, sizeof(own_ids), "%d", (int)getpid());
	ld.ids = own_ids;
	if (!parse(&ld, argc, argv)) {
		usage(stderr);
		return (2);
	}
	bbuf_init(&problem);
	if (!load_plan_load(&ld.plan, ld.plan_path, &problem)) {
		fprintf(stderr, "callers: %s", problem.p);
		return (2);
	}
	bbuf_finish(&problem);
	if (getrlimit(RLIMIT_NOFILE, &lim) == 0) {
		lim.rlim_cur = lim.rlim_max;
		setrlimit(RLIMIT_NOFILE, &lim);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	if (ld.not_run_path != NULL)
		ld.not_run = fopen(ld.not_run_path, "a");
	if (!evloop_init(&ld.loop))
		return (1);
	run(&ld);
	if (ld.not_run != NULL)
		fclose(ld.not_run);
	return (report(&ld) ? 0 : 1);
}
