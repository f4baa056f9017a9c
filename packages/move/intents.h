/*
 * intents - intents of operators: plan, confirmation, execution and report.
 *
 * An intent is an object "intent/<id>" that is changed only by conditional
 * updates. All writes go through config_state, which settles lost responses by
 * the change id; the change ids are derived from the intent id, so that a
 * repeated execution by another VM is the same change.
 *
 * Confirmation takes two writes. The first adds the subject to the lock object,
 * which decides between conflicting intents; the second changes the state to
 * confirmed if the intent still has the version that was shown. A lock entry
 * without the second write is completed by the executor of the intent, and
 * removed by anyone when the intent has a higher version that is not confirmed,
 * because the second write then fails.
 *
 * Before an executor refuses a confirmed intent it writes the target object
 * unchanged. A write of an earlier executor, whose response was lost, then
 * either is seen or fails.
 *
 *	struct intents t;
 *	intents_init(&t);
 *	intents_on_object(&t, key, version, value);      each CONFIG_PUBLISH
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

#define INTENTS_MAX_WORKS 64

/**
 * struct intents_view - what the module reads
 * @plan: input of plans
 * @is_executor: whether this VM is now the executor of an intent; false while
 *     its configuration is not fresh
 */
struct intents_view {
	struct plan_view plan;
	bool (*is_executor)(void *arg, const char *intent);
	void *arg;
};

/** enum intents_effect_kind - what the caller has to do */
enum intents_effect_kind {
	INTENTS_WRITE, /* config_write(); intents_on_written() */
	INTENTS_REPLY, /* answer the operator */
	INTENTS_ENDED, /* the intent reached a final state, in effect on this VM
			*/
};

/**
 * struct intents_effect - one effect; owned
 * @intent: id
 * @error: of a reply, ERR_NONE on success
 * @text: of a reply: what happened or the id of the other intent
 * @version: of a write: version that is replaced; of a reply: version shown
 * @value: of a write: the object; of a reply: the intent or NULL
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

/** struct intents_out - growable list of effects, all zero is empty */
struct intents_out {
	struct intents_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct intents - state on caller-owned memory */
struct intents {
	GHashTable *intents; /* id -> struct entry */
	GPtrArray *works;    /* struct work, requests of operators */
	struct intent_locks locks;
	uint64_t locks_version;
};

/** intents_init() - empty state */
void intents_init(struct intents *t);

/** intents_finish() - free */
void intents_finish(struct intents *t);

/** intents_on_object() - an object is in effect; other keys are ignored */
void intents_on_object(struct intents *t, const char *key, uint64_t version,
    const json_t *value, struct intents_out *out);

/**
 * intents_declare() - compute the plan and propose the intent
 * @request: id, kind and subject; the id must be new
 *
 * An INTENTS_REPLY follows: the proposed intent with its plan, or ERR_INVALID
 * or ERR_CONFLICT.
 */
void intents_declare(struct intents *t, const struct intent_object *request,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/**
 * intents_confirm() - confirm the plan that was shown
 * @version: version of the intent object that was shown
 *
 * An INTENTS_REPLY follows. When the configuration has changed since the plan
 * was computed, it is ERR_CONFLICT with the new plan to show.
 */
void intents_confirm(struct intents *t, const char *id, uint64_t version,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/**
 * intents_drop() - withdraw an intent that is not confirmed; INTENTS_REPLY
 * follows
 */
void intents_drop(struct intents *t, const char *id,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/**
 * intents_on_written() - answer of config_state to a change; others are ignored
 */
void intents_on_written(struct intents *t, const char *change,
    enum config_status status, const char *text,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out);

/** intents_tick() - continue requests and executions, every 50 ms */
void intents_tick(struct intents *t, const struct intents_view *view,
    int64_t now_ms, struct intents_out *out);

/** intents_get() - an intent and its version, or NULL */
const struct intent_object *intents_get(
    const struct intents *t, const char *id, uint64_t *version);

/**
 * intents_report() - what an intent did, or why it is stuck
 *
 * Return: {"intent", "what", "state", "why", "at_ms"}, owned by the caller;
 * "why" and "at_ms" are null while unknown. NULL when the id is not known.
 */
json_t *intents_report(const struct intents *t, const char *id);

/** intents_out_clear() - free the effects, keep the storage */
void intents_out_clear(struct intents_out *out);

/** intents_out_finish() - free */
void intents_out_finish(struct intents_out *out);

#endif
