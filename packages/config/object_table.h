/*
 * object_table - table of the replicated objects with the versions in effect
 * (prefix objtab_).
 *
 * For each key below "config/" and "intent/", the table holds the highest
 * version seen and the highest valid version, which is the one in effect.
 * Neither ever decreases. A deletion is kept as a version without a value.
 *
 *	struct object_table t;
 *	objtab_init(&t);
 *	if (objtab_apply(&t, "config/zones", 7, value) & OBJTAB_IN_EFFECT)
 *		use(objtab_effective_set(&t));
 *	objtab_finish(&t);
 */
#ifndef CONFIG_OBJECT_TABLE_H
#define CONFIG_OBJECT_TABLE_H

#include <glib.h>

#include "config/schema.h"

#define OBJTAB_MAX_OBJECTS 16384
#define OBJTAB_MAX_DELETED 4096
#define OBJTAB_KEY_MAX_BYTES 200
/* With its key and framing, a value of this size fits into a 1 MB message. */
#define OBJTAB_VALUE_MAX_BYTES (1000 * 1000 - 1024)

/**
 * struct objtab_object - one key
 * @key: owned
 * @version: highest version seen
 * @effective_version: highest valid version, which is the one in effect; 0 for
 *	none
 * @newest_value: value of @version, NULL when deleted
 * @value: value of @effective_version, NULL when deleted
 * @service: parsed @value when the key names a service, else NULL
 * @problem: why @version is not in effect, NULL when it is
 */
struct objtab_object {
	char *key;
	uint64_t version;
	uint64_t effective_version;
	json_t *newest_value;
	json_t *value;
	struct cfg_service *service;
	char *problem;
};

/**
 * struct objtab_digest - summary of a table, for comparison with a peer
 * @highest: highest version seen
 * @hash: hash of the keys and versions of all objects that are not deleted
 */
struct objtab_digest {
	uint64_t highest;
	uint64_t hash;
};

/**
 * struct object_table - table on caller-owned memory
 * @objects: objects by key; owns them
 * @order: the objects, sorted by key
 * @n_deleted: number of objects whose highest version is a deletion
 * @set: configuration in effect, borrows from @objects and @zones
 * @zones: parsed zones object in effect
 */
struct object_table {
	GHashTable *objects;
	GPtrArray *order; /* struct objtab_object * */
	struct objtab_digest digest;
	uint32_t n_deleted;
	struct cfg_set set;
	struct cfg_zones zones;
};

/** enum objtab_change - bits that state what objtab_apply() changed */
enum objtab_change {
	OBJTAB_NOTHING = 0,
	OBJTAB_NEWER = 1,     /* a higher version was seen */
	OBJTAB_IN_EFFECT = 2, /* a higher version came into effect */
	OBJTAB_INVALID = 4,   /* the newest version is invalid */
};

/** objtab_init() - initialise an empty table with default limits */
void objtab_init(struct object_table *t);

/** objtab_finish() - free the content of a table */
void objtab_finish(struct object_table *t);

/** objtab_is_replicated() - whether objects with this key are replicated */
bool objtab_is_replicated(const char *key);

/**
 * objtab_check() - validate a value against the schema of its key
 * @value: NULL for a deletion, which is always valid
 * @problems: one line is appended for each problem
 *
 * Return: whether the value is valid.
 */
bool objtab_check(const char *key, const json_t *value, struct bbuf *problems);

/**
 * objtab_apply() - apply one version of an object
 * @value: NULL for a deletion; the table takes its own reference
 *
 * A new key is ignored when the table holds OBJTAB_MAX_OBJECTS objects. When
 * there are more than OBJTAB_MAX_DELETED deletions, the oldest is removed.
 *
 * Return: bits of enum objtab_change.
 */
unsigned objtab_apply(
    struct object_table *t, const char *key, uint64_t version, json_t *value);

/**
 * objtab_find() - find the object with a key; NULL when there is none
 *
 * Return: borrowed, valid until the next objtab_apply().
 */
const struct objtab_object *objtab_find(
    const struct object_table *t, const char *key);

/** objtab_change_id() - change id (member "change") of a value, or NULL */
const char *objtab_change_id(const json_t *value);

/**
 * objtab_effective_set() - configuration in effect
 *
 * Return: borrowed, valid until the next objtab_apply().
 */
const struct cfg_set *objtab_effective_set(const struct object_table *t);

#endif
