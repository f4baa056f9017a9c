/*
 * balancer - round-robin choice of a target, modelled on the platform's
 * balancer.
 *
 * The targets are the entry VMs or, for direct calls, the upstreams of the
 * services. An entry VM with an ops address is used only while GET /health at
 * that address returns 200, checked every 500 ms. A target without an ops
 * address is skipped for 500 ms after a failed connection.
 *
 *	balancer_init(&b, &loop, &plan, direct);
 *	t = balancer_pick(&b, service, last);
 *	balancer_failed(&b, t);
 *	balancer_finish(&b);
 */
#ifndef LOAD_BALANCER_H
#define LOAD_BALANCER_H

#include "load/event_loop.h"
#include "load/http1_reader.h"
#include "load/load_plan.h"

#define BALANCER_NONE (-1)

struct balancer;

/**
 * struct balancer_target - one target and the state of its health check
 * @addr: "ip:port" that calls are sent to
 * @ops: "ip:port" of the health check, NULL when there is none
 * @up: result of the last health check, false before the first one; always
 *	true without a check
 * @down_until_us: time until which the target is skipped, monotonic clock
 * @b: balancer that owns the target
 * @io: private, connection of the health check
 * @timer: private, start of the next health check
 * @h1: private, reader of the health check response
 * @sent: private, the health check request has been sent
 */
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

/**
 * struct balancer - all targets; upstreams are grouped by service
 * @loop: event loop of the health checks
 * @targets: all targets
 * @n_targets: number of targets
 * @direct: targets are upstreams instead of entry VMs
 * @first: index of the first target of each service; only used when @direct
 * @next: round-robin position of each service; entry VMs only use @next[0]
 * @plan: plan that holds the addresses
 */
struct balancer {
	struct event_loop *loop;
	struct balancer_target *targets;
	int n_targets;
	bool direct;
	int *first;
	int *next;
	const struct load_plan *plan;
};

/**
 * balancer_init() - create the targets of a plan
 * @b: balancer to set up
 * @loop: event loop that runs the health checks
 * @plan: plan to take the targets from; must outlive @b
 * @direct: use the upstreams of each service instead of the entry VMs
 */
void balancer_init(struct balancer *b, struct event_loop *loop,
    const struct load_plan *plan, bool direct);

/** balancer_finish() - stop the health checks and free the targets */
void balancer_finish(struct balancer *b);

/**
 * balancer_pick() - choose the next target
 * @b: balancer
 * @service: index of the service in the plan
 * @avoid: index of a target to use only when no other is up, or BALANCER_NONE
 *
 * Return: index of a target, or BALANCER_NONE when none is up.
 */
int balancer_pick(struct balancer *b, uint32_t service, int avoid);

/**
 * balancer_failed() - report that connecting to a target failed
 * @b: balancer
 * @target: index of the target, not BALANCER_NONE; with a health check the
 *	call has no effect
 */
void balancer_failed(struct balancer *b, int target);

/** balancer_count_up() - number of targets that are up */
int balancer_count_up(const struct balancer *b);

#endif
