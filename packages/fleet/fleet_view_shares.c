/*
 * fleet_view_shares - shares of the versions of a service in the routing table.
 */
#include <stdlib.h>

#include "fleet/fleet_view_internal.h"

#define PERMILLE 1000u
/* Seed of the order in which the upstreams of a new version are used. */
#define CANARY_SEED 1

/**
 * struct share_builder - state while the shares of a service are set
 * @s: service
 * @service: its name
 * @usable: number of ready upstreams of each version
 */
struct share_builder {
	struct fleet_view *f;
	struct rt_service *s;
	const char *service;
	uint32_t *usable;
	int64_t now_us;
};

static void
count_usable(struct share_builder *b)
{
	const struct rt_service *s = b->s;

	b->usable = g_new0(uint32_t, s->n_versions);
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		b->usable[s->upstreams[i].version] +=
		    s->upstreams[i].state == RT_READY;
}

/*
 * Whether a version appeared so recently that its move order may not have been
 * read yet.
 */
static bool
is_new_version(const struct share_builder *b, uint32_t version)
{
	struct view_version *v =
	    view_version_get(b->f, b->service, b->s->versions[version].name.p);
	int64_t end_us;

	if (!v->in_table) {
		v->in_table = true;
		v->first_us = b->f->table_built
		    ? b->now_us
		    : b->now_us - VIEW_NEW_VERSION_US;
	}
	end_us = v->first_us + VIEW_NEW_VERSION_US;
	if (b->now_us >= end_us)
		return (false);
	if (end_us < b->f->due_us)
		b->f->due_us = end_us;
	return (true);
}

/*
 * Distributes @total permille over all versions except @excluded in proportion
 * to their usable upstreams.
 */
static void
distribute(const struct share_builder *b, uint32_t total, uint32_t excluded)
{
	struct rt_service *s = b->s;
	uint32_t sum = 0, assigned = 0, last = UINT32_MAX;

	for (uint32_t v = 0; v < s->n_versions; v++)
		sum += v == excluded ? 0 : b->usable[v];
	for (uint32_t v = 0; v < s->n_versions && sum != 0; v++) {
		if (v == excluded)
			continue;
		s->versions[v].share = total * b->usable[v] / sum;
		assigned += s->versions[v].share;
		if (s->versions[v].share != 0)
			last = v;
	}
	if (last != UINT32_MAX)
		s->versions[last].share += total - assigned;
}

static enum obj_move_state
move_state(const struct view_move *m)
{
	if (m->order.state == OBJ_MOVE_DONE ||
	    m->order.state == OBJ_MOVE_ROLLED_BACK)
		return (m->order.state);
	return (m->outcome);
}

static uint32_t
running_share(const struct share_builder *b, struct view_move *m)
{
	m->applied_share = b->now_us < m->share_until_us ? m->share : 0;
	return (m->applied_share);
}

/*
 * Sends no requests to a service of one version: while the list of upstreams is
 * incomplete, its other versions may be missing.
 */
static void
hold_upstreams(struct rt_service *s)
{
	for (uint32_t i = 0; i < s->n_upstreams; i++)
		s->upstreams[i].state = RT_DOWN;
}

/* Whether another version can take the requests. */
static bool
others_usable(const struct share_builder *b, uint32_t version)
{
	for (uint32_t v = 0; v < b->s->n_versions; v++) {
		if (v != version && b->usable[v] != 0)
			return (true);
	}
	return (false);
}

static int
by_hash(const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;

	return ((x > y) - (x < y));
}

/* Order of the upstreams of a new version, the same on all VMs. */
static uint64_t
canary_hash(const struct rt_upstream *u)
{
	return (bstr_hash(u->id, CANARY_SEED));
}

/*
 * While version @to gets @share permille of the requests, as many of its
 * upstreams get them as will carry the same load once the version has all
 * requests. A version that fails under load then shows it on few requests.
 */
static void
hold_unused_upstreams(
    const struct share_builder *b, uint32_t to, uint32_t share)
{
	struct rt_service *s = b->s;
	uint32_t n = b->usable[to], at = 0;
	uint32_t n_used = MAX((share * n + PERMILLE / 2) / PERMILLE, 1);
	uint64_t *hashes, last;

	if (n_used >= n)
		return;
	hashes = g_new(uint64_t, n);
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		const struct rt_upstream *u = &s->upstreams[i];

		if (u->version == to && u->state == RT_READY)
			hashes[at++] = canary_hash(u);
	}
	qsort(hashes, n, sizeof(*hashes), by_hash);
	last = hashes[n_used - 1];
	s->versions[to].on_trial = true;
	for (uint32_t i = 0; i < s->n_upstreams; i++) {
		struct rt_upstream *u = &s->upstreams[i];

		if (u->version == to && canary_hash(u) > last)
			u->state = RT_DOWN;
	}
	g_free(hashes);
}

/* Sets the shares of a service that is being moved to version @to. */
static void
set_move_shares(const struct share_builder *b, struct view_move *m, uint32_t to)
{
	struct rt_service *s = b->s;
	uint32_t share = 0;

	switch (move_state(m)) {
	case OBJ_MOVE_DONE:
		share = PERMILLE;
		break;
	case OBJ_MOVE_ROLLED_BACK:
		break;
	case OBJ_MOVE_NEW:
	case OBJ_MOVE_RUNNING:
		share = running_share(b, m);
		if (others_usable(b, to))
			hold_unused_upstreams(b, to, share);
		break;
	}
	/* All remaining upstreams run the new version. */
	if (s->n_versions == 1 && b->f->known[STORE_UPSTREAMS])
		share = PERMILLE;
	else if (s->n_versions == 1 && share != PERMILLE)
		hold_upstreams(s);
	s->versions[to].share = share;
	distribute(b, PERMILLE - share, to);
}

/*
 * Without a move order, requests are distributed in proportion to the usable
 * upstreams of each version. A new version gets none until VIEW_NEW_VERSION_US
 * have passed, because a move order for it may follow.
 */
static void
set_default_shares(const struct share_builder *b)
{
	uint32_t new_version = UINT32_MAX;
	bool any_old = false;

	for (uint32_t v = 0; v < b->s->n_versions; v++) {
		if (is_new_version(b, v))
			new_version = v;
		else
			any_old = any_old || b->usable[v] != 0;
	}
	distribute(b, PERMILLE, any_old ? new_version : UINT32_MAX);
}

static void
set_shares(const struct share_builder *b)
{
	struct view_move *m = g_hash_table_lookup(b->f->moves, b->service);

	for (uint32_t v = 0; m != NULL && v < b->s->n_versions; v++) {
		/*
		 * Records when the version was first seen. Its age does not
		 * matter while there is a move order.
		 */
		is_new_version(b, v);
		if (bstr_eq(b->s->versions[v].name,
			bstr_from(m->order.to_version))) {
			set_move_shares(b, m, v);
			return;
		}
	}
	set_default_shares(b);
}

void
view_fill_shares(struct fleet_view *f, struct rt_service *s,
    const char *service, int64_t now_us)
{
	struct share_builder b = {
	    .f = f, .s = s, .service = service, .now_us = now_us};

	count_usable(&b);
	set_shares(&b);
	g_free(b.usable);
}
