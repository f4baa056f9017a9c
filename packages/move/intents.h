/*
 * intents - intents of operators: plan, confirmation, execution and report.
 *
 * An intent is an object "intent/<id>" that is changed only by conditional
 * updates. All writes go through config_state, which resolves lost responses by
 * the change id. Change ids are derived from the intent id, so that a write
 * that another VM repeats is the same change.
 *
 * Confirmation takes two writes. The first adds the subject to the lock object,
 * which decides between conflicting intents. The second changes the state to
 * confirmed if the intent still has the version that was shown. If the second
 * write is missing, the executor of the intent completes it. If the intent has
 * meanwhile a higher version that is not confirmed, the second write would
 * fail, and any VM may remove the lock entry.
 *
 * Before an executor refuses a confirmed intent, it writes the target object
 * unchanged. A write of an earlier executor whose response was lost is then
 * either visible or fails.
 *
 *	struct intents t;
 *	intents_init(&t);
 *	each CONFIG_PUBLISH:
 *		intents_on_object(&t, key, version, value, &out);
 *	intents_declare(&t, &intent, &view, now_ms, &out);
 *	intents_confirm(&t, "i1", version, &view, now_ms, &out);
 *	intents_on_written(&t, change, status, text, &view, now_ms, &out);
 *	intents_tick(&t, &view, now_ms, &out);
 *	intents_finish(&t);
 */
#ifndef MOVE_INTENTS_H
#define MOVE_INTENTS_H

#include "base/error_kind.h"
#include "move/intent_plan.h"

/* Limit of operator requests that wait for the store. */
#define INTENTS_MAX_REQUESTS 64

/**
 * struct intents_view - environment of the module
 * @plan: input of plans
 * @is_executor: whether this VM is currently the executor of an intent; false
 *     while its configuration is not fresh
 * @arg: argument of @is_executor
 */
struct intents_view {
	struct plan_view plan;
	bool (*is_executor)(void *arg, const char *intent);
	void *arg;
};

/**
 * enum intents_effect_kind - actions for the caller
 * @INTENTS_WRITE: call config_write(), and intents_on_written() with the result
 * @INTENTS_REPLY: reply to the operator
 * @INTENTS_ENDED: a final state of the intent is in effect on this VM
 */
enum intents_effect_kind {
	INTENTS_WRITE,
	INTENTS_REPLY,
	INTENTS_ENDED,
};

/**
 * struct intents_effect - one effect; strings and value owned
 * @intent: id of the intent
 * @error: reply only: ERR_NONE on success
 * @text: reply only: result or reason of the error
 * @key, @change: write only: key of the object and change id
 * @version: store version: the replaced one of a write, the shown one of a
 *     reply
 * @value: the object of a write, the intent or NULL of a reply, the report of
 *     an ended intent
 */
struct intents_effect {
	enum intents_effect_kind kind;
	char *intent;
	enum err_kind error;
	char *text;
	char *key;
	char *change;
	uint64_t version;
	json_t *value;
};

/** struct intents_out - growable list of effects, empty when all zero */
struct intents_out {
	struct intents_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct intents - state of the module, in memory of the caller */
struct intents {
	GHashTable *intents; /* id -> struct intent_exec_entry */
	GPtrArray *requests; /* struct operator_request */
	struct intent_locks locks;
	uint64_t locks_version;
};

/** intents_init() - initialise to the empty state */
void intents_init(struct intents *t);

/** intents_finish() - free the state */
void intents_finish(struct intents *t);

/**
 * intents_on_object() - process an object that is now in effect
 * @value: NULL when the object was deleted
 *
 * Keys outside of "intent/" are ignored.
 */
void intents_on_object(struct intents *t, const char *key, uint64_t version,
    const json_t *value, struct intents_out *out);

/**
 * intents_declare() - compute the plan and propose the intent
 * @request: id, kind and subject; the id must be new
 *
 * An INTENTS_REPLY follows with the proposed intent and its plan, or with an
 * error: ERR_INVALID for an impossible intent, ERR_CONFLICT for an id in use or
 * a subject held by another intent, ERR_OVERLOADED for too many waiting
 * requests, ERR_STORE when the store does not respond.
 */
void intents_declare(struct intents *t, const struct intent_object *request,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/**
 * intents_confirm() - confirm the plan that was shown
 * @version: version of the intent object that was shown
 *
 * An INTENTS_REPLY follows. When the configuration has changed since the plan
 * was computed, it is ERR_CONFLICT with the new plan.
 */
void intents_confirm(struct intents *t, const char *id, uint64_t version,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/**
 * intents_drop() - withdraw an unconfirmed intent; an INTENTS_REPLY follows
 */
void intents_drop(struct intents *t, const char *id,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/**
 * intents_on_written() - process the result of a config_write()
 * @change: change id; ids of other modules are ignored
 */
void intents_on_written(struct intents *t, const char *change,
    enum config_status status, const char *text,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/** intents_tick() - continue requests and executions; call every 50 ms */
void intents_tick(struct intents *t, const struct intents_view *view,
    int64_t now_ms, struct intents_out *out);

/**
 * intents_get() - look up an intent
 * @version: set to its store version unless NULL
 *
 * Return: the intent, or NULL when the id is not known.
 */
const struct intent_object *intents_get(
    const struct intents *t, const char *id, uint64_t *version);

/**
 * intents_report() - report the result of an intent, or why it makes no
 * progress
 *
 * Return: {"intent", "what", "state", "why", "at_ms"}, owned by the caller;
 * "why" and "at_ms" are null while unknown. NULL when the id is not known.
 */
json_t *intents_report(const struct intents *t, const char *id);

/** intents_out_clear() - free the effects and keep the array */
void intents_out_clear(struct intents_out *out);

/** intents_out_finish() - free the effects and the array */
void intents_out_finish(struct intents_out *out);

#endif
