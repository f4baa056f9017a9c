/*
 * freshness - tracks how recent the configuration on this process is (prefix
 * fresh_).
 *
 * The module maintains fresh_as_of, a time in ms on the local boot-time clock
 * (as are all times here): every change that was accepted before it is applied
 * here. It advances
 *  - on a store read, to the time the read was sent;
 *  - on a peer's answer to a pull, to the time the pull was sent minus the age
 *    that the peer reported; ages add up along a chain of relays;
 *  - on answers from a majority of the members (self included), to the time
 *    their pulls were sent. A majority holds each accepted change, so at least
 *    one of the answers includes it.
 * In the last two cases fresh_as_of advances only once everything that the
 * answering peers held is applied here. All times are local send times, so that
 * a pause, a late answer or a duplicate can only make the result older.
 *
 * A restarted process has lost the changes that its predecessor acknowledged.
 * It therefore counts in a majority only once it is settled: fresh_as_of is at
 * least settle_ms after its start. Code that counts the acknowledgements of a
 * change must not count any that are older than settle_ms.
 *
 * Two members in each availability zone are watchers: they hold a store watch,
 * and pull from a majority while they cannot reach the store. All other members
 * pull from the watchers.
 *
 *	struct freshness f;
 *	struct fresh_out out = {0};
 *	fresh_init(&f, &(struct fresh_desc){.self = id, .zone = z});
 *	fresh_on_members(&f, live, n, member_majority(&m), now_ms, &out);
 *	fresh_tick(&f, now_ms, &out);
 *	fresh_on_message(&f, &from, &msg, now_ms, &out);
 *	fresh_on_applied(&f, &from, &fetched, &held, now_ms, &out);
 *	if (now_ms <= fresh_until_ms(&f)) route();
 *	fresh_out_clear(&out);
 *	fresh_finish(&f);
 */
#ifndef MEMBER_FRESHNESS_H
#define MEMBER_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/vm_id.h"
#include "member/membership.h"

/* Value of fresh_as_of before the process is fresh for the first time. */
#define FRESH_NEVER INT64_MIN
/* Age that a process reports while it is not fresh. */
#define FRESH_STALE (-1)
#define FRESH_MAX_WATCHERS 64
#define FRESH_MAX_CANDIDATES 64
#define FRESH_MAX_ROUNDS 8

/**
 * struct fresh_digest - summary of the configuration objects a process holds
 * @highest: highest version
 * @set: hash of the keys and versions of all objects, 0 when there are none.
 *	Equal digests must imply equal sets of objects; @highest alone does not
 *	reveal a missing object with a lower version.
 */
struct fresh_digest {
	uint64_t highest;
	uint64_t set;
};

/** enum fresh_msg_kind - kinds of messages between processes */
enum fresh_msg_kind {
	FRESH_PULL,
	FRESH_ANSWER,
};

/**
 * struct fresh_msg - pull or answer
 * @token: chosen by the sender of the pull, repeated in the answer
 * @age_ms: answer only: current time minus fresh_as_of of the sender, or
 *	FRESH_STALE
 * @digest: digest of the objects that the sender holds
 * @settled: answer only: the sender counts in a majority
 */
struct fresh_msg {
	enum fresh_msg_kind kind;
	uint64_t token;
	int64_t age_ms;
	struct fresh_digest digest;
	bool settled;
};

/** enum fresh_effect_kind - kinds of effects */
enum fresh_effect_kind {
	FRESH_SEND,  /* send @msg to @to */
	FRESH_STORE, /* read the store; wait up to @wait_ms for a change */
	FRESH_FETCH, /* fetch all objects of @to, at least those in @digest */
};

/** struct fresh_effect - action that the calling code must carry out */
struct fresh_effect {
	enum fresh_effect_kind kind;
	struct vm_id to;
	struct fresh_msg msg;
	struct fresh_digest digest;
	int32_t wait_ms;
};

/** struct fresh_out - list of effects; a zeroed struct is an empty list */
struct fresh_out {
	struct fresh_effect *e;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct fresh_desc - configuration; a zero field selects its default
 * @self: own identity
 * @zone: own availability zone
 * @seed: seed of the random number generator
 * @max_age_ms: a process is fresh until this long after fresh_as_of, default
 *	3,000
 * @pull_interval_ms: interval between pulls, default 250
 * @watch_wait_ms: how long a store watch waits for a change, default 500
 * @store_retry_ms: mean delay after a failed store read, default 250
 * @store_down_ms: time without a successful store read until a watcher pulls
 *	from a majority, default 1,000
 * @round_interval_ms: interval between pulls from a majority, default 500
 * @answer_timeout_ms: later answers to a pull are ignored, default 3,000
 * @settle_ms: time after the start as of which a process must be fresh to count
 *	in a majority, default 3,000
 */
struct fresh_desc {
	struct vm_id self;
	struct member_text zone;
	uint64_t seed;
	int32_t max_age_ms;
	int32_t pull_interval_ms;
	int32_t watch_wait_ms;
	int32_t store_retry_ms;
	int32_t store_down_ms;
	int32_t round_interval_ms;
	int32_t answer_timeout_ms;
	int32_t settle_ms;
};

/** struct fresh_pull - private: a pull that was sent */
struct fresh_pull {
	uint64_t token;
	struct vm_id to;
	int64_t sent_ms;
	uint64_t round; /* 0 when it is not part of a round */
	bool answered;
};

/**
 * struct fresh_candidate - private: an answer whose objects are not all applied
 * here yet
 */
struct fresh_candidate {
	struct vm_id from;
	struct fresh_digest digest;
	int64_t sent_ms;
	int64_t as_of;    /* FRESH_NEVER when it only counts in its round */
	int64_t fetch_ms; /* start of its fetch, far in the past when none */
	uint64_t round;
};

/** struct fresh_round - private: one series of pulls from all members */
struct fresh_round {
	uint64_t id;
	int64_t sent_ms;
	uint32_t agreed; /* members whose objects are all applied here */
};

/** struct freshness - state of the module; fields are private */
struct freshness {
	struct fresh_desc desc;
	struct random rng;
	bool started;
	bool settled;
	int64_t start_ms;
	int64_t fresh_as_of;
	struct fresh_digest held;
	struct member_info *members;
	uint32_t n_members;
	uint32_t majority;
	struct member_info watchers[FRESH_MAX_WATCHERS];
	uint32_t n_watchers;
	bool watching;
	bool store_busy;
	bool store_failed;
	int64_t store_next_ms;
	int64_t store_ok_ms;
	int64_t pull_next_ms;
	int64_t round_next_ms;
	uint64_t last_token;
	struct fresh_pull *pulls;
	uint32_t n_pulls;
	struct fresh_candidate candidates[FRESH_MAX_CANDIDATES];
	uint32_t n_candidates;
	struct fresh_round rounds[FRESH_MAX_ROUNDS];
	uint64_t n_rounds;
};

/** fresh_out_clear() - empty the list and free its memory */
void fresh_out_clear(struct fresh_out *out);

/** fresh_init() - start as not fresh and without objects */
void fresh_init(struct freshness *f, const struct fresh_desc *desc);

/** fresh_finish() - free all resources */
void fresh_finish(struct freshness *f);

/** fresh_tick() - start the pulls, rounds and store reads that are due */
void fresh_tick(struct freshness *f, int64_t now_ms, struct fresh_out *out);

/**
 * fresh_on_members() - update the live members
 * @live: result of member_live(), self included; copied
 * @n: number of members in @live
 * @majority: result of member_majority(); while it is 0 (unknown), answers from
 *	a majority do not make the process fresh
 */
void fresh_on_members(struct freshness *f, const struct member_info *live,
    uint32_t n, uint32_t majority, int64_t now_ms, struct fresh_out *out);

/** fresh_on_message() - process a pull or answer received from @from */
void fresh_on_message(struct freshness *f, const struct vm_id *from,
    const struct fresh_msg *msg, int64_t now_ms, struct fresh_out *out);

/**
 * fresh_on_store() - a store read or watch succeeded
 * @sent_ms: when its request was sent
 * @held: own digest after everything that it returned was applied
 *
 * Each FRESH_STORE effect must be followed by exactly one call of this function
 * or of fresh_on_store_failed().
 */
void fresh_on_store(struct freshness *f, int64_t sent_ms,
    const struct fresh_digest *held, int64_t now_ms, struct fresh_out *out);

/** fresh_on_store_failed() - a store read or watch failed */
void fresh_on_store_failed(
    struct freshness *f, int64_t now_ms, struct fresh_out *out);

/**
 * fresh_on_applied() - objects were applied
 * @from: process that the objects were fetched from, NULL after a push
 * @fetched: digest of @from when it answered the fetch; all objects that it
 *	held are applied now. The highest version of a process never decreases.
 * @held: own digest now
 */
void fresh_on_applied(struct freshness *f, const struct vm_id *from,
    const struct fresh_digest *fetched, const struct fresh_digest *held,
    int64_t now_ms, struct fresh_out *out);

/** fresh_as_of_ms() - fresh_as_of in ms, FRESH_NEVER if never fresh */
int64_t fresh_as_of_ms(const struct freshness *f);

/**
 * fresh_until_ms() - last time in ms at which requests may be routed,
 * FRESH_NEVER if never fresh
 */
int64_t fresh_until_ms(const struct freshness *f);

/** fresh_is_watcher() - whether this process holds a store watch */
bool fresh_is_watcher(const struct freshness *f);

/** fresh_digest_eq() - whether both digests describe the same objects */
bool fresh_digest_eq(
    const struct fresh_digest *a, const struct fresh_digest *b);

#endif
