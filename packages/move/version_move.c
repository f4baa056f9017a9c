#include "move/version_move.h"

#include <stdio.h>

#include "move/pooled_metrics.h"

#define PERMILLE 1000
/* Interval at which known decisions on bad versions are sent again. */
#define GOSSIP_MS 1000
#define WRITE_RETRY_MS 500
#define MS_PER_S 1000

/* Shares of the steps in permille, when max_step_permille permits them. */
static const uint32_t standard_steps[] = {10, 50, 200, 500, 1000};

/*
 * Executor state of one move. @pending_change is the change id of the write in
 * progress; @seen marks the runs that move_tick() keeps.
 */
struct run {
	char *service;
	char *intent;
	struct pooled_metrics metrics;
	uint32_t step;
	int64_t step_ms;
	char *pending_change;
	int64_t next_write_ms;
	bool seen;
};

static void
bad_finish(struct move_bad_version *b)
{
	g_free(b->service);
	g_free(b->version);
	g_free(b->intent);
	g_free(b->reason);
}

static void
bad_free(gpointer p)
{
	bad_finish(p);
	g_free(p);
}

static struct move_bad_version
bad_copy(const struct move_bad_version *b)
{
	return ((struct move_bad_version){g_strdup(b->service),
	    g_strdup(b->version), g_strdup(b->intent), g_strdup(b->reason)});
}

static void
run_free(gpointer p)
{
	struct run *r = p;

	g_free(r->service);
	g_free(r->intent);
	g_free(r->pending_change);
	pooled_finish(&r->metrics);
	g_free(r);
}

void
move_init(struct version_move *m, const struct move_desc *desc)
{
	*m = (struct version_move){.desc = *desc};
	m->bad = g_ptr_array_new_with_free_func(bad_free);
	m->runs = g_ptr_array_new_with_free_func(run_free);
	m->past_due = g_ptr_array_new_with_free_func(g_free);
}

void
move_finish(struct version_move *m)
{
	g_ptr_array_free(m->bad, TRUE);
	g_ptr_array_free(m->runs, TRUE);
	g_ptr_array_free(m->past_due, TRUE);
	*m = (struct version_move){0};
}

void
move_msg_finish(struct move_msg *msg)
{
	for (uint32_t i = 0; i < msg->n_rows; i++) {
		g_free(msg->rows[i].service);
		g_free(msg->rows[i].version);
		g_free(msg->rows[i].route);
	}
	g_free(msg->rows);
	bad_finish(&msg->bad);
	*msg = (struct move_msg){0};
}

void
move_out_clear(struct move_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		struct move_effect *e = &out->effects[i];

		g_free(e->intent);
		g_free(e->service);
		if (e->msg != NULL)
			move_msg_finish(e->msg);
		g_free(e->msg);
		g_free(e->key);
		g_free(e->change);
		json_decref(e->value);
	}
	out->n = 0;
}

void
move_out_finish(struct move_out *out)
{
	move_out_clear(out);
	g_free(out->effects);
	*out = (struct move_out){0};
}

static struct move_effect *
emit(struct move_out *out, enum move_effect_kind kind)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 8 : out->cap * 2;
		out->effects =
		    g_renew(struct move_effect, out->effects, out->cap);
	}
	out->effects[out->n] = (struct move_effect){.kind = kind};
	return (&out->effects[out->n++]);
}

uint32_t
move_steps(const struct cfg_limits *l, uint32_t *steps)
{
	uint32_t n = 0, share = 0;

	for (size_t i = 0; i < G_N_ELEMENTS(standard_steps); i++) {
		while (standard_steps[i] - share > l->max_step_permille &&
		    n < MOVE_MAX_STEPS - G_N_ELEMENTS(standard_steps)) {
			share += l->max_step_permille;
			steps[n++] = share;
		}
		share = standard_steps[i];
		steps[n++] = share;
	}
	return (n);
}

int64_t
move_min_duration_ms(const struct cfg_limits *l)
{
	uint32_t steps[MOVE_MAX_STEPS];
	int64_t n = move_steps(l, steps);

	return ((n - 1) * l->step_min_s + l->observe_s + 2 * l->margin_s) *
	    MS_PER_S;
}

json_t *
move_service_value(const struct cfg_service *s, const struct cfg_limits *l,
    uint32_t step, enum cfg_move_state state, const char *reason)
{
	uint32_t steps[MOVE_MAX_STEPS], n = move_steps(l, steps), share = 0;
	struct cfg_service copy;
	json_t *value;

	cfg_service_copy(&copy, s);
	if (state != CFG_MOVE_ROLLED_BACK && step > 0)
		share = steps[MIN(step, n) - 1];
	if (state != CFG_MOVE_ROLLED_BACK)
		copy.move.step = step;
	copy.move.state = state;
	g_free(copy.move.reason);
	copy.move.reason = g_strdup(reason);
	for (uint32_t i = 0; i < copy.n_versions; i++) {
		struct cfg_version *v = &copy.versions[i];

		v->share = 0;
		if (strcmp(v->name, s->move.to) == 0)
			v->share = share;
		else if (strcmp(v->name, s->move.from) == 0)
			v->share = PERMILLE - share;
	}
	value = cfg_print_service(&copy);
	cfg_service_finish(&copy);
	return (value);
}

static const struct move_bad_version *
find_bad(const GPtrArray *bad, const struct cfg_service *s)
{
	for (guint i = 0; s->has_move && i < bad->len; i++) {
		const struct move_bad_version *b = bad->pdata[i];

		if (strcmp(b->service, s->name) == 0 &&
		    strcmp(b->intent, s->move.intent) == 0)
			return (b);
	}
	return (NULL);
}

void
move_effective_shares(const struct cfg_service *s, const GPtrArray *bad,
    int64_t wall_ms, uint32_t *shares)
{
	int to, from;

	for (uint32_t i = 0; i < s->n_versions; i++)
		shares[i] = s->versions[i].share;
	if (!s->has_move)
		return;
	to = cfg_find_version(s, s->move.to);
	from = cfg_find_version(s, s->move.from);
	if (find_bad(bad, s) != NULL ||
	    (s->move.state == CFG_MOVE_RUNNING && wall_ms >= s->move.due_ms)) {
		shares[from] += shares[to];
		shares[to] = 0;
	}
}

void
move_shares(const struct version_move *m, const struct cfg_service *s,
    int64_t wall_ms, uint32_t *shares)
{
	move_effective_shares(s, m->bad, wall_ms, shares);
}

static void
emit_shares(struct move_out *out, const char *service)
{
	emit(out, MOVE_SHARES)->service = g_strdup(service);
}

static void
emit_bad(struct version_move *m, const struct move_bad_version *b,
    enum move_effect_kind kind, struct move_out *out)
{
	struct move_effect *e = emit(out, kind);

	e->msg = g_new0(struct move_msg, 1);
	e->msg->kind = MOVE_MSG_BAD_VERSION;
	e->msg->sender = m->desc.self;
	e->msg->bad = bad_copy(b);
}

/* Stores a decision; returns whether it was new. */
static bool
record_bad_version(struct version_move *m, const struct move_bad_version *b,
    struct move_out *out)
{
	struct move_bad_version *copy;

	for (guint i = 0; i < m->bad->len; i++) {
		const struct move_bad_version *k = m->bad->pdata[i];

		if (strcmp(k->service, b->service) == 0 &&
		    strcmp(k->intent, b->intent) == 0)
			return (false);
	}
	if (m->bad->len == MOVE_MAX_BAD_VERSIONS)
		g_ptr_array_remove_index(m->bad, 0);
	copy = g_new(struct move_bad_version, 1);
	*copy = bad_copy(b);
	g_ptr_array_add(m->bad, copy);
	emit_shares(out, b->service);
	return (true);
}

static struct run *
find_run(struct version_move *m, const struct cfg_service *s)
{
	for (guint i = 0; i < m->runs->len; i++) {
		struct run *r = m->runs->pdata[i];

		if (strcmp(r->service, s->name) == 0 &&
		    strcmp(r->intent, s->move.intent) == 0)
			return (r);
	}
	return (NULL);
}

static struct run *
get_run(struct version_move *m, const struct cfg_service *s, int64_t now_ms)
{
	struct run *r = find_run(m, s);

	if (r != NULL)
		return (r);
	r = g_new0(struct run, 1);
	r->service = g_strdup(s->name);
	r->intent = g_strdup(s->move.intent);
	pooled_init(&r->metrics, now_ms);
	r->step = s->move.step;
	r->step_ms = now_ms;
	g_ptr_array_add(m->runs, r);
	return (r);
}

static void
check_metrics(struct version_move *m, struct run *r,
    const struct cfg_service *s, struct move_out *out)
{
	struct move_bad_version b = {s->name, s->move.to, s->move.intent, NULL};

	b.reason = pooled_bad_reason(&r->metrics);
	if (b.reason != NULL && record_bad_version(m, &b, out))
		emit_bad(m, &b, MOVE_SEND_ALL, out);
	g_free(b.reason);
}

static void
process_rows(struct version_move *m, const struct vm_id *sender,
    const struct move_row *rows, uint32_t n, const struct cfg_service *s,
    int64_t now_ms, struct move_out *out)
{
	struct run *r = get_run(m, s, now_ms);

	pooled_add(&r->metrics, sender, rows, n, s);
	check_metrics(m, r, s, out);
}

static bool
is_running(const struct cfg_service *s)
{
	return (s->has_move && s->move.state == CFG_MOVE_RUNNING);
}

/* Sends the rows of one service, at most MOVE_MAX_ROWS in each message. */
static void
send_rows(struct version_move *m, const struct cfg_service *s,
    const struct move_row *rows, uint32_t n, struct move_out *out)
{
	struct move_msg *msg = NULL;

	for (uint32_t i = 0; i < n; i++) {
		if (strcmp(rows[i].service, s->name) != 0)
			continue;
		if (msg == NULL || msg->n_rows == MOVE_MAX_ROWS) {
			struct move_effect *e = emit(out, MOVE_SEND_EXECUTOR);

			e->intent = g_strdup(s->move.intent);
			e->msg = g_new0(struct move_msg, 1);
			msg = e->msg;
			msg->sender = m->desc.self;
			msg->rows = g_new0(struct move_row, MOVE_MAX_ROWS);
		}
		msg->rows[msg->n_rows] = rows[i];
		msg->rows[msg->n_rows].service = g_strdup(rows[i].service);
		msg->rows[msg->n_rows].version = g_strdup(rows[i].version);
		msg->rows[msg->n_rows].route = g_strdup(rows[i].route);
		msg->n_rows++;
	}
}

void
move_on_local(struct version_move *m, const struct move_row *rows, uint32_t n,
    const struct move_view *view, int64_t now_ms, struct move_out *out)
{
	for (uint32_t i = 0; i < view->set->n_services; i++) {
		const struct cfg_service *s = view->set->services[i].service;

		if (!is_running(s))
			continue;
		if (view->is_executor(view->arg, s->move.intent))
			process_rows(m, &m->desc.self, rows, n, s, now_ms, out);
		else
			send_rows(m, s, rows, n, out);
	}
}

void
move_on_msg(struct version_move *m, const struct move_msg *msg,
    const struct move_view *view, int64_t now_ms, struct move_out *out)
{
	if (msg->kind == MOVE_MSG_BAD_VERSION) {
		record_bad_version(m, &msg->bad, out);
		return;
	}
	for (uint32_t i = 0; i < view->set->n_services; i++) {
		const struct cfg_service *s = view->set->services[i].service;

		if (is_running(s) &&
		    view->is_executor(view->arg, s->move.intent))
			process_rows(m, &msg->sender, msg->rows, msg->n_rows, s,
			    now_ms, out);
	}
}

void
move_on_written(struct version_move *m, const char *change,
    enum config_status status, int64_t now_ms)
{
	for (guint i = 0; i < m->runs->len; i++) {
		struct run *r = m->runs->pdata[i];

		if (r->pending_change == NULL ||
		    strcmp(r->pending_change, change) != 0 ||
		    status == CONFIG_PENDING)
			continue;
		g_free(r->pending_change);
		r->pending_change = NULL;
		r->next_write_ms = status == CONFIG_ACCEPTED
		    ? now_ms
		    : now_ms + WRITE_RETRY_MS;
	}
}

static void
write_move(struct run *r, const struct cfg_service_entry *e,
    const struct cfg_limits *l, uint32_t step, enum cfg_move_state state,
    const char *reason, struct move_out *out)
{
	struct move_effect *w;
	char *change;

	if (state == CFG_MOVE_ROLLED_BACK)
		change = g_strdup_printf("%s/back", r->intent);
	else if (state == CFG_MOVE_DONE)
		change = g_strdup_printf("%s/done", r->intent);
	else
		change = g_strdup_printf("%s/step%u", r->intent, step);
	w = emit(out, MOVE_WRITE);
	w->intent = g_strdup(r->intent);
	w->service = g_strdup(r->service);
	w->key = g_strdup_printf("config/service/%s", r->service);
	w->change = change;
	w->value = move_service_value(e->service, l, step, state, reason);
	w->if_version = e->version;
	g_free(r->pending_change);
	r->pending_change = g_strdup(change);
}

/* Takes the next step once the present one has had enough time and calls. */
static void
advance(struct run *r, const struct cfg_service_entry *e,
    const struct cfg_limits *l, const struct move_view *view, int64_t now_ms,
    struct move_out *out)
{
	const struct cfg_move *v = &e->service->move;
	uint32_t steps[MOVE_MAX_STEPS], n = move_steps(l, steps);
	bool last = v->step >= n;
	int64_t need_ms =
	    (int64_t)(last ? l->observe_s : l->step_min_s) * MS_PER_S;

	if (v->step > 0 &&
	    (now_ms - r->step_ms < need_ms ||
		r->metrics.step_calls < l->step_min_calls ||
		pooled_is_suspect(&r->metrics)))
		return;
	if (!last) {
		write_move(r, e, l, v->step + 1, CFG_MOVE_RUNNING, NULL, out);
		return;
	}
	if (!pooled_has_enough_calls(&r->metrics, l) ||
	    view->wall_ms >= v->due_ms - 2 * (int64_t)l->margin_s * MS_PER_S)
		return;
	write_move(r, e, l, v->step, CFG_MOVE_DONE, "all steps passed", out);
}

static void
roll_back(struct run *r, const struct cfg_service_entry *e,
    const struct cfg_limits *l, const char *reason, struct move_out *out)
{
	if (r->pending_change == NULL ||
	    !g_str_has_suffix(r->pending_change, "/back"))
		write_move(r, e, l, 0, CFG_MOVE_ROLLED_BACK, reason, out);
}

/* Whether a write that ends the move as done waits to be accepted. */
static bool
has_pending_done(const struct run *r)
{
	return (r != NULL && r->pending_change != NULL &&
	    g_str_has_suffix(r->pending_change, "/done"));
}

/*
 * Declares the new version bad because the "done" write was not accepted in
 * time. VMs that already apply that write then also return to the old version.
 */
static void
fail_late_move(
    struct version_move *m, const struct cfg_service *s, struct move_out *out)
{
	char reason[] = "not accepted before the due time";
	struct move_bad_version b = {
	    s->name, s->move.to, s->move.intent, reason};

	if (record_bad_version(m, &b, out))
		emit_bad(m, &b, MOVE_SEND_ALL, out);
}

static void
tick_run(struct version_move *m, struct run *r,
    const struct cfg_service_entry *e, const struct move_view *view,
    int64_t now_ms, struct move_out *out)
{
	const struct cfg_limits *l = &view->set->limits;
	const struct cfg_move *v = &e->service->move;
	int64_t margin_ms = (int64_t)l->margin_s * MS_PER_S;
	const struct move_bad_version *bad;

	if (has_pending_done(r) && view->wall_ms >= v->due_ms - margin_ms)
		fail_late_move(m, e->service, out);
	bad = find_bad(m->bad, e->service);
	if (v->step != r->step) {
		r->step = v->step;
		r->step_ms = now_ms;
		r->metrics.step_calls = 0;
	}
	pooled_tick(&r->metrics, now_ms);
	if (now_ms < r->next_write_ms)
		return;
	if (bad != NULL)
		roll_back(r, e, l, bad->reason, out);
	else if (v->state != CFG_MOVE_RUNNING)
		return;
	else if (view->wall_ms >= v->due_ms - margin_ms)
		roll_back(r, e, l,
		    r->metrics.step_calls < l->step_min_calls ||
			    !pooled_has_enough_calls(&r->metrics, l)
			? "too few calls to decide before the due time"
			: "not finished before the due time",
		    out);
	else if (r->pending_change == NULL)
		advance(r, e, l, view, now_ms, out);
}

/* Emits MOVE_SHARES once after the due time of a running move has passed. */
static void
report_due_passed(struct version_move *m, const struct cfg_service *s,
    const struct move_view *view, struct move_out *out)
{
	if (!is_running(s) || view->wall_ms < s->move.due_ms)
		return;
	for (guint i = 0; i < m->past_due->len; i++) {
		if (strcmp(m->past_due->pdata[i], s->move.intent) == 0)
			return;
	}
	if (m->past_due->len == MOVE_MAX_BAD_VERSIONS)
		g_ptr_array_remove_index(m->past_due, 0);
	g_ptr_array_add(m->past_due, g_strdup(s->move.intent));
	emit_shares(out, s->name);
}

void
move_tick(struct version_move *m, const struct move_view *view, int64_t now_ms,
    struct move_out *out)
{
	bool gossip = now_ms - m->gossip_ms >= GOSSIP_MS;

	if (gossip)
		m->gossip_ms = now_ms;
	for (guint i = 0; i < m->runs->len; i++)
		((struct run *)m->runs->pdata[i])->seen = false;
	for (uint32_t i = 0; i < view->set->n_services; i++) {
		const struct cfg_service_entry *e = &view->set->services[i];
		const struct cfg_service *s = e->service;
		const struct move_bad_version *bad;
		struct run *r;
		bool executor;

		if (!s->has_move || s->move.state == CFG_MOVE_ROLLED_BACK)
			continue;
		report_due_passed(m, s, view, out);
		bad = find_bad(m->bad, s);
		executor = view->is_executor(view->arg, s->move.intent);
		/*
		 * Decisions are sent again, because messages may be lost and
		 * VMs may start later.
		 */
		if (gossip && bad != NULL)
			emit_bad(m, bad,
			    executor ? MOVE_SEND_ALL : MOVE_SEND_ANY, out);
		if (!executor ||
		    (bad == NULL && !is_running(s) &&
			!has_pending_done(find_run(m, s))))
			continue;
		r = get_run(m, s, now_ms);
		r->seen = true;
		tick_run(m, r, e, view, now_ms, out);
	}
	/*
	 * Drops the runs whose move has ended, whose service was deleted or
	 * whose executor is now another VM.
	 */
	for (guint i = m->runs->len; i-- > 0;) {
		if (!((struct run *)m->runs->pdata[i])->seen)
			g_ptr_array_remove_index(m->runs, i);
	}
}
