/*
 * intent_execution - execution of intents, and the writes that requests of
 * operators and the execution have in common (prefix intent_exec_).
 *
 * This is the part of intents that runs on the executor of an intent. It
 * decides from the objects in effect, so that another VM can continue the
 * execution at any point.
 *
 *	intent_exec_tick(t, entry, &view, out);
 *	intent_exec_on_written(entry, change, status, &view, now_ms);
 */
#ifndef MOVE_INTENT_EXECUTION_H
#define MOVE_INTENT_EXECUTION_H

#include "move/intents.h"

/**
 * struct intent_exec_entry - an intent and the state of its executor
 * @i: intent object in effect
 * @version: store version of @i
 * @pending_change: change id of the write in progress, or NULL
 * @accepted_change: change id of the last accepted write, or NULL
 * @accepted_wall_ms: when that write was accepted, Unix milliseconds
 * @next_ms: monotonic time before which no further attempt is made
 * @stuck_reason: why there is no progress, static text or NULL
 */
struct intent_exec_entry {
	struct intent_object i;
	uint64_t version;
	char *pending_change;
	char *accepted_change;
	int64_t accepted_wall_ms;
	int64_t next_ms;
	const char *stuck_reason;
};

/** intent_exec_entry_free() - free an entry; a GDestroyNotify */
void intent_exec_entry_free(gpointer p);

/**
 * intent_exec_emit() - append an effect
 *
 * Return: the effect, valid until the next one is appended.
 */
struct intents_effect *intent_exec_emit(
    struct intents_out *out, enum intents_effect_kind kind, const char *intent);

/**
 * intent_exec_emit_write() - append a write
 * @key, @change, @value: ownership passes to the effect
 * @if_version: store version that the write replaces
 *
 * Return: the change id, valid as long as the effect.
 */
const char *intent_exec_emit_write(struct intents_out *out, const char *id,
    char *key, char *change, uint64_t if_version, json_t *value);

/**
 * intent_exec_set_change() - replace an owned change id by a copy of @change
 */
void intent_exec_set_change(char **slot, const char *change);

/**
 * intent_exec_is_stale() - whether a lock can no longer lead to a confirmed
 * intent
 */
bool intent_exec_is_stale(const struct intents *t, const struct intent_lock *l);

/** intent_exec_find_lock() - lock of an intent, or NULL */
const struct intent_lock *intent_exec_find_lock(
    const struct intents *t, const char *id);

/**
 * intent_exec_write_locks() - write the lock object without stale entries
 * @id: intent whose present entry is removed
 * @add: subject of a new entry for @id, or NULL
 * @version: store version of the intent that is confirmed
 *
 * Return: the change id.
 */
const char *intent_exec_write_locks(struct intents *t, const char *id,
    const char *add, uint64_t version, struct intents_out *out);

/**
 * intent_exec_write_state() - write an intent with a new state
 * @reason: how the intent ended, only used for final states
 * @wall_ms: Unix milliseconds
 *
 * Return: the change id.
 */
const char *intent_exec_write_state(const struct intent_exec_entry *e,
    enum intent_state state, const char *reason, int64_t wall_ms,
    struct intents_out *out);

/**
 * intent_exec_expiry_ms() - time at which an unconfirmed intent expires, Unix
 * milliseconds
 */
int64_t intent_exec_expiry_ms(
    const struct intent_exec_entry *e, const struct intents_view *view);

/**
 * intent_exec_on_written() - handle the result of a write for this intent
 */
void intent_exec_on_written(struct intent_exec_entry *e, const char *change,
    enum config_status status, const struct intents_view *view, int64_t now_ms);

/**
 * intent_exec_has_pending_write() - whether a write must end before the next
 * action
 */
bool intent_exec_has_pending_write(
    const struct intent_exec_entry *e, const struct intents_view *view);

/** intent_exec_tick() - take the next action; no write may be in progress */
void intent_exec_tick(struct intents *t, struct intent_exec_entry *e,
    const struct intents_view *view, struct intents_out *out);

#endif
