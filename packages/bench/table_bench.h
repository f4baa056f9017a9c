/*
 * table_bench - bytes and time to build a routing table, and the time to find a
 * host and a path in it.
 *
 *	table_bench_run(false);
 */
#ifndef BENCH_TABLE_BENCH_H
#define BENCH_TABLE_BENCH_H

#include <stdbool.h>

/**
 * table_bench_run() - print to stdout one row for each thing that grows alone
 * from 100 to 10,000, one for the design size, and the times of look-ups
 * @json: print JSON lines instead of tables
 */
void table_bench_run(bool json);

#endif
