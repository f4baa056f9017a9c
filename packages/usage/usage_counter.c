#include "usage/usage_counter.h"

#include <stdbool.h>
#include <stdlib.h>

/* A slot holds the window number above this many bits of the count. */
#define COUNT_BITS 24
#define COUNT_MAX ((1u << COUNT_BITS) - 1)

struct usage_counter *
usage_counter_new(void)
{
	struct usage_counter *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	atomic_store(&c->refs, 1);
	return (c);
}

struct usage_counter *
usage_counter_ref(struct usage_counter *c)
{
	atomic_fetch_add(&c->refs, 1);
	return (c);
}

void
usage_counter_unref(struct usage_counter *c)
{
	if (atomic_fetch_sub(&c->refs, 1) == 1)
		free(c);
}

static int64_t
window_of(uint64_t slot)
{
	return ((int64_t)(slot >> COUNT_BITS));
}

static uint32_t
count_of(uint64_t slot)
{
	return ((uint32_t)(slot & COUNT_MAX));
}

/* Value of a slot after a change; false when the slot stays as it is. */
static bool
change_slot(uint64_t slot, int64_t window, int change, uint64_t *out)
{
	int64_t count = window_of(slot) == window ? count_of(slot) : 0;

	count += change;
	if (window_of(slot) > window || count < 0 || count > COUNT_MAX)
		return (false);
	*out = (uint64_t)window << COUNT_BITS | (uint64_t)count;
	return (true);
}

void
usage_counter_add(struct usage_counter *c, int64_t window, int change)
{
	_Atomic uint64_t *slot;
	uint64_t old, new;

	if (window < 0)
		return;
	slot = &c->slots[window % USAGE_COUNTER_WINDOWS];
	old = atomic_load(slot);
	do {
		if (!change_slot(old, window, change, &new))
			return;
	} while (!atomic_compare_exchange_weak(slot, &old, new));
}

uint32_t
usage_counter_get(const struct usage_counter *c, int64_t window)
{
	uint64_t slot;

	if (window < 0)
		return (0);
	slot = atomic_load(&c->slots[window % USAGE_COUNTER_WINDOWS]);
	return (window_of(slot) == window ? count_of(slot) : 0);
}
