/*
 * set - settings file of the daemon.
 *
 * The file is one JSON object. Every key is checked: unknown keys, wrong types
 * and values outside their range are reported with the path in the file, the
 * value and what is permitted.
 *
 *	struct settings s;
 *	struct bbuf problems;
 *	bbuf_init(&problems);
 *	if (!settings_load(&s, path, &problems)) fputs(problems.p, stderr);
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
 * @listen: where callers connect
 * @peer: where peers connect, also the address announced to them
 * @ops: where operators and the platform's balancer connect
 * @platform: address of the store
 * @token: secret that operators send; empty allows none
 * @link_mbps: bandwidth of this VM, 0 when not known; VMs with much tell the
 *	others what is in the store
 * @peer_allow: addresses that may connect as peers, empty for loopback only
 * @ops_allow: addresses that may use the operator API
 * @workers: worker threads
 * @seed: seed of random choices, 0 draws one at start
 * @max_keyed_body: largest body of a keyed request in bytes
 * @claim_retention_s: how long claim records are kept in seconds
 * @leave_notice_ms: time between the failing health endpoint and the end of
 *	accepting connections, in milliseconds
 * @drain_timeout_ms: longest graceful shutdown in milliseconds
 * @stop_within_ms: the platform kills the process this long after SIGTERM, 0
 *	when not told; it shortens drain_timeout_ms
 * @store_api: how the store is spoken to: "plain" or "objects"
 * @health_path: path of the health endpoint
 * @retry_ratio: retries per request that the whole fleet may send
 * @retry_burst: retries above the ratio that the whole fleet may send
 * @max_connections: connections to one upstream from one worker
 * @log_json: log as JSON lines
 * @log_debug: log at debug level
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
	int64_t max_connections;
	bool log_json;
	bool log_debug;
};

/**
 * settings_load() - read and check a settings file
 * @s: receives the settings, defaults included
 * @path: file
 * @problems: one line for each problem found
 *
 * Return: true when there was no problem. settings_finish() is needed either
 * way.
 */
bool settings_load(struct settings *s, const char *path, struct bbuf *problems);

/** settings_parse() - like settings_load() on JSON text */
bool settings_parse(
    struct settings *s, struct bstr text, struct bbuf *problems);

/** settings_finish() - free the strings */
void settings_finish(struct settings *s);

#endif
