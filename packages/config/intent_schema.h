/*
 * intent_schema - schema of the intent objects and of the lock object.
 *
 * An intent object is "intent/<id>". The lock object "intent/locks" lists which
 * intent holds which subject; it is one object, so that a conditional update
 * decides between operators that confirm at the same time.
 *
 *	struct intent_object i;
 *	if (!intent_parse(&i, value, &problems)) ...
 *	value = intent_print(&i);
 *	intent_finish(&i);
 */
#ifndef CONFIG_INTENT_SCHEMA_H
#define CONFIG_INTENT_SCHEMA_H

#include "config/schema.h"

#define INTENT_MAX_UPSTREAMS 1024
#define INTENT_MAX_LOCKS 2048
#define INTENT_LOCKS_KEY "intent/locks"

/** enum intent_kind - what an operator can declare */
enum intent_kind {
	INTENT_DRAIN_ZONE,
	INTENT_RETURN_ZONE,
	INTENT_MOVE_VERSION,
	INTENT_SET_CAPACITY,
	INTENT_DRAIN_UPSTREAM,
	INTENT_RETURN_UPSTREAM,
	INTENT_KIND_COUNT
};

/** enum intent_state - states of an intent; the last four are final */
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
 * @id: unique id; also the change id of what it writes
 * @zone: of INTENT_DRAIN_ZONE and INTENT_RETURN_ZONE
 * @service: of the other kinds
 * @version: of INTENT_MOVE_VERSION, the version that gains the traffic
 * @upstream: of INTENT_DRAIN_UPSTREAM and INTENT_RETURN_UPSTREAM
 * @slots: of INTENT_SET_CAPACITY, 0 leaves the slots
 * @upstreams: of INTENT_MOVE_VERSION: upstreams that are added; of
 *     INTENT_SET_CAPACITY: upstreams that replace those with the same id
 * @due_ms: Unix milliseconds; of INTENT_MOVE_VERSION the end of the move
 * @created_ms: Unix milliseconds
 * @basis: hash of the versions of the objects that the plan was computed on
 * @plan: plan as shown to the operator, may be NULL
 * @change: change id of the write of this object
 * @finished_ms: Unix milliseconds of the final state
 * @reason: why it is stuck or how it ended, may be NULL
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
 * struct intent_lock - a subject and the intent that holds it
 * @subject: "zones" or "service/<name>"
 * @intent: id of the holder
 * @version: store version of the intent object that was confirmed
 */
struct intent_lock {
	char *subject;
	char *intent;
	uint64_t version;
};

/** struct intent_locks - the lock object; owned */
struct intent_locks {
	struct intent_lock *locks;
	uint32_t n_locks;
};

/** intent_kind_name() - text of a kind */
const char *intent_kind_name(enum intent_kind kind);

/** intent_state_name() - text of a state */
const char *intent_state_name(enum intent_state state);

/** intent_is_final() - whether the state never changes again by itself */
bool intent_is_final(enum intent_state state);

/**
 * intent_parse() - check and read an intent; intent_finish() is needed either
 * way
 */
bool intent_parse(
    struct intent_object *i, const json_t *value, struct bbuf *problems);

/** intent_print() - JSON value; the caller owns it */
json_t *intent_print(const struct intent_object *i);

/** intent_copy() - deep copy */
void intent_copy(struct intent_object *to, const struct intent_object *from);

/** intent_finish() - free */
void intent_finish(struct intent_object *i);

/** intent_parse_locks() - check and read the lock object */
bool intent_parse_locks(
    struct intent_locks *l, const json_t *value, struct bbuf *problems);

/** intent_print_locks() - JSON value without a change id */
json_t *intent_print_locks(const struct intent_locks *l);

/** intent_locks_finish() - free */
void intent_locks_finish(struct intent_locks *l);

#endif
