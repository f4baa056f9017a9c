#include <string.h>

#include "usage/usage_duty_internal.h"

/* Random part of the delay after a conflict. */
#define CONFLICT_SPREAD_MS 500

/* Whether the confirmed record names this process, fenced or not. */
static bool
is_named(const struct usage_duty *d)
{
	return (d->record_known && d->record.token != 0 &&
	    d->record.boot == d->desc.boot &&
	    strcmp(d->record.holder, d->self) == 0);
}

bool
usage_duty_is_holder(const struct usage_duty *d)
{
	return (is_named(d) && d->record.token > d->fenced_token &&
	    d->present_ms >= d->blocked_ms);
}

void
usage_duty_step_down(struct usage_duty *d)
{
	if (is_named(d))
		d->fenced_token = MAX(d->fenced_token, d->record.token);
	d->blocked_ms = d->present_ms + 2 * d->desc.lease_ms;
	d->must_read = false;
	d->was_holder = false;
	usage_duty_stop_taking(d);
}

void
usage_duty_stop_taking(struct usage_duty *d)
{
	if (d->take == USAGE_TAKE_ANNOUNCED)
		d->take = USAGE_TAKE_NONE;
}

/* True time after the end of a window. */
static int64_t
since_end(const struct usage_duty *d, int64_t window)
{
	return (usage_duty_true_ms(d) - (window + 1) * d->desc.window_ms);
}

/* Time after the end of a window in which a present holder is waited for. */
static int64_t
patience_ms(const struct usage_duty *d)
{
	return (d->desc.due_ms * USAGE_MAX_WAIT_PERCENT / 100);
}

/* Delay of this VM after the first one that may take over. */
static int64_t
rank_delay(const struct usage_duty *d)
{
	int64_t rank = d->rank;

	/* The present holder has no turn. */
	for (uint32_t i = 0; i < d->rank && i < d->n_vms; i++) {
		if (strcmp(d->vms[i], d->holder) == 0) {
			rank--;
			break;
		}
	}
	return (MIN(rank, USAGE_RANK_STEPS) * USAGE_RANK_MS +
	    MAX(rank - USAGE_RANK_STEPS, 0) * USAGE_HIGH_RANK_DELAY_MS);
}

/* First window with counts that is not known to be reported, or -1. */
static int64_t
first_open(const struct usage_duty *d)
{
	int64_t first = usage_ledger_first(&d->ledger, d->reported_through);

	for (uint32_t i = 0; i < d->record.n_windows; i++) {
		int64_t w = d->record.windows[i].window;

		if (w > d->reported_through && (first < 0 || w < first))
			first = w;
	}
	return (first);
}

/* Number of VMs of the fleet, with this one. */
static uint32_t
fleet_size(const struct usage_duty *d)
{
	return (d->n_vms + (d->rank == d->n_vms));
}

/*
 * Number of VMs of which nothing arrived since a monotonic time, or not all
 * counts since another.
 */
static uint32_t
n_missing(struct usage_duty *d, int64_t since_ms, int64_t full_since_ms)
{
	uint32_t heard =
	    usage_ledger_n_heard(&d->ledger, since_ms, full_since_ms) + 1;

	return (fleet_size(d) - MIN(heard, fleet_size(d)));
}

/* Whether more than half of the VMs were heard after the end of a window. */
static bool
hears_most(struct usage_duty *d, int64_t window)
{
	int64_t end_ms = d->present_ms - since_end(d, window);

	return (2 * n_missing(d, end_ms, INT64_MIN) < fleet_size(d));
}

/* Whether it is this VM's turn to take the duty over. */
static bool
is_overdue(struct usage_duty *d)
{
	bool present = d->present_ms - d->heard_ms < USAGE_PRESENT_MS;
	int64_t window = first_open(d);
	int64_t after;

	if (window < 0 ||
	    since_end(d, window) < USAGE_FIX_MS + USAGE_OVERDUE_MS)
		return (false);
	after = since_end(d, window) - rank_delay(d);
	if (after < USAGE_FIX_MS + USAGE_OVERDUE_MS)
		return (false);
	if (present && d->announced_fixed >= window)
		return (after >= patience_ms(d) &&
		    d->present_ms - d->token_since_ms >=
			patience_ms(d) + rank_delay(d));
	if (d->record.fixed_through >= window)
		return (after >= (hears_most(d, window) ? patience_ms(d)
							: d->desc.due_ms +
					     USAGE_ISOLATED_TAKEOVER_MS));
	/* The holder may be waiting for the counts of VMs that are down. */
	if (present &&
	    after < USAGE_FIX_MS + USAGE_OVERDUE_MS + USAGE_MISSING_MS)
		return (false);
	return (
	    since_end(d, window) >= patience_ms(d) || hears_most(d, window));
}

static void
call_store(
    struct usage_duty *d, enum usage_effect_type type, struct usage_out *out)
{
	struct usage_effect *e = usage_duty_effect(out, type);

	if (type == USAGE_WRITE_RECORD)
		e->record = &d->draft;
	d->store_call =
	    type == USAGE_WRITE_RECORD ? USAGE_STORE_WRITE : USAGE_STORE_READ;
}

static bool
may_call_store(const struct usage_duty *d)
{
	return (d->reachable && d->store_call == USAGE_STORE_NONE &&
	    d->present_ms >= d->store_at_ms);
}

/* Whether the figures of a window are as complete as they will be. */
static bool
may_fix(struct usage_duty *d, int64_t window)
{
	int64_t since = since_end(d, window);
	uint32_t n_vms = fleet_size(d), missing;

	if (since < USAGE_FIX_MS)
		return (false);
	/* What a new collector got before its announcement is incomplete. */
	missing = n_missing(d, d->present_ms - since, d->collect_ms);
	if (100 * missing <= USAGE_MISSING_PERCENT * n_vms)
		return (true);
	if (d->present_ms - d->collect_ms < USAGE_COLLECT_MS)
		return (false);
	return (since >= patience_ms(d) ||
	    (since >= USAGE_FIX_MS + USAGE_MISSING_MS && 2 * missing < n_vms));
}

/* First window after @after whose figures are to be fixed now, or -1. */
static int64_t
next_to_fix(struct usage_duty *d, int64_t after)
{
	int64_t w = usage_ledger_first(&d->ledger, after);

	return (w >= 0 && may_fix(d, w) ? w : -1);
}

/** struct draft_window - arguments of add_to_draft() */
struct draft_window {
	struct usage_duty *d;
	int64_t window;
};

static void
add_to_draft(void *arg, const char *workspace, uint32_t count)
{
	struct draft_window *w = arg;

	usage_record_add(&w->d->draft, w->window, workspace, count);
}

/* Writes the record with this VM as the holder and the figures due now. */
static void
write_record(struct usage_duty *d, int64_t token, struct usage_out *out)
{
	struct draft_window w = {.d = d};

	usage_duty_refresh_own(d);
	usage_record_copy(&d->draft, &d->record);
	g_free(d->draft.holder);
	d->draft.holder = g_strdup(d->self);
	d->draft.boot = d->desc.boot;
	d->draft.token = token;
	usage_record_drop(&d->draft, d->reported_through);
	w.window = MAX(d->reported_through, d->draft.fixed_through);
	while ((w.window = next_to_fix(d, w.window)) >= 0)
		usage_ledger_sum(&d->ledger, w.window, add_to_draft, &w);
	call_store(d, USAGE_WRITE_RECORD, out);
}

static void
report_next(struct usage_duty *d, struct usage_out *out)
{
	if (d->report_window >= 0 || d->present_ms < d->report_at_ms)
		return;
	for (uint32_t i = 0; i < d->record.n_windows; i++) {
		struct usage_window *w = &d->record.windows[i];
		struct usage_effect *e;

		if (w->window <= d->reported_through)
			continue;
		e = usage_duty_effect(out, USAGE_REPORT);
		e->window = w;
		e->token = d->record.token;
		d->report_window = w->window;
		d->report_token = d->record.token;
		return;
	}
}

/*
 * A VM may learn by reading the record that an earlier write took effect. It is
 * no collector any more then, and announces itself again.
 */
static void
begin_holding(struct usage_duty *d)
{
	d->was_holder = true;
	d->n_failed = 0;
	d->status_at_ms = d->present_ms;
	d->report_at_ms = d->present_ms + USAGE_FIRST_REPORT_DELAY_MS;
	if (d->present_ms - d->collect_ms > USAGE_NEW_HOLDER_MS)
		d->collect_ms = d->present_ms;
}

/* Whether enough VMs sent all their counts, or are not waited for any more. */
static bool
has_all_counts(struct usage_duty *d)
{
	uint32_t missing = n_missing(d, d->collect_ms, d->collect_ms);

	return (100 * missing <= USAGE_MISSING_PERCENT * fleet_size(d) ||
	    d->present_ms - d->collect_ms >= USAGE_COLLECT_MS);
}

static void
step_as_holder(struct usage_duty *d, struct usage_out *out)
{
	if (!d->was_holder)
		begin_holding(d);
	if (d->collect_again && has_all_counts(d))
		d->collect_again = false;
	if (d->present_ms >= d->status_at_ms)
		usage_duty_send_status(
		    d, d->collect_again ? 0 : d->record.token, out);
	if (d->must_read)
		return;
	if (may_call_store(d) && next_to_fix(d, d->reported_through) >= 0)
		write_record(d, d->record.token, out);
	report_next(d, out);
}

static void
step_takeover(struct usage_duty *d, struct usage_out *out)
{
	if (!is_overdue(d)) {
		usage_duty_stop_taking(d);
		return;
	}
	if (d->present_ms < d->blocked_ms || d->present_ms < d->take_at_ms ||
	    !may_call_store(d))
		return;
	if (d->take == USAGE_TAKE_NONE) {
		d->take = USAGE_TAKE_READ;
		call_store(d, USAGE_READ_RECORD, out);
	} else if (d->take == USAGE_TAKE_ANNOUNCED) {
		d->take = USAGE_TAKE_WRITE;
		write_record(d, MAX(d->record.token, d->token) + 1, out);
	}
}

void
usage_duty_step(struct usage_duty *d, struct usage_out *out)
{
	if (usage_duty_is_holder(d) && d->token > d->record.token)
		usage_duty_step_down(d);
	if (d->must_read && may_call_store(d))
		call_store(d, USAGE_READ_RECORD, out);
	if (usage_duty_is_holder(d))
		step_as_holder(d, out);
	else if (!d->must_read)
		step_takeover(d, out);
}

/* Takes over a record that the store confirmed. */
static void
adopt_record(struct usage_duty *d, const struct usage_record *record)
{
	int64_t through = record->n_windows != 0 ? record->windows[0].window - 1
						 : record->fixed_through;

	usage_record_copy(&d->record, record);
	d->record_known = true;
	usage_duty_note_token(d, record->holder, record->token);
	/* A window leaves the record only after its report was accepted. */
	usage_duty_note_reported(d, through);
	if (d->was_holder && !is_named(d))
		usage_duty_step_down(d);
}

/* The next step of a takeover after an answer of the store. */
static void
continue_taking(
    struct usage_duty *d, enum usage_record_event event, struct usage_out *out)
{
	enum usage_take step = d->take;
	int64_t retry = USAGE_TAKE_RETRY_MS;

	if (step == USAGE_TAKE_NONE)
		return;
	d->take = USAGE_TAKE_NONE;
	if (d->rank >= USAGE_TAKE_FIRST_RANKS)
		retry =
		    MAX(retry, (int64_t)d->n_vms * USAGE_TAKE_RETRY_PER_VM_MS);
	if (event == USAGE_RECORD_CONFLICT)
		d->take_at_ms = d->present_ms + USAGE_STORE_RETRY_MS +
		    rng_below(&d->rng, CONFLICT_SPREAD_MS);
	else if (event == USAGE_RECORD_FAILED || event == USAGE_RECORD_UNKNOWN)
		d->take_at_ms =
		    d->present_ms + retry + rng_below(&d->rng, (uint32_t)retry);
	if (step != USAGE_TAKE_READ || event != USAGE_RECORD_READ ||
	    usage_duty_is_holder(d) || !is_overdue(d))
		return;
	d->take = USAGE_TAKE_ANNOUNCED;
	d->take_at_ms = d->present_ms + USAGE_ANNOUNCE_MS;
	d->collect_ms = d->present_ms;
	usage_duty_send_status(d, 0, out);
}

/* The write of another VM shows that it is present. */
static void
note_conflict(struct usage_duty *d)
{
	if (is_named(d) || d->record.token != d->token)
		return;
	d->heard_ms = d->present_ms;
	d->announced_fixed = MAX(d->announced_fixed, d->record.fixed_through);
}

void
usage_duty_on_record(struct usage_duty *d, enum usage_record_event event,
    const struct usage_record *record, const struct usage_now *now,
    struct usage_out *out)
{
	bool paused = usage_duty_begin(d, now);
	bool is_write = d->store_call == USAGE_STORE_WRITE;

	d->store_call = USAGE_STORE_NONE;
	if (record != NULL) {
		adopt_record(d, record);
		d->must_read = paused;
		/* The others wait for a status that covers the window. */
		if (event == USAGE_RECORD_WRITTEN &&
		    since_end(d, d->record.fixed_through) >=
			USAGE_FIX_MS + USAGE_MISSING_MS / 2)
			d->status_at_ms = d->present_ms;
	} else if (event == USAGE_RECORD_UNKNOWN && is_write) {
		d->must_read = true;
		d->store_at_ms = d->present_ms + USAGE_REREAD_MS;
	} else {
		d->store_at_ms = d->present_ms + USAGE_STORE_RETRY_MS;
	}
	if (event == USAGE_RECORD_CONFLICT)
		note_conflict(d);
	continue_taking(d, event, out);
	usage_duty_step(d, out);
}

void
usage_duty_on_reported(struct usage_duty *d, int64_t window,
    enum usage_report_result result, const struct usage_now *now,
    struct usage_out *out)
{
	usage_duty_begin(d, now);
	if (window != d->report_window)
		return;
	d->report_window = -1;
	switch (result) {
	case USAGE_REPORT_ACCEPTED:
		d->n_failed = 0;
		d->report_at_ms = d->present_ms;
		usage_duty_note_reported(d, window);
		d->status_at_ms = d->present_ms;
		break;
	case USAGE_REPORT_FENCED:
		d->fenced_token = MAX(d->fenced_token, d->report_token);
		if (is_named(d) && d->record.token == d->report_token)
			usage_duty_step_down(d);
		break;
	case USAGE_REPORT_FAILED:
		d->n_failed++;
		d->report_at_ms = d->present_ms +
		    (d->n_failed == 1 ? USAGE_FIRST_REPEAT_MS
				      : USAGE_REPEAT_MS);
		/*
		 * Lost answers may have been 409, so the record tells whether
		 * the token still holds.
		 */
		if (d->n_failed % 2 == 0 && usage_duty_is_holder(d))
			d->must_read = true;
		break;
	}
	usage_duty_step(d, out);
}
