/*
 * slo - counters of good and bad calls of one VM for the burn report.
 *
 * Keeps, for each service, counters in buckets of one minute for one hour and
 * of 30 minutes for three days, and the top causes of bad calls. The buckets
 * are numbered by wall time, so that the objects of all VMs can be added. A
 * bucket exists only while the VM was there: a missing one is not zero. The
 * object is written to the store under "report/<vm id>" once a minute and
 * outlives the VM.
 *
 *	struct slo_counters s;
 *	slo_init(&s, &(struct slo_desc){.self = me});
 *	slo_on_config(&s, config_set(&c));
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
#define SLO_OBJECT_BYTES 900000
#define SLO_WRITE_MS 60000

/**
 * struct slo_bucket - calls in one span of time
 * @index: wall time divided by the length of the bucket, 0 for no bucket
 */
struct slo_bucket {
	int64_t index;
	uint64_t good;
	uint64_t failed;
	uint64_t slow;
};

/** struct slo_cause - where bad calls came from; strings owned */
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
 * @state: "running", "done", "rolled_back" or "refused"
 * @at_ms: Unix milliseconds of the final state, 0 before
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

/** struct slo_service - counters of one service */
struct slo_service {
	char *name;
	double target;
	struct slo_bucket fine[SLO_FINE_BUCKETS];
	struct slo_bucket coarse[SLO_COARSE_BUCKETS];
	struct slo_cause causes[SLO_MAX_CAUSES];
	uint32_t n_causes;
};

/**
 * struct slo_calls - calls since the last report of a worker; borrowed
 * @move: id of the running move whose new version this is, or NULL
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
 * struct slo_effect - object to write
 * @key, @value: owned by the caller, who frees with g_free() and json_decref()
 * @if_version: version that is replaced
 */
struct slo_effect {
	char *key;
	json_t *value;
	uint64_t if_version;
};

/** struct slo_out - at most one effect */
struct slo_out {
	struct slo_effect write;
	bool has_write;
};

/** struct slo_desc - settings */
struct slo_desc {
	struct vm_id self;
};

/** struct slo_counters - state on caller-owned memory */
struct slo_counters {
	struct slo_desc desc;
	GPtrArray *services; /* struct slo_service */
	GPtrArray *moves;    /* struct slo_move */
	int64_t covered;     /* last minute that is marked as covered */
	int64_t halved;      /* last quarter of a day in which causes decayed */
	int64_t written_ms;
	uint64_t version;
};

/** slo_init() - empty state */
void slo_init(struct slo_counters *s, const struct slo_desc *desc);

/** slo_finish() - free */
void slo_finish(struct slo_counters *s);

/** slo_on_config() - services and targets in effect */
void slo_on_config(struct slo_counters *s, const struct cfg_set *set);

/** slo_on_move() - a move started or ended; counters in @move are ignored */
void slo_on_move(struct slo_counters *s, const struct slo_move *move);

/** slo_on_calls() - add calls; those of unknown services are ignored */
void slo_on_calls(
    struct slo_counters *s, const struct slo_calls *calls, int64_t wall_ms);

/** slo_on_written() - store version of the own object, after a write or read */
void slo_on_written(struct slo_counters *s, uint64_t version);

/** slo_tick() - mark the present bucket; write once a minute */
void slo_tick(struct slo_counters *s, int64_t now_ms, int64_t wall_ms,
    struct slo_out *out);

/** slo_print() - the object of this VM, at most SLO_OBJECT_BYTES */
json_t *slo_print(const struct slo_counters *s, int64_t wall_ms);

/** slo_out_clear() - free the effect */
void slo_out_clear(struct slo_out *out);

#endif
