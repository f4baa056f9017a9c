/*
 * probe_schedule - probe budget, probe schedule and judgement of reports.
 *
 * Only the owner of an upstream's partition probes it, and only while it holds
 * the lease. An upstream whose load is known from responses is probed rarely;
 * one that is silent or contradicts itself as often as the budget allows.
 *
 * Bound: two probes of one ownership are at least interval_ms apart, and the
 * first of an ownership waits interval_ms after its start. In a window of
 * length t there are thus at most t / interval_ms + 1 probes, plus one for each
 * change of ownership in the window; for the defaults 11 in 5 s plus one for
 * each change. Each process counts on its own clock.
 *
 * A report is ignored, and its upstream distrusted for a time, when two
 * successive ones claim fewer calls in flight than this process alone had
 * during the whole probe, or "ready" while responses say otherwise, or when the
 * value stands still while the load seen in responses moves.
 *
 *	struct probe_schedule p;
 *	probe_init(&p, &(struct probe_desc){.self = id});
 *	probe_add(&p, BSTR("up1"), partition);
 *	probe_on_lease(&p, &lease, now_ms);
 *	probe_on_response(&p, BSTR("up1"), &seen, now_ms, &out);
 *	probe_tick(&p, now_ms, &out);                  -> PROBE_PROBE
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

/** enum probe_state - state that a probe or response shows */
enum probe_state {
	PROBE_UNKNOWN = 0, /* not said */
	PROBE_READY = 1,
	PROBE_COLD = 2,
	PROBE_DRAINING = 3,
	PROBE_DOWN = 4, /* probes fail and there are no responses */
};

/**
 * struct probe_seen - what a response showed
 * @load: X-Load, requests in flight, or PROBE_NO_LOAD
 * @state: X-State
 */
struct probe_seen {
	int32_t load;
	enum probe_state state;
};

/**
 * struct make_probe_result - end of a probe
 * @ok: a well-formed answer came in time
 * @state: state in the answer
 * @load: requests in flight in the answer, PROBE_NO_LOAD when it had none
 * @own_at_start: own calls in flight when the probe was sent
 * @own_at_end: own calls in flight when its answer came
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
	PROBE_MSG_RESULT = 1, /* the owner's probe */
	PROBE_MSG_SEEN = 2,   /* a response showed another state */
};

/**
 * struct probe_msg - one message
 * @type: kind
 * @upstream: id, at most COLD_ID_MAX bytes
 * @epoch: result: epoch of the owner
 * @seq: result: orders results of one epoch
 * @state: state
 * @load: result: requests in flight, PROBE_NO_LOAD when not trusted
 */
struct probe_msg {
	enum probe_msg_type type;
	struct bstr upstream;
	uint64_t epoch;
	uint64_t seq;
	enum probe_state state;
	int32_t load;
};

/** enum probe_effect_type - what the caller carries out */
enum probe_effect_type {
	PROBE_PROBE,     /* GET /health and /load, then probe_on_result() */
	PROBE_BROADCAST, /* send msg to all members but this one */
	PROBE_STATE,     /* the state changed: routing table, cold_on_state() */
	PROBE_LOAD,      /* a trusted load for the statistics */
};

/** struct probe_effect - one effect; views are valid while it is known */
struct probe_effect {
	enum probe_effect_type type;
	struct bstr upstream;
	struct probe_msg msg;
	enum probe_state state;
	int32_t load;
};

/** struct probe_out - growable list of effects; all zero is empty */
struct probe_out {
	struct probe_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct probe_desc - settings; zero fields mean the default
 * @self: this process
 * @seed: start of the random sequence
 * @interval_ms: shortest time between probes of one upstream, default 500
 * @known_ms: time between probes while responses show the load, default 5,000
 * @silent_ms: time without a response after which the load counts as unknown,
 *	default 2,000
 * @distrust_ms: time for which reports of a lying upstream are ignored, default
 *	30,000
 */
struct probe_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t interval_ms;
	int64_t known_ms;
	int64_t silent_ms;
	int64_t distrust_ms;
};

struct probe_up;

/** struct probe_schedule - state on caller-owned memory */
struct probe_schedule {
	struct probe_desc desc;
	struct random rng;
	struct cold_lease lease[COLD_PARTITIONS];
	struct probe_up **up;
	uint32_t n_up;
};

/** probe_init() - no upstreams, no leases */
void probe_init(struct probe_schedule *p, const struct probe_desc *desc);

/** probe_finish() - free */
void probe_finish(struct probe_schedule *p);

/** probe_out_clear() - empty the list */
void probe_out_clear(struct probe_out *out);

/** probe_out_finish() - free the list */
void probe_out_finish(struct probe_out *out);

/**
 * probe_add() - an upstream of the configuration; a known one stays as it is
 *
 * Return: false when the id is too long, the partition is out of range or there
 * are too many.
 */
bool probe_add(struct probe_schedule *p, struct bstr id, uint32_t partition);

/** probe_remove() - the upstream left the configuration */
void probe_remove(struct probe_schedule *p, struct bstr id);

/** probe_on_lease() - state of a partition, to be repeated in each tick */
void probe_on_lease(
    struct probe_schedule *p, const struct cold_lease *lease, int64_t now_ms);

/** probe_on_response() - a response came from the upstream */
void probe_on_response(struct probe_schedule *p, struct bstr id,
    const struct probe_seen *seen, int64_t now_ms, struct probe_out *out);

/** probe_tick() - probes that are due */
void probe_tick(
    struct probe_schedule *p, int64_t now_ms, struct probe_out *out);

/** probe_on_result() - end of a probe */
void probe_on_result(struct probe_schedule *p, struct bstr id,
    const struct probe_result *r, int64_t now_ms, struct probe_out *out);

/** probe_on_msg() - message from another process */
void probe_on_msg(struct probe_schedule *p, const struct vm_id *from,
    const struct probe_msg *m, int64_t now_ms, struct probe_out *out);

/** probe_distrusted() - whether reports of the upstream are being ignored */
bool probe_distrusted(
    const struct probe_schedule *p, struct bstr id, int64_t now_ms);

#endif
