#include "route/concurrency_limit.h"

#include "route/routing.h"

/*
 * Requests in flight per slot at which an upstream counts as full: 5/2. A queue
 * of one and a half times the slots keeps all slots busy between two reports.
 */
#define FULL_PER_SLOT_NUM 5
#define FULL_PER_SLOT_DEN 2
/*
 * Lifetime of a report: this many service times, since the load changes faster
 * when calls are shorter, but at least the minimum.
 */
#define REPORT_FRESH_SERVICE_TIMES 20
#define REPORT_FRESH_MIN_US 20000

bool
lim_is_full(const struct rt_stat *s, uint32_t slots, int64_t now_us)
{
	int64_t limit = (int64_t)slots * FULL_PER_SLOT_NUM / FULL_PER_SLOT_DEN;
	int32_t own = atomic_load_explicit(&s->in_flight, memory_order_relaxed);
	int32_t load = atomic_load_explicit(&s->reported, memory_order_relaxed);
	int64_t at =
	    atomic_load_explicit(&s->reported_us, memory_order_relaxed);

	int64_t fresh = REPORT_FRESH_SERVICE_TIMES *
	    atomic_load_explicit(&s->service_us, memory_order_relaxed);

	if (fresh < REPORT_FRESH_MIN_US)
		fresh = REPORT_FRESH_MIN_US;
	if (slots == 0)
		return (false);
	if (own >= limit)
		return (true);
	if (load < 0 || now_us - at > fresh)
		return (false);
	load += atomic_load_explicit(
	    &s->started_since_report, memory_order_relaxed);
	return (load >= limit);
}
