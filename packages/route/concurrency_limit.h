/*
 * concurrency_limit - limit of one VM's load on an upstream (prefix lim_).
 *
 * The limit bounds the queue at an upstream. It always applies to this VM's
 * calls in flight. While the last load report of the upstream is fresh, it also
 * applies to the reported load plus the calls that this VM started since.
 *
 *	if (lim_is_full(u->stat, u->slots, now_us)) ...
 */
#ifndef ROUTE_CONCURRENCY_LIMIT_H
#define ROUTE_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct rt_stat;

/**
 * lim_is_full() - whether the upstream has reached its limit
 * @s: statistics of the upstream
 * @slots: slots of the upstream, 0 for no limit
 * @now_us: boot-time microseconds
 */
bool lim_is_full(const struct rt_stat *s, uint32_t slots, int64_t now_us);

#endif
