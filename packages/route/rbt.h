/*
 * rbt - retry budget: a token bucket filled by successful calls.
 *
 * Retries are at most a share of the successful calls plus a small rate, so
 * that they cannot multiply the load of upstreams that fail.
 *
 *	rbt_init(&b, &(struct rbt_desc){0}, now_us);
 *	rbt_on_success(&b);
 *	if (rbt_take(&b, now_us))
 *		retry();
 */
#ifndef ROUTE_RBT_H
#define ROUTE_RBT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct rbt_desc - settings; zero fields mean the defaults
 * @permille: retries per 1,000 successful calls, default 100
 * @min_per_s: retries a second that need no successful call, default 1
 * @burst: largest number of unused retries, default 20
 */
struct rbt_desc {
	uint32_t permille;
	uint32_t min_per_s;
	uint32_t burst;
};

/**
 * struct rbt - bucket on caller-owned memory
 * @desc: settings with the defaults filled in
 * @limited: rbt_limit() was called; there is no minimum rate any more
 * @level: unused retries in millionths
 * @refill_us: when @level was last refilled by time
 */
struct rbt {
	struct rbt_desc desc;
	bool limited;
	int64_t level;
	int64_t refill_us;
};

/** rbt_init() - bucket that holds one second of the minimum rate */
void rbt_init(struct rbt *b, const struct rbt_desc *desc, int64_t now_us);

/**
 * rbt_limit() - make the bucket a share of a budget of all VMs
 * @permille: retries per 1,000 successful calls
 * @burst: largest number of unused retries; the bucket is full at first
 *
 * It has no minimum rate any more, because minimum rates of all VMs add up.
 */
void rbt_limit(struct rbt *b, uint32_t permille, uint32_t burst);

/** rbt_on_success() - a call succeeded */
void rbt_on_success(struct rbt *b);

/** rbt_take() - whether one retry is allowed now; takes it */
bool rbt_take(struct rbt *b, int64_t now_us);

#endif
