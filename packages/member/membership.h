/*
 * membership - gossip-based group membership and failure detection of the
 * daemon's processes (prefix member_).
 *
 * In each period every member increments its own heartbeat counter and sends
 * gossip to MEMBER_FANOUT random members. A member whose heartbeat does not
 * advance in time is pinged directly. If it does not answer, it becomes suspect
 * and later dead. It refutes this by incrementing its heartbeat. The size of a
 * message does not depend on the number of members; instead the heartbeat
 * timeout grows with the fleet. Above about 500 members it grows linearly,
 * because heartbeats then arrive so rarely that earlier pings would cost more
 * messages than the gossip itself.
 *
 * A majority is computed from the *base*, the number of processes in the fleet.
 * The base is the maximum of the own base and of the bases that peers reported
 * recently. The own base counts the addresses on the platform's VM list and
 * those of known members. A member stays in the base until one of these holds:
 *  - leave_hold_ms have passed since this process learned that the member is
 *    leaving, so that all connected members have received the leave;
 *  - another process has taken its address;
 *  - it has been dead, and absent from all reads of the VM list, for drop_ms.
 * A partitioned minority that cannot read the VM list therefore keeps the base
 * of the whole fleet for any length of time. The base is unknown until a VM
 * list was read or gossip arrived from a member that knows its base. After a
 * pause of this process the base is unknown again, until a VM list is read or
 * gossip arrives that contains a heartbeat of this process from after the
 * pause.
 *
 *	struct membership m;
 *	struct member_out out = {0};
 *	member_init(&m, &(struct member_desc){
 *	    .self = id, .zone = z, .addr = a});
 *	member_on_vm_list(&m, addrs, n, true, now_ms, &out);
 *	member_tick(&m, now_ms, &out);
 *	member_on_gossip(&m, &from, &msg, now_ms, &out);
 *	for (i = 0; i < out.n; i++) carry_out(&out.e[i]);
 *	member_out_clear(&out);
 *	member_finish(&m);
 */
#ifndef MEMBER_MEMBERSHIP_H
#define MEMBER_MEMBERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "base/vm_id.h"

#define MEMBER_MAX_MEMBERS 1024
/* Entries in one gossip message. */
#define MEMBER_MAX_ENTRIES 24
#define MEMBER_FANOUT 3
#define MEMBER_TEXT_MAX 31
/* All members plus all listed addresses without a known member. */
#define MEMBER_MAX_BASE (2 * MEMBER_MAX_MEMBERS)
/* Larger heartbeats are rejected, so that a heartbeat can always grow. */
#define MEMBER_MAX_HEARTBEAT (UINT64_MAX / 4)

/** struct member_text - zone or address, stored by value */
struct member_text {
	uint8_t n;
	char s[MEMBER_TEXT_MAX];
};

/** enum member_state - state of a member as queries report it */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_LEAVING,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
};

/** enum member_health - health of a member at one value of its heartbeat */
enum member_health {
	MEMBER_HEALTH_ALIVE,
	MEMBER_HEALTH_SUSPECT,
	MEMBER_HEALTH_DEAD,
};

/** struct member_entry - one member in a gossip message */
struct member_entry {
	struct vm_id id;
	struct member_text zone;
	struct member_text addr;
	uint64_t heartbeat;
	enum member_health health;
	bool leaving;
};

/**
 * struct member_msg - gossip message
 * @base: own base of the sender, 0 when unknown
 * @ping: the receiver must reply at once with its own entry
 * @n: number of entries; the first one is the sender
 */
struct member_msg {
	uint32_t base;
	bool ping;
	uint32_t n;
	struct member_entry entries[MEMBER_MAX_ENTRIES];
};

/** enum member_effect_kind - kinds of effects */
enum member_effect_kind {
	MEMBER_SEND,      /* send @msg to @id, or to @addr when @id is none */
	MEMBER_JOINED,    /* @id is new, or alive again after it was dead */
	MEMBER_LEFT,      /* @id leaves gracefully */
	MEMBER_SUSPECTED, /* @id does not respond and may have failed */
	MEMBER_REFUTED,   /* @id was suspect and is alive again */
	MEMBER_DIED,      /* @id failed */
	MEMBER_PAUSED,    /* this process was paused for @gap_ms */
};

/** struct member_effect - action that the calling code must carry out */
struct member_effect {
	enum member_effect_kind kind;
	struct vm_id id;
	struct member_text addr;
	int64_t gap_ms;
	struct member_msg msg;
};

/** struct member_out - list of effects; a zeroed struct is an empty list */
struct member_out {
	struct member_effect *e;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct member_desc - configuration; a zero field selects its default
 * @self: own identity
 * @zone: own availability zone
 * @addr: own peer address
 * @seed: seed of the random number generator
 * @period_ms: interval between gossip rounds, default 250
 * @heartbeat_timeout_ms: time without a new heartbeat until a member is pinged,
 *	for up to 24 members; default 1,000
 * @ping_timeout_ms: time from the ping until the member is suspect, default 400
 * @suspect_timeout_ms: time from suspect to dead, for up to 24 members; default
 *	1,000
 * @leave_hold_ms: time that a leaving member stays in the base, default 3,000
 * @drop_ms: time that a dead member that is not on the VM list stays in the
 *	base, default 30,000
 * @pause_ms: a longer gap between two calls is a pause, default 1,000
 */
struct member_desc {
	struct vm_id self;
	struct member_text zone;
	struct member_text addr;
	uint64_t seed;
	int32_t period_ms;
	int32_t heartbeat_timeout_ms;
	int32_t ping_timeout_ms;
	int32_t suspect_timeout_ms;
	int32_t leave_hold_ms;
	int32_t drop_ms;
	int32_t pause_ms;
};

/** struct member_info - member as returned by queries */
struct member_info {
	struct vm_id id;
	struct member_text zone;
	struct member_text addr;
	enum member_state state;
};

/**
 * struct member_record - private: a known process; all times are local ms
 * @e: entry as last merged
 * @advanced_ms: when its heartbeat last advanced
 * @ping_ms: when it was pinged after @advanced_ms, 0 when it was not
 * @suspect_ms: when it became suspect
 * @leaving_ms: when this process learned that the member is leaving
 * @unlisted_ms: since when its address is not on the VM list, 0 when listed
 * @dead_ms: when it became dead
 * @changed: sequence number of its last change
 * @sends_left: number of messages that must still carry this change with
 *	priority
 * @replaced: another process has taken its address
 * @dropped: dead and removed from the base
 * @stale: no heartbeat received since the last pause, so not gossiped
 */
struct member_record {
	struct member_entry e;
	int64_t advanced_ms;
	int64_t ping_ms;
	int64_t suspect_ms;
	int64_t leaving_ms;
	int64_t unlisted_ms;
	int64_t dead_ms;
	uint64_t changed;
	uint32_t sends_left;
	bool replaced;
	bool dropped;
	bool stale;
};

/** struct member_seed - private: an address from the VM list or the settings */
struct member_seed {
	struct member_text addr;
	bool listed; /* on the VM list, so it counts in the base */
	bool known;  /* a member has this address */
};

/** struct membership - membership view; fields are private */
struct membership {
	struct member_desc desc;
	struct random rng;
	struct member_record *members; /* sorted by identity, self included */
	uint32_t n;
	struct member_seed *seeds;
	uint32_t n_seeds;
	uint32_t cursor; /* next member for round-robin gossip */
	uint64_t n_changes;
	int64_t last_ms; /* last event, for the detection of pauses */
	int64_t next_ms; /* next gossip round */
	bool started;
	bool base_known;
	/* own heartbeat that gossip must contain after a pause */
	uint64_t echo_heartbeat;
	uint32_t peer_base[2]; /* current and previous interval */
	int64_t peer_base_ms;
	uint32_t pauses;
};

/** member_text() - copy @s; empty when it is longer than MEMBER_TEXT_MAX */
struct member_text member_text(struct bstr s);

/** member_str() - the text as a string that points into @t */
struct bstr member_str(const struct member_text *t);

/** member_out_clear() - empty the list and free its memory */
void member_out_clear(struct member_out *out);

/** member_init() - start with this process as the only known member */
void member_init(struct membership *m, const struct member_desc *desc);

/** member_finish() - free all resources */
void member_finish(struct membership *m);

/**
 * member_tick() - check timeouts and send gossip when it is due
 * @now_ms: local boot-time clock, here and in all other functions
 */
void member_tick(struct membership *m, int64_t now_ms, struct member_out *out);

/**
 * member_on_vm_list() - set the peer addresses of other VMs
 * @addrs: addresses; may contain the own address
 * @n: number of addresses, of which at most MEMBER_MAX_MEMBERS are used
 * @current: true for the platform's VM list when its read was sent after the
 *	last pause; false for addresses from the settings, which are contacted
 *	but do not count in the base
 */
void member_on_vm_list(struct membership *m, const struct member_text *addrs,
    uint32_t n, bool current, int64_t now_ms, struct member_out *out);

/** member_on_gossip() - process a message received from @from */
void member_on_gossip(struct membership *m, const struct vm_id *from,
    const struct member_msg *msg, int64_t now_ms, struct member_out *out);

/**
 * member_leave() - begin a graceful leave
 *
 * Keep calling member_tick() while this process drains.
 */
void member_leave(struct membership *m, int64_t now_ms, struct member_out *out);

/** member_pauses() - number of detected pauses of this process */
uint32_t member_pauses(const struct membership *m);

/** member_state() - state of a process; MEMBER_DEAD when @id is not known */
enum member_state member_state(
    const struct membership *m, const struct vm_id *id);

/**
 * member_live() - list the live members: alive or suspect, and not leaving
 * @zone: only this availability zone; empty for all zones
 * @out: receives the members sorted by identity, self included
 * @max: capacity of @out
 *
 * Return: number of members written.
 */
uint32_t member_live(const struct membership *m, struct bstr zone,
    struct member_info *out, uint32_t max);

/**
 * member_all() - list all known members, dead ones included
 * @out: receives the members sorted by identity
 * @max: capacity of @out
 *
 * Omits members that another process has replaced, dead members that left
 * gracefully, and members that were dropped from the base.
 *
 * Return: number of members written.
 */
uint32_t member_all(
    const struct membership *m, struct member_info *out, uint32_t max);

/** member_base() - number of members that a majority refers to; 0: unknown */
uint32_t member_base(const struct membership *m);

/** member_majority() - smallest majority of the base; 0: unknown */
uint32_t member_majority(const struct membership *m);

/**
 * struct member_choice - constraints of member_choose()
 * @zone: only this availability zone; empty for all zones
 * @avoid_zones: excluded availability zones
 * @avoid: excluded processes
 */
struct member_choice {
	struct bstr zone;
	const struct member_text *avoid_zones;
	uint32_t n_avoid_zones;
	const struct vm_id *avoid;
	uint32_t n_avoid;
};

/**
 * member_choose() - select live members for @key by rendezvous hashing
 * @key: key to hash
 * @choice: constraints
 * @out: receives the members, highest score first
 * @max: capacity of @out
 *
 * Return: number of members written.
 */
uint32_t member_choose(const struct membership *m, uint64_t key,
    const struct member_choice *choice, struct member_info *out, uint32_t max);

#endif
