/*
 * cold_start_internal - what the parts of cold share: every process
 * (cold_start.c) and the owner (cold_start_owner.c). Not for use outside of
 * cold.
 */
#ifndef ROUTE_COLD_START_INTERNAL_H
#define ROUTE_COLD_START_INTERNAL_H

#include "route/cold_start.h"

/**
 * struct cold_holder - what the owner knows about one process
 * @seq: last request processed
 * @used: largest of its calls in flight, the permits it held and the grant
 * @demand: calls it would like to have in flight
 * @held_since: start of uninterrupted grants, 0 without
 * @end_ms: until when @used counts without a renewal
 */
struct cold_holder {
	struct vm_id id;
	uint64_t seq;
	uint32_t used;
	uint32_t demand;
	int64_t held_since;
	int64_t heard_ms;
	int64_t end_ms;
};

/**
 * struct cold_up - one upstream
 * @cold: state
 * @suspect: a response said cold and the owner has not confirmed it
 * @ready_seen: a response said ready since the ramp began; the next that says
 *	cold is not of this ramp
 * @epoch: epoch of the owner that set the state
 * @gen: orders states of one epoch
 * @use: own use
 * @seq: own outstanding request, 0 for none
 * @sent_ms: when it was sent
 * @count: own permits
 * @until_ms: end of the own permits
 * @peak: most permits held at any time since the use was read
 * @asked_nonce: last query seen
 * @counted: the owner may count something for this process
 * @owned_from_ms: act_from_ms of the ownership that the rest belongs to
 * @owning: this process decides, whether or not it holds the lease now
 * @nonce: reports must echo it
 * @min_ms: earliest time of a grant
 * @all_ms: time from which grants do not need reports of all members
 * @need_dead: members that are not alive must report too
 * @ramp_ms: first possible grant, 0 before
 */
struct cold_up {
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
	int64_t next_ms;
	uint32_t count;
	int64_t until_ms;
	uint32_t peak;
	uint64_t asked_nonce;
	bool counted;

	bool owning;
	int64_t owned_from_ms;
	uint64_t nonce;
	int64_t min_ms;
	int64_t all_ms;
	int64_t next_query_ms;
	bool need_dead;
	int64_t ramp_ms;
	uint64_t successes;
	struct cold_holder *holders;
	uint32_t n_holders;
};

/** cold_emit() - append a zeroed effect */
struct cold_effect *cold_emit(struct cold_out *out, enum cold_effect_type type);

/** cold_post() - send a message; one to this process is handled at once */
void cold_post(struct cold_start *c, const struct vm_id *to,
    const struct cold_msg *m, int64_t now, struct cold_out *out);

/** cold_lease_of() - state of the upstream's partition */
const struct cold_lease *cold_lease_of(
    const struct cold_start *c, const struct cold_up *u);

/** cold_has_lease() - whether this process may act for the upstream */
bool cold_has_lease(
    const struct cold_start *c, const struct cold_up *u, int64_t now);

/** cold_held() - own permits that are still valid */
uint32_t cold_held(const struct cold_up *u, int64_t now);

/** cold_set_state() - change the state as this process sees it */
void cold_set_state(struct cold_up *u, bool cold, struct cold_out *out);

/** cold_is_newer() - whether the state in @m is newer than the known one */
bool cold_is_newer(const struct cold_msg *m, const struct cold_up *u);

/** cold_send_request() - report the use and ask the owner for permits */
void cold_send_request(
    struct cold_start *c, struct cold_up *u, int64_t now, struct cold_out *out);

/** cold_limit_of() - limit of the fleet at this point of the ramp */
uint32_t cold_limit_of(
    const struct cold_start *c, const struct cold_up *u, int64_t now);

/**
 * cold_restart_ramp() - forget the holders, which must report again
 * @from: earliest time of the next grant
 * @need_dead: members that are not alive must report too
 */
void cold_restart_ramp(
    struct cold_start *c, struct cold_up *u, int64_t from, bool need_dead);

/** cold_on_request() - another process, or this one, asks for permits */
void cold_on_request(struct cold_start *c, struct cold_up *u,
    const struct vm_id *from, const struct cold_msg *m, int64_t now,
    struct cold_out *out);

/** cold_tick_owner() - end of the ramp, queries */
void cold_tick_owner(
    struct cold_start *c, struct cold_up *u, int64_t now, struct cold_out *out);

#endif
