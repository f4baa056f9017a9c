/*
 * crep - counters of a load run and their report.
 *
 * Every call ends in exactly one way (enum crep_end).
 *
 *	crep_end(&r, CPL_LOOKUP, CREP_OK, latency_us);
 *	crep_refused(&r, CPL_LOOKUP, "overloaded");
 *	crep_table(&r, stdout);
 *	crep_lines(&r, file);
 */
#ifndef LOAD_CREP_H
#define LOAD_CREP_H

#include <stdint.h>
#include <stdio.h>

#include "base/error_kind.h"
#include "base/histogram.h"
#include "load/cpl.h"

/** enum crep_end - how a call ended */
enum crep_end {
	CREP_OK,       /* complete and every byte right */
	CREP_WRONG,    /* looked complete, but a byte, id or length is wrong */
	CREP_PARTIAL,  /* broke off within the answer */
	CREP_CLOSED,   /* the connection closed before an answer */
	CREP_TIMEOUT,  /* no complete answer in time */
	CREP_REFUSED,  /* the load balancer answered with an error kind */
	CREP_STATUS,   /* the upstream answered with an error */
	CREP_NO_ENTRY, /* no entry VM was up, or none could be connected to */
	CREP_UNKNOWN,  /* payment whose outcome stayed unknown */
	CREP_ENDS
};

#define CREP_FINE_US 65536

/**
 * struct crep_kind - counters of one kind of call
 * @fine: latencies below CREP_FINE_US by microsecond, because differences
 *	between two runs are smaller than the buckets of a histogram
 * @latency: the others
 * @sum_us: of all latencies
 * @end: calls by how they ended
 */
struct crep_kind {
	uint64_t fine[CREP_FINE_US];
	struct histogram latency;
	uint64_t sum_us;
	uint64_t end[CREP_ENDS];
};

/**
 * struct crep - counters of a run; all zero is valid
 * @label: name of the run in the report
 * @mode: "entry" or "direct"
 * @elapsed_us: length of the load phase, without the time to finish calls
 * @refusals: attempts refused, by error kind
 * @told_not_run: attempts answered with X-Outcome: not-run
 * @retries: further attempts of payments
 * @asks: attempts made only to learn the outcome
 * @resent: calls repeated because a reused connection closed with no answer
 * @keys_not_run: keys whose every attempt was told not-run
 */
struct crep {
	const char *label;
	const char *mode;
	int64_t elapsed_us;
	struct crep_kind kinds[CPL_KINDS];
	uint64_t refusals[ERR_KIND_COUNT];
	uint64_t told_not_run;
	uint64_t retries;
	uint64_t asks;
	uint64_t resent;
	uint64_t keys_not_run;
};

/** crep_end() - record the end of a call; latency only counts when ok */
void crep_end(
    struct crep *r, enum cpl_id kind, enum crep_end end, int64_t latency_us);

/** crep_quantile() - latency at quantile @q in microseconds, 0 when empty */
uint64_t crep_quantile(const struct crep_kind *k, double q);

/** crep_count() - calls of a kind that ended */
uint64_t crep_count(const struct crep_kind *k);

/** crep_table() - print the table for people */
void crep_table(const struct crep *r, FILE *out);

/** crep_lines() - print one JSON object a line for each kind and for all */
void crep_lines(const struct crep *r, FILE *out);

#endif
