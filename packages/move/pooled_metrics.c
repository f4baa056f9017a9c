#include "move/pooled_metrics.h"

/* A route is in use from this number of calls of the old version. */
#define ROUTE_IN_USE_CALLS 20
/* Limit on the entries of @last, one for each sender, version and route. */
#define MAX_COUNTERS 65536

/* Comparison of the two versions on one route. */
struct pooled_route {
	char *name;
	struct canary_route test;
};

static void
route_free(gpointer p)
{
	struct pooled_route *r = p;

	g_free(r->name);
	g_free(r);
}

void
pooled_init(struct pooled_metrics *p, int64_t now_ms)
{
	*p = (struct pooled_metrics){.rotated_ms = now_ms};
	p->last =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->routes = g_ptr_array_new_with_free_func(route_free);
}

void
pooled_finish(struct pooled_metrics *p)
{
	g_hash_table_destroy(p->last);
	g_ptr_array_free(p->routes, TRUE);
	*p = (struct pooled_metrics){0};
}

static struct pooled_route *
get_route(struct pooled_metrics *p, const char *name)
{
	struct pooled_route *r;

	for (guint i = 0; i < p->routes->len; i++) {
		r = p->routes->pdata[i];
		if (strcmp(r->name, name) == 0)
			return (r);
	}
	if (p->routes->len == MOVE_MAX_ROWS)
		return (NULL);
	r = g_new0(struct pooled_route, 1);
	r->name = g_strdup(name);
	g_ptr_array_add(p->routes, r);
	return (r);
}

/* Calls since the last row of the same sender, version and route. */
static struct canary_count
row_delta(struct pooled_metrics *p, const struct vm_id *sender,
    const struct move_row *row)
{
	struct canary_count now = {row->calls, row->failed, row->slow};
	struct canary_count d = {0};
	char *key = g_strdup_printf("%.*s\n%s\n%s", BSTR_ARG(vmid_str(sender)),
	    row->version, row->route);
	struct canary_count *last = g_hash_table_lookup(p->last, key);

	if (last == NULL) {
		if (g_hash_table_size(p->last) < MAX_COUNTERS)
			g_hash_table_insert(p->last, g_strdup(key),
			    g_memdup2(&now, sizeof(now)));
	} else if (now.calls > last->calls && now.failed >= last->failed &&
	    now.slow >= last->slow) {
		d.calls = now.calls - last->calls;
		d.failed = MIN(now.failed - last->failed, d.calls);
		d.slow = MIN(now.slow - last->slow, d.calls);
		*last = now;
	}
	g_free(key);
	return (d);
}

static void
add_row(struct pooled_metrics *p, const struct vm_id *sender,
    const struct move_row *row, const struct cfg_service *s, bool new_version)
{
	const char *version = new_version ? s->move.to : s->move.from;
	struct pooled_route *r;
	struct canary_count d;

	if (strcmp(row->service, s->name) != 0 ||
	    strcmp(row->version, version) != 0)
		return;
	r = get_route(p, row->route);
	d = row_delta(p, sender, row);
	if (r == NULL || d.calls == 0)
		return;
	if (!new_version) {
		canary_add_old(&r->test, d.calls, d.failed, d.slow);
		return;
	}
	canary_add_new(&r->test, d.calls, d.failed, d.slow);
	p->step_calls += d.calls;
}

void
pooled_add(struct pooled_metrics *p, const struct vm_id *sender,
    const struct move_row *rows, uint32_t n, const struct cfg_service *s)
{
	for (uint32_t i = 0; i < n; i++)
		add_row(p, sender, &rows[i], s, false);
	for (uint32_t i = 0; i < n; i++)
		add_row(p, sender, &rows[i], s, true);
}

char *
pooled_bad_reason(const struct pooled_metrics *p)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct pooled_route *r = p->routes->pdata[i];
		const struct canary_count *n = &r->test.new_total;
		enum canary_verdict v = canary_evaluate(&r->test);

		if (v == CANARY_GOOD)
			continue;
		return (g_strdup_printf(
		    "bad version: %s on route %.100s, %llu of %llu calls",
		    v == CANARY_SLOW ? "slow" : "failing", r->name,
		    (unsigned long long)(v == CANARY_SLOW ? n->slow
							  : n->failed),
		    (unsigned long long)n->calls));
	}
	return (NULL);
}

bool
pooled_is_suspect(const struct pooled_metrics *p)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct pooled_route *r = p->routes->pdata[i];

		if (canary_is_suspect(&r->test))
			return (true);
	}
	return (false);
}

bool
pooled_has_enough_calls(
    const struct pooled_metrics *p, const struct cfg_limits *l)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct pooled_route *r = p->routes->pdata[i];

		if (r->test.old_total.calls >= ROUTE_IN_USE_CALLS &&
		    r->test.new_total.calls < l->route_min_calls)
			return (false);
	}
	return (true);
}

void
pooled_tick(struct pooled_metrics *p, int64_t now_ms)
{
	if (now_ms - p->rotated_ms < CANARY_WINDOW_MS / 2)
		return;
	p->rotated_ms = now_ms;
	for (guint i = 0; i < p->routes->len; i++)
		canary_rotate(
		    &((struct pooled_route *)p->routes->pdata[i])->test);
}
