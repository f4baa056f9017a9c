/*
 * pck - the upstream that a call goes to.
 *
 * Asks upstreams for their load first where the service can be asked, then
 * chooses among those that this worker has a connection for.
 *
 *	switch (pck_upstream(c, now_us)) ...
 */
#ifndef FRONT_PCK_H
#define FRONT_PCK_H

#include "front/call.h"

/* Upstreams are being asked; ups_start() is called again. */
#define PCK_WAIT (-3)

/**
 * pck_upstream() - choose an upstream and take it from the current table
 *
 * Return: 0 and call->upstream set, RT_FULL, RT_NONE or PCK_WAIT.
 */
int pck_upstream(struct call *c, int64_t now_us);

/**
 * pck_has_other() - whether, by what is known now, another upstream than
 * call->upstream could take the call
 */
bool pck_has_other(const struct call *c, int64_t now_us);

#endif
