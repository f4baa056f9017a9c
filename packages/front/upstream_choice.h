/*
 * upstream_choice - the upstream that a call goes to.
 *
 * Asks upstreams for their load first where the service can be asked, then
 * chooses among those that this worker has a connection for.
 *
 *	switch (upstream_choice_upstream(c, now_us)) ...
 */
#ifndef FRONT_UPSTREAM_CHOICE_H
#define FRONT_UPSTREAM_CHOICE_H

#include "front/call.h"

/* Upstreams are being asked; upstream_side_start() is called again. */
#define UPSTREAM_CHOICE_WAIT (-3)

/**
 * upstream_choice_upstream() - choose an upstream and take it from the current
 * table
 *
 * Return: 0 and call->upstream set, RT_FULL, RT_NONE or UPSTREAM_CHOICE_WAIT.
 */
int upstream_choice_upstream(struct call *c, int64_t now_us);

/**
 * upstream_choice_has_other() - whether, by what is known now, another upstream
 * than call->upstream could take the call
 */
bool upstream_choice_has_other(const struct call *c, int64_t now_us);

#endif
