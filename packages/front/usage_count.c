#include "front/usage_count.h"

#include "front/call.h"
#include "front/worker.h"

/* Present window of usage reports, -1 when usage is not reported. */
static int64_t
present_window(const struct shared_state *shared, int64_t now_us)
{
	int64_t window_ms = atomic_load_explicit(
	    &shared->usage_window_ms, memory_order_acquire);

	if (window_ms == 0)
		return (-1);
	return ((now_us / 1000 +
		    atomic_load_explicit(
			&shared->usage_offset_ms, memory_order_relaxed)) /
	    window_ms);
}

void
usage_count_sent(struct call *c, int64_t now_us)
{
	c->usage_window = -1;
	if (c->usage == NULL)
		return;
	c->usage_window = present_window(worker_shared_state(c->w), now_us);
	usage_counter_add(c->usage, c->usage_window, 1);
}

void
usage_count_not_run(struct call *c)
{
	if (c->usage == NULL || c->sent == CALL_NOT_SENT)
		return;
	usage_counter_add(c->usage, c->usage_window, -1);
	c->usage_window = -1;
}
