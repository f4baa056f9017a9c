#include "lib/upstream_behaviour.h"

#include <stdio.h>
#include <string.h>

#define DEFAULT_SLOTS 6
#define DEFAULT_SERVICE_US 1000
#define DEFAULT_QUEUE 100000
#define DEFAULT_RAMP_MS 5000
#define DEFAULT_FACTOR 10.0

void
behaviour_init(struct upstream_behaviour *k)
{
	*k = (struct upstream_behaviour){
	    .slots = DEFAULT_SLOTS,
	    .service_us = DEFAULT_SERVICE_US,
	    .dist = BEHAVIOUR_EXP,
	    .sigma = 1.0,
	    .slow_factor = 1.0,
	    .queue_limit = DEFAULT_QUEUE,
	    .load_fixed = -1,
	    .cold_factor = DEFAULT_FACTOR,
	    .bad_factor = DEFAULT_FACTOR,
	};
}

static void
take_int(const json_t *v, const char *key, int *out, int def)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		*out = json_is_null(e) ? def : (int)json_integer_value(e);
}

static void
take_num(const json_t *v, const char *key, double *out, double def)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		*out = json_is_null(e) ? def : json_number_value(e);
}

static void
take_text(const json_t *v, const char *key, char *out, size_t size)
{
	const json_t *e = json_object_get(v, key);

	if (e != NULL)
		snprintf(out, size, "%s",
		    json_is_string(e) ? json_string_value(e) : "");
}

static int64_t
ms_of(const json_t *v, const char *key, int64_t def_ms)
{
	const json_t *e = json_object_get(v, key);

	return ((e == NULL ? def_ms : json_integer_value(e)) * 1000);
}

static void
take_cold(struct upstream_behaviour *k, const json_t *e, int64_t now_us)
{
	const char *mode = json_string_value(json_object_get(e, "mode"));

	k->cold_since_us = json_is_null(e) ? 0 : now_us;
	k->cold_ramp_us = ms_of(e, "ramp_ms", DEFAULT_RAMP_MS);
	k->cold_fails = mode != NULL && strcmp(mode, "fail") == 0;
	k->cold_factor = DEFAULT_FACTOR;
	take_num(e, "factor", &k->cold_factor, DEFAULT_FACTOR);
}

static void
take_bad(struct upstream_behaviour *k, const json_t *e)
{
	const char *mode = json_string_value(json_object_get(e, "mode"));

	k->bad = BEHAVIOUR_GOOD;
	if (mode != NULL)
		k->bad = strcmp(mode, "slow") == 0 ? BEHAVIOUR_SLOW
						   : BEHAVIOUR_FAILS;
	k->bad_after = json_integer_value(json_object_get(e, "after"));
	k->bad_above = (int)json_integer_value(json_object_get(e, "above"));
	k->bad_prefix[0] = '\0';
	take_text(e, "prefix", k->bad_prefix, sizeof(k->bad_prefix));
	k->bad_factor = DEFAULT_FACTOR;
	take_num(e, "factor", &k->bad_factor, DEFAULT_FACTOR);
}

static void
take_prefixes(struct upstream_behaviour *k, json_t *e)
{
	const char *key;
	json_t *v;

	k->n_prefixes = 0;
	json_object_foreach(e, key, v)
	{
		struct behaviour_prefix *p;

		if (k->n_prefixes == BEHAVIOUR_MAX_PREFIXES)
			break;
		p = &k->prefixes[k->n_prefixes++];
		snprintf(p->prefix, sizeof(p->prefix), "%s", key);
		p->factor = json_number_value(v);
	}
}

static void
take_late(struct upstream_behaviour *k, const json_t *e, int64_t now_us)
{
	k->late_after_us = 0;
	if (!json_is_null(e))
		k->late_after_us = now_us + ms_of(e, "grace_ms", 0);
}

static void
take_dist(struct upstream_behaviour *k, const char *name)
{
	k->dist = BEHAVIOUR_EXP;
	if (name != NULL && strcmp(name, "const") == 0)
		k->dist = BEHAVIOUR_CONST;
	if (name != NULL && strcmp(name, "lognormal") == 0)
		k->dist = BEHAVIOUR_LOGNORMAL;
}

void
behaviour_apply(struct upstream_behaviour *k, const json_t *v, int64_t now_us)
{
	const json_t *e;
	int n = (int)k->service_us;

	take_int(v, "slots", &k->slots, DEFAULT_SLOTS);
	take_int(v, "service_us", &n, DEFAULT_SERVICE_US);
	k->service_us = n;
	take_num(v, "sigma", &k->sigma, 1.0);
	take_num(v, "slow_factor", &k->slow_factor, 1.0);
	take_int(v, "queue_limit", &k->queue_limit, DEFAULT_QUEUE);
	take_int(v, "drop_answers", &k->drop_answers, 0);
	take_int(v, "corrupt_answers", &k->corrupt_answers, 0);
	take_int(v, "load_fixed", &k->load_fixed, -1);
	take_text(v, "health_fixed", k->health_fixed, sizeof(k->health_fixed));
	if ((e = json_object_get(v, "dist")) != NULL)
		take_dist(k, json_string_value(e));
	if ((e = json_object_get(v, "fail_fast")) != NULL)
		k->fail_fast = json_is_true(e);
	if (json_object_get(v, "health_lag_ms") != NULL)
		k->health_lag_us = ms_of(v, "health_lag_ms", 0);
	if ((e = json_object_get(v, "drain")) != NULL) {
		k->draining = !json_is_null(e);
		take_late(k, e, now_us);
	}
	if ((e = json_object_get(v, "mark")) != NULL)
		take_late(k, e, now_us);
	if ((e = json_object_get(v, "cold")) != NULL)
		take_cold(k, e, now_us);
	if ((e = json_object_get(v, "bad")) != NULL)
		take_bad(k, e);
	if ((e = json_object_get(v, "prefix_factors")) != NULL)
		take_prefixes(k, (json_t *)(uintptr_t)e);
}

const char *
behaviour_state(struct upstream_behaviour *k, int64_t now_us)
{
	if (k->cold_since_us != 0 &&
	    now_us - k->cold_since_us >= k->cold_ramp_us)
		k->cold_since_us = 0;
	if (k->draining)
		return ("draining");
	return (k->cold_since_us != 0 ? "cold" : "ready");
}

int
behaviour_cold_limit(const struct upstream_behaviour *k, int64_t now_us)
{
	int64_t age = now_us - k->cold_since_us;

	if (k->cold_since_us == 0 || age >= k->cold_ramp_us)
		return (k->slots);
	return (1 + (int)((k->slots - 1) * age / k->cold_ramp_us));
}
