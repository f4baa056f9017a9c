/*
 * routing_bench - cost of the routing decision against the size of the
 * configuration.
 *
 *	routing_bench_run(&(struct routing_bench_desc){.seed = 1});
 */
#ifndef BENCH_ROUTING_BENCH_H
#define BENCH_ROUTING_BENCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct routing_bench_desc - settings; zero fields mean the default
 * @seed: start of the random sequence
 * @calls: decisions for each size, default 100,000
 * @json: print JSON lines instead of a table
 */
struct routing_bench_desc {
	uint64_t seed;
	uint32_t calls;
	bool json;
};

/**
 * routing_bench_run() - print one row for each size, nanoseconds for each
 * decision
 */
void routing_bench_run(const struct routing_bench_desc *desc);

#endif
