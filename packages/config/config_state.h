/*
 * config_state - versions of the configuration objects in effect, and
 * acceptance of changes (prefix config_).
 *
 * A change is written to the store with a conditional update, then pushed to
 * all members. It is accepted when the store confirmed it and a majority of the
 * members acknowledged it. After a lost store response, the key is read and its
 * change id tells whether the write took effect. Nothing is pushed before the
 * store confirmed it, so a writer that stops leaves either nothing or a stored
 * change, which every VM receives through its watch.
 *
 * The functions perform no I/O: they append effects to a struct config_out,
 * which the caller carries out.
 *
 *	struct config_state c;
 *	struct config_out out = {0};
 *	config_init(&c, &(struct config_desc){.self = me});
 *	config_on_members(&c, members, n);
 *	config_write(&c, &(struct config_change){.id = "c1",
 *	    .key = "config/zones", .value = v, .if_version = 7}, now_ms, &out);
 *	for (uint32_t i = 0; i < out.n; i++)
 *		carry_out(&out.effects[i]);
 *	config_out_clear(&out);
 *	config_on_put(&c, "c1", CONFIG_PUT_OK, 9, now_ms, &out);
 *	config_out_finish(&out);
 *	config_finish(&c);
 *
 * Synchronisation with a peer (config_pull()): PULL requests the versions above
 * the highest one that this process holds. If the hashes still differ
 * afterwards, LIST requests all keys with their versions, and WANT requests the
 * objects that are missing. An answer exceeds CONFIG_ANSWER_MAX_BYTES only if
 * its first object alone does. An incomplete answer to PULL or LIST states
 * where the next request resumes.
 *
 * All times are in milliseconds of one clock that the caller chooses.
 */
#ifndef CONFIG_CONFIG_STATE_H
#define CONFIG_CONFIG_STATE_H

#include "base/vm_id.h"
#include "config/object_table.h"

#define CONFIG_MAX_MEMBERS 1024
#define CONFIG_MAX_ITEMS 1024
#define CONFIG_MAX_CHANGES 256
#define CONFIG_ANSWER_MAX_BYTES (1000 * 1000)
#define CONFIG_CHANGE_ID_MAX_BYTES 200

/**
 * enum config_msg_kind - kinds of struct config_msg
 * @CONFIG_MSG_PUSH: objects of the sender
 * @CONFIG_MSG_ACK: versions in effect at the sender, in response to PUSH
 * @CONFIG_MSG_PULL: request for objects above a version
 * @CONFIG_MSG_LIST: request for all keys with their versions
 * @CONFIG_MSG_WANT: request for the objects with the given keys
 * @CONFIG_MSG_ANSWER: response to PULL, LIST or WANT
 */
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
 * @version: version of @value; in a list, the highest version held
 * @effective_version: version in effect, only in a list
 * @deleted: the version is a deletion
 * @value: JSON text, NULL when deleted and in lists and acknowledgements; owned
 */
struct config_item {
	char *key;
	uint64_t version;
	uint64_t effective_version;
	bool deleted;
	char *value;
};

/**
 * struct config_msg - message between two processes
 * @seq: sequence number of a request, repeated in its answer
 * @request_kind: in an answer, the kind of the request
 * @digest: digest of the sender's objects
 * @since: in PULL, the version above which objects are requested; in its
 *     answer, the value with which the next PULL resumes
 * @cursor: in LIST, the key after which keys are requested; in its answer, the
 *     value with which the next LIST resumes; owned
 * @more: the answer is incomplete
 * @items: owned
 */
struct config_msg {
	enum config_msg_kind kind;
	struct vm_id sender;
	uint64_t seq;
	enum config_msg_kind request_kind;
	struct objtab_digest digest;
	uint64_t since;
	char *cursor;
	bool more;
	struct config_item *items;
	uint32_t n_items;
};

/**
 * enum config_put_result - result of a conditional write
 * @CONFIG_PUT_OK: written
 * @CONFIG_PUT_CONFLICT: not written, the object has another version
 * @CONFIG_PUT_LOST: no response; the write may have taken effect
 */
enum config_put_result {
	CONFIG_PUT_OK,
	CONFIG_PUT_CONFLICT,
	CONFIG_PUT_LOST,
};

/** enum config_read_result - result of a read */
enum config_read_result {
	CONFIG_READ_OK,
	CONFIG_READ_ABSENT,
	CONFIG_READ_FAILED
};

/**
 * enum config_status - answer to a change; all but CONFIG_PENDING are final
 * @CONFIG_ACCEPTED: stored and acknowledged by a majority of the members
 * @CONFIG_PENDING: stored, majority not reached yet; CONFIG_ACCEPTED follows
 *     if it is reached within 10 minutes of the store's confirmation
 * @CONFIG_CONFLICT: another change was stored first
 * @CONFIG_INVALID: failed validation, nothing was written
 * @CONFIG_UNRESOLVED: the store did not confirm the write; it may be stored
 */
enum config_status {
	CONFIG_ACCEPTED,
	CONFIG_PENDING,
	CONFIG_CONFLICT,
	CONFIG_INVALID,
	CONFIG_UNRESOLVED,
};

/**
 * struct config_change - a change to write; strings and value are copied
 * @id: unique id of 1 to CONFIG_CHANGE_ID_MAX_BYTES bytes
 * @key: key of the object
 * @value: new value, NULL deletes the object
 * @if_version: store version that the object must have, 0 for a new object
 */
struct config_change {
	const char *id;
	const char *key;
	json_t *value;
	uint64_t if_version;
};

/**
 * enum config_effect_kind - what the caller has to do
 *
 * The names after @ are members of struct config_effect.
 *
 * @CONFIG_PUT: write @value to @key, or delete @key if @value is NULL, on
 *     condition that its version is @version; then call config_on_put()
 * @CONFIG_GET: read @key, then call config_on_read()
 * @CONFIG_SEND: send @msg to @to, or to all other members if @to is empty
 * @CONFIG_PUBLISH: @version of @key came into effect; @value is NULL when the
 *     object was deleted
 * @CONFIG_ANSWER: report @status of @change; @text gives details, such as the
 *     problems, the members without acknowledgement or the conflicting change
 * @CONFIG_PROBLEM: the newest version of @key is not in effect because of @text
 * @CONFIG_SYNCED: this process holds all that @to held at time @started_ms
 */
enum config_effect_kind {
	CONFIG_PUT,
	CONFIG_GET,
	CONFIG_SEND,
	CONFIG_PUBLISH,
	CONFIG_ANSWER,
	CONFIG_PROBLEM,
	CONFIG_SYNCED,
};

/**
 * struct config_effect - one effect; strings, value and message owned
 *
 * enum config_effect_kind states which members each kind uses.
 */
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

/** struct config_out - growable list of effects; all zero is an empty list */
struct config_out {
	struct config_effect *effects;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct config_desc - parameters; a zero timeout means its default
 * @self: id of this process
 * @ack_wait_ms: time for a majority to acknowledge a stored change before the
 *     answer is CONFIG_PENDING, default 3,000
 * @store_wait_ms: time for the store to confirm a write before the answer is
 *     CONFIG_UNRESOLVED, default 20,000
 */
struct config_desc {
	struct vm_id self;
	int64_t ack_wait_ms;
	int64_t store_wait_ms;
};

/**
 * struct config_state - state on caller-owned memory
 * @members: all live and leaving members, this process included
 * @changes: local changes without a final answer
 * @syncs: synchronisations that this process started
 * @seq: sequence number of the latest synchronisation
 */
struct config_state {
	struct config_desc desc;
	struct object_table objects;
	struct vm_id *members;
	uint32_t n_members;
	GPtrArray *changes; /* struct change */
	GPtrArray *syncs;   /* struct sync */
	uint64_t seq;
};

/** config_init() - initialise an empty state; config_finish() frees it */
void config_init(struct config_state *c, const struct config_desc *desc);

/** config_finish() - free the content and clear the state */
void config_finish(struct config_state *c);

/**
 * config_on_members() - replace the list of members
 * @members: all live and leaving members, this process included; copied. Those
 *     after the first CONFIG_MAX_MEMBERS are ignored.
 */
void config_on_members(
    struct config_state *c, const struct vm_id *members, uint32_t n);

/**
 * config_write() - write a change
 *
 * The id of the change is added to the value as its member "change". A change
 * whose id the newest version already has is not written again but answered
 * like the first one. A change whose id is still being processed is ignored.
 * One CONFIG_ANSWER effect follows; after CONFIG_PENDING, a second one with
 * CONFIG_ACCEPTED may follow.
 */
void config_write(struct config_state *c, const struct config_change *change,
    int64_t now_ms, struct config_out *out);

/**
 * config_on_put() - process the result of a CONFIG_PUT
 * @change: id of the change
 * @version: new store version when @result is CONFIG_PUT_OK
 */
void config_on_put(struct config_state *c, const char *change,
    enum config_put_result result, uint64_t version, int64_t now_ms,
    struct config_out *out);

/**
 * config_on_read() - process the result of a CONFIG_GET or another read of @key
 * @version: store version when @result is CONFIG_READ_OK
 * @value: value when @result is CONFIG_READ_OK; borrowed
 */
void config_on_read(struct config_state *c, const char *key,
    enum config_read_result result, uint64_t version, json_t *value,
    int64_t now_ms, struct config_out *out);

/**
 * config_on_watch() - process a changed object from a watch
 * @value: NULL when the object was deleted; borrowed
 */
void config_on_watch(struct config_state *c, const char *key, uint64_t version,
    json_t *value, int64_t now_ms, struct config_out *out);

/**
 * config_on_list() - process the store's response to a list request
 * @prefix: prefix that was listed; an object below it that the response lacks
 *     is taken as deleted when its version is below the revision
 * @response: {"revision", "objects": [{"key", "version", "value"}]}
 */
void config_on_list(struct config_state *c, const char *prefix,
    const json_t *response, int64_t now_ms, struct config_out *out);

/** config_on_msg() - process a message from a peer */
void config_on_msg(struct config_state *c, const struct config_msg *msg,
    int64_t now_ms, struct config_out *out);

/** config_pull() - synchronise from a peer; CONFIG_SYNCED follows on success */
void config_pull(struct config_state *c, const struct vm_id *peer,
    int64_t now_ms, struct config_out *out);

/** config_tick() - process retries and deadlines; called every 50 ms */
void config_tick(
    struct config_state *c, int64_t now_ms, struct config_out *out);

/**
 * config_effective_set() - configuration in effect, valid until the next event
 */
const struct cfg_set *config_effective_set(const struct config_state *c);

/** config_digest() - digest of the objects held */
struct objtab_digest config_digest(const struct config_state *c);

/** config_out_clear() - free the effects, but keep the array for reuse */
void config_out_clear(struct config_out *out);

/** config_out_finish() - free the effects and the array */
void config_out_finish(struct config_out *out);

/** config_msg_finish() - free the content of a message */
void config_msg_finish(struct config_msg *msg);

/** config_status_name() - name of a status, such as "accepted" */
const char *config_status_name(enum config_status status);

#endif
