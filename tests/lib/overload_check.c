#include "lib/overload_check.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <stdio.h>

#define URGENT_GOOD 0.97
#define SIZES_DIFFER 0.03
#define LEAST_SHARE 0.25
/* The runs of two policies draw different calls. */
#define SAMPLING_ERROR 0.005

static const uint32_t sizes[OVERLOAD_SIZES] = {19, 121, 500};

static const char *const policies[OSIM_POLICIES] = {
    "admission", "wait a third", "first come", "no queue", "central"};

static double
ratio(double a, double b)
{
	return (b == 0 ? 1 : a / b);
}

static double
served(const struct osim_result *r)
{
	return (ratio(r->class[0].served + r->class[1].served,
	    r->class[0].calls + r->class[1].calls));
}

void
overload_sum(struct osim_desc d, enum osim_policy policy, uint32_t n_vms,
    struct osim_result *r)
{
	*r = (struct osim_result){0};
	d.policy = policy;
	d.n_vms = n_vms;
	for (uint64_t i = 1; i <= OVERLOAD_SEEDS; i++) {
		d.seed = i;
		osim_run(&d, r);
	}
}

double
overload_figure(
    const struct overload_result *r, enum overload_figure f, int size)
{
	const struct osim_result *x = &r->vms[size];

	switch (f) {
	case OVERLOAD_URGENT:
		return (ratio(x->class[0].good, x->class[0].calls));
	case OVERLOAD_GOODPUT:
		return (x->work / r->base[OSIM_CENTRAL].work * sizes[0] /
		    sizes[size]);
	case OVERLOAD_EARLY:
		return (ratio(x->early_rejections, x->rejections));
	case OVERLOAD_LEAST_SHARE:
		return (ratio(
		    ratio(x->class[1].served, x->class[1].calls), served(x)));
	}
	return (0);
}

void
overload_run(
    const struct osim_desc *d, const char *name, struct overload_result *r)
{
	r->name = name;
	for (int p = 1; p < OSIM_POLICIES; p++) {
		const struct osim_class_result *c = r->base[p].class;

		overload_sum(*d, (enum osim_policy)p, sizes[0], &r->base[p]);
		printf("%s, %u VMs, %s: urgent %.3f, least %.3f\n", name,
		    sizes[0], policies[p], ratio(c[0].good, c[0].calls),
		    ratio(c[1].good, c[1].calls));
	}
	for (int i = 0; i < OVERLOAD_SIZES; i++) {
		const struct osim_class_result *c = r->vms[i].class;

		overload_sum(*d, OSIM_ADMISSION, sizes[i], &r->vms[i]);
		printf("%s, %u VMs: urgent %.3f, least %.3f, goodput %.3f, "
		       "early %.3f\n",
		    name, sizes[i], overload_figure(r, OVERLOAD_URGENT, i),
		    ratio(c[1].good, c[1].calls),
		    overload_figure(r, OVERLOAD_GOODPUT, i),
		    overload_figure(r, OVERLOAD_EARLY, i));
	}
}

int
overload_check(
    const struct overload_result *r, enum overload_figure f, double least)
{
	int bad = 0;

	for (int i = 0; i < OVERLOAD_SIZES; i++) {
		double x = overload_figure(r, f, i);

		if (x >= least)
			continue;
		printf("%s, %u VMs: figure %d is %.3f, bound %.3f\n", r->name,
		    sizes[i], f, x, least);
		bad++;
	}
	return (bad);
}

void
overload_check_pattern(const struct osim_desc *d, const char *name)
{
	static struct overload_result r;
	const struct osim_class_result *present;
	double good;

	overload_run(d, name, &r);
	good = overload_figure(&r, OVERLOAD_URGENT, 0);
	present = &r.base[OSIM_WAIT_THIRD].class[0];
	assert_int_equal(overload_check(&r, OVERLOAD_URGENT, URGENT_GOOD), 0);
	assert_int_equal(
	    overload_check(&r, OVERLOAD_LEAST_SHARE, LEAST_SHARE), 0);
	assert_true(fabs(overload_figure(&r, OVERLOAD_URGENT, 2) - good) <=
	    SIZES_DIFFER);
	assert_true(good + SAMPLING_ERROR >= present->good / present->calls);
	for (int i = 0; i < OVERLOAD_SIZES; i++)
		assert_int_equal(r.vms[i].wrong, 0);
}
