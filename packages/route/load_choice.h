/*
 * load_choice - choice of an upstream by load that was asked for just before.
 *
 * The pace of an upstream changes within milliseconds, so what an earlier
 * response said is of little use. Before a request is sent, a few candidates
 * are asked for their load at the same time; the request goes to the one that
 * would finish it first.
 *
 *	n = load_choice_candidates(worker_service, &req, now_us, &rng, out,
 *	    LOAD_CHOICE_FANOUT);
 *	ask each of out[0..n-1]; load_choice_on_report() or
 *	    load_choice_on_silence() for each;
 *	i = load_choice_pick(worker_service, &req, now_us, &rng);
 *	load_choice_on_start(&svc->upstreams[i], now_us);
 *
 * A cold upstream bears few requests of the whole fleet. A process sends to one
 * only when rt_upstream.cold_share allows it, and at most one in
 * LOAD_CHOICE_COLD_SPACING_US.
 */
#ifndef ROUTE_LOAD_CHOICE_H
#define ROUTE_LOAD_CHOICE_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "route/routing.h"

/* Upstreams asked before a request. */
#define LOAD_CHOICE_FANOUT 4
/* A report is used for this long; the pace holds for about 150 ms. */
#define LOAD_CHOICE_FRESH_US 25000
/* An upstream that did not answer a probe is not asked for this long. */
#define LOAD_CHOICE_SILENCE_US 400000
/* An upstream that takes no work is not asked for this long. */
#define LOAD_CHOICE_REFUSAL_US 500000
/* Above one second, so that a second never holds two of them. */
#define LOAD_CHOICE_COLD_SPACING_US 1100000

/**
 * struct load_choice_report - what an upstream said of its load
 * @running: requests being served
 * @waiting: requests waiting for a slot
 * @pace: time that work takes now, in percent of the usual time
 * @cold_us: how long it stays cold, 0 when it is not
 * @refusing: it takes no work
 * @none: it answered, but without its load
 */
struct load_choice_report {
	int32_t running;
	int32_t waiting;
	int32_t pace;
	int64_t cold_us;
	bool refusing;
	bool none;
};

/** load_choice_on_report() - an upstream answered a probe */
void load_choice_on_report(
    struct rt_stat *s, const struct load_choice_report *r, int64_t now_us);

/** load_choice_on_silence() - an upstream did not answer a probe */
void load_choice_on_silence(struct rt_stat *s, int64_t now_us);

/** load_choice_is_fresh() - whether the last report may still be used */
bool load_choice_is_fresh(const struct rt_stat *s, int64_t now_us);

/**
 * load_choice_candidates() - upstreams to ask before a request
 * @s: service
 * @req: upstreams to avoid, own availability zone
 * @out: receives indices into s->upstreams
 * @max: length of @out
 *
 * Half of them are in the own availability zone where there are as many.
 *
 * Return: their number; 0 when no upstream has to be asked.
 */
uint32_t load_choice_candidates(const struct rt_service *s,
    const struct rt_request *req, int64_t now_us, struct random *rng,
    uint32_t *out, uint32_t max);

/**
 * load_choice_pick() - choose among the upstreams with a fresh report
 *
 * Like rt_pick(), it returns an index, RT_FULL or RT_NONE. Upstreams that give
 * no reports are compared by rt_pick()'s own measure.
 */
int load_choice_pick(const struct rt_service *s, const struct rt_request *req,
    int64_t now_us, struct random *rng);

/**
 * load_choice_may_take() - whether, by what is known now, an upstream could
 * take a request that was late elsewhere
 *
 * Its report may be old; it is asked again before the request is sent.
 */
bool load_choice_may_take(
    const struct rt_upstream *u, const struct rt_request *req, int64_t now_us);

/** load_choice_on_start() - a request is sent to @u */
void load_choice_on_start(const struct rt_upstream *u, int64_t now_us);

#endif
