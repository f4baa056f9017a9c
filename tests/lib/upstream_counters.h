/*
 * upstream_counters - counters of one simulated upstream.
 *
 *	struct upstream_counters n = {0};
 *	n.received++;
 *	upstream_counters_class(&n, target);
 *	json_t *v = upstream_counters_json(&n);
 */
#ifndef LIB_UPSTREAM_COUNTERS_H
#define LIB_UPSTREAM_COUNTERS_H

#include <jansson.h>
#include <stdint.h>

#include "base/byte_string.h"

#define UPSTREAM_COUNTERS_MAX_CLASSES 16
#define UPSTREAM_COUNTERS_CLASS_MAX 24

/** struct upstream_counters_class - requests of one first path segment */
struct upstream_counters_class {
	char name[UPSTREAM_COUNTERS_CLASS_MAX];
	int64_t n;
};

/**
 * struct upstream_counters - counters; names as in GET /stats, all zero is
 * valid
 * @received: requests, probes excluded
 * @served: answered after their service time, faults excluded
 * @duplicates: ran with a key that had run before on any upstream
 * @failed: answered 500
 * @shed: answered 503 because the queue was full
 * @deadline_rejected: answered 504 because X-Deadline-Ms had passed
 * @cancelled_queued: connection closed before service
 * @cancelled_running: connection closed during service or the answer
 * @cold_overload: in flight above what a cold upstream bears
 * @late: new requests after the time set with "drain" or "mark"
 * @dropped: ran and closed without an answer
 * @probes: GET /health and GET /load
 * @probe_peak: most probes in one second of the clock
 */
struct upstream_counters {
	int64_t received, served, duplicates, failed, shed, deadline_rejected;
	int64_t cancelled_queued, cancelled_running, cold_overload, late;
	int64_t dropped, peak_in_service, peak_in_flight, connections;
	int64_t probes, probe_peak, probe_second, probes_this_second;
	struct upstream_counters_class classes[UPSTREAM_COUNTERS_MAX_CLASSES];
};

/**
 * upstream_counters_class() - count a request by the first segment of its
 * target
 */
void upstream_counters_class(struct upstream_counters *n, struct bstr target);

/** upstream_counters_probe() - count a probe at a monotonic time */
void upstream_counters_probe(struct upstream_counters *n, int64_t now_us);

/** upstream_counters_json() - all counters as an object; "classes" by name */
json_t *upstream_counters_json(const struct upstream_counters *n);

#endif
