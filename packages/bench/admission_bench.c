#include "bench/admission_bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include "admission/admission.h"

#define DEFAULT_CALLS 100000
/* The fastest of several rounds is least affected by other processes. */
#define ROUNDS 5
#define MAX_WAITING 1000
#define NS_PER_S 1000000000LL
#define STEP_US 10 /* time between two decisions */
#define GOAL_US 3000000
#define DEADLINE_US 4000000

static const uint32_t queue_lengths[] = {1, 100, MAX_WAITING};

/* Nanoseconds of each decision. */
struct cost {
	double wait;
	double start;
	double reject;
};

static int64_t
now_ns(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (t.tv_sec * NS_PER_S + t.tv_nsec);
}

static void
update_lowest(double *lowest, double ns)
{
	if (*lowest == 0 || ns < *lowest)
		*lowest = ns;
}

static struct adm_call
new_call(struct random *rng, int64_t now_us)
{
	return ((struct adm_call){.priority = rng_below(rng, 3),
	    .share = rng_next(rng),
	    .route = rng_below(rng, 8),
	    .arrived_us = now_us,
	    .goal_us = now_us + GOAL_US + (int64_t)rng_below(rng, 1000),
	    .deadline_us = now_us + DEADLINE_US});
}

/* Queues a call, as after a choice that found no upstream. */
static void
queue_call(struct admission *a, struct adm_call *c, int64_t now_us)
{
	struct adm_decision d = adm_on_arrival(a, c, now_us);

	if (d.verdict == ADM_START)
		d = adm_on_full(a, c, now_us);
	if (d.verdict != ADM_WAIT)
		abort();
}

/* Measures decisions with a queue of @n calls; each starts as many as come. */
static void
measure_round(uint32_t n, uint32_t calls, uint64_t seed, struct cost *cost)
{
	static struct adm_call slots[MAX_WAITING + 1];
	struct adm_call late, *c = &slots[n];
	struct admission a;
	struct random rng;
	int64_t now_us = STEP_US, ns[3] = {0}, t;

	rng_init(&rng, seed);
	adm_init(&a, &(struct adm_desc){.seed = seed});
	for (uint32_t i = 0; i < n; i++) {
		slots[i] = new_call(&rng, now_us);
		queue_call(&a, &slots[i], now_us);
		/* Room is found all the time, so that the queue may grow. */
		a.class[slots[i].priority].busy_starts = 1e6;
	}
	for (uint32_t i = 0; i < calls; i++) {
		now_us += STEP_US;
		*c = new_call(&rng, now_us);
		late = *c;
		late.deadline_us = now_us - 1;
		t = now_ns();
		queue_call(&a, c, now_us);
		ns[0] += now_ns() - t;
		t = now_ns();
		adm_on_slot_freed(&a);
		c = adm_take_next(&a, now_us);
		adm_on_start(&a, c, now_us);
		ns[1] += now_ns() - t;
		t = now_ns();
		if (adm_on_arrival(&a, &late, now_us).verdict != ADM_REJECT)
			abort();
		ns[2] += now_ns() - t;
	}
	update_lowest(&cost->wait, (double)ns[0] / calls);
	update_lowest(&cost->start, (double)ns[1] / calls);
	update_lowest(&cost->reject, (double)ns[2] / calls);
	adm_finish(&a);
}

void
admission_bench_run(const struct admission_bench_desc *desc)
{
	uint32_t calls = desc->calls == 0 ? DEFAULT_CALLS : desc->calls;

	if (!desc->json)
		printf("waiting  wait_ns start_ns reject_ns\n");
	for (size_t i = 0; i < sizeof(queue_lengths) / sizeof(uint32_t); i++) {
		struct cost c = {0};

		for (int r = 0; r < ROUNDS; r++)
			measure_round(queue_lengths[i], calls, desc->seed, &c);
		printf(desc->json ? "{\"waiting\":%u,\"wait_ns\":%.1f,"
				    "\"start_ns\":%.1f,\"reject_ns\":%.1f}\n"
				  : "%7u %8.0f %8.0f %9.0f\n",
		    queue_lengths[i], c.wait, c.start, c.reject);
	}
}
