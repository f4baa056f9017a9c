#include "move/intent_execution.h"

#include <stdio.h>

#define INTENT_PREFIX "intent/"
#define CONFIRM_RETRY_MS 500
/* How long a request of an operator waits for the store. */
#define REQUEST_TIMEOUT_MS 30000
/* Time until the due time of an intent that does not set one. */
#define DEFAULT_DUE_MS 3600000

enum request_kind {
	REQUEST_DECLARE,
	REQUEST_REPLAN,
	REQUEST_CONFIRM,
	REQUEST_DROP
};

/*
 * A request of an operator. @shown_version is the version of the intent that
 * the operator confirms, @pending_change the change id of the write in
 * progress.
 */
struct operator_request {
	enum request_kind kind;
	char *id;
	uint64_t shown_version;
	char *pending_change;
	int64_t next_ms;
	int64_t deadline_ms;
};

static void
operator_request_free(gpointer p)
{
	struct operator_request *req = p;

	g_free(req->id);
	g_free(req->pending_change);
	g_free(req);
}

void
intents_init(struct intents *t)
{
	*t = (struct intents){0};
	t->intents = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, intent_exec_entry_free);
	t->requests = g_ptr_array_new_with_free_func(operator_request_free);
}

void
intents_finish(struct intents *t)
{
	g_hash_table_destroy(t->intents);
	g_ptr_array_free(t->requests, TRUE);
	intent_locks_finish(&t->locks);
	*t = (struct intents){0};
}

void
intents_out_clear(struct intents_out *out)
{
	for (uint32_t i = 0; i < out->n; i++) {
		struct intents_effect *e = &out->effects[i];

		g_free(e->intent);
		g_free(e->text);
		g_free(e->key);
		g_free(e->change);
		json_decref(e->value);
	}
	out->n = 0;
}

void
intents_out_finish(struct intents_out *out)
{
	intents_out_clear(out);
	g_free(out->effects);
	*out = (struct intents_out){0};
}

static void
reply(struct intents *t, const char *id, enum err_kind error, const char *text,
    struct intents_out *out)
{
	struct intents_effect *r = intent_exec_emit(out, INTENTS_REPLY, id);
	struct intent_exec_entry *e = g_hash_table_lookup(t->intents, id);

	r->error = error;
	r->text = g_strdup(text);
	if (e == NULL)
		return;
	r->version = e->version;
	r->value = intent_print(&e->i);
}

const struct intent_object *
intents_get(const struct intents *t, const char *id, uint64_t *version)
{
	const struct intent_exec_entry *e = g_hash_table_lookup(t->intents, id);

	if (e == NULL)
		return (NULL);
	if (version != NULL)
		*version = e->version;
	return (&e->i);
}

void
intents_on_object(struct intents *t, const char *key, uint64_t version,
    const json_t *value, struct intents_out *out)
{
	struct intent_object parsed;
	struct bbuf ignored;
	struct intent_exec_entry *e;

	if (!g_str_has_prefix(key, INTENT_PREFIX))
		return;
	bbuf_init(&ignored);
	if (strcmp(key, INTENT_LOCKS_KEY) == 0) {
		intent_locks_finish(&t->locks);
		if (value != NULL)
			intent_parse_locks(&t->locks, value, &ignored);
		t->locks_version = version;
	} else if (value == NULL) {
		g_hash_table_remove(t->intents, key + strlen(INTENT_PREFIX));
	} else if (intent_parse(&parsed, value, &ignored)) {
		e = g_hash_table_lookup(t->intents, parsed.id);
		if (e == NULL) {
			e = g_new0(struct intent_exec_entry, 1);
		} else {
			g_hash_table_steal(t->intents, parsed.id);
			intent_finish(&e->i);
		}
		e->i = parsed;
		e->version = version;
		e->stuck_reason = NULL;
		g_hash_table_insert(t->intents, e->i.id, e);
		if (intent_is_final(parsed.state))
			intent_exec_emit(out, INTENTS_ENDED, parsed.id)->value =
			    intents_report(t, parsed.id);
	} else {
		intent_finish(&parsed);
	}
	bbuf_finish(&ignored);
}

/* Finds the lock entry that holds the subject, or NULL. */
static const struct intent_lock *
find_holder(const struct intents *t, const char *subject)
{
	for (uint32_t k = 0; k < t->locks.n_locks; k++) {
		const struct intent_lock *l = &t->locks.locks[k];

		if (strcmp(l->subject, subject) == 0 &&
		    !intent_exec_is_stale(t, l))
			return (l);
	}
	return (NULL);
}

static struct operator_request *
add_request(
    struct intents *t, enum request_kind kind, const char *id, int64_t now_ms)
{
	struct operator_request *req = g_new0(struct operator_request, 1);

	req->kind = kind;
	req->id = g_strdup(id);
	req->deadline_ms = now_ms + REQUEST_TIMEOUT_MS;
	g_ptr_array_add(t->requests, req);
	return (req);
}

/* Rejects a request when too many are waiting. */
static bool
admit_request(struct intents *t, const char *id, struct intents_out *out)
{
	if (t->requests->len < INTENTS_MAX_REQUESTS)
		return (true);
	reply(t, id, ERR_OVERLOADED, "too many requests wait", out);
	return (false);
}

/* Replies with a conflict when another intent holds the subject. */
static bool
reply_if_conflict(
    struct intents *t, const struct intent_object *i, struct intents_out *out)
{
	char *subject = plan_subject(i);
	const struct intent_lock *l = find_holder(t, subject);
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
intents_declare(struct intents *t, const struct intent_object *request,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out)
{
	struct intent_object copy;
	struct intent_plan plan;
	struct operator_request *req;

	if (g_hash_table_contains(t->intents, request->id)) {
		reply(t, request->id, ERR_CONFLICT, "the id is in use", out);
		return;
	}
	if (!admit_request(t, request->id, out) ||
	    reply_if_conflict(t, request, out))
		return;
	intent_copy(&copy, request);
	copy.state = INTENT_PROPOSED;
	copy.created_ms = view->plan.wall_ms;
	if (copy.due_ms == 0)
		copy.due_ms = view->plan.wall_ms + DEFAULT_DUE_MS;
	if (!plan_compute(&plan, &copy, &view->plan)) {
		reply(t, request->id, ERR_INVALID, plan.refusal, out);
	} else {
		copy.basis = plan.basis;
		json_decref(copy.plan);
		copy.plan = plan_print(&plan);
		req = add_request(t, REQUEST_DECLARE, copy.id, now_ms);
		intent_exec_set_change(&req->pending_change,
		    intent_exec_emit_write(out, copy.id,
			g_strdup_printf(INTENT_PREFIX "%s", copy.id),
			g_strdup_printf("%s/proposed", copy.id), 0,
			intent_print(&copy)));
	}
	plan_finish(&plan);
	intent_finish(&copy);
}

/* Writes the intent with a plan for the present configuration. */
static void
write_plan(struct intents *t, struct intent_exec_entry *e,
    const struct intent_plan *plan, int64_t now_ms, struct intents_out *out)
{
	struct operator_request *req =
	    add_request(t, REQUEST_REPLAN, e->i.id, now_ms);
	struct intent_object copy;

	intent_copy(&copy, &e->i);
	copy.basis = plan->basis;
	json_decref(copy.plan);
	copy.plan = plan_print(plan);
	intent_exec_set_change(&req->pending_change,
	    intent_exec_emit_write(out, copy.id,
		g_strdup_printf(INTENT_PREFIX "%s", copy.id),
		g_strdup_printf(
		    "%s/plan%llu", copy.id, (unsigned long long)e->version),
		e->version, intent_print(&copy)));
	intent_finish(&copy);
}

/* Reason why an intent cannot be confirmed, or NULL. */
static const char *
confirm_error(const struct intent_exec_entry *e, uint64_t version,
    const struct intents_view *view)
{
	if (e->i.state != INTENT_PROPOSED)
		return ("the intent is not proposed any more");
	if (view->plan.wall_ms >= intent_exec_expiry_ms(e, view))
		return ("the intent has expired");
	if (e->version != version)
		return ("the plan has changed, see the new one");
	return (NULL);
}

void
intents_confirm(struct intents *t, const char *id, uint64_t version,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out)
{
	struct intent_exec_entry *e = g_hash_table_lookup(t->intents, id);
	const char *why;
	struct intent_plan plan;
	bool possible;

	if (e == NULL) {
		reply(t, id, ERR_NOT_FOUND, "no such intent", out);
		return;
	}
	why = confirm_error(e, version, view);
	if (why != NULL) {
		reply(t, id, ERR_CONFLICT, why, out);
		return;
	}
	if (!admit_request(t, id, out) || reply_if_conflict(t, &e->i, out))
		return;
	possible = plan_compute(&plan, &e->i, &view->plan);
	if (!possible)
		reply(t, id, ERR_INVALID, plan.refusal, out);
	else if (plan.basis != e->i.basis)
		write_plan(t, e, &plan, now_ms, out);
	else
		add_request(t, REQUEST_CONFIRM, id, now_ms)->shown_version =
		    version;
	plan_finish(&plan);
	intents_tick(t, view, now_ms, out);
}

void
intents_drop(struct intents *t, const char *id, const struct intents_view *view,
    int64_t now_ms, struct intents_out *out)
{
	struct intent_exec_entry *e = g_hash_table_lookup(t->intents, id);
	struct operator_request *req;

	if (e == NULL) {
		reply(t, id, ERR_NOT_FOUND, "no such intent", out);
		return;
	}
	if (e->i.state != INTENT_PROPOSED) {
		reply(t, id, ERR_CONFLICT,
		    "the intent is not proposed any more", out);
		return;
	}
	if (!admit_request(t, id, out))
		return;
	req = add_request(t, REQUEST_DROP, id, now_ms);
	intent_exec_set_change(&req->pending_change,
	    intent_exec_write_state(e, INTENT_DROPPED, "dropped by an operator",
		view->plan.wall_ms, out));
}

static void
complete_request(struct intents *t, struct operator_request *req,
    enum err_kind error, const char *text, struct intents_out *out)
{
	reply(t, req->id, error, text, out);
	g_ptr_array_remove(t->requests, req);
}

/* Handles the result of writing a proposal, a new plan or a withdrawal. */
static void
on_request_written(struct intents *t, struct operator_request *req,
    enum config_status status, const char *text, struct intents_out *out)
{
	switch (status) {
	case CONFIG_ACCEPTED:
	case CONFIG_PENDING:
		if (req->kind == REQUEST_REPLAN)
			complete_request(t, req, ERR_CONFLICT,
			    "the configuration has changed, see the new plan",
			    out);
		else
			complete_request(t, req, ERR_NONE,
			    status == CONFIG_ACCEPTED
				? "accepted"
				: "stored, not yet accepted",
			    out);
		break;
	case CONFIG_CONFLICT:
		complete_request(t, req, ERR_CONFLICT,
		    "the intent was changed by someone else", out);
		break;
	case CONFIG_INVALID:
		complete_request(t, req, ERR_INVALID, text, out);
		break;
	case CONFIG_UNRESOLVED:
		complete_request(t, req, ERR_STORE,
		    "the store does not respond, the change may be stored",
		    out);
		break;
	}
}

/* Handles the result of one of the two writes of a confirmation. */
static void
on_confirm_written(struct intents *t, struct operator_request *req,
    enum config_status status, const char *text, int64_t now_ms,
    struct intents_out *out)
{
	bool second = strstr(req->pending_change, "/lock") == NULL;

	if (second && (status == CONFIG_ACCEPTED || status == CONFIG_PENDING)) {
		on_request_written(t, req, status, text, out);
		return;
	}
	/* After any other result the next tick decides from the objects. */
	g_free(req->pending_change);
	req->pending_change = NULL;
	req->next_ms = status == CONFIG_ACCEPTED || status == CONFIG_PENDING
	    ? now_ms
	    : now_ms + CONFIRM_RETRY_MS;
}

void
intents_on_written(struct intents *t, const char *change,
    enum config_status status, const char *text,
    const struct intents_view *view, int64_t now_ms, struct intents_out *out)
{
	const char *slash = strchr(change, '/');
	char *id = slash == NULL ? g_strdup(change)
				 : g_strndup(change, (gsize)(slash - change));
	struct intent_exec_entry *e = g_hash_table_lookup(t->intents, id);

	g_free(id);
	if (e != NULL)
		intent_exec_on_written(e, change, status, view, now_ms);
	for (guint i = t->requests->len; i-- > 0;) {
		struct operator_request *req = t->requests->pdata[i];

		if (req->pending_change == NULL ||
		    strcmp(req->pending_change, change) != 0)
			continue;
		if (req->kind == REQUEST_CONFIRM)
			on_confirm_written(t, req, status, text, now_ms, out);
		else
			on_request_written(t, req, status, text, out);
	}
}

/* Continues a confirmation from the objects in effect. */
static void
tick_confirm(struct intents *t, struct operator_request *req,
    const struct intents_view *view, struct intents_out *out)
{
	struct intent_exec_entry *e = g_hash_table_lookup(t->intents, req->id);
	const struct intent_lock *l = intent_exec_find_lock(t, req->id);
	char *subject;

	if (e != NULL && e->i.state != INTENT_PROPOSED &&
	    e->i.state != INTENT_DROPPED && e->i.change != NULL) {
		/*
		 * The executor has completed the confirmation. The write is
		 * repeated under the same change id only to learn whether it
		 * has been accepted.
		 */
		intent_exec_set_change(&req->pending_change,
		    intent_exec_emit_write(out, req->id,
			g_strdup_printf(INTENT_PREFIX "%s", req->id),
			g_strdup(e->i.change), e->version,
			intent_print(&e->i)));
		return;
	}
	if (e == NULL || e->i.state == INTENT_DROPPED ||
	    e->version != req->shown_version ||
	    view->plan.wall_ms >= intent_exec_expiry_ms(e, view)) {
		complete_request(t, req, ERR_CONFLICT,
		    "the intent was changed by someone else", out);
		return;
	}
	if (l != NULL && l->version == req->shown_version) {
		intent_exec_set_change(&req->pending_change,
		    intent_exec_write_state(
			e, INTENT_CONFIRMED, NULL, view->plan.wall_ms, out));
		return;
	}
	if (reply_if_conflict(t, &e->i, out)) {
		g_ptr_array_remove(t->requests, req);
		return;
	}
	subject = plan_subject(&e->i);
	intent_exec_set_change(&req->pending_change,
	    intent_exec_write_locks(
		t, req->id, subject, req->shown_version, out));
	g_free(subject);
}

void
intents_tick(struct intents *t, const struct intents_view *view, int64_t now_ms,
    struct intents_out *out)
{
	GHashTableIter it;
	gpointer value;

	for (guint i = t->requests->len; i-- > 0;) {
		struct operator_request *req = t->requests->pdata[i];

		if (now_ms >= req->deadline_ms)
			complete_request(t, req, ERR_STORE,
			    "the store does not respond, the change may be "
			    "stored",
			    out);
		else if (req->kind == REQUEST_CONFIRM &&
		    req->pending_change == NULL && now_ms >= req->next_ms)
			tick_confirm(t, req, view, out);
	}
	g_hash_table_iter_init(&it, t->intents);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct intent_exec_entry *e = value;

		if (!view->is_executor(view->arg, e->i.id)) {
			g_clear_pointer(&e->pending_change, g_free);
			g_clear_pointer(&e->accepted_change, g_free);
		} else if (!intent_exec_has_pending_write(e, view) &&
		    now_ms >= e->next_ms) {
			intent_exec_tick(t, e, view, out);
		}
	}
}

json_t *
intents_report(const struct intents *t, const char *id)
{
	const struct intent_exec_entry *e = g_hash_table_lookup(t->intents, id);
	const char *target, *why;
	char *what;
	json_t *o;

	if (e == NULL)
		return (NULL);
	target = e->i.zone != NULL ? e->i.zone : e->i.service;
	why = intent_is_final(e->i.state) ? e->i.reason : e->stuck_reason;
	what = g_strdup_printf("%s %s%s%s", intent_kind_name(e->i.kind), target,
	    e->i.version != NULL || e->i.upstream != NULL ? " " : "",
	    e->i.version != NULL        ? e->i.version
		: e->i.upstream != NULL ? e->i.upstream
					: "");
	o = json_pack("{s:s,s:s,s:s}", "intent", id, "what", what, "state",
	    intent_state_name(e->i.state));
	json_object_set_new(
	    o, "why", why == NULL ? json_null() : json_string(why));
	json_object_set_new(o, "at_ms",
	    e->i.finished_ms == 0 ? json_null()
				  : json_integer(e->i.finished_ms));
	g_free(what);
	return (o);
}
