#include "front/authenticate.h"

#include "front/worker.h"
#include "workspace/credential.h"

/**
 * struct field_search - search for the Authorization field
 * @n: number of fields
 * @value: value of the last one
 */
struct field_search {
	unsigned n;
	struct bstr value;
};

static enum MHD_Result
check_field(void *arg, enum MHD_ValueKind kind, const char *key, size_t key_n,
    const char *value, size_t value_n)
{
	struct field_search *search = arg;

	(void)kind;
	if (!bstr_caseeq((struct bstr){key, key_n}, BSTR("Authorization")))
		return (MHD_YES);
	search->n++;
	search->value = (struct bstr){value, value == NULL ? 0 : value_n};
	return (MHD_YES);
}

/*
 * Finds the caller's workspace. A field that is sent twice is not used: an
 * earlier proxy may have checked the other one.
 */
static const struct workspace *
find_workspace(const struct call *c, const struct workspace_table *t)
{
	struct metrics *metrics = worker_shared_state(c->w)->metrics;
	struct field_search search = {0};
	const struct workspace *w;
	struct bstr key;

	MHD_get_connection_values_n(
	    c->conn, MHD_HEADER_KIND, check_field, &search);
	if (search.n != 1 || !cred_parse(search.value, &key)) {
		metrics_add(metrics, METRICS_CALLS_WITHOUT_KEY, 1);
		return (NULL);
	}
	w = wstab_find(t, key);
	if (w == NULL)
		metrics_add(metrics, METRICS_CALLS_UNKNOWN_KEY, 1);
	return (w);
}

static void
set_workspace(struct call *c, const struct workspace *w)
{
	size_t n = MIN(w->name.n, sizeof(c->workspace) - 1);

	memcpy(c->workspace, w->name.p, n);
	c->workspace[n] = '\0';
	c->usage = usage_counter_ref(w->usage);
	if (w->priority != WSTAB_NO_PRIORITY)
		c->priority = w->priority;
}

void
authenticate_read(
    struct call *c, const struct rt_table *t, const struct rt_route *r)
{
	const struct workspace_table *workspaces = rt_workspaces(t);
	const struct workspace *w;

	c->priority = r->priority;
	if (workspaces == NULL)
		return;
	c->workspaces_required = true;
	w = find_workspace(c, workspaces);
	if (w != NULL)
		set_workspace(c, w);
	c->unauthorized = w == NULL && !r->is_public;
}

enum filter_verdict
authenticate_request(struct filter *f, struct call *c)
{
	(void)f;
	if (!c->unauthorized)
		return (FILTER_NEXT);
	c->err = ERR_UNAUTHORIZED;
	return (FILTER_STOP);
}
