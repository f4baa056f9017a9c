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
    const struct call_attempt *a, enum err_kind kind, int64_t now_us)
{
	const struct call *c = a->call;

	if (kind == ERR_NONE || kind == ERR_DEADLINE || kind == ERR_NOT_FRESH)
		return (false);
	if (c->conn == NULL || c->attempts >= retry_policy_max_attempts(c) ||
	    c->answer_started || c->body_dropped)
		return (false);
	if (now_us >= c->deadline_us)
		return (false);
	if (a->sent == CALL_MAY_BE_SENT && !c->idempotent &&
	    !(kind == ERR_REFUSED &&
		worker_shared_state(c->w)->protocol->status_means_not_run))
		return (false);
	return (true);
}

bool
retry_policy_take(struct call_attempt *a, enum err_kind kind)
{
	int64_t now_us = clk_mono_us();

	if (!retry_policy_is_allowed(a, kind, now_us))
		return (false);
	/* Nothing was sent on an unclean connection, so its retry is free. */
	return (a->unclean || a->retry_taken ||
	    worker_service_take_retry(a->call, now_us));
}
