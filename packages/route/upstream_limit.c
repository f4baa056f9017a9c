#include "route/upstream_limit.h"

#define MILLI 1000
#define US_PER_S 1000000

void
ulim_init(struct upstream_limit *l)
{
	atomic_init(&l->milli_per_s, ULIM_NONE);
	atomic_init(&l->told_us, 0);
	atomic_init(&l->in_probes, false);
	atomic_init(&l->sent_us, INT64_MIN / 2);
}

bool
ulim_on_answer(
    struct upstream_limit *l, int64_t milli_per_s, bool probe, int64_t now_us)
{
	int64_t before = atomic_load(&l->milli_per_s);

	if (milli_per_s == ULIM_NONE && probe && !atomic_load(&l->in_probes))
		return (false);
	if (milli_per_s != ULIM_NONE) {
		atomic_store(&l->told_us, now_us);
		if (probe)
			atomic_store(&l->in_probes, true);
	}
	atomic_store(&l->milli_per_s, milli_per_s);
	return (milli_per_s != before);
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

bool
ulim_allows(const struct upstream_limit *l, uint32_t rank, uint32_t n_vms,
    int64_t now_us)
{
	int64_t limit = atomic_load(&l->milli_per_s);
	int64_t n = sharers(limit, n_vms);

	if (limit == ULIM_NONE ||
	    now_us - atomic_load(&l->told_us) > ULIM_MEMORY_US)
		return (true);
	if (limit == 0 || rank >= n)
		return (false);
	return (
	    now_us - atomic_load(&l->sent_us) >= n * MILLI * US_PER_S / limit);
}

void
ulim_on_send(struct upstream_limit *l, int64_t now_us)
{
	atomic_store(&l->sent_us, now_us);
}
