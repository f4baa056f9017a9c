/*
 * usage_count - counts the requests of workspaces that upstreams began to run
 * (prefix usage_count_).
 *
 * An attempt counts in the window in which it may have been sent. It is taken
 * back from that window when the upstream reports that it did not run it. A
 * call with two attempts counts each.
 *
 *	window = usage_count_sent(counter, shared, now_us);
 *	usage_count_not_run(counter, &window);
 */
#ifndef FRONT_USAGE_COUNT_H
#define FRONT_USAGE_COUNT_H

#include <stdint.h>

#include "front/shared_state.h"
#include "usage/usage_counter.h"

/**
 * usage_count_sent() - an attempt is about to be sent
 * @counter: counter of the caller's workspace, NULL for none
 *
 * Return: window in which it was counted, -1 when it was not.
 */
int64_t usage_count_sent(struct usage_counter *counter,
    const struct shared_state *shared, int64_t now_us);

/**
 * usage_count_not_run() - the upstream did not run the attempt
 * @counter: as for usage_count_sent()
 * @window: result of usage_count_sent(); set to -1
 */
void usage_count_not_run(struct usage_counter *counter, int64_t *window);

#endif
