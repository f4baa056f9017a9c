/*
 * prt - partition table, ownership changes and ownership leases.
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
 * PRT_LOST_WAIT_MS, in a strict majority (or a fleet of two), and quarantines
 * the partition. An owner whose view shows less than half of the members alive
 * does not act, so membership must notice an isolation in less than
 * PRT_LOST_WAIT_MS minus PRT_LEASE_MS.
 *
 *	struct prt p;
 *	prt_init(&p, &(struct prt_desc){.self = id, .seed = 1});
 *	prt_on_members(&p, members, n, now_ms, &out);
 *	prt_tick(&p, now_ms, wall_ms, &out);
 *	for (i = 0; i < out.n; i++) carry out out.v[i];
 *	prt_out_clear(&out);
 *	if (prt_may_act(&p, prt_of(key), now_ms)) ...
 *	prt_finish(&p);
 */
#ifndef CLAIM_PRT_H
#define CLAIM_PRT_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/vm_id.h"

#define PRT_COUNT 64
#define PRT_REPLICAS 2
#define PRT_MAX_MEMBERS 1024
#define PRT_ZONE_MAX 31
#define PRT_KEY "part/table"
/* Two tables are needed at once while a write is pending. */
#define PRT_MAX_REQUIRED (2 * (PRT_REPLICAS + 1))

#define PRT_LEASE_MS 1000
#define PRT_HEARTBEAT_MS 250
/* Covers clocks that differ in rate by 10% over one lease. */
#define PRT_DRIFT_MARGIN_MS 100
#define PRT_LOST_WAIT_MS 10000

/** struct prt_member - live view of one process */
struct prt_member {
	struct vm_id id;
	char zone[PRT_ZONE_MAX + 1];
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
	struct vm_id replica[PRT_REPLICAS];
	int64_t quarantined_until;
};

/** struct prt_table - all rows and the store version of the object */
struct prt_table {
	uint64_t version;
	struct partition_entry part[PRT_COUNT];
};

/**
 * struct prt_view - what the record keeper needs to know about a partition
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
struct prt_view {
	uint32_t partition;
	uint64_t epoch;
	struct vm_id owner;
	bool acting;
	struct vm_id required[PRT_MAX_REQUIRED];
	uint32_t n_required;
	struct vm_id joiner;
	bool sole;
	int64_t sole_until;
	int64_t quarantined_until;
};

/** enum prt_msg_type - messages between processes */
enum prt_msg_type {
	PRT_MSG_HEARTBEAT = 1,
	PRT_MSG_ACK = 2,
	PRT_MSG_TABLE = 3,
	PRT_MSG_PULL = 4,
};

/** struct prt_item - partition and epoch */
struct prt_item {
	uint32_t partition;
	uint64_t epoch;
};

/**
 * struct prt_msg - one message
 * @type: kind
 * @version: version of the sender's table, 0 for none
 * @sent_ms: heartbeat: sender's clock; echoed in the acknowledgement
 * @items: heartbeat: partitions owned by the sender for which the receiver
 *	keeps records; acknowledgement: those that are accepted
 * @n_items: their number
 * @table: table message: heap object, see prt_msg_finish()
 */
struct prt_msg {
	enum prt_msg_type type;
	uint64_t version;
	int64_t sent_ms;
	struct prt_item items[PRT_COUNT];
	uint32_t n_items;
	struct prt_table *table;
};

/** enum prt_effect_type - what the caller carries out */
enum prt_effect_type {
	PRT_SEND,  /* send msg to a process */
	PRT_READ,  /* read PRT_KEY, then prt_on_read() */
	PRT_WRITE, /* write if the version is n, then prt_on_write() */
	PRT_VIEW,  /* pass the view to the record keeper */
};

/** struct prt_effect - one effect; the fields of its type are set */
struct prt_effect {
	enum prt_effect_type type;
	struct vm_id to;
	struct prt_msg *msg;
	uint64_t if_version;
	json_t *value;
	struct prt_view view;
};

/**
 * struct prt_out - growable list of effects; all zero is empty
 *
 * All effects are carried out before the next event is passed in: a PRT_VIEW
 * may follow the PRT_WRITE that makes it necessary.
 */
struct prt_out {
	struct prt_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct prt_desc - settings
 * @self: this process
 * @seed: start of the random sequence for jitter
 * @retention_ms: quarantine after a total loss, 0 means 3,600,000
 */
struct prt_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t retention_ms;
};

/** enum prt_result - outcome of a store request */
enum prt_result {
	PRT_OK,
	PRT_NOT_FOUND, /* read: there is no object */
	PRT_CONFLICT,  /* write: another version is stored */
	PRT_FAILED,    /* nothing was written or read */
	PRT_UNKNOWN,   /* write: it may have taken effect */
};

/** enum prt_purpose - why a copy is made */
enum prt_purpose {
	PRT_JOIN_NONE,
	PRT_JOIN_REPLICA,
	PRT_JOIN_OWNER,
};

/** struct prt_seen - when a replica last acknowledged a heartbeat */
struct prt_seen {
	struct vm_id id;
	int64_t sent_ms;
};

/** struct prt_state - local state of one partition */
struct prt_state {
	int64_t act_from;
	int64_t lost_since;
	uint64_t fence;
	struct vm_id joiner;
	enum prt_purpose purpose;
	bool copied;
	struct prt_seen seen[PRT_MAX_REQUIRED + 1];
	struct prt_view view;
};

/** struct prt - state on caller-owned memory; about 180 KB */
struct prt {
	struct prt_desc desc;
	struct random rng;
	struct prt_member *members;
	uint32_t n_members;
	uint32_t n_alive;
	bool have_view;
	bool leaving;
	bool replan;
	struct prt_table table;
	struct prt_table prop;
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
	struct prt_state st[PRT_COUNT];
};

/** prt_of() - partition of an id or key, by xxHash64 */
uint32_t prt_of(struct bstr key);

/** prt_init() - start without a table; the first tick reads the store */
void prt_init(struct prt *p, const struct prt_desc *desc);

/** prt_finish() - free */
void prt_finish(struct prt *p);

/** prt_out_clear() - free what the effects own and empty the list */
void prt_out_clear(struct prt_out *out);

/** prt_out_finish() - prt_out_clear() and free the list */
void prt_out_finish(struct prt_out *out);

/** prt_msg_finish() - free what a received message owns */
void prt_msg_finish(struct prt_msg *m);

/**
 * prt_tick() - heartbeats, store requests and planned changes
 * @now_ms: local boot-time clock
 * @wall_ms: Unix time, used only for the end of a quarantine
 *
 * A gap of more than a lease between ticks means that the process was paused:
 * it acts again only after the next prt_on_members().
 */
void prt_tick(
    struct prt *p, int64_t now_ms, int64_t wall_ms, struct prt_out *out);

/** prt_on_members() - the members changed or were confirmed; copied */
void prt_on_members(struct prt *p, const struct prt_member *m, uint32_t n,
    int64_t now_ms, struct prt_out *out);

/**
 * prt_on_read() - answer to PRT_READ, or an object from a watch
 * @r: PRT_OK, PRT_NOT_FOUND or PRT_FAILED
 * @asked: this answers a PRT_READ; false for a watch
 */
void prt_on_read(struct prt *p, enum prt_result r, bool asked, uint64_t version,
    const json_t *value, int64_t now_ms, struct prt_out *out);

/** prt_on_write() - answer to PRT_WRITE; @version is the new one when PRT_OK */
void prt_on_write(struct prt *p, enum prt_result r, uint64_t version,
    int64_t now_ms, struct prt_out *out);

/** prt_on_msg() - message from another process */
void prt_on_msg(struct prt *p, const struct vm_id *from,
    const struct prt_msg *m, int64_t now_ms, struct prt_out *out);

/**
 * prt_on_copied() - the joiner holds all records of the partition
 *
 * From the call of the record keeper that reports it, every further record
 * must wait for the joiner.
 */
void prt_on_copied(struct prt *p, uint32_t partition,
    const struct vm_id *joiner, int64_t now_ms, struct prt_out *out);

/** prt_may_act() - whether this process holds the lease of the partition */
bool prt_may_act(const struct prt *p, uint32_t partition, int64_t now_ms);

/** prt_act_until() - end of the lease in local ms, 0 when it is not held */
int64_t prt_act_until(const struct prt *p, uint32_t partition);

/**
 * prt_act_from() - local ms at which the current ownership may act first
 *
 * The value changes exactly when another process may have acted since.
 */
int64_t prt_act_from(const struct prt *p, uint32_t partition);

/** prt_epoch() - epoch by the newest known table */
uint64_t prt_epoch(const struct prt *p, uint32_t partition);

/** prt_owner() - owner by the newest known table, "none" without a table */
struct vm_id prt_owner(const struct prt *p, uint32_t partition);

/** prt_idle() - whether the table names this process nowhere; it may stop */
bool prt_idle(const struct prt *p);

/** prt_table_print() - JSON value, owned by the caller */
json_t *prt_table_print(const struct prt_table *t, const char *change);

/**
 * prt_table_parse() - strict check and read; @t->version is not touched
 *
 * Return: false when a member is missing, extra, of a wrong type or out of
 * range, or when a process is named twice for a partition.
 */
bool prt_table_parse(struct prt_table *t, const json_t *value);

#endif
