#include "lib/overload_sim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "admission/admission.h"
#include "route/load_choice.h"
#include "route/retry_budget.h"

#define MS 1000LL
#define MEASURE_US (2000 * MS)
#define END_US (5000 * MS)
/* Time in which the finished work is measured; the burst has spread by then. */
#define WORK_FROM_US (3500 * MS)
#define WORK_UNTIL_US (6500 * MS)
/* Calls that are measured may return after the measured time. */
#define LAST_ARRIVAL_US (7000 * MS)
/* Demand of a class before the measured time, in shares of the capacity. */
#define LOAD_BEFORE 0.4
/* One way to an upstream, in the zone of the VM and in another one. */
#define NEAR_US (MS / 2)
#define FAR_US (MS * 3 / 2)
#define PACE_US (150 * MS)
#define SLOTS 4
#define FULL_SPEED_SLOTS 3 /* 0.8 of the slots */
#define SATURATED 1.7
#define SLOW 5
#define SLOW_SHARE 0.05
#define UPSTREAM_QUEUE 2
#define TABLE_MAX 24
#define PRIMARY 16
#define MAX_ATTEMPTS 3
#define BIG_WORKSPACE_SHARE 0.33
#define N_ZONES 3

/** struct kind - goal, deadline and usual work of a class */
static const struct kind {
	int64_t goal_us, deadline_us, work_us;
} kinds[OSIM_CLASSES] = {
    {250 * MS, 1000 * MS, 90 * MS},
    {3000 * MS, 4000 * MS, 560 * MS},
};

static const struct bstr zones[N_ZONES] = {{"a", 1}, {"b", 1}, {"c", 1}};

/** struct req - call of a caller; it may arrive several times */
struct req {
	struct adm_call adm; /* first member */
	uint32_t vm, cls, workspace, returns, attempts, up;
	int64_t born_us, deadline_us, sent_us;
	double work_us;
	int pace;
	const struct rt_stat *freed;
	bool waited, done;
	struct rt_stat *tried[MAX_ATTEMPTS];
	uint32_t n_tried;
	struct req *next;
};

struct fifo {
	struct req *head, **tail;
	uint32_t n;
};

struct up {
	struct fifo queue;
	int running, seen_running, seen_waiting;
	bool slow, always_slow, gone;
};

struct vm {
	struct admission adm;
	struct retry_budget budget;
	struct fifo queue;
	struct rt_service service;
	struct rt_upstream table[TABLE_MAX];
	uint32_t up[TABLE_MAX];
	struct bstr zone;
	int64_t tick_us, full_us, paused_until_us;
	struct rt_stat *freed;
	bool attempting, dead;
};

enum event { ARRIVE, RETURN, PICK, DELIVER, REFUSED, DONE, TICK, PACE };

struct ev {
	int64_t at_us;
	enum event type;
	void *p;
};

static struct sim {
	const struct osim_desc *d;
	struct osim_result *r;
	struct random rng;
	int64_t now_us, fault_us;
	struct ev *heap;
	uint32_t n, room;
	struct vm *vms;
	struct up *ups;
	struct rt_version version;
	struct req *free;
	struct fifo central[OSIM_CLASSES];
	double rate[OSIM_CLASSES];
} m;

static void
after(int64_t us, enum event type, void *p)
{
	uint32_t i = m.n++;

	if (m.n > m.room) {
		m.room = m.room == 0 ? 1024 : 2 * m.room;
		m.heap = realloc(m.heap, m.room * sizeof(*m.heap));
	}
	for (; i > 0 && m.heap[(i - 1) / 2].at_us > m.now_us + us;
	     i = (i - 1) / 2)
		m.heap[i] = m.heap[(i - 1) / 2];
	m.heap[i] = (struct ev){m.now_us + us, type, p};
}

static struct ev
next_event(void)
{
	struct ev first = m.heap[0], e = m.heap[--m.n];
	uint32_t i = 0;

	for (uint32_t k = 1; k < m.n; k = 2 * i + 1) {
		if (k + 1 < m.n && m.heap[k + 1].at_us < m.heap[k].at_us)
			k++;
		if (m.heap[k].at_us >= e.at_us)
			break;
		m.heap[i] = m.heap[k];
		i = k;
	}
	m.heap[i] = e;
	return (first);
}

static void
push(struct fifo *f, struct req *q)
{
	if (f->head == NULL)
		f->tail = &f->head;
	q->next = NULL;
	*f->tail = q;
	f->tail = &q->next;
	f->n++;
}

static void
push_front(struct fifo *f, struct req *q)
{
	if (f->head == NULL) {
		push(f, q);
		return;
	}
	q->next = f->head;
	f->head = q;
	f->n++;
}

static struct req *
pop(struct fifo *f)
{
	struct req *q = f->head;

	if (q != NULL) {
		f->head = q->next;
		f->n--;
	}
	return (q);
}

static bool
fault(enum osim_fault f)
{
	return (m.d->fault == f && m.now_us >= m.fault_us);
}

static bool
is_measured(const struct req *q)
{
	return (q->born_us >= MEASURE_US && q->born_us < END_US);
}

/* The call has ended: with an answer, or for good without one. */
static void
end(struct req *q, bool answered)
{
	struct osim_class_result *c = &m.r->class[q->cls];
	bool served = answered && m.now_us <= q->deadline_us;
	bool good = served && m.now_us <= q->born_us + kinds[q->cls].goal_us;

	m.r->wrong += q->done;
	q->done = true;
	if (served && m.now_us >= WORK_FROM_US && m.now_us < WORK_UNTIL_US)
		m.r->work += q->work_us / 1e6;
	if (is_measured(q)) {
		c->calls++;
		c->served += served;
		c->good += good;
		c->ran_late += answered && !served;
		m.r->workspace_calls[q->workspace]++;
		m.r->workspace_served[q->workspace] += served;
	}
	q->next = m.free;
	m.free = q;
}

static void
reject(struct req *q, int64_t retry_us)
{
	int64_t took_us = m.now_us - q->adm.arrived_us;

	if (is_measured(q)) {
		m.r->rejections++;
		m.r->early_rejections += took_us <= kinds[q->cls].goal_us / 8;
	}
	if (m.d->impatient)
		retry_us = 5 * MS;
	if (q->returns-- > 0 && m.now_us + retry_us < q->deadline_us)
		after(retry_us, RETURN, q);
	else
		end(q, false);
}

static struct rt_request
request(const struct vm *v, struct req *q)
{
	struct rt_request r = {.zone = v->zone,
	    .n_excluded = q->n_tried,
	    .work_us = q->adm.work_us,
	    .remaining_us = q->deadline_us - m.now_us};
	struct adm_terms t;

	memcpy(r.excluded, q->tried, sizeof(q->tried));
	r.include_secondary = q->waited;
	if (m.d->policy == OSIM_ADMISSION) {
		t = adm_terms(
		    (struct admission *)&v->adm, &q->adm, SLOTS, m.now_us);
		r.use_all_slots = t.use_all_slots;
		r.keep_slots = t.keep_slots;
		r.freed = q->freed;
	}
	return (r);
}

/* An upstream answers a probe, as far as the fault allows it. */
static void
probe(const struct vm *v, uint32_t i)
{
	const struct up *u = &m.ups[v->up[i]];
	struct load_choice_report r = {.running = u->running,
	    .waiting = (int32_t)u->queue.n,
	    .pace = u->slow || u->always_slow ? SLOW * 100 : 100,
	    .refusing = u->gone};

	if (fault(OSIM_REPORTS_LATE)) {
		r.running = u->seen_running;
		r.waiting = u->seen_waiting;
	}
	if (fault(OSIM_REPORTS_FALSE) && v->up[i] % 4 == 0)
		r.running = r.waiting = 0;
	if ((fault(OSIM_REPORTS_MISSING) && rng_below(&m.rng, 2) == 0) ||
	    (fault(OSIM_VM_CUT_OFF) && v == m.vms))
		load_choice_on_probe_failure(v->table[i].stat, m.now_us);
	else
		load_choice_on_report(v->table[i].stat, &r, m.now_us);
}

static bool
is_near(const struct vm *v, uint32_t i)
{
	return (bstr_eq(v->table[i].zone, v->zone));
}

static void
attempt(struct req *q)
{
	struct vm *v = &m.vms[q->vm];
	struct rt_request r = request(v, q);
	uint32_t out[LOAD_CHOICE_FANOUT];
	uint32_t n = load_choice_candidates(
	    &v->service, &r, m.now_us, &m.rng, out, LOAD_CHOICE_FANOUT);

	int64_t us = 2 * NEAR_US;

	m.r->attempts++;
	for (uint32_t i = 0; i < n; i++) {
		if (!is_near(v, out[i]))
			us = 2 * FAR_US;
		if (v->table[out[i]].stat == r.freed ||
		    !load_choice_is_fresh(v->table[out[i]].stat, m.now_us))
			probe(v, out[i]);
	}
	after(us, PICK, q);
}

static int64_t
wait_limit_us(const struct req *q)
{
	switch (m.d->policy) {
	case OSIM_WAIT_THIRD:
		return (q->adm.arrived_us + kinds[q->cls].goal_us / 3);
	case OSIM_FIRST_COME:
		return (q->deadline_us);
	default:
		return (q->adm.arrived_us);
	}
}

static int64_t
baseline_retry_us(void)
{
	return ((100 + rng_below(&m.rng, 300)) * MS);
}

/* Queue of the baselines: the first call makes an attempt at each interval. */
static int64_t
run_baseline(struct vm *v)
{
	struct req *q;

	while (v->queue.n != 0 && m.now_us >= wait_limit_us(v->queue.head))
		reject(pop(&v->queue), baseline_retry_us());
	if (!v->attempting && v->queue.n != 0 &&
	    m.now_us - v->full_us >= ADM_ATTEMPT_US) {
		q = pop(&v->queue);
		v->attempting = true;
		q->waited = true;
		attempt(q);
	}
	return (v->queue.n == 0 ? INT64_MAX : m.now_us + 5 * MS);
}

static int64_t
run_admission(struct vm *v)
{
	struct adm_decision d;
	struct adm_call *c;

	while ((c = adm_take_expired(&v->adm, m.now_us, &d)) != NULL)
		reject((struct req *)c, d.retry_after_us);
	while ((c = adm_take_next(&v->adm, m.now_us)) != NULL) {
		m.r->inverted +=
		    c->priority != 0 && v->adm.class[0].n_waiting != 0;
		((struct req *)c)->waited = true;
		((struct req *)c)->freed = v->freed;
		v->freed = NULL;
		attempt((struct req *)c);
	}
	return (adm_next_us(&v->adm, m.now_us));
}

static void
run_vm(struct vm *v)
{
	int64_t at;

	if (m.now_us < v->paused_until_us) {
		at = v->paused_until_us;
	} else {
		at = m.d->policy == OSIM_ADMISSION ? run_admission(v)
						   : run_baseline(v);
		if (at <= m.now_us)
			at = m.now_us + 1;
	}
	if (at == INT64_MAX || at == v->tick_us)
		return;
	v->tick_us = at;
	after(at - m.now_us, TICK, v);
}

/* The call has no upstream: carries out what admission decided. */
static void
apply(struct req *q, struct adm_decision d)
{
	if (d.verdict == ADM_START)
		attempt(q);
	else if (d.verdict == ADM_REJECT)
		reject(q, d.retry_after_us);
	run_vm(&m.vms[q->vm]);
}

static void
start_work(struct up *u, struct req *q)
{
	double us = q->work_us;

	q->pace = u->slow || u->always_slow ? SLOW : 1;
	if (++u->running > FULL_SPEED_SLOTS)
		us *= SATURATED;
	after((int64_t)(us * q->pace), DONE, q);
}

/* Starts calls of the central queue at @n upstreams from @i on. */
static void
run_central(uint32_t i, uint32_t n)
{
	while (n-- > 0 && m.central[0].n + m.central[1].n != 0) {
		struct up *u = &m.ups[i++ % m.d->n_vms];
		struct req *q;

		while (u->running < FULL_SPEED_SLOTS && !u->slow &&
		    !u->always_slow && !u->gone) {
			q = pop(&m.central[m.central[0].n == 0]);
			if (q == NULL)
				break;
			if (m.now_us + q->work_us > q->deadline_us) {
				end(q, false);
				continue;
			}
			q->up = (uint32_t)(u - m.ups);
			start_work(u, q);
		}
	}
}

static void
look_for_upstream(struct req *q)
{
	struct vm *v = &m.vms[q->vm];

	if (m.d->policy == OSIM_CENTRAL) {
		push(&m.central[q->cls], q);
		run_central(rng_below(&m.rng, m.d->n_vms), m.d->n_vms);
		return;
	}
	if (m.d->policy == OSIM_ADMISSION)
		apply(q, adm_on_arrival(&v->adm, &q->adm, m.now_us));
	else if (v->queue.n == 0 || m.d->policy == OSIM_NO_QUEUE)
		attempt(q);
	else
		push(&v->queue, q);
	run_vm(v);
}

static void
on_full(struct req *q)
{
	struct vm *v = &m.vms[q->vm];

	if (m.d->policy == OSIM_ADMISSION) {
		apply(q, adm_on_full(&v->adm, &q->adm, m.now_us));
		return;
	}
	v->attempting = v->attempting && !q->waited;
	v->full_us = m.now_us;
	if (m.now_us >= wait_limit_us(q))
		reject(q, baseline_retry_us());
	else if (q->waited)
		push_front(&v->queue, q);
	else
		push(&v->queue, q);
	run_vm(v);
}

static void
on_pick(struct req *q)
{
	struct vm *v = &m.vms[q->vm];
	struct rt_request r = request(v, q);
	struct load_choice_room room;
	int i;

	if (m.d->policy == OSIM_ADMISSION && q->freed == NULL) {
		load_choice_room(&v->service, &r, m.now_us, &room);
		adm_on_load(&v->adm,
		    &(struct adm_load){
			room.asked, room.room, room.above_share, room.age_us});
	}
	i = load_choice_pick(&v->service, &r, m.now_us, &m.rng);
	q->freed = NULL;
	if (i < 0) {
		on_full(q);
		return;
	}
	if (m.d->policy == OSIM_ADMISSION)
		adm_on_start(&v->adm, &q->adm, m.now_us);
	v->attempting = v->attempting && !q->waited;
	v->full_us = 0;
	q->up = (uint32_t)i;
	q->sent_us = m.now_us;
	if (q->attempts++ == 0)
		retry_budget_on_request(&v->budget);
	rt_try_start(v->table[i].stat, false, m.now_us);
	load_choice_on_start(&v->table[i], m.now_us);
	after(is_near(v, q->up) ? NEAR_US : FAR_US, DELIVER, q);
	run_vm(v);
}

static void
on_deliver(struct req *q)
{
	struct up *u = &m.ups[m.vms[q->vm].up[q->up]];

	if (u->gone || (u->running >= SLOTS && u->queue.n >= UPSTREAM_QUEUE) ||
	    (fault(OSIM_REFUSE_HALF) && rng_below(&m.rng, 2) == 0))
		after(NEAR_US, REFUSED, q);
	else if (u->running < SLOTS)
		start_work(u, q);
	else
		push(&u->queue, q);
}

static void
on_refused(struct req *q)
{
	struct vm *v = &m.vms[q->vm];
	struct rt_stat *stat = v->table[q->up].stat;
	bool any = m.d->policy != OSIM_ADMISSION ||
	    adm_is_most_urgent(&v->adm, q->adm.priority, m.now_us);

	rt_on_finish(stat, SLOTS,
	    &(struct rt_result){RT_NO_SAMPLE, true, false, -1}, m.now_us);
	if (q->attempts < MAX_ATTEMPTS && m.now_us < q->deadline_us &&
	    (any || retry_budget_has_spare(&v->budget, m.now_us)) &&
	    retry_budget_take(&v->budget, m.now_us)) {
		q->tried[q->n_tried++] = stat;
		look_for_upstream(q);
	} else {
		reject(q, (10 + rng_below(&m.rng, 30)) * MS);
	}
}

static void
on_done(struct req *q)
{
	struct vm *v = &m.vms[q->vm];
	bool central = m.d->policy == OSIM_CENTRAL;
	struct up *u = &m.ups[central ? q->up : v->up[q->up]];
	int64_t us = m.now_us - q->sent_us;

	u->running--;
	if (central) {
		end(q, true);
		run_central((uint32_t)(u - m.ups), 1);
		return;
	}
	if (u->queue.n != 0)
		start_work(u, pop(&u->queue));
	if (v->dead) {
		end(q, false);
		return;
	}
	if (m.now_us < v->paused_until_us) {
		u->running++;
		after(v->paused_until_us - m.now_us, DONE, q);
		return;
	}
	rt_on_finish(v->table[q->up].stat, SLOTS,
	    &(struct rt_result){us, false, false, -1}, m.now_us);
	adm_on_work(&v->adm, q->adm.route, us / q->pace);
	adm_on_slot_freed(&v->adm);
	v->freed = v->table[q->up].stat;
	v->full_us = 0;
	end(q, true);
	run_vm(v);
}

/* The call arrives at one of the VMs, for the first time or again. */
static void
on_return(struct req *q)
{
	do
		q->vm = rng_below(&m.rng, m.d->n_vms);
	while (m.vms[q->vm].dead);
	q->adm = (struct adm_call){.priority = q->cls,
	    .route = q->cls,
	    .arrived_us = m.now_us,
	    .goal_us = m.now_us + kinds[q->cls].goal_us,
	    .deadline_us = q->deadline_us,
	    .returned = q->born_us != m.now_us && !m.d->impatient,
	    .share = m.d->workspaces ? q->workspace + 1 : 0};
	q->n_tried = 0;
	q->attempts = 0;
	q->waited = false;
	look_for_upstream(q);
}

static void
on_arrive(const double *rate)
{
	uint32_t cls = (uint32_t)(rate - m.rate);
	struct req *q = m.free;

	if (m.now_us >= LAST_ARRIVAL_US)
		return;
	after((int64_t)(-log(1 - rng_unit(&m.rng)) / *rate * 1e6), ARRIVE,
	    (void *)(uintptr_t)rate);
	if (m.now_us < MEASURE_US &&
	    rng_unit(&m.rng) * m.d->load[cls] > LOAD_BEFORE)
		return;
	if (q == NULL)
		q = malloc(sizeof(*q));
	else
		m.free = q->next;
	*q = (struct req){.cls = cls,
	    .born_us = m.now_us,
	    .deadline_us = m.now_us + kinds[cls].deadline_us,
	    .returns = m.d->retries,
	    .work_us = (double)kinds[cls].work_us * (0.5 + rng_unit(&m.rng)),
	    .workspace = rng_unit(&m.rng) < BIG_WORKSPACE_SHARE
		? 0
		: rng_below(&m.rng, OSIM_WORKSPACES)};
	on_return(q);
}

/* Draws the slow upstreams; begins the fault. */
static void
on_pace(void)
{
	struct vm *v = m.vms;

	for (uint32_t i = 0; i < m.d->n_vms; i++) {
		struct up *u = &m.ups[i];

		u->slow = rng_unit(&m.rng) < SLOW_SHARE;
		u->always_slow = fault(OSIM_QUARTER_SLOW) && i % 4 == 0;
		u->gone = fault(OSIM_ZONE_EMPTY) && i % N_ZONES == 0;
		u->seen_running = u->running;
		u->seen_waiting = (int)u->queue.n;
	}
	if (fault(OSIM_VM_PAUSED) && v->paused_until_us == 0)
		v->paused_until_us = m.now_us + 1000 * MS;
	v->dead = fault(OSIM_VM_KILLED);
	if (m.d->policy == OSIM_CENTRAL)
		run_central(0, m.d->n_vms);
	if (m.now_us < LAST_ARRIVAL_US)
		after(PACE_US, PACE, NULL);
}

static void
add_upstream(struct vm *v, uint32_t i, bool secondary)
{
	uint32_t n = v->service.n_upstreams;

	for (uint32_t k = 0; k < n; k++) {
		if (v->up[k] == i)
			return;
	}
	v->up[n] = i;
	v->table[n] = (struct rt_upstream){.zone = zones[i % N_ZONES],
	    .slots = SLOTS,
	    .secondary = secondary,
	    .stat = rt_stat_new()};
	v->service.n_upstreams++;
}

static void
init_vm(struct vm *v, uint32_t id)
{
	uint32_t n = m.d->n_vms < TABLE_MAX ? m.d->n_vms : TABLE_MAX;

	adm_init(&v->adm, &(struct adm_desc){.seed = rng_next(&m.rng)});
	retry_budget_init(&v->budget, &(struct retry_budget_desc){0}, 0);
	retry_budget_limit(&v->budget, 100, 10);
	v->zone = zones[id % N_ZONES];
	v->service = (struct rt_service){.versions = &m.version,
	    .n_versions = 1,
	    .upstreams = v->table,
	    .slots = SLOTS};
	for (uint32_t i = 0; i < 1000 && v->service.n_upstreams < n; i++) {
		uint32_t k = rng_below(&m.rng, m.d->n_vms);
		bool own = k % N_ZONES == id % N_ZONES;

		if (own || v->service.n_upstreams >= PRIMARY * 3 / 4 || i > 100)
			add_upstream(v, k, v->service.n_upstreams >= PRIMARY);
	}
}

static void
init(const struct osim_desc *d, struct osim_result *r)
{
	m = (struct sim){.d = d, .r = r, .version = {BSTR("v"), 1000}};
	m.fault_us = MEASURE_US;
	rng_init(&m.rng, d->seed);
	m.vms = calloc(d->n_vms, sizeof(*m.vms));
	m.ups = calloc(d->n_vms, sizeof(*m.ups));
	for (uint32_t i = 0; i < d->n_vms; i++)
		init_vm(&m.vms[i], i);
	for (int c = 0; c < OSIM_CLASSES; c++) {
		m.rate[c] = d->load[c] * d->n_vms * FULL_SPEED_SLOTS * 1e6 /
		    (double)kinds[c].work_us;
		if (d->load[c] > 0)
			after(0, ARRIVE, &m.rate[c]);
	}
	after(0, PACE, NULL);
}

static void
finish(void)
{
	for (uint32_t i = 0; i < m.d->n_vms; i++) {
		struct vm *v = &m.vms[i];

		m.r->wrong += adm_waiting(&v->adm) + v->queue.n;
		adm_finish(&v->adm);
		for (uint32_t k = 0; k < v->service.n_upstreams; k++)
			rt_stat_unref(v->table[k].stat);
	}
	for (int c = 0; c < OSIM_CLASSES; c++) {
		while (m.central[c].n != 0)
			end(pop(&m.central[c]), false);
	}
	while (m.free != NULL) {
		struct req *q = m.free;

		m.free = q->next;
		free(q);
	}
	free(m.heap);
	free(m.vms);
	free(m.ups);
}

void
osim_run(const struct osim_desc *desc, struct osim_result *r)
{
	init(desc, r);
	while (m.n != 0) {
		struct ev e = next_event();

		m.now_us = e.at_us;
		switch (e.type) {
		case ARRIVE:
			on_arrive(e.p);
			break;
		case RETURN:
			on_return(e.p);
			break;
		case PICK:
			on_pick(e.p);
			break;
		case DELIVER:
			on_deliver(e.p);
			break;
		case REFUSED:
			on_refused(e.p);
			break;
		case DONE:
			on_done(e.p);
			break;
		case TICK:
			if (((struct vm *)e.p)->tick_us == m.now_us)
				run_vm(e.p);
			break;
		case PACE:
			on_pace();
			break;
		}
	}
	finish();
}
