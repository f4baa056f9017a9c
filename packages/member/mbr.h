/*
 * mbr - which processes of the daemon are members and which of them are alive.
 *
 * Each period every member raises its own heartbeat counter and sends gossip to
 * a few random members. A member whose counter does not advance is asked
 * directly; without an answer it becomes suspect and later dead. It refutes
 * this by raising its counter. The size of a message does not depend on the
 * number of members; instead the time until a member is asked grows with it.
 * Above about 500 members it grows linearly: counters then arrive so rarely
 * that
 * asking earlier would cost more messages than the gossip itself.
 *
 * Majority. A majority is taken of the *base*, which is the larger of the own
 * base and those that peers reported lately. The own base counts addresses:
 * those on the platform's VM list and those of known members. A dead member
 * stays in the base. It leaves the base only when it left gracefully and
 * leave_hold_ms have passed (so that all connected members have heard of it),
 * when another process has taken its address, or when it has been dead and
 * absent from the VM list for drop_ms by reads of that list. A partitioned
 * minority that reads no VM list therefore keeps the base of the whole fleet,
 * for any length of time. The base is unknown until a VM list was read or a
 * member that knows its base was heard. After a pause it is unknown again until
 * a VM list was read or a member shows that it has heard of us since.
 *
 *	struct mbr m;
 *	struct mbr_out out = {0};
 *	mbr_init(&m, &(struct mbr_desc){.self = id, .zone = z, .addr = a});
 *	mbr_on_vm_list(&m, addrs, n, true, now_ms, &out);
 *	mbr_tick(&m, now_ms, &out);
 *	mbr_on_gossip(&m, &from, &msg, now_ms, &out);
 *	for (i = 0; i < out.n; i++) carry_out(&out.e[i]);
 *	mbr_out_clear(&out);
 *	mbr_finish(&m);
 */
#ifndef MEMBER_MBR_H
#define MEMBER_MBR_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "base/vm_id.h"

#define MBR_MAX_MEMBERS 1024
#define MBR_MAX_ENTRIES 24
#define MBR_FANOUT 3
#define MBR_TEXT_MAX 31
/* Members and listed addresses that are not known as members. */
#define MBR_MAX_BASE (2 * MBR_MAX_MEMBERS)
/* Larger counters are refused, so that a counter can always be raised. */
#define MBR_MAX_HEARTBEAT (UINT64_MAX / 4)

/** struct mbr_text - short text as a plain value: a zone or an address */
struct mbr_text {
	uint8_t n;
	char s[MBR_TEXT_MAX];
};

/** enum mbr_state - states in which queries and events show a member */
enum mbr_state {
	MBR_ALIVE,
	MBR_LEAVING,
	MBR_SUSPECT,
	MBR_DEAD,
};

/** enum mbr_health - opinion about a member at one value of its counter */
enum mbr_health {
	MBR_HEALTH_ALIVE,
	MBR_HEALTH_SUSPECT,
	MBR_HEALTH_DEAD,
};

/** struct mbr_entry - a member in a message */
struct mbr_entry {
	struct vm_id id;
	struct mbr_text zone;
	struct mbr_text addr;
	uint64_t heartbeat;
	enum mbr_health health;
	bool leaving;
};

/**
 * struct mbr_msg - gossip
 * @base: own base of the sender, 0 when unknown
 * @ask: the receiver answers at once with its own entry
 * @n: entries in use; the first one is the sender
 */
struct mbr_msg {
	uint32_t base;
	bool ask;
	uint32_t n;
	struct mbr_entry entries[MBR_MAX_ENTRIES];
};

/** enum mbr_kind - effects */
enum mbr_kind {
	MBR_SEND,      /* send @msg to @id, or to @addr when @id is none */
	MBR_JOINED,    /* @id is new, or alive again after it was dead */
	MBR_LEFT,      /* @id leaves gracefully */
	MBR_SUSPECTED, /* @id may have failed */
	MBR_REFUTED,   /* @id is alive after it was suspect */
	MBR_DIED,      /* @id failed */
	MBR_PAUSED,    /* this process stood still for @gap_ms */
};

/** struct mbr_effect - what the caller has to carry out */
struct mbr_effect {
	enum mbr_kind kind;
	struct vm_id id;
	struct mbr_text addr;
	int64_t gap_ms;
	struct mbr_msg msg;
};

/** struct mbr_out - list of effects; all zero is empty */
struct mbr_out {
	struct mbr_effect *e;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct mbr_desc - settings; zero fields mean the default
 * @self: own identity
 * @zone: own availability zone
 * @addr: own peer address
 * @seed: of the random choices
 * @period_ms: between gossip rounds, default 250
 * @quiet_ms: without an advance of the counter until the member is asked, at up
 * to 24 members; default 1,000
 * @ask_ms: from asking until suspect, default 400
 * @dead_ms: from suspect to dead, at up to 24 members; default 1,000
 * @leave_hold_ms: default 3,000
 * @drop_ms: default 30,000
 * @pause_ms: gap between two events that counts as a pause, default 1,000
 */
struct mbr_desc {
	struct vm_id self;
	struct mbr_text zone;
	struct mbr_text addr;
	uint64_t seed;
	int32_t period_ms;
	int32_t quiet_ms;
	int32_t ask_ms;
	int32_t dead_ms;
	int32_t leave_hold_ms;
	int32_t drop_ms;
	int32_t pause_ms;
};

/** struct mbr_info - a member as queries show it */
struct mbr_info {
	struct vm_id id;
	struct mbr_text zone;
	struct mbr_text addr;
	enum mbr_state state;
};

/**
 * struct member_record - private: a known process
 * @e: last accepted opinion
 * @advanced_ms: when its counter advanced
 * @asked_ms: when it was asked after @advanced_ms, 0 when not
 * @suspect_ms: when it became suspect
 * @leaving_ms: when its leaving was heard
 * @unlisted_ms: first VM list read that did not show it, 0 when shown
 * @changed: order of the last change of state
 * @sends_left: messages that still report this change first
 * @replaced: another process has its address
 * @dropped: dead and not in the base
 * @old: not heard of since the last pause, so not passed on
 */
struct member_record {
	struct mbr_entry e;
	int64_t advanced_ms;
	int64_t asked_ms;
	int64_t suspect_ms;
	int64_t leaving_ms;
	int64_t unlisted_ms;
	int64_t dead_ms;
	uint64_t changed;
	uint32_t sends_left;
	bool replaced;
	bool dropped;
	bool old;
};

/** struct mbr_seed - private: an address from the VM list or the settings */
struct mbr_seed {
	struct mbr_text addr;
	bool listed; /* on the VM list, so part of the base */
	bool known;  /* a member has this address */
};

/** struct mbr - membership view; fields are private */
struct mbr {
	struct mbr_desc desc;
	struct random rng;
	struct member_record *members; /* sorted by vmid, includes self */
	uint32_t n;
	struct mbr_seed *seeds;
	uint32_t n_seeds;
	uint32_t cursor;
	uint64_t changes;
	int64_t last_ms;
	int64_t next_ms;
	bool started;
	bool base_known;
	uint64_t echo; /* own counter that must be heard back after a pause */
	uint32_t heard_base[2]; /* current and previous interval */
	int64_t heard_ms;
	uint32_t pauses;
};

/** mbr_text() - value of @s; text above MBR_TEXT_MAX gives an empty one */
struct mbr_text mbr_text(struct bstr s);

/** mbr_str() - view of the text, valid as long as @t */
struct bstr mbr_str(const struct mbr_text *t);

/** mbr_out_clear() - empty the list and free what the effects hold */
void mbr_out_clear(struct mbr_out *out);

/** mbr_init() - a member that knows only itself */
void mbr_init(struct mbr *m, const struct mbr_desc *desc);

/** mbr_finish() - free */
void mbr_finish(struct mbr *m);

/** mbr_tick() - gossip and timeouts */
void mbr_tick(struct mbr *m, int64_t now_ms, struct mbr_out *out);

/**
 * mbr_on_vm_list() - peer addresses of other VMs
 * @addrs: addresses, own one allowed
 * @n: at most MBR_MAX_MEMBERS are used
 * @current: from the platform's VM list by a read that was sent after the last
 * pause; false for addresses from
 * the settings, which are contacted but are not part of the base
 */
void mbr_on_vm_list(struct mbr *m, const struct mbr_text *addrs, uint32_t n,
    bool current, int64_t now_ms, struct mbr_out *out);

/** mbr_on_gossip() - message of process @from */
void mbr_on_gossip(struct mbr *m, const struct vm_id *from,
    const struct mbr_msg *msg, int64_t now_ms, struct mbr_out *out);

/** mbr_leave() - begin a graceful leave; keep ticking while draining */
void mbr_leave(struct mbr *m, int64_t now_ms, struct mbr_out *out);

/** mbr_pauses() - number of pauses of this process seen so far */
uint32_t mbr_pauses(const struct mbr *m);

/** mbr_state() - state of a process; MBR_DEAD when unknown */
enum mbr_state mbr_state(const struct mbr *m, const struct vm_id *id);

/**
 * mbr_live() - members that can take part: alive or suspect, not leaving
 * @zone: only this availability zone, empty for all
 * @out: receives them in the order of their vmid, self included
 * @max: room in @out
 *
 * Return: number written.
 */
uint32_t mbr_live(
    const struct mbr *m, struct bstr zone, struct mbr_info *out, uint32_t max);

/**
 * mbr_all() - every known member in the order of the vmid, dead ones included
 * @out: receives them
 * @max: room in @out
 *
 * Members that another process has replaced, that left gracefully and are gone,
 * or that left the base are omitted.
 *
 * Return: number written.
 */
uint32_t mbr_all(const struct mbr *m, struct mbr_info *out, uint32_t max);

/** mbr_base() - members of which a majority is taken; 0 when unknown */
uint32_t mbr_base(const struct mbr *m);

/** mbr_majority() - smallest majority of the base; 0 when unknown */
uint32_t mbr_majority(const struct mbr *m);

/**
 * struct mbr_choice - constraints of mbr_choose()
 * @zone: only this availability zone, empty for all
 * @avoid_zones: availability zones that are not used
 * @avoid: processes that are not used
 */
struct mbr_choice {
	struct bstr zone;
	const struct mbr_text *avoid_zones;
	uint32_t n_avoid_zones;
	const struct vm_id *avoid;
	uint32_t n_avoid;
};

/**
 * mbr_choose() - rendezvous choice for @key among the live members
 *
 * Return: number of members written to @out, best first, at most @max.
 */
uint32_t mbr_choose(const struct mbr *m, uint64_t key,
    const struct mbr_choice *choice, struct mbr_info *out, uint32_t max);

#endif
