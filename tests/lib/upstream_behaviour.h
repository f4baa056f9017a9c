/*
 * upstream_behaviour - adjustable behaviour of one simulated upstream (prefix
 * behaviour_).
 *
 * Every setting that can change at run time is a field of struct
 * upstream_behaviour and has a JSON key, which has the name of the field unless
 * the field says otherwise. A value of null resets the key to its default.
 *
 *	struct upstream_behaviour b;
 *	behaviour_init(&b);
 *	behaviour_apply(&b, json, now_us);
 */
#ifndef LIB_UPSTREAM_BEHAVIOUR_H
#define LIB_UPSTREAM_BEHAVIOUR_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define BEHAVIOUR_PREFIX_MAX 64
#define BEHAVIOUR_MAX_PREFIXES 8

/** enum behaviour_fault - injected fault of a bad version */
enum behaviour_fault {
	BEHAVIOUR_NO_FAULT,
	BEHAVIOUR_FAULT_FAIL,
	BEHAVIOUR_FAULT_SLOW
};

/** enum behaviour_dist - distribution of the service time */
enum behaviour_dist { BEHAVIOUR_CONST, BEHAVIOUR_EXP, BEHAVIOUR_LOGNORMAL };

/** struct behaviour_prefix - service time multiplier of a path prefix */
struct behaviour_prefix {
	char prefix[BEHAVIOUR_PREFIX_MAX];
	double factor;
};

/**
 * struct upstream_behaviour - settings; "key" names the JSON key where it
 * differs from the field
 * @slots: requests served concurrently
 * @service_us: mean service time
 * @dist: "const", "exp" or "lognormal"
 * @sigma: parameter of the lognormal distribution
 * @slow_factor: multiplier of every service time
 * @queue_limit: requests above this queue length are shed with 503 and
 *	X-Not-Run
 * @fail_fast: answer 500 at once
 * @drop_answers: this many of the next requests run, but their connections are
 *	closed without an answer
 * @corrupt_answers: this many of the next answers are corrupted: the last byte
 *	of a body requested with bytes=n is wrong
 * @draining: key "drain": {"grace_ms": n}; report the state "draining"
 * @late_after_us: requests received after this time are counted as late; set
 *	with the keys "drain" and "mark": {"grace_ms": n}
 * @health_lag_us: key "health_lag_ms"; age of the values that /health and /load
 *	report
 * @health_fixed: state to report always, empty for the actual one
 * @load_fixed: load to report always, -1 for the actual one
 * @cold_since_us: key "cold": {"ramp_ms": n, "mode": "slow"|"fail",
 *	"factor": x}; start of the cold start, 0 when not cold
 * @cold_ramp_us: duration of the ramp-up from one concurrent request to @slots
 * @cold_fails: requests above the cold limit fail instead of being slow
 * @cold_factor: service time multiplier of requests above the cold limit
 * @fault: key "bad": {"mode": "fail"|"slow", "after": n, "above": load,
 *	"prefix": "/p", "factor": x}
 * @fault_after: requests that are still served normally after the fault was set
 * @fault_above: the fault occurs only while more requests than this are in
 *	flight
 * @fault_prefix: the fault occurs only on paths with this prefix
 * @fault_factor: service time multiplier of BEHAVIOUR_FAULT_SLOW
 * @prefixes: key "prefix_factors": {"/p": x}; service time multipliers
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
	enum behaviour_fault fault;
	int64_t fault_after;
	int fault_above;
	char fault_prefix[BEHAVIOUR_PREFIX_MAX];
	double fault_factor;
	struct behaviour_prefix prefixes[BEHAVIOUR_MAX_PREFIXES];
	unsigned n_prefixes;
};

/** behaviour_init() - default behaviour: 6 slots, 1 ms exponential, ready */
void behaviour_init(struct upstream_behaviour *b);

/**
 * behaviour_apply() - change the settings that are keys of @v
 * @now_us: monotonic time, start of a cold start or grace period in @v
 */
void behaviour_apply(
    struct upstream_behaviour *b, const json_t *v, int64_t now_us);

/**
 * behaviour_state() - state to report; ends a cold start after its ramp-up
 *
 * Return: "ready", "cold" or "draining".
 */
const char *behaviour_state(struct upstream_behaviour *b, int64_t now_us);

/**
 * behaviour_cold_limit() - concurrent requests that are served normally now
 *
 * Return: the limit at this point of the ramp-up; all slots when not cold.
 */
int behaviour_cold_limit(const struct upstream_behaviour *b, int64_t now_us);

#endif
