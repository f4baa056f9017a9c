/*
 * itn - intents of operators: plan, confirmation, execution and report.
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
 *	struct itn t;
 *	itn_init(&t);
 *	itn_on_object(&t, key, version, value);      each CONFIG_PUBLISH
 *	itn_declare(&t, &intent, &view, now_ms, &out);
 *	itn_confirm(&t, "i1", version, &view, now_ms, &out);
 *	itn_on_written(&t, change, status, text, &view, now_ms, &out);
 *	itn_tick(&t, &view, now_ms, &out);
 *	itn_finish(&t);
 */
#ifndef MOVE_ITN_H
#define MOVE_ITN_H

#include "base/error_kind.h"
#include "move/pln.h"

#define ITN_MAX_WORKS 64

/**
 * struct itn_view - what the module reads
 * @plan: input of plans
 * @is_executor: whether this VM is now the executor of an intent; false while
 *     its configuration is not fresh
 */
struct itn_view {
	struct pln_view plan;
	bool (*is_executor)(void *arg, const char *intent);
	void *arg;
};

/** enum itn_effect_kind - what the caller has to do */
enum itn_effect_kind {
	ITN_WRITE, /* config_write(); itn_on_written() */
	ITN_REPLY, /* answer the operator */
	ITN_ENDED, /* the intent reached a final state, in effect on this VM */
};

/**
 * struct itn_effect - one effect; owned
 * @intent: id
 * @error: of a reply, ERR_NONE on success
 * @text: of a reply: what happened or the id of the other intent
 * @version: of a write: version that is replaced; of a reply: version shown
 * @value: of a write: the object; of a reply: the intent or NULL
 */
struct itn_effect {
	enum itn_effect_kind kind;
	char *intent;
	enum err_kind error;
	char *text;
	char *key;
	char *change;
	uint64_t version;
	json_t *value;
};

/** struct itn_out - growable list of effects, all zero is empty */
struct itn_out {
	struct itn_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct itn - state on caller-owned memory */
struct itn {
	GHashTable *intents; /* id -> struct entry */
	GPtrArray *works;    /* struct work, requests of operators */
	struct intent_locks locks;
	uint64_t locks_version;
};

/** itn_init() - empty state */
void itn_init(struct itn *t);

/** itn_finish() - free */
void itn_finish(struct itn *t);

/** itn_on_object() - an object is in effect; other keys are ignored */
void itn_on_object(struct itn *t, const char *key, uint64_t version,
    const json_t *value, struct itn_out *out);

/**
 * itn_declare() - compute the plan and propose the intent
 * @request: id, kind and subject; the id must be new
 *
 * An ITN_REPLY follows: the proposed intent with its plan, or ERR_INVALID or
 * ERR_CONFLICT.
 */
void itn_declare(struct itn *t, const struct intent_object *request,
    const struct itn_view *view, int64_t now_ms, struct itn_out *out);

/**
 * itn_confirm() - confirm the plan that was shown
 * @version: version of the intent object that was shown
 *
 * An ITN_REPLY follows. When the configuration has changed since the plan was
 * computed, it is ERR_CONFLICT with the new plan to show.
 */
void itn_confirm(struct itn *t, const char *id, uint64_t version,
    const struct itn_view *view, int64_t now_ms, struct itn_out *out);

/** itn_drop() - withdraw an intent that is not confirmed; ITN_REPLY follows */
void itn_drop(struct itn *t, const char *id, const struct itn_view *view,
    int64_t now_ms, struct itn_out *out);

/** itn_on_written() - answer of config_state to a change; others are ignored */
void itn_on_written(struct itn *t, const char *change,
    enum config_status status, const char *text, const struct itn_view *view,
    int64_t now_ms, struct itn_out *out);

/** itn_tick() - continue requests and executions, every 50 ms */
void itn_tick(struct itn *t, const struct itn_view *view, int64_t now_ms,
    struct itn_out *out);

/** itn_get() - an intent and its version, or NULL */
const struct intent_object *itn_get(
    const struct itn *t, const char *id, uint64_t *version);

/**
 * itn_report() - what an intent did, or why it is stuck
 *
 * Return: {"intent", "what", "state", "why", "at_ms"}, owned by the caller;
 * "why" and "at_ms" are null while unknown. NULL when the id is not known.
 */
json_t *itn_report(const struct itn *t, const char *id);

/** itn_out_clear() - free the effects, keep the storage */
void itn_out_clear(struct itn_out *out);

/** itn_out_finish() - free */
void itn_out_finish(struct itn_out *out);

#endif
