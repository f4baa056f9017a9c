/*
 * retry_budget - limits retries by a token bucket that successful calls fill.
 *
 * Retries are limited to a share of the successful calls plus a small minimum
 * rate, so that they cannot multiply the load on failing upstreams. A VM's
 * share of a fleet-wide budget is a share of the requests instead, successful
 * or not. That bounds the load as well, and leaves retries when most attempts
 * are refused.
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
 * @min_per_s: retries per second allowed without successful calls, default 1
 * @burst: capacity of the bucket in retries, default 20
 */
struct retry_budget_desc {
	uint32_t permille;
	uint32_t min_per_s;
	uint32_t burst;
};

/**
 * struct retry_budget - bucket on caller-owned memory
 * @desc: settings with the defaults filled in
 * @limited: retry_budget_limit() was called, so there is no minimum rate
 * @level: available retries in millionths of a retry
 * @refill_us: time of the last refill at the minimum rate, microseconds
 */
struct retry_budget {
	struct retry_budget_desc desc;
	bool limited;
	int64_t level;
	int64_t refill_us;
};

/**
 * retry_budget_init() - fill the bucket with one second of the minimum rate
 * @b: bucket
 * @desc: settings; copied
 * @now_us: time in microseconds, by the clock that retry_budget_take() gets
 */
void retry_budget_init(struct retry_budget *b,
    const struct retry_budget_desc *desc, int64_t now_us);

/**
 * retry_budget_limit() - apply this VM's share of a fleet-wide retry budget
 * @permille: retries per 1,000 requests
 * @burst: capacity of the bucket in retries
 *
 * The first use of this function on a bucket fills it. The bucket no longer has
 * a minimum rate, because the minimum rates of all VMs would add up.
 */
void retry_budget_limit(
    struct retry_budget *b, uint32_t permille, uint32_t burst);

/**
 * retry_budget_on_success() - add the share of one successful call; does
 * nothing after retry_budget_limit()
 */
void retry_budget_on_success(struct retry_budget *b);

/**
 * retry_budget_on_request() - add the share of one request, when its first
 * attempt begins; does nothing before retry_budget_limit()
 */
void retry_budget_on_request(struct retry_budget *b);

/** retry_budget_has() - whether retry_budget_take() would succeed now */
bool retry_budget_has(struct retry_budget *b, int64_t now_us);

/**
 * retry_budget_has_spare() - whether a retry would leave half of the others
 *
 * A bucket for a single retry has no others, so that its retry is for any call.
 */
bool retry_budget_has_spare(struct retry_budget *b, int64_t now_us);

/** retry_budget_take() - consume one retry; Return: false when none is left */
bool retry_budget_take(struct retry_budget *b, int64_t now_us);

#endif
