#include "front/byte_budget.h"

#define PARTS 16
#define MAX_PRIORITY_PARTS 8
#define UNKNOWN_PARTS 4

void
budget_init(struct byte_budget *b, uint64_t limit)
{
	b->limit = limit;
	atomic_store(&b->held, 0);
}

bool
budget_is_limited(const struct byte_budget *b)
{
	return (b->limit != 0);
}

static uint64_t
limit_for(const struct byte_budget *b, uint32_t priority, bool known)
{
	uint64_t parts = PARTS;

	parts -= priority < MAX_PRIORITY_PARTS ? priority : MAX_PRIORITY_PARTS;
	if (!known)
		parts -= UNKNOWN_PARTS;
	return (b->limit / PARTS * parts);
}

bool
budget_take(struct byte_budget *b, size_t *share, size_t n, uint32_t priority,
    bool known)
{
	if (b->limit == 0)
		return (true);
	if (atomic_fetch_add(&b->held, n) + n > limit_for(b, priority, known)) {
		atomic_fetch_sub(&b->held, n);
		return (false);
	}
	*share = n;
	return (true);
}

void
budget_set(struct byte_budget *b, size_t *share, size_t n)
{
	if (*share == 0 || *share == n)
		return;
	if (n > *share)
		atomic_fetch_add(&b->held, n - *share);
	else
		atomic_fetch_sub(&b->held, *share - n);
	*share = n;
}

bool
budget_is_tight(const struct byte_budget *b)
{
	return (b->limit != 0 && budget_held(b) > b->limit / 2);
}

uint64_t
budget_held(const struct byte_budget *b)
{
	return (atomic_load_explicit(&b->held, memory_order_relaxed));
}
