/*
 * schema - schemas of the configuration objects and their validation (prefix
 * cfg_).
 *
 * Parsing fills plain structs. Each problem is reported with its path in the
 * object, the value and what is permitted.
 *
 *	struct cfg_service s;
 *	if (cfg_parse_service(&s, value, &problems))
 *		value = cfg_print_service(&s);
 *	cfg_service_finish(&s);
 *
 * A struct cfg_set is the configuration in effect: all valid objects with their
 * store versions.
 */
#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"

/**
 * struct cfg_route - one route of a service
 * @prefix: path prefix, begins with /
 * @idempotent: whether its requests may be retried safely
 * @timeout_ms: timeout of a call
 */
struct cfg_route {
	char *prefix;
	bool idempotent;
	uint32_t timeout_ms;
};

/**
 * struct cfg_version - one version of a service
 * @share: share of the traffic in permille; the shares add up to 1,000
 */
struct cfg_version {
	char *name;
	uint32_t share;
};

/**
 * struct cfg_upstream - one upstream
 * @addr: IPv4 address:port
 * @version: name of the version that it runs
 * @out: whether operators took it out of service (state "out")
 */
struct cfg_upstream {
	char *id;
	char *addr;
	char *zone;
	char *version;
	bool out;
};

/** enum cfg_move_state - states of the move object of a service */
enum cfg_move_state { CFG_MOVE_RUNNING, CFG_MOVE_DONE, CFG_MOVE_ROLLED_BACK };

/**
 * struct cfg_move - the latest move of a service
 * @intent: id of the intent
 * @to: version that gains traffic
 * @from: version that loses it
 * @due_ms: Unix milliseconds by which the move must be done
 * @step: number of share steps taken, 0 before the first
 * @state: state; a finished move stays in the object until the next one
 *     replaces it
 * @reason: why the move ended, NULL while it runs
 */
struct cfg_move {
	char *intent;
	char *to;
	char *from;
	int64_t due_ms;
	uint32_t step;
	enum cfg_move_state state;
	char *reason;
};

/**
 * struct cfg_service - one service object; arrays and strings owned
 * @slots: calls that each upstream handles at the same time
 * @slo_target: share of calls that must meet the objective, above 0, below 1
 * @slo_latency_ms: latency that a call must not exceed to meet the objective
 * @has_move: whether @move is present
 * @change: change id of the last write, may be NULL
 */
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
	char *change;
};

/**
 * struct cfg_zone - one availability zone
 * @out: whether operators took it out of service (state "out")
 */
struct cfg_zone {
	char *name;
	bool out;
};

/**
 * struct cfg_zones - the zones object; array and strings owned
 * @change: change id of the last write, may be NULL
 */
struct cfg_zones {
	struct cfg_zone *zones;
	uint32_t n_zones;
	char *change;
};

/**
 * struct cfg_limits - the limits object
 * @probe_per_s: probes per second that the whole fleet sends to each upstream
 * @retry_permille: retries permitted per 1,000 successful calls
 * @cold_ramp_s: time in which a cold upstream ramps up to all its slots
 * @max_step_permille: largest change of a share in one step of a move; a
 *     larger step of the standard schedule is divided into several
 * @step_min_s: shortest duration of a step of a move
 * @step_min_calls: calls to the new version that a step requires
 * @route_min_calls: calls to the new version that each route requires before
 *     the move is done
 * @observe_s: time at the full share before the move is done
 * @margin_s: how long before its due time a move must be accepted as done
 * @intent_expiry_s: time after which an unconfirmed intent is dropped
 *
 * @probe_per_s, @retry_permille and @cold_ramp_s are validated and stored, but
 * the daemon does not apply them.
 */
struct cfg_limits {
	uint32_t probe_per_s;
	uint32_t retry_permille;
	uint32_t cold_ramp_s;
	uint32_t max_step_permille;
	uint32_t step_min_s;
	uint32_t step_min_calls;
	uint32_t route_min_calls;
	uint32_t observe_s;
	uint32_t margin_s;
	uint32_t intent_expiry_s;
};

/** struct cfg_service_entry - a service in effect and its store version */
struct cfg_service_entry {
	const struct cfg_service *service;
	uint64_t version;
};

/**
 * struct cfg_set - the configuration in effect; borrows the objects
 * @services: services ordered by name
 * @zones: NULL while no zones object is in effect
 */
struct cfg_set {
	struct cfg_service_entry *services;
	uint32_t n_services;
	const struct cfg_zones *zones;
	uint64_t zones_version;
	struct cfg_limits limits;
	uint64_t limits_version;
};

/**
 * cfg_parse_service() - validate and parse a service object
 * @s: result; must be freed by cfg_service_finish() in any case
 * @value: JSON value
 * @problems: one line is appended for each problem
 *
 * Return: true when there was no problem.
 */
bool cfg_parse_service(
    struct cfg_service *s, const json_t *value, struct bbuf *problems);

/** cfg_service_finish() - free the content of a service */
void cfg_service_finish(struct cfg_service *s);

/** cfg_print_service() - convert to JSON; the caller owns the value */
json_t *cfg_print_service(const struct cfg_service *s);

/**
 * cfg_service_copy() - make a deep copy of a service
 * @to: result; must be freed by cfg_service_finish()
 */
void cfg_service_copy(struct cfg_service *to, const struct cfg_service *from);

/**
 * cfg_upstream_copy() - make a deep copy of one upstream
 *
 * Return: copy, to be freed by cfg_upstream_finish().
 */
struct cfg_upstream cfg_upstream_copy(const struct cfg_upstream *u);

/** cfg_upstream_finish() - free the strings of one upstream */
void cfg_upstream_finish(struct cfg_upstream *u);

/**
 * cfg_parse_upstream() - validate and parse one upstream
 * @u: result; must be freed by cfg_upstream_finish() in any case
 * @path: path of the upstream for @problems, ends in "."
 */
void cfg_parse_upstream(struct cfg_upstream *u, const json_t *value,
    const char *path, struct bbuf *problems);

/** cfg_print_upstream() - convert to JSON; the caller owns the value */
json_t *cfg_print_upstream(const struct cfg_upstream *u);

/** cfg_find_version() - index of a version by name; -1 when there is none */
int cfg_find_version(const struct cfg_service *s, const char *name);

/** cfg_parse_zones() - like cfg_parse_service() for the zones object */
bool cfg_parse_zones(
    struct cfg_zones *z, const json_t *value, struct bbuf *problems);

/** cfg_zones_finish() - free the content of the zones object */
void cfg_zones_finish(struct cfg_zones *z);

/** cfg_print_zones() - convert to JSON; the caller owns the value */
json_t *cfg_print_zones(const struct cfg_zones *z);

/** cfg_zone_find() - find a zone by name; NULL when there is none */
const struct cfg_zone *cfg_zone_find(
    const struct cfg_zones *z, const char *name);

/** cfg_limits_default() - limits that apply when there is no limits object */
struct cfg_limits cfg_limits_default(void);

/**
 * cfg_parse_limits() - validate and parse the limits object
 * @l: result; absent or invalid members get their defaults
 * @problems: one line is appended for each problem
 *
 * Return: true when there was no problem.
 */
bool cfg_parse_limits(
    struct cfg_limits *l, const json_t *value, struct bbuf *problems);

/** cfg_print_limits() - convert to JSON; the caller owns the value */
json_t *cfg_print_limits(const struct cfg_limits *l);

/**
 * cfg_check_refs() - validate a service against the other objects
 * @s: service that is about to be written
 * @set: configuration in effect
 * @problems: one line is appended for each problem
 *
 * Reports upstreams in a zone that does not exist, and hosts and upstream ids
 * that another service uses.
 *
 * Return: true when there was no problem.
 */
bool cfg_check_refs(const struct cfg_service *s, const struct cfg_set *set,
    struct bbuf *problems);

/** cfg_set_find() - find a service by name; NULL when there is none */
const struct cfg_service_entry *cfg_set_find(
    const struct cfg_set *set, const char *name);

/** cfg_zone_is_out() - whether operators took the zone out of service */
bool cfg_zone_is_out(const struct cfg_set *set, const char *zone);

#endif
