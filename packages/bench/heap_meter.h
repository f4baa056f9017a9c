/*
 * heap_meter - bytes on the heap of a process that is linked with it.
 *
 * It replaces malloc(3) and its relatives by functions that count the usable
 * size of each block and call those of the C library. With ASan or TSan it
 * counts through their hooks. Counts all threads.
 *
 *	heap_meter_reset_peak();
 *	before = heap_meter_now();
 *	...
 *	grown = heap_meter_peak() - before;
 */
#ifndef BENCH_HEAP_METER_H
#define BENCH_HEAP_METER_H

#include <stddef.h>

/** heap_meter_now() - bytes in allocated blocks */
size_t heap_meter_now(void);

/** heap_meter_peak() - most bytes since the last heap_meter_reset_peak() */
size_t heap_meter_peak(void);

/** heap_meter_reset_peak() - set the peak to the present number of bytes */
void heap_meter_reset_peak(void);

#endif
