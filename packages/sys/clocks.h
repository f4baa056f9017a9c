/*
 * clocks - monotonic and wall clock (prefix clk_).
 *
 * Packages with decision logic never read a clock. The I/O packages read it
 * here and pass the time as an argument. The monotonic clock also advances
 * while the VM is suspended.
 *
 *	int64_t start_us = clk_mono_us();
 *	...
 *	elapsed_us = clk_mono_us() - start_us;
 */
#ifndef SYS_CLOCKS_H
#define SYS_CLOCKS_H

#include <stdint.h>

/** clk_mono_us() - time since boot in microseconds */
int64_t clk_mono_us(void);

/** clk_mono_ms() - time since boot in milliseconds */
int64_t clk_mono_ms(void);

/** clk_wall_ms() - Unix time in milliseconds */
int64_t clk_wall_ms(void);

#endif
