/*
 * callers - load generator that sends the calls of a plan and checks every
 * response.
 *
 *	callers --plan plan.json --rate 500 --seconds 30
 *
 * The open loop (--rate) starts calls at Poisson arrivals and measures latency
 * from the arrival, so the wait for a connection is included. The closed loop
 * (--closed) keeps a fixed number of calls in flight. Calls go to the entry VMs
 * of the plan, which are chosen in the same way as by the platform's balancer,
 * or with --direct to the upstreams themselves.
 *
 * The request id determines the response body (load/body_pattern.h). A payment
 * is retried with the same idempotency key after a timeout, a failed or closed
 * connection or an X-Outcome other than ran. When the retries are used up and
 * its outcome is unknown, further attempts query the outcome at a fixed
 * interval. Calls of the other kinds are not retried, except after a failed
 * connection and, for all but uploads, once after a reused connection closed
 * without a response.
 *
 * The run ends after --seconds or --calls or on SIGTERM or SIGINT. The tool
 * then waits for the calls in flight and writes the report.
 */
#include <getopt.h>
#include <math.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/resource.h>
#include <unistd.h>

#include "base/random.h"
#include "load/body_pattern.h"
#include "load/http_attempt.h"

#define ID_MAX 64
#define START_DELAY_US 100000 /* time for the first health checks */
#define END_CHECK_INTERVAL_US 50000
/* Prevents a busy loop when all calls fail immediately. */
#define FAILED_RESTART_DELAY_US 1000
#define MAX_CONNECT_RETRIES 3
#define RETRY_BACKOFF_US 20000
#define MAX_RETRY_BACKOFF_US 500000
#define QUERY_INTERVAL_US 500000
#define MAX_QUERIES 20
#define DRAIN_TIMEOUT_US 40000000

/**
 * struct call - one call with all its attempts
 * @attempt: current attempt
 * @timer: starts the next attempt
 * @next: entry of the list of calls in flight
 * @run: run that the call belongs to
 * @service: index of the service in the plan
 * @id: request id, also the idempotency key of a payment
 * @start_us: arrival time, from which the latency is measured
 * @tries: attempts made, including failed connections and outcome queries
 * @outcome_queries: attempts made only to query the outcome
 * @failed_connects: failed connections
 * @resent: was repeated after a reused connection closed without a response
 * @answered_not_run: an attempt was answered not-run
 * @maybe_ran: an attempt may have run
 */
struct call {
	struct http_attempt attempt;
	struct evloop_timer timer;
	TAILQ_ENTRY(call) next;
	struct load_run *run;
	uint32_t service;
	char id[ID_MAX];
	int64_t start_us;
	int tries, outcome_queries, failed_connects;
	bool resent, answered_not_run, maybe_ran;
};

TAILQ_HEAD(call_list, call);

/**
 * struct load_run - state and options of one run
 * @arrival_timer: start of the run, then the next arrival of the open loop
 * @end_check_timer: periodic check for the end of the run
 * @restart_timer: replaces ended calls of the closed loop
 * @calls: calls in flight
 * @total_kind_weight: sum of the weights of all kinds
 * @total_service_weight: sum of the weights of all services
 * @n_started: calls started so far
 * @in_flight: number of calls in flight
 * @restarts_due: calls of the closed loop to start at @restart_timer
 * @begin_us: start of the load phase
 * @next_arrival_us: time of the next arrival of the open loop
 * @stop_us: end of the load phase, set with @stopping
 * @stopping: the load phase has ended
 * @not_run_file: receives the keys answered not-run on every attempt, or NULL
 * @id_prefix: start of all request ids
 * @rate: calls started each second by the open loop, 0 for the closed loop
 * @closed: calls in flight of the closed loop, 0 for the open loop
 * @seconds: length of the load phase
 * @max_calls: number of calls that ends the load phase, 0 for no limit
 * @max_tries: attempts of a payment before its outcome is queried
 */
struct load_run {
	struct event_loop loop;
	struct evloop_timer arrival_timer, end_check_timer, restart_timer;
	struct load_plan plan;
	struct balancer balancer;
	struct load_report report;
	struct attempt_pool pool;
	struct call_list calls;
	struct random rng;
	uint32_t total_kind_weight, total_service_weight;
	uint64_t n_started;
	int64_t in_flight, restarts_due;
	int64_t begin_us, next_arrival_us, stop_us;
	bool stopping;
	FILE *not_run_file;
	/* Command-line options. */
	const char *plan_path, *out_path, *not_run_path, *id_prefix;
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
end_call(struct call *c, enum load_report_result result)
{
	struct load_run *run = c->run;

	load_report_record(&run->report, c->attempt.kind, result,
	    evloop_now_us() - c->start_us);
	TAILQ_REMOVE(&run->calls, c, next);
	evloop_free_later(&run->loop, c);
	run->in_flight--;
	if (run->closed == 0 || run->stopping)
		return;
	run->restarts_due++;
	if (run->restart_timer.pos == 0)
		evloop_timer_set(&run->loop, &run->restart_timer,
		    evloop_now_us() +
			(result == LOAD_REPORT_OK ? 0
						  : FAILED_RESTART_DELAY_US));
}

static void
schedule_attempt(struct call *c, int64_t us)
{
	evloop_timer_set(&c->run->loop, &c->timer, evloop_now_us() + us);
}

static void
end_failed_payment(struct call *c, enum attempt_outcome outcome)
{
	if (c->answered_not_run && !c->maybe_ran) {
		c->run->report.keys_not_run++;
		if (c->run->not_run_file != NULL)
			fprintf(c->run->not_run_file, "%s\n", c->id);
	}
	end_call(c,
	    outcome == ATTEMPT_NOT_RUN ? LOAD_REPORT_REFUSED
		: c->maybe_ran         ? LOAD_REPORT_UNKNOWN
				       : LOAD_REPORT_NO_ENTRY);
}

/*
 * Continues a payment that did not succeed: retries it, queries its outcome or
 * ends it.
 */
static void
retry_payment(struct call *c, enum attempt_outcome outcome)
{
	int64_t backoff_us = RETRY_BACKOFF_US << c->tries;

	if (outcome == ATTEMPT_NOT_RUN)
		c->answered_not_run = true;
	if (outcome == ATTEMPT_UNKNOWN)
		c->maybe_ran = true;
	if (c->tries < c->run->max_tries) {
		c->run->report.retries++;
		schedule_attempt(c,
		    backoff_us < MAX_RETRY_BACKOFF_US ? backoff_us
						      : MAX_RETRY_BACKOFF_US);
	} else if (c->maybe_ran && outcome != ATTEMPT_NOT_RUN &&
	    c->outcome_queries < MAX_QUERIES) {
		c->outcome_queries++;
		c->run->report.asks++;
		schedule_attempt(c, QUERY_INTERVAL_US);
	} else {
		end_failed_payment(c, outcome);
	}
}

static void
on_done(struct http_attempt *t, const struct attempt_result *r)
{
	struct call *c =
	    (struct call *)((char *)t - offsetof(struct call, attempt));
	struct load_report *report = &c->run->report;

	if (r->refusal != ERR_NONE)
		report->refusals[r->refusal]++;
	if (r->result != LOAD_REPORT_OK && r->outcome == ATTEMPT_NOT_RUN)
		report->told_not_run++;
	if (r->result == LOAD_REPORT_NO_ENTRY &&
	    c->failed_connects < MAX_CONNECT_RETRIES) {
		c->failed_connects++;
		balancer_failed(&c->run->balancer, t->target);
		begin_attempt(c);
	} else if (r->result == LOAD_REPORT_CLOSED && r->reused && !c->resent &&
	    t->kind != LOAD_PLAN_PAY && t->kind != LOAD_PLAN_UPLOAD) {
		c->resent = true;
		report->resent++;
		begin_attempt(c);
	} else if (t->kind == LOAD_PLAN_PAY && r->result != LOAD_REPORT_OK &&
	    r->result != LOAD_REPORT_WRONG && r->outcome != ATTEMPT_RAN) {
		retry_payment(c, r->outcome);
	} else {
		end_call(c, r->result);
	}
}

static void
on_retry_timer(struct evloop_timer *timer)
{
	begin_attempt(
	    (struct call *)((char *)timer - offsetof(struct call, timer)));
}

static void
begin_attempt(struct call *c)
{
	struct load_run *run = c->run;
	int last = c->tries > 0 ? c->attempt.target : BALANCER_NONE;
	int target = balancer_pick(&run->balancer, c->service, last);

	c->tries++;
	if (target == BALANCER_NONE) {
		if (c->attempt.kind == LOAD_PLAN_PAY)
			retry_payment(c, ATTEMPT_NONE);
		else
			end_call(c, LOAD_REPORT_NO_ENTRY);
		return;
	}
	attempt_start(&run->pool, &c->attempt, target,
	    run->plan.kinds[c->attempt.kind].timeout_ms * 1000);
}

static enum load_plan_kind_id
pick_kind(struct load_run *run)
{
	uint32_t w = rng_below(&run->rng, run->total_kind_weight);
	int k = 0;

	while (w >= run->plan.kinds[k].weight)
		w -= run->plan.kinds[k++].weight;
	return ((enum load_plan_kind_id)k);
}

static uint32_t
pick_service(struct load_run *run)
{
	uint32_t w = rng_below(&run->rng, run->total_service_weight);
	uint32_t s = 0;

	while (w >= run->plan.services[s].weight)
		w -= run->plan.services[s++].weight;
	return (s);
}

static void
start_call(struct load_run *run, int64_t start_us)
{
	struct call *c = calloc(1, sizeof(*c));

	c->run = run;
	c->timer.fn = on_retry_timer;
	c->service = pick_service(run);
	c->start_us = start_us;
	snprintf(c->id, sizeof(c->id), "%s-%llu-%llu", run->id_prefix,
	    (unsigned long long)run->seed, (unsigned long long)run->n_started);
	c->attempt = (struct http_attempt){.kind = pick_kind(run),
	    .host = run->plan.services[c->service].host,
	    .id = c->id,
	    .seed = pattern_seed(bstr_from(c->id)),
	    .target = BALANCER_NONE,
	    .done = on_done};
	run->n_started++;
	run->in_flight++;
	TAILQ_INSERT_TAIL(&run->calls, c, next);
	begin_attempt(c);
}

/* Returns whether calls may start; ends the load phase when they may not. */
static bool
may_start(struct load_run *run, int64_t now)
{
	bool over = now - run->begin_us >= (int64_t)(run->seconds * 1e6) ||
	    (run->max_calls != 0 && run->n_started >= run->max_calls) ||
	    interrupted;

	if (over && !run->stopping) {
		run->stopping = true;
		run->stop_us = now;
		run->report.elapsed_us = now - run->begin_us;
	}
	return (!run->stopping);
}

static void
on_arrival_timer(struct evloop_timer *t)
{
	struct load_run *run = (struct load_run *)((char *)t -
	    offsetof(struct load_run, arrival_timer));
	int64_t now = evloop_now_us();

	while (may_start(run, now) && run->next_arrival_us <= now) {
		start_call(run, run->next_arrival_us);
		run->next_arrival_us +=
		    (int64_t)(-log(1.0 - rng_unit(&run->rng)) * 1e6 /
			run->rate);
	}
	if (!run->stopping)
		evloop_timer_set(&run->loop, t, run->next_arrival_us);
}

static void
on_restart_timer(struct evloop_timer *t)
{
	struct load_run *run = (struct load_run *)((char *)t -
	    offsetof(struct load_run, restart_timer));
	int64_t n = run->restarts_due;

	run->restarts_due = 0;
	while (n-- > 0 && may_start(run, evloop_now_us()))
		start_call(run, evloop_now_us());
}

static void
on_end_check_timer(struct evloop_timer *t)
{
	struct load_run *run = (struct load_run *)((char *)t -
	    offsetof(struct load_run, end_check_timer));
	int64_t now = evloop_now_us();

	if (!may_start(run, now) &&
	    (run->in_flight == 0 || now - run->stop_us > DRAIN_TIMEOUT_US))
		evloop_stop(&run->loop);
	else
		evloop_timer_set(&run->loop, t, now + END_CHECK_INTERVAL_US);
}

/* Starts the calls after the first health checks have had time to finish. */
static void
on_start_timer(struct evloop_timer *t)
{
	struct load_run *run = (struct load_run *)((char *)t -
	    offsetof(struct load_run, arrival_timer));

	run->begin_us = run->next_arrival_us = evloop_now_us();
	run->restarts_due = run->closed;
	run->end_check_timer.fn = on_end_check_timer;
	run->restart_timer.fn = on_restart_timer;
	evloop_timer_set(&run->loop, &run->end_check_timer,
	    run->begin_us + END_CHECK_INTERVAL_US);
	if (run->closed != 0) {
		on_restart_timer(&run->restart_timer);
	} else {
		t->fn = on_arrival_timer;
		on_arrival_timer(t);
	}
}

static void
on_signal(int sig)
{
	(void)sig;
	interrupted = true;
}

static void
run_load(struct load_run *run)
{
	struct call *c;

	balancer_init(&run->balancer, &run->loop, &run->plan, run->direct);
	run->pool.loop = &run->loop;
	run->pool.plan = &run->plan;
	run->pool.balancer = &run->balancer;
	attempt_init(&run->pool);
	TAILQ_INIT(&run->calls);
	for (int k = 0; k < LOAD_PLAN_KINDS; k++)
		run->total_kind_weight += run->plan.kinds[k].weight;
	for (uint32_t i = 0; i < run->plan.n_services; i++)
		run->total_service_weight += run->plan.services[i].weight;
	rng_init(&run->rng, run->seed);
	run->arrival_timer.fn = on_start_timer;
	evloop_timer_set(
	    &run->loop, &run->arrival_timer, evloop_now_us() + START_DELAY_US);
	evloop_run(&run->loop);
	/* The remaining calls did not end within DRAIN_TIMEOUT_US. */
	while ((c = TAILQ_FIRST(&run->calls)) != NULL)
		end_call(c,
		    c->attempt.kind == LOAD_PLAN_PAY ? LOAD_REPORT_UNKNOWN
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
	    "  --tries N       payment attempts before outcome queries (5)\n"
	    "  --seed N        random seed of arrivals and kinds (1)\n"
	    "  --ids TEXT      prefix of the request ids (process id);\n"
	    "                  runs with the same prefix, seed and rate send\n"
	    "                  the same keys\n"
	    "  --direct        send calls directly to the upstreams\n"
	    "  --label TEXT    name of the run in the report\n"
	    "  --out FILE      append the report as JSON lines\n"
	    "  --not-run FILE  append keys answered not-run on every attempt\n"
	    "  --quiet         print no table\n",
	    out);
}

static bool
parse_text_option(struct load_run *run, int opt)
{
	switch (opt) {
	case 'p':
		run->plan_path = optarg;
		return (true);
	case 'l':
		run->report.label = optarg;
		return (true);
	case 'o':
		run->out_path = optarg;
		return (true);
	case 'k':
		run->not_run_path = optarg;
		return (true);
	case 'i':
		run->id_prefix = optarg;
		return (true);
	case 'd':
		run->direct = true;
		return (true);
	case 'q':
		run->quiet = true;
		return (true);
	default:
		return (false);
	}
}

static bool
parse_number_option(struct load_run *run, int opt)
{
	switch (opt) {
	case 'r':
		run->rate = strtod(optarg, NULL);
		return (true);
	case 's':
		run->seconds = strtod(optarg, NULL);
		return (true);
	case 'c':
		run->closed = strtol(optarg, NULL, 10);
		return (true);
	case 'm':
		run->pool.max_conns = (int)strtol(optarg, NULL, 10);
		return (true);
	case 't':
		run->max_tries = (int)strtol(optarg, NULL, 10);
		return (true);
	case 'n':
		run->max_calls = strtoull(optarg, NULL, 10);
		return (true);
	case 'e':
		run->seed = strtoull(optarg, NULL, 10);
		return (true);
	default:
		return (false);
	}
}

static bool
parse_options(struct load_run *run, int argc, char **argv)
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
		if (!parse_text_option(run, opt) &&
		    !parse_number_option(run, opt))
			return (false);
	}
	return (run->plan_path != NULL &&
	    (run->rate > 0) != (run->closed > 0) && run->seconds > 0 &&
	    run->pool.max_conns > 0);
}

static bool
write_report(struct load_run *run)
{
	FILE *out;

	run->report.mode = run->direct ? "direct" : "entry";
	if (!run->quiet)
		load_report_table(&run->report, stdout);
	if (run->out_path == NULL)
		return (true);
	out = fopen(run->out_path, "a");
	if (out == NULL)
		return (false);
	load_report_lines(&run->report, out);
	return (fclose(out) == 0);
}

int
main(int argc, char **argv)
{
	static struct load_run run = {.seconds = 10,
	    .pool.max_conns = 250,
	    .max_tries = 5,
	    .max_calls = 5000000,
	    .seed = 1,
	    .report.label = "run"};
	struct bbuf problem;
	struct rlimit limit;
	static char default_ids[24];

	/* The process id makes the keys of different runs distinct. */
	snprintf(default_ids, sizeof(default_ids), "%d", (int)getpid());
	run.id_prefix = default_ids;
	if (!parse_options(&run, argc, argv)) {
		usage(stderr);
		return (2);
	}
	bbuf_init(&problem);
	if (!load_plan_load(&run.plan, run.plan_path, &problem)) {
		fprintf(stderr, "callers: %s", problem.p);
		return (2);
	}
	bbuf_finish(&problem);
	if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
		limit.rlim_cur = limit.rlim_max;
		setrlimit(RLIMIT_NOFILE, &limit);
	}
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	if (run.not_run_path != NULL)
		run.not_run_file = fopen(run.not_run_path, "a");
	if (!evloop_init(&run.loop))
		return (1);
	run_load(&run);
	if (run.not_run_file != NULL)
		fclose(run.not_run_file);
	return (write_report(&run) ? 0 : 1);
}
