/*
 * usage_runner - takes part in the usage reports of the fleet on this VM.
 *
 * It carries out the effects of usage/usage_duty.h as datagrams and calls to
 * the store, passes their results back, and publishes what the workers need to
 * count requests. It is used only where usage reports are configured.
 *
 *	usage_runner_init(&r, &desc);
 *	usage_runner_tick(&r, now_ms);
 *	if (!usage_runner_on_datagram(&r, bytes, now_ms)) ...
 *	usage_runner_on_record(&r, event, record, now_ms);
 *	usage_runner_on_reported(&r, window, result, now_ms);
 *	usage_runner_finish(&r);
 *
 * now_ms is monotonic.
 */
#ifndef CONTROL_USAGE_RUNNER_H
#define CONTROL_USAGE_RUNNER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fleet_view.h"
#include "fleet/store.h"
#include "front/shared_state.h"
#include "usage/usage_duty.h"

/**
 * struct usage_runner_desc - settings and callbacks
 * @self: id of this VM
 * @boot: number that differs for each start of the process
 * @window_ms: length of a window
 * @due_ms: a report is due this long after the end of its window
 * @lease_ms: lease of the duty
 * @seed: seed of the random part of delays
 * @view: the fleet as this VM knows it, and the counters of this process
 * @store: receives the record and the reports
 * @shared: receives the offset of true time, the length of a window and the
 *	metrics
 * @send: sends a datagram to "ip:port"
 * @send_all: sends a datagram to all other VMs
 * @wall_ms: returns the Unix time in milliseconds
 * @arg: argument of the callbacks
 */
struct usage_runner_desc {
	const char *self;
	uint64_t boot;
	int64_t window_ms;
	int64_t due_ms;
	int64_t lease_ms;
	uint64_t seed;
	struct fleet_view *view;
	struct fleet_store *store;
	struct shared_state *shared;
	void (*send)(void *arg, const char *address, struct bstr bytes);
	void (*send_all)(void *arg, struct bstr bytes);
	int64_t (*wall_ms)(void *arg);
	void *arg;
};

/**
 * struct usage_runner - state on caller-owned memory
 * @source: counters of this process, for @duty; has to be the first member
 * @workspaces: counters in @desc.view with their names, in order of the names
 * @n_counters: number of counters in @desc.view when @workspaces was built
 * @duty: decisions
 * @next_ms: when the next tick is due
 * @next_rank_ms: when the ranks are computed again
 * @logged_token: token of the last logged holder
 */
struct usage_runner {
	struct usage_source source;
	struct usage_runner_desc desc;
	GArray *workspaces;
	guint n_counters;
	struct usage_duty *duty;
	int64_t next_ms;
	int64_t next_rank_ms;
	int64_t logged_token;
};

/** usage_runner_init() - initialise; @r must not be moved afterwards */
void usage_runner_init(
    struct usage_runner *r, const struct usage_runner_desc *desc);

/** usage_runner_finish() - free the contents; @r itself stays allocated */
void usage_runner_finish(struct usage_runner *r);

/** usage_runner_tick() - do what is due; call it at least every 100 ms */
void usage_runner_tick(struct usage_runner *r, int64_t now_ms);

/**
 * usage_runner_on_datagram() - handle a datagram of another VM
 *
 * Return: false when it is not about usage.
 */
bool usage_runner_on_datagram(
    struct usage_runner *r, struct bstr bytes, int64_t now_ms);

/** usage_runner_on_reachable() - the store answers again, or stopped to */
void usage_runner_on_reachable(struct usage_runner *r, bool yes);

/** usage_runner_on_record() - see struct store_sink_ops */
void usage_runner_on_record(struct usage_runner *r,
    enum usage_record_event event, const struct usage_record *record,
    int64_t now_ms);

/** usage_runner_on_reported() - see struct store_sink_ops */
void usage_runner_on_reported(struct usage_runner *r, int64_t window,
    enum usage_report_result result, int64_t now_ms);

#endif
