/*
 * lim - concurrency limit of one upstream as one VM sees it.
 *
 * The limit bounds the queue that forms at an upstream. It uses the load that
 * the upstream last reported, plus the own calls started since, while the
 * report is fresh, and the own calls in flight otherwise.
 *
 *	if (lim_is_full(u->stat, u->slots, now_us)) ...
 */
#ifndef ROUTE_CONCURRENCY_LIMIT_H
#define ROUTE_CONCURRENCY_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct rt_stat;

/**
 * lim_is_full() - whether the upstream should get no further call now
 * @slots: slots of the upstream, 0 for no limit
 */
bool lim_is_full(const struct rt_stat *s, uint32_t slots, int64_t now_us);

#endif
