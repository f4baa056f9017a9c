#include "front/retry_policy.h"

#include "front/worker.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

#define DEFAULT_MAX_ATTEMPTS 3

unsigned
retry_policy_max_attempts(const struct call *c)
{
	return (c->max_attempts != 0 ? c->max_attempts : DEFAULT_MAX_ATTEMPTS);
}

bool
retry_policy_is_allowed(
    const struct call *c, enum err_kind kind, int64_t now_us)
{
	if (kind == ERR_NONE || kind == ERR_DEADLINE || kind == ERR_NOT_FRESH)
		return (false);
	if (c->conn == NULL || c->attempts >= retry_policy_max_attempts(c) ||
	    c->answer_started || c->body_dropped)
		return (false);
	if (now_us >= c->deadline_us)
		return (false);
	if (c->sent == CALL_MAY_BE_SENT && !c->idempotent &&
	    !(kind == ERR_REFUSED &&
		worker_shared_state(c->w)->protocol->status_means_not_run))
		return (false);
	return (true);
}

bool
retry_policy_take(struct call *c, enum err_kind kind)
{
	int64_t now_us = clk_mono_us();

	if (!retry_policy_is_allowed(c, kind, now_us))
		return (false);
	/*
	 * Nothing was sent on an unclean connection, so its retry is free. The
	 * retry of a failed attempt was taken from the budget earlier.
	 */
	return (
	    c->unclean || c->failed || worker_service_take_retry(c, now_us));
}
