/*
 * pln - plan of an intent: expected effect, steps, risks, or why it is refused.
 *
 * Plain functions over the configuration in effect and the load known.
 *
 *	struct pln p;
 *	if (!pln_compute(&p, &intent, &view))
 *		refuse(p.refusal);
 *	intent.plan = pln_print(&p);
 *	pln_finish(&p);
 */
#ifndef MOVE_PLN_H
#define MOVE_PLN_H

#include "config/intent_schema.h"
#include "move/mov.h"

#define PLN_MAX_SERVICES 1024
#define PLN_REFUSAL_BYTES 200

/** enum pln_risk - bits of the risks of a plan */
enum pln_risk {
	PLN_ONE_ZONE_LEFT = 1 << 0,
	PLN_HIGH_UTILISATION = 1 << 1,
	PLN_FEW_UPSTREAMS = 1 << 2,
	PLN_DUE_TIGHT = 1 << 3,
	PLN_STORE_DOWN = 1 << 4,
	PLN_LOAD_UNKNOWN = 1 << 5,
};

/**
 * struct pln_view - what a plan depends on
 * @set: configuration in effect
 * @wall_ms: Unix milliseconds
 * @load: calls in flight of a service, negative when unknown
 * @is_ready: whether an upstream is ready; NULL takes all as ready
 * @store_ok: the store responds
 */
struct pln_view {
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

/** struct pln_step - share in permille and seconds after the start */
struct pln_step {
	uint32_t share;
	int64_t after_s;
};

/**
 * struct pln - plan; names are borrowed from the view
 * @risks: bits of enum pln_risk
 * @basis: hash of the versions of the objects that it depends on
 * @finish_ms: expected end, Unix milliseconds
 * @refusal: why the intent is impossible, empty when it is possible
 */
struct pln {
	struct plan_service *services;
	uint32_t n_services;
	struct pln_step steps[MOV_MAX_STEPS];
	uint32_t n_steps;
	unsigned risks;
	uint64_t basis;
	int64_t finish_ms;
	char refusal[PLN_REFUSAL_BYTES];
};

/** pln_compute() - Return: false with p->refusal when it is impossible */
bool pln_compute(
    struct pln *p, const struct intent_object *i, const struct pln_view *view);

/** pln_finish() - free */
void pln_finish(struct pln *p);

/** pln_print() - JSON value as shown to operators */
json_t *pln_print(const struct pln *p);

/** pln_risk_text() - text of one risk */
const char *pln_risk_text(enum pln_risk risk);

/** pln_subject() - what an intent locks; the caller frees it with g_free() */
char *pln_subject(const struct intent_object *i);

/** pln_key() - key of the object that an intent writes; freed with g_free() */
char *pln_key(const struct intent_object *i);

/**
 * pln_target() - value that an intent writes
 * @set: configuration in effect, in which pln_compute() succeeded
 *
 * Return: the value, or NULL when the object does not exist.
 */
json_t *pln_target(const struct intent_object *i, const struct cfg_set *set);

#endif
