/*
 * load_choice - choice of an upstream by its freshly probed load.
 *
 * The speed of an upstream changes within milliseconds, so the load in an
 * earlier response is often outdated. Before a request is sent, a few
 * candidates are probed for their load in parallel. The request goes to the one
 * that is expected to finish it first.
 *
 *	n = load_choice_candidates(service, &req, now_us, &rng, out,
 *	    LOAD_CHOICE_FANOUT);
 *	(probe out[0] to out[n - 1]; call load_choice_on_report() or
 *	    load_choice_on_probe_failure() for each)
 *	i = load_choice_pick(service, &req, now_us, &rng);
 *	load_choice_on_start(&service->upstreams[i], now_us);
 *
 * A cold upstream can serve only a few requests of the whole fleet. A process
 * sends requests to it only when rt_upstream.cold_allowed is set, and at most
 * one in LOAD_CHOICE_COLD_SPACING_US.
 */
#ifndef ROUTE_LOAD_CHOICE_H
#define ROUTE_LOAD_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "route/routing.h"

/* Upstreams probed before a request. */
#define LOAD_CHOICE_FANOUT 4
/* Lifetime of a report; an upstream keeps its speed for about 150 ms. */
#define LOAD_CHOICE_FRESH_US 25000
/* After a failed probe, an upstream is not probed for this long. */
#define LOAD_CHOICE_PROBE_BACKOFF_US 400000
/* An upstream that accepts no requests is not used for this long. */
#define LOAD_CHOICE_REFUSAL_BACKOFF_US 500000
/*
 * Time between two requests to a cold upstream. It is above one second, so that
 * no second contains two of them.
 */
#define LOAD_CHOICE_COLD_SPACING_US 1100000

/**
 * struct load_choice_report - load or refusal that an upstream reported
 * @running: requests being served
 * @waiting: requests waiting for a slot
 * @pace: current service time in percent of the normal one; higher is slower
 * @cold_us: time for which it stays cold, 0 when it is not cold
 * @refusing: it accepts no requests; the other fields are not used
 * @none: it answered without its load; @running, @waiting and @pace are not
 *	used
 */
struct load_choice_report {
	int32_t running;
	int32_t waiting;
	int32_t pace;
	int64_t cold_us;
	bool refusing;
	bool none;
};

/**
 * struct load_choice_room - room at the upstreams with a fresh report
 * @asked: number of these upstreams
 * @room: those that could take a request up to the share of slots above which
 *	they get slower
 * @above_share: those with more requests than that share
 * @age_us: age of the oldest report
 */
struct load_choice_room {
	uint32_t asked;
	uint32_t room;
	uint32_t above_share;
	int64_t age_us;
};

/** load_choice_on_report() - record the answer to a probe */
void load_choice_on_report(
    struct rt_stat *s, const struct load_choice_report *r, int64_t now_us);

/** load_choice_on_probe_failure() - record that a probe failed or timed out */
void load_choice_on_probe_failure(struct rt_stat *s, int64_t now_us);

/** load_choice_is_fresh() - whether the last report is recent enough to use */
bool load_choice_is_fresh(const struct rt_stat *s, int64_t now_us);

/**
 * load_choice_candidates() - choose the upstreams to probe before a request
 * @s: service
 * @req: request; its exclusions, zone, draw and include_secondary are used
 * @now_us: boot-time microseconds
 * @rng: randomness
 * @out: receives indices into s->upstreams
 * @max: length of @out
 *
 * The candidates are in this VM's availability zone if that has enough, or half
 * of them when the request found no room there (@req.include_secondary).
 *
 * Return: number of candidates; 0 when no upstream has to be probed.
 */
uint32_t load_choice_candidates(const struct rt_service *s,
    const struct rt_request *req, int64_t now_us, struct random *rng,
    uint32_t *out, uint32_t max);

/**
 * load_choice_pick() - choose among the upstreams with a fresh report
 *
 * Upstreams that answer probes without their load are compared by this VM's own
 * calls in flight and the load in recent responses.
 *
 * Return: like rt_pick(), an index into s->upstreams, RT_FULL or RT_NONE.
 */
int load_choice_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng);

/** load_choice_room() - count the upstreams that have room, for admission */
void load_choice_room(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct load_choice_room *out);

/**
 * load_choice_may_take() - whether an upstream of @s could accept a request
 * that is late at another one
 *
 * The last report of the upstream may have expired, since the upstream is
 * probed again before the request is sent.
 */
bool load_choice_may_take(const struct rt_service *s,
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us);

/**
 * load_choice_first_return_us() - time until the first pause ends that an
 * upstream of @s asked for, 0 when none did
 */
int64_t load_choice_first_return_us(const struct rt_service *s, int64_t now_us);

/** load_choice_on_start() - record that a request is sent to @u */
void load_choice_on_start(const struct rt_upstream *u, int64_t now_us);

#endif
