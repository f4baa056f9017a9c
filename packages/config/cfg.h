/*
 * cfg - schemas of the configuration objects and their checks.
 *
 * Parsing fills plain structs; every problem is reported with its path in the
 * object, the value and what is permitted.
 *
 *	struct cfg_service s;
 *	if (!cfg_parse_service(&s, value, &problems)) ...
 *	cfg_service_finish(&s);
 */
#ifndef CONFIG_CFG_H
#define CONFIG_CFG_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/bstr.h"

/** struct cfg_route - one route of a service */
struct cfg_route {
	char *prefix;
	bool idempotent;
	uint32_t timeout_ms;
};

/** struct cfg_version - version name and share in permille */
struct cfg_version {
	char *name;
	uint32_t share;
};

/** struct cfg_upstream - one upstream */
struct cfg_upstream {
	char *id;
	char *addr;
	char *zone;
	char *version;
	bool out;
};

/**
 * struct cfg_move - a move in progress
 * @intent: id of the intent
 * @to: version that gains traffic
 * @from: version that loses it
 * @due_ms: Unix milliseconds by which it must be done
 */
struct cfg_move {
	char *intent;
	char *to;
	char *from;
	int64_t due_ms;
};

/** struct cfg_service - one service object; arrays and strings owned */
struct cfg_service {
	char *name;
	char **hosts;
	uint32_t n_hosts;
	struct cfg_route *routes;
	uint32_t n_routes;
	uint32_t slots;
	double slo_target;
	uint32_t slo_latency_ms;
	struct cfg_version *versions;
	uint32_t n_versions;
	struct cfg_upstream *upstreams;
	uint32_t n_upstreams;
	bool has_move;
	struct cfg_move move;
};

/**
 * cfg_parse_service() - check and read a service object
 * @s: result; cfg_service_finish() is needed either way
 * @value: JSON value
 * @problems: one line for each problem
 *
 * Return: true when there was no problem.
 */
bool cfg_parse_service(
    struct cfg_service *s, const json_t *value, struct bbuf *problems);

/** cfg_service_finish() - free what a parse allocated */
void cfg_service_finish(struct cfg_service *s);

#endif
