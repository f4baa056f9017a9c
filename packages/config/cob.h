/*
 * cob - table of the replicated objects with the versions in effect.
 *
 * Holds, for each key below "config/" and "intent/", the highest version seen
 * and the highest version that passed its checks, which is the one in effect.
 * Neither ever decreases. A deletion is a version without a value.
 *
 *	struct cob t;
 *	cob_init(&t);
 *	if (cob_apply(&t, "config/zones", 7, value, &problems) & COB_EFFECT)
 *		rebuild(cob_set(&t));
 *	cob_finish(&t);
 */
#ifndef CONFIG_COB_H
#define CONFIG_COB_H

#include <glib.h>

#include "config/cfg.h"

#define COB_MAX_OBJECTS 16384
#define COB_MAX_DELETED 4096
#define COB_KEY_MAX 200
/* With its key and framing, a value fits a message of 1 MB. */
#define COB_VALUE_MAX (1000 * 1000 - 1024)

/**
 * struct cob_object - one key
 * @key: owned
 * @version: highest version seen
 * @effect: highest version that passed its checks, 0 for none
 * @raw: value of @version, NULL when deleted
 * @value: value of @effect, NULL when deleted
 * @service: parsed value when the key names a service in effect
 * @problem: why @version is not in effect, NULL when it is
 */
struct cob_object {
	char *key;
	uint64_t version;
	uint64_t effect;
	json_t *raw;
	json_t *value;
	struct cfg_service *service;
	char *problem;
};

/**
 * struct cob_digest - summary of a table
 * @highest: highest version seen
 * @hash: of the keys and versions of all objects that are not deleted
 */
struct cob_digest {
	uint64_t highest;
	uint64_t hash;
};

/** struct cob - table on caller-owned memory */
struct cob {
	GHashTable *objects;
	GPtrArray *order; /* struct cob_object *, by key */
	struct cob_digest digest;
	uint32_t n_deleted;
	struct cfg_set set;
	struct cfg_zones zones;
};

/** enum cob_change - what cob_apply() changed; a bit set */
enum cob_change {
	COB_NOTHING = 0,
	COB_NEWER = 1,   /* a higher version was seen */
	COB_EFFECT = 2,  /* a higher version is in effect */
	COB_INVALID = 4, /* the object does not pass its checks */
};

/** cob_init() - empty table with default limits */
void cob_init(struct cob *t);

/** cob_finish() - free */
void cob_finish(struct cob *t);

/** cob_is_replicated() - whether the table holds this key */
bool cob_is_replicated(const char *key);

/**
 * cob_check() - check a value against the schema of its key
 * @value: NULL for a deletion, which is always valid
 */
bool cob_check(const char *key, const json_t *value, struct bbuf *problems);

/**
 * cob_apply() - take one version of an object
 * @value: NULL for a deletion; borrowed
 *
 * Return: bits of enum cob_change.
 */
unsigned cob_apply(
    struct cob *t, const char *key, uint64_t version, json_t *value);

/** cob_find() - object of a key, or NULL */
const struct cob_object *cob_find(const struct cob *t, const char *key);

/** cob_change_id() - member "change" of a value, or NULL */
const char *cob_change_id(const json_t *value);

/** cob_set() - configuration in effect, valid until the next cob_apply() */
const struct cfg_set *cob_set(const struct cob *t);

#endif
