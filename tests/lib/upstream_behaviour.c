#include "lib/upstream_behaviour.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_SLOTS 6
#define DEFAULT_SERVICE_US 1000
#define DEFAULT_QUEUE_LIMIT 100000
#define DEFAULT_RAMP_MS 5000
#define DEFAULT_FACTOR 10.0

void
behaviour_init(struct upstream_behaviour *b)
{
	*b = (struct upstream_behaviour){
	    .slots = DEFAULT_SLOTS,
	    .service_us = DEFAULT_SERVICE_US,
	    .dist = BEHAVIOUR_EXP,
	    .sigma = 1.0,
	    .slow_factor = 1.0,
	    .queue_limit = DEFAULT_QUEUE_LIMIT,
	    .load_fixed = -1,
	    .cold_factor = DEFAULT_FACTOR,
	    .fault_factor = DEFAULT_FACTOR,
	};
}

static void
apply_int(const json_t *v, const char *key, int *out, int def)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		*out = json_is_null(e) ? def : (int)json_integer_value(e);
}

static void
apply_num(const json_t *v, const char *key, double *out, double def)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		*out = json_is_null(e) ? def : json_number_value(e);
}

static void
apply_text(const json_t *v, const char *key, char *out, size_t size)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		snprintf(out, size, "%s",
		    json_is_string(e) ? json_string_value(e) : "");
}

static int64_t
read_ms_as_us(const json_t *v, const char *key, int64_t def_ms)
{
	const json_t *e = json_object_get(v, key);

	return ((e == NULL ? def_ms : json_integer_value(e)) * 1000);
}

static void
apply_cold(struct upstream_behaviour *b, const json_t *e, int64_t now_us)
{
	const char *mode = json_string_value(json_object_get(e, "mode"));

	b->cold_since_us = json_is_null(e) ? 0 : now_us;
	b->cold_ramp_us = read_ms_as_us(e, "ramp_ms", DEFAULT_RAMP_MS);
	b->cold_fails = mode != NULL && strcmp(mode, "fail") == 0;
	b->cold_factor = DEFAULT_FACTOR;
	apply_num(e, "factor", &b->cold_factor, DEFAULT_FACTOR);
}

static void
apply_fault(struct upstream_behaviour *b, const json_t *e)
{
	const char *mode = json_string_value(json_object_get(e, "mode"));

	b->fault = BEHAVIOUR_NO_FAULT;
	if (mode != NULL)
		b->fault = strcmp(mode, "slow") == 0 ? BEHAVIOUR_FAULT_SLOW
						     : BEHAVIOUR_FAULT_FAIL;
	b->fault_after = json_integer_value(json_object_get(e, "after"));
	b->fault_above = (int)json_integer_value(json_object_get(e, "above"));
	b->fault_prefix[0] = '\0';
	apply_text(e, "prefix", b->fault_prefix, sizeof(b->fault_prefix));
	b->fault_factor = DEFAULT_FACTOR;
	apply_num(e, "factor", &b->fault_factor, DEFAULT_FACTOR);
}

static void
apply_prefixes(struct upstream_behaviour *b, json_t *e)
{
	const char *key;
	json_t *v;

	b->n_prefixes = 0;
	json_object_foreach(e, key, v)
	{
		struct behaviour_prefix *p;

		if (b->n_prefixes == BEHAVIOUR_MAX_PREFIXES)
			break;
		p = &b->prefixes[b->n_prefixes++];
		snprintf(p->prefix, sizeof(p->prefix), "%s", key);
		p->factor = json_number_value(v);
	}
}

static void
apply_late(struct upstream_behaviour *b, const json_t *e, int64_t now_us)
{
	b->late_after_us = 0;
	if (!json_is_null(e))
		b->late_after_us = now_us + read_ms_as_us(e, "grace_ms", 0);
}

static void
apply_dist(struct upstream_behaviour *b, const char *name)
{
	b->dist = BEHAVIOUR_EXP;
	if (name != NULL && strcmp(name, "const") == 0)
		b->dist = BEHAVIOUR_CONST;
	if (name != NULL && strcmp(name, "lognormal") == 0)
		b->dist = BEHAVIOUR_LOGNORMAL;
}

void
behaviour_apply(struct upstream_behaviour *b, const json_t *v, int64_t now_us)
{
	const json_t *e;
	int n = (int)b->service_us;

	apply_int(v, "slots", &b->slots, DEFAULT_SLOTS);
	apply_int(v, "service_us", &n, DEFAULT_SERVICE_US);
	b->service_us = n;
	apply_num(v, "sigma", &b->sigma, 1.0);
	apply_num(v, "slow_factor", &b->slow_factor, 1.0);
	apply_int(v, "queue_limit", &b->queue_limit, DEFAULT_QUEUE_LIMIT);
	apply_int(v, "drop_answers", &b->drop_answers, 0);
	apply_int(v, "corrupt_answers", &b->corrupt_answers, 0);
	apply_int(v, "load_fixed", &b->load_fixed, -1);
	apply_text(v, "health_fixed", b->health_fixed, sizeof(b->health_fixed));
	if ((e = json_object_get(v, "dist")) != NULL)
		apply_dist(b, json_string_value(e));
	if ((e = json_object_get(v, "fail_fast")) != NULL)
		b->fail_fast = json_is_true(e);
	if (json_object_get(v, "health_lag_ms") != NULL)
		b->health_lag_us = read_ms_as_us(v, "health_lag_ms", 0);
	if ((e = json_object_get(v, "drain")) != NULL) {
		b->draining = !json_is_null(e);
		apply_late(b, e, now_us);
	}
	if ((e = json_object_get(v, "mark")) != NULL)
		apply_late(b, e, now_us);
	if ((e = json_object_get(v, "cold")) != NULL)
		apply_cold(b, e, now_us);
	if ((e = json_object_get(v, "bad")) != NULL)
		apply_fault(b, e);
	if ((e = json_object_get(v, "prefix_factors")) != NULL)
		apply_prefixes(b, (json_t *)(uintptr_t)e);
}

const char *
behaviour_state(struct upstream_behaviour *b, int64_t now_us)
{
	if (b->cold_since_us != 0 &&
	    now_us - b->cold_since_us >= b->cold_ramp_us)
		b->cold_since_us = 0;
	if (b->draining)
		return ("draining");
	return (b->cold_since_us != 0 ? "cold" : "ready");
}

int
behaviour_cold_limit(const struct upstream_behaviour *b, int64_t now_us)
{
	int64_t age = now_us - b->cold_since_us;

	if (b->cold_since_us == 0 || age >= b->cold_ramp_us)
		return (b->slots);
	return (1 + (int)((b->slots - 1) * age / b->cold_ramp_us));
}
