#include "usage/usage_duty.h"

#include <string.h>

#include "usage/usage_duty_internal.h"

/* Defaults of the settings. */
#define WINDOW_MS 5000
#define DUE_MS 10000
#define LEASE_MS 3000
/* Least interval of the rounds of pushes, and the interval for each VM. */
#define PUSH_MS 500
#define PUSH_PER_VM_MS 4
/*
 * The last counts of a window are sent in two rounds, which begin up to this
 * time after its end and up to this time later, so that both arrive before the
 * figures are fixed. These rounds have a message even without counts, by which
 * a collector knows that it can hear the VM.
 */
#define LAST_ROUND_MS 800
/* VMs that collect because of their rank. */
#define RANK_COLLECTORS 2
/* A VM collects so long after its status. */
#define SEEN_MS 10000
/* The store is read so long after the start if no holder announced itself. */
#define START_READ_MS 3500

struct usage_duty *
usage_duty_new(const struct usage_duty_desc *desc)
{
	struct usage_duty *d = g_new0(struct usage_duty, 1);

	d->desc = *desc;
	g_strlcpy(d->self, desc->self, sizeof(d->self));
	d->desc.self = d->self;
	d->desc.window_ms = desc->window_ms != 0 ? desc->window_ms : WINDOW_MS;
	d->desc.due_ms = desc->due_ms != 0 ? desc->due_ms : DUE_MS;
	d->desc.lease_ms = desc->lease_ms != 0 ? desc->lease_ms : LEASE_MS;
	rng_init(&d->rng, desc->seed);
	usage_clock_init(&d->clock);
	usage_ledger_init(&d->ledger);
	usage_push_init(&d->push);
	usage_record_init(&d->record);
	usage_record_init(&d->draft);
	d->push_phase = rng_unit(&d->rng);
	d->present_ms = -1;
	d->report_window = -1;
	d->reachable = true;
	return (d);
}

void
usage_duty_free(struct usage_duty *d)
{
	if (d == NULL)
		return;
	usage_clock_finish(&d->clock);
	usage_ledger_finish(&d->ledger);
	usage_push_finish(&d->push);
	usage_record_finish(&d->record);
	usage_record_finish(&d->draft);
	g_free(d->vms);
	g_free(d);
}

void
usage_out_finish(struct usage_out *out)
{
	g_free(out->effects);
	*out = (struct usage_out){0};
}

struct usage_effect *
usage_duty_effect(struct usage_out *out, enum usage_effect_type type)
{
	struct usage_effect *e;

	out->effects = g_renew(struct usage_effect, out->effects, out->n + 1);
	e = &out->effects[out->n++];
	*e = (struct usage_effect){.type = type};
	return (e);
}

void
usage_duty_set_vms(struct usage_duty *d, const char *const *ids, uint32_t n)
{
	size_t size = 0;
	char *to;

	for (uint32_t i = 0; i < n; i++)
		size += strlen(ids[i]) + 1;
	g_free(d->vms);
	d->vms = g_malloc(n * sizeof(*d->vms) + size);
	d->n_vms = n;
	d->rank = n;
	d->choose = true;
	to = (char *)(d->vms + n);
	for (uint32_t i = 0; i < n; i++) {
		d->vms[i] = to;
		to = stpcpy(to, ids[i]) + 1;
		if (strcmp(ids[i], d->self) == 0)
			d->rank = i;
	}
}

void
usage_duty_set_reachable(struct usage_duty *d, bool yes)
{
	d->reachable = yes;
	if (!yes)
		usage_duty_stop_taking(d);
}

int64_t
usage_duty_true_ms(const struct usage_duty *d)
{
	return (d->present_ms + usage_clock_offset(&d->clock));
}

int64_t
usage_duty_window(const struct usage_duty *d)
{
	return (usage_duty_true_ms(d) / d->desc.window_ms);
}

static void
set_ledger_range(struct usage_duty *d)
{
	int64_t last = usage_duty_window(d) + 1;
	int64_t first = MAX(last + 1 - USAGE_LEDGER_WINDOWS, 0);

	first = MAX(first, d->reported_through + 1);
	first = MAX(first, d->record.fixed_through + 1);
	usage_ledger_set_range(&d->ledger, first, MAX(last, first));
}

/*
 * Datagrams may have been lost in a pause of the holder, and another VM may
 * have taken over.
 */
static void
collect_again(struct usage_duty *d)
{
	d->must_read = true;
	d->collect_again = true;
	d->collect_ms = d->present_ms;
	d->status_at_ms = d->present_ms;
}

/*
 * Takes the time of an event. After a pause, another VM may hold the duty, and
 * an answer of the store that arrives now may be as old as the pause.
 */
bool
usage_duty_begin(struct usage_duty *d, const struct usage_now *now)
{
	bool paused =
	    d->present_ms >= 0 && now->mono_ms - d->present_ms > USAGE_PAUSE_MS;

	if (d->present_ms < 0)
		d->start_ms = now->mono_ms;
	d->present_ms = now->mono_ms;
	if (paused) {
		if (usage_duty_is_holder(d))
			collect_again(d);
		usage_duty_stop_taking(d);
	}
	usage_clock_update(&d->clock, now->mono_ms, now->wall_ms);
	set_ledger_range(d);
	return (paused);
}

void
usage_duty_note_reported(struct usage_duty *d, int64_t window)
{
	d->reported_through = MAX(d->reported_through, window);
	set_ledger_range(d);
}

void
usage_duty_note_token(struct usage_duty *d, const char *holder, int64_t token)
{
	if (token <= d->token)
		return;
	g_strlcpy(d->holder, holder, sizeof(d->holder));
	d->token = token;
	d->token_since_ms = d->present_ms;
	d->announced_fixed = 0;
	d->heard_ms = d->present_ms - USAGE_PRESENT_MS;
}

void
usage_duty_send_status(
    struct usage_duty *d, int64_t token, struct usage_out *out)
{
	struct usage_status_msg *m =
	    &usage_duty_effect(out, USAGE_SEND_STATUS)->status;
	int64_t offset =
	    usage_clock_median(&d->clock, d->present_ms, &m->n_samples);

	if (m->n_samples >= USAGE_CLOCK_MIN_SAMPLES)
		usage_clock_adopt(&d->clock, offset);
	else
		offset = usage_clock_offset(&d->clock);
	g_strlcpy(m->vm, d->self, sizeof(m->vm));
	m->token = token;
	m->reported_through = d->reported_through;
	m->fixed_through = d->record.fixed_through;
	m->time_ms = d->present_ms + offset;
	d->status_at_ms = d->present_ms +
	    (d->present_ms - d->collect_ms < USAGE_NEW_HOLDER_MS
		    ? USAGE_FAST_STATUS_MS
		    : USAGE_STATUS_MS);
}

static bool
add_collector(
    const struct usage_duty *d, const char *vm, const char **list, uint32_t *n)
{
	if (*n == USAGE_MAX_COLLECTORS || *vm == '\0' ||
	    strcmp(vm, d->self) == 0)
		return (false);
	for (uint32_t i = 0; i < *n; i++) {
		if (strcmp(list[i], vm) == 0)
			return (false);
	}
	list[(*n)++] = vm;
	return (true);
}

/* Returns whether a VM became a collector. */
static bool
choose_collectors(struct usage_duty *d)
{
	const char *list[USAGE_MAX_COLLECTORS];
	uint32_t n = 0;

	add_collector(d, d->holder, list, &n);
	for (uint32_t i = 0; i < RANK_COLLECTORS && i < d->n_vms; i++)
		add_collector(d, d->vms[i], list, &n);
	for (uint32_t i = 0; i < USAGE_MAX_SEEN; i++) {
		if (d->seen[i].vm[0] != '\0' &&
		    d->present_ms - d->seen[i].mono_ms <= SEEN_MS)
			add_collector(d, d->seen[i].vm, list, &n);
	}
	return (usage_push_set_collectors(&d->push, list, n));
}

/** struct push_out - arguments of push_message() */
struct push_out {
	struct usage_duty *d;
	struct usage_out *out;
};

static void
push_message(void *arg, const char *vm, struct usage_counts_msg *m)
{
	struct push_out *p = arg;
	struct usage_effect *e = usage_duty_effect(p->out, USAGE_SEND_COUNTS);

	e->counts = *m;
	g_strlcpy(e->counts.vm, p->d->self, sizeof(e->counts.vm));
	e->counts.boot = p->d->desc.boot;
	e->counts.time_ms = p->d->present_ms + p->d->clock.own;
	g_strlcpy(e->to, vm, sizeof(e->to));
}

static void
put_own(void *arg, int64_t window, const char *workspace, uint32_t count)
{
	struct usage_duty *d = arg;
	struct usage_ledger_key key = {
	    d->self, d->desc.boot, workspace, window};

	usage_ledger_put(&d->ledger, &key, count, d->present_ms + d->clock.own);
}

void
usage_duty_refresh_own(struct usage_duty *d)
{
	usage_push_refresh(
	    &d->push, d->desc.source, d->ledger.first, d->ledger.last);
	usage_push_each(&d->push, put_own, d);
}

/*
 * True time of the next round. The rounds of a window begin at the VM's phase
 * after the start of the window, where the last counts of the window before it
 * are due twice.
 */
static int64_t
next_round(const struct usage_duty *d, int64_t true_ms)
{
	int64_t interval = MAX(PUSH_MS, (int64_t)d->n_vms * PUSH_PER_VM_MS);
	int64_t start = true_ms / d->desc.window_ms * d->desc.window_ms;
	int64_t first = start +
	    (int64_t)(d->push_phase * (double)MIN(interval, LAST_ROUND_MS));
	int64_t at = first;

	if (first <= true_ms)
		at = first + MIN(interval, LAST_ROUND_MS);
	while (at <= true_ms)
		at += interval;
	if (at >= start + d->desc.window_ms)
		at = first + d->desc.window_ms;
	return (at);
}

static void
push_counts(struct usage_duty *d, struct usage_out *out)
{
	struct push_out p = {d, out};
	int64_t true_ms = usage_duty_true_ms(d);
	bool due = true_ms >= d->push_at_ms ||
	    d->push_at_ms - true_ms > d->desc.window_ms;
	bool is_new;

	if (!due && !d->choose)
		return;
	is_new = choose_collectors(d);
	d->choose = is_new;
	if (!due && !is_new)
		return;
	usage_duty_refresh_own(d);
	usage_push_send(&d->push, due ? USAGE_PUSH_ALL : USAGE_PUSH_NEW,
	    is_new || true_ms % d->desc.window_ms <= 2 * LAST_ROUND_MS,
	    push_message, &p);
	if (due)
		d->push_at_ms = next_round(d, true_ms);
}

void
usage_duty_tick(
    struct usage_duty *d, const struct usage_now *now, struct usage_out *out)
{
	usage_duty_begin(d, now);
	push_counts(d, out);
	/* After a power loss of all VMs, the record may hold old windows. */
	if (!d->record_known && d->token == 0 && d->rank < RANK_COLLECTORS &&
	    d->rank < d->n_vms &&
	    d->present_ms - d->start_ms >=
		START_READ_MS + (int64_t)d->rank * USAGE_RANK_MS)
		d->must_read = true;
	usage_duty_step(d, out);
}

void
usage_duty_on_counts(struct usage_duty *d, const struct usage_counts_msg *m,
    const struct usage_now *now)
{
	usage_duty_begin(d, now);
	usage_clock_sample(
	    &d->clock, m->vm, m->time_ms - d->present_ms, d->present_ms);
	usage_ledger_hear(&d->ledger, m->vm, d->present_ms, m->full);
	for (uint32_t i = 0; i < m->n && i < USAGE_MSG_MAX_COUNTS; i++) {
		struct usage_ledger_key key = {m->vm, m->boot,
		    m->counts[i].workspace, m->counts[i].window};

		usage_ledger_put(
		    &d->ledger, &key, m->counts[i].count, m->time_ms);
	}
}

/* Moves the sender to the first place; the last one is forgotten. */
static void
note_seen(struct usage_duty *d, const char *vm)
{
	uint32_t i = 0;

	while (i + 1 < USAGE_MAX_SEEN && strcmp(d->seen[i].vm, vm) != 0)
		i++;
	memmove(&d->seen[1], &d->seen[0], i * sizeof(d->seen[0]));
	g_strlcpy(d->seen[0].vm, vm, sizeof(d->seen[0].vm));
	d->seen[0].mono_ms = d->present_ms;
	d->choose = true;
}

/*
 * Another VM is about to take over. The holder answers it, and reads the record
 * before it acts again. The others wait.
 */
static void
on_announcement(struct usage_duty *d)
{
	d->status_at_ms = d->present_ms;
	if (usage_duty_is_holder(d)) {
		d->must_read = true;
		d->store_at_ms =
		    MAX(d->store_at_ms, d->present_ms + USAGE_CONFIRM_MS);
	} else if (d->take != USAGE_TAKE_ANNOUNCED) {
		d->take_at_ms = MAX(
		    d->take_at_ms, d->present_ms + USAGE_TAKEOVER_BACKOFF_MS);
	}
}

void
usage_duty_on_status(struct usage_duty *d, const struct usage_status_msg *m,
    const struct usage_now *now, struct usage_out *out)
{
	usage_duty_begin(d, now);
	if (strcmp(m->vm, d->self) == 0)
		return;
	note_seen(d, m->vm);
	if (m->n_samples >= USAGE_CLOCK_MIN_SAMPLES)
		usage_clock_hear(
		    &d->clock, m->time_ms - d->present_ms, d->present_ms);
	if (m->reported_through <= usage_duty_window(d))
		usage_duty_note_reported(d, m->reported_through);
	if (m->token == 0)
		on_announcement(d);
	/* The sender may lack what was sent before, also as a collector. */
	if (m->token == 0 || m->token > d->token)
		usage_push_repeat(&d->push, m->vm);
	usage_duty_note_token(d, m->vm, m->token);
	if (m->token == d->token && m->token != 0) {
		d->heard_ms = d->present_ms;
		d->announced_fixed = MAX(d->announced_fixed, m->fixed_through);
	}
	usage_duty_step(d, out);
}

int64_t
usage_duty_time_offset_ms(const struct usage_duty *d)
{
	return (usage_clock_offset(&d->clock));
}

const char *
usage_duty_holder(const struct usage_duty *d)
{
	return (d->holder);
}

int64_t
usage_duty_token(const struct usage_duty *d)
{
	return (d->token);
}

int64_t
usage_duty_reported_through(const struct usage_duty *d)
{
	return (d->reported_through);
}
