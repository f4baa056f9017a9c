/*
 * prb - probe budget, probe schedule and judgement of reports.
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
 *	struct prb p;
 *	prb_init(&p, &(struct prb_desc){.self = id});
 *	prb_add(&p, BSTR("up1"), partition);
 *	prb_on_lease(&p, &lease, now_ms);
 *	prb_on_response(&p, BSTR("up1"), &seen, now_ms, &out);
 *	prb_tick(&p, now_ms, &out);                  -> PRB_PROBE
 *	prb_on_result(&p, BSTR("up1"), &result, now_ms, &out);
 *	prb_finish(&p);
 */
#ifndef ROUTE_PRB_H
#define ROUTE_PRB_H

#include <stdbool.h>
#include <stdint.h>

#include "base/byte_string.h"
#include "base/random.h"
#include "base/vm_id.h"
#include "route/cold.h"

#define PRB_MAX_UPSTREAMS 8192
#define PRB_MAX_LOAD 1000000
#define PRB_NO_LOAD (-1)

/** enum prb_state - state that a probe or response shows */
enum prb_state {
	PRB_UNKNOWN = 0, /* not said */
	PRB_READY = 1,
	PRB_COLD = 2,
	PRB_DRAINING = 3,
	PRB_DOWN = 4, /* probes fail and there are no responses */
};

/**
 * struct prb_seen - what a response showed
 * @load: X-Load, requests in flight, or PRB_NO_LOAD
 * @state: X-State
 */
struct prb_seen {
	int32_t load;
	enum prb_state state;
};

/**
 * struct make_probe_result - end of a probe
 * @ok: a well-formed answer came in time
 * @state: state in the answer
 * @load: requests in flight in the answer, PRB_NO_LOAD when it had none
 * @own_at_start: own calls in flight when the probe was sent
 * @own_at_end: own calls in flight when its answer came
 */
struct probe_result {
	bool ok;
	enum prb_state state;
	int32_t load;
	int32_t own_at_start;
	int32_t own_at_end;
};

/** enum prb_msg_type - messages between processes */
enum prb_msg_type {
	PRB_MSG_RESULT = 1, /* the owner's probe */
	PRB_MSG_SEEN = 2,   /* a response showed another state */
};

/**
 * struct prb_msg - one message
 * @type: kind
 * @upstream: id, at most COLD_ID_MAX bytes
 * @epoch: result: epoch of the owner
 * @seq: result: orders results of one epoch
 * @state: state
 * @load: result: requests in flight, PRB_NO_LOAD when not trusted
 */
struct prb_msg {
	enum prb_msg_type type;
	struct bstr upstream;
	uint64_t epoch;
	uint64_t seq;
	enum prb_state state;
	int32_t load;
};

/** enum prb_effect_type - what the caller carries out */
enum prb_effect_type {
	PRB_PROBE,     /* GET /health and /load, then prb_on_result() */
	PRB_BROADCAST, /* send msg to all members but this one */
	PRB_STATE,     /* the state changed: routing table, cold_on_state() */
	PRB_LOAD,      /* a trusted load for the statistics */
};

/** struct prb_effect - one effect; views are valid while it is known */
struct prb_effect {
	enum prb_effect_type type;
	struct bstr upstream;
	struct prb_msg msg;
	enum prb_state state;
	int32_t load;
};

/** struct prb_out - growable list of effects; all zero is empty */
struct prb_out {
	struct prb_effect *v;
	uint32_t n;
	uint32_t cap;
};

/**
 * struct prb_desc - settings; zero fields mean the default
 * @self: this process
 * @seed: start of the random sequence
 * @interval_ms: shortest time between probes of one upstream, default 500
 * @known_ms: time between probes while responses show the load, default 5,000
 * @silent_ms: time without a response after which the load counts as unknown,
 *	default 2,000
 * @distrust_ms: time for which reports of a lying upstream are ignored, default
 *	30,000
 */
struct prb_desc {
	struct vm_id self;
	uint64_t seed;
	int64_t interval_ms;
	int64_t known_ms;
	int64_t silent_ms;
	int64_t distrust_ms;
};

struct prb_up;

/** struct prb - state on caller-owned memory */
struct prb {
	struct prb_desc desc;
	struct random rng;
	struct cold_lease lease[COLD_PARTITIONS];
	struct prb_up **up;
	uint32_t n_up;
};

/** prb_init() - no upstreams, no leases */
void prb_init(struct prb *p, const struct prb_desc *desc);

/** prb_finish() - free */
void prb_finish(struct prb *p);

/** prb_out_clear() - empty the list */
void prb_out_clear(struct prb_out *out);

/** prb_out_finish() - free the list */
void prb_out_finish(struct prb_out *out);

/**
 * prb_add() - an upstream of the configuration; a known one stays as it is
 *
 * Return: false when the id is too long, the partition is out of range or there
 * are too many.
 */
bool prb_add(struct prb *p, struct bstr id, uint32_t partition);

/** prb_remove() - the upstream left the configuration */
void prb_remove(struct prb *p, struct bstr id);

/** prb_on_lease() - state of a partition, to be repeated in each tick */
void prb_on_lease(
    struct prb *p, const struct cold_lease *lease, int64_t now_ms);

/** prb_on_response() - a response came from the upstream */
void prb_on_response(struct prb *p, struct bstr id, const struct prb_seen *seen,
    int64_t now_ms, struct prb_out *out);

/** prb_tick() - probes that are due */
void prb_tick(struct prb *p, int64_t now_ms, struct prb_out *out);

/** prb_on_result() - end of a probe */
void prb_on_result(struct prb *p, struct bstr id, const struct probe_result *r,
    int64_t now_ms, struct prb_out *out);

/** prb_on_msg() - message from another process */
void prb_on_msg(struct prb *p, const struct vm_id *from,
    const struct prb_msg *m, int64_t now_ms, struct prb_out *out);

/** prb_distrusted() - whether reports of the upstream are being ignored */
bool prb_distrusted(const struct prb *p, struct bstr id, int64_t now_ms);

#endif
