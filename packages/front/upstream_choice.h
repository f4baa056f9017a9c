/*
 * upstream_choice - chooses the upstream of a call.
 *
 * If the service has a probe path, candidates are queried for their load first.
 * The choice is limited to upstreams for which this worker has a connection
 * available.
 *
 *	switch (upstream_choice_pick(c, now_us, &pick)) ...
 *	upstream_choice_apply(a, &pick);
 */
#ifndef FRONT_UPSTREAM_CHOICE_H
#define FRONT_UPSTREAM_CHOICE_H

#include "front/call.h"

/* A load query is in flight; upstream_side_resume() is called after it. */
#define UPSTREAM_CHOICE_WAIT (-3)

/**
 * struct upstream_pick - chosen upstream with a slot reserved on it
 *
 * The fields have the meaning of those of the same name in struct call_attempt.
 */
struct upstream_pick {
	struct rt_stat *upstream;
	struct rt_tally *tally;
	enum rt_state upstream_state;
	uint32_t slots;
	int64_t slow_us;
	struct call_choice chosen;
	char instance[CALL_ID_MAX + 1];
	char addr[CALL_ADDR_MAX + 1];
};

/**
 * upstream_choice_pick() - choose an upstream from the current routing table
 * @c: call; the upstreams of its running attempts are not chosen again
 * @now_us: boot-time microseconds
 * @out: set when the return value is 0
 *
 * Return: 0, RT_FULL when all are at their limit, RT_NONE when none is usable,
 * or UPSTREAM_CHOICE_WAIT.
 */
int upstream_choice_pick(
    struct call *c, int64_t now_us, struct upstream_pick *out);

/**
 * upstream_choice_apply() - make @p the upstream of an attempt that has none;
 * moves the references of @p into the attempt
 */
void upstream_choice_apply(
    struct call_attempt *a, const struct upstream_pick *p);

/**
 * upstream_choice_has_other() - whether an upstream without an attempt of the
 * call could take it, according to the current routing table and load reports
 */
bool upstream_choice_has_other(struct call *c, int64_t now_us);

#endif
