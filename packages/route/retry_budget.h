/*
 * retry_budget - retry budget: a token bucket filled by successful calls.
 *
 * Retries are at most a share of the successful calls plus a small rate, so
 * that they cannot multiply the load of upstreams that fail.
 *
 *	retry_budget_init(&b, &(struct retry_budget_desc){0}, now_us);
 *	retry_budget_on_success(&b);
 *	if (retry_budget_take(&b, now_us))
 *		retry();
 */
#ifndef ROUTE_RETRY_BUDGET_H
#define ROUTE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct retry_budget_desc - settings; zero fields mean the defaults
 * @permille: retries per 1,000 successful calls, default 100
 * @min_per_s: retries a second that need no successful call, default 1
 * @burst: largest number of unused retries, default 20
 */
struct retry_budget_desc {
	uint32_t permille;
	uint32_t min_per_s;
	uint32_t burst;
};

/**
 * struct retry_budget - bucket on caller-owned memory
 * @desc: settings with the defaults filled in
 * @limited: retry_budget_limit() was called; there is no minimum rate any more
 * @level: unused retries in millionths
 * @refill_us: when @level was last refilled by time
 */
struct retry_budget {
	struct retry_budget_desc desc;
	bool limited;
	int64_t level;
	int64_t refill_us;
};

/** retry_budget_init() - bucket that holds one second of the minimum rate */
void retry_budget_init(struct retry_budget *b,
    const struct retry_budget_desc *desc, int64_t now_us);

/**
 * retry_budget_limit() - make the bucket a share of a budget of all VMs
 * @permille: retries per 1,000 successful calls
 * @burst: largest number of unused retries; the bucket is full at first
 *
 * It has no minimum rate any more, because minimum rates of all VMs add up.
 */
void retry_budget_limit(
    struct retry_budget *b, uint32_t permille, uint32_t burst);

/** retry_budget_on_success() - a call succeeded */
void retry_budget_on_success(struct retry_budget *b);

/** retry_budget_take() - whether one retry is allowed now; takes it */
bool retry_budget_take(struct retry_budget *b, int64_t now_us);

#endif
