#include "admission/admission.h"

#include <math.h>
#include <stdlib.h>

#include "admission/call_heap.h"

/*
 * Half-life of the figures that decisions are based on: several goals of
 * urgent calls, and short beside the time after which callers give up.
 */
#define HALF_LIFE_US 2000000.0
/* A priority counts as present for this long after its last arrival. */
#define PRESENT_US 5000000
/*
 * A priority with a smaller share of the calls does not count as present: slots
 * kept for a few rare calls would cost all others more than the rare calls gain
 * beyond their place in the queue.
 */
#define PRESENT_SHARE 0.05
/*
 * A call waits if the expected wait is at most its slack divided by this. The
 * load changes while it waits, and waits vary by about their own mean, so that
 * a longer one often ends without a slot; an early rejection is better then.
 * Callers that returned on time may wait longer. The most urgent calls may use
 * their whole slack: a rejection costs their goal for certain, and no others
 * can delay them.
 */
#define SLACK_DIVISOR 8
#define SLACK_DIVISOR_RETURNED 6
#define SLACK_DIVISOR_URGENT 1
/*
 * The decision on a waiting call is made again after this part of its goal, so
 * that a rejection is sent within an eighth of the goal even if an attempt is
 * in progress then.
 */
#define RECHECK_GOAL_DIVISOR 9
/*
 * The goal is planned with the usual work, as half of the calls that start at
 * the latest time still meet it and the others are only late. Beyond the
 * deadline an answer is worth nothing, so that it is planned with the time that
 * nine in ten calls keep.
 */
#define WORK_USUAL 0.5
#define WORK_LONG 0.9
/* One sample moves a quantile by at most this part. */
#define WORK_STEP 0.05
/* Longest time that a caller is asked to stay away. */
#define MAX_RETRY_US 2000000
/*
 * The last slots are open to the most urgent calls while fewer than this share
 * of the upstreams asked work above their saturation share. Each call in the
 * last slots takes longer, which is a good trade while most of the work is less
 * urgent, so that the share decreases with the part of the work that is most
 * urgent. Less urgent calls leave as many slots free as it takes to keep the
 * last ones of only a part of that share in use, so that a burst of urgent
 * calls finds the others free.
 */
#define LAST_SLOTS_SHARE 0.9
#define HOLD_TARGET_DIVISOR 6
/* Gain of the control loop of the slots that less urgent calls leave free. */
#define HOLD_GAIN 0.1
#define HOLD_MAX 0.8
/*
 * Kept free also while there is room for all, about half a slot of an upstream
 * with four: in a burst of less urgent calls, all slots are taken before the
 * reports show it, and they stay so for the time of one such call.
 */
#define HOLD_MIN 0.15
/* One choice asks about four upstreams; a few of them make an estimate. */
#define LOAD_WEIGHT 0.25
/*
 * The least urgent calls are served at least a quarter as often as all; below
 * this share they no longer leave room. It is above a quarter, since the
 * figures of one VM are uncertain.
 */
#define STARVED_SHARE 0.25
/* Fewer calls say nothing about the share that is served. */
#define STARVED_MIN_CALLS 4
/* A workspace has too many places when it has half of at least this many. */
#define SHARE_MIN_WAITING 8

const char *
adm_reason_name(enum adm_reason reason)
{
	static const char *const names[ADM_REASONS] = {
	    [ADM_NO_REASON] = "none",
	    [ADM_TOO_LATE] = "too-late",
	    [ADM_NO_ROOM] = "no-room",
	    [ADM_DISPLACED] = "displaced",
	};

	return (names[reason]);
}

static uint32_t
class_of(const struct adm_call *c)
{
	return (
	    c->priority < ADM_PRIORITIES ? c->priority : ADM_PRIORITIES - 1);
}

void
adm_init(struct admission *a, const struct adm_desc *desc)
{
	*a = (struct admission){.max_waiting = desc->max_waiting,
	    .figures = desc->figures,
	    .hold = HOLD_MIN,
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

static void
decay(struct adm_class *k, double keep, bool waiting, int64_t us)
{
	k->started *= keep;
	k->rejected *= keep;
	k->work_us *= keep;
	k->busy_starts *= keep;
	k->busy_us *= keep;
	if (waiting)
		k->busy_us += (double)us;
}

/* Brings the decaying figures up to date. */
static void
decay_class(struct admission *a, uint32_t p, double keep, int64_t us)
{
	struct adm_class *k = &a->class[p];

	decay(k, keep, k->n_waiting != 0, us);
}

static void
update(struct admission *a, int64_t now_us)
{
	int64_t us = now_us - a->updated_us;
	double keep;

	if (us <= 0)
		return;
	keep = exp2(-(double)us / HALF_LIFE_US);
	a->updated_us = now_us;
	for (uint32_t p = 0; p < ADM_PRIORITIES; p++)
		decay_class(a, p, keep, us);
	/* While others wait, there is no room for calls that are late. */
	decay(&a->late, keep, a->due.n != 0, us);
}

/*
 * Expected time until a call gets an upstream behind @ahead others, by the
 * starts while calls like it waited. Without figures, one start in each attempt
 * is expected.
 */
static double
expected_us(const struct adm_class *k, uint32_t ahead)
{
	return (
	    (k->busy_us + ADM_ATTEMPT_US) / (k->busy_starts + 1) * (ahead + 1));
}

/*
 * The same for a call of @p that can meet its goal, behind all others, or if it
 * was @checked, behind those that came before it.
 */
static double
expected_of_us(const struct admission *a, uint32_t p, bool checked)
{
	const struct adm_class *k = &a->class[p];
	uint32_t ahead = checked ? k->n_checked : k->n_waiting;

	for (uint32_t q = 0; q < p; q++)
		ahead += a->class[q].n_waiting;
	return (expected_us(k, ahead));
}

static struct adm_decision
reject(struct admission *a, const struct adm_call *c, enum adm_reason reason)
{
	uint32_t p = class_of(c);
	double us = expected_of_us(a, p, false);

	if (us < ADM_MIN_RETRY_US)
		us = ADM_MIN_RETRY_US;
	if (us > MAX_RETRY_US)
		us = MAX_RETRY_US;
	/* A caller that comes back counts once. */
	a->class[p].rejected += !c->returned;
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

/* The goal, or the deadline if that is earlier or there is no goal. */
static int64_t
goal_of(const struct adm_call *c)
{
	return (c->goal_us != 0 && c->goal_us < c->deadline_us
		? c->goal_us
		: c->deadline_us);
}

/* Sets the latest start and the time of the next decision. */
static void
set_times(struct adm_call *c, int64_t now_us)
{
	int64_t last_us = c->deadline_us - c->long_us;
	int64_t early_us =
	    c->arrived_us + (goal_of(c) - c->arrived_us) / RECHECK_GOAL_DIVISOR;

	c->latest_us = goal_of(c) - c->work_us;
	c->late = now_us >= c->latest_us;
	c->rank_us = c->late  ? last_us
	    : c->goal_us != 0 ? c->goal_us - c->work_us
			      : c->latest_us;
	if (c->late || last_us < c->latest_us)
		c->latest_us = last_us;
	c->due_us = c->latest_us;
	if (!c->checked && early_us < c->due_us)
		c->due_us = early_us;
}

static void
enqueue(struct admission *a, struct adm_call *c, int64_t now_us)
{
	uint32_t *share = &a->shares[c->share % ADM_SHARES];
	struct adm_class *class;

	if (c->sequence == 0) {
		c->sequence = ++a->sequence;
		c->over_share = c->share != 0 &&
		    a->due.n >= SHARE_MIN_WAITING && *share * 2 >= a->due.n;
	}
	update(a, now_us);
	set_times(c, now_us);
	(*share)++;
	class = c->late ? &a->late : &a->class[class_of(c)];
	class->n_waiting++;
	class->n_checked += c->checked;
	adm_heap_add(queue_of(a, c), c);
	adm_heap_add(&a->due, c);
}

static void
dequeue(struct admission *a, struct adm_call *c, int64_t now_us)
{
	struct adm_class *class = c->late ? &a->late : &a->class[class_of(c)];

	update(a, now_us);
	adm_heap_remove(queue_of(a, c), c);
	adm_heap_remove(&a->due, c);
	a->shares[c->share % ADM_SHARES]--;
	class->n_waiting--;
	class->n_checked -= c->checked;
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
	const struct adm_class *k = &a->class[p];
	double started = 0, rejected = 0;

	if (k->started + k->rejected < STARVED_MIN_CALLS)
		return (false);
	for (uint32_t q = 0; q < ADM_PRIORITIES; q++) {
		started += a->class[q].started;
		rejected += a->class[q].rejected;
	}
	return (k->started * (started + rejected) <
	    STARVED_SHARE * started * (k->started + k->rejected));
}

/* Calls of a priority that were decided on, halved every HALF_LIFE_US. */
static double
decided(const struct adm_class *k)
{
	return (k->started + k->rejected);
}

static bool
is_present(const struct admission *a, uint32_t p, int64_t now_us)
{
	double all = 0;

	if (a->class[p].last_us == 0 ||
	    now_us - a->class[p].last_us >= PRESENT_US)
		return (false);
	for (uint32_t q = 0; q < ADM_PRIORITIES; q++)
		all += decided(&a->class[q]);
	return (decided(&a->class[p]) >= PRESENT_SHARE * all);
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

/* Share of the upstreams of which the last slots may be in use. */
static double
last_slots_share(const struct admission *a)
{
	double all = 0, urgent = 0;

	for (uint32_t p = ADM_PRIORITIES; p-- > 0;) {
		all += a->class[p].work_us;
		if (a->class[p].work_us > 0)
			urgent = a->class[p].work_us;
	}
	return (all == 0 ? LAST_SLOTS_SHARE
			 : LAST_SLOTS_SHARE * (1 - urgent / all));
}

/* Whether @c may take the last slots of an upstream. */
static bool
may_use_all(const struct admission *a, const struct adm_call *c, int64_t now_us)
{
	return (!c->late && c->sequence != 0 &&
	    a->above_share < last_slots_share(a) &&
	    adm_is_most_urgent(a, class_of(c), now_us) &&
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
	double above;

	if (l->asked == 0)
		return;
	a->load = *l;
	above = (double)l->above_share / l->asked;
	a->above_share += LOAD_WEIGHT * (above - a->above_share);
	a->hold +=
	    HOLD_GAIN * (above - last_slots_share(a) / HOLD_TARGET_DIVISOR);
	a->hold = a->hold > HOLD_MAX ? HOLD_MAX
	    : a->hold < HOLD_MIN     ? HOLD_MIN
				     : a->hold;
}

void
adm_on_slot_freed(struct admission *a)
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

	return (full_us != 0 && now_us - full_us < a->interval_us);
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

/*
 * Whether room can be expected in a part of the slack of @c. A call that can
 * only be late waits for what the others leave.
 */
static bool
expects_room(
    const struct admission *a, const struct adm_call *c, int64_t now_us)
{
	bool urgent = adm_is_most_urgent(a, class_of(c), now_us);
	double share = urgent ? SLACK_DIVISOR_URGENT
	    : c->returned     ? SLACK_DIVISOR_RETURNED
			      : SLACK_DIVISOR;
	double us = expected_of_us(a, class_of(c), c->checked) * share;
	int64_t latest_us = goal_of(c) - c->work_us;

	if (latest_us > c->deadline_us - c->long_us)
		latest_us = c->deadline_us - c->long_us;
	if (now_us < latest_us)
		return (us <= (double)(latest_us - now_us));
	us = expected_us(&a->late, a->late.n_waiting) * share;
	return (us <= (double)(c->deadline_us - c->long_us - now_us));
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
			adm_heap_remove(&a->due, last);
			last->displaced = true;
			last->due_us = now_us;
			adm_heap_add(&a->due, last);
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
	if (!expects_room(a, c, now_us))
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
	c->work_us = a->work[c->route % ADM_ROUTES][0];
	c->long_us = a->work[c->route % ADM_ROUTES][1];
	k->last_us = now_us;
}

struct adm_decision
adm_on_arrival(struct admission *a, struct adm_call *c, int64_t now_us)
{
	update(a, now_us);
	if (!c->arrived)
		count_arrival(a, c, now_us);
	if (now_us > c->deadline_us - c->long_us)
		return (reject(a, c, ADM_TOO_LATE));
	if (!has_waiting_before(a, class_of(c)) && !is_known_full(a, c, now_us))
		return ((struct adm_decision){.verdict = ADM_START});
	/* A call that an upstream refused was admitted before. */
	return (c->started ? wait(a, c, now_us) : admit(a, c, now_us));
}

/* The next attempt is made while a quarter of the slack of @c is over. */
static void
set_interval(struct admission *a, const struct adm_call *c, int64_t now_us)
{
	int64_t max_us = (c->latest_us - now_us) / 4;

	a->interval_us *= a->full_us[0] != 0 ? 2 : 0;
	if (max_us > ADM_ATTEMPT_MAX_US)
		max_us = ADM_ATTEMPT_MAX_US;
	if (a->interval_us > max_us)
		a->interval_us = max_us;
	if (a->interval_us < ADM_ATTEMPT_US)
		a->interval_us = ADM_ATTEMPT_US;
}

struct adm_decision
adm_on_full(struct admission *a, struct adm_call *c, int64_t now_us)
{
	update(a, now_us);
	end_attempt(a, c);
	set_interval(a, c, now_us);
	a->full_us[0] = now_us;
	if (c->all_slots)
		a->full_us[1] = now_us;
	if (now_us > c->deadline_us - c->long_us)
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
	a->class[p].work_us += (double)c->work_us;
	for (uint32_t q = 0; q <= p; q++) {
		if (a->class[q].n_waiting != 0 || (q == p && c->sequence != 0))
			a->class[q].busy_starts++;
	}
	a->late.busy_starts += c->late;
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
	if (a->load.room > 1)
		adm_on_slot_freed(a);
	if (!c->started)
		count_start(a, c, now_us);
}

static void
move_quantile(int64_t *q, double quantile, int64_t us)
{
	double step = (double)*q * WORK_STEP;

	if (*q == 0)
		*q = us;
	else if (us > *q)
		*q += (int64_t)(step * quantile);
	else
		*q -= (int64_t)(step * (1 - quantile));
}

void
adm_on_work(struct admission *a, uint32_t route, int64_t us)
{
	int64_t *work = a->work[route % ADM_ROUTES];

	move_quantile(&work[0], WORK_USUAL, us);
	move_quantile(&work[1], WORK_LONG, us);
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
		if (now_us >= c->deadline_us - c->long_us) {
			*d = reject(a, c, ADM_TOO_LATE);
			return (c);
		}
		c->checked = true;
		set_times(c, now_us);
		if (!was_late && !expects_room(a, c, now_us)) {
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
	full_us += a->interval_us;
	return (full_us < at ? full_us : at);
}

struct adm_call *
adm_first_due(const struct admission *a)
{
	return (a->due.n == 0 ? NULL : a->due.at[0]);
}
