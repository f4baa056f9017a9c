/* Answers to the read requests of operators. */
#include <stdlib.h>
#include <string.h>

#include "control/controller_move.h"
#include "slo/burn_report.h"
#include "sys/clocks.h"

#define CONFIG_PREFIX "config/"
#define INTENTS "intents"
#define INTENTS_PREFIX "intents/"
#define STORE_OK_MAX_AGE_MS 2000
#define US_PER_MS 1000
#define INCOMPLETE_NOTICE                                                      \
	"The store does not respond: this report holds only what this VM has " \
	"counted, the other VMs are missing."

static json_t *
text_json(struct bstr s)
{
	return (json_stringn(s.p == NULL ? "" : s.p, s.n));
}

static json_t *
u64_json(uint64_t v)
{
	return (json_integer((json_int_t)v));
}

static json_t *
optional_json(const char *s)
{
	return (s == NULL ? json_null() : json_string(s));
}

static const char *
member_state_name(enum member_state s)
{
	static const char *const names[] = {
	    [MEMBER_ALIVE] = "alive",
	    [MEMBER_LEAVING] = "leaving",
	    [MEMBER_SUSPECT] = "suspect",
	    [MEMBER_DEAD] = "dead",
	};

	return (names[s]);
}

static const char *
upstream_state_name(enum rt_state s)
{
	static const char *const names[] = {
	    [RT_READY] = "ready",
	    [RT_COLD] = "cold",
	    [RT_DRAINING] = "draining",
	    [RT_DOWN] = "down",
	};

	return (names[s]);
}

static json_t *
members_json(const struct control *c)
{
	struct member_info *all = g_new(struct member_info, MEMBER_MAX_MEMBERS);
	uint32_t n = member_all(&c->membership, all, MEMBER_MAX_MEMBERS);
	json_t *a = json_array();

	for (uint32_t i = 0; i < n; i++)
		json_array_append_new(a,
		    json_pack("{s:o,s:o,s:o,s:s}", "id",
			text_json(vmid_str(&all[i].id)), "zone",
			text_json(member_str(&all[i].zone)), "peer",
			text_json(member_str(&all[i].addr)), "state",
			member_state_name(all[i].state)));
	g_free(all);
	return (a);
}

static json_t *
partitions_json(const struct control *c)
{
	int owned = 0, unowned = 0;

	for (uint32_t i = 0; i < PARTITION_COUNT; i++) {
		struct vm_id owner = partition_owner(&c->partitions, i);

		owned += vmid_eq(&owner, &c->self);
		unowned += vmid_is_none(&owner);
	}
	return (json_pack("{s:i,s:i,s:i}", "all", PARTITION_COUNT, "owned",
	    owned, "without_owner", unowned));
}

static json_t *
problems_json(const struct control *c)
{
	json_t *o = json_object();
	GHashTableIter it;
	gpointer key, value;

	if (c->problems == NULL)
		return (o);
	g_hash_table_iter_init(&it, c->problems);
	while (g_hash_table_iter_next(&it, &key, &value))
		json_object_set_new(o, key, optional_json(value));
	return (o);
}

static json_t *
running_intents_json(const struct control *c)
{
	json_t *a = json_array();
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, c->intents.intents);
	while (g_hash_table_iter_next(&it, &key, NULL)) {
		const struct intent_object *i =
		    intents_get(&c->intents, key, NULL);

		if (i != NULL && i->state != INTENT_PROPOSED &&
		    !intent_is_final(i->state))
			json_array_append_new(
			    a, intents_report(&c->intents, i->id));
	}
	return (a);
}

static json_t *
freshness_json(const struct control *c)
{
	int64_t as_of = fresh_as_of_ms(&c->freshness);

	if (as_of == FRESH_NEVER)
		return (json_null());
	return (json_integer(c->now_ms - as_of));
}

static void
show_status(struct control *c, struct ops_request *r)
{
	json_t *o = json_object();

	json_object_set_new(o, "vm", text_json(vmid_str(&c->self)));
	json_object_set_new(o, "zone", optional_json(c->desc.set->zone));
	json_object_set_new(o, "fresh", json_boolean(ctl_is_fresh(c)));
	json_object_set_new(o, "fresh_age_ms", freshness_json(c));
	json_object_set_new(o, "leaving", json_boolean(c->leaving));
	json_object_set_new(o, "members", members_json(c));
	json_object_set_new(
	    o, "majority_base", json_integer(member_base(&c->membership)));
	json_object_set_new(
	    o, "majority", json_integer(member_majority(&c->membership)));
	json_object_set_new(o, "partitions", partitions_json(c));
	json_object_set_new(o, "store_reachable",
	    json_boolean(c->now_ms - c->store_ok_ms < STORE_OK_MAX_AGE_MS));
	json_object_set_new(
	    o, "config_version", u64_json(config_digest(&c->config).highest));
	json_object_set_new(o, "problems", problems_json(c));
	json_object_set_new(o, "intents", running_intents_json(c));
	ops_answer(r, 200, o);
}

static json_t *
upstream_json(const struct ctl_upstream *u, int64_t now_us)
{
	int64_t reported_us = atomic_load(&u->stat->reported_us);
	json_t *o = json_pack("{s:s,s:s,s:s,s:s,s:s,s:s}", "id", u->id, "addr",
	    u->addr, "service", u->service, "version", u->version, "zone",
	    u->zone, "state", upstream_state_name(ctl_upstream_state(u)));

	json_object_set_new(o, "slots", json_integer(u->slots));
	json_object_set_new(
	    o, "in_flight", json_integer(atomic_load(&u->stat->in_flight)));
	json_object_set_new(o, "reported_load",
	    reported_us == 0 ? json_null()
			     : json_integer(atomic_load(&u->stat->reported)));
	json_object_set_new(o, "reported_age_ms",
	    reported_us == 0
		? json_null()
		: json_integer((now_us - reported_us) / US_PER_MS));
	json_object_set_new(o, "good", u64_json(atomic_load(&u->stat->good)));
	json_object_set_new(
	    o, "failed", u64_json(atomic_load(&u->stat->failed)));
	json_object_set_new(o, "slow", u64_json(atomic_load(&u->stat->slow)));
	return (o);
}

static int
compare_upstreams(gconstpointer a, gconstpointer b)
{
	const struct ctl_upstream *const *x = a;
	const struct ctl_upstream *const *y = b;
	int by_service = strcmp((*x)->service, (*y)->service);

	return (by_service != 0 ? by_service : strcmp((*x)->id, (*y)->id));
}

static void
show_upstreams(struct control *c, struct ops_request *r)
{
	GPtrArray *sorted = g_ptr_array_new();
	int64_t now_us = clk_mono_us();
	json_t *a = json_array();
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, c->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value))
		g_ptr_array_add(sorted, value);
	g_ptr_array_sort(sorted, compare_upstreams);
	for (guint i = 0; i < sorted->len; i++)
		json_array_append_new(
		    a, upstream_json(sorted->pdata[i], now_us));
	g_ptr_array_free(sorted, TRUE);
	ops_answer(r, 200, json_pack("{s:o}", "upstreams", a));
}

static int
compare_intents(gconstpointer a, gconstpointer b)
{
	const struct intent_object *const *x = a;
	const struct intent_object *const *y = b;

	if ((*x)->created_ms != (*y)->created_ms)
		return ((*x)->created_ms < (*y)->created_ms ? -1 : 1);
	return (strcmp((*x)->id, (*y)->id));
}

static json_t *
intent_summary(const struct control *c, const struct intent_object *i)
{
	json_t *o = intents_report(&c->intents, i->id);

	json_object_set_new(o, "id", json_string(i->id));
	json_object_set_new(o, "created_ms", json_integer(i->created_ms));
	json_object_del(o, "intent");
	return (o);
}

static void
show_intents(struct control *c, struct ops_request *r)
{
	GPtrArray *sorted = g_ptr_array_new();
	json_t *a = json_array();
	GHashTableIter it;
	gpointer key;

	g_hash_table_iter_init(&it, c->intents.intents);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_ptr_array_add(sorted,
		    (gpointer)(uintptr_t)intents_get(&c->intents, key, NULL));
	g_ptr_array_sort(sorted, compare_intents);
	for (guint i = 0; i < sorted->len; i++)
		json_array_append_new(a, intent_summary(c, sorted->pdata[i]));
	g_ptr_array_free(sorted, TRUE);
	ops_answer(r, 200, json_pack("{s:o}", "intents", a));
}

/* Returns the reason why an intent is stuck, NULL when none is known. */
static const char *
stuck_reason(const struct control *c, const struct intent_object *i,
    const json_t *report)
{
	struct vm_id owner =
	    partition_owner(&c->partitions, partition_of(bstr_from(i->id)));

	if (intent_is_final(i->state))
		return (NULL);
	if (i->state != INTENT_PROPOSED &&
	    (vmid_is_none(&owner) ||
		member_state(&c->membership, &owner) == MEMBER_DEAD))
		return ("no live VM is its executor");
	return (json_string_value(json_object_get(report, "why")));
}

static void
show_intent(struct control *c, struct ops_request *r, const char *id)
{
	uint64_t version = 0;
	const struct intent_object *i = intents_get(&c->intents, id, &version);
	json_t *o, *report;
	const char *reason;

	if (i == NULL) {
		ops_answer_error(r, ERR_NOT_FOUND, "no such intent");
		return;
	}
	o = intent_print(i);
	report = intents_report(&c->intents, id);
	reason = stuck_reason(c, i, report);
	json_object_set_new(o, "object_version", u64_json(version));
	json_object_set_new(o, "stuck", json_boolean(reason != NULL));
	if (reason != NULL)
		json_object_set_new(o, "reason", json_string(reason));
	json_object_set_new(o, "report", report);
	ops_answer(r, 200, o);
}

static void
show_objects(struct control *c, struct ops_request *r)
{
	const GPtrArray *order = c->config.objects.order;
	json_t *a = json_array();

	for (guint i = 0; i < order->len; i++) {
		const struct objtab_object *o = order->pdata[i];

		if (!g_str_has_prefix(o->key, CONFIG_PREFIX) ||
		    o->newest_value == NULL)
			continue;
		json_array_append_new(a,
		    json_pack("{s:s,s:o,s:o}", "key", o->key, "version",
			u64_json(o->version), "effect",
			u64_json(o->effective_version)));
	}
	ops_answer(r, 200, json_pack("{s:o}", "objects", a));
}

static void
show_object(struct control *c, struct ops_request *r)
{
	const struct objtab_object *o =
	    objtab_find(&c->config.objects, r->path);
	json_t *v;

	if (o == NULL || (o->newest_value == NULL && o->value == NULL)) {
		ops_answer_error(r, ERR_NOT_FOUND, "no such object");
		return;
	}
	v = json_pack("{s:s,s:o,s:o,s:O?}", "key", o->key, "version",
	    u64_json(o->version), "effect", u64_json(o->effective_version),
	    "value", o->value);
	if (o->problem != NULL) {
		json_object_set_new(v, "problem", json_string(o->problem));
		json_object_set_new(v, "newest",
		    o->newest_value == NULL ? json_null()
					    : json_incref(o->newest_value));
	}
	ops_answer(r, 200, v);
}

void
controller_show(struct control *c, struct ops_request *r)
{
	if (strcmp(r->path, "status") == 0)
		show_status(c, r);
	else if (strcmp(r->path, "upstreams") == 0)
		show_upstreams(c, r);
	else if (strcmp(r->path, INTENTS) == 0)
		show_intents(c, r);
	else if (g_str_has_prefix(r->path, INTENTS_PREFIX))
		show_intent(c, r, r->path + strlen(INTENTS_PREFIX));
	else if (strcmp(r->path, "config") == 0)
		show_objects(c, r);
	else if (g_str_has_prefix(r->path, CONFIG_PREFIX))
		show_object(c, r);
	else
		ops_answer_error(r, ERR_NOT_FOUND, "no such path");
}

/*
 * Merges the reports of all VMs. The stored report of this VM is skipped
 * because its counters in memory are newer.
 */
static void
add_reports(
    const struct control *c, struct burn_report *merged, const json_t *list)
{
	char *own_key =
	    g_strdup_printf("report/%.*s", BSTR_ARG(vmid_str(&c->self)));
	json_t *objects = json_object_get(list, "objects");
	json_t *o, *own_report;
	size_t i;

	json_array_foreach(objects, i, o)
	{
		if (g_strcmp0(json_string_value(json_object_get(o, "key")),
			own_key) != 0)
			burn_report_add(merged, json_object_get(o, "value"));
	}
	own_report = slo_print(&c->slo, clk_wall_ms());
	burn_report_add(merged, own_report);
	json_decref(own_report);
	g_free(own_key);
}

static void
answer_html(struct ops_request *r, const json_t *report, bool complete)
{
	static const char body[] = "<body>";
	struct bbuf page, out;
	const char *at;

	bbuf_init(&page);
	bbuf_init(&out);
	burn_report_html(report, &page);
	at = complete || page.p == NULL ? NULL : strstr(page.p, body);
	if (at != NULL) {
		size_t head = (size_t)(at - page.p) + strlen(body);

		bbuf_add(&out, (struct bstr){page.p, head});
		bbuf_add(&out,
		    BSTR("<p><strong>" INCOMPLETE_NOTICE "</strong></p>"));
		bbuf_drop_front(&page, head);
	}
	bbuf_add(&out, bbuf_str(&page));
	ops_answer_text(r, 200, "text/html; charset=utf-8", bbuf_str(&out));
	bbuf_finish(&out);
	bbuf_finish(&page);
}

static void
answer_text(struct ops_request *r, const json_t *report, bool complete)
{
	struct bbuf out;

	bbuf_init(&out);
	if (!complete)
		bbuf_add(&out, BSTR(INCOMPLETE_NOTICE "\n\n"));
	burn_report_text(report, &out);
	ops_answer_text(r, 200, "text/plain; charset=utf-8", bbuf_str(&out));
	bbuf_finish(&out);
}

void
controller_show_report(
    struct control *c, struct ops_request *r, const json_t *list)
{
	bool complete = list != NULL;
	struct burn_report merged;
	json_t *report;

	burn_report_init(&merged);
	add_reports(c, &merged, list);
	report = burn_report_build(&merged, clk_wall_ms());
	burn_report_finish(&merged);
	if (strcmp(r->format, "json") == 0) {
		json_object_set_new(report, "incomplete",
		    complete ? json_null() : json_string(INCOMPLETE_NOTICE));
		ops_answer(r, 200, report);
		return;
	}
	if (strcmp(r->format, "html") == 0)
		answer_html(r, report, complete);
	else
		answer_text(r, report, complete);
	json_decref(report);
}
