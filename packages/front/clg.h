/*
 * clg - log lines about calls, so that a failed one can be explained
 *afterwards.
 *
 * One line for each attempt that failed or was refused and for each call that
 * ended otherwise than well; of good calls one in CLG_SAMPLE, and those that
 * missed their goal. Above CLG_MAX_PER_S lines a second, good calls are left
 * out first; the number left out is part of the next line.
 *
 *	clg_attempt(c, kind);
 *	clg_end(c);
 */
#ifndef FRONT_CLG_H
#define FRONT_CLG_H

#include "front/call.h"

#define CLG_SAMPLE 16
#define CLG_MAX_PER_S 100
/* Part of the lines of a second that good calls may use. */
#define CLG_GOOD_PER_S 20

/** struct clg - lines of the current second, on caller-owned memory */
struct clg {
	int64_t second;
	unsigned lines;
	uint64_t left_out;
	uint64_t good;
};

/** clg_attempt() - an attempt at an upstream ended with @kind */
void clg_attempt(struct call *c, enum err_kind kind);

/** clg_end() - the call ended */
void clg_end(struct call *c);

#endif
