/*
 * admission - which calls of a service start, wait or are rejected when there
 * is too little room (prefix adm_).
 *
 * One object for each service and worker. It ranks the calls that wait, says
 * for how long each may wait, and rejects the calls that cost callers least. It
 * knows no network, thread or clock: the time is an argument, and the choice of
 * an upstream tells it what it found. docs/design/admission.md has the reasons.
 *
 *	adm_init(&a, &(struct adm_desc){.seed = seed});
 *	d = adm_on_arrival(&a, &call, now_us);
 *	if (d.verdict == ADM_START) {
 *		(choose an upstream under adm_terms(), with adm_on_load())
 *		if (no upstream has room)
 *			d = adm_on_full(&a, &call, now_us);
 *		else
 *			adm_on_start(&a, &call, now_us);
 *	}
 *	...                                     (at adm_next_us())
 *	while ((call = adm_take_expired(&a, now_us, &d)) != NULL)
 *		(reject it)
 *	call = adm_take_next(&a, now_us);       (as after ADM_START)
 *	adm_on_slot_freed(&a);                        (a request has ended)
 *	adm_leave(&a, &call, now_us);                   (the call has ended)
 *	adm_finish(&a);
 */
#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/histogram.h"
#include "base/random.h"

/* Ranks that are told apart; less urgent ones count as the last of them. */
#define ADM_PRIORITIES 8
/* Routes with a work time of their own; others share one by their hash. */
#define ADM_ROUTES 64
/* Groups of workspaces of which the waiting calls are counted. */
#define ADM_SHARES 64
#define ADM_MAX_WAITING 1024
/*
 * Time between two attempts of a queue that finds no room: the life of a load
 * report, so that no upstream is asked twice for the same report. It doubles
 * with each attempt without success up to the maximum: when all VMs look for
 * room, two of them often find the same slot.
 */
#define ADM_ATTEMPT_US 25000
#define ADM_ATTEMPT_MAX_US 100000

/* Shortest time that a caller is asked to stay away. */
#define ADM_MIN_RETRY_US 100000

/** enum adm_verdict - what happens to a call */
enum adm_verdict {
	ADM_START, /* look for an upstream now */
	ADM_WAIT,  /* it is in the queue; see adm_take_next() */
	ADM_REJECT,
};

/**
 * enum adm_reason - why a call is rejected, for logs and counters
 * @ADM_TOO_LATE: it cannot end before its deadline any more
 * @ADM_NO_ROOM: no room is expected in the time that it has
 * @ADM_DISPLACED: the queue is full of calls that cost callers more
 */
enum adm_reason {
	ADM_NO_REASON,
	ADM_TOO_LATE,
	ADM_NO_ROOM,
	ADM_DISPLACED,
	ADM_REASONS
};

/**
 * struct adm_decision - decision on a call
 * @verdict: what happens
 * @reason: why it is rejected
 * @until_us: with ADM_WAIT, its latest start
 * @retry_after_us: with ADM_REJECT, time after which the caller may return;
 *	room is expected then, and calls that are rejected together are spread
 */
struct adm_decision {
	enum adm_verdict verdict;
	enum adm_reason reason;
	int64_t until_us;
	int64_t retry_after_us;
};

/**
 * struct adm_call - what admission knows of a call; embedded in the call
 * @priority: rank, 0 is the most urgent
 * @route: hash of the route, for its work time
 * @arrived_us: when the call arrived
 * @goal_us: until when its answer is worth most, 0 when not known
 * @deadline_us: until when its answer is worth anything
 * @work_us: usual time of the call at an upstream, 0 when not known; set on
 *	arrival
 * @long_us: time that nine in ten calls take at most, likewise
 * @share: hash of the workspace, so that one workspace does not fill the queue;
 *	0 for none
 * @returned: the caller was rejected before and came back when it was told to;
 *	such a call is admitted before new ones
 * @late: it can no longer meet its goal
 * @over_share: its workspace already had half of the places in the queue
 * @checked: the expectation of room was checked again after its arrival
 * @attempting: the queue's attempt is made for it
 * @arrived: its arrival was counted
 * @started: its start was counted
 * @all_slots: its last attempt was made with adm_terms.use_all_slots
 * @displaced: it lost its place to a call that goes before it
 * @position: place in the queue of its rank plus 1, 0 when it does not wait
 * @due_position: the same in the queue by @due_us
 * @rank_us: place among the calls of its priority: the latest start by the goal
 *	of its route, so that the order is that of arrival for equal goals; a
 *	call with a shorter deadline does not overtake those that were promised
 *	room
 * @latest_us: latest start: before its goal, or its deadline if it is late
 * @due_us: when the decision on it has to be made again
 * @sequence: order of arrival in the queue
 */
struct adm_call {
	uint32_t priority;
	uint32_t route;
	int64_t arrived_us;
	int64_t goal_us;
	int64_t deadline_us;
	int64_t work_us;
	int64_t long_us;
	uint64_t share;
	bool returned;
	bool late;
	bool over_share;
	bool checked;
	bool attempting;
	bool arrived;
	bool started;
	bool all_slots;
	bool displaced;
	uint32_t position;
	uint32_t due_position;
	int64_t rank_us;
	int64_t latest_us;
	int64_t due_us;
	uint64_t sequence;
};

/**
 * struct adm_terms - under which terms a call may look for an upstream
 * @use_all_slots: it may take the last slots of an upstream, which are kept
 *	free for the most urgent calls
 * @keep_slots: slots that it leaves free in addition
 */
struct adm_terms {
	bool use_all_slots;
	uint32_t keep_slots;
};

/**
 * struct adm_load - what a choice found at the upstreams it asked
 * @asked: upstreams with a recent report
 * @room: those that could take a request of the least urgent calls
 * @above_share: those that work on more requests than their saturation share
 * @age_us: age of the oldest report
 */
struct adm_load {
	uint32_t asked;
	uint32_t room;
	uint32_t above_share;
	int64_t age_us;
};

/**
 * struct adm_class - figures of one priority
 * @started: calls that got an upstream, halved every 2 s
 * @rejected: rejected calls, likewise
 * @work_us: expected work of the calls that got an upstream, likewise
 * @busy_starts: starts of its calls and of less urgent ones while calls of it
 *	waited, likewise
 * @busy_us: time in which calls of it waited, likewise
 * @n_waiting: calls in the queue
 * @n_checked: those whose expectation of room was checked again, which are
 *	before the others
 * @last_us: last arrival, 0 before the first
 */
struct adm_class {
	double started;
	double rejected;
	double work_us;
	double busy_starts;
	double busy_us;
	uint32_t n_waiting;
	uint32_t n_checked;
	int64_t last_us;
};

/**
 * struct adm_figures - totals of one priority, for metrics
 * @started: calls that got an upstream
 * @rejected: rejected calls by reason
 * @waits: time from arrival to start, in microseconds
 *
 * Several objects may share them, and any thread may read them.
 */
struct adm_figures {
	_Atomic uint64_t started;
	_Atomic uint64_t rejected[ADM_REASONS];
	struct histogram waits;
};

/** struct adm_heap - calls, the first one to be served at index 0 */
struct adm_heap {
	struct adm_call **at;
	uint32_t n;
	uint32_t room;
	bool by_due;
};

/**
 * struct adm_desc - settings; zero fields mean the defaults
 * @seed: seed of the randomness
 * @max_waiting: most calls in the queue, default ADM_MAX_WAITING
 * @figures: ADM_PRIORITIES entries that are counted in, NULL for none
 */
struct adm_desc {
	uint64_t seed;
	uint32_t max_waiting;
	struct adm_figures *figures;
};

/**
 * struct admission - state of one service and worker on caller-owned memory
 * @max_waiting: most calls in the queue
 * @figures: totals, NULL for none
 * @rng: randomness of Retry-After and of @hold
 * @queue: waiting calls, by whether they are late and by priority
 * @due: the same calls by adm_call.due_us
 * @sequence: number of the next call in the queue
 * @attempting: the queue's attempt is under way
 * @full_us: last attempt that found no room: without the last slots, and with
 *	them; 0 when there may be room
 * @interval_us: time until the next attempt after it
 * @updated_us: when the decaying figures were last updated
 * @hold: share of the slots that less urgent calls leave free below the
 *	saturation share, learned from the load of the upstreams
 * @above_share: average share of the upstreams asked that work on more requests
 *	than their saturation share
 * @load: what the last choice found
 * @shares: waiting calls by group of workspaces
 * @work: work time of routes at the usual pace: usual, and of long calls
 * @class: figures by priority
 * @late: figures of calls that can no longer meet their goal; only those about
 *	waiting are used
 */
struct admission {
	uint32_t max_waiting;
	struct adm_figures *figures;
	struct random rng;
	struct adm_heap queue[2][ADM_PRIORITIES];
	struct adm_heap due;
	uint64_t sequence;
	bool attempting;
	int64_t full_us[2];
	int64_t interval_us;
	int64_t updated_us;
	double hold;
	double above_share;
	struct adm_load load;
	uint32_t shares[ADM_SHARES];
	int64_t work[ADM_ROUTES][2];
	struct adm_class class[ADM_PRIORITIES];
	struct adm_class late;
};

/** adm_reason_name() - name of a reason in logs and metrics */
const char *adm_reason_name(enum adm_reason reason);

/** adm_init() - set up without waiting calls */
void adm_init(struct admission *a, const struct adm_desc *desc);

/** adm_finish() - release the memory; no call may be waiting */
void adm_finish(struct admission *a);

/**
 * adm_on_arrival() - decide on a new call
 *
 * Return: ADM_START, ADM_WAIT, or ADM_REJECT.
 */
struct adm_decision adm_on_arrival(
    struct admission *a, struct adm_call *c, int64_t now_us);

/**
 * adm_on_full() - decide on a call for which no upstream had room
 *
 * A call that waited before goes back to its place.
 */
struct adm_decision adm_on_full(
    struct admission *a, struct adm_call *c, int64_t now_us);

/** adm_on_start() - the call got an upstream */
void adm_on_start(struct admission *a, struct adm_call *c, int64_t now_us);

/** adm_on_work() - a request of a route took @us, at the usual pace */
void adm_on_work(struct admission *a, uint32_t route, int64_t us);

/** adm_on_load() - what a choice found */
void adm_on_load(struct admission *a, const struct adm_load *l);

/** adm_on_slot_freed() - a request of the service ended, so a slot may be free
 */
void adm_on_slot_freed(struct admission *a);

/** adm_leave() - the call ended; does nothing when it does not wait */
void adm_leave(struct admission *a, struct adm_call *c, int64_t now_us);

/** adm_terms() - terms of a call at upstreams with @slots */
struct adm_terms adm_terms(
    struct admission *a, struct adm_call *c, uint32_t slots, int64_t now_us);

/**
 * adm_take_next() - remove the call that may look for an upstream now; NULL for
 * none. adm_on_full(), adm_on_start() or adm_leave() must follow.
 */
struct adm_call *adm_take_next(struct admission *a, int64_t now_us);

/** adm_take_expired() - remove a call to reject, or NULL; sets @d */
struct adm_call *adm_take_expired(
    struct admission *a, int64_t now_us, struct adm_decision *d);

/** adm_next_us() - when to call the two functions above, INT64_MAX for never */
int64_t adm_next_us(struct admission *a, int64_t now_us);

/** adm_first_due() - the waiting call with the next decision, or NULL */
struct adm_call *adm_first_due(const struct admission *a);

/** adm_waiting() - number of calls in the queue */
uint32_t adm_waiting(const struct admission *a);

/**
 * adm_is_most_urgent() - whether no more urgent call arrived in the last
 * seconds
 */
bool adm_is_most_urgent(
    const struct admission *a, uint32_t priority, int64_t now_us);

#endif
