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

bool
worker_service_has_retry(struct call *c, int64_t now_us)
{
	return (retry_budget_has(current_budget(c), now_us));
}

bool
worker_service_take_retry(struct call *c, int64_t now_us)
{
	return (retry_budget_take(current_budget(c), now_us));
}

void
worker_service_record_time(struct worker_service *s, int64_t us, int32_t pace)
{
	int64_t sample = pace > 0 ? us * USUAL_PACE_PERCENT / pace : us;

	if (s->work_us == 0)
		s->work_us = sample;
	s->work_us += (sample - s->work_us) / WORK_AVERAGE_DIVISOR;
}

bool
worker_service_must_wait(const struct worker_service *s)
{
	return (!s->waking && s->n_waiting != 0);
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

void
worker_service_leave(struct call *c)
{
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

void
worker_service_wake(struct worker_service *s)
{
	if (s->waking)
		return;
	s->waking = true;
	while (s->n_waiting != 0 && try_first(s))
		continue;
	s->waking = false;
}

void
worker_service_on_timer(struct call *c, int64_t now_us)
{
	if (now_us >= c->deadline_us || now_us >= c->wait_until_us) {
		worker_service_leave(c);
		upstream_side_end(c,
		    now_us >= c->deadline_us ? ERR_DEADLINE : ERR_OVERLOADED);
		return;
	}
	set_timer(c, now_us);
	worker_service_wake(c->service_state);
}
