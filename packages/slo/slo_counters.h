/*
 * slo_counters - per-VM counters of good and bad calls (prefix slo_).
 *
 * For each service, the module keeps counters in one-minute buckets for one
 * hour and in 30-minute buckets for three days, and the most frequent causes
 * of bad calls. Buckets are numbered by wall time, so the buckets of all VMs
 * can be summed. A bucket exists only for periods in which the VM was running;
 * a missing bucket means "no data", not zero calls. The counters are written
 * to the store as one object under "report/<vm id>" once a minute. The object
 * remains in the store after the VM has stopped; burn_report merges the
 * objects of all VMs.
 *
 *	struct slo_counters s;
 *	slo_init(&s, &(struct slo_desc){.self = me});
 *	slo_on_config(&s, config_effective_set(&c));
 *	slo_on_calls(&s, &calls, wall_ms);
 *	slo_tick(&s, now_ms, wall_ms, &out);
 *	slo_on_written(&s, version);
 *	slo_finish(&s);
 */
#ifndef SLO_SLO_COUNTERS_H
#define SLO_SLO_COUNTERS_H

#include <glib.h>

#include "base/vm_id.h"
#include "config/schema.h"

#define SLO_FINE_MS 60000
#define SLO_FINE_BUCKETS 60
#define SLO_COARSE_MS 1800000
#define SLO_COARSE_BUCKETS 144
#define SLO_MAX_SERVICES 1024
#define SLO_MAX_CAUSES 16
#define SLO_MAX_MOVES 64
#define SLO_MAX_OBJECT_BYTES 900000
#define SLO_WRITE_INTERVAL_MS 60000

/**
 * struct slo_bucket - call counts of one time interval
 * @index: wall time divided by the length of the bucket, 0 for no bucket
 * @good: calls that met the objective
 * @failed: calls that failed
 * @slow: calls that exceeded the latency goal
 */
struct slo_bucket {
	int64_t index;
	uint64_t good;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct slo_cause - bad calls of one upstream, version and zone; strings owned
 * @move: id of the move that introduced the version, or NULL
 */
struct slo_cause {
	char *upstream;
	char *version;
	char *zone;
	char *move;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct slo_move - a move and the calls to its new version; strings owned
 * @intent: id of the move
 * @version: new version of the service
 * @state: "running", "done", "rolled_back" or "refused"
 * @at_ms: time of the final state in Unix milliseconds, 0 while running
 */
struct slo_move {
	char *intent;
	char *service;
	char *version;
	char *state;
	int64_t at_ms;
	uint64_t good;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct slo_service - counters of one service
 * @target: required ratio of good calls, between 0 and 1
 * @fine: ring of one-minute buckets
 * @coarse: ring of 30-minute buckets
 */
struct slo_service {
	char *name;
	double target;
	struct slo_bucket fine[SLO_FINE_BUCKETS];
	struct slo_bucket coarse[SLO_COARSE_BUCKETS];
	struct slo_cause causes[SLO_MAX_CAUSES];
	uint32_t n_causes;
};

/**
 * struct slo_calls - calls to one upstream since the previous report
 * @move: id of the running move that introduces @version, or NULL
 *
 * The strings are borrowed for the duration of the call.
 */
struct slo_calls {
	const char *service;
	const char *upstream;
	const char *version;
	const char *zone;
	const char *move;
	uint64_t good;
	uint64_t failed;
	uint64_t slow;
};

/**
 * struct slo_effect - object to write to the store
 * @key: key in the store; released by slo_out_clear()
 * @value: JSON value; released by slo_out_clear()
 * @if_version: the write succeeds only if the stored object has this version
 */
struct slo_effect {
	char *key;
	json_t *value;
	uint64_t if_version;
};

/**
 * struct slo_out - output of slo_tick()
 * @write: pending write, valid if @has_write is set
 */
struct slo_out {
	struct slo_effect write;
	bool has_write;
};

/**
 * struct slo_desc - settings
 * @self: identity of this VM
 */
struct slo_desc {
	struct vm_id self;
};

/**
 * struct slo_counters - state in caller-owned memory
 * @desc: settings
 * @services: array of struct slo_service
 * @moves: array of struct slo_move, oldest first
 * @bucket_minute: wall time in minutes at which the current buckets were last
 *	created, 0 to create them at the next tick
 * @decay_period: six-hour period in which the causes were last halved
 * @written_ms: monotonic time of the last write, INT64_MIN before the first
 * @version: store version of the object of this VM
 */
struct slo_counters {
	struct slo_desc desc;
	GPtrArray *services;
	GPtrArray *moves;
	int64_t bucket_minute;
	int64_t decay_period;
	int64_t written_ms;
	uint64_t version;
};

/** slo_init() - initialize without services and moves */
void slo_init(struct slo_counters *s, const struct slo_desc *desc);

/** slo_finish() - free all memory owned by @s */
void slo_finish(struct slo_counters *s);

/** slo_on_config() - set the services and targets that are in effect */
void slo_on_config(struct slo_counters *s, const struct cfg_set *set);

/** slo_on_move() - record the state of a move; counters of @move are ignored */
void slo_on_move(struct slo_counters *s, const struct slo_move *move);

/**
 * slo_on_calls() - add calls; calls to unknown services are ignored
 * @wall_ms: wall time in Unix milliseconds, which selects the buckets
 */
void slo_on_calls(
    struct slo_counters *s, const struct slo_calls *calls, int64_t wall_ms);

/**
 * slo_on_written() - record the store version of the object of this VM
 * @version: version after a write, or after a read that follows a failed
 *	write; 0 when the object does not exist
 */
void slo_on_written(struct slo_counters *s, uint64_t version);

/**
 * slo_tick() - create the current buckets and emit a write once a minute
 * @now_ms: monotonic time in milliseconds
 * @wall_ms: wall time in Unix milliseconds
 * @out: zeroed by the caller; receives the write if one is due
 */
void slo_tick(struct slo_counters *s, int64_t now_ms, int64_t wall_ms,
    struct slo_out *out);

/**
 * slo_print() - serialize the counters to the object of this VM
 * @wall_ms: wall time in Unix milliseconds, at which both rings end
 *
 * Services that do not fit into SLO_MAX_OBJECT_BYTES are left out; their number
 * is in the field "omitted".
 *
 * Return: JSON object owned by the caller.
 */
json_t *slo_print(const struct slo_counters *s, int64_t wall_ms);

/** slo_out_clear() - free the pending write */
void slo_out_clear(struct slo_out *out);

#endif
