/*
 * frs - how fresh the configuration in effect on this process is.
 *
 * frs keeps fresh_as_of, a local monotonic time such that every change accepted
 * before it is in effect here. It advances
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
 *	struct frs f;
 *	struct frs_out out = {0};
 *	frs_init(&f, &(struct frs_desc){.self = id, .zone = z});
 *	frs_on_members(&f, live, n, mbr_majority(&m), now_ms, &out);
 *	frs_tick(&f, now_ms, &out);
 *	frs_on_message(&f, &from, &msg, now_ms, &out);
 *	frs_on_applied(&f, &from, &fetched, &held, now_ms, &out);
 *	if (now_ms <= frs_fresh_until(&f)) route();
 *	frs_out_clear(&out);
 *	frs_finish(&f);
 */
#ifndef MEMBER_FRS_H
#define MEMBER_FRS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/vm_id.h"
#include "member/mbr.h"

#define FRS_NEVER INT64_MIN
/* Age of a process that is not fresh. */
#define FRS_LAPSED (-1)
#define FRS_MAX_WATCHERS 64
#define FRS_MAX_CANDIDATES 64
#define FRS_MAX_ROUNDS 8

/**
 * struct frs_digest - the set of configuration objects a process holds
 * @highest: highest version
 * @set: hash over key and version of all objects. Equal digests must mean equal
 * sets: @highest alone does not show a missing object with a lower version.
 */
struct frs_digest {
	uint64_t highest;
	uint64_t set;
};

/** enum frs_msg_kind - messages between processes */
enum frs_msg_kind {
	FRS_PULL,
	FRS_ANSWER,
};

/**
 * struct frs_msg - pull or answer
 * @token: chosen by the puller, repeated in the answer
 * @age_ms: answer only: age of the sender's freshness, or FRS_LAPSED
 * @digest: what the sender holds
 * @settled: answer only: the sender counts in a majority
 */
struct frs_msg {
	enum frs_msg_kind kind;
	uint64_t token;
	int64_t age_ms;
	struct frs_digest digest;
	bool settled;
};

/** enum frs_kind - effects */
enum frs_kind {
	FRS_SEND,  /* send @msg to @to */
	FRS_STORE, /* read the store, waiting up to @wait_ms for a change */
	FRS_FETCH, /* get everything that @to holds, at least up to @digest */
};

/** struct frs_effect - what the caller has to carry out */
struct frs_effect {
	enum frs_kind kind;
	struct vm_id to;
	struct frs_msg msg;
	struct frs_digest digest;
	int32_t wait_ms;
};

/** struct frs_out - list of effects; all zero is empty */
struct frs_out {
	struct frs_effect *e;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct frs_desc - settings; zero fields mean the default
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
struct frs_desc {
	struct vm_id self;
	struct mbr_text zone;
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

/** struct frs_pull - private: a pull without an answer yet */
struct frs_pull {
	uint64_t token;
	struct vm_id to;
	int64_t sent_ms;
	uint64_t round; /* 0 when it belongs to none */
	bool answered;
};

/** struct frs_candidate - private: an answer that waits for its objects */
struct frs_candidate {
	struct vm_id from;
	struct frs_digest digest;
	int64_t sent_ms;
	int64_t as_of; /* FRS_NEVER when it counts only in its round */
	int64_t fetch_ms;
	uint64_t round;
};

/** struct frs_round - private: one question to a majority */
struct frs_round {
	uint64_t id;
	int64_t sent_ms;
	uint32_t agreed;
};

/** struct frs - freshness; fields are private */
struct frs {
	struct frs_desc desc;
	struct random rng;
	bool started;
	bool settled;
	int64_t start_ms;
	int64_t fresh_as_of;
	struct frs_digest held;
	struct mbr_info *members;
	uint32_t n_members;
	uint32_t majority;
	struct mbr_info watchers[FRS_MAX_WATCHERS];
	uint32_t n_watchers;
	bool watching;
	bool store_busy;
	bool store_failed;
	int64_t store_next_ms;
	int64_t store_ok_ms;
	int64_t pull_next_ms;
	int64_t round_next_ms;
	uint64_t tokens;
	struct frs_pull *pulls;
	uint32_t n_pulls;
	struct frs_candidate candidates[FRS_MAX_CANDIDATES];
	uint32_t n_candidates;
	struct frs_round rounds[FRS_MAX_ROUNDS];
	uint64_t n_rounds;
};

/** frs_out_clear() - empty the list */
void frs_out_clear(struct frs_out *out);

/** frs_init() - not fresh, holding nothing */
void frs_init(struct frs *f, const struct frs_desc *desc);

/** frs_finish() - free */
void frs_finish(struct frs *f);

/** frs_tick() - pulls, rounds and store reads */
void frs_tick(struct frs *f, int64_t now_ms, struct frs_out *out);

/**
 * frs_on_members() - the live members changed
 * @live: as from mbr_live(), self included; copied
 * @majority: as from mbr_majority(); 0 means unknown, then no majority counts
 */
void frs_on_members(struct frs *f, const struct mbr_info *live, uint32_t n,
    uint32_t majority, int64_t now_ms, struct frs_out *out);

/** frs_on_message() - pull or answer of process @from */
void frs_on_message(struct frs *f, const struct vm_id *from,
    const struct frs_msg *msg, int64_t now_ms, struct frs_out *out);

/**
 * frs_on_store() - a store read or watch ended
 * @sent_ms: when its request was sent
 * @held: what is held now, after everything it returned was applied
 *
 * Each FRS_STORE effect must end in this call or in frs_on_store_failed().
 */
void frs_on_store(struct frs *f, int64_t sent_ms, const struct frs_digest *held,
    int64_t now_ms, struct frs_out *out);

/** frs_on_store_failed() - a store read or watch failed */
void frs_on_store_failed(struct frs *f, int64_t now_ms, struct frs_out *out);

/**
 * frs_on_applied() - objects were applied
 * @from: process whose objects were fetched, NULL after a push
 * @fetched: digest that @from had when it answered the fetch; all that it held
 * is applied now. The highest version of a process never decreases.
 * @held: what is held now
 */
void frs_on_applied(struct frs *f, const struct vm_id *from,
    const struct frs_digest *fetched, const struct frs_digest *held,
    int64_t now_ms, struct frs_out *out);

/** frs_fresh_as_of() - FRS_NEVER when it was never fresh */
int64_t frs_fresh_as_of(const struct frs *f);

/** frs_fresh_until() - last time at which requests may be routed */
int64_t frs_fresh_until(const struct frs *f);

/** frs_is_watcher() - whether this process holds a store watch */
bool frs_is_watcher(const struct frs *f);

/** frs_digest_eq() - whether both are the same set of objects */
bool frs_digest_eq(const struct frs_digest *a, const struct frs_digest *b);

#endif
