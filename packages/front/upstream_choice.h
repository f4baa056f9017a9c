/*
 * upstream_choice - chooses the upstream of a call.
 *
 * If the service has a probe path, candidates are queried for their load first.
 * The choice is limited to upstreams for which this worker has a connection
 * available.
 *
 *	switch (upstream_choice_pick(c, now_us)) ...
 */
#ifndef FRONT_UPSTREAM_CHOICE_H
#define FRONT_UPSTREAM_CHOICE_H

#include "front/call.h"

/* A load query is in flight; upstream_side_start() is called after it. */
#define UPSTREAM_CHOICE_WAIT (-3)

/**
 * upstream_choice_pick() - choose an upstream from the current routing table
 * @c: call without a current upstream
 * @now_us: boot-time microseconds
 *
 * Return: 0 with call->upstream set, RT_FULL when all are at their limit,
 * RT_NONE when none is usable, or UPSTREAM_CHOICE_WAIT.
 */
int upstream_choice_pick(struct call *c, int64_t now_us);

/**
 * upstream_choice_has_other() - whether an upstream other than call->upstream
 * could take the call, according to the current routing table and load reports
 */
bool upstream_choice_has_other(const struct call *c, int64_t now_us);

#endif
