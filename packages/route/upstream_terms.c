#include "route/upstream_terms.h"

#define MILLI 1000
#define US_PER_MS 1000
#define US_PER_S 1000000

void
terms_init(struct upstream_terms *t)
{
	atomic_init(&t->leaving, false);
	atomic_init(&t->pause_until_us, 0);
	atomic_init(&t->milli_per_s, TERMS_NO_LIMIT);
	atomic_init(&t->told_us, 0);
	atomic_init(&t->in_probes, false);
	atomic_init(&t->sent_us, INT64_MIN / 2);
}

static bool
update_limit(
    struct upstream_terms *t, const struct terms_answer *a, int64_t now_us)
{
	bool named = a->limit_milli_per_s != TERMS_NO_LIMIT;
	int64_t before = atomic_load(&t->milli_per_s);

	if (!named && a->probe && !atomic_load(&t->in_probes))
		return (false);
	if (named)
		atomic_store(&t->told_us, now_us);
	if (named && a->probe)
		atomic_store(&t->in_probes, true);
	atomic_store(&t->milli_per_s, a->limit_milli_per_s);
	return (a->limit_milli_per_s != before);
}

/* A shorter pause that is named later does not end a longer one. */
static bool
update_pause(struct upstream_terms *t, int64_t ms, int64_t now_us)
{
	int64_t until_us = now_us +
	    (ms < TERMS_MAX_PAUSE_MS ? ms : TERMS_MAX_PAUSE_MS) * US_PER_MS;

	if (ms <= 0 || until_us <= atomic_load(&t->pause_until_us))
		return (false);
	atomic_store(&t->pause_until_us, until_us);
	return (true);
}

unsigned
terms_on_answer(
    struct upstream_terms *t, const struct terms_answer *a, int64_t now_us)
{
	unsigned changed = 0;

	if (a->leaving && !atomic_exchange(&t->leaving, true))
		changed |= TERMS_LEAVING_CHANGED;
	if (update_pause(t, a->pause_ms, now_us))
		changed |= TERMS_PAUSE_CHANGED;
	if (update_limit(t, a, now_us))
		changed |= TERMS_LIMIT_CHANGED;
	return (changed);
}

/* Number of VMs that share the limit. */
static int64_t
sharers(int64_t milli_per_s, uint32_t n_vms)
{
	int64_t n = milli_per_s / MILLI;

	if (n > (int64_t)n_vms)
		n = n_vms;
	return (n < 1 ? 1 : n);
}

static bool
limit_allows(const struct upstream_terms *t, uint32_t rank, uint32_t n_vms,
    int64_t now_us)
{
	int64_t limit = atomic_load(&t->milli_per_s);
	int64_t n = sharers(limit, n_vms);

	if (limit == TERMS_NO_LIMIT ||
	    now_us - atomic_load(&t->told_us) > TERMS_MEMORY_US)
		return (true);
	if (limit == 0 || rank >= n)
		return (false);
	return (
	    now_us - atomic_load(&t->sent_us) >= n * MILLI * US_PER_S / limit);
}

bool
terms_allow(const struct upstream_terms *t, uint32_t rank, uint32_t n_vms,
    int64_t now_us)
{
	return (!atomic_load(&t->leaving) &&
	    now_us >= atomic_load(&t->pause_until_us) &&
	    limit_allows(t, rank, n_vms, now_us));
}

int64_t
terms_pause_left_us(const struct upstream_terms *t, int64_t now_us)
{
	int64_t left_us = atomic_load(&t->pause_until_us) - now_us;

	return (left_us > 0 ? left_us : 0);
}

void
terms_on_send(struct upstream_terms *t, int64_t now_us)
{
	atomic_store(&t->sent_us, now_us);
}
