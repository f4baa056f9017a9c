/*
 * byte_budget - memory that a VM holds for callers and upstreams (prefix
 * budget_).
 *
 * One budget counts the buffers of all calls of a process. Each call has a
 * share. A new share is refused when it does not fit; the share of a call that
 * runs may grow beyond the limit, and its owner keeps it small while the budget
 * is tight. Shares may be changed from any thread, each by one at a time.
 *
 *	budget_init(&b, 40 << 20);
 *	if (!budget_take(&b, &share, 32768, priority, known))
 *		refuse();
 *	budget_set(&b, &share, 65536);
 *	budget_set(&b, &share, 0);
 */
#ifndef FRONT_BYTE_BUDGET_H
#define FRONT_BYTE_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct byte_budget - budget; zero-initialized memory is a budget without
 * limit, which counts nothing
 * @limit: bytes, 0 for no limit
 * @held: sum of all shares
 */
struct byte_budget {
	uint64_t limit;
	_Atomic uint64_t held;
};

/** budget_init() - set up an empty budget; @limit is 0 for no limit */
void budget_init(struct byte_budget *b, uint64_t limit);

/** budget_is_limited() - whether the budget has a limit */
bool budget_is_limited(const struct byte_budget *b);

/**
 * budget_take() - take the first part of a share
 * @b: budget
 * @share: share that is 0; unchanged when refused, or without a limit
 * @n: bytes
 * @priority: priority of the call, 0 is the most urgent; each step has a
 *	sixteenth of the limit less, up to one half
 * @known: the caller has read an answer before; others have a quarter of the
 *	limit less
 *
 * Return: false when the share does not fit.
 */
bool budget_take(struct byte_budget *b, size_t *share, size_t n,
    uint32_t priority, bool known);

/**
 * budget_set() - change a share that budget_take() gave; no effect on a share
 * that is 0
 */
void budget_set(struct byte_budget *b, size_t *share, size_t n);

/** budget_is_tight() - whether more than half of the limit is held */
bool budget_is_tight(const struct byte_budget *b);

/** budget_held() - sum of all shares */
uint64_t budget_held(const struct byte_budget *b);

#endif
