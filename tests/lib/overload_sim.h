/*
 * overload_sim - virtual-time model of a fleet with too little room, with the
 * real admission, load_choice and retry_budget (prefix osim_).
 *
 * Upstreams have a few slots, a short queue, and a pace that changes; above 0.8
 * of the slots they get slower. Each VM sees a part of the calls and asks a few
 * upstreams for their load before it sends a request.
 *
 *	osim_run(&(struct osim_desc){.n_vms = 19, .seed = 1, .load = {0.3, 1}},
 *	    &result);
 */
#ifndef LIB_OVERLOAD_SIM_H
#define LIB_OVERLOAD_SIM_H

#include <stdbool.h>
#include <stdint.h>

#define OSIM_CLASSES 2
#define OSIM_WORKSPACES 40

/** enum osim_policy - admission and the baselines */
enum osim_policy {
	OSIM_ADMISSION,
	OSIM_WAIT_THIRD, /* in order of arrival, for a third of the goal */
	OSIM_FIRST_COME, /* in order of arrival, until the deadline */
	OSIM_NO_QUEUE,
	/* One queue of the fleet that sees all upstreams at all times. */
	OSIM_CENTRAL,
	OSIM_POLICIES
};

/** enum osim_fault - what happens in the middle of the measured time */
enum osim_fault {
	OSIM_NO_FAULT,
	OSIM_REFUSE_HALF,  /* each upstream refuses half of its requests */
	OSIM_QUARTER_SLOW, /* a quarter of the upstreams is five times slower */
	OSIM_ZONE_EMPTY,   /* a third of the upstreams takes no requests */
	OSIM_VM_KILLED,
	OSIM_VM_PAUSED,  /* for a second */
	OSIM_VM_CUT_OFF, /* no upstream answers a VM */
	OSIM_REPORTS_MISSING,
	OSIM_REPORTS_LATE,  /* by 500 ms */
	OSIM_REPORTS_FALSE, /* a quarter of the upstreams reports no load */
};

/**
 * struct osim_desc - settings
 * @load: demand of the urgent and of the other class, in shares of capacity
 * @burst: factor on the demand of the classes in the measured time, 0 for 1
 * @retries: how often a caller returns after a rejection
 * @impatient: callers return at once and not after Retry-After
 * @workspaces: calls belong to workspaces, one of which has a third of them
 */
struct osim_desc {
	enum osim_policy policy;
	enum osim_fault fault;
	uint32_t n_vms;
	uint64_t seed;
	double load[OSIM_CLASSES];
	uint32_t retries;
	bool impatient;
	bool workspaces;
};

/**
 * struct osim_class_result - calls of a class that were first sent in the
 * measured time
 * @served: answered before the deadline
 * @good: answered within the goal
 * @ran_late: ended after the deadline although an upstream worked on it
 */
struct osim_class_result {
	double calls;
	double served;
	double good;
	double ran_late;
};

/**
 * struct osim_result - sums; runs may add to the same result
 * @work: work that ended before its deadline, in slot seconds
 * @rejections: rejections, and those decided within an eighth of the goal
 * @inverted: urgent calls that a less urgent one of the VM overtook
 * @wrong: calls with no answer or with two
 */
struct osim_result {
	struct osim_class_result class[OSIM_CLASSES];
	double work;
	double rejections;
	double early_rejections;
	double attempts;
	uint64_t inverted;
	uint64_t wrong;
	double workspace_calls[OSIM_WORKSPACES];
	double workspace_served[OSIM_WORKSPACES];
};

/** osim_run() - run the model and add to @r */
void osim_run(const struct osim_desc *desc, struct osim_result *r);

#endif
