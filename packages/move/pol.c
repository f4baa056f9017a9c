#include "move/pol.h"

/* A route counts as used by callers from this number of old calls. */
#define ROUTE_USED_CALLS 20
#define MAX_COUNTERS 65536

/* Test of one route. */
struct pol_route {
	char *name;
	struct can_route can;
};

static void
route_free(gpointer p)
{
	struct pol_route *r = p;

	g_free(r->name);
	g_free(r);
}

void
pol_init(struct pol *p, int64_t now_ms)
{
	*p = (struct pol){.rotated_ms = now_ms};
	p->last =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->routes = g_ptr_array_new_with_free_func(route_free);
}

void
pol_finish(struct pol *p)
{
	g_hash_table_destroy(p->last);
	g_ptr_array_free(p->routes, TRUE);
	*p = (struct pol){0};
}

static struct pol_route *
get_route(struct pol *p, const char *name)
{
	struct pol_route *r;

	for (guint i = 0; i < p->routes->len; i++) {
		r = p->routes->pdata[i];
		if (strcmp(r->name, name) == 0)
			return (r);
	}
	if (p->routes->len == MOV_MAX_ROWS)
		return (NULL);
	r = g_new0(struct pol_route, 1);
	r->name = g_strdup(name);
	g_ptr_array_add(p->routes, r);
	return (r);
}

/* Calls of a row since the last row of its sender. */
static struct can_count
row_delta(struct pol *p, const struct vm_id *sender, const struct mov_row *row)
{
	struct can_count now = {row->calls, row->failed, row->slow};
	struct can_count d = {0};
	char *key = g_strdup_printf("%.*s\n%s\n%s", BSTR_ARG(vmid_str(sender)),
	    row->version, row->route);
	struct can_count *last = g_hash_table_lookup(p->last, key);

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
add_row(struct pol *p, const struct vm_id *sender, const struct mov_row *row,
    const struct cfg_service *s, bool new_version)
{
	const char *version = new_version ? s->move.to : s->move.from;
	struct pol_route *r;
	struct can_count d;

	if (strcmp(row->service, s->name) != 0 ||
	    strcmp(row->version, version) != 0)
		return;
	r = get_route(p, row->route);
	d = row_delta(p, sender, row);
	if (r == NULL || d.calls == 0)
		return;
	if (!new_version) {
		can_add_old(&r->can, d.calls, d.failed, d.slow);
		return;
	}
	can_add_new(&r->can, d.calls, d.failed, d.slow);
	p->step_calls += d.calls;
}

void
pol_add(struct pol *p, const struct vm_id *sender, const struct mov_row *rows,
    uint32_t n, const struct cfg_service *s)
{
	for (uint32_t i = 0; i < n; i++)
		add_row(p, sender, &rows[i], s, false);
	for (uint32_t i = 0; i < n; i++)
		add_row(p, sender, &rows[i], s, true);
}

char *
pol_why_bad(const struct pol *p)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct pol_route *r = p->routes->pdata[i];
		const struct can_count *n = &r->can.new_total;
		enum can_verdict v = can_is_bad(&r->can);

		if (v == CAN_GOOD)
			continue;
		return (g_strdup_printf(
		    "bad version: %s on route %.100s, %llu of %llu calls",
		    v == CAN_SLOW ? "slow" : "failing", r->name,
		    (unsigned long long)(v == CAN_SLOW ? n->slow : n->failed),
		    (unsigned long long)n->calls));
	}
	return (NULL);
}

bool
pol_is_suspect(const struct pol *p)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct pol_route *r = p->routes->pdata[i];

		if (can_is_suspect(&r->can))
			return (true);
	}
	return (false);
}

bool
pol_is_tried(const struct pol *p, const struct cfg_limits *l)
{
	for (guint i = 0; i < p->routes->len; i++) {
		const struct pol_route *r = p->routes->pdata[i];

		if (r->can.old_total.calls >= ROUTE_USED_CALLS &&
		    r->can.new_total.calls < l->route_min_calls)
			return (false);
	}
	return (true);
}

void
pol_tick(struct pol *p, int64_t now_ms)
{
	if (now_ms - p->rotated_ms < CAN_WINDOW_MS / 2)
		return;
	p->rotated_ms = now_ms;
	for (guint i = 0; i < p->routes->len; i++)
		can_rotate(&((struct pol_route *)p->routes->pdata[i])->can);
}
