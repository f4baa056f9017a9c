/*
 * stored_objects - contents of a fake of the platform's object store (prefix
 * stored_): objects by kind and name, a revision counter, history for watches,
 * conditional writes, and the return of an older copy.
 *
 * It knows no connections and no time; see lib/object_store.h for a server in
 * front of it.
 *
 *	stored_init(&t, page);
 *	stored_put(&t, "servers", "u1", spec);
 *	page = stored_list(&t, "servers", NULL, false);
 *	events = stored_watch(&t, "servers", since);
 *	status = stored_write(&t, "PUT", "servers", "u1/status", body, &answer);
 *	stored_finish(&t);
 */
#ifndef TESTS_STORED_OBJECTS_H
#define TESTS_STORED_OBJECTS_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/**
 * struct stored_objects - contents on caller-owned memory
 * @page: maximum number of objects in one page of a list
 * @revision: revision of the latest change
 * @history_from: watches since an earlier revision are refused
 * @objects: all objects
 * @events: the kept history in order of revision
 * @stale: objects that lists which may be stale return, NULL for the current
 *	ones
 * @stale_revision: revision of @stale
 * @epoch: number of the copy that is served, 0 for none
 * @copy: objects that stored_restore() brings back, NULL for none
 * @copy_revision: revision of @copy
 * @n_restores: number of restores
 */
struct stored_objects {
	unsigned page;
	json_int_t revision;
	json_int_t history_from;
	GPtrArray *objects;
	GPtrArray *events;
	GPtrArray *stale;
	json_int_t stale_revision;
	unsigned epoch;
	GPtrArray *copy;
	json_int_t copy_revision;
	unsigned n_restores;
};

/** stored_init() - initialise without objects */
void stored_init(struct stored_objects *t, unsigned page);

/** stored_finish() - free the contents */
void stored_finish(struct stored_objects *t);

/**
 * stored_put() - create an object or replace its spec
 * @spec: JSON text
 */
void stored_put(struct stored_objects *t, const char *kind, const char *name,
    const char *spec);

/** stored_remove() - remove an object; does nothing if there is none */
void stored_remove(
    struct stored_objects *t, const char *kind, const char *name);

/** stored_get() - an object as new reference, NULL if there is none */
json_t *stored_get(
    const struct stored_objects *t, const char *kind, const char *name);

/**
 * stored_list() - page of a list as new reference
 * @after: name after which the page begins, NULL for the first page
 * @may_be_stale: return the objects that stored_keep_stale() kept, if any
 */
json_t *stored_list(struct stored_objects *t, const char *kind,
    const char *after, bool may_be_stale);

/**
 * stored_watch() - changes of a kind since a revision as new reference,
 * possibly empty; NULL if the history does not reach back so far, or the
 * revision was not given out yet
 */
json_t *stored_watch(
    const struct stored_objects *t, const char *kind, json_int_t since);

/**
 * stored_write() - execute a write call
 * @method: "POST" or "PUT"
 * @path: name, or name and "/status"; empty for POST
 * @body: JSON of the call, NULL if malformed
 * @answer: receives the object as new reference, NULL for none
 *
 * Return: HTTP status.
 */
unsigned stored_write(struct stored_objects *t, const char *method,
    const char *kind, const char *path, const json_t *body, json_t **answer);

/**
 * stored_keep_stale() - keep the present objects for lists that may be stale,
 * or drop what was kept
 */
void stored_keep_stale(struct stored_objects *t, bool keep);

/** stored_drop_history() - refuse watches from earlier revisions from now on */
void stored_drop_history(struct stored_objects *t);

/** stored_copy() - keep a copy of all objects */
void stored_copy(struct stored_objects *t);

/**
 * stored_restore() - return to the copy
 *
 * What was written since is lost, its revisions are given out again, and the
 * epoch rises by one.
 */
void stored_restore(struct stored_objects *t);

#endif
