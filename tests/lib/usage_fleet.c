#include "lib/usage_fleet.h"

#include <stdarg.h>
#include <setjmp.h>
#include <stddef.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "peer/usage_datagram.h"

#define FIRST_WINDOW INT64_C(353445120)
#define TICK_MS 100
/* Links and calls. */
#define MAX_DELAY_MS 30
#define LOSS 0.02
#define TIMEOUT_MS 2000
#define MAX_LATE_MS 6000
/* Clocks differ by up to this from true time. */
#define MAX_CLOCK_MS 40
/* Calls with a refused token that are allowed after the lease. */
#define MAX_AFTER_REFUSAL 3

static char workspaces[UFLEET_WORKSPACES][16];

/** enum event_type - what happens at a time */
enum event_type {
	EVENT_COUNTS, /* a datagram arrives */
	EVENT_STATUS,
	EVENT_STORE_CALL,   /* a call is executed */
	EVENT_STORE_ANSWER, /* its result arrives */
	EVENT_REPORT_CALL,
	EVENT_REPORT_ANSWER,
};

/**
 * struct event - event
 * @vm: VM that receives, or that called
 * @boot: its process; events for another one are ignored
 * @msg: datagram
 * @is_write: the call is a write
 * @record: what is written, or the answer; holder NULL for none
 * @result: result of a call
 * @answered: the caller still waits for the result of the call
 * @counts: figures of a report
 */
struct event {
	enum event_type type;
	struct ufleet_vm *vm;
	uint64_t boot;
	void *msg;
	bool is_write;
	struct usage_record record;
	int result;
	bool answered;
	int64_t window;
	int64_t token;
	uint32_t counts[UFLEET_WORKSPACES];
};

/**
 * struct report_call - a call to the address of the reports
 * @refused_ms: time of the first 409, 0 for none
 */
struct report_call {
	struct ufleet_vm *vm;
	uint64_t boot;
	int64_t token;
	int64_t sent_ms;
	int64_t refused_ms;
};

static void
post(struct ufleet *f, int64_t delay_ms, const struct event *e)
{
	GSList **slot = &f->events[(f->now_ms + delay_ms) % UFLEET_HORIZON_MS];

	assert_true(delay_ms > 0 && delay_ms < UFLEET_HORIZON_MS);
	*slot = g_slist_prepend(*slot, g_memdup2(e, sizeof(*e)));
}

static int64_t
delay(struct ufleet *f)
{
	return (1 + rng_below(&f->rng, MAX_DELAY_MS));
}

static uint32_t
index_of(int64_t window)
{
	assert_true(
	    window >= FIRST_WINDOW && window < FIRST_WINDOW + UFLEET_WINDOWS);
	return ((uint32_t)(window - FIRST_WINDOW));
}

static uint32_t
window_index(const struct ufleet *f)
{
	return (index_of(f->now_ms / UFLEET_WINDOW_MS));
}

static struct usage_now
vm_now(const struct ufleet_vm *vm)
{
	return ((struct usage_now){
	    vm->f->now_ms - vm->base_ms, vm->f->now_ms + vm->clock_ms});
}

static void
each_count(struct usage_source *s, int64_t window,
    void (*fn)(void *arg, const char *workspace, uint32_t count), void *arg)
{
	struct ufleet_vm *vm = (struct ufleet_vm *)s;

	if (window < FIRST_WINDOW || window >= FIRST_WINDOW + UFLEET_WINDOWS)
		return;
	for (uint32_t i = 0; i < UFLEET_WORKSPACES; i++) {
		uint32_t count = vm->counts[index_of(window)][i];

		if (count != 0)
			fn(arg, workspaces[i], count);
	}
}

static const struct usage_source_ops source_ops = {each_count};

static uint64_t
size_of(enum event_type type, const void *msg)
{
	struct bbuf b;
	uint64_t n;

	bbuf_init(&b);
	if (type == EVENT_COUNTS)
		usage_datagram_encode_counts(&b, msg);
	else
		usage_datagram_encode_status(&b, msg);
	n = b.n;
	bbuf_finish(&b);
	return (n);
}

/* Sends a datagram, unless it is lost. */
static void
send_datagram(struct ufleet_vm *from, struct ufleet_vm *to,
    enum event_type type, const void *msg, size_t size)
{
	struct ufleet *f = from->f;
	struct event e = {.type = type, .vm = to, .boot = to->boot};

	f->n_datagrams++;
	if (f->measure)
		f->n_bytes += size_of(type, msg);
	if (to->boot == 0 || from->cut != to->cut || rng_unit(&f->rng) < LOSS)
		return;
	e.msg = g_memdup2(msg, size);
	post(f, delay(f), &e);
}

static struct ufleet_vm *
find_vm(struct ufleet *f, const char *name)
{
	return (&f->vms[atoi(name + 2)]);
}

/* Whether an answer is lost; never more than two in succession. */
static bool
is_lost(struct ufleet *f, struct ufleet_faults *faults)
{
	bool lost = rng_unit(&f->rng) < faults->lost && faults->n_lost < 2;

	faults->n_lost = lost ? faults->n_lost + 1 : 0;
	return (lost);
}

static void
call_store(struct ufleet_vm *vm, const struct usage_effect *effect)
{
	struct ufleet *f = vm->f;
	struct event e = {.type = EVENT_STORE_CALL,
	    .vm = vm,
	    .boot = vm->boot,
	    .is_write = effect->type == USAGE_WRITE_RECORD,
	    .answered = true};
	int64_t wait = delay(f);

	f->n_reads += !e.is_write;
	f->n_writes += e.is_write;
	usage_record_init(&e.record);
	if (e.is_write)
		usage_record_copy(&e.record, effect->record);
	if (f->store.slow_ms != 0)
		wait += rng_below(&f->rng, (uint32_t)f->store.slow_ms);
	if (rng_unit(&f->rng) < f->store.late) {
		struct event no_answer = {.type = EVENT_STORE_ANSWER,
		    .vm = vm,
		    .boot = vm->boot,
		    .result = USAGE_RECORD_UNKNOWN};

		e.answered = false;
		wait = TIMEOUT_MS + rng_below(&f->rng, MAX_LATE_MS);
		post(f, TIMEOUT_MS, &no_answer);
	}
	post(f, wait, &e);
}

static void
execute_store_call(struct ufleet *f, struct event *call)
{
	bool changed = call->record.revision != f->record.revision;
	struct event e = {.type = EVENT_STORE_ANSWER,
	    .vm = call->vm,
	    .boot = call->boot,
	    .result = USAGE_RECORD_READ};
	bool lost = is_lost(f, &f->store);

	if (f->store.down || call->vm->refused) {
		e.result = USAGE_RECORD_FAILED;
	} else if (call->is_write && changed) {
		e.result = USAGE_RECORD_CONFLICT;
	} else if (call->is_write) {
		e.result = USAGE_RECORD_WRITTEN;
		usage_record_copy(&f->record, &call->record);
		f->record.revision++;
	}
	if (!call->answered)
		return;
	if (lost)
		e.result = USAGE_RECORD_UNKNOWN;
	if (e.result != USAGE_RECORD_FAILED && !lost) {
		usage_record_init(&e.record);
		usage_record_copy(&e.record, &f->record);
	}
	post(f, lost ? TIMEOUT_MS : delay(f), &e);
}

/*
 * Checks that a call does not break the rules about tokens: one VM has a token,
 * a refused token is given up, and the duty does not come back within a lease.
 */
static void
check_call(struct ufleet *f, const struct report_call *c)
{
	int64_t refused_ms = 0, other_ms = 0;
	uint32_t n_after = 0;

	for (uint32_t i = f->calls->len; i-- > 0;) {
		const struct report_call *old =
		    &g_array_index(f->calls, struct report_call, i);
		bool same = old->vm == c->vm;

		assert_false(old->token == c->token && !same);
		if (same && old->token == c->token && old->refused_ms != 0)
			refused_ms = old->refused_ms;
		if (!same)
			other_ms = old->sent_ms;
		/* This VM, then another, then this one. */
		if (same && other_ms != 0 && !c->vm->cut)
			assert_false(
			    c->sent_ms - old->sent_ms < UFLEET_LEASE_MS);
	}
	for (uint32_t i = 0; refused_ms != 0 && i < f->calls->len; i++) {
		const struct report_call *old =
		    &g_array_index(f->calls, struct report_call, i);

		n_after += old->vm == c->vm && old->token == c->token &&
		    old->sent_ms > refused_ms + UFLEET_LEASE_MS;
	}
	assert_true(n_after <= MAX_AFTER_REFUSAL);
}

static void
call_report(struct ufleet_vm *vm, const struct usage_effect *effect)
{
	struct ufleet *f = vm->f;
	struct event e = {.type = EVENT_REPORT_CALL,
	    .vm = vm,
	    .boot = vm->boot,
	    .window = effect->window->window,
	    .token = effect->token,
	    .answered = true};
	struct report_call c = {vm, vm->boot, effect->token, f->now_ms, 0};
	int64_t wait = delay(f);

	for (uint32_t i = 0; i < effect->window->n_counts; i++) {
		for (uint32_t k = 0; k < UFLEET_WORKSPACES; k++) {
			if (strcmp(effect->window->counts[i].workspace,
				workspaces[k]) == 0)
				e.counts[k] = effect->window->counts[i].count;
		}
	}
	check_call(f, &c);
	g_array_append_val(f->calls, c);
	f->n_reports++;
	if (rng_unit(&f->rng) < f->report.late) {
		struct event no_answer = {.type = EVENT_REPORT_ANSWER,
		    .vm = vm,
		    .boot = vm->boot,
		    .window = e.window,
		    .result = USAGE_REPORT_FAILED};

		e.answered = false;
		wait = TIMEOUT_MS + rng_below(&f->rng, MAX_LATE_MS);
		post(f, TIMEOUT_MS, &no_answer);
	}
	post(f, wait, &e);
}

static void
note_refusal(struct ufleet *f, const struct event *e)
{
	for (uint32_t i = 0; i < f->calls->len; i++) {
		struct report_call *c =
		    &g_array_index(f->calls, struct report_call, i);

		if (c->vm == e->vm && c->token == e->token &&
		    c->refused_ms == 0)
			c->refused_ms = f->now_ms;
	}
}

static void
accept(struct ufleet *f, const struct event *e)
{
	struct ufleet_window *w = &f->reports[index_of(e->window)];

	f->highest = e->token;
	if (w->accepted) {
		assert_memory_equal(w->counts, e->counts, sizeof(w->counts));
		return;
	}
	w->accepted = true;
	w->time_ms = f->now_ms;
	memcpy(w->counts, e->counts, sizeof(w->counts));
}

static void
execute_report(struct ufleet *f, struct event *call)
{
	struct event e = {.type = EVENT_REPORT_ANSWER,
	    .vm = call->vm,
	    .boot = call->boot,
	    .window = call->window,
	    .result = USAGE_REPORT_FAILED};
	bool lost = is_lost(f, &f->report);

	if (f->report.busy || f->report.down) {
		lost = false;
	} else if (call->token < f->highest) {
		note_refusal(f, call);
		e.result = USAGE_REPORT_FENCED;
	} else {
		accept(f, call);
		e.result = USAGE_REPORT_ACCEPTED;
	}
	if (!call->answered)
		return;
	if (lost)
		e.result = USAGE_REPORT_FAILED;
	post(f, lost ? TIMEOUT_MS : delay(f), &e);
}

static void
carry_out(struct ufleet_vm *vm, struct usage_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		const struct usage_effect *e = &out->effects[i];

		switch (e->type) {
		case USAGE_SEND_COUNTS:
			/* Only the used part of the message. */
			send_datagram(vm, find_vm(vm->f, e->to), EVENT_COUNTS,
			    &e->counts,
			    offsetof(struct usage_counts_msg, counts) +
				sizeof(e->counts.counts[0]) * e->counts.n);
			break;
		case USAGE_SEND_STATUS:
			for (uint32_t k = 0; k < vm->f->n_vms; k++) {
				if (&vm->f->vms[k] != vm)
					send_datagram(vm, &vm->f->vms[k],
					    EVENT_STATUS, &e->status,
					    sizeof(e->status));
			}
			break;
		case USAGE_READ_RECORD:
		case USAGE_WRITE_RECORD:
			call_store(vm, e);
			break;
		case USAGE_REPORT:
			call_report(vm, e);
			break;
		}
	}
	usage_out_finish(out);
}

/* Passes an event to its VM. */
static void
deliver(struct event *e)
{
	struct usage_now now = vm_now(e->vm);
	struct usage_out out = {0};

	switch (e->type) {
	case EVENT_COUNTS:
		usage_duty_on_counts(e->vm->duty, e->msg, &now);
		break;
	case EVENT_STATUS:
		usage_duty_on_status(e->vm->duty, e->msg, &now, &out);
		break;
	case EVENT_STORE_ANSWER:
		usage_duty_on_record(e->vm->duty,
		    (enum usage_record_event)e->result,
		    e->record.holder == NULL ? NULL : &e->record, &now, &out);
		break;
	default:
		usage_duty_on_reported(e->vm->duty, e->window,
		    (enum usage_report_result)e->result, &now, &out);
		break;
	}
	carry_out(e->vm, &out);
}

static void
run_event(struct ufleet *f, struct event *e)
{
	if (e->type == EVENT_STORE_CALL)
		execute_store_call(f, e);
	else if (e->type == EVENT_REPORT_CALL)
		execute_report(f, e);
	else if (e->vm->boot == e->boot && f->now_ms < e->vm->paused_ms &&
	    (e->type > EVENT_STATUS || !f->full_queues)) {
		post(f, e->vm->paused_ms - f->now_ms, e);
		g_free(e);
		return;
	} else if (e->vm->boot == e->boot && f->now_ms >= e->vm->paused_ms)
		deliver(e);
	usage_record_finish(&e->record);
	g_free(e->msg);
	g_free(e);
}

/* Each tick, workspace i gets i + 1 requests. */
static void
tick(struct ufleet_vm *vm)
{
	struct usage_now now = vm_now(vm);
	struct usage_out out = {0};
	int64_t window;

	usage_duty_tick(vm->duty, &now, &out);
	carry_out(vm, &out);
	window = (now.mono_ms + usage_duty_time_offset_ms(vm->duty)) /
	    UFLEET_WINDOW_MS;
	for (uint32_t i = 0; i < UFLEET_WORKSPACES; i++) {
		vm->counts[index_of(window)][i] += i + 1;
		vm->real[window_index(vm->f)][i] += i + 1;
	}
}

void
ufleet_run(struct ufleet *f, int64_t ms)
{
	for (int64_t end = f->now_ms + ms; f->now_ms < end; f->now_ms++) {
		GSList **slot = &f->events[f->now_ms % UFLEET_HORIZON_MS];
		GSList *events = *slot;

		*slot = NULL;
		for (GSList *l = events; l != NULL; l = l->next)
			run_event(f, l->data);
		g_slist_free(events);
		/* Each VM ticks in a millisecond of its own. */
		for (uint32_t i = (uint32_t)(f->now_ms % TICK_MS); i < f->n_vms;
		     i += TICK_MS) {
			struct ufleet_vm *vm = &f->vms[i];

			if (vm->boot != 0 && f->now_ms >= vm->paused_ms)
				tick(vm);
		}
	}
}

void
ufleet_run_to(struct ufleet *f, int64_t ms)
{
	ufleet_run(f, UFLEET_WINDOW_MS - f->now_ms % UFLEET_WINDOW_MS + ms);
}

void
ufleet_start(struct ufleet_vm *vm)
{
	const char **ids = g_new(const char *, vm->f->n_vms);
	struct usage_duty_desc desc = {.self = vm->name,
	    .boot = rng_next(&vm->f->rng) | 1,
	    .window_ms = UFLEET_WINDOW_MS,
	    .due_ms = UFLEET_DUE_MS,
	    .lease_ms = UFLEET_LEASE_MS,
	    .source = &vm->source,
	    .seed = rng_next(&vm->f->rng)};

	for (uint32_t i = 0; i < vm->f->n_vms; i++)
		ids[i] = vm->f->vms[i].name;
	vm->boot = desc.boot;
	vm->base_ms = vm->f->now_ms - rng_below(&vm->f->rng, 100000);
	vm->duty = usage_duty_new(&desc);
	usage_duty_set_vms(vm->duty, ids, vm->f->n_vms);
	memset(vm->counts, 0, sizeof(vm->counts));
	g_free(ids);
}

void
ufleet_kill(struct ufleet_vm *vm)
{
	ufleet_unsure(vm, 0);
	usage_duty_free(vm->duty);
	vm->duty = NULL;
	vm->boot = 0;
}

void
ufleet_pause(struct ufleet_vm *vm, int64_t ms)
{
	vm->paused_ms = vm->f->now_ms + ms;
	ufleet_unsure(vm, ms);
}

void
ufleet_run_to_work(struct ufleet *f)
{
	ufleet_run_to(f, 2000 + rng_below(&f->rng, 300));
}

struct ufleet_vm *
ufleet_holder(struct ufleet *f)
{
	assert_true(f->record.holder[0] != '\0');
	return (find_vm(f, f->record.holder));
}

struct ufleet *
ufleet_new(uint32_t n_vms, uint64_t seed)
{
	struct ufleet *f = g_new0(struct ufleet, 1);

	for (uint32_t i = 0; i < UFLEET_WORKSPACES; i++)
		snprintf(workspaces[i], sizeof(workspaces[i]), "ws%05u", i);
	rng_init(&f->rng, seed);
	f->n_vms = n_vms;
	f->vms = g_new0(struct ufleet_vm, n_vms);
	f->start_ms = FIRST_WINDOW * UFLEET_WINDOW_MS;
	f->now_ms = f->start_ms + 500;
	f->calls = g_array_new(FALSE, FALSE, sizeof(struct report_call));
	usage_record_init(&f->record);
	for (uint32_t i = 0; i < n_vms; i++) {
		struct ufleet_vm *vm = &f->vms[i];

		vm->source.ops = &source_ops;
		vm->f = f;
		snprintf(vm->name, sizeof(vm->name), "vm%u", i);
		vm->clock_ms = (int64_t)rng_below(&f->rng, 2 * MAX_CLOCK_MS) -
		    MAX_CLOCK_MS;
		ufleet_start(vm);
	}
	return (f);
}

void
ufleet_free(struct ufleet *f)
{
	for (uint32_t i = 0; i < f->n_vms; i++)
		usage_duty_free(f->vms[i].duty);
	for (uint32_t i = 0; i < UFLEET_HORIZON_MS; i++) {
		for (GSList *l = f->events[i]; l != NULL; l = l->next) {
			struct event *e = l->data;

			usage_record_finish(&e->record);
			g_free(e->msg);
			g_free(e);
		}
		g_slist_free(f->events[i]);
	}
	usage_record_finish(&f->record);
	g_array_free(f->calls, TRUE);
	g_free(f->vms);
	g_free(f);
}
