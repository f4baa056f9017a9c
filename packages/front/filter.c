#include "front/filter.h"

#include <stdlib.h>
#include <urcu.h>

#include "front/authenticate.h"
#include "front/caller_side.h"
#include "front/claim_filter.h"
#include "front/request_head.h"
#include "front/upstream_side.h"
#include "front/worker.h"
#include "front/worker_service.h"
#include "sys/clocks.h"

/* Used for routes without a timeout of their own. */
#define DEFAULT_TIMEOUT_MS 10000
#define MAX_TIMEOUT_MS 600000

static enum filter_verdict
stop(struct call *c, enum err_kind kind)
{
	c->err = kind;
	return (FILTER_STOP);
}

enum err_kind
filter_check_fresh(const struct shared_state *shared, int64_t now_us)
{
	if (now_us > atomic_load(&shared->fresh_until_us))
		return (ERR_NOT_FRESH);
	return (ERR_NONE);
}

/* Refuses the call when this VM is leaving or its routing data is stale. */
static enum filter_verdict
check_freshness(struct filter *f, struct call *c)
{
	const struct shared_state *shared = worker_shared_state(c->w);
	int64_t now_us = clk_mono_us();
	enum err_kind kind = filter_check_fresh(shared, now_us);

	(void)f;
	if (atomic_load(&shared->leaving) || worker_refuses(c->w, now_us))
		return (stop(c, ERR_LEAVING));
	return (kind == ERR_NONE ? FILTER_NEXT : stop(c, kind));
}

/*
 * Refuses the call when the memory of this VM has no room for it. An idle
 * connection costs memory too (64 KiB after a request), so it is closed.
 */
static enum filter_verdict
take_memory(struct filter *f, struct call *c)
{
	bool known = caller_side_has_read(c);

	(void)f;
	c->least_share = known ? CALL_BASE_BYTES : CALL_NEW_CALLER_BYTES;
	if (budget_take(&worker_shared_state(c->w)->budget, &c->budget_share,
		c->least_share, c->priority, known))
		return (FILTER_NEXT);
	c->must_close = true;
	return (stop(c, ERR_OVERLOADED));
}

static struct bstr
host_without_port(struct bstr host)
{
	const char *colon = host.n == 0 ? NULL : memchr(host.p, ':', host.n);

	if (colon != NULL)
		host.n = (size_t)(colon - host.p);
	return (host);
}

/*
 * Finds the route of a path. An upstream may normalise the path before it uses
 * it. A path whose normalised form belongs to another route is therefore
 * rejected: the upstream could run a non-idempotent operation that was sent,
 * and perhaps retried, as an idempotent one.
 */
static const struct rt_route *
find_route(const struct rt_service *s, struct bstr path)
{
	const struct rt_route *r = rt_find_route(s, path);
	struct bbuf normalized;

	if (memchr(path.p, '%', path.n) == NULL &&
	    strstr(path.p, "//") == NULL && strstr(path.p, "/.") == NULL)
		return (r);
	bbuf_init(&normalized);
	if (!request_head_normalize_path(path, &normalized) ||
	    rt_find_route(s, bbuf_str(&normalized)) != r)
		r = NULL;
	bbuf_finish(&normalized);
	return (r);
}

/* Whether the service that gets the requests of a route ranks them. */
static bool
is_ranked(const struct rt_table *t, const struct rt_service *s,
    const struct worker_service *chosen)
{
	if (!bstr_eq(s->name, chosen->name))
		s = rt_find_service(t, chosen->name);
	return (s != NULL && s->ranked);
}

/* Finds the service and the route, and sets the fields that depend on them. */
static enum filter_verdict
match_route(struct filter *f, struct call *c)
{
	const struct rt_table *t;
	const struct rt_service *s;
	const struct rt_route *r;
	enum filter_verdict v = FILTER_NEXT;

	(void)f;
	rcu_read_lock();
	t = shared_table(worker_shared_state(c->w));
	s = rt_find_host(t, host_without_port(call_header_in(c, "Host")));
	r = s == NULL ? NULL : find_route(s, c->path);
	if (s == NULL) {
		v = stop(c, ERR_UNKNOWN_HOST);
	} else if (r == NULL) {
		v = stop(c, ERR_UNKNOWN_ROUTE);
	} else {
		c->service_state = worker_service_get(worker_services(c->w),
		    rt_draw_split(s, r, worker_rng(c->w)), c->start_us);
		c->goal_us = (int64_t)r->goal_ms * 1000;
		c->max_attempts = r->attempts;
		c->idempotent = r->idempotent;
		c->ranked = is_ranked(t, s, c->service_state);
		if (c->ranked)
			c->admission.route = (uint32_t)bstr_hash(r->prefix, 0);
		c->keyed = !r->idempotent && claim_filter_has_key(c);
		c->deadline_us = c->start_us + (int64_t)r->timeout_ms * 1000;
		authenticate_read(c, t, r);
	}
	rcu_read_unlock();
	return (v);
}

/* Sets the deadline from the route's timeout and the caller's own timeout. */
static enum filter_verdict
set_deadline(struct filter *f, struct call *c)
{
	struct bstr value = call_header_in(
	    c, worker_shared_state(c->w)->protocol->timeout_field);
	uint64_t ms;
	int64_t limit;

	(void)f;
	if (c->deadline_us == c->start_us)
		c->deadline_us = c->start_us + DEFAULT_TIMEOUT_MS * 1000LL;
	if (value.n == 0)
		return (FILTER_NEXT);
	if (!bstr_to_u64(value, &ms) || ms == 0 || ms > MAX_TIMEOUT_MS)
		return (stop(c, ERR_BAD_REQUEST));
	limit = c->start_us + (int64_t)ms * 1000;
	/* A caller that comes back has less time left than for a new call. */
	c->admission.returned = limit + ADM_MIN_RETRY_US <= c->deadline_us;
	if (limit < c->deadline_us)
		c->deadline_us = limit;
	return (FILTER_NEXT);
}

/* Chooses an upstream and starts the transfer. */
static enum filter_verdict
send_request(struct filter *f, struct call *c)
{
	enum err_kind kind = upstream_side_start(c);

	(void)f;
	if (kind == ERR_NONE)
		return (FILTER_NEXT);
	/* Nothing was sent, so the key of a granted claim is released. */
	claim_filter_finish(c, WORKER_MSG_RUN_NOT_RUN);
	return (stop(c, kind));
}

static const struct filter_ops freshness_ops = {"freshness", check_freshness};
static const struct filter_ops match_ops = {"match", match_route};
static const struct filter_ops authenticate_ops = {
    "authenticate", authenticate_request};
static const struct filter_ops deadline_ops = {"deadline", set_deadline};
static const struct filter_ops claim_ops = {"claim", claim_filter_request};
static const struct filter_ops memory_ops = {"memory", take_memory};
static const struct filter_ops send_ops = {"send", send_request};

static struct filter chain[] = {
    {&freshness_ops},
    {&match_ops},
    {&authenticate_ops},
    {&memory_ops},
    {&deadline_ops},
    {&claim_ops},
    {&send_ops},
};

enum filter_verdict
filter_run(struct call *c)
{
	const unsigned n = sizeof(chain) / sizeof(*chain);

	while (c->filter < n) {
		struct filter *f = &chain[c->filter];
		enum filter_verdict v = f->ops->request(f, c);

		if (v != FILTER_NEXT)
			return (v);
		c->filter++;
	}
	return (FILTER_NEXT);
}

void
filter_continue(struct call *c)
{
	if (filter_run(c) == FILTER_STOP)
		caller_side_on_end(c);
}
