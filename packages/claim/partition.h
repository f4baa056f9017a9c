/*
 * partition - partition table, ownership changes and ownership leases.
 *
 * 64 partitions each have one owner and up to two replicas. The table is the
 * store object "part/table"; every change is a conditional update of the whole
 * object, and one update covers all partitions that this process changes.
 *
 * Invariant: every process that the table names for a partition holds all its
 * confirmed records. A new replica is therefore copied first (it is the
 * "joiner" of a view) and written into the table afterwards. From the moment a
 * write is sent until its outcome is known, the owner needs the acknowledgement
 * of the replicas of both tables, so that either outcome is safe.
 *
 * A takeover needs a write by one process of the old set. That process refuses
 * messages of older epochs from then on, and as the old owner needs its
 * acknowledgement, the old owner can no longer act. Changes need a view in
 * which at least half of the members are alive.
 *
 * With fewer replicas:
 * - Owner and one replica (two VMs, or while a replica is replaced): the loss
 * of both loses the records; the partition is then quarantined.
 * - Owner alone (one VM, or two of which one has failed): the lease comes from
 *   reads of the store that show this process as the owner. While the store is
 *   down the owner does not act, and its loss loses the records.
 * If the owner and all replicas are lost, another member takes over after
 * PARTITION_LOST_WAIT_MS, in a strict majority (or a fleet of two), and
 * quarantines the partition. An owner whose view shows less than half of the
 * members alive does not act, so membership must notice an isolation in less
 * than PARTITION_LOST_WAIT_MS minus PARTITION_LEASE_MS.
 *
 *	struct partitions p;
 *	partition_init(&p, &(struct partition_desc){.self = id, .seed = 1});
 *	partition_on_members(&p, members, n, now_ms, &out);
 *	partition_tick(&p, now_ms, wall_ms, &out);
 *	for (i = 0; i < out.n; i++) carry out out.v[i];
 *	partition_out_clear(&out);
 *	if (partition_may_act(&p, partition_of(key), now_ms)) ...
 *	partition_finish(&p);
 */
#ifndef CLAIM_PARTITION_H
#define CLAIM_PARTITION_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/vm_id.h"

#define PARTITION_COUNT 64
#define PARTITION_REPLICAS 2
#define PARTITION_MAX_MEMBERS 1024
#define PARTITION_ZONE_MAX 31
#define PARTITION_KEY "part/table"
/* Two tables are needed at once while a write is pending. */
#define PARTITION_MAX_REQUIRED (2 * (PARTITION_REPLICAS + 1))

#define PARTITION_LEASE_MS 1000
#define PARTITION_HEARTBEAT_MS 250
/* Covers clocks that differ in rate by 10% over one lease. */
#define PARTITION_DRIFT_MARGIN_MS 100
#define PARTITION_LOST_WAIT_MS 10000

/** struct partition_member - live view of one process */
struct partition_member {
	struct vm_id id;
	char zone[PARTITION_ZONE_MAX + 1];
	bool alive;
	bool leaving;
};

/**
 * struct partition_entry - one row of the table
 * @epoch: grows with each change of the row, 0 means unassigned
 * @owner: process that decides
 * @replica: "none" for an empty place
 * @quarantined_until: Unix ms until which keys without a record are unknown
 */
struct partition_entry {
	uint64_t epoch;
	struct vm_id owner;
	struct vm_id replica[PARTITION_REPLICAS];
	int64_t quarantined_until;
};

/** struct partition_table - all rows and the store version of the object */
struct partition_table {
	uint64_t version;
	struct partition_entry part[PARTITION_COUNT];
};

/**
 * struct partition_view - what the record keeper needs to know about a
 * partition
 * @partition: index
 * @epoch: highest known epoch
 * @owner: owner at that epoch
 * @acting: this process is the owner and no pending write takes that away
 * @required: processes whose acknowledgement a record needs
 * @n_required: their number
 * @joiner: process that is to get a copy of all records, or "none"
 * @sole: the table, or the one being written, has no replica: nothing may be
 *	confirmed after @sole_until
 * @sole_until: end of the store lease (local ms), 0 when not @sole
 * @quarantined_until: see struct partition_entry
 */
struct partition_view {
	uint32_t partition;
	uint64_t epoch;
	struct vm_id owner;
	bool acting;
	struct vm_id required[PARTITION_MAX_REQUIRED];
	uint32_t n_required;
	struct vm_id joiner;
	bool sole;
	int64_t sole_until;
	int64_t quarantined_until;
};

/** enum partition_msg_type - messages between processes */
enum partition_msg_type {
	PARTITION_MSG_HEARTBEAT = 1,
	PARTITION_MSG_ACK = 2,
	PARTITION_MSG_TABLE = 3,
	PARTITION_MSG_PULL = 4,
};

/** struct partition_item - partition and epoch */
struct partition_item {
	uint32_t partition;
	uint64_t epoch;
};

/**
 * struct partition_msg - one message
 * @type: kind
 * @version: version of the sender's table, 0 for none
 * @sent_ms: heartbeat: sender's clock; echoed in the acknowledgement
 * @items: heartbeat: partitions owned by the sender for which the receiver
 *	keeps records; acknowledgement: those that are accepted
 * @n_items: their number
 * @table: table message: heap object, see partition_msg_finish()
 */
struct partition_msg {
	enum partition_msg_type type;
	uint64_t version;
	int64_t sent_ms;
	struct partition_item items[PARTITION_COUNT];
	uint32_t n_items;
	struct partition_table *table;
};

/** enum partition_effect_type - what the caller carries out */
enum partition_effect_type {
	PARTITION_SEND,  /* send msg to a process */
	PARTITION_READ,  /* read PARTITION_KEY, then partition_on_read() */
	PARTITION_WRITE, /* write if the version is n, then partition_on_write()
			  */
	PARTITION_VIEW,  /* pass the view to the record keeper */
};

/** struct partition_effect - one effect; the fields of its type are set */
struct partition_effect {
	enum partition_effect_type type;
	struct vm_id to;
	struct partition_msg *msg;
	uint64_t if_version;
	json_t *value;
	struct partition_view view;
};

/**
 * struct partition_out - growable list of effects; all zero is empty
 *
 * All effects are carried out before the next event is passed in: a
 * PARTITION_VIEW may follow the PARTITION_WRITE that makes it necessary.
 */
struct partition_out {
	struct partition_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct partition_desc - settings
 * @self: this process
 * @seed: start of the random sequence for jitter
 * @retention_ms: quarantine after a total loss, 0 means 3,600,000
 */
struct partition_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t retention_ms;
};

/** enum partition_result - outcome of a store request */
enum partition_result {
	PARTITION_OK,
	PARTITION_NOT_FOUND, /* read: there is no object */
	PARTITION_CONFLICT,  /* write: another version is stored */
	PARTITION_FAILED,    /* nothing was written or read */
	PARTITION_UNKNOWN,   /* write: it may have taken effect */
};

/** enum partition_purpose - why a copy is made */
enum partition_purpose {
	PARTITION_JOIN_NONE,
	PARTITION_JOIN_REPLICA,
	PARTITION_JOIN_OWNER,
};

/** struct partition_seen - when a replica last acknowledged a heartbeat */
struct partition_seen {
	struct vm_id id;
	int64_t sent_ms;
};

/** struct partition_state - local state of one partition */
struct partition_state {
	int64_t act_from;
	int64_t lost_since;
	uint64_t fence;
	struct vm_id joiner;
	enum partition_purpose purpose;
	bool copied;
	struct partition_seen seen[PARTITION_MAX_REQUIRED + 1];
	struct partition_view view;
};

/** struct partitions - state on caller-owned memory; about 180 KB */
struct partitions {
	struct partition_desc desc;
	struct random rng;
	struct partition_member *members;
	uint32_t n_members;
	uint32_t n_alive;
	bool have_view;
	bool leaving;
	bool replan;
	struct partition_table table;
	struct partition_table prop;
	bool has_prop;
	bool prop_unknown;
	bool reading;
	bool writing;
	bool want_read;
	bool object_missing;
	int64_t read_sent_ms;
	int64_t next_read_ms;
	int64_t next_write_ms;
	int64_t next_beat_ms;
	int64_t next_move_ms;
	int64_t next_plan_ms;
	int64_t next_pull_ms;
	int64_t store_lease_until;
	int64_t last_tick_ms;
	uint32_t conflicts;
	uint64_t n_changes;
	struct partition_state st[PARTITION_COUNT];
};

/** partition_of() - partition of an id or key, by xxHash64 */
uint32_t partition_of(struct bstr key);

/** partition_init() - start without a table; the first tick reads the store */
void partition_init(struct partitions *p, const struct partition_desc *desc);

/** partition_finish() - free */
void partition_finish(struct partitions *p);

/** partition_out_clear() - free what the effects own and empty the list */
void partition_out_clear(struct partition_out *out);

/** partition_out_finish() - partition_out_clear() and free the list */
void partition_out_finish(struct partition_out *out);

/** partition_msg_finish() - free what a received message owns */
void partition_msg_finish(struct partition_msg *m);

/**
 * partition_tick() - heartbeats, store requests and planned changes
 * @now_ms: local boot-time clock
 * @wall_ms: Unix time, used only for the end of a quarantine
 *
 * A gap of more than a lease between ticks means that the process was paused:
 * it acts again only after the next partition_on_members().
 */
void partition_tick(struct partitions *p, int64_t now_ms, int64_t wall_ms,
    struct partition_out *out);

/** partition_on_members() - the members changed or were confirmed; copied */
void partition_on_members(struct partitions *p,
    const struct partition_member *m, uint32_t n, int64_t now_ms,
    struct partition_out *out);

/**
 * partition_on_read() - answer to PARTITION_READ, or an object from a watch
 * @r: PARTITION_OK, PARTITION_NOT_FOUND or PARTITION_FAILED
 * @asked: this answers a PARTITION_READ; false for a watch
 */
void partition_on_read(struct partitions *p, enum partition_result r,
    bool asked, uint64_t version, const json_t *value, int64_t now_ms,
    struct partition_out *out);

/**
 * partition_on_write() - answer to PARTITION_WRITE; @version is the new one
 * when PARTITION_OK
 */
void partition_on_write(struct partitions *p, enum partition_result r,
    uint64_t version, int64_t now_ms, struct partition_out *out);

/** partition_on_msg() - message from another process */
void partition_on_msg(struct partitions *p, const struct vm_id *from,
    const struct partition_msg *m, int64_t now_ms, struct partition_out *out);

/**
 * partition_on_copied() - the joiner holds all records of the partition
 *
 * From the call of the record keeper that reports it, every further record
 * must wait for the joiner.
 */
void partition_on_copied(struct partitions *p, uint32_t partition,
    const struct vm_id *joiner, int64_t now_ms, struct partition_out *out);

/**
 * partition_may_act() - whether this process holds the lease of the partition
 */
bool partition_may_act(
    const struct partitions *p, uint32_t partition, int64_t now_ms);

/**
 * partition_act_until() - end of the lease in local ms, 0 when it is not held
 */
int64_t partition_act_until(const struct partitions *p, uint32_t partition);

/**
 * partition_act_from() - local ms at which the current ownership may act first
 *
 * The value changes exactly when another process may have acted since.
 */
int64_t partition_act_from(const struct partitions *p, uint32_t partition);

/** partition_epoch() - epoch by the newest known table */
uint64_t partition_epoch(const struct partitions *p, uint32_t partition);

/**
 * partition_owner() - owner by the newest known table, "none" without a table
 */
struct vm_id partition_owner(const struct partitions *p, uint32_t partition);

/**
 * partition_idle() - whether the table names this process nowhere; it may stop
 */
bool partition_idle(const struct partitions *p);

/** partition_table_print() - JSON value, owned by the caller */
json_t *partition_table_print(
    const struct partition_table *t, const char *change);

/**
 * partition_table_parse() - strict check and read; @t->version is not touched
 *
 * Return: false when a member is missing, extra, of a wrong type or out of
 * range, or when a process is named twice for a partition.
 */
bool partition_table_parse(struct partition_table *t, const json_t *value);

#endif
