/*
 * cold - cold-start permits.
 *
 * A cold upstream bears a limited number of concurrent requests of the whole
 * fleet. The limit starts at 1 and reaches the upstream's slots after the ramp
 * time, and never exceeds 1 plus the successes seen; then the upstream is
 * ready. The owner of the upstream's partition grants parts of the limit to
 * processes while it holds the lease. A process may start a call only while its
 * calls in flight are fewer than its permits and the permits have not ended.
 *
 * A request for permits tells the calls in flight and the permits still held,
 * and the process ignores answers to earlier requests. The owner counts for
 * each process the largest of these two and the grant. It counts a process that
 * does not renew until its permits and the longest call have ended.
 *
 * A new owner grants nothing before the permits of the old one have ended, and
 * then only when all members have reported, or after the longest call. The same
 * holds, for live members, when a ramp starts again. A report counts only when
 * it echoes the nonce of the owner's query, so a delayed one cannot hide later
 * permits. When a ramp starts again, permits of the one before end by
 * themselves, and the new ones are granted from what they leave. The members
 * must include every process that has had permits and may still be running.
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
#define COLD_PERMIT_MS 1000
/* Covers clocks that differ in rate by 10% over one permit. */
#define COLD_DRIFT_MARGIN_MS 100
#define COLD_UNLIMITED UINT32_MAX

/**
 * struct cold_lease - ownership of a partition, from partition
 * @partition: index
 * @owner: owner by the newest known table
 * @epoch: its epoch
 * @act_from_ms: partition_act_from(); a change means that another process may
 *	have acted in between
 * @act_until_ms: end of the own lease, 0 when it is not held
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
 * @demand: calls it would like to have in flight, including these
 * @successes: calls that succeeded since the last report
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
	COLD_MSG_QUERY = 4, /* state that asks for a request in answer */
};

/**
 * struct cold_msg - one message; fields that a type does not use are zero
 * @type: kind
 * @upstream: id, at most COLD_ID_MAX bytes
 * @seq: number of the request, unique within its sender
 * @use: request: use by the sender
 * @hold: request: permits that the sender still holds
 * @saw_cold: request: a response said cold, which is not of the ramp of that
 *	state
 * @count: grant: permits, valid from when the request was sent
 * @limit: grant: limit of the whole fleet
 * @cold: state known to the sender
 * @epoch: epoch of the owner that set the state
 * @gen: orders states of one epoch
 * @nonce: query: number of the query; request: the last one seen
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

/** enum cold_effect_type - what the caller carries out */
enum cold_effect_type {
	COLD_SEND,      /* send msg to a process */
	COLD_BROADCAST, /* send msg to all members but this one */
	COLD_PERMITS,   /* workers: count permits until until_ms */
	COLD_STATE,     /* routing table: the upstream is cold or ready */
};

/**
 * struct cold_effect - one effect
 * @type: kind
 * @to: receiver
 * @msg: message; its upstream is valid as long as the upstream is known
 * @upstream: of permits or state
 * @count: permits
 * @until_ms: local time at which the permits end; a worker checks it before it
 *	starts a call
 * @cold: state
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
 * @seed: start of the sequence of nonces
 * @ramp_ms: time from the limit 1 to all slots, default 10,000
 * @max_call_ms: longest call, default 30,000
 * @renew_ms: time between two requests for permits, default 400
 */
struct cold_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t ramp_ms;
	int64_t max_call_ms;
	int64_t renew_ms;
};

struct cold_up;

/** struct cold_start - state on caller-owned memory */
struct cold_start {
	struct cold_desc desc;
	struct cold_lease lease[COLD_PARTITIONS];
	struct cold_member *members;
	uint32_t n_members;
	struct cold_up **up;
	uint32_t n_up;
	uint64_t seq;
	struct random rng;
};

/** cold_init() - no upstreams, no leases */
void cold_init(struct cold_start *c, const struct cold_desc *desc);

/** cold_finish() - free */
void cold_finish(struct cold_start *c);

/** cold_out_clear() - empty the list */
void cold_out_clear(struct cold_out *out);

/** cold_out_finish() - free the list */
void cold_out_finish(struct cold_out *out);

/**
 * cold_add() - an upstream of the configuration, ready until reported otherwise
 * @slots: 1 to COLD_MAX_SLOTS
 * @partition: partition of the upstream id
 *
 * Return: false when the id is too long, a number is out of range or there are
 * too many. A known upstream gets the new number of slots.
 */
bool cold_add(
    struct cold_start *c, struct bstr id, uint32_t slots, uint32_t partition);

/** cold_remove() - the upstream left the configuration */
void cold_remove(struct cold_start *c, struct bstr id);

/** cold_on_members() - all members, also those that are not alive; copied */
void cold_on_members(
    struct cold_start *c, const struct cold_member *m, uint32_t n);

/** cold_on_lease() - state of a partition, to be repeated in each tick */
void cold_on_lease(struct cold_start *c, const struct cold_lease *lease,
    int64_t now_ms, struct cold_out *out);

/**
 * cold_on_state() - a response or a probe showed the state of the upstream
 *
 * "cold" takes effect here at once and is reported to the owner; "ready" does
 * not end a ramp, but the next "cold" after it starts the ramp again. A caller
 * may also pass a sudden rise of the latency as cold.
 */
void cold_on_state(struct cold_start *c, struct bstr id, bool cold,
    int64_t now_ms, struct cold_out *out);

/** cold_on_use() - current use, to be called before each tick */
void cold_on_use(struct cold_start *c, struct bstr id,
    const struct cold_use *use, int64_t now_ms);

/** cold_tick() - requests for permits, ends of ramps */
void cold_tick(struct cold_start *c, int64_t now_ms, struct cold_out *out);

/** cold_on_msg() - message from another process */
void cold_on_msg(struct cold_start *c, const struct vm_id *from,
    const struct cold_msg *m, int64_t now_ms, struct cold_out *out);

/** cold_permits() - calls allowed in flight now, COLD_UNLIMITED when ready */
uint32_t cold_permits(
    const struct cold_start *c, struct bstr id, int64_t now_ms);

/** cold_limit() - limit that this process grants from, 0 when it does not */
uint32_t cold_limit(const struct cold_start *c, struct bstr id, int64_t now_ms);

#endif
