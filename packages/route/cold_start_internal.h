/*
 * cold_start_internal - declarations shared by the two parts of cold_start: the
 * part that runs in every process (cold_start.c) and the part of the owner
 * (cold_start_owner.c). Do not include it elsewhere.
 */
#ifndef ROUTE_COLD_START_INTERNAL_H
#define ROUTE_COLD_START_INTERNAL_H

#include "route/cold_start.h"

/**
 * struct cold_holder - state of one process, as the owner keeps it
 * @id: process
 * @seq: last request processed
 * @used: largest of its calls in flight, the permits it held and the grant
 * @demand: calls that it wants in flight
 * @held_since_ms: start of its uninterrupted grants, 0 when it has none
 * @last_request_ms: time of its last request
 * @end_ms: time until which @used counts without a renewal
 */
struct cold_holder {
	struct vm_id id;
	uint64_t seq;
	uint32_t used;
	uint32_t demand;
	int64_t held_since_ms;
	int64_t last_request_ms;
	int64_t end_ms;
};

/**
 * struct cold_upstream - one upstream
 * @cold: state: cold if true, else ready
 * @suspect: a response reported cold and the owner has not confirmed it
 * @ready_seen: a response reported ready since the ramp began, so that the next
 *	cold response means a new cold start
 * @epoch: epoch of the owner that set the state
 * @gen: generation; orders the states of one epoch
 * @use: use by this process
 * @seq: outstanding request of this process, 0 for none
 * @sent_ms: time at which it was sent
 * @next_request_ms: earliest time of the next request
 * @count: permits of this process
 * @until_ms: time at which they expire
 * @max_held: largest number of permits held since the last cold_on_use()
 * @last_query_nonce: nonce of the last query received
 * @counted_by_owner: the owner may still count permits or calls for this
 *	process
 * @is_owner: this process is the owner, whether or not it holds the lease now
 * @owned_from_ms: act_from_ms of that ownership; the fields below belong to it
 * @nonce: nonce that a report must echo
 * @earliest_grant_ms: earliest time of a grant
 * @report_deadline_ms: time from which grants need no reports of all members
 * @next_query_ms: time of the next query or state broadcast
 * @need_dead_reports: members that are not alive must report too
 * @ramp_start_ms: time at which grants became possible, 0 before that
 * @successes: successful calls reported since the ramp began
 */
struct cold_upstream {
	char id_text[COLD_ID_MAX + 1];
	struct bstr id;
	uint32_t slots;
	uint32_t partition;
	bool cold;
	bool suspect;
	bool ready_seen;
	uint64_t epoch;
	uint64_t gen;

	struct cold_use use;
	uint64_t seq;
	int64_t sent_ms;
	int64_t next_request_ms;
	uint32_t count;
	int64_t until_ms;
	uint32_t max_held;
	uint64_t last_query_nonce;
	bool counted_by_owner;

	bool is_owner;
	int64_t owned_from_ms;
	uint64_t nonce;
	int64_t earliest_grant_ms;
	int64_t report_deadline_ms;
	int64_t next_query_ms;
	bool need_dead_reports;
	int64_t ramp_start_ms;
	uint64_t successes;
	struct cold_holder *holders;
	uint32_t n_holders;
};

/** cold_emit() - append a zeroed effect */
struct cold_effect *cold_emit(struct cold_out *out, enum cold_effect_type type);

/** cold_post() - send a message; if @to is this process, handle it at once */
void cold_post(struct cold_start *c, const struct vm_id *to,
    const struct cold_msg *m, int64_t now, struct cold_out *out);

/** cold_lease_of() - lease of the upstream's partition */
const struct cold_lease *cold_lease_of(
    const struct cold_start *c, const struct cold_upstream *u);

/** cold_has_lease() - whether this process may act as the upstream's owner */
bool cold_has_lease(
    const struct cold_start *c, const struct cold_upstream *u, int64_t now);

/** cold_held() - permits of this process that are still valid */
uint32_t cold_held(const struct cold_upstream *u, int64_t now);

/** cold_set_state() - change the state in this process only */
void cold_set_state(struct cold_upstream *u, bool cold, struct cold_out *out);

/** cold_is_newer() - whether the state in @m is newer than the known one */
bool cold_is_newer(const struct cold_msg *m, const struct cold_upstream *u);

/** cold_send_request() - report the use and request permits from the owner */
void cold_send_request(struct cold_start *c, struct cold_upstream *u,
    int64_t now, struct cold_out *out);

/** cold_limit_of() - limit of the fleet at this point of the ramp */
uint32_t cold_limit_of(
    const struct cold_start *c, const struct cold_upstream *u, int64_t now);

/**
 * cold_restart_ramp() - clear the holders and require new reports of members
 * @from: earliest time of the next grant
 * @need_dead_reports: members that are not alive must report too
 */
void cold_restart_ramp(struct cold_start *c, struct cold_upstream *u,
    int64_t from, bool need_dead_reports);

/** cold_on_request() - handle a request for permits, also from this process */
void cold_on_request(struct cold_start *c, struct cold_upstream *u,
    const struct vm_id *from, const struct cold_msg *m, int64_t now,
    struct cold_out *out);

/** cold_tick_owner() - end a completed ramp, send queries and states */
void cold_tick_owner(struct cold_start *c, struct cold_upstream *u, int64_t now,
    struct cold_out *out);

#endif
