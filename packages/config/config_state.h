/*
 * config_state - which versions of the objects are in effect, and acceptance of
 * changes.
 *
 * A change is written to the store with a conditional update, then pushed to
 * all members. It is accepted when the store confirmed it and a majority of the
 * members acknowledged it. A lost store response is settled by a read that
 * compares the change id. Nothing is pushed before the store confirmed it, so
 * a writer that stops leaves either nothing or a stored change, which the
 * watches bring to every VM.
 *
 *	struct config_state c;
 *	struct config_out out = {0};
 *	config_init(&c, &(struct config_desc){.self = me});
 *	config_on_members(&c, members, n);
 *	config_write(&c, &(struct config_change){.id = "c1", .key =
 *	    "config/zones",
 *	    .value = v, .if_version = 7}, now_ms, &out);
 *	carry out out.effects[0 .. out.n), then
 *	config_out_clear(&out);
 *	config_on_put(&c, "c1", CONFIG_PUT_OK, 9, now_ms, &out);
 *	config_finish(&c);
 *
 * Synchronisation with a peer (config_pull()): PULL asks for versions above the
 * own highest one. When the hashes still differ afterwards, LIST asks for all
 * keys with their versions, and WANT for the objects that are missing. Each
 * answer holds at most CONFIG_ANSWER_BYTES and can be resumed with its cursor.
 */
#ifndef CONFIG_CONFIG_STATE_H
#define CONFIG_CONFIG_STATE_H

#include "base/vm_id.h"
#include "config/object_table.h"

#define CONFIG_MAX_MEMBERS 1024
#define CONFIG_MAX_ITEMS 1024
#define CONFIG_MAX_CHANGES 256
#define CONFIG_ANSWER_BYTES (1000 * 1000)
#define CONFIG_CHANGE_MAX 200

/** enum config_msg_kind - kinds of struct config_msg */
enum config_msg_kind {
	CONFIG_MSG_PUSH,
	CONFIG_MSG_ACK,
	CONFIG_MSG_PULL,
	CONFIG_MSG_LIST,
	CONFIG_MSG_WANT,
	CONFIG_MSG_ANSWER,
	CONFIG_MSG_KIND_COUNT
};

/**
 * struct config_item - one version of an object
 * @key: owned
 * @version: version of @value, or highest version held in a list
 * @effect: version in effect; only in a list
 * @deleted: the version is a deletion
 * @value: JSON text, NULL when deleted and in lists and acknowledgements; owned
 */
struct config_item {
	char *key;
	uint64_t version;
	uint64_t effect;
	bool deleted;
	char *value;
};

/**
 * struct config_msg - message between two processes
 * @seq: chosen by the asking side, repeated in the answer
 * @answers: in an answer, the kind that is answered
 * @digest: of the sender
 * @since: of PULL: versions above this one; in its answer: where to resume
 * @cursor: of LIST: keys after this one; in its answer: where to resume; owned
 * @more: the answer is incomplete
 * @items: owned
 */
struct config_msg {
	enum config_msg_kind kind;
	struct vm_id sender;
	uint64_t seq;
	enum config_msg_kind answers;
	struct objtab_digest digest;
	uint64_t since;
	char *cursor;
	bool more;
	struct config_item *items;
	uint32_t n_items;
};

/** enum config_put - result of a conditional write */
enum config_put {
	CONFIG_PUT_OK,
	CONFIG_PUT_CONFLICT,
	CONFIG_PUT_LOST, /* it may have taken effect */
};

/** enum config_read - result of a read */
enum config_read { CONFIG_READ_OK, CONFIG_READ_ABSENT, CONFIG_READ_FAILED };

/** enum config_status - answer to a change */
enum config_status {
	CONFIG_ACCEPTED, /* stored and acknowledged by a majority; final */
	CONFIG_PENDING,  /* stored, majority not reached; an answer follows */
	CONFIG_CONFLICT, /* another change was first; final */
	CONFIG_INVALID,  /* refused by the checks, nothing was written; final */
	CONFIG_UNRESOLVED, /* the store did not respond; may be stored; final */
};

/** struct config_change - a change to write; strings and value are copied */
struct config_change {
	const char *id;
	const char *key;
	json_t *value; /* NULL deletes */
	uint64_t if_version;
};

/** enum config_effect_kind - what the caller has to do */
enum config_effect_kind {
	CONFIG_PUT, /* write @key if its version is @version; config_on_put() */
	CONFIG_GET, /* read @key; config_on_read() */
	CONFIG_SEND,    /* send @msg to @to, or to all other members if none */
	CONFIG_PUBLISH, /* @key is in effect in @version; @value NULL: deleted
			 */
	CONFIG_ANSWER,  /* @status of @change; @text names the members or
			 * problems
			 */
	CONFIG_PROBLEM, /* @key: @text says why the newest version has no effect
			 */
	CONFIG_SYNCED,  /* everything that @to held at time @started_ms is held
			 */
};

/** struct config_effect - one effect; strings, value and message owned */
struct config_effect {
	enum config_effect_kind kind;
	char *key;
	uint64_t version;
	json_t *value;
	char *change;
	enum config_status status;
	char *text;
	struct vm_id to;
	struct config_msg *msg;
	int64_t started_ms;
};

/** struct config_out - growable list of effects, all zero is empty */
struct config_out {
	struct config_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct config_desc - settings; zero members mean the defaults */
struct config_desc {
	struct vm_id self;
	int64_t ack_wait_ms; /* 3,000: then the answer is CONFIG_PENDING */
	int64_t
	    store_wait_ms; /* 20,000: then the answer is CONFIG_UNRESOLVED */
};

/** struct config_state - state on caller-owned memory */
struct config_state {
	struct config_desc desc;
	struct object_table objects;
	struct vm_id *members;
	uint32_t n_members;
	GPtrArray *changes; /* struct change */
	GPtrArray *syncs;   /* struct sync */
	uint64_t seq;
};

/** config_init() - empty state */
void config_init(struct config_state *c, const struct config_desc *desc);

/** config_finish() - free */
void config_finish(struct config_state *c);

/** config_on_members() - all live and leaving members, this process included */
void config_on_members(
    struct config_state *c, const struct vm_id *members, uint32_t n);

/**
 * config_write() - write a change
 *
 * The value gets @id as its member "change". A repetition with the id of the
 * newest version is not written again but answered like the first one. One or
 * more CONFIG_ANSWER effects follow; the one after CONFIG_PENDING is
 * CONFIG_ACCEPTED.
 */
void config_write(struct config_state *c, const struct config_change *change,
    int64_t now_ms, struct config_out *out);

/** config_on_put() - result of the effect CONFIG_PUT of @change */
void config_on_put(struct config_state *c, const char *change,
    enum config_put result, uint64_t version, int64_t now_ms,
    struct config_out *out);

/**
 * config_on_read() - result of the effect CONFIG_GET, or any other read of a
 * key
 */
void config_on_read(struct config_state *c, const char *key,
    enum config_read result, uint64_t version, json_t *value, int64_t now_ms,
    struct config_out *out);

/** config_on_watch() - a changed object from a watch; NULL value: deleted */
void config_on_watch(struct config_state *c, const char *key, uint64_t version,
    json_t *value, int64_t now_ms, struct config_out *out);

/**
 * config_on_list() - response of the store to a list
 * @response: {"revision", "objects": [{"key", "version", "value"}]}
 * @prefix: prefix that was listed; held objects below it that the response
 *     lacks and whose version is not above its revision were deleted
 */
void config_on_list(struct config_state *c, const char *prefix,
    const json_t *response, int64_t now_ms, struct config_out *out);

/** config_on_msg() - message of a peer */
void config_on_msg(struct config_state *c, const struct config_msg *msg,
    int64_t now_ms, struct config_out *out);

/** config_pull() - synchronise with a peer; CONFIG_SYNCED follows on success */
void config_pull(struct config_state *c, const struct vm_id *peer,
    int64_t now_ms, struct config_out *out);

/** config_tick() - retries and deadlines, every 50 ms */
void config_tick(
    struct config_state *c, int64_t now_ms, struct config_out *out);

/** config_set() - configuration in effect, valid until the next event */
const struct cfg_set *config_set(const struct config_state *c);

/** config_digest() - digest of what is held */
struct objtab_digest config_digest(const struct config_state *c);

/** config_out_clear() - free the effects, keep the storage */
void config_out_clear(struct config_out *out);

/** config_out_finish() - free */
void config_out_finish(struct config_out *out);

/** config_msg_finish() - free the content of a message */
void config_msg_finish(struct config_msg *msg);

/** config_status_name() - text of a status */
const char *config_status_name(enum config_status status);

#endif
