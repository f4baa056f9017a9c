/*
 * itx - execution of intents, and the writes that requests and execution share.
 *
 * The part of itn that runs on the executor of an intent. It reads only the
 * objects in effect, so that another VM can continue at any point.
 *
 *	itx_tick(t, entry, &view, out);
 *	itx_on_written(entry, change, status, &view, now_ms);
 */
#ifndef MOVE_ITX_H
#define MOVE_ITX_H

#include "move/itn.h"

/**
 * struct itx_entry - an intent and what its executor does
 * @writing: change id of the write in progress
 * @accepted: change id of the last write that was accepted
 * @accepted_wall_ms: Unix milliseconds of that answer
 * @next_ms: time of the next attempt
 * @stuck: why there is no progress, static text or NULL
 */
struct itx_entry {
	struct intent_object i;
	uint64_t version;
	char *writing;
	char *accepted;
	int64_t accepted_wall_ms;
	int64_t next_ms;
	const char *stuck;
};

/** itx_entry_free() - free; a GDestroyNotify */
void itx_entry_free(gpointer p);

/** itx_emit() - append an effect */
struct itn_effect *itx_emit(
    struct itn_out *out, enum itn_effect_kind kind, const char *intent);

/**
 * itx_emit_write() - append a write
 * @key, @change, @value: taken over
 *
 * Return: the change id, valid as long as the effect.
 */
const char *itx_emit_write(struct itn_out *out, const char *id, char *key,
    char *change, uint64_t if_version, json_t *value);

/** itx_set_writing() - replace an owned string with a copy of @change */
void itx_set_writing(char **slot, const char *change);

/** itx_is_stale() - whether a lock can no longer lead to a confirmed intent */
bool itx_is_stale(const struct itn *t, const struct intent_lock *l);

/** itx_find_lock() - lock of an intent, or NULL */
const struct intent_lock *itx_find_lock(const struct itn *t, const char *id);

/**
 * itx_write_locks() - write the locks without stale ones and the one of @id
 * @add: subject of a new lock for @id, or NULL
 * @version: version of the intent that is confirmed
 *
 * Return: the change id.
 */
const char *itx_write_locks(struct itn *t, const char *id, const char *add,
    uint64_t version, struct itn_out *out);

/** itx_write_state() - write an intent in another state; Return: change id */
const char *itx_write_state(const struct itx_entry *e, enum intent_state state,
    const char *reason, int64_t wall_ms, struct itn_out *out);

/** itx_expiry_ms() - Unix milliseconds at which an unconfirmed intent ends */
int64_t itx_expiry_ms(const struct itx_entry *e, const struct itn_view *view);

/** itx_on_written() - answer of config_state to a change of this intent */
void itx_on_written(struct itx_entry *e, const char *change,
    enum config_status status, const struct itn_view *view, int64_t now_ms);

/** itx_is_waiting() - whether the write in progress must end first */
bool itx_is_waiting(const struct itx_entry *e, const struct itn_view *view);

/** itx_tick() - next action of the executor; none is in progress */
void itx_tick(struct itn *t, struct itx_entry *e, const struct itn_view *view,
    struct itn_out *out);

#endif
