/*
 * usage_count - counts the requests of workspaces that upstreams began to run
 * (prefix usage_count_).
 *
 * An attempt counts in the window in which it may have been sent. It is taken
 * back from that window when the upstream reports that it did not run it. A
 * call with two attempts counts each.
 *
 *	usage_count_sent(c, now_us);
 *	usage_count_not_run(c);
 */
#ifndef FRONT_USAGE_COUNT_H
#define FRONT_USAGE_COUNT_H

#include <stdint.h>

struct call;

/**
 * usage_count_sent() - the attempt of a call is about to be sent
 *
 * Does nothing for a call without workspace, or when usage is not reported.
 */
void usage_count_sent(struct call *c, int64_t now_us);

/** usage_count_not_run() - the upstream did not run the attempt of a call */
void usage_count_not_run(struct call *c);

#endif
