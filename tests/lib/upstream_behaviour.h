/*
 * upstream_behaviour - adjustable behaviour of one simulated upstream.
 *
 * Everything that a run may change is in struct upstream_behaviour and has a
 * JSON key of the same name. A value of null returns a key to its default.
 *
 *	struct upstream_behaviour k;
 *	behaviour_init(&k);
 *	behaviour_apply(&k, json, now_us);
 */
#ifndef LIB_UPSTREAM_BEHAVIOUR_H
#define LIB_UPSTREAM_BEHAVIOUR_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define BEHAVIOUR_PREFIX_MAX 64
#define BEHAVIOUR_MAX_PREFIXES 8

/** enum behaviour_bad - fault of a version */
enum behaviour_bad { BEHAVIOUR_GOOD, BEHAVIOUR_FAILS, BEHAVIOUR_SLOW };

/** enum behaviour_dist - distribution of service times */
enum behaviour_dist { BEHAVIOUR_CONST, BEHAVIOUR_EXP, BEHAVIOUR_LOGNORMAL };

/** struct behaviour_prefix - service time multiplier of a path prefix */
struct behaviour_prefix {
	char prefix[BEHAVIOUR_PREFIX_MAX];
	double factor;
};

/**
 * struct upstream_behaviour - behaviour; "key" below names the JSON key where
 * it differs
 * @slots: requests served at a time
 * @service_us: mean service time
 * @dist: "const", "exp" or "lognormal"
 * @sigma: of the lognormal distribution
 * @slow_factor: multiplies every service time
 * @queue_limit: longer queues are shed with 503 and X-Not-Run
 * @fail_fast: answer 500 at once
 * @drop_answers: the next n requests run and the connection is closed
 * @corrupt_answers: a byte of the next n answer bodies is wrong
 * @draining: key "drain": {"grace_ms": n}; reports draining
 * @late_after_us: new requests after this time are counted as late; the keys
 *	"drain" and "mark": {"grace_ms": n} set it
 * @health_lag_us: key "health_lag_ms"; age of what /health and /load report
 * @health_fixed: always report this state, empty for the real one
 * @load_fixed: always report this load, -1 for the real one
 * @cold_since_us: key "cold": {"ramp_ms": n, "mode": "slow"|"fail",
 *	"factor": x}; 0 when not cold
 * @cold_ramp_us: time from one request at a time to all slots
 * @cold_fails: overload while cold fails instead of being slow
 * @cold_factor: service time multiplier of overload while cold
 * @bad: key "bad": {"mode": "fail"|"slow", "after": n, "above": load,
 *	"prefix": "/p", "factor": x}
 * @bad_after: requests that still run well after the fault was set
 * @bad_above: only while more than this many are in flight
 * @bad_prefix: only on paths with this prefix
 * @bad_factor: service time multiplier of a slow version
 * @prefixes: key "prefix_factors": {"/p": x}
 */
struct upstream_behaviour {
	int slots;
	int64_t service_us;
	enum behaviour_dist dist;
	double sigma;
	double slow_factor;
	int queue_limit;
	bool fail_fast;
	int drop_answers;
	int corrupt_answers;
	bool draining;
	int64_t late_after_us;
	int64_t health_lag_us;
	char health_fixed[16];
	int load_fixed;
	int64_t cold_since_us;
	int64_t cold_ramp_us;
	bool cold_fails;
	double cold_factor;
	enum behaviour_bad bad;
	int64_t bad_after;
	int bad_above;
	char bad_prefix[BEHAVIOUR_PREFIX_MAX];
	double bad_factor;
	struct behaviour_prefix prefixes[BEHAVIOUR_MAX_PREFIXES];
	unsigned n_prefixes;
};

/** behaviour_init() - default behaviour: 6 slots, 1 ms exponential, ready */
void behaviour_init(struct upstream_behaviour *k);

/** behaviour_apply() - apply the keys of @v that are present */
void behaviour_apply(
    struct upstream_behaviour *k, const json_t *v, int64_t now_us);

/**
 * behaviour_state() - "ready", "cold" or "draining"; ends a finished cold start
 */
const char *behaviour_state(struct upstream_behaviour *k, int64_t now_us);

/** behaviour_cold_limit() - concurrency it bears now; slots when not cold */
int behaviour_cold_limit(const struct upstream_behaviour *k, int64_t now_us);

#endif
