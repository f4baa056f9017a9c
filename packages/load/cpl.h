/*
 * cpl - plan of a load run: what is called, where, how often and how long.
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
#ifndef LOAD_CPL_H
#define LOAD_CPL_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/** enum cpl_id - kinds of calls */
enum cpl_id {
	CPL_LOOKUP,
	CPL_REFRESH,
	CPL_PAY,
	CPL_DOWNLOAD,
	CPL_UPLOAD,
	CPL_KINDS
};

/**
 * struct cpl_kind - one kind of call
 * @weight: share of the calls, relative to the other kinds
 * @bytes: length of the answer body
 * @body: length of the request body
 * @chunk: the upstream writes the answer in parts of this length, 0 at once
 * @pace_us: pause between parts
 * @timeout_ms: the caller gives up an attempt after this time
 */
struct cpl_kind {
	uint32_t weight;
	uint64_t bytes;
	uint64_t body;
	uint64_t chunk;
	uint64_t pace_us;
	int64_t timeout_ms;
};

/** struct cpl_service - Host value, share and upstreams for direct calls */
struct cpl_service {
	char *host;
	uint32_t weight;
	char **direct;
	uint32_t n_direct;
};

/** struct cpl_entry - addresses of an entry VM; @ops NULL is not checked */
struct cpl_entry {
	char *addr;
	char *ops;
};

/** struct cpl - plan; arrays and strings owned */
struct cpl {
	struct cpl_service *services;
	uint32_t n_services;
	struct cpl_entry *entries;
	uint32_t n_entries;
	struct cpl_kind kinds[CPL_KINDS];
};

/** cpl_kind_name() - name of a kind as in the plan and the path */
const char *cpl_kind_name(enum cpl_id kind);

/**
 * cpl_load() - read a plan file
 * @problem: receives why it is not usable
 *
 * Return: true when usable. cpl_finish() is needed either way.
 */
bool cpl_load(struct cpl *p, const char *path, struct bbuf *problem);

/** cpl_finish() - free the plan */
void cpl_finish(struct cpl *p);

#endif
