/*
 * clocks - the clocks of the daemon.
 *
 * Decisions never read a clock; the I/O packages read it here and pass the time
 * on. The monotonic clock counts while the VM is suspended.
 */
#ifndef SYS_CLOCKS_H
#define SYS_CLOCKS_H

#include <stdint.h>

/** clk_mono_us() - boot-time clock in microseconds */
int64_t clk_mono_us(void);

/** clk_mono_ms() - boot-time clock in milliseconds */
int64_t clk_mono_ms(void);

/** clk_wall_ms() - Unix time in milliseconds */
int64_t clk_wall_ms(void);

#endif
