/*
 * usage_duty_internal - state that the modules of usage_duty share.
 *
 * usage_duty.c has the entry points, the messages and the clock;
 * usage_duty_record.c has the record in the store, the takeover and the
 * reports.
 */
#ifndef USAGE_USAGE_DUTY_INTERNAL_H
#define USAGE_USAGE_DUTY_INTERNAL_H

#include <glib.h>

#include "base/random.h"
#include "usage/usage_clock.h"
#include "usage/usage_duty.h"
#include "usage/usage_ledger.h"

/* Figures are fixed so long after the end of a window: counts may be late. */
#define USAGE_FIX_MS 2000
/*
 * Further time for the counts of the last VMs; more than half must have been
 * heard. A holder that hears less waits for most of the time until the report
 * is due, so that a VM that hears the others can take over before.
 */
#define USAGE_MISSING_MS 1000
/*
 * Share of the time until a report is due, in percent, after which a holder
 * does not wait for counts any more, and after which it is replaced although it
 * announced fixed figures. An earlier takeover helps only if the fault is local
 * to the holder.
 */
#define USAGE_MAX_WAIT_PERCENT 60
/*
 * Time after a report was due at which a VM takes over that hears neither the
 * holder nor most others. By then a live holder has fixed the next window,
 * which the record shows.
 */
#define USAGE_ISOLATED_TAKEOVER_MS 1000
/* Share of the VMs that may be missing without a wait, in percent. */
#define USAGE_MISSING_PERCENT 2
/* Time from the announcement of a VM until it stops waiting for counts. */
#define USAGE_COLLECT_MS 1000
/* Delay after USAGE_FIX_MS at which the first VM in rank takes over. */
#define USAGE_OVERDUE_MS 1500
/* Further delay of each of the next VMs in rank. */
#define USAGE_RANK_MS 1000
#define USAGE_RANK_STEPS 3
/*
 * Further delay of each VM after these, so that also a store that refuses many
 * VMs finds one that reports in time.
 */
#define USAGE_HIGH_RANK_DELAY_MS 100
/* A holder that sent no status for so long is not present. */
#define USAGE_PRESENT_MS 2500
/* Time between a VM's announcement and its takeover; others send counts. */
#define USAGE_ANNOUNCE_MS 400
/* A VM lets another one that announced itself go first for so long. */
#define USAGE_TAKEOVER_BACKOFF_MS 1500
/* A holder that hears of a takeover reads the record when it is written. */
#define USAGE_CONFIRM_MS 800
/*
 * A new holder waits this long before its first report, so that its status
 * reaches the former holder.
 */
#define USAGE_FIRST_REPORT_DELAY_MS 500
/* Interval of the holder's status. */
#define USAGE_STATUS_MS 1000
/* The same for a new holder, because some VMs have not heard of it yet. */
#define USAGE_FAST_STATUS_MS 300
#define USAGE_NEW_HOLDER_MS 1500
/* Delay before the first and the further repeats of a report. */
#define USAGE_FIRST_REPEAT_MS 500
#define USAGE_REPEAT_MS 2000
/* Delay before the record is read after a write of unknown outcome. */
#define USAGE_REREAD_MS 500
/* Delay before a failed store call of the holder is repeated. */
#define USAGE_STORE_RETRY_MS 1000
/*
 * Least delay before a failed takeover is repeated. All but the first VMs in
 * rank wait at least the second time for each VM of the fleet, so that a fleet
 * makes fewer than 15 calls a second while the store is down.
 */
#define USAGE_TAKE_RETRY_MS 2000
#define USAGE_TAKE_RETRY_PER_VM_MS 150
#define USAGE_TAKE_FIRST_RANKS 8
/* A longer gap between two events counts as a pause of the process. */
#define USAGE_PAUSE_MS 1000
/* VMs whose status is remembered, apart from the holder. */
#define USAGE_MAX_SEEN USAGE_MAX_COLLECTORS

/** enum usage_store_call - a call to the store without an answer yet */
enum usage_store_call {
	USAGE_STORE_NONE,
	USAGE_STORE_READ,
	USAGE_STORE_WRITE,
};

/** enum usage_take - steps of a takeover */
enum usage_take {
	USAGE_TAKE_NONE,
	USAGE_TAKE_READ,      /* the record is being read */
	USAGE_TAKE_ANNOUNCED, /* counts of others are awaited */
	USAGE_TAKE_WRITE,     /* the record is being written */
};

/** struct usage_seen - a VM whose status arrived */
struct usage_seen {
	char vm[USAGE_NAME_MAX + 1];
	int64_t mono_ms;
};

/**
 * struct usage_duty - state
 * @vms: VMs of the fleet in the order of their ranks, with their names in the
 *	same allocation
 * @rank: index of this VM, the number of VMs when it is missing
 * @present_ms: monotonic time of the last event
 * @start_ms: monotonic time of the first event
 *
 * @push_at_ms: true time of the next round of pushes
 * @push_phase: random part of the times of the rounds, in [0, 1)
 * @choose: the collectors have to be chosen before the next round
 * @seen: VMs whose status arrived last
 *
 * @holder: VM with the highest known token
 * @token: that token
 * @token_since_ms: monotonic time at which it became known
 * @heard_ms: monotonic time of the holder's last status
 * @announced_fixed: last window that the holder announced as fixed
 * @reported_through: last window known to be reported
 *
 * @record: the record as the store confirmed it last
 * @record_known: the store answered since the start
 * @draft: the record that is being written
 * @fenced_token: highest own token that must not be used any more
 * @blocked_ms: monotonic time before which the duty is not taken again
 * @was_holder: this VM held the duty at the last event
 * @must_read: the record has to be read before this VM acts on it
 * @store_at_ms: monotonic time of the next call to the store
 * @collect_ms: monotonic time of this VM's last announcement as a collector
 * @collect_again: datagrams may have been lost in a pause of the holder, so the
 *	others have to send their counts again
 * @take_at_ms: monotonic time of the next step of a takeover
 * @status_at_ms: monotonic time of the holder's next status
 * @report_at_ms: monotonic time of the next report
 * @report_window: window whose report has no answer yet, -1 for none
 * @report_token: token of that report
 * @n_failed: reports that failed since the last accepted one
 */
struct usage_duty {
	char self[USAGE_NAME_MAX + 1];
	struct usage_duty_desc desc;
	struct random rng;
	struct usage_clock clock;
	struct usage_ledger ledger;
	struct usage_push push;
	char **vms;
	uint32_t n_vms;
	uint32_t rank;
	bool reachable;
	int64_t present_ms;
	int64_t start_ms;

	int64_t push_at_ms;
	double push_phase;
	bool choose;
	struct usage_seen seen[USAGE_MAX_SEEN];

	char holder[USAGE_NAME_MAX + 1];
	int64_t token;
	int64_t token_since_ms;
	int64_t heard_ms;
	int64_t announced_fixed;
	int64_t reported_through;

	struct usage_record record;
	bool record_known;
	struct usage_record draft;
	int64_t fenced_token;
	int64_t blocked_ms;
	bool was_holder;
	bool must_read;
	enum usage_store_call store_call;
	int64_t store_at_ms;
	enum usage_take take;
	int64_t collect_ms;
	bool collect_again;
	int64_t take_at_ms;
	int64_t status_at_ms;
	int64_t report_at_ms;
	int64_t report_window;
	int64_t report_token;
	uint32_t n_failed;
};

/** usage_duty_effect() - append an effect and return it */
struct usage_effect *usage_duty_effect(
    struct usage_out *out, enum usage_effect_type type);

/**
 * usage_duty_begin() - take the time of an event
 *
 * Return: whether the process was paused before the event.
 */
bool usage_duty_begin(struct usage_duty *d, const struct usage_now *now);

/** usage_duty_true_ms() - Unix time as this VM estimates it */
int64_t usage_duty_true_ms(const struct usage_duty *d);

/** usage_duty_window() - number of the present window */
int64_t usage_duty_window(const struct usage_duty *d);

/** usage_duty_send_status() - send a status, token 0 before a takeover */
void usage_duty_send_status(
    struct usage_duty *d, int64_t token, struct usage_out *out);

/** usage_duty_refresh_own() - read the counts of this process */
void usage_duty_refresh_own(struct usage_duty *d);

/** usage_duty_note_token() - another VM or the store named a holder */
void usage_duty_note_token(
    struct usage_duty *d, const char *holder, int64_t token);

/** usage_duty_note_reported() - the reports up to @window are accepted */
void usage_duty_note_reported(struct usage_duty *d, int64_t window);

/** usage_duty_is_holder() - whether the confirmed record lets this VM act */
bool usage_duty_is_holder(const struct usage_duty *d);

/** usage_duty_step_down() - another VM holds the duty now */
void usage_duty_step_down(struct usage_duty *d);

/** usage_duty_step() - do what is due with the store and the reports */
void usage_duty_step(struct usage_duty *d, struct usage_out *out);

/** usage_duty_stop_taking() - give up a takeover that is not written yet */
void usage_duty_stop_taking(struct usage_duty *d);

#endif
