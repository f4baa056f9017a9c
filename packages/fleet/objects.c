#include "fleet/objects.h"

#include <stdlib.h>
#include <string.h>

struct obj_config *
obj_config_new(void)
{
	struct obj_config *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	return (c);
}

static void
route_finish(struct obj_route *r)
{
	free(r->host);
	free(r->prefix);
	for (uint32_t i = 0; i < r->n_splits; i++)
		free(r->splits[i].service);
	free(r->splits);
}

static void
workspace_finish(struct obj_workspace *w)
{
	free(w->name);
	for (uint32_t i = 0; i < w->n_keys; i++)
		free(w->keys[i]);
	free(w->keys);
}

void
obj_config_free(struct obj_config *c)
{
	if (c == NULL)
		return;
	for (uint32_t i = 0; i < c->n_routes; i++)
		route_finish(&c->routes[i]);
	for (uint32_t i = 0; i < c->n_services; i++) {
		free(c->services[i].name);
		free(c->services[i].probe_path);
	}
	for (uint32_t i = 0; i < c->n_workspaces; i++)
		workspace_finish(&c->workspaces[i]);
	free(c->routes);
	free(c->services);
	free(c->workspaces);
	free(c);
}

const struct obj_service *
obj_config_service(const struct obj_config *c, const char *name)
{
	for (uint32_t i = 0; i < c->n_services; i++) {
		if (strcmp(c->services[i].name, name) == 0)
			return (&c->services[i]);
	}
	return (NULL);
}

void
obj_upstream_finish(struct obj_upstream *u)
{
	free(u->id);
	free(u->service);
	free(u->address);
	free(u->zone);
	free(u->version);
	*u = (struct obj_upstream){0};
}

void
obj_move_finish(struct obj_move *m)
{
	free(m->name);
	free(m->service);
	free(m->to_version);
	free(m->executor);
	*m = (struct obj_move){0};
}

void
obj_member_finish(struct obj_member *m)
{
	free(m->id);
	free(m->zone);
	free(m->address);
	*m = (struct obj_member){0};
}
