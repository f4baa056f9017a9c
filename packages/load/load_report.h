/*
 * load_report - counters of a load run and their report.
 *
 * Every call is recorded once, with one result (enum load_report_result).
 *
 *	load_report_record(&r, LOAD_PLAN_LOOKUP, LOAD_REPORT_OK, latency_us);
 *	r.refusals[ERR_OVERLOADED]++;
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

/** enum load_report_result - how a call ended */
enum load_report_result {
	LOAD_REPORT_OK,       /* complete and every byte correct */
	LOAD_REPORT_WRONG,    /* wrong byte, id or length, or not HTTP */
	LOAD_REPORT_PARTIAL,  /* the connection closed within the response */
	LOAD_REPORT_CLOSED,   /* the connection closed before a response */
	LOAD_REPORT_TIMEOUT,  /* no complete response in time */
	LOAD_REPORT_REFUSED,  /* the load balancer returned an error kind */
	LOAD_REPORT_STATUS,   /* the upstream returned an error status */
	LOAD_REPORT_NO_ENTRY, /* no target was up, or connecting failed */
	LOAD_REPORT_UNKNOWN,  /* the outcome of a payment stayed unknown */
	LOAD_REPORT_RESULT_COUNT
};

/* Latencies below this limit are counted for each microsecond. */
#define LOAD_REPORT_FINE_US 65536

/**
 * struct load_report_kind - counters of one kind of call
 * @fine: number of latencies below LOAD_REPORT_FINE_US for each microsecond,
 *	because differences between two runs are smaller than the buckets of
 *	the histogram
 * @latency: histogram of the other latencies in microseconds
 * @sum_us: sum of all latencies
 * @results: number of calls by result
 */
struct load_report_kind {
	uint64_t fine[LOAD_REPORT_FINE_US];
	struct histogram latency;
	uint64_t sum_us;
	uint64_t results[LOAD_REPORT_RESULT_COUNT];
};

/**
 * struct load_report - counters of a run; all zero is valid
 * @label: name of the run in the report
 * @mode: "entry" or "direct"
 * @elapsed_us: length of the load phase, without the time to finish the calls
 *	in flight
 * @kinds: counters of each kind of call
 * @refusals: attempts refused by the load balancer, by error kind
 * @told_not_run: attempts answered with X-Outcome: not-run or X-Not-Run: 1
 * @retries: retries of payments
 * @asks: attempts made only to query the outcome of a payment
 * @resent: calls repeated because a reused connection closed without a response
 * @keys_not_run: idempotency keys answered not-run on every attempt
 *
 * The names of @elapsed_us and of the fields from @told_not_run on are keys in
 * the JSON report.
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

/**
 * load_report_record() - record the end of a call
 * @r: report
 * @kind: kind of the call
 * @result: how the call ended
 * @latency_us: latency in microseconds, only used for LOAD_REPORT_OK
 */
void load_report_record(struct load_report *r, enum load_plan_kind_id kind,
    enum load_report_result result, int64_t latency_us);

/**
 * load_report_quantile() - latency of successful calls at quantile @q
 * @k: counters of a kind of call
 * @q: quantile, at least 0 and below 1
 *
 * Return: microseconds, 0 when no call succeeded.
 */
uint64_t load_report_quantile(const struct load_report_kind *k, double q);

/** load_report_count() - number of calls of a kind that have ended */
uint64_t load_report_count(const struct load_report_kind *k);

/** load_report_table() - print the report as a human-readable table */
void load_report_table(const struct load_report *r, FILE *out);

/**
 * load_report_lines() - print the report as JSON lines, one for each kind and
 * one for all kinds together
 */
void load_report_lines(const struct load_report *r, FILE *out);

#endif
