/*
 * met - counters of the daemon and their text exposition.
 *
 * Counters are atomics in one struct that main owns; any thread may add.
 *
 *	metrics_add(&m, METRICS_CALLS, 1);
 *	metrics_write(&m, &buf);
 */
#ifndef OPS_METRICS_H
#define OPS_METRICS_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/error_kind.h"
#include "base/histogram.h"

/** enum metrics_id - all plain counters */
enum metrics_id {
	METRICS_CALLS,
	METRICS_CALLS_OK,
	METRICS_RETRIES,
	METRICS_PROBES,
	METRICS_STORE_READS,
	METRICS_STORE_WRITES,
	METRICS_STORE_ERRORS,
	METRICS_PEER_BYTES_OUT,
	METRICS_PEER_BYTES_IN,
	METRICS_CLAIMS,
	METRICS_TAKEOVERS,
	METRICS_PERMITS,
	METRICS_COUNT
};

/**
 * struct metrics - counters; all zero is valid
 * @count: plain counters
 * @errors: calls ended by error kind
 * @latency: time from the request head to the end of the answer, microseconds
 */
struct metrics {
	_Atomic uint64_t count[METRICS_COUNT];
	_Atomic uint64_t errors[ERR_KIND_COUNT];
	struct histogram latency;
};

/** metrics_add() - add @n to a counter */
void metrics_add(struct metrics *m, enum metrics_id id, uint64_t n);

/** metrics_get() - value of a counter */
uint64_t metrics_get(const struct metrics *m, enum metrics_id id);

/** metrics_error() - count a call that ended with @kind */
void metrics_error(struct metrics *m, enum err_kind kind);

/** metrics_write() - append all counters in the text exposition format */
void metrics_write(const struct metrics *m, struct bbuf *out);

#endif
