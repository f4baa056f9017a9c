/*
 * usage_fleet - a fleet of VMs in virtual time that report usage (prefix
 * ufleet_), with stand-ins for clocks, links, the store and the reports.
 *
 * The rules of docs/workspaces-and-overload.md section 1.2 about tokens and
 * repeated reports are checked while the fleet runs, those about figures and
 * times by ufleet_check(). A broken rule fails the cmocka test that runs.
 *
 *	struct ufleet *f = ufleet_new(n_vms, seed);
 *	ufleet_run(f, 20000);
 *	ufleet_kill(f, ufleet_holder(f));
 *	ufleet_run(f, 20000);
 *	ufleet_check(f);
 *	ufleet_free(f);
 */
#ifndef LIB_USAGE_FLEET_H
#define LIB_USAGE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "usage/usage_duty.h"

#define UFLEET_WINDOW_MS 5000
#define UFLEET_DUE_MS 10000
#define UFLEET_LEASE_MS 3000
/* Windows of a run and workspaces. */
#define UFLEET_WINDOWS 32
#ifndef UFLEET_WORKSPACES
#define UFLEET_WORKSPACES 3
#endif
/* Longest delay of an event. */
#define UFLEET_HORIZON_MS 16384

struct ufleet;

/**
 * struct ufleet_vm - one VM
 * @source: first member, counts of the process
 * @boot: number of the process, 0 while the VM is down
 * @base_ms: virtual time at monotonic time 0
 * @clock_ms: error of its clock
 * @paused_ms: virtual time until which it is paused
 * @refused: the store refuses it
 * @cut: no datagram passes between it and VMs that are not cut
 * @counts: counts of the process by window and workspace
 * @real: requests by true time
 * @unsure: windows in which not all of its counts are expected
 */
struct ufleet_vm {
	struct usage_source source;
	struct ufleet *f;
	char name[16];
	struct usage_duty *duty;
	uint64_t boot;
	int64_t base_ms;
	int64_t clock_ms;
	int64_t paused_ms;
	bool refused;
	bool cut;
	uint32_t counts[UFLEET_WINDOWS][UFLEET_WORKSPACES];
	uint32_t real[UFLEET_WINDOWS][UFLEET_WORKSPACES];
	bool unsure[UFLEET_WINDOWS];
};

/**
 * struct ufleet_faults - what goes wrong at a service; ratios are in [0, 1]
 * @down: each call fails
 * @slow_ms: largest further delay of a call
 * @lost: ratio of answers that are lost, but at most two in succession, because
 *	a report may be late after more
 * @n_lost: answers lost in succession
 * @late: ratio of calls that are executed late, after their time limit
 * @busy: each call is answered with 429
 */
struct ufleet_faults {
	bool down;
	int64_t slow_ms;
	double lost;
	uint32_t n_lost;
	double late;
	bool busy;
};

/** struct ufleet_window - what the address of the reports knows of a window */
struct ufleet_window {
	bool accepted;
	int64_t time_ms;
	uint32_t counts[UFLEET_WORKSPACES];
};

/**
 * struct ufleet - the fleet
 * @now_ms: true time
 * @record: the record in the store
 * @loss: ratio of datagrams that are lost
 * @highest: highest token of a report
 * @reports: accepted reports by window
 * @late: windows that may be reported late or not at all
 * @n_reads: calls to the store, also @n_writes
 * @n_reports: calls to the address of the reports
 * @calls: struct report_call, in the order of time
 * @n_datagrams: datagrams sent
 * @n_bytes: their bytes, without headers of the network, if @measure is set
 * @full_queues: datagrams to a paused VM are lost, not delayed
 */
struct ufleet {
	struct random rng;
	uint32_t n_vms;
	struct ufleet_vm *vms;
	int64_t start_ms;
	int64_t now_ms;
	GSList *events[UFLEET_HORIZON_MS];
	struct usage_record record;
	double loss;
	struct ufleet_faults store;
	struct ufleet_faults report;
	int64_t highest;
	struct ufleet_window reports[UFLEET_WINDOWS];
	bool late[UFLEET_WINDOWS];
	GArray *calls;
	uint32_t n_reads;
	uint32_t n_writes;
	uint32_t n_reports;
	uint64_t n_datagrams;
	uint64_t n_bytes;
	bool measure;
	bool full_queues;
};

/** ufleet_new() - a fleet that has just started */
struct ufleet *ufleet_new(uint32_t n_vms, uint64_t seed);

/** ufleet_free() - free the fleet */
void ufleet_free(struct ufleet *f);

/** ufleet_run() - let @ms milliseconds pass */
void ufleet_run(struct ufleet *f, int64_t ms);

/** ufleet_run_to() - go to a time after the start of the next window */
void ufleet_run_to(struct ufleet *f, int64_t ms);

/** ufleet_run_to_work() - go to a time at which the holder writes and reports
 */
void ufleet_run_to_work(struct ufleet *f);

/** ufleet_holder() - VM that the record names */
struct ufleet_vm *ufleet_holder(struct ufleet *f);

/** ufleet_kill() - end the process of a VM */
void ufleet_kill(struct ufleet_vm *vm);

/** ufleet_start() - start the process of a VM */
void ufleet_start(struct ufleet_vm *vm);

/** ufleet_pause() - pause a VM */
void ufleet_pause(struct ufleet_vm *vm, int64_t ms);

/** ufleet_unsure() - expect not all counts of a VM from now on for @ms */
void ufleet_unsure(struct ufleet_vm *vm, int64_t ms);

/**
 * ufleet_late() - the windows that are open now, and that end in the next @ms,
 * may be late
 */
void ufleet_late(struct ufleet *f, int64_t ms);

/**
 * ufleet_check() - check that each window that is due was reported, in time,
 * and with the right sums
 */
void ufleet_check(struct ufleet *f);

/** ufleet_run_all() - run a failure in fleets of each size with each seed */
void ufleet_run_all(void (*failure)(struct ufleet *f));

#endif
