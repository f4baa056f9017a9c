#include "move/itn.h"

#include <stdio.h>

#define INTENT_PREFIX "intent/"
#define MS_PER_S 1000
#define RETRY_MS 500
/* An operator waits this long for the store. */
#define WORK_WAIT_MS 30000
/* Deadline of an intent that names none. */
#define DEFAULT_DUE_MS 3600000

/* An intent and what its executor does. */
struct entry {
	struct cfi_intent i;
	uint64_t version;
	char *writing;  /* change id of the write in progress */
	char *accepted; /* change id of the last write that was accepted */
	int64_t accepted_wall_ms;
	int64_t next_ms;
	const char *stuck;
};

enum work_kind { WORK_DECLARE, WORK_REPLAN, WORK_CONFIRM, WORK_DROP };

/* A request of an operator. */
struct work {
	enum work_kind kind;
	char *id;
	uint64_t shown;
	char *writing;
	int64_t next_ms;
	int64_t deadline_ms;
};

static void
entry_free(gpointer p)
{
	struct entry *e = p;

	cfi_finish(&e->i);
	g_free(e->writing);
	g_free(e->accepted);
	g_free(e);
}

static void
work_free(gpointer p)
{
	struct work *w = p;

	g_free(w->id);
	g_free(w->writing);
	g_free(w);
}

void
itn_init(struct itn *t)
{
	*t = (struct itn){0};
	t->intents =
	    g_hash_table_new_full(g_str_hash, g_str_equal, NULL, entry_free);
	t->works = g_ptr_array_new_with_free_func(work_free);
}

void
itn_finish(struct itn *t)
{
	g_hash_table_destroy(t->intents);
	g_ptr_array_free(t->works, TRUE);
	cfi_locks_finish(&t->locks);
	*t = (struct itn){0};
}

void
itn_out_clear(struct itn_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		struct itn_effect *e = &out->effects[i];

		g_free(e->intent);
		g_free(e->text);
		g_free(e->key);
		g_free(e->change);
		json_decref(e->value);
	}
	out->n = 0;
}

void
itn_out_finish(struct itn_out *out)
{
	itn_out_clear(out);
	g_free(out->effects);
	*out = (struct itn_out){0};
}

static struct itn_effect *
emit(struct itn_out *out, enum itn_effect_kind kind, const char *intent)
{
	if (out->n == out->cap) {
		out->cap = out->cap == 0 ? 8 : out->cap * 2;
		out->effects =
		    g_renew(struct itn_effect, out->effects, out->cap);
	}
	out->effects[out->n] =
	    (struct itn_effect){.kind = kind, .intent = g_strdup(intent)};
	return (&out->effects[out->n++]);
}

static void
reply(struct itn *t, const char *id, enum err_kind error, const char *text,
    struct itn_out *out)
{
	struct itn_effect *r = emit(out, ITN_REPLY, id);
	struct entry *e = g_hash_table_lookup(t->intents, id);

	r->error = error;
	r->text = g_strdup(text);
	if (e == NULL)
		return;
	r->version = e->version;
	r->value = cfi_print(&e->i);
}

/* Emits a write; takes @change and @value. */
static const char *
emit_write(struct itn_out *out, const char *id, char *key, char *change,
    uint64_t if_version, json_t *value)
{
	struct itn_effect *w = emit(out, ITN_WRITE, id);

	w->key = key;
	w->change = change;
	w->version = if_version;
	w->value = value;
	return (change);
}

static void
set_writing(char **slot, const char *change)
{
	g_free(*slot);
	*slot = g_strdup(change);
}

const struct cfi_intent *
itn_get(const struct itn *t, const char *id, uint64_t *version)
{
	const struct entry *e = g_hash_table_lookup(t->intents, id);

	if (e == NULL)
		return (NULL);
	if (version != NULL)
		*version = e->version;
	return (&e->i);
}

void
itn_on_object(struct itn *t, const char *key, uint64_t version,
    const json_t *value, struct itn_out *out)
{
	struct cfi_intent parsed;
	struct bbuf ignored;
	struct entry *e;

	if (!g_str_has_prefix(key, INTENT_PREFIX))
		return;
	bbuf_init(&ignored);
	if (strcmp(key, CFI_LOCKS_KEY) == 0) {
		cfi_locks_finish(&t->locks);
		if (value != NULL)
			cfi_parse_locks(&t->locks, value, &ignored);
		t->locks_version = version;
	} else if (value == NULL) {
		g_hash_table_remove(t->intents, key + strlen(INTENT_PREFIX));
	} else if (cfi_parse(&parsed, value, &ignored)) {
		e = g_hash_table_lookup(t->intents, parsed.id);
		if (e == NULL) {
			e = g_new0(struct entry, 1);
		} else {
			g_hash_table_steal(t->intents, parsed.id);
			cfi_finish(&e->i);
		}
		e->i = parsed;
		e->version = version;
		e->stuck = NULL;
		g_hash_table_insert(t->intents, e->i.id, e);
		if (cfi_is_final(parsed.state))
			emit(out, ITN_ENDED, parsed.id)->value =
			    itn_report(t, parsed.id);
	} else {
		cfi_finish(&parsed);
	}
	bbuf_finish(&ignored);
}

/* Whether a lock entry can no longer lead to a confirmed intent. */
static bool
is_stale(const struct itn *t, const struct cfi_lock *l)
{
	const struct entry *e = g_hash_table_lookup(t->intents, l->intent);

	return (e != NULL && e->version > l->version &&
	    (e->i.state == CFI_PROPOSED || cfi_is_final(e->i.state)));
}

/* Intent that holds the subject, or NULL. */
static const struct cfi_lock *
find_holder(const struct itn *t, const char *subject)
{
	for (uint32_t k = 0; k < t->locks.n_locks; k++) {
		const struct cfi_lock *l = &t->locks.locks[k];

		if (strcmp(l->subject, subject) == 0 && !is_stale(t, l))
			return (l);
	}
	return (NULL);
}

static const struct cfi_lock *
find_lock(const struct itn *t, const char *id)
{
	for (uint32_t k = 0; k < t->locks.n_locks; k++) {
		if (strcmp(t->locks.locks[k].intent, id) == 0)
			return (&t->locks.locks[k]);
	}
	return (NULL);
}

/* Writes the locks without stale entries, and with one for @add if given. */
static const char *
write_locks(struct itn *t, const char *id, const char *add, uint64_t version,
    struct itn_out *out)
{
	struct cfi_lock *kept = g_new0(struct cfi_lock, t->locks.n_locks + 1);
	struct cfi_locks next = {kept, 0};
	const char *change;

	for (uint32_t k = 0; k < t->locks.n_locks; k++) {
		const struct cfi_lock *l = &t->locks.locks[k];

		if (!is_stale(t, l) && strcmp(l->intent, id) != 0)
			kept[next.n_locks++] = *l;
	}
	if (add != NULL)
		kept[next.n_locks++] =
		    (struct cfi_lock){(char *)add, (char *)id, version};
	change = emit_write(out, id, g_strdup(CFI_LOCKS_KEY),
	    g_strdup_printf("%s/%s%llu", id, add != NULL ? "lock" : "unlock",
		(unsigned long long)t->locks_version),
	    t->locks_version, cfi_print_locks(&next));
	g_free(kept);
	return (change);
}

/* Writes an intent in another state. */
static const char *
write_state(const struct entry *e, enum cfi_state state, const char *reason,
    int64_t wall_ms, struct itn_out *out)
{
	struct cfi_intent copy;
	const char *change;

	cfi_copy(&copy, &e->i);
	copy.state = state;
	if (cfi_is_final(state)) {
		copy.finished_ms = wall_ms;
		g_free(copy.reason);
		copy.reason = g_strdup(reason);
	}
	change = emit_write(out, e->i.id,
	    g_strdup_printf(INTENT_PREFIX "%s", e->i.id),
	    g_strdup_printf("%s/%s", e->i.id, cfi_state_name(state)),
	    e->version, cfi_print(&copy));
	cfi_finish(&copy);
	return (change);
}

static int64_t
expiry_ms(const struct entry *e, const struct itn_view *view)
{
	return (e->i.created_ms +
	    (int64_t)view->plan.set->limits.intent_expiry_s * MS_PER_S);
}

static struct work *
add_work(struct itn *t, enum work_kind kind, const char *id, int64_t now_ms)
{
	struct work *w = g_new0(struct work, 1);

	w->kind = kind;
	w->id = g_strdup(id);
	w->deadline_ms = now_ms + WORK_WAIT_MS;
	g_ptr_array_add(t->works, w);
	return (w);
}

/* Refuses a request when too many wait. */
static bool
has_room(struct itn *t, const char *id, struct itn_out *out)
{
	if (t->works->len < ITN_MAX_WORKS)
		return (true);
	reply(t, id, ERR_OVERLOADED, "too many requests wait", out);
	return (false);
}

/* Replies with the holder of the subject when it is another intent. */
static bool
conflicts(struct itn *t, const struct cfi_intent *i, struct itn_out *out)
{
	char *subject = pln_subject(i);
	const struct cfi_lock *l = find_holder(t, subject);
	bool other = l != NULL && strcmp(l->intent, i->id) != 0;
	char *text;

	if (other) {
		text = g_strdup_printf("conflicts with intent %s", l->intent);
		reply(t, i->id, ERR_CONFLICT, text, out);
		g_free(text);
	}
	g_free(subject);
	return (other);
}

void
itn_declare(struct itn *t, const struct cfi_intent *request,
    const struct itn_view *view, int64_t now_ms, struct itn_out *out)
{
	struct cfi_intent copy;
	struct pln plan;
	struct work *w;

	if (g_hash_table_contains(t->intents, request->id)) {
		reply(t, request->id, ERR_CONFLICT, "the id is in use", out);
		return;
	}
	if (!has_room(t, request->id, out) || conflicts(t, request, out))
		return;
	cfi_copy(&copy, request);
	copy.state = CFI_PROPOSED;
	copy.created_ms = view->plan.wall_ms;
	if (copy.due_ms == 0)
		copy.due_ms = view->plan.wall_ms + DEFAULT_DUE_MS;
	if (!pln_compute(&plan, &copy, &view->plan)) {
		reply(t, request->id, ERR_INVALID, plan.refusal, out);
	} else {
		copy.basis = plan.basis;
		json_decref(copy.plan);
		copy.plan = pln_print(&plan);
		w = add_work(t, WORK_DECLARE, copy.id, now_ms);
		set_writing(&w->writing,
		    emit_write(out, copy.id,
			g_strdup_printf(INTENT_PREFIX "%s", copy.id),
			g_strdup_printf("%s/proposed", copy.id), 0,
			cfi_print(&copy)));
	}
	pln_finish(&plan);
	cfi_finish(&copy);
}

/* Writes the intent with a plan on the present configuration. */
static void
write_plan(struct itn *t, struct entry *e, const struct pln *plan,
    int64_t now_ms, struct itn_out *out)
{
	struct work *w = add_work(t, WORK_REPLAN, e->i.id, now_ms);
	struct cfi_intent copy;

	cfi_copy(&copy, &e->i);
	copy.basis = plan->basis;
	json_decref(copy.plan);
	copy.plan = pln_print(plan);
	set_writing(&w->writing,
	    emit_write(out, copy.id,
		g_strdup_printf(INTENT_PREFIX "%s", copy.id),
		g_strdup_printf(
		    "%s/plan%llu", copy.id, (unsigned long long)e->version),
		e->version, cfi_print(&copy)));
	cfi_finish(&copy);
}

static const char *
why_not_confirm(
    const struct entry *e, uint64_t version, const struct itn_view *view)
{
	if (e->i.state != CFI_PROPOSED)
		return ("the intent is not proposed any more");
	if (view->plan.wall_ms >= expiry_ms(e, view))
		return ("the intent has expired");
	if (e->version != version)
		return ("the plan has changed, see the new one");
	return (NULL);
}

void
itn_confirm(struct itn *t, const char *id, uint64_t version,
    const struct itn_view *view, int64_t now_ms, struct itn_out *out)
{
	struct entry *e = g_hash_table_lookup(t->intents, id);
	const char *why;
	struct pln plan;
	bool possible;

	if (e == NULL) {
		reply(t, id, ERR_NOT_FOUND, "no such intent", out);
		return;
	}
	why = why_not_confirm(e, version, view);
	if (why != NULL) {
		reply(t, id, ERR_CONFLICT, why, out);
		return;
	}
	if (!has_room(t, id, out) || conflicts(t, &e->i, out))
		return;
	possible = pln_compute(&plan, &e->i, &view->plan);
	if (!possible)
		reply(t, id, ERR_INVALID, plan.refusal, out);
	else if (plan.basis != e->i.basis)
		write_plan(t, e, &plan, now_ms, out);
	else
		add_work(t, WORK_CONFIRM, id, now_ms)->shown = version;
	pln_finish(&plan);
	itn_tick(t, view, now_ms, out);
}

void
itn_drop(struct itn *t, const char *id, const struct itn_view *view,
    int64_t now_ms, struct itn_out *out)
{
	struct entry *e = g_hash_table_lookup(t->intents, id);
	struct work *w;

	if (e == NULL) {
		reply(t, id, ERR_NOT_FOUND, "no such intent", out);
		return;
	}
	if (e->i.state != CFI_PROPOSED) {
		reply(t, id, ERR_CONFLICT,
		    "the intent is not proposed any more", out);
		return;
	}
	if (!has_room(t, id, out))
		return;
	w = add_work(t, WORK_DROP, id, now_ms);
	set_writing(&w->writing,
	    write_state(e, CFI_DROPPED, "dropped by an operator",
		view->plan.wall_ms, out));
}

static void
end_work(struct itn *t, struct work *w, enum err_kind error, const char *text,
    struct itn_out *out)
{
	reply(t, w->id, error, text, out);
	g_ptr_array_remove(t->works, w);
}

/* Final answer to the write of a declaration, a new plan or a withdrawal. */
static void
on_work_written(struct itn *t, struct work *w, enum cst_status status,
    const char *text, struct itn_out *out)
{
	switch (status) {
	case CST_ACCEPTED:
	case CST_PENDING:
		if (w->kind == WORK_REPLAN)
			end_work(t, w, ERR_CONFLICT,
			    "the configuration has changed, see the new plan",
			    out);
		else
			end_work(t, w, ERR_NONE,
			    status == CST_ACCEPTED ? "accepted"
						   : "stored, not yet accepted",
			    out);
		break;
	case CST_CONFLICT:
		end_work(t, w, ERR_CONFLICT,
		    "the intent was changed by someone else", out);
		break;
	case CST_INVALID:
		end_work(t, w, ERR_INVALID, text, out);
		break;
	case CST_UNRESOLVED:
		end_work(t, w, ERR_STORE,
		    "the store does not respond, the change may be stored",
		    out);
		break;
	}
}

/* Answer to one of the two writes of a confirmation. */
static void
on_confirm_written(struct itn *t, struct work *w, enum cst_status status,
    const char *text, int64_t now_ms, struct itn_out *out)
{
	bool second = strstr(w->writing, "/lock") == NULL;

	if (second && (status == CST_ACCEPTED || status == CST_PENDING)) {
		on_work_written(t, w, status, text, out);
		return;
	}
	/* Anything else is judged on the objects in effect at the next tick. */
	g_free(w->writing);
	w->writing = NULL;
	w->next_ms = status == CST_ACCEPTED || status == CST_PENDING
	    ? now_ms
	    : now_ms + RETRY_MS;
}

static void
on_entry_written(struct entry *e, const char *change, enum cst_status status,
    const struct itn_view *view, int64_t now_ms)
{
	if (status == CST_ACCEPTED) {
		set_writing(&e->accepted, change);
		e->accepted_wall_ms = view->plan.wall_ms;
	}
	if (e->writing == NULL || strcmp(e->writing, change) != 0)
		return;
	if (status == CST_PENDING) {
		e->stuck = "a majority of the members does not acknowledge";
		return;
	}
	g_free(e->writing);
	e->writing = NULL;
	e->next_ms = status == CST_ACCEPTED ? now_ms : now_ms + RETRY_MS;
	if (status == CST_UNRESOLVED)
		e->stuck = "the store does not respond";
	else if (status == CST_CONFLICT)
		e->stuck = "another change was first, trying again";
	else if (status == CST_INVALID)
		e->stuck = "the change does not pass the checks";
}

void
itn_on_written(struct itn *t, const char *change, enum cst_status status,
    const char *text, const struct itn_view *view, int64_t now_ms,
    struct itn_out *out)
{
	const char *slash = strchr(change, '/');
	char *id = slash == NULL ? g_strdup(change)
				 : g_strndup(change, (gsize)(slash - change));
	struct entry *e = g_hash_table_lookup(t->intents, id);

	g_free(id);
	if (e != NULL)
		on_entry_written(e, change, status, view, now_ms);
	for (guint i = t->works->len; i-- > 0;) {
		struct work *w = t->works->pdata[i];

		if (w->writing == NULL || strcmp(w->writing, change) != 0)
			continue;
		if (w->kind == WORK_CONFIRM)
			on_confirm_written(t, w, status, text, now_ms, out);
		else
			on_work_written(t, w, status, text, out);
	}
}

/* Continues a confirmation from the objects in effect. */
static void
tick_confirm(struct itn *t, struct work *w, const struct itn_view *view,
    struct itn_out *out)
{
	struct entry *e = g_hash_table_lookup(t->intents, w->id);
	const struct cfi_lock *l = find_lock(t, w->id);
	char *subject;

	if (e != NULL && e->i.state != CFI_PROPOSED &&
	    e->i.state != CFI_DROPPED && e->i.change != NULL) {
		/*
		 * The executor completed it. Writing the same change again only
		 * asks whether it is accepted.
		 */
		set_writing(&w->writing,
		    emit_write(out, w->id,
			g_strdup_printf(INTENT_PREFIX "%s", w->id),
			g_strdup(e->i.change), e->version, cfi_print(&e->i)));
		return;
	}
	if (e == NULL || e->i.state == CFI_DROPPED || e->version != w->shown ||
	    view->plan.wall_ms >= expiry_ms(e, view)) {
		end_work(t, w, ERR_CONFLICT,
		    "the intent was changed by someone else", out);
		return;
	}
	if (l != NULL && l->version == w->shown) {
		set_writing(&w->writing,
		    write_state(
			e, CFI_CONFIRMED, NULL, view->plan.wall_ms, out));
		return;
	}
	if (conflicts(t, &e->i, out)) {
		g_ptr_array_remove(t->works, w);
		return;
	}
	subject = pln_subject(&e->i);
	set_writing(&w->writing, write_locks(t, w->id, subject, w->shown, out));
	g_free(subject);
}

static void
set_state(struct entry *e, enum cfi_state state, const char *reason,
    const struct itn_view *view, struct itn_out *out)
{
	set_writing(&e->writing,
	    write_state(e, state, reason, view->plan.wall_ms, out));
}

/* Version of the object that the intent writes. */
static uint64_t
target_version(const struct entry *e, const struct cfg_set *set)
{
	const struct cfg_entry *s;

	if (e->i.zone != NULL)
		return (set->zones_version);
	s = cfg_set_find(set, e->i.service);
	return (s == NULL ? 0 : s->version);
}

static const char *
target_change(const struct entry *e, const struct cfg_set *set)
{
	const struct cfg_entry *s;

	if (e->i.zone != NULL)
		return (set->zones == NULL ? NULL : set->zones->change);
	s = cfg_set_find(set, e->i.service);
	return (s == NULL ? NULL : s->service->change);
}

/* Writes the target object; takes @value. */
static void
write_target(struct entry *e, const char *suffix, json_t *value,
    const struct itn_view *view, struct itn_out *out)
{
	set_writing(&e->writing,
	    emit_write(out, e->i.id, pln_key(&e->i),
		g_strdup_printf("%s%s", e->i.id, suffix),
		target_version(e, view->plan.set), value));
}

static bool
was_accepted(const struct entry *e, const char *suffix)
{
	return (e->accepted != NULL && g_str_has_prefix(e->accepted, e->i.id) &&
	    strcmp(e->accepted + strlen(e->i.id), suffix) == 0);
}

/* Refuses a confirmed intent after the fencing write described above. */
static void
refuse(struct entry *e, const char *reason, const struct itn_view *view,
    struct itn_out *out)
{
	const struct cfg_set *set = view->plan.set;
	const struct cfg_entry *s;
	json_t *value;

	s = e->i.zone == NULL ? cfg_set_find(set, e->i.service) : NULL;
	if ((s == NULL && e->i.zone == NULL) ||
	    (e->i.zone != NULL && set->zones == NULL) ||
	    was_accepted(e, "/refuse")) {
		set_state(e, CFI_REFUSED, reason, view, out);
		return;
	}
	value = s == NULL ? cfg_print_zones(set->zones)
			  : cfg_print_service(s->service);
	write_target(e, "/refuse", value, view, out);
}

static bool
holds_move(const struct entry *e, const struct cfg_entry *s)
{
	return (s != NULL && s->service->has_move &&
	    strcmp(s->service->move.intent, e->i.id) == 0);
}

/* A confirmed move starts with its move object in the service. */
static void
start(struct entry *e, const struct itn_view *view, struct itn_out *out)
{
	const struct cfg_set *set = view->plan.set;
	bool is_move = e->i.kind == CFI_MOVE_VERSION;
	const struct cfg_entry *s =
	    is_move ? cfg_set_find(set, e->i.service) : NULL;
	struct pln plan;
	bool possible;

	if (was_accepted(e, "") || (is_move && holds_move(e, s))) {
		set_state(e, CFI_RUNNING, NULL, view, out);
		return;
	}
	possible = pln_compute(&plan, &e->i, &view->plan);
	if (!possible)
		refuse(e, plan.refusal, view, out);
	else if (is_move)
		write_target(e, "", pln_target(&e->i, set), view, out);
	else
		set_state(e, CFI_RUNNING, NULL, view, out);
	pln_finish(&plan);
}

/* A running intent other than a move is one write. */
static void
run_change(struct entry *e, const struct itn_view *view, struct itn_out *out)
{
	const struct cfg_set *set = view->plan.set;
	const char *change = target_change(e, set);
	bool written = change != NULL && strcmp(change, e->i.id) == 0;
	json_t *value = pln_target(&e->i, set);

	if (was_accepted(e, "")) {
		set_state(e, CFI_DONE, "in effect", view, out);
	} else if (value == NULL ||
	    (!written && view->plan.wall_ms >= e->i.due_ms)) {
		refuse(e, "not accepted before the due time", view, out);
	} else {
		write_target(e, "", json_incref(value), view, out);
	}
	json_decref(value);
}

/* The move object of a running intent was replaced by someone else. */
static void
end_replaced(struct entry *e, const struct cfg_entry *s,
    const struct itn_view *view, struct itn_out *out)
{
	int to = s == NULL ? -1 : cfg_find_version(s->service, e->i.version);
	bool none = to < 0 || s->service->versions[to].share == 0;

	/* An object older than this state of the intent is a stale view. */
	if (s != NULL && s->version < e->version)
		return;
	/* So may be a missing one; it can no longer move anything then. */
	if (s == NULL && view->plan.wall_ms < e->i.due_ms)
		return;
	set_state(e, none ? CFI_ROLLED_BACK : CFI_REFUSED,
	    "the move was replaced by another change", view, out);
}

static void
run_move(struct entry *e, const struct itn_view *view, struct itn_out *out)
{
	const struct cfg_set *set = view->plan.set;
	const struct cfg_entry *s = cfg_set_find(set, e->i.service);
	int64_t last_ms =
	    e->i.due_ms - (int64_t)set->limits.margin_s * MS_PER_S;
	const struct cfg_move *m;

	if (!holds_move(e, s)) {
		end_replaced(e, s, view, out);
		return;
	}
	m = &s->service->move;
	if (m->state == CFG_MOVE_RUNNING) {
		e->stuck = view->plan.wall_ms >= e->i.due_ms
		    ? "rolled back everywhere, waiting for the store"
		    : NULL;
	} else if (m->state == CFG_MOVE_ROLLED_BACK) {
		if (was_accepted(e, "/back"))
			set_state(e, CFI_ROLLED_BACK, m->reason, view, out);
		else
			write_target(e, "/back",
			    mov_value(s->service, &set->limits, 0,
				CFG_MOVE_ROLLED_BACK, m->reason),
			    view, out);
	} else if (was_accepted(e, "/done") && e->accepted_wall_ms < last_ms) {
		set_state(e, CFI_DONE, m->reason, view, out);
	} else if (view->plan.wall_ms >= last_ms) {
		write_target(e, "/back",
		    mov_value(s->service, &set->limits, 0, CFG_MOVE_ROLLED_BACK,
			"not accepted before the due time"),
		    view, out);
	} else {
		write_target(e, "/done",
		    mov_value(s->service, &set->limits, m->step, CFG_MOVE_DONE,
			m->reason),
		    view, out);
	}
}

/* Frees the subject; corrects a move that was found bad after it was done. */
static void
clean_up(struct itn *t, struct entry *e, const struct itn_view *view,
    struct itn_out *out)
{
	const struct cfg_entry *s = e->i.kind == CFI_MOVE_VERSION
	    ? cfg_set_find(view->plan.set, e->i.service)
	    : NULL;

	if (e->i.state == CFI_DONE && holds_move(e, s) &&
	    s->service->move.state == CFG_MOVE_ROLLED_BACK)
		set_state(
		    e, CFI_ROLLED_BACK, s->service->move.reason, view, out);
	else if (find_lock(t, e->i.id) != NULL)
		set_writing(&e->writing, write_locks(t, e->i.id, NULL, 0, out));
}

static void
tick_proposed(struct itn *t, struct entry *e, const struct itn_view *view,
    struct itn_out *out)
{
	const struct cfi_lock *l = find_lock(t, e->i.id);

	if (view->plan.wall_ms >= expiry_ms(e, view))
		set_state(e, CFI_DROPPED, "not confirmed in time", view, out);
	else if (l != NULL && l->version == e->version)
		set_state(e, CFI_CONFIRMED, NULL, view, out);
}

static void
tick_entry(struct itn *t, struct entry *e, const struct itn_view *view,
    struct itn_out *out)
{
	switch (e->i.state) {
	case CFI_PROPOSED:
		tick_proposed(t, e, view, out);
		break;
	case CFI_CONFIRMED:
		start(e, view, out);
		break;
	case CFI_RUNNING:
		if (e->i.kind == CFI_MOVE_VERSION)
			run_move(e, view, out);
		else
			run_change(e, view, out);
		break;
	default:
		clean_up(t, e, view, out);
		break;
	}
}

void
itn_tick(struct itn *t, const struct itn_view *view, int64_t now_ms,
    struct itn_out *out)
{
	GHashTableIter it;
	gpointer value;

	for (guint i = t->works->len; i-- > 0;) {
		struct work *w = t->works->pdata[i];

		if (now_ms >= w->deadline_ms)
			end_work(t, w, ERR_STORE,
			    "the store does not respond, the change may be "
			    "stored",
			    out);
		else if (w->kind == WORK_CONFIRM && w->writing == NULL &&
		    now_ms >= w->next_ms)
			tick_confirm(t, w, view, out);
	}
	g_hash_table_iter_init(&it, t->intents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct entry *e = value;

		if (!view->is_executor(view->arg, e->i.id)) {
			g_clear_pointer(&e->writing, g_free);
			g_clear_pointer(&e->accepted, g_free);
		} else if (e->writing == NULL && now_ms >= e->next_ms) {
			tick_entry(t, e, view, out);
		}
	}
}

json_t *
itn_report(const struct itn *t, const char *id)
{
	const struct entry *e = g_hash_table_lookup(t->intents, id);
	const char *on, *why;
	char *what;
	json_t *o;

	if (e == NULL)
		return (NULL);
	on = e->i.zone != NULL ? e->i.zone : e->i.service;
	why = cfi_is_final(e->i.state) ? e->i.reason : e->stuck;
	what = g_strdup_printf("%s %s%s%s", cfi_kind_name(e->i.kind), on,
	    e->i.version != NULL || e->i.upstream != NULL ? " " : "",
	    e->i.version != NULL        ? e->i.version
		: e->i.upstream != NULL ? e->i.upstream
					: "");
	o = json_pack("{s:s,s:s,s:s}", "intent", id, "what", what, "state",
	    cfi_state_name(e->i.state));
	json_object_set_new(
	    o, "why", why == NULL ? json_null() : json_string(why));
	json_object_set_new(o, "at_ms",
	    e->i.finished_ms == 0 ? json_null()
				  : json_integer(e->i.finished_ms));
	g_free(what);
	return (o);
}
