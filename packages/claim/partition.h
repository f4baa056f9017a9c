/*
 * partition - partition table, ownership changes and ownership leases.
 *
 * Each of the 64 partitions has one owner and up to two replicas. The table is
 * the store object "part/table". Every change is a conditional update of the
 * whole object; one update covers all partitions that this process changes.
 *
 * Invariant: every process that the table names for a partition holds all
 * confirmed records of the partition. The owner therefore copies the records to
 * a new replica first (the "joiner" of a view) and adds it to the table
 * afterwards. From the time a write is sent until its outcome is known, the
 * owner needs acknowledgements from the replicas of both the old and the new
 * table, so that either outcome is safe.
 *
 * A takeover must be written by a process of the old row. From then on, this
 * process refuses messages of older epochs. The old owner needs its
 * acknowledgement and can therefore no longer act. A process changes the table
 * only while at least half of the members are alive in its membership view.
 *
 * With fewer replicas:
 * - Owner and one replica (two VMs, or while a replica is replaced): if both
 *   are lost, so are the records, and the partition is quarantined.
 * - Owner alone (one VM, or two of which one has failed): the owner holds its
 *   lease through reads of the store that show it as the owner. While the store
 *   is down the owner does not act. If the owner is lost, so are the records.
 *
 * If the owner and all replicas are lost, another member takes the partition
 * over after PARTITION_LOST_WAIT_MS and quarantines it. This needs a strict
 * majority of live members, or a fleet of two. An owner that sees less than
 * half of the members alive does not act, so membership must detect an
 * isolation within PARTITION_LOST_WAIT_MS minus PARTITION_LEASE_MS.
 *
 *	struct partitions p;
 *	partition_init(&p, &(struct partition_desc){.self = id, .seed = 1});
 *	partition_on_members(&p, members, n, now_ms, &out);
 *	partition_tick(&p, now_ms, wall_ms, &out);
 *	for (uint32_t i = 0; i < out.n; i++)
 *		carry_out(&out.v[i]);
 *	partition_out_clear(&out);
 *	if (partition_may_act(&p, partition_of(intent_id), now_ms))
 *		...
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
/* While a write is pending, the processes of two tables are required. */
#define PARTITION_MAX_REQUIRED (2 * (PARTITION_REPLICAS + 1))

#define PARTITION_LEASE_MS 1000
#define PARTITION_HEARTBEAT_MS 250
/* Allows for clock rates that differ by 10% over one lease. */
#define PARTITION_DRIFT_MARGIN_MS 100
#define PARTITION_LOST_WAIT_MS 10000

/**
 * struct partition_member - a process as membership reports it
 * @id: process
 * @zone: availability zone
 * @alive: whether the process is alive
 * @leaving: whether the process is about to leave the fleet
 */
struct partition_member {
	struct vm_id id;
	char zone[PARTITION_ZONE_MAX + 1];
	bool alive;
	bool leaving;
};

/**
 * struct partition_entry - one row of the table
 * @epoch: increases with each change of the row, 0 means unassigned
 * @owner: process that decides on the claims of the partition
 * @replica: processes that hold copies of the records, "none" in an empty slot
 * @quarantined_until: Unix ms until which the state of a key without a record
 *	is unknown
 */
struct partition_entry {
	uint64_t epoch;
	struct vm_id owner;
	struct vm_id replica[PARTITION_REPLICAS];
	int64_t quarantined_until;
};

/**
 * struct partition_table - all rows and the store version of the object
 * @version: store version, 0 without a table
 * @part: rows by partition
 */
struct partition_table {
	uint64_t version;
	struct partition_entry part[PARTITION_COUNT];
};

/**
 * struct partition_view - state of a partition as the claim module needs it
 * @partition: index
 * @epoch: epoch in the newest known table
 * @owner: owner at that epoch
 * @acting: this process is the owner, at least half of the members are alive,
 *	and no pending write names another owner
 * @required: processes whose acknowledgement a record needs
 * @n_required: number of entries in @required
 * @joiner: process to which all records are to be copied, or "none"
 * @unreplicated: the partition has no replica in the table or in the table that
 *	is being written: nothing may be confirmed after @store_lease_end
 * @store_lease_end: end of the store lease (local ms), 0 when not @unreplicated
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
	bool unreplicated;
	int64_t store_lease_end;
	int64_t quarantined_until;
};

/**
 * enum partition_msg_type - messages between processes
 * @PARTITION_MSG_HEARTBEAT: the owner asks to extend its leases
 * @PARTITION_MSG_ACK: acknowledgement of a heartbeat
 * @PARTITION_MSG_TABLE: the sender's table
 * @PARTITION_MSG_PULL: request for a table newer than @version
 */
enum partition_msg_type {
	PARTITION_MSG_HEARTBEAT = 1,
	PARTITION_MSG_ACK = 2,
	PARTITION_MSG_TABLE = 3,
	PARTITION_MSG_PULL = 4,
};

/** struct partition_item - partition and its epoch */
struct partition_item {
	uint32_t partition;
	uint64_t epoch;
};

/**
 * struct partition_msg - one message
 * @type: kind of message
 * @version: version of the sender's table, 0 for none
 * @sent_ms: heartbeat: sender's clock; echoed in the acknowledgement
 * @items: heartbeat: partitions owned by the sender for which the receiver
 *	keeps records; acknowledgement: those of them that are accepted
 * @n_items: number of entries in @items
 * @table: table message: heap object, freed by partition_msg_finish()
 */
struct partition_msg {
	enum partition_msg_type type;
	uint64_t version;
	int64_t sent_ms;
	struct partition_item items[PARTITION_COUNT];
	uint32_t n_items;
	struct partition_table *table;
};

/**
 * enum partition_effect_type - what the calling code must carry out
 * @PARTITION_SEND: send @msg to the process @to
 * @PARTITION_READ: read PARTITION_KEY, then call partition_on_read()
 * @PARTITION_WRITE: write @value to PARTITION_KEY if its version is still
 *	@if_version, then call partition_on_write()
 * @PARTITION_VIEW: pass @view to the claim module
 */
enum partition_effect_type {
	PARTITION_SEND,
	PARTITION_READ,
	PARTITION_WRITE,
	PARTITION_VIEW,
};

/**
 * struct partition_effect - one effect; only the fields of its type are set
 * @type: kind of effect
 * @to: receiver of @msg
 * @msg: message to send, owned by the effect
 * @if_version: expected version of the stored object, 0 if there is none
 * @value: new value of the object, owned by the effect
 * @view: new view of a partition
 */
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
 * @v: effects
 * @n: number of effects
 * @cap: allocated number of effects
 *
 * Carry out all effects before the next event is passed in: a PARTITION_VIEW
 * may follow the PARTITION_WRITE that makes it necessary.
 */
struct partition_out {
	struct partition_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct partition_desc - settings
 * @self: id of this process
 * @seed: seed of the random numbers for jitter
 * @retention_ms: length of the quarantine after the owner and all replicas are
 *	lost, 0 means 3,600,000
 */
struct partition_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t retention_ms;
};

/**
 * enum partition_result - outcome of a store request
 * @PARTITION_OK: read or written
 * @PARTITION_NOT_FOUND: read: there is no object
 * @PARTITION_CONFLICT: write: another version is stored
 * @PARTITION_FAILED: nothing was read or written
 * @PARTITION_UNKNOWN: write: it may have taken effect
 */
enum partition_result {
	PARTITION_OK,
	PARTITION_NOT_FOUND,
	PARTITION_CONFLICT,
	PARTITION_FAILED,
	PARTITION_UNKNOWN,
};

/** enum partition_join_purpose - role that the joiner takes after the copy */
enum partition_join_purpose {
	PARTITION_JOIN_NONE,
	PARTITION_JOIN_REPLICA,
	PARTITION_JOIN_OWNER,
};

/**
 * struct partition_last_ack - newest heartbeat that a process acknowledged
 * @id: process
 * @sent_ms: local ms when that heartbeat was sent
 */
struct partition_last_ack {
	struct vm_id id;
	int64_t sent_ms;
};

/**
 * struct partition_state - local state of one partition
 * @act_from: see partition_act_from()
 * @lost_since: local ms since when neither the owner nor a replica is alive, 0
 *	if one of them is
 * @fence: heartbeats with an epoch below this one are refused
 * @joiner: see struct partition_view
 * @purpose: role of @joiner after the copy
 * @copied: @joiner holds all records
 * @acks: last acknowledgements by process
 * @view: view that was last passed to the claim module
 */
struct partition_state {
	int64_t act_from;
	int64_t lost_since;
	uint64_t fence;
	struct vm_id joiner;
	enum partition_join_purpose purpose;
	bool copied;
	struct partition_last_ack acks[PARTITION_MAX_REQUIRED + 1];
	struct partition_view view;
};

/**
 * struct partitions - state in memory owned by the calling code; about 180 KB
 * @desc: settings
 * @rng: random numbers for jitter
 * @members: members sorted by id
 * @n_members: number of entries in @members
 * @n_alive: number of live members
 * @members_valid: @members includes this process, which has not been paused
 *	since they were reported
 * @leaving: this process is leaving
 * @replan: plan without waiting for @next_plan_ms
 * @table: newest known table
 * @proposal: table that is being written
 * @has_proposal: the outcome of writing @proposal is not known yet
 * @proposal_unknown: a write of @proposal may have taken effect, so a failed
 *	repetition does not discard it
 * @reading: a read is in flight
 * @writing: a write is in flight
 * @read_requested: read without waiting for @next_read_ms
 * @object_missing: the store has reported that there is no table object
 * @read_sent_ms: local ms when the last read was sent
 * @next_read_ms: local ms of the next read
 * @next_write_ms: local ms before which nothing is written
 * @next_heartbeat_ms: local ms of the next heartbeats
 * @next_move_ms: local ms before which no ownership is moved
 * @next_plan_ms: local ms of the next planning
 * @next_pull_ms: local ms before which no table is requested from a process
 * @store_lease_end: local ms when the lease from reads of the store ends
 * @last_tick_ms: local ms of the last tick
 * @conflicts: write conflicts since the last successful write
 * @n_changes: number of writes sent
 * @st: local state by partition
 */
struct partitions {
	struct partition_desc desc;
	struct random rng;
	struct partition_member *members;
	uint32_t n_members;
	uint32_t n_alive;
	bool members_valid;
	bool leaving;
	bool replan;
	struct partition_table table;
	struct partition_table proposal;
	bool has_proposal;
	bool proposal_unknown;
	bool reading;
	bool writing;
	bool read_requested;
	bool object_missing;
	int64_t read_sent_ms;
	int64_t next_read_ms;
	int64_t next_write_ms;
	int64_t next_heartbeat_ms;
	int64_t next_move_ms;
	int64_t next_plan_ms;
	int64_t next_pull_ms;
	int64_t store_lease_end;
	int64_t last_tick_ms;
	uint32_t conflicts;
	uint64_t n_changes;
	struct partition_state st[PARTITION_COUNT];
};

/**
 * partition_of() - partition of an id, such as that of an intent or upstream
 * @key: the id; claim_partition() selects the partition of an idempotency key
 *
 * Return: index of the partition, selected by xxHash64.
 */
uint32_t partition_of(struct bstr key);

/** partition_init() - initialize without a table; the first tick reads it */
void partition_init(struct partitions *p, const struct partition_desc *desc);

/** partition_finish() - free the memory that @p owns */
void partition_finish(struct partitions *p);

/** partition_out_clear() - free the contents of all effects, empty the list */
void partition_out_clear(struct partition_out *out);

/** partition_out_finish() - partition_out_clear(), then free the list */
void partition_out_finish(struct partition_out *out);

/** partition_msg_finish() - free the table of a message */
void partition_msg_finish(struct partition_msg *m);

/**
 * partition_tick() - send heartbeats and store requests, plan changes
 * @now_ms: local boot-time clock
 * @wall_ms: Unix time, used only for the end of a quarantine
 *
 * A gap between two ticks that is longer than a lease means that the process
 * was paused: it acts again only after the next partition_on_members().
 */
void partition_tick(struct partitions *p, int64_t now_ms, int64_t wall_ms,
    struct partition_out *out);

/**
 * partition_on_members() - the members changed or were confirmed
 * @m: all members, in any order; copied
 * @n: number of entries in @m, of which at most PARTITION_MAX_MEMBERS are used
 */
void partition_on_members(struct partitions *p,
    const struct partition_member *m, uint32_t n, int64_t now_ms,
    struct partition_out *out);

/**
 * partition_on_read() - answer to PARTITION_READ, or an object from a watch
 * @r: PARTITION_OK, PARTITION_NOT_FOUND or PARTITION_FAILED
 * @is_reply: true for the answer to a PARTITION_READ, false for a watch
 * @version: store version of @value
 * @value: stored object
 */
void partition_on_read(struct partitions *p, enum partition_result r,
    bool is_reply, uint64_t version, const json_t *value, int64_t now_ms,
    struct partition_out *out);

/**
 * partition_on_write() - answer to PARTITION_WRITE
 * @r: outcome of the write
 * @version: new version of the object if @r is PARTITION_OK
 */
void partition_on_write(struct partitions *p, enum partition_result r,
    uint64_t version, int64_t now_ms, struct partition_out *out);

/** partition_on_msg() - message from another process */
void partition_on_msg(struct partitions *p, const struct vm_id *from,
    const struct partition_msg *m, int64_t now_ms, struct partition_out *out);

/**
 * partition_on_copied() - the joiner holds all records of the partition
 *
 * After the claim module has reported a complete copy, it must not confirm a
 * record that the joiner has not acknowledged.
 */
void partition_on_copied(struct partitions *p, uint32_t partition,
    const struct vm_id *joiner, int64_t now_ms, struct partition_out *out);

/**
 * partition_may_act() - whether this process holds the lease of the partition
 */
bool partition_may_act(
    const struct partitions *p, uint32_t partition, int64_t now_ms);

/**
 * partition_act_until() - end of the lease in local ms
 *
 * Return: 0 when this process is not acting or an acknowledgement or store read
 * that the lease requires is missing. The end may be in the past, and
 * partition_act_from() may be later.
 */
int64_t partition_act_until(const struct partitions *p, uint32_t partition);

/**
 * partition_act_from() - local ms from which the current ownership may act
 *
 * The value changes if and only if another process may have acted as the owner
 * since it was last set.
 */
int64_t partition_act_from(const struct partitions *p, uint32_t partition);

/** partition_epoch() - epoch in the newest known table */
uint64_t partition_epoch(const struct partitions *p, uint32_t partition);

/**
 * partition_owner() - owner in the newest known table, "none" without a table
 */
struct vm_id partition_owner(const struct partitions *p, uint32_t partition);

/**
 * partition_none_assigned() - whether neither the table nor a pending write
 * names this process, so that it may stop
 */
bool partition_none_assigned(const struct partitions *p);

/**
 * partition_table_print() - JSON value of the stored object
 * @change: unique id of the change, stored with the table
 *
 * Return: new reference, owned by the caller.
 */
json_t *partition_table_print(
    const struct partition_table *t, const char *change);

/**
 * partition_table_parse() - parse a stored object with strict checks
 * @t: receives the rows; its version stays as it is
 * @value: stored object
 *
 * Return: false if a field is missing, unknown, of a wrong type or out of
 * range, or if a partition names a process twice.
 */
bool partition_table_parse(struct partition_table *t, const json_t *value);

#endif
