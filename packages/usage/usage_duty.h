/*
 * usage_duty - one VM's part in reporting the usage of all workspaces (prefix
 * usage_duty_).
 *
 * Each VM counts the requests that it sent. It sends its counts to the
 * collectors: the holder of the duty, the VMs of the first two ranks, and each
 * VM that is about to take over. The holder fixes the figures of a window in
 * the record (usage_record.h), reports them, and announces how far it got. A VM
 * that hears of no progress takes the duty over by a conditional write of the
 * record, in the order of rank. Safety depends on the record and on the fencing
 * token alone, not on clocks: a holder that was replaced either repeats figures
 * that are fixed, or its write fails.
 *
 * The module sends nothing itself. It returns effects that the calling code
 * carries out, and the results come back as events. Each read, write and report
 * gets exactly one result, also after a time-out.
 *
 *	d = usage_duty_new(&desc);
 *	usage_duty_set_vms(d, ids, n);
 *	usage_duty_tick(d, &now, &out);
 *	usage_duty_on_counts(d, &msg, &now, &out);
 *	usage_duty_on_status(d, &msg, &now, &out);
 *	usage_duty_on_record(d, USAGE_RECORD_READ, &record, &now, &out);
 *	usage_duty_on_reported(d, window, result, &now, &out);
 *	usage_duty_free(d);
 */
#ifndef USAGE_USAGE_DUTY_H
#define USAGE_USAGE_DUTY_H

#include <stdbool.h>
#include <stdint.h>

#include "usage/usage_message.h"
#include "usage/usage_push.h"
#include "usage/usage_record.h"
#include "usage/usage_source.h"

/**
 * struct usage_now - the present time
 * @mono_ms: monotonic time of this process
 * @wall_ms: Unix time by the clock of this VM, which may step
 */
struct usage_now {
	int64_t mono_ms;
	int64_t wall_ms;
};

/** enum usage_record_event - what the store answered about the record */
enum usage_record_event {
	USAGE_RECORD_READ,    /* the record as it is, also when it is missing */
	USAGE_RECORD_WRITTEN, /* the write succeeded; the record as written */
	USAGE_RECORD_CONFLICT, /* nothing written; the record as it is */
	USAGE_RECORD_UNKNOWN,  /* the write may or may not take effect */
	USAGE_RECORD_FAILED,   /* nothing was read or written */
};

/** enum usage_report_result - result of a report */
enum usage_report_result {
	USAGE_REPORT_ACCEPTED,
	USAGE_REPORT_FENCED, /* a higher token exists: another VM took over */
	USAGE_REPORT_FAILED, /* any other end; it may still take effect */
};

/** enum usage_effect_type - what the calling code has to do */
enum usage_effect_type {
	USAGE_SEND_COUNTS,  /* send @counts to the VM @to */
	USAGE_SEND_STATUS,  /* send @status to all VMs */
	USAGE_READ_RECORD,  /* read the record */
	USAGE_WRITE_RECORD, /* write @record if its revision is unchanged */
	USAGE_REPORT,       /* report @window under @token */
};

/**
 * struct usage_effect - an effect
 * @to: receiver, for USAGE_SEND_COUNTS
 * @counts: message, for USAGE_SEND_COUNTS
 * @status: message, for USAGE_SEND_STATUS
 * @record: what to write, for USAGE_WRITE_RECORD; valid until the next event
 * @window: what to report, for USAGE_REPORT; valid until the next event
 * @token: fencing token of the report
 */
struct usage_effect {
	enum usage_effect_type type;
	char to[USAGE_NAME_MAX + 1];
	struct usage_counts_msg counts;
	struct usage_status_msg status;
	const struct usage_record *record;
	const struct usage_window *window;
	int64_t token;
};

/** struct usage_out - effects in the order in which to carry them out */
struct usage_out {
	struct usage_effect *effects;
	uint32_t n;
};

/**
 * struct usage_duty_desc - settings
 * @self: this VM
 * @boot: number of this process
 * @window_ms: length of a window, 0 for 5,000
 * @due_ms: a report is due so long after the end of its window, 0 for 10,000
 * @lease_ms: a VM that lost the duty does not take it again for twice this, 0
 *	for 3,000
 * @source: counts of this process
 * @seed: seed of the random part of delays
 */
struct usage_duty_desc {
	const char *self;
	uint64_t boot;
	int64_t window_ms;
	int64_t due_ms;
	int64_t lease_ms;
	struct usage_source *source;
	uint64_t seed;
};

struct usage_duty;

/** usage_duty_new() - state of a VM that knows no others yet */
struct usage_duty *usage_duty_new(const struct usage_duty_desc *desc);

/** usage_duty_free() - free the state; NULL does nothing */
void usage_duty_free(struct usage_duty *d);

/** usage_out_finish() - free the effects */
void usage_out_finish(struct usage_out *out);

/**
 * usage_duty_set_vms() - set the VMs of the fleet in the order of their ranks
 *
 * This VM may be missing from the list while the fleet starts.
 */
void usage_duty_set_vms(
    struct usage_duty *d, const char *const *ids, uint32_t n);

/** usage_duty_set_reachable() - whether the store answers this VM */
void usage_duty_set_reachable(struct usage_duty *d, bool yes);

/** usage_duty_tick() - call it about every 100 ms */
void usage_duty_tick(
    struct usage_duty *d, const struct usage_now *now, struct usage_out *out);

/** usage_duty_on_counts() - counts of another VM arrived */
void usage_duty_on_counts(struct usage_duty *d,
    const struct usage_counts_msg *m, const struct usage_now *now);

/** usage_duty_on_status() - the status of another VM arrived */
void usage_duty_on_status(struct usage_duty *d,
    const struct usage_status_msg *m, const struct usage_now *now,
    struct usage_out *out);

/**
 * usage_duty_on_record() - the store answered about the record
 * @record: as enum usage_record_event says; NULL with USAGE_RECORD_UNKNOWN and
 *	USAGE_RECORD_FAILED. A record that cannot be decoded is passed as an
 *	empty one with its revision.
 */
void usage_duty_on_record(struct usage_duty *d, enum usage_record_event event,
    const struct usage_record *record, const struct usage_now *now,
    struct usage_out *out);

/** usage_duty_on_reported() - a report ended */
void usage_duty_on_reported(struct usage_duty *d, int64_t window,
    enum usage_report_result result, const struct usage_now *now,
    struct usage_out *out);

/**
 * usage_duty_time_offset_ms() - Unix time as this VM estimates it, less the
 * monotonic time; workers find the window of a request from it
 */
int64_t usage_duty_time_offset_ms(const struct usage_duty *d);

/** usage_duty_holder() - VM that holds the duty as far as known, "" for none */
const char *usage_duty_holder(const struct usage_duty *d);

/** usage_duty_token() - fencing token of usage_duty_holder() */
int64_t usage_duty_token(const struct usage_duty *d);

/** usage_duty_reported_through() - last window known to be reported */
int64_t usage_duty_reported_through(const struct usage_duty *d);

#endif
