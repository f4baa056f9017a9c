/*
 * upstream_counters - counters of one simulated upstream.
 *
 *	struct upstream_counters c = {0};
 *	c.received++;
 *	upstream_counters_count_class(&c, target);
 *	json_t *v = upstream_counters_json(&c);
 */
#ifndef LIB_UPSTREAM_COUNTERS_H
#define LIB_UPSTREAM_COUNTERS_H

#include <jansson.h>
#include <stdint.h>

#include "base/byte_string.h"

#define UPSTREAM_COUNTERS_MAX_CLASSES 16
#define UPSTREAM_COUNTERS_CLASS_MAX 24

/**
 * struct upstream_counters_class - requests with the same first path segment
 * @name: the path segment, truncated
 * @n: number of requests
 */
struct upstream_counters_class {
	char name[UPSTREAM_COUNTERS_CLASS_MAX];
	int64_t n;
};

/**
 * struct upstream_counters - counters of requests; all zero is valid
 *
 * GET /stats reports the counters under the names of the fields, except
 * @probe_second and @probes_this_second.
 *
 * @received: received, probes excluded
 * @served: entered the queue and were answered completely, other than with 500
 * @duplicates: ran with an idempotency key that had already run on any upstream
 * @failed: answered 500
 * @shed: answered 503 because the queue was full
 * @deadline_rejected: answered 504 because X-Deadline-Ms had passed
 * @cancelled_queued: connection closed by the peer while queued
 * @cancelled_running: connection closed by the peer during service or answer
 * @cold_overload: started above the concurrency limit of a cold start
 * @late: received after the time set with "drain" or "mark"
 * @dropped: ran, then closed without an answer
 * @peak_in_service: maximum of in_service of struct upstream_sim
 * @peak_in_flight: maximum of in_flight of struct upstream_sim
 * @connections: open connections
 * @probes: GET /health and GET /load
 * @probe_peak: maximum of probes in one second of the monotonic clock
 * @probe_second: second that @probes_this_second belongs to
 * @classes: requests by first path segment; when the array is full, requests
 *	with a new segment are not counted
 */
struct upstream_counters {
	int64_t received, served, duplicates, failed, shed, deadline_rejected;
	int64_t cancelled_queued, cancelled_running, cold_overload, late;
	int64_t dropped, peak_in_service, peak_in_flight, connections;
	int64_t probes, probe_peak, probe_second, probes_this_second;
	struct upstream_counters_class classes[UPSTREAM_COUNTERS_MAX_CLASSES];
};

/**
 * upstream_counters_count_class() - count a request by the first segment of its
 * target
 */
void upstream_counters_count_class(
    struct upstream_counters *c, struct bstr target);

/** upstream_counters_count_probe() - count a probe; @now_us is monotonic */
void upstream_counters_count_probe(struct upstream_counters *c, int64_t now_us);

/**
 * upstream_counters_json() - all counters as a JSON object
 *
 * Return: new reference; "classes" is an object of counts by path segment.
 */
json_t *upstream_counters_json(const struct upstream_counters *c);

#endif
