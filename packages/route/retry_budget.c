#include "route/retry_budget.h"

#define DEFAULT_PERMILLE 100
#define DEFAULT_MIN_PER_S 1
#define DEFAULT_BURST 20
#define ONE_RETRY 1000000 /* units of retry_budget.level per retry */
#define US_PER_S 1000000

static void
add(struct retry_budget *b, int64_t amount)
{
	int64_t max = (int64_t)b->desc.burst * ONE_RETRY;

	b->level += amount;
	if (b->level > max)
		b->level = max;
}

static void
refill(struct retry_budget *b, int64_t now_us)
{
	int64_t max_us = (int64_t)b->desc.burst * US_PER_S;
	int64_t us = now_us - b->refill_us;

	if (us <= 0)
		return;
	b->refill_us = now_us;
	if (b->limited)
		return;
	if (us > max_us)
		us = max_us;
	add(b, us * b->desc.min_per_s * (ONE_RETRY / US_PER_S));
}

void
retry_budget_init(struct retry_budget *b, const struct retry_budget_desc *desc,
    int64_t now_us)
{
	b->desc = *desc;
	if (b->desc.permille == 0)
		b->desc.permille = DEFAULT_PERMILLE;
	if (b->desc.min_per_s == 0)
		b->desc.min_per_s = DEFAULT_MIN_PER_S;
	if (b->desc.burst == 0)
		b->desc.burst = DEFAULT_BURST;
	b->level = 0;
	b->refill_us = now_us;
	b->limited = false;
	add(b, (int64_t)b->desc.min_per_s * ONE_RETRY);
}

void
retry_budget_limit(struct retry_budget *b, uint32_t permille, uint32_t burst)
{
	b->desc.permille = permille;
	b->desc.burst = burst;
	add(b, b->limited ? 0 : (int64_t)burst * ONE_RETRY);
	b->limited = true;
}

static void
add_share(struct retry_budget *b)
{
	add(b, (int64_t)b->desc.permille * (ONE_RETRY / 1000));
}

void
retry_budget_on_success(struct retry_budget *b)
{
	if (!b->limited)
		add_share(b);
}

void
retry_budget_on_request(struct retry_budget *b)
{
	if (b->limited)
		add_share(b);
}

bool
retry_budget_has(struct retry_budget *b, int64_t now_us)
{
	refill(b, now_us);
	return (b->level >= ONE_RETRY);
}

bool
retry_budget_has_spare(struct retry_budget *b, int64_t now_us)
{
	return (retry_budget_has(b, now_us) &&
	    b->level - ONE_RETRY >=
		(int64_t)(b->desc.burst - 1) * ONE_RETRY / 2);
}

bool
retry_budget_take(struct retry_budget *b, int64_t now_us)
{
	if (!retry_budget_has(b, now_us))
		return (false);
	b->level -= ONE_RETRY;
	return (true);
}
