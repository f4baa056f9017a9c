/*
 * A fleet in virtual time with four zones of different sizes and demands:
 * guards against requests that go to other zones while their own has room,
 * against latency that locality would cost, and against upstreams that get much
 * more than the others of their zone. Each VM builds its routing table and
 * chooses with the real modules.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "fleet/fleet_view.h"
#include "route/load_choice.h"

#define N_ZONES 4
#define N_VMS 121
#define N_UP 331
#define SLOTS 4
#define WORK_US 250000
#define GOAL_US 600000
#define STEP_US 1000
#define RUN_US 120000000
#define PACE_PERIOD_US 150000
#define RETRY_US 25000
#define ROUND_TRIP_US 400
#define OTHER_ZONE_TRIP_US 2800
/* Share of the upstreams that are slow at a time, and their pace in percent. */
#define SLOW_PERCENT 25
#define SLOW_PACE 500
#define MAX_QUEUE 4096
/* Bounds for requests that leave their zone, and for the busiest upstream. */
#define MAX_CROSSING 0.15
#define MAX_BUSIEST 1.25

static const uint32_t n_vms[N_ZONES] = {34, 34, 26, 27};
static const uint32_t n_up[N_ZONES] = {101, 78, 82, 70};
static const char *const zones[N_ZONES] = {"a", "b", "c", "d"};

/** struct vm - a VM with its table and the requests that wait there */
struct vm {
	uint32_t zone;
	struct fleet_view view;
	struct rt_table *table;
	const struct rt_service *s;
	struct random rng;
};

/** struct upstream - true state of an upstream; work is in units of usual time
 */
struct upstream {
	uint32_t zone;
	uint32_t running;
	int32_t pace;
	uint32_t served;
	int64_t left_us[SLOTS];
	int64_t arrived_us[SLOTS];
};

/** struct waiting - a request that found no room yet */
struct waiting {
	uint32_t vm;
	int64_t arrived_us;
	int64_t next_us;
};

/** struct result - sums over a run */
struct result {
	uint32_t sent;
	uint32_t crossed;
	uint32_t in_goal;
	uint32_t late;
	double busiest;
};

static struct vm vms[N_VMS];
static struct upstream ups[N_UP];
static struct waiting queue[MAX_QUEUE];
static uint32_t n_queue;
static struct random rng;

static uint32_t
zone_of(const uint32_t *counts, uint32_t i)
{
	uint32_t z = 0;

	while (i >= counts[z])
		i -= counts[z++];
	return (z);
}

static void
add_upstreams(struct fleet_view *f)
{
	for (uint32_t i = 0; i < N_UP; i++) {
		char id[16];
		struct obj_upstream u = {.service = g_strdup("s"),
		    .address = g_strdup("10.0.0.1:80"),
		    .zone = g_strdup(zones[zone_of(n_up, i)]),
		    .version = g_strdup("v1"),
		    .slots = SLOTS};

		snprintf(id, sizeof(id), "u%u", i);
		u.id = g_strdup(id);
		view_set_upstream(f, id, &u, 0);
	}
}

static void
add_members(struct fleet_view *f)
{
	for (uint32_t i = 0; i < N_VMS; i++) {
		char id[16];
		struct obj_member m = {.address = g_strdup("10.0.0.1:80"),
		    .zone = g_strdup(zones[zone_of(n_vms, i)])};

		snprintf(id, sizeof(id), "vm%u", i);
		m.id = g_strdup(id);
		view_set_member(f, id, &m);
	}
}

static void
start_vm(uint32_t i, bool locality)
{
	struct obj_config *c = obj_config_new();
	struct vm *v = &vms[i];
	char id[16];

	snprintf(id, sizeof(id), "vm%u", i);
	*v = (struct vm){.zone = zone_of(n_vms, i)};
	rng_init(&v->rng, i + 1);
	view_init(&v->view,
	    &(struct view_desc){
		.self = id, .zone = locality ? zones[v->zone] : NULL});
	c->version = 1;
	c->n_services = 1;
	c->services = calloc(1, sizeof(*c->services));
	c->services[0].name = g_strdup("s");
	c->services[0].probe_path = g_strdup("/health");
	view_set_config(&v->view, c);
	add_upstreams(&v->view);
	add_members(&v->view);
	for (int k = 0; k < STORE_KINDS; k++)
		view_end(&v->view, (enum store_kind)k, 0);
	v->table = view_table(&v->view, 0);
	v->s = rt_find_service(v->table, BSTR("s"));
}

static uint32_t
index_of(const struct rt_upstream *u)
{
	return ((uint32_t)atoi(u->id.p + 1));
}

static void
probe(struct vm *v, const struct rt_request *req, int64_t now_us)
{
	uint32_t found[LOAD_CHOICE_FANOUT];
	uint32_t n = load_choice_candidates(
	    v->s, req, now_us, &v->rng, found, LOAD_CHOICE_FANOUT);

	for (uint32_t i = 0; i < n; i++) {
		const struct rt_upstream *u = &v->s->upstreams[found[i]];
		const struct upstream *to = &ups[index_of(u)];
		struct load_choice_report r = {
		    .running = (int32_t)to->running, .pace = to->pace};

		load_choice_on_report(u->stat, &r, now_us);
	}
}

static void
begin(struct upstream *u, int64_t arrived_us)
{
	for (int k = 0; k < SLOTS; k++) {
		if (u->left_us[k] > 0)
			continue;
		u->left_us[k] = WORK_US / 2 + (int64_t)rng_below(&rng, WORK_US);
		u->arrived_us[k] = arrived_us;
		u->running++;
		u->served++;
		return;
	}
}

/* Tries to start a request; false when no upstream has room for it. */
static bool
try_start(struct vm *v, bool locality, bool waited, int64_t arrived_us,
    int64_t now_us, struct result *out)
{
	struct rt_request req = {.zone = BSTR(""),
	    .draw = rng_below(&v->rng, 1000),
	    .include_secondary = waited};
	struct upstream *u;
	int i;

	if (locality)
		req.zone = bstr_from(zones[v->zone]);
	probe(v, &req, now_us);
	i = load_choice_pick(v->s, &req, now_us, &v->rng);
	if (i == RT_FULL && !waited) {
		req.include_secondary = true;
		probe(v, &req, now_us);
		i = load_choice_pick(v->s, &req, now_us, &v->rng);
	}
	if (i < 0)
		return (false);
	u = &ups[index_of(&v->s->upstreams[i])];
	if (u->running == SLOTS)
		return (false);
	atomic_fetch_add(&v->s->upstreams[i].stat->started_since_report, 1);
	out->sent++;
	out->crossed += u->zone != v->zone;
	begin(u, arrived_us - (u->zone == v->zone ? 0 : OTHER_ZONE_TRIP_US));
	return (true);
}

static void
add_waiting(uint32_t vm, int64_t now_us)
{
	assert_true(n_queue < MAX_QUEUE);
	queue[n_queue++] = (struct waiting){vm, now_us, now_us + RETRY_US};
}

/* Zone "a" has twice the demand of each other zone. */
static void
add_arrivals(bool locality, int64_t now_us, struct result *out)
{
	static const double per_s[N_ZONES] = {600, 300, 300, 300};

	for (uint32_t z = 0, first = 0; z < N_ZONES; first += n_vms[z++]) {
		double expected = per_s[z] * STEP_US / 1e6;
		uint32_t vm = first + rng_below(&rng, n_vms[z]);

		if (rng_below(&rng, 1000000) >= (uint32_t)(expected * 1e6))
			continue;
		if (!try_start(&vms[vm], locality, false, now_us, now_us, out))
			add_waiting(vm, now_us);
	}
}

static void
retry_waiting(bool locality, int64_t now_us, struct result *out)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_queue; i++) {
		struct waiting w = queue[i];

		if (now_us < w.next_us) {
			queue[n++] = w;
		} else if (!try_start(&vms[w.vm], locality, true, w.arrived_us,
			       now_us, out)) {
			w.next_us = now_us + RETRY_US;
			queue[n++] = w;
		}
	}
	n_queue = n;
}

static void
finish(struct upstream *u, int k, int64_t now_us, struct result *out)
{
	u->running--;
	if (now_us - u->arrived_us[k] + ROUND_TRIP_US <= GOAL_US)
		out->in_goal++;
	else
		out->late++;
}

static void
work(int64_t now_us, struct result *out)
{
	for (uint32_t i = 0; i < N_UP; i++) {
		struct upstream *u = &ups[i];
		int64_t done = STEP_US * 100 / u->pace;

		if (now_us % PACE_PERIOD_US == 0)
			u->pace = rng_below(&rng, 100) < SLOW_PERCENT
			    ? SLOW_PACE
			    : 100;
		if (u->running == SLOTS)
			done = done * 10 / 17;
		for (int k = 0; k < SLOTS; k++) {
			if (u->left_us[k] <= 0)
				continue;
			u->left_us[k] -= done;
			if (u->left_us[k] <= 0)
				finish(u, k, now_us, out);
		}
	}
}

static double
busiest_of_zones(void)
{
	double busiest = 0;

	for (uint32_t z = 0, first = 0; z < N_ZONES; first += n_up[z++]) {
		uint32_t sum = 0, most = 0;

		for (uint32_t i = first; i < first + n_up[z]; i++) {
			sum += ups[i].served;
			most = ups[i].served > most ? ups[i].served : most;
		}
		busiest = fmax(busiest, (double)most * n_up[z] / sum);
	}
	return (busiest);
}

static struct result
run(bool locality, uint64_t seed)
{
	struct result out = {0};

	rng_init(&rng, seed);
	n_queue = 0;
	for (uint32_t i = 0; i < N_UP; i++)
		ups[i] =
		    (struct upstream){.zone = zone_of(n_up, i), .pace = 100};
	for (uint32_t i = 0; i < N_VMS; i++)
		start_vm(i, locality);
	for (int64_t t = STEP_US; t <= RUN_US; t += STEP_US) {
		work(t, &out);
		retry_waiting(locality, t, &out);
		add_arrivals(locality, t, &out);
	}
	for (uint32_t i = 0; i < N_VMS; i++) {
		rt_table_free(vms[i].table);
		view_finish(&vms[i].view);
	}
	out.busiest = busiest_of_zones();
	printf("locality %d: sent %u, crossed %.3f, in goal %.4f, busiest "
	       "%.2f, waiting %u\n",
	    locality, out.sent, (double)out.crossed / out.sent,
	    (double)out.in_goal / (out.in_goal + out.late), out.busiest,
	    n_queue);
	return (out);
}

static double
goal_share(const struct result *r)
{
	return ((double)r->in_goal / (r->in_goal + r->late));
}

static void
test_uneven_zones(void **state)
{
	struct result with, without;

	(void)state;
	with = run(true, 1);
	without = run(false, 1);
	assert_true(with.crossed <= MAX_CROSSING * with.sent);
	assert_true(goal_share(&with) >= goal_share(&without));
	assert_true(with.busiest <= MAX_BUSIEST);
}

int
main(void)
{
	const struct CMUnitTest tests[] = {
	    cmocka_unit_test(test_uneven_zones),
	};

	return (cmocka_run_group_tests(tests, NULL, NULL));
}
