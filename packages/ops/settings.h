/*
 * settings - settings file of the daemon.
 *
 * The file is one JSON object. Every key is checked: unknown keys, wrong types
 * and values outside their range are reported with the path of the key, the
 * value and the permitted values.
 *
 *	struct settings s;
 *	struct bbuf problems;
 *	bbuf_init(&problems);
 *	if (!settings_load(&s, path, &problems))
 *		fputs(problems.p, stderr);
 *	settings_finish(&s);
 */
#ifndef OPS_SETTINGS_H
#define OPS_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

#define SETTINGS_MAX_ALLOW 64

/** struct settings_addr - IPv4 address and TCP port */
struct settings_addr {
	char *addr;
	int64_t port;
};

/**
 * struct settings - settings; strings owned
 * @id: identity of this VM, unique in the fleet
 * @zone: availability zone
 * @listen: address that callers connect to
 * @peer: address that peers connect to; it is also announced to them
 * @ops: address that operators and the platform's balancer connect to
 * @platform: address of the store
 * @token: bearer token of the operator API; empty disables the API
 * @link_mbps: bandwidth of this VM in Mbit/s, 0 when unknown; the VMs with the
 *	highest bandwidth read the store and broadcast updates to the others
 * @peer_allow: addresses that may connect as peers, empty for loopback only;
 *	NULL-terminated
 * @ops_allow: addresses that may use the operator API, empty for loopback only;
 *	NULL-terminated
 * @workers: worker threads
 * @seed: seed of the random number generators, 0 to choose one at start
 * @max_keyed_body: largest body, in bytes, of a request with an idempotency key
 * @claim_retention_s: retention period of claim records in seconds
 * @leave_notice_ms: delay in milliseconds between the health endpoint starting
 *	to fail and the end of accepting connections
 * @drain_timeout_ms: maximum duration of a graceful shutdown in milliseconds
 * @stop_within_ms: time in milliseconds after SIGTERM at which the platform
 *	kills the process, 0 when unknown; limits @drain_timeout_ms
 * @store_api: API of the store: "plain" or "objects"
 * @health_path: path of the health endpoint
 * @retry_ratio: retries per request that the whole fleet may send
 * @retry_burst: retries that the whole fleet may send in excess of the ratio
 * @memory_mb: memory of this VM in MiB, 0 for no limit on the memory that is
 *	held for callers and upstreams
 * @max_connections: maximum connections from one worker to one upstream
 * @usage: address for usage reports; @usage.addr is NULL when usage is not
 *	reported
 * @usage_window_ms: length of a window of usage reports in milliseconds
 * @usage_due_ms: a usage report is due this long after the end of its window
 * @usage_lease_ms: lease of the duty to send usage reports
 * @log_json: log JSON objects instead of text
 * @log_debug: log debug messages too
 */
struct settings {
	char *id;
	char *zone;
	struct settings_addr listen;
	struct settings_addr peer;
	struct settings_addr ops;
	struct settings_addr platform;
	char *token;
	char *peer_allow[SETTINGS_MAX_ALLOW];
	char *ops_allow[SETTINGS_MAX_ALLOW];
	int64_t workers;
	int64_t seed;
	int64_t max_keyed_body;
	int64_t claim_retention_s;
	int64_t leave_notice_ms;
	int64_t drain_timeout_ms;
	int64_t stop_within_ms;
	char *store_api;
	char *health_path;
	double link_mbps;
	double retry_ratio;
	int64_t retry_burst;
	int64_t memory_mb;
	int64_t max_connections;
	struct settings_addr usage;
	int64_t usage_window_ms;
	int64_t usage_due_ms;
	int64_t usage_lease_ms;
	bool log_json;
	bool log_debug;
};

/**
 * settings_load() - read and check a settings file
 * @s: receives the settings, defaults included
 * @path: path of the file
 * @problems: receives one line for each problem
 *
 * Return: true if there are no problems. settings_finish() must be called in
 * either case.
 */
bool settings_load(struct settings *s, const char *path, struct bbuf *problems);

/** settings_parse() - like settings_load(), but for JSON text in memory */
bool settings_parse(
    struct settings *s, struct bstr text, struct bbuf *problems);

/** settings_finish() - free the strings */
void settings_finish(struct settings *s);

#endif
