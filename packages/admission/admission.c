#include "admission/admission.h"

#include <math.h>
#include <stdlib.h>

/*
 * Half-life of the figures that decisions are based on: several goals of
 * urgent calls, and short beside the time after which callers give up.
 */
#define HALF_LIFE_US 2000000.0
/* A priority counts as present for this long after its last arrival. */
#define PRESENT_US 5000000
/*
 * A call waits if it expects room within this part of its slack. The time until
 * room varies by its own mean, so that fewer would rely on luck.
 */
#define SLACK_SHARE 2
/* A caller is told early, by this part of its goal, that there is no room. */
#define EARLY_SHARE 8
/*
 * Work times are the 0.9 quantile: one start in ten would miss its goal if it
 * were made at the latest time.
 */
#define WORK_QUANTILE 0.9
/* One sample moves the quantile by at most this part. */
#define WORK_STEP 0.05
/* Shortest and longest time that a caller is asked to stay away. */
#define MIN_RETRY_US 100000
#define MAX_RETRY_US 2000000
/*
 * Less urgent calls leave more slots free while more than half of the upstreams
 * asked work above their saturation share: then the most urgent calls need more
 * than the last slots. The share rises faster than it falls, since an urgent
 * call that finds no room loses more than a less urgent one that waits.
 */
#define HOLD_ABOVE 0.5
#define HOLD_BELOW 0.25
#define HOLD_UP 0.05
#define HOLD_DOWN 0.01
#define HOLD_MAX 0.8
/*
 * The least urgent calls are served at least a quarter as often as all; below
 * this share they no longer leave room. It is above a quarter, since the
 * figures of one VM are uncertain.
 */
#define STARVED_SHARE 0.3
/* Fewer calls say nothing about the share that is served. */
#define STARVED_MIN_CALLS 4
/* A workspace has too many places when it has half of at least this many. */
#define SHARE_MIN_WAITING 8

static uint32_t
class_of(const struct adm_call *c)
{
	return (
	    c->priority < ADM_PRIORITIES ? c->priority : ADM_PRIORITIES - 1);
}

/* Whether @x is served before @y, which is in the same queue. */
static bool
ranks_before(const struct adm_call *x, const struct adm_call *y)
{
	if (x->over_share != y->over_share)
		return (y->over_share);
	if (x->returned != y->returned)
		return (x->returned);
	if (x->latest_us != y->latest_us)
		return (x->latest_us < y->latest_us);
	return (x->sequence < y->sequence);
}

static bool
before(const struct adm_heap *h, const struct adm_call *x,
    const struct adm_call *y)
{
	return (h->by_due ? x->due_us < y->due_us : ranks_before(x, y));
}

static void
place(struct adm_heap *h, uint32_t i, struct adm_call *c)
{
	h->at[i] = c;
	*(h->by_due ? &c->due_position : &c->position) = i + 1;
}

/* Moves the call at @i to its place, upwards or downwards. */
static void
sift(struct adm_heap *h, uint32_t i)
{
	struct adm_call *c = h->at[i];

	while (i > 0 && before(h, c, h->at[(i - 1) / 2])) {
		place(h, i, h->at[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
	for (uint32_t k = 2 * i + 1; k < h->n; k = 2 * i + 1) {
		if (k + 1 < h->n && before(h, h->at[k + 1], h->at[k]))
			k++;
		if (!before(h, h->at[k], c))
			break;
		place(h, i, h->at[k]);
		i = k;
	}
	place(h, i, c);
}

static void
heap_add(struct adm_heap *h, struct adm_call *c)
{
	if (h->n == h->room) {
		h->room = h->room == 0 ? 16 : 2 * h->room;
		h->at = realloc(h->at, h->room * sizeof(struct adm_call *));
		if (h->at == NULL)
			abort();
	}
	h->at[h->n++] = c;
	sift(h, h->n - 1);
}

static void
heap_remove(struct adm_heap *h, struct adm_call *c)
{
	uint32_t *position = h->by_due ? &c->due_position : &c->position;
	uint32_t i = *position - 1;

	*position = 0;
	h->n--;
	if (i == h->n)
		return;
	h->at[i] = h->at[h->n];
	sift(h, i);
}

void
adm_init(struct admission *a, const struct adm_desc *desc)
{
	*a = (struct admission){.max_waiting = desc->max_waiting,
	    .figures = desc->figures,
	    .due = {.by_due = true}};
	if (a->max_waiting == 0)
		a->max_waiting = ADM_MAX_WAITING;
	rng_init(&a->rng, desc->seed);
}

void
adm_finish(struct admission *a)
{
	for (uint32_t p = 0; p < ADM_PRIORITIES; p++) {
		free(a->queue[0][p].at);
		free(a->queue[1][p].at);
	}
	free(a->due.at);
}

uint32_t
adm_waiting(const struct admission *a)
{
	return (a->due.n);
}

/* Brings the decaying figures up to date. */
static void
update(struct admission *a, int64_t now_us)
{
	int64_t us = now_us - a->updated_us;
	double keep;

	if (us <= 0)
		return;
	keep = exp2(-(double)us / HALF_LIFE_US);
	a->updated_us = now_us;
	for (uint32_t p = 0; p < ADM_PRIORITIES; p++) {
		struct adm_class *k = &a->class[p];

		k->arrived *= keep;
		k->started *= keep;
		k->busy_starts *= keep;
		k->busy_us *= keep;
		if (k->n_waiting != 0)
			k->busy_us += (double)us;
	}
}

/*
 * Expected time until a call of @p gets an upstream behind @ahead others of its
 * priority and all that are more urgent. Without figures, one start in each
 * attempt is expected.
 */
static double
expected_us(const struct admission *a, uint32_t p, uint32_t ahead)
{
	const struct adm_class *k = &a->class[p];

	for (uint32_t q = 0; q < p; q++)
		ahead += a->class[q].n_waiting;
	return (
	    (k->busy_us + ADM_ATTEMPT_US) / (k->busy_starts + 1) * (ahead + 1));
}

static struct adm_decision
reject(struct admission *a, const struct adm_call *c, enum adm_reason reason)
{
	uint32_t p = class_of(c);
	double us = expected_us(a, p, a->class[p].n_waiting);

	if (us < MIN_RETRY_US)
		us = MIN_RETRY_US;
	if (us > MAX_RETRY_US)
		us = MAX_RETRY_US;
	if (a->figures != NULL)
		a->figures[p].rejected[reason]++;
	return ((struct adm_decision){.verdict = ADM_REJECT,
	    .reason = reason,
	    .retry_after_us = (int64_t)(us * (1 + rng_unit(&a->rng)))});
}

static struct adm_heap *
queue_of(struct admission *a, const struct adm_call *c)
{
	return (&a->queue[c->late][class_of(c)]);
}

/* Sets the latest start and the time of the next decision. */
static void
set_times(struct adm_call *c, int64_t now_us)
{
	int64_t goal_us = c->goal_us != 0 ? c->goal_us : c->deadline_us;
	int64_t early_us =
	    c->arrived_us + (goal_us - c->arrived_us) / EARLY_SHARE;

	c->late = now_us >= goal_us - c->work_us;
	c->latest_us = (c->late ? c->deadline_us : goal_us) - c->work_us;
	c->due_us = c->latest_us;
	if (!c->checked && early_us < c->due_us)
		c->due_us = early_us;
}

static void
enqueue(struct admission *a, struct adm_call *c, int64_t now_us)
{
	uint32_t *share = &a->shares[c->share % ADM_SHARES];

	if (c->sequence == 0) {
		c->sequence = ++a->sequence;
		c->over_share = c->share != 0 &&
		    a->due.n >= SHARE_MIN_WAITING && *share * 2 >= a->due.n;
	}
	update(a, now_us);
	set_times(c, now_us);
	(*share)++;
	a->class[class_of(c)].n_waiting++;
	heap_add(queue_of(a, c), c);
	heap_add(&a->due, c);
}

static void
dequeue(struct admission *a, struct adm_call *c, int64_t now_us)
{
	update(a, now_us);
	heap_remove(queue_of(a, c), c);
	heap_remove(&a->due, c);
	a->shares[c->share % ADM_SHARES]--;
	a->class[class_of(c)].n_waiting--;
}

static void
end_attempt(struct admission *a, struct adm_call *c)
{
	if (c->attempting)
		a->attempting = false;
	c->attempting = false;
}

void
adm_leave(struct admission *a, struct adm_call *c, int64_t now_us)
{
	end_attempt(a, c);
	if (c->position != 0)
		dequeue(a, c, now_us);
}

/* Whether calls of @p are served so seldom that they must not give way. */
static bool
is_starved(const struct admission *a, uint32_t p)
{
	double arrived = 0, started = 0;

	for (uint32_t q = 0; q < ADM_PRIORITIES; q++) {
		arrived += a->class[q].arrived;
		started += a->class[q].started;
	}
	return (a->class[p].arrived >= STARVED_MIN_CALLS &&
	    a->class[p].started * arrived <
		STARVED_SHARE * started * a->class[p].arrived);
}

static bool
is_present(const struct admission *a, uint32_t p, int64_t now_us)
{
	return (a->class[p].last_us != 0 &&
	    now_us - a->class[p].last_us < PRESENT_US);
}

bool
adm_is_most_urgent(const struct admission *a, uint32_t priority, int64_t now_us)
{
	for (uint32_t p = 0; p < ADM_PRIORITIES && p < priority; p++) {
		if (is_present(a, p, now_us))
			return (false);
	}
	return (true);
}

/* Whether a less urgent priority than @p shares the service. */
static bool
has_less_urgent(const struct admission *a, uint32_t p, int64_t now_us)
{
	for (uint32_t q = p + 1; q < ADM_PRIORITIES; q++) {
		if (is_present(a, q, now_us))
			return (true);
	}
	return (false);
}

/* Whether @c may take the last slots of an upstream. */
static bool
may_use_all(const struct admission *a, const struct adm_call *c, int64_t now_us)
{
	return (!c->late && adm_is_most_urgent(a, class_of(c), now_us) &&
	    has_less_urgent(a, class_of(c), now_us));
}

struct adm_terms
adm_terms(
    struct admission *a, struct adm_call *c, uint32_t slots, int64_t now_us)
{
	struct adm_terms t = {.use_all_slots = may_use_all(a, c, now_us)};

	c->all_slots = t.use_all_slots;
	if (!adm_is_most_urgent(a, class_of(c), now_us) &&
	    !is_starved(a, class_of(c)))
		/* Rounded at random, since upstreams have few slots. */
		t.keep_slots = (uint32_t)(a->hold * slots + rng_unit(&a->rng));
	return (t);
}

void
adm_on_load(struct admission *a, const struct adm_load *l)
{
	if (l->asked == 0)
		return;
	a->load = *l;
	if (l->above_share > HOLD_ABOVE * l->asked)
		a->hold += HOLD_UP;
	else if (l->above_share < HOLD_BELOW * l->asked)
		a->hold -= HOLD_DOWN;
	a->hold = a->hold > HOLD_MAX ? HOLD_MAX : a->hold < 0 ? 0 : a->hold;
}

void
adm_on_room(struct admission *a)
{
	a->full_us[0] = 0;
	a->full_us[1] = 0;
}

/* Whether an attempt under at least the terms of @c has just found no room. */
static bool
is_known_full(
    const struct admission *a, const struct adm_call *c, int64_t now_us)
{
	int64_t full_us = a->full_us[may_use_all(a, c, now_us)];

	return (full_us != 0 && now_us - full_us < ADM_ATTEMPT_US);
}

/* Whether a waiting call goes before a new call of @p that is on time. */
static bool
has_waiting_before(const struct admission *a, uint32_t p)
{
	for (uint32_t q = 0; q <= p; q++) {
		if (a->queue[0][q].n != 0)
			return (true);
	}
	return (false);
}

/* Whether room can be expected in a part, 1 / @share, of the slack of @c. */
static bool
expects_room(const struct admission *a, const struct adm_call *c, int share,
    int64_t now_us)
{
	uint32_t p = class_of(c);
	double us = expected_us(a, p, a->queue[0][p].n);
	int64_t goal_us = c->goal_us != 0 ? c->goal_us : c->deadline_us;
	int64_t slack_us = goal_us - c->work_us - now_us;

	if (us * share <= (double)slack_us)
		return (true);
	/* Late is better than never, but only where nobody else waits. */
	slack_us = c->deadline_us - c->work_us - now_us;
	return (a->due.n == 0 && us * share <= (double)slack_us);
}

/* Takes the place of a call that goes after @c; it is rejected next. */
static bool
displace(struct admission *a, const struct adm_call *c, int64_t now_us)
{
	for (int late = 1; late >= 0; late--) {
		for (uint32_t p = ADM_PRIORITIES; p-- > 0;) {
			struct adm_heap *h = &a->queue[late][p];
			struct adm_call *last;

			if (late == 0 && p <= class_of(c))
				return (false);
			if (h->n == 0 || h->at[h->n - 1]->displaced)
				continue;
			last = h->at[h->n - 1];
			heap_remove(&a->due, last);
			last->displaced = true;
			last->due_us = now_us;
			heap_add(&a->due, last);
			return (true);
		}
	}
	return (false);
}

static struct adm_decision
wait(struct admission *a, struct adm_call *c, int64_t now_us)
{
	enqueue(a, c, now_us);
	return ((struct adm_decision){
	    .verdict = ADM_WAIT, .until_us = c->latest_us});
}

/* Queues a call that is new to the queue, or rejects it. */
static struct adm_decision
admit(struct admission *a, struct adm_call *c, int64_t now_us)
{
	if (!expects_room(a, c, SLACK_SHARE, now_us))
		return (reject(a, c, ADM_NO_ROOM));
	if (a->due.n >= a->max_waiting && !displace(a, c, now_us))
		return (reject(a, c, ADM_DISPLACED));
	return (wait(a, c, now_us));
}

static void
count_arrival(struct admission *a, struct adm_call *c, int64_t now_us)
{
	struct adm_class *k = &a->class[class_of(c)];

	c->arrived = true;
	c->work_us = a->work_us[c->route % ADM_ROUTES];
	k->last_us = now_us;
	k->arrived++;
}

struct adm_decision
adm_on_arrival(struct admission *a, struct adm_call *c, int64_t now_us)
{
	update(a, now_us);
	if (!c->arrived)
		count_arrival(a, c, now_us);
	if (now_us > c->deadline_us - c->work_us)
		return (reject(a, c, ADM_TOO_LATE));
	if (!has_waiting_before(a, class_of(c)) && !is_known_full(a, c, now_us))
		return ((struct adm_decision){.verdict = ADM_START});
	/* A call that an upstream refused was admitted before. */
	return (c->started ? wait(a, c, now_us) : admit(a, c, now_us));
}

struct adm_decision
adm_on_full(struct admission *a, struct adm_call *c, int64_t now_us)
{
	update(a, now_us);
	end_attempt(a, c);
	a->full_us[0] = now_us;
	if (c->all_slots)
		a->full_us[1] = now_us;
	if (now_us > c->deadline_us - c->work_us)
		return (reject(a, c, ADM_TOO_LATE));
	if (c->sequence == 0 && !c->started)
		return (admit(a, c, now_us));
	return (wait(a, c, now_us));
}

static void
count_start(struct admission *a, struct adm_call *c, int64_t now_us)
{
	uint32_t p = class_of(c);

	c->started = true;
	a->class[p].started++;
	for (uint32_t q = 0; q <= p; q++) {
		if (a->class[q].n_waiting != 0 || (q == p && c->sequence != 0))
			a->class[q].busy_starts++;
	}
	if (a->figures == NULL)
		return;
	a->figures[p].started++;
	hist_add(&a->figures[p].waits, (uint64_t)(now_us - c->arrived_us));
}

void
adm_on_start(struct admission *a, struct adm_call *c, int64_t now_us)
{
	update(a, now_us);
	end_attempt(a, c);
	adm_on_room(a);
	if (!c->started)
		count_start(a, c, now_us);
}

void
adm_on_work(struct admission *a, uint32_t route, int64_t us)
{
	int64_t *q = &a->work_us[route % ADM_ROUTES];
	double step = (double)*q * WORK_STEP;

	if (*q == 0)
		*q = us;
	else if (us > *q)
		*q += (int64_t)(step * WORK_QUANTILE);
	else
		*q -= (int64_t)(step * (1 - WORK_QUANTILE));
}

/* The first call in the order of service, NULL when none waits. */
static struct adm_call *
first(struct admission *a)
{
	for (int late = 0; late < 2; late++) {
		for (uint32_t p = 0; p < ADM_PRIORITIES; p++) {
			if (a->queue[late][p].n != 0)
				return (a->queue[late][p].at[0]);
		}
	}
	return (NULL);
}

/*
 * The call that may make an attempt now: the first, or one of less urgent calls
 * that are starved; NULL when there was no room a short time ago.
 */
static struct adm_call *
next(struct admission *a, int64_t now_us)
{
	struct adm_call *c;

	for (uint32_t p = ADM_PRIORITIES; p-- > 1;) {
		c = a->queue[0][p].n == 0 ? NULL : a->queue[0][p].at[0];
		if (c != NULL && is_starved(a, p) &&
		    !is_known_full(a, c, now_us))
			return (c);
	}
	c = first(a);
	return (c == NULL || is_known_full(a, c, now_us) ? NULL : c);
}

struct adm_call *
adm_take_next(struct admission *a, int64_t now_us)
{
	struct adm_call *c;

	if (a->attempting)
		return (NULL);
	update(a, now_us);
	c = next(a, now_us);
	if (c == NULL)
		return (NULL);
	dequeue(a, c, now_us);
	a->attempting = true;
	c->attempting = true;
	return (c);
}

/* Whether a call that has missed its goal may wait for what nobody wants. */
static bool
may_wait_late(const struct admission *a)
{
	for (uint32_t p = 0; p < ADM_PRIORITIES; p++) {
		if (a->queue[0][p].n != 0)
			return (false);
	}
	return (true);
}

struct adm_call *
adm_take_expired(struct admission *a, int64_t now_us, struct adm_decision *d)
{
	while (a->due.n != 0 && a->due.at[0]->due_us <= now_us) {
		struct adm_call *c = a->due.at[0];
		bool was_late = c->late;

		dequeue(a, c, now_us);
		if (c->displaced) {
			*d = reject(a, c, ADM_DISPLACED);
			return (c);
		}
		if (now_us >= c->deadline_us - c->work_us) {
			*d = reject(a, c, ADM_TOO_LATE);
			return (c);
		}
		c->checked = true;
		set_times(c, now_us);
		if (c->late ? !was_late && !may_wait_late(a)
			    : !expects_room(a, c, 1, now_us)) {
			*d = reject(a, c, ADM_NO_ROOM);
			return (c);
		}
		enqueue(a, c, now_us);
	}
	return (NULL);
}

int64_t
adm_next_us(struct admission *a, int64_t now_us)
{
	int64_t at = a->due.n == 0 ? INT64_MAX : a->due.at[0]->due_us;
	int64_t full_us;

	if (a->due.n == 0 || a->attempting)
		return (at);
	if (next(a, now_us) != NULL)
		return (now_us);
	full_us = a->full_us[may_use_all(a, first(a), now_us)];
	return (full_us + ADM_ATTEMPT_US < at ? full_us + ADM_ATTEMPT_US : at);
}

struct adm_call *
adm_first_due(const struct admission *a)
{
	return (a->due.n == 0 ? NULL : a->due.at[0]);
}
