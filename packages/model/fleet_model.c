#include "model/fleet_model.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/random.h"
#include "route/routing.h"

#define US_PER_S 1000000.0
#define SHIFT_PERIOD_US 20000
#define COLD_RAMP_US 10000000
#define WARMUP_DIVISOR 5 /* measured calls per warm-up call */
#define RETRY_INTERVAL_US 2000
#define MAX_WAIT_US 50000

/**
 * enum event_kind - what happens at a point in virtual time
 * @EV_ARRIVE: a call arrives at a VM
 * @EV_REQUEST: a request reaches the upstream
 * @EV_SERVED: the upstream finishes a request
 * @EV_RESPONSE: the response reaches the VM
 * @EV_RETRY: a VM tries again to choose an upstream for a waiting call
 * @EV_SHIFT: the speeds of all upstreams change
 */
enum event_kind {
	EV_ARRIVE,
	EV_REQUEST,
	EV_SERVED,
	EV_RESPONSE,
	EV_RETRY,
	EV_SHIFT
};

/**
 * struct job - one call
 * @start_us: arrival at the VM
 * @sent_us: time at which the VM sent it to the upstream
 * @vm: index of the VM
 * @upstream: index of the upstream
 * @load: requests in flight that the upstream reports with the response
 * @failed: the upstream failed the call
 * @measured: arrived after the warm-up, so it is counted
 * @next: next call in the queue of the upstream
 */
struct job {
	int64_t start_us;
	int64_t sent_us;
	uint32_t vm;
	int32_t upstream;
	int32_t load;
	bool failed;
	bool measured;
	struct job *next;
};

/**
 * struct event - entry of the event heap
 * @at_us: virtual time
 * @order: sequence number that orders events of the same time
 * @kind: what happens
 * @job: call concerned, or NULL
 */
struct event {
	int64_t at_us;
	uint64_t order;
	enum event_kind kind;
	struct job *job;
};

/**
 * struct server - one upstream
 * @busy: slots in use
 * @in_flight: requests being served or queued
 * @head: first queued request
 * @tail: pointer that the next queued request is stored to
 * @speed: service rate relative to normal
 * @faulty: counted in the faulty share: upstream 0, and all cold upstreams
 * @cold_since_us: start of the cold ramp-up, -1 when not cold
 */
struct server {
	uint32_t busy;
	uint32_t in_flight;
	struct job *head, **tail;
	double speed;
	bool faulty;
	int64_t cold_since_us;
};

/**
 * struct vm - one load balancer VM
 * @table: routing table
 * @stats: load statistics of each upstream
 * @next: position of the round-robin policy
 * @rng: random numbers of this VM
 */
struct vm {
	struct rt_table *table;
	struct rt_stat **stats;
	uint32_t next;
	struct random rng;
};

/**
 * struct model - state of one run
 * @d: settings with the defaults filled in
 * @rng: random numbers of arrivals and service times
 * @now_us: current virtual time
 * @heap: pending events, ordered as a binary heap
 * @n: number of pending events
 * @cap: allocated length of @heap
 * @order: sequence number of the next event
 * @servers: upstreams
 * @vms: load balancer VMs
 * @arrivals: calls that have arrived
 * @warmup: number of calls before the measured ones
 * @sent: measured calls sent to upstreams
 * @sent_faulty: measured calls sent to faulty upstreams
 * @first_arrival_us: arrival of the first measured call
 * @last_arrival_us: arrival of the latest call
 * @answered_in_time: calls answered within the deadline while measured calls
 *	arrive
 * @r: result of the run
 */
struct model {
	struct model_desc d;
	struct random rng;
	int64_t now_us;
	struct event *heap;
	size_t n, cap;
	uint64_t order;
	struct server *servers;
	struct vm *vms;
	uint32_t arrivals;
	uint32_t warmup;
	uint64_t sent, sent_faulty;
	int64_t first_arrival_us, last_arrival_us;
	uint64_t answered_in_time;
	struct model_result *r;
};

static void *
xcalloc(size_t n, size_t size)
{
	void *p = calloc(n, size);

	if (p == NULL)
		abort();
	return (p);
}

static bool
is_earlier(const struct event *a, const struct event *b)
{
	return (
	    a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order);
}

static void
push(struct model *m, int64_t at_us, enum event_kind kind, struct job *job)
{
	size_t i;

	if (m->n == m->cap) {
		m->cap = m->cap == 0 ? 1024 : m->cap * 2;
		m->heap = realloc(m->heap, m->cap * sizeof(*m->heap));
		if (m->heap == NULL)
			abort();
	}
	i = m->n++;
	m->heap[i] = (struct event){at_us, m->order++, kind, job};
	while (i > 0 && is_earlier(&m->heap[i], &m->heap[(i - 1) / 2])) {
		struct event e = m->heap[i];

		m->heap[i] = m->heap[(i - 1) / 2];
		m->heap[(i - 1) / 2] = e;
		i = (i - 1) / 2;
	}
}

static struct event
pop(struct model *m)
{
	struct event top = m->heap[0];
	size_t i = 0;

	m->heap[0] = m->heap[--m->n];
	for (;;) {
		size_t k = 2 * i + 1;
		struct event e;

		if (k >= m->n)
			break;
		if (k + 1 < m->n && is_earlier(&m->heap[k + 1], &m->heap[k]))
			k++;
		if (!is_earlier(&m->heap[k], &m->heap[i]))
			break;
		e = m->heap[i];
		m->heap[i] = m->heap[k];
		m->heap[k] = e;
		i = k;
	}
	return (top);
}

static double
exponential(struct random *r, double mean)
{
	return (-mean * log(1.0 - rng_unit(r)));
}

static bool
in_service(const struct model *m, uint32_t i)
{
	return (m->d.fault != MODEL_ZONE_GONE || i % 3 != 0);
}

static uint32_t
current_slots(const struct model *m, const struct server *s)
{
	int64_t age = m->now_us - s->cold_since_us;
	uint32_t n;

	if (s->cold_since_us < 0 || age >= COLD_RAMP_US)
		return (m->d.slots);
	n = 1 + (uint32_t)((int64_t)(m->d.slots - 1) * age / COLD_RAMP_US);
	return (n);
}

static void
setup_vm(struct model *m, struct vm *v, uint64_t seed)
{
	struct rt_upstream *upstreams =
	    xcalloc(m->d.upstreams, sizeof(*upstreams));
	struct rt_version version = {.name = BSTR("v1"), .share = 1000};
	struct rt_service s = {.name = BSTR("s"),
	    .versions = &version,
	    .n_versions = 1,
	    .upstreams = upstreams,
	    .n_upstreams = m->d.upstreams,
	    .slots = m->d.slots};
	struct rt_desc desc = {.services = &s, .n_services = 1};

	rng_init(&v->rng, seed);
	v->stats = xcalloc(m->d.upstreams, sizeof(struct rt_stat *));
	for (uint32_t i = 0; i < m->d.upstreams; i++) {
		char id[16];

		snprintf(id, sizeof(id), "u%u", i);
		v->stats[i] = rt_stat_new();
		upstreams[i].id =
		    (struct bstr){bstr_dup(bstr_from(id)), strlen(id)};
		upstreams[i].slots = m->d.slots;
		upstreams[i].state = in_service(m, i) ? RT_READY : RT_DRAINING;
		upstreams[i].stat = v->stats[i];
	}
	v->table = rt_table_new(&desc);
	for (uint32_t i = 0; i < m->d.upstreams; i++)
		free((char *)(uintptr_t)upstreams[i].id.p);
	free(upstreams);
	v->next = rng_below(&v->rng, m->d.upstreams);
}

static void
setup(struct model *m)
{
	m->servers = xcalloc(m->d.upstreams, sizeof(*m->servers));
	for (uint32_t i = 0; i < m->d.upstreams; i++) {
		struct server *s = &m->servers[i];

		s->tail = &s->head;
		s->speed = 1;
		s->cold_since_us = -1;
		if (m->d.fault == MODEL_COLD && i % 3 == 0) {
			s->cold_since_us = 0;
			s->faulty = true;
		}
	}
	m->servers[0].faulty = true;
	if (m->d.fault == MODEL_SLOW)
		m->servers[0].speed = 1.0 / m->d.slow_factor;
	m->vms = xcalloc(m->d.vms, sizeof(*m->vms));
	for (uint32_t i = 0; i < m->d.vms; i++)
		setup_vm(m, &m->vms[i], m->d.seed * 1000 + i);
}

static int
pick_random(struct model *m, struct vm *v)
{
	uint32_t i;

	do {
		i = rng_below(&v->rng, m->d.upstreams);
	} while (!in_service(m, i));
	return ((int)i);
}

static int
pick(struct model *m, struct vm *v)
{
	static const struct rt_request none;
	uint32_t n;
	int a, b;

	switch (m->d.policy) {
	case MODEL_RANDOM:
		return (pick_random(m, v));
	case MODEL_ROUND_ROBIN:
		do {
			v->next = (v->next + 1) % m->d.upstreams;
		} while (!in_service(m, v->next));
		return ((int)v->next);
	case MODEL_TWO_CHOICES:
		a = pick_random(m, v);
		b = pick_random(m, v);
		return (atomic_load(&v->stats[b]->in_flight) <
			    atomic_load(&v->stats[a]->in_flight)
			? b
			: a);
	default:
		return (rt_pick(
		    rt_services(v->table, &n), &none, m->now_us, &v->rng));
	}
}

static void
dispatch(struct model *m, struct job *j)
{
	struct vm *v = &m->vms[j->vm];
	int i = pick(m, v);

	if (i < 0) {
		if (m->now_us - j->start_us < MAX_WAIT_US) {
			push(m, m->now_us + RETRY_INTERVAL_US, EV_RETRY, j);
			return;
		}
		m->r->refused += j->measured;
		free(j);
		return;
	}
	j->upstream = i;
	j->sent_us = m->now_us;
	rt_try_start(v->stats[i], false, m->now_us);
	if (j->measured) {
		m->sent++;
		m->sent_faulty += m->servers[i].faulty;
	}
	push(m, m->now_us + m->d.one_way_us, EV_REQUEST, j);
}

static void
on_arrive(struct model *m)
{
	double rate = m->d.load * m->d.upstreams * m->d.slots * US_PER_S /
	    m->d.service_us;
	struct job *j = xcalloc(1, sizeof(*j));

	j->start_us = m->now_us;
	j->vm = m->arrivals % m->d.vms;
	j->measured = m->arrivals >= m->warmup;
	if (m->arrivals == m->warmup)
		m->first_arrival_us = m->now_us;
	m->arrivals++;
	m->last_arrival_us = m->now_us;
	if (m->arrivals < m->warmup + m->d.calls)
		push(m,
		    m->now_us +
			(int64_t)(exponential(&m->rng, US_PER_S / rate) + 0.5),
		    EV_ARRIVE, NULL);
	dispatch(m, j);
}

static void
start_service(struct model *m, struct server *s, struct job *j)
{
	double t = exponential(&m->rng, m->d.service_us) / s->speed;

	s->busy++;
	push(m, m->now_us + (int64_t)t, EV_SERVED, j);
}

static void
on_request(struct model *m, struct job *j)
{
	struct server *s = &m->servers[j->upstream];

	if (m->d.fault == MODEL_FAIL_FAST && j->upstream == 0) {
		j->failed = true;
		j->load = 0;
		push(m, m->now_us + m->d.one_way_us, EV_RESPONSE, j);
		return;
	}
	s->in_flight++;
	if (s->cold_since_us >= 0 && s->in_flight > 2 * current_slots(m, s) &&
	    current_slots(m, s) < m->d.slots)
		m->r->cold_overload += j->measured;
	if (s->busy < current_slots(m, s)) {
		start_service(m, s, j);
		return;
	}
	j->next = NULL;
	*s->tail = j;
	s->tail = &j->next;
}

static void
on_served(struct model *m, struct job *j)
{
	struct server *s = &m->servers[j->upstream];

	s->busy--;
	s->in_flight--;
	j->load = (int32_t)s->in_flight;
	push(m, m->now_us + m->d.one_way_us, EV_RESPONSE, j);
	while (s->head != NULL && s->busy < current_slots(m, s)) {
		struct job *next = s->head;

		s->head = next->next;
		if (s->head == NULL)
			s->tail = &s->head;
		start_service(m, s, next);
	}
}

/*
 * Returns whether measured calls are still arriving. Goodput is measured only
 * during this period.
 */
static bool
is_arriving(const struct model *m)
{
	return (
	    m->arrivals > m->warmup && m->arrivals < m->warmup + m->d.calls);
}

static void
on_response(struct model *m, struct job *j)
{
	struct rt_result result = {
	    .latency_us = m->now_us - j->sent_us,
	    .failed = j->failed,
	    .reported = j->load,
	};
	int64_t t = m->now_us - j->start_us;

	rt_on_finish(
	    m->vms[j->vm].stats[j->upstream], m->d.slots, &result, m->now_us);
	if (!j->failed && t <= m->d.deadline_us && is_arriving(m))
		m->answered_in_time++;
	if (j->measured && j->failed) {
		m->r->failed++;
	} else if (j->measured && t > m->d.deadline_us) {
		m->r->late++;
		hist_add(&m->r->latency, (uint64_t)t);
	} else if (j->measured) {
		m->r->good++;
		hist_add(&m->r->latency, (uint64_t)t);
	}
	free(j);
}

static void
on_shift(struct model *m)
{
	for (uint32_t i = 0; i < m->d.upstreams; i++)
		m->servers[i].speed = 0.5 + rng_unit(&m->rng);
	if (m->n > 0)
		push(m, m->now_us + SHIFT_PERIOD_US, EV_SHIFT, NULL);
}

static void
set_defaults(struct model_desc *d)
{
#define DEF(field, value) d->field = d->field == 0 ? (value) : d->field
	DEF(load, 0.85);
	DEF(vms, 13);
	DEF(upstreams, 20);
	DEF(slots, 6);
	DEF(service_us, 5000);
	DEF(one_way_us, 700);
	DEF(slow_factor, 5);
	DEF(calls, 200000);
	DEF(deadline_us, 1000000);
	DEF(seed, 1);
#undef DEF
}

static void
run_event(struct model *m, const struct event *e)
{
	switch (e->kind) {
	case EV_ARRIVE:
		on_arrive(m);
		break;
	case EV_REQUEST:
		on_request(m, e->job);
		break;
	case EV_SERVED:
		on_served(m, e->job);
		break;
	case EV_RESPONSE:
		on_response(m, e->job);
		break;
	case EV_RETRY:
		dispatch(m, e->job);
		break;
	case EV_SHIFT:
		on_shift(m);
		break;
	}
}

static void
teardown(struct model *m)
{
	for (uint32_t i = 0; i < m->d.vms; i++) {
		rt_table_free(m->vms[i].table);
		for (uint32_t k = 0; k < m->d.upstreams; k++)
			rt_stat_unref(m->vms[i].stats[k]);
		free(m->vms[i].stats);
	}
	free(m->vms);
	free(m->servers);
	free(m->heap);
}

void
model_run(const struct model_desc *desc, struct model_result *result)
{
	struct model m = {.d = *desc, .r = result};
	double capacity;

	*result = (struct model_result){0};
	set_defaults(&m.d);
	rng_init(&m.rng, m.d.seed);
	m.warmup = m.d.calls / WARMUP_DIVISOR;
	setup(&m);
	push(&m, 0, EV_ARRIVE, NULL);
	if (m.d.fault == MODEL_SHIFT)
		push(&m, 0, EV_SHIFT, NULL);
	while (m.n > 0) {
		struct event e = pop(&m);

		m.now_us = e.at_us;
		run_event(&m, &e);
	}
	capacity = m.d.upstreams * m.d.slots * US_PER_S / m.d.service_us;
	result->goodput = (double)m.answered_in_time /
	    ((double)(m.last_arrival_us - m.first_arrival_us) / US_PER_S) /
	    capacity;
	result->faulty_share =
	    m.sent == 0 ? 0 : (double)m.sent_faulty / (double)m.sent;
	teardown(&m);
}

const char *
model_policy_name(enum model_policy p)
{
	static const char *const names[] = {
	    "product", "random", "round-robin", "two-choices"};

	return (names[p]);
}

const char *
model_fault_name(enum model_fault f)
{
	static const char *const names[] = {
	    "none", "slow", "fail-fast", "zone-gone", "cold", "shift"};

	return (names[f]);
}
