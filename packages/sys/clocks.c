#include "sys/clocks.h"

#include <time.h>

static int64_t
read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return ((int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000);
}

int64_t
clk_mono_us(void)
{
	return (read_us(CLOCK_BOOTTIME));
}

int64_t
clk_mono_ms(void)
{
	return (read_us(CLOCK_BOOTTIME) / 1000);
}

int64_t
clk_wall_ms(void)
{
	return (read_us(CLOCK_REALTIME) / 1000);
}
