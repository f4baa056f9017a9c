/*
 * met - counters of the daemon and their text exposition.
 *
 * Counters are atomics in one struct that main owns; any thread may add.
 *
 *	met_add(&m, MET_CALLS, 1);
 *	met_write(&m, &buf);
 */
#ifndef OPS_MET_H
#define OPS_MET_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/error_kind.h"
#include "base/histogram.h"

/** enum met_id - all plain counters */
enum met_id {
	MET_CALLS,
	MET_CALLS_OK,
	MET_RETRIES,
	MET_PROBES,
	MET_STORE_READS,
	MET_STORE_WRITES,
	MET_STORE_ERRORS,
	MET_PEER_BYTES_OUT,
	MET_PEER_BYTES_IN,
	MET_CLAIMS,
	MET_TAKEOVERS,
	MET_PERMITS,
	MET_COUNT
};

/**
 * struct met - counters; all zero is valid
 * @count: plain counters
 * @errors: calls ended by error kind
 * @latency: time from the request head to the end of the answer, microseconds
 */
struct met {
	_Atomic uint64_t count[MET_COUNT];
	_Atomic uint64_t errors[ERR_KIND_COUNT];
	struct histogram latency;
};

/** met_add() - add @n to a counter */
void met_add(struct met *m, enum met_id id, uint64_t n);

/** met_get() - value of a counter */
uint64_t met_get(const struct met *m, enum met_id id);

/** met_error() - count a call that ended with @kind */
void met_error(struct met *m, enum err_kind kind);

/** met_write() - append all counters in the text exposition format */
void met_write(const struct met *m, struct bbuf *out);

#endif
