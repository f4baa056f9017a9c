#include "front/usage_count.h"

int64_t
usage_count_sent(struct usage_counter *counter,
    const struct shared_state *shared, int64_t now_us)
{
	int64_t window_ms = atomic_load(&shared->usage_window_ms);
	int64_t window;

	if (counter == NULL || window_ms == 0)
		return (-1);
	window =
	    (now_us / 1000 + atomic_load(&shared->usage_offset_ms)) / window_ms;
	usage_counter_add(counter, window, 1);
	return (window);
}

void
usage_count_not_run(struct usage_counter *counter, int64_t *window)
{
	if (counter != NULL)
		usage_counter_add(counter, *window, -1);
	*window = -1;
}
