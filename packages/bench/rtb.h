/*
 * rtb - cost of the routing decision against the size of the configuration.
 *
 *	rtb_run(&(struct rtb_desc){.seed = 1});
 */
#ifndef BENCH_RTB_H
#define BENCH_RTB_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct rtb_desc - settings; zero fields mean the default
 * @seed: start of the random sequence
 * @calls: decisions for each size, default 100,000
 * @json: print JSON lines instead of a table
 */
struct rtb_desc {
	uint64_t seed;
	uint32_t calls;
	bool json;
};

/** rtb_run() - print one row for each size, nanoseconds for each decision */
void rtb_run(const struct rtb_desc *desc);

#endif
