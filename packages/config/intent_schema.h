/*
 * intent_schema - schemas of the intent objects and the lock object (prefix
 * intent_).
 *
 * An intent is an operation that an operator declares and confirms. It is
 * stored under the key "intent/<id>". The lock object "intent/locks" lists
 * which intent holds which subject. It is a single object, so that a
 * conditional update decides between operators that confirm at the same time.
 *
 *	struct intent_object intent;
 *	if (intent_parse(&intent, value, &problems))
 *		value = intent_print(&intent);
 *	intent_finish(&intent);
 */
#ifndef CONFIG_INTENT_SCHEMA_H
#define CONFIG_INTENT_SCHEMA_H

#include "config/schema.h"

#define INTENT_MAX_UPSTREAMS 1024
#define INTENT_MAX_LOCKS 2048
#define INTENT_LOCKS_KEY "intent/locks"

/** enum intent_kind - operations that an operator can declare */
enum intent_kind {
	INTENT_DRAIN_ZONE,
	INTENT_RETURN_ZONE,
	INTENT_MOVE_VERSION,
	INTENT_SET_CAPACITY,
	INTENT_DRAIN_UPSTREAM,
	INTENT_RETURN_UPSTREAM,
	INTENT_KIND_COUNT
};

/** enum intent_state - states of an intent; final from INTENT_DONE on */
enum intent_state {
	INTENT_PROPOSED,
	INTENT_CONFIRMED,
	INTENT_RUNNING,
	INTENT_DONE,
	INTENT_ROLLED_BACK,
	INTENT_REFUSED,
	INTENT_DROPPED,
	INTENT_STATE_COUNT
};

/**
 * struct intent_object - one intent object; strings and arrays owned
 * @id: unique id; the change ids of its writes begin with it
 * @zone: zone name, for INTENT_DRAIN_ZONE and INTENT_RETURN_ZONE
 * @service: service name, for the other kinds
 * @version: version that gains the traffic, for INTENT_MOVE_VERSION
 * @upstream: upstream id, for INTENT_DRAIN_UPSTREAM and INTENT_RETURN_UPSTREAM
 * @slots: slots of each upstream, for INTENT_SET_CAPACITY; 0 keeps the present
 *     number
 * @upstreams: for INTENT_MOVE_VERSION, upstreams that are added; for
 *     INTENT_SET_CAPACITY, upstreams that replace those with the same id
 * @due_ms: Unix milliseconds by which the intent should be done; required for
 *     INTENT_MOVE_VERSION, where it is the end of the move
 * @created_ms: Unix milliseconds
 * @basis: hash of the versions of the objects from which the plan was computed
 * @plan: plan as shown to the operator, may be NULL
 * @change: change id of the write of this object
 * @finished_ms: Unix milliseconds at which the final state was reached
 * @reason: why the intent makes no progress or how it ended, may be NULL
 */
struct intent_object {
	char *id;
	enum intent_kind kind;
	enum intent_state state;
	char *zone;
	char *service;
	char *version;
	char *upstream;
	uint32_t slots;
	struct cfg_upstream *upstreams;
	uint32_t n_upstreams;
	int64_t due_ms;
	int64_t created_ms;
	uint64_t basis;
	json_t *plan;
	char *change;
	int64_t finished_ms;
	char *reason;
};

/**
 * struct intent_lock - a locked subject and the intent that holds the lock
 * @subject: "zones" or "service/<name>"
 * @intent: id of the holder
 * @version: store version of the intent object that was confirmed
 */
struct intent_lock {
	char *subject;
	char *intent;
	uint64_t version;
};

/** struct intent_locks - the lock object; array and strings owned */
struct intent_locks {
	struct intent_lock *locks;
	uint32_t n_locks;
};

/** intent_kind_name() - name of a kind in the object, such as "drain-zone" */
const char *intent_kind_name(enum intent_kind kind);

/** intent_state_name() - name of a state in the object, such as "running" */
const char *intent_state_name(enum intent_state state);

/** intent_is_final() - whether the state is a final one */
bool intent_is_final(enum intent_state state);

/**
 * intent_parse() - validate and parse an intent
 * @intent: result; must be freed by intent_finish() in any case
 * @problems: one line is appended for each problem
 *
 * Return: true when there was no problem.
 */
bool intent_parse(
    struct intent_object *intent, const json_t *value, struct bbuf *problems);

/** intent_print() - convert to JSON; the caller owns the value */
json_t *intent_print(const struct intent_object *intent);

/** intent_copy() - make a deep copy, to be freed by intent_finish() */
void intent_copy(struct intent_object *to, const struct intent_object *from);

/** intent_finish() - free the content of an intent */
void intent_finish(struct intent_object *intent);

/**
 * intent_parse_locks() - validate and parse the lock object
 * @l: result; must be freed by intent_locks_finish() in any case
 * @problems: one line is appended for each problem
 *
 * Return: true when there was no problem.
 */
bool intent_parse_locks(
    struct intent_locks *l, const json_t *value, struct bbuf *problems);

/**
 * intent_print_locks() - convert to JSON, without a change id
 *
 * Return: value that the caller owns.
 */
json_t *intent_print_locks(const struct intent_locks *l);

/** intent_locks_finish() - free the content of the lock object */
void intent_locks_finish(struct intent_locks *l);

#endif
