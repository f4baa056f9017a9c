/*
 * membership - which processes of the daemon are members and which of them are
 * alive.
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
 *	struct membership m;
 *	struct member_out out = {0};
 *	member_init(&m, &(struct member_desc){.self = id, .zone = z, .addr =
 *	    a});
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
#define MEMBER_MAX_ENTRIES 24
#define MEMBER_FANOUT 3
#define MEMBER_TEXT_MAX 31
/* Members and listed addresses that are not known as members. */
#define MEMBER_MAX_BASE (2 * MEMBER_MAX_MEMBERS)
/* Larger counters are refused, so that a counter can always be raised. */
#define MEMBER_MAX_HEARTBEAT (UINT64_MAX / 4)

/** struct member_text - short text as a plain value: a zone or an address */
struct member_text {
	uint8_t n;
	char s[MEMBER_TEXT_MAX];
};

/** enum member_state - states in which queries and events show a member */
enum member_state {
	MEMBER_ALIVE,
	MEMBER_LEAVING,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
};

/** enum member_health - opinion about a member at one value of its counter */
enum member_health {
	MEMBER_HEALTH_ALIVE,
	MEMBER_HEALTH_SUSPECT,
	MEMBER_HEALTH_DEAD,
};

/** struct member_entry - a member in a message */
struct member_entry {
	struct vm_id id;
	struct member_text zone;
	struct member_text addr;
	uint64_t heartbeat;
	enum member_health health;
	bool leaving;
};

/**
 * struct member_msg - gossip
 * @base: own base of the sender, 0 when unknown
 * @ask: the receiver answers at once with its own entry
 * @n: entries in use; the first one is the sender
 */
struct member_msg {
	uint32_t base;
	bool ask;
	uint32_t n;
	struct member_entry entries[MEMBER_MAX_ENTRIES];
};

/** enum member_kind - effects */
enum member_kind {
	MEMBER_SEND,      /* send @msg to @id, or to @addr when @id is none */
	MEMBER_JOINED,    /* @id is new, or alive again after it was dead */
	MEMBER_LEFT,      /* @id leaves gracefully */
	MEMBER_SUSPECTED, /* @id may have failed */
	MEMBER_REFUTED,   /* @id is alive after it was suspect */
	MEMBER_DIED,      /* @id failed */
	MEMBER_PAUSED,    /* this process stood still for @gap_ms */
};

/** struct member_effect - what the caller has to carry out */
struct member_effect {
	enum member_kind kind;
	struct vm_id id;
	struct member_text addr;
	int64_t gap_ms;
	struct member_msg msg;
};

/** struct member_out - list of effects; all zero is empty */
struct member_out {
	struct member_effect *e;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct member_desc - settings; zero fields mean the default
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
struct member_desc {
	struct vm_id self;
	struct member_text zone;
	struct member_text addr;
	uint64_t seed;
	int32_t period_ms;
	int32_t quiet_ms;
	int32_t ask_ms;
	int32_t dead_ms;
	int32_t leave_hold_ms;
	int32_t drop_ms;
	int32_t pause_ms;
};

/** struct member_info - a member as queries show it */
struct member_info {
	struct vm_id id;
	struct member_text zone;
	struct member_text addr;
	enum member_state state;
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
	struct member_entry e;
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

/** struct member_seed - private: an address from the VM list or the settings */
struct member_seed {
	struct member_text addr;
	bool listed; /* on the VM list, so part of the base */
	bool known;  /* a member has this address */
};

/** struct membership - membership view; fields are private */
struct membership {
	struct member_desc desc;
	struct random rng;
	struct member_record *members; /* sorted by vmid, includes self */
	uint32_t n;
	struct member_seed *seeds;
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

/**
 * member_text() - value of @s; text above MEMBER_TEXT_MAX gives an empty one
 */
struct member_text member_text(struct bstr s);

/** member_str() - view of the text, valid as long as @t */
struct bstr member_str(const struct member_text *t);

/** member_out_clear() - empty the list and free what the effects hold */
void member_out_clear(struct member_out *out);

/** member_init() - a member that knows only itself */
void member_init(struct membership *m, const struct member_desc *desc);

/** member_finish() - free */
void member_finish(struct membership *m);

/** member_tick() - gossip and timeouts */
void member_tick(struct membership *m, int64_t now_ms, struct member_out *out);

/**
 * member_on_vm_list() - peer addresses of other VMs
 * @addrs: addresses, own one allowed
 * @n: at most MEMBER_MAX_MEMBERS are used
 * @current: from the platform's VM list by a read that was sent after the last
 * pause; false for addresses from
 * the settings, which are contacted but are not part of the base
 */
void member_on_vm_list(struct membership *m, const struct member_text *addrs,
    uint32_t n, bool current, int64_t now_ms, struct member_out *out);

/** member_on_gossip() - message of process @from */
void member_on_gossip(struct membership *m, const struct vm_id *from,
    const struct member_msg *msg, int64_t now_ms, struct member_out *out);

/** member_leave() - begin a graceful leave; keep ticking while draining */
void member_leave(struct membership *m, int64_t now_ms, struct member_out *out);

/** member_pauses() - number of pauses of this process seen so far */
uint32_t member_pauses(const struct membership *m);

/** member_state() - state of a process; MEMBER_DEAD when unknown */
enum member_state member_state(
    const struct membership *m, const struct vm_id *id);

/**
 * member_live() - members that can take part: alive or suspect, not leaving
 * @zone: only this availability zone, empty for all
 * @out: receives them in the order of their vmid, self included
 * @max: room in @out
 *
 * Return: number written.
 */
uint32_t member_live(const struct membership *m, struct bstr zone,
    struct member_info *out, uint32_t max);

/**
 * member_all() - every known member in the order of the vmid, dead ones
 * included
 * @out: receives them
 * @max: room in @out
 *
 * Members that another process has replaced, that left gracefully and are gone,
 * or that left the base are omitted.
 *
 * Return: number written.
 */
uint32_t member_all(
    const struct membership *m, struct member_info *out, uint32_t max);

/** member_base() - members of which a majority is taken; 0 when unknown */
uint32_t member_base(const struct membership *m);

/** member_majority() - smallest majority of the base; 0 when unknown */
uint32_t member_majority(const struct membership *m);

/**
 * struct member_choice - constraints of member_choose()
 * @zone: only this availability zone, empty for all
 * @avoid_zones: availability zones that are not used
 * @avoid: processes that are not used
 */
struct member_choice {
	struct bstr zone;
	const struct member_text *avoid_zones;
	uint32_t n_avoid_zones;
	const struct vm_id *avoid;
	uint32_t n_avoid;
};

/**
 * member_choose() - rendezvous choice for @key among the live members
 *
 * Return: number of members written to @out, best first, at most @max.
 */
uint32_t member_choose(const struct membership *m, uint64_t key,
    const struct member_choice *choice, struct member_info *out, uint32_t max);

#endif
