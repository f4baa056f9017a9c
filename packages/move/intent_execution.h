/*
 * intent_execution - execution of intents, and the writes that requests and
 * execution share.
 *
 * The part of intents that runs on the executor of an intent. It reads only the
 * objects in effect, so that another VM can continue at any point.
 *
 *	intent_exec_tick(t, entry, &view, out);
 *	intent_exec_on_written(entry, change, status, &view, now_ms);
 */
#ifndef MOVE_INTENT_EXECUTION_H
#define MOVE_INTENT_EXECUTION_H

#include "move/intents.h"

/**
 * struct intent_exec_entry - an intent and what its executor does
 * @writing: change id of the write in progress
 * @accepted: change id of the last write that was accepted
 * @accepted_wall_ms: Unix milliseconds of that answer
 * @next_ms: time of the next attempt
 * @stuck: why there is no progress, static text or NULL
 */
struct intent_exec_entry {
	struct intent_object i;
	uint64_t version;
	char *writing;
	char *accepted;
	int64_t accepted_wall_ms;
	int64_t next_ms;
	const char *stuck;
};

/** intent_exec_entry_free() - free; a GDestroyNotify */
void intent_exec_entry_free(gpointer p);

/** intent_exec_emit() - append an effect */
struct intents_effect *intent_exec_emit(
    struct intents_out *out, enum intents_effect_kind kind, const char *intent);

/**
 * intent_exec_emit_write() - append a write
 * @key, @change, @value: taken over
 *
 * Return: the change id, valid as long as the effect.
 */
const char *intent_exec_emit_write(struct intents_out *out, const char *id,
    char *key, char *change, uint64_t if_version, json_t *value);

/**
 * intent_exec_set_writing() - replace an owned string with a copy of @change
 */
void intent_exec_set_writing(char **slot, const char *change);

/**
 * intent_exec_is_stale() - whether a lock can no longer lead to a confirmed
 * intent
 */
bool intent_exec_is_stale(const struct intents *t, const struct intent_lock *l);

/** intent_exec_find_lock() - lock of an intent, or NULL */
const struct intent_lock *intent_exec_find_lock(
    const struct intents *t, const char *id);

/**
 * intent_exec_write_locks() - write the locks without stale ones and the one of
 * @id
 * @add: subject of a new lock for @id, or NULL
 * @version: version of the intent that is confirmed
 *
 * Return: the change id.
 */
const char *intent_exec_write_locks(struct intents *t, const char *id,
    const char *add, uint64_t version, struct intents_out *out);

/**
 * intent_exec_write_state() - write an intent in another state; Return: change
 * id
 */
const char *intent_exec_write_state(const struct intent_exec_entry *e,
    enum intent_state state, const char *reason, int64_t wall_ms,
    struct intents_out *out);

/**
 * intent_exec_expiry_ms() - Unix milliseconds at which an unconfirmed intent
 * ends
 */
int64_t intent_exec_expiry_ms(
    const struct intent_exec_entry *e, const struct intents_view *view);

/**
 * intent_exec_on_written() - answer of config_state to a change of this intent
 */
void intent_exec_on_written(struct intent_exec_entry *e, const char *change,
    enum config_status status, const struct intents_view *view, int64_t now_ms);

/** intent_exec_is_waiting() - whether the write in progress must end first */
bool intent_exec_is_waiting(
    const struct intent_exec_entry *e, const struct intents_view *view);

/** intent_exec_tick() - next action of the executor; none is in progress */
void intent_exec_tick(struct intents *t, struct intent_exec_entry *e,
    const struct intents_view *view, struct intents_out *out);

#endif
