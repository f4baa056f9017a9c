/*
 * freshness - how fresh the configuration in effect on this process is.
 *
 * freshness keeps fresh_as_of, a local monotonic time such that every change
 * accepted before it is in effect here. It advances
 *  - on a store read, to the time the read was sent;
 *  - on a peer's answer to a pull, to the time the pull was sent minus the age
 *    the peer reported; ages add up along a chain of relays;
 *  - on answers from a majority of the members (self counts), to the time their
 *    pulls were sent. An accepted change is held by a majority, so at least one
 *    of the answers shows it.
 * A restarted process has lost what its predecessor acknowledged, so it counts
 * in a majority only when it is settled: fresh as of settle_ms after its start.
 * A change that counts acknowledgements must not count older ones than that.
 * In the last two cases fresh_as_of advances only once everything that the
 * answering peers held is applied here. All times are local send times, so that
 * a pause, a late answer or a duplicate can only make the result older.
 *
 * Two members in each availability zone hold a store watch. While they cannot
 * reach the store they ask a majority instead. All others pull from them.
 *
 *	struct freshness f;
 *	struct fresh_out out = {0};
 *	fresh_init(&f, &(struct fresh_desc){.self = id, .zone = z});
 *	fresh_on_members(&f, live, n, member_majority(&m), now_ms, &out);
 *	fresh_tick(&f, now_ms, &out);
 *	fresh_on_message(&f, &from, &msg, now_ms, &out);
 *	fresh_on_applied(&f, &from, &fetched, &held, now_ms, &out);
 *	if (now_ms <= fresh_fresh_until(&f)) route();
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

#define FRESH_NEVER INT64_MIN
/* Age of a process that is not fresh. */
#define FRESH_LAPSED (-1)
#define FRESH_MAX_WATCHERS 64
#define FRESH_MAX_CANDIDATES 64
#define FRESH_MAX_ROUNDS 8

/**
 * struct fresh_digest - the set of configuration objects a process holds
 * @highest: highest version
 * @set: hash over key and version of all objects. Equal digests must mean equal
 * sets: @highest alone does not show a missing object with a lower version.
 */
struct fresh_digest {
	uint64_t highest;
	uint64_t set;
};

/** enum fresh_msg_kind - messages between processes */
enum fresh_msg_kind {
	FRESH_PULL,
	FRESH_ANSWER,
};

/**
 * struct fresh_msg - pull or answer
 * @token: chosen by the puller, repeated in the answer
 * @age_ms: answer only: age of the sender's freshness, or FRESH_LAPSED
 * @digest: what the sender holds
 * @settled: answer only: the sender counts in a majority
 */
struct fresh_msg {
	enum fresh_msg_kind kind;
	uint64_t token;
	int64_t age_ms;
	struct fresh_digest digest;
	bool settled;
};

/** enum fresh_kind - effects */
enum fresh_kind {
	FRESH_SEND,  /* send @msg to @to */
	FRESH_STORE, /* read the store, waiting up to @wait_ms for a change */
	FRESH_FETCH, /* get everything that @to holds, at least up to @digest */
};

/** struct fresh_effect - what the caller has to carry out */
struct fresh_effect {
	enum fresh_kind kind;
	struct vm_id to;
	struct fresh_msg msg;
	struct fresh_digest digest;
	int32_t wait_ms;
};

/** struct fresh_out - list of effects; all zero is empty */
struct fresh_out {
	struct fresh_effect *e;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct fresh_desc - settings; zero fields mean the default
 * @self: own identity
 * @zone: own availability zone
 * @seed: of the random choices
 * @limit_ms: freshness lasts so long, default 3,000
 * @pull_ms: between pulls, default 250
 * @watch_ms: wait of a store watch, default 500
 * @retry_ms: after a failed store read, default 250
 * @store_down_ms: without a store read until a majority is asked, default 1,000
 * @round_ms: between questions to a majority, default 500
 * @answer_ms: answers are accepted so long, default 3,000
 * @settle_ms: default 3,000
 */
struct fresh_desc {
	struct vm_id self;
	struct member_text zone;
	uint64_t seed;
	int32_t limit_ms;
	int32_t pull_ms;
	int32_t watch_ms;
	int32_t retry_ms;
	int32_t store_down_ms;
	int32_t round_ms;
	int32_t answer_ms;
	int32_t settle_ms;
};

/** struct fresh_pull - private: a pull without an answer yet */
struct fresh_pull {
	uint64_t token;
	struct vm_id to;
	int64_t sent_ms;
	uint64_t round; /* 0 when it belongs to none */
	bool answered;
};

/** struct fresh_candidate - private: an answer that waits for its objects */
struct fresh_candidate {
	struct vm_id from;
	struct fresh_digest digest;
	int64_t sent_ms;
	int64_t as_of; /* FRESH_NEVER when it counts only in its round */
	int64_t fetch_ms;
	uint64_t round;
};

/** struct fresh_round - private: one question to a majority */
struct fresh_round {
	uint64_t id;
	int64_t sent_ms;
	uint32_t agreed;
};

/** struct freshness - freshness; fields are private */
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
	uint64_t tokens;
	struct fresh_pull *pulls;
	uint32_t n_pulls;
	struct fresh_candidate candidates[FRESH_MAX_CANDIDATES];
	uint32_t n_candidates;
	struct fresh_round rounds[FRESH_MAX_ROUNDS];
	uint64_t n_rounds;
};

/** fresh_out_clear() - empty the list */
void fresh_out_clear(struct fresh_out *out);

/** fresh_init() - not fresh, holding nothing */
void fresh_init(struct freshness *f, const struct fresh_desc *desc);

/** fresh_finish() - free */
void fresh_finish(struct freshness *f);

/** fresh_tick() - pulls, rounds and store reads */
void fresh_tick(struct freshness *f, int64_t now_ms, struct fresh_out *out);

/**
 * fresh_on_members() - the live members changed
 * @live: as from member_live(), self included; copied
 * @majority: as from member_majority(); 0 means unknown, then no majority
 *	counts
 */
void fresh_on_members(struct freshness *f, const struct member_info *live,
    uint32_t n, uint32_t majority, int64_t now_ms, struct fresh_out *out);

/** fresh_on_message() - pull or answer of process @from */
void fresh_on_message(struct freshness *f, const struct vm_id *from,
    const struct fresh_msg *msg, int64_t now_ms, struct fresh_out *out);

/**
 * fresh_on_store() - a store read or watch ended
 * @sent_ms: when its request was sent
 * @held: what is held now, after everything it returned was applied
 *
 * Each FRESH_STORE effect must end in this call or in fresh_on_store_failed().
 */
void fresh_on_store(struct freshness *f, int64_t sent_ms,
    const struct fresh_digest *held, int64_t now_ms, struct fresh_out *out);

/** fresh_on_store_failed() - a store read or watch failed */
void fresh_on_store_failed(
    struct freshness *f, int64_t now_ms, struct fresh_out *out);

/**
 * fresh_on_applied() - objects were applied
 * @from: process whose objects were fetched, NULL after a push
 * @fetched: digest that @from had when it answered the fetch; all that it held
 * is applied now. The highest version of a process never decreases.
 * @held: what is held now
 */
void fresh_on_applied(struct freshness *f, const struct vm_id *from,
    const struct fresh_digest *fetched, const struct fresh_digest *held,
    int64_t now_ms, struct fresh_out *out);

/** fresh_fresh_as_of() - FRESH_NEVER when it was never fresh */
int64_t fresh_fresh_as_of(const struct freshness *f);

/** fresh_fresh_until() - last time at which requests may be routed */
int64_t fresh_fresh_until(const struct freshness *f);

/** fresh_is_watcher() - whether this process holds a store watch */
bool fresh_is_watcher(const struct freshness *f);

/** fresh_digest_eq() - whether both are the same set of objects */
bool fresh_digest_eq(
    const struct fresh_digest *a, const struct fresh_digest *b);

#endif
