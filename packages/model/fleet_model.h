/*
 * fleet_model - model of load balancer VMs, upstreams and callers in virtual
 * time.
 *
 * Calls arrive as a Poisson process and are spread round robin over the VMs.
 * Each VM keeps its own load statistics and chooses upstreams by a policy;
 * upstreams serve a number of slots from a first-in first-out queue and report
 * their requests in flight in each answer. A run depends on its desc only.
 *
 *	struct model_desc d = {.policy = MODEL_PRODUCT, .load = 0.85};
 *	struct model_result r;
 *	model_run(&d, &r);
 */
#ifndef MODEL_FLEET_MODEL_H
#define MODEL_FLEET_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/histogram.h"

/** enum model_policy - how a VM chooses an upstream */
enum model_policy {
	MODEL_PRODUCT, /* rt_pick() */
	MODEL_RANDOM,
	MODEL_ROUND_ROBIN,
	MODEL_TWO_CHOICES, /* fewer own requests in flight of two */
	MODEL_POLICY_COUNT
};

/** enum model_fault - what goes wrong during the measured time */
enum model_fault {
	MODEL_NO_FAULT,
	MODEL_SLOW,      /* one upstream serves at a fraction of its speed */
	MODEL_FAIL_FAST, /* one upstream fails each call at once */
	MODEL_ZONE_GONE, /* a third of the upstreams is taken out */
	MODEL_COLD,      /* a third returns cold: one slot, ramping to all */
	MODEL_SHIFT, /* each upstream's speed changes every few milliseconds */
	MODEL_FAULT_COUNT
};

/**
 * struct model_desc - one run; zero fields mean defaults
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
struct model_desc {
	enum model_policy policy;
	enum model_fault fault;
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
 * struct model_result - outcome of one run
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
struct model_result {
	struct histogram latency;
	uint64_t good;
	uint64_t failed;
	uint64_t late;
	uint64_t refused;
	double goodput;
	double faulty_share;
	uint64_t cold_overload;
};

/** model_run() - run one model to its end */
void model_run(const struct model_desc *desc, struct model_result *result);

/** model_policy_name() - name for tables */
const char *model_policy_name(enum model_policy p);

/** model_fault_name() - name for tables */
const char *model_fault_name(enum model_fault f);

#endif
