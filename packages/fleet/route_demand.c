#include "fleet/route_demand.h"

static void
add_priority(struct demand_range *r, uint32_t priority)
{
	if (priority < r->min)
		r->min = priority;
	if (priority > r->max)
		r->max = priority;
}

void
demand_init(struct route_demand *d, const struct obj_config *c)
{
	*d = (struct route_demand){.without_key = !c->has_workspaces,
	    .workspaces = {.min = UINT32_MAX}};
	for (uint32_t i = 0; i < c->n_workspaces; i++) {
		const struct obj_workspace *w = &c->workspaces[i];

		if (w->n_keys == 0)
			continue;
		if (w->priority == OBJ_NO_PRIORITY)
			d->by_route = true;
		else
			add_priority(&d->workspaces, w->priority);
	}
}

/* Adds the priorities of the requests that a route lets through. */
static void
add_route_priorities(const struct route_demand *d, struct demand_range *out,
    const struct obj_route *r)
{
	if (d->without_key || r->is_public || d->by_route)
		add_priority(out, r->priority);
	if (d->workspaces.min <= d->workspaces.max) {
		add_priority(out, d->workspaces.min);
		add_priority(out, d->workspaces.max);
	}
}

void
demand_add(const struct route_demand *d, struct service_demand *s,
    const struct obj_route *r, bool gets_requests)
{
	if (r->goal_ms > s->goal_ms)
		s->goal_ms = r->goal_ms;
	if (gets_requests)
		add_route_priorities(d, &s->priorities, r);
}

bool
demand_is_ranked(const struct service_demand *s)
{
	return (s->priorities.min < s->priorities.max);
}
