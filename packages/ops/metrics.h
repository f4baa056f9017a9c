/*
 * metrics - counters of the daemon in the Prometheus text format.
 *
 * The counters are atomics in one struct that main owns; any thread may update
 * them.
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
#include "ops/admission_metrics.h"

/**
 * enum metrics_id - counters without labels
 * @METRICS_CALLS: calls received
 * @METRICS_CALLS_OK: calls that were answered without an error
 * @METRICS_RETRIES: retries sent to upstreams
 * @METRICS_PROBES: probes sent to upstreams
 * @METRICS_STORE_READS: reads sent to the store
 * @METRICS_STORE_WRITES: writes sent to the store
 * @METRICS_STORE_ERRORS: store requests that failed with ERR_STORE
 * @METRICS_PEER_BYTES_OUT: bytes sent to peers
 * @METRICS_PEER_BYTES_IN: bytes received from peers
 * @METRICS_CLAIMS: claims that this VM requested for idempotency keys
 * @METRICS_TAKEOVERS: partitions that this VM took over
 * @METRICS_PERMITS: calls to cold upstreams that this VM was granted
 * @METRICS_USAGE_ACCEPTED: usage reports that were accepted
 * @METRICS_USAGE_REFUSED: usage reports refused because of a higher token
 * @METRICS_USAGE_FAILED: usage reports with no or another answer
 * @METRICS_CALLS_WITHOUT_KEY: calls whose Authorization field is missing,
 *	repeated or malformed, counted if the configuration has workspaces
 * @METRICS_CALLS_UNKNOWN_KEY: calls whose key belongs to no workspace
 * @METRICS_HEADS_UNUSED: requests whose connection was closed without an
 *	answer, as their head did not fit into the memory of the HTTP library
 * @METRICS_CALLERS_NOT_READING: callers disconnected because they did not read
 *	their answer, counted if there is a memory limit
 */
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
	METRICS_USAGE_ACCEPTED,
	METRICS_USAGE_REFUSED,
	METRICS_USAGE_FAILED,
	METRICS_CALLS_WITHOUT_KEY,
	METRICS_CALLS_UNKNOWN_KEY,
	METRICS_HEADS_UNUSED,
	METRICS_CALLERS_NOT_READING,
	METRICS_COUNT
};

/**
 * enum metrics_gauge - values of the moment
 * @METRICS_USAGE_WINDOW: last window known to be reported
 * @METRICS_USAGE_HOLDER: 1 while this VM has the duty of reporting usage
 * @METRICS_USAGE_TOKEN: fencing token of the holder
 * @METRICS_STORE_EPOCH: epoch of the store, 0 if it has none
 * @METRICS_CALLS_IN_PROGRESS: calls from their request line to their end
 * @METRICS_TABLE_BYTES: size of the routing table
 * @METRICS_TABLE_BUILD_US: time that its build took, in microseconds
 */
enum metrics_gauge {
	METRICS_USAGE_WINDOW,
	METRICS_USAGE_HOLDER,
	METRICS_USAGE_TOKEN,
	METRICS_STORE_EPOCH,
	METRICS_CALLS_IN_PROGRESS,
	METRICS_TABLE_BYTES,
	METRICS_TABLE_BUILD_US,
	METRICS_GAUGES
};

/**
 * struct metrics - all metrics; zero-initialized memory is valid
 * @count: counters without labels, by enum metrics_id
 * @gauges: by enum metrics_gauge
 * @workspaces: number of workspaces in the configuration, 0 without them
 * @held_bytes: memory held for callers and upstreams, 0 without a memory limit
 * @errors: calls that ended with an error, by enum err_kind
 * @admission: figures of ranked services
 * @latency: time from the request head to the end of the response of calls
 *	without an error, in microseconds
 */
struct metrics {
	_Atomic uint64_t count[METRICS_COUNT];
	_Atomic int64_t gauges[METRICS_GAUGES];
	_Atomic uint64_t workspaces;
	_Atomic uint64_t held_bytes;
	_Atomic uint64_t errors[ERR_KIND_COUNT];
	struct admission_metrics admission;
	struct histogram latency;
};

/** metrics_add() - add @n to a counter */
void metrics_add(struct metrics *m, enum metrics_id id, uint64_t n);

/** metrics_get() - read a counter */
uint64_t metrics_get(const struct metrics *m, enum metrics_id id);

/** metrics_set() - set a gauge */
void metrics_set(struct metrics *m, enum metrics_gauge id, int64_t value);

/** metrics_change() - add @delta, which may be negative, to a gauge */
void metrics_change(struct metrics *m, enum metrics_gauge id, int64_t delta);

/** metrics_gauge() - read a gauge */
int64_t metrics_gauge(const struct metrics *m, enum metrics_gauge id);

/** metrics_error() - count a call that ended with @kind */
void metrics_error(struct metrics *m, enum err_kind kind);

/** metrics_write() - append all metrics in the Prometheus text format */
void metrics_write(struct metrics *m, struct bbuf *out);

#endif
