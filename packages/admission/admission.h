/*
 * admission - which calls of a service start, wait or are rejected when there
 * is too little room (prefix adm_).
 *
 * One object for each service and worker. It ranks the calls that wait, says
 * for how long each may wait, and rejects the calls that cost callers least. It
 * knows no network, thread or clock: the time is an argument, and the choice of
 * an upstream tells it what it found.
 *
 *	adm_init(&a, &(struct adm_desc){.ranked = true, .seed = seed});
 *	d = adm_on_arrival(&a, &call, now_us);
 *	if (d.verdict == ADM_START) {
 *		if (no upstream has room)
 *			d = adm_on_full(&a, &call, now_us);
 *		else
 *			adm_on_start(&a, &call, now_us);
 *	}
 *	next = adm_first(&a, now_us);           (when room may be free again)
 *	adm_leave(&a, &call);
 *	adm_finish(&a);
 */
#ifndef ADMISSION_ADMISSION_H
#define ADMISSION_ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"

/** enum adm_verdict - what happens to a call */
enum adm_verdict {
	ADM_START, /* look for an upstream now */
	ADM_WAIT,  /* it is in the queue; see adm_first() and adm_expired() */
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
 * @until_us: with ADM_WAIT, when the decision has to be made again
 * @retry_after_us: with ADM_REJECT, when the caller may return; room is
 *	expected then, and the calls that are rejected together are spread
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
 * @arrived_us: when the call arrived
 * @goal_us: until when its answer is worth most, 0 when not known
 * @deadline_us: until when its answer is worth anything
 * @work_us: expected time of the call at an upstream, 0 when not known
 * @share: hash of the workspace, so that one workspace does not fill the queue;
 *	0 for none
 * @returned: the caller was rejected before and came back when it was told to
 * @position: place in the queue plus 1, 0 when it does not wait
 * @sequence: order of arrival in the queue
 */
struct adm_call {
	uint32_t priority;
	int64_t arrived_us;
	int64_t goal_us;
	int64_t deadline_us;
	int64_t work_us;
	uint64_t share;
	bool returned;
	uint32_t position;
	uint64_t sequence;
};

/**
 * struct adm_terms - under which terms a call may look for an upstream
 * @use_all_slots: it may take the last slots of an upstream, which are kept
 *	free for the most urgent calls
 */
struct adm_terms {
	bool use_all_slots;
};

#endif
