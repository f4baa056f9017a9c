/*
 * cbal - choice of a target as the platform's balancer makes it.
 *
 * Targets are entry VMs in turn, or upstreams in turn for direct calls. An
 * entry VM with an ops address is used only while GET /health there answers
 * 200, checked every 500 ms; one without is skipped for 500 ms after a failed
 * connection.
 *
 *	cbal_init(&b, &loop, &plan, direct);
 *	t = cbal_pick(&b, service, last);
 *	cbal_failed(&b, t);
 *	cbal_finish(&b);
 */
#ifndef LOAD_CBAL_H
#define LOAD_CBAL_H

#include "load/cpl.h"
#include "load/evl.h"
#include "load/h1.h"

#define CBAL_NONE (-1)

struct cbal;

/** struct cbal_target - one target; the check is private */
struct cbal_target {
	const char *addr;
	const char *ops;
	bool up;
	int64_t down_until_us;
	struct cbal *b;
	struct evl_io io;
	struct evl_timer timer;
	struct h1 h1;
	bool sent;
};

/** struct cbal - all targets; direct ones are grouped by service */
struct cbal {
	struct evl *loop;
	struct cbal_target *targets;
	int n_targets;
	bool direct;
	int *first; /* of each service, only direct */
	int *next;  /* of each service, or one for all */
	const struct cpl *plan;
};

/** cbal_init() - targets of a plan; checks start with the loop */
void cbal_init(
    struct cbal *b, struct evl *loop, const struct cpl *plan, bool direct);

/** cbal_finish() - end the checks and free */
void cbal_finish(struct cbal *b);

/**
 * cbal_pick() - next target
 * @service: index in the plan
 * @avoid: target not to use while another is up, or CBAL_NONE
 *
 * Return: index of a target, or CBAL_NONE when none is up.
 */
int cbal_pick(struct cbal *b, uint32_t service, int avoid);

/** cbal_failed() - a connection to the target could not be made */
void cbal_failed(struct cbal *b, int target);

/** cbal_up() - number of targets that are up */
int cbal_up(const struct cbal *b);

#endif
