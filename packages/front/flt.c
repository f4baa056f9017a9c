#include "front/flt.h"

#include <stdlib.h>
#include <urcu.h>

#include "front/clf.h"
#include "front/fe.h"
#include "front/rqh.h"
#include "front/svc.h"
#include "front/ups.h"
#include "front/wrk.h"
#include "sys/clocks.h"

#define DEFAULT_TIMEOUT_MS 10000
#define MAX_TIMEOUT_MS 600000

static enum flt_verdict
stop(struct call *c, enum err_kind kind)
{
	c->err = kind;
	return (FLT_STOP);
}

enum err_kind
flt_fresh(const struct env *env, int64_t now_us)
{
	if (now_us > atomic_load(&env->fresh_until_us))
		return (ERR_NOT_FRESH);
	return (ERR_NONE);
}

/* Refuses when this VM leaves or may not know what is in force. */
static enum flt_verdict
freshness(struct flt *f, struct call *c)
{
	const struct env *env = wrk_env(c->w);
	enum err_kind kind = flt_fresh(env, clk_mono_us());

	(void)f;
	if (atomic_load(&env->leaving))
		return (stop(c, ERR_LEAVING));
	return (kind == ERR_NONE ? FLT_NEXT : stop(c, kind));
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
 * Finds the route of a path. An upstream may decode the path before it uses it,
 * so a path that has another route in its plain form has none: it could run as
 * non-idempotent what was sent as idempotent.
 */
static const struct rt_route *
find_route(const struct rt_service *s, struct bstr path)
{
	const struct rt_route *r = rt_find_route(s, path);
	struct bbuf plain;

	if (memchr(path.p, '%', path.n) == NULL &&
	    strstr(path.p, "//") == NULL && strstr(path.p, "/.") == NULL)
		return (r);
	bbuf_init(&plain);
	if (!rqh_plain_path(path, &plain) ||
	    rt_find_route(s, bbuf_str(&plain)) != r)
		r = NULL;
	bbuf_finish(&plain);
	return (r);
}

/* Finds service and route; sets what depends on the route. */
static enum flt_verdict
match(struct flt *f, struct call *c)
{
	const struct rt_service *s;
	const struct rt_route *r;
	enum flt_verdict v = FLT_NEXT;

	(void)f;
	rcu_read_lock();
	s = rt_find_host(env_table(wrk_env(c->w)),
	    host_without_port(call_header_in(c, "Host")));
	r = s == NULL ? NULL : find_route(s, c->path);
	if (s == NULL) {
		v = stop(c, ERR_UNKNOWN_HOST);
	} else if (r == NULL) {
		v = stop(c, ERR_UNKNOWN_ROUTE);
	} else {
		c->svc = svc_get(wrk_services(c->w),
		    rt_draw_split(s, r, wrk_rng(c->w)), c->start_us);
		c->goal_us = (int64_t)r->goal_ms * 1000;
		c->max_attempts = r->attempts;
		c->idempotent = r->idempotent;
		c->keyed = !r->idempotent &&
		    MHD_lookup_connection_value(
			c->conn, MHD_HEADER_KIND, "Idempotency-Key") != NULL;
		c->deadline_us = c->start_us + (int64_t)r->timeout_ms * 1000;
	}
	rcu_read_unlock();
	return (v);
}

/* Applies the caller's own timeout. */
static enum flt_verdict
deadline(struct flt *f, struct call *c)
{
	struct bstr value =
	    call_header_in(c, wrk_env(c->w)->upp->timeout_field);
	uint64_t ms;
	int64_t limit;

	(void)f;
	if (c->deadline_us == c->start_us)
		c->deadline_us = c->start_us + DEFAULT_TIMEOUT_MS * 1000LL;
	if (value.n == 0)
		return (FLT_NEXT);
	if (!bstr_to_u64(value, &ms) || ms == 0 || ms > MAX_TIMEOUT_MS)
		return (stop(c, ERR_BAD_REQUEST));
	limit = c->start_us + (int64_t)ms * 1000;
	if (limit < c->deadline_us)
		c->deadline_us = limit;
	return (FLT_NEXT);
}

/* Chooses an upstream and starts the transfer. */
static enum flt_verdict
send_request(struct flt *f, struct call *c)
{
	enum err_kind kind = ups_start(c);

	(void)f;
	if (kind == ERR_NONE)
		return (FLT_NEXT);
	/* Nothing was sent, which frees the key of a granted claim. */
	clf_finish(c, CMSG_RUN_NOT_RUN);
	return (stop(c, kind));
}

static const struct flt_ops freshness_ops = {"freshness", freshness};
static const struct flt_ops match_ops = {"match", match};
static const struct flt_ops deadline_ops = {"deadline", deadline};
static const struct flt_ops claim_ops = {"claim", clf_request};
static const struct flt_ops send_ops = {"send", send_request};

static struct flt chain[] = {
    {&freshness_ops},
    {&match_ops},
    {&deadline_ops},
    {&claim_ops},
    {&send_ops},
};

enum flt_verdict
flt_run(struct call *c)
{
	const unsigned n = sizeof(chain) / sizeof(*chain);

	while (c->filter < n) {
		struct flt *f = &chain[c->filter];
		enum flt_verdict v = f->ops->request(f, c);

		if (v != FLT_NEXT)
			return (v);
		c->filter++;
	}
	return (FLT_NEXT);
}

void
flt_continue(struct call *c)
{
	if (flt_run(c) == FLT_STOP)
		fe_on_end(c);
}
