/*
 * routing_bench - duration of the routing decision for different numbers of
 * services and upstreams.
 *
 *	routing_bench_run(&(struct routing_bench_desc){.seed = 1});
 */
#ifndef BENCH_ROUTING_BENCH_H
#define BENCH_ROUTING_BENCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct routing_bench_desc - settings; zero fields mean the default
 * @seed: seed of the random numbers
 * @calls: routing decisions measured for each table size, default 100,000
 * @json: print JSON lines instead of a table
 */
struct routing_bench_desc {
	uint64_t seed;
	uint32_t calls;
	bool json;
};

/**
 * routing_bench_run() - print one row for each table size to stdout, with the
 * nanoseconds of each routing step and of the whole decision
 */
void routing_bench_run(const struct routing_bench_desc *desc);

#endif
