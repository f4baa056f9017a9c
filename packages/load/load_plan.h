/*
 * load_plan - plan of a load run: what is called, where, how often and how
 * long.
 *
 * The plan file is one JSON object:
 *
 *	{"services": [{"host": "menu.example", "weight": 3,
 *	    "direct": ["127.0.0.1:7001", ...]}, ...],
 *	 "entries": [{"addr": "127.0.0.1:8000", "ops": "127.0.0.1:8001"}, ...],
 *	 "kinds": {"lookup": {"weight": 60, "bytes": 512}, ...}}
 *
 * Kinds are lookup, refresh, pay, download and upload; a kind that the plan
 * leaves out is not called, and without "kinds" the default mix is used. An
 * entry without "ops" is never checked.
 */
#ifndef LOAD_LOAD_PLAN_H
#define LOAD_LOAD_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** enum load_plan_id - kinds of calls */
enum load_plan_id {
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
 * @bytes: length of the answer body
 * @body: length of the request body
 * @chunk: the upstream writes the answer in parts of this length, 0 at once
 * @pace_us: pause between parts
 * @timeout_ms: the caller gives up an attempt after this time
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
 * struct load_plan_service - Host value, share and upstreams for direct calls
 */
struct load_plan_service {
	char *host;
	uint32_t weight;
	char **direct;
	uint32_t n_direct;
};

/**
 * struct load_plan_entry - addresses of an entry VM; @ops NULL is not checked
 */
struct load_plan_entry {
	char *addr;
	char *ops;
};

/** struct load_plan - plan; arrays and strings owned */
struct load_plan {
	struct load_plan_service *services;
	uint32_t n_services;
	struct load_plan_entry *entries;
	uint32_t n_entries;
	struct load_plan_kind kinds[LOAD_PLAN_KINDS];
};

/** load_plan_kind_name() - name of a kind as in the plan and the path */
const char *load_plan_kind_name(enum load_plan_id kind);

/**
 * load_plan_load() - read a plan file
 * @problem: receives why it is not usable
 *
 * Return: true when usable. load_plan_finish() is needed either way.
 */
bool load_plan_load(
    struct load_plan *p, const char *path, struct bbuf *problem);

/** load_plan_finish() - free the plan */
void load_plan_finish(struct load_plan *p);

#endif
