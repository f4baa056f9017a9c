/*
 * intent_plan - plan of an intent: expected effect, steps and risks, or the
 * reason of its refusal (prefix plan_).
 *
 * The results depend only on the intent and on the view: the configuration in
 * effect, the time, the load, the readiness and the state of the store.
 *
 *	struct intent_plan p;
 *	if (!plan_compute(&p, &intent, &view))
 *		refuse(p.refusal);
 *	intent.plan = plan_print(&p);
 *	plan_finish(&p);
 */
#ifndef MOVE_INTENT_PLAN_H
#define MOVE_INTENT_PLAN_H

#include "config/intent_schema.h"
#include "move/version_move.h"

#define PLAN_MAX_SERVICES 1024
#define PLAN_REFUSAL_BYTES 200

/** enum plan_risk - risks of a plan, as bits; see plan_risk_text() */
enum plan_risk {
	PLAN_ONE_ZONE_LEFT = 1 << 0,
	PLAN_HIGH_UTILISATION = 1 << 1,
	PLAN_FEW_UPSTREAMS = 1 << 2,
	PLAN_DUE_TIGHT = 1 << 3,
	PLAN_STORE_DOWN = 1 << 4,
	PLAN_LOAD_UNKNOWN = 1 << 5,
};

/**
 * struct plan_view - input of a plan
 * @set: configuration in effect
 * @wall_ms: Unix milliseconds
 * @load: calls in flight of a service, negative when unknown
 * @is_ready: whether an upstream is ready; NULL treats all as ready
 * @arg: argument of @load and @is_ready
 * @store_ok: whether the store responds
 */
struct plan_view {
	const struct cfg_set *set;
	int64_t wall_ms;
	int64_t (*load)(void *arg, const char *service);
	bool (*is_ready)(void *arg, const char *upstream);
	void *arg;
	bool store_ok;
};

/**
 * struct plan_service - effect on one service
 * @load: calls in flight, negative when unknown
 * @before: slots of the ready upstreams in zones that are not drained
 * @after: the same after the intent
 * @utilisation: slots in use afterwards, in permille, of the version with the
 *     highest utilisation
 */
struct plan_service {
	const char *name;
	int64_t load;
	int64_t before;
	int64_t after;
	int64_t utilisation;
};

/** struct plan_step - share in permille, and seconds after the start */
struct plan_step {
	uint32_t share;
	int64_t after_s;
};

/**
 * struct intent_plan - plan of an intent; names are borrowed from the view
 * @risks: bits of enum plan_risk
 * @basis: hash of the versions of the objects that the plan depends on
 * @finish_ms: expected end, Unix milliseconds
 * @refusal: why the intent is impossible, empty when it is possible
 */
struct intent_plan {
	struct plan_service *services;
	uint32_t n_services;
	struct plan_step steps[MOVE_MAX_STEPS];
	uint32_t n_steps;
	unsigned risks;
	uint64_t basis;
	int64_t finish_ms;
	char refusal[PLAN_REFUSAL_BYTES];
};

/**
 * plan_compute() - compute the plan of an intent
 *
 * Return: true when the intent is possible, otherwise false with the reason in
 * p->refusal. Call plan_finish() in both cases.
 */
bool plan_compute(struct intent_plan *p, const struct intent_object *i,
    const struct plan_view *view);

/** plan_finish() - free the plan */
void plan_finish(struct intent_plan *p);

/**
 * plan_print() - plan as shown to operators
 *
 * Return: a new JSON value, owned by the caller.
 */
json_t *plan_print(const struct intent_plan *p);

/** plan_risk_text() - text of one risk, static; "" when it is not known */
const char *plan_risk_text(enum plan_risk risk);

/**
 * plan_subject() - subject that an intent locks
 *
 * Return: "zones" or "service/<name>", freed by the caller with g_free().
 */
char *plan_subject(const struct intent_object *i);

/**
 * plan_key() - key of the object that an intent writes
 *
 * Return: the key, freed by the caller with g_free().
 */
char *plan_key(const struct intent_object *i);

/**
 * plan_target() - value that an intent writes
 * @set: configuration in effect, for which plan_compute() returned true
 *
 * Return: the value, owned by the caller, or NULL when the object does not
 * exist.
 */
json_t *plan_target(const struct intent_object *i, const struct cfg_set *set);

#endif
