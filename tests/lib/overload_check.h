/*
 * overload_check - runs a load pattern at three sizes of the fleet and with the
 * baselines, and compares the results with bounds.
 *
 *	overload_run(&(struct osim_desc){.load = {0.3, 1.2}}, "burst", &r);
 *	bad = overload_check(&r, "urgent", OVERLOAD_URGENT, 0.97);
 */
#ifndef LIB_OVERLOAD_CHECK_H
#define LIB_OVERLOAD_CHECK_H

#include "lib/overload_sim.h"

#define OVERLOAD_SEEDS 10
#define OVERLOAD_SIZES 3

/** struct overload_result - sums over the seeds */
struct overload_result {
	const char *name;
	struct osim_result vms[OVERLOAD_SIZES];
	struct osim_result base[OSIM_POLICIES]; /* with the first size */
};

/** enum overload_figure - what is compared */
enum overload_figure {
	OVERLOAD_URGENT,      /* urgent calls within their goal */
	OVERLOAD_GOODPUT,     /* work in time, relative to the central queue */
	OVERLOAD_EARLY,       /* rejections within an eighth of the goal */
	OVERLOAD_LEAST_SHARE, /* least urgent served, relative to all served */
};

/** overload_sum() - run one policy and size with all seeds */
void overload_sum(struct osim_desc d, enum osim_policy policy, uint32_t n_vms,
    struct osim_result *r);

/** overload_run() - run a pattern; prints all figures */
void overload_run(
    const struct osim_desc *d, const char *name, struct overload_result *r);

/** overload_figure() - a figure at a size */
double overload_figure(
    const struct overload_result *r, enum overload_figure f, int size);

/**
 * overload_check() - print where a figure is below @least
 *
 * Return: number of sizes at which it is.
 */
int overload_check(
    const struct overload_result *r, enum overload_figure f, double least);

/**
 * overload_check_pattern() - run a pattern and assert what all patterns keep:
 * the share of good urgent calls, the share of the least urgent ones, about the
 * same at all sizes, better than at present, and one answer for each call
 */
void overload_check_pattern(const struct osim_desc *d, const char *name);

#endif
