/*
 * cst - which versions of the objects are in effect, and acceptance of changes.
 *
 * A change is written to the store with a conditional update, then pushed to
 * all members. It is accepted when the store confirmed it and a majority of the
 * members acknowledged it. A lost store response is settled by a read that
 * compares the change id. Nothing is pushed before the store confirmed it, so
 * a writer that stops leaves either nothing or a stored change, which the
 * watches bring to every VM.
 *
 *	struct cst c;
 *	struct cst_out out = {0};
 *	cst_init(&c, &(struct cst_desc){.self = me});
 *	cst_on_members(&c, members, n);
 *	cst_write(&c, &(struct cst_change){.id = "c1", .key = "config/zones",
 *	    .value = v, .if_version = 7}, now_ms, &out);
 *	carry out out.effects[0 .. out.n), then
 *	cst_out_clear(&out);
 *	cst_on_put(&c, "c1", CST_PUT_OK, 9, now_ms, &out);
 *	cst_finish(&c);
 *
 * Synchronisation with a peer (cst_pull()): PULL asks for versions above the
 * own highest one. When the hashes still differ afterwards, LIST asks for all
 * keys with their versions, and WANT for the objects that are missing. Each
 * answer holds at most CST_ANSWER_BYTES and can be resumed with its cursor.
 */
#ifndef CONFIG_CST_H
#define CONFIG_CST_H

#include "base/vm_id.h"
#include "config/cob.h"

#define CST_MAX_MEMBERS 1024
#define CST_MAX_ITEMS 1024
#define CST_MAX_CHANGES 256
#define CST_ANSWER_BYTES (1000 * 1000)
#define CST_CHANGE_MAX 200

/** enum cst_msg_kind - kinds of struct cst_msg */
enum cst_msg_kind {
	CST_MSG_PUSH,
	CST_MSG_ACK,
	CST_MSG_PULL,
	CST_MSG_LIST,
	CST_MSG_WANT,
	CST_MSG_ANSWER,
	CST_MSG_KIND_COUNT
};

/**
 * struct cst_item - one version of an object
 * @key: owned
 * @version: version of @value, or highest version held in a list
 * @effect: version in effect; only in a list
 * @deleted: the version is a deletion
 * @value: JSON text, NULL when deleted and in lists and acknowledgements; owned
 */
struct cst_item {
	char *key;
	uint64_t version;
	uint64_t effect;
	bool deleted;
	char *value;
};

/**
 * struct cst_msg - message between two processes
 * @seq: chosen by the asking side, repeated in the answer
 * @answers: in an answer, the kind that is answered
 * @digest: of the sender
 * @since: of PULL: versions above this one; in its answer: where to resume
 * @cursor: of LIST: keys after this one; in its answer: where to resume; owned
 * @more: the answer is incomplete
 * @items: owned
 */
struct cst_msg {
	enum cst_msg_kind kind;
	struct vm_id sender;
	uint64_t seq;
	enum cst_msg_kind answers;
	struct cob_digest digest;
	uint64_t since;
	char *cursor;
	bool more;
	struct cst_item *items;
	uint32_t n_items;
};

/** enum cst_put - result of a conditional write */
enum cst_put {
	CST_PUT_OK,
	CST_PUT_CONFLICT,
	CST_PUT_LOST, /* it may have taken effect */
};

/** enum cst_read - result of a read */
enum cst_read { CST_READ_OK, CST_READ_ABSENT, CST_READ_FAILED };

/** enum cst_status - answer to a change */
enum cst_status {
	CST_ACCEPTED,   /* stored and acknowledged by a majority; final */
	CST_PENDING,    /* stored, majority not reached; an answer follows */
	CST_CONFLICT,   /* another change was first; final */
	CST_INVALID,    /* refused by the checks, nothing was written; final */
	CST_UNRESOLVED, /* the store did not respond; may be stored; final */
};

/** struct cst_change - a change to write; strings and value are copied */
struct cst_change {
	const char *id;
	const char *key;
	json_t *value; /* NULL deletes */
	uint64_t if_version;
};

/** enum cst_effect_kind - what the caller has to do */
enum cst_effect_kind {
	CST_PUT,     /* write @key if its version is @version; cst_on_put() */
	CST_GET,     /* read @key; cst_on_read() */
	CST_SEND,    /* send @msg to @to, or to all other members if none */
	CST_PUBLISH, /* @key is in effect in @version; @value NULL: deleted */
	CST_ANSWER,  /* @status of @change; @text names the members or problems
		      */
	CST_PROBLEM, /* @key: @text says why the newest version has no effect */
	CST_SYNCED,  /* everything that @to held at time @started_ms is held */
};

/** struct cst_effect - one effect; strings, value and message owned */
struct cst_effect {
	enum cst_effect_kind kind;
	char *key;
	uint64_t version;
	json_t *value;
	char *change;
	enum cst_status status;
	char *text;
	struct vm_id to;
	struct cst_msg *msg;
	int64_t started_ms;
};

/** struct cst_out - growable list of effects, all zero is empty */
struct cst_out {
	struct cst_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/** struct cst_desc - settings; zero members mean the defaults */
struct cst_desc {
	struct vm_id self;
	int64_t ack_wait_ms;   /* 3,000: then the answer is CST_PENDING */
	int64_t store_wait_ms; /* 20,000: then the answer is CST_UNRESOLVED */
};

/** struct cst - state on caller-owned memory */
struct cst {
	struct cst_desc desc;
	struct cob objects;
	struct vm_id *members;
	uint32_t n_members;
	GPtrArray *changes; /* struct change */
	GPtrArray *syncs;   /* struct sync */
	uint64_t seq;
};

/** cst_init() - empty state */
void cst_init(struct cst *c, const struct cst_desc *desc);

/** cst_finish() - free */
void cst_finish(struct cst *c);

/** cst_on_members() - all live and leaving members, this process included */
void cst_on_members(struct cst *c, const struct vm_id *members, uint32_t n);

/**
 * cst_write() - write a change
 *
 * The value gets @id as its member "change". A repetition with the id of the
 * newest version is not written again but answered like the first one. One or
 * more CST_ANSWER effects follow; the one after CST_PENDING is CST_ACCEPTED.
 */
void cst_write(struct cst *c, const struct cst_change *change, int64_t now_ms,
    struct cst_out *out);

/** cst_on_put() - result of the effect CST_PUT of @change */
void cst_on_put(struct cst *c, const char *change, enum cst_put result,
    uint64_t version, int64_t now_ms, struct cst_out *out);

/** cst_on_read() - result of the effect CST_GET, or any other read of a key */
void cst_on_read(struct cst *c, const char *key, enum cst_read result,
    uint64_t version, json_t *value, int64_t now_ms, struct cst_out *out);

/** cst_on_watch() - a changed object from a watch; NULL value: deleted */
void cst_on_watch(struct cst *c, const char *key, uint64_t version,
    json_t *value, int64_t now_ms, struct cst_out *out);

/**
 * cst_on_list() - response of the store to a list
 * @response: {"revision", "objects": [{"key", "version", "value"}]}
 * @prefix: prefix that was listed; held objects below it that the response
 *     lacks and whose version is not above its revision were deleted
 */
void cst_on_list(struct cst *c, const char *prefix, const json_t *response,
    int64_t now_ms, struct cst_out *out);

/** cst_on_msg() - message of a peer */
void cst_on_msg(struct cst *c, const struct cst_msg *msg, int64_t now_ms,
    struct cst_out *out);

/** cst_pull() - synchronise with a peer; CST_SYNCED follows on success */
void cst_pull(struct cst *c, const struct vm_id *peer, int64_t now_ms,
    struct cst_out *out);

/** cst_tick() - retries and deadlines, every 50 ms */
void cst_tick(struct cst *c, int64_t now_ms, struct cst_out *out);

/** cst_set() - configuration in effect, valid until the next event */
const struct cfg_set *cst_set(const struct cst *c);

/** cst_digest() - digest of what is held */
struct cob_digest cst_digest(const struct cst *c);

/** cst_out_clear() - free the effects, keep the storage */
void cst_out_clear(struct cst_out *out);

/** cst_out_finish() - free */
void cst_out_finish(struct cst_out *out);

/** cst_msg_finish() - free the content of a message */
void cst_msg_finish(struct cst_msg *msg);

/** cst_status_name() - text of a status */
const char *cst_status_name(enum cst_status status);

#endif
