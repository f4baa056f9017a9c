/*
 * balancer - choice of a target as the platform's balancer makes it.
 *
 * Targets are entry VMs in turn, or upstreams in turn for direct calls. An
 * entry VM with an ops address is used only while GET /health there answers
 * 200, checked every 500 ms; one without is skipped for 500 ms after a failed
 * connection.
 *
 *	balancer_init(&b, &loop, &plan, direct);
 *	t = balancer_pick(&b, service, last);
 *	balancer_failed(&b, t);
 *	balancer_finish(&b);
 */
#ifndef LOAD_BALANCER_H
#define LOAD_BALANCER_H

#include "load/load_plan.h"
#include "load/event_loop.h"
#include "load/http1_reader.h"

#define BALANCER_NONE (-1)

struct balancer;

/** struct balancer_target - one target; the check is private */
struct balancer_target {
	const char *addr;
	const char *ops;
	bool up;
	int64_t down_until_us;
	struct balancer *b;
	struct evloop_io io;
	struct evloop_timer timer;
	struct http1_reader h1;
	bool sent;
};

/** struct balancer - all targets; direct ones are grouped by service */
struct balancer {
	struct event_loop *loop;
	struct balancer_target *targets;
	int n_targets;
	bool direct;
	int *first; /* of each service, only direct */
	int *next;  /* of each service, or one for all */
	const struct load_plan *plan;
};

/** balancer_init() - targets of a plan; checks start with the loop */
void balancer_init(struct balancer *b, struct event_loop *loop,
    const struct load_plan *plan, bool direct);

/** balancer_finish() - end the checks and free */
void balancer_finish(struct balancer *b);

/**
 * balancer_pick() - next target
 * @service: index in the plan
 * @avoid: target not to use while another is up, or BALANCER_NONE
 *
 * Return: index of a target, or BALANCER_NONE when none is up.
 */
int balancer_pick(struct balancer *b, uint32_t service, int avoid);

/** balancer_failed() - a connection to the target could not be made */
void balancer_failed(struct balancer *b, int target);

/** balancer_up() - number of targets that are up */
int balancer_up(const struct balancer *b);

#endif
