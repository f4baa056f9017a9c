#include "move/intent_execution.h"

#include <stdio.h>

#define INTENT_PREFIX "intent/"
#define MS_PER_S 1000
#define RETRY_MS 500

void
intent_exec_entry_free(gpointer p)
{
	struct intent_exec_entry *e = p;

	intent_finish(&e->i);
	g_free(e->pending_change);
	g_free(e->accepted_change);
	g_free(e);
}

struct intents_effect *
intent_exec_emit(
    struct intents_out *out, enum intents_effect_kind kind, const char *intent)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 8 : out->cap * 2;
		out->effects =
		    g_renew(struct intents_effect, out->effects, out->cap);
	}
	out->effects[out->n] =
	    (struct intents_effect){.kind = kind, .intent = g_strdup(intent)};
	return (&out->effects[out->n++]);
}

const char *
intent_exec_emit_write(struct intents_out *out, const char *id, char *key,
    char *change, uint64_t if_version, json_t *value)
{
	struct intents_effect *w = intent_exec_emit(out, INTENTS_WRITE, id);

	w->key = key;
	w->change = change;
	w->version = if_version;
	w->value = value;
	return (change);
}

void
intent_exec_set_change(char **slot, const char *change)
{
	g_free(*slot);
	*slot = g_strdup(change);
}

bool
intent_exec_is_stale(const struct intents *t, const struct intent_lock *l)
{
	const struct intent_exec_entry *e =
	    g_hash_table_lookup(t->intents, l->intent);

	return (e != NULL && e->version > l->version &&
	    (e->i.state == INTENT_PROPOSED || intent_is_final(e->i.state)));
}

const struct intent_lock *
intent_exec_find_lock(const struct intents *t, const char *id)
{
	for (uint32_t k = 0; k < t->locks.n_locks; k++) {
		if (strcmp(t->locks.locks[k].intent, id) == 0)
			return (&t->locks.locks[k]);
	}
	return (NULL);
}

const char *
intent_exec_write_locks(struct intents *t, const char *id, const char *add,
    uint64_t version, struct intents_out *out)
{
	struct intent_lock *kept =
	    g_new0(struct intent_lock, t->locks.n_locks + 1);
	struct intent_locks next = {kept, 0};
	const char *change;

	for (uint32_t k = 0; k < t->locks.n_locks; k++) {
		const struct intent_lock *l = &t->locks.locks[k];

		if (!intent_exec_is_stale(t, l) && strcmp(l->intent, id) != 0)
			kept[next.n_locks++] = *l;
	}
	if (add != NULL)
		kept[next.n_locks++] =
		    (struct intent_lock){(char *)add, (char *)id, version};
	change = intent_exec_emit_write(out, id, g_strdup(INTENT_LOCKS_KEY),
	    g_strdup_printf("%s/%s%llu", id, add != NULL ? "lock" : "unlock",
		(unsigned long long)t->locks_version),
	    t->locks_version, intent_print_locks(&next));
	g_free(kept);
	return (change);
}

const char *
intent_exec_write_state(const struct intent_exec_entry *e,
    enum intent_state state, const char *reason, int64_t wall_ms,
    struct intents_out *out)
{
	struct intent_object copy;
	const char *change;

	intent_copy(&copy, &e->i);
	copy.state = state;
	if (intent_is_final(state)) {
		copy.finished_ms = wall_ms;
		g_free(copy.reason);
		copy.reason = g_strdup(reason);
	}
	change = intent_exec_emit_write(out, e->i.id,
	    g_strdup_printf(INTENT_PREFIX "%s", e->i.id),
	    g_strdup_printf("%s/state-%s", e->i.id, intent_state_name(state)),
	    e->version, intent_print(&copy));
	intent_finish(&copy);
	return (change);
}

int64_t
intent_exec_expiry_ms(
    const struct intent_exec_entry *e, const struct intents_view *view)
{
	return (e->i.created_ms +
	    (int64_t)view->plan.set->limits.intent_expiry_s * MS_PER_S);
}

void
intent_exec_on_written(struct intent_exec_entry *e, const char *change,
    enum config_status status, const struct intents_view *view, int64_t now_ms)
{
	if (status == CONFIG_ACCEPTED) {
		intent_exec_set_change(&e->accepted_change, change);
		e->accepted_wall_ms = view->plan.wall_ms;
	}
	if (e->pending_change == NULL || strcmp(e->pending_change, change) != 0)
		return;
	if (status == CONFIG_PENDING) {
		e->stuck_reason =
		    "a majority of the members does not acknowledge";
		return;
	}
	g_free(e->pending_change);
	e->pending_change = NULL;
	e->next_ms = status == CONFIG_ACCEPTED ? now_ms : now_ms + RETRY_MS;
	if (status == CONFIG_UNRESOLVED)
		e->stuck_reason = "the store does not respond";
	else if (status == CONFIG_CONFLICT)
		e->stuck_reason = "another change was first, trying again";
	else if (status == CONFIG_INVALID)
		e->stuck_reason = "the change does not pass the checks";
}

static void
set_state(struct intent_exec_entry *e, enum intent_state state,
    const char *reason, const struct intents_view *view,
    struct intents_out *out)
{
	intent_exec_set_change(&e->pending_change,
	    intent_exec_write_state(e, state, reason, view->plan.wall_ms, out));
}

/* Store version of the object that the intent changes. */
static uint64_t
target_version(const struct intent_exec_entry *e, const struct cfg_set *set)
{
	const struct cfg_service_entry *s;

	if (e->i.zone != NULL)
		return (set->zones_version);
	s = cfg_set_find(set, e->i.service);
	return (s == NULL ? 0 : s->version);
}

/* Change id of the last write of the object that the intent changes. */
static const char *
target_change(const struct intent_exec_entry *e, const struct cfg_set *set)
{
	const struct cfg_service_entry *s;

	if (e->i.zone != NULL)
		return (set->zones == NULL ? NULL : set->zones->change);
	s = cfg_set_find(set, e->i.service);
	return (s == NULL ? NULL : s->service->change);
}

/* Writes the target object and takes ownership of @value. */
static void
write_target(struct intent_exec_entry *e, const char *suffix, json_t *value,
    const struct intents_view *view, struct intents_out *out)
{
	intent_exec_set_change(&e->pending_change,
	    intent_exec_emit_write(out, e->i.id, plan_key(&e->i),
		g_strdup_printf("%s%s", e->i.id, suffix),
		target_version(e, view->plan.set), value));
}

/* Whether the last accepted write has the change id "<intent id><suffix>". */
static bool
was_accepted(const struct intent_exec_entry *e, const char *suffix)
{
	return (e->accepted_change != NULL &&
	    g_str_has_prefix(e->accepted_change, e->i.id) &&
	    strcmp(e->accepted_change + strlen(e->i.id), suffix) == 0);
}

/*
 * Refuses a confirmed intent. The target object is first written unchanged, so
 * that a write of an earlier executor whose response was lost is either visible
 * or fails; see intents.h.
 */
static void
refuse(struct intent_exec_entry *e, const char *reason,
    const struct intents_view *view, struct intents_out *out)
{
	const struct cfg_set *set = view->plan.set;
	const struct cfg_service_entry *s;
	bool missing;
	json_t *value;

	s = e->i.zone == NULL ? cfg_set_find(set, e->i.service) : NULL;
	missing = e->i.zone == NULL ? s == NULL : set->zones == NULL;
	if (missing && view->plan.wall_ms < e->i.due_ms) {
		/* A VM that has just started may not have the object yet. */
		e->stuck_reason = "the object to change is not known";
		return;
	}
	if (missing || was_accepted(e, "/refuse")) {
		set_state(e, INTENT_REFUSED, reason, view, out);
		return;
	}
	value = s == NULL ? cfg_print_zones(set->zones)
			  : cfg_print_service(s->service);
	write_target(e, "/refuse", value, view, out);
}

static bool
owns_move(const struct intent_exec_entry *e, const struct cfg_service_entry *s)
{
	return (s != NULL && s->service->has_move &&
	    strcmp(s->service->move.intent, e->i.id) == 0);
}

/*
 * Starts a confirmed intent. A move begins with the write of its move object
 * into the service.
 */
static void
start_intent(struct intent_exec_entry *e, const struct intents_view *view,
    struct intents_out *out)
{
	const struct cfg_set *set = view->plan.set;
	bool is_move = e->i.kind == INTENT_MOVE_VERSION;
	const struct cfg_service_entry *s =
	    is_move ? cfg_set_find(set, e->i.service) : NULL;
	struct intent_plan plan;
	bool possible;

	if (was_accepted(e, "") || (is_move && owns_move(e, s))) {
		set_state(e, INTENT_RUNNING, NULL, view, out);
		return;
	}
	possible = plan_compute(&plan, &e->i, &view->plan);
	if (!possible)
		refuse(e, plan.refusal, view, out);
	else if (is_move)
		write_target(e, "", plan_target(&e->i, set), view, out);
	else
		set_state(e, INTENT_RUNNING, NULL, view, out);
	plan_finish(&plan);
}

/* Runs an intent other than a move, which consists of one write. */
static void
run_change(struct intent_exec_entry *e, const struct intents_view *view,
    struct intents_out *out)
{
	const struct cfg_set *set = view->plan.set;
	const char *change = target_change(e, set);
	bool written = change != NULL && strcmp(change, e->i.id) == 0;
	json_t *value = plan_target(&e->i, set);

	if (was_accepted(e, "")) {
		set_state(e, INTENT_DONE, "in effect", view, out);
	} else if (value == NULL ||
	    (!written && view->plan.wall_ms >= e->i.due_ms)) {
		refuse(e, "not accepted before the due time", view, out);
	} else {
		write_target(e, "", json_incref(value), view, out);
	}
	json_decref(value);
}

/* Ends a running intent whose move object another change has replaced. */
static void
end_replaced_move(struct intent_exec_entry *e,
    const struct cfg_service_entry *s, const struct intents_view *view,
    struct intents_out *out)
{
	int to = s == NULL ? -1 : cfg_find_version(s->service, e->i.version);
	bool no_share = to < 0 || s->service->versions[to].share == 0;

	/*
	 * The service in effect is older than this state of the intent, so it
	 * does not show yet whether the move was replaced.
	 */
	if (s != NULL && s->version < e->version)
		return;
	/*
	 * A missing service may also be a stale view, but only until the due
	 * time, after which the move has no effect on any VM.
	 */
	if (s == NULL && view->plan.wall_ms < e->i.due_ms)
		return;
	set_state(e, no_share ? INTENT_ROLLED_BACK : INTENT_REFUSED,
	    "the move was replaced by another change", view, out);
}

static void
run_move(struct intent_exec_entry *e, const struct intents_view *view,
    struct intents_out *out)
{
	const struct cfg_set *set = view->plan.set;
	const struct cfg_service_entry *s = cfg_set_find(set, e->i.service);
	int64_t last_ms =
	    e->i.due_ms - (int64_t)set->limits.margin_s * MS_PER_S;
	const struct cfg_move *m;

	if (!owns_move(e, s)) {
		end_replaced_move(e, s, view, out);
		return;
	}
	m = &s->service->move;
	if (m->state == CFG_MOVE_RUNNING) {
		e->stuck_reason = view->plan.wall_ms >= e->i.due_ms
		    ? "rolled back everywhere, waiting for the store"
		    : NULL;
	} else if (m->state == CFG_MOVE_ROLLED_BACK) {
		if (was_accepted(e, "/back"))
			set_state(e, INTENT_ROLLED_BACK, m->reason, view, out);
		else
			write_target(e, "/back",
			    move_service_value(s->service, &set->limits, 0,
				CFG_MOVE_ROLLED_BACK, m->reason),
			    view, out);
	} else if (was_accepted(e, "/done") && e->accepted_wall_ms < last_ms) {
		set_state(e, INTENT_DONE, m->reason, view, out);
	} else if (view->plan.wall_ms >= last_ms) {
		write_target(e, "/back",
		    move_service_value(s->service, &set->limits, 0,
			CFG_MOVE_ROLLED_BACK,
			"not accepted before the due time"),
		    view, out);
	} else {
		write_target(e, "/done",
		    move_service_value(s->service, &set->limits, m->step,
			CFG_MOVE_DONE, m->reason),
		    view, out);
	}
}

/*
 * Releases the lock of a final intent, and corrects the state of a move that
 * was found bad after it was done.
 */
static void
clean_up(struct intents *t, struct intent_exec_entry *e,
    const struct intents_view *view, struct intents_out *out)
{
	const struct cfg_service_entry *s = e->i.kind == INTENT_MOVE_VERSION
	    ? cfg_set_find(view->plan.set, e->i.service)
	    : NULL;

	if (e->i.state == INTENT_DONE && owns_move(e, s) &&
	    s->service->move.state == CFG_MOVE_ROLLED_BACK)
		set_state(
		    e, INTENT_ROLLED_BACK, s->service->move.reason, view, out);
	else if (intent_exec_find_lock(t, e->i.id) != NULL)
		intent_exec_set_change(&e->pending_change,
		    intent_exec_write_locks(t, e->i.id, NULL, 0, out));
}

static void
tick_proposed(struct intents *t, struct intent_exec_entry *e,
    const struct intents_view *view, struct intents_out *out)
{
	const struct intent_lock *l = intent_exec_find_lock(t, e->i.id);

	if (view->plan.wall_ms >= intent_exec_expiry_ms(e, view))
		set_state(
		    e, INTENT_DROPPED, "not confirmed in time", view, out);
	else if (l != NULL && l->version == e->version)
		set_state(e, INTENT_CONFIRMED, NULL, view, out);
}

bool
intent_exec_has_pending_write(
    const struct intent_exec_entry *e, const struct intents_view *view)
{
	int64_t margin_ms = (int64_t)view->plan.set->limits.margin_s * MS_PER_S;

	/*
	 * From one margin before the due time, a "done" write in progress comes
	 * too late. It no longer blocks the rollback, although it may still be
	 * accepted.
	 */
	if (e->pending_change != NULL && e->i.kind == INTENT_MOVE_VERSION &&
	    g_str_has_suffix(e->pending_change, "/done"))
		return (view->plan.wall_ms < e->i.due_ms - margin_ms);
	return (e->pending_change != NULL);
}

void
intent_exec_tick(struct intents *t, struct intent_exec_entry *e,
    const struct intents_view *view, struct intents_out *out)
{
	switch (e->i.state) {
	case INTENT_PROPOSED:
		tick_proposed(t, e, view, out);
		break;
	case INTENT_CONFIRMED:
		start_intent(e, view, out);
		break;
	case INTENT_RUNNING:
		if (e->i.kind == INTENT_MOVE_VERSION)
			run_move(e, view, out);
		else
			run_change(e, view, out);
		break;
	default:
		clean_up(t, e, view, out);
		break;
	}
}
