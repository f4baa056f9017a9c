/*
 * intent_plan - plan of an intent: expected effect, steps, risks, or why it is
 * refused.
 *
 * Plain functions over the configuration in effect and the load known.
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

/** enum plan_risk - bits of the risks of a plan */
enum plan_risk {
	PLAN_ONE_ZONE_LEFT = 1 << 0,
	PLAN_HIGH_UTILISATION = 1 << 1,
	PLAN_FEW_UPSTREAMS = 1 << 2,
	PLAN_DUE_TIGHT = 1 << 3,
	PLAN_STORE_DOWN = 1 << 4,
	PLAN_LOAD_UNKNOWN = 1 << 5,
};

/**
 * struct plan_view - what a plan depends on
 * @set: configuration in effect
 * @wall_ms: Unix milliseconds
 * @load: calls in flight of a service, negative when unknown
 * @is_ready: whether an upstream is ready; NULL takes all as ready
 * @store_ok: the store responds
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
 * struct plan_for_service - effect on one service
 * @load: calls in flight, negative when unknown
 * @before: slots of the ready upstreams in zones that are in
 * @after: the same after the intent
 * @utilisation: permille of the slots in use afterwards, of the fullest version
 */
struct plan_service {
	const char *name;
	int64_t load;
	int64_t before;
	int64_t after;
	int64_t utilisation;
};

/** struct plan_step - share in permille and seconds after the start */
struct plan_step {
	uint32_t share;
	int64_t after_s;
};

/**
 * struct intent_plan - plan; names are borrowed from the view
 * @risks: bits of enum plan_risk
 * @basis: hash of the versions of the objects that it depends on
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

/** plan_compute() - Return: false with p->refusal when it is impossible */
bool plan_compute(struct intent_plan *p, const struct intent_object *i,
    const struct plan_view *view);

/** plan_finish() - free */
void plan_finish(struct intent_plan *p);

/** plan_print() - JSON value as shown to operators */
json_t *plan_print(const struct intent_plan *p);

/** plan_risk_text() - text of one risk */
const char *plan_risk_text(enum plan_risk risk);

/** plan_subject() - what an intent locks; the caller frees it with g_free() */
char *plan_subject(const struct intent_object *i);

/** plan_key() - key of the object that an intent writes; freed with g_free() */
char *plan_key(const struct intent_object *i);

/**
 * plan_target() - value that an intent writes
 * @set: configuration in effect, in which plan_compute() succeeded
 *
 * Return: the value, or NULL when the object does not exist.
 */
json_t *plan_target(const struct intent_object *i, const struct cfg_set *set);

#endif
