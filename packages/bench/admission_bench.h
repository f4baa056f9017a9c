/*
 * admission_bench - duration of the decisions of admission with a full queue.
 *
 *	admission_bench_run(&(struct admission_bench_desc){.seed = 1});
 */
#ifndef BENCH_ADMISSION_BENCH_H
#define BENCH_ADMISSION_BENCH_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct admission_bench_desc - settings; zero fields mean the default
 * @seed: seed of the random numbers
 * @calls: decisions measured in each round, default 100,000
 * @json: print JSON lines instead of a table
 */
struct admission_bench_desc {
	uint64_t seed;
	uint32_t calls;
	bool json;
};

/**
 * admission_bench_run() - print one row for each number of waiting calls to
 * stdout, with the nanoseconds of an arrival that is queued, of taking the next
 * call with its start, and of a rejection
 */
void admission_bench_run(const struct admission_bench_desc *desc);

#endif
