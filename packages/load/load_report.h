/*
 * load_report - counters of a load run and their report.
 *
 * Every call ends in exactly one way (enum load_report_end).
 *
 *	load_report_end(&r, LOAD_PLAN_LOOKUP, LOAD_REPORT_OK, latency_us);
 *	load_report_refused(&r, LOAD_PLAN_LOOKUP, "overloaded");
 *	load_report_table(&r, stdout);
 *	load_report_lines(&r, file);
 */
#ifndef LOAD_LOAD_REPORT_H
#define LOAD_LOAD_REPORT_H

#include <stdint.h>
#include <stdio.h>

#include "base/error_kind.h"
#include "base/histogram.h"
#include "load/load_plan.h"

/** enum load_report_end - how a call ended */
enum load_report_end {
	LOAD_REPORT_OK,    /* complete and every byte right */
	LOAD_REPORT_WRONG, /* looked complete, but a byte, id or length is wrong
			    */
	LOAD_REPORT_PARTIAL, /* broke off within the answer */
	LOAD_REPORT_CLOSED,  /* the connection closed before an answer */
	LOAD_REPORT_TIMEOUT, /* no complete answer in time */
	LOAD_REPORT_REFUSED, /* the load balancer answered with an error kind */
	LOAD_REPORT_STATUS,  /* the upstream answered with an error */
	LOAD_REPORT_NO_ENTRY, /* no entry VM was up, or none could be connected
				 to */
	LOAD_REPORT_UNKNOWN,  /* payment whose outcome stayed unknown */
	LOAD_REPORT_ENDS
};

#define LOAD_REPORT_FINE_US 65536

/**
 * struct load_report_kind - counters of one kind of call
 * @fine: latencies below LOAD_REPORT_FINE_US by microsecond, because
 *	differences between two runs are smaller than the buckets of a histogram
 * @latency: the others
 * @sum_us: of all latencies
 * @end: calls by how they ended
 */
struct load_report_kind {
	uint64_t fine[LOAD_REPORT_FINE_US];
	struct histogram latency;
	uint64_t sum_us;
	uint64_t end[LOAD_REPORT_ENDS];
};

/**
 * struct load_report - counters of a run; all zero is valid
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
struct load_report {
	const char *label;
	const char *mode;
	int64_t elapsed_us;
	struct load_report_kind kinds[LOAD_PLAN_KINDS];
	uint64_t refusals[ERR_KIND_COUNT];
	uint64_t told_not_run;
	uint64_t retries;
	uint64_t asks;
	uint64_t resent;
	uint64_t keys_not_run;
};

/** load_report_end() - record the end of a call; latency only counts when ok */
void load_report_end(struct load_report *r, enum load_plan_id kind,
    enum load_report_end end, int64_t latency_us);

/**
 * load_report_quantile() - latency at quantile @q in microseconds, 0 when empty
 */
uint64_t load_report_quantile(const struct load_report_kind *k, double q);

/** load_report_count() - calls of a kind that ended */
uint64_t load_report_count(const struct load_report_kind *k);

/** load_report_table() - print the table for people */
void load_report_table(const struct load_report *r, FILE *out);

/**
 * load_report_lines() - print one JSON object a line for each kind and for all
 */
void load_report_lines(const struct load_report *r, FILE *out);

#endif
