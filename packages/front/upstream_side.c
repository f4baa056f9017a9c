#include "front/upstream_side.h"

#include "front/attempt_report.h"
#include "front/attempt_transfer.h"
#include "front/call_log.h"
#include "front/caller_side.h"
#include "front/claim_filter.h"
#include "front/filter.h"
#include "front/load_query.h"
#include "front/retry_policy.h"
#include "front/upstream_choice.h"
#include "front/worker.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

/* A late attempt that could not be retried is checked again after this. */
#define LATE_RECHECK_MS 150

/* Releases the upstream and records the attempt in its statistics. */
static void
release_upstream(struct call_attempt *a, bool failed, bool exclude)
{
	struct call *c = a->call;
	int64_t now_us = clk_mono_us();
	struct rt_result result = {
	    .latency_us = (a->head_us != 0 ? a->head_us : now_us) - a->start_us,
	    .failed = failed,
	    .reported = a->reported,
	};

	result.slow = a->slow_us != 0 && result.latency_us > a->slow_us;
	/* Not a latency sample: the attempt ended before its response head. */
	if (!failed && a->head_us == 0)
		result.latency_us = RT_NO_SAMPLE;

	rt_on_finish(a->upstream, a->slots, &result, now_us);
	worker_service_on_end(c, a->upstream);
	worker_count_transfer(c->w, a->upstream, -1);
	if (exclude && c->n_excluded < RT_MAX_EXCLUDED)
		c->excluded[c->n_excluded++] = a->upstream;
	else
		rt_stat_unref(a->upstream);
	a->upstream = NULL;
	if (a->tally != NULL)
		rt_tally_unref(a->tally);
	a->tally = NULL;
}

static void on_done(struct curl_transfer *x, CURL *easy, CURLcode result);

static void
start_attempt(struct call_attempt *a, int64_t now_us)
{
	struct call *c = a->call;

	c->may_probe = true;
	a->xfer.done = on_done;
	attempt_transfer_start(a, now_us);
	if (a->number == 1)
		worker_service_on_request(c);
	c->need_new_conn = false;
	if (c->idempotent && c->goal_us != 0)
		worker_timer_set(c->w, c, now_us + c->goal_us);
}

/* Chooses an upstream and starts the transfer, or makes the call wait. */
static enum err_kind
choose_and_start(struct call *c, int64_t now_us)
{
	enum err_kind kind =
	    filter_check_fresh(worker_shared_state(c->w), now_us);
	struct upstream_pick pick;

	if (kind != ERR_NONE)
		return (kind);
	if (now_us >= c->deadline_us)
		return (ERR_DEADLINE);
	if (!worker_service_may_start(c, now_us, &kind))
		return (kind);
	switch (upstream_choice_pick(c, now_us, &pick)) {
	case RT_NONE:
		return (ERR_NO_UPSTREAM);
	case RT_FULL:
		c->may_probe = true;
		return (worker_service_wait(c, now_us));
	case UPSTREAM_CHOICE_WAIT:
		return (ERR_NONE);
	}
	upstream_choice_apply(call_current(c), &pick);
	worker_service_on_start(c, now_us);
	start_attempt(call_current(c), now_us);
	return (ERR_NONE);
}

enum err_kind
upstream_side_start(struct call *c)
{
	enum err_kind kind = choose_and_start(c, clk_mono_us());

	if (kind != ERR_NONE)
		worker_service_leave(c);
	return (kind);
}

static enum worker_msg_outcome
outcome_of(const struct call *c, enum err_kind kind)
{
	const struct call_attempt *a = call_current(c);

	if (kind == ERR_NONE)
		return (WORKER_MSG_RUN_DONE);
	if (a->sent == CALL_NOT_SENT || a->refused)
		return (WORKER_MSG_RUN_NOT_RUN);
	return (WORKER_MSG_RUN_UNKNOWN);
}

void
upstream_side_end(struct call *c, enum err_kind kind)
{
	claim_filter_finish(c, outcome_of(c, kind));
	if (c->first_err != ERR_NONE && kind != ERR_NONE &&
	    err_answer(kind)->outcome == ERR_NOT_RUN)
		kind = c->first_err;
	c->err = kind;
	c->answer_done = true;
	caller_side_on_end(c);
}

void
upstream_side_body_ready(struct call *c)
{
	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		struct call_attempt *a = &c->held[i];

		if (!call_attempt_runs(a) || !a->body_paused)
			continue;
		a->body_paused = false;
		worker_unpause(c->w, a);
	}
}

void
upstream_side_answer_taken(struct call *c)
{
	struct call_attempt *a = call_current(c);

	if (!a->answer_paused ||
	    call_attempt_answer_left(a).n > ATTEMPT_ANSWER_LOW_WATER)
		return;
	a->answer_paused = false;
	worker_unpause(c->w, a);
}

/* Ends a running attempt that is not needed any more. */
static void
cancel_attempt(struct call_attempt *a)
{
	attempt_transfer_end(a);
	release_upstream(a, false, false);
}

/* Ends a running attempt that failed, or that was late, with @kind. */
static void
abandon_attempt(struct call_attempt *a, enum err_kind kind)
{
	call_log_attempt(a, kind);
	attempt_report_count(a, true, clk_mono_us());
	attempt_transfer_end(a);
	release_upstream(a, true, true);
}

/*
 * Ends the attempt that is not needed, as the other one answers. An older one
 * was late, which counts as a failure; a younger one is cancelled without
 * counting, since it started too recently.
 */
static void
end_other_attempt(struct call_attempt *a, const struct call_attempt *chosen)
{
	if (a->refused)
		abandon_attempt(a, ERR_REFUSED);
	else if (a->failed)
		abandon_attempt(a, ERR_UPSTREAM_ANSWER);
	else if (a->number < chosen->number)
		abandon_attempt(a, ERR_UPSTREAM_TIMEOUT);
	else
		cancel_attempt(a);
}

void
upstream_side_choose(struct call *c, struct call_attempt *a)
{
	c->current = a == &c->held[0] ? 0 : 1;
	load_query_leave(c);
	worker_timer_clear(c->w, c);
	if (!call_attempt_runs(call_other(c)))
		return;
	end_other_attempt(call_other(c), a);
	worker_wake_waiting(c->w, c->service_state);
}

void
upstream_side_cancel(struct call *c)
{
	if (!call_runs(c))
		return;
	worker_timer_clear(c->w, c);
	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		if (call_attempt_runs(&c->held[i]))
			cancel_attempt(&c->held[i]);
	}
	worker_wake_waiting(c->w, c->service_state);
}

void
upstream_side_give_up(struct call *c)
{
	bool waits = c->wait == CALL_WAIT_SLOT || c->wait == CALL_WAIT_PROBE;
	enum err_kind kind = ERR_LEAVING;

	if (c->answer_started || c->answer_done || (!call_runs(c) && !waits))
		return;
	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		const struct call_attempt *a = &c->held[i];

		if (call_attempt_runs(a) && a->sent == CALL_MAY_BE_SENT)
			kind = ERR_UPSTREAM_TIMEOUT;
	}
	for (unsigned i = 0; i < CALL_MAX_HELD; i++) {
		if (call_attempt_runs(&c->held[i]))
			call_log_attempt(&c->held[i], kind);
	}
	worker_service_leave(c);
	load_query_leave(c);
	upstream_side_cancel(c);
	upstream_side_end(c, kind);
}

/* The upstream may have closed a reused connection before the request. */
static bool
is_stale_connection(const struct call_attempt *a, enum err_kind kind)
{
	return (kind == ERR_UPSTREAM_CLOSED && a->sent_on_reused_conn);
}

/* Records that an attempt that ended with @kind may have run. */
static void
record_error(struct call *c, enum err_kind kind)
{
	if (c->first_err == ERR_NONE &&
	    err_answer(kind)->outcome == ERR_UNKNOWN)
		c->first_err = kind;
}

/* Starts another attempt or makes it wait; returns false if neither is done. */
static bool
retry(struct call_attempt *a, enum err_kind kind)
{
	struct call *c = a->call;

	if (!retry_policy_take(a, kind))
		return (false);
	record_error(c, kind);
	c->need_new_conn = a->unclean || is_stale_connection(a, kind);
	/* Until the next start, no part of the body counts as sent. */
	call_attempt_reset(a, c->head_request);
	if (upstream_side_start(c) != ERR_NONE)
		return (false);
	metrics_add(worker_shared_state(c->w)->metrics, METRICS_RETRIES, 1);
	return (true);
}

static void look_for_other(struct call *c, int64_t now_us);

/*
 * Goes on with the other attempt after @a ended with @kind. If @a was to take
 * the place of a late one, that one is still late and may get another
 * successor.
 */
static void
go_on_with_other(
    struct call_attempt *a, struct call_attempt *other, enum err_kind kind)
{
	struct call *c = a->call;

	record_error(c, kind);
	c->need_new_conn = a->unclean || is_stale_connection(a, kind);
	c->current = other == &c->held[0] ? 0 : 1;
	if (other->number < a->number && c->wait == CALL_WAIT_NONE)
		look_for_other(c, clk_mono_us());
}

/* Ends the attempt with @kind, then goes on, retries or ends the call. */
static void
finish_attempt(struct call_attempt *a, enum err_kind kind)
{
	struct call *c = a->call;
	struct call_attempt *other = &c->held[a == &c->held[0] ? 1 : 0];
	bool failed = kind != ERR_NONE || a->status >= 500;

	call_log_attempt(a, kind);
	if (!a->unclean)
		attempt_report_count(a, failed, clk_mono_us());
	attempt_transfer_end(a);
	if (!failed) {
		retry_budget_on_success(&c->service_state->budget);
		worker_service_record_time(
		    c, a->head_us - a->start_us, a->chosen.pace);
	}
	/* A stale reused connection is no reason to exclude the upstream. */
	release_upstream(a, failed && !a->unclean,
	    kind != ERR_NONE && !a->unclean && !is_stale_connection(a, kind));
	if (kind == ERR_NONE) {
		upstream_side_choose(c, a);
		upstream_side_end(c, kind);
	} else if (call_attempt_runs(other)) {
		go_on_with_other(a, other, kind);
	} else if (!retry(a, kind)) {
		upstream_side_end(c, kind);
	}
	worker_wake_waiting(c->w, c->service_state);
}

static void
on_done(struct curl_transfer *x, CURL *easy, CURLcode result)
{
	struct call_attempt *a = (struct call_attempt *)x;
	struct call *c = a->call;
	enum err_kind kind = attempt_transfer_error(a, result);
	bool two = call_attempt_runs(call_current(c)) &&
	    call_attempt_runs(call_other(c));

	(void)easy;
	if (!two) {
		load_query_leave(c);
		worker_timer_clear(c->w, c);
	}
	/* The second attempt may have started after the head of a 5xx. */
	if (two && kind == ERR_NONE && a->status >= 500 &&
	    worker_shared_state(c->w)->protocol->status_means_not_run)
		kind = ERR_UPSTREAM_ANSWER;
	finish_attempt(a, kind);
}

/* Whether an attempt received nothing since the call was last found late. */
static bool
is_stalled(const struct call_attempt *a)
{
	return (!call_attempt_runs(a) ||
	    (!a->refused && !a->failed &&
		(a->status == 0 ||
		    a->answer_bytes == a->answer_bytes_when_late)));
}

/*
 * Whether the call should get an attempt beside the one that runs. If two run,
 * the older one is given up for a third: two upstreams may be lost. The younger
 * one must have been sent then, and was not refused within the latency goal, so
 * it probably runs.
 */
static bool
is_late(struct call *c, int64_t now_us)
{
	const struct call_attempt *a = call_current(c);

	return (c->idempotent && call_attempt_runs(a) && !c->answer_started &&
	    call_answerable_attempt(c) == NULL && is_stalled(a) &&
	    is_stalled(call_other(c)) &&
	    (!call_attempt_runs(call_other(c)) ||
		a->sent == CALL_MAY_BE_SENT) &&
	    retry_policy_is_allowed(a, ERR_UPSTREAM_TIMEOUT, now_us) &&
	    worker_service_has_retry(c, now_us) &&
	    !worker_service_must_wait(c->service_state));
}

/* Starts an attempt at the upstream of @pick beside the late one. */
static void
add_attempt(struct call *c, const struct upstream_pick *pick, int64_t now_us)
{
	worker_service_take_retry(c, now_us);
	if (call_attempt_runs(call_other(c))) {
		abandon_attempt(call_other(c), ERR_UPSTREAM_TIMEOUT);
		record_error(c, ERR_UPSTREAM_TIMEOUT);
	}
	c->current = 1 - c->current;
	upstream_choice_apply(call_current(c), pick);
	start_attempt(call_current(c), now_us);
	metrics_add(worker_shared_state(c->w)->metrics, METRICS_RETRIES, 1);
	worker_wake_waiting(c->w, c->service_state);
}

static void
recheck_later(struct call *c, int64_t now_us)
{
	worker_timer_set(c->w, c, now_us + LATE_RECHECK_MS * 1000);
}

/*
 * The late attempt goes on beside its successor: the upstream is still at work
 * on it, and its answer is the only one if the successor is refused.
 */
static void
try_other(struct call *c, int64_t now_us)
{
	struct upstream_pick pick;

	switch (upstream_choice_pick(c, now_us, &pick)) {
	case 0:
		add_attempt(c, &pick, now_us);
		break;
	case UPSTREAM_CHOICE_WAIT:
		break;
	default:
		recheck_later(c, now_us);
		break;
	}
}

static void
look_for_other(struct call *c, int64_t now_us)
{
	c->may_probe = true;
	if (is_late(c, now_us) && upstream_choice_has_other(c, now_us))
		try_other(c, now_us);
	else if (c->attempts < retry_policy_max_attempts(c))
		recheck_later(c, now_us);
}

void
upstream_side_on_late(struct call *c, int64_t now_us)
{
	if (!call_runs(c) || c->answer_started)
		return;
	look_for_other(c, now_us);
	for (unsigned i = 0; i < CALL_MAX_HELD; i++)
		c->held[i].answer_bytes_when_late = c->held[i].answer_bytes;
}

void
upstream_side_resume(struct call *c)
{
	int64_t now_us = clk_mono_us();
	enum err_kind kind;

	if (!call_runs(c)) {
		kind = upstream_side_start(c);
		if (kind != ERR_NONE)
			upstream_side_end(c, kind);
	} else if (is_late(c, now_us)) {
		try_other(c, now_us);
	} else if (!c->answer_started) {
		recheck_later(c, now_us);
	}
}
