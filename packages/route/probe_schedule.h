/*
 * probe_schedule - probe schedule and validation of reports (prefix probe_).
 *
 * Only the owner of an upstream's partition probes it, and only while it holds
 * the lease. An upstream whose load is known from responses is probed every
 * max_interval_ms. One that has no recent responses, that is cold, draining or
 * down, or whose last probe failed or had an inaccurate report is probed every
 * min_interval_ms.
 *
 * Probe budget: during one ownership, two probes are at least min_interval_ms
 * apart, and the first is at least min_interval_ms after its start. A window of
 * length t thus has at most t / min_interval_ms + 1 probes, plus one for each
 * change of ownership in it. With the defaults, these are 11 probes in 5 s plus
 * one for each change. Each process measures time on its own clock.
 *
 * A report is inaccurate when it has fewer calls in flight than this process
 * alone had during the whole probe, or says "ready" while recent responses say
 * otherwise. It is ignored. After two inaccurate reports in a row, or when the
 * reported load stays the same while the load in responses changes, all reports
 * of the upstream are ignored for ignore_ms.
 *
 * Functions that allocate abort the process when memory runs out.
 *
 *	struct probe_schedule p;
 *	probe_init(&p, &(struct probe_desc){.self = id});
 *	probe_add(&p, BSTR("up1"), partition);
 *	probe_on_lease(&p, &lease, now_ms);
 *	probe_on_response(&p, BSTR("up1"), &seen, now_ms, &out);
 *	probe_tick(&p, now_ms, &out);                  -> PROBE_SEND
 *	probe_on_result(&p, BSTR("up1"), &result, now_ms, &out);
 *	probe_finish(&p);
 */
#ifndef ROUTE_PROBE_SCHEDULE_H
#define ROUTE_PROBE_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "base/vm_id.h"
#include "route/cold_start.h"

#define PROBE_MAX_UPSTREAMS 8192
#define PROBE_MAX_LOAD 1000000
#define PROBE_NO_LOAD (-1)

/** enum probe_state - state of an upstream, from a probe or a response */
enum probe_state {
	PROBE_UNKNOWN = 0, /* not reported */
	PROBE_READY = 1,
	PROBE_COLD = 2,
	PROBE_DRAINING = 3,
	PROBE_DOWN = 4, /* probes fail and there are no recent responses */
};

/**
 * struct probe_seen - load and state that a response to a call carried
 * @load: requests in flight (X-Load), or PROBE_NO_LOAD
 * @state: state (X-State), or PROBE_UNKNOWN
 */
struct probe_seen {
	int32_t load;
	enum probe_state state;
};

/**
 * struct probe_result - result of a probe
 * @ok: a well-formed response arrived in time
 * @state: state in the response
 * @load: requests in flight that it reported, or PROBE_NO_LOAD
 * @own_at_start: calls of this process in flight when the probe was sent
 * @own_at_end: calls of this process in flight when the response arrived
 */
struct probe_result {
	bool ok;
	enum probe_state state;
	int32_t load;
	int32_t own_at_start;
	int32_t own_at_end;
};

/** enum probe_msg_type - messages between processes */
enum probe_msg_type {
	PROBE_MSG_RESULT = 1, /* result of a probe by the owner */
	PROBE_MSG_SEEN = 2,   /* state change seen in a response */
};

/**
 * struct probe_msg - message between processes
 * @type: type; @epoch, @seq and @load are used by PROBE_MSG_RESULT only
 * @upstream: id, at most COLD_ID_MAX bytes
 * @epoch: epoch of the owner
 * @seq: number of the result within @epoch
 * @state: state of the upstream
 * @load: requests in flight, or PROBE_NO_LOAD
 */
struct probe_msg {
	enum probe_msg_type type;
	struct bstr upstream;
	uint64_t epoch;
	uint64_t seq;
	enum probe_state state;
	int32_t load;
};

/** enum probe_effect_type - action that the caller carries out */
enum probe_effect_type {
	PROBE_SEND,      /* GET /health, then call probe_on_result() */
	PROBE_BROADCAST, /* send msg to all other members */
	PROBE_STATE,     /* update the routing table, call cold_on_state() */
	PROBE_LOAD,      /* update the load in the statistics */
};

/**
 * struct probe_effect - one action; views are valid until probe_remove()
 * @type: type
 * @upstream: id
 * @msg: message of PROBE_BROADCAST
 * @state: new state of PROBE_STATE
 * @load: requests in flight, of PROBE_LOAD
 */
struct probe_effect {
	enum probe_effect_type type;
	struct bstr upstream;
	struct probe_msg msg;
	enum probe_state state;
	int32_t load;
};

/** struct probe_out - growable list of effects; a zeroed struct is empty */
struct probe_out {
	struct probe_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct probe_desc - settings; zero fields mean the default
 * @self: this process
 * @seed: seed of the random numbers
 * @min_interval_ms: shortest time between probes of one upstream, default 500
 * @max_interval_ms: time between probes while responses show the load, default
 *	5,000
 * @stale_ms: time without a response after which the load is unknown, default
 *	2,000
 * @ignore_ms: time for which all reports of an upstream with inaccurate reports
 *	are ignored, default 30,000
 */
struct probe_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t min_interval_ms;
	int64_t max_interval_ms;
	int64_t stale_ms;
	int64_t ignore_ms;
};

struct probe_upstream;

/**
 * struct probe_schedule - schedule on caller-owned memory
 * @desc: settings with the defaults filled in
 * @rng: random numbers
 * @lease: last known lease of each partition
 * @upstreams: upstreams, sorted by id
 * @n_upstreams: number of upstreams
 */
struct probe_schedule {
	struct probe_desc desc;
	struct random rng;
	struct cold_lease lease[COLD_PARTITIONS];
	struct probe_upstream **upstreams;
	uint32_t n_upstreams;
};

/** probe_init() - make a schedule without upstreams and leases */
void probe_init(struct probe_schedule *p, const struct probe_desc *desc);

/** probe_finish() - free all upstreams */
void probe_finish(struct probe_schedule *p);

/** probe_out_clear() - empty the list */
void probe_out_clear(struct probe_out *out);

/** probe_out_finish() - free the list */
void probe_out_finish(struct probe_out *out);

/**
 * probe_add() - add an upstream; one that is present is not changed
 * @p: schedule
 * @id: id of the upstream
 * @partition: partition whose owner probes the upstream
 *
 * Return: false when the id is empty or longer than COLD_ID_MAX, the partition
 * is out of range or there are PROBE_MAX_UPSTREAMS upstreams.
 */
bool probe_add(struct probe_schedule *p, struct bstr id, uint32_t partition);

/** probe_remove() - remove an upstream; does nothing when it is not present */
void probe_remove(struct probe_schedule *p, struct bstr id);

/** probe_on_lease() - update the lease of a partition; call it in each tick */
void probe_on_lease(
    struct probe_schedule *p, const struct cold_lease *lease, int64_t now_ms);

/** probe_on_response() - process load and state in a response to a call */
void probe_on_response(struct probe_schedule *p, struct bstr id,
    const struct probe_seen *seen, int64_t now_ms, struct probe_out *out);

/** probe_tick() - emit the probes that are due; times out unanswered ones */
void probe_tick(
    struct probe_schedule *p, int64_t now_ms, struct probe_out *out);

/** probe_on_result() - process the result of a probe */
void probe_on_result(struct probe_schedule *p, struct bstr id,
    const struct probe_result *r, int64_t now_ms, struct probe_out *out);

/** probe_on_msg() - process a message from another process */
void probe_on_msg(struct probe_schedule *p, const struct vm_id *from,
    const struct probe_msg *m, int64_t now_ms, struct probe_out *out);

/** probe_reports_ignored() - whether all reports of the upstream are ignored */
bool probe_reports_ignored(
    const struct probe_schedule *p, struct bstr id, int64_t now_ms);

#endif
