/*
 * cold_start - cold-start permits (prefix cold_).
 *
 * A cold upstream can serve only a limited number of concurrent requests of the
 * whole fleet. The limit starts at 1 and rises to the number of slots of the
 * upstream during the ramp time, but never exceeds 1 plus the number of
 * successful calls reported. When the ramp time has passed and the limit has
 * reached the number of slots, the upstream is ready.
 * The owner of the upstream's partition divides the limit among the processes
 * as permits while it holds the lease. A process may start a call only while it
 * has fewer calls in flight than permits and its permits have not expired.
 *
 * A request for permits reports the calls in flight and the permits still held.
 * The process ignores answers to earlier requests. For each process the owner
 * counts the largest of these two values and the grant. If a process does not
 * renew, the owner counts it until its permits have expired and the longest
 * call has ended.
 *
 * A new owner grants nothing before the permits of the previous owner have
 * expired. After that it waits until all members have reported or the longest
 * call has ended. When a ramp restarts, the owner waits for the live members in
 * the same way, and for the other members only if earlier permits or calls may
 * still be in use. A report counts only when it echoes the nonce of the owner's
 * query, so that a delayed report cannot hide later permits. Permits of the
 * previous ramp expire on their own after a restart; until then new permits are
 * granted only from the part of the limit that they leave free. The member list
 * must include every process that has had permits and may still be running.
 *
 * Functions that allocate abort the process when memory runs out.
 *
 *	struct cold_start c;
 *	cold_init(&c, &(struct cold_desc){.self = id});
 *	cold_add(&c, BSTR("up1"), 6, partition);
 *	cold_on_lease(&c, &lease, now_ms, &out);    (each partition, each tick)
 *	cold_on_state(&c, BSTR("up1"), true, now_ms, &out);
 *	cold_on_use(&c, BSTR("up1"), &use, now_ms);
 *	cold_tick(&c, now_ms, &out);
 *	n = cold_permits(&c, BSTR("up1"), now_ms);
 *	cold_finish(&c);
 */
#ifndef ROUTE_COLD_START_H
#define ROUTE_COLD_START_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "base/vm_id.h"

#define COLD_MAX_UPSTREAMS 8192
#define COLD_MAX_MEMBERS 1024
#define COLD_PARTITIONS 64
#define COLD_ID_MAX 127
#define COLD_MAX_SLOTS 65535
/* Lifetime of a permit, from the time its request was sent. */
#define COLD_PERMIT_MS 1000
/* Covers clock rates that differ by 10% over the lifetime of one permit. */
#define COLD_DRIFT_MARGIN_MS 100
/* Result of cold_permits() for an upstream that needs no permits. */
#define COLD_UNLIMITED UINT32_MAX

/**
 * struct cold_lease - ownership of a partition, as module partition reports it
 * @partition: index
 * @owner: owner according to the newest known partition table
 * @epoch: epoch of that table entry
 * @act_from_ms: partition_act_from(); a change means that another process may
 *	have acted as the owner in between
 * @act_until_ms: end of this process's lease, 0 when it holds none
 */
struct cold_lease {
	uint32_t partition;
	struct vm_id owner;
	uint64_t epoch;
	int64_t act_from_ms;
	int64_t act_until_ms;
};

/** struct cold_member - member of the fleet */
struct cold_member {
	struct vm_id id;
	bool alive;
};

/**
 * struct cold_use - use of an upstream by this process
 * @in_flight: calls in flight now
 * @demand: calls that the process wants in flight, including @in_flight
 * @successes: calls that succeeded since the last cold_on_use(); in a message,
 *	since the last request
 */
struct cold_use {
	uint32_t in_flight;
	uint32_t demand;
	uint32_t successes;
};

/** enum cold_msg_type - messages between processes */
enum cold_msg_type {
	COLD_MSG_REQUEST = 1,
	COLD_MSG_GRANT = 2,
	COLD_MSG_STATE = 3,
	COLD_MSG_QUERY = 4, /* like STATE, but answered with a request */
};

/**
 * struct cold_msg - one message; fields that a type does not use are zero
 * @type: message type
 * @upstream: id, at most COLD_ID_MAX bytes
 * @seq: number of the request, unique within its sender
 * @use: request: use by the sender
 * @hold: request: permits that the sender still holds
 * @saw_cold: request: a response reported a cold start that does not belong to
 *	the ramp identified by @epoch and @gen
 * @count: grant: permits, valid from the time the request was sent
 * @limit: grant: limit of the whole fleet
 * @cold: state known to the sender
 * @epoch: epoch of the owner that set the state
 * @gen: generation; orders the states of one epoch
 * @nonce: query: nonce of the query; request: nonce of the last query received
 */
struct cold_msg {
	enum cold_msg_type type;
	struct bstr upstream;
	uint64_t seq;
	struct cold_use use;
	uint32_t hold;
	bool saw_cold;
	uint32_t count;
	uint32_t limit;
	bool cold;
	uint64_t epoch;
	uint64_t gen;
	uint64_t nonce;
};

/** enum cold_effect_type - action that the user of this module carries out */
enum cold_effect_type {
	COLD_SEND,      /* send msg to a process */
	COLD_BROADCAST, /* send msg to all members but this one */
	COLD_PERMITS,   /* give workers @count permits until @until_ms */
	COLD_STATE,     /* set the upstream cold or ready in the table */
};

/**
 * struct cold_effect - one effect
 * @type: effect type
 * @to: receiver of a COLD_SEND
 * @msg: message; its upstream id is valid until the upstream is removed
 * @upstream: upstream that the permits or the state belong to
 * @count: number of permits
 * @until_ms: local time at which the permits expire; a worker checks it before
 *	it starts a call
 * @cold: new state
 */
struct cold_effect {
	enum cold_effect_type type;
	struct vm_id to;
	struct cold_msg msg;
	struct bstr upstream;
	uint32_t count;
	int64_t until_ms;
	bool cold;
};

/** struct cold_out - growable list of effects; all zero is empty */
struct cold_out {
	struct cold_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct cold_desc - settings; zero fields mean the default
 * @self: this process
 * @seed: seed of the nonces
 * @ramp_ms: time in which the limit rises from 1 to all slots, default 10,000
 * @max_call_ms: duration of the longest call, default 30,000
 * @renew_ms: time between two requests for permits, default 400
 */
struct cold_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t ramp_ms;
	int64_t max_call_ms;
	int64_t renew_ms;
};

struct cold_upstream;

/**
 * struct cold_start - state on caller-owned memory
 * @desc: settings with the defaults filled in
 * @lease: last known lease of each partition
 * @members: all members, alive or not
 * @n_members: number of members
 * @up: upstreams, sorted by id
 * @n_upstreams: number of upstreams
 * @seq: number of the last request for permits that this process sent
 * @rng: random numbers for the nonces
 */
struct cold_start {
	struct cold_desc desc;
	struct cold_lease lease[COLD_PARTITIONS];
	struct cold_member *members;
	uint32_t n_members;
	struct cold_upstream **up;
	uint32_t n_upstreams;
	uint64_t seq;
	struct random rng;
};

/** cold_init() - start without upstreams and leases */
void cold_init(struct cold_start *c, const struct cold_desc *desc);

/** cold_finish() - free the memory that @c owns, not @c itself */
void cold_finish(struct cold_start *c);

/** cold_out_clear() - empty the list */
void cold_out_clear(struct cold_out *out);

/** cold_out_finish() - free the list */
void cold_out_finish(struct cold_out *out);

/**
 * cold_add() - add a configured upstream; it is ready until reported cold
 * @slots: 1 to COLD_MAX_SLOTS
 * @partition: partition of the upstream id
 *
 * If the upstream is known already, only its number of slots changes.
 *
 * Return: false when the id is empty or too long, a number is out of range or
 * there are COLD_MAX_UPSTREAMS already.
 */
bool cold_add(
    struct cold_start *c, struct bstr id, uint32_t slots, uint32_t partition);

/** cold_remove() - remove an upstream that is no longer configured */
void cold_remove(struct cold_start *c, struct bstr id);

/**
 * cold_on_members() - set all members, alive or not
 * @m: members; copied
 * @n: number of members; those above COLD_MAX_MEMBERS are ignored
 */
void cold_on_members(
    struct cold_start *c, const struct cold_member *m, uint32_t n);

/** cold_on_lease() - set the lease of a partition; call it in each tick */
void cold_on_lease(struct cold_start *c, const struct cold_lease *lease,
    int64_t now_ms, struct cold_out *out);

/**
 * cold_on_state() - a response or a probe reported the state of the upstream
 *
 * A cold state takes effect in this process at once and is reported to the
 * owner. A ready state does not end a ramp, but the next cold state after it
 * restarts the ramp. A sudden rise in latency may also be passed as cold.
 */
void cold_on_state(struct cold_start *c, struct bstr id, bool cold,
    int64_t now_ms, struct cold_out *out);

/** cold_on_use() - set the current use; call it before each tick */
void cold_on_use(struct cold_start *c, struct bstr id,
    const struct cold_use *use, int64_t now_ms);

/** cold_tick() - request permits when due, and end completed ramps */
void cold_tick(struct cold_start *c, int64_t now_ms, struct cold_out *out);

/** cold_on_msg() - handle a message from another process */
void cold_on_msg(struct cold_start *c, const struct vm_id *from,
    const struct cold_msg *m, int64_t now_ms, struct cold_out *out);

/**
 * cold_permits() - calls that may be in flight now
 *
 * Return: COLD_UNLIMITED when the upstream is ready, 0 when it is not known.
 */
uint32_t cold_permits(
    const struct cold_start *c, struct bstr id, int64_t now_ms);

/**
 * cold_limit() - limit of the fleet that this process grants permits from
 *
 * Return: 0 when this process does not hold the lease, or the upstream is ready
 * or not known.
 */
uint32_t cold_limit(const struct cold_start *c, struct bstr id, int64_t now_ms);

#endif
