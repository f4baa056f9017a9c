/*
 * cfi - schema of the intent objects and of the lock object.
 *
 * An intent object is "intent/<id>". The lock object "intent/locks" lists which
 * intent holds which subject; it is one object, so that a conditional update
 * decides between operators that confirm at the same time.
 *
 *	struct intent_object i;
 *	if (!cfi_parse(&i, value, &problems)) ...
 *	value = cfi_print(&i);
 *	cfi_finish(&i);
 */
#ifndef CONFIG_CFI_H
#define CONFIG_CFI_H

#include "config/cfg.h"

#define CFI_MAX_UPSTREAMS 1024
#define CFI_MAX_LOCKS 2048
#define CFI_LOCKS_KEY "intent/locks"

/** enum cfi_kind - what an operator can declare */
enum cfi_kind {
	CFI_DRAIN_ZONE,
	CFI_RETURN_ZONE,
	CFI_MOVE_VERSION,
	CFI_SET_CAPACITY,
	CFI_DRAIN_UPSTREAM,
	CFI_RETURN_UPSTREAM,
	CFI_KIND_COUNT
};

/** enum cfi_state - states of an intent; the last four are final */
enum cfi_state {
	CFI_PROPOSED,
	CFI_CONFIRMED,
	CFI_RUNNING,
	CFI_DONE,
	CFI_ROLLED_BACK,
	CFI_REFUSED,
	CFI_DROPPED,
	CFI_STATE_COUNT
};

/**
 * struct intent_object - one intent object; strings and arrays owned
 * @id: unique id; also the change id of what it writes
 * @zone: of CFI_DRAIN_ZONE and CFI_RETURN_ZONE
 * @service: of the other kinds
 * @version: of CFI_MOVE_VERSION, the version that gains the traffic
 * @upstream: of CFI_DRAIN_UPSTREAM and CFI_RETURN_UPSTREAM
 * @slots: of CFI_SET_CAPACITY, 0 leaves the slots
 * @upstreams: of CFI_MOVE_VERSION: upstreams that are added; of
 *     CFI_SET_CAPACITY: upstreams that replace those with the same id
 * @due_ms: Unix milliseconds; of CFI_MOVE_VERSION the end of the move
 * @created_ms: Unix milliseconds
 * @basis: hash of the versions of the objects that the plan was computed on
 * @plan: plan as shown to the operator, may be NULL
 * @change: change id of the write of this object
 * @finished_ms: Unix milliseconds of the final state
 * @reason: why it is stuck or how it ended, may be NULL
 */
struct intent_object {
	char *id;
	enum cfi_kind kind;
	enum cfi_state state;
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
 * struct cfi_lock - a subject and the intent that holds it
 * @subject: "zones" or "service/<name>"
 * @intent: id of the holder
 * @version: store version of the intent object that was confirmed
 */
struct cfi_lock {
	char *subject;
	char *intent;
	uint64_t version;
};

/** struct cfi_locks - the lock object; owned */
struct cfi_locks {
	struct cfi_lock *locks;
	uint32_t n_locks;
};

/** cfi_kind_name() - text of a kind */
const char *cfi_kind_name(enum cfi_kind kind);

/** cfi_state_name() - text of a state */
const char *cfi_state_name(enum cfi_state state);

/** cfi_is_final() - whether the state never changes again by itself */
bool cfi_is_final(enum cfi_state state);

/** cfi_parse() - check and read an intent; cfi_finish() is needed either way */
bool cfi_parse(
    struct intent_object *i, const json_t *value, struct bbuf *problems);

/** cfi_print() - JSON value; the caller owns it */
json_t *cfi_print(const struct intent_object *i);

/** cfi_copy() - deep copy */
void cfi_copy(struct intent_object *to, const struct intent_object *from);

/** cfi_finish() - free */
void cfi_finish(struct intent_object *i);

/** cfi_parse_locks() - check and read the lock object */
bool cfi_parse_locks(
    struct cfi_locks *l, const json_t *value, struct bbuf *problems);

/** cfi_print_locks() - JSON value without a change id */
json_t *cfi_print_locks(const struct cfi_locks *l);

/** cfi_locks_finish() - free */
void cfi_locks_finish(struct cfi_locks *l);

#endif
