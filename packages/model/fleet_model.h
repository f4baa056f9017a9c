/*
 * fleet_model - discrete-event simulation of load balancer VMs, upstreams and
 * callers in virtual time (prefix model_).
 *
 * Calls arrive as a Poisson process and are distributed round robin over the
 * VMs. Each VM keeps its own load statistics and chooses upstreams by a policy.
 * An upstream serves as many requests at a time as it has slots, queues the
 * others first-in first-out, and reports its requests in flight with each
 * response. The result of a run depends only on its struct model_desc.
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

/**
 * enum model_policy - how a VM chooses an upstream
 * @MODEL_PRODUCT: rt_pick(), as the load balancer does
 * @MODEL_RANDOM: any upstream with equal probability
 * @MODEL_ROUND_ROBIN: all upstreams in turn
 * @MODEL_TWO_CHOICES: of two random upstreams the one with fewer requests in
 *	flight from this VM
 */
enum model_policy {
	MODEL_PRODUCT,
	MODEL_RANDOM,
	MODEL_ROUND_ROBIN,
	MODEL_TWO_CHOICES,
	MODEL_POLICY_COUNT
};

/** enum model_fault - fault present during the run */
enum model_fault {
	MODEL_NO_FAULT,
	MODEL_SLOW,      /* one upstream serves at a fraction of its speed */
	MODEL_FAIL_FAST, /* one upstream fails each call immediately */
	MODEL_ZONE_GONE, /* a third of the upstreams is drained */
	MODEL_COLD,      /* a third starts cold: one slot, ramping up to all */
	MODEL_SHIFT,     /* each upstream's speed changes every 20 ms */
	MODEL_FAULT_COUNT
};

/**
 * struct model_desc - settings of one run; zero fields mean the default
 * @policy: policy under test
 * @fault: fault under test
 * @load: offered load as a share of the capacity of all slots, default 0.85
 * @vms: load balancer VMs, default 13
 * @upstreams: upstreams of the service, default 20
 * @slots: slots of each upstream, default 6
 * @service_us: mean service time in microseconds, default 5,000
 * @one_way_us: one-way network delay between VM and upstream in microseconds,
 *	default 700
 * @slow_factor: speed divisor of the slow upstream, default 5
 * @calls: measured calls, default 200,000
 * @deadline_us: time in microseconds after which an answer does not count as
 *	goodput, default 1,000,000
 * @seed: seed of all random numbers, default 1
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
 * struct model_result - outcome of one run; counts only measured calls, except
 *	for @goodput
 * @latency: latency of the answered calls, including late ones, in microseconds
 * @good: calls answered without failure within the deadline
 * @failed: calls failed by an upstream
 * @late: calls answered after the deadline
 * @refused: calls refused by the VM because it found no upstream within 50 ms
 * @goodput: rate of calls answered without failure within the deadline, while
 *	measured calls arrive, as a share of the capacity
 * @faulty_share: share of calls sent to the faulty upstreams; upstream 0 counts
 *	as faulty in each run, with MODEL_COLD all cold upstreams do
 * @cold_overload: calls that reached a cold upstream while it had more than
 *	twice as many requests in flight as available slots
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

/** model_run() - simulate one run to its end */
void model_run(const struct model_desc *desc, struct model_result *result);

/** model_policy_name() - name of a policy in reports */
const char *model_policy_name(enum model_policy p);

/** model_fault_name() - name of a fault in reports */
const char *model_fault_name(enum model_fault f);

#endif
