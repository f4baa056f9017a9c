/*
 * mdl - model of load balancer VMs, upstreams and callers in virtual time.
 *
 * Calls arrive as a Poisson process and are spread round robin over the VMs.
 * Each VM keeps its own load statistics and chooses upstreams by a policy;
 * upstreams serve a number of slots from a first-in first-out queue and report
 * their requests in flight in each answer. A run depends on its desc only.
 *
 *	struct mdl_desc d = {.policy = MDL_PRODUCT, .load = 0.85};
 *	struct mdl_result r;
 *	mdl_run(&d, &r);
 */
#ifndef MODEL_MDL_H
#define MODEL_MDL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/histogram.h"

/** enum mdl_policy - how a VM chooses an upstream */
enum mdl_policy {
	MDL_PRODUCT, /* rt_pick() */
	MDL_RANDOM,
	MDL_ROUND_ROBIN,
	MDL_TWO_CHOICES, /* fewer own requests in flight of two */
	MDL_POLICY_COUNT
};

/** enum mdl_fault - what goes wrong during the measured time */
enum mdl_fault {
	MDL_NO_FAULT,
	MDL_SLOW,      /* one upstream serves at a fraction of its speed */
	MDL_FAIL_FAST, /* one upstream fails each call at once */
	MDL_ZONE_GONE, /* a third of the upstreams is taken out */
	MDL_COLD,      /* a third returns cold: one slot, ramping to all */
	MDL_SHIFT, /* each upstream's speed changes every few milliseconds */
	MDL_FAULT_COUNT
};

/**
 * struct mdl_desc - one run; zero fields mean defaults
 * @policy: policy under test
 * @fault: fault under test
 * @load: offered load as a share of the capacity of all slots, default 0.85
 * @vms: load balancer VMs, default 13
 * @upstreams: upstreams of the service, default 20
 * @slots: slots of each, default 6
 * @service_us: mean service time in microseconds, default 5,000
 * @one_way_us: network delay between VM and upstream, default 700
 * @slow_factor: speed divisor of the slow upstream, default 5
 * @calls: measured calls, default 200,000
 * @deadline_us: a later answer does not count as goodput, default 1,000,000
 * @seed: seed of all random draws
 */
struct mdl_desc {
	enum mdl_policy policy;
	enum mdl_fault fault;
	double load;
	uint32_t vms;
	uint32_t upstreams;
	uint32_t slots;
	uint32_t service_us;
	uint32_t one_way_us;
	uint32_t slow_factor;
	uint32_t calls;
	uint32_t deadline_us;
	uint64_t seed;
};

/**
 * struct mdl_result - outcome of one run
 * @latency: time of calls that were answered, also late, in microseconds
 * @good: calls answered well within the deadline
 * @failed: calls that an upstream failed
 * @late: calls answered after the deadline
 * @refused: calls refused by the VM
 * @goodput: calls answered well a second, while calls arrive, as a share of the
 *	capacity
 * @faulty_share: share of calls sent to the faulty upstreams
 * @cold_overload: calls that reached a cold upstream above what it bears
 */
struct mdl_result {
	struct histogram latency;
	uint64_t good;
	uint64_t failed;
	uint64_t late;
	uint64_t refused;
	double goodput;
	double faulty_share;
	uint64_t cold_overload;
};

/** mdl_run() - run one model to its end */
void mdl_run(const struct mdl_desc *desc, struct mdl_result *result);

/** mdl_policy_name() - name for tables */
const char *mdl_policy_name(enum mdl_policy p);

/** mdl_fault_name() - name for tables */
const char *mdl_fault_name(enum mdl_fault f);

#endif
