#include "front/worker_service.h"

#include <stdlib.h>

#include "front/upstream_side.h"
#include "front/worker.h"
#include "sys/clocks.h"

#define USUAL_PACE_PERCENT 100
/* A new sample moves the average by the difference divided by this. */
#define WORK_AVERAGE_DIVISOR 16

static void
free_service(void *arg)
{
	struct worker_service *s = arg;

	free((char *)(uintptr_t)s->name.p);
	if (s->freed != NULL)
		rt_stat_unref(s->freed);
	if (s->admission != NULL)
		adm_finish(s->admission);
	free(s->admission);
	free(s);
}

GHashTable *
worker_service_table_new(void)
{
	return (
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service));
}

struct worker_service *
worker_service_get(GHashTable *table, struct bstr name, int64_t now_us)
{
	struct worker_service *s = g_hash_table_lookup(table, name.p);

	if (s != NULL)
		return (s);
	s = calloc(1, sizeof(*s));
	if (s == NULL)
		abort();
	s->name = (struct bstr){bstr_dup(name), name.n};
	retry_budget_init(&s->budget, &(struct retry_budget_desc){0}, now_us);
	CDS_INIT_LIST_HEAD(&s->waiting);
	g_hash_table_insert(table, (char *)(uintptr_t)s->name.p, s);
	return (s);
}

/* The service's retry budget, with this VM's present share of the limit. */
static struct retry_budget *
current_budget(struct call *c)
{
	const struct shared_state *shared = worker_shared_state(c->w);
	struct retry_budget *b = &c->service_state->budget;
	uint32_t burst = atomic_load(&shared->retry_burst);

	if (burst != 0)
		retry_budget_limit(
		    b, atomic_load(&shared->retry_permille), burst);
	return (b);
}

/* The last half of the budget is kept for the most urgent calls. */
static bool
may_use_last_retries(const struct call *c, int64_t now_us)
{
	return (!c->ranked ||
	    adm_is_most_urgent(
		c->service_state->admission, c->priority, now_us));
}

bool
worker_service_has_retry(struct call *c, int64_t now_us)
{
	struct retry_budget *b = current_budget(c);

	return (may_use_last_retries(c, now_us)
		? retry_budget_has(b, now_us)
		: retry_budget_has_spare(b, now_us));
}

bool
worker_service_take_retry(struct call *c, int64_t now_us)
{
	return (worker_service_has_retry(c, now_us) &&
	    retry_budget_take(current_budget(c), now_us));
}

void
worker_service_on_request(struct call *c)
{
	retry_budget_on_request(current_budget(c));
}

void
worker_service_record_time(struct call *c, int64_t us, int32_t pace)
{
	struct worker_service *s = c->service_state;
	int64_t sample = pace > 0 ? us * USUAL_PACE_PERCENT / pace : us;

	if (s->work_us == 0)
		s->work_us = sample;
	s->work_us += (sample - s->work_us) / WORK_AVERAGE_DIVISOR;
	if (c->ranked)
		adm_on_work(s->admission, c->admission.route, sample);
}

bool
worker_service_has_waiting(const struct worker_service *s)
{
	return (s->n_waiting != 0 ||
	    (s->admission != NULL && adm_waiting(s->admission) != 0));
}

bool
worker_service_must_wait(const struct worker_service *s)
{
	return ((!s->waking && s->n_waiting != 0) ||
	    (s->admission != NULL && adm_waiting(s->admission) != 0));
}

/* Sets the one timer of the queue of admission, carried by a waiting call. */
static void
arm(struct worker_service *s, int64_t now_us)
{
	struct adm_call *first = adm_first_due(s->admission);
	struct call *c = first == NULL
	    ? NULL
	    : caa_container_of(first, struct call, admission);

	if (s->timer_call != NULL && s->timer_call != c)
		worker_timer_clear(s->timer_call->w, s->timer_call);
	s->timer_call = c;
	if (c != NULL)
		worker_timer_set(c->w, c, adm_next_us(s->admission, now_us));
}

/* Carries out a decision that the call waits or is rejected. */
static enum err_kind
apply(struct call *c, const struct adm_decision *d, int64_t now_us)
{
	c->may_start = false;
	if (d->verdict == ADM_WAIT) {
		c->wait = CALL_WAIT_SLOT;
		arm(c->service_state, now_us);
		return (ERR_NONE);
	}
	c->rejected = d->reason;
	c->retry_after_us = d->retry_after_us;
	return (ERR_OVERLOADED);
}

/* Creates the admission of the service with its first ranked call. */
static struct admission *
admission_of(struct call *c)
{
	struct worker_service *s = c->service_state;

	if (s->admission != NULL)
		return (s->admission);
	s->admission = calloc(1, sizeof(*s->admission));
	if (s->admission == NULL)
		abort();
	adm_init(s->admission,
	    &(struct adm_desc){.seed = rng_next(worker_rng(c->w)),
		.figures = admission_metrics_get(
		    &worker_shared_state(c->w)->metrics->admission, s->name)});
	return (s->admission);
}

static bool
ranked_may_start(struct call *c, int64_t now_us, enum err_kind *kind)
{
	struct adm_decision d;

	if (c->may_start)
		return (true);
	c->admission.priority = c->priority;
	if (c->workspace[0] != '\0')
		c->admission.share = bstr_hash(bstr_from(c->workspace), 0);
	c->admission.arrived_us = c->start_us;
	c->admission.deadline_us = c->deadline_us;
	c->admission.goal_us = c->goal_us == 0 ? 0 : c->start_us + c->goal_us;
	d = adm_on_arrival(admission_of(c), &c->admission, now_us);
	c->may_start = d.verdict == ADM_START;
	if (!c->may_start)
		*kind = apply(c, &d, now_us);
	return (c->may_start);
}

bool
worker_service_may_start(struct call *c, int64_t now_us, enum err_kind *kind)
{
	if (c->ranked)
		return (ranked_may_start(c, now_us, kind));
	if (!worker_service_must_wait(c->service_state))
		return (true);
	*kind = worker_service_wait(c, now_us);
	return (false);
}

void
worker_service_on_start(struct call *c, int64_t now_us)
{
	if (!c->ranked)
		return;
	c->may_start = false;
	adm_on_start(c->service_state->admission, &c->admission, now_us);
	arm(c->service_state, now_us);
}

static void
set_freed(struct worker_service *s, struct rt_stat *stat)
{
	if (s->freed != NULL)
		rt_stat_unref(s->freed);
	s->freed = stat == NULL ? NULL : rt_stat_ref(stat);
}

void
worker_service_on_end(struct call *c, struct rt_stat *upstream)
{
	if (c->ranked && worker_service_has_waiting(c->service_state))
		set_freed(c->service_state, upstream);
}

/* Whether the choice for @c is limited to the upstream that was freed. */
static bool
uses_freed(const struct call *c)
{
	return (c->admission.attempting && c->service_state->freed != NULL);
}

void
worker_service_on_load(struct call *c, const struct rt_service *s,
    const struct rt_request *req, int64_t now_us)
{
	struct load_choice_room r;

	/* An upstream that was just freed says little about the others. */
	if (uses_freed(c)) {
		set_freed(c->service_state, NULL);
		return;
	}
	load_choice_room(s, req, now_us, &r);
	adm_on_load(c->service_state->admission,
	    &(struct adm_load){r.asked, r.room, r.above_share, r.age_us});
}

void
worker_service_set_terms(struct call *c, uint32_t slots, struct rt_request *req)
{
	const struct adm_call *a = &c->admission;
	int64_t now_us = clk_mono_us();
	struct adm_terms t = adm_terms(
	    c->service_state->admission, &c->admission, slots, now_us);

	req->use_all_slots = t.use_all_slots;
	req->keep_slots = t.keep_slots;
	req->freed = uses_freed(c) ? c->service_state->freed : NULL;
	req->work_us = a->work_us;
	req->include_secondary = a->sequence != 0;
	/* As for other calls: after half of the time for waiting. */
	req->accept_slow = a->sequence != 0 &&
	    now_us >= a->arrived_us + (a->latest_us - a->arrived_us) / 2;
}

static void
set_timer(struct call *c, int64_t now_us)
{
	int64_t at = now_us +
	    (c->goal_us != 0 ? WORKER_SERVICE_PROBE_RETRY_MS
			     : WORKER_SERVICE_RETRY_MS) *
		1000;

	if (at > c->wait_until_us)
		at = c->wait_until_us;
	if (at > c->deadline_us)
		at = c->deadline_us;
	worker_timer_set(c->w, c, at);
}

/* Time for waiting: a part of the latency goal, or a fixed time without one. */
static int64_t
max_wait_us(const struct call *c)
{
	return (c->goal_us != 0 ? c->goal_us / WORKER_SERVICE_GOAL_DIVISOR
				: WORKER_SERVICE_WAIT_MS * 1000);
}

enum err_kind
worker_service_wait(struct call *c, int64_t now_us)
{
	struct worker_service *s = c->service_state;
	struct adm_decision d;

	if (c->ranked) {
		d = adm_on_full(s->admission, &c->admission, now_us);
		return (apply(c, &d, now_us));
	}
	if (c->wait_until_us == 0)
		c->wait_until_us = now_us + max_wait_us(c);
	if (now_us >= c->wait_until_us - max_wait_us(c) / 2)
		c->accept_slow = true;
	if (now_us >= c->wait_until_us ||
	    s->n_waiting >= WORKER_SERVICE_MAX_WAITING)
		return (ERR_OVERLOADED);
	c->wait = CALL_WAIT_SLOT;
	cds_list_add_tail(&c->wait_link, &s->waiting);
	s->n_waiting++;
	set_timer(c, now_us);
	return (ERR_NONE);
}

/* Removes a ranked call from the queue and ends its attempt. */
static void
leave_ranked(struct call *c)
{
	struct worker_service *s = c->service_state;

	if (s->admission == NULL)
		return;
	if (c->wait == CALL_WAIT_SLOT)
		c->wait = CALL_WAIT_NONE;
	c->may_start = false;
	adm_leave(s->admission, &c->admission, clk_mono_us());
	arm(s, clk_mono_us());
}

void
worker_service_leave(struct call *c)
{
	if (c->ranked) {
		leave_ranked(c);
		return;
	}
	if (c->wait != CALL_WAIT_SLOT)
		return;
	c->wait = CALL_WAIT_NONE;
	cds_list_del(&c->wait_link);
	c->service_state->n_waiting--;
	worker_timer_clear(c->w, c);
}

/* Retries the first call of the queue; false when it still finds no slot. */
static bool
try_first(struct worker_service *s)
{
	struct call *c =
	    cds_list_first_entry(&s->waiting, struct call, wait_link);
	enum err_kind kind;

	worker_service_leave(c);
	kind = upstream_side_start(c);
	if (kind != ERR_NONE) {
		upstream_side_end(c, kind);
		return (true);
	}
	if (c->wait != CALL_WAIT_SLOT)
		return (true);
	/* The call was queued again at the end; it goes back to the front. */
	cds_list_move(&c->wait_link, &s->waiting);
	return (false);
}

/* Rejects the calls whose time is over; then the first may make an attempt. */
static void
run_admission(struct worker_service *s, int64_t now_us)
{
	struct adm_decision d;
	struct adm_call *a;
	struct call *c;
	enum err_kind kind;

	while ((a = adm_take_expired(s->admission, now_us, &d)) != NULL) {
		c = caa_container_of(a, struct call, admission);
		c->wait = CALL_WAIT_NONE;
		arm(s, now_us);
		upstream_side_end(c, apply(c, &d, now_us));
	}
	while ((a = adm_take_next(s->admission, now_us)) != NULL) {
		c = caa_container_of(a, struct call, admission);
		c->wait = CALL_WAIT_NONE;
		c->may_start = true;
		arm(s, now_us);
		kind = upstream_side_start(c);
		if (kind != ERR_NONE)
			upstream_side_end(c, kind);
	}
	arm(s, now_us);
}

void
worker_service_wake(struct worker_service *s)
{
	if (s->waking)
		return;
	s->waking = true;
	if (s->admission != NULL && adm_waiting(s->admission) != 0) {
		adm_on_slot_freed(s->admission);
		run_admission(s, clk_mono_us());
	}
	while (s->n_waiting != 0 && try_first(s))
		continue;
	s->waking = false;
}

void
worker_service_on_timer(struct call *c, int64_t now_us)
{
	if (c->ranked) {
		run_admission(c->service_state, now_us);
		return;
	}
	if (now_us >= c->deadline_us || now_us >= c->wait_until_us) {
		worker_service_leave(c);
		upstream_side_end(c,
		    now_us >= c->deadline_us ? ERR_DEADLINE : ERR_OVERLOADED);
		return;
	}
	set_timer(c, now_us);
	worker_service_wake(c->service_state);
}
