/*
 * ucnt - counters of one simulated upstream.
 *
 *	struct ucnt n = {0};
 *	n.received++;
 *	ucnt_class(&n, target);
 *	json_t *v = ucnt_json(&n);
 */
#ifndef LIB_UCNT_H
#define LIB_UCNT_H

#include <jansson.h>
#include <stdint.h>

#include "base/byte_string.h"

#define UCNT_MAX_CLASSES 16
#define UCNT_CLASS_MAX 24

/** struct ucnt_class - requests of one first path segment */
struct ucnt_class {
	char name[UCNT_CLASS_MAX];
	int64_t n;
};

/**
 * struct ucnt - counters; names as in GET /stats, all zero is valid
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
struct ucnt {
	int64_t received, served, duplicates, failed, shed, deadline_rejected;
	int64_t cancelled_queued, cancelled_running, cold_overload, late;
	int64_t dropped, peak_in_service, peak_in_flight, connections;
	int64_t probes, probe_peak, probe_second, probes_this_second;
	struct ucnt_class classes[UCNT_MAX_CLASSES];
};

/** ucnt_class() - count a request by the first segment of its target */
void ucnt_class(struct ucnt *n, struct bstr target);

/** ucnt_probe() - count a probe at a monotonic time */
void ucnt_probe(struct ucnt *n, int64_t now_us);

/** ucnt_json() - all counters as an object; "classes" by name */
json_t *ucnt_json(const struct ucnt *n);

#endif
