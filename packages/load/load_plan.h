/*
 * load_plan - plan of a load run: the services and entry VMs, and the kinds of
 * calls with their shares, body lengths and timeouts.
 *
 * The plan file is one JSON object:
 *
 *	{"services": [{"host": "menu.example", "weight": 3,
 *	    "direct": ["127.0.0.1:7001", ...]}, ...],
 *	 "entries": [{"addr": "127.0.0.1:8000",
 *	    "ops": "127.0.0.1:8001"}, ...],
 *	 "kinds": {"lookup": {"weight": 60, "bytes": 512}, ...}}
 *
 * The kinds are lookup, refresh, pay, download and upload. Without "kinds" the
 * default mix is used; otherwise a kind that is not listed is not called. Each
 * weight defaults to 1, and the other fields of a listed kind default to those
 * of the default mix. An entry without "ops" has no health checks.
 *
 *	if (!load_plan_load(&plan, path, &problem))
 *		fprintf(stderr, "%s", problem.p);
 *	load_plan_finish(&plan);
 */
#ifndef LOAD_LOAD_PLAN_H
#define LOAD_LOAD_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** enum load_plan_kind_id - kinds of calls */
enum load_plan_kind_id {
	LOAD_PLAN_LOOKUP,
	LOAD_PLAN_REFRESH,
	LOAD_PLAN_PAY,
	LOAD_PLAN_DOWNLOAD,
	LOAD_PLAN_UPLOAD,
	LOAD_PLAN_KINDS
};

/**
 * struct load_plan_kind - one kind of call
 * @weight: share of the calls, relative to the other kinds
 * @bytes: length of the response body in bytes
 * @body: length of the request body in bytes
 * @chunk: the upstream writes the response in parts of this many bytes, 0 to
 *	write it at once
 * @pace_us: pause between the parts in microseconds
 * @timeout_ms: time limit of an attempt in milliseconds
 */
struct load_plan_kind {
	uint32_t weight;
	uint64_t bytes;
	uint64_t body;
	uint64_t chunk;
	uint64_t pace_us;
	int64_t timeout_ms;
};

/**
 * struct load_plan_service - one service
 * @host: value of the Host header
 * @weight: share of the calls, relative to the other services
 * @direct: "ip:port" of the upstreams, for direct calls
 * @n_direct: number of upstreams
 */
struct load_plan_service {
	char *host;
	uint32_t weight;
	char **direct;
	uint32_t n_direct;
};

/**
 * struct load_plan_entry - one entry VM
 * @addr: "ip:port" that calls are sent to
 * @ops: "ip:port" of the health check, NULL when there is none
 */
struct load_plan_entry {
	char *addr;
	char *ops;
};

/** struct load_plan - plan; owns its arrays and strings */
struct load_plan {
	struct load_plan_service *services;
	uint32_t n_services;
	struct load_plan_entry *entries;
	uint32_t n_entries;
	struct load_plan_kind kinds[LOAD_PLAN_KINDS];
};

/** load_plan_kind_name() - name of a kind in the plan and the request path */
const char *load_plan_kind_name(enum load_plan_kind_id kind);

/**
 * load_plan_load() - read a plan file
 * @p: receives the plan
 * @path: path of the file
 * @problem: empty buffer; receives the error messages, one per line
 *
 * Return: true when the plan is valid. The caller calls load_plan_finish() in
 * both cases.
 */
bool load_plan_load(
    struct load_plan *p, const char *path, struct bbuf *problem);

/** load_plan_finish() - free the plan */
void load_plan_finish(struct load_plan *p);

#endif
